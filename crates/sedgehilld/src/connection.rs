//! Serves callers' HTTP/1.1 connections, and closes them in a planned stop without cutting off a call.
//!
//! A server cannot close a keep-alive connection safely by itself: the caller may send its next call at that moment.
//! A planned stop therefore has several phases. From [`StopPhase::Announcing`] on, each response carries
//! `connection: close`. From [`StopPhase::ClosingIdle`] on, no connection is accepted, and the box sends an unsolicited
//! response on each connection that was idle for [`IDLE_TIMEOUT`] before closing it. A call that is in transit at that
//! time receives this response, which is a true answer because the call was not read. The socket is closed only after
//! the caller has closed its side or had [`CLOSE_TIMEOUT`] to read: closing a socket with unread bytes resets the
//! connection, and the caller may lose the response.

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

/// Time without a call after which a stop closes a connection with the idle response.
const IDLE_TIMEOUT: TimeSpan = TimeSpan(3_500);
/// How long a caller has to read the last response and to close its side.
const CLOSE_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Interval of checking whether the call in progress on a connection has finished.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// The phase of a planned stop. Later phases compare as greater.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum StopPhase {
    /// The box is not stopping.
    Serving,
    /// Each response carries `connection: close`.
    Announcing,
    /// No connection is accepted, and connections are closed once they were idle for [`IDLE_TIMEOUT`].
    ClosingIdle,
    /// The process is about to exit: idle connections are closed at once.
    ClosingAllIdle,
}

/// Limits of a caller's connection.
#[derive(Debug, Clone, Copy)]
pub struct ConnectionLimits {
    /// Maximum total size of the headers of a call, in bytes. The buffer of a connection grows up to it as needed.
    pub max_header_bytes: usize,
    /// Maximum number of headers of a call; `None` for hyper's default.
    pub max_headers: Option<usize>,
    /// How long the head of a call may take to arrive; `None` for no limit.
    pub header_timeout: Option<Duration>,
}

/// Accepts callers' connections, counts the open ones, and closes them in a planned stop.
pub struct ConnectionManager {
    log: Logger,
    limits: ConnectionLimits,
    idle_response: fn() -> Response<Full<Bytes>>,
    phase: watch::Sender<StopPhase>,
    open: AtomicUsize,
    ended_idle: AtomicUsize,
}

impl ConnectionManager {
    /// Creates a manager without connections. `idle_response` builds the response that is sent on an idle connection
    /// before it is closed.
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

    /// Starts a phase of the planned stop.
    pub fn enter_phase(&self, phase: StopPhase) {
        self.phase.send_replace(phase);
    }

    /// Returns the number of open connections, plus one for each listener that still accepts connections.
    pub fn open_count(&self) -> usize {
        self.open.load(Ordering::SeqCst)
    }

    /// Returns the number of connections that were closed with the idle response.
    pub fn ended_idle(&self) -> usize {
        self.ended_idle.load(Ordering::SeqCst)
    }

    fn track(self: &Arc<Self>) -> OpenGuard {
        self.open.fetch_add(1, Ordering::SeqCst);
        OpenGuard { manager: self.clone() }
    }

    /// Accepts connections and passes each to `spawn`, until [`StopPhase::ClosingIdle`]; then closes the listener.
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

/// Returns once the stop has reached a phase.
async fn wait_for_phase(phase: &mut watch::Receiver<StopPhase>, target: StopPhase) {
    // An error means that the manager was dropped, which ends the stop.
    let _ = phase.wait_for(|current| *current >= target).await;
}

/// Counts a connection or listener as open until it is dropped.
struct OpenGuard {
    manager: Arc<ConnectionManager>,
}

impl Drop for OpenGuard {
    fn drop(&mut self) {
        self.manager.open.fetch_sub(1, Ordering::SeqCst);
    }
}

/// Tracks the calls on a connection, to tell whether and since when it is idle.
struct CallActivity {
    opened_at: Moment,
    call_count: AtomicUsize,
    call_in_progress: AtomicBool,
    /// Whether part of a response waits for the caller to read.
    write_blocked: AtomicBool,
    /// When the last call or write ended, in milliseconds of [`clock::now`].
    last_active: AtomicU64,
}

impl CallActivity {
    fn new() -> CallActivity {
        let now = clock::now();
        CallActivity {
            opened_at: now,
            call_count: AtomicUsize::new(0),
            call_in_progress: AtomicBool::new(false),
            write_blocked: AtomicBool::new(false),
            last_active: AtomicU64::new(now.0),
        }
    }

    fn begin_call(&self) {
        self.call_count.fetch_add(1, Ordering::SeqCst);
        self.call_in_progress.store(true, Ordering::SeqCst);
    }

    fn end_call(&self) {
        self.last_active.store(clock::now().0, Ordering::SeqCst);
        self.call_in_progress.store(false, Ordering::SeqCst);
    }

    /// Records whether a write is blocked. The end of a blocked write counts as activity.
    fn record_write(&self, is_pending: bool) {
        if self.write_blocked.swap(is_pending, Ordering::SeqCst) && !is_pending {
            self.last_active.store(clock::now().0, Ordering::SeqCst);
        }
    }

