//! Puts the progress of jobs into the store, in order and only as long as no later lead exists.

use std::time::{Duration, Instant};

use sedgehill_adapter::store::{
    AppendCondition, AppendOutcome, KeyedRecord, ReadOutcome, StoreTopic,
};
use sedgehill_cell::ids::FencingToken;
use sedgehill_cell::replica::CellRecord;
use sedgehill_cell::scheduler::{ProgressBatch, WorkerRoster};
use sedgehill_core::units::TimeSpan;
use slog::{info, warn};

use super::lead::LeadSession;
use super::state::{CellBox, TopicView};
use crate::{clock, telemetry};

/// The sender of progress: each lead has its token as the epoch, so the store refuses earlier ones.
const PRODUCER: &str = "lead";
/// How long one try may take; a slow store lets appends wait for up to two seconds.
const TRY_LIMIT: Duration = Duration::from_millis(2_500);
/// Pause before the next try.
const RETRY_PAUSE: Duration = Duration::from_millis(50);
/// Progress is gathered for so long before it is put into the store: each call is paid for.
const GATHER: Duration = Duration::from_millis(20);
/// How long a new lead tries to fence and to catch up before it gives up.
const FENCE_LIMIT: TimeSpan = TimeSpan(3_000);

/// Records progress under one token.
pub struct ProgressRecorder {
    token: FencingToken,
    sequence: u64,
}

/// Makes the store refuse the progress of earlier leads, and waits until all that they recorded is
/// known here.
pub async fn fence(host: &CellBox, token: FencingToken) -> Option<ProgressRecorder> {
    let mut recorder = ProgressRecorder { token, sequence: 0 };
    let begun = clock::now();
    let end = loop {
        match recorder.append(host, &[]).await {
            Some(AppendOutcome::Kept { end }) => break end,
            Some(outcome) => {
                info!(host.log, "fencing refused"; "token" => %token, "outcome" => ?outcome);
                return None;
            }
            None if clock::now().since(begun) > FENCE_LIMIT => return None,
            None => tokio::time::sleep(RETRY_PAUSE).await,
        }
    };
    // Jobs that an earlier lead has seen must be known, or their runs would be taken as foreign.
    let jobs_end = end_of_jobs(host).await?;
    let behind = |view: &TopicView, end| view.offset.get().is_none_or(|offset| offset < end);
    while behind(&host.progress_view, end) || behind(&host.jobs_view, jobs_end) {
        if clock::now().since(begun) > FENCE_LIMIT {
            return None;
        }
        tokio::time::sleep(RETRY_PAUSE / 10).await;
    }
    info!(host.log, "fenced"; "token" => %token, "end" => end,
        "took_ms" => clock::now().since(begun).as_millis());
    Some(recorder)
}

/// Where the jobs end now; none if the store does not tell.
async fn end_of_jobs(host: &CellBox) -> Option<u64> {
    let offset = host.jobs_view.offset.get()?;
    match host.clients.store.read(StoreTopic::Jobs, offset, Duration::ZERO, TRY_LIMIT).await {
        Ok(ReadOutcome::Records { end, .. }) => Some(end),
        Ok(ReadOutcome::Gone) => None,
        Err(error) => {
            warn!(host.log, "end of jobs not read"; "error" => %error);
            None
        }
    }
}

impl ProgressRecorder {
    /// Records batches as the scheduler makes them, until a later lead exists.
    pub async fn run(&mut self, host: &CellBox, session: &LeadSession) {
        loop {
            tokio::time::sleep(GATHER).await;
            let batch = session.scheduler.borrow_mut().take_batch(clock::now());
            let Some(batch) = batch else { continue };
            if !self.record(host, &batch).await {
                return;
            }
            session.scheduler.borrow_mut().batch_recorded(&batch);
            session.wake.notify_one();
        }
    }

    async fn record(&mut self, host: &CellBox, batch: &ProgressBatch) -> bool {
        let mut records: Vec<KeyedRecord> = batch
            .jobs
            .iter()
            .map(|(id, progress)| {
                let record = CellRecord::Progress(progress.clone());
                KeyedRecord { key: record.key(*id), value: record.encode().into() }
            })
            .collect();
        if let Some(roster) = &batch.roster {
            let key = WorkerRoster::KEY.to_owned();
            records.push(KeyedRecord { key, value: roster.encode().into() });
        }
        if records.is_empty() {
            return true;
        }
        loop {
            match self.append(host, &records).await {
                Some(AppendOutcome::Kept { .. }) => return true,
                Some(outcome) => {
                    info!(host.log, "progress refused";
                        "token" => %self.token, "outcome" => ?outcome);
                    return false;
                }
                None => tokio::time::sleep(RETRY_PAUSE).await,
            }
        }
    }

    /// One try. The sequence number goes on only when the store has answered.
    async fn append(&mut self, host: &CellBox, records: &[KeyedRecord]) -> Option<AppendOutcome> {
        let condition = AppendCondition::Sequence {
            producer: PRODUCER.to_owned(),
            epoch: self.token.0,
            sequence: self.sequence,
        };
        let sent = Instant::now();
        let store = &host.clients.store;
        let appending = store.append(StoreTopic::Progress, records, &condition, TRY_LIMIT);
        // The same sequence number settles whether the first try was carried out.
        let result = host.store_contact.unless_regained(appending).await;
        let outcome = if result.is_ok() { "answered" } else { "failed" };
        telemetry::note_store_append("progress", outcome, sent.elapsed().as_secs_f64());
        match result {
            Ok(outcome) => {
                self.sequence += u64::from(matches!(outcome, AppendOutcome::Kept { .. }));
                Some(outcome)
            }
            Err(error) => {
                warn!(host.log, "progress not recorded";
                    "token" => %self.token, "records" => records.len(), "error" => %error);
                None
            }
        }
    }
}
