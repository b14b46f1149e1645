//! Records of the platform's log.
//!
//! A record names the state on which it depends, such as an epoch or a version, and
//! [`crate::state`] accepts or rejects it from the preceding log alone. A record that is appended
//! again keeps its id and has no second effect.

use std::collections::BTreeSet;

use serde::{Deserialize, Serialize};

use crate::ids::{
    BoxId, Epoch, HallName, IdempotencyKey, JobId, Offset, OrgName, RecordId, Version, WorkerId,
};
use crate::job::{JobRequest, TaskEnd};
use crate::spec::ConfigSpec;
use crate::state::ClusterState;

/// Content of a record.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(tag = "type", rename_all = "kebab-case")]
pub enum RecordBody {
    /// Publishes a version of a template or of parameters. Accepted only if `base` is the current
    /// version.
    Publish {
        /// The version that was edited; `None` for the first version.
        base: Option<Version>,
        /// The new content.
        spec: ConfigSpec,
    },
    /// Submits a job. The id of the job is the id of the record.
    Submit {
        /// The job.
        request: JobRequest,
        /// Data hall whose lead places the tasks.
        hall: HallName,
    },
    /// Cancels a job.
    Cancel {
        /// The job.
        job: JobId,
    },
    /// Claims the lead of a data hall. Accepted only if the offset of the hall's last claim,
    /// renewal or release is `after`.
    ClaimLead {
        /// The hall.
        hall: HallName,
        /// Offset of the last claim, renewal or release that the claimant read; `None` if there was
        /// none.
        after: Option<Offset>,
    },
    /// Renews a lead. Accepted only under the current epoch.
    RenewLead {
        /// The hall.
        hall: HallName,
        /// Epoch of the lead.
        epoch: Epoch,
    },
    /// Releases a lead, so that another box may claim it at once.
    ReleaseLead {
        /// The hall.
        hall: HallName,
        /// Epoch of the lead.
        epoch: Epoch,
    },
    /// Changes the roster: the workers on which tasks may run. A worker is added before the first
    /// task is started on it, so that a later lead asks every such worker for its tasks.
    Roster {
        /// The hall.
        hall: HallName,
        /// Epoch of the lead.
        epoch: Epoch,
        /// Workers to add.
        add: BTreeSet<WorkerId>,
        /// Workers to remove, which cannot be running any task.
        remove: BTreeSet<WorkerId>,
    },
    /// Records attempts that ended.
    EndTasks {
        /// The hall.
        hall: HallName,
        /// Epoch of the lead.
        epoch: Epoch,
        /// The attempts.
        ends: Vec<TaskEnd>,
    },
    /// Moves a job without running tasks to another data hall.
    MoveJob {
        /// Hall that placed the job so far.
        hall: HallName,
        /// Epoch of that hall's lead.
        epoch: Epoch,
        /// The job.
        job: JobId,
        /// Hall that places the job from now on.
        to: HallName,
    },
    /// Claims an idempotency key, and with it the right to run an at-most-once request.
    ClaimKey {
        /// Organisation of the caller.
        organisation: OrgName,
        /// Idempotency key of the request.
        key: IdempotencyKey,
    },
    /// Releases a claim whose request did not run, so that the key may be claimed again.
    ReleaseKey {
        /// Organisation of the caller.
        organisation: OrgName,
        /// Idempotency key of the request.
        key: IdempotencyKey,
        /// Id of the record that claimed the key.
        claim: RecordId,
    },
    /// Asks a box to drain, that is, to take no new work, or to take work again.
    DrainBox {
        /// The box.
        target: BoxId,
        /// True to drain the box, false to end the drain.
        drain: bool,
    },
    /// State of the cluster, from which a reader can start without the earlier log.
    Snapshot {
        /// Offset of the last entry that the state includes.
        at: Offset,
        /// The state.
        state: Box<ClusterState>,
    },
}

/// A record of the log with its author.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct LogRecord {
    /// Id of the record, which stays the same when it is appended again.
    pub id: RecordId,
    /// Box that appended it.
    pub by: BoxId,
    /// Content of the record.
    pub body: RecordBody,
}

/// The records of one append.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct RecordBatch {
    /// The records, in the order in which they are applied.
    pub records: Vec<LogRecord>,
}

/// One entry of the platform's log, which holds the records of one append.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct LogEntry {
    /// Position in the log.
    pub offset: Offset,
    /// Time of the append by the platform's clock, in milliseconds of Unix time.
    pub at_ms: u64,
    /// The records.
    pub batch: RecordBatch,
}
