//! What workers do with calls, by the rules of the platform, and what must never come of it.

use sedgehill_cell::ids::CellTask;
use sedgehill_cell::scheduler::{
    HoldOrder, HoldReport, RunEnd, RunningRow, StartOrder, StopOrder, WorkerAnswer, WorkerRefusal,
    WorkerTime,
};
use sedgehill_core::units::ResourceSet;

use super::{FakeCell, FakeRun, HOLD_MOST, LateStart};

impl FakeCell {
    pub(super) fn clock(&self, number: usize) -> WorkerTime {
        WorkerTime(self.now.0 + self.workers[number].clock_ahead)
    }

    /// Ends what runs on a worker whose lease is over.
    pub(super) fn lapse(&mut self, number: usize) {
        let clock = self.clock(number).0;
        let worker = &mut self.workers[number];
        if clock <= worker.lease_until {
            return;
        }
        worker.excused = worker.next_end - 1;
        let tasks: Vec<CellTask> = worker.runs.keys().copied().collect();
        for task in tasks {
            self.end(number, task, RunEnd::Lapsed);
        }
    }

    pub(super) fn lapse_all(&mut self) {
        for number in 0..self.workers.len() {
            self.lapse(number);
        }
    }

    pub(super) fn answer<T>(&self, number: usize, answer: WorkerAnswer<T>) -> WorkerAnswer<T> {
        match self.workers[number].mute {
            true => WorkerAnswer::Unknown,
            false => answer,
        }
    }

    pub fn start(&mut self, number: usize, order: &StartOrder) -> WorkerAnswer<WorkerTime> {
        if self.workers[number].cut {
            self.late.push(LateStart { number, order: order.clone() });
            return WorkerAnswer::Unknown;
        }
        let before = self.starts.len();
        let answer = self.begin(number, order);
        if self.starts.len() > before {
            self.check_crashing_start(order.task);
        }
        self.check_limit(order, false);
        self.answer(number, answer)
    }

    /// Carries out a start.
    pub(super) fn begin(&mut self, number: usize, order: &StartOrder) -> WorkerAnswer<WorkerTime> {
        let token = order.token;
        self.lapse_all();
        let clock = self.clock(number);
        let worker = &mut self.workers[number];
        if token < worker.token {
            return WorkerAnswer::NotDone(WorkerRefusal::Fenced);
        }
        worker.token = token;
        if worker.floor.get(&order.task).is_some_and(|floor| order.run <= *floor) {
            return WorkerAnswer::NotDone(WorkerRefusal::OldRun);
        }
        if order.lease_until.0 < clock.0 {
            return WorkerAnswer::NotDone(WorkerRefusal::Late);
        }
        if worker.runs.get(&order.task).is_some_and(|run| run.run == order.run) {
            return WorkerAnswer::Done(clock);
        }
        worker.lease_until = worker.lease_until.max(order.lease_until.0.min(clock.0 + HOLD_MOST));
        let spec = &order.record.spec.steps[usize::from(order.task.step.step)];
        worker
            .runs
            .insert(order.task, FakeRun { run: order.run, need: spec.need, since: self.now });
        let used =
            worker.runs.values().fold(ResourceSet::default(), |sum, run| sum.plus(&run.need));
        // A lead may go by what was listed when it read the list last.
        let fits = worker.entry.capacity.fits(&used) || worker.listed_as.fits(&used);
        let there = (worker.entry.capacity, worker.listed_as, &worker.runs);
        assert!(fits, "{} is over its size: {there:?}", worker.entry.life);
        let life = worker.entry.life.clone();
        assert!(!self.noted.contains(&order.task), "{} starts after its end", order.task);
        if self.done.contains(&order.task) {
            self.begun_again.entry(order.task).or_insert(order.run);
        }
        let places = self.workers.iter().filter(|worker| worker.runs.contains_key(&order.task));
        assert_eq!(places.count(), 1, "{} runs twice", order.task);
        let again =
            self.starts.iter().any(|(task, run, _)| (*task, *run) == (order.task, order.run));
        assert!(!again, "run {} of {} begins twice", order.run, order.task);
        self.starts.push((order.task, order.run, life));
        self.note_crashing_start(number, order.task, order.run);
        WorkerAnswer::Done(clock)
    }

    pub fn stop(&mut self, number: usize, order: &StopOrder) -> WorkerAnswer<WorkerTime> {
        if self.workers[number].cut {
            return WorkerAnswer::Unknown;
        }
        let worker = &mut self.workers[number];
        if order.token < worker.token {
            return self.answer(number, WorkerAnswer::NotDone(WorkerRefusal::Fenced));
        }
        worker.token = order.token;
        worker.floor.insert(order.task, order.run);
        let runs = self.workers[number].runs.get(&order.task).map(|run| run.run);
        if runs == Some(order.run) {
            self.end(number, order.task, RunEnd::Stopped);
        }
        let clock = self.clock(number);
        self.answer(number, WorkerAnswer::Done(clock))
    }

    pub fn hold(&mut self, number: usize, order: &HoldOrder) -> WorkerAnswer<HoldReport> {
        self.lapse(number);
        if self.workers[number].cut {
            return WorkerAnswer::Unknown;
        }
        let clock = self.clock(number);
        let worker = &mut self.workers[number];
        if order.token < worker.token {
            return self.answer(number, WorkerAnswer::NotDone(WorkerRefusal::Fenced));
        }
        worker.token = order.token;
        if let Some(until) = order.lease_until {
            worker.lease_until = worker.lease_until.max(until.0.min(clock.0 + HOLD_MOST));
        }
        let excused = worker.excused;
        let forgotten = worker.ends.iter().filter(|end| end.number <= order.acknowledged);
        for end in forgotten.filter(|end| end.end == RunEnd::Done && end.number > excused) {
            let again = self.begun_again.get(&end.task).is_some_and(|again| end.run < *again);
            assert!(!again, "{} began again, and its end is noted now", end.task);
            self.noted.insert(end.task);
        }
        worker.ends.retain(|end| end.number > order.acknowledged);
        let running = worker.runs.iter().map(|(task, run)| RunningRow {
            task: *task,
            run: run.run,
            checkpoint: String::new(),
        });
        let report = HoldReport {
            start: worker.entry.life.start,
            clock,
            running: running.collect(),
            ended: worker.ends.clone(),
        };
        self.answer(number, WorkerAnswer::Done(report))
    }
}
