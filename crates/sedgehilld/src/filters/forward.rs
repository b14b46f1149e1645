//! Forwards a request to an endpoint, and decides from a failure whether the request may have run.

use std::time::{Duration, Instant};

use http_body_util::{BodyExt, Full, LengthLimitError, Limited};
use hyper::body::{Bytes, Incoming};
use hyper::header::{self, HeaderMap, HeaderName, HeaderValue};
use hyper::{Request, Response, StatusCode};
use rand::Rng;
use sedgehill_core::dispatch::EndpointOutcome;
use sedgehill_core::units::MemorySize;
use slog::info;

use super::FilterChain;
use super::dispatch::EndpointSlot;
use super::gated_stream::{GateStatus, is_idle};
use super::identify::RequestContext;
use super::outcome::{NotRunReason, RequestOutcome, RequestRecord, UnknownReason};
use super::pool::EndpointConnection;
use crate::client::CallMemory;
use crate::shared::PAUSE_THRESHOLD;

/// Header of a 503 answer by which an endpoint says that it did not start the request.
pub const REFUSED_HEADER: &str = "sedgehill-refused";
/// Header that carries the id of a request, to the endpoint and back to the caller.
pub const REQUEST_ID_HEADER: &str = "sedgehill-request-id";

/// Maximum number of attempts for one request.
const MAX_ATTEMPTS: u32 = 4;
/// Maximum delay before a retry, in milliseconds.
const MAX_RETRY_DELAY_MS: u64 = 20;

/// Hop-by-hop headers, which are not forwarded.
const HOP_BY_HOP_HEADERS: [HeaderName; 8] = [
    header::CONNECTION,
    header::PROXY_AUTHENTICATE,
    header::PROXY_AUTHORIZATION,
    header::TE,
    header::TRAILER,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
    header::CONTENT_LENGTH,
];

/// The reason why an attempt brought no answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptFailure {
    /// No byte of the request reached the endpoint, or the endpoint said that it did not start the request.
    NotStarted,
    /// No byte of the request was written, because the endpoint left or the process was paused after the choice.
    ChoiceExpired,
    /// The request may have run.
    MayHaveRun(UnknownReason),
}

impl AttemptFailure {
    /// Returns the outcome of the request, or `None` if the request may be retried.
    pub fn into_outcome(
        self,
        chain: &FilterChain,
        record: &RequestRecord,
    ) -> Option<RequestOutcome> {
        match self {
            AttemptFailure::MayHaveRun(reason) => Some(RequestOutcome::Unknown(reason)),
            // Costs no endpoint anything, and the next choice waits for a current list.
            AttemptFailure::ChoiceExpired => None,
            AttemptFailure::NotStarted => {
                let may_retry =
                    record.attempts < MAX_ATTEMPTS && chain.retry_budget.lock().try_take();
                (!may_retry).then_some(RequestOutcome::NotRun(NotRunReason::EndpointsRefused))
            }
        }
    }
}

/// Waits for a short random time before a retry, so that many failed attempts do not return at the same moment.
pub async fn back_off() {
    let delay_ms = rand::rng().random_range(1..=MAX_RETRY_DELAY_MS);
    tokio::time::sleep(Duration::from_millis(delay_ms)).await;
}

/// Sends a request to the endpoint of a slot and reads the complete answer.
pub async fn forward(
    chain: &FilterChain,
    context: &mut RequestContext,
    mut slot: EndpointSlot,
) -> Result<Response<Bytes>, AttemptFailure> {
    let address = slot.choice().address;
    let (connection, result) = loop {
        let Ok(mut connection) = chain.pool.checkout(address).await else {
            slot.set_outcome(EndpointOutcome::Failure);
            return Err(AttemptFailure::NotStarted);
        };
        let result = attempt(chain, context, &slot, &mut connection).await;
        // The endpoint closed a kept connection before the request was written, which says nothing about a new one.
        let is_unsent = matches!(result, Err(AttemptFailure::NotStarted));
        if !is_unsent || connection.answers == 0 {
            break (connection, result);
        }
    };
    slot.set_outcome(endpoint_outcome(&result));
    let answer = result?;
    chain.pool.checkin(address, connection);
    match is_refusal(&answer) {
        true => Err(AttemptFailure::NotStarted),
        false => Ok(answer),
    }
}

/// Sends a request on a connection, unless the endpoint may not receive it any more when it is written.
async fn attempt(
    chain: &FilterChain,
    context: &mut RequestContext,
    slot: &EndpointSlot,
    connection: &mut EndpointConnection,
) -> Result<Response<Bytes>, AttemptFailure> {
    let timeout = Duration::from_millis(context.kind.timeout.as_millis());
    let max_answer = chain.shared.settings.limits.max_answer.0 as usize;
    let request = build_request(context, slot.choice().address);
    connection.gate.arm(slot.send_permit());
    let socket = connection.socket.clone();
    let exchange = exchange(connection, request, max_answer, &mut context.memory);
    let result = wait_for_answer(exchange, timeout, &socket).await;
    let write_delay = connection.gate.write_delay();
    if write_delay > PAUSE_THRESHOLD {
        info!(chain.shared.log.logger, "request written across a pause";
            "request" => %context.id,
            "endpoint" => %slot.choice().endpoint,
            "checked_ms_before" => write_delay.as_millis(),
        );
    }
    let Err(failure) = result else { return result };
    let status = connection.gate.close();
    info!(chain.shared.log.logger, "request got no answer";
        "request" => %context.id,
        "endpoint" => %slot.choice().endpoint,
        "failure" => format!("{failure:?}"),
        "bytes" => format!("{status:?}"),
        "answers_before" => connection.answers,
        "chosen_ms_ago" => slot.held().as_millis() as u64,
    );
    Err(match status {
        GateStatus::Unwritten => AttemptFailure::NotStarted,
        GateStatus::Denied => AttemptFailure::ChoiceExpired,
        GateStatus::Written => failure,
    })
}