    /// Returns how long the connection has been idle, or `None` while a call is in progress or its response is not
    /// written.
    fn idle_time(&self, now: Moment) -> Option<TimeSpan> {
        let is_busy = self.call_in_progress.load(Ordering::SeqCst)
            || self.write_blocked.load(Ordering::SeqCst);
        let last_active = Moment(self.last_active.load(Ordering::SeqCst));
        (!is_busy).then(|| now.since(last_active))
    }
}

/// A TCP stream that records whether a write is blocked because the caller does not read. It is needed because hyper
/// finishes a call when it has received the response, not when it has written it.
struct MonitoredStream {
    stream: TcpStream,
    activity: Arc<CallActivity>,
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
        self.activity.record_write(written.is_pending());
        written
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[IoSlice<'_>],
    ) -> Poll<std::io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write_vectored(context, slices);
        self.activity.record_write(written.is_pending());
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

/// A caller's connection that is accepted and not yet served.
pub struct CallerConnection {
    stream: TcpStream,
    guard: OpenGuard,
}

impl CallerConnection {
    /// Serves calls with `handle` until the caller or a planned stop closes the connection.
    pub async fn serve<F>(self, handle: impl Fn(Request<Incoming>) -> F)
    where
        F: Future<Output = Response<Full<Bytes>>>,
    {
        let CallerConnection { stream, guard } = self;
        let manager = &guard.manager;
        // An error means that the connection is closed, which the first read reports.
        let _ = stream.set_nodelay(true);
        let activity = Arc::new(CallActivity::new());
        let stream = MonitoredStream { stream, activity: activity.clone() };
        let phase = manager.phase.subscribe();
        let service = service_fn(|request: Request<Incoming>| {
            activity.begin_call();
            let response = handle(request);
            let (activity, phase) = (activity.clone(), phase.clone());
            Box::pin(async move {
                let mut response = response.await;
                if *phase.borrow() > StopPhase::Serving {
                    response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
                }
                activity.end_call();
                Ok::<_, Infallible>(response)
            })
        });
        let mut connection = manager.builder().serve_connection(TokioIo::new(stream), service);
        loop {
            let mut phase = phase.clone();
            tokio::select! {
                // After a pause of the process, reads a call that arrived meanwhile before it checks the idle time.
                biased;
                result = std::future::poll_fn(|context| connection.poll_without_shutdown(context)) => {
                    let stream = connection.into_parts().io.into_inner();
                    if result.is_ok() {
                        manager.close(stream.stream).await;
                    }
                    return;
                }
                () = wait_until_idle(&activity, &mut phase) => {}
            }
            if activity.idle_time(clock::now()).is_some() {
                break;
            }
        }
        let parts = connection.into_parts();
        manager.close_idle(parts.io.into_inner().stream, parts.read_buf.len(), &activity).await;
    }
}

/// Returns once a planned stop is due to close the connection because it is idle.
async fn wait_until_idle(activity: &CallActivity, phase: &mut watch::Receiver<StopPhase>) {
    wait_for_phase(phase, StopPhase::ClosingIdle).await;
    loop {
        let is_last = *phase.borrow() == StopPhase::ClosingAllIdle;
        let delay = match activity.idle_time(clock::now()) {
            Some(idle_time) if is_last || idle_time >= IDLE_TIMEOUT => return,
            Some(idle_time) => Duration::from_millis(IDLE_TIMEOUT.0 - idle_time.0),
            None => POLL_INTERVAL,
        };
        tokio::select! {
            () = tokio::time::sleep(delay) => {}
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
        if let Some(max_headers) = self.limits.max_headers {
            builder.max_headers(max_headers);
        }
        builder
    }

    /// Closes a connection after its last response.
    async fn close(&self, mut stream: TcpStream) {
        // An error means that the caller has closed the connection.
        let _ = stream.shutdown().await;
        if *self.phase.borrow() > StopPhase::Serving {
            read_until_closed(&mut stream).await;
        }
    }

    /// Sends the idle response on an idle connection and closes it. `buffered_bytes` of a further call may be in the
    /// read buffer already.
    async fn close_idle(
        &self,
        mut stream: TcpStream,
        buffered_bytes: usize,
        activity: &CallActivity,
    ) {
        let idle_time = activity.idle_time(clock::now()).unwrap_or_default();
        let idle_response = encode_response((self.idle_response)()).await;
        let write_result =
            tokio::time::timeout(CLOSE_TIMEOUT, stream.write_all(&idle_response)).await;
        // An error means that the caller has closed the connection.
        let _ = stream.shutdown().await;
        let unread_bytes = buffered_bytes + read_until_closed(&mut stream).await;
        self.ended_idle.fetch_add(1, Ordering::SeqCst);
        let cause = if unread_bytes > 0 { "idle_call_crossed" } else { "idle" };
        telemetry::count_connection_end(cause);
        if unread_bytes > 0 {
            let is_written = matches!(write_result, Ok(Ok(())));
            info!(self.log, "connection ended while a call was on its way";
                "age_ms" => clock::now().since(activity.opened_at).0,
                "calls" => activity.call_count.load(Ordering::SeqCst), "idle_ms" => idle_time.0,
                "unread_bytes" => unread_bytes, "answered" => is_written);
        }
    }
}

/// Reads and discards bytes until the caller closes its side, for at most [`CLOSE_TIMEOUT`]. Returns their number.
async fn read_until_closed(stream: &mut TcpStream) -> usize {
    let mut total_bytes = 0;
    let reading = async {
        let mut buffer = [0; 1_024];
        // An error means that the connection is closed.
        while let Ok(byte_count @ 1..) = stream.read(&mut buffer).await {
            total_bytes += byte_count;
        }
    };
    // The caller has had time to read the response, whether it closed its side or not.
    let _ = tokio::time::timeout(CLOSE_TIMEOUT, reading).await;
    total_bytes
}

/// Encodes a response as HTTP/1.1, for a connection that hyper no longer serves.
async fn encode_response(response: Response<Full<Bytes>>) -> Vec<u8> {
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
    let last_headers = format!("connection: close\r\ncontent-length: {}\r\n\r\n", body.len());
    bytes.extend_from_slice(last_headers.as_bytes());
    bytes.extend_from_slice(&body);
    bytes
}
