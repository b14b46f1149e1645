//! Appends records in batches and keeps each until it is read back.
//!
//! An append whose answer is lost may have taken effect, so its records are appended again with the
//! same ids; the fold gives a second copy no effect.

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

/// The most records in one append.
const MAX_BATCH: usize = 500;
/// How long a record that nobody waits for is appended again before it is given up.
const UNATTENDED_LIMIT: TimeSpan = TimeSpan(120_000);
/// The pause after a failed append, in milliseconds; it doubles up to [`MAX_PAUSE_MS`].
const FIRST_PAUSE_MS: u64 = 50;
/// The longest pause after a failed append, in milliseconds.
const MAX_PAUSE_MS: u64 = 1_000;

/// A record on its way to the log and back.
#[derive(Debug)]
pub struct PendingRecord {
    /// The record.
    pub record: LogRecord,
    /// When it was first sent, if it was.
    pub first_sent: Option<Moment>,
    /// Who waits for its verdict.
    pub reply: Option<oneshot::Sender<RecordVerdict>>,
    /// When it is given up.
    give_up: Moment,
    /// Where it stands, once the log has said so.
    acknowledged: Option<Offset>,
}

/// The records that are on their way.
#[derive(Debug)]
pub struct LogWriter {
    me: BoxId,
    pending: BTreeMap<RecordId, PendingRecord>,
}

impl LogWriter {
    /// A writer of a box, with nothing on its way.
    pub fn new(me: BoxId) -> LogWriter {
        LogWriter { me, pending: BTreeMap::new() }
    }

    /// A new id. Ids of one box ascend, and records are appended in the order of their ids.
    pub fn new_id() -> RecordId {
        RecordId(Uuid::now_v7())
    }

    /// Hands over a record whose verdict someone waits for until `give_up`.
    pub fn submit(
        &mut self,
        id: RecordId,
        body: RecordBody,
        give_up: Moment,
    ) -> oneshot::Receiver<RecordVerdict> {
        let (reply, replied) = oneshot::channel();
        self.insert(id, body, give_up, Some(reply));
        replied
    }

    /// Hands over a record that nobody waits for.
    pub fn submit_unattended(&mut self, body: RecordBody, now: Moment) {
        self.insert(Self::new_id(), body, now.after(UNATTENDED_LIMIT), None);
    }

    /// Hands over a record that is worthless after `give_up`.
    pub fn submit_until(&mut self, body: RecordBody, give_up: Moment) {
        self.insert(Self::new_id(), body, give_up, None);
    }

    fn insert(
        &mut self,
        id: RecordId,
        body: RecordBody,
        give_up: Moment,
        reply: Option<oneshot::Sender<RecordVerdict>>,
    ) {
        let record = LogRecord { id, by: self.me.clone(), body };
        let pending =
            PendingRecord { record, first_sent: None, reply, give_up, acknowledged: None };
        self.pending.insert(id, pending);
    }

    /// Takes out a record whose verdict was read.
    pub fn settle(&mut self, id: &RecordId) -> Option<PendingRecord> {
        self.pending.remove(id)
    }

    /// Takes out a record that nobody waits for any more. Returns whether it may take effect yet.
    pub fn withdraw(&mut self, id: &RecordId) -> bool {
        self.pending.remove(id).is_some_and(|pending| pending.first_sent.is_some())
    }

    /// Whether a snapshot is on its way.
    pub fn has_snapshot(&self) -> bool {
        self.has_pending(|body| matches!(body, RecordBody::Snapshot { .. }))
    }

    /// Whether a record on its way fits a check.
    pub fn has_pending(&self, check: impl Fn(&RecordBody) -> bool) -> bool {
        self.pending.values().any(|pending| check(&pending.record.body))
    }

    /// Records on their way.
    pub fn pending(&self) -> usize {
        self.pending.len()
    }

    /// The records to append now, each noted as sent.
    fn next_batch(&mut self, now: Moment) -> RecordBatch {
        self.pending.retain(|_, pending| pending.give_up > now);
        let wanted = self.pending.values_mut().filter(|pending| pending.acknowledged.is_none());
        let mut batch = RecordBatch::default();
        for pending in wanted.take(MAX_BATCH) {
            pending.first_sent.get_or_insert(now);
            batch.records.push(pending.record.clone());
        }
        batch
    }

    fn acknowledge(&mut self, batch: &RecordBatch, offset: Offset) {
        for record in &batch.records {
            if let Some(pending) = self.pending.get_mut(&record.id) {
                pending.acknowledged = Some(offset);
            }
        }
    }

    /// Forgets that records were sent, after an append that surely had no effect.
    fn unsend(&mut self, batch: &RecordBatch, sent: Moment) {
        for record in &batch.records {
            if let Some(pending) = self.pending.get_mut(&record.id) {
                pending.first_sent = pending.first_sent.filter(|first| *first != sent);
            }
        }
    }

    /// Sends records again that the log said it has, but that were not there to read.
    fn doubt(&mut self, applied: Offset) {
        for pending in self.pending.values_mut() {
            pending.acknowledged = pending.acknowledged.filter(|offset| *offset >= applied);
        }
    }
}

/// Appends for as long as the box runs.
pub async fn run(context: ControlContext) {
    let client = LogClient::new(context.client.clone(), context.shared.settings.platform.log);
    let every = Duration::from_millis(context.shared.settings.log.append_every.as_millis());
    let mut pause = FIRST_PAUSE_MS;
    loop {
        let batch = next_batch(&mut context.state.borrow_mut());
        if batch.records.is_empty() {
            context.write_wanted.notified().await;
            continue;
        }
        let sent = clock::now();
        match client.append(&batch).await {
            Ok(offset) => {
                telemetry::count_append("acknowledged");
                context.state.borrow_mut().writer.acknowledge(&batch, offset);
                pause = FIRST_PAUSE_MS;
                tokio::time::sleep(every).await;
            }
            Err(error) => {
                note_failure(&context, &batch, &error, sent);
                let jitter = rand::rng().random_range(0..pause);
                tokio::time::sleep(Duration::from_millis(pause + jitter)).await;
                pause = (pause * 2).min(MAX_PAUSE_MS);
            }
        }
    }
}

fn next_batch(state: &mut ControlState) -> RecordBatch {
    if let Some(applied) = state.cluster().map(|cluster| cluster.next) {
        state.writer.doubt(applied);
    }
    state.writer.next_batch(clock::now())
}

fn note_failure(context: &ControlContext, batch: &RecordBatch, error: &CallError, sent: Moment) {
    match error.is_not_done() {
        true => {
            telemetry::count_append("refused");
            context.state.borrow_mut().writer.unsend(batch, sent);
        }
        false => telemetry::count_append("unknown"),
    }
}
