//! A job that is being scheduled, with its steps and tasks.

use std::rc::Rc;

use sedgehill_core::units::{Moment, TimeSpan};

use super::advice::StepAdvice;
use super::message::WorkerKey;
use super::organisations::OrganisationKey;
use super::stall::StepStall;
use crate::crash_history::{CrashHistory, StartRestriction};
use crate::ids::{CellTask, FencingToken, JobId, OrganisationName, RunNumber, StepId, WorkerLife};
use crate::job::{JobRecord, RepeatSpec, StepSpec};
use crate::progress::{JobProgress, JobState, LossWait, TaskLocation, TaskProgress};

/// Run numbers of a task that one lead can use without recording them. A lead counts from its token
/// times this number, so that two leads never use one number for different runs. Refused starts use
/// one number each 30 ms, so these last for two minutes of refusals, and for a million leads.
const RUN_NUMBERS_PER_LEAD: u64 = 4_096;

/// Whether a task is placed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TaskPhase {
    /// It runs nowhere, as far as is known, and must not start before the given moment.
    Waiting(Moment),
    /// It runs, or may run, on a worker.
    Placed(WorkerKey, RunNumber),
}

/// The state of one task.
#[derive(Debug, Clone)]
pub struct ActiveTask {
    /// Whether it is placed.
    pub phase: TaskPhase,
    /// The progress that is recorded in the store.
    pub progress: TaskProgress,
    /// The worker on which its last run failed.
    pub failed_at: Option<WorkerKey>,
    /// The number of its runs in a row that failed soon after their start.
    pub consecutive_failures: u32,
    /// Its history of workers that were lost while it ran there.
    pub crash_history: CrashHistory,
    /// How often a run of it was stopped because it took far too long.
    pub moves: u32,
    /// Since when it has been kept apart from other suspects although there is room.
    pub kept_apart_since: Option<Moment>,
    /// The current run, if its start counts against the number of starts allowed after crashes.
    pub counted_start: Option<RunNumber>,
    /// An earlier lead recorded a start of it.
    pub started_by_earlier_lead: bool,
    /// The only worker that may have a run of it, and the lead that recorded so; none if it is not
    /// known.
    pub location: Option<(WorkerLife, FencingToken)>,
    /// The run that was stopped last to make room under a limit, until a later run has saved new
    /// state.
    pub preempted_run: Option<RunNumber>,
}

impl ActiveTask {
    /// Whether it is not done and runs nowhere, as far as is known.
    pub fn waits(&self) -> bool {
        !self.progress.done && matches!(self.phase, TaskPhase::Waiting(_))
    }

    /// Whether it may be started now if there is room.
    pub fn is_ready(&self, now: Moment) -> bool {
        let waits = matches!(self.phase, TaskPhase::Waiting(from) if now >= from);
        waits
            && !self.progress.done
            && self.crash_history.start_restriction() != StartRestriction::Deferred
    }
}

/// The state of one step in one repetition of the job.
#[derive(Debug)]
pub struct ActiveStep {
    /// Its id.
    pub id: StepId,
    /// The index of its first task among the tasks of the job.
    pub first_task: usize,
    /// The number of tasks that are not done.
    pub unfinished: usize,
    /// The advice service's answers.
    pub advice: StepAdvice,
    /// Whether the limit of its organisation kept all its waiting tasks from starting last time.
    pub limit_reached: bool,
    /// Set while the step is due and none of its tasks runs.
    pub stall: Option<StepStall>,
}

/// Whether it is recorded in the store that tasks of the job may have started.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StartFlag {
    /// It is neither recorded nor about to be.
    Unset,
    /// It is in the current batch or the next one.
    Pending,
    /// It is recorded, so tasks may be started.
    Recorded,
}

