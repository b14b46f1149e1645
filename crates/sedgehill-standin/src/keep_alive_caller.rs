//! A caller that reuses its connection, pauses between calls, and distinguishes a call that was cut off from a
//! connection that was closed between two calls.

use std::net::SocketAddr;
use std::ops::RangeInclusive;
use std::sync::Arc;
use std::time::{Duration, Instant};

use rand::Rng;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::task::JoinSet;

/// Timeout of a call.
const CALL_TIMEOUT: Duration = Duration::from_secs(20);

/// The outcome of a call.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum KeepAliveOutcome {
    /// A whole response with this status.
    Answered(u16),
    /// No connection could be opened, so that nothing was sent.
    Refused,
    /// The connection ended, or the call timed out, after a part of the request was sent and before the whole response
    /// came. Holds a description.
    Cut(String),
}

/// A caller with one connection.
pub struct KeepAliveCaller {
    address: SocketAddr,
    request: Arc<str>,
    stream: Option<TcpStream>,
    /// Calls on the present connection.
    calls: usize,
}

impl KeepAliveCaller {
    /// Creates a caller that sends `request`, a whole HTTP/1.1 request, to `address`.
    pub fn new(address: SocketAddr, request: Arc<str>) -> KeepAliveCaller {
        KeepAliveCaller { address, request, stream: None, calls: 0 }
    }

    /// Returns whether the connection of the last call is still open.
    pub fn is_connected(&self) -> bool {
        self.stream.as_ref().is_some_and(is_open)
    }

    /// Makes a call, on the connection of the last one if that is still open.
    pub async fn call(&mut self) -> KeepAliveOutcome {
        let open_stream = self.stream.take().filter(is_open);
        let mut stream = match open_stream {
            Some(stream) => stream,
            None => {
                self.calls = 0;
                match TcpStream::connect(self.address).await {
                    Ok(stream) => stream,
                    Err(_) => return KeepAliveOutcome::Refused,
                }
            }
        };
        self.calls += 1;
        let exchange = exchange(&mut stream, &self.request);
        match tokio::time::timeout(CALL_TIMEOUT, exchange).await {
            Ok(Ok((status, keeps_open))) => {
                self.stream = keeps_open.then_some(stream);
                KeepAliveOutcome::Answered(status)
            }
            Ok(Err(error)) => {
                KeepAliveOutcome::Cut(format!("call {} of its connection: {error}", self.calls))
            }
            Err(_) => KeepAliveOutcome::Cut("no answer in time".to_owned()),
        }
    }
}

/// Returns whether a connection is open and has no unread bytes.
fn is_open(stream: &TcpStream) -> bool {
    let read = stream.try_read(&mut [0; 1]);
    matches!(read, Err(error) if error.kind() == std::io::ErrorKind::WouldBlock)
}

/// Sends a request and reads the response. Returns the status, and whether the connection stays open.
async fn exchange(stream: &mut TcpStream, request: &str) -> std::io::Result<(u16, bool)> {
    let ended = |at: &str| std::io::Error::other(format!("ended {at}"));
    stream.write_all(request.as_bytes()).await?;
    let mut bytes = Vec::new();
    let head_end = loop {
        if let Some(at) = bytes.windows(4).position(|window| window == b"\r\n\r\n") {
            break at + 4;
        }
        if stream.read_buf(&mut bytes).await? == 0 {
            return Err(ended("before the answer"));
        }
    };
    let head = String::from_utf8_lossy(&bytes[..head_end]).to_ascii_lowercase();
    let header = |name: &str| {
        let line = head.lines().find(|line| line.starts_with(name))?;
        Some(line.split_once(':')?.1.trim().to_owned())
    };
    let length: usize = header("content-length").and_then(|text| text.parse().ok()).unwrap_or(0);
    while bytes.len() < head_end + length {
        if stream.read_buf(&mut bytes).await? == 0 {
            return Err(ended("within the answer"));
        }
    }
    let status = head.split(' ').nth(1).and_then(|text| text.parse().ok()).unwrap_or(0);
    Ok((status, header("connection").as_deref() != Some("close")))
}

/// Outcomes of the calls of [`call_until_refused`].
#[derive(Debug, Default)]
pub struct StopTally {
    /// Number of calls.
    pub calls: usize,
    /// Calls that were cut off: the time since the first call began, and a description.
    pub cut: Vec<(Duration, String)>,
    /// Number of responses with status 503.
    pub refused: usize,
}

/// Lets `callers` callers repeat a request to an address, with random pauses, until it refuses connections.
pub async fn call_until_refused(
    address: SocketAddr,
    request: &str,
    callers: usize,
    pauses_ms: RangeInclusive<u64>,
) -> StopTally {
    let request: Arc<str> = request.into();
    let started = Instant::now();
    let mut tasks = JoinSet::new();
    for _ in 0..callers {
        let (mut caller, pauses_ms) =
            (KeepAliveCaller::new(address, request.clone()), pauses_ms.clone());
        tasks.spawn(async move {
            let mut tally = StopTally::default();
            loop {
                match caller.call().await {
                    KeepAliveOutcome::Refused => return tally,
                    KeepAliveOutcome::Answered(status) => {
                        tally.refused += usize::from(status == 503)
                    }
                    KeepAliveOutcome::Cut(description) => {
                        tally.cut.push((started.elapsed(), description))
                    }
                }
                tally.calls += 1;
                let pause = rand::rng().random_range(pauses_ms.clone());
                if pause > 0 {
                    tokio::time::sleep(Duration::from_millis(pause)).await;
                }
            }
        });
    }
    let mut total = StopTally::default();
    for tally in tasks.join_all().await {
        total.calls += tally.calls;
        total.refused += tally.refused;
        total.cut.extend(tally.cut);
    }
    total
}
