//! Serves callers, who hand in jobs, ask for their state and cancel them.

use std::convert::Infallible;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, Request, Response};
use http_body_util::{BodyExt, Full, LengthLimitError, Limited};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use metrics_exporter_prometheus::PrometheusHandle;
use sedgehill_adapter::api_key::decode_key;
use sedgehill_adapter::caller::{
    CallerAnswer, CallerRequest, decode_request, decode_submission, decode_timeout, encode_answer,
    encode_ready,
};
use sedgehill_adapter::config::{CellConfig, QueueRoute};
use sedgehill_cell::ids::{JobId, OrganisationName};
use sedgehill_cell::job::JobRecord;
use sedgehill_cell::organisation::{JobOwner, KeyOwner};
use sedgehill_cell::progress::JobState;
use sedgehill_cell::replica::CellRecord;
use slog::{debug, info};
use tokio::net::TcpListener;

use super::accept::{AcceptHandle, AcceptOutcome};
use super::frames::StateAnswer;
use super::state::CellBox;
use crate::connection::{CallerConnection, ConnectionLimits};
use crate::{clock, telemetry};

/// The most header bytes of a call. A connection's buffer begins small and grows up to it.
const HEADER_BYTES: usize = 16 << 10;
/// How long a caller may take to send a call.
const RECEIVE_LIMIT: Duration = Duration::from_millis(5_000);
/// How long a caller waits that names no time.
const DEFAULT_PATIENCE: Duration = Duration::from_millis(3_000);
/// Kept of a caller's time for the way back.
const ANSWER_RESERVE: Duration = Duration::from_millis(120);
/// A submission that takes longer is left to itself, whatever the caller's patience: a slow store
/// takes about a second for a batch, and one may have to wait for the one before it.
const ACCEPT_LIMIT: Duration = Duration::from_millis(4_000);
/// When a refused caller should come again.
const RETRY_AFTER: Duration = Duration::from_millis(1_000);
/// How long to wait after the machine could not take a connection.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// What serving a caller needs.
struct CallerDesk {
    host: Rc<CellBox>,
    accept: AcceptHandle,
}

/// The bounds of a caller's connection.
pub const CONNECTION_LIMITS: ConnectionLimits =
    ConnectionLimits { max_header_bytes: HEADER_BYTES, max_headers: None, header_timeout: None };

/// What a caller is told whose call may cross the end of its idle connection.
pub fn build_idle_response() -> Response<Full<Bytes>> {
    encode_answer(&CallerAnswer::NotDone(RETRY_AFTER))
}

/// Serves callers until the stop has come to its end.
pub async fn serve(host: Rc<CellBox>, accept: AcceptHandle, listener: TcpListener) {
    let desk = Rc::new(CallerDesk { host: host.clone(), accept });
    let spawn = |connection: CallerConnection| {
        let desk = desk.clone();
        tokio::task::spawn_local(async move {
            let handle = |request| {
                let desk = desk.clone();
                async move { encode_answer(&answer_call(&desk, request).await) }
            };
            connection.serve(handle).await;
        });
    };
    host.connections.accept(listener, spawn).await;
}