/// The state of a job that is being scheduled.
#[derive(Debug)]
pub struct ActiveJob {
    /// The job.
    pub id: JobId,
    /// The job as accepted.
    pub record: Rc<JobRecord>,
    /// Its organisation; none if no limit applies.
    pub owner: Option<OrganisationKey>,
    /// It was accepted when its organisation had used up its share of jobs.
    pub over_share: bool,
    /// When it was accepted, by this box's clock.
    pub accepted: Moment,
    /// Its progress as callers see it.
    pub state: JobState,
    /// Whether the caller cancelled it.
    pub cancelled: bool,
    /// Whether tasks may be started.
    pub start_flag: StartFlag,
    /// An earlier lead may have started tasks of it that this lead does not know of.
    pub unsettled_starts: bool,
    /// An earlier lead may have started tasks of it. Unlike `unsettled_starts` this stays set after
    /// the take-over.
    pub started_by_earlier_lead: bool,
    /// A later lead may start tasks of it.
    pub led_elsewhere: bool,
    /// All tasks, step after step.
    pub tasks: Vec<ActiveTask>,
    /// All steps of all repetitions.
    pub steps: Vec<ActiveStep>,
}

impl ActiveJob {
    /// Creates the state of a job from its recorded progress, for the lead that holds `token`.
    pub fn new(
        id: JobId,
        record: Rc<JobRecord>,
        accepted: Moment,
        progress: &JobProgress,
        token: FencingToken,
    ) -> ActiveJob {
        let mut tasks: Vec<ActiveTask> = progress
            .tasks_of(&record.spec)
            .into_iter()
            .map(|progress| ActiveTask {
                phase: TaskPhase::Waiting(Moment(0)),
                started_by_earlier_lead: progress.run.0 > 0,
                progress,
                failed_at: None,
                consecutive_failures: 0,
                crash_history: CrashHistory::default(),
                moves: 0,
                kept_apart_since: None,
                counted_start: None,
                location: None,
                preempted_run: None,
            })
            .collect();
        for location in &progress.locations {
            if let Some(task) = tasks.get_mut(location.task as usize) {
                task.location = Some((location.life.clone(), location.recorded_by));
            }
        }
        for (index, crash_history) in &progress.crash_histories {
            if let Some(task) = tasks.get_mut(*index as usize) {
                task.crash_history = crash_history.clone();
            }
        }
        for (index, correlated_ms) in &progress.correlated_ms {
            if let Some(task) = tasks.get_mut(*index as usize) {
                task.crash_history.correlated_ms = correlated_ms.clone();
            }
        }
        for (index, unanswered) in &progress.unanswered {
            if let Some(task) = tasks.get_mut(*index as usize) {
                task.crash_history.unanswered = unanswered.clone();
            }
        }
        for (index, waits) in &progress.loss_waits {
            let Some(task) = tasks.get_mut(*index as usize) else { continue };
            for unresolved in &mut task.crash_history.unresolved {
                let wait = waits.iter().find(|wait| wait.run == unresolved.run);
                unresolved.waited = wait.map(|wait| wait.waited);
            }
        }
        if progress.may_have_started {
            let first = u32::try_from(token.0 * RUN_NUMBERS_PER_LEAD).unwrap_or(u32::MAX - 1);
            for task in &mut tasks {
                task.progress.run.0 = task.progress.run.0.max(first);
            }
        }
        let mut steps = Vec::new();
        let mut first = 0;
        for repetition in 0..record.spec.repetitions() {
            for (number, spec) in record.spec.steps.iter().enumerate() {
                let count = usize::from(spec.count);
                let unfinished =
                    tasks[first..first + count].iter().filter(|task| !task.progress.done);
                steps.push(ActiveStep {
                    id: StepId { job: id, repetition, step: number as u16 },
                    first_task: first,
                    unfinished: unfinished.count(),
                    advice: StepAdvice::default(),
                    limit_reached: false,
                    stall: None,
                });
                first += count;
            }
        }
        let start_flag = match progress.may_have_started {
            true => StartFlag::Recorded,
            false => StartFlag::Unset,
        };
        ActiveJob {
            id,
            record,
            owner: None,
            over_share: false,
            accepted,
            state: progress.state,
            cancelled: false,
            start_flag,
            unsettled_starts: progress.may_have_started,
            started_by_earlier_lead: progress.may_have_started,
            led_elsewhere: false,
            tasks,
            steps,
        }
    }

