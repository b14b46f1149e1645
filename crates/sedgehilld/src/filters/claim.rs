//! Claims the idempotency keys of once-only requests in the log, before a request is sent to an endpoint.

use sedgehill_core::ids::{IdempotencyKey, OrgName, RecordId};
use sedgehill_core::state::VoidReason;
use sedgehill_core::units::Moment;
use sedgehill_peer::ClaimStatus;

use super::identify::RequestContext;
use super::outcome::{NotRunReason, RequestOutcome, UnknownReason};
use crate::controllers::{ClaimReply, ControlHandle};

/// Claims the idempotency key of a request, if it has one. Returns the id of the claim's record.
pub async fn claim(
    handle: &ControlHandle,
    context: &RequestContext,
) -> Result<Option<RecordId>, RequestOutcome> {
    let Some(key) = context.key else { return Ok(None) };
    let organisation = context.parameters.organisation.clone();
    match handle.claim_key(organisation, key, context.deadline).await {
        ClaimReply::Granted(claim) => Ok(Some(claim)),
        ClaimReply::Void(VoidReason::KeyOutsideWindow) => {
            Err(RequestOutcome::NotRun(NotRunReason::KeyOutsideWindow))
        }
        ClaimReply::Void(_) => Err(RequestOutcome::Unknown(UnknownReason::KeyClaimed)),
        ClaimReply::NotRecorded => Err(RequestOutcome::NotRun(NotRunReason::LogUnavailable)),
    }
}

/// Returns the outcome to report for a refused request that may have an idempotency key. The refusal only says that
/// this box did not run the request; another box may have run it under the same key. Unless the key is known to be
/// free, `NotRun` becomes `Unknown`.
pub async fn check_key_of_refused(
    handle: &ControlHandle,
    key: Option<(OrgName, IdempotencyKey)>,
    arrived: Moment,
    outcome: RequestOutcome,
) -> RequestOutcome {
    let (RequestOutcome::NotRun(_), Some((organisation, key))) = (&outcome, key) else {
        return outcome;
    };
    match handle.find_claim(organisation, key, arrived).await {
        ClaimStatus::Free => outcome,
        ClaimStatus::Claimed => RequestOutcome::Unknown(UnknownReason::KeyClaimed),
        ClaimStatus::Untold => RequestOutcome::Unknown(UnknownReason::KeyUnread),
    }
}

/// Releases the claim if the request surely did not run, so that the caller may retry with the same key.
pub fn release_if_not_run(
    handle: &ControlHandle,
    context: &RequestContext,
    claim: RecordId,
    outcome: &RequestOutcome,
) {
    if let (RequestOutcome::NotRun(_), Some(key)) = (outcome, context.key) {
        handle.release_key(context.parameters.organisation.clone(), key, claim);
    }
}
