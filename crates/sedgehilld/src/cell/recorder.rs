//! Puts the progress of jobs into the store, in order and only as long as no later lead exists.
//!
//! What callers hand in at any box comes the same way: one append holds the progress and the jobs of
//! some milliseconds, and a job that the lead accepted may be started as soon as it is recorded.

use std::collections::HashMap;
use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use sedgehill_adapter::store::{AppendCondition, AppendOutcome, KeyedRecord, StoreTopic};
use sedgehill_cell::ids::{FencingToken, JobId, OrganisationName};
use sedgehill_cell::progress::JobProgress;
use sedgehill_cell::replica::CellRecord;
use sedgehill_cell::scheduler::{ProgressBatch, WorkerRoster};
use sedgehill_core::units::{Moment, TimeSpan};
use slog::{info, warn};
use tokio::sync::oneshot;

use super::accept::AcceptOutcome;
use super::apply;
use super::follow;
use super::hedge::{self, AppendCall};
use super::lead::LeadSession;
use super::state::CellBox;
use crate::{clock, telemetry};

/// The sender of progress: each lead has its token as the epoch, so the store refuses earlier ones.
const PRODUCER: &str = "lead";
/// Pause before the next try.
const RETRY_PAUSE: Duration = Duration::from_millis(50);
/// Progress and submissions are gathered for so long before they are put into the store: each call is
/// paid for, and each job waits half of this.
const GATHER: Duration = Duration::from_millis(16);
/// Submissions in one batch, beyond what comes in the longest time that an append takes. With jobs of
/// some 1.2 KB it stays below the 2 MB that the store takes in one call.
const BATCH_SUBMISSIONS: usize = 400;
/// Jobs that are forgotten with one batch: more than end in the time of one.
const DROPS_MOST: usize = 64;
/// Submissions that may wait for a batch before further ones are refused: some seconds' worth.
const SUBMISSIONS_MOST: usize = 1_024;
/// How long a new lead tries to fence and to catch up before it gives up.
const FENCE_LIMIT: TimeSpan = TimeSpan(3_000);

/// Records progress under one token.
pub struct ProgressRecorder {
    token: FencingToken,
    sequence: u64,
    /// When the append under way was first sent. The answer to a repeated one may be as old as that.
    first_sent: Option<Moment>,
    /// Where progress ended once the store refused earlier leads.
    pub fence: u64,
}

/// Makes the store refuse the progress of earlier leads, and waits until all that they recorded is
/// known here.
pub async fn fence(host: &CellBox, token: FencingToken) -> Option<ProgressRecorder> {
    let mut recorder = ProgressRecorder { token, sequence: 0, first_sent: None, fence: 0 };
    let begun = clock::now();
    let end = loop {
        match recorder.append(host, None, &[]).await {
            Some(AppendOutcome::Kept { end }) => break end,
            Some(outcome) => {
                info!(host.log, "fencing refused"; "token" => %token, "outcome" => ?outcome);
                return None;
            }
            None if clock::now().since(begun) > FENCE_LIMIT => return None,
            None => tokio::time::sleep(RETRY_PAUSE).await,
        }
    };
    recorder.fence = end;
    // The earlier lead may have told this box states alone until now.
    host.read_anew();
    // Jobs that an earlier lead has seen must be known, or their runs would be taken as foreign.
    let limit = Duration::from_millis(FENCE_LIMIT.0.saturating_sub(clock::now().since(begun).0));
    let reading = async {
        tokio::try_join!(
            follow::catch_up(host, StoreTopic::Progress, end),
            follow::catch_up_now(host, StoreTopic::Jobs)
        )
    };
    match tokio::time::timeout(limit, reading).await {
        Ok(Ok(_)) => {}
        Ok(Err(error)) => {
            warn!(host.log, "records of earlier leads not read"; "error" => %error);
            return None;
        }
        Err(_) => return None,
    }
    if !host.could_lead() {
        // It was told states alone while it read.
        warn!(host.log, "records of earlier leads not whole"; "token" => %token);
        return None;
    }
    info!(host.log, "fenced"; "token" => %token, "end" => end,
        "took_ms" => clock::now().since(begun).as_millis());
    Some(recorder)
}

