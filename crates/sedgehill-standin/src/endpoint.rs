//! A stand-in for an endpoint: it works for as long as the request says and answers with bytes that
//! its caller can check.

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

use crate::http_server::{ServerGuard, query_value};
use crate::ledger::RuleLedger;

/// The header in which a caller names its request.
pub const TOKEN_HEADER: &str = "x-caller-token";
/// The header by which an endpoint says that it did not begin a request.
const REFUSED_HEADER: &str = "sedgehill-refused";
/// What an answer is filled with where no size is asked for, in bytes.
const DEFAULT_SIZE: usize = 64;
/// Between the first half of a cut answer and the cut.
const CUT_PAUSE: Duration = Duration::from_millis(20);

/// What is wrong with an endpoint.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum EndpointFault {
    /// Nothing.
    #[default]
    None,
    /// It refuses each request by the documented sign.
    Refuses,
    /// It answers each request with an error at once.
    FailsFast,
    /// It begins and never answers.
    Hangs,
    /// It cuts each answer short.
    CutsAnswers,
    /// It begins and closes the connection without an answer.
    Closes,
    /// It answers with bytes that are no HTTP.
    Garbage,
}

type AnswerBody = UnsyncBoxBody<Bytes, std::io::Error>;

/// An endpoint, shared by its server and by whoever makes it fail.
#[derive(Debug, Clone)]
pub struct StandinEndpoint {
    id: EndpointId,
    slots: u32,
    ledger: RuleLedger,
    fault: Arc<Mutex<EndpointFault>>,
    busy: Arc<AtomicU32>,
}

impl StandinEndpoint {
    /// An endpoint that serves `slots` requests at once and refuses more.
    pub fn new(id: EndpointId, slots: u32, ledger: RuleLedger) -> StandinEndpoint {
        StandinEndpoint { id, slots, ledger, fault: Arc::default(), busy: Arc::default() }
    }

    /// Its name.
    pub fn id(&self) -> &EndpointId {
        &self.id
    }

    /// Makes it fail, or heal.
    pub fn set_fault(&self, fault: EndpointFault) {
        *self.fault.lock() = fault;
    }

    /// Listens on `address`.
    pub async fn serve(&self, address: SocketAddr) -> std::io::Result<ServerGuard> {
        let listener = TcpListener::bind(address).await?;
        let address = listener.local_addr()?;
        let endpoint = self.clone();
        let open = Arc::new(());
        let sockets = Arc::downgrade(&open);
        let task = tokio::spawn(async move {
            let mut connections = tokio::task::JoinSet::new();
            loop {
                let Ok((stream, _)) = listener.accept().await else { continue };
                let _ = stream.set_nodelay(true);
                let open = open.clone();
                if *endpoint.fault.lock() == EndpointFault::Garbage {
                    connections.spawn(async move {
                        let _open = open;
                        answer_garbage(stream).await;
                    });
                    continue;
                }
                let endpoint = endpoint.clone();
                connections.spawn(async move {
                    let _open = open;
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
        let slot = SlotGuard::take(&self.busy);
        if slot.taken > self.slots || fault == EndpointFault::Refuses {
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
        let size: usize = query_value(&request, "size").unwrap_or(DEFAULT_SIZE);
        let body = request.into_body().collect().await.map_err(std::io::Error::other)?.to_bytes();
        let run = RunGuard::begin(&self.ledger, &token, &self.id);
        // The work goes on when its caller is gone, as it does on a real endpoint.
        let working = tokio::spawn(async move {
            tokio::time::sleep(Duration::from_millis(work)).await;
            drop((run, slot));
        });
        working.await.map_err(std::io::Error::other)?;
        let answer = expected_answer(&token, &body, size);
        match fault {
            EndpointFault::Hangs => std::future::pending().await,
            EndpointFault::Closes => Err(std::io::Error::other("closed on purpose")),
            EndpointFault::CutsAnswers => Ok(cut(answer)),
            _ => Ok(plain(StatusCode::OK, answer)),
        }
    }
}

/// Counts a request as being served while it lives.
struct SlotGuard {
    busy: Arc<AtomicU32>,
    taken: u32,
}

impl SlotGuard {
    fn take(busy: &Arc<AtomicU32>) -> SlotGuard {
        let taken = busy.fetch_add(1, Ordering::SeqCst) + 1;
        SlotGuard { busy: busy.clone(), taken }
    }
}

impl Drop for SlotGuard {
    fn drop(&mut self) {
        self.busy.fetch_sub(1, Ordering::SeqCst);
    }
}

/// Notes in the ledger that a request runs while it lives.
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

/// The bytes that a request with this token and body is answered with.
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

/// An answer that promises all bytes, sends half and fails.
fn cut(answer: Bytes) -> Response<AnswerBody> {
    let half = answer.slice(..answer.len() / 2);
    let (mut sender, body) = http_body_util::channel::Channel::new(1);
    tokio::spawn(async move {
        let _ = sender.send_data(half).await;
        // What was sent so far leaves before the connection is closed.
        tokio::time::sleep(CUT_PAUSE).await;
        sender.abort(std::io::Error::other("cut on purpose"));
    });
    let mut response = Response::new(body.boxed_unsync());
    let length = http::HeaderValue::from_str(&answer.len().to_string()).expect("digits");
    response.headers_mut().insert(http::header::CONTENT_LENGTH, length);
    response
}

async fn answer_garbage(mut stream: tokio::net::TcpStream) {
    use tokio::io::{AsyncReadExt, AsyncWriteExt};
    let mut buffer = [0; 4096];
    let _ = stream.read(&mut buffer).await;
    let _ = stream.write_all(b"\x00\xff this is no answer \r\n\r\n\r\n").await;
}
