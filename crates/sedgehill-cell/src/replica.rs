//! What every box knows of the cell: accepted jobs, cancellations and progress.
//!
//! Each statement stands under a key of its own, so that a copy of an old one that arrives late
//! never undoes a newer statement of another kind.

use std::collections::{HashMap, HashSet, VecDeque};
use std::rc::Rc;

use quick_error::quick_error;
use sedgehill_core::units::Moment;
use serde::{Deserialize, Serialize};

use crate::ids::{CellIdError, JobId, OrganisationName, QueueName};
use crate::job::JobRecord;
use crate::progress::{JobProgress, JobState};
use crate::scheduler::WorkerRoster;
use crate::stored::decode_with_defaults;
use crate::summary::JobSummary;

/// One statement about a job.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum CellRecord {
    /// The job was accepted.
    Job(JobRecord),
    /// The caller cancelled the job.
    Cancel,
    /// The lead notes how far the job is.
    Progress(JobProgress),
    /// The lead accepted the job. It may start tasks of it as soon as this is recorded, so a later
    /// lead has to take it as ordered.
    LeadJob(JobRecord),
}

quick_error! {
    /// Why a record of the cell cannot be read.
    #[derive(Debug)]
    pub enum RecordError {
        /// The key names no job.
        Key(key: String) {
            display("`{key}` is no key of a cell record")
        }
        /// The id in the key is wrong.
        Id(cause: CellIdError) {
            from()
            display("the key holds a wrong id")
            source(cause)
        }
        /// The value does not decode.
        Value(cause: postcard::Error) {
            from()
            display("the value does not decode")
            source(cause)
        }
    }
}

impl CellRecord {
    /// The first letter of the key of a job's progress.
    pub const PROGRESS_PREFIX: char = 'p';
    /// The first letter of the key of a job that a lead accepted.
    pub const LEAD_JOB_PREFIX: char = 'l';

    /// The kind and the job that a key stands for.
    pub fn decode_key(key: &str) -> Result<(char, JobId), RecordError> {
        let kind = key.chars().next().ok_or_else(|| RecordError::Key(key.to_owned()))?;
        let id = key.get(1..).ok_or_else(|| RecordError::Key(key.to_owned()))?;
        Ok((kind, id.parse()?))
    }

    /// Whose job the record accepts; none if it accepts no job.
    pub fn owner(&self) -> Option<Option<OrganisationName>> {
        let (CellRecord::Job(record) | CellRecord::LeadJob(record)) = self else { return None };
        Some(record.owner.as_ref().map(|owner| owner.organisation.clone()))
    }

    /// The key under which the record is kept.
    pub fn key(&self, job: JobId) -> String {
        let kind = match self {
            CellRecord::Job(_) => 'j',
            CellRecord::Cancel => 'c',
            CellRecord::Progress(_) => CellRecord::PROGRESS_PREFIX,
            CellRecord::LeadJob(_) => CellRecord::LEAD_JOB_PREFIX,
        };
        format!("{kind}{job}")
    }

    /// The stored form of the record.
    pub fn encode(&self) -> Vec<u8> {
        postcard::to_stdvec(self).expect("records of the cell have no types that cannot be encoded")
    }

    /// Reads a record back.
    pub fn decode(key: &str, value: &[u8]) -> Result<(JobId, CellRecord), RecordError> {
        let (kind, id) = CellRecord::decode_key(key)?;
        let record = match kind {
            CellRecord::PROGRESS_PREFIX => decode_with_defaults(
                value,
                &[NO_SUSPECTS, NONE_TOGETHER, NO_PLACES, NONE_UNANSWERED],
            )?,
            _ => postcard::from_bytes(value)?,
        };
        Ok((id, record))
    }
}

/// The stored form of a list of none: progress of an earlier version ends before the suspects.
const NO_SUSPECTS: u8 = 0;
/// The same of those under which workers were lost together.
const NONE_TOGETHER: u8 = 0;
/// The same of the places of long-running tasks.
const NO_PLACES: u8 = 0;
/// The same of starts that went unanswered.
const NONE_UNANSWERED: u8 = 0;

