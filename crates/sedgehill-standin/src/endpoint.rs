//! A stand-in for an endpoint, which works for as long as the request says and answers with bytes that
//! the caller can check.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;

use bytes::Bytes;
use http::{Request, Response, StatusCode};
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use parking_lot::Mutex;
use sedgehill_core::ids::EndpointId;
use tokio::net::TcpListener;

use crate::http_server::{ServerGuard, SocketEnd, query_value};
use crate::ledger::RuleLedger;

/// Header with the token that identifies a request of a caller.
pub const TOKEN_HEADER: &str = "x-caller-token";
/// Header by which an endpoint says that it did not begin to work on a request.
const REFUSED_HEADER: &str = "sedgehill-refused";
/// Size of the generated part of an answer if the request does not set one.
const DEFAULT_ANSWER_BYTES: usize = 64;
/// Time between the first half of a cut answer and the end of its connection.
const CUT_DELAY: Duration = Duration::from_millis(20);

/// A fault of an endpoint.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum EndpointFault {
    /// No fault.
    #[default]
    None,
    /// It refuses each request with status 503 and the documented header.
    Refuses,
    /// It answers each request with status 500 at once.
    FailsFast,
    /// It works on each request and never answers.
    Hangs,
    /// It closes the connection after half of each answer.
    CutsAnswers,
    /// It works on each request and closes the connection without an answer.
    Closes,
    /// It answers with bytes that are not HTTP.
    Garbage,
}

type AnswerBody = UnsyncBoxBody<Bytes, std::io::Error>;

/// An endpoint. Clones share its state, so that a test can set faults while it serves.
#[derive(Debug, Clone)]
pub struct StandinEndpoint {
    id: EndpointId,
    slots: u32,
    ledger: RuleLedger,
    fault: Arc<Mutex<EndpointFault>>,
    busy: Arc<AtomicU32>,
}

impl StandinEndpoint {
    /// Creates an endpoint that serves `slots` requests at once and refuses more.
    pub fn new(id: EndpointId, slots: u32, ledger: RuleLedger) -> StandinEndpoint {
        StandinEndpoint { id, slots, ledger, fault: Arc::default(), busy: Arc::default() }
    }

    /// Returns the id of the endpoint.
    pub fn id(&self) -> &EndpointId {
        &self.id
    }

    /// Sets the fault of the endpoint.
    pub fn set_fault(&self, fault: EndpointFault) {
        *self.fault.lock() = fault;
    }

    /// Starts a server on `address`.
    pub async fn serve(&self, address: SocketAddr) -> std::io::Result<ServerGuard> {
        let listener = TcpListener::bind(address).await?;
        let address = listener.local_addr()?;
        let endpoint = self.clone();
        // Each connection holds a clone until it is closed.
        let open = Arc::new(());
        let sockets = Arc::downgrade(&open);
        let listener_end = SocketEnd::new(&listener, Arc::default());
        let task = tokio::spawn(async move {
            let _end = listener_end;
            let mut connections = tokio::task::JoinSet::new();
            loop {
                let Ok((stream, _)) = listener.accept().await else { continue };
                let _ = stream.set_nodelay(true);
                let end = SocketEnd::new(&stream, open.clone());
                if *endpoint.fault.lock() == EndpointFault::Garbage {
                    connections.spawn(async move {
                        let _end = end;
                        answer_garbage(stream).await;
                    });
                    continue;
                }
                let endpoint = endpoint.clone();
                connections.spawn(async move {
                    let _end = end;
                    let service = service_fn(move |request| {
                        let endpoint = endpoint.clone();
                        async move { endpoint.answer(request).await }
                    });
                    let _ =
                        http1::Builder::new().serve_connection(TokioIo::new(stream), service).await;
                });
                while connections.try_join_next().is_some() {}
            }
        });
        Ok(ServerGuard::new(address, task).with_sockets(sockets))
    }

