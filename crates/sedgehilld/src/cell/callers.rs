//! Serves callers, who submit jobs, ask for their state and cancel them.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, Request, Response};
use http_body_util::Full;
use hyper::body::Incoming;
use metrics_exporter_prometheus::PrometheusHandle;
use sedgehill_adapter::api_key::decode_key;
use sedgehill_adapter::caller::{
    CallerAnswer, CallerRequest, decode_request, decode_submission, decode_timeout, encode_answer,
    encode_ready,
};
use sedgehill_adapter::config::{CellConfig, QueueRoute};
use sedgehill_cell::ids::{JobId, OrganisationName};
use sedgehill_cell::job::{JobRecord, JobSpec};
use sedgehill_cell::organisation::{JobOwner, KeyOwner};
use sedgehill_cell::progress::JobState;
use sedgehill_cell::replica::CellRecord;
use sedgehill_core::units::{MemorySize, TimeSpan};
use slog::{debug, info};
use tokio::net::TcpListener;
use tokio::time::Instant;

use super::frames::StateAnswer;
use super::state::CellBox;
use super::submission::{SubmissionHandle, SubmissionOutcome};
use crate::call_body::{BodyError, discard_body, read_body};
use crate::client::{BudgetExhausted, CallMemory};
use crate::connection::{CallerConnection, ConnectionLimits};
use crate::{clock, telemetry};

/// The most header bytes of a call. The buffer of a connection starts small and grows up to this
/// size.
const MAX_HEADER_BYTES: usize = 16 << 10;
/// Time limit for a caller to send a call.
const RECEIVE_TIMEOUT: Duration = Duration::from_millis(5_000);
/// The time limit of a call that does not state one.
const DEFAULT_CALL_TIMEOUT: Duration = Duration::from_millis(3_000);
/// Part of a call's time limit that is kept for the answer to reach the caller.
const ANSWER_RESERVE: Duration = Duration::from_millis(120);
/// The longest wait for a submission, whatever the caller's time limit. A slow store takes about a
/// second for a batch, and a batch may have to wait for the one before it.
const MAX_SUBMIT_TIMEOUT: Duration = Duration::from_millis(4_000);
/// The time after which a caller with a refused call should retry.
const RETRY_AFTER: Duration = Duration::from_millis(1_000);
/// What a submission holds while it waits to be stored, as a multiple of its body: the decoded job and its records.
const SUBMISSION_FACTOR: u64 = 4;

/// The state that the handlers of calls share.
struct CallContext {
    host: Rc<CellBox>,
    submissions: SubmissionHandle,
}

/// The limits of a caller's connection.
pub const CONNECTION_LIMITS: ConnectionLimits = ConnectionLimits {
    max_header_bytes: MAX_HEADER_BYTES,
    max_headers: None,
    header_timeout: None,
};

/// Returns the answer that is sent when an idle connection is closed, in case a call crosses it:
/// nothing was done, retry later.
pub fn build_idle_response() -> Response<Full<Bytes>> {
    encode_answer(&CallerAnswer::NotDone(RETRY_AFTER))
}

/// Serves callers until the planned stop is complete.
pub async fn serve(host: Rc<CellBox>, submissions: SubmissionHandle, listener: TcpListener) {
    let context = Rc::new(CallContext { host: host.clone(), submissions });
    let spawn = |connection: CallerConnection| {
        let context = context.clone();
        tokio::task::spawn_local(async move {
            let handle = |request, memory| {
                let context = context.clone();
                async move { encode_answer(&answer_call(&context, request, memory).await) }
            };
            connection.serve(handle).await;
        });
    };
    host.connections.accept(listener, spawn).await;
}

