//! The replica of the cell's jobs that every box keeps: accepted jobs, cancellations and progress.
//!
//! Each kind of record about a job has its own key, so that an old record that arrives late never undoes a
//! newer record of another kind.

use std::collections::{BTreeMap, HashMap, HashSet, VecDeque};
use std::rc::Rc;

use quick_error::quick_error;
use sedgehill_core::units::Moment;
use serde::{Deserialize, Serialize};

use crate::ids::{CellIdError, JobId, OrganisationName, QueueName};
use crate::job::JobRecord;
use crate::progress::{JobProgress, JobState};
use crate::progress_parts::{PartId, ProgressPart};
use crate::scheduler::{RosterChange, RosterParts, SpeedChange, SpeedParts};
use crate::stored::decode_with_defaults;
use crate::summary::JobSummary;

/// A stored record about a job.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum CellRecord {
    /// A box accepted the job without the lead.
    Job(JobRecord),
    /// The caller cancelled the job.
    Cancel,
    /// The lead recorded the progress of the job.
    Progress(JobProgress),
    /// The lead accepted the job. The lead may start its tasks as soon as this is recorded, so a later lead has
    /// to assume that some were started.
    LeadJob(JobRecord),
    /// The lead recorded a part of the progress of the job. Its key ends with the part after a separator, and is no key
    /// to earlier versions.
    ProgressPart(ProgressPart),
}

quick_error! {
    /// The error of decoding a cell record.
    #[derive(Debug)]
    pub enum RecordError {
        /// The key does not consist of a one-byte prefix, a job id and, for a part of its progress, the part.
        Key(key: String) {
            display("`{key}` is not the key of a cell record")
        }
        /// The key does not end with a valid job id.
        Id(cause: CellIdError) {
            from()
            display("invalid job id in the key of a cell record")
            source(cause)
        }
        /// The value cannot be decoded.
        Value(cause: postcard::Error) {
            from()
            display("cannot decode the value of a cell record")
            source(cause)
        }
    }
}

impl CellRecord {
    /// The first character of the key of a progress record.
    pub const PROGRESS_PREFIX: char = 'p';
    /// The first character of the key of a job that the lead accepted.
    pub const LEAD_JOB_PREFIX: char = 'l';

    /// The first character of the key of a part of progress.
    pub const PART_PREFIX: char = 'q';

    /// Splits a key into the character for the kind of the record and the job id.
    pub fn decode_key(key: &str) -> Result<(char, JobId), RecordError> {
        let prefix = key.chars().next().ok_or_else(|| RecordError::Key(key.to_owned()))?;
        let id = key.get(1..).ok_or_else(|| RecordError::Key(key.to_owned()))?;
        let id = match id.split_once(PART_SEPARATOR) {
            Some((id, _)) if prefix == CellRecord::PART_PREFIX => id,
            _ => id,
        };
        Ok((prefix, id.parse()?))
    }

    /// Returns which part of a job's progress is stored under a key; none if it is the key of another record.
    pub fn decode_part(key: &str) -> Option<PartId> {
        let (id, part) = key.strip_prefix(CellRecord::PART_PREFIX)?.split_once(PART_SEPARATOR)?;
        id.parse::<JobId>().ok()?;
        part.parse().ok()
    }

    /// Returns the key of a part of a job's progress.
    pub fn part_key(job: JobId, part: PartId) -> String {
        format!("{}{job}{PART_SEPARATOR}{part}", CellRecord::PART_PREFIX)
    }

    /// Returns the owner of the job that the record accepts; none if the record accepts no job. The inner value is
    /// none for a job that was submitted without a key.
    pub fn owner(&self) -> Option<Option<OrganisationName>> {
        let (CellRecord::Job(record) | CellRecord::LeadJob(record)) = self else { return None };
        Some(record.owner.as_ref().map(|owner| owner.organisation.clone()))
    }

