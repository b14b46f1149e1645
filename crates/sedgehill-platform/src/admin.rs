//! Requests and responses of a box's admin interface, shared by the daemon and the command line.

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

/// A change requested by an operator.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(tag = "change", rename_all = "kebab-case")]
pub enum ChangeBody {
    /// Publish a new version of a template or of parameters.
    Publish {
        /// The version that the new one is based on; `None` if it is the first.
        base: Option<Version>,
        /// Content of the new version.
        spec: ConfigSpec,
    },
    /// Submit a job.
    Submit {
        /// The job to submit.
        request: JobRequest,
        /// The data hall to place it in; `None` lets the box choose one.
        hall: Option<HallName>,
    },
    /// Cancel a job.
    Cancel {
        /// The job to cancel.
        job: JobId,
    },
    /// Drain a box, or return it to service.
    Drain {
        /// The box to drain or return.
        target: BoxId,
        /// Whether to drain the box; `false` returns it to service.
        drain: bool,
    },
}

/// A change and its id, which stays the same if the request is repeated.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct ChangeRequest {
    /// Id of the log record that holds the change.
    pub id: RecordId,
    /// The requested change.
    pub body: ChangeBody,
}

/// Outcome of a change request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "outcome", rename_all = "kebab-case")]
pub enum ChangeReply {
    /// The record was appended and read back from the log.
    Settled {
        /// Whether the record took effect.
        verdict: RecordVerdict,
    },
    /// The record was not read back in time. It may still take effect.
    Unknown,
    /// The record was certainly not appended.
    NotTaken {
        /// Why the box did not append it.
        reason: String,
    },
}

/// The kept versions of one key.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct ConfigHistory {
    /// The versions, the newest last.
    pub versions: Vec<ConfigVersion>,
}

/// A key and the number of its current version.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct ConfigListing {
    /// The key of a template or of parameters, as text.
    pub key: String,
    /// Number of the current version.
    pub version: Version,
}

/// A job with its id.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct JobListing {
    /// Id of the job.
    pub id: JobId,
    /// State of the job.
    pub job: JobState,
}

/// Whether a box accepts new requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum BoxHealth {
    /// The box accepts requests.
    Ready,
    /// The box is draining or stopping: it only finishes the requests in flight.
    Draining,
    /// The box accepts no requests.
    NotReady,
}

/// Response of the health page.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HealthReport {
    /// Whether the box accepts new requests.
    pub health: BoxHealth,
    /// Why the box does not accept requests; empty if it does.
    pub reason: String,
}

/// State of a peer according to the answering box.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct PeerStatus {
    /// Id of the peer.
    pub id: BoxId,
    /// Liveness of the peer, from its heartbeats.
    pub state: MemberState,
    /// Offset of the next log entry that it will apply.
    pub applied: Offset,
}

/// State of a data hall according to the answering box.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct HallStatus {
    /// Name of the data hall.
    pub hall: HallName,
    /// The box that holds the lead according to the log; `None` if no box does.
    pub lead: Option<BoxId>,
    /// Epoch of the current or last lead; `None` if the hall never had a lead.
    pub epoch: Option<Epoch>,
    /// Whether the answering box holds the lead now and may start and stop tasks.
    pub held_here: bool,
    /// Total resources of the hall's known workers, without draining ones; `None` unless the
    /// answering box is the lead.
    pub total: Option<ResourceSet>,
    /// Free resources of these workers; `None` unless the answering box is the lead.
    pub free: Option<ResourceSet>,
    /// Number of placed tasks; `None` unless the answering box is the lead.
    pub placed: Option<usize>,
}

/// State of a service according to the answering box.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct ServiceStatus {
    /// Name of the service's template.
    pub service: TemplateName,
    /// Number of listed endpoints that are not leaving.
    pub endpoints: usize,
    /// Listed endpoints that are leaving.
    pub leaving: Vec<EndpointId>,
    /// Number of requests that wait at the answering box for an endpoint.
    pub waiting: usize,
    /// Number of requests that the answering box has in flight at endpoints.
    pub under_way: u32,
}

/// Summary of the state of a box.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct BoxStatus {
    /// Id of the box.
    pub id: BoxId,
    /// The data hall that the box is in.
    pub hall: HallName,
    /// Version of the daemon.
    pub version: String,
    /// Health of the box.
    pub health: HealthReport,
    /// Offset of the next log entry that it will apply.
    pub applied: Offset,
    /// Time since the last successful read of the log, in milliseconds.
    pub log_silent_ms: u64,
    /// Every peer from which the box ever received a heartbeat.
    pub peers: Vec<PeerStatus>,
    /// The data halls that the box knows.
    pub halls: Vec<HallStatus>,
    /// The services that the box routes requests to.
    pub services: Vec<ServiceStatus>,
    /// The current version of each template and of parameters.
    pub configs: Vec<ConfigListing>,
}

/// A decision about one task or request, and why it was made.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct DecisionRecord {
    /// Time of the decision, in milliseconds of Unix time.
    pub at_ms: u64,
    /// The box that made the decision.
    pub decided_by: BoxId,
    /// Id of the task or request, as text.
    pub subject: String,
    /// Text of the decision.
    pub decision: String,
    /// Why the decision was made.
    pub reason: String,
    /// Number of workers or endpoints that could have been chosen.
    pub candidates: usize,
    /// Offset of the next log entry to apply when the box decided: its state covered all before it.
    pub applied: Offset,
    /// Epoch of the lead that made a placement; `None` for requests.
    pub epoch: Option<Epoch>,
}

/// Where a task is placed, or why it waits, according to the lead of its data hall.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct TaskPlacement {
    /// Id of the task, as text.
    pub task: String,
    /// The worker on which the task is placed; `None` if it is not placed.
    pub worker: Option<WorkerId>,
    /// Time since the task was placed there, in milliseconds.
    pub for_ms: Option<u64>,
    /// Why the task waits; `None` if no reason is known.
    pub waits_for: Option<WaitReason>,
    /// Epoch of the lead.
    pub epoch: Epoch,
}

/// What the answering box knows about a job, a task or a request.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct ExplainReport {
    /// The job of that id, or the job of the task.
    pub job: Option<JobListing>,
    /// Placements of the job's tasks, or of the one task; empty unless the box leads the job's
    /// hall.
    pub places: Vec<TaskPlacement>,
    /// Decisions that the box keeps in memory, the oldest first.
    pub decisions: Vec<DecisionRecord>,
}
