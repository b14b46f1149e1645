//! What a box does while it leads: the scheduler, what is to be recorded, accounts of workers.

use std::collections::BTreeMap;
use std::rc::Rc;

use sedgehill_cell::authority::LeadWatch;
use sedgehill_cell::ids::{FencingToken, JobId, TOKENS_PER_LEAD};
use sedgehill_cell::job::JobRecord;
use sedgehill_cell::replica::{CellRecord, CellReplica};
use sedgehill_cell::scheduler::{
    CellOrder, CellTiming, HoldReport, OWN_BOX, ProgressBatch, Scheduler, StartOrder, WorkerAnswer,
    WorkerEntry, WorkerKey, WorkerRefusal, WorkerRoster, WorkerTime,
};
use sedgehill_core::units::{Moment, TimeSpan};

use super::host::{Call, Purpose};
use super::store::{Condition, PROGRESS, Row, StoreCall};
use super::worker::WorkerCall;

/// A lead gives up that has not fenced and caught up after so long.
const FENCE_LIMIT: u64 = 3_000;
/// Time between two readings of the list of workers, and between two accounts of a worker.
const LIST_EVERY: TimeSpan = TimeSpan(400);
const HOLD_EVERY: TimeSpan = TimeSpan(100);
/// Pause before an append is tried again.
const RETRY_PAUSE: TimeSpan = TimeSpan(50);
/// The store is taken as not answering after so long.
const STORE_SILENT: u64 = 900;

/// How far a lead has come.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Stage {
    /// The store does not refuse earlier leads yet.
    Fencing,
    /// It does since the given moment; what they recorded up to the offset is not all known.
    Catching { end: u64, since: Moment },
    /// It gives orders.
    Leading,
}

/// A batch on its way into the store.
#[derive(Debug, Clone)]
pub struct Batch {
    progress: Option<ProgressBatch>,
    led: Vec<(JobId, JobRecord)>,
    pub rows: Vec<Row>,
}

