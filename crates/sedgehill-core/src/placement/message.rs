//! What a lead and its workers say to each other.

use std::collections::BTreeSet;

use serde::{Deserialize, Serialize};

use crate::ids::{AttemptId, Epoch, Incarnation};
use crate::job::TaskOutcome;
use crate::units::{ResourceSet, TimeSpan};

/// The order to start a task.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskStart {
    /// The attempt.
    pub attempt: AttemptId,
    /// The term of the lead that starts it.
    pub epoch: Epoch,
    /// What it is given.
    pub resources: ResourceSet,
    /// How long it runs without a renewal.
    pub lease: TimeSpan,
    /// The declared run time.
    pub run_time: TimeSpan,
}

/// What a lead asks of a worker at each sync.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkerSync {
    /// The term of the lead.
    pub epoch: Epoch,
    /// How long the renewed tasks run without another renewal.
    pub lease: TimeSpan,
    /// Tasks whose leases are renewed.
    pub renew: BTreeSet<AttemptId>,
    /// Tasks to stop.
    pub stop: BTreeSet<AttemptId>,
    /// Ended tasks that the worker need not report any more.
    pub forget: BTreeSet<AttemptId>,
}

/// One task as its worker reports it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskReport {
    /// The attempt.
    pub attempt: AttemptId,
    /// What it was given.
    pub resources: ResourceSet,
    /// How it ended; none while it runs.
    pub outcome: Option<TaskOutcome>,
}

/// Everything a worker runs or has to report.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkerInventory {
    /// The run of the worker: tasks of an earlier run are gone.
    pub incarnation: Incarnation,
    /// The tasks.
    pub tasks: Vec<TaskReport>,
}

/// How a start order ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StartReply {
    /// The task runs.
    Started,
    /// The worker refused: the task does not run there.
    Refused,
    /// No answer: the task may run there now or soon.
    Unknown,
}
