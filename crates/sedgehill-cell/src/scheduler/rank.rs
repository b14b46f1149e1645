//! The order in which steps get room and advice.

use sedgehill_core::units::Moment;

use super::work::JobWork;

/// A late job still earns a part of its worth until this many times its objective.
const LATE_FACTOR: u64 = 3;

/// What a job can still earn.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Prospect {
    /// It can end within its objective.
    OnTime,
    /// It can end while it still earns a part.
    Late,
    /// It earns nothing any more, but has to end.
    Lost,
}

/// The place of a job among those that wait; the least goes first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct JobRank {
    prospect: Prospect,
    priority: u32,
    latest_start: u64,
}

/// Ranks a job: what can still earn first, then by priority, then by the latest start that would
/// meet the objective.
pub fn rank_job(job: &JobWork, now: Moment) -> JobRank {
    let objective = job.record.objective().as_millis();
    let chain = job.remaining_chain().as_millis();
    let end = now.0 + chain;
    let accepted = job.accepted.0;
    let prospect = if end <= accepted + objective {
        Prospect::OnTime
    } else if end <= accepted + LATE_FACTOR * objective {
        Prospect::Late
    } else {
        Prospect::Lost
    };
    let latest_start = (accepted + objective).saturating_sub(chain);
    JobRank { prospect, priority: job.record.policy.priority, latest_start }
}
