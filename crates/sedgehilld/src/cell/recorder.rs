//! Appends the progress of jobs to the store, in order, and only until a later lead exists.
//!
//! Submissions that callers hand in at any box are appended in the same way: one append holds the
//! progress and the submissions of a few milliseconds, and a job that the lead accepted may be
//! started as soon as it is recorded.

use std::collections::{HashMap, HashSet};
use std::rc::Rc;
use std::time::{Duration, Instant};

use sedgehill_adapter::error::CallError;
use sedgehill_adapter::store::{
    AppendCondition, AppendOutcome, KeyedRecord, StoreLimits, StoreTopic,
};
use sedgehill_cell::ids::{FencingToken, JobId};
use sedgehill_cell::replica::CellRecord;
use sedgehill_cell::scheduler::{ProgressBatch, RosterChange};
use sedgehill_core::units::{Moment, TimeSpan};
use slog::{error, info, warn};
use tokio::sync::oneshot;

use super::apply;
use super::hedge::{self, AppendCall};
use super::lead::LeadSession;
use super::lead_log::LeadEndReason;
use super::recorder_batch::{BatchRecords, RecorderBatch, progress_records};
use super::state::CellBox;
use super::submission::SubmissionOutcome;
use super::topic_follower;
use crate::{clock, telemetry};

/// The producer name of progress appends. The epoch is the token of the lead, so the store refuses
/// earlier leads.
const PROGRESS_PRODUCER: &str = "lead";
/// Pause between two tries of an append.
const RETRY_PAUSE: Duration = Duration::from_millis(50);
/// How long progress and submissions are collected before they are appended. Each append has a
/// cost, and each job waits half of this time on average.
const BATCH_INTERVAL: Duration = Duration::from_millis(16);
/// The most submissions in one batch, more than arrive during the slowest append.
const MAX_BATCH_SUBMISSIONS: usize = 400;
/// The most submissions that wait for a batch before further ones are refused, enough for some
/// seconds.
const MAX_QUEUED_SUBMISSIONS: usize = 1_024;
/// Part of the memory of callers that submissions may take while they wait for a batch, as a divisor.
const QUEUE_MEMORY_DIVISOR: usize = 2;
/// How long a new lead tries to fence and to catch up before it gives up.
const FENCE_LIMIT: TimeSpan = TimeSpan(3_000);

/// Records progress under the token of one lead.
pub struct ProgressRecorder {
    token: FencingToken,
    sequence: u64,
    /// When the append under way was first sent. The answer to a repeated append may stem from that
    /// first copy.
    first_sent: Option<Moment>,
    /// The end of the progress topic when the store began to refuse earlier leads.
    pub fence_offset: u64,
}