/// What a caller said, on its way into the store by the lead.
pub struct LedSubmission {
    job: JobId,
    statement: CellRecord,
    reply: oneshot::Sender<AcceptOutcome>,
}

impl LeadSession {
    /// Puts what a caller said into the store with the next batch. None if the lead ends before it is
    /// known whether it is there.
    pub async fn submit(
        &self,
        host: &CellBox,
        job: JobId,
        statement: &CellRecord,
    ) -> Option<AcceptOutcome> {
        if let Some(outcome) = known_outcome(host, job, statement) {
            return Some(outcome);
        }
        if self.is_taken(job, statement) {
            return Some(AcceptOutcome::Taken);
        }
        if self.ended.get() || self.submissions.borrow().len() >= SUBMISSIONS_MOST {
            return Some(AcceptOutcome::NotDone);
        }
        if self.stuck.get() {
            return Some(self.refusal_of(job));
        }
        let statement = match statement {
            CellRecord::Job(record) => CellRecord::LeadJob(record.clone()),
            other => other.clone(),
        };
        let (reply, answer) = oneshot::channel();
        self.submissions.borrow_mut().push(LedSubmission { job, statement, reply });
        answer.await.ok()
    }

    /// Whether a job of another organisation with the same id is on its way into the store.
    fn is_taken(&self, job: JobId, statement: &CellRecord) -> bool {
        let Some(owner) = statement.owner() else { return false };
        let waiting = self.submissions.borrow();
        let waiting = waiting.iter().filter(|said| said.job == job);
        let in_flight = self.in_flight.borrow();
        let in_flight = in_flight.get(&job).into_iter().cloned();
        let mut others = waiting.filter_map(|said| said.statement.owner()).chain(in_flight);
        others.any(|other| other != owner)
    }

    /// What a caller is told while an append is stuck. What that append holds may still be kept.
    fn refusal_of(&self, job: JobId) -> AcceptOutcome {
        match self.in_flight.borrow().contains_key(&job) {
            true => AcceptOutcome::Unknown,
            false => AcceptOutcome::StoreAway,
        }
    }

    /// The append under way is stuck: whoever waits for the next one is told at once.
    fn refuse_waiting(&self) {
        self.stuck.set(true);
        for said in self.submissions.take() {
            let outcome = self.refusal_of(said.job);
            // A caller that does not wait any more asks again.
            let _ = said.reply.send(outcome);
        }
    }

    fn take_submissions(&self) -> Vec<LedSubmission> {
        let mut waiting = self.submissions.borrow_mut();
        // A caller that has gone is served by its next try.
        waiting.retain(|submission| !submission.reply.is_closed());
        let count = waiting.len().min(BATCH_SUBMISSIONS);
        waiting.drain(..count).collect()
    }
}

/// What came of a statement that is in the store already, or cannot be put there.
fn known_outcome(host: &CellBox, job: JobId, statement: &CellRecord) -> Option<AcceptOutcome> {
    let replica = host.replica.borrow();
    let known = replica.job(job)?;
    match statement.owner() {
        Some(owner) if !known.is_accessible_to(owner.as_ref()) => Some(AcceptOutcome::Taken),
        Some(_) => Some(AcceptOutcome::Kept),
        None => known.cancelled.then_some(AcceptOutcome::Kept),
    }
}

/// One batch: progress, what callers said, and keys that are not needed any more.
struct RecorderBatch {
    progress: Option<ProgressBatch>,
    submissions: Vec<LedSubmission>,
    dropped: Vec<String>,
}

