//! Connections that check a permit immediately before each write.
//!
//! If the process of a lead is paused between the check of its lease and the write of an order, it
//! would send the order when it resumes, however long ago the lease ended. The window is not short,
//! since a connection may have to be established in it. The permit is therefore checked immediately
//! before the system call that writes.

use std::future::Future;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};

use http::Uri;
use hyper::rt::{Read, ReadBufCursor, Write};
use hyper_util::client::legacy::connect::{Connected, Connection, HttpConnector};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tower_service::Service;

/// Returns whether a write is allowed now.
pub type WritePermit = Arc<dyn Fn() -> bool + Send + Sync>;

/// Returns a permit that allows every write.
pub fn permit_always() -> WritePermit {
    Arc::new(|| true)
}

/// A connector whose connections check a permit before each write.
#[derive(Clone)]
pub struct FencedConnector {
    inner: HttpConnector,
    permit: WritePermit,
}

impl FencedConnector {
    /// Wraps `inner`, so that its connections check `permit` before each write.
    pub fn new(inner: HttpConnector, permit: WritePermit) -> FencedConnector {
        FencedConnector { inner, permit }
    }
}

type ConnectFuture = Pin<Box<dyn Future<Output = Result<FencedStream, ConnectError>> + Send>>;
type ConnectError = <HttpConnector as Service<Uri>>::Error;

impl Service<Uri> for FencedConnector {
    type Response = FencedStream;
    type Error = ConnectError;
    type Future = ConnectFuture;

    fn poll_ready(&mut self, context: &mut Context<'_>) -> Poll<Result<(), ConnectError>> {
        self.inner.poll_ready(context)
    }

    fn call(&mut self, uri: Uri) -> ConnectFuture {
        let connecting = self.inner.call(uri);
        let permit = self.permit.clone();
        Box::pin(async move { Ok(FencedStream { inner: connecting.await?, permit }) })
    }
}

/// A connection that checks a permit before each write. A write without the permit fails.
pub struct FencedStream {
    inner: TokioIo<TcpStream>,
    permit: WritePermit,
}

impl FencedStream {
    fn check_permit(&self) -> std::io::Result<()> {
        match (self.permit)() {
            true => Ok(()),
            false => Err(std::io::Error::other("the permit to write has expired")),
        }
    }
}

impl Connection for FencedStream {
    fn connected(&self) -> Connected {
        self.inner.connected()
    }
}

impl Read for FencedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: ReadBufCursor<'_>,
    ) -> Poll<std::io::Result<()>> {
        Pin::new(&mut self.inner).poll_read(context, buffer)
    }
}

impl Write for FencedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<std::io::Result<usize>> {
        self.check_permit()?;
        Pin::new(&mut self.inner).poll_write(context, bytes)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[std::io::IoSlice<'_>],
    ) -> Poll<std::io::Result<usize>> {
        self.check_permit()?;
        Pin::new(&mut self.inner).poll_write_vectored(context, slices)
    }

    fn is_write_vectored(&self) -> bool {
        self.inner.is_write_vectored()
    }

    fn poll_flush(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<std::io::Result<()>> {
        Pin::new(&mut self.inner).poll_flush(context)
    }

    fn poll_shutdown(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<std::io::Result<()>> {
        Pin::new(&mut self.inner).poll_shutdown(context)
    }
}