/// Waits for the end of an exchange. After a pause of the process the timer may fire before an answer that has arrived
/// is read, so the exchange goes on while there are bytes to read. Ends in any case after `MAX_READ_ON`, since an
/// endpoint may go on sending.
async fn wait_for_answer(
    exchange: impl Future<Output = Result<Response<Bytes>, AttemptFailure>>,
    timeout: Duration,
    socket: &std::net::TcpStream,
) -> Result<Response<Bytes>, AttemptFailure> {
    const READ_INTERVAL: Duration = Duration::from_millis(10);
    const MAX_READ_ON: Duration = Duration::from_secs(1);
    let mut exchange = std::pin::pin!(exchange);
    let mut result = tokio::time::timeout(timeout, &mut exchange).await;
    let timed_out = Instant::now();
    while result.is_err() && !is_idle(socket) && timed_out.elapsed() < MAX_READ_ON {
        result = tokio::time::timeout(READ_INTERVAL, &mut exchange).await;
    }
    if result.is_err() {
        // What was read since the last look.
        result = tokio::time::timeout(Duration::ZERO, &mut exchange).await;
    }
    result.unwrap_or(Err(AttemptFailure::MayHaveRun(UnknownReason::TimedOut)))
}

async fn exchange(
    connection: &mut EndpointConnection,
    request: Request<Full<Bytes>>,
    max_answer: usize,
    memory: &mut CallMemory,
) -> Result<Response<Bytes>, AttemptFailure> {
    if connection.sender.ready().await.is_err() {
        return Err(AttemptFailure::NotStarted);
    }
    let response = connection.sender.try_send_request(request).await.map_err(|mut error| {
        // Hyper returns the request only if no byte of it was written.
        match error.take_message() {
            Some(_) => AttemptFailure::NotStarted,
            None => AttemptFailure::MayHaveRun(UnknownReason::ConnectionLost),
        }
    })?;
    read_answer(response, max_answer, memory).await
}

async fn read_answer(
    response: Response<Incoming>,
    max_answer: usize,
    memory: &mut CallMemory,
) -> Result<Response<Bytes>, AttemptFailure> {
    let (parts, body) = response.into_parts();
    let charged = body.map_frame(|frame| {
        memory.charge(MemorySize(frame.data_ref().map_or(0, |data| data.len() as u64)));
        frame
    });
    match Limited::new(charged, max_answer).collect().await {
        Ok(collected) => Ok(Response::from_parts(parts, collected.to_bytes())),
        Err(error) if error.is::<LengthLimitError>() => {
            Err(AttemptFailure::MayHaveRun(UnknownReason::AnswerTooLong))
        }
        Err(_) => Err(AttemptFailure::MayHaveRun(UnknownReason::AnswerCut)),
    }
}

/// Returns what an attempt says about the endpoint. Refusals and fast failures count against it, because a failing
/// endpoint looks idle and would attract more requests.
fn endpoint_outcome(result: &Result<Response<Bytes>, AttemptFailure>) -> EndpointOutcome {
    match result {
        Ok(answer) if !answer.status().is_server_error() => EndpointOutcome::Success,
        Err(AttemptFailure::ChoiceExpired) => EndpointOutcome::Neutral,
        _ => EndpointOutcome::Failure,
    }
}

fn is_refusal(answer: &Response<Bytes>) -> bool {
    answer.status() == StatusCode::SERVICE_UNAVAILABLE
        && answer.headers().contains_key(REFUSED_HEADER)
}

fn build_request(context: &RequestContext, address: std::net::SocketAddr) -> Request<Full<Bytes>> {
    let mut request = Request::new(Full::new(context.body.clone()));
    *request.method_mut() = context.method.clone();
    *request.uri_mut() = context.target.parse().expect("the tail of a valid path is valid");
    *request.headers_mut() = end_to_end_headers(&context.headers);
    let headers = request.headers_mut();
    headers.insert(header::HOST, header_value(&address));
    headers.insert(REQUEST_ID_HEADER, header_value(&context.id));
    headers.insert("sedgehill-organisation", header_value(&context.parameters.organisation));
    request
}

fn header_value(value: &impl ToString) -> HeaderValue {
    HeaderValue::from_str(&value.to_string()).expect("ids and addresses are valid header values")
}

/// Returns the headers that are forwarded: all except the hop-by-hop headers and those that the `Connection` header
/// names.
pub fn end_to_end_headers(headers: &HeaderMap) -> HeaderMap {
    let connection_options: Vec<String> = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .map(|name| name.trim().to_ascii_lowercase())
        .collect();
    let mut forwarded = headers.clone();
    for name in HOP_BY_HOP_HEADERS {
        forwarded.remove(name);
    }
    for name in connection_options {
        forwarded.remove(name.as_str());
    }
    forwarded
}
