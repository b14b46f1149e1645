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
const BATCH_RECORDS: usize = 128;
/// Submissions that wait for an append before further ones are refused.
const QUEUE_LENGTH: usize = 512;
/// How long an append whose answer was lost is tried again.
const SETTLE_LIMIT: TimeSpan = TimeSpan(6_000);
/// Pause before the next try.
const RETRY_PAUSE: Duration = Duration::from_millis(60);

/// What came of a record.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum AcceptOutcome {
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
    reply: oneshot::Sender<AcceptOutcome>,
}

/// Hands records over to the appender.
#[derive(Clone)]
pub struct AcceptHandle {
    queue: mpsc::Sender<Submission>,
}

impl AcceptHandle {
    /// The handle and the queue that [`run`] works off.
    pub fn new() -> (AcceptHandle, mpsc::Receiver<Submission>) {
        let (queue, inbox) = mpsc::channel(QUEUE_LENGTH);
        (AcceptHandle { queue }, inbox)
    }

    /// Puts a record into the store, if possible through the lead, which gathers the records of all
    /// boxes. Waits for at most `patience`.
    pub async fn submit(
        &self,
        host: &CellBox,
        job: JobId,
        statement: &CellRecord,
        patience: Duration,
    ) -> AcceptOutcome {
        let begun = Instant::now();
        let by_lead = submit_to_lead(host, job, statement);
        let led = match tokio::time::timeout(patience, by_lead).await {
            Ok(LedOutcome::Told(
                done @ (AcceptOutcome::Kept | AcceptOutcome::Taken | AcceptOutcome::StoreAway),
            )) => return done,
            Ok(led) => led,
            // The lead lives, or the link to it would be lost: no other box has a better way.
            Err(_) => return AcceptOutcome::Unknown,
        };
        let left = patience.saturating_sub(begun.elapsed());
        let own = self.append(job, statement, left).await;
        match (led, own) {
            // What the lead may have recorded cannot be called not done.
            (LedOutcome::Told(AcceptOutcome::Unknown), own) if own != AcceptOutcome::Kept => {
                AcceptOutcome::Unknown
            }
            (_, own) => own,
        }
    }

    /// Puts a record into the store from this box.
    async fn append(
        &self,
        job: JobId,
        statement: &CellRecord,
        patience: Duration,
    ) -> AcceptOutcome {
        let record = KeyedRecord { key: statement.key(job), value: statement.encode().into() };
        let (reply, answer) = oneshot::channel();
        if self.queue.try_send(Submission { record, reply }).is_err() {
            return AcceptOutcome::NotDone;
        }
        match tokio::time::timeout(patience, answer).await {
            Ok(Ok(outcome)) => outcome,
            Ok(Err(_)) | Err(_) => AcceptOutcome::Unknown,
        }
    }
}

/// What came of handing a record to the lead.
enum LedOutcome {
    /// There is no lead within reach that could take it.
    NoLead,
    /// What the lead told, or that it told nothing.
    Told(AcceptOutcome),
}

async fn submit_to_lead(host: &CellBox, job: JobId, statement: &CellRecord) -> LedOutcome {
    let session = host.session.borrow().clone();
    let link = host.link.borrow().clone();
    let outcome = match (session, link) {
        (Some(session), _) if session.store_answers(host) => {
            session.submit(host, job, statement).await
        }
        (None, Some(link)) if link.takes_submissions() => link.submit(job, statement).await,
        _ => return LedOutcome::NoLead,
    };
    LedOutcome::Told(outcome.unwrap_or(AcceptOutcome::Unknown))
}

/// Works off the queue, one append at a time: the store takes the appends of a topic in turn, so when it
/// is slow more of them would only make a longer queue there, while records that wait here go together.
pub async fn run(host: Rc<CellBox>, mut inbox: mpsc::Receiver<Submission>) {
    let mut batch = Vec::new();
    while inbox.recv_many(&mut batch, BATCH_RECORDS).await > 0 {
        let batch = std::mem::take(&mut batch);
        let keys: HashSet<String> =
            batch.iter().map(|submission| submission.record.key.clone()).collect();
        let is_stuck = Cell::new(false);
        let stuck = Notify::new();
        let appending = hedge::unless_stuck(&host, append_batch(&host, batch), || {
            is_stuck.set(true);
            stuck.notify_one();
        });
        let mut appending = std::pin::pin!(appending);
        loop {
            tokio::select! {
                () = appending.as_mut() => break,
                () = stuck.notified() => {}
                Some(submission) = inbox.recv(), if is_stuck.get() => refuse(submission, &keys),
            }
        }
    }
}

/// Refuses a submission while an append is stuck. One that the stuck append holds may still be kept.
fn refuse(submission: Submission, stuck: &HashSet<String>) {
    let outcome = match stuck.contains(&submission.record.key) {
        true => AcceptOutcome::Unknown,
        false => AcceptOutcome::StoreAway,
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
    let outcome = settle_append(host, &records, clock::now()).await;
    for submission in batch {
        // A caller that does not wait any more asks again.
        let _ = submission.reply.send(outcome);
    }
}

async fn settle_append(host: &CellBox, records: &[KeyedRecord], begun: Moment) -> AcceptOutcome {
    let mut doubtful = false;
    loop {
        let sent = Instant::now();
        let condition = &AppendCondition::None;
        let call = AppendCall { topic: StoreTopic::Jobs, records, condition };
        let result = hedge::append_twice(host, call).await;
        let outcome = if result.is_ok() { "answered" } else { "failed" };
        telemetry::note_store_append("jobs", outcome, sent.elapsed().as_secs_f64());
        match result {
            Ok(AppendOutcome::Kept { .. }) => return AcceptOutcome::Kept,
            Ok(outcome) => {
                // No condition was set, so none can have failed.
                warn!(host.log, "append refused"; "outcome" => ?outcome);
                doubtful = true;
            }
            Err(error) => {
                warn!(host.log, "append failed"; "records" => records.len(), "error" => %error);
                doubtful |= !error.is_not_done();
                if !doubtful {
                    return AcceptOutcome::NotDone;
                }
            }
        }
        if clock::now().since(begun) > SETTLE_LIMIT {
            return AcceptOutcome::Unknown;
        }
        tokio::time::sleep(RETRY_PAUSE).await;
    }
}
