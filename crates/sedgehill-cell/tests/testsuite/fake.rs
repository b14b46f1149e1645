//! Workers, store and advice service as the scheduler sees them, which obey at once unless told
//! otherwise, and notice when a rule is broken.

use std::collections::{BTreeMap, HashMap};
use std::rc::Rc;
use std::sync::Arc;

use sedgehill_cell::ids::{CellTask, FencingToken, JobId, RunNumber, StepId, WorkerLife};
use sedgehill_cell::job::{JobRecord, JobSpec, QueuePolicy, StepSpec};
use sedgehill_cell::progress::JobProgress;
use sedgehill_cell::scheduler::{
    AdviceQuestion, CellOrder, CellTiming, EndRow, HoldOrder, HoldReport, OWN_BOX, RunEnd,
    RunningRow, Scheduler, StartOrder, StopOrder, WorkerAnswer, WorkerEntry, WorkerKey,
    WorkerRefusal, WorkerRoster, WorkerTime,
};
use sedgehill_core::units::{CoreCount, MemorySize, Moment, ResourceSet, TimeSpan};

/// A worker's clock is this far ahead of the lead's.
const CLOCK_AHEAD: u64 = 100_000;

#[derive(Debug, Clone)]
struct FakeRun {
    run: RunNumber,
    need: ResourceSet,
}

/// One worker.
#[derive(Debug)]
pub struct FakeWorker {
    pub entry: WorkerEntry,
    /// The store does not list it.
    pub unlisted: bool,
    /// It answers nothing, and does nothing.
    pub cut: bool,
    /// It does as told, but its answers are lost.
    pub mute: bool,
    runs: BTreeMap<CellTask, FakeRun>,
    ends: Vec<EndRow>,
    next_end: u64,
    token: FencingToken,
    floor: HashMap<CellTask, RunNumber>,
    lease_until: u64,
}

/// A cell of workers, and what the store holds of its jobs.
pub struct FakeCell {
    pub now: Moment,
    pub workers: Vec<FakeWorker>,
    pub store: BTreeMap<JobId, (Rc<JobRecord>, JobProgress)>,
    pub token: FencingToken,
    pub roster: WorkerRoster,
    watched: Vec<WorkerKey>,
    pub starts: Vec<(CellTask, RunNumber, WorkerLife)>,
    done: Vec<CellTask>,
}

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
        policy: policy(),
        spec: JobSpec { payload: Arc::from("work"), steps, repeat: None },
        accepted_unix_ms: 0,
    }
}

pub fn task(job: u64, step: u16, index: u16) -> CellTask {
    CellTask { step: StepId { job: JobId(job), repetition: 0, step }, index }
}

impl FakeWorker {
    /// Its lease is over: what ran there is gone.
    pub fn expire_for_test(&mut self) {
        self.runs.clear();
    }
}

impl FakeCell {
    pub fn new(workers: u16, capacity: u64) -> FakeCell {
        let worker = |number| FakeWorker {
            entry: worker_entry(number, capacity),
            unlisted: false,
            cut: false,
            mute: false,
            runs: BTreeMap::new(),
            ends: Vec::new(),
            next_end: 1,
            token: FencingToken(0),
            floor: HashMap::new(),
            lease_until: 0,
        };
        FakeCell {
            now: Moment(1_000_000),
            workers: (0..workers).map(worker).collect(),
            store: BTreeMap::new(),
            token: FencingToken(0),
            roster: WorkerRoster::default(),
            watched: Vec::new(),
            starts: Vec::new(),
            done: Vec::new(),
        }
    }

    /// A new lead that has read the store.
    pub fn lead(&mut self, predecessor: bool) -> Scheduler {
        self.token.0 += 1;
        let mut scheduler = Scheduler::take_over(CellTiming::default(), predecessor, self.now);
        scheduler.add_helper(OWN_BOX);
        for (id, (record, progress)) in &self.store {
            scheduler.add_job(*id, record.clone(), progress, TimeSpan(0), self.now);
        }
        let roster = self.roster.clone();
        self.watched = scheduler.add_roster(&roster, self.now);
        self.list(&mut scheduler);
        scheduler
    }

    /// Shows the scheduler what the store lists.
    pub fn list(&mut self, scheduler: &mut Scheduler) {
        let listed = self.workers.iter().filter(|worker| !worker.unlisted);
        let entries = listed.map(|worker| worker.entry.clone()).collect();
        self.watched.extend(scheduler.update_workers(entries, self.now));
    }

    /// Accepts a job.
    pub fn submit(&mut self, scheduler: &mut Scheduler, id: u64, record: JobRecord) {
        let record = Rc::new(record);
        self.store.insert(JobId(id), (record.clone(), JobProgress::default()));
        let none = JobProgress::default();
        scheduler.add_job(JobId(id), record, &none, TimeSpan(0), self.now);
    }

    pub fn progress(&self, id: u64) -> &JobProgress {
        &self.store[&JobId(id)].1
    }

    /// One turn: accounts, decisions, orders, records. Returns the orders.
    pub fn turn(&mut self, scheduler: &mut Scheduler) -> Vec<CellOrder> {
        self.now.0 += 20;
        self.look(scheduler);
        self.record(scheduler);
        scheduler.schedule(self.now);
        let orders = scheduler.take_orders();
        for order in &orders {
            self.obey(scheduler, order);
        }
        orders
    }

    pub fn turns(&mut self, scheduler: &mut Scheduler, count: usize) {
        for _ in 0..count {
            self.turn(scheduler);
        }
    }

    /// Asks every worker for its account.
    pub fn look(&mut self, scheduler: &mut Scheduler) {
        for key in std::mem::take(&mut self.watched) {
            if !scheduler.is_watched(key) {
                scheduler.unwatch(key);
                continue;
            }
            self.watched.push(key);
            self.look_at(scheduler, key);
        }
    }

