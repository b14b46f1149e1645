//! A job as the lead works on it.

use std::rc::Rc;

use sedgehill_core::units::{Moment, TimeSpan};

use super::advice::StepAdvice;
use super::message::WorkerKey;
use super::organisations::OrganisationKey;
use super::stall::StepStall;
use crate::ids::{CellTask, FencingToken, JobId, OrganisationName, RunNumber, StepId, WorkerLife};
use crate::job::{JobRecord, RepeatSpec, StepSpec};
use crate::progress::{JobProgress, JobState, TaskPlace, TaskProgress};
use crate::suspicion::{SuspectStage, TaskSuspicion};

/// Runs of a task that one lead may order without recording any of them. Each lead counts from its
/// token times this number, so that no two use the same number for different runs. A start that is refused uses a
/// number each 30 ms, so these last for two minutes of refusals, and for a million leads.
const RUN_NUMBERS_PER_LEAD: u64 = 4_096;

/// Where a task is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TaskPhase {
    /// It runs nowhere, as far as is known, and not before the given moment.
    Waiting(Moment),
    /// It runs on a worker, or may.
    Placed(WorkerKey, RunNumber),
}

/// One task.
#[derive(Debug, Clone)]
pub struct ActiveTask {
    /// Where it is.
    pub phase: TaskPhase,
    /// What is kept of it.
    pub progress: TaskProgress,
    /// Where its last run failed.
    pub failed_at: Option<WorkerKey>,
    /// What is known of the workers that were lost under it.
    pub suspicion: TaskSuspicion,
    /// The run under way, if its start counts among those that are allowed after crashes.
    pub counted_start: Option<RunNumber>,
    /// A start of it was recorded by an earlier lead.
    pub started_by_earlier_lead: bool,
    /// The only worker that may have a run of it, with the lead that knows so; none if that is not known.
    pub location: Option<(WorkerLife, FencingToken)>,
}

impl ActiveTask {
    /// Whether it is to be started, now or later.
    pub fn waits(&self) -> bool {
        !self.progress.done && matches!(self.phase, TaskPhase::Waiting(_))
    }

    /// Whether it may be started now, given room.
    pub fn is_ready(&self, now: Moment) -> bool {
        let waits = matches!(self.phase, TaskPhase::Waiting(from) if now >= from);
        waits && !self.progress.done && self.suspicion.stage() != SuspectStage::Held
    }
}

/// One step of one repetition.
#[derive(Debug)]
pub struct ActiveStep {
    /// Its id.
    pub id: StepId,
    /// Its tasks' place among the tasks of the job.
    pub first_task: usize,
    /// Tasks that are not done.
    pub unfinished: usize,
    /// What the advice service said.
    pub advice: StepAdvice,
    /// Whether it was last held back by the limit of its organisation.
    pub limit_reached: bool,
    /// Set while its turn has come and nothing of it runs.
    pub stall: Option<StepStall>,
}

/// Whether it is recorded that tasks of the job may run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StartFlag {
    /// Not even asked for.
    Unset,
    /// In this batch, or one to come.
    Pending,
    /// Recorded: tasks may be started.
    Recorded,
}

/// A job as the lead works on it.
#[derive(Debug)]
pub struct ActiveJob {
    /// The job.
    pub id: JobId,
    /// What was accepted.
    pub record: Rc<JobRecord>,
    /// Whose it is; none if nobody's limit bounds it.
    pub owner: Option<OrganisationKey>,
    /// What its organisation is due came before it.
    pub over_share: bool,
    /// When it was accepted, by this box's clock.
    pub accepted: Moment,
    /// How far it is.
    pub state: JobState,
    /// Whether the caller cancelled it.
    pub cancelled: bool,
    /// Whether tasks may be started.
    pub start_flag: StartFlag,
    /// An earlier lead may have started tasks of it, unknown to this one.
    pub unsettled_starts: bool,
    /// The same, whether or not that is settled by now.
    pub started_by_earlier_lead: bool,
    /// A later lead may start tasks of it.
    pub led_elsewhere: bool,
    /// All tasks, step after step.
    pub tasks: Vec<ActiveTask>,
    /// All steps of all repetitions.
    pub steps: Vec<ActiveStep>,
}

