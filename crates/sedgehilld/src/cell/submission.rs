//! Appends jobs and cancellations to the store in batches.
//!
//! A record's key is the id of its job, so appending it twice or late changes nothing. Callers get
//! only certain answers: accepted once the store has acknowledged the record, not done if no append
//! with the record can have reached the store, and unknown otherwise.

use std::cell::Cell;
use std::collections::HashSet;
use std::rc::Rc;
use std::time::{Duration, Instant};

use sedgehill_adapter::store::{AppendCondition, AppendOutcome, KeyedRecord, StoreTopic};
use sedgehill_cell::ids::JobId;
use sedgehill_cell::progress::JobProgress;
use sedgehill_cell::replica::CellRecord;
use sedgehill_core::units::{Moment, TimeSpan};
use serde::{Deserialize, Serialize};
use slog::warn;
use tokio::sync::{Notify, mpsc, oneshot};

use super::hedge::{self, AppendCall};
use super::state::CellBox;
use crate::{clock, telemetry};

/// The most records in one append.
const MAX_BATCH_RECORDS: usize = 128;
/// The most submissions that wait for an append before further ones are refused.
const QUEUE_CAPACITY: usize = 512;
/// How long an append is repeated whose answer was lost.
const SETTLE_LIMIT: TimeSpan = TimeSpan(6_000);
/// Pause between two tries of an append.
const RETRY_PAUSE: Duration = Duration::from_millis(60);

/// The outcome of a submission.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum SubmissionOutcome {
    /// The record is in the store.
    Kept,
    /// The record is not in the store and will not be.
    NotDone,
    /// The record may be in the store, now or later.
    Unknown,
    /// Another organisation's job has the same id: the record is not in the store and will not be.
    Taken,
    /// The record is not in the store and will not be, since the store does not answer appends;
    /// submitting it by another box would fail as well.
    StoreAway,
    /// The record is too large for the store: it is not there and will not be.
    TooLarge,
    /// The lead refuses the job, since it could not end in time: the record is not in the store and
    /// will not be. A retry after this time can still be of use. Boxes of releases without this
    /// variant are not sent it.
    Deferred {
        /// The time until there is capacity for the job.
        retry_after: TimeSpan,
    },
    /// The lead refuses the job, and no retry within its useful time can help: the record is not in
    /// the store and will not be. Boxes of releases without this variant are not sent it.
    Rejected {
        /// The time until the backlog of the job's organisation is cleared.
        retry_after: TimeSpan,
    },
}

/// A record that waits to be appended.
pub struct Submission {
    job: JobId,
    record: KeyedRecord,
    reply: oneshot::Sender<SubmissionOutcome>,
}

/// Submits records to the lead or to the appender task of this box.
#[derive(Clone)]
pub struct SubmissionHandle {
    queue: mpsc::Sender<Submission>,
}

impl SubmissionHandle {
    /// Creates a handle and the queue that [`run`] serves.
    pub fn new() -> (SubmissionHandle, mpsc::Receiver<Submission>) {
        let (queue, inbox) = mpsc::channel(QUEUE_CAPACITY);
        (SubmissionHandle { queue }, inbox)
    }

    /// Submits a record, if possible through the lead, which batches the records of all boxes.
    /// Waits for at most `timeout`.
    pub async fn submit(
        &self,
        host: &CellBox,
        job: JobId,
        record: &CellRecord,
        timeout: Duration,
    ) -> SubmissionOutcome {
        if !fits_store(host, job, record) {
            return SubmissionOutcome::TooLarge;
        }
        let outcome = self.submit_fitting(host, job, record, timeout).await;
        if outcome == SubmissionOutcome::Unknown && record.owner().is_some() {
            host.note_unsettled(&[job]);
        }
        outcome
    }

