//! Tasks that crash their workers, workers that restart after a crash, and the check of how often such a task is
//! started.

use std::collections::{HashMap, HashSet};

use sedgehill_cell::ids::{CellTask, RunNumber, StepId};
use sedgehill_cell::scheduler::{CellEvent, RunEnd, Scheduler};
use sedgehill_core::units::{Moment, TimeSpan};

use super::FakeCell;

/// Number of workers that a task has to crash before its further starts are counted.
const UNCOUNTED_CRASHES: usize = 3;
/// Number of workers that have to crash while running a task before its job may be given up.
const MIN_CRASHES_TO_GIVE_UP: usize = 2;
/// Number of further starts of a task that fails the test.
const FURTHER_STARTS_LIMIT: usize = 3;

/// How a task crashes its workers.
#[derive(Debug, Clone, Copy)]
pub struct CrashRule {
    /// Time from the start of the task until the worker crashes.
    pub after: TimeSpan,
    /// Time from the crash until the worker's next life starts.
    pub back: TimeSpan,
    /// Number of runs that crash their worker. Later runs do not.
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

/// The crashes of workers and their causes.
#[derive(Debug, Default)]
pub struct CrashLedger {
    rules: HashMap<CellTask, CrashRule>,
    pending: Vec<PendingCrash>,
    /// When the next lives of crashed workers start, with the numbers of those workers.
    pending_lives: Vec<(Moment, usize)>,
    /// Number of workers that each task crashed.
    caused: HashMap<CellTask, usize>,
    /// Number of starts of each task after it had crashed `UNCOUNTED_CRASHES` workers.
    further_starts: HashMap<CellTask, usize>,
    /// Failed runs of each task.
    failed: HashMap<CellTask, HashSet<RunNumber>>,
    /// Number of worker lives that ended while they ran a task, listed its end, or had a start of it on the way,
    /// whatever the cause.
    lost_workers: HashMap<CellTask, usize>,
    /// Whether all members of a gang's run have ever run at the same time.
    complete_gangs: HashMap<(StepId, RunNumber), bool>,
}

impl FakeCell {
    /// Makes a task crash the workers that start it.
    pub fn make_crash(&mut self, task: CellTask, rule: CrashRule) {
        self.crashes.rules.insert(task, rule);
    }

    /// Returns the number of workers that a task crashed.
    pub fn crashes_under(&self, task: CellTask) -> usize {
        self.crashes.caused.get(&task).copied().unwrap_or(0)
    }

    /// Removes a worker's runs and counts the loss for each task that ran there, whose end was not acknowledged, or
    /// whose start is on the way.
    pub(super) fn lose_runs(&mut self, number: usize) {
        let worker = &mut self.workers[number];
        let running = std::mem::take(&mut worker.runs).into_keys();
        let ended = worker.ends.iter().map(|end| end.task);
        let mut lost: HashSet<CellTask> = running.chain(ended).collect();
        let late = self.late.iter().filter(|late| late.number == number);
        lost.extend(late.map(|late| late.order.task));
        for task in lost {
            *self.crashes.lost_workers.entry(task).or_default() += 1;
        }
    }

    /// Returns whether a job may be given up: one of its tasks crashes workers, or at least
    /// `MIN_CRASHES_TO_GIVE_UP` workers crashed while running one.
    pub fn may_be_given_up(&self, id: u64) -> bool {
        let of_job = |task: &CellTask| task.step.job.0 == id;
        let crashes_workers = self.crashes.rules.keys().any(of_job);
        let mut lost = self.crashes.lost_workers.iter().filter(|(task, _)| of_job(task));
        crashes_workers || lost.any(|(_, count)| *count >= MIN_CRASHES_TO_GIVE_UP)
    }

    /// Returns whether the lead has counted a crash since its events were last taken.
    pub fn counted_crash(&self, scheduler: &mut Scheduler) -> bool {
        let events = scheduler.take_events();
        events.iter().any(|event| matches!(event, CellEvent::CrashCounted { .. }))
    }

    /// Returns how often a task was started.
    pub fn starts_of(&self, task: CellTask) -> usize {
        self.starts.iter().filter(|(started, ..)| *started == task).count()
    }

    /// Crashes a worker with all its runs. Nothing listens at its address until its next life starts after `back`.
    pub fn crash(&mut self, number: usize, back: TimeSpan) {
        let worker = &mut self.workers[number];
        if worker.ended || worker.down {
            return;
        }
        worker.down = true;
        self.lose_runs(number);
        self.crashes.pending_lives.push((self.now.after(back), number));
    }

    /// Returns a worker whose life has not ended, chosen by any number.
    pub fn living_worker(&self, pick: usize) -> usize {
        let numbers = 0..self.workers.len();
        let alive: Vec<usize> = numbers.filter(|number| !self.workers[*number].ended).collect();
        alive[pick % alive.len()]
    }

