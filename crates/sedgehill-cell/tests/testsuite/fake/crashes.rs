//! Tasks that crash the workers that start them, workers that come back with another life, and the account of how
//! often such a task is started.

use std::collections::{HashMap, HashSet};

use sedgehill_cell::ids::{CellTask, RunNumber, StepId};
use sedgehill_cell::scheduler::{CellEvent, RunEnd, Scheduler};
use sedgehill_core::units::{Moment, TimeSpan};

use super::FakeCell;

/// Workers that crashed under a task before its further starts are counted.
const CRASHES_FREE: usize = 3;
/// Workers that crashed under a task, from which on it may be given up.
const CRASHES_GIVEN_UP: usize = 2;
/// The first of the further starts that is one too many.
const STARTS_TOO_MANY: usize = 3;

/// How a task crashes its workers.
#[derive(Debug, Clone, Copy)]
pub struct CrashRule {
    /// From its start until the worker crashes.
    pub after: TimeSpan,
    /// From the crash until the next life is there.
    pub back: TimeSpan,
    /// How many of its runs crash, the first ones; all others do their work.
    pub runs: usize,
}

impl Default for CrashRule {
    fn default() -> CrashRule {
        CrashRule { after: TimeSpan(10), back: TimeSpan(3_000), runs: usize::MAX }
    }
}

/// A worker that is about to crash.
#[derive(Debug)]
struct PendingCrash {
    at: Moment,
    number: usize,
    task: CellTask,
    run: RunNumber,
    back: TimeSpan,
}

/// What happened to workers, and what tasks did to them.
#[derive(Debug, Default)]
pub struct CrashLedger {
    habits: HashMap<CellTask, CrashRule>,
    pending: Vec<PendingCrash>,
    /// Lives that are to begin, by the number of the worker that crashed.
    returns: Vec<(Moment, usize)>,
    /// Workers that crashed under a task that crashes them.
    under: HashMap<CellTask, usize>,
    /// Starts of a task after so many workers had crashed under it that no more are free.
    further: HashMap<CellTask, usize>,
    /// Runs of a task that failed.
    failed: HashMap<CellTask, HashSet<RunNumber>>,
    /// Workers that crashed under a task, by whose doing ever.
    lost: HashMap<CellTask, usize>,
    /// Gangs by their run, and whether they ever were whole.
    gangs: HashMap<(StepId, RunNumber), bool>,
}

impl FakeCell {
    /// Has a task crash the workers that start it.
    pub fn make_crash(&mut self, task: CellTask, habit: CrashRule) {
        self.crashes.habits.insert(task, habit);
    }

    /// Workers that crashed under a task by its doing.
    pub fn crashes_under(&self, task: CellTask) -> usize {
        self.crashes.under.get(&task).copied().unwrap_or(0)
    }

    /// What runs on a worker is lost with it, and so is all that nobody has heard of: ends that were not noted, and
    /// starts on their way.
    pub(super) fn lose_all(&mut self, number: usize) {
        let worker = &mut self.workers[number];
        let running = std::mem::take(&mut worker.runs).into_keys();
        let ended = worker.ends.iter().map(|end| end.task);
        let mut lost: HashSet<CellTask> = running.chain(ended).collect();
        let coming = self.late.iter().filter(|late| late.number == number);
        lost.extend(coming.map(|late| late.order.task));
        for task in lost {
            *self.crashes.lost.entry(task).or_default() += 1;
        }
    }

    /// Whether a job may be given up: one of its tasks crashes workers, or so many crashed under one.
    pub fn may_be_given_up(&self, id: u64) -> bool {
        let of_job = |task: &CellTask| task.step.job.0 == id;
        let guilty = self.crashes.habits.keys().any(of_job);
        let mut lost = self.crashes.lost.iter().filter(|(task, _)| of_job(task));
        guilty || lost.any(|(_, count)| *count >= CRASHES_GIVEN_UP)
    }

    /// Whether the lead has counted a crash since its events were last taken.
    pub fn counted_crash(&self, scheduler: &mut Scheduler) -> bool {
        let events = scheduler.take_events();
        events.iter().any(|event| matches!(event, CellEvent::CrashCounted { .. }))
    }

    /// How often a task was started.
    pub fn starts_of(&self, task: CellTask) -> usize {
        self.starts.iter().filter(|(started, ..)| *started == task).count()
    }

    /// A worker crashes with all that runs there; nothing listens at its address until the next life begins.
    pub fn crash(&mut self, number: usize, back: TimeSpan) {
        let worker = &mut self.workers[number];
        if worker.ended || worker.down {
            return;
        }
        worker.down = true;
        self.lose_all(number);
        self.crashes.returns.push((self.now.after(back), number));
    }

