//! Fake workers, store and advice service for tests of the scheduler. They carry out calls at once unless a test
//! says otherwise, and assert the rules of the platform.

mod crashes;
mod ends;
mod entries;
mod halls;
mod lives;
mod orders;
mod organisations;
mod service;
mod speeds;

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::rc::Rc;
use std::sync::Arc;

use sedgehill_cell::halls::EmptiedHalls;
use sedgehill_cell::ids::{
    CellTask, FencingToken, JobId, OrganisationName, RunNumber, StepId, WorkerId, WorkerLife,
};
use sedgehill_cell::job::{JobRecord, JobSpec, QueuePolicy, StepSpec};
use sedgehill_cell::organisation::OrganisationPolicy;
use sedgehill_cell::progress::JobProgress;
use sedgehill_cell::progress_parts::PartSize;
use sedgehill_cell::replica::{CellRecord, CellReplica};
use sedgehill_cell::scheduler::{
    AdviceQuestion, CellOrder, CellPolicy, CellTiming, EndRow, OWN_BOX, RosterParts, Scheduler,
    SpeedParts, StartOrder, WorkerAnswer, WorkerEntry, WorkerKey,
};
use sedgehill_core::units::{CoreCount, MemorySize, Moment, ResourceSet, TimeSpan};

use self::crashes::CrashLedger;
pub use self::crashes::CrashRule;
pub use self::halls::hall_of;
pub use self::organisations::owned;
pub use self::service::{FakeService, HelperFault};

/// How far a worker's clock is ahead of the lead's, in milliseconds.
const CLOCK_AHEAD_MS: u64 = 100_000;
/// The longest lease that a worker grants.
const MAX_LEASE_MS: u64 = 6_000;
/// The most ends in one report on the users' platform.
const MAX_LISTED_ENDS: usize = 500;

/// A run on a worker.
#[derive(Debug, Clone)]
struct FakeRun {
    run: RunNumber,
    need: ResourceSet,
    since: Moment,
}

/// One life of a worker.
#[derive(Debug)]
pub struct FakeWorker {
    pub entry: WorkerEntry,
    /// The entry that the store lists in place of the worker's own.
    pub shown: Option<WorkerEntry>,
    /// Whether the worker's entry in the store cannot be read.
    pub unreadable: bool,
    /// Whether this life has ended and another one listens at its address.
    pub ended: bool,
    /// Whether the worker has crashed and nothing listens at its address.
    pub down: bool,
    /// The worker's capacity when the scheduler last read the list.
    listed_as: ResourceSet,
    /// Whether the store does not list the worker.
    pub unlisted: bool,
    /// Whether calls to the worker are lost: it neither carries them out nor answers.
    pub cut: bool,
    /// Whether the worker carries out calls but its answers are lost.
    pub mute: bool,
    /// Whether orders to the worker are lost, while its reports arrive.
    pub loses_orders: bool,
    /// Whether orders to the worker cannot be sent, while its reports arrive.
    pub refuses_orders: bool,
    runs: BTreeMap<CellTask, FakeRun>,
    ends: Vec<EndRow>,
    next_end: u64,
    /// The number of the last end before the lease last ended. Acknowledged ends up to this number are not checked.
    ends_before_lapse: u64,
    token: FencingToken,
    /// The highest run of each task that ended or was stopped here. Starts of runs up to it are refused.
    floor: HashMap<CellTask, RunNumber>,
    /// The end of the lease by the worker's clock, in milliseconds.
    lease_until: u64,
    /// How far the worker's clock is ahead of the lead's, in milliseconds.
    clock_ahead: u64,
}

/// A start that was delayed on the way. It is carried out later with the token that it was sent with.
struct LateStart {
    number: usize,
    order: StartOrder,
}

