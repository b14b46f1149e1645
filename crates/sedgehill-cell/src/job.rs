//! Jobs as callers hand them in, and the policy of their queue.

use std::sync::Arc;

use sedgehill_core::units::{ResourceSet, TimeSpan};
use serde::{Deserialize, Serialize};

use crate::ids::{PoolName, QueueName};
use crate::organisation::JobOwner;

/// What the advice service costs for one step of a queue.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct AdvicePolicy {
    /// Time for one question, whatever it names, in microseconds.
    pub per_question_us: u64,
    /// Further time for each worker named, in microseconds.
    pub per_worker_us: u64,
    /// How long a ticket is valid.
    pub valid: TimeSpan,
}

impl AdvicePolicy {
    /// The time that a question about `workers` workers takes.
    pub fn cost(&self, workers: usize) -> TimeSpan {
        TimeSpan((self.per_question_us + self.per_worker_us * workers as u64).div_ceil(1000))
    }
}

/// What a queue promises and allows. A job keeps the policy that it was accepted under.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct QueuePolicy {
    /// The pool whose workers run the tasks.
    pub pool: PoolName,
    /// Urgency; 0 goes first.
    pub priority: u32,
    /// Runs of a task that may end failed before its job has failed.
    pub max_attempts: u32,
    /// The objective is this many thousandths of the job's longest chain of work ...
    pub stretch_milli: u64,
    /// ... and this time added.
    pub target_latency: TimeSpan,
    /// Set if only some workers may run a step, which an outside service tells.
    pub advice: Option<AdvicePolicy>,
}

/// One step of a job: a number of like tasks.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct StepSpec {
    /// Tasks of the step.
    pub count: u16,
    /// What each task needs.
    pub need: ResourceSet,
    /// The caller's rough guess of the time one task takes.
    pub estimate: TimeSpan,
    /// Steps that must be done first.
    pub after: Vec<u16>,
    /// The tasks work only all at once.
    pub gang: bool,
    /// The gang is slower when it spans racks.
    pub same_rack: bool,
    /// A label that the worker must carry.
    pub label: Option<Arc<str>>,
    /// The rack that holds the step's data.
    pub near_rack: Option<Arc<str>>,
    /// The most tasks of this step on one worker.
    pub max_per_worker: Option<u16>,
    /// Two runs of one task may exist at a time.
    pub copies_allowed: bool,
    /// The tasks save their state while they run.
    pub checkpointing: bool,
    /// The tasks run until the job is cancelled.
    pub long_running: bool,
}

/// When a job's steps run again.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct RepeatSpec {
    /// When the first repetition is due, in milliseconds since 1970.
    pub start_at_ms: u64,
    /// Time between two repetitions.
    pub interval: TimeSpan,
    /// How often the steps run.
    pub count: u32,
}

/// The work of a job.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct JobSpec {
    /// What the tasks are given, untouched.
    pub payload: Arc<str>,
    /// The steps, in the order in which the caller numbers them.
    pub steps: Vec<StepSpec>,
    /// Set if the steps run more than once, or at a later time.
    pub repeat: Option<RepeatSpec>,
}

impl JobSpec {
    /// The repetitions of the steps; 1 without a schedule.
    pub fn repetitions(&self) -> u32 {
        self.repeat.map_or(1, |repeat| repeat.count)
    }

    /// The longest chain of estimates through the steps of one repetition.
    pub fn longest_chain(&self) -> TimeSpan {
        let mut ends: Vec<u64> = Vec::with_capacity(self.steps.len());
        for step in &self.steps {
            let begin = step.after.iter().map(|before| ends[usize::from(*before)]).max();
            ends.push(begin.unwrap_or(0) + step.estimate.as_millis());
        }
        TimeSpan(ends.into_iter().max().unwrap_or(0))
    }
}

/// What is stored of an accepted job.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct JobRecord {
    /// The queue it came through.
    pub queue: QueueName,
    /// The policy of the queue at acceptance.
    pub policy: QueuePolicy,
    /// Whose it is; none if it was handed in without a key.
    pub owner: Option<JobOwner>,
    /// The work.
    pub spec: JobSpec,
    /// When the accepting box took it, in milliseconds since 1970.
    pub accepted_unix_ms: u64,
}

impl JobRecord {
    /// What the caller said of a step, by its place among the steps of all repetitions.
    pub fn step_spec(&self, step: usize) -> &StepSpec {
        &self.spec.steps[step % self.spec.steps.len()]
    }

    /// The time from acceptance within which the job earns its whole worth, by its estimates.
    pub fn objective(&self) -> TimeSpan {
        let chain = self.spec.longest_chain().as_millis();
        TimeSpan(chain * self.policy.stretch_milli / 1000 + self.policy.target_latency.as_millis())
    }
}
