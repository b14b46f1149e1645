//! What goes into and out of the scheduler.

use std::fmt;
use std::hash::{DefaultHasher, Hasher};
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;

use sedgehill_core::units::{ResourceSet, TimeSpan};
use serde::{Deserialize, Serialize};

use crate::ids::{
    CellTask, FencingToken, JobId, LifeStart, PoolName, RunNumber, StepId, WorkerId, WorkerLife,
};
use crate::job::JobRecord;
use crate::progress::JobProgress;
use crate::stored::decode_grown;

/// The scheduler's handle of one life of a worker.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct WorkerKey(pub usize);

/// A box that asks the advice service on the lead's behalf. The service serves each box by itself.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct HelperId(pub u64);

/// The lead's own box as a helper.
pub const OWN_BOX: HelperId = HelperId(0);

/// A time on a worker's own clock, in milliseconds.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct WorkerTime(pub u64);

impl WorkerTime {
    /// The time `span` later.
    pub fn after(self, span: TimeSpan) -> WorkerTime {
        WorkerTime(self.0 + span.as_millis())
    }
}

/// A worker as it stands in the store.
#[derive(Debug, Clone, PartialEq)]
pub struct WorkerEntry {
    /// The life of the worker.
    pub life: WorkerLife,
    /// Where it takes orders.
    pub address: SocketAddr,
    /// The pool it serves.
    pub pool: PoolName,
    /// It will leave and takes no new work.
    pub draining: bool,
    /// What it has.
    pub capacity: ResourceSet,
    /// Its kind and its rack.
    pub labels: Vec<Arc<str>>,
}

/// An order to start a run.
#[derive(Debug, Clone)]
pub struct StartOrder {
    /// The worker.
    pub worker: WorkerKey,
    /// The task.
    pub task: CellTask,
    /// The run.
    pub run: RunNumber,
    /// The job, for what the task is given.
    pub record: Rc<JobRecord>,
    /// The lease of all runs on the worker lasts at least until then.
    pub lease_until: WorkerTime,
    /// What allows the step to run there.
    pub ticket: Option<Arc<str>>,
    /// What the run goes on from; empty for a start from nothing.
    pub checkpoint: String,
    /// The token for calls to this life.
    pub token: FencingToken,
}

/// An order to stop a run.
#[derive(Debug, Clone, PartialEq)]
pub struct StopOrder {
    /// The worker.
    pub worker: WorkerKey,
    /// The task.
    pub task: CellTask,
    /// The run.
    pub run: RunNumber,
    /// The token for calls to this life.
    pub token: FencingToken,
}

/// A question for the advice service.
#[derive(Debug, Clone, PartialEq)]
pub struct AdviceQuestion {
    /// The box that asks.
    pub helper: HelperId,
    /// The step.
    pub step: StepId,
    /// The workers in question. The service tells of the life that is there.
    pub workers: Vec<WorkerId>,
}

/// What the scheduler wants done.
#[derive(Debug, Clone)]
pub enum CellOrder {
    /// Start a run.
    Start(StartOrder),
    /// Stop a run.
    Stop(StopOrder),
    /// Ask which workers may run a step.
    Ask(AdviceQuestion),
}

/// What to ask of a worker next: renew the lease, forget ends, and say what runs.
#[derive(Debug, Clone, PartialEq)]
pub struct HoldOrder {
    /// The lease lasts at least until then; none for a look that renews nothing.
    pub lease_until: Option<WorkerTime>,
    /// Ends up to this number are in the store.
    pub acknowledged: u64,
    /// How long the answer may wait for an end.
    pub wait: TimeSpan,
    /// The token for calls to this life.
    pub token: FencingToken,
}

/// How a run ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RunEnd {
    /// It did its work.
    Done,
    /// It failed, by its own fault or the worker's.
    Failed,
    /// It was stopped by an order.
    Stopped,
    /// Its lease ended.
    Lapsed,
    /// Another member of its gang ended.
    Broken,
    /// It waited in vain for the other members of its gang.
    Alone,
}

impl RunEnd {
    /// The name in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            RunEnd::Done => "done",
            RunEnd::Failed => "failed",
            RunEnd::Stopped => "stopped",
            RunEnd::Lapsed => "lapsed",
            RunEnd::Broken => "broken",
            RunEnd::Alone => "alone",
        }
    }
}

/// A run that a worker lists as running.
#[derive(Debug, Clone, PartialEq)]
pub struct RunningRow {
    /// The task.
    pub task: CellTask,
    /// The run.
    pub run: RunNumber,
    /// The newest saved state.
    pub checkpoint: String,
}

/// An end that a worker lists.
#[derive(Debug, Clone, PartialEq)]
pub struct EndRow {
    /// The number of the end in this life of the worker.
    pub number: u64,
    /// The task.
    pub task: CellTask,
    /// The run.
    pub run: RunNumber,
    /// How it ended.
    pub end: RunEnd,
    /// The newest saved state.
    pub checkpoint: String,
}

/// A worker's account of what runs there.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct HoldReport {
    /// When the life began that answered; none on a platform that does not tell it, where each life has its own id.
    pub start: Option<LifeStart>,
    /// The worker's clock.
    pub clock: WorkerTime,
    /// What runs.
    pub running: Vec<RunningRow>,
    /// Ends that were not yet acknowledged.
    pub ended: Vec<EndRow>,
}

