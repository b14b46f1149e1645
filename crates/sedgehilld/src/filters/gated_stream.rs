//! A connection to an endpoint that checks, at the moment of the first write, whether a request may still be sent.
//!
//! Between the choice of an endpoint and the write, the endpoint may close the connection or begin to leave, above all
//! while the process is paused.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};

use parking_lot::Mutex;
use sedgehill_core::units::TimeSpan;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

use crate::clock;

/// Whether the endpoint of a request may still receive it.
type SendPermit = Box<dyn Fn() -> bool + Send>;

/// How much is known of the bytes of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum GateStatus {
    /// Nothing was written.
    Unwritten,
    /// Nothing was written, because the endpoint may not receive the request any more.
    Denied,
    /// Bytes were written.
    Written,
}

struct GateState {
    permit: Option<SendPermit>,
    status: GateStatus,
    /// No bytes are written any more.
    is_closed: bool,
    /// Time from the check of the permit to the end of the first write. Long if the process was paused during the check,
    /// during the write, or in between.
    write_delay: TimeSpan,
}

/// Controls the writes of one connection. Clones control the same connection.
#[derive(Clone)]
pub struct WriteGate {
    state: Arc<Mutex<GateState>>,
}

impl WriteGate {
    fn new() -> WriteGate {
        let state = GateState {
            permit: None,
            status: GateStatus::Unwritten,
            is_closed: false,
            write_delay: TimeSpan(0),
        };
        WriteGate { state: Arc::new(Mutex::new(state)) }
    }

    /// Prepares for the next request, which is written only if `permit` holds at that moment.
    pub fn arm(&self, permit: impl Fn() -> bool + Send + 'static) {
        let mut state = self.state.lock();
        state.permit = Some(Box::new(permit));
        state.status = GateStatus::Unwritten;
        state.write_delay = TimeSpan(0);
    }

    /// Returns how long the first write of the request took, from the check whether it may be sent.
    pub fn write_delay(&self) -> TimeSpan {
        self.state.lock().write_delay
    }

    /// Ends all writes, so that the returned status of the request is final.
    pub fn close(&self) -> GateStatus {
        let mut state = self.state.lock();
        state.is_closed = true;
        state.status
    }
}

impl std::fmt::Debug for WriteGate {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter.debug_struct("WriteGate").finish_non_exhaustive()
    }
}

/// A connection whose writes pass a [`WriteGate`].
pub struct GatedStream {
    stream: TcpStream,
    /// Duplicate handle of the socket, to look whether the endpoint has closed it.
    socket: Arc<std::net::TcpStream>,
    gate: WriteGate,
}

impl GatedStream {
    /// Creates a gated stream and returns its gate.
    pub fn new(stream: TcpStream, socket: Arc<std::net::TcpStream>) -> (GatedStream, WriteGate) {
        let gate = WriteGate::new();
        (GatedStream { stream, socket, gate: gate.clone() }, gate)
    }

    /// Calls `write` unless the request may not be sent any more.
    fn write_gated(
        self: Pin<&mut Self>,
        write: impl FnOnce(Pin<&mut TcpStream>) -> Poll<io::Result<usize>>,
    ) -> Poll<io::Result<usize>> {
        let this = self.get_mut();
        // Held during the write, so that a closed gate knows whether bytes were written.
        let mut state = this.gate.state.lock();
        if state.is_closed {
            return Poll::Ready(Err(io::ErrorKind::ConnectionAborted.into()));
        }
        if state.status == GateStatus::Written {
            return write(Pin::new(&mut this.stream));
        }
        if !is_idle(&this.socket) {
            state.is_closed = true;
            return Poll::Ready(Err(io::ErrorKind::ConnectionReset.into()));
        }
        // Last before the write: a pause in between is seen only when the bytes are out.
        let checked_at = clock::now();
        if state.permit.as_ref().is_some_and(|permit| !permit()) {
            state.status = GateStatus::Denied;
            state.is_closed = true;
            return Poll::Ready(Err(io::ErrorKind::ConnectionAborted.into()));
        }
        let written = write(Pin::new(&mut this.stream));
        if matches!(written, Poll::Ready(Ok(count)) if count > 0) {
            state.status = GateStatus::Written;
            state.write_delay = clock::now().since(checked_at);
        }
        written
    }
}

/// Returns whether nothing waits to be read from a socket: neither bytes nor the end of the stream. On a busy box hyper
/// may not have read what has arrived.
pub fn is_idle(socket: &std::net::TcpStream) -> bool {
    let peeked = socket.peek(&mut [0]);
    peeked.is_err_and(|error| error.kind() == io::ErrorKind::WouldBlock)
}

impl AsyncRead for GatedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_read(cx, buffer)
    }
}

impl AsyncWrite for GatedStream {
    fn poll_write(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.write_gated(|stream| stream.poll_write(cx, bytes))
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.write_gated(|stream| stream.poll_write_vectored(cx, slices))
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
