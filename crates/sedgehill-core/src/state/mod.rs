//! The state of the cluster as a fold over the log.
//!
//! [`ClusterState::apply`] is a pure function of the prefix of the log, so every box that has read
//! as far reaches the same verdict on every record. A record that does not hold changes nothing.

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

/// Versions kept of each template and of each organisation's parameters.
pub const MAX_KEPT_VERSIONS: usize = 16;

/// What became of a record.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "verdict", rename_all = "kebab-case")]
pub enum RecordVerdict {
    /// It holds since this offset.
    Accepted {
        /// The offset at which it took effect.
        at: Offset,
    },
    /// Another version was in force than the one it edited.
    Conflict {
        /// The version in force.
        winner: Option<Version>,
    },
    /// It does not hold.
    Void {
        /// Why not.
        reason: VoidReason,
    },
}

/// Why a record does not hold.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum VoidReason {
    /// The epoch is not the current one.
    StaleEpoch,
    /// The lead was claimed or renewed since.
    LeadTaken,
    /// The job is unknown, ended or in another hall.
    NoSuchJob,
    /// The attempt had ended already.
    AttemptEnded,
    /// No batch or gang template of that name, or no parameters for the organisation.
    NoSuchTemplate,
    /// The number of tasks is zero or too large.
    TaskCount,
    /// A single task or the gang needs more than the organisation's quota.
    OverQuota,
    /// The parameters do not allow the hall.
    HallNotAllowed,
    /// The key is claimed by another request.
    KeyClaimed,
    /// The key's time lies outside the claim window.
    KeyOutsideWindow,
    /// The claim is not the one in force.
    NotClaimant,
}

/// One version of a template or of parameters.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigVersion {
    /// The version.
    pub version: Version,
    /// The version that it replaced.
    pub base: Option<Version>,
    /// The record that published it.
    pub id: RecordId,
    /// When the platform took it, in milliseconds of Unix time.
    pub at_ms: u64,
    /// The content.
    pub spec: ConfigSpec,
}

/// The lead of a hall.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HallLead {
    /// The box that leads.
    pub holder: BoxId,
    /// The term.
    pub epoch: Epoch,
    /// The offset of the last claim, renewal or release.
    pub renewed: Offset,
    /// Whether the holder gave it up.
    pub released: bool,
}

/// What the log has of one hall.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HallState {
    /// The last lead, if there ever was one.
    pub lead: Option<HallLead>,
    /// The workers on which tasks may run.
    pub roster: BTreeSet<WorkerId>,
}

/// A claimed once-only request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct KeyClaim {
    /// The record that claimed it.
    pub claim: RecordId,
    /// When, in milliseconds of Unix time.
    pub at_ms: u64,
    /// Whether the claim was given back since the request did not run.
    pub released: bool,
}

/// Everything that the log has in force.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClusterState {
    /// The next offset to apply.
    pub next: Offset,
    /// The platform's time of the last entry, in milliseconds of Unix time.
    pub clock_ms: u64,
    /// Versions of each template and of parameters, the newest last.
    pub configs: BTreeMap<ConfigKey, Vec<ConfigVersion>>,
    /// Jobs.
    pub jobs: BTreeMap<JobId, JobState>,
    /// Halls.
    pub halls: BTreeMap<HallName, HallState>,
    /// Claimed keys of once-only requests.
    pub claims: BTreeMap<OrgName, BTreeMap<IdempotencyKey, KeyClaim>>,
    /// Boxes asked to drain.
    pub draining: BTreeSet<BoxId>,
}

impl ClusterState {
    /// Applies the next entry and says what became of each of its records.
    ///
    /// # Panics
    ///
    /// If the entry is not the next one: folding with a gap would break every promise.
    pub fn apply(&mut self, entry: &LogEntry) -> Vec<(RecordId, RecordVerdict)> {
        assert_eq!(entry.offset, self.next, "invariant: the log is folded without gaps");
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
            RecordBody::RenewLead { hall, epoch } => self.touch_lead(hall, *epoch, false, at),
            RecordBody::ReleaseLead { hall, epoch } => self.touch_lead(hall, *epoch, true, at),
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
            // A reader that has folded this far holds the same state already.
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
        if let Some(own) = versions.iter().find(|version| version.id == id) {
            return RecordVerdict::Accepted { at: Offset(own.version.0) };
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

    /// The version in force under a key.
    pub fn current(&self, key: &ConfigKey) -> Option<&ConfigVersion> {
        self.configs.get(key).and_then(|versions| versions.last())
    }

    /// The template in force under a name.
    pub fn template(&self, name: &TemplateName) -> Option<&WorkTemplate> {
        match self.current(&ConfigKey::Template(name.clone()))?.spec {
            ConfigSpec::Template(ref template) => Some(template),
            ConfigSpec::Parameters(_) => None,
        }
    }

    /// The parameters in force for an organisation and a template.
    pub fn parameters(&self, org: &OrgName, template: &TemplateName) -> Option<&OrgParameters> {
        let key = ConfigKey::Parameters(org.clone(), template.clone());
        match self.current(&key)?.spec {
            ConfigSpec::Parameters(ref parameters) => Some(parameters),
            ConfigSpec::Template(_) => None,
        }
    }

    /// The last offset that this state contains, none if it contains nothing.
    pub fn last_offset(&self) -> Option<Offset> {
        self.next.0.checked_sub(1).map(Offset)
    }
}