/// One job as every box knows it.
#[derive(Debug, Clone, Default)]
pub struct ReplicaJob {
    /// What was accepted; none if only later statements have been seen, if only the state is followed,
    /// or once the job is over.
    pub record: Option<Rc<JobRecord>>,
    /// The queue of an accepted job that is not over; none if that was not told.
    queue: Option<QueueName>,
    /// Whose it is; none for anybody's.
    pub organisation: Option<OrganisationName>,
    /// Whether it is known to be accepted from its state alone.
    told: bool,
    /// Whether the caller cancelled it.
    pub cancelled: bool,
    /// How far it is.
    pub progress: JobProgress,
    /// Whether a lead accepted it.
    pub accepted_by_lead: bool,
    /// Whether a box put it into the store by itself, under another key.
    pub accepted_by_box: bool,
}

impl ReplicaJob {
    /// How far the job is, as callers are told.
    pub fn state(&self) -> JobState {
        match self.progress.state {
            state if state.is_final() => state,
            _ if self.cancelled => JobState::Cancelled,
            state => state,
        }
    }

    /// Whether a caller of this organisation, or of none, may ask for the job or cancel it.
    pub fn is_accessible_to(&self, caller: Option<&OrganisationName>) -> bool {
        self.organisation.is_none() || self.organisation.as_ref() == caller
    }

    fn is_accepted(&self) -> bool {
        self.record.is_some() || self.told || self.progress.state.is_final()
    }

    /// What a new lead has to go by.
    pub fn progress_for_lead(&self) -> JobProgress {
        JobProgress {
            may_have_started: self.accepted_by_lead || self.progress.may_have_started,
            ..self.progress.clone()
        }
    }

    /// The queue in which the job waits; none if it has begun.
    pub fn waiting_queue(&self) -> Option<&QueueName> {
        self.queue.as_ref().filter(|_| self.state() == JobState::Pending)
    }
}

/// What changed by a record.
#[derive(Debug, Clone, PartialEq)]
pub enum ReplicaChange {
    /// A job not known before.
    Accepted(JobId),
    /// A job not cancelled before.
    Cancelled(JobId),
    /// Nothing that matters to a lead.
    Other,
}

/// When a roster was taken in, and from where.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RosterSource {
    /// When.
    pub read_at: Moment,
    /// How far the records were known before: the roster stands at this offset or later. None if it came
    /// with the newest records.
    pub offset: Option<u64>,
}

/// The jobs of a cell.
#[derive(Debug, Default)]
pub struct CellReplica {
    jobs: HashMap<JobId, ReplicaJob>,
    /// Jobs that are over, with when this box heard so, the first first.
    ended: VecDeque<(Moment, JobId)>,
    roster: WorkerRoster,
    roster_source: Option<RosterSource>,
    waiting: HashMap<QueueName, usize>,
}

impl CellReplica {
    /// A job, if it is known and accepted.
    pub fn job(&self, id: JobId) -> Option<&ReplicaJob> {
        self.jobs.get(&id).filter(|job| job.is_accepted())
    }

    /// Whether an earlier lead may have begun a job, be its acceptance known here or not.
    pub fn may_have_started(&self, id: JobId) -> bool {
        self.jobs.get(&id).is_some_and(|job| job.accepted_by_lead || job.progress.may_have_started)
    }

    /// All accepted jobs that are not over.
    pub fn jobs(&self) -> impl Iterator<Item = (JobId, &ReplicaJob)> {
        self.jobs.iter().map(|(id, job)| (*id, job)).filter(|(_, job)| job.record.is_some())
    }

    /// Everything that is known by an id.
    pub fn ids(&self) -> impl Iterator<Item = JobId> {
        self.jobs.keys().copied()
    }

