//! Jobs: what was submitted, and how far each task has come.

use std::fmt;

use serde::{Deserialize, Serialize};

use crate::ids::{HallName, Offset, OrgName, TaskId, TemplateName};
use crate::spec::TaskShape;

/// The most tasks that one job may have.
pub const MAX_JOB_TASKS: u32 = 10_000;

/// What an operator submits.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobRequest {
    /// The organisation that the job belongs to.
    pub organisation: OrgName,
    /// A batch or gang template.
    pub template: TemplateName,
    /// The number of tasks.
    pub tasks: u32,
}

/// How one attempt at a task ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum TaskOutcome {
    /// It ran to its end.
    Done,
    /// It ran and failed.
    Failed,
    /// Its worker went, or its lease lapsed.
    Lost,
}

/// Where one task stands.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskState {
    /// The attempts that have ended.
    pub attempts: u32,
    /// How the task ended, once it has.
    pub outcome: Option<TaskOutcome>,
}

/// The end of one attempt, as a lead records it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskEnd {
    /// The task.
    pub task: TaskId,
    /// Which attempt ended, from 0.
    pub attempt: u32,
    /// How.
    pub outcome: TaskOutcome,
}

/// Where a job stands as a whole.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum JobPhase {
    /// Waits for its organisation's quota.
    Held,
    /// Its tasks are placed or wait for room.
    Open,
    /// Every task is done.
    Done,
    /// A task used up its attempts.
    Failed,
    /// An operator cancelled it.
    Cancelled,
}

impl JobPhase {
    /// Whether nothing more happens to the job.
    pub fn is_final(self) -> bool {
        matches!(self, JobPhase::Done | JobPhase::Failed | JobPhase::Cancelled)
    }
}

impl fmt::Display for JobPhase {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            JobPhase::Held => "held",
            JobPhase::Open => "open",
            JobPhase::Done => "done",
            JobPhase::Failed => "failed",
            JobPhase::Cancelled => "cancelled",
        })
    }
}

/// A job as the log has it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobState {
    /// What was submitted.
    pub request: JobRequest,
    /// The hall whose lead places it.
    pub hall: HallName,
    /// The offset at which it was submitted.
    pub submitted: Offset,
    /// The platform's time of the submission, in milliseconds of Unix time.
    pub submitted_ms: u64,
    /// What each task needs, as the template stood at submission.
    pub shape: TaskShape,
    /// Whether all tasks must run at once.
    pub gang: bool,
    /// The organisation's priority at submission.
    pub priority: u8,
    /// Where the job stands.
    pub phase: JobPhase,
    /// Each task.
    pub tasks: Vec<TaskState>,
}

impl JobState {
    /// Notes the end of an attempt. Returns whether it was the attempt under way.
    pub fn end_attempt(&mut self, end: &TaskEnd) -> bool {
        let limit = self.shape.attempts;
        let Some(task) = self.tasks.get_mut(end.task.index as usize) else { return false };
        if task.outcome.is_some() || task.attempts != end.attempt {
            return false;
        }
        task.attempts += 1;
        if end.outcome == TaskOutcome::Done || task.attempts >= limit {
            task.outcome = Some(end.outcome);
        }
        self.settle_phase();
        true
    }

    fn settle_phase(&mut self) {
        if self.phase.is_final() {
            return;
        }
        let failed = |task: &TaskState| {
            matches!(task.outcome, Some(TaskOutcome::Failed | TaskOutcome::Lost))
        };
        if self.tasks.iter().any(failed) {
            self.phase = JobPhase::Failed;
        } else if self.tasks.iter().all(|task| task.outcome.is_some()) {
            self.phase = JobPhase::Done;
        }
    }
}
