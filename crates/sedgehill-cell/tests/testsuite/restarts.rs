//! A task of a long-running job that has lost its run is started again in bounded time, however full the cell is.
//!
//! On a large cell tasks of long-running jobs had no run for longer than users allow, after runs that had ended `failed` or
//! `lapsed` at workers that were in touch.

use sedgehill_cell::ids::JobId;
use sedgehill_cell::job::{AdvicePolicy, JobRecord, StepSpec};
use sedgehill_cell::scheduler::{HelperId, RunEnd, Scheduler};
use sedgehill_core::units::{Moment, TimeSpan};

use crate::fake::{FakeCell, FakeService, job, step, task};

const WORKERS: u16 = 24;
const CORES: u64 = 16;
/// Boxes that ask beside the lead's own.
const HELPERS: u64 = 5;
/// What users allow from the end of a run to the next one.
const RESTART_WITHIN: TimeSpan = TimeSpan(6_000);
const LONG_RUNNING: u64 = 1;
/// Other jobs count from here.
const OTHERS: u64 = 1_000;
/// Tasks of a job that fills the cell.
const OTHERS_WIDTH: u16 = 12;

const DEAR: AdvicePolicy =
    AdvicePolicy { decide_us: 560_000, each_us: 8_000, valid: TimeSpan(2_000) };
const CHEAP: AdvicePolicy =
    AdvicePolicy { decide_us: 13_000, each_us: 180, valid: TimeSpan(2_000) };

/// What fills the cell beside the long-running job.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Load {
    None,
    /// Urgent tasks of two seconds that save nothing.
    Urgent,
    /// Less urgent tasks of nine seconds that save their state, and urgent ones.
    Saved,
}

/// Which queues need advice.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Advice {
    Nobody,
    /// The long-running one dear, the others cheap.
    OthersCheap,
    /// All dear.
    AllDear,
}

/// How the run is lost.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Loss {
    Failed,
    Silent,
}

struct Course {
    cell: FakeCell,
    lead: Scheduler,
    service: FakeService,
    load: Load,
    advice: Advice,
    others: u64,
    seen_starts: usize,
    waiting: usize,
}

impl Course {
    fn new(load: Load, advice: Advice) -> Course {
        let mut cell = FakeCell::new(WORKERS, CORES);
        let mut lead = cell.lead(false);
        (1..=HELPERS).for_each(|helper| lead.add_helper(HelperId(helper)));
        // One worker in three is good for the long-running job, as for the users' queue of that kind.
        let service = FakeService::new(DEAR, |step, life| {
            let number: u64 = life.0.trim_start_matches('w').parse().unwrap();
            step.job != JobId(LONG_RUNNING) || number.is_multiple_of(3)
        });
        let (others, seen_starts, waiting) = (0, 0, 0);
        let mut course = Course { cell, lead, service, load, advice, others, seen_starts, waiting };
        course.turn();
        let mut record =
            job(vec![StepSpec { long_running: true, estimate: TimeSpan(500), ..step(4, 4) }]);
        record.policy.priority = 1;
        record.policy.stretch_milli = 2_200;
        record.policy.target_latency = TimeSpan(2_500);
        record.policy.advice = (advice != Advice::Nobody).then_some(DEAR);
        course.cell.submit_led(&mut course.lead, LONG_RUNNING, record);
        course
    }

    fn filler(&self) -> JobRecord {
        let spec = step(OTHERS_WIDTH, 4);
        let mut record = match self.load {
            Load::Saved if self.others.is_multiple_of(2) => {
                let estimate = TimeSpan(9_000);
                let mut record = job(vec![StepSpec { checkpointing: true, estimate, ..spec }]);
                record.policy.priority = 2;
                record
            }
            Load::Saved => {
                job(vec![StepSpec { checkpointing: true, estimate: TimeSpan(9_000), ..spec }])
            }
            _ => job(vec![StepSpec { estimate: TimeSpan(2_000), ..spec }]),
        };
        record.policy.advice = match self.advice {
            Advice::Nobody => None,
            Advice::OthersCheap => Some(CHEAP),
            Advice::AllDear => Some(DEAR),
        };
        record
    }

