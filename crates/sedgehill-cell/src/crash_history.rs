//! Which tasks may crash the workers that start them: the account that is kept of each.
//!
//! A worker that crashes lists no ends, so a task that crashes it would be started again for ever. Every task that
//! ran on a worker when it crashed is a suspect, since nobody sees which of them did it. A suspect goes on at once,
//! but not beside others of the same crash; after a second crash it runs on a worker of its own. One that takes down
//! a worker there too is taken as the cause. So a task that crashes its workers takes down three, and one beside it
//! is cleared by its run alone.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::ids::{RunNumber, WorkerLife};

/// Workers that crashed under a task, from which on it runs on a worker of its own. With one already, each crash of
/// a full worker asks for some eight empty ones at once; with two, the second crash tells the cause from what stood
/// beside it.
pub const EXCLUSIVE_AFTER_LOSSES: usize = 2;
/// Workers that crashed under a task that was seen there, from which on it is given up if nothing of another job
/// stood beside it in one of these crashes. The users allow it from two on. Two can come from two tasks that stood
/// beside it; the third, with the task alone, cannot.
pub const FAIL_AFTER_CRASHES: usize = 3;
/// Workers that crashed under a task, from which on the users allow to give it up.
const GIVEN_UP_FROM: usize = 2;
/// Starts that the users allow after the third crash.
pub const MAX_FURTHER_STARTS: u8 = 2;
/// Workers that crashed under a task, or may have, from which on it is not started before more is known: that is some
/// seconds, and each start could be one too many.
const HELD_FROM: usize = FAIL_AFTER_CRASHES;
/// Crashes that nobody saw and that are counted; more change nothing, since three have to be known.
const DOUBTS_MOST: u8 = MAX_FURTHER_STARTS;
/// How long a crash is remembered, in milliseconds. A task that lasts sees a worker crash now and then without any
/// doing of its own, some times a day; one that crashes workers does so much more often.
pub const CRASH_MEMORY_MS: u64 = 600_000;

/// A worker that crashed under a task.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkerCrash {
    /// The life that ended.
    pub life: WorkerLife,
    /// Nothing of another job stood beside the task.
    pub alone: bool,
    /// The worker had said that the run was there. Else its start was sent and not answered: the worker may have
    /// been down by then.
    pub seen: bool,
    /// When the crash became known, in milliseconds since 1970.
    pub at_unix_ms: u64,
}

/// A run that was started, and of which nobody knows yet how it ended or whether its worker crashed.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct UnresolvedRun {
    /// The run.
    pub run: RunNumber,
    /// Where it was started.
    pub life: WorkerLife,
    /// Where that life took orders: another life that answers there tells that it has ended.
    pub address: SocketAddr,
    /// Nothing of another job stood beside it.
    pub alone: bool,
    /// The worker had said that it was there.
    pub seen: bool,
}

/// How a task may be started, by what happened to its workers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StartRestriction {
    /// Like any other.
    Unrestricted,
    /// Not beside others that were there when one of its workers was lost.
    Separate,
    /// With nothing of another job beside it.
    Exclusive,
    /// Not before more is known of its earlier workers.
    Deferred,
}

/// What is known of the workers that were lost under a task.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashHistory {
    /// Workers that crashed.
    pub crashes: Vec<WorkerCrash>,
    /// Runs that may have been lost by a crash.
    pub unresolved: Vec<UnresolvedRun>,
    /// Runs that may have been lost by a crash that nobody saw: with their worker while leads changed, or on a worker
    /// that may as well have left as planned. They prove nothing, but count for what the users allow.
    pub unconfirmed: u8,
    /// Starts since three workers had crashed under it, or may have.
    pub further_starts: u8,
    /// When workers crashed under it together with others, in milliseconds since 1970. Such a crash proves nothing of
    /// the task, but it may have been the cause as well as any: it counts for what the users allow. Kept beside the
    /// others ([`JobProgress::correlated_ms`](crate::progress::JobProgress::correlated_ms)).
    #[serde(skip)]
    pub correlated_ms: Vec<u64>,
    /// Workers that crashed and on which a start of the lead that counts here went unanswered: the answer comes before the
    /// task can do any harm, so most likely they were down by then. Kept beside the others
    /// ([`JobProgress::unanswered`](crate::progress::JobProgress::unanswered)).
    #[serde(skip)]
    pub unanswered: Vec<WorkerCrash>,
}

impl CrashHistory {
    /// Whether nothing is kept.
    pub fn is_empty(&self) -> bool {
        let none =
            self.crashes.is_empty() && self.unresolved.is_empty() && self.correlated_ms.is_empty();
        none && self.unanswered.is_empty() && self.unconfirmed == 0
    }

