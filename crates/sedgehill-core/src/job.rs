//! Jobs and the state of their tasks.

use std::fmt;

use serde::{Deserialize, Serialize};

use crate::ids::{HallName, Offset, OrgName, TaskId, TemplateName};
use crate::spec::TaskShape;

/// Maximum number of tasks of a job.
pub const MAX_JOB_TASKS: u32 = 10_000;

/// A job as submitted by an operator.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobRequest {
    /// Organisation to which the job belongs.
    pub organisation: OrgName,
    /// Name of a batch or gang template.
    pub template: TemplateName,
    /// Number of tasks.
    pub tasks: u32,
}

/// How one attempt at a task ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum TaskOutcome {
    /// The task completed successfully.
    Done,
    /// The task ran and failed.
    Failed,
    /// The worker no longer runs the task, or its lease expired.
    Lost,
}

/// The state of one task.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskState {
    /// Number of attempts that have ended.
    pub attempts: u32,
    /// How the task ended; `None` until it has succeeded or used up its attempts.
    pub outcome: Option<TaskOutcome>,
}

/// The end of one attempt, as recorded by a lead.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskEnd {
    /// The task.
    pub task: TaskId,
    /// Number of the attempt, from 0.
    pub attempt: u32,
    /// How the attempt ended.
    pub outcome: TaskOutcome,
}

/// The state of a job as a whole.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum JobPhase {
    /// Waits until its organisation's quota allows it.
    Held,
    /// Its tasks are placed or wait for free capacity.
    Open,
    /// Every task completed successfully.
    Done,
    /// A task used up its attempts without success.
    Failed,
    /// An operator cancelled it.
    Cancelled,
}

impl JobPhase {
    /// Whether the phase never changes again.
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

/// The state of a job according to the log.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobState {
    /// The request as submitted.
    pub request: JobRequest,
    /// Data hall whose lead places the tasks.
    pub hall: HallName,
    /// Offset of the record that submitted it.
    pub submitted: Offset,
    /// Time of the submission by the platform's clock, in milliseconds of Unix time.
    pub submitted_ms: u64,
    /// Requirements of each task, copied from the template at submission.
    pub shape: TaskShape,
    /// Whether all tasks must run at the same time.
    pub gang: bool,
    /// Priority in the organisation's parameters at submission.
    pub priority: u8,
    /// State of the job as a whole.
    pub phase: JobPhase,
    /// State of each task, by its index.
    pub tasks: Vec<TaskState>,
}

impl JobState {
    /// Records the end of an attempt. Returns false and changes nothing if `end` is not about the
    /// task's current attempt.
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
        self.update_phase();
        true
    }

    fn update_phase(&mut self) {
        if self.phase.is_final() {
            return;
        }
        let has_failed = |task: &TaskState| {
            matches!(task.outcome, Some(TaskOutcome::Failed | TaskOutcome::Lost))
        };
        if self.tasks.iter().any(has_failed) {
            self.phase = JobPhase::Failed;
        } else if self.tasks.iter().all(|task| task.outcome.is_some()) {
            self.phase = JobPhase::Done;
        }
    }
}
