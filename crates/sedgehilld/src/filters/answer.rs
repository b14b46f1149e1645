//! Builds the response to the caller from the outcome of a request.

use http_body_util::Full;
use hyper::body::Bytes;
use hyper::header::{self, HeaderValue};
use hyper::{Response, StatusCode};
use sedgehill_core::ids::RequestId;

use super::forward::{REFUSED_HEADER, REQUEST_ID_HEADER, end_to_end_headers};
use super::outcome::RequestOutcome;

/// Header that carries the outcome of a request: `answered`, `not-run` or `unknown`.
pub const OUTCOME_HEADER: &str = "sedgehill-outcome";
/// Header that carries the reason why a request was not answered.
pub const REASON_HEADER: &str = "sedgehill-reason";

/// Builds the response to the caller. A draining box closes the connection, so that the caller connects to another box.
pub fn build_answer(
    id: RequestId,
    outcome: RequestOutcome,
    draining: bool,
) -> Response<Full<Bytes>> {
    let (name, reason) = (outcome.name(), outcome.reason());
    let mut response = match outcome {
        RequestOutcome::Answered(answer) => forward_answer(*answer),
        RequestOutcome::NotRun(not_run) => {
            let mut response = build_error(not_run.status(), name, reason);
            if let Some(seconds) = not_run.retry_after() {
                response.headers_mut().insert(header::RETRY_AFTER, seconds.into());
            }
            response
        }
        RequestOutcome::Unknown(unknown) => build_error(unknown.status(), name, reason),
    };
    let headers = response.headers_mut();
    headers.insert(OUTCOME_HEADER, HeaderValue::from_static(name));
    if !reason.is_empty() {
        headers.insert(REASON_HEADER, HeaderValue::from_static(reason));
    }
    let id = HeaderValue::from_str(&id.to_string()).expect("a request id is a valid header value");
    headers.insert(REQUEST_ID_HEADER, id);
    if draining {
        headers.insert(header::CONNECTION, HeaderValue::from_static("close"));
    }
    response
}

/// Converts the answer of an endpoint. The headers of the connection and of a refusal are not forwarded.
fn forward_answer(answer: Response<Bytes>) -> Response<Full<Bytes>> {
    let (mut parts, body) = answer.into_parts();
    parts.headers = end_to_end_headers(&parts.headers);
    parts.headers.remove(REFUSED_HEADER);
    parts.version = hyper::Version::HTTP_11;
    Response::from_parts(parts, Full::new(body))
}

fn build_error(status: u16, outcome: &'static str, reason: &'static str) -> Response<Full<Bytes>> {
    let body = format!("{{\"outcome\":\"{outcome}\",\"reason\":\"{reason}\"}}\n");
    let mut response = Response::new(Full::new(Bytes::from(body)));
    *response.status_mut() =
        StatusCode::from_u16(status).expect("the status of each reason is valid");
    let json = HeaderValue::from_static("application/json");
    response.headers_mut().insert(header::CONTENT_TYPE, json);
    response
}
