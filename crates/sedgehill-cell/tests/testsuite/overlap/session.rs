//! The session of a box as lead: the scheduler, the batches to record, and the polling of workers.

use std::collections::BTreeMap;
use std::rc::Rc;

use sedgehill_cell::authority::LeadWatch;
use sedgehill_cell::halls::EmptiedHalls;
use sedgehill_cell::ids::{FencingToken, JobId, TOKENS_PER_LEAD};
use sedgehill_cell::job::JobRecord;
use sedgehill_cell::replica::{CellRecord, CellReplica};
use sedgehill_cell::scheduler::{
    CellOrder, CellTiming, HoldReport, OWN_BOX, ProgressBatch, Scheduler, StartOrder, WorkerAnswer,
    WorkerEntry, WorkerKey, WorkerRefusal, WorkerTime,
};
use sedgehill_core::units::{Moment, TimeSpan};

use super::host::{Call, Purpose};
use super::store::{Condition, PROGRESS, Row, StoreCall};
use super::worker::WorkerCall;

/// How long a new lead may take to fence earlier leads and to catch up before it gives up.
const FENCE_TIMEOUT_MS: u64 = 3_000;
/// Time between two reads of the list of workers.
const LIST_INTERVAL: TimeSpan = TimeSpan(400);
/// Time from the report of a worker to the next hold.
const HOLD_INTERVAL: TimeSpan = TimeSpan(100);
/// Pause before an append is repeated.
const RETRY_PAUSE: TimeSpan = TimeSpan(50);
/// How long after its last answer the store counts as answering.
const STORE_SILENCE_MS: u64 = 900;

/// The stage of a session.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Stage {
    /// The store does not yet refuse appends of earlier leads.
    Fencing,
    /// The store has refused them since `since`, but the box has not yet read all their records up to `end`.
    CatchingUp { end: u64, since: Moment },
    /// The lead gives orders.
    Leading,
}

/// An append that the store has not confirmed yet.
#[derive(Debug, Clone)]
pub struct Batch {
    progress: Option<ProgressBatch>,
    lead_jobs: Vec<(JobId, JobRecord)>,
    pub rows: Vec<Row>,
}

/// The session of a box as lead under one token.
pub struct Session {
    pub token: FencingToken,
    pub scheduler: Scheduler,
    pub stage: Stage,
    pub renew_at: Moment,
    pub renewing: bool,
    /// Jobs that callers submitted at this box and that are not recorded yet.
    pub submitted: Vec<(JobId, JobRecord)>,
    began_at: Moment,
    sequence: u64,
    first_sent: Option<Moment>,
    appending: bool,
    retry_at: Moment,
    batch: Option<Batch>,
    list_at: Moment,
    store_answered_at: Moment,
    /// When each worker is polled next; none while a hold is not answered.
    next_polls: BTreeMap<WorkerKey, Option<Moment>>,
}

impl Session {
    pub fn new(token: FencingToken, predecessor: bool, renew_at: Moment, now: Moment) -> Session {
        let mut scheduler = Scheduler::take_over(CellTiming::default(), token, predecessor, now);
        scheduler.set_previous_token(FencingToken(token.0.saturating_sub(TOKENS_PER_LEAD)));
        Session {
            token,
            scheduler,
            stage: Stage::Fencing,
            renew_at,
            renewing: false,
            submitted: Vec::new(),
            began_at: now,
            sequence: 0,
            first_sent: None,
            appending: false,
            retry_at: now,
            batch: None,
            list_at: now,
            store_answered_at: now,
            next_polls: BTreeMap::new(),
        }
    }

    /// Returns whether the lead failed to fence earlier leads and to catch up in time.
    pub fn is_too_late(&self, now: Moment) -> bool {
        self.stage != Stage::Leading && now.since(self.began_at).0 > FENCE_TIMEOUT_MS
    }

    /// Starts to lead, once all records of earlier leads are known.
    pub fn start_leading(&mut self, replica: &CellReplica, now: Moment) {
        self.stage = Stage::Leading;
        self.scheduler.note_fenced(now);
        self.scheduler.add_helper(OWN_BOX);
        let mut ids: Vec<JobId> = replica.jobs().map(|(id, _)| id).collect();
        ids.sort();
        for id in ids {
            self.add_job(replica, id, now);
        }
        self.scheduler.note_caught_up();
        let roster = replica.roster().clone();
        let keys = self.scheduler.add_roster(&roster, now);
        self.schedule_polls(keys, now);
    }

