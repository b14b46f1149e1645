//! Puts jobs and cancellations into the store, several at a time.
//!
//! A record stands under its job's id, so a copy that is appended twice, or late, changes nothing.
//! Only what is sure is told: accepted after the store acknowledged, not done if no append that
//! holds the record can have arrived, otherwise unknown.

use std::cell::Cell;
use std::collections::HashSet;
use std::rc::Rc;
use std::time::{Duration, Instant};

use sedgehill_adapter::store::{AppendCondition, AppendOutcome, KeyedRecord, StoreTopic};
use sedgehill_cell::ids::JobId;
use sedgehill_cell::replica::CellRecord;
use sedgehill_core::units::{Moment, TimeSpan};
use serde::{Deserialize, Serialize};
use slog::warn;
use tokio::sync::{Notify, mpsc, oneshot};

use super::hedge::{self, AppendCall};
use super::state::CellBox;
use crate::{clock, telemetry};

/// Records in one append.
const MAX_BATCH_RECORDS: usize = 128;
/// Submissions that wait for an append before further ones are refused.
const QUEUE_CAPACITY: usize = 512;
/// How long an append whose answer was lost is tried again.
const SETTLE_LIMIT: TimeSpan = TimeSpan(6_000);
/// Pause before the next try.
const RETRY_PAUSE: Duration = Duration::from_millis(60);

/// What came of a record.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum SubmissionOutcome {
    /// It is in the store.
    Kept,
    /// It is not in the store and will not be.
    NotDone,
    /// It may be in the store, now or later.
    Unknown,
    /// Another job has its id: it is not in the store and will not be.
    Taken,
    /// It is not in the store and will not be, since the store answers no appends: another way would
    /// end the same.
    StoreAway,
}

/// A record on its way into the store.
pub struct Submission {
    record: KeyedRecord,
    reply: oneshot::Sender<SubmissionOutcome>,
}

/// Hands records over to the appender.
#[derive(Clone)]
pub struct SubmissionHandle {
    queue: mpsc::Sender<Submission>,
}

impl SubmissionHandle {
    /// The handle and the queue that [`run`] works off.
    pub fn new() -> (SubmissionHandle, mpsc::Receiver<Submission>) {
        let (queue, inbox) = mpsc::channel(QUEUE_CAPACITY);
        (SubmissionHandle { queue }, inbox)
    }

    /// Puts a record into the store, if possible through the lead, which gathers the records of all
    /// boxes. Waits for at most `patience`.
    pub async fn submit(
        &self,
        host: &CellBox,
        job: JobId,
        record: &CellRecord,
        timeout: Duration,
    ) -> SubmissionOutcome {
        let started = Instant::now();
        let submitting = submit_to_lead(host, job, record);
        let lead_outcome = match tokio::time::timeout(timeout, submitting).await {
            Ok(LeadOutcome::Answered(
                settled @ (SubmissionOutcome::Kept
                | SubmissionOutcome::Taken
                | SubmissionOutcome::StoreAway),
            )) => return settled,
            Ok(lead_outcome) => lead_outcome,
            // The lead lives, or the link to it would be lost: no other box has a better way.
            Err(_) => return SubmissionOutcome::Unknown,
        };
        let remaining = timeout.saturating_sub(started.elapsed());
        let own_outcome = self.append(job, record, remaining).await;
        match (lead_outcome, own_outcome) {
            // What the lead may have recorded cannot be called not done.
            (LeadOutcome::Answered(SubmissionOutcome::Unknown), own_outcome)
                if own_outcome != SubmissionOutcome::Kept =>
            {
                SubmissionOutcome::Unknown
            }
            (_, own_outcome) => own_outcome,
        }
    }

    /// Puts a record into the store from this box.
    async fn append(
        &self,
        job: JobId,
        record: &CellRecord,
        timeout: Duration,
    ) -> SubmissionOutcome {
        let keyed_record = KeyedRecord { key: record.key(job), value: record.encode().into() };
        let (reply, answer) = oneshot::channel();
        if self.queue.try_send(Submission { record: keyed_record, reply }).is_err() {
            return SubmissionOutcome::NotDone;
        }
        match tokio::time::timeout(timeout, answer).await {
            Ok(Ok(outcome)) => outcome,
            Ok(Err(_)) | Err(_) => SubmissionOutcome::Unknown,
        }
    }
}

/// What came of handing a record to the lead.
enum LeadOutcome {
    /// There is no lead within reach that could take it.
    NoLead,
    /// What the lead told, or that it told nothing.
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

/// Works off the queue, one append at a time: the store takes the appends of a topic in turn, so when it
/// is slow more of them would only make a longer queue there, while records that wait here go together.
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

/// Refuses a submission while an append is stuck. One that the stuck append holds may still be kept.
fn refuse(submission: Submission, stuck_keys: &HashSet<String>) {
    let outcome = match stuck_keys.contains(&submission.record.key) {
        true => SubmissionOutcome::Unknown,
        false => SubmissionOutcome::StoreAway,
    };
    // A caller that does not wait any more asks again.
    let _ = submission.reply.send(outcome);
}

async fn append_batch(host: &CellBox, mut batch: Vec<Submission>) {
    // A caller that has gone is served by its next try.
    batch.retain(|submission| !submission.reply.is_closed());
    if batch.is_empty() {
        return;
    }
    let records: Vec<KeyedRecord> =
        batch.iter().map(|submission| submission.record.clone()).collect();
    let outcome = append_until_settled(host, &records, clock::now()).await;
    for submission in batch {
        // A caller that does not wait any more asks again.
        let _ = submission.reply.send(outcome);
    }
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
                // No condition was set, so none can have failed.
                warn!(host.log, "append refused"; "outcome" => ?outcome);
                maybe_done = true;
            }
            Err(error) => {
                warn!(host.log, "append failed"; "records" => records.len(), "error" => %error);
                maybe_done |= !error.is_surely_not_done();
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
