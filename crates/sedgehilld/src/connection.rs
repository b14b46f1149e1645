//! Callers' connections over HTTP/1.1, and how a planned stop ends them without cutting off a call.
//!
//! A server cannot take a kept connection back: the caller may send its next call at the moment at which the server
//! closes. So a stop goes in phases. While [`StopPhase::Noticing`], each answer says that its connection ends with it.
//! While [`StopPhase::Ending`], no connection is taken any more, and one on which nothing came for [`IDLE_LIMIT`] ends
//! with an answer in advance, which says that nothing was done. A call that crosses it is answered by that, wholly and
//! truly. The socket is closed only when the caller has closed, or has had time to read: closing one with unread bytes
//! resets the connection and may destroy an answer.

use std::convert::Infallible;
use std::io::IoSlice;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::task::{Context, Poll};
use std::time::Duration;

use http::header::CONNECTION;
use http::{HeaderValue, Request, Response};
use http_body_util::{BodyExt, Full};
use hyper::body::{Bytes, Incoming};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use sedgehill_core::units::{Moment, TimeSpan};
use sedgehill_net::listener;
use slog::{Logger, info};
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt, ReadBuf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

use crate::{clock, telemetry};

/// A caller that pauses for longer between two calls on one connection may meet the answer in advance.
const IDLE_TIMEOUT: TimeSpan = TimeSpan(3_500);
/// How long a caller has to read the last answer and to close.
const CLOSE_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Between two looks at a connection on which a call is under way.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// How far a planned stop has come.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum StopPhase {
    /// The box is not stopping.
    Serving,
    /// Each answer says that its connection ends.
    Announcing,
    /// No connection is taken, and idle ones are ended.
    ClosingIdle,
    /// The process is about to end: what is idle is ended at once.
    ClosingAllIdle,
}

/// Bounds of a connection.
#[derive(Debug, Clone, Copy)]
pub struct ConnectionLimits {
    /// The most header bytes of a call. A buffer begins small and grows up to it.
    pub max_header_bytes: usize,
    /// The most headers of a call; the library's bound if none.
    pub max_headers: Option<usize>,
    /// How long the head of a call may take to arrive; any time if none.
    pub header_timeout: Option<Duration>,
}

/// What all connections of callers share.
pub struct ConnectionManager {
    log: Logger,
    limits: ConnectionLimits,
    idle_response: fn() -> Response<Full<Bytes>>,
    phase: watch::Sender<StopPhase>,
    open: AtomicUsize,
    ended_idle: AtomicUsize,
}

impl ConnectionManager {
    /// A desk without connections. `advance` makes the answer in advance.
    pub fn new(
        log: Logger,
        limits: ConnectionLimits,
        idle_response: fn() -> Response<Full<Bytes>>,
    ) -> Arc<ConnectionManager> {
        Arc::new(ConnectionManager {
            log,
            limits,
            idle_response,
            phase: watch::Sender::new(StopPhase::Serving),
            open: AtomicUsize::new(0),
            ended_idle: AtomicUsize::new(0),
        })
    }

    /// Begins a phase of the stop.
    pub fn enter_phase(&self, phase: StopPhase) {
        self.phase.send_replace(phase);
    }

    /// Open connections, and listeners that take further ones.
    pub fn open_count(&self) -> usize {
        self.open.load(Ordering::SeqCst)
    }

    /// Connections that were ended by an answer in advance.
    pub fn ended_idle(&self) -> usize {
        self.ended_idle.load(Ordering::SeqCst)
    }

    fn track(self: &Arc<Self>) -> OpenGuard {
        self.open.fetch_add(1, Ordering::SeqCst);
        OpenGuard { manager: self.clone() }
    }

    /// Takes connections until the stop has come to its end, and hands each to `spawn`.
    pub async fn accept(self: &Arc<Self>, listener: TcpListener, spawn: impl Fn(CallerConnection)) {
        let _guard = self.track();
        let mut phase = self.phase.subscribe();
        let spawn = |stream| spawn(CallerConnection { stream, guard: self.track() });
        tokio::select! {
            () = listener::accept_all(&listener, &spawn) => {}
            () = wait_for_phase(&mut phase, StopPhase::ClosingIdle) => {}
        }
        listener::close(&self.log, listener, spawn).await;
    }
}

