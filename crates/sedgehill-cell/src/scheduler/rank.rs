//! Ranks waiting steps for room and advice.

use sedgehill_core::units::{Moment, TimeSpan};

use super::active_job::ActiveJob;
use super::policy::CellPolicy;

/// A late job still has a part of its value until this many times its objective.
const LATE_FACTOR: u64 = 3;

/// A job that could start this much later and still meet its objective leaves room to jobs that
/// could not, including late jobs with remaining value.
const DEFERRABLE_SLACK: TimeSpan = TimeSpan(6_000);

/// The value that a job still has, and how urgently it must start to keep it. Lower classes rank
/// first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum ValueClass {
    /// It meets its objective if it starts soon.
    OnTime,
    /// It misses its objective, but keeps a part of its value.
    Late,
    /// It meets its objective even if it starts later.
    Deferrable,
    /// It has no value left, but must be completed.
    Worthless,
}

/// The rank of a waiting step. The lowest goes first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum StepRank {
    /// Long-running tasks that lost their run, by the time of the loss. They are not ranked by the
    /// age of their job: it has no end, and once it is older than its objective it would rank after
    /// everything else for good. They use no more room than they had.
    Restart(Moment),
    /// Any other step, by the rank of its job.
    Job(JobRank),
}

/// The rank of a job. The lowest goes first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct JobRank {
    /// Jobs without value go last, whatever their organisation.
    worthless: bool,
    /// Jobs beyond their organisation's share go after those within the shares.
    over_share: bool,
    value_class: ValueClass,
    priority: u32,
    latest_start: u64,
}

impl JobRank {
    /// Returns the rank of the same job with another `over_share`.
    pub fn with_over_share(self, over_share: bool) -> JobRank {
        JobRank { over_share, ..self }
    }

    /// Returns the value that the job still has.
    pub fn value_class(&self) -> ValueClass {
        self.value_class
    }

    /// Whether the job still has value.
    pub fn has_value(&self) -> bool {
        !self.worthless
    }
}

/// Returns the latest time at which the rest of a step's repetition can start and still meet the
/// objective, by its estimates. `unix_ms` is the time of day at `now`.
pub fn latest_start(job: &ActiveJob, step: usize, unix_ms: u64, now: Moment) -> u64 {
    let objective = job.record.objective().as_millis();
    let counted_from = job.objective_start(step, unix_ms, now);
    (counted_from.0 + objective).saturating_sub(job.remaining_chain(step).as_millis())
}

/// Ranks a job for one of its steps: by remaining value, then by priority, then by the latest start
/// that meets the objective. The objective of each repetition counts from when it is due. Counted
/// from the job's acceptance, later repetitions would be late before they are due.
pub fn rank_job(
    job: &ActiveJob,
    step: usize,
    policy: &CellPolicy,
    unix_ms: u64,
    now: Moment,
) -> JobRank {
    let objective = job.record.objective().as_millis();
    let chain = job.remaining_chain(step).as_millis();
    let end = now.0 + chain;
    let counted_from = job.objective_start(step, unix_ms, now).0;
    let latest_start = latest_start(job, step, unix_ms, now);
    let value_class =
        if policy.patience && !job.is_long_running() && latest_start > now.0 + DEFERRABLE_SLACK.0 {
            ValueClass::Deferrable
        } else if end <= counted_from + objective || job.is_long_running() {
            // A long-running job has value from whenever it starts, as long as it runs, so it is
            // never late.
            ValueClass::OnTime
        } else if end <= counted_from + LATE_FACTOR * objective {
            ValueClass::Late
        } else {
            ValueClass::Worthless
        };
    JobRank {
        worthless: value_class == ValueClass::Worthless,
        over_share: false,
        value_class,
        priority: job.record.policy.priority,
        latest_start,
    }
}
