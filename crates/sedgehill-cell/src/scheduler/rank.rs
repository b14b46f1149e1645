//! The order in which steps get room and advice.

use sedgehill_core::units::{Moment, TimeSpan};

use super::active_job::ActiveJob;
use super::policy::CellPolicy;

/// A late job still earns a part of its worth until this many times its objective.
const LATE_FACTOR: u64 = 3;

/// A job that can begin so much later and still meet its objective leaves room to those that cannot, late ones that
/// still earn a part among them.
const DEFERRABLE_SLACK: TimeSpan = TimeSpan(6_000);

/// What a job can still earn.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum ValueClass {
    /// It can end within its objective if it begins soon.
    OnTime,
    /// It can end while it still earns a part.
    Late,
    /// It can end within its objective though it begins later.
    Deferrable,
    /// It earns nothing any more, but has to end.
    Worthless,
}

/// The place of a step among those that wait; the least goes first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum StepRank {
    /// Long-running tasks that lost their run, by when. Their job is not judged by its age: it has no end of its own, and
    /// one that lives for longer than its objective would come after everything else for good. They take no more
    /// room than they had.
    Restart(Moment),
    /// Any other step, as its job.
    Job(JobRank),
}

/// The place of a job among those that wait; the least goes first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct JobRank {
    /// Jobs that earn nothing any more go last, whosever they are.
    worthless: bool,
    /// What is due to organisations goes before what one of them sends beyond it.
    over_share: bool,
    value_class: ValueClass,
    priority: u32,
    latest_start: u64,
}

impl JobRank {
    /// The same for a job that its organisation sent beyond what is due to it, or not.
    pub fn with_over_share(self, over_share: bool) -> JobRank {
        JobRank { over_share, ..self }
    }

    /// Whether the job still earns something.
    pub fn has_value(&self) -> bool {
        !self.worthless
    }
}

/// The latest moment at which what is left of a step's repetition can begin and meet the objective, by its estimates.
/// `unix_ms` is the time of day at `now`.
pub fn latest_start(job: &ActiveJob, step: usize, unix_ms: u64, now: Moment) -> u64 {
    let objective = job.record.objective().as_millis();
    let asked = job.objective_start(step, unix_ms, now);
    (asked.0 + objective).saturating_sub(job.remaining_chain(step).as_millis())
}

/// Ranks a step by its job: what can still earn first, then by priority, then by the latest start that would
/// meet the objective. Each repetition is judged from the time at which it is due: from the acceptance of the job, the later ones
/// would be late before their time has come.
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
    let accepted = job.objective_start(step, unix_ms, now).0;
    let latest_start = latest_start(job, step, unix_ms, now);
    let value_class =
        if policy.patience && !job.is_long_running() && latest_start > now.0 + DEFERRABLE_SLACK.0 {
            ValueClass::Deferrable
        } else if end <= accepted + objective || job.is_long_running() {
            // A long-running job earns from whenever it begins, for as long as it lives: it is never late.
            ValueClass::OnTime
        } else if end <= accepted + LATE_FACTOR * objective {
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
