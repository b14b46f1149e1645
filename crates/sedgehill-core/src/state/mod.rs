//! State of the cluster, computed by applying the log in order.
//!
//! [`ClusterState::apply`] depends only on the state and the entry, so that all boxes that have
//! read the same part of the log reach the same verdict on every record. A rejected record changes
//! nothing.

mod claims;
mod fold;
mod jobs;
mod leads;

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

use crate::ids::{
    BoxId, Epoch, HallName, IdempotencyKey, JobId, Offset, OrgName, RecordId, TemplateName,
    Version, WorkerId,
};
use crate::job::JobState;
use crate::record::{LogEntry, LogRecord, RecordBody};
use crate::spec::{ConfigKey, ConfigSpec, OrgParameters, WorkTemplate};

pub use claims::{CLAIM_WINDOW_MS, MAX_KEY_AHEAD_MS};
pub use fold::LogFold;
pub use jobs::MAX_KEPT_JOBS;

/// Number of versions that are kept of each template and of each organisation's parameters.
pub const MAX_KEPT_VERSIONS: usize = 16;

/// Result of applying a record.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "verdict", rename_all = "kebab-case")]
pub enum RecordVerdict {
    /// The record took effect.
    Accepted {
        /// Offset at which it took effect.
        at: Offset,
    },
    /// The published version was based on another version than the current one.
    Conflict {
        /// The current version; `None` if there is none.
        winner: Option<Version>,
    },
    /// The record was rejected.
    Void {
        /// Why it was rejected.
        reason: VoidReason,
    },
}

/// Why a record is rejected.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum VoidReason {
    /// The epoch is not the current one, or its lead was released.
    StaleEpoch,
    /// The lead was claimed, renewed or released after the offset that the claimant read.
    LeadTaken,
    /// The job is unknown, ended or in another hall.
    NoSuchJob,
    /// None of the attempts is the current attempt of a task that the hall places.
    AttemptEnded,
    /// There is no batch or gang template of that name, or the organisation has no parameters for
    /// it.
    NoSuchTemplate,
    /// The number of tasks is zero or exceeds the limit.
    TaskCount,
    /// All tasks of the job together need more than the organisation's quota.
    OverQuota,
    /// The organisation's parameters do not allow the data hall.
    HallNotAllowed,
    /// The idempotency key is claimed by another record, or this record's own claim was released.
    KeyClaimed,
    /// The creation time of the key is outside the claim window.
    KeyOutsideWindow,
    /// The claim to release is not the last claim of the key.
    NotClaimant,
}

/// A published version of a template or of parameters.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigVersion {
    /// Number of the version.
    pub version: Version,
    /// The version that it replaced; `None` for the first.
    pub base: Option<Version>,
    /// Id of the record that published it.
    pub id: RecordId,
    /// Time of publication by the platform's clock, in milliseconds of Unix time.
    pub at_ms: u64,
    /// Content of the version.
    pub spec: ConfigSpec,
}

/// The lead of a data hall.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HallLead {
    /// Box that holds the lead.
    pub holder: BoxId,
    /// Epoch of the lead.
    pub epoch: Epoch,
    /// Offset of the last claim, renewal or release.
    pub renewed: Offset,
    /// Whether the holder released the lead.
    pub released: bool,
}

/// State of one data hall according to the log.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HallState {
    /// The last lead, which may be released; `None` if the lead was never claimed.
    pub lead: Option<HallLead>,
    /// Workers on which tasks may run.
    pub roster: BTreeSet<WorkerId>,
}

/// The claim of an idempotency key, which allows its request to run.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct KeyClaim {
    /// Id of the record that claimed the key.
    pub claim: RecordId,
    /// Time of the claim by the platform's clock, in milliseconds of Unix time.
    pub at_ms: u64,
    /// Whether the claim was released because the request did not run.
    pub released: bool,
}

/// State of the cluster after a prefix of the log.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClusterState {
    /// Offset of the next entry to apply.
    pub next: Offset,
    /// Latest time of an entry by the platform's clock, in milliseconds of Unix time.
    pub clock_ms: u64,
    /// Versions of each template and of parameters, the newest last. Only the last
    /// [`MAX_KEPT_VERSIONS`] are kept.
    pub configs: BTreeMap<ConfigKey, Vec<ConfigVersion>>,
    /// All unfinished jobs, and ended jobs until they are pruned (see [`MAX_KEPT_JOBS`]).
    pub jobs: BTreeMap<JobId, JobState>,
    /// Leads and rosters of the data halls.
    pub halls: BTreeMap<HallName, HallState>,
    /// Claims of idempotency keys within the claim window.
    pub claims: BTreeMap<OrgName, BTreeMap<IdempotencyKey, KeyClaim>>,
    /// Boxes that are asked to drain.
    pub draining: BTreeSet<BoxId>,
}