/// Makes the store refuse the progress of earlier leads, and reads everything that they recorded.
/// Returns none if that fails or takes too long.
pub async fn fence(host: &CellBox, token: FencingToken) -> Option<ProgressRecorder> {
    let mut recorder = ProgressRecorder { token, sequence: 0, first_sent: None, fence_offset: 0 };
    let started = clock::now();
    let end = loop {
        match recorder.append(host, None, &[]).await {
            Ok(AppendOutcome::Kept { end }) => break end,
            Ok(outcome) => {
                info!(host.log, "fencing refused"; "token" => %token, "outcome" => ?outcome);
                return None;
            }
            Err(_) if clock::now().since(started) > FENCE_LIMIT => return None,
            Err(_) => tokio::time::sleep(RETRY_PAUSE).await,
        }
    };
    recorder.fence_offset = end;
    // The earlier lead may have sent this box only job states.
    host.reload_full_records();
    // Jobs that an earlier lead knew must be known here, or their runs would be taken for foreign
    // ones.
    let limit = Duration::from_millis(FENCE_LIMIT.0.saturating_sub(clock::now().since(started).0));
    let reading = async {
        tokio::try_join!(
            topic_follower::catch_up(host, StoreTopic::Progress, end),
            topic_follower::catch_up_now(host, StoreTopic::Jobs)
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
    if !host.can_lead() {
        // The box received only job states while it was reading.
        warn!(host.log, "records of earlier leads not whole"; "token" => %token);
        return None;
    }
    info!(host.log, "fenced"; "token" => %token, "end" => end,
        "took_ms" => clock::now().since(started).as_millis());
    Some(recorder)
}

/// A job or a cancellation of a caller that the lead is to append.
pub struct LeadSubmission {
    /// The job.
    pub job: JobId,
    /// The record to append.
    pub record: CellRecord,
    reply: oneshot::Sender<SubmissionOutcome>,
}

impl LeadSession {
    /// Appends a job or a cancellation with the next batch. Returns none if the lead ends before it
    /// is known whether the record is in the store.
    pub async fn submit(
        &self,
        host: &CellBox,
        job: JobId,
        record: &CellRecord,
    ) -> Option<SubmissionOutcome> {
        if let Some(outcome) = known_outcome(host, job, record) {
            return Some(outcome);
        }
        if self.is_taken(job, record) {
            return Some(SubmissionOutcome::Taken);
        }
        if self.ended.get() || !self.may_queue(host, record) {
            return Some(SubmissionOutcome::NotDone);
        }
        if self.append_stuck.get() {
            return Some(self.refusal_outcome(job));
        }
        if let CellRecord::Job(record) = record
            && let Some(refusal) = self.refuse_late_job(host, job, record)
        {
            return Some(refusal);
        }
        let record = match record {
            CellRecord::Job(record) => CellRecord::LeadJob(record.clone()),
            other => other.clone(),
        };
        let (reply, answer) = oneshot::channel();
        self.submissions.borrow_mut().push(LeadSubmission { job, record, reply });
        answer.await.ok()
    }

    /// Returns whether a record may wait for the next batch. Other boxes submit records as well, which their callers are
    /// charged for there.
    fn may_queue(&self, host: &CellBox, record: &CellRecord) -> bool {
        let waiting = self.submissions.borrow();
        let waiting_bytes: usize =
            waiting.iter().map(|submission| submission.record.memory_bytes()).sum();
        let max_bytes = host.settings.caller_limits().memory.0 as usize / QUEUE_MEMORY_DIVISOR;
        waiting.len() < MAX_QUEUED_SUBMISSIONS && waiting_bytes + record.memory_bytes() <= max_bytes
    }

    /// Returns whether a job of another organisation with the same id is queued or being appended.
    fn is_taken(&self, job: JobId, record: &CellRecord) -> bool {
        let Some(owner) = record.owner() else { return false };
        let waiting = self.submissions.borrow();
        let waiting = waiting.iter().filter(|submission| submission.job == job);
        let in_flight = self.in_flight_owners.borrow();
        let in_flight = in_flight.get(&job).into_iter().cloned();
        let mut others =
            waiting.filter_map(|submission| submission.record.owner()).chain(in_flight);
        others.any(|other| other != owner)
    }

    /// Returns whether a record of the job is queued or being appended.
    pub fn is_on_its_way(&self, job: JobId) -> bool {
        self.submissions.borrow().iter().any(|submission| submission.job == job)
            || self.in_flight_owners.borrow().contains_key(&job)
    }

    /// Returns the outcome of a submission that is refused while an append is stuck. If the stuck
    /// append holds the same job, the store may still keep it.
    fn refusal_outcome(&self, job: JobId) -> SubmissionOutcome {
        match self.in_flight_owners.borrow().contains_key(&job) {
            true => SubmissionOutcome::Unknown,
            false => SubmissionOutcome::StoreAway,
        }
    }

    /// Marks the append under way as stuck, and refuses all submissions that wait for the next one.
    fn refuse_queued(&self) {
        self.append_stuck.set(true);
        for submission in self.submissions.take() {
            let outcome = self.refusal_outcome(submission.job);
            if outcome == SubmissionOutcome::StoreAway {
                self.withdraw_admission(submission.job);
            }
            // A caller that no longer waits will retry.
            let _ = submission.reply.send(outcome);
        }
    }

    /// Takes the submissions for the next batch.
    pub fn take_submissions(&self) -> Vec<LeadSubmission> {
        let mut waiting = self.submissions.borrow_mut();
        // A caller that no longer waits will retry.
        let abandoned: Vec<LeadSubmission> =
            waiting.extract_if(.., |submission| submission.reply.is_closed()).collect();
        let is_waiting = |job: JobId| waiting.iter().any(|submission| submission.job == job);
        let not_recorded = abandoned.iter().filter(|submission| !is_waiting(submission.job));
        not_recorded.for_each(|submission| self.withdraw_admission(submission.job));
        let count = waiting.len().min(MAX_BATCH_SUBMISSIONS);
        waiting.drain(..count).collect()
    }
}

/// Returns the outcome of a submission that is already in the store or cannot be put there; none if
/// it has to be appended.
fn known_outcome(host: &CellBox, job: JobId, record: &CellRecord) -> Option<SubmissionOutcome> {
    let replica = host.replica.borrow();
    let known = replica.job(job)?;
    match record.owner() {
        Some(owner) if !known.is_accessible_to(owner.as_ref()) => Some(SubmissionOutcome::Taken),
        Some(_) => Some(SubmissionOutcome::Kept),
        None => known.cancelled.then_some(SubmissionOutcome::Kept),
    }
}

impl ProgressRecorder {
    /// Records batches until a later lead exists.
    pub async fn run(&mut self, host: &CellBox, session: &LeadSession) -> LeadEndReason {
        loop {
            tokio::time::sleep(BATCH_INTERVAL).await;
            let mut batch = RecorderBatch::take(host, session);
            let records = batch.records(host);
            let mut too_large = Vec::new();
            if !records.records.is_empty() {
                session.in_flight_owners.replace(batch.owners());
                let recording = self.record_all(host, session, &batch, records);
                let on_stuck = || session.refuse_queued();
                let recorded = hedge::await_append(host, recording, on_stuck).await;
                session.append_stuck.set(false);
                match recorded {
                    Ok(refused) => {
                        if let Some(progress) = &mut batch.progress {
                            give_up_refused(host, session, progress, &refused);
                        }
                        too_large = refused.submissions;
                    }
                    Err(end) => return end,
                }
                self.log_roster(host, batch.progress.as_ref());
            }
            if let Some(progress) = &batch.progress {
                session.scheduler.borrow_mut().batch_recorded(progress);
            }
            session.wake.notify_one();
            for (number, submission) in batch.submissions.into_iter().enumerate() {
                let outcome = match too_large.contains(&number) {
                    true => {
                        session.withdraw_admission(submission.job);
                        SubmissionOutcome::TooLarge
                    }
                    false => SubmissionOutcome::Kept,
                };
                // A caller that no longer waits will retry.
                let _ = submission.reply.send(outcome);
            }
        }
    }

    /// Records a batch with as few appends as the store's limits allow, one after the other. If the
    /// store refuses one for good, its records are appended in halves, down to the refused one.
    /// Progress whose record is refused is divided further. Returns what the store refuses even so.
    async fn record_all(
        &mut self,
        host: &CellBox,
        session: &LeadSession,
        batch: &RecorderBatch,
        mut records: BatchRecords,
    ) -> Result<RefusedRecords, LeadEndReason> {
        let mut refused = RefusedRecords::default();
        let mut job_limits: HashMap<JobId, StoreLimits> = HashMap::new();
        let mut pending = host.settings.store_limits.divide(&records.records);
        pending.reverse();
        while let Some(range) = pending.pop() {
            let part = &records.records[range.clone()];
            let numbers = records.submissions_in(&range, batch.submissions.len());
            match self.record(host, session, part).await {
                RecordOutcome::Recorded(recorded) => {
                    let submissions = &batch.submissions[numbers];
                    apply_own_batch(host, session, submissions, part, recorded);
                }
                RecordOutcome::LaterLead => return Err(LeadEndReason::FencedByStore),
                RecordOutcome::RefusedForGood if part.len() > 1 => {
                    let middle = range.start + part.len() / 2;
                    pending.extend([middle..range.end, range.start..middle]);
                }
                RecordOutcome::RefusedForGood => {
                    let record = part[0].clone();
                    error!(host.log, "record refused for good"; "token" => %self.token,
                        "key" => &record.key, "record_bytes" => record.stored_bytes(),
                        "limit_bytes" => host.settings.store_limits.record_bytes);
                    telemetry::count_cell_event("record", "refused");
                    let Some((id, progress)) = batch.progress_of(&record.key) else {
                        refused.submissions.extend(numbers);
                        refused.keys.insert(record.key);
                        continue;
                    };
                    // A smaller division, which is pending, replaces this record.
                    let divided_to = job_limits.get(&id).map(|limits| limits.record_bytes);
                    if divided_to.is_some_and(|bytes| record.stored_bytes() > bytes) {
                        continue;
                    }
                    let limits = job_limits.entry(id).or_insert(host.settings.store_limits);
                    limits.record_bytes = record.stored_bytes() / 2;
                    let divided = progress_records(host, id, progress, limits);
                    if divided.fit {
                        // Those that are still pending are appended before the divided ones.
                        let first = records.records.len();
                        records.records.extend(divided.records);
                        pending.insert(0, first..records.records.len());
                    } else {
                        refused.jobs.insert(id);
                    }
                }
            }
        }
        Ok(refused)
    }

    /// Logs that a roster was recorded, with its digest: a later lead logs the digest of the roster
    /// that it uses.
    fn log_roster(&self, host: &CellBox, progress: Option<&ProgressBatch>) {
        let changes = progress.map_or(0, |batch| batch.roster.len());
        if changes > 0 {
            let replica = host.replica.borrow();
            info!(host.log, "roster recorded"; "token" => %self.token, "changes" => changes,
                "workers" => replica.roster().worker_count(),
                "mark" => %replica.roster().digest(),
                "end" => host.progress_view.offset.get());
        }
    }

    /// Records what fits into one append, with as many tries as it takes.
    async fn record(
        &mut self,
        host: &CellBox,
        session: &LeadSession,
        records: &[KeyedRecord],
    ) -> RecordOutcome {
        loop {
            let sent = clock::now();
            match self.append(host, Some(session), records).await {
                Ok(AppendOutcome::Kept { end }) => {
                    return RecordOutcome::Recorded(RecordedBatch { end, sent });
                }
                Ok(outcome) => {
                    info!(host.log, "progress refused";
                        "token" => %self.token, "outcome" => ?outcome);
                    return RecordOutcome::LaterLead;
                }
                Err(error) if error.is_refused_for_good() => {
                    // The refused call did not use the sequence number.
                    self.first_sent = None;
                    return RecordOutcome::RefusedForGood;
                }
                // Another box can relay the append, so there is no need to wait.
                Err(_) if session.is_relaying() => {}
                Err(_) => tokio::time::sleep(RETRY_PAUSE).await,
            }
        }
    }

    /// Tries an append once. The sequence number advances only when the store has answered.
    async fn append(
        &mut self,
        host: &CellBox,
        session: Option<&LeadSession>,
        records: &[KeyedRecord],
    ) -> Result<AppendOutcome, CallError> {
        let condition = AppendCondition::Sequence {
            producer: PROGRESS_PRODUCER.to_owned(),
            epoch: self.token.0,
            sequence: self.sequence,
        };
        let sent = Instant::now();
        let first_sent = *self.first_sent.get_or_insert_with(clock::now);
        let call = AppendCall { topic: StoreTopic::Progress, records, condition: &condition };
        let result = match session {
            Some(session) => session.append(host, call).await,
            None => hedge::append_hedged(host, call).await,
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
                Ok(outcome)
            }
            Err(error) => {
                warn!(host.log, "progress not recorded"; "token" => %self.token,
                    "records" => records.len(), "took_ms" => sent.elapsed().as_millis() as u64,
                    "error" => %error);
                Err(error)
            }
        }
    }
}

/// What the store refuses for good of a batch.
#[derive(Debug, Default)]
struct RefusedRecords {
    /// The numbers of the submissions.
    submissions: Vec<usize>,
    /// The jobs whose progress cannot be recorded.
    jobs: HashSet<JobId>,
    /// The keys of all other records.
    keys: HashSet<String>,
}

/// Takes what the store refused out of a batch, so that nothing that depends on its record is done.
/// A job whose progress cannot be recorded fails; a worker whose entry in the roster cannot be
/// recorded is given no work.
fn give_up_refused(
    host: &CellBox,
    session: &LeadSession,
    batch: &mut ProgressBatch,
    refused: &RefusedRecords,
) {
    let now = clock::now();
    let mut scheduler = session.scheduler.borrow_mut();
    batch.jobs.retain(|(id, _)| !refused.jobs.contains(id));
    for id in &refused.jobs {
        warn!(host.log, "job given up: its progress cannot be recorded"; "job" => %id,
            "token" => %session.token);
        scheduler.fail_unrecordable_job(*id, now);
    }
    let is_refused = |change: &mut RosterChange| refused.keys.contains(&change.key);
    for change in batch.roster.extract_if(.., is_refused) {
        scheduler.note_roster_refused(&change);
    }
    batch.speeds.retain(|change| !refused.keys.contains(&change.key));
}

/// The outcome of recording what fits into one append.
enum RecordOutcome {
    /// It is in the store.
    Recorded(RecordedBatch),
    /// A later lead exists.
    LaterLead,
    /// The store refuses it, and would do so again.
    RefusedForGood,
}

/// A batch that is in the store.
#[derive(Debug, Clone, Copy)]
struct RecordedBatch {
    /// The end of the topic after the batch.
    end: u64,
    /// When the try that was answered was sent.
    sent: Moment,
}

/// Applies what this lead has appended, without reading it back.
fn apply_own_batch(
    host: &CellBox,
    session: &LeadSession,
    submissions: &[LeadSubmission],
    records: &[KeyedRecord],
    recorded: RecordedBatch,
) {
    for submission in submissions {
        let CellRecord::LeadJob(record) = &submission.record else { continue };
        let known = host.replica.borrow().job(submission.job).is_some();
        if !known && host.replica.borrow().may_have_started(submission.job) {
            warn!(host.log, "job of an earlier lead accepted as new"; "token" => %session.token,
                "job" => %submission.job);
        }
        let mut scheduler = session.scheduler.borrow_mut();
        // A second copy of a job that has ended meanwhile must not start it again.
        if !known || scheduler.has_job(submission.job) {
            scheduler.add_own_job(submission.job, Rc::new(record.clone()), clock::now());
        }
    }
    let from = recorded.end - records.len() as u64;
    let view = &host.progress_view;
    let continues = view.offset.get() == Some(from);
    // The records are applied even if earlier ones have not been read: a job that has ended must be
    // known as such, or a second copy of it would start it again.
    for record in records {
        apply::apply(host, StoreTopic::Progress, record);
    }
    if !continues {
        // The follower continues from the present offset, and reads these records again.
        return;
    }
    view.offset.set(Some(recorded.end));
    view.note_confirmed(recorded.sent);
    session.queue_records(StoreTopic::Progress, from, records);
}