    /// Returns whether a task or a gang of a job has failed as often as its queue allows.
    pub fn has_failed(&self, id: u64) -> bool {
        self.crashes.failed.iter().any(|(task, runs)| task.step.job.0 == id && runs.len() >= 3)
    }

    /// Counts a failed run.
    pub(super) fn note_failed(&mut self, task: CellTask, run: RunNumber) {
        let spec = &self.store[&task.step.job].0.spec.steps[usize::from(task.step.step)];
        // A failed run of a gang counts once.
        let counted = if spec.gang { CellTask { index: 0, ..task } } else { task };
        self.crashes.failed.entry(counted).or_default().insert(run);
    }

    /// Ends the runs of gangs that lost a member after all members had started, as workers do.
    pub fn break_gangs(&mut self) {
        for (number, task) in self.all_runs() {
            let spec = &self.store[&task.step.job].0.spec.steps[usize::from(task.step.step)];
            let (gang, count) = (spec.gang, usize::from(spec.count));
            let Some(run) = self.workers[number].runs.get(&task).map(|running| running.run) else {
                continue;
            };
            let members = self.all_runs().into_iter().filter(|(at, member)| {
                member.step == task.step && self.workers[*at].runs[member].run == run
            });
            let was_complete = self.crashes.complete_gangs.entry((task.step, run)).or_default();
            let complete = members.count() == count;
            *was_complete |= complete;
            if gang && *was_complete && !complete {
                self.end(number, task, RunEnd::Broken);
            }
        }
    }

    /// Ends the runs of all jobs but one with `Done`.
    pub fn end_others(&mut self, id: u64) {
        for (number, task) in self.all_runs() {
            if task.step.job.0 != id {
                self.end(number, task, RunEnd::Done);
            }
        }
    }

    /// Ends runs of at least the given age with `Done`, except those of tasks that crash their workers.
    pub fn end_older_than(&mut self, age: TimeSpan) {
        let limit = self.now;
        for (number, task) in self.all_runs() {
            let since = self.workers[number].runs[&task].since;
            if limit >= since.after(age) && !self.will_crash(task) {
                self.end(number, task, RunEnd::Done);
            }
        }
    }

    /// Returns whether the latest run of a task crashes its worker.
    fn will_crash(&self, task: CellTask) -> bool {
        let rule = self.crashes.rules.get(&task);
        rule.is_some_and(|rule| self.starts_of(task) <= rule.runs)
    }

    /// Schedules the crash of a worker if the run that it has started is to crash it.
    pub(super) fn schedule_crash(&mut self, number: usize, task: CellTask, run: RunNumber) {
        if !self.will_crash(task) {
            return;
        }
        let rule = self.crashes.rules[&task];
        let at = self.now.after(rule.after);
        self.crashes.pending.push(PendingCrash { at, number, task, run, back: rule.back });
    }

    /// Checks that a task that crashes its workers is not started too often. Called for starts that are carried out
    /// without delay.
    pub(super) fn check_further_starts(&mut self, task: CellTask) {
        // A task whose later runs do not crash may be started any number of times.
        if self.crashes_under(task) < UNCOUNTED_CRASHES || !self.will_crash(task) {
            return;
        }
        let further = self.crashes.further_starts.entry(task).or_default();
        *further += 1;
        let further = *further;
        let starts: Vec<_> = self.starts.iter().filter(|(started, ..)| *started == task).collect();
        assert!(
            further < FURTHER_STARTS_LIMIT,
            "{task} was started {further} times after {UNCOUNTED_CRASHES} workers had crashed while running it: \
             {starts:?}, recorded: {:?}",
            self.progress(task.step.job.0).crash_histories
        );
    }

    /// Crashes the workers whose crash is due, and starts the lives that are due.
    pub(super) fn process_crashes(&mut self) {
        let now = self.now;
        let due: Vec<PendingCrash> =
            self.crashes.pending.extract_if(.., |crash| crash.at <= now).collect();
        for crash in due {
            let runs = &self.workers[crash.number].runs;
            if runs.get(&crash.task).is_some_and(|running| running.run == crash.run) {
                *self.crashes.caused.entry(crash.task).or_default() += 1;
                self.crash(crash.number, crash.back);
            }
        }
        let due_lives: Vec<(Moment, usize)> =
            self.crashes.pending_lives.extract_if(.., |(at, _)| *at <= now).collect();
        for (_, number) in due_lives {
            self.workers[number].down = false;
            match self.keeps_ids {
                true => self.restart_worker(number),
                false => self.replace_worker(number),
            }
        }
    }
}
