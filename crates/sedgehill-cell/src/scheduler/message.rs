//! Inputs and outputs of the scheduler.

use std::fmt;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;

use sedgehill_core::units::{ResourceSet, TimeSpan};
use serde::{Deserialize, Serialize};

use super::roster_records::RosterChange;
use super::speed_records::SpeedChange;
use crate::ids::{
    CellTask, FencingToken, HallName, JobId, LifeStart, PoolName, RunNumber, StepId, WorkerId,
    WorkerLife,
};
use crate::job::JobRecord;
use crate::progress::JobProgress;
use crate::stored::decode_with_defaults;

/// The scheduler's index of one life of a worker.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct WorkerKey(pub usize);

/// A box that asks the advice service for the lead. The service has a queue for each box.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct HelperId(pub u64);

/// The helper id of the lead's own box.
pub const OWN_BOX: HelperId = HelperId(0);

/// A time on a worker's own clock, in milliseconds.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct WorkerTime(pub u64);

impl WorkerTime {
    /// Returns the time `span` later.
    pub fn after(self, span: TimeSpan) -> WorkerTime {
        WorkerTime(self.0 + span.as_millis())
    }
}

/// A worker as listed in the store.
#[derive(Debug, Clone, PartialEq)]
pub struct WorkerEntry {
    /// The life of the worker.
    pub life: WorkerLife,
    /// The address that takes its orders.
    pub address: SocketAddr,
    /// The pool it serves.
    pub pool: PoolName,
    /// It is about to leave and takes no new work.
    pub draining: bool,
    /// Its total resources.
    pub capacity: ResourceSet,
    /// Labels of its kind and of its rack.
    pub labels: Vec<Arc<str>>,
    /// Its data hall; none if the entry names none. Rosters do not store it, since a worker gets
    /// work only once its entry has been read.
    pub hall: Option<HallName>,
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
    /// The job, which holds the payload of the task.
    pub record: Rc<JobRecord>,
    /// The earliest end of the lease of all runs on the worker.
    pub lease_until: WorkerTime,
    /// The ticket that allows the step to run there; none if the queue needs no advice.
    pub ticket: Option<Arc<str>>,
    /// The saved state to resume from; empty to start from the beginning.
    pub checkpoint: String,
    /// The token for calls to this life of the worker.
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
    /// The token for calls to this life of the worker.
    pub token: FencingToken,
}

/// A question to the advice service: which of some workers may run a step.
#[derive(Debug, Clone, PartialEq)]
pub struct AdviceQuestion {
    /// The box that asks.
    pub helper: HelperId,
    /// The step.
    pub step: StepId,
    /// The workers. An answer about an id applies to the life that was there when it was asked.
    pub workers: Vec<WorkerId>,
}

/// An action that the scheduler wants carried out.
#[derive(Debug, Clone)]
pub enum CellOrder {
    /// Start a run.
    Start(StartOrder),
    /// Stop a run.
    Stop(StopOrder),
    /// Ask which workers may run a step.
    Ask(AdviceQuestion),
}

/// A hold: the periodic call to a worker that renews its lease, acknowledges run ends and asks for
/// a report.
#[derive(Debug, Clone, PartialEq)]
pub struct HoldOrder {
    /// The earliest end of the lease; none to ask for a report without renewing.
    pub lease_until: Option<WorkerTime>,
    /// Run ends up to this number are in the store, and the worker may forget them.
    pub acknowledged: u64,
    /// How long the worker may delay its answer while no run ends.
    pub wait: TimeSpan,
    /// The token for calls to this life of the worker.
    pub token: FencingToken,
}

/// How a run ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RunEnd {
    /// The task is done.
    Done,
    /// It failed, because of the task or the worker.
    Failed,
    /// An order stopped it.
    Stopped,
    /// Its lease ended.
    Lapsed,
    /// Another member of its gang ended.
    Broken,
    /// The other members of its gang did not start in time.
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

/// A run in a report that is still running.
#[derive(Debug, Clone, PartialEq)]
pub struct RunningRow {
    /// The task.
    pub task: CellTask,
    /// The run.
    pub run: RunNumber,
    /// The newest saved state.
    pub checkpoint: String,
}

/// A run end in a report.
#[derive(Debug, Clone, PartialEq)]
pub struct EndRow {
    /// The number of the end, counted in this life of the worker.
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

/// A worker's report, the answer to a hold.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct HoldReport {
    /// When the life that answered began; none on a platform that does not report it, where each
    /// life has its own id.
    pub start: Option<LifeStart>,
    /// The reading of the worker's clock.
    pub clock: WorkerTime,
    /// Runs that are running.
    pub running: Vec<RunningRow>,
    /// The first run ends that have not been acknowledged.
    pub ended: Vec<EndRow>,
    /// There may be further ends that it does not list. It lists all running runs in any case.
    pub more_ends: bool,
}

/// Why an order was certainly not carried out.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WorkerRefusal {
    /// The worker has seen a higher token.
    Fenced,
    /// The worker has already stopped or ended this run or a later one of the task.
    OldRun,
    /// The lease in the order had ended before the order arrived.
    Late,
    /// The worker has too little room.
    NoRoom,
    /// The ticket is not valid.
    Ticket,
    /// The worker is not healthy.
    Unhealthy,
    /// Another life of the worker answered.
    OtherLife,
    /// The worker rejected the order as invalid, or for a reason that this version does not know.
    Malformed,
    /// Nothing was sent, or it certainly did not arrive.
    Unreached,
    /// The lead did not send the order, since it may no longer be the lead.
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

