//! A connection of a client that records what happens on it and charges what the client holds.

use std::io::IoSlice;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::task::{Context, Poll};
use std::time::Duration;

use sedgehill_core::client_budget::ClientPhase;
use sedgehill_core::units::{Moment, TimeSpan};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::sync::Notify;

use crate::client::ClientHandle;
use crate::clock;

/// The size of the receive buffer and of the send buffer of a client's socket, in bytes. Without it the kernel lets
/// them grow to several megabytes.
pub const SOCKET_BUFFER_BYTES: usize = 64 << 10;
/// The bytes of a head that fit into the memory that is charged for each connection.
const CHARGED_HEAD_BYTES: usize = 8 << 10;
/// Value of a moment that is not set.
const UNSET: u64 = u64::MAX;

/// Tracks the calls on a connection, to tell whether and since when it is idle, and what the client holds beside the
/// memory of the connection and of its calls.
pub struct CallActivity {
    client: Arc<ClientHandle>,
    max_header_bytes: usize,
    /// When the connection was opened.
    pub opened_at: Moment,
    call_count: AtomicUsize,
    call_in_progress: AtomicBool,
    /// Whether the call in progress waits for nothing of earlier ones.
    is_handling: AtomicBool,
    /// Whether bytes were read since the last call ended.
    has_read: AtomicBool,
    /// Whether part of a response waits for the client to read.
    write_blocked: AtomicBool,
    /// Notified when no response waits any more.
    unblocked: Notify,
    /// When the last call or write ended, in milliseconds of [`clock::now`].
    last_active: AtomicU64,
    /// When the first bytes of a head arrived, in milliseconds of [`clock::now`], or [`UNSET`] while none is awaited.
    head_since: AtomicU64,
    head_bytes: AtomicUsize,
    /// Notified when the first bytes of a head arrive.
    head_begun: Notify,
    /// Memory that is charged for a long head or for what the client sends ahead.
    receive_charge: AtomicU64,
    /// Memory of responses that are not written yet.
    response_charge: AtomicU64,
}

impl CallActivity {
    /// Creates the activity of a connection on which nothing has happened.
    pub fn new(client: Arc<ClientHandle>, max_header_bytes: usize) -> CallActivity {
        let now = clock::now();
        CallActivity {
            client,
            max_header_bytes,
            opened_at: now,
            call_count: AtomicUsize::new(0),
            call_in_progress: AtomicBool::new(false),
            is_handling: AtomicBool::new(false),
            has_read: AtomicBool::new(false),
            write_blocked: AtomicBool::new(false),
            unblocked: Notify::new(),
            last_active: AtomicU64::new(now.0),
            head_since: AtomicU64::new(UNSET),
            head_bytes: AtomicUsize::new(0),
            head_begun: Notify::new(),
            receive_charge: AtomicU64::new(0),
            response_charge: AtomicU64::new(0),
        }
    }

    /// Returns the client.
    pub fn client(&self) -> &Arc<ClientHandle> {
        &self.client
    }

    /// Returns the number of calls that were read or are being read.
    pub fn call_count(&self) -> usize {
        self.call_count.load(Ordering::SeqCst)
    }

    /// Records that the head of a call was read. Returns whether the client sent it together with an earlier call.
    pub fn begin_call(&self) -> bool {
        self.call_count.fetch_add(1, Ordering::SeqCst);
        self.call_in_progress.store(true, Ordering::SeqCst);
        self.head_since.store(UNSET, Ordering::SeqCst);
        self.head_bytes.store(0, Ordering::SeqCst);
        if !self.is_blocked() {
            self.release_received();
            self.record_flush();
            self.client.set_phase(ClientPhase::Receiving);
        }
        !self.has_read.load(Ordering::SeqCst)
    }

    /// Charges what the client can send while its call waits for a turn.
    pub fn charge_queue(&self) {
        self.charge_received(SOCKET_BUFFER_BYTES);
    }

    /// Waits until all earlier responses are written. A client that reads no responses gets no further ones, which
    /// would have to be kept.
    pub async fn wait_until_written(&self) {
        while self.is_blocked() {
            self.unblocked.notified().await;
        }
    }

    /// Records that a call is being handled. `has_body` tells whether more of it is to come.
    pub fn handle_call(&self, has_body: bool) {
        self.is_handling.store(true, Ordering::SeqCst);
        match has_body {
            true => self.client.set_phase(ClientPhase::Receiving),
            false => self.client.set_phase(ClientPhase::Answering),
        }
    }

    /// Records that a call ended with a response of `response_bytes`, which are not written yet.
    pub fn end_call(&self, response_bytes: u64) {
        self.last_active.store(clock::now().0, Ordering::SeqCst);
        self.call_in_progress.store(false, Ordering::SeqCst);
        self.is_handling.store(false, Ordering::SeqCst);
        self.has_read.store(false, Ordering::SeqCst);
        self.response_charge.fetch_add(response_bytes, Ordering::SeqCst);
        self.client.charge_connection(response_bytes);
        self.release_received();
        self.client.set_phase(ClientPhase::Idle);
    }

    /// Returns how long the connection has been idle, or `None` while a call is in progress or its response is not
    /// written.
    pub fn idle_time(&self, now: Moment) -> Option<TimeSpan> {
        let is_busy = self.call_in_progress.load(Ordering::SeqCst) || self.is_blocked();
        let last_active = Moment(self.last_active.load(Ordering::SeqCst));
        (!is_busy).then(|| now.since(last_active))
    }

