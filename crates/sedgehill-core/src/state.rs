//! The state of the cluster as a fold over the log.
//!
//! [`ClusterState::apply`] is a pure function of the prefix of the log, so every box that has read
//! as far reaches the same verdict on every record. A record that does not hold changes nothing.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

use crate::ids::{
    BoxId, Epoch, HallName, IdempotencyKey, JobId, Offset, OrgName, RecordId, TemplateName,
    Version, WorkerId,
};
use crate::job::{JobPhase, JobRequest, JobState, MAX_JOB_TASKS, TaskState};
use crate::record::{LogEntry, LogRecord, RecordBody};
use crate::spec::{ConfigKey, ConfigSpec, OrgParameters, TaskShape, WorkShape, WorkTemplate};
use crate::units::ResourceSet;

/// Versions kept of each template and of each organisation's parameters.
pub const KEPT_VERSIONS: usize = 16;
/// Ended jobs kept for reading back.
pub const KEPT_JOBS: usize = 1_000;
/// How long a claim of a once-only request is kept, and how old its key may be, in milliseconds.
pub const CLAIM_WINDOW_MS: u64 = 3_600_000;
/// How far a key's time may lie ahead of the platform's, in milliseconds.
pub const CLAIM_AHEAD_MS: u64 = 60_000;

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
        if versions.len() > KEPT_VERSIONS {
            versions.remove(0);
        }
        RecordVerdict::Accepted { at }
    }

    fn submit(
        &mut self,
        id: RecordId,
        request: &JobRequest,
        hall: &HallName,
        at: Offset,
    ) -> RecordVerdict {
        let job = JobId(id.0);
        if let Some(own) = self.jobs.get(&job) {
            return RecordVerdict::Accepted { at: own.submitted };
        }
        match self.new_job(request, hall, at) {
            Err(reason) => RecordVerdict::Void { reason },
            Ok(state) => {
                self.jobs.insert(job, state);
                self.admit_held(&request.organisation, &request.template);
                self.prune_jobs();
                RecordVerdict::Accepted { at }
            }
        }
    }

    /// What the tasks of a job need, from its template.
    pub fn check_shape(&self, request: &JobRequest) -> Result<&TaskShape, VoidReason> {
        let template = self.template(&request.template).ok_or(VoidReason::NoSuchTemplate)?;
        match &template.work {
            WorkShape::Batch(shape) | WorkShape::Gang(shape) => Ok(shape),
            WorkShape::Service(_) => Err(VoidReason::NoSuchTemplate),
        }
    }

    /// Whether a job could be submitted to a hall.
    pub fn check_job(&self, request: &JobRequest, hall: &HallName) -> Result<(), VoidReason> {
        let shape = self.check_shape(request)?;
        let parameters = self
            .parameters(&request.organisation, &request.template)
            .ok_or(VoidReason::NoSuchTemplate)?;
        if request.tasks == 0 || request.tasks > MAX_JOB_TASKS {
            return Err(VoidReason::TaskCount);
        }
        if !parameters.allows(hall) {
            return Err(VoidReason::HallNotAllowed);
        }
        let whole = shape.resources.times(request.tasks);
        if parameters.quota.is_some_and(|quota| !quota.fits(&whole)) {
            return Err(VoidReason::OverQuota);
        }
        Ok(())
    }

    fn new_job(
        &self,
        request: &JobRequest,
        hall: &HallName,
        at: Offset,
    ) -> Result<JobState, VoidReason> {
        self.check_job(request, hall)?;
        let template = self.template(&request.template).ok_or(VoidReason::NoSuchTemplate)?;
        let parameters = self.parameters(&request.organisation, &request.template);
        Ok(JobState {
            request: request.clone(),
            hall: hall.clone(),
            submitted: at,
            submitted_ms: self.clock_ms,
            shape: self.check_shape(request)?.clone(),
            gang: matches!(template.work, WorkShape::Gang(_)),
            priority: parameters.map_or(0, |parameters| parameters.priority),
            phase: JobPhase::Held,
            tasks: vec![TaskState { attempts: 0, outcome: None }; request.tasks as usize],
        })
    }

    /// Opens held jobs of an organisation, oldest first, as far as its quota allows.
    fn admit_held(&mut self, organisation: &OrgName, template: &TemplateName) {
        let quota = self.parameters(organisation, template).and_then(|parameters| parameters.quota);
        let mine = |job: &JobState| {
            job.request.organisation == *organisation && job.request.template == *template
        };
        let demand = |job: &JobState| job.shape.resources.times(job.request.tasks);
        let mut used = self
            .jobs
            .values()
            .filter(|job| mine(job) && job.phase == JobPhase::Open)
            .fold(ResourceSet::default(), |sum, job| sum.plus(&demand(job)));
        let mut held: Vec<&mut JobState> =
            self.jobs.values_mut().filter(|job| mine(job) && job.phase == JobPhase::Held).collect();
        held.sort_by_key(|job| job.submitted);
        for job in held {
            let wanted = used.plus(&demand(job));
            if quota.is_some_and(|quota| !quota.fits(&wanted)) {
                break;
            }
            used = wanted;
            job.phase = JobPhase::Open;
        }
    }

    fn prune_jobs(&mut self) {
        let ended = |job: &JobState| job.phase.is_final();
        let count = self.jobs.values().filter(|job| ended(job)).count();
        if count <= KEPT_JOBS {
            return;
        }
        let oldest =
            self.jobs.iter().filter(|(_, job)| ended(job)).min_by_key(|(_, job)| job.submitted);
        if let Some(id) = oldest.map(|(id, _)| *id) {
            self.jobs.remove(&id);
        }
    }

    fn cancel(&mut self, id: JobId, at: Offset) -> RecordVerdict {
        let Some(job) = self.jobs.get_mut(&id).filter(|job| !job.phase.is_final()) else {
            return RecordVerdict::Void { reason: VoidReason::NoSuchJob };
        };
        job.phase = JobPhase::Cancelled;
        let request = job.request.clone();
        self.admit_held(&request.organisation, &request.template);
        RecordVerdict::Accepted { at }
    }

    fn claim_lead(
        &mut self,
        record: &LogRecord,
        hall: &HallName,
        after: Option<Offset>,
        at: Offset,
    ) -> RecordVerdict {
        let state = self.halls.entry(hall.clone()).or_default();
        if state.lead.as_ref().map(|lead| lead.renewed) != after {
            return RecordVerdict::Void { reason: VoidReason::LeadTaken };
        }
        state.lead = Some(HallLead {
            holder: record.by.clone(),
            epoch: Epoch(at.0),
            renewed: at,
            released: false,
        });
        RecordVerdict::Accepted { at }
    }

    fn touch_lead(
        &mut self,
        hall: &HallName,
        epoch: Epoch,
        release: bool,
        at: Offset,
    ) -> RecordVerdict {
        let lead = self.halls.get_mut(hall).and_then(|state| state.lead.as_mut());
        match lead {
            Some(lead) if lead.epoch == epoch && !lead.released => {
                lead.renewed = at;
                lead.released = release;
                RecordVerdict::Accepted { at }
            }
            _ => RecordVerdict::Void { reason: VoidReason::StaleEpoch },
        }
    }

    fn holds_epoch(&self, hall: &HallName, epoch: Epoch) -> bool {
        let lead = self.halls.get(hall).and_then(|state| state.lead.as_ref());
        lead.is_some_and(|lead| lead.epoch == epoch && !lead.released)
    }

    fn change_roster(
        &mut self,
        hall: &HallName,
        epoch: Epoch,
        add: &BTreeSet<WorkerId>,
        remove: &BTreeSet<WorkerId>,
        at: Offset,
    ) -> RecordVerdict {
        if !self.holds_epoch(hall, epoch) {
            return RecordVerdict::Void { reason: VoidReason::StaleEpoch };
        }
        let state = self.halls.entry(hall.clone()).or_default();
        state.roster.extend(add.iter().cloned());
        state.roster.retain(|worker| !remove.contains(worker));
        RecordVerdict::Accepted { at }
    }

    fn end_tasks(
        &mut self,
        hall: &HallName,
        epoch: Epoch,
        ends: &[crate::job::TaskEnd],
        at: Offset,
    ) -> RecordVerdict {
        if !self.holds_epoch(hall, epoch) {
            return RecordVerdict::Void { reason: VoidReason::StaleEpoch };
        }
        let mut any = false;
        for end in ends {
            let Some(job) = self.jobs.get_mut(&end.task.job) else { continue };
            if job.hall != *hall || !job.end_attempt(end) {
                continue;
            }
            any = true;
            if job.phase.is_final() {
                let request = job.request.clone();
                self.admit_held(&request.organisation, &request.template);
            }
        }
        match any {
            true => RecordVerdict::Accepted { at },
            false => RecordVerdict::Void { reason: VoidReason::AttemptEnded },
        }
    }

    fn move_job(
        &mut self,
        hall: &HallName,
        epoch: Epoch,
        id: JobId,
        to: &HallName,
        at: Offset,
    ) -> RecordVerdict {
        if !self.holds_epoch(hall, epoch) {
            return RecordVerdict::Void { reason: VoidReason::StaleEpoch };
        }
        let movable = |job: &&mut JobState| job.hall == *hall && !job.phase.is_final();
        match self.jobs.get_mut(&id).filter(movable) {
            Some(job) => {
                job.hall = to.clone();
                RecordVerdict::Accepted { at }
            }
            None => RecordVerdict::Void { reason: VoidReason::NoSuchJob },
        }
    }

    fn claim_key(
        &mut self,
        id: RecordId,
        organisation: &OrgName,
        key: IdempotencyKey,
        at: Offset,
    ) -> RecordVerdict {
        if let Some(claim) = self.claims.get(organisation).and_then(|claims| claims.get(&key)) {
            if claim.claim == id && !claim.released {
                return RecordVerdict::Accepted { at };
            }
            if !claim.released || claim.claim == id {
                return RecordVerdict::Void { reason: VoidReason::KeyClaimed };
            }
        }
        if !self.key_in_window(key) {
            return RecordVerdict::Void { reason: VoidReason::KeyOutsideWindow };
        }
        let claim = KeyClaim { claim: id, at_ms: self.clock_ms, released: false };
        self.claims.entry(organisation.clone()).or_default().insert(key, claim);
        RecordVerdict::Accepted { at }
    }

    /// Whether the key was made recently enough that no claim of it can have been forgotten.
    pub fn key_in_window(&self, key: IdempotencyKey) -> bool {
        let made = key.made_at_ms();
        made + CLAIM_WINDOW_MS > self.clock_ms && made < self.clock_ms + CLAIM_AHEAD_MS
    }

    fn release_key(
        &mut self,
        organisation: &OrgName,
        key: IdempotencyKey,
        claim: RecordId,
        at: Offset,
    ) -> RecordVerdict {
        let found = self.claims.get_mut(organisation).and_then(|claims| claims.get_mut(&key));
        match found.filter(|found| found.claim == claim) {
            Some(found) => {
                found.released = true;
                RecordVerdict::Accepted { at }
            }
            None => RecordVerdict::Void { reason: VoidReason::NotClaimant },
        }
    }

    /// Forgets claims whose keys no longer pass [`ClusterState::key_in_window`].
    fn expire_claims(&mut self) {
        let clock = self.clock_ms;
        for claims in self.claims.values_mut() {
            // Keys are ordered by the time in them, so the oldest come first.
            while let Some(entry) = claims.first_entry() {
                if entry.key().made_at_ms() + CLAIM_WINDOW_MS > clock {
                    break;
                }
                entry.remove();
            }
        }
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
    pub fn last(&self) -> Option<Offset> {
        self.next.0.checked_sub(1).map(Offset)
    }
}

