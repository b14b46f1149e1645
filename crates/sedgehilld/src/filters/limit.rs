//! Enforces the rate limit of each organisation.

use super::identify::RequestContext;
use super::outcome::{NotRunReason, RequestOutcome};
use crate::shared::SharedState;

/// Refuses a request that exceeds the rate of its organisation for the service.
pub fn check(shared: &SharedState, context: &RequestContext) -> Result<(), RequestOutcome> {
    match shared.try_take_token(&context.parameters, context.arrived) {
        true => Ok(()),
        false => Err(RequestOutcome::NotRun(NotRunReason::RateLimit)),
    }
}