async fn answer_call(
    context: &CallContext,
    request: Request<Incoming>,
    mut memory: CallMemory,
) -> CallerAnswer {
    let host = &context.host;
    let config = host.config();
    let (parts, body) = request.into_parts();
    let path = parts.uri.path();
    let Some((route, call)) = decode_request(&config, &parts.method, path, &parts.headers) else {
        return match host.config_view.is_fresh() && config.version > 0 {
            true => CallerAnswer::NoQueue,
            false => CallerAnswer::NotDone(RETRY_AFTER),
        };
    };
    let timeout = decode_timeout(&parts.headers).unwrap_or(DEFAULT_CALL_TIMEOUT);
    let timeout = timeout.saturating_sub(ANSWER_RESERVE).min(MAX_SUBMIT_TIMEOUT);
    let caller = match identify(host, &config, route, &parts.headers) {
        Ok(caller) => caller,
        Err(answer) => {
            let deadline = Instant::now() + RECEIVE_TIMEOUT;
            discard_body(body, config.max_body_bytes, deadline, &memory).await;
            telemetry::count_caller_answer("refused", answer.name());
            info!(host.log, "call refused"; "method" => %parts.method, "queue" => %route.queue,
                "config" => config.version, "config_age_ms" => config_age_ms(host), "answer" => ?answer);
            return answer;
        }
    };
    let organisation = caller.as_ref().map(|caller| &caller.organisation);
    let (name, answer) = match call {
        Err(answer) => ("wrong", answer),
        Ok(CallerRequest::Waiting) => ("waiting", answer_waiting(host, route).await),
        Ok(CallerRequest::State(id)) => ("state", answer_state(host, id, organisation).await),
        Ok(CallerRequest::Cancel(id)) => {
            ("cancel", cancel_job(context, id, organisation, timeout).await)
        }
        Ok(CallerRequest::Submit(id)) => {
            let submission = JobSubmission { id, route, config: &config, caller: caller.clone() };
            let answer = submit_job(context, &submission, body, timeout, &mut memory).await;
            info!(host.log, "submission"; "job" => %id, "queue" => %route.queue,
                "organisation" => organisation.map(ToString::to_string),
                "config" => config.version, "answer" => ?answer,
                "outcome" => answer.name(),
                "retry_after_ms" => answer.retry_after().map(|after| after.as_millis() as u64),
                "store_silent" => host.store_contact.is_silent(),
                "store_usual_ms" => host.store_timeout.borrow().average().as_millis() as u64,
                "patience_ms" => timeout.as_millis() as u64);
            ("submit", answer)
        }
    };
    telemetry::count_caller_answer(name, answer.name());
    if let Some(caller) = &caller {
        telemetry::count_organisation_answer(caller, answer.name());
    }
    answer
}

/// Returns the key owner on whose behalf a call is made; none if no key is needed. A box whose
/// configuration may be outdated decides nothing by it: it must not admit a key that may have been
/// revoked, nor reject one that may be new.
fn identify(
    host: &CellBox,
    config: &CellConfig,
    route: &QueueRoute,
    headers: &HeaderMap,
) -> Result<Option<KeyOwner>, CallerAnswer> {
    let Some(keys) = &config.keys else { return Ok(None) };
    let key = decode_key(headers);
    let depends_on_config = !route.public && key.is_ok();
    if depends_on_config && !host.config_view.is_fresh() {
        return Err(CallerAnswer::NotDone(RETRY_AFTER));
    }
    keys.admit(route.public, key).map(|caller| caller.cloned()).map_err(CallerAnswer::Refused)
}

fn config_age_ms(host: &CellBox) -> Option<u64> {
    host.config_view.age().map(|age| age.as_millis())
}

/// Serves metrics in the text format of Prometheus.
pub async fn serve_metrics(host: Rc<CellBox>, metrics: PrometheusHandle, listener: TcpListener) {
    let spawn = |connection: CallerConnection| {
        let metrics = metrics.clone();
        tokio::task::spawn_local(async move {
            let handle = |_, _| async { Response::new(Full::new(Bytes::from(metrics.render()))) };
            connection.serve(handle).await;
        });
    };
    host.monitoring_connections.accept(listener, spawn).await;
}

async fn answer_waiting(host: &CellBox, route: &QueueRoute) -> CallerAnswer {
    match host.count_waiting(&route.queue).await {
        Some(count) => CallerAnswer::Waiting(count),
        None => CallerAnswer::NotDone(RETRY_AFTER),
    }
}

async fn answer_state(
    host: &CellBox,
    id: JobId,
    caller: Option<&OrganisationName>,
) -> CallerAnswer {
    match host.find_job_state(id, caller).await {
        StateAnswer::Known(state) => CallerAnswer::State(state),
        StateAnswer::NoJob => CallerAnswer::NoJob,
        StateAnswer::Untold => CallerAnswer::NotDone(RETRY_AFTER),
    }
}

async fn cancel_job(
    context: &CallContext,
    id: JobId,
    caller: Option<&OrganisationName>,
    timeout: Duration,
) -> CallerAnswer {
    let host = &context.host;
    // The caller may have been told of the acceptance by another box a moment ago, and would take
    // an answer that there is no such job for its end.
    let known = host.find_job_state_since(id, caller, clock::now()).await;
    let answer = match known {
        StateAnswer::Known(JobState::Cancelled) => CallerAnswer::Cancelled,
        StateAnswer::NoJob => CallerAnswer::NoJob,
        StateAnswer::Untold => CallerAnswer::NotDone(RETRY_AFTER),
        StateAnswer::Known(_) => {
            match context.submissions.submit(host, id, &CellRecord::Cancel, timeout).await {
                SubmissionOutcome::Kept => CallerAnswer::Cancelled,
                // Cancellations are never deferred or rejected.
                SubmissionOutcome::NotDone
                | SubmissionOutcome::StoreAway
                | SubmissionOutcome::Deferred { .. }
                | SubmissionOutcome::Rejected { .. } => CallerAnswer::NotDone(RETRY_AFTER),
                SubmissionOutcome::Unknown => CallerAnswer::Unknown,
                SubmissionOutcome::Taken => CallerAnswer::NoJob,
                SubmissionOutcome::TooLarge => CallerAnswer::TooLong,
            }
        }
    };
    info!(host.log, "cancellation"; "job" => %id, "known" => ?known, "answer" => ?answer);
    answer
}

