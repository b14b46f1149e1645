//! Workers, store and advice service as the scheduler sees them, which obey at once unless told
//! otherwise, and notice when a rule is broken.

mod crashes;
mod ends;
mod entries;
mod lives;
mod orders;
mod organisations;
mod service;

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::rc::Rc;
use std::sync::Arc;

use sedgehill_cell::ids::{
    CellTask, FencingToken, JobId, OrganisationName, RunNumber, StepId, WorkerId, WorkerLife,
};
use sedgehill_cell::job::{JobRecord, JobSpec, QueuePolicy, StepSpec};
use sedgehill_cell::organisation::OrganisationPolicy;
use sedgehill_cell::progress::JobProgress;
use sedgehill_cell::scheduler::{
    AdviceQuestion, CellOrder, CellTiming, EndRow, OWN_BOX, Scheduler, StartOrder, WorkerAnswer,
    WorkerEntry, WorkerKey, WorkerRoster,
};
use sedgehill_core::units::{CoreCount, MemorySize, Moment, ResourceSet, TimeSpan};

use self::crashes::CrashLedger;
pub use self::crashes::CrashRule;
pub use self::organisations::owned;
pub use self::service::{FakeService, HelperFault};

/// A worker's clock is this far ahead of the lead's.
const CLOCK_AHEAD: u64 = 100_000;
/// The longest lease that a worker grants, in milliseconds.
const HOLD_MOST: u64 = 6_000;

#[derive(Debug, Clone)]
struct FakeRun {
    run: RunNumber,
    need: ResourceSet,
    since: Moment,
}

/// One worker.
#[derive(Debug)]
pub struct FakeWorker {
    pub entry: WorkerEntry,
    /// What the store lists instead of its entry.
    pub shown: Option<WorkerEntry>,
    /// Its entry cannot be read.
    pub unreadable: bool,
    /// It has ended, and another life stands at its address.
    pub ended: bool,
    /// It has crashed, and nothing listens at its address.
    pub down: bool,
    /// What it said that it has when the list was last read.
    listed_as: ResourceSet,
    /// The store does not list it.
    pub unlisted: bool,
    /// It answers nothing, and does nothing.
    pub cut: bool,
    /// It does as told, but its answers are lost.
    pub mute: bool,
    runs: BTreeMap<CellTask, FakeRun>,
    ends: Vec<EndRow>,
    next_end: u64,
    /// Ends up to this number came before the end of a lease.
    excused: u64,
    token: FencingToken,
    floor: HashMap<CellTask, RunNumber>,
    lease_until: u64,
    /// How far its clock is ahead of the lead's.
    clock_ahead: u64,
}

/// A start that got no answer and is carried out later, under the token of its time.
struct LateStart {
    number: usize,
    order: StartOrder,
}

/// A cell of workers, and what the store holds of its jobs.
pub struct FakeCell {
    pub now: Moment,
    pub workers: Vec<FakeWorker>,
    pub store: BTreeMap<JobId, (Rc<JobRecord>, JobProgress)>,
    pub token: FencingToken,
    pub roster: WorkerRoster,
    /// The organisations as the configuration has them.
    organisations: Vec<OrganisationPolicy>,
    /// The most cores that each was ever allowed.
    highest: HashMap<OrganisationName, CoreCount>,
    watched: Vec<WorkerKey>,
    late: Vec<LateStart>,
    cancelled: BTreeSet<JobId>,
    pub starts: Vec<(CellTask, RunNumber, WorkerLife)>,
    /// Tasks that ended done, with or without anybody's notice.
    done: BTreeSet<CellTask>,
    /// Tasks whose end was acknowledged before the worker's lease ended.
    noted: BTreeSet<CellTask>,
    /// Tasks that began again after an end that nobody had noticed, with the run that did.
    begun_again: HashMap<CellTask, RunNumber>,
    crashes: CrashLedger,
    /// When the list of workers was last shown.
    listed_at: Moment,
    /// The list of workers cannot be read.
    pub list_unreadable: bool,
    /// Workers that crash start again under their ids.
    pub keeps_ids: bool,
}

/// Time between two readings of the list, as by a box.
const LIST_EVERY: TimeSpan = TimeSpan(400);