    /// Asks one worker for its account.
    pub fn look_at(&mut self, scheduler: &mut Scheduler, key: WorkerKey) {
        let number = self.number(scheduler, key);
        let order = scheduler.hold_order(key, true, self.now);
        let answer = self.hold(number, &order);
        scheduler.hold_answered(key, answer, self.now, self.now);
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
        let life = &scheduler.entry(key).life;
        let place = self.workers.iter().position(|worker| worker.entry.life == *life);
        place.expect("the scheduler knows only workers that exist")
    }

    pub fn obey(&mut self, scheduler: &mut Scheduler, order: &CellOrder) {
        match order {
            CellOrder::Start(order) => {
                let number = self.number(scheduler, order.worker);
                let answer = self.start(number, order);
                scheduler.start_answered(order, answer, self.now);
            }
            CellOrder::Stop(order) => {
                let number = self.number(scheduler, order.worker);
                let answer = self.stop(number, order);
                scheduler.stop_answered(order, answer, self.now);
            }
            CellOrder::Ask(question) => {
                let answer = advise_all(question);
                scheduler.advice_answered(question, Some(answer), TimeSpan(2_000), self.now);
            }
        }
    }

    fn clock(&self) -> WorkerTime {
        WorkerTime(self.now.0 + CLOCK_AHEAD)
    }

    /// Ends what runs on a worker whose lease is over.
    fn lapse(&mut self, number: usize) {
        let clock = self.clock().0;
        let worker = &mut self.workers[number];
        if clock <= worker.lease_until {
            return;
        }
        let tasks: Vec<CellTask> = worker.runs.keys().copied().collect();
        for task in tasks {
            self.end(number, task, RunEnd::Lapsed);
        }
    }

    fn answer<T>(&self, number: usize, answer: WorkerAnswer<T>) -> WorkerAnswer<T> {
        match self.workers[number].mute {
            true => WorkerAnswer::Unknown,
            false => answer,
        }
    }

    pub fn start(&mut self, number: usize, order: &StartOrder) -> WorkerAnswer<WorkerTime> {
        self.lapse(number);
        if self.workers[number].cut {
            return WorkerAnswer::Unknown;
        }
        let (clock, token) = (self.clock(), self.token);
        assert!(!self.done.contains(&order.task), "{} starts after its end", order.task);
        let elsewhere = self.workers.iter().any(|worker| worker.runs.contains_key(&order.task));
        assert!(!elsewhere, "{} runs twice", order.task);
        let worker = &mut self.workers[number];
        if token < worker.token {
            return WorkerAnswer::NotDone(WorkerRefusal::Fenced);
        }
        if worker.floor.get(&order.task).is_some_and(|floor| order.run <= *floor) {
            return WorkerAnswer::NotDone(WorkerRefusal::OldRun);
        }
        worker.token = token;
        worker.lease_until = worker.lease_until.max(order.lease_until.0);
        let spec = &order.record.spec.steps[usize::from(order.task.step.step)];
        worker.runs.insert(order.task, FakeRun { run: order.run, need: spec.need });
        let used =
            worker.runs.values().fold(ResourceSet::default(), |sum, run| sum.plus(&run.need));
        assert!(worker.entry.capacity.fits(&used), "{} is over its size", worker.entry.life);
        self.starts.push((order.task, order.run, self.workers[number].entry.life.clone()));
        self.answer(number, WorkerAnswer::Done(clock))
    }

    pub fn stop(&mut self, number: usize, order: &StopOrder) -> WorkerAnswer<WorkerTime> {
        if self.workers[number].cut {
            return WorkerAnswer::Unknown;
        }
        self.workers[number].floor.insert(order.task, order.run);
        let runs = self.workers[number].runs.get(&order.task).map(|run| run.run);
        if runs == Some(order.run) {
            self.end(number, order.task, RunEnd::Stopped);
        }
        let clock = self.clock();
        self.answer(number, WorkerAnswer::Done(clock))
    }

    pub fn hold(&mut self, number: usize, order: &HoldOrder) -> WorkerAnswer<HoldReport> {
        self.lapse(number);
        if self.workers[number].cut {
            return WorkerAnswer::Unknown;
        }
        let (clock, token) = (self.clock(), self.token);
        let worker = &mut self.workers[number];
        worker.token = worker.token.max(token);
        if let Some(until) = order.lease_until {
            worker.lease_until = worker.lease_until.max(until.0);
        }
        worker.ends.retain(|end| end.number > order.acknowledged);
        let running = worker.runs.iter().map(|(task, run)| RunningRow {
            task: *task,
            run: run.run,
            checkpoint: String::new(),
        });
        let report = HoldReport { clock, running: running.collect(), ended: worker.ends.clone() };
        self.answer(number, WorkerAnswer::Done(report))
    }

    /// Ends a run.
    pub fn end(&mut self, number: usize, task: CellTask, end: RunEnd) {
        let worker = &mut self.workers[number];
        let run = worker.runs.remove(&task).expect("the task runs there").run;
        worker.floor.insert(task, run);
        let row = EndRow { number: worker.next_end, task, run, end, checkpoint: String::new() };
        worker.next_end += 1;
        worker.ends.push(row);
        if end == RunEnd::Done {
            self.done.push(task);
        }
    }

    /// Ends a run wherever it is.
    pub fn end_anywhere(&mut self, task: CellTask, end: RunEnd) {
        let number = self.place(task).expect("the task runs somewhere");
        self.end(number, task, end);
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
pub fn advise_all(question: &AdviceQuestion) -> Vec<(WorkerLife, Arc<str>)> {
    question.workers.iter().map(|life| (life.clone(), Arc::from("ticket"))).collect()
}