    /// Adds a newly accepted job to the scheduler.
    pub fn add_new_job(&mut self, replica: &CellReplica, id: JobId, now: Moment) {
        if self.stage == Stage::Leading {
            self.add_job(replica, id, now);
        }
    }

    fn add_job(&mut self, replica: &CellReplica, id: JobId, now: Moment) {
        let Some(job) = replica.job(id) else { return };
        let Some(record) = job.record.clone() else { return };
        self.scheduler.add_job(id, record, &job.progress_for_lead(), TimeSpan(0), now);
    }

    fn schedule_polls(&mut self, keys: Vec<WorkerKey>, now: Moment) {
        self.next_polls.extend(keys.into_iter().map(|key| (key, Some(now))));
    }

    /// Handles a read of the list of workers; none if it failed.
    pub fn handle_list(&mut self, entries: Option<Vec<WorkerEntry>>, now: Moment) {
        self.list_at = now.after(LIST_INTERVAL);
        if let Some(entries) = entries {
            let keys = self.scheduler.update_workers(entries, &[], now);
            self.scheduler.set_emptied_halls(&EmptiedHalls::default(), now);
            self.schedule_polls(keys, now);
        }
    }

    /// Sends the next append if one is due.
    pub fn record(&mut self, out: &mut Vec<(Purpose, Call)>, now: Moment) {
        if self.appending || now < self.retry_at {
            return;
        }
        let fences = self.stage == Stage::Fencing;
        if !fences && self.batch.is_none() {
            self.batch = self.next_batch(now);
        }
        let rows = match &self.batch {
            Some(batch) => batch.rows.clone(),
            None if fences => Vec::new(),
            None => return,
        };
        self.appending = true;
        self.first_sent.get_or_insert(now);
        let condition = Condition::Sequence { epoch: self.token.0, sequence: self.sequence };
        let call = StoreCall::Append { topic: PROGRESS, rows, condition };
        out.push((Purpose::Record(self.token), Call::Store(call)));
    }

    fn next_batch(&mut self, now: Moment) -> Option<Batch> {
        if self.stage != Stage::Leading {
            return None;
        }
        let progress = self.scheduler.take_batch(now);
        let lead_jobs = std::mem::take(&mut self.submitted);
        let row =
            |id: JobId, record: CellRecord| Row { key: record.key(id), value: record.encode() };
        let mut rows = Vec::new();
        if let Some(batch) = &progress {
            let jobs = batch.jobs.iter();
            rows.extend(
                jobs.map(|(id, progress)| row(*id, CellRecord::Progress(progress.clone()))),
            );
            let changes = batch.roster.iter();
            rows.extend(
                changes.map(|change| Row { key: change.key.clone(), value: change.encode() }),
            );
        }
        rows.extend(
            lead_jobs.iter().map(|(id, record)| row(*id, CellRecord::LeadJob(record.clone()))),
        );
        (progress.is_some() || !rows.is_empty()).then_some(Batch { progress, lead_jobs, rows })
    }

    /// Handles an append that the store kept, after which the topic ended at `end`. Returns the recorded batch.
    pub fn handle_append_kept(
        &mut self,
        end: u64,
        watch: &mut LeadWatch,
        now: Moment,
    ) -> Option<Batch> {
        self.appending = false;
        self.store_answered_at = now;
        self.sequence += 1;
        if let Some(sent) = self.first_sent.take() {
            watch.note_fenced_append(self.token, sent, &Default::default());
        }
        if self.stage == Stage::Fencing {
            self.stage = Stage::CatchingUp { end, since: now };
        }
        self.batch.take()
    }

    /// Handles an append whose outcome is unknown.
    pub fn handle_append_unanswered(&mut self, now: Moment) {
        self.appending = false;
        self.retry_at = now.after(RETRY_PAUSE);
    }

    /// Adds the jobs of a recorded batch to the scheduler.
    pub fn add_recorded_jobs(&mut self, batch: &Batch, replica: &CellReplica, now: Moment) {
        for (id, record) in &batch.lead_jobs {
            let in_replica = replica.job(*id).is_some();
            if !in_replica || self.scheduler.has_job(*id) {
                self.scheduler.add_own_job(*id, Rc::new(record.clone()), now);
            }
        }
    }

