//! The worker crashes under each task, and the decision whether the task causes them.
//!
//! A worker that crashes reports no ends, so a task that crashes its workers would be started again for ever. Every
//! task that ran on a worker when it crashed is a suspect, since nothing shows which of them caused the crash. A
//! suspect is restarted at once, but not beside other suspects of the same crash. After a second crash it runs on a
//! worker without other jobs. If that worker crashes too, the task is taken as the cause. So a task that crashes its
//! workers takes down three of them, while a task that only ran beside it is cleared by running alone.
//!
//! A run that had lasted for long when its worker crashed is most likely not the cause. Such losses count for what users
//! accept, but are no reason to keep the tasks apart or to wait for news: a worker with many long-running tasks would
//! leave more suspects than there are workers.

use std::net::SocketAddr;

use sedgehill_core::units::TimeSpan;
use serde::{Deserialize, Serialize};

use crate::ids::{RunNumber, WorkerLife};

/// Number of workers lost under a task from which on it runs on a worker without other jobs. With one, each crash of
/// a full worker would ask for about eight empty workers at once. With two, the second crash distinguishes the cause
/// from the tasks that ran beside it.
pub const EXCLUSIVE_AFTER_LOSSES: usize = 2;
/// The same where the task had run for long on each of the workers.
const EXCLUSIVE_AFTER_SETTLED_LOSSES: usize = FAIL_AFTER_CRASHES;
/// A task is taken as the cause once this many workers that had reported its run crashed, if it ran there without
/// other jobs in enough of these crashes: one, or two where workers often crash by themselves. Users accept that a
/// task is failed after two crashes. But two crashes can be caused by two other tasks that ran beside it; the third,
/// with the task alone, cannot.
pub const FAIL_AFTER_CRASHES: usize = 3;
/// Number of known crashes under a task from which on users accept that it is failed.
const MIN_CRASHES_TO_FAIL: usize = 2;
/// Number of starts that users accept after the third crash.
pub const MAX_FURTHER_STARTS: u8 = 2;
/// Number of workers that crashed or may have crashed under a task from which on it is not started while one of these
/// cases is unresolved. Resolving them takes some seconds, and each start meanwhile could be one too many.
const DEFER_AFTER_LOSSES: usize = FAIL_AFTER_CRASHES;
/// Number of lost runs without news that are kept once no start waits for them, which bounds the record. With this many
/// the task has used up the starts that users accept.
const MAX_UNHEARD_RUNS: usize = FAIL_AFTER_CRASHES + MAX_FURTHER_STARTS as usize;
/// Number of unconfirmed crashes that are counted. More would change nothing, since three crashes have to be known.
const MAX_UNCONFIRMED: u8 = MAX_FURTHER_STARTS;
/// How long a start waits for news of a lost worker. Most crashed workers are back after some seconds. One that was
/// removed never answers, and a harmless task must not wait for it.
pub const MAX_LOSS_WAIT: TimeSpan = TimeSpan(20_000);
/// How long a crash is remembered, in milliseconds. Under a long-running task a worker crashes some times a day for
/// other reasons; a task that crashes workers does so much more often.
pub const CRASH_MEMORY_MS: u64 = 600_000;

/// A worker that crashed under a task.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkerCrash {
    /// The life of the worker that ended.
    pub life: WorkerLife,
    /// Whether no other job ran on the worker that could have caused the crash.
    pub alone: bool,
    /// Whether the worker had reported the run. Otherwise its start was sent and not answered, and the worker may
    /// have been down by then.
    pub seen: bool,
    /// When the crash became known, in milliseconds since 1970.
    pub at_unix_ms: u64,
}

/// A run that was started and of which it is not known yet whether it ended or was lost by a crash of its worker.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct UnresolvedRun {
    /// The number of the run.
    pub run: RunNumber,
    /// The worker on which it was started.
    pub life: WorkerLife,
    /// The address of that worker: if another life answers there, this one has ended.
    pub address: SocketAddr,
    /// Whether no other job ran on the worker that could have caused a crash.
    pub alone: bool,
    /// Whether the worker had reported the run.
    pub seen: bool,
    /// How long leads have waited for news since the run was lost; none while it is not known to be lost. Stored in
    /// [`JobProgress::loss_waits`](crate::progress::JobProgress::loss_waits).
    #[serde(skip)]
    pub waited: Option<TimeSpan>,
}

impl UnresolvedRun {
    /// Returns whether the next start has to wait for news of this run. Asked only while the task runs nowhere, so a run
    /// that is not known to be lost is one that an earlier lead recorded.
    fn defers_start(&self) -> bool {
        self.waited.is_none_or(|waited| waited < MAX_LOSS_WAIT)
    }
}

/// How the loss of a worker under two tasks speaks against starting them on one worker.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum SharedLoss {
    /// They lost no worker together.
    None,
    /// Both had run for long on each of them.
    Settled,
    /// One of them may have caused the loss.
    Suspect,
}