/// Resolves once a phase has begun.
async fn wait_for_phase(phase: &mut watch::Receiver<StopPhase>, wanted: StopPhase) {
    // An error means that the box is gone, which is the end of all phases.
    let _ = phase.wait_for(|now| *now >= wanted).await;
}

/// Counts a connection as open until it is dropped.
struct OpenGuard {
    manager: Arc<ConnectionManager>,
}

impl Drop for OpenGuard {
    fn drop(&mut self) {
        self.manager.open.fetch_sub(1, Ordering::SeqCst);
    }
}

/// When calls were under way on a connection.
struct CallActivity {
    opened_at: Moment,
    calls: AtomicUsize,
    call_in_progress: AtomicBool,
    /// Part of an answer waits for the caller to read.
    write_blocked: AtomicBool,
    last: AtomicU64,
}

impl CallActivity {
    fn new() -> CallActivity {
        let now = clock::now();
        CallActivity {
            opened_at: now,
            calls: AtomicUsize::new(0),
            call_in_progress: AtomicBool::new(false),
            write_blocked: AtomicBool::new(false),
            last: AtomicU64::new(now.0),
        }
    }

    fn begin(&self) {
        self.calls.fetch_add(1, Ordering::SeqCst);
        self.call_in_progress.store(true, Ordering::SeqCst);
    }

    fn end(&self) {
        self.last.store(clock::now().0, Ordering::SeqCst);
        self.call_in_progress.store(false, Ordering::SeqCst);
    }

    /// Notes how a write went.
    fn note_write(&self, is_pending: bool) {
        if self.write_blocked.swap(is_pending, Ordering::SeqCst) && !is_pending {
            self.last.store(clock::now().0, Ordering::SeqCst);
        }
    }

    /// How long nothing was under way; none while a call or its answer is.
    fn idle(&self, now: Moment) -> Option<TimeSpan> {
        let busy = self.call_in_progress.load(Ordering::SeqCst)
            || self.write_blocked.load(Ordering::SeqCst);
        let last = Moment(self.last.load(Ordering::SeqCst));
        (!busy).then(|| now.since(last))
    }
}

/// A stream that notes whether its caller keeps an answer waiting. The library hands a call over as answered when it has
/// the answer, not when it is written.
struct MonitoredStream {
    stream: TcpStream,
    calls: Arc<CallActivity>,
}

impl AsyncRead for MonitoredStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<std::io::Result<()>> {
        Pin::new(&mut self.stream).poll_read(context, buffer)
    }
}

impl AsyncWrite for MonitoredStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<std::io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write(context, bytes);
        self.calls.note_write(written.is_pending());
        written
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[IoSlice<'_>],
    ) -> Poll<std::io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write_vectored(context, slices);
        self.calls.note_write(written.is_pending());
        written
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<std::io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<std::io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}

/// A connection that was taken and not served yet.
pub struct CallerConnection {
    stream: TcpStream,
    guard: OpenGuard,
}

impl CallerConnection {
    /// Serves calls until the connection ends.
    pub async fn serve<F>(self, handle: impl Fn(Request<Incoming>) -> F)
    where
        F: Future<Output = Response<Full<Bytes>>>,
    {
        let CallerConnection { stream, guard } = self;
        let manager = &guard.manager;
        // A connection that ended already is noticed by the first read.
        let _ = stream.set_nodelay(true);
        let calls = Arc::new(CallActivity::new());
        let stream = MonitoredStream { stream, calls: calls.clone() };
        let phase = manager.phase.subscribe();
        let service = service_fn(|request: Request<Incoming>| {
            calls.begin();
            let answering = handle(request);
            let (calls, phase) = (calls.clone(), phase.clone());
            Box::pin(async move {
                let mut response = answering.await;
                if *phase.borrow() > StopPhase::Serving {
                    response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
                }
                calls.end();
                Ok::<_, Infallible>(response)
            })
        });
        let mut connection = manager.builder().serve_connection(TokioIo::new(stream), service);
        loop {
            let mut phase = phase.clone();
            tokio::select! {
                // A call that came while the process stood still is read before its time is taken as over.
                biased;
                result = std::future::poll_fn(|context| connection.poll_without_shutdown(context)) => {
                    let stream = connection.into_parts().io.into_inner();
                    if result.is_ok() {
                        manager.close(stream.stream).await;
                    }
                    return;
                }
                () = wait_until_idle(&calls, &mut phase) => {}
            }
            if calls.idle(clock::now()).is_some() {
                break;
            }
        }
        let parts = connection.into_parts();
        manager.close_idle(parts.io.into_inner().stream, parts.read_buf.len(), &calls).await;
    }
}