    /// Tells the scheduler that a batch is recorded.
    pub fn batch_recorded(&mut self, batch: &Batch) {
        if let Some(progress) = &batch.progress {
            self.scheduler.batch_recorded(progress);
        }
    }

    /// Notes that the store answered an append.
    pub fn store_answered(&mut self, now: Moment) {
        self.store_answered_at = now;
    }

    /// Reads the list of workers if that is due, and schedules, sends orders and polls workers if `may_order`.
    pub fn turn(&mut self, may_order: bool, out: &mut Vec<(Purpose, Call)>, now: Moment) {
        if now >= self.list_at {
            // `handle_list` sets the time of the next read.
            self.list_at = Moment(u64::MAX);
            out.push((Purpose::List(self.token), Call::Store(StoreCall::List)));
        }
        if !may_order {
            return;
        }
        self.scheduler.schedule(now);
        for order in self.scheduler.take_orders() {
            match order {
                CellOrder::Start(order) => self.send_start(order, false, out),
                CellOrder::Stop(order) => {
                    let call = self.to_worker(order.worker, WorkerCall::Stop(order.clone()));
                    out.push((Purpose::Stop(self.token, order), call));
                }
                CellOrder::Ask(_) => unreachable!("no queue has an advice service"),
            }
        }
        self.scheduler.take_events();
        self.poll_workers(out, now);
    }

    fn send_start(&self, order: StartOrder, is_resend: bool, out: &mut Vec<(Purpose, Call)>) {
        let call = self.to_worker(order.worker, WorkerCall::Start(order.clone()));
        out.push((Purpose::Start(self.token, order, is_resend), call));
    }

    fn to_worker(&self, key: WorkerKey, call: WorkerCall) -> Call {
        let token = match &call {
            WorkerCall::Hold(order) => order.token,
            WorkerCall::Start(order) => order.token,
            WorkerCall::Stop(order) => order.token,
        };
        Call::Worker { to: Box::new(self.scheduler.entry(key).clone()), token, call }
    }

    fn poll_workers(&mut self, out: &mut Vec<(Purpose, Call)>, now: Moment) {
        let due: Vec<WorkerKey> = self
            .next_polls
            .iter()
            .filter(|(_, at)| at.is_some_and(|at| now >= at))
            .map(|(key, _)| *key)
            .collect();
        let store_answers = now.since(self.store_answered_at).0 < STORE_SILENCE_MS;
        for key in due {
            if !self.scheduler.should_poll(key) {
                self.next_polls.remove(&key);
                self.scheduler.stop_polling(key);
                continue;
            }
            self.next_polls.insert(key, None);
            let order = self.scheduler.hold_order(key, store_answers, now);
            let call = self.to_worker(key, WorkerCall::Hold(order));
            out.push((Purpose::Hold(self.token, key), call));
        }
    }

    /// Handles the answer to a hold, or its timeout. A report that arrives after the timeout is used too.
    pub fn handle_report(
        &mut self,
        key: WorkerKey,
        answer: WorkerAnswer<HoldReport>,
        late: bool,
        sent: Moment,
        now: Moment,
    ) {
        if !late && let Some(at) = self.next_polls.get_mut(&key) {
            *at = Some(now.after(HOLD_INTERVAL));
        }
        if !late || matches!(answer, WorkerAnswer::Done(_)) {
            self.scheduler.hold_answered(key, answer, sent, now);
            let next = self.scheduler.take_new_lives();
            self.schedule_polls(next, now);
        }
    }

    /// Handles the answer to a start. After a timeout the start is sent once more.
    pub fn handle_start_answer(
        &mut self,
        order: StartOrder,
        is_resend: bool,
        answer: WorkerAnswer<WorkerTime>,
        may_order: bool,
        out: &mut Vec<(Purpose, Call)>,
        now: Moment,
    ) {
        let answer = match answer {
            WorkerAnswer::Unknown if !is_resend && may_order => {
                return self.send_start(order, true, out);
            }
            // The first copy may still be carried out, whatever the answer to the second is.
            WorkerAnswer::NotDone(WorkerRefusal::Withheld) => WorkerAnswer::Unknown,
            WorkerAnswer::NotDone(_) if is_resend => WorkerAnswer::Unknown,
            answer => answer,
        };
        self.scheduler.start_answered(&order, answer, now);
    }
}
