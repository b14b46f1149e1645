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
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use http::header::CONNECTION;
use http::{HeaderValue, Request, Response};
use http_body_util::{BodyExt, Full};
use hyper::body::{Body, Bytes, Incoming};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use sedgehill_core::client_budget::{ClientPhase, Eviction};
use sedgehill_core::units::TimeSpan;
use sedgehill_net::listener;
use slog::{Logger, info, warn};
use socket2::SockRef;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Semaphore, SemaphorePermit, watch};

use crate::client::{CallMemory, ClientHandle, ClientRegistry};
use crate::monitored_stream::{CallActivity, MonitoredStream, SOCKET_BUFFER_BYTES};
use crate::{clock, telemetry};

/// Time without a call after which a stop closes a connection with the idle response.
const IDLE_TIMEOUT: TimeSpan = TimeSpan(3_500);
/// How long a caller has to read the last response and to close its side.
const CLOSE_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Pause after the system failed to accept a connection.
const ACCEPT_ERROR_PAUSE: Duration = Duration::from_millis(50);
/// Maximum number of calls that clients sent together with earlier ones and that are handled between two turns of all
/// other tasks. Without it such clients would take the processor from other calls and from the box's own tasks.
const MAX_PIPELINED_CALLS: usize = 8;
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

/// Accepts callers' connections, counts the open ones, and closes them in a planned stop or to make room for others.
pub struct ConnectionManager {
    log: Logger,
    limits: ConnectionLimits,
    clients: Arc<ClientRegistry>,
    idle_response: fn() -> Response<Full<Bytes>>,
    phase: watch::Sender<StopPhase>,
    open: AtomicUsize,
    ended_idle: AtomicUsize,
    /// Turns of calls that clients sent together with earlier ones.
    pipelined_calls: Semaphore,
}

