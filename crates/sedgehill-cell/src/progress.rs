//! The stored progress of a job: tasks that are done, failed runs, and crashes of workers.

use sedgehill_core::units::TimeSpan;
use serde::{Deserialize, Serialize};

use crate::crash_history::{CrashHistory, WorkerCrash};
use crate::ids::{FencingToken, OrganisationName, RunNumber, WorkerLife};
use crate::job::JobSpec;
use crate::progress_parts::PartSize;

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
/// Progress that exceeds the size limit of a record is stored as several records: one with the fields that every job
/// has, and a [`ProgressPart`](crate::progress_parts::ProgressPart) for each range of tasks with the lists from
/// `crash_histories` to `loss_waits`.
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
    /// The values of [`UnresolvedRun::waited`](crate::crash_history::UnresolvedRun::waited) of the runs that are lost,
    /// by the index of the task among all tasks.
    pub loss_waits: Vec<(u32, Vec<LossWait>)>,
    /// How the lists from `crash_histories` to `loss_waits` are stored: none if they are in this record.
    pub part_size: Option<PartSize>,
}

/// How long leads have waited for news of a lost run.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LossWait {
    /// The run.
    pub run: RunNumber,
    /// The time since its loss, without the changes of leads.
    pub waited: TimeSpan,
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

/// Bytes of stored progress apart from its tasks: the state and the organisation.
const FIXED_BYTES: usize = 1_024;
/// Bytes of a stored task: a flag, its run and the lengths of two lists.
const TASK_BYTES: usize = 12;
/// Bytes of the number of a failed run.
const FAILED_RUN_BYTES: usize = 5;

impl JobProgress {
    /// Returns the most bytes that the progress of a job takes in its stored form without the parts that can be stored
    /// apart from it, and without the saved states of tasks, which can be left out.
    pub fn max_stored_bytes(spec: &JobSpec, max_attempts: u32) -> usize {
        let per_repetition: usize = spec.steps.iter().map(|step| usize::from(step.count)).sum();
        let tasks = per_repetition.saturating_mul(spec.repetitions() as usize);
        let failed_bytes = FAILED_RUN_BYTES.saturating_mul(max_attempts as usize);
        let task_bytes = TASK_BYTES.saturating_add(failed_bytes);
        FIXED_BYTES.saturating_add(tasks.saturating_mul(task_bytes))
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
