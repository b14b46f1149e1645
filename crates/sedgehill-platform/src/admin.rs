//! What operators ask of a box, and what it answers. Shared by the daemon and the command line.

use sedgehill_core::ids::{
    BoxId, EndpointId, Epoch, HallName, JobId, Offset, RecordId, TemplateName, Version, WorkerId,
};
use sedgehill_core::job::{JobRequest, JobState};
use sedgehill_core::member::MemberState;
use sedgehill_core::placement::WaitReason;
use sedgehill_core::spec::ConfigSpec;
use sedgehill_core::state::{ConfigVersion, RecordVerdict};
use sedgehill_core::units::ResourceSet;
use serde::{Deserialize, Serialize};

/// A change that an operator asks for.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(tag = "change", rename_all = "kebab-case")]
pub enum ChangeBody {
    /// Publish a new version.
    Publish {
        /// The version that was edited; none for the first.
        base: Option<Version>,
        /// The content.
        spec: ConfigSpec,
    },
    /// Submit a job.
    Submit {
        /// The job.
        request: JobRequest,
        /// The hall to place it in; chosen by the box if none is named.
        hall: Option<HallName>,
    },
    /// Cancel a job.
    Cancel {
        /// The job.
        job: JobId,
    },
    /// Drain a box, or take it back into service.
    Drain {
        /// The box.
        target: BoxId,
        /// Whether to drain.
        drain: bool,
    },
}

/// A change with the id that it keeps if it is asked for again.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct ChangeRequest {
    /// The id of the record that the change becomes.
    pub id: RecordId,
    /// The change.
    pub body: ChangeBody,
}

/// What became of a change.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "outcome", rename_all = "kebab-case")]
pub enum ChangeReply {
    /// The log was read as far as the record.
    Settled {
        /// The verdict.
        verdict: RecordVerdict,
    },
    /// The record was not read back in time; it may take effect yet.
    Unknown,
    /// The box surely did not append it.
    NotTaken {
        /// Why.
        reason: String,
    },
}

/// The versions of one key, the newest last.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct ConfigHistory {
    /// The versions.
    pub versions: Vec<ConfigVersion>,
}

/// One key and its version in force.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct ConfigListing {
    /// The key.
    pub key: String,
    /// The version in force.
    pub version: Version,
}

/// A job and its id.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct JobListing {
    /// The id.
    pub id: JobId,
    /// The job.
    pub job: JobState,
}

/// Whether a box takes requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum BoxHealth {
    /// It does.
    Ready,
    /// It finishes what it has.
    Draining,
    /// It does not.
    NotReady,
}

/// What the health page says.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HealthReport {
    /// Whether the box takes requests.
    pub health: BoxHealth,
    /// Why, if it does not.
    pub reason: String,
}

/// A peer as a box sees it.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct PeerStatus {
    /// The peer.
    pub id: BoxId,
    /// Whether it is heard of.
    pub state: MemberState,
    /// The next offset that it will apply.
    pub applied: Offset,
}

/// A hall as a box sees it.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct HallStatus {
    /// The hall.
    pub hall: HallName,
    /// The box that leads it, if any does.
    pub lead: Option<BoxId>,
    /// The term.
    pub epoch: Option<Epoch>,
    /// Whether the answering box holds the lead and may act.
    pub held_here: bool,
    /// What its workers have, where the lead answers.
    pub total: Option<ResourceSet>,
    /// What is free, where the lead answers.
    pub free: Option<ResourceSet>,
    /// Tasks placed, where the lead answers.
    pub placed: Option<usize>,
}

/// A service as a box sees it.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct ServiceStatus {
    /// The template.
    pub service: TemplateName,
    /// Endpoints that take work.
    pub endpoints: usize,
    /// Endpoints that are leaving.
    pub leaving: Vec<EndpointId>,
    /// Requests waiting at this box.
    pub waiting: usize,
    /// Requests of this box under way at endpoints.
    pub under_way: u32,
}

/// A box at a glance.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct BoxStatus {
    /// The box.
    pub id: BoxId,
    /// Its data hall.
    pub hall: HallName,
    /// Its version.
    pub version: String,
    /// Whether it takes requests.
    pub health: HealthReport,
    /// The next offset that it will apply.
    pub applied: Offset,
    /// How long ago it last heard from the log, in milliseconds.
    pub log_silent_ms: u64,
    /// Its peers.
    pub peers: Vec<PeerStatus>,
    /// The halls.
    pub halls: Vec<HallStatus>,
    /// The services.
    pub services: Vec<ServiceStatus>,
    /// The configuration in force.
    pub configs: Vec<ConfigListing>,
}

/// One decision, as read back.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct DecisionRecord {
    /// When, in milliseconds of Unix time.
    pub at_ms: u64,
    /// The box that decided.
    pub decided_by: BoxId,
    /// The job, task or request.
    pub subject: String,
    /// What was decided.
    pub decision: String,
    /// Why.
    pub reason: String,
    /// How many could have been chosen.
    pub candidates: usize,
    /// The offset up to which the log was in force.
    pub applied: Offset,
    /// The term, for placements.
    pub epoch: Option<Epoch>,
}

/// Where a task is now, as its lead knows it.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct TaskPlace {
    /// The task.
    pub task: String,
    /// The worker that it holds room on.
    pub worker: Option<WorkerId>,
    /// For how long, in milliseconds.
    pub for_ms: Option<u64>,
    /// Why it waits.
    pub waits_for: Option<WaitReason>,
    /// The term of the lead.
    pub epoch: Epoch,
}

/// What a box can tell of a job, task or request.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct ExplainReport {
    /// The job, if it is one or a task of one.
    pub job: Option<JobListing>,
    /// Where its tasks are, if the box leads the hall.
    pub places: Vec<TaskPlace>,
    /// Decisions that the box remembers, the oldest first.
    pub decisions: Vec<DecisionRecord>,
}