/// Where a task may be started, given the losses of its earlier workers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StartRestriction {
    /// On any worker.
    Unrestricted,
    /// Not beside a task that ran on the same worker when that was lost.
    Separate,
    /// Only on a worker without other jobs that could cause a crash.
    Exclusive,
    /// Nowhere, until it is known what became of its earlier workers.
    Deferred,
}

/// The losses of workers under one task.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashHistory {
    /// The workers that crashed.
    pub crashes: Vec<WorkerCrash>,
    /// The runs that may have been lost by a crash.
    pub unresolved: Vec<UnresolvedRun>,
    /// The number of runs that may have been lost by a crash that nothing observed: the worker was lost while the
    /// lead changed, or it may have left as planned. They prove nothing, but count for what users accept.
    pub unconfirmed: u8,
    /// The number of starts after three workers had crashed, or may have crashed, under the task.
    pub further_starts: u8,
    /// When workers crashed under the task at the same time as many others, in milliseconds since 1970. Such a crash
    /// does not prove that the task is the cause. It still counts for what users accept, since it may be. Stored in
    /// [`JobProgress::correlated_ms`](crate::progress::JobProgress::correlated_ms).
    #[serde(skip)]
    pub correlated_ms: Vec<u64>,
    /// Crashed workers that had not answered a start of the current lead. A worker answers before the task can do any
    /// harm, so most likely these were down by then. Stored in
    /// [`JobProgress::unanswered`](crate::progress::JobProgress::unanswered).
    #[serde(skip)]
    pub unanswered: Vec<WorkerCrash>,
    /// The lost workers on which the task had run for long. Not stored: to a later lead all losses are equal.
    #[serde(skip)]
    settled: Vec<WorkerLife>,
}

impl CrashHistory {
    /// Returns whether no loss is recorded.
    pub fn is_empty(&self) -> bool {
        let none =
            self.crashes.is_empty() && self.unresolved.is_empty() && self.correlated_ms.is_empty();
        none && self.unanswered.is_empty() && self.unconfirmed == 0
    }

    /// Returns whether nothing is recorded but that a run was started, which its worker has reported.
    pub fn is_only_run(&self, run: RunNumber) -> bool {
        let is_run = |unresolved: &UnresolvedRun| unresolved.run == run && unresolved.seen;
        self.possible_crashes() == 0 && matches!(&self.unresolved[..], [only] if is_run(only))
    }

    /// Returns the number of workers that crashed, or may have crashed, under the task.
    fn possible_crashes(&self) -> usize {
        self.known_crashes() + self.unanswered.len() + usize::from(self.unconfirmed)
    }

    /// Returns the number of workers that may have crashed under the task, as far as is known while it runs nowhere. A
    /// crash that nobody has heard of counts, since it can become known at any time.
    fn losses(&self) -> usize {
        self.possible_crashes() + self.unresolved.len()
    }

    /// Returns the number of workers that are known to have crashed while the task may have run there.
    fn known_crashes(&self) -> usize {
        self.crashes.len() + self.correlated_ms.len()
    }

    /// Returns where the task may be started while none of its runs is active.
    pub fn start_restriction(&self) -> StartRestriction {
        let lost = self.lost_lives().count();
        let settled = self.lost_lives().filter(|life| self.is_settled(life)).count();
        let defers = |run: &UnresolvedRun| run.defers_start() && !self.is_settled(&run.life);
        let awaits_news = || self.unresolved.iter().any(defers);
        match lost {
            _ if self.losses() >= DEFER_AFTER_LOSSES && awaits_news() => StartRestriction::Deferred,
            0 => StartRestriction::Unrestricted,
            lost if lost >= EXCLUSIVE_AFTER_SETTLED_LOSSES => StartRestriction::Exclusive,
            lost if lost >= EXCLUSIVE_AFTER_LOSSES && settled < lost => StartRestriction::Exclusive,
            _ => StartRestriction::Separate,
        }
    }

    /// Returns whether the task is taken as the cause of the crashes, or has used up the starts that users accept.
    /// `min_alone` is the number of crashes without another job on the worker that prove the task to be the cause.
    pub fn is_crash_cause(&self, min_alone: usize) -> bool {
        let seen = || self.crashes.iter().filter(|crash| crash.seen);
        let proven = seen().count() >= FAIL_AFTER_CRASHES
            && seen().filter(|crash| crash.alone).count() >= min_alone;
        let max_losses = FAIL_AFTER_CRASHES + usize::from(MAX_FURTHER_STARTS);
        // Other tasks may have caused any of these crashes, but users accept no further start.
        let used_up =
            self.further_starts >= MAX_FURTHER_STARTS || self.possible_crashes() >= max_losses;
        // Unanswered starts fail the task only if every start that users accept was lost.
        let all_lost = self.known_crashes() + self.unanswered.len() >= max_losses;
        proven || (self.known_crashes() >= MIN_CRASHES_TO_FAIL && used_up) || all_lost
    }

    /// Returns how a life of a worker that was lost under both tasks speaks against starting them on one worker.
    pub fn shared_loss(&self, other: &CrashHistory) -> SharedLoss {
        let shared = |life: &&WorkerLife| other.lost_lives().any(|lost| lost == *life);
        let grade = |life: &WorkerLife| match self.is_settled(life) && other.is_settled(life) {
            true => SharedLoss::Settled,
            false => SharedLoss::Suspect,
        };
        self.lost_lives().filter(shared).map(grade).max().unwrap_or(SharedLoss::None)
    }