/// Resolves once a stop is to end a connection on which no call is under way.
async fn wait_until_idle(calls: &CallActivity, phase: &mut watch::Receiver<StopPhase>) {
    wait_for_phase(phase, StopPhase::ClosingIdle).await;
    loop {
        let is_last = *phase.borrow() == StopPhase::ClosingAllIdle;
        let pause = match calls.idle(clock::now()) {
            Some(idle) if is_last || idle >= IDLE_TIMEOUT => return,
            Some(idle) => Duration::from_millis(IDLE_TIMEOUT.0 - idle.0),
            None => POLL_INTERVAL,
        };
        tokio::select! {
            () = tokio::time::sleep(pause) => {}
            () = wait_for_phase(phase, StopPhase::ClosingAllIdle), if !is_last => {}
        }
    }
}

impl ConnectionManager {
    fn builder(&self) -> http1::Builder {
        let mut builder = http1::Builder::new();
        builder
            .timer(TokioTimer::new())
            .header_read_timeout(self.limits.header_timeout)
            .max_buf_size(self.limits.max_header_bytes);
        if let Some(headers) = self.limits.max_headers {
            builder.max_headers(headers);
        }
        builder
    }

    /// Closes a connection after its last answer.
    async fn close(&self, mut stream: TcpStream) {
        // An error means that the caller is gone.
        let _ = stream.shutdown().await;
        if *self.phase.borrow() > StopPhase::Serving {
            read_until_closed(&mut stream).await;
        }
    }

    /// Ends a connection on which nothing came for long.
    async fn close_idle(&self, mut stream: TcpStream, unread: usize, calls: &CallActivity) {
        let idle = calls.idle(clock::now()).unwrap_or_default();
        let idle_response = encode((self.idle_response)()).await;
        let written = tokio::time::timeout(CLOSE_TIMEOUT, stream.write_all(&idle_response)).await;
        // An error means that the caller is gone.
        let _ = stream.shutdown().await;
        let crossed = unread + read_until_closed(&mut stream).await;
        self.ended_idle.fetch_add(1, Ordering::SeqCst);
        let cause = if crossed > 0 { "idle_call_crossed" } else { "idle" };
        telemetry::count_connection_end(cause);
        if crossed > 0 {
            let is_written = matches!(written, Ok(Ok(())));
            info!(self.log, "connection ended while a call was on its way";
                "age_ms" => clock::now().since(calls.opened_at).0,
                "calls" => calls.calls.load(Ordering::SeqCst), "idle_ms" => idle.0,
                "unread_bytes" => crossed, "answered" => is_written);
        }
    }
}

/// Reads until the caller closes, for as long as it has time to; how many bytes came.
async fn read_until_closed(stream: &mut TcpStream) -> usize {
    let mut count = 0;
    let reading = async {
        let mut bytes = [0; 1_024];
        // An error ends the connection as well.
        while let Ok(read @ 1..) = stream.read(&mut bytes).await {
            count += read;
        }
    };
    // A caller that does not close has had time to read.
    let _ = tokio::time::timeout(CLOSE_TIMEOUT, reading).await;
    count
}

/// An answer as bytes, for a connection that the library serves no longer.
async fn encode(response: Response<Full<Bytes>>) -> Vec<u8> {
    let (parts, body) = response.into_parts();
    let body = body.collect().await.unwrap_or_else(|never| match never {}).to_bytes();
    let reason = parts.status.canonical_reason().unwrap_or_default();
    let mut bytes = format!("HTTP/1.1 {} {reason}\r\n", parts.status.as_u16()).into_bytes();
    for (name, value) in parts.headers.iter().filter(|(name, _)| **name != CONNECTION) {
        bytes.extend_from_slice(name.as_str().as_bytes());
        bytes.extend_from_slice(b": ");
        bytes.extend_from_slice(value.as_bytes());
        bytes.extend_from_slice(b"\r\n");
    }
    let end = format!("connection: close\r\ncontent-length: {}\r\n\r\n", body.len());
    bytes.extend_from_slice(end.as_bytes());
    bytes.extend_from_slice(&body);
    bytes
}
