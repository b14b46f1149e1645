//! The stored progress of a job: tasks that are done, failed runs, and crashes of workers.

use serde::{Deserialize, Serialize};

use crate::crash_history::{CrashHistory, WorkerCrash};
use crate::ids::{FencingToken, OrganisationName, RunNumber, WorkerLife};
use crate::job::JobSpec;

/// The state of a job as callers see it.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum JobState {
    /// No task has started.
    #[default]
    Pending,
    /// A task has started.
    Running,
    /// Every task is done.
    Completed,
    /// A task failed too often.
    Failed,
    /// The caller cancelled the job.
    Cancelled,
}

impl JobState {
    /// Returns the name used in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            JobState::Pending => "pending",
            JobState::Running => "running",
            JobState::Completed => "completed",
            JobState::Failed => "failed",
            JobState::Cancelled => "cancelled",
        }
    }

    /// Returns whether the job is over.
    pub fn is_final(self) -> bool {
        matches!(self, JobState::Completed | JobState::Failed | JobState::Cancelled)
    }
}

/// The stored progress of one task.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct TaskProgress {
    /// Whether the task is done and must not run again.
    pub done: bool,
    /// The runs that ended as failed. They are kept by number so that each run counts once: a worker reports
    /// an end until it is acknowledged, also to a new lead, and reports of several workers arrive in any order.
    pub failed_runs: Vec<RunNumber>,
    /// The highest run that is known to have been started.
    pub run: RunNumber,
    /// The saved state from which the next run continues; empty if none was saved.
    pub checkpoint: String,
}

/// The stored progress of a job. Each record replaces the one before it.
///
/// Fields are encoded by position. Those from `crash_histories` on were added one after the other in later
/// versions: earlier versions ignore them, and shorter records are decoded with empty lists in their place.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct JobProgress {
    /// The state of the job.
    pub state: JobState,
    /// Whether a task may have been started. It is set before the first start is sent, since from then on a
    /// task may run on a worker without any other record of it.
    pub may_have_started: bool,
    /// The tasks of all steps of all repetitions, in order; empty until the first end of a task.
    pub tasks: Vec<TaskProgress>,
    /// The owner of the job once it is over: the accepted record, which names the owner, is dropped then.
    pub organisation: Option<OrganisationName>,
    /// The crash histories of tasks under which workers were lost, by the index of the task among all tasks.
    pub crash_histories: Vec<(u32, CrashHistory)>,
    /// The values of [`CrashHistory::correlated_ms`], by the index of the task among all tasks.
    pub correlated_ms: Vec<(u32, Vec<u64>)>,
    /// Where long-running tasks run, or ran last.
    pub locations: Vec<TaskLocation>,
    /// The values of [`CrashHistory::unanswered`], by the index of the task among all tasks.
    pub unanswered: Vec<(u32, Vec<WorkerCrash>)>,
}

/// The only worker that may have a run of a task: a later start elsewhere is recorded before it is sent.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct TaskLocation {
    /// The index of the task among all tasks of the job.
    pub task: u32,
    /// The worker, in the life in which it got the start.
    pub life: WorkerLife,
    /// The lead that recorded the location. After another lead the location proves nothing, since that lead may be of
    /// a release that does not record starts before it sends them.
    pub recorded_by: FencingToken,
}

/// Upper bounds on the parts of stored progress, in bytes. Texts in it, such as the names of lost workers, are short; a
/// job has few of them.
const FIXED_BYTES: usize = 1_024;
/// Attempts beyond this number are not counted: few tasks fail so often.
const MAX_COUNTED_ATTEMPTS: u32 = 8;
/// A task: two flags, its run and two lengths.
const TASK_BYTES: usize = 12;
/// The number of a failed run.
const FAILED_RUN_BYTES: usize = 5;

impl JobProgress {
    /// Returns about how many bytes the progress of a job may take without saved states, which are left out where they
    /// do not fit.
    pub fn max_stored_bytes(spec: &JobSpec, max_attempts: u32) -> usize {
        let per_repetition: usize = spec.steps.iter().map(|step| usize::from(step.count)).sum();
        let tasks = per_repetition.saturating_mul(spec.repetitions() as usize);
        let task_bytes =
            TASK_BYTES + FAILED_RUN_BYTES * max_attempts.min(MAX_COUNTED_ATTEMPTS) as usize;
        FIXED_BYTES.saturating_add(tasks.saturating_mul(task_bytes))
    }

    /// Removes the saved states of all tasks, which then begin anew if their runs are lost.
    pub fn forget_checkpoints(&mut self) {
        self.tasks.iter_mut().for_each(|task| task.checkpoint.clear());
    }

    /// Returns the tasks of all steps, with defaults if none are stored yet.
    pub fn tasks_of(&self, spec: &JobSpec) -> Vec<TaskProgress> {
        let per_repetition: usize = spec.steps.iter().map(|step| usize::from(step.count)).sum();
        let total = per_repetition * spec.repetitions() as usize;
        match self.tasks.len() == total {
            true => self.tasks.clone(),
            false => vec![TaskProgress::default(); total],
        }
    }
}
