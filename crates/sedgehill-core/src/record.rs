//! The records of the log.
//!
//! A record names what it depends on, and [`crate::state`] decides from the prefix of the log
//! alone whether it holds. A record appended again keeps its id and has no second effect.

use std::collections::BTreeSet;

use serde::{Deserialize, Serialize};

use crate::ids::{
    BoxId, Epoch, HallName, IdempotencyKey, JobId, Offset, OrgName, RecordId, Version, WorkerId,
};
use crate::job::{JobRequest, TaskEnd};
use crate::spec::ConfigSpec;
use crate::state::ClusterState;

/// What a record says.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(tag = "type", rename_all = "kebab-case")]
pub enum RecordBody {
    /// A new version of a template or of parameters. Holds only if `base` is the version in force.
    Publish {
        /// The version that was edited; none for the first.
        base: Option<Version>,
        /// The new content.
        spec: ConfigSpec,
    },
    /// A new job. Its id is the record's.
    Submit {
        /// What is submitted.
        request: JobRequest,
        /// The hall that is to place it.
        hall: HallName,
    },
    /// Cancels a job.
    Cancel {
        /// The job.
        job: JobId,
    },
    /// Claims the lead of a hall. Holds only if the last claim or renewal is still at `after`.
    ClaimLead {
        /// The hall.
        hall: HallName,
        /// The offset of the last claim, renewal or release that the claimant read.
        after: Option<Offset>,
    },
    /// Renews a lead. Holds only under the current epoch.
    RenewLead {
        /// The hall.
        hall: HallName,
        /// The epoch that is renewed.
        epoch: Epoch,
    },
    /// Gives up a lead, so that another box may claim it at once.
    ReleaseLead {
        /// The hall.
        hall: HallName,
        /// The epoch that ends.
        epoch: Epoch,
    },
    /// Names workers before the first task is started on them, so that a later lead asks them all.
    Roster {
        /// The hall.
        hall: HallName,
        /// The epoch of the lead.
        epoch: Epoch,
        /// Workers about to be used.
        add: BTreeSet<WorkerId>,
        /// Workers that surely run nothing.
        remove: BTreeSet<WorkerId>,
    },
    /// Attempts that ended.
    EndTasks {
        /// The hall.
        hall: HallName,
        /// The epoch of the lead.
        epoch: Epoch,
        /// The attempts.
        ends: Vec<TaskEnd>,
    },
    /// Gives a job of which nothing runs to another hall.
    MoveJob {
        /// The hall that gives it up.
        hall: HallName,
        /// The epoch of that hall's lead.
        epoch: Epoch,
        /// The job.
        job: JobId,
        /// The hall that takes it.
        to: HallName,
    },
    /// Claims the right to run a once-only request.
    ClaimKey {
        /// The organisation of the caller.
        organisation: OrgName,
        /// The caller's key.
        key: IdempotencyKey,
    },
    /// Gives back a claim whose request surely did not run.
    ReleaseKey {
        /// The organisation of the caller.
        organisation: OrgName,
        /// The caller's key.
        key: IdempotencyKey,
        /// The record of the claim.
        claim: RecordId,
    },
    /// Asks a box to stop taking work, or to take it again.
    DrainBox {
        /// The box.
        target: BoxId,
        /// Whether it is to drain.
        drain: bool,
    },
    /// The state of the cluster up to and with an offset.
    Snapshot {
        /// The last offset that the state contains.
        at: Offset,
        /// The state.
        state: Box<ClusterState>,
    },
}

/// One record and who wrote it.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct LogRecord {
    /// The id, kept when the record is appended again.
    pub id: RecordId,
    /// The box that appended it.
    pub by: BoxId,
    /// What it says.
    pub body: RecordBody,
}

/// What one append carries.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct RecordBatch {
    /// The records, applied in this order.
    pub records: Vec<LogRecord>,
}

/// One entry as the platform's log returns it.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct LogEntry {
    /// Where it stands.
    pub offset: Offset,
    /// When the platform took it, in milliseconds of Unix time.
    pub at_ms: u64,
    /// What it carries.
    pub batch: RecordBatch,
}