/// The fake workers of a cell and the jobs that the store holds.
pub struct FakeCell {
    pub now: Moment,
    pub workers: Vec<FakeWorker>,
    pub store: BTreeMap<JobId, (Rc<JobRecord>, JobProgress)>,
    pub token: FencingToken,
    pub roster: RosterParts,
    /// The recorded speeds of workers.
    pub speeds: SpeedParts,
    /// The policies of the next lead.
    pub policy: CellPolicy,
    /// The most bytes of a single record of the roster; a larger roster is split.
    pub max_roster_record: usize,
    /// The first of the leads that all record where they start long-running tasks; none if any of them may be of a
    /// release that does not.
    pub locations_since: Option<FencingToken>,
    /// The most bytes of a record of progress; larger progress is divided.
    pub max_progress_record: usize,
    /// The most ends that a worker lists in one report.
    pub max_listed_ends: usize,
    /// The organisations in the current configuration.
    organisations: Vec<OrganisationPolicy>,
    /// The highest core limit that each organisation ever had.
    highest: HashMap<OrganisationName, CoreCount>,
    /// The workers that are polled for reports.
    watched: Vec<WorkerKey>,
    late: Vec<LateStart>,
    cancelled: BTreeSet<JobId>,
    pub starts: Vec<(CellTask, RunNumber, WorkerLife)>,
    /// Tasks that have ended with `Done` on a worker, whether or not a lead has read the end.
    done: BTreeSet<CellTask>,
    /// Tasks that ended with `Done` and whose end was acknowledged before the worker's lease ended.
    acknowledged_ends: BTreeSet<CellTask>,
    /// The first run of each task that started after the task had ended with `Done` and before that end was
    /// acknowledged.
    restarted: HashMap<CellTask, RunNumber>,
    crashes: CrashLedger,
    /// When the scheduler last read the list of workers.
    listed_at: Moment,
    /// Whether the list of workers cannot be read.
    pub list_unreadable: bool,
    /// Whether workers that crash restart with the same id.
    pub keeps_ids: bool,
    /// The halls that operators have emptied.
    pub emptied_halls: EmptiedHalls,
    /// Whether the lead cannot read the operators' requests.
    pub halls_unreadable: bool,
    /// The states that tasks have saved.
    pub saved: HashMap<CellTask, String>,
}

/// Time between two reads of the list of workers, as on a box.
const LIST_INTERVAL: TimeSpan = TimeSpan(400);

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
        hall: None,
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

pub const fn task(job: u64, step: u16, index: u16) -> CellTask {
    CellTask { step: StepId { job: JobId(job), repetition: 0, step }, index }
}

