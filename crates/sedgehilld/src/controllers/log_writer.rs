//! Appends records to the log in batches, and keeps each until it is read back.
//!
//! An append whose answer is lost may have taken effect, so its records are appended again with the same ids. The fold
//! ignores a second record with the same id.

use std::collections::BTreeMap;
use std::time::Duration;

use rand::Rng;
use sedgehill_core::ids::{BoxId, Offset, RecordId};
use sedgehill_core::record::{LogRecord, RecordBatch, RecordBody};
use sedgehill_core::state::RecordVerdict;
use sedgehill_core::units::{Moment, TimeSpan};
use sedgehill_platform::client::CallError;
use sedgehill_platform::log::LogClient;
use tokio::sync::oneshot;
use uuid::Uuid;

use super::{ControlContext, ControlState};
use crate::clock;
use crate::telemetry;

/// Maximum number of records in one append.
const MAX_BATCH_RECORDS: usize = 500;
/// How long a record without a waiting task is appended again before it is dropped.
const UNATTENDED_TIMEOUT: TimeSpan = TimeSpan(120_000);
/// Delay after the first failed append, in milliseconds. It doubles up to [`MAX_RETRY_DELAY_MS`].
const MIN_RETRY_DELAY_MS: u64 = 50;
/// Maximum delay after a failed append, in milliseconds, without the random part.
const MAX_RETRY_DELAY_MS: u64 = 1_000;

/// A record that is not yet read back from the log.
#[derive(Debug)]
pub struct PendingRecord {
    /// The record.
    pub record: LogRecord,
    /// When the record was first sent; `None` if no append of it can have taken effect.
    pub first_sent: Option<Moment>,
    /// Sender to the task that waits for the verdict, if there is one.
    pub reply: Option<oneshot::Sender<RecordVerdict>>,
    /// When the writer drops the record.
    expires_at: Moment,
    /// Offset at which the log has acknowledged the record.
    acknowledged: Option<Offset>,
}

/// The pending records of a box: to be appended, or appended and not yet read back.
#[derive(Debug)]
pub struct LogWriter {
    own_id: BoxId,
    pending: BTreeMap<RecordId, PendingRecord>,
}

impl LogWriter {
    /// Creates a writer without pending records for the box `own_id`.
    pub fn new(own_id: BoxId) -> LogWriter {
        LogWriter { own_id, pending: BTreeMap::new() }
    }

    /// Returns a new record id. The ids of a box ascend, and records are appended in the order of their ids.
    pub fn new_id() -> RecordId {
        RecordId(Uuid::now_v7())
    }

    /// Adds a record and returns the receiver of its verdict. The record is dropped at `expires_at`.
    pub fn submit(
        &mut self,
        id: RecordId,
        body: RecordBody,
        expires_at: Moment,
    ) -> oneshot::Receiver<RecordVerdict> {
        let (reply, verdict) = oneshot::channel();
        self.insert(id, body, expires_at, Some(reply));
        verdict
    }

    /// Adds a record for whose verdict no task waits.
    pub fn submit_unattended(&mut self, body: RecordBody, now: Moment) {
        self.insert(Self::new_id(), body, now.after(UNATTENDED_TIMEOUT), None);
    }

    /// Adds a record that has no use after `expires_at`, and for whose verdict no task waits.
    pub fn submit_until(&mut self, body: RecordBody, expires_at: Moment) {
        self.insert(Self::new_id(), body, expires_at, None);
    }

    fn insert(
        &mut self,
        id: RecordId,
        body: RecordBody,
        expires_at: Moment,
        reply: Option<oneshot::Sender<RecordVerdict>>,
    ) {
        let record = LogRecord { id, by: self.own_id.clone(), body };
        let pending =
            PendingRecord { record, first_sent: None, reply, expires_at, acknowledged: None };
        self.pending.insert(id, pending);
    }

    /// Removes a record whose verdict was read.
    pub fn remove(&mut self, id: &RecordId) -> Option<PendingRecord> {
        self.pending.remove(id)
    }

