//! Once-only requests: the right to run one is claimed in the log before it goes anywhere.

use sedgehill_core::ids::{IdempotencyKey, OrgName, RecordId};
use sedgehill_core::state::VoidReason;
use sedgehill_core::units::Moment;
use sedgehill_peer::ClaimStatus;

use super::identify::RequestContext;
use super::outcome::{NotRunReason, RequestOutcome, UnknownReason};
use crate::controllers::{ClaimReply, ControlHandle};

/// Claims the key of a request, if it has one. Returns the record of the claim.
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

/// What a refused caller is told whose request has a key. A box that refuses by itself knows of its own attempt alone;
/// under the same key the request may have run at another.
pub async fn check_refusal(
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

/// Gives the claim back if the request surely did not run, so that the caller may try again.
pub fn settle(
    handle: &ControlHandle,
    context: &RequestContext,
    claim: RecordId,
    outcome: &RequestOutcome,
) {
    if let (RequestOutcome::NotRun(_), Some(key)) = (outcome, context.key) {
        handle.release_key(context.parameters.organisation.clone(), key, claim);
    }
}
