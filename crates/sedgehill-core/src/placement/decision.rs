//! What the placement of a hall decides, and why.

use std::collections::BTreeSet;

use serde::{Deserialize, Serialize};

use super::message::{TaskStart, WorkerSync};
use crate::ids::{TaskId, WorkerId};
use crate::job::TaskEnd;

/// What the lead has to do.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PlacementAction {
    /// Start a task.
    Start(WorkerId, TaskStart),
    /// Ask for the inventory, and pass on renewals and stops.
    Sync(WorkerId, WorkerSync),
    /// Record attempts that ended.
    End(Vec<TaskEnd>),
    /// Record workers before they are used, and those that surely run nothing any more.
    Roster {
        /// Workers about to be used.
        add: BTreeSet<WorkerId>,
        /// Workers that surely run nothing.
        remove: BTreeSet<WorkerId>,
    },
}

/// Why a waiting task waits.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum WaitReason {
    /// The lead is new and has not heard of every worker yet.
    Recovering,
    /// No worker has room for it now.
    NoRoom,
    /// No worker of the hall could ever hold it.
    NeverFits,
    /// The other tasks of its gang are being stopped, so that all start together.
    Regrouping,
}

/// One decision, for the log line and for reading back.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlacementDecision {
    /// The task.
    pub task: TaskId,
    /// The worker that was chosen, or why none was.
    pub result: Result<WorkerId, WaitReason>,
    /// Workers with room.
    pub candidates: usize,
}
