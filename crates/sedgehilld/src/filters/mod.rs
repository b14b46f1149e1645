//! The filters through which each request passes, in this order: identify, limit, claim, dispatch, forward, answer.
//! Each filter ends the request with a [`RequestOutcome`] or passes it on to the next.

mod answer;
mod claim;
mod dispatch;
mod forward;
mod gated_stream;
mod identify;
mod limit;
mod outcome;
mod pool;

use std::sync::Arc;
use std::time::Instant;

use http_body_util::Full;
use hyper::body::{Bytes, Incoming};
use hyper::{Request, Response};
use parking_lot::Mutex;
use sedgehill_core::ids::{RecordId, RequestId};
use sedgehill_core::limit::RetryBudget;
use sedgehill_core::units::Moment;
use slog::info;
use uuid::Uuid;

use crate::client::CallMemory;
use crate::clock;
use crate::controllers::ControlHandle;
use crate::shared::{RequestTrace, SharedState};
use crate::telemetry::{self, RequestMetrics};
use identify::RequestContext;
use outcome::RequestRecord;
use pool::EndpointPool;

pub use answer::build_answer;
pub use outcome::{RequestOutcome, UnknownReason};

/// The state that the filters of a box share.
pub struct FilterChain {
    shared: Arc<SharedState>,
    handle: ControlHandle,
    pool: EndpointPool,
    retry_budget: Mutex<RetryBudget>,
    metrics: RequestMetrics,
}

impl FilterChain {
    /// Creates the filters of a box.
    pub fn new(shared: Arc<SharedState>, handle: ControlHandle) -> FilterChain {
        FilterChain {
            shared,
            handle,
            pool: EndpointPool::default(),
            retry_budget: Mutex::default(),
            metrics: RequestMetrics::new(),
        }
    }
}

/// Runs a request through the filters and returns the response.
pub async fn run_chain(
    chain: Arc<FilterChain>,
    request: Request<Incoming>,
    memory: CallMemory,
) -> Response<Full<Bytes>> {
    let _in_flight = chain.shared.track_in_flight();
    let id = RequestId(Uuid::now_v7());
    let mut record = RequestRecord::default();
    let path = request.uri().path().to_owned();
    let outcome = match run_filters(&chain, id, request, memory, &mut record).await {
        Ok(outcome) | Err(outcome) => outcome,
    };
    record_outcome(&chain, id, &path, &record, &outcome);
    answer::build_answer(id, outcome, chain.shared.is_draining())
}

async fn run_filters(
    chain: &FilterChain,
    id: RequestId,
    request: Request<Incoming>,
    memory: CallMemory,
    record: &mut RequestRecord,
) -> Result<RequestOutcome, RequestOutcome> {
    let arrived = clock::now();
    let key = identify::find_key(&request);
    let (mut context, claim) = match admit(chain, id, arrived, request, memory).await {
        Ok(admitted) => admitted,
        Err(outcome) => {
            return Err(claim::check_key_of_refused(&chain.handle, key, arrived, outcome).await);
        }
    };
    let outcome = send_with_retries(chain, &mut context, record).await;
    if let Some(claim) = claim {
        claim::release_if_not_run(&chain.handle, &context, claim, &outcome);
    }
    Ok(outcome)
}

/// Runs the filters that come before a request may be sent to an endpoint. A request that it refuses holds no claim on
/// its key.
async fn admit(
    chain: &FilterChain,
    id: RequestId,
    arrived: Moment,
    request: Request<Incoming>,
    memory: CallMemory,
) -> Result<(RequestContext, Option<RecordId>), RequestOutcome> {
    let context =
        identify::identify(&chain.shared, &chain.handle, id, arrived, request, memory).await?;
    limit::check(&chain.shared, &context)?;
    let claim = claim::claim(&chain.handle, &context).await?;
    Ok((context, claim))
}

async fn send_with_retries(
    chain: &FilterChain,
    context: &mut RequestContext,
    record: &mut RequestRecord,
) -> RequestOutcome {
    chain.retry_budget.lock().record_request();
    let started = Instant::now();
    let mut failed_endpoints = Vec::new();
    loop {
        let slot = match dispatch::dispatch(&chain.shared, context, &failed_endpoints).await {
            Ok(slot) => slot,
            Err(outcome) => return outcome,
        };
        chain.metrics.record_wait(started.elapsed().as_secs_f64());
        record.record_attempt(slot.choice(), started.elapsed());
        let endpoint = slot.choice().endpoint.clone();
        let result = forward::forward(chain, context, slot).await;
        match result {
            Ok(answer) => return RequestOutcome::Answered(Box::new(answer)),
            Err(failure) => match failure.into_outcome(chain, record) {
                Some(outcome) => return outcome,
                None => {
                    telemetry::count_retry();
                    failed_endpoints.push(endpoint);
                    forward::back_off().await;
                }
            },
        }
    }
}

/// Counts and logs a finished request, and keeps its trace.
fn record_outcome(
    chain: &FilterChain,
    id: RequestId,
    path: &str,
    record: &RequestRecord,
    outcome: &RequestOutcome,
) {
    let (name, reason) = (outcome.name(), outcome.reason());
    chain.metrics.count(name, reason);
    let applied = chain.shared.view.load().applied;
    if chain.shared.settings.log_decisions {
        info!(chain.shared.log.logger, "request";
            "request" => %id,
            "path" => path,
            "endpoint" => record.endpoint.as_ref().map(|id| id.as_str().to_owned()),
            "candidates" => record.candidates,
            "attempts" => record.attempts,
            "wait_us" => record.wait.as_micros() as u64,
            "outcome" => name,
            "reason" => reason,
            "applied" => applied.0,
            "view_age_ms" => clock::now().since(chain.shared.current_as_of()).0,
        );
    }
    chain.shared.record_trace(RequestTrace {
        id,
        ended_at_ms: clock::unix_ms(),
        endpoint: record.endpoint.clone(),
        candidates: record.candidates,
        outcome: name,
        reason,
        applied,
    });
}