    /// Returns about how much memory a record of a caller takes, in bytes.
    pub fn memory_bytes(&self) -> usize {
        let spec_bytes = match self {
            CellRecord::Job(record) | CellRecord::LeadJob(record) => record.spec.memory_bytes(),
            CellRecord::Cancel | CellRecord::Progress(_) | CellRecord::ProgressPart(_) => 0,
        };
        size_of::<CellRecord>() + spec_bytes
    }

    /// Returns the key under which the record is stored.
    pub fn key(&self, job: JobId) -> String {
        let prefix = match self {
            CellRecord::Job(_) => 'j',
            CellRecord::Cancel => 'c',
            CellRecord::Progress(_) => CellRecord::PROGRESS_PREFIX,
            CellRecord::LeadJob(_) => CellRecord::LEAD_JOB_PREFIX,
            CellRecord::ProgressPart(part) => return CellRecord::part_key(job, part.id),
        };
        format!("{prefix}{job}")
    }

    /// Returns the stored form of the record.
    pub fn encode(&self) -> Vec<u8> {
        postcard::to_stdvec(self).expect("every cell record can be encoded")
    }

    /// Decodes a record from its key and its stored form.
    pub fn decode(key: &str, value: &[u8]) -> Result<(JobId, CellRecord), RecordError> {
        let (prefix, id) = CellRecord::decode_key(key)?;
        let record = match prefix {
            CellRecord::PROGRESS_PREFIX => decode_with_defaults(
                value,
                &[
                    NO_HISTORIES,
                    NO_CORRELATED,
                    NO_LOCATIONS,
                    NO_UNANSWERED,
                    NO_LOSS_WAITS,
                    NO_PART_SIZE,
                ],
            )?,
            _ => postcard::from_bytes(value)?,
        };
        Ok((id, record))
    }
}

/// Returns the jobs of which the newest records of all keys hold one. A part of progress does not count: it is removed
/// after the records that depend on it, and may be left over.
pub fn recorded_jobs<'a>(keys: impl Iterator<Item = &'a str>) -> HashSet<JobId> {
    let decoded = keys.filter_map(|key| CellRecord::decode_key(key).ok());
    let whole = decoded.filter(|(prefix, _)| *prefix != CellRecord::PART_PREFIX);
    whole.map(|(_, id)| id).collect()
}

/// The encoded empty list for [`JobProgress::crash_histories`], before which progress of the earliest version ends.
const NO_HISTORIES: u8 = 0;
/// The encoded empty list for [`JobProgress::correlated_ms`].
const NO_CORRELATED: u8 = 0;
/// The encoded empty list for [`JobProgress::locations`].
const NO_LOCATIONS: u8 = 0;
/// The encoded empty list for [`JobProgress::unanswered`].
const NO_UNANSWERED: u8 = 0;
/// The encoded empty list for [`JobProgress::loss_waits`].
const NO_LOSS_WAITS: u8 = 0;
/// The encoded absence of [`JobProgress::part_size`].
const NO_PART_SIZE: u8 = 0;
/// Separates the job from the part in the key of a part of progress.
const PART_SEPARATOR: char = '/';

/// One job of the replica.
#[derive(Debug, Clone, Default)]
pub struct ReplicaJob {
    /// The accepted job; none if only later records have been read, if this box receives only summaries, or once
    /// the job is over.
    pub record: Option<Rc<JobRecord>>,
    /// The queue of an accepted job that is not over; none if no record or summary has named it.
    queue: Option<QueueName>,
    /// The owner of the job; none if it was submitted without a key.
    pub organisation: Option<OrganisationName>,
    /// Whether a summary of the job was received, which shows that the job was accepted.
    summarized: bool,
    /// Whether the caller cancelled the job.
    pub cancelled: bool,
    /// The progress of the job, without its parts if it is divided.
    pub progress: JobProgress,
    /// The stored parts of the progress, also those that the progress no longer uses.
    pub parts: BTreeMap<PartId, ProgressPart>,
    /// Whether a lead accepted the job.
    pub accepted_by_lead: bool,
    /// Whether a box accepted the job without the lead, and stored it as [`CellRecord::Job`].
    pub accepted_by_box: bool,
}