/// Why a worker did not do as ordered. Nothing was done.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WorkerRefusal {
    /// A higher token has been seen there.
    Fenced,
    /// The run is not above one that was stopped or ended there.
    OldRun,
    /// The order's lease had ended before it arrived.
    Late,
    /// It does not fit.
    NoRoom,
    /// The ticket is not valid.
    Ticket,
    /// The worker is not well.
    Unhealthy,
    /// Another life of the worker answered.
    OtherLife,
    /// The worker found the order wrong.
    Malformed,
    /// Nothing was sent, or surely nothing arrived.
    Unreached,
    /// The lead held the order back, since it may not be the lead any more.
    Withheld,
}

impl WorkerRefusal {
    /// The name in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            WorkerRefusal::Fenced => "fenced",
            WorkerRefusal::OldRun => "old_run",
            WorkerRefusal::Late => "late",
            WorkerRefusal::NoRoom => "no_room",
            WorkerRefusal::Ticket => "ticket",
            WorkerRefusal::Unhealthy => "unhealthy",
            WorkerRefusal::OtherLife => "other_life",
            WorkerRefusal::Malformed => "malformed",
            WorkerRefusal::Unreached => "unreached",
            WorkerRefusal::Withheld => "withheld",
        }
    }
}

/// What came of a call to a worker.
#[derive(Debug, Clone, PartialEq)]
pub enum WorkerAnswer<T> {
    /// It was done.
    Done(T),
    /// It was surely not done.
    NotDone(WorkerRefusal),
    /// It may have been done, or may be done later.
    Unknown,
}

/// A batch of progress that is to be recorded.
#[derive(Debug, Clone, PartialEq)]
pub struct ProgressBatch {
    /// The number of the batch; batches are recorded in this order.
    pub number: u64,
    /// The progress of each job.
    pub jobs: Vec<(JobId, JobProgress)>,
    /// Set if the workers that may be given work have become more.
    pub roster: Option<WorkerRoster>,
}

/// Tells rosters apart in logs.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RosterDigest(u64);

impl fmt::Display for RosterDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

/// The workers on which a lead may have started something. It is recorded before the first start on
/// any of them: the store's own list may miss workers that live, for some seconds after an outage.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct WorkerRoster {
    /// The workers, as they were listed last.
    pub workers: Vec<WorkerEntry>,
    /// Those that had more before, by their place in the list, with the most that they had. What was started then
    /// may still run.
    pub shrunk: Vec<(u32, ResourceSet)>,
}

impl WorkerRoster {
    /// The key under which the roster is kept.
    pub const KEY: &str = "roster";

    /// The stored form of the roster.
    pub fn encode(&self) -> Vec<u8> {
        let stored = StoredRoster::from(self);
        postcard::to_stdvec(&stored).expect("all types in a roster can be encoded")
    }

    /// What tells rosters apart in logs: the same for the same workers in the same order.
    pub fn digest(&self) -> RosterDigest {
        let mut hasher = DefaultHasher::new();
        hasher.write(&self.encode());
        RosterDigest(hasher.finish())
    }

    /// Reads a roster back.
    pub fn decode(value: &[u8]) -> Result<WorkerRoster, postcard::Error> {
        /// Two lists of none: rosters of earlier versions end before one of them, or both.
        const EMPTY_LISTS: [u8; 2] = [0, 0];
        decode_grown::<StoredRoster>(value, &EMPTY_LISTS).map(WorkerRoster::from)
    }
}

/// A worker as it stands in a stored roster.
#[derive(Serialize, Deserialize)]
struct StoredEntry {
    id: WorkerId,
    address: SocketAddr,
    pool: PoolName,
    draining: bool,
    capacity: ResourceSet,
    labels: Vec<Arc<str>>,
}

/// A stored roster. What came later stands last, where boxes of earlier versions pass over it.
#[derive(Serialize, Deserialize)]
struct StoredRoster {
    workers: Vec<StoredEntry>,
    shrunk: Vec<(u32, ResourceSet)>,
    /// When lives began, by their place in the list.
    starts: Vec<(u32, LifeStart)>,
}

impl From<&WorkerRoster> for StoredRoster {
    fn from(roster: &WorkerRoster) -> StoredRoster {
        let stored = |entry: &WorkerEntry| {
            let WorkerEntry { life, address, pool, draining, capacity, labels } = entry.clone();
            StoredEntry { id: life.id, address, pool, draining, capacity, labels }
        };
        let numbered = (0u32..).zip(&roster.workers);
        let starts = numbered.filter_map(|(place, entry)| Some((place, entry.life.start?)));
        StoredRoster {
            workers: roster.workers.iter().map(stored).collect(),
            shrunk: roster.shrunk.clone(),
            starts: starts.collect(),
        }
    }
}

impl From<StoredRoster> for WorkerRoster {
    fn from(stored: StoredRoster) -> WorkerRoster {
        let entry = |entry: StoredEntry| {
            let StoredEntry { id, address, pool, draining, capacity, labels } = entry;
            WorkerEntry { life: id.into(), address, pool, draining, capacity, labels }
        };
        let mut workers: Vec<WorkerEntry> = stored.workers.into_iter().map(entry).collect();
        for (place, start) in stored.starts {
            if let Some(entry) = workers.get_mut(place as usize) {
                entry.life.start = Some(start);
            }
        }
        WorkerRoster { workers, shrunk: stored.shrunk }
    }
}