    /// Notes that the task had run for long on a worker that is lost.
    pub fn note_settled(&mut self, life: WorkerLife) {
        let lost: Vec<WorkerLife> = self.lost_lives().cloned().collect();
        self.settled.retain(|settled| lost.contains(settled));
        if !self.settled.contains(&life) {
            self.settled.push(life);
        }
    }

    fn is_settled(&self, life: &WorkerLife) -> bool {
        self.settled.contains(life)
    }

    /// Returns the lives that crashed or may have crashed under the task.
    fn lost_lives(&self) -> impl Iterator<Item = &WorkerLife> {
        let crashed = self.crashes.iter().chain(&self.unanswered).map(|crash| &crash.life);
        crashed.chain(self.unresolved.iter().map(|run| &run.life))
    }

    /// Adds or replaces a run that may be lost by a crash. Returns whether it is new.
    pub fn add_unresolved(&mut self, unresolved: UnresolvedRun) -> bool {
        match self.unresolved.iter_mut().find(|known| known.run == unresolved.run) {
            Some(known) => {
                *known = unresolved;
                false
            }
            None => {
                self.unresolved.push(unresolved);
                self.drop_oldest_unheard();
                true
            }
        }
    }

    /// Bounds the size of the record.
    fn drop_oldest_unheard(&mut self) {
        let is_unheard = |run: &UnresolvedRun| !run.defers_start();
        if self.unresolved.iter().filter(|run| is_unheard(run)).count() > MAX_UNHEARD_RUNS
            && let Some(oldest) = self.unresolved.iter().position(is_unheard)
        {
            self.unresolved.remove(oldest);
        }
    }

    /// Notes how long starts have waited for news of a run. Returns whether the run is unresolved.
    pub fn note_wait(&mut self, run: RunNumber, waited: TimeSpan) -> bool {
        let unresolved = self.unresolved.iter_mut().find(|unresolved| unresolved.run == run);
        unresolved.map(|unresolved| unresolved.waited = Some(waited)).is_some()
    }

    /// Notes that the worker has reported a run whose start was recorded ahead. Returns whether this was not known.
    pub fn note_seen(&mut self, run: RunNumber) -> bool {
        let unresolved = self.unresolved.iter_mut().find(|unresolved| unresolved.run == run);
        unresolved.is_some_and(|unresolved| !std::mem::replace(&mut unresolved.seen, true))
    }

    /// Removes and returns an unresolved run: it is known now what became of it, or it never started.
    pub fn resolve(&mut self, run: RunNumber) -> Option<UnresolvedRun> {
        let index = self.unresolved.iter().position(|unresolved| unresolved.run == run)?;
        Some(self.unresolved.remove(index))
    }

    /// Notes a start while no run is active. Returns whether it counts as one of the starts after the third crash.
    pub fn count_start(&mut self) -> bool {
        let counts = self.losses() >= FAIL_AFTER_CRASHES;
        if counts {
            self.further_starts = self.further_starts.saturating_add(1);
        }
        counts
    }

    /// Drops the count of starts if fewer than three workers may have crashed, so that none of them came after the third.
    pub fn reset_further_starts(&mut self) {
        if self.losses() < FAIL_AFTER_CRASHES {
            self.further_starts = 0;
        }
    }

    /// Removes a start from the count: no worker carried it out.
    pub fn uncount_start(&mut self) {
        self.further_starts = self.further_starts.saturating_sub(1);
    }

    /// Notes a run that may have been lost by a crash that nothing observed.
    pub fn note_unconfirmed(&mut self) {
        self.unconfirmed = self.unconfirmed.saturating_add(1).min(MAX_UNCONFIRMED);
    }

    /// Notes a crash at the same time as those of many other workers.
    pub fn note_correlated(&mut self, at_unix_ms: u64) {
        self.correlated_ms.retain(|at| at_unix_ms.saturating_sub(*at) < CRASH_MEMORY_MS);
        self.correlated_ms.push(at_unix_ms);
    }

    /// Notes a crash of a worker. Returns whether it is new.
    pub fn note_crash(&mut self, crash: WorkerCrash) -> bool {
        add_crash(&mut self.crashes, crash)
    }

    /// Notes a crash of a worker that had not answered a start. Returns whether it is new.
    pub fn note_unanswered(&mut self, crash: WorkerCrash) -> bool {
        add_crash(&mut self.unanswered, crash)
    }
}

/// Adds a crash unless its life is known already, and drops crashes that are too old. Returns whether it was added.
fn add_crash(crashes: &mut Vec<WorkerCrash>, crash: WorkerCrash) -> bool {
    crashes.retain(|old| crash.at_unix_ms.saturating_sub(old.at_unix_ms) < CRASH_MEMORY_MS);
    let is_new = crashes.iter().all(|known| known.life != crash.life);
    if is_new {
        crashes.push(crash);
    }
    is_new
}