/// A job that a caller submits.
struct JobSubmission<'a> {
    id: JobId,
    route: &'a QueueRoute,
    config: &'a CellConfig,
    caller: Option<KeyOwner>,
}

impl JobSubmission<'_> {
    fn owner(&self) -> Option<JobOwner> {
        let KeyOwner { organisation, index } = self.caller.clone()?;
        let maximum = self.config.organisations.get(index).map(|policy| policy.maximum);
        Some(JobOwner { organisation, maximum: maximum.unwrap_or_default() })
    }
}

async fn submit_job(
    context: &CallContext,
    submission: &JobSubmission<'_>,
    body: Incoming,
    timeout: Duration,
    memory: &mut CallMemory,
) -> CallerAnswer {
    let host = &context.host;
    let JobSubmission { id, route, config, .. } = *submission;
    let spec = match read_job(body, config.max_body_bytes, memory).await {
        Ok(spec) => spec,
        Err(answer) => return answer,
    };
    if let Some(known) = host.replica.borrow().job(id) {
        let caller = submission.caller.as_ref().map(|caller| &caller.organisation);
        return match known.is_accessible_to(caller) {
            true => CallerAnswer::Accepted,
            false => CallerAnswer::Taken,
        };
    }
    debug!(host.log, "job read"; "job" => %id, "steps" => spec.steps.len(),
        "tasks" => spec.steps.iter().map(|step| u32::from(step.count)).sum::<u32>(),
        "gangs" => spec.steps.iter().filter(|step| step.gang).count(),
        "chain_ms" => spec.longest_chain().0);
    if !host.can_accept() || timeout < host.store_timeout.borrow().average() {
        // Nothing can be appended in time, and nothing was sent to the store.
        return CallerAnswer::NotDone(RETRY_AFTER);
    }
    let record = JobRecord {
        queue: route.queue.clone(),
        policy: route.policy.clone(),
        owner: submission.owner(),
        spec,
        accepted_unix_ms: clock::unix_ms(),
    };
    match context.submissions.submit(host, id, &CellRecord::Job(record), timeout).await {
        SubmissionOutcome::Kept => CallerAnswer::Accepted,
        SubmissionOutcome::NotDone | SubmissionOutcome::StoreAway => {
            CallerAnswer::NotDone(RETRY_AFTER)
        }
        SubmissionOutcome::Unknown => CallerAnswer::Unknown,
        SubmissionOutcome::Taken => CallerAnswer::Taken,
        SubmissionOutcome::TooLarge => CallerAnswer::TooLong,
        SubmissionOutcome::Deferred { retry_after } => {
            CallerAnswer::Deferred(retry_time(retry_after))
        }
        SubmissionOutcome::Rejected { retry_after } => {
            CallerAnswer::Rejected(retry_time(retry_after))
        }
    }
}

/// Reads and decodes the body of a submission, and charges what it holds until it is stored.
async fn read_job(
    body: Incoming,
    max_bytes: usize,
    memory: &mut CallMemory,
) -> Result<JobSpec, CallerAnswer> {
    let body = read_body(body, max_bytes, RECEIVE_TIMEOUT, memory).await;
    let body = body.map_err(|error| match error {
        BodyError::TooLarge => CallerAnswer::TooLong,
        BodyError::Incomplete => CallerAnswer::Wrong("the body did not arrive".to_owned()),
        BodyError::NoMemory => CallerAnswer::NotDone(RETRY_AFTER),
    })?;
    let size = MemorySize(body.len() as u64 * SUBMISSION_FACTOR);
    memory.resize(size).await.map_err(|BudgetExhausted| CallerAnswer::NotDone(RETRY_AFTER))?;
    decode_submission(&body)
}

fn retry_time(span: TimeSpan) -> Duration {
    Duration::from_millis(span.0)
}

/// Answers the platform's readiness checks.
pub async fn serve_ready(host: Rc<CellBox>, listener: TcpListener) {
    let spawn = |connection: CallerConnection| {
        let host = host.clone();
        tokio::task::spawn_local(async move {
            let handle = |request: Request<Incoming>, _| {
                let answer = encode_ready(request.uri().path(), host.is_ready());
                async move { answer }
            };
            connection.serve(handle).await;
        });
    };
    host.monitoring_connections.accept(listener, spawn).await;
}