    /// Removes a record for which no task waits any more. Returns whether it may still take effect.
    pub fn withdraw(&mut self, id: &RecordId) -> bool {
        self.pending.remove(id).is_some_and(|pending| pending.first_sent.is_some())
    }

    /// Returns whether a snapshot is pending.
    pub fn has_snapshot(&self) -> bool {
        self.has_pending(|body| matches!(body, RecordBody::Snapshot { .. }))
    }

    /// Returns whether a pending record satisfies the predicate.
    pub fn has_pending(&self, predicate: impl Fn(&RecordBody) -> bool) -> bool {
        self.pending.values().any(|pending| predicate(&pending.record.body))
    }

    /// Returns the number of pending records.
    pub fn pending_count(&self) -> usize {
        self.pending.len()
    }

    /// Drops expired records, and returns the records to append next, which it marks as sent.
    fn next_batch(&mut self, now: Moment) -> RecordBatch {
        self.pending.retain(|_, pending| pending.expires_at > now);
        let unacknowledged =
            self.pending.values_mut().filter(|pending| pending.acknowledged.is_none());
        let mut batch = RecordBatch::default();
        for pending in unacknowledged.take(MAX_BATCH_RECORDS) {
            pending.first_sent.get_or_insert(now);
            batch.records.push(pending.record.clone());
        }
        batch
    }

    /// Records that the log has acknowledged a batch.
    fn acknowledge(&mut self, batch: &RecordBatch, offset: Offset) {
        for record in &batch.records {
            if let Some(pending) = self.pending.get_mut(&record.id) {
                pending.acknowledged = Some(offset);
            }
        }
    }

    /// Marks records as not sent, after their first append surely had no effect.
    fn mark_unsent(&mut self, batch: &RecordBatch, sent: Moment) {
        for record in &batch.records {
            if let Some(pending) = self.pending.get_mut(&record.id) {
                pending.first_sent = pending.first_sent.filter(|first| *first != sent);
            }
        }
    }

    /// Marks acknowledged records for another append if the log was applied beyond their offset without them.
    fn resend_missing(&mut self, applied: Offset) {
        for pending in self.pending.values_mut() {
            pending.acknowledged = pending.acknowledged.filter(|offset| *offset >= applied);
        }
    }
}

/// Appends pending records until the process ends.
pub async fn run(context: ControlContext) {
    let client = LogClient::new(context.client.clone(), context.shared.settings.platform.log);
    let append_interval =
        Duration::from_millis(context.shared.settings.log.append_every.as_millis());
    let mut retry_delay_ms = MIN_RETRY_DELAY_MS;
    loop {
        let batch = next_batch(&mut context.state.borrow_mut());
        if batch.records.is_empty() {
            context.writer_notify.notified().await;
            continue;
        }
        let sent = clock::now();
        match client.append(&batch).await {
            Ok(offset) => {
                telemetry::count_append("acknowledged");
                context.state.borrow_mut().writer.acknowledge(&batch, offset);
                retry_delay_ms = MIN_RETRY_DELAY_MS;
                tokio::time::sleep(append_interval).await;
            }
            Err(error) => {
                record_failure(&context, &batch, &error, sent);
                let jitter = rand::rng().random_range(0..retry_delay_ms);
                tokio::time::sleep(Duration::from_millis(retry_delay_ms + jitter)).await;
                retry_delay_ms = (retry_delay_ms * 2).min(MAX_RETRY_DELAY_MS);
            }
        }
    }
}

fn next_batch(state: &mut ControlState) -> RecordBatch {
    if let Some(applied) = state.cluster().map(|cluster| cluster.next) {
        state.writer.resend_missing(applied);
    }
    state.writer.next_batch(clock::now())
}

fn record_failure(context: &ControlContext, batch: &RecordBatch, error: &CallError, sent: Moment) {
    match error.is_not_done() {
        true => {
            telemetry::count_append("refused");
            context.state.borrow_mut().writer.mark_unsent(batch, sent);
        }
        false => telemetry::count_append("unknown"),
    }
}