impl FakeWorker {
    fn new(number: u16, capacity: u64) -> FakeWorker {
        let entry = WorkerEntry { hall: Some(hall_of(number)), ..worker_entry(number, capacity) };
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
            loses_orders: false,
            refuses_orders: false,
            runs: BTreeMap::new(),
            ends: Vec::new(),
            next_end: 1,
            ends_before_lapse: 0,
            token: FencingToken(0),
            floor: HashMap::new(),
            lease_until: 0,
            clock_ahead: CLOCK_AHEAD_MS,
        }
    }

    /// Returns the number of runs on the worker.
    pub fn run_count(&self) -> usize {
        self.runs.len()
    }

    /// Removes all runs without recording their ends, as if the lease had ended.
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
            roster: RosterParts::default(),
            speeds: SpeedParts::default(),
            policy: CellPolicy::default(),
            max_roster_record: CellTiming::default().max_roster_record,
            locations_since: None,
            max_progress_record: usize::MAX,
            max_listed_ends: MAX_LISTED_ENDS,
            organisations: Vec::new(),
            highest: HashMap::new(),
            watched: Vec::new(),
            late: Vec::new(),
            cancelled: BTreeSet::new(),
            starts: Vec::new(),
            done: BTreeSet::new(),
            acknowledged_ends: BTreeSet::new(),
            restarted: HashMap::new(),
            crashes: CrashLedger::default(),
            listed_at: Moment(0),
            list_unreadable: false,
            keeps_ids: false,
            emptied_halls: EmptiedHalls::default(),
            halls_unreadable: false,
            saved: HashMap::new(),
        }
    }

    /// Starts a new lead that has read the store.
    pub fn lead(&mut self, predecessor: bool) -> Scheduler {
        let earlier = self.token;
        self.token = earlier.next_lead();
        let timing = CellTiming {
            max_roster_record: self.max_roster_record,
            policy: self.policy,
            ..CellTiming::default()
        };
        let mut scheduler = Scheduler::take_over(timing, self.token, predecessor, self.now);
        scheduler.set_previous_token(earlier);
        if let Some(first) = self.locations_since {
            scheduler.set_locations_since(first);
        }
        scheduler.inherit_speeds(&self.speeds, 0, self.now);
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
        self.read_halls(&mut scheduler);
        scheduler
    }

    /// Passes the store's list of workers to the scheduler.
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
        for worker in
            self.workers.iter_mut().filter(|worker| !worker.unlisted && !worker.unreadable)
        {
            worker.listed_as = worker.entry.capacity;
        }
        self.watched.extend(scheduler.update_workers(entries, &unreadable, self.now));
    }

    /// Accepts a job at a box that is not the lead.
    pub fn submit(&mut self, scheduler: &mut Scheduler, id: u64, record: JobRecord) {
        let record = Rc::new(record);
        self.store.insert(JobId(id), (record.clone(), JobProgress::default()));
        let none = JobProgress::default();
        scheduler.add_job(JobId(id), record, &none, TimeSpan(0), self.now);
    }

    /// Accepts a job at the lead.
    pub fn submit_led(&mut self, scheduler: &mut Scheduler, id: u64, record: JobRecord) {
        let record = Rc::new(record);
        let progress = JobProgress { may_have_started: true, ..JobProgress::default() };
        self.store.entry(JobId(id)).or_insert((record.clone(), progress));
        scheduler.add_own_job(JobId(id), record, self.now);
    }

    pub fn progress(&self, id: u64) -> &JobProgress {
        &self.store[&JobId(id)].1
    }

    /// Advances time to the next turn: processes crashes that are due and reads the list of workers if that is due.
    fn advance(&mut self, scheduler: &mut Scheduler) {
        self.now.0 += 20;
        self.process_crashes();
        if !self.list_unreadable && self.now >= self.listed_at.after(LIST_INTERVAL) {
            self.list(scheduler);
        }
        self.read_halls(scheduler);
    }

    /// Runs one turn: polls workers, records progress, schedules and carries out the orders. Returns the orders.
    pub fn turn(&mut self, scheduler: &mut Scheduler) -> Vec<CellOrder> {
        self.advance(scheduler);
        self.poll_workers(scheduler);
        self.record(scheduler);
        scheduler.schedule(self.now);
        let orders = scheduler.take_orders();
        for order in &orders {
            self.carry_out(scheduler, order);
        }
        orders
    }

    /// Runs one turn in which the answers to all orders are lost, and only reports arrive.
    pub fn turn_losing_answers(&mut self, scheduler: &mut Scheduler) {
        self.advance(scheduler);
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

    /// Polls all watched workers for their reports.
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

    /// Polls one worker for its report.
    pub fn poll_worker(&mut self, scheduler: &mut Scheduler, key: WorkerKey) {
        let number = self.number(scheduler, key);
        let order = scheduler.hold_order(key, true, self.now);
        let answer = self.hold_at_address(scheduler, key, number, &order);
        scheduler.hold_answered(key, answer, self.now, self.now);
        self.watched.extend(scheduler.take_new_lives());
    }

    /// Writes the scheduler's batches to the store.
    pub fn record(&mut self, scheduler: &mut Scheduler) {
        while let Some(batch) = scheduler.take_batch(self.now) {
            batch.roster.iter().for_each(|change| self.roster.apply(change.clone()));
            batch.speeds.iter().for_each(|change| self.speeds.apply(change.clone()));
            for (id, progress) in &batch.jobs {
                let stored = self.read_back(*id, progress);
                self.store.get_mut(id).unwrap().1 = stored;
            }
            scheduler.batch_recorded(&batch);
        }
    }

    /// Returns progress as a later lead reads it from records of limited size.
    fn read_back(&self, id: JobId, progress: &JobProgress) -> JobProgress {
        let fits = |record: CellRecord| record.encode().len() <= self.max_progress_record;
        let (mut main, mut overflow) =
            progress.fitted(|main| fits(CellRecord::Progress(main.clone())));
        let parts_fit = overflow.divide_parts(&mut main, PartSize::MAX, |part| {
            fits(CellRecord::ProgressPart(part.clone()))
        });
        assert!(parts_fit && fits(CellRecord::Progress(main.clone())), "job {id} does not fit");
        let mut replica = CellReplica::default();
        let job = CellRecord::Job(JobRecord::clone(&self.store[&id].0));
        let parts = overflow.parts.into_iter().map(CellRecord::ProgressPart);
        for record in [job].into_iter().chain(parts).chain([CellRecord::Progress(main)]) {
            let (id, decoded) = CellRecord::decode(&record.key(id), &record.encode()).unwrap();
            replica.apply(id, decoded, self.now);
        }
        replica.job(id).unwrap().progress_for_lead()
    }

    /// Returns the scheduler's key of a worker that is polled.
    pub fn worker_key(&self, scheduler: &Scheduler, number: usize) -> WorkerKey {
        let key = self.watched.iter().find(|key| self.number(scheduler, **key) == number);
        *key.expect("the worker is polled")
    }

    /// Returns the number of the worker that a scheduler's key stands for.
    pub fn number(&self, scheduler: &Scheduler, key: WorkerKey) -> usize {
        let id = &scheduler.entry(key).life.id;
        let number = self.workers.iter().position(|worker| worker.entry.life.id == *id);
        number.expect("the scheduler knows only workers that exist")
    }

    /// Carries out an order and passes the answer to the scheduler.
    pub fn carry_out(&mut self, scheduler: &mut Scheduler, order: &CellOrder) {
        match order {
            CellOrder::Start(order) => {
                let number = self.number(scheduler, order.worker);
                let answer = match self.order_refusal(scheduler, order.worker) {
                    Some(refusal) => WorkerAnswer::NotDone(refusal),
                    None => self.start(number, order),
                };
                scheduler.start_answered(order, answer, self.now);
            }
            CellOrder::Stop(order) => {
                let number = self.number(scheduler, order.worker);
                let answer = match self.order_refusal(scheduler, order.worker) {
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

    /// Runs one turn in which nothing is recorded.
    pub fn turn_unrecorded(&mut self, scheduler: &mut Scheduler) {
        self.advance(scheduler);
        self.poll_workers(scheduler);
        scheduler.schedule(self.now);
        for order in scheduler.take_orders() {
            self.carry_out(scheduler, &order);
        }
    }

    /// Runs one turn in which reports are made before orders are carried out and arrive after them.
    pub fn turn_with_stale_reports(&mut self, scheduler: &mut Scheduler) {
        self.advance(scheduler);
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

    /// Discards the delayed starts.
    pub fn discard_late_starts(&mut self) {
        self.late.clear();
    }

    /// Carries out the delayed starts at workers that can be reached again.
    pub fn carry_out_late_starts(&mut self) {
        for late in std::mem::take(&mut self.late) {
            let FakeWorker { cut, ended, down, .. } = self.workers[late.number];
            if !cut && !ended && !down {
                self.begin_run(late.number, &late.order);
                self.check_limit(&late.order, true);
            }
        }
    }

    /// Returns whether a job was cancelled.
    pub fn was_cancelled(&self, id: u64) -> bool {
        self.cancelled.contains(&JobId(id))
    }

    /// Cancels a job, as its caller does.
    pub fn cancel(&mut self, scheduler: &mut Scheduler, id: u64) {
        if self.store.contains_key(&JobId(id)) {
            self.cancelled.insert(JobId(id));
            scheduler.cancel_job(JobId(id), self.now);
        }
    }

    /// Returns the number of the worker that runs a task.
    pub fn place(&self, task: CellTask) -> Option<usize> {
        self.workers.iter().position(|worker| worker.runs.contains_key(&task))
    }

    /// Returns the number of ends that a worker still lists.
    pub fn listed_ends(&self, number: usize) -> usize {
        self.workers[number].ends.len()
    }
}

/// Returns an answer that allows every worker in the question to run the step.
pub fn advise_all(question: &AdviceQuestion) -> Vec<(WorkerId, Arc<str>)> {
    question.workers.iter().map(|id| (id.clone(), Arc::from("ticket"))).collect()
}
