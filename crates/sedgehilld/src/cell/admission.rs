//! Asks the scheduler whether a submitted job is accepted, where a refusal is certain to be true.
//!
//! A refusal tells the caller that the job was not taken and will not run. So the lead decides only
//! on jobs that cannot have been accepted by an earlier call, and accepts all others.

use sedgehill_cell::ids::JobId;
use sedgehill_cell::job::JobRecord;
use sedgehill_cell::scheduler::AdmissionDecision;
use sedgehill_core::units::Moment;
use slog::info;

use super::lead::LeadSession;
use super::state::CellBox;
use super::submission::SubmissionOutcome;
use crate::{clock, telemetry};

/// Why a job is accepted without a decision.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum UndecidedReason {
    /// An earlier call with the same id is on its way into the store.
    InFlight,
    /// A box may have put the job into the store by itself.
    Unsettled,
    /// This lead may not give orders, so another lead may have accepted the job.
    NoAuthority,
    /// This lead has not read the newest jobs.
    StaleJobs,
}

impl UndecidedReason {
    fn name(self) -> &'static str {
        match self {
            UndecidedReason::InFlight => "in_flight",
            UndecidedReason::Unsettled => "unsettled",
            UndecidedReason::NoAuthority => "no_authority",
            UndecidedReason::StaleJobs => "stale_jobs",
        }
    }
}

impl LeadSession {
    /// Returns the outcome of a job that is refused because it would end too late; none if it is
    /// accepted. An accepted job counts against its organisation's limit until its record is in the
    /// store or [`LeadSession::withdraw_admission`] is called.
    pub fn refuse_late_job(
        &self,
        host: &CellBox,
        job: JobId,
        record: &JobRecord,
    ) -> Option<SubmissionOutcome> {
        let now = clock::now();
        if let Some(reason) = self.undecided_reason(host, job, now) {
            telemetry::count_cell_event("admission_undecided", reason.name());
            if reason != UndecidedReason::InFlight {
                info!(host.log, "admission undecided"; "token" => %self.token, "job" => %job,
                    "reason" => reason.name());
            }
            return None;
        }
        refusal_outcome(self.scheduler.borrow_mut().admit(job, record, now))
    }

    /// Withdraws the admission of a job whose record is certain not to reach the store.
    pub fn withdraw_admission(&self, job: JobId) {
        self.scheduler.borrow_mut().withdraw_admission(job);
    }

    /// Returns why a refusal of the job might be untrue; none if it would be true.
    fn undecided_reason(&self, host: &CellBox, job: JobId, now: Moment) -> Option<UndecidedReason> {
        if self.is_on_its_way(job) {
            return Some(UndecidedReason::InFlight);
        }
        let is_unsettled = host.unsettled.borrow().may_include(job, now)
            || self.unsettled.borrow().may_include(job, now);
        if is_unsettled {
            return Some(UndecidedReason::Unsettled);
        }
        if !self.may_order(host) {
            return Some(UndecidedReason::NoAuthority);
        }
        (!host.has_fresh_jobs()).then_some(UndecidedReason::StaleJobs)
    }
}

/// Returns the outcome of a submission that a decision refuses; none if it is accepted.
fn refusal_outcome(decision: AdmissionDecision) -> Option<SubmissionOutcome> {
    match decision {
        AdmissionDecision::Accept => None,
        AdmissionDecision::Defer { retry_after } => {
            Some(SubmissionOutcome::Deferred { retry_after })
        }
        AdmissionDecision::Reject { retry_after } => {
            Some(SubmissionOutcome::Rejected { retry_after })
        }
    }
}
