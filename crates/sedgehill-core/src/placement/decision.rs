//! Actions and decisions of the placement in a data hall.

use std::collections::BTreeSet;

use serde::{Deserialize, Serialize};

use super::message::{TaskStart, WorkerSync};
use crate::ids::{TaskId, WorkerId};
use crate::job::TaskEnd;

/// An action that the lead must carry out.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PlacementAction {
    /// Send the order to start a task to a worker.
    Start(WorkerId, TaskStart),
    /// Send lease renewals and stop orders to a worker and request its inventory.
    Sync(WorkerId, WorkerSync),
    /// Append a record of the attempts that ended.
    End(Vec<TaskEnd>),
    /// Append a change of the roster: the workers on which tasks may run.
    Roster {
        /// Workers that may be used once they are in the roster.
        add: BTreeSet<WorkerId>,
        /// Workers that are no longer listed and cannot be running any task.
        remove: BTreeSet<WorkerId>,
    },
}

/// Why a task waits.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum WaitReason {
    /// The lead is new and does not yet know what every worker runs.
    Recovering,
    /// No worker has enough free resources now.
    NoRoom,
    /// No worker of the data hall has enough resources in total.
    NeverFits,
    /// Its gang is incomplete: the other tasks are being stopped, so that all start together.
    Regrouping,
}

/// A decision about one task, for the log and for status queries.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlacementDecision {
    /// The task.
    pub task: TaskId,
    /// The chosen worker, or why none was chosen.
    pub result: Result<WorkerId, WaitReason>,
    /// Number of workers that could have run the task.
    pub candidates: usize,
}