impl RecorderBatch {
    /// The jobs that callers spoke of, with their owners.
    fn owners(&self) -> HashMap<JobId, Option<OrganisationName>> {
        let owner = |said: &LedSubmission| said.statement.owner().unwrap_or_default();
        self.submissions.iter().map(|said| (said.job, owner(said))).collect()
    }

    fn records(&self) -> Vec<KeyedRecord> {
        let record = |id: JobId, record: &CellRecord| KeyedRecord {
            key: record.key(id),
            value: record.encode().into(),
        };
        let mut records = Vec::new();
        if let Some(batch) = &self.progress {
            let progress = |progress: &JobProgress| CellRecord::Progress(progress.clone());
            records.extend(batch.jobs.iter().map(|(id, kept)| record(*id, &progress(kept))));
            records.extend(batch.roster.iter().map(|roster| KeyedRecord {
                key: WorkerRoster::KEY.to_owned(),
                value: roster.encode().into(),
            }));
        }
        let submissions = self.submissions.iter();
        records.extend(submissions.map(|said| record(said.job, &said.statement)));
        let dropped = self.dropped.iter();
        records.extend(dropped.map(|key| KeyedRecord { key: key.clone(), value: Bytes::new() }));
        records
    }
}

/// Once a job is over, what was accepted is not needed any more; its state is kept for callers for a
/// time. So a box that starts reads little more than what is open.
fn keys_to_drop(host: &CellBox, progress: Option<&ProgressBatch>) -> Vec<String> {
    let key = |kind: char, id: JobId| format!("{kind}{id}");
    let replica = host.replica.borrow();
    let jobs = progress.iter().flat_map(|batch| &batch.jobs);
    let over = jobs.filter(|(_, kept)| kept.state.is_final()).map(|(id, _)| *id);
    let led = over.filter(|id| replica.job(*id).is_some_and(|job| job.accepted_by_lead));
    let mut keys: Vec<String> = led.map(|id| key(CellRecord::LEAD_JOB_PREFIX, id)).collect();
    let limit = Moment(clock::now().0.saturating_sub(host.settings.keep_ended.0));
    for id in replica.ended_before(limit, DROPS_MOST) {
        keys.push(CellRecord::Cancel.key(id));
        keys.push(key(CellRecord::PROGRESS_PREFIX, id));
    }
    keys
}

impl ProgressRecorder {
    /// Records batches as they come, until a later lead exists.
    pub async fn run(&mut self, host: &CellBox, session: &LeadSession) {
        loop {
            tokio::time::sleep(GATHER).await;
            let progress = session.scheduler.borrow_mut().take_batch(clock::now());
            let submissions = session.take_submissions();
            let dropped = keys_to_drop(host, progress.as_ref());
            let batch = RecorderBatch { progress, submissions, dropped };
            let records = batch.records();
            let recorded = match records.is_empty() {
                true => Some(None),
                false => {
                    session.in_flight.replace(batch.owners());
                    let recording = self.record(host, session, &records);
                    let refuse = || session.refuse_waiting();
                    let kept = hedge::unless_stuck(host, recording, refuse).await;
                    session.stuck.set(false);
                    kept.map(Some)
                }
            };
            let Some(kept) = recorded else { return };
            if let Some(kept) = kept {
                self.note_roster(host, batch.progress.as_ref(), kept);
                take_own(host, session, &batch.submissions, &records, kept);
            }
            if let Some(progress) = &batch.progress {
                session.scheduler.borrow_mut().batch_recorded(progress);
            }
            session.wake.notify_one();
            for said in batch.submissions {
                // A caller that does not wait any more asks again.
                let _ = said.reply.send(AcceptOutcome::Kept);
            }
        }
    }

    /// A later lead tells by where it stands which roster it goes by.
    fn note_roster(&self, host: &CellBox, progress: Option<&ProgressBatch>, kept: KeptBatch) {
        if let Some(roster) = progress.and_then(|batch| batch.roster.as_ref()) {
            info!(host.log, "roster recorded"; "token" => %self.token,
                "workers" => roster.workers.len(), "mark" => %roster.digest(), "end" => kept.end);
        }
    }

