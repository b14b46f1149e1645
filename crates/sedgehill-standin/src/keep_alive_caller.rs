//! A caller that keeps its connection, pauses between calls, and tells a call that was cut off from a connection that
//! ended between two calls.

use std::net::SocketAddr;
use std::ops::RangeInclusive;
use std::sync::Arc;
use std::time::{Duration, Instant};

use rand::Rng;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::task::JoinSet;

/// How long one call may take.
const CALL_LIMIT: Duration = Duration::from_secs(20);

/// How one call on a kept connection ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum KeepAliveOutcome {
    /// A whole answer came, with this status.
    Answered(u16),
    /// No connection could be made: nothing was sent.
    Refused,
    /// The connection ended after something of the call was sent and before the whole answer came.
    Cut(String),
}

/// A caller with one connection.
pub struct KeepAliveCaller {
    address: SocketAddr,
    request: Arc<str>,
    stream: Option<TcpStream>,
    calls: usize,
}

impl KeepAliveCaller {
    /// A caller that sends `request`, a whole HTTP/1.1 request, to `address`.
    pub fn new(address: SocketAddr, request: Arc<str>) -> KeepAliveCaller {
        KeepAliveCaller { address, request, stream: None, calls: 0 }
    }

    /// Makes one call, on the kept connection if that has not ended.
    pub async fn call(&mut self) -> KeepAliveOutcome {
        let kept = self.stream.take().filter(is_open);
        let mut stream = match kept {
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
        match tokio::time::timeout(CALL_LIMIT, exchange).await {
            Ok(Ok((status, goes_on))) => {
                self.stream = goes_on.then_some(stream);
                KeepAliveOutcome::Answered(status)
            }
            Ok(Err(error)) => {
                KeepAliveOutcome::Cut(format!("call {} of its connection: {error}", self.calls))
            }
            Err(_) => KeepAliveOutcome::Cut("no answer in time".to_owned()),
        }
    }
}

fn is_open(stream: &TcpStream) -> bool {
    let nothing = stream.try_read(&mut [0; 1]);
    matches!(nothing, Err(error) if error.kind() == std::io::ErrorKind::WouldBlock)
}

/// Sends a request and reads its answer: the status, and whether the connection goes on.
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

/// What callers met until a box took no connection any more.
#[derive(Debug, Default)]
pub struct StopTally {
    /// Calls.
    pub calls: usize,
    /// Calls that were cut off: when, counted from `begun`, and how.
    pub cut: Vec<(Duration, String)>,
    /// Whole answers that are neither 200 nor one that the test expects of a running box.
    pub refused: usize,
}

/// Has callers go on at one address until it takes no connection.
pub async fn call_until_refused(
    address: SocketAddr,
    request: &str,
    callers: usize,
    pauses_ms: RangeInclusive<u64>,
) -> StopTally {
    let request: Arc<str> = request.into();
    let begun = Instant::now();
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
                    KeepAliveOutcome::Cut(how) => tally.cut.push((begun.elapsed(), how)),
                }
                tally.calls += 1;
                let pause = rand::rng().random_range(pauses_ms.clone());
                if pause > 0 {
                    tokio::time::sleep(Duration::from_millis(pause)).await;
                }
            }
        });
    }
    let mut sum = StopTally::default();
    for tally in tasks.join_all().await {
        sum.calls += tally.calls;
        sum.refused += tally.refused;
        sum.cut.extend(tally.cut);
    }
    sum
}