    /// Workers that crashed under it, or may have.
    fn possible(&self) -> usize {
        self.counted() + self.unanswered.len() + usize::from(self.unconfirmed)
    }

    /// Workers of which it is known that they crashed while it may have been there.
    fn counted(&self) -> usize {
        self.crashes.len() + self.correlated_ms.len()
    }

    /// How the task may be started while none of its runs is under way.
    pub fn start_restriction(&self) -> StartRestriction {
        let lost = self.crashes.len() + self.unanswered.len() + self.unresolved.len();
        let most = self.possible() + self.unresolved.len();
        match lost {
            _ if most >= HELD_FROM && !self.unresolved.is_empty() => StartRestriction::Deferred,
            0 => StartRestriction::Unrestricted,
            lost if lost >= EXCLUSIVE_AFTER_LOSSES => StartRestriction::Exclusive,
            _ => StartRestriction::Separate,
        }
    }

    /// Whether the task is taken as the cause of the crashes. `alone` of them have to be with nothing of another job
    /// beside it.
    pub fn is_crash_cause(&self, alone: usize) -> bool {
        let seen = || self.crashes.iter().filter(|crash| crash.seen);
        let proven = seen().count() >= FAIL_AFTER_CRASHES
            && seen().filter(|crash| crash.alone).count() >= alone;
        let most = FAIL_AFTER_CRASHES + usize::from(MAX_FURTHER_STARTS);
        // Any of these may have been another's doing, but the users allow no further start.
        let used_up = self.further_starts >= MAX_FURTHER_STARTS || self.possible() >= most;
        // Starts that went unanswered give it up only if each start that the users allow was lost.
        let all_lost = self.counted() + self.unanswered.len() >= most;
        proven || (self.counted() >= GIVEN_UP_FROM && used_up) || all_lost
    }

    /// Whether a life was lost under both tasks.
    pub fn shares_lost_worker(&self, other: &CrashHistory) -> bool {
        self.lives().any(|life| other.lives().any(|lost| lost == life))
    }

    fn lives(&self) -> impl Iterator<Item = &WorkerLife> {
        let crashed = self.crashes.iter().chain(&self.unanswered).map(|crash| &crash.life);
        crashed.chain(self.unresolved.iter().map(|open| &open.life))
    }

    /// Notes a run that may be lost by a crash. Returns whether it was not noted before.
    pub fn add_unresolved(&mut self, open: UnresolvedRun) -> bool {
        match self.unresolved.iter_mut().find(|known| known.run == open.run) {
            Some(known) => {
                *known = open;
                false
            }
            None => {
                self.unresolved.push(open);
                true
            }
        }
    }

    /// Forgets an open run: it ended otherwise, or never began. Returns it if it was noted.
    pub fn resolve(&mut self, run: RunNumber) -> Option<UnresolvedRun> {
        let place = self.unresolved.iter().position(|open| open.run == run)?;
        Some(self.unresolved.remove(place))
    }

    /// Notes a start. Returns whether it counts.
    pub fn count_start(&mut self) -> bool {
        let counts = self.possible() >= FAIL_AFTER_CRASHES;
        if counts {
            self.further_starts = self.further_starts.saturating_add(1);
        }
        counts
    }

    /// A start that counted was carried out by no worker.
    pub fn uncount_start(&mut self) {
        self.further_starts = self.further_starts.saturating_sub(1);
    }

    /// Notes a run that may have been lost by a crash that nobody saw.
    pub fn note_unconfirmed(&mut self) {
        self.unconfirmed = self.unconfirmed.saturating_add(1).min(DOUBTS_MOST);
    }

    /// Notes a crash that came together with those of others.
    pub fn note_correlated(&mut self, at_unix_ms: u64) {
        self.correlated_ms.retain(|at| at_unix_ms.saturating_sub(*at) < CRASH_MEMORY_MS);
        self.correlated_ms.push(at_unix_ms);
    }

    /// Counts a crash. Returns whether it was not counted before.
    pub fn note_crash(&mut self, crash: WorkerCrash) -> bool {
        add_crash(&mut self.crashes, crash)
    }

    /// Notes a crash of a worker on which a start went unanswered. Returns whether it was not noted before.
    pub fn note_unanswered(&mut self, crash: WorkerCrash) -> bool {
        add_crash(&mut self.unanswered, crash)
    }
}

/// Adds a crash to those that are remembered, unless its life is among them.
fn add_crash(crashes: &mut Vec<WorkerCrash>, crash: WorkerCrash) -> bool {
    crashes.retain(|old| crash.at_unix_ms.saturating_sub(old.at_unix_ms) < CRASH_MEMORY_MS);
    let new = crashes.iter().all(|known| known.life != crash.life);
    if new {
        crashes.push(crash);
    }
    new
}