impl ReplicaJob {
    /// Returns the state of the job as callers see it.
    pub fn state(&self) -> JobState {
        match self.progress.state {
            state if state.is_final() => state,
            _ if self.cancelled => JobState::Cancelled,
            state => state,
        }
    }

    /// Returns whether a caller may query or cancel the job. `caller` is its organisation; none if it sent no key.
    pub fn is_accessible_to(&self, caller: Option<&OrganisationName>) -> bool {
        self.organisation.is_none() || self.organisation.as_ref() == caller
    }

    /// Returns whether the job is known to be accepted.
    fn is_accepted(&self) -> bool {
        self.record.is_some() || self.summarized || self.progress.state.is_final()
    }

    /// Returns the progress from which a new lead continues.
    pub fn progress_for_lead(&self) -> JobProgress {
        JobProgress {
            may_have_started: self.accepted_by_lead || self.progress.may_have_started,
            ..self.progress.joined(self.parts.values())
        }
    }

    /// Returns the queue in which the job waits; none once a task has started or the job is over.
    pub fn waiting_queue(&self) -> Option<&QueueName> {
        self.queue.as_ref().filter(|_| self.state() == JobState::Pending)
    }
}

/// The effect of a record on the replica.
#[derive(Debug, Clone, PartialEq)]
pub enum ReplicaChange {
    /// The job was accepted, and was not known before.
    Accepted(JobId),
    /// The job was cancelled, and was not before.
    Cancelled(JobId),
    /// Nothing changed that the lead must act on.
    Other,
}

/// When a roster was read, and from which part of the topic.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RosterSource {
    /// When the roster was read.
    pub read_at: Moment,
    /// The offset up to which records were known before: the roster is stored at this offset or later. None if it
    /// was read with the newest record of each key.
    pub offset: Option<u64>,
}

/// The jobs of a cell, and the newest roster of its workers.
#[derive(Debug, Default)]
pub struct CellReplica {
    jobs: HashMap<JobId, ReplicaJob>,
    /// Jobs that are over, in the order in which this box learned of it, with the time.
    ended: VecDeque<(Moment, JobId)>,
    roster: RosterParts,
    roster_source: Option<RosterSource>,
    speeds: SpeedParts,
    /// The number of waiting jobs in each queue.
    waiting: HashMap<QueueName, usize>,
}

impl CellReplica {
    /// Returns a job if it is known to be accepted.
    pub fn job(&self, id: JobId) -> Option<&ReplicaJob> {
        self.jobs.get(&id).filter(|job| job.is_accepted())
    }

    /// Returns whether an earlier lead may have started tasks of a job, even if its acceptance is not known here.
    pub fn may_have_started(&self, id: JobId) -> bool {
        self.jobs.get(&id).is_some_and(|job| job.accepted_by_lead || job.progress.may_have_started)
    }

    /// Returns all jobs whose accepted record is known and that are not over.
    pub fn jobs(&self) -> impl Iterator<Item = (JobId, &ReplicaJob)> {
        self.jobs.iter().map(|(id, job)| (*id, job)).filter(|(_, job)| job.record.is_some())
    }

    /// Returns the ids of all jobs for which any record or summary is known.
    pub fn ids(&self) -> impl Iterator<Item = JobId> {
        self.jobs.keys().copied()
    }

    /// Returns the number of jobs of a queue of which no task has started.
    pub fn waiting_count(&self, queue: &QueueName) -> usize {
        self.waiting.get(queue).copied().unwrap_or(0)
    }

    /// Returns the number of jobs for which any record or summary is known.
    pub fn len(&self) -> usize {
        self.jobs.len()
    }

    /// Returns whether no record or summary of any job is known.
    pub fn is_empty(&self) -> bool {
        self.jobs.is_empty()
    }

    /// Returns the roster: the workers on which an earlier lead may have started tasks.
    pub fn roster(&self) -> &RosterParts {
        &self.roster
    }