/// The result of a call to a worker.
#[derive(Debug, Clone, PartialEq)]
pub enum WorkerAnswer<T> {
    /// It was carried out.
    Done(T),
    /// It was certainly not carried out.
    NotDone(WorkerRefusal),
    /// It may have been carried out, or may be later.
    Unknown,
}

/// Progress to be recorded in the store together.
#[derive(Debug, Clone, PartialEq)]
pub struct ProgressBatch {
    /// The number of the batch. Batches are recorded in this order.
    pub number: u64,
    /// The progress of each job.
    pub jobs: Vec<(JobId, JobProgress)>,
    /// The changes of the roster; also a repeated record, if one is needed to confirm the lead.
    pub roster: Vec<RosterChange>,
    /// The changes of the records of workers' speeds.
    pub speeds: Vec<SpeedChange>,
}

/// A digest that identifies a roster: equal for the same workers, in any order. It does not depend on whether they are
/// draining, which is of no use to a later lead.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RosterDigest(u64);

impl RosterDigest {
    /// Returns the digest of some workers, each with the largest known resources of it.
    pub(super) fn of<'a>(
        workers: impl Iterator<Item = (&'a WorkerEntry, ResourceSet)>,
    ) -> RosterDigest {
        let of_worker = |(entry, largest): (&WorkerEntry, ResourceSet)| {
            let WorkerEntry { life, address, pool, capacity, labels, .. } = entry;
            let mut hasher = DefaultHasher::new();
            (life, address, pool, labels).hash(&mut hasher);
            for resources in [capacity, &largest] {
                let ResourceSet { cores, memory, accelerators } = *resources;
                (cores.0, memory.0, accelerators).hash(&mut hasher);
            }
            RosterDigest(hasher.finish())
        };
        RosterDigest::sum(workers.map(of_worker))
    }

    /// Returns the digest of several rosters together.
    pub(super) fn sum(digests: impl Iterator<Item = RosterDigest>) -> RosterDigest {
        RosterDigest(digests.fold(0, |sum, digest| sum.wrapping_add(digest.0)))
    }
}

impl fmt::Display for RosterDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

/// The workers on which a lead may have started a run. A worker is recorded in the roster before
/// the first start there, because the store's own list can miss live workers for some seconds after
/// an outage.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct WorkerRoster {
    /// The workers, as last listed.
    pub workers: Vec<WorkerEntry>,
    /// The largest known resources of workers that have less now, by their index in the list. Runs
    /// that were started with the larger size may still exist.
    pub shrunk: Vec<(u32, ResourceSet)>,
}

impl WorkerRoster {
    /// The key of the roster in the store.
    pub const KEY: &str = "roster";

    /// Creates the roster of some workers, each with the largest known resources of it.
    pub(super) fn of(workers: &[(&WorkerEntry, ResourceSet)]) -> WorkerRoster {
        let numbered = (0u32..).zip(workers);
        let shrunk = numbered.filter(|(_, (entry, largest))| entry.capacity != *largest);
        WorkerRoster {
            shrunk: shrunk.map(|(place, (_, largest))| (place, *largest)).collect(),
            workers: workers.iter().map(|(entry, _)| (*entry).clone()).collect(),
        }
    }

    /// Returns the workers, each with the largest known resources of it.
    pub(super) fn with_largest(&self) -> impl Iterator<Item = (&WorkerEntry, ResourceSet)> {
        // The places in `shrunk` rise.
        let mut shrunk = self.shrunk.iter().peekable();
        (0u32..).zip(&self.workers).map(move |(place, entry)| {
            let largest = shrunk.next_if(|(shrunk_place, _)| *shrunk_place == place);
            (entry, largest.map_or(entry.capacity, |(_, largest)| *largest))
        })
    }

    /// Encodes the roster for the store.
    pub fn encode(&self) -> Vec<u8> {
        let stored = StoredRoster::from(self);
        postcard::to_stdvec(&stored).expect("all types in a roster can be encoded")
    }

    /// Returns the digest of the workers.
    pub fn digest(&self) -> RosterDigest {
        RosterDigest::of(self.with_largest())
    }

    /// Decodes a stored roster.
    pub fn decode(value: &[u8]) -> Result<WorkerRoster, postcard::Error> {
        /// Two empty lists, appended when reading: rosters of earlier versions lack one or both.
        const EMPTY_LISTS: [u8; 2] = [0, 0];
        decode_with_defaults::<StoredRoster>(value, &EMPTY_LISTS).map(WorkerRoster::from)
    }
}

/// A worker in the stored form of a roster.
#[derive(Serialize, Deserialize)]
struct StoredEntry {
    id: WorkerId,
    address: SocketAddr,
    pool: PoolName,
    draining: bool,
    capacity: ResourceSet,
    labels: Vec<Arc<str>>,
}

/// The stored form of a roster. New fields are appended, since boxes of earlier versions ignore
/// trailing bytes.
#[derive(Serialize, Deserialize)]
struct StoredRoster {
    workers: Vec<StoredEntry>,
    shrunk: Vec<(u32, ResourceSet)>,
    /// When lives began, by the worker's index in the list.
    starts: Vec<(u32, LifeStart)>,
}

impl From<&WorkerRoster> for StoredRoster {
    fn from(roster: &WorkerRoster) -> StoredRoster {
        let stored = |entry: &WorkerEntry| {
            let WorkerEntry { life, address, pool, draining, capacity, labels, .. } = entry.clone();
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
            WorkerEntry { life: id.into(), address, pool, draining, capacity, labels, hall: None }
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