    /// A worker that lives, by any number.
    pub fn living_worker(&self, pick: usize) -> usize {
        let numbers = 0..self.workers.len();
        let living: Vec<usize> = numbers.filter(|number| !self.workers[*number].ended).collect();
        living[pick % living.len()]
    }

    /// Whether as many runs of a task or a gang failed as its queue allows.
    pub fn has_failed(&self, id: u64) -> bool {
        self.crashes.failed.iter().any(|(task, runs)| task.step.job.0 == id && runs.len() >= 3)
    }

    /// A run failed.
    pub(super) fn note_failed(&mut self, task: CellTask, run: RunNumber) {
        let spec = &self.store[&task.step.job].0.spec.steps[usize::from(task.step.step)];
        // A failed run of a gang counts once.
        let counted = if spec.gang { CellTask { index: 0, ..task } } else { task };
        self.crashes.failed.entry(counted).or_default().insert(run);
    }

    /// Ends gangs that are not whole, as workers do when a member is lost.
    pub fn break_gangs(&mut self) {
        for (number, task) in self.all_runs() {
            let spec = &self.store[&task.step.job].0.spec.steps[usize::from(task.step.step)];
            let (gang, count) = (spec.gang, usize::from(spec.count));
            let Some(run) = self.workers[number].runs.get(&task).map(|there| there.run) else {
                continue;
            };
            let members = self.all_runs().into_iter().filter(|(at, member)| {
                member.step == task.step && self.workers[*at].runs[member].run == run
            });
            let known = self.crashes.gangs.entry((task.step, run)).or_default();
            let whole = members.count() == count;
            *known |= whole;
            if gang && *known && !whole {
                self.end(number, task, RunEnd::Broken);
            }
        }
    }

    /// Ends well what runs of all jobs but one.
    pub fn end_others(&mut self, id: u64) {
        for (number, task) in self.all_runs() {
            if task.step.job.0 != id {
                self.end(number, task, RunEnd::Done);
            }
        }
    }

    /// Ends well what has run for so long, but for tasks that crash their workers.
    pub fn end_older_than(&mut self, age: TimeSpan) {
        let limit = self.now;
        for (number, task) in self.all_runs() {
            let since = self.workers[number].runs[&task].since;
            if limit >= since.after(age) && !self.will_crash(task) {
                self.end(number, task, RunEnd::Done);
            }
        }
    }

    /// Whether the run of a task that was started last crashes its worker.
    fn will_crash(&self, task: CellTask) -> bool {
        let habit = self.crashes.habits.get(&task);
        habit.is_some_and(|habit| self.starts_of(task) <= habit.runs)
    }

    /// A start was carried out.
    pub(super) fn note_crashing_start(&mut self, number: usize, task: CellTask, run: RunNumber) {
        if !self.will_crash(task) {
            return;
        }
        let habit = self.crashes.habits[&task];
        let at = self.now.after(habit.after);
        self.crashes.pending.push(PendingCrash { at, number, task, run, back: habit.back });
    }

    /// A start was ordered and carried out without delay.
    pub(super) fn check_crashing_start(&mut self, task: CellTask) {
        // One that has done with crashing is like any other.
        if self.crashes_under(task) < CRASHES_FREE || !self.will_crash(task) {
            return;
        }
        let further = self.crashes.further.entry(task).or_default();
        *further += 1;
        let further = *further;
        let starts: Vec<_> = self.starts.iter().filter(|(started, ..)| *started == task).collect();
        assert!(
            further < STARTS_TOO_MANY,
            "{task} was started {further} times after {CRASHES_FREE} workers had crashed under it: {starts:?}, kept: {:?}",
            self.progress(task.step.job.0).crash_histories
        );
    }

    /// Crashes what is due, and begins the lives that are due.
    pub(super) fn pass_crashes(&mut self) {
        let now = self.now;
        let due: Vec<PendingCrash> =
            self.crashes.pending.extract_if(.., |crash| crash.at <= now).collect();
        for crash in due {
            let runs = &self.workers[crash.number].runs;
            if runs.get(&crash.task).is_some_and(|there| there.run == crash.run) {
                *self.crashes.under.entry(crash.task).or_default() += 1;
                self.crash(crash.number, crash.back);
            }
        }
        let back: Vec<(Moment, usize)> =
            self.crashes.returns.extract_if(.., |(at, _)| *at <= now).collect();
        for (_, number) in back {
            self.workers[number].down = false;
            match self.keeps_ids {
                true => self.restart_worker(number),
                false => self.replace_worker(number),
            }
        }
    }
}
