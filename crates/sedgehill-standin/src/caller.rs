//! A stand-in for callers, which check what they are told.

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

/// How long a caller waits for anything at all.
const CALL_LIMIT: Duration = Duration::from_secs(30);

/// One request as a caller makes it.
#[derive(Debug, Clone)]
pub struct CallPlan {
    /// The organisation, service and kind, as in `haddad/cdr-lookup/trace`.
    pub path: String,
    /// How long the endpoint works on it.
    pub work: Duration,
    /// The size of the answer, in bytes.
    pub size: usize,
    /// The body.
    pub body: Bytes,
    /// The key, for a request that must run at most once.
    pub key: Option<Uuid>,
    /// The caller's name for the request; new unless it is sent again.
    pub token: String,
}

impl CallPlan {
    /// A small request.
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

    /// The same, to be run at most once.
    pub fn once_only(path: &str, work: Duration) -> CallPlan {
        CallPlan { key: Some(Uuid::now_v7()), ..CallPlan::new(path, work) }
    }
}

/// How a call went.
#[derive(Debug, Clone)]
pub struct CallReport {
    /// What the caller was told.
    pub outcome: CallerOutcome,
    /// Why it was not answered.
    pub reason: String,
    /// The HTTP status, if there was one.
    pub status: Option<u16>,
    /// After how many seconds to come back, if it was told.
    pub retry_after: Option<u32>,
    /// The id that the box gave the request.
    pub request_id: Option<String>,
    /// From the start of the call to its end.
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
    /// A caller with connections of its own.
    pub fn new(ledger: RuleLedger) -> StandinCaller {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        connector.set_connect_timeout(Some(Duration::from_secs(2)));
        let client =
            Client::builder(TokioExecutor::new()).retry_canceled_requests(false).build(connector);
        StandinCaller { client, ledger }
    }

    /// Makes a call to a box. `again` says that the same request may be sent again if it did not
    /// run.
    pub async fn call(&self, address: SocketAddr, plan: &CallPlan, again: bool) -> CallReport {
        if plan.key.is_some() {
            self.ledger.mark_once_only(&plan.token);
        }
        let started = Instant::now();
        let exchange = self.exchange(address, plan);
        let mut report = match tokio::time::timeout(CALL_LIMIT, exchange).await {
            Ok(report) => report,
            Err(_) => nothing("no answer in time"),
        };
        report.took = started.elapsed();
        self.ledger.record_outcome(&plan.token, report.outcome, again);
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
                let mut report = nothing(&format!("{error:?}"));
                report.refused_connection = error.is_connect();
                return report;
            }
        };
        let (parts, body) = response.into_parts();
        let text = |name: &str| {
            parts.headers.get(name).and_then(|value| value.to_str().ok()).map(str::to_owned)
        };
        let mut report = nothing("");
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
                self.check(plan, &body.to_bytes());
            }
            Ok(_) => {}
            Err(_) if report.outcome == CallerOutcome::Answered => {
                self.ledger.break_rule(
                    SafetyRule::WholeAnswer,
                    format!("answer to {} was cut", plan.token),
                );
            }
            Err(_) => {}
        }
        report
    }

    fn check(&self, plan: &CallPlan, answer: &[u8]) {
        let expected = expected_answer(&plan.token, &plan.body, plan.size);
        if answer != expected.as_ref() {
            let start = String::from_utf8_lossy(&answer[..answer.len().min(60)]).into_owned();
            let example = format!("request {} got {} bytes: {start}", plan.token, answer.len());
            self.ledger.break_rule(SafetyRule::WholeAnswer, example);
        }
    }
}

fn nothing(reason: &str) -> CallReport {
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