pub fn cores(count: u64) -> ResourceSet {
    ResourceSet { cores: CoreCount(count * 1000), memory: MemorySize(1 << 30), accelerators: 0 }
}

pub fn worker_entry(number: u16, capacity: u64) -> WorkerEntry {
    WorkerEntry {
        life: WorkerLife::from(format!("w{number}").as_str()),
        address: format!("127.0.0.1:{}", 1000 + number).parse().unwrap(),
        pool: "pool".into(),
        draining: false,
        capacity: ResourceSet { memory: MemorySize(64 << 30), ..cores(capacity) },
        labels: Vec::new(),
    }
}

pub fn policy() -> QueuePolicy {
    QueuePolicy {
        pool: "pool".into(),
        priority: 0,
        max_attempts: 3,
        stretch_milli: 2_000,
        target_latency: TimeSpan(1_000),
        advice: None,
    }
}

pub fn step(count: u16, need: u64) -> StepSpec {
    StepSpec { count, need: cores(need), estimate: TimeSpan(1_000), ..StepSpec::default() }
}

pub fn job(steps: Vec<StepSpec>) -> JobRecord {
    JobRecord {
        queue: "queue".into(),
        owner: None,
        policy: policy(),
        spec: JobSpec { payload: Arc::from("work"), steps, repeat: None },
        accepted_unix_ms: 0,
    }
}

pub fn task(job: u64, step: u16, index: u16) -> CellTask {
    CellTask { step: StepId { job: JobId(job), repetition: 0, step }, index }
}

impl FakeWorker {
    fn new(number: u16, capacity: u64) -> FakeWorker {
        let entry = worker_entry(number, capacity);
        FakeWorker {
            listed_as: entry.capacity,
            entry,
            shown: None,
            unreadable: false,
            ended: false,
            down: false,
            unlisted: false,
            cut: false,
            mute: false,
            runs: BTreeMap::new(),
            ends: Vec::new(),
            next_end: 1,
            excused: 0,
            token: FencingToken(0),
            floor: HashMap::new(),
            lease_until: 0,
            clock_ahead: CLOCK_AHEAD,
        }
    }

    /// How many runs there are.
    pub fn run_count(&self) -> usize {
        self.runs.len()
    }

    /// Its lease is over: what ran there is gone.
    pub fn expire_for_test(&mut self) {
        self.runs.clear();
    }
}

impl FakeCell {
    pub fn new(workers: u16, capacity: u64) -> FakeCell {
        FakeCell {
            now: Moment(1_000_000),
            workers: (0..workers).map(|number| FakeWorker::new(number, capacity)).collect(),
            store: BTreeMap::new(),
            token: FencingToken(0),
            roster: WorkerRoster::default(),
            organisations: Vec::new(),
            highest: HashMap::new(),
            watched: Vec::new(),
            late: Vec::new(),
            cancelled: BTreeSet::new(),
            starts: Vec::new(),
            done: BTreeSet::new(),
            noted: BTreeSet::new(),
            begun_again: HashMap::new(),
            crashes: CrashLedger::default(),
            listed_at: Moment(0),
            list_unreadable: false,
            keeps_ids: false,
        }
    }

    /// A new lead that has read the store.
    pub fn lead(&mut self, predecessor: bool) -> Scheduler {
        let earlier = self.token;
        self.token = earlier.next_lead();
        let mut scheduler =
            Scheduler::take_over(CellTiming::default(), self.token, predecessor, self.now);
        scheduler.set_previous_token(earlier);
        scheduler.add_helper(OWN_BOX);
        scheduler.set_organisations(&self.organisations, self.now);
        for (id, (record, progress)) in &self.store {
            scheduler.add_job(*id, record.clone(), progress, TimeSpan(0), self.now);
            if self.cancelled.contains(id) {
                scheduler.cancel_job(*id, self.now);
            }
        }
        scheduler.note_caught_up();
        let roster = self.roster.clone();
        self.watched = scheduler.add_roster(&roster, self.now);
        self.list(&mut scheduler);
        scheduler
    }