    /// Returns the index of a step among all steps; none if there is no such step.
    pub fn step_index(&self, step: &StepId) -> Option<usize> {
        let steps_per_repetition = self.record.spec.steps.len();
        let index = step.repetition as usize * steps_per_repetition + usize::from(step.step);
        (usize::from(step.step) < steps_per_repetition && index < self.steps.len()).then_some(index)
    }

    /// Returns the index of a task among all tasks; none if there is no such task.
    pub fn task_index(&self, task: &CellTask) -> Option<usize> {
        let step = self.step_index(&task.step)?;
        let count = self.step_spec(step).count;
        (task.index < count).then(|| self.steps[step].first_task + usize::from(task.index))
    }

    /// The step as submitted.
    pub fn step_spec(&self, step: usize) -> &StepSpec {
        self.record.step_spec(step)
    }

    /// The tasks of a step.
    pub fn step_tasks(&self, step: usize) -> &[ActiveTask] {
        let first = self.steps[step].first_task;
        &self.tasks[first..first + usize::from(self.step_spec(step).count)]
    }

    /// Returns when the repetition of a step is due, in milliseconds since 1970; none if the job
    /// has no schedule.
    fn due_unix_ms(&self, step: usize) -> Option<u64> {
        let repetition = u64::from(self.steps[step].id.repetition);
        let due = |repeat: RepeatSpec| repeat.start_at_ms + repetition * repeat.interval.0;
        self.record.spec.repeat.map(due)
    }

    /// Returns when the time for the objective of a step starts: at the acceptance of the job, or
    /// when the repetition is due if that is later. `unix_ms` is the time of day at `now`.
    pub fn objective_start(&self, step: usize, unix_ms: u64, now: Moment) -> Moment {
        let Some(due) = self.due_unix_ms(step) else { return self.accepted };
        let due = Moment((now.0 + due).saturating_sub(unix_ms));
        due.max(self.accepted)
    }

    /// Whether the repetition of the step is due and the steps before it are done.
    pub fn is_due(&self, step: usize, unix_ms: u64) -> bool {
        if self.due_unix_ms(step).is_some_and(|due| unix_ms < due) {
            return false;
        }
        let steps_per_repetition = self.record.spec.steps.len();
        let base = step - step % steps_per_repetition;
        let after = &self.step_spec(step).after;
        after.iter().all(|before| self.steps[base + usize::from(*before)].unfinished == 0)
    }

    /// Returns the longest chain of estimates over the unfinished steps in the repetition of a
    /// step.
    pub fn remaining_chain(&self, step: usize) -> TimeSpan {
        let steps_per_repetition = self.record.spec.steps.len();
        let base = step - step % steps_per_repetition;
        let mut ends: Vec<u64> = Vec::with_capacity(steps_per_repetition);
        for (number, spec) in self.record.spec.steps.iter().enumerate() {
            let begin = spec.after.iter().map(|before| ends[usize::from(*before)]).max();
            let own_estimate = match self.steps[base + number].unfinished {
                0 => 0,
                _ => spec.estimate.as_millis(),
            };
            ends.push(begin.unwrap_or(0) + own_estimate);
        }
        TimeSpan(ends.into_iter().max().unwrap_or(0))
    }

    /// Whether it has tasks that run until the job is cancelled.
    pub fn is_long_running(&self) -> bool {
        self.record.spec.steps.iter().any(|step| step.long_running)
    }

    /// Whether every task is done.
    pub fn is_done(&self) -> bool {
        self.steps.iter().all(|step| step.unfinished == 0)
    }

    /// Whether no task is to be started any more: the job is cancelled or has a final state.
    pub fn is_over(&self) -> bool {
        self.cancelled || self.state.is_final()
    }

    /// Returns the progress to record in the store.
    pub fn progress(&self) -> JobProgress {
        let untouched = TaskProgress::default();
        // Only the state of a finished job matters.
        let omit_tasks =
            self.state.is_final() || self.tasks.iter().all(|task| task.progress == untouched);
        let tasks = match omit_tasks {
            true => Vec::new(),
            false => self.tasks.iter().map(|task| task.progress.clone()).collect(),
        };
        JobProgress {
            state: self.state,
            may_have_started: self.start_flag != StartFlag::Unset,
            tasks,
            organisation: self.finished_owner(),
            crash_histories: self.crash_histories(),
            correlated_ms: self.history_lists(|crash_history| &crash_history.correlated_ms),
            locations: self.locations(),
            unanswered: self.history_lists(|crash_history| &crash_history.unanswered),
            loss_waits: self.loss_waits(),
            part_size: None,
        }
    }

