//! Tasks that crash the workers that start them, workers that come back with another life, and the account of how
//! often such a task is started.

use std::collections::HashMap;

use sedgehill_cell::ids::{CellTask, RunNumber, StepId};
use sedgehill_cell::scheduler::RunEnd;
use sedgehill_core::units::{Moment, TimeSpan};

use super::FakeCell;

/// Workers that crashed under a task before its further starts are counted.
const CRASHES_FREE: usize = 3;
/// The first of the further starts that is one too many.
const STARTS_TOO_MANY: usize = 3;

/// How a task crashes its workers.
#[derive(Debug, Clone, Copy)]
pub struct CrashHabit {
    /// From its start until the worker crashes.
    pub after: TimeSpan,
    /// From the crash until the next life is there.
    pub back: TimeSpan,
    /// How many of its runs crash, the first ones; all others do their work.
    pub runs: usize,
}

impl Default for CrashHabit {
    fn default() -> CrashHabit {
        CrashHabit { after: TimeSpan(10), back: TimeSpan(3_000), runs: usize::MAX }
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
    habits: HashMap<CellTask, CrashHabit>,
    pending: Vec<PendingCrash>,
    /// Lives that are to begin, by the number of the worker that crashed.
    returns: Vec<(Moment, usize)>,
    /// Workers that crashed under a task that crashes them.
    under: HashMap<CellTask, usize>,
    /// Starts of a task after so many workers had crashed under it that no more are free.
    further: HashMap<CellTask, usize>,
    /// Gangs by their run, and whether they ever were whole.
    gangs: HashMap<(StepId, RunNumber), bool>,
}

impl FakeCell {
    /// Has a task crash the workers that start it.
    pub fn make_crash(&mut self, task: CellTask, habit: CrashHabit) {
        self.crashes.habits.insert(task, habit);
    }

    /// Workers that crashed under a task by its doing.
    pub fn crashes_under(&self, task: CellTask) -> usize {
        self.crashes.under.get(&task).copied().unwrap_or(0)
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
        worker.runs.clear();
        self.crashes.returns.push((self.now.after(back), number));
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

    /// Ends well what has run for so long, but for tasks that crash their workers.
    pub fn end_older_than(&mut self, age: TimeSpan) {
        let limit = self.now;
        for (number, task) in self.all_runs() {
            let since = self.workers[number].runs[&task].since;
            if limit >= since.after(age) && !self.crashes.habits.contains_key(&task) {
                self.end(number, task, RunEnd::Done);
            }
        }
    }

    /// A start was carried out.
    pub(super) fn note_crashing_start(&mut self, number: usize, task: CellTask, run: RunNumber) {
        let Some(habit) = self.crashes.habits.get(&task).copied() else { return };
        if self.starts_of(task) > habit.runs {
            return;
        }
        let at = self.now.after(habit.after);
        self.crashes.pending.push(PendingCrash { at, number, task, run, back: habit.back });
    }

    /// A start was ordered and carried out without delay.
    pub(super) fn check_crashing_start(&mut self, task: CellTask) {
        if self.crashes_under(task) < CRASHES_FREE {
            return;
        }
        let further = self.crashes.further.entry(task).or_default();
        *further += 1;
        assert!(
            *further < STARTS_TOO_MANY,
            "{task} was started {further} times after {CRASHES_FREE} workers had crashed under it"
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
            self.begin_anew(number);
        }
    }
}