    /// Shows the scheduler what the store lists.
    pub fn list(&mut self, scheduler: &mut Scheduler) {
        self.listed_at = self.now;
        let listed = self.workers.iter().filter(|worker| !worker.unlisted && !worker.unreadable);
        let entry = |worker: &FakeWorker| {
            let shown = worker.shown.as_ref().unwrap_or(&worker.entry).clone();
            WorkerEntry { capacity: worker.entry.capacity, ..shown }
        };
        let entries = listed.map(entry).collect();
        let unreadable = self.workers.iter().filter(|worker| worker.unreadable && !worker.unlisted);
        let unreadable: Vec<WorkerId> =
            unreadable.map(|worker| worker.entry.life.id.clone()).collect();
        for worker in self.workers.iter_mut().filter(|one| !one.unlisted && !one.unreadable) {
            worker.listed_as = worker.entry.capacity;
        }
        self.watched.extend(scheduler.update_workers(entries, &unreadable, self.now));
    }

    /// Accepts a job.
    pub fn submit(&mut self, scheduler: &mut Scheduler, id: u64, record: JobRecord) {
        let record = Rc::new(record);
        self.store.insert(JobId(id), (record.clone(), JobProgress::default()));
        let none = JobProgress::default();
        scheduler.add_job(JobId(id), record, &none, TimeSpan(0), self.now);
    }

    /// Accepts a job through the lead.
    pub fn submit_led(&mut self, scheduler: &mut Scheduler, id: u64, record: JobRecord) {
        let record = Rc::new(record);
        let kept = JobProgress { may_have_started: true, ..JobProgress::default() };
        self.store.entry(JobId(id)).or_insert((record.clone(), kept));
        scheduler.add_own_job(JobId(id), record, self.now);
    }

    pub fn progress(&self, id: u64) -> &JobProgress {
        &self.store[&JobId(id)].1
    }

    /// The time between two turns passes.
    fn pass(&mut self, scheduler: &mut Scheduler) {
        self.now.0 += 20;
        self.pass_crashes();
        if !self.list_unreadable && self.now >= self.listed_at.after(LIST_EVERY) {
            self.list(scheduler);
        }
    }

    /// One turn: accounts, decisions, orders, records. Returns the orders.
    pub fn turn(&mut self, scheduler: &mut Scheduler) -> Vec<CellOrder> {
        self.pass(scheduler);
        self.poll_workers(scheduler);
        self.record(scheduler);
        scheduler.schedule(self.now);
        let orders = scheduler.take_orders();
        for order in &orders {
            self.carry_out(scheduler, order);
        }
        orders
    }

    /// The same, but the answers to all orders are lost: accounts alone are heard.
    pub fn turn_losing_answers(&mut self, scheduler: &mut Scheduler) {
        self.pass(scheduler);
        self.poll_workers(scheduler);
        self.record(scheduler);
        scheduler.schedule(self.now);
        let mutes: Vec<bool> = self.workers.iter().map(|worker| worker.mute).collect();
        self.workers.iter_mut().for_each(|worker| worker.mute = true);
        for order in scheduler.take_orders() {
            self.carry_out(scheduler, &order);
        }
        for (worker, mute) in self.workers.iter_mut().zip(mutes) {
            worker.mute = mute;
        }
    }

    pub fn turns(&mut self, scheduler: &mut Scheduler, count: usize) {
        for _ in 0..count {
            self.turn(scheduler);
        }
    }

    /// Asks every worker for its account.
    pub fn poll_workers(&mut self, scheduler: &mut Scheduler) {
        for key in std::mem::take(&mut self.watched) {
            if !scheduler.should_poll(key) {
                scheduler.stop_polling(key);
                continue;
            }
            self.watched.push(key);
            self.poll_worker(scheduler, key);
        }
    }

    /// Asks one worker for its account.
    pub fn poll_worker(&mut self, scheduler: &mut Scheduler, key: WorkerKey) {
        let number = self.number(scheduler, key);
        let order = scheduler.hold_order(key, true, self.now);
        let answer = self.hold_at_address(scheduler, key, number, &order);
        scheduler.hold_answered(key, answer, self.now, self.now);
        self.watched.extend(scheduler.take_new_lives());
    }