impl ActiveJob {
    /// A job with what was kept of its course, for the lead that holds `token`.
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
                suspicion: TaskSuspicion::default(),
                counted_start: None,
                location: None,
            })
            .collect();
        for place in &progress.places {
            if let Some(task) = tasks.get_mut(place.task as usize) {
                task.location = Some((place.life.clone(), place.by));
            }
        }
        for (index, suspicion) in &progress.suspects {
            if let Some(task) = tasks.get_mut(*index as usize) {
                task.suspicion = suspicion.clone();
            }
        }
        for (index, together) in &progress.together {
            if let Some(task) = tasks.get_mut(*index as usize) {
                task.suspicion.together = together.clone();
            }
        }
        for (index, unanswered) in &progress.unanswered {
            if let Some(task) = tasks.get_mut(*index as usize) {
                task.suspicion.unanswered = unanswered.clone();
            }
        }
        if progress.ordered {
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
        let start_flag = match progress.ordered {
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
            unsettled_starts: progress.ordered,
            started_by_earlier_lead: progress.ordered,
            led_elsewhere: false,
            tasks,
            steps,
        }
    }

    /// The place of a step among all steps, if there is such a step.
    pub fn step_index(&self, step: &StepId) -> Option<usize> {
        let steps_per_repetition = self.record.spec.steps.len();
        let index = step.repetition as usize * steps_per_repetition + usize::from(step.step);
        (usize::from(step.step) < steps_per_repetition && index < self.steps.len()).then_some(index)
    }

    /// The place of a task among all tasks, if there is such a task.
    pub fn task_index(&self, task: &CellTask) -> Option<usize> {
        let step = self.step_index(&task.step)?;
        let count = self.step_spec(step).count;
        (task.index < count).then(|| self.steps[step].first_task + usize::from(task.index))
    }

    /// What the caller said of a step.
    pub fn step_spec(&self, step: usize) -> &StepSpec {
        self.record.step_spec(step)
    }

    /// The tasks of a step.
    pub fn step_tasks(&self, step: usize) -> &[ActiveTask] {
        let first = self.steps[step].first_task;
        &self.tasks[first..first + usize::from(self.step_spec(step).count)]
    }

    /// When the repetition of a step is due, in milliseconds since 1970; none if the job has no times.
    fn due_unix_ms(&self, step: usize) -> Option<u64> {
        let repetition = u64::from(self.steps[step].id.repetition);
        let due = |repeat: RepeatSpec| repeat.start_at_ms + repetition * repeat.interval.0;
        self.record.spec.repeat.map(due)
    }

    /// From when the objective of a step counts: the acceptance of the job, or the time of the repetition if that is
    /// later. `unix_ms` is the time of day at `now`.
    pub fn objective_start(&self, step: usize, unix_ms: u64, now: Moment) -> Moment {
        let Some(due) = self.due_unix_ms(step) else { return self.accepted };
        let due = Moment((now.0 + due).saturating_sub(unix_ms));
        due.max(self.accepted)
    }

    /// Whether the time of the step has come, and the steps before it are done.
    pub fn is_due(&self, step: usize, unix_ms: u64) -> bool {
        if self.due_unix_ms(step).is_some_and(|due| unix_ms < due) {
            return false;
        }
        let steps_per_repetition = self.record.spec.steps.len();
        let base = step - step % steps_per_repetition;
        let after = &self.step_spec(step).after;
        after.iter().all(|before| self.steps[base + usize::from(*before)].unfinished == 0)
    }

    /// The longest chain of estimates over steps that are not done, in the repetition of a step.
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

    /// Whether it has tasks that run until it is cancelled.
    pub fn is_long_running(&self) -> bool {
        self.record.spec.steps.iter().any(|step| step.long_running)
    }

    /// Whether every task is done.
    pub fn is_done(&self) -> bool {
        self.steps.iter().all(|step| step.unfinished == 0)
    }

    /// Whether no task is to be started any more.
    pub fn is_over(&self) -> bool {
        self.cancelled || self.state.is_final()
    }

    /// What is kept of the job's course now.
    pub fn progress(&self) -> JobProgress {
        let untouched = TaskProgress::default();
        // Of a job that is over only the state matters.
        let omit_tasks =
            self.state.is_final() || self.tasks.iter().all(|task| task.progress == untouched);
        let tasks = match omit_tasks {
            true => Vec::new(),
            false => self.tasks.iter().map(|task| task.progress.clone()).collect(),
        };
        JobProgress {
            state: self.state,
            ordered: self.start_flag != StartFlag::Unset,
            tasks,
            organisation: self.finished_owner(),
            suspects: self.suspects(),
            together: self.history_lists(|suspicion| &suspicion.together),
            places: self.locations(),
            unanswered: self.history_lists(|suspicion| &suspicion.unanswered),
        }
    }

    /// Where its tasks run, or ran last, as far as that is kept; nothing once the job is over.
    fn locations(&self) -> Vec<TaskPlace> {
        let tasks = self.tasks.iter().enumerate().filter(|_| !self.state.is_final());
        let location = |(number, task): (usize, &ActiveTask)| {
            let (life, by) = task.location.clone()?;
            Some(TaskPlace { task: number as u32, life, by })
        };
        tasks.filter_map(location).collect()
    }

    /// Whether workers were lost under one of its tasks, or may have been.
    pub fn has_suspects(&self) -> bool {
        self.tasks.iter().any(|task| !task.suspicion.is_clear())
    }

    /// Whether a task waits that wants a worker of its own, now or once more is known.
    pub fn wants_alone(&self) -> bool {
        self.tasks.iter().any(|task| {
            let stage = task.suspicion.stage();
            let isolated = matches!(stage, SuspectStage::Alone | SuspectStage::Held);
            isolated && task.waits()
        })
    }

    /// A list of what is known of each task under which workers were lost; nothing once the job is over.
    fn history_lists<T: Clone>(
        &self,
        list: impl Fn(&TaskSuspicion) -> &Vec<T>,
    ) -> Vec<(u32, Vec<T>)> {
        let tasks = self.tasks.iter().enumerate().filter(|_| !self.state.is_final());
        let histories = tasks.filter(|(_, task)| !list(&task.suspicion).is_empty());
        histories.map(|(index, task)| (index as u32, list(&task.suspicion).clone())).collect()
    }

    /// What is kept of the tasks under which workers were lost; nothing once the job is over.
    fn suspects(&self) -> Vec<(u32, TaskSuspicion)> {
        let tasks = self.tasks.iter().enumerate().filter(|_| !self.state.is_final());
        let suspects = tasks.filter(|(_, task)| !task.suspicion.is_clear());
        suspects.map(|(index, task)| (index as u32, task.suspicion.clone())).collect()
    }

    /// What was accepted is dropped once the job is over, and whose it is would go with it.
    fn finished_owner(&self) -> Option<OrganisationName> {
        let owner = self.record.owner.as_ref().filter(|_| self.state.is_final());
        owner.map(|owner| owner.organisation.clone())
    }

    /// All tasks, step after step, with their ids.
    pub fn all_tasks(&self) -> impl Iterator<Item = (CellTask, &ActiveTask)> {
        let steps = self.steps.iter().enumerate();
        steps.flat_map(|(number, step)| {
            let tasks = self.step_tasks(number).iter().enumerate();
            tasks.map(|(index, task)| (CellTask { step: step.id, index: index as u16 }, task))
        })
    }

    /// Runs that are placed, with their workers.
    pub fn placed(&self) -> Vec<(CellTask, WorkerKey, RunNumber)> {
        let placed = |(id, task): (CellTask, &ActiveTask)| match task.phase {
            TaskPhase::Placed(worker, run) => Some((id, worker, run)),
            TaskPhase::Waiting(_) => None,
        };
        self.all_tasks().filter_map(placed).collect()
    }
}