async fn answer_call(desk: &CallerDesk, request: Request<Incoming>) -> CallerAnswer {
    let host = &desk.host;
    let config = host.config();
    let (parts, body) = request.into_parts();
    let path = parts.uri.path();
    let Some((route, call)) = decode_request(&config, &parts.method, path, &parts.headers) else {
        return match host.config_view.is_fresh() && config.version > 0 {
            true => CallerAnswer::NoQueue,
            false => CallerAnswer::NotDone(RETRY_AFTER),
        };
    };
    let patience = decode_timeout(&parts.headers).unwrap_or(DEFAULT_PATIENCE);
    let patience = patience.saturating_sub(ANSWER_RESERVE).min(ACCEPT_LIMIT);
    let caller = match identify(host, &config, route, &parts.headers) {
        Ok(caller) => caller,
        Err(answer) => {
            drain(body, config.max_body_bytes).await;
            telemetry::count_caller_answer("refused", answer.name());
            info!(host.log, "call refused"; "method" => %parts.method, "queue" => %route.queue,
                "config" => config.version, "config_age_ms" => age_of(host), "answer" => ?answer);
            return answer;
        }
    };
    let organisation = caller.as_ref().map(|caller| &caller.organisation);
    let (name, answer) = match call {
        Err(answer) => ("wrong", answer),
        Ok(CallerRequest::Waiting) => ("waiting", count_waiting(host, route).await),
        Ok(CallerRequest::State(id)) => ("state", tell_state(host, id, organisation).await),
        Ok(CallerRequest::Cancel(id)) => {
            ("cancel", cancel_job(desk, id, organisation, patience).await)
        }
        Ok(CallerRequest::Submit(id)) => {
            let submission = JobSubmission { id, route, config: &config, caller: caller.clone() };
            let answer = submit_job(desk, &submission, body, patience).await;
            info!(host.log, "submission"; "job" => %id, "queue" => %route.queue,
                "organisation" => organisation.map(ToString::to_string),
                "config" => config.version, "answer" => ?answer,
                "store_silent" => host.store_contact.is_silent(),
                "store_usual_ms" => host.store_patience.borrow().average().as_millis() as u64,
                "patience_ms" => patience.as_millis() as u64);
            ("submit", answer)
        }
    };
    telemetry::count_caller_answer(name, answer.name());
    if let Some(caller) = &caller {
        telemetry::count_organisation_answer(caller, answer.name());
    }
    answer
}

/// On whose behalf a call is made; nobody's where no key is needed. A box whose configuration may be out of
/// date neither lets a key pass, which may have been taken away, nor calls one unknown, which may be new.
fn identify(
    host: &CellBox,
    config: &CellConfig,
    route: &QueueRoute,
    headers: &HeaderMap,
) -> Result<Option<KeyOwner>, CallerAnswer> {
    let Some(keys) = &config.keys else { return Ok(None) };
    let key = decode_key(headers);
    let decided_by_config = !route.public && key.is_ok();
    if decided_by_config && !host.config_view.is_fresh() {
        return Err(CallerAnswer::NotDone(RETRY_AFTER));
    }
    keys.admit(route.public, key).map(|caller| caller.cloned()).map_err(CallerAnswer::Refused)
}

fn age_of(host: &CellBox) -> Option<u64> {
    host.config_view.age().map(|age| age.as_millis())
}

/// Reads a body that is not used, so that the answer is not lost with the connection.
async fn drain(body: Incoming, most: usize) {
    // Whether it came whole does not matter.
    let _ = tokio::time::timeout(RECEIVE_LIMIT, Limited::new(body, most).collect()).await;
}

/// Serves metrics in the text form of Prometheus.
pub async fn serve_metrics(metrics: PrometheusHandle, listener: TcpListener) {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            tokio::time::sleep(ACCEPT_PAUSE).await;
            continue;
        };
        let metrics = metrics.clone();
        let service = service_fn(move |_: Request<Incoming>| {
            let text = Full::new(Bytes::from(metrics.render()));
            async move { Ok::<Response<Full<Bytes>>, Infallible>(Response::new(text)) }
        });
        tokio::task::spawn_local(async move {
            let connection = http1::Builder::new().serve_connection(TokioIo::new(stream), service);
            // Who asks sees for itself that the connection ended.
            let _ = connection.await;
        });
    }
}

async fn count_waiting(host: &CellBox, route: &QueueRoute) -> CallerAnswer {
    match host.count_waiting(&route.queue).await {
        Some(count) => CallerAnswer::Waiting(count),
        None => CallerAnswer::NotDone(RETRY_AFTER),
    }
}

async fn tell_state(host: &CellBox, id: JobId, caller: Option<&OrganisationName>) -> CallerAnswer {
    match host.find_state(id, caller).await {
        StateAnswer::Known(state) => CallerAnswer::State(state),
        StateAnswer::NoJob => CallerAnswer::NoJob,
        StateAnswer::Untold => CallerAnswer::NotDone(RETRY_AFTER),
    }
}