/// One time of leading.
pub struct Session {
    pub token: FencingToken,
    pub scheduler: Scheduler,
    pub stage: Stage,
    pub renew_at: Moment,
    pub renewing: bool,
    /// What callers handed in here.
    pub submitted: Vec<(JobId, JobRecord)>,
    began: Moment,
    sequence: u64,
    first_sent: Option<Moment>,
    appending: bool,
    retry_at: Moment,
    batch: Option<Batch>,
    list_at: Moment,
    answered: Moment,
    /// When each watched worker is asked next; none while it is being asked.
    watched: BTreeMap<WorkerKey, Option<Moment>>,
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
            began: now,
            sequence: 0,
            first_sent: None,
            appending: false,
            retry_at: now,
            batch: None,
            list_at: now,
            answered: now,
            watched: BTreeMap::new(),
        }
    }

    /// Whether it did not fence and catch up in time.
    pub fn is_too_late(&self, now: Moment) -> bool {
        self.stage != Stage::Leading && now.since(self.began).0 > FENCE_LIMIT
    }

    /// All that earlier leads recorded is known: begins to lead.
    pub fn begin(&mut self, replica: &CellReplica, now: Moment) {
        self.stage = Stage::Leading;
        self.scheduler.note_fenced(now);
        self.scheduler.add_helper(OWN_BOX);
        let mut known: Vec<JobId> = replica.jobs().map(|(id, _)| id).collect();
        known.sort();
        for id in known {
            self.add_job(replica, id, now);
        }
        self.scheduler.note_caught_up();
        let roster = replica.roster().clone();
        let keys = self.scheduler.add_roster(&roster, now);
        self.watch(keys, now);
    }

    /// Takes in a job that was accepted just now.
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

    fn watch(&mut self, keys: Vec<WorkerKey>, now: Moment) {
        self.watched.extend(keys.into_iter().map(|key| (key, Some(now))));
    }

    /// The list of workers was read.
    pub fn take_list(&mut self, entries: Option<Vec<WorkerEntry>>, now: Moment) {
        self.list_at = now.after(LIST_EVERY);
        if let Some(entries) = entries {
            let keys = self.scheduler.update_workers(entries, &[], now);
            self.watch(keys, now);
        }
    }

    /// Sends the append that is due, if any.
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
        let led = std::mem::take(&mut self.submitted);
        let row =
            |id: JobId, record: CellRecord| Row { key: record.key(id), value: record.encode() };
        let mut rows = Vec::new();
        if let Some(batch) = &progress {
            let jobs = batch.jobs.iter();
            rows.extend(jobs.map(|(id, kept)| row(*id, CellRecord::Progress(kept.clone()))));
            let roster = batch.roster.iter();
            let key = || WorkerRoster::KEY.to_owned();
            rows.extend(roster.map(|roster| Row { key: key(), value: roster.encode() }));
        }
        rows.extend(led.iter().map(|(id, record)| row(*id, CellRecord::LeadJob(record.clone()))));
        (progress.is_some() || !rows.is_empty()).then_some(Batch { progress, led, rows })
    }

    /// The append was kept, and the topic ended at `end` after it. Returns what was recorded.
    pub fn kept(&mut self, end: u64, watch: &mut LeadWatch, now: Moment) -> Option<Batch> {
        self.appending = false;
        self.answered = now;
        self.sequence += 1;
        if let Some(sent) = self.first_sent.take() {
            watch.note_fenced_append(self.token, sent, &Default::default());
        }
        if self.stage == Stage::Fencing {
            self.stage = Stage::Catching { end, since: now };
        }
        self.batch.take()
    }

    /// Nobody knows what became of the append.
    pub fn not_answered(&mut self, now: Moment) {
        self.appending = false;
        self.retry_at = now.after(RETRY_PAUSE);
    }

    /// Takes in what a batch that is in the store holds.
    pub fn recorded(&mut self, batch: &Batch, replica: &CellReplica, now: Moment) {
        for (id, record) in &batch.led {
            let known = replica.job(*id).is_some();
            if !known || self.scheduler.has_job(*id) {
                self.scheduler.add_own_job(*id, Rc::new(record.clone()), now);
            }
        }
    }

    /// The scheduler hears that a batch is in the store.
    pub fn batch_recorded(&mut self, batch: &Batch) {
        if let Some(progress) = &batch.progress {
            self.scheduler.batch_recorded(progress);
        }
    }

    /// Notes that the store answered an append.
    pub fn store_answered(&mut self, now: Moment) {
        self.answered = now;
    }

    /// Reads the list, and gives orders if `may_order`.
    pub fn turn(&mut self, may_order: bool, out: &mut Vec<(Purpose, Call)>, now: Moment) {
        if now >= self.list_at {
            // Set anew when it was read.
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
        self.ask_accounts(out, now);
    }

    fn send_start(&self, order: StartOrder, again: bool, out: &mut Vec<(Purpose, Call)>) {
        let call = self.to_worker(order.worker, WorkerCall::Start(order.clone()));
        out.push((Purpose::Start(self.token, order, again), call));
    }

    fn to_worker(&self, key: WorkerKey, call: WorkerCall) -> Call {
        let token = match &call {
            WorkerCall::Hold(order) => order.token,
            WorkerCall::Start(order) => order.token,
            WorkerCall::Stop(order) => order.token,
        };
        Call::Worker { to: self.scheduler.entry(key).clone(), token, call }
    }

    fn ask_accounts(&mut self, out: &mut Vec<(Purpose, Call)>, now: Moment) {
        let due: Vec<WorkerKey> = self
            .watched
            .iter()
            .filter(|(_, at)| at.is_some_and(|at| now >= at))
            .map(|(key, _)| *key)
            .collect();
        let store_answers = now.since(self.answered).0 < STORE_SILENT;
        for key in due {
            if !self.scheduler.should_poll(key) {
                self.watched.remove(&key);
                self.scheduler.stop_polling(key);
                continue;
            }
            self.watched.insert(key, None);
            let order = self.scheduler.hold_order(key, store_answers, now);
            let call = self.to_worker(key, WorkerCall::Hold(order));
            out.push((Purpose::Hold(self.token, key), call));
        }
    }

    /// An account came, or did not come in time. One that comes later is taken in too.
    pub fn take_account(
        &mut self,
        key: WorkerKey,
        answer: WorkerAnswer<HoldReport>,
        late: bool,
        sent: Moment,
        now: Moment,
    ) {
        if !late && let Some(at) = self.watched.get_mut(&key) {
            *at = Some(now.after(HOLD_EVERY));
        }
        if !late || matches!(answer, WorkerAnswer::Done(_)) {
            self.scheduler.hold_answered(key, answer, sent, now);
            let next = self.scheduler.take_new_lives();
            self.watch(next, now);
        }
    }

    /// A start was answered, or not in time. It is sent a second time then.
    pub fn take_start(
        &mut self,
        order: StartOrder,
        again: bool,
        answer: WorkerAnswer<WorkerTime>,
        may_order: bool,
        out: &mut Vec<(Purpose, Call)>,
        now: Moment,
    ) {
        let answer = match answer {
            WorkerAnswer::Unknown if !again && may_order => {
                return self.send_start(order, true, out);
            }
            // The first copy may still be carried out, whatever the second meets.
            WorkerAnswer::NotDone(WorkerRefusal::Withheld) => WorkerAnswer::Unknown,
            WorkerAnswer::NotDone(_) if again => WorkerAnswer::Unknown,
            answer => answer,
        };
        self.scheduler.start_answered(&order, answer, now);
    }
}
