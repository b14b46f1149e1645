//! A worker that keeps to the rules of the platform: tokens, leases on a clock of its own, ends that
//! are listed until they are acknowledged.

use std::collections::{BTreeMap, HashMap};

use sedgehill_cell::ids::{CellTask, FencingToken, LifeStart, RunNumber, WorkerLife};
use sedgehill_cell::scheduler::{
    EndRow, HoldOrder, HoldReport, RunEnd, RunningRow, StartOrder, StopOrder, WorkerAnswer,
    WorkerEntry, WorkerRefusal, WorkerTime,
};
use sedgehill_core::units::{Moment, ResourceSet, TimeSpan};

use crate::fake::worker_entry;

/// The longest lease that a worker grants.
const HOLD_MOST: u64 = 6_000;
/// Clocks of different lives differ by this much.
const CLOCKS_APART: u64 = 10_000_000;

/// Within so many milliseconds a lead has to know that a worker shrank: the users allow 3 s and a beat of 1.5 s.
const KNOWN_WITHIN: u64 = 4_500;

/// What a worker is asked.
#[derive(Debug, Clone)]
pub enum WorkerCall {
    Hold(HoldOrder),
    Start(StartOrder),
    Stop(StopOrder),
}

/// What it answers.
#[derive(Debug, Clone)]
pub enum WorkerReply {
    Account(WorkerAnswer<HoldReport>),
    Order(WorkerAnswer<WorkerTime>),
}

/// What runs there.
#[derive(Debug, Clone, Copy)]
pub struct SimRun {
    pub run: RunNumber,
    pub need: ResourceSet,
}

/// A place for workers: one life after the other.
#[derive(Debug)]
pub struct SimWorker {
    pub entry: WorkerEntry,
    /// How much slower than true its clock runs, in thousandths.
    pub slow: u64,
    /// When the next life begins, if none is there.
    pub back_at: Option<Moment>,
    /// An earlier life that is still listed, and until when.
    pub ghost: Option<(WorkerEntry, Moment)>,
    /// The store does not list it though it lives.
    pub unlisted: bool,
    pub runs: BTreeMap<CellTask, SimRun>,
    /// What it had before it shrank, and until when a lead may go by that.
    pub earlier_sizes: Vec<(ResourceSet, Moment)>,
    /// Ends that were acknowledged before a lease lapsed, not yet looked at by the checks.
    pub noted: Vec<EndRow>,
    ends: Vec<EndRow>,
    next_end: u64,
    excused: u64,
    token: FencingToken,
    floor: HashMap<CellTask, RunNumber>,
    lease_until: u64,
    number: u16,
    lives: u64,
    born: Moment,
    /// The next life has the id of this one.
    keeps_id: bool,
}

impl SimWorker {
    pub fn new(number: u16, capacity: u64, slow: u64, now: Moment) -> SimWorker {
        SimWorker {
            entry: worker_entry(number, capacity),
            slow,
            back_at: None,
            ghost: None,
            unlisted: false,
            runs: BTreeMap::new(),
            earlier_sizes: Vec::new(),
            noted: Vec::new(),
            ends: Vec::new(),
            next_end: 1,
            excused: 0,
            token: FencingToken(0),
            floor: HashMap::new(),
            lease_until: 0,
            number,
            lives: 1,
            born: now,
            keeps_id: false,
        }
    }

    /// It tells when its life began.
    pub fn tell_start(&mut self) {
        self.entry.life.start = Some(LifeStart(self.born.0));
    }

    /// The life ends. Its entry stays in the list until `listed`, and a new one begins at `back`.
    pub fn die(&mut self, listed: Moment, back: Moment, keeps_id: bool) {
        if self.back_at.is_none() {
            self.ghost = Some((self.entry.clone(), listed));
            self.back_at = Some(back);
            self.runs.clear();
            // Only who tells when its life began may have the same id.
            self.keeps_id = keeps_id && self.entry.life.start.is_some();
        }
    }

    /// Begins the next life if its time has come.
    pub fn live(&mut self, now: Moment) {
        if self.back_at.is_none_or(|back| now < back) {
            return;
        }
        let (number, lives, slow) = (self.number, self.lives, self.slow);
        let life = match self.keeps_id {
            true => self.entry.life.clone(),
            false => WorkerLife::from(format!("w{number}-{lives}").as_str()),
        };
        let tells = self.entry.life.start.is_some();
        let entry = WorkerEntry { life, ..self.entry.clone() };
        let ghost = self.ghost.take();
        let fresh = SimWorker::new(number, 0, slow, now);
        *self = SimWorker { entry, ghost, lives: lives + 1, ..fresh };
        if tells {
            self.tell_start();
        }
    }

    /// What the store lists of this place.
    pub fn listed(&self, now: Moment) -> Vec<WorkerEntry> {
        let living = (self.back_at.is_none() && !self.unlisted).then(|| self.entry.clone());
        let ghost = self.ghost.iter().filter(|(_, until)| now < *until);
        let ghost = ghost.map(|(entry, _)| entry.clone());
        // There is one entry to an id. That of an earlier life may stand for a time after the next began.
        let hidden = |one: &WorkerEntry| {
            self.ghost
                .as_ref()
                .is_some_and(|(ghost, until)| ghost.life.id == one.life.id && now < *until)
        };
        ghost.chain(living.filter(|one| !hidden(one))).collect()
    }