    /// Returns when and from where the roster was read; none if none was read.
    pub fn roster_source(&self) -> Option<RosterSource> {
        self.roster_source
    }

    /// Applies a change of one record of the roster.
    pub fn apply_roster(&mut self, change: RosterChange, source: RosterSource) {
        self.roster.apply(change);
        self.roster_source = Some(source);
    }

    /// Removes the records of the roster that are not among the newest records of all keys, which were read as a
    /// whole: they were removed while this box received no records.
    pub fn retain_roster<'a>(&mut self, newest_keys: impl Iterator<Item = &'a str>) {
        let kept = newest_keys.filter(|key| RosterChange::is_roster_key(key)).collect();
        self.roster.retain(&kept);
    }

    /// Returns what leads have recorded of the speeds of workers.
    pub fn speeds(&self) -> &SpeedParts {
        &self.speeds
    }

    /// Applies a change of one record of speeds.
    pub fn apply_speeds(&mut self, change: SpeedChange) {
        self.speeds.apply(change);
    }

    /// Removes the records of speeds that are not among the newest records of all keys.
    pub fn retain_speeds<'a>(&mut self, newest_keys: impl Iterator<Item = &'a str>) {
        let kept = newest_keys.filter(|key| SpeedChange::is_speed_key(key)).collect();
        self.speeds.retain(&kept);
    }

    /// Applies a record that was received at `now`.
    pub fn apply(&mut self, id: JobId, record: CellRecord, now: Moment) -> ReplicaChange {
        let was_waiting = self.waiting_queue(id);
        let job = self.jobs.entry(id).or_default();
        let was_over = job.progress.state.is_final();
        job.accepted_by_lead |= matches!(record, CellRecord::LeadJob(_));
        job.accepted_by_box |= matches!(record, CellRecord::Job(_));
        let change = match record {
            CellRecord::Job(_) | CellRecord::LeadJob(_) if job.record.is_some() || was_over => {
                ReplicaChange::Other
            }
            CellRecord::Job(record) | CellRecord::LeadJob(record) => {
                job.queue = Some(record.queue.clone());
                job.organisation = record.owner.as_ref().map(|owner| owner.organisation.clone());
                job.record = Some(Rc::new(record));
                ReplicaChange::Accepted(id)
            }
            CellRecord::Cancel if job.cancelled => ReplicaChange::Other,
            CellRecord::Cancel => {
                job.cancelled = true;
                ReplicaChange::Cancelled(id)
            }
            // A delayed read may return a record from before the end of the job.
            CellRecord::Progress(progress) if was_over && !progress.state.is_final() => {
                ReplicaChange::Other
            }
            CellRecord::Progress(progress) => {
                if let Some(organisation) = &progress.organisation {
                    job.organisation.get_or_insert_with(|| organisation.clone());
                }
                job.progress = progress;
                ReplicaChange::Other
            }
            CellRecord::ProgressPart(part) => {
                job.parts.insert(part.id, part);
                ReplicaChange::Other
            }
        };
        self.update_indexes(id, was_waiting, was_over, now);
        change
    }

    /// Applies a summary that was received at `now`. From then on the replica lacks the records that a lead needs.
    pub fn apply_summary(&mut self, summary: JobSummary, now: Moment) {
        let Some(state) = summary.state else { return self.forget(summary.job) };
        let was_waiting = self.waiting_queue(summary.job);
        let job = self.jobs.entry(summary.job).or_default();
        let was_over = job.progress.state.is_final();
        job.summarized = true;
        job.queue = job.queue.take().or(summary.waiting_queue);
        job.organisation = job.organisation.take().or(summary.organisation);
        match state {
            // A cancelled job may still complete or fail, and then callers see that state.
            JobState::Cancelled => job.cancelled = true,
            _ if was_over => {}
            state => job.progress.state = state,
        }
        self.update_indexes(summary.job, was_waiting, was_over, now);
    }

    /// Updates the waiting counts and the list of ended jobs after a change of a job.
    fn update_indexes(
        &mut self,
        id: JobId,
        was_waiting: Option<QueueName>,
        was_over: bool,
        now: Moment,
    ) {
        let is_waiting = self.waiting_queue(id);
        if was_waiting != is_waiting {
            if let Some(queue) = was_waiting {
                self.waiting.entry(queue).and_modify(|count| *count -= 1);
            }
            if let Some(queue) = is_waiting {
                *self.waiting.entry(queue).or_default() += 1;
            }
        }
        let Some(job) = self.jobs.get_mut(&id) else { return };
        if job.progress.state.is_final() {
            // From now on only the state of the job is needed.
            job.record = None;
            job.queue = None;
            if !was_over {
                self.ended.push_back((now, id));
            }
        }
    }

    /// Returns the queue in which a job waits; none if it does not wait.
    fn waiting_queue(&self, id: JobId) -> Option<QueueName> {
        self.jobs.get(&id).and_then(|job| job.waiting_queue().cloned())
    }

    /// Returns up to `max` jobs that were over before `limit`. Jobs that a box accepted without the lead are left
    /// out: the lead does not drop their accepted record, which would start the job again once its end is forgotten.
    pub fn ended_before(&self, limit: Moment, max: usize) -> Vec<JobId> {
        let ended = self.ended.iter().take_while(|(at, _)| *at < limit);
        let is_forgettable = |id: &JobId| self.jobs.get(id).is_some_and(|job| !job.accepted_by_box);
        ended.map(|(_, id)| *id).filter(is_forgettable).take(max).collect()
    }

    /// Returns the ids of the jobs that a lead accepted.
    pub fn lead_accepted_ids(&self) -> Vec<JobId> {
        self.jobs.iter().filter(|(_, job)| job.accepted_by_lead).map(|(id, _)| *id).collect()
    }

    /// Forgets the jobs in `known` that are not in `kept`, the jobs for which the store still holds a record of the
    /// lead. The others ended while this box received no records, and must not be started again.
    pub fn forget_missing(&mut self, known: &[JobId], kept: &HashSet<JobId>) {
        for id in known.iter().filter(|id| !kept.contains(id)) {
            self.forget(*id);
        }
    }

    /// Returns the stored parts of a job's progress.
    pub fn parts(&self, id: JobId) -> impl Iterator<Item = &ProgressPart> {
        self.jobs.get(&id).into_iter().flat_map(|job| job.parts.values())
    }

    /// Returns a stored part of a job's progress.
    pub fn part(&self, id: JobId, part: PartId) -> Option<&ProgressPart> {
        self.jobs.get(&id)?.parts.get(&part)
    }

    /// Removes the parts of progress that are not among the newest records of all keys, which were read as a whole:
    /// they were removed while this box received no records.
    pub fn retain_parts<'a>(&mut self, newest_keys: impl Iterator<Item = &'a str>) {
        let kept: HashSet<(JobId, PartId)> = newest_keys
            .filter_map(|key| {
                Some((CellRecord::decode_key(key).ok()?.1, CellRecord::decode_part(key)?))
            })
            .collect();
        for (id, job) in &mut self.jobs {
            job.parts.retain(|part, _| kept.contains(&(*id, *part)));
        }
    }

    /// Removes a part of a job's progress.
    pub fn remove_part(&mut self, id: JobId, part: PartId) {
        if let Some(job) = self.jobs.get_mut(&id) {
            job.parts.remove(&part);
        }
    }

    /// Removes all that is known of a job.
    pub fn forget(&mut self, id: JobId) {
        let Some(job) = self.jobs.remove(&id) else { return };
        if self.ended.front().is_some_and(|(_, first)| *first == id) {
            self.ended.pop_front();
        } else {
            self.ended.retain(|(_, other)| *other != id);
        }
        if let Some(queue) = job.waiting_queue() {
            self.waiting.entry(queue.clone()).and_modify(|count| *count -= 1);
        }
    }
}
