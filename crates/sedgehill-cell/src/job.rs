//! Jobs as callers submit them, and the policy of their queue.

use std::sync::Arc;

use sedgehill_core::units::{ResourceSet, TimeSpan};
use serde::{Deserialize, Serialize};

use crate::ids::{PoolName, QueueName};
use crate::organisation::JobOwner;

/// The cost of asking the advice service which workers may run a step of a queue.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct AdvicePolicy {
    /// The time that each question takes, whatever workers it names, in microseconds.
    pub per_question_us: u64,
    /// The further time for each worker that the question names, in microseconds.
    pub per_worker_us: u64,
    /// How long a ticket of the service is valid.
    pub valid: TimeSpan,
}

impl AdvicePolicy {
    /// Returns the time that a question about `workers` workers takes.
    pub fn cost(&self, workers: usize) -> TimeSpan {
        TimeSpan((self.per_question_us + self.per_worker_us * workers as u64).div_ceil(1000))
    }
}

/// The settings of a queue for its jobs. A job keeps the policy under which it was accepted.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct QueuePolicy {
    /// The pool whose workers run the tasks.
    pub pool: PoolName,
    /// The urgency of the jobs; 0 is the most urgent.
    pub priority: u32,
    /// The number of failed runs of one task that fails the job.
    pub max_attempts: u32,
    /// The factor, in thousandths, by which [`JobRecord::objective`] multiplies the longest chain of a job.
    pub stretch_milli: u64,
    /// The time that [`JobRecord::objective`] adds to the stretched chain.
    pub target_latency: TimeSpan,
    /// The cost of advice; none if every worker of the pool may run the tasks. If set, the advice service
    /// tells which workers may run a step.
    pub advice: Option<AdvicePolicy>,
}

/// One step of a job: a number of tasks with the same requirements.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct StepSpec {
    /// The number of tasks.
    pub count: u16,
    /// The resources that each task needs.
    pub need: ResourceSet,
    /// The caller's rough estimate of the run time of one task.
    pub estimate: TimeSpan,
    /// The steps that must be done before this one starts, by their index in the job.
    pub after: Vec<u16>,
    /// Whether the tasks are a gang, which works only if all of them run at the same time.
    pub gang: bool,
    /// Whether the gang runs slower when it spans several racks.
    pub same_rack: bool,
    /// The label that a worker must have to run the tasks.
    pub label: Option<Arc<str>>,
    /// The rack that holds the data of the step.
    pub near_rack: Option<Arc<str>>,
    /// The largest number of tasks of this step on one worker.
    pub max_per_worker: Option<u16>,
    /// Whether two runs of one task may exist at the same time.
    pub copies_allowed: bool,
    /// Whether the tasks save their state while they run.
    pub checkpointing: bool,
    /// Whether the tasks run until the job is cancelled.
    pub long_running: bool,
}

/// The schedule on which the steps of a job repeat.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct RepeatSpec {
    /// When the first repetition is due, in milliseconds since 1970.
    pub start_at_ms: u64,
    /// The time from one repetition to the next.
    pub interval: TimeSpan,
    /// The number of repetitions.
    pub count: u32,
}

/// The work of a job.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct JobSpec {
    /// The input of the tasks, passed on unchanged.
    pub payload: Arc<str>,
    /// The steps, in the order in which the caller numbers them.
    pub steps: Vec<StepSpec>,
    /// The schedule; none if the steps run once, as soon as possible.
    pub repeat: Option<RepeatSpec>,
}

impl JobSpec {
    /// Returns the number of repetitions of the steps; 1 without a schedule.
    pub fn repetitions(&self) -> u32 {
        self.repeat.map_or(1, |repeat| repeat.count)
    }

    /// Returns about how much memory the specification takes, in bytes.
    pub fn memory_bytes(&self) -> usize {
        let text_bytes = |text: &Option<Arc<str>>| text.as_ref().map_or(0, |text| text.len());
        let step_bytes = |step: &StepSpec| {
            size_of::<StepSpec>()
                + size_of_val(step.after.as_slice())
                + text_bytes(&step.label)
                + text_bytes(&step.near_rack)
        };
        self.payload.len() + self.steps.iter().map(step_bytes).sum::<usize>()
    }

    /// Returns the longest chain of dependent steps in one repetition, as the sum of their estimates.
    pub fn longest_chain(&self) -> TimeSpan {
        let mut ends: Vec<u64> = Vec::with_capacity(self.steps.len());
        for step in &self.steps {
            let begin = step.after.iter().map(|before| ends[usize::from(*before)]).max();
            ends.push(begin.unwrap_or(0) + step.estimate.as_millis());
        }
        TimeSpan(ends.into_iter().max().unwrap_or(0))
    }
}

/// The stored record of an accepted job.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct JobRecord {
    /// The queue through which the job was submitted.
    pub queue: QueueName,
    /// The policy of the queue when the job was accepted.
    pub policy: QueuePolicy,
    /// The owner of the job; none if it was submitted without a key.
    pub owner: Option<JobOwner>,
    /// The work.
    pub spec: JobSpec,
    /// When a box accepted the job, by the clock of that box, in milliseconds since 1970.
    pub accepted_unix_ms: u64,
}

impl JobRecord {
    /// Returns the specification of a step, by its index among the steps of all repetitions.
    pub fn step_spec(&self, step: usize) -> &StepSpec {
        &self.spec.steps[step % self.spec.steps.len()]
    }

    /// Returns the latency objective: the time from acceptance within which the job earns its full value,
    /// calculated from its estimates.
    pub fn objective(&self) -> TimeSpan {
        let chain = self.spec.longest_chain().as_millis();
        TimeSpan(chain * self.policy.stretch_milli / 1000 + self.policy.target_latency.as_millis())
    }
}
