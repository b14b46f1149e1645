//! Decides whether a submitted job is accepted, by its chance to end in time.

use sedgehill_core::units::{Moment, TimeSpan};

use super::*;

/// What becomes of a submitted job.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AdmissionDecision {
    /// It is accepted.
    Accept,
    /// It is refused, and a retry after this time can still be of use to its caller.
    Defer {
        /// The time until there is capacity for it.
        retry_after: TimeSpan,
    },
    /// It is refused, and no retry within its useful time can help.
    Reject {
        /// The time until the organisation's backlog is cleared.
        retry_after: TimeSpan,
    },
}

impl Scheduler {
    /// Decides whether a submitted job is accepted. An accepted job counts until
    /// [`Scheduler::add_own_job`] confirms it or [`Scheduler::withdraw_admission`] drops it.
    pub fn admit(&mut self, id: JobId, record: &JobRecord, now: Moment) -> AdmissionDecision {
        let _ = (id, record, now);
        AdmissionDecision::Accept
    }

    /// Drops an accepted job whose record did not reach the store.
    pub fn withdraw_admission(&mut self, id: JobId) {
        let _ = id;
    }
}
