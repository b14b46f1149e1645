//! Messages between a lead and the workers of its data hall.

use std::collections::BTreeSet;

use serde::{Deserialize, Serialize};

use crate::ids::{AttemptId, Epoch, Incarnation};
use crate::job::TaskOutcome;
use crate::units::{ResourceSet, TimeSpan};

/// Order to start a task.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskStart {
    /// The attempt to start.
    pub attempt: AttemptId,
    /// Epoch of the lead that starts it.
    pub epoch: Epoch,
    /// Resources that the task may use.
    pub resources: ResourceSet,
    /// Time after which the worker stops the task unless its lease is renewed.
    pub lease: TimeSpan,
    /// Declared run time of the task.
    pub run_time: TimeSpan,
}

/// Periodic request of a lead to a worker, which the worker answers with its [`WorkerInventory`].
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkerSync {
    /// Epoch of the lead.
    pub epoch: Epoch,
    /// New lease of the renewed tasks, from the receipt of the request.
    pub lease: TimeSpan,
    /// Attempts whose leases are renewed.
    pub renew: BTreeSet<AttemptId>,
    /// Attempts to stop.
    pub stop: BTreeSet<AttemptId>,
    /// Ended attempts that the worker no longer needs to report.
    pub forget: BTreeSet<AttemptId>,
}

/// One attempt as reported by its worker.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskReport {
    /// The attempt.
    pub attempt: AttemptId,
    /// Resources that the task was given.
    pub resources: ResourceSet,
    /// How it ended; `None` while it runs.
    pub outcome: Option<TaskOutcome>,
}

/// All attempts that a worker runs, and ended attempts that it was not yet told to forget.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkerInventory {
    /// Run of the worker's process. Tasks of an earlier run no longer exist.
    pub incarnation: Incarnation,
    /// The running and ended attempts.
    pub tasks: Vec<TaskReport>,
}

/// Result of a start order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StartReply {
    /// The worker started the task.
    Started,
    /// The worker refused, or the order was never sent: the task does not run there.
    Refused,
    /// There was no answer: the task may run there now, or start while the order is in transit.
    Unknown,
}