    fn turn(&mut self) {
        let length = if self.load == Load::Saved { 9_000 } else { 2_000 };
        self.cell.end_old(TimeSpan(length));
        // A third of what fits waits at all times.
        let places = usize::from(WORKERS) * CORES as usize / 4;
        while self.load != Load::None && self.waiting < places / 3 {
            self.others += 1;
            let (id, record) = (OTHERS + self.others, self.filler());
            if record.policy.advice == Some(CHEAP) {
                self.service.own_costs.insert(JobId(id), CHEAP);
            }
            self.cell.submit_led(&mut self.lead, id, record);
            self.waiting += usize::from(OTHERS_WIDTH);
        }
        self.cell.turn_advised(&mut self.lead, &mut self.service);
        let new = &self.cell.starts[self.seen_starts..];
        let others = new.iter().filter(|(task, ..)| task.step.job != JobId(LONG_RUNNING));
        self.waiting = self.waiting.saturating_sub(others.count());
        self.seen_starts = self.cell.starts.len();
    }

    fn run_until(&mut self, at: Moment) {
        while self.cell.now < at {
            self.turn();
        }
    }

    fn is_whole(&self) -> bool {
        (0..4).all(|index| self.cell.place(task(LONG_RUNNING, 0, index)).is_some())
    }

    /// Runs until the long-running job is whole and of some age, and takes a run of it. Tells when it was whole again.
    fn restart(&mut self, age: TimeSpan, loss: Loss) -> Option<TimeSpan> {
        let begun = self.cell.now;
        while !self.is_whole() {
            assert!(self.cell.now < begun.after(TimeSpan(10_000)), "it never began");
            self.turn();
        }
        self.run_until(begun.after(age));
        let lost = self.cell.now;
        let number = self.cell.place(task(LONG_RUNNING, 0, 0)).unwrap();
        match loss {
            Loss::Failed => self.cell.end(number, task(LONG_RUNNING, 0, 0), RunEnd::Failed),
            Loss::Silent => self.cell.workers[number].cut = true,
        }
        let runs = |cell: &FakeCell| {
            let starts = cell.starts.iter();
            starts.filter(|(one, ..)| *one == task(LONG_RUNNING, 0, 0)).count()
        };
        let before = runs(&self.cell);
        while runs(&self.cell) == before || !self.is_whole() {
            if self.cell.now >= lost.after(TimeSpan(40_000)) {
                return None;
            }
            self.turn();
        }
        Some(self.cell.now.since(lost))
    }
}

#[track_caller]
fn assert_restarts(load: Load, advices: &[Advice], loss: Loss) {
    let mut late = Vec::new();
    for advice in advices {
        for age in [1_000, 20_000, 60_000] {
            let took = Course::new(load, *advice).restart(TimeSpan(age), loss);
            if took.is_none_or(|took| took > RESTART_WITHIN) {
                late.push((*advice, age, took));
            }
        }
    }
    assert!(late.is_empty(), "advice, age, time to the next run: {late:?}");
}

const ALL: [Advice; 3] = [Advice::Nobody, Advice::OthersCheap, Advice::AllDear];

#[test]
fn a_failed_run_is_followed_by_the_next_in_an_idle_cell() {
    assert_restarts(Load::None, &ALL, Loss::Failed);
}

#[test]
fn a_silent_worker_s_run_is_followed_by_the_next_in_an_idle_cell() {
    assert_restarts(Load::None, &ALL, Loss::Silent);
}

#[test]
fn a_failed_run_is_followed_by_the_next_beside_urgent_work() {
    assert_restarts(Load::Urgent, &ALL, Loss::Failed);
}

#[test]
fn a_silent_worker_s_run_is_followed_by_the_next_beside_urgent_work() {
    assert_restarts(Load::Urgent, &ALL, Loss::Silent);
}

#[test]
fn a_failed_run_is_followed_by_the_next_beside_saved_work() {
    assert_restarts(Load::Saved, &ALL, Loss::Failed);
}

#[test]
fn a_silent_worker_s_run_is_followed_by_the_next_beside_saved_work() {
    assert_restarts(Load::Saved, &ALL, Loss::Silent);
}
