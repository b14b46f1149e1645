//! One attempt at an endpoint, and what its end proves.

use std::time::Duration;

use http_body_util::{BodyExt, Full, LengthLimitError, Limited};
use hyper::body::{Bytes, Incoming};
use hyper::header::{self, HeaderMap, HeaderName, HeaderValue};
use hyper::{Request, Response, StatusCode};
use rand::Rng;
use sedgehill_core::dispatch::EndpointOutcome;

use super::FilterChain;
use super::dispatch::EndpointSlot;
use super::identify::RequestContext;
use super::outcome::{NotRunReason, RequestOutcome, RequestRecord, UnknownReason};
use super::pool::EndpointConnection;

/// The header by which an endpoint says, with status 503, that it did not begin a request.
pub const REFUSED_HEADER: &str = "sedgehill-refused";
/// The header by which an endpoint learns the id of a request.
pub const REQUEST_ID_HEADER: &str = "sedgehill-request-id";

/// Attempts at endpoints for one request.
const MAX_ATTEMPTS: u32 = 4;
/// The longest pause before another attempt, in milliseconds.
const MAX_BACK_OFF_MS: u64 = 20;

/// Headers that concern one connection only.
const HOP_HEADERS: [HeaderName; 8] = [
    header::CONNECTION,
    header::PROXY_AUTHENTICATE,
    header::PROXY_AUTHORIZATION,
    header::TE,
    header::TRAILER,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
    header::CONTENT_LENGTH,
];

/// Why an attempt brought no answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptFailure {
    /// No byte of the request reached the endpoint, or the endpoint said that it did not begin.
    NotBegun,
    /// The request may have run.
    MayHaveRun(UnknownReason),
}

impl AttemptFailure {
    /// How the request ends, or none if another attempt may be made.
    pub fn into_outcome(
        self,
        chain: &FilterChain,
        record: &RequestRecord,
    ) -> Option<RequestOutcome> {
        match self {
            AttemptFailure::MayHaveRun(reason) => Some(RequestOutcome::Unknown(reason)),
            AttemptFailure::NotBegun => {
                let again = record.attempts < MAX_ATTEMPTS && chain.budget.lock().try_take();
                (!again).then_some(RequestOutcome::NotRun(NotRunReason::EndpointsRefused))
            }
        }
    }
}

/// Waits a short random time, so that many failed attempts do not come back at once.
pub async fn back_off() {
    let pause = rand::rng().random_range(1..=MAX_BACK_OFF_MS);
    tokio::time::sleep(Duration::from_millis(pause)).await;
}

/// Sends a request to the endpoint of a slot and reads the whole answer.
pub async fn forward(
    chain: &FilterChain,
    context: &RequestContext,
    mut slot: EndpointSlot,
) -> Result<Response<Bytes>, AttemptFailure> {
    let limit = Duration::from_millis(context.kind.timeout.as_millis());
    let address = slot.choice().address;
    let Ok(mut connection) = chain.pool.checkout(address).await else {
        slot.set_evidence(EndpointOutcome::Failure);
        return Err(AttemptFailure::NotBegun);
    };
    let request = build_request(context, address);
    let max_answer = chain.shared.settings.limits.answer.0 as usize;
    let exchange = exchange(&mut connection, request, max_answer);
    let result = match tokio::time::timeout(limit, exchange).await {
        Ok(result) => result,
        Err(_) => Err(AttemptFailure::MayHaveRun(UnknownReason::TimedOut)),
    };
    slot.set_evidence(evidence_of(&result));
    if result.is_ok() {
        chain.pool.checkin(address, connection);
    }
    let answer = result?;
    match is_refusal(&answer) {
        true => Err(AttemptFailure::NotBegun),
        false => Ok(answer),
    }
}

async fn exchange(
    connection: &mut EndpointConnection,
    request: Request<Full<Bytes>>,
    max_answer: usize,
) -> Result<Response<Bytes>, AttemptFailure> {
    if connection.sender.ready().await.is_err() {
        return Err(AttemptFailure::NotBegun);
    }
    let response = connection.sender.try_send_request(request).await.map_err(|mut error| {
        // The library gives the request back only if none of it was written.
        match error.take_message() {
            Some(_) => AttemptFailure::NotBegun,
            None => AttemptFailure::MayHaveRun(UnknownReason::ConnectionLost),
        }
    })?;
    read_answer(response, max_answer).await
}

async fn read_answer(
    response: Response<Incoming>,
    max_answer: usize,
) -> Result<Response<Bytes>, AttemptFailure> {
    let (parts, body) = response.into_parts();
    match Limited::new(body, max_answer).collect().await {
        Ok(collected) => Ok(Response::from_parts(parts, collected.to_bytes())),
        Err(error) if error.is::<LengthLimitError>() => {
            Err(AttemptFailure::MayHaveRun(UnknownReason::AnswerTooLong))
        }
        Err(_) => Err(AttemptFailure::MayHaveRun(UnknownReason::AnswerCut)),
    }
}

/// An endpoint that refuses or fails fast looks idle, so its failures count as such.
fn evidence_of(result: &Result<Response<Bytes>, AttemptFailure>) -> EndpointOutcome {
    match result {
        Ok(answer) if !answer.status().is_server_error() => EndpointOutcome::Success,
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
    *request.uri_mut() = context.target.parse().expect("a part of a valid path is valid");
    *request.headers_mut() = end_to_end(&context.headers);
    let headers = request.headers_mut();
    headers.insert(header::HOST, header_value(&address));
    headers.insert(REQUEST_ID_HEADER, header_value(&context.id));
    headers.insert("sedgehill-organisation", header_value(&context.parameters.organisation));
    request
}

fn header_value(value: &impl ToString) -> HeaderValue {
    HeaderValue::from_str(&value.to_string()).expect("ids and addresses are valid in headers")
}

/// The headers that go on to the other side: all but those of the connection, and those that the
/// connection header names.
pub fn end_to_end(headers: &HeaderMap) -> HeaderMap {
    let named: Vec<String> = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .map(|name| name.trim().to_ascii_lowercase())
        .collect();
    let mut kept = headers.clone();
    for name in HOP_HEADERS {
        kept.remove(name);
    }
    for name in named {
        kept.remove(name.as_str());
    }
    kept
}