    fn clock(&self, now: Moment) -> WorkerTime {
        let since = now.since(self.born).0;
        // Each life's clock begins anew, every other one behind that of the life before.
        let begins = if self.lives.is_multiple_of(2) { 1 } else { self.lives + 1 };
        WorkerTime(begins * CLOCKS_APART + since - since * self.slow / 1000)
    }

    /// Ends what runs if the lease is over.
    pub fn lapse(&mut self, now: Moment) {
        if self.clock(now).0 <= self.lease_until {
            return;
        }
        self.excused = self.next_end - 1;
        let tasks: Vec<CellTask> = self.runs.keys().copied().collect();
        for task in tasks {
            self.end(task, RunEnd::Lapsed);
        }
    }

    /// Ends a run.
    pub fn end(&mut self, task: CellTask, end: RunEnd) {
        let run = self.runs.remove(&task).expect("the task runs there").run;
        self.floor.insert(task, run);
        let row = EndRow { number: self.next_end, task, run, end, checkpoint: String::new() };
        self.next_end += 1;
        self.ends.push(row);
    }

    /// Does what it is asked, unless that is meant for another life. None if there is no life.
    pub fn call(
        &mut self,
        life: &WorkerLife,
        token: FencingToken,
        call: &WorkerCall,
        now: Moment,
    ) -> Option<WorkerReply> {
        if self.back_at.is_some() {
            return None;
        }
        self.lapse(now);
        let refusal = match () {
            () if life.id != self.entry.life.id => Some(WorkerRefusal::OtherLife),
            () if token < self.token => Some(WorkerRefusal::Fenced),
            () => None,
        };
        if let Some(refusal) = refusal {
            return Some(match call {
                WorkerCall::Hold(_) => WorkerReply::Account(WorkerAnswer::NotDone(refusal)),
                _ => WorkerReply::Order(WorkerAnswer::NotDone(refusal)),
            });
        }
        self.token = token;
        Some(match call {
            WorkerCall::Hold(order) => WorkerReply::Account(self.hold(order, now)),
            WorkerCall::Start(order) => WorkerReply::Order(self.start(order, now)),
            WorkerCall::Stop(order) => WorkerReply::Order(self.stop(order, now)),
        })
    }

    fn extend(&mut self, until: WorkerTime, now: Moment) {
        let until = until.0.min(self.clock(now).0 + HOLD_MOST);
        self.lease_until = self.lease_until.max(until);
    }

    fn start(&mut self, order: &StartOrder, now: Moment) -> WorkerAnswer<WorkerTime> {
        let clock = self.clock(now);
        if order.lease_until.0 < clock.0 {
            return WorkerAnswer::NotDone(WorkerRefusal::Late);
        }
        self.extend(order.lease_until, now);
        if self.floor.get(&order.task).is_some_and(|floor| order.run <= *floor) {
            return WorkerAnswer::NotDone(WorkerRefusal::OldRun);
        }
        if self.runs.get(&order.task).is_none_or(|there| there.run != order.run) {
            let need = order.record.spec.steps[usize::from(order.task.step.step)].need;
            let previous = self.runs.insert(order.task, SimRun { run: order.run, need });
            assert!(previous.is_none(), "{} runs twice on one worker", order.task);
        }
        WorkerAnswer::Done(clock)
    }

    fn stop(&mut self, order: &StopOrder, now: Moment) -> WorkerAnswer<WorkerTime> {
        let floor = self.floor.entry(order.task).or_insert(order.run);
        *floor = order.run.max(*floor);
        if self.runs.get(&order.task).is_some_and(|there| there.run == order.run) {
            self.end(order.task, RunEnd::Stopped);
        }
        WorkerAnswer::Done(self.clock(now))
    }

    fn hold(&mut self, order: &HoldOrder, now: Moment) -> WorkerAnswer<HoldReport> {
        if let Some(until) = order.lease_until {
            self.extend(until, now);
        }
        let (forgotten, ended): (Vec<_>, Vec<_>) = std::mem::take(&mut self.ends)
            .into_iter()
            .partition(|e| e.number <= order.acknowledged);
        self.ends = ended.clone();
        let excused = self.excused;
        let counts = |end: &EndRow| end.end == RunEnd::Done && end.number > excused;
        self.noted.extend(forgotten.into_iter().filter(counts));
        let row = |(task, there): (&CellTask, &SimRun)| RunningRow {
            task: *task,
            run: there.run,
            checkpoint: String::new(),
        };
        let running = self.runs.iter().map(row).collect();
        WorkerAnswer::Done(HoldReport {
            start: self.entry.life.start,
            clock: self.clock(now),
            running,
            ended,
        })
    }

    /// It has so much from now on.
    pub fn resize(&mut self, capacity: ResourceSet, now: Moment) {
        let earlier = std::mem::replace(&mut self.entry.capacity, capacity);
        self.earlier_sizes.push((earlier, now.after(TimeSpan(KNOWN_WITHIN))));
    }

    /// Whether what runs there fits into what a lead has to know that it has.
    pub fn fits(&self, now: Moment) -> bool {
        let used = self.used();
        let mut earlier = self.earlier_sizes.iter().filter(|(_, until)| now < *until);
        self.entry.capacity.fits(&used) || earlier.any(|(capacity, _)| capacity.fits(&used))
    }

    /// What all that runs there needs.
    pub fn used(&self) -> ResourceSet {
        self.runs.values().fold(ResourceSet::default(), |sum, run| sum.plus(&run.need))
    }
}