impl ConnectionManager {
    /// Creates a manager without connections, whose clients share `clients`. `idle_response` builds the response that is
    /// sent on a connection before it is closed without a call in progress.
    pub fn new(
        log: Logger,
        limits: ConnectionLimits,
        clients: Arc<ClientRegistry>,
        idle_response: fn() -> Response<Full<Bytes>>,
    ) -> Arc<ConnectionManager> {
        Arc::new(ConnectionManager {
            log,
            limits,
            clients,
            idle_response,
            phase: watch::Sender::new(StopPhase::Serving),
            open: AtomicUsize::new(0),
            ended_idle: AtomicUsize::new(0),
            pipelined_calls: Semaphore::new(MAX_PIPELINED_CALLS),
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
        if let Err(error) = set_buffer_sizes(&listener) {
            info!(self.log, "socket buffers keep their default size"; "error" => %error);
        }
        let mut phase = self.phase.subscribe();
        let spawn = |stream, client| {
            spawn(CallerConnection { stream, client: Arc::new(client), guard: self.track() })
        };
        tokio::select! {
            () = self.accept_within_limits(&listener, &spawn) => {}
            () = wait_for_phase(&mut phase, StopPhase::ClosingIdle) => {}
        }
        listener::close(&self.log, listener, |stream| spawn(stream, self.clients.add())).await;
    }

    /// Accepts connections while there is room for them. The others wait in the queue of the listener. Never returns.
    async fn accept_within_limits(
        &self,
        listener: &TcpListener,
        spawn: &impl Fn(TcpStream, ClientHandle),
    ) {
        let mut failed = false;
        loop {
            let client = self.clients.admit().await;
            // It must not have to make room before it has a connection.
            client.set_phase(ClientPhase::Answering);
            match listener.accept().await {
                Ok((stream, _)) => {
                    client.set_phase(ClientPhase::Silent);
                    spawn(stream, client);
                    failed = false;
                }
                Err(error) => {
                    if !failed {
                        warn!(self.log, "connections cannot be accepted"; "error" => %error);
                    }
                    failed = true;
                    tokio::time::sleep(ACCEPT_ERROR_PAUSE).await;
                }
            }
        }
    }
}

/// Sets the buffer sizes that the connections of a listener take over.
fn set_buffer_sizes(listener: &TcpListener) -> std::io::Result<()> {
    let socket = SockRef::from(listener);
    socket.set_recv_buffer_size(SOCKET_BUFFER_BYTES)?;
    socket.set_send_buffer_size(SOCKET_BUFFER_BYTES)
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

/// A caller's connection that is accepted and not yet served.
pub struct CallerConnection {
    stream: TcpStream,
    client: Arc<ClientHandle>,
    guard: OpenGuard,
}

/// A reason for which the box closes a connection by itself.
enum CloseReason {
    /// A planned stop is due to close it because it is idle.
    Idle,
    /// It has to make room for others.
    Evicted,
    /// The head of a call takes too long to arrive.
    LateHead,
}

impl CallerConnection {
    /// Serves calls with `handle` until the caller or the box closes the connection. `handle` charges what a call holds
    /// to its [`CallMemory`].
    pub async fn serve<F, B>(self, handle: impl Fn(Request<Incoming>, CallMemory) -> F)
    where
        F: Future<Output = Response<B>>,
        B: Body<Data = Bytes, Error: Into<Box<dyn std::error::Error + Send + Sync>>> + 'static,
    {
        let CallerConnection { stream, client, guard } = self;
        let manager = &guard.manager;
        // An error means that the connection is closed, which the first read reports.
        let _ = stream.set_nodelay(true);
        let activity = Arc::new(CallActivity::new(client, manager.limits.max_header_bytes));
        let stream = MonitoredStream::new(stream, activity.clone());
        let service = service_fn(|request: Request<Incoming>| {
            let has_body = !request.body().is_end_stream();
            let is_pipelined = activity.begin_call();
            let activity = activity.clone();
            let handle = &handle;
            Box::pin(async move {
                let _turn = manager.wait_for_turn(&activity, is_pipelined).await;
                activity.handle_call(has_body);
                let memory = CallMemory::new(activity.client().clone());
                let mut response = handle(request, memory).await;
                if manager.is_last_call(activity.client()) {
                    response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
                }
                activity.end_call(response.body().size_hint().lower());
                Ok::<_, Infallible>(response)
            })
        });
        let mut connection = manager.builder().serve_connection(TokioIo::new(stream), service);
        loop {
            let reason = tokio::select! {
                // After a pause of the process, reads a call that arrived meanwhile before it checks the idle time.
                biased;
                result = std::future::poll_fn(|context| connection.poll_without_shutdown(context)) => {
                    let stream = connection.into_parts().io.into_inner();
                    if result.is_ok() {
                        manager.close(stream.into_inner()).await;
                    }
                    return;
                }
                reason = manager.wait_for_close_reason(&activity) => reason,
            };
            match reason {
                CloseReason::Idle if activity.idle_time(clock::now()).is_some() => {
                    let parts = connection.into_parts();
                    let stream = parts.io.into_inner().into_inner();
                    return manager.close_idle(stream, parts.read_buf.len(), &activity).await;
                }
                CloseReason::Evicted if activity.is_evictable() => {
                    let stream = connection.into_parts().io.into_inner().into_inner();
                    return manager.close_now(stream, &activity, "evicted").await;
                }
                CloseReason::LateHead => {
                    let stream = connection.into_parts().io.into_inner().into_inner();
                    return manager.close_now(stream, &activity, "late_head").await;
                }
                CloseReason::Idle | CloseReason::Evicted => {}
            }
        }
    }
}

/// Returns once the connection has to make room and no call on it is being handled.
async fn wait_until_evictable(activity: &CallActivity) {
    loop {
        activity.client().evicted(Eviction::Connection).await;
        if activity.is_evictable() {
            return;
        }
        // The handler ends soon, since it reads the body no further.
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

/// Returns once the head of a call has been incomplete for the time limit, if there is one.
async fn wait_for_late_head(activity: &CallActivity, timeout: Option<Duration>) {
    match timeout {
        Some(timeout) => activity.wait_for_late_head(timeout).await,
        None => std::future::pending().await,
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
    /// Waits until a call may be handled. Returns the turn of a call that was sent together with an earlier one, which
    /// has to be kept until the call ends.
    async fn wait_for_turn(
        &self,
        activity: &CallActivity,
        is_pipelined: bool,
    ) -> Option<SemaphorePermit<'_>> {
        activity.wait_until_written().await;
        if !is_pipelined {
            return None;
        }
        activity.charge_queue();
        // An error cannot occur, since the semaphore is never closed.
        let turn = self.pipelined_calls.acquire().await.ok();
        tokio::task::yield_now().await;
        turn
    }

    /// Returns whether the response to a call has to announce the end of the connection.
    fn is_last_call(&self, client: &ClientHandle) -> bool {
        *self.phase.borrow() > StopPhase::Serving || client.must_close() || !client.may_keep_idle()
    }

    /// Waits until the box has a reason to close a connection by itself. The reason may not hold any more when the
    /// connection is looked at again.
    async fn wait_for_close_reason(&self, activity: &CallActivity) -> CloseReason {
        let mut phase = self.phase.subscribe();
        tokio::select! {
            () = wait_until_idle(activity, &mut phase) => CloseReason::Idle,
            () = wait_until_evictable(activity) => CloseReason::Evicted,
            () = wait_for_late_head(activity, self.limits.header_timeout) => CloseReason::LateHead,
        }
    }

    fn builder(&self) -> http1::Builder {
        let mut builder = http1::Builder::new();
        builder
            .timer(TokioTimer::new())
            // It would also close idle connections.
            .header_read_timeout(None)
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

    /// Closes a connection without waiting for its client. `cause` is the cause in metrics.
    async fn close_now(&self, stream: TcpStream, activity: &CallActivity, cause: &'static str) {
        if !activity.is_blocked() {
            // An error means that the client does not read, or has closed the connection.
            let _ = stream.try_write(&encode_response((self.idle_response)()).await);
        }
        telemetry::count_connection_end(cause);
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
                "calls" => activity.call_count(), "idle_ms" => idle_time.0,
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
