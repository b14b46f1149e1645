//! The batches of records that a lead appends, and what they consist of.

use std::collections::HashMap;
use std::ops::Range;

use bytes::Bytes;
use sedgehill_adapter::store::KeyedRecord;
use sedgehill_cell::ids::{JobId, OrganisationName};
use sedgehill_cell::progress::JobProgress;
use sedgehill_cell::replica::CellRecord;
use sedgehill_cell::scheduler::{ProgressBatch, SpeedChange};
use sedgehill_core::units::Moment;
use slog::warn;

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

    /// Returns the records of the batch. Those of the submissions are consecutive.
    pub fn records(&self, host: &CellBox) -> BatchRecords {
        let record = |id: JobId, record: &CellRecord| KeyedRecord {
            key: record.key(id),
            value: record.encode().into(),
        };
        let mut records = Vec::new();
        if let Some(batch) = &self.progress {
            let progress = batch.jobs.iter();
            records.extend(progress.map(|(id, progress)| progress_record(host, *id, progress)));
            records.extend(batch.roster.iter().map(|change| KeyedRecord {
                key: change.key.clone(),
                value: change.encode().into(),
            }));
            records.extend(batch.speeds.iter().filter_map(|change| speed_record(host, change)));
        }
        let first_submission = records.len();
        let submissions = self.submissions.iter();
        records.extend(submissions.map(|submission| record(submission.job, &submission.record)));
        let dropped = self.dropped.iter();
        records.extend(dropped.map(|key| KeyedRecord { key: key.clone(), value: Bytes::new() }));
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

/// Returns the record of the progress of a job. Extras that do not fit into a record are left out.
fn progress_record(host: &CellBox, id: JobId, progress: &JobProgress) -> KeyedRecord {
    let limits = &host.settings.store_limits;
    let encode = |progress: &JobProgress| {
        let record = CellRecord::Progress(progress.clone());
        KeyedRecord { key: record.key(id), value: record.encode().into() }
    };
    let (fitted, left_out) = progress.fitted(|progress| limits.allow(&encode(progress)));
    let record = encode(&fitted);
    if !left_out.is_empty() {
        let names: Vec<&str> = left_out.iter().map(|extra| extra.name()).collect();
        warn!(host.log, "progress recorded in part"; "job" => %id, "left_out" => names.join(","),
            "record_bytes" => record.stored_bytes(), "limit_bytes" => limits.record_bytes);
    }
    record
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
    }
    keys
}