    /// Returns whether a response waits for the client to read.
    pub fn is_blocked(&self) -> bool {
        self.write_blocked.load(Ordering::SeqCst)
    }

    /// Returns whether the connection has to make room and no call on it is being handled, so that it can be closed.
    pub fn is_evictable(&self) -> bool {
        self.client.must_close() && !self.is_handling.load(Ordering::SeqCst)
    }

    /// Waits until the head of a call has been incomplete for `timeout`.
    pub async fn wait_for_late_head(&self, timeout: Duration) {
        let timeout = TimeSpan(timeout.as_millis() as u64);
        loop {
            let now = clock::now();
            match self.head_since.load(Ordering::SeqCst) {
                UNSET => self.head_begun.notified().await,
                since if now.since(Moment(since)) >= timeout => return,
                since => {
                    let remaining = timeout.0 - now.since(Moment(since)).0;
                    tokio::time::sleep(Duration::from_millis(remaining)).await;
                }
            }
        }
    }

    /// Records that bytes were read.
    fn record_read(&self, byte_count: usize) {
        self.has_read.store(true, Ordering::SeqCst);
        if !self.call_in_progress.load(Ordering::SeqCst) {
            let head_bytes = self.head_bytes.fetch_add(byte_count, Ordering::SeqCst) + byte_count;
            if self.head_since.load(Ordering::SeqCst) == UNSET {
                self.head_since.store(clock::now().0, Ordering::SeqCst);
                self.head_begun.notify_one();
            }
            if head_bytes > CHARGED_HEAD_BYTES {
                self.charge_received(self.max_header_bytes);
            }
            self.client.set_phase(ClientPhase::Receiving);
        } else if self.client.is_receiving() {
            self.client.set_phase(ClientPhase::Receiving);
        } else {
            // The client sends further calls before it has the response.
            self.charge_received(SOCKET_BUFFER_BYTES);
        }
    }

    fn release_received(&self) {
        self.client.shrink_connection(self.receive_charge.swap(0, Ordering::SeqCst));
    }

    /// Charges `bytes` in all for what the client has sent and the box has not used, until it is released.
    fn charge_received(&self, bytes: usize) {
        let bytes = bytes as u64;
        let charged = self.receive_charge.fetch_max(bytes, Ordering::SeqCst);
        if bytes > charged {
            self.client.charge_connection(bytes - charged);
        }
    }

    /// Records whether a write is blocked. The end of a blocked write counts as activity.
    fn record_write(&self, is_pending: bool) {
        let was_blocked = self.write_blocked.swap(is_pending, Ordering::SeqCst);
        match (was_blocked, is_pending) {
            (_, true) => {
                self.charge_received(SOCKET_BUFFER_BYTES);
                self.client.set_phase(ClientPhase::Blocked);
            }
            (true, false) => {
                self.last_active.store(clock::now().0, Ordering::SeqCst);
                match self.call_in_progress.load(Ordering::SeqCst) {
                    true => self.client.set_phase(ClientPhase::Receiving),
                    false => self.client.set_phase(ClientPhase::Idle),
                }
                self.unblocked.notify_one();
            }
            (false, false) => {}
        }
    }

    /// Records that all responses were written.
    fn record_flush(&self) {
        self.client.shrink_connection(self.response_charge.swap(0, Ordering::SeqCst));
    }
}

/// A TCP stream that records what happens on it. It reads nothing while a response waits for the client to read, so
/// that a client cannot make the box collect responses. It has to see writes itself, because hyper finishes a call when
/// it has received the response, not when it has written it.
pub struct MonitoredStream {
    stream: TcpStream,
    activity: Arc<CallActivity>,
}

impl MonitoredStream {
    /// Wraps a stream.
    pub fn new(stream: TcpStream, activity: Arc<CallActivity>) -> MonitoredStream {
        MonitoredStream { stream, activity }
    }

    /// Returns the wrapped stream.
    pub fn into_inner(self) -> TcpStream {
        self.stream
    }

    fn record_write(&self, context: &Context<'_>, written: &Poll<std::io::Result<usize>>) {
        let was_blocked = self.activity.is_blocked();
        self.activity.record_write(written.is_pending());
        if was_blocked && !self.activity.is_blocked() {
            // Reading has waited for this.
            context.waker().wake_by_ref();
        }
    }
}

impl AsyncRead for MonitoredStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<std::io::Result<()>> {
        if self.activity.is_blocked() {
            return Poll::Pending;
        }
        let filled_bytes = buffer.filled().len();
        let read = Pin::new(&mut self.stream).poll_read(context, buffer);
        let read_bytes = buffer.filled().len() - filled_bytes;
        if read_bytes > 0 {
            self.activity.record_read(read_bytes);
        }
        read
    }
}

impl AsyncWrite for MonitoredStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<std::io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write(context, bytes);
        self.record_write(context, &written);
        written
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[IoSlice<'_>],
    ) -> Poll<std::io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write_vectored(context, slices);
        self.record_write(context, &written);
        written
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<std::io::Result<()>> {
        let flushed = Pin::new(&mut self.stream).poll_flush(context);
        if flushed.is_ready() {
            self.activity.record_flush();
        }
        flushed
    }

    fn poll_shutdown(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<std::io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}
