//! A stand-in for callers, which checks the answers that it gets.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http::{Method, Request};
use http_body_util::{BodyExt, Full};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use uuid::Uuid;

use crate::endpoint::{TOKEN_HEADER, expected_answer};
use crate::ledger::{CallerOutcome, RuleLedger, SafetyRule};

/// Timeout of a call.
const CALL_TIMEOUT: Duration = Duration::from_secs(30);

/// A request to make.
#[derive(Debug, Clone)]
pub struct CallPlan {
    /// The organisation, service and kind of request, as in `haddad/cdr-lookup/trace`.
    pub path: String,
    /// Time that the endpoint takes to work on it.
    pub work: Duration,
    /// Size of the part of the answer that the endpoint generates, in bytes.
    pub size: usize,
    /// The body of the request.
    pub body: Bytes,
    /// The idempotency key of a request that must run at most once.
    pub key: Option<Uuid>,
    /// Identifies the request. A request that is sent again keeps its token.
    pub token: String,
}

impl CallPlan {
    /// Creates a request with a small body and answer.
    pub fn new(path: &str, work: Duration) -> CallPlan {
        CallPlan {
            path: path.to_owned(),
            work,
            size: 64,
            body: Bytes::from_static(b"ask"),
            key: None,
            token: Uuid::new_v4().to_string(),
        }
    }

    /// Creates a request as [`CallPlan::new`] does, with a new idempotency key.
    pub fn once_only(path: &str, work: Duration) -> CallPlan {
        CallPlan { key: Some(Uuid::now_v7()), ..CallPlan::new(path, work) }
    }
}

/// The result of a call.
#[derive(Debug, Clone)]
pub struct CallReport {
    /// What the caller learned of its request.
    pub outcome: CallerOutcome,
    /// The reason given by the box, or the error of the connection, if the request was not answered.
    pub reason: String,
    /// The HTTP status, if a response came.
    pub status: Option<u16>,
    /// Seconds after which to try again, if the box gave them.
    pub retry_after: Option<u32>,
    /// The id that the box gave the request.
    pub request_id: Option<String>,
    /// Duration of the call.
    pub took: Duration,
    /// Whether a connection to the box was refused, so that nothing was sent.
    pub refused_connection: bool,
}

/// Calls boxes and checks the answers.
#[derive(Debug, Clone)]
pub struct StandinCaller {
    client: Client<HttpConnector, Full<Bytes>>,
    ledger: RuleLedger,
}

impl StandinCaller {
    /// Creates a caller with its own connections.
    pub fn new(ledger: RuleLedger) -> StandinCaller {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        connector.set_connect_timeout(Some(Duration::from_secs(2)));
        let client =
            Client::builder(TokioExecutor::new()).retry_canceled_requests(false).build(connector);
        StandinCaller { client, ledger }
    }

    /// Makes a call to a box. `will_retry` says that the caller may send the same request again if it did not run.
    pub async fn call(&self, address: SocketAddr, plan: &CallPlan, will_retry: bool) -> CallReport {
        if plan.key.is_some() {
            self.ledger.mark_once_only(&plan.token);
        }
        let started = Instant::now();
        let exchange = self.exchange(address, plan);
        let mut report = match tokio::time::timeout(CALL_TIMEOUT, exchange).await {
            Ok(report) => report,
            Err(_) => report_nothing("no answer in time"),
        };
        report.took = started.elapsed();
        self.ledger.record_outcome(&plan.token, report.outcome, will_retry);
        report
    }

    async fn exchange(&self, address: SocketAddr, plan: &CallPlan) -> CallReport {
        let work = plan.work.as_millis();
        let uri = format!("http://{address}/{}?work_ms={work}&size={}", plan.path, plan.size);
        let mut request =
            Request::builder().method(Method::POST).uri(uri).header(TOKEN_HEADER, &plan.token);
        if let Some(key) = plan.key {
            request = request.header("idempotency-key", key.to_string());
        }
        let request = request.body(Full::new(plan.body.clone())).expect("the parts are valid");
        let response = match self.client.request(request).await {
            Ok(response) => response,
            Err(error) => {
                let mut report = report_nothing(&format!("{error:?}"));
                report.refused_connection = error.is_connect();
                return report;
            }
        };
        let (parts, body) = response.into_parts();
        let text = |name: &str| {
            parts.headers.get(name).and_then(|value| value.to_str().ok()).map(str::to_owned)
        };
        let mut report = report_nothing("");
        report.status = Some(parts.status.as_u16());
        report.reason = text("sedgehill-reason").unwrap_or_default();
        report.retry_after = text("retry-after").and_then(|text| text.parse().ok());
        report.request_id = text("sedgehill-request-id");
        report.outcome = match text("sedgehill-outcome").as_deref() {
            Some("answered") => CallerOutcome::Answered,
            Some("not-run") => CallerOutcome::NotRun,
            Some("unknown") => CallerOutcome::Unknown,
            _ => CallerOutcome::Nothing,
        };
        match body.collect().await {
            Ok(body) if report.outcome == CallerOutcome::Answered && parts.status.is_success() => {
                self.check_answer(plan, &body.to_bytes());
            }
            Ok(_) => {}
            Err(_) if report.outcome == CallerOutcome::Answered => {
                self.ledger.record_violation(
                    SafetyRule::WholeAnswer,
                    format!("answer to {} was cut", plan.token),
                );
            }
            Err(_) => {}
        }
        report
    }

    /// Records a violation if an answer is not the one that the endpoint gives to this request.
    fn check_answer(&self, plan: &CallPlan, answer: &[u8]) {
        let expected = expected_answer(&plan.token, &plan.body, plan.size);
        if answer != expected.as_ref() {
            let start = String::from_utf8_lossy(&answer[..answer.len().min(60)]).into_owned();
            let example = format!("request {} got {} bytes: {start}", plan.token, answer.len());
            self.ledger.record_violation(SafetyRule::WholeAnswer, example);
        }
    }
}

/// Returns the report of a call without a response.
fn report_nothing(reason: &str) -> CallReport {
    CallReport {
        outcome: CallerOutcome::Nothing,
        reason: reason.to_owned(),
        status: None,
        retry_after: None,
        request_id: None,
        took: Duration::ZERO,
        refused_connection: false,
    }
}