/// Reads the log from wherever its retention lets a reader begin.
///
/// Until the fold has a state it keeps entries back and waits for a snapshot that joins them
/// without a gap. A snapshot older than what is held changes nothing.
#[derive(Debug, Default)]
pub struct LogFold {
    state: Option<ClusterState>,
    kept_back: Vec<LogEntry>,
}

impl LogFold {
    /// The state, if the fold has one.
    pub fn state(&self) -> Option<&ClusterState> {
        self.state.as_ref()
    }

    /// The next offset that the fold wants to read.
    pub fn next(&self) -> Offset {
        let kept = self.kept_back.last().map(|entry| entry.offset.next());
        let held = self.state.as_ref().map(|state| state.next);
        kept.or(held).unwrap_or_default()
    }

    /// Begins with nothing in force, for a log that nothing was ever appended to.
    pub fn begin_empty(&mut self) {
        if self.state.is_none() && self.kept_back.is_empty() {
            self.state = Some(ClusterState::default());
        }
    }

    /// Takes a state from elsewhere, unless the one held is as new.
    pub fn adopt(&mut self, state: ClusterState) -> bool {
        let newer = self.state.as_ref().is_none_or(|held| held.next < state.next);
        if newer {
            self.state = Some(state);
            self.kept_back.clear();
        }
        newer
    }

