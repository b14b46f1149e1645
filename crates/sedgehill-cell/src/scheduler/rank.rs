//! Ranks waiting steps for room and advice.

use sedgehill_core::units::{Moment, ResourceSet, TimeSpan};

use super::active_job::ActiveJob;
use super::policy::CellPolicy;
use crate::organisation::ResourceLimit;

/// A late job still has a part of its value until this many times its objective.
pub const LATE_FACTOR: u64 = 3;

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

/// Parts of a limit by which its use is compared. Use that differs by less counts as equal, so that
/// among organisations in a similar state the value and urgency of the jobs decide.
const LIMIT_USE_PARTS: u64 = 8;

/// The part of an organisation's limit that is in use in the resource that is scarcest for it, in
/// eighths.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct LimitUse(u8);

impl LimitUse {
    /// Returns the part of a limit that is in use; zero without a limit.
    pub fn of(limit: &ResourceLimit, used: &ResourceSet) -> LimitUse {
        let part = |limit: Option<u64>, used: u64| match limit {
            Some(limit) if used < limit => used.saturating_mul(LIMIT_USE_PARTS) / limit,
            Some(_) => LIMIT_USE_PARTS,
            None => 0,
        };
        let cores = part(limit.cores.map(|cores| cores.0), used.cores.0);
        let memory = part(limit.memory.map(|memory| memory.0), used.memory.0);
        let accelerators = part(limit.accelerators.map(u64::from), u64::from(used.accelerators));
        LimitUse(cores.max(memory).max(accelerators) as u8)
    }
}

/// The rank of a job by its organisation's share. The lowest goes first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum ShareRank {
    /// It was accepted within the share of its organisation.
    Within,
    /// It was accepted beyond the share, by the use of its organisation's limit.
    Beyond(LimitUse),
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
    share_rank: ShareRank,
    value_class: ValueClass,
    priority: u32,
    latest_start: u64,
}

impl JobRank {
    /// Returns the rank of the same job with another rank by its organisation's share.
    pub fn with_share_rank(self, share_rank: ShareRank) -> JobRank {
        JobRank { share_rank, ..self }
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
        share_rank: ShareRank::Within,
        value_class,
        priority: job.record.policy.priority,
        latest_start,
    }
}