    /// Returns where its long-running tasks run, or last ran; nothing once the job has a final
    /// state.
    fn locations(&self) -> Vec<TaskLocation> {
        let tasks = self.tasks.iter().enumerate().filter(|_| !self.state.is_final());
        let location = |(number, task): (usize, &ActiveTask)| {
            let (life, recorded_by) = task.location.clone()?;
            Some(TaskLocation { task: number as u32, life, recorded_by })
        };
        tasks.filter_map(location).collect()
    }

    /// Whether a task has lost a worker that crashed or may have crashed.
    pub fn has_suspects(&self) -> bool {
        self.tasks.iter().any(|task| !task.crash_history.is_empty())
    }

    /// Whether a task that must run alone, or may have to, is waiting.
    pub fn wants_alone(&self) -> bool {
        self.tasks.iter().any(|task| {
            let restriction = task.crash_history.start_restriction();
            let isolated =
                matches!(restriction, StartRestriction::Exclusive | StartRestriction::Deferred);
            isolated && task.waits()
        })
    }

    /// Returns one list of each task's crash history, where it is not empty; nothing once the job
    /// has a final state.
    fn history_lists<T: Clone>(
        &self,
        list: impl Fn(&CrashHistory) -> &Vec<T>,
    ) -> Vec<(u32, Vec<T>)> {
        let tasks = self.tasks.iter().enumerate().filter(|_| !self.state.is_final());
        let histories = tasks.filter(|(_, task)| !list(&task.crash_history).is_empty());
        histories.map(|(index, task)| (index as u32, list(&task.crash_history).clone())).collect()
    }

    /// Returns how long leads have waited for news of its lost runs; nothing once the job has a final state.
    fn loss_waits(&self) -> Vec<(u32, Vec<LossWait>)> {
        let tasks = self.tasks.iter().enumerate().filter(|_| !self.state.is_final());
        let waits = tasks.map(|(index, task)| {
            let unresolved = task.crash_history.unresolved.iter();
            let waits = unresolved.filter_map(|unresolved| {
                Some(LossWait { run: unresolved.run, waited: unresolved.waited? })
            });
            (index as u32, waits.collect::<Vec<_>>())
        });
        waits.filter(|(_, waits)| !waits.is_empty()).collect()
    }

    /// Returns the crash histories of its tasks; nothing once the job has a final state.
    fn crash_histories(&self) -> Vec<(u32, CrashHistory)> {
        let tasks = self.tasks.iter().enumerate().filter(|_| !self.state.is_final());
        let histories = tasks.filter(|(_, task)| !task.crash_history.is_empty());
        histories.map(|(index, task)| (index as u32, task.crash_history.clone())).collect()
    }

    /// Returns the organisation once the job has a final state, as the accepted record, which names
    /// it, is dropped then.
    fn finished_owner(&self) -> Option<OrganisationName> {
        let owner = self.record.owner.as_ref().filter(|_| self.state.is_final());
        owner.map(|owner| owner.organisation.clone())
    }

    /// All tasks in the order of their steps, with their ids.
    pub fn all_tasks(&self) -> impl Iterator<Item = (CellTask, &ActiveTask)> {
        let steps = self.steps.iter().enumerate();
        steps.flat_map(|(number, step)| {
            let tasks = self.step_tasks(number).iter().enumerate();
            tasks.map(|(index, task)| (CellTask { step: step.id, index: index as u16 }, task))
        })
    }

    /// Returns the runs that are placed, with their workers.
    pub fn placed(&self) -> Vec<(CellTask, WorkerKey, RunNumber)> {
        let placed = |(id, task): (CellTask, &ActiveTask)| match task.phase {
            TaskPhase::Placed(worker, run) => Some((id, worker, run)),
            TaskPhase::Waiting(_) => None,
        };
        self.all_tasks().filter_map(placed).collect()
    }
}