async fn cancel_job(
    desk: &CallerDesk,
    id: JobId,
    caller: Option<&OrganisationName>,
    patience: Duration,
) -> CallerAnswer {
    let host = &desk.host;
    let state = host.find_state(id, caller).await;
    let answer = match state {
        StateAnswer::Known(JobState::Cancelled) => CallerAnswer::Cancelled,
        StateAnswer::NoJob => CallerAnswer::NoJob,
        StateAnswer::Untold => CallerAnswer::NotDone(RETRY_AFTER),
        StateAnswer::Known(_) => {
            match desk.accept.submit(host, id, &CellRecord::Cancel, patience).await {
                AcceptOutcome::Kept => CallerAnswer::Cancelled,
                AcceptOutcome::NotDone | AcceptOutcome::StoreAway => {
                    CallerAnswer::NotDone(RETRY_AFTER)
                }
                AcceptOutcome::Unknown => CallerAnswer::Unknown,
                AcceptOutcome::Taken => CallerAnswer::NoJob,
            }
        }
    };
    info!(host.log, "cancellation"; "job" => %id, "known" => ?state, "answer" => ?answer);
    answer
}

/// A job that a caller hands in.
struct JobSubmission<'a> {
    id: JobId,
    route: &'a QueueRoute,
    config: &'a CellConfig,
    caller: Option<KeyOwner>,
}

impl JobSubmission<'_> {
    fn owner(&self) -> Option<JobOwner> {
        let KeyOwner { organisation, index: place } = self.caller.clone()?;
        let maximum = self.config.organisations.get(place).map(|policy| policy.maximum);
        Some(JobOwner { organisation, maximum: maximum.unwrap_or_default() })
    }
}

async fn submit_job(
    desk: &CallerDesk,
    submission: &JobSubmission<'_>,
    body: Incoming,
    patience: Duration,
) -> CallerAnswer {
    let host = &desk.host;
    let JobSubmission { id, route, config, .. } = *submission;
    let body_bytes = config.max_body_bytes;
    let reading = Limited::new(body, body_bytes).collect();
    let body = match tokio::time::timeout(RECEIVE_LIMIT, reading).await {
        Ok(Ok(body)) => body.to_bytes(),
        Ok(Err(error)) if error.is::<LengthLimitError>() => return CallerAnswer::TooLong,
        Ok(Err(_)) | Err(_) => return CallerAnswer::Wrong("the body did not arrive".to_owned()),
    };
    let spec = match decode_submission(&body) {
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
    if !host.can_accept() || patience < host.store_patience.borrow().average() {
        // Nothing can be put into the store in time, and nothing was sent there.
        return CallerAnswer::NotDone(RETRY_AFTER);
    }
    let record = JobRecord {
        queue: route.queue.clone(),
        policy: route.policy.clone(),
        owner: submission.owner(),
        spec,
        accepted_unix_ms: clock::unix_ms(),
    };
    match desk.accept.submit(host, id, &CellRecord::Job(record), patience).await {
        AcceptOutcome::Kept => CallerAnswer::Accepted,
        AcceptOutcome::NotDone | AcceptOutcome::StoreAway => CallerAnswer::NotDone(RETRY_AFTER),
        AcceptOutcome::Unknown => CallerAnswer::Unknown,
        AcceptOutcome::Taken => CallerAnswer::Taken,
    }
}

/// Answers the platform's question whether callers should come here.
pub async fn serve_ready(host: Rc<CellBox>, listener: TcpListener) {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            tokio::time::sleep(ACCEPT_PAUSE).await;
            continue;
        };
        let host = host.clone();
        let service = service_fn(move |request: Request<Incoming>| {
            let answer = encode_ready(request.uri().path(), host.is_ready());
            async move { Ok::<Response<Full<Bytes>>, Infallible>(answer) }
        });
        tokio::task::spawn_local(async move {
            let connection = http1::Builder::new()
                .max_buf_size(HEADER_BYTES)
                .serve_connection(TokioIo::new(stream), service);
            // Who asks sees for itself that the connection ended.
            let _ = connection.await;
        });
    }
}