    /// Submits a record that the store takes.
    async fn submit_fitting(
        &self,
        host: &CellBox,
        job: JobId,
        record: &CellRecord,
        timeout: Duration,
    ) -> SubmissionOutcome {
        let started = Instant::now();
        let submitting = submit_to_lead(host, job, record);
        let lead_outcome = match tokio::time::timeout(timeout, submitting).await {
            // The lead may not know yet of an append by this box whose outcome is unknown.
            Ok(LeadOutcome::Answered(
                SubmissionOutcome::Deferred { .. } | SubmissionOutcome::Rejected { .. },
            )) if host.unsettled.borrow().may_include(job, clock::now()) => {
                return SubmissionOutcome::Unknown;
            }
            Ok(LeadOutcome::Answered(
                settled @ (SubmissionOutcome::Kept
                | SubmissionOutcome::Taken
                | SubmissionOutcome::StoreAway
                | SubmissionOutcome::TooLarge
                | SubmissionOutcome::Deferred { .. }
                | SubmissionOutcome::Rejected { .. }),
            )) => return settled,
            Ok(lead_outcome) => lead_outcome,
            // The lead is alive, or the link to it would have been lost: this box has no better
            // path.
            Err(_) => return SubmissionOutcome::Unknown,
        };
        let remaining = timeout.saturating_sub(started.elapsed());
        let own_outcome = self.append(job, record, remaining).await;
        match (lead_outcome, own_outcome) {
            // The lead may have recorded it, so it must not be reported as not done.
            (LeadOutcome::Answered(SubmissionOutcome::Unknown), own_outcome)
                if own_outcome != SubmissionOutcome::Kept =>
            {
                SubmissionOutcome::Unknown
            }
            (_, own_outcome) => own_outcome,
        }
    }

    /// Appends a record from this box.
    async fn append(
        &self,
        job: JobId,
        record: &CellRecord,
        timeout: Duration,
    ) -> SubmissionOutcome {
        let keyed_record = KeyedRecord { key: record.key(job), value: record.encode().into() };
        let (reply, answer) = oneshot::channel();
        if self.queue.try_send(Submission { job, record: keyed_record, reply }).is_err() {
            return SubmissionOutcome::NotDone;
        }
        match tokio::time::timeout(timeout, answer).await {
            Ok(Ok(outcome)) => outcome,
            Ok(Err(_)) | Err(_) => SubmissionOutcome::Unknown,
        }
    }
}

/// The outcome of submitting a record to the lead.
enum LeadOutcome {
    /// There is no reachable lead that could append it.
    NoLead,
    /// The answer of the lead; [`SubmissionOutcome::Unknown`] if it gave none.
    Answered(SubmissionOutcome),
}

async fn submit_to_lead(host: &CellBox, job: JobId, record: &CellRecord) -> LeadOutcome {
    let session = host.session.borrow().clone();
    let link = host.link.borrow().clone();
    let outcome = match (session, link) {
        (Some(session), _) if session.store_answers(host) => {
            session.submit(host, job, record).await
        }
        (None, Some(link)) if link.takes_submissions() => link.submit(job, record).await,
        _ => return LeadOutcome::NoLead,
    };
    LeadOutcome::Answered(outcome.unwrap_or(SubmissionOutcome::Unknown))
}

/// Appends the queued submissions, one append at a time. The store processes the appends of a topic
/// in order, so parallel appends to a slow store would only queue there, while submissions that
/// wait here share the next append.
pub async fn run(host: Rc<CellBox>, mut inbox: mpsc::Receiver<Submission>) {
    let mut batch = Vec::new();
    while inbox.recv_many(&mut batch, MAX_BATCH_RECORDS).await > 0 {
        let batch = std::mem::take(&mut batch);
        let batch_keys: HashSet<String> =
            batch.iter().map(|submission| submission.record.key.clone()).collect();
        let is_stuck = Cell::new(false);
        let stuck = Notify::new();
        let appending = hedge::await_append(&host, append_batch(&host, batch), || {
            is_stuck.set(true);
            stuck.notify_one();
        });
        let mut appending = std::pin::pin!(appending);
        loop {
            tokio::select! {
                () = appending.as_mut() => break,
                () = stuck.notified() => {}
                Some(submission) = inbox.recv(), if is_stuck.get() => refuse(submission, &batch_keys),
            }
        }
    }
}