impl ClusterState {
    /// Applies the next entry of the log and returns the verdict on each of its records.
    ///
    /// # Panics
    ///
    /// Panics if the entry is not the next one, since the state after a gap would differ from that
    /// of other boxes.
    pub fn apply(&mut self, entry: &LogEntry) -> Vec<(RecordId, RecordVerdict)> {
        assert_eq!(entry.offset, self.next, "invariant: the log is applied without gaps");
        self.clock_ms = self.clock_ms.max(entry.at_ms);
        self.expire_claims();
        let verdicts = entry
            .batch
            .records
            .iter()
            .map(|record| (record.id, self.apply_record(record, entry.offset)))
            .collect();
        self.next = entry.offset.next();
        verdicts
    }

    fn apply_record(&mut self, record: &LogRecord, at: Offset) -> RecordVerdict {
        match &record.body {
            RecordBody::Publish { base, spec } => self.publish(record.id, *base, spec, at),
            RecordBody::Submit { request, hall } => self.submit(record.id, request, hall, at),
            RecordBody::Cancel { job } => self.cancel(*job, at),
            RecordBody::ClaimLead { hall, after } => self.claim_lead(record, hall, *after, at),
            RecordBody::RenewLead { hall, epoch } => {
                self.renew_or_release_lead(hall, *epoch, false, at)
            }
            RecordBody::ReleaseLead { hall, epoch } => {
                self.renew_or_release_lead(hall, *epoch, true, at)
            }
            RecordBody::Roster { hall, epoch, add, remove } => {
                self.change_roster(hall, *epoch, add, remove, at)
            }
            RecordBody::EndTasks { hall, epoch, ends } => self.end_tasks(hall, *epoch, ends, at),
            RecordBody::MoveJob { hall, epoch, job, to } => {
                self.move_job(hall, *epoch, *job, to, at)
            }
            RecordBody::ClaimKey { organisation, key } => {
                self.claim_key(record.id, organisation, *key, at)
            }
            RecordBody::ReleaseKey { organisation, key, claim } => {
                self.release_key(organisation, *key, *claim, at)
            }
            RecordBody::DrainBox { target, drain } => {
                match drain {
                    true => self.draining.insert(target.clone()),
                    false => self.draining.remove(target),
                };
                RecordVerdict::Accepted { at }
            }
            // A reader that has applied the log up to here has the same state already.
            RecordBody::Snapshot { .. } => RecordVerdict::Accepted { at },
        }
    }

    fn publish(
        &mut self,
        id: RecordId,
        base: Option<Version>,
        spec: &ConfigSpec,
        at: Offset,
    ) -> RecordVerdict {
        let versions = self.configs.entry(spec.key()).or_default();
        if let Some(published) = versions.iter().find(|version| version.id == id) {
            return RecordVerdict::Accepted { at: Offset(published.version.0) };
        }
        let current = versions.last().map(|version| version.version);
        if current != base {
            return RecordVerdict::Conflict { winner: current };
        }
        let version = Version(at.0);
        versions.push(ConfigVersion {
            version,
            base,
            id,
            at_ms: self.clock_ms,
            spec: spec.clone(),
        });
        if versions.len() > MAX_KEPT_VERSIONS {
            versions.remove(0);
        }
        RecordVerdict::Accepted { at }
    }

    /// Returns the current version under a key.
    pub fn current(&self, key: &ConfigKey) -> Option<&ConfigVersion> {
        self.configs.get(key).and_then(|versions| versions.last())
    }

    /// Returns the current version of a template.
    pub fn template(&self, name: &TemplateName) -> Option<&WorkTemplate> {
        match self.current(&ConfigKey::Template(name.clone()))?.spec {
            ConfigSpec::Template(ref template) => Some(template),
            ConfigSpec::Parameters(_) => None,
        }
    }

    /// Returns the current parameters of an organisation for a template.
    pub fn parameters(&self, org: &OrgName, template: &TemplateName) -> Option<&OrgParameters> {
        let key = ConfigKey::Parameters(org.clone(), template.clone());
        match self.current(&key)?.spec {
            ConfigSpec::Parameters(ref parameters) => Some(parameters),
            ConfigSpec::Template(_) => None,
        }
    }

    /// Returns the offset of the last applied entry, or `None` if no entry was applied.
    pub fn last_offset(&self) -> Option<Offset> {
        self.next.0.checked_sub(1).map(Offset)
    }
}