    /// Folds one entry in.
    pub fn feed(&mut self, entry: LogEntry) -> Vec<(RecordId, RecordVerdict)> {
        if self.state.is_none() && entry.offset == Offset(0) {
            self.state = Some(ClusterState::default());
        }
        if let Some(state) = self.state.as_mut() {
            if entry.offset < state.next {
                return Vec::new();
            }
            if entry.offset == state.next && self.kept_back.is_empty() {
                return state.apply(&entry);
            }
        }
        self.keep_back(entry)
    }

    fn keep_back(&mut self, entry: LogEntry) -> Vec<(RecordId, RecordVerdict)> {
        let expected = self.kept_back.last().map(|last| last.offset.next());
        if expected.is_some_and(|expected| entry.offset < expected) {
            return Vec::new();
        }
        if expected.is_some_and(|expected| entry.offset > expected) {
            self.kept_back.clear();
        }
        let joined = self.joining_snapshot(&entry);
        self.kept_back.push(entry);
        let Some(state) = joined else { return Vec::new() };
        self.state = Some(state);
        let kept = std::mem::take(&mut self.kept_back);
        kept.into_iter().flat_map(|entry| self.feed(entry)).collect()
    }

    fn joining_snapshot(&self, entry: &LogEntry) -> Option<ClusterState> {
        let first = self.kept_back.first().map_or(entry.offset, |first| first.offset);
        let held = self.state.as_ref().map(|state| state.next).unwrap_or_default();
        entry.batch.records.iter().find_map(|record| match &record.body {
            RecordBody::Snapshot { at, state } if at.next() >= first && at.next() > held => {
                Some(state.as_ref().clone())
            }
            _ => None,
        })
    }
}