    /// Jobs of a queue none of whose tasks has begun.
    pub fn waiting_count(&self, queue: &QueueName) -> usize {
        self.waiting.get(queue).copied().unwrap_or(0)
    }

    /// Jobs that are known.
    pub fn len(&self) -> usize {
        self.jobs.len()
    }

    /// Whether no job is known.
    pub fn is_empty(&self) -> bool {
        self.jobs.is_empty()
    }

    /// The workers on which an earlier lead may have started something.
    pub fn roster(&self) -> &WorkerRoster {
        &self.roster
    }

    /// When the roster was taken in, and from where; none if none ever was.
    pub fn roster_source(&self) -> Option<RosterSource> {
        self.roster_source
    }

    /// Takes in a roster.
    pub fn apply_roster(&mut self, roster: WorkerRoster, sign: RosterSource) {
        self.roster = roster;
        self.roster_source = Some(sign);
    }

    /// Takes in a record, heard at `now`.
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
            // A read that is behind may bring back what was known before the end.
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
        };
        self.settle(id, was_waiting, was_over, now);
        change
    }

    /// Takes in the state of a job, heard at `now`. The replica lacks what a lead needs from then on.
    pub fn apply_summary(&mut self, brief: JobSummary, now: Moment) {
        let Some(state) = brief.state else { return self.forget(brief.job) };
        let was_waiting = self.waiting_queue(brief.job);
        let job = self.jobs.entry(brief.job).or_default();
        let was_over = job.progress.state.is_final();
        job.told = true;
        job.queue = job.queue.take().or(brief.waiting_queue);
        job.organisation = job.organisation.take().or(brief.organisation);
        match state {
            // The job may still end otherwise, and then that is what callers are told.
            JobState::Cancelled => job.cancelled = true,
            _ if was_over => {}
            state => job.progress.state = state,
        }
        self.settle(brief.job, was_waiting, was_over, now);
    }

    /// Brings the counts in line with a job that may have changed.
    fn settle(&mut self, id: JobId, was_waiting: Option<QueueName>, was_over: bool, now: Moment) {
        let waits = self.waiting_queue(id);
        if was_waiting != waits {
            if let Some(queue) = was_waiting {
                self.waiting.entry(queue).and_modify(|count| *count -= 1);
            }
            if let Some(queue) = waits {
                *self.waiting.entry(queue).or_default() += 1;
            }
        }
        let Some(job) = self.jobs.get_mut(&id) else { return };
        if job.progress.state.is_final() {
            // Only its state is asked for from now on.
            job.record = None;
            job.queue = None;
            if !was_over {
                self.ended.push_back((now, id));
            }
        }
    }

    fn waiting_queue(&self, id: JobId) -> Option<QueueName> {
        self.jobs.get(&id).and_then(|job| job.waiting_queue().cloned())
    }

    /// Jobs that were over before `limit`, at most `most` of them. Those that a box put into the store
    /// by itself are left out: the copy of the job would outlast its end, and begin it again.
    pub fn ended_before(&self, limit: Moment, most: usize) -> Vec<JobId> {
        let ended = self.ended.iter().take_while(|(at, _)| *at < limit);
        let forgettable = |id: &JobId| self.jobs.get(id).is_some_and(|job| !job.accepted_by_box);
        ended.map(|(_, id)| *id).filter(forgettable).take(most).collect()
    }

    /// Jobs that a lead accepted.
    pub fn lead_accepted_ids(&self) -> Vec<JobId> {
        self.jobs.iter().filter(|(_, job)| job.accepted_by_lead).map(|(id, _)| *id).collect()
    }

    /// Forgets those of the jobs `known` that are not among `kept`, of which the store still holds a record of
    /// the lead. They ended while this box did not hear of it, and must not begin again.
    pub fn forget_missing(&mut self, known: &[JobId], kept: &HashSet<JobId>) {
        for id in known.iter().filter(|id| !kept.contains(id)) {
            self.forget(*id);
        }
    }

    /// Forgets a job.
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
