//! The batches of records that a lead appends, and what they consist of.

use std::collections::{HashMap, HashSet};
use std::ops::Range;

use bytes::Bytes;
use sedgehill_adapter::store::{KeyedRecord, StoreLimits};
use sedgehill_cell::ids::{JobId, OrganisationName};
use sedgehill_cell::progress::JobProgress;
use sedgehill_cell::progress_parts::{PartId, PartSize, ProgressPart};
use sedgehill_cell::replica::CellRecord;
use sedgehill_cell::scheduler::{ProgressBatch, SpeedChange};
use sedgehill_core::units::Moment;
use slog::{info, warn};

use super::lead::LeadSession;
use super::recorder::LeadSubmission;
use super::state::CellBox;
use crate::clock;

/// The most old jobs that are forgotten with one batch, more than end in the time of a batch.
const MAX_BATCH_DROPS: usize = 64;

/// One batch: progress, submissions, and keys that are no longer needed.
pub struct RecorderBatch {
    /// The progress of jobs and the changes of the roster.
    pub progress: Option<ProgressBatch>,
    /// What callers submitted.
    pub submissions: Vec<LeadSubmission>,
    dropped: Vec<String>,
}

impl RecorderBatch {
    /// Returns the next batch: what is due by now.
    pub fn take(host: &CellBox, session: &LeadSession) -> RecorderBatch {
        let progress = session.scheduler.borrow_mut().take_batch(clock::now());
        let submissions = session.take_submissions();
        let dropped = dropped_keys(host, progress.as_ref());
        RecorderBatch { progress, submissions, dropped }
    }

    /// Returns the jobs of the submissions with their owners.
    pub fn owners(&self) -> HashMap<JobId, Option<OrganisationName>> {
        let owner = |submission: &LeadSubmission| submission.record.owner().unwrap_or_default();
        self.submissions.iter().map(|submission| (submission.job, owner(submission))).collect()
    }

    /// Returns the progress that is stored under a key, or in a part under it.
    pub fn progress_of(&self, key: &str) -> Option<(JobId, &JobProgress)> {
        let (prefix, id) = CellRecord::decode_key(key).ok()?;
        let is_progress = matches!(prefix, CellRecord::PROGRESS_PREFIX | CellRecord::PART_PREFIX);
        let jobs = self.progress.iter().flat_map(|batch| &batch.jobs).filter(|_| is_progress);
        let mut jobs = jobs.filter(|(other, _)| *other == id);
        jobs.next().map(|(id, progress)| (*id, progress))
    }

    /// Returns the records of the batch. Those of the submissions are consecutive.
    pub fn records(&self, host: &CellBox) -> BatchRecords {
        let limits = &host.settings.store_limits;
        let mut records = Vec::new();
        if let Some(batch) = &self.progress {
            for (id, progress) in &batch.jobs {
                records.extend(progress_records(host, *id, progress, limits).records);
            }
            records.extend(batch.roster.iter().map(|change| KeyedRecord {
                key: change.key.clone(),
                value: change.encode().into(),
            }));
            records.extend(batch.speeds.iter().filter_map(|change| speed_record(host, change)));
        }
        let first_submission = records.len();
        let submissions = self.submissions.iter();
        records.extend(submissions.map(|submission| encode(submission.job, &submission.record)));
        records.extend(self.dropped.iter().map(|key| removal(key.clone())));
        BatchRecords { records, first_submission }
    }
}

/// The records of a batch.
pub struct BatchRecords {
    /// The records, in the order in which they are appended.
    pub records: Vec<KeyedRecord>,
    /// The index of the first record of a submission.
    first_submission: usize,
}

impl BatchRecords {
    /// Returns which of `count` submissions have their records in a range.
    pub fn submissions_in(&self, range: &Range<usize>, count: usize) -> Range<usize> {
        let place = |index: usize| index.saturating_sub(self.first_submission).min(count);
        place(range.start)..place(range.end)
    }
}

fn encode(id: JobId, record: &CellRecord) -> KeyedRecord {
    KeyedRecord { key: record.key(id), value: record.encode().into() }
}