/// Refuses a submission while an append is stuck. If the stuck append holds the same record, the
/// store may still keep it, so the outcome is unknown.
fn refuse(submission: Submission, stuck_keys: &HashSet<String>) {
    let outcome = match stuck_keys.contains(&submission.record.key) {
        true => SubmissionOutcome::Unknown,
        false => SubmissionOutcome::StoreAway,
    };
    // A caller that no longer waits will retry.
    let _ = submission.reply.send(outcome);
}

async fn append_batch(host: &CellBox, mut batch: Vec<Submission>) {
    // A caller that no longer waits will retry.
    batch.retain(|submission| !submission.reply.is_closed());
    if batch.is_empty() {
        return;
    }
    let records: Vec<KeyedRecord> =
        batch.iter().map(|submission| submission.record.clone()).collect();
    let started = clock::now();
    // Noted before the append, since a caller may give up and repeat its call meanwhile.
    let jobs: Vec<JobId> = batch.iter().map(|submission| submission.job).collect();
    let newly_noted = host.note_unsettled(&jobs);
    let mut submissions = batch.into_iter();
    for range in host.settings.store_limits.divide(&records) {
        let count = range.len();
        let jobs = &jobs[range.clone()];
        let outcome = append_until_settled(host, &records[range], started).await;
        match outcome {
            SubmissionOutcome::NotDone => forget_unsettled(host, jobs, &newly_noted),
            _ => drop(host.note_unsettled(jobs)),
        }
        for submission in submissions.by_ref().take(count) {
            // A caller that no longer waits will retry.
            let _ = submission.reply.send(outcome);
        }
    }
}

/// Removes the notes that were made for an append that did not happen. Earlier notes of the same
/// jobs stay.
fn forget_unsettled(host: &CellBox, jobs: &[JobId], newly_noted: &[JobId]) {
    let mut unsettled = host.unsettled.borrow_mut();
    jobs.iter().filter(|job| newly_noted.contains(job)).for_each(|job| unsettled.forget(*job));
}

/// Returns whether the store takes the record of a submission, and all later records of its job.
fn fits_store(host: &CellBox, job: JobId, record: &CellRecord) -> bool {
    let limits = &host.settings.store_limits;
    let keyed_record = KeyedRecord { key: record.key(job), value: record.encode().into() };
    let progress_bytes = match record {
        CellRecord::Job(record) | CellRecord::LeadJob(record) => {
            JobProgress::max_stored_bytes(&record.spec, record.policy.max_attempts)
        }
        CellRecord::Cancel | CellRecord::Progress(_) | CellRecord::ProgressPart(_) => 0,
    };
    let fits = limits.allow(&keyed_record) && progress_bytes <= limits.record_bytes;
    if !fits {
        warn!(host.log, "job too large for the store"; "job" => %job,
            "record_bytes" => keyed_record.stored_bytes(), "progress_bytes" => progress_bytes,
            "limit_bytes" => limits.record_bytes);
    }
    fits
}

async fn append_until_settled(
    host: &CellBox,
    records: &[KeyedRecord],
    started: Moment,
) -> SubmissionOutcome {
    let mut maybe_done = false;
    loop {
        let sent = Instant::now();
        let condition = &AppendCondition::None;
        let call = AppendCall { topic: StoreTopic::Jobs, records, condition };
        let result = hedge::append_hedged(host, call).await;
        let outcome = if result.is_ok() { "answered" } else { "failed" };
        telemetry::note_store_append("jobs", outcome, sent.elapsed().as_secs_f64());
        match result {
            Ok(AppendOutcome::Kept { .. }) => return SubmissionOutcome::Kept,
            Ok(outcome) => {
                // The append had no condition, so the store has no reason to refuse it.
                warn!(host.log, "append refused"; "outcome" => ?outcome);
                maybe_done = true;
            }
            Err(error) => {
                warn!(host.log, "append failed"; "records" => records.len(), "error" => %error);
                maybe_done |= !error.is_not_done();
                if !maybe_done {
                    return SubmissionOutcome::NotDone;
                }
            }
        }
        if clock::now().since(started) > SETTLE_LIMIT {
            return SubmissionOutcome::Unknown;
        }
        tokio::time::sleep(RETRY_PAUSE).await;
    }
}