    /// Records one batch, however often it has to be tried. None if a later lead exists.
    async fn record(
        &mut self,
        host: &CellBox,
        session: &LeadSession,
        records: &[KeyedRecord],
    ) -> Option<KeptBatch> {
        loop {
            let sent = clock::now();
            match self.append(host, Some(session), records).await {
                Some(AppendOutcome::Kept { end }) => return Some(KeptBatch { end, sent }),
                Some(outcome) => {
                    info!(host.log, "progress refused";
                        "token" => %self.token, "outcome" => ?outcome);
                    return None;
                }
                // Another box may have a path to the store: then there is nothing to wait for.
                None if session.relays() => {}
                None => tokio::time::sleep(RETRY_PAUSE).await,
            }
        }
    }

    /// One try. The sequence number goes on only when the store has answered.
    async fn append(
        &mut self,
        host: &CellBox,
        session: Option<&LeadSession>,
        records: &[KeyedRecord],
    ) -> Option<AppendOutcome> {
        let condition = AppendCondition::Sequence {
            producer: PRODUCER.to_owned(),
            epoch: self.token.0,
            sequence: self.sequence,
        };
        let sent = Instant::now();
        let first_sent = *self.first_sent.get_or_insert_with(clock::now);
        let call = AppendCall { topic: StoreTopic::Progress, records, condition: &condition };
        let result = match session {
            Some(session) => session.append(host, call).await,
            None => hedge::append_twice(host, call).await,
        };
        let outcome = if result.is_ok() { "answered" } else { "failed" };
        telemetry::note_store_append("progress", outcome, sent.elapsed().as_secs_f64());
        match result {
            Ok(outcome) => {
                if let AppendOutcome::Kept { .. } = outcome {
                    self.sequence += 1;
                    let timing = &host.settings.authority;
                    host.watch.borrow_mut().note_fenced_append(self.token, first_sent, timing);
                    self.first_sent = None;
                }
                Some(outcome)
            }
            Err(error) => {
                warn!(host.log, "progress not recorded"; "token" => %self.token,
                    "records" => records.len(), "took_ms" => sent.elapsed().as_millis() as u64,
                    "error" => %error);
                None
            }
        }
    }
}

/// A batch that is in the store.
#[derive(Debug, Clone, Copy)]
struct KeptBatch {
    /// Where the topic ended after it.
    end: u64,
    /// When the try that was answered was sent.
    sent: Moment,
}

/// Takes in what this lead has written, without reading it back.
fn take_own(
    host: &CellBox,
    session: &LeadSession,
    submissions: &[LedSubmission],
    records: &[KeyedRecord],
    kept: KeptBatch,
) {
    for said in submissions {
        let CellRecord::LeadJob(record) = &said.statement else { continue };
        let known = host.replica.borrow().job(said.job).is_some();
        if !known && host.replica.borrow().may_have_started(said.job) {
            warn!(host.log, "job of an earlier lead accepted as new"; "token" => %session.token,
                "job" => %said.job);
        }
        let mut scheduler = session.scheduler.borrow_mut();
        // A second copy of a job that has come and gone meanwhile must not begin it again.
        if !known || scheduler.has_job(said.job) {
            scheduler.add_own_job(said.job, Rc::new(record.clone()), clock::now());
        }
    }
    let from = kept.end - records.len() as u64;
    let view = &host.progress_view;
    let follows = view.offset.get() == Some(from);
    // Also while something before them is not known here: a job that is over must be known as such, or a second
    // copy of it would begin again.
    for record in records {
        apply::apply(host, StoreTopic::Progress, record);
    }
    if !follows {
        // The topic is read on from where it is known.
        return;
    }
    view.offset.set(Some(kept.end));
    view.note_fed(kept.sent);
    session.feed(StoreTopic::Progress, from, records);
}
