//! The rate of each organisation.

use super::identify::RequestContext;
use super::outcome::{NotRunReason, RequestOutcome};
use crate::shared::SharedState;

/// Refuses a request that is over the rate of its organisation.
pub fn check(shared: &SharedState, context: &RequestContext) -> Result<(), RequestOutcome> {
    match shared.try_take_token(&context.parameters, context.arrived) {
        true => Ok(()),
        false => Err(RequestOutcome::NotRun(NotRunReason::RateLimit)),
    }
}