    async fn answer(
        &self,
        request: Request<Incoming>,
    ) -> Result<Response<AnswerBody>, std::io::Error> {
        let fault = *self.fault.lock();
        let slot = SlotGuard::acquire(&self.busy);
        if slot.used_slots > self.slots || fault == EndpointFault::Refuses {
            let mut response = plain(StatusCode::SERVICE_UNAVAILABLE, Bytes::new());
            response.headers_mut().insert(REFUSED_HEADER, http::HeaderValue::from_static("true"));
            return Ok(response);
        }
        if fault == EndpointFault::FailsFast {
            return Ok(plain(StatusCode::INTERNAL_SERVER_ERROR, Bytes::from_static(b"failed")));
        }
        let token = request.headers().get(TOKEN_HEADER).and_then(|value| value.to_str().ok());
        let token = token.unwrap_or_default().to_owned();
        let work: u64 = query_value(&request, "work_ms").unwrap_or(0);
        let size: usize = query_value(&request, "size").unwrap_or(DEFAULT_ANSWER_BYTES);
        let body = request.into_body().collect().await.map_err(std::io::Error::other)?.to_bytes();
        let run = RunGuard::begin(&self.ledger, &token, &self.id);
        // The work goes on after the caller has disconnected, as it does on a real endpoint.
        let working = tokio::spawn(async move {
            tokio::time::sleep(Duration::from_millis(work)).await;
            drop((run, slot));
        });
        working.await.map_err(std::io::Error::other)?;
        let answer = expected_answer(&token, &body, size);
        match fault {
            EndpointFault::Hangs => std::future::pending().await,
            EndpointFault::Closes => Err(std::io::Error::other("closed on purpose")),
            EndpointFault::CutsAnswers => Ok(cut_response(answer)),
            _ => Ok(plain(StatusCode::OK, answer)),
        }
    }
}

/// Occupies a slot of an endpoint until it is dropped.
struct SlotGuard {
    busy: Arc<AtomicU32>,
    /// Slots in use, including this one.
    used_slots: u32,
}

impl SlotGuard {
    fn acquire(busy: &Arc<AtomicU32>) -> SlotGuard {
        let used_slots = busy.fetch_add(1, Ordering::SeqCst) + 1;
        SlotGuard { busy: busy.clone(), used_slots }
    }
}

impl Drop for SlotGuard {
    fn drop(&mut self) {
        self.busy.fetch_sub(1, Ordering::SeqCst);
    }
}

/// Records in the ledger that a request runs until this is dropped.
struct RunGuard {
    ledger: RuleLedger,
    token: String,
}

impl RunGuard {
    fn begin(ledger: &RuleLedger, token: &str, endpoint: &EndpointId) -> RunGuard {
        ledger.request_began(token, endpoint);
        RunGuard { ledger: ledger.clone(), token: token.to_owned() }
    }
}

impl Drop for RunGuard {
    fn drop(&mut self) {
        self.ledger.request_ended(&self.token);
    }
}

/// Returns the answer to a request with this token and body: the token, the length of the body, and `size` bytes
/// that depend on both.
pub fn expected_answer(token: &str, body: &[u8], size: usize) -> Bytes {
    let mut answer = format!("{token}:{}:", body.len()).into_bytes();
    let seed: u64 = token
        .bytes()
        .chain(body.iter().copied())
        .fold(7, |sum, byte| sum.wrapping_mul(31).wrapping_add(u64::from(byte)));
    answer.extend((0..size as u64).map(|index| b'a' + ((seed.wrapping_add(index * 7)) % 26) as u8));
    Bytes::from(answer)
}

fn plain(status: StatusCode, bytes: Bytes) -> Response<AnswerBody> {
    let body = Full::new(bytes).map_err(|never: Infallible| match never {}).boxed_unsync();
    let mut response = Response::new(body);
    *response.status_mut() = status;
    response
}

/// Returns a response that announces the whole answer, sends half of it and fails.
fn cut_response(answer: Bytes) -> Response<AnswerBody> {
    let half = answer.slice(..answer.len() / 2);
    let (mut sender, body) = http_body_util::channel::Channel::new(1);
    tokio::spawn(async move {
        let _ = sender.send_data(half).await;
        // Lets the first half be sent before the connection is closed.
        tokio::time::sleep(CUT_DELAY).await;
        sender.abort(std::io::Error::other("cut on purpose"));
    });
    let mut response = Response::new(body.boxed_unsync());
    let length = http::HeaderValue::from_str(&answer.len().to_string())
        .expect("digits are a valid header value");
    response.headers_mut().insert(http::header::CONTENT_LENGTH, length);
    response
}

/// Answers the first bytes of a connection with bytes that are not HTTP.
async fn answer_garbage(mut stream: tokio::net::TcpStream) {
    use tokio::io::{AsyncReadExt, AsyncWriteExt};
    let mut buffer = [0; 4096];
    let _ = stream.read(&mut buffer).await;
    let _ = stream.write_all(b"\x00\xff this is no answer \r\n\r\n\r\n").await;
}