    /// Puts what the scheduler wants recorded into the store.
    pub fn record(&mut self, scheduler: &mut Scheduler) {
        while let Some(batch) = scheduler.take_batch(self.now) {
            if let Some(roster) = &batch.roster {
                self.roster = roster.clone();
            }
            for (id, progress) in &batch.jobs {
                self.store.get_mut(id).unwrap().1 = progress.clone();
            }
            scheduler.batch_recorded(&batch);
        }
    }

    /// Which worker a scheduler's handle stands for.
    pub fn number(&self, scheduler: &Scheduler, key: WorkerKey) -> usize {
        let id = &scheduler.entry(key).life.id;
        let place = self.workers.iter().position(|worker| worker.entry.life.id == *id);
        place.expect("the scheduler knows only workers that exist")
    }

    pub fn carry_out(&mut self, scheduler: &mut Scheduler, order: &CellOrder) {
        match order {
            CellOrder::Start(order) => {
                let number = self.number(scheduler, order.worker);
                let answer = match self.refusal(scheduler, order.worker) {
                    Some(refusal) => WorkerAnswer::NotDone(refusal),
                    None => self.start(number, order),
                };
                scheduler.start_answered(order, answer, self.now);
            }
            CellOrder::Stop(order) => {
                let number = self.number(scheduler, order.worker);
                let answer = match self.refusal(scheduler, order.worker) {
                    Some(refusal) => WorkerAnswer::NotDone(refusal),
                    None => self.stop(number, order),
                };
                scheduler.stop_answered(order, answer, self.now);
            }
            CellOrder::Ask(question) => {
                let answer = advise_all(question);
                scheduler.advice_answered(question, Some(answer), TimeSpan(2_000), self.now);
            }
        }
    }

    /// A turn of which nothing is recorded.
    pub fn turn_unrecorded(&mut self, scheduler: &mut Scheduler) {
        self.pass(scheduler);
        self.poll_workers(scheduler);
        scheduler.schedule(self.now);
        for order in scheduler.take_orders() {
            self.carry_out(scheduler, &order);
        }
    }

    /// A turn in which accounts are taken before orders are carried out and heard after them.
    pub fn turn_with_stale_reports(&mut self, scheduler: &mut Scheduler) {
        self.pass(scheduler);
        let sent = self.now;
        let mut answers = Vec::new();
        for key in self.watched.clone() {
            let order = scheduler.hold_order(key, true, sent);
            let number = self.number(scheduler, key);
            answers.push((key, self.hold_at_address(scheduler, key, number, &order)));
        }
        self.record(scheduler);
        scheduler.schedule(self.now);
        for order in scheduler.take_orders() {
            self.carry_out(scheduler, &order);
        }
        self.now.0 += 5;
        for (key, answer) in answers {
            scheduler.hold_answered(key, answer, sent, self.now);
        }
    }

    /// Drops the starts that are on their way.
    pub fn discard_late_starts(&mut self) {
        self.late.clear();
    }

    /// Carries out the starts that were lost on the way.
    pub fn carry_out_late_starts(&mut self) {
        for late in std::mem::take(&mut self.late) {
            let FakeWorker { cut, ended, down, .. } = self.workers[late.number];
            if !cut && !ended && !down {
                self.begin(late.number, &late.order);
                self.check_limit(&late.order, true);
            }
        }
    }

    /// Whether a job was cancelled.
    pub fn was_cancelled(&self, id: u64) -> bool {
        self.cancelled.contains(&JobId(id))
    }

    /// The caller cancels a job.
    pub fn cancel(&mut self, scheduler: &mut Scheduler, id: u64) {
        if self.store.contains_key(&JobId(id)) {
            self.cancelled.insert(JobId(id));
            scheduler.cancel_job(JobId(id), self.now);
        }
    }

    /// Where a task runs.
    pub fn place(&self, task: CellTask) -> Option<usize> {
        self.workers.iter().position(|worker| worker.runs.contains_key(&task))
    }

    /// Ends that a worker still lists.
    pub fn listed_ends(&self, number: usize) -> usize {
        self.workers[number].ends.len()
    }
}

/// Every worker may run the step.
pub fn advise_all(question: &AdviceQuestion) -> Vec<(WorkerId, Arc<str>)> {
    question.workers.iter().map(|id| (id.clone(), Arc::from("ticket"))).collect()
}
