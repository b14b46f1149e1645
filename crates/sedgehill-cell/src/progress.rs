//! What must survive of a job's course: tasks that are done, and failed attempts.

use serde::{Deserialize, Serialize};

use crate::crash_history::{CrashHistory, WorkerCrash};
use crate::ids::{FencingToken, OrganisationName, RunNumber, WorkerLife};
use crate::job::JobSpec;

/// How far a job is, as callers see it.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum JobState {
    /// No task has begun.
    #[default]
    Pending,
    /// A task has begun.
    Running,
    /// Every task ended done.
    Completed,
    /// A task failed too often.
    Failed,
    /// The caller cancelled the job.
    Cancelled,
}

impl JobState {
    /// The name in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            JobState::Pending => "pending",
            JobState::Running => "running",
            JobState::Completed => "completed",
            JobState::Failed => "failed",
            JobState::Cancelled => "cancelled",
        }
    }

    /// Whether the job is over.
    pub fn is_final(self) -> bool {
        matches!(self, JobState::Completed | JobState::Failed | JobState::Cancelled)
    }
}

/// The course of one task that is worth keeping.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct TaskProgress {
    /// It ended done, and must not run again.
    pub done: bool,
    /// Runs that ended failed. A worker lists an end again until it is acknowledged, also to a new
    /// lead, and the ends of several workers are heard in any order: each run counts once.
    pub failed_runs: Vec<RunNumber>,
    /// The highest run known to have been ordered.
    pub run: RunNumber,
    /// What a next run goes on from; empty if nothing was saved.
    pub checkpoint: String,
}

/// The course of a job. Each stored record replaces the one before.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct JobProgress {
    /// How far the job is.
    pub state: JobState,
    /// Set before the first order: from then on a task may run somewhere without being known.
    pub may_have_started: bool,
    /// The tasks of all steps of all repetitions, in order; empty until the first end.
    pub tasks: Vec<TaskProgress>,
    /// Whose the job is, once it is over: what was accepted is dropped then.
    pub organisation: Option<OrganisationName>,
    /// Tasks, by their place among all tasks, under which workers were lost.
    pub crash_histories: Vec<(u32, CrashHistory)>,
    /// Those under which workers were lost together with others, with when, in milliseconds since 1970. They and what
    /// follows stand last, where boxes of earlier versions pass over them.
    pub correlated_ms: Vec<(u32, Vec<u64>)>,
    /// Where long-running tasks run, or ran last.
    pub locations: Vec<TaskLocation>,
    /// Tasks of which starts went unanswered on workers that crashed.
    pub unanswered: Vec<(u32, Vec<WorkerCrash>)>,
}

/// The only worker that may have a run of a task: a later start elsewhere is recorded before it is sent.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct TaskLocation {
    /// The place of the task among all tasks.
    pub task: u32,
    /// The life of the worker.
    pub life: WorkerLife,
    /// The lead that knows so. After another lead, which may be of a release that does not record starts ahead, it proves
    /// nothing.
    pub recorded_by: FencingToken,
}

impl JobProgress {
    /// The tasks of all steps, made if none was kept yet.
    pub fn tasks_of(&self, spec: &JobSpec) -> Vec<TaskProgress> {
        let each: usize = spec.steps.iter().map(|step| usize::from(step.count)).sum();
        let total = each * spec.repetitions() as usize;
        match self.tasks.len() == total {
            true => self.tasks.clone(),
            false => vec![TaskProgress::default(); total],
        }
    }
}
