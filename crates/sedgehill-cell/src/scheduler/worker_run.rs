//! A run on a worker, and how far its start or stop has got.

use sedgehill_core::units::{Moment, ResourceSet, TimeSpan};

use super::message::WorkerTime;
use super::organisations::OrganisationKey;
use super::worker_speeds::RunBasis;
use crate::ids::RunNumber;

/// How far the start or stop of a run has got.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RunPhase {
    /// The start is being recorded and has not been sent.
    Recording,
    /// The start was sent and has not been answered.
    Ordered,
    /// The worker has said that it runs.
    Confirmed,
    /// A stop was sent, last by the given attempt, and has not been answered.
    Stopping(StopAttempt),
    /// A stop was answered, and the next report lists the end.
    Stopped,
}

/// An attempt to stop a run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StopAttempt {
    /// When it was sent.
    pub sent: Moment,
    /// The number of attempts before it.
    pub earlier: u32,
}

/// Unanswered stops of a run after which it counts as gone without an answer, once its start has
/// expired.
const MIN_UNANSWERED_STOPS: u32 = 3;
/// Most doublings of the interval between the stops of one run.
const MAX_STOP_DOUBLINGS: u32 = 3;

impl StopAttempt {
    /// Returns the first attempt.
    pub fn first(sent: Moment) -> StopAttempt {
        StopAttempt { sent, earlier: 0 }
    }

    /// Returns the next attempt if it is due. Intervals grow while stops stay unanswered: where
    /// answers are late because a link is full, frequent repeats would fill it further.
    pub fn next(self, interval: TimeSpan, now: Moment) -> Option<StopAttempt> {
        let wait = TimeSpan(interval.0 << self.earlier.min(MAX_STOP_DOUBLINGS));
        let due = now >= self.sent.after(wait);
        due.then_some(StopAttempt { sent: now, earlier: self.earlier + 1 })
    }
}

/// A run on a worker. It occupies room until its end is reported.
#[derive(Debug, Clone)]
pub struct WorkerRun {
    /// The run.
    pub run: RunNumber,
    /// The room it occupies; none if it is not known.
    pub need: Option<ResourceSet>,
    /// The organisation whose limit it counts against; none if no limit applies.
    pub owner: Option<OrganisationKey>,
    /// How far its start or stop has got.
    pub phase: RunPhase,
    /// If a report that was asked for later than this lists the run neither as running nor as
    /// ended, the run does not exist. None while no such conclusion is possible.
    pub listed_from: Option<Moment>,
    /// The end of the lease that its start carries. From then on the worker refuses the start. None
    /// before the start is sent, and for a run that a report listed first.
    pub start_expires: Option<WorkerTime>,
    /// When it was ordered or first reported.
    pub since: Moment,
    /// Its expected duration; none if it was already running when first reported, or has no end.
    pub expected: Option<TimeSpan>,
    /// It has taken so long that it was counted as a fault of the worker.
    pub overdue: bool,
    /// No run of another job may be placed beside it.
    pub alone: bool,
    /// The worker has said that the run is there.
    pub seen: bool,
    /// It runs until it is stopped.
    pub long_running: bool,
    /// What its duration shows of the speed of its worker.
    pub basis: RunBasis,
}

impl WorkerRun {
    /// Whether a worker that does not list the run at `clock` never will: its start had expired by
    /// then. Counts only if stops have been in vain, as the answer to a stop settles it sooner.
    pub fn has_expired(&self, clock: WorkerTime) -> bool {
        let RunPhase::Stopping(stop) = self.phase else { return false };
        stop.earlier >= MIN_UNANSWERED_STOPS && self.start_expires.is_some_and(|end| end < clock)
    }

    /// Notes that the worker says that it runs. Returns whether this is the first time.
    pub fn confirm(&mut self, now: Moment) -> bool {
        let is_first = !std::mem::replace(&mut self.seen, true);
        if self.phase == RunPhase::Ordered {
            self.phase = RunPhase::Confirmed;
            self.listed_from = Some(now);
        }
        is_first
    }
}