/// The records that store the progress of a job.
pub struct ProgressRecords {
    /// The changed parts, then the progress itself, then the removal of parts that are no longer used.
    pub records: Vec<KeyedRecord>,
    /// Whether each record satisfies the limits.
    pub fit: bool,
}

/// Returns the records after which the store holds the progress of a job. Progress that exceeds the limits is divided.
pub fn progress_records(
    host: &CellBox,
    id: JobId,
    progress: &JobProgress,
    limits: &StoreLimits,
) -> ProgressRecords {
    let allows = |record: CellRecord| limits.allow(&encode(id, &record));
    let (mut main, mut overflow) =
        progress.fitted(|progress| allows(CellRecord::Progress(progress.clone())));
    let replica = host.replica.borrow();
    let current_size = replica.job(id).and_then(|job| job.progress.part_size);
    let parts_fit =
        overflow.divide_parts(&mut main, current_size.unwrap_or(PartSize::MAX), |part| {
            allows(CellRecord::ProgressPart(part.clone()))
        });
    let is_changed = |part: &&ProgressPart| replica.part(id, part.id) != Some(*part);
    let changed = overflow.parts.iter().filter(is_changed);
    let mut records: Vec<KeyedRecord> =
        changed.map(|part| encode(id, &CellRecord::ProgressPart(part.clone()))).collect();
    if main.part_size != current_size {
        info!(host.log, "progress divided"; "job" => %id, "parts" => overflow.parts.len(),
            "tasks_per_part" => main.part_size.map(PartSize::tasks));
    }
    let main_record = encode(id, &CellRecord::Progress(main));
    let fit = parts_fit && limits.allow(&main_record);
    if overflow.without_checkpoints || !fit {
        warn!(host.log, "progress recorded in part"; "job" => %id, "fits" => fit,
            "record_bytes" => main_record.stored_bytes(), "limit_bytes" => limits.record_bytes);
    }
    records.push(main_record);
    let used: HashSet<PartId> = overflow.parts.iter().map(|part| part.id).collect();
    let unused = replica.parts(id).map(|part| part.id).filter(|part| !used.contains(part));
    records.extend(unused.map(|part| removal(CellRecord::part_key(id, part))));
    ProgressRecords { records, fit }
}

fn removal(key: String) -> KeyedRecord {
    KeyedRecord { key, value: Bytes::new() }
}

/// Returns a record of the speeds of workers; none if the store would refuse it, which would end the
/// lead. Nothing depends on the record.
fn speed_record(host: &CellBox, change: &SpeedChange) -> Option<KeyedRecord> {
    let record = KeyedRecord { key: change.key.clone(), value: change.encode().into() };
    let limits = &host.settings.store_limits;
    if !limits.allow(&record) {
        warn!(host.log, "worker speeds not recorded"; "key" => &record.key,
            "record_bytes" => record.stored_bytes(), "limit_bytes" => limits.record_bytes);
        return None;
    }
    Some(record)
}

/// Returns the keys to remove from the topic. The record of a submission is removed once its job
/// has ended, and the state of the job after the time set by `keep_ended`. So a box that starts
/// reads little more than the open jobs.
fn dropped_keys(host: &CellBox, progress: Option<&ProgressBatch>) -> Vec<String> {
    let key = |prefix: char, id: JobId| format!("{prefix}{id}");
    let replica = host.replica.borrow();
    let jobs = progress.iter().flat_map(|batch| &batch.jobs);
    let ended = jobs.filter(|(_, job_progress)| job_progress.state.is_final()).map(|(id, _)| *id);
    let lead_accepted = ended.filter(|id| replica.job(*id).is_some_and(|job| job.accepted_by_lead));
    let mut keys: Vec<String> =
        lead_accepted.map(|id| key(CellRecord::LEAD_JOB_PREFIX, id)).collect();
    let limit = Moment(clock::now().0.saturating_sub(host.settings.keep_ended.0));
    for id in replica.ended_before(limit, MAX_BATCH_DROPS) {
        keys.push(CellRecord::Cancel.key(id));
        keys.push(key(CellRecord::PROGRESS_PREFIX, id));
        keys.extend(replica.parts(id).map(|part| CellRecord::part_key(id, part.id)));
    }
    keys
}
