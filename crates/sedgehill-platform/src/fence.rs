//! Connections that ask, right before each write, whether they may still write.
//!
//! A lead that is stopped between its look at the clock and the write of an order would write it
//! when it goes on, however much later that is. A connection is made in between, so that time is not
//! short. The look therefore stands right before the system call.

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

/// Says whether a write may be made now.
pub type WritePermit = Arc<dyn Fn() -> bool + Send + Sync>;

/// A permit for what may be written at any time.
pub fn permit_always() -> WritePermit {
    Arc::new(|| true)
}

/// Makes connections that ask a permit before each write.
#[derive(Clone)]
pub struct FencedConnector {
    inner: HttpConnector,
    permit: WritePermit,
}

impl FencedConnector {
    /// Fences the connections that `inner` makes.
    pub fn new(inner: HttpConnector, permit: WritePermit) -> FencedConnector {
        FencedConnector { inner, permit }
    }
}

type Connecting = Pin<Box<dyn Future<Output = Result<FencedStream, ConnectFailure>> + Send>>;
type ConnectFailure = <HttpConnector as Service<Uri>>::Error;

impl Service<Uri> for FencedConnector {
    type Response = FencedStream;
    type Error = ConnectFailure;
    type Future = Connecting;

    fn poll_ready(&mut self, context: &mut Context<'_>) -> Poll<Result<(), ConnectFailure>> {
        self.inner.poll_ready(context)
    }

    fn call(&mut self, uri: Uri) -> Connecting {
        let connecting = self.inner.call(uri);
        let permit = self.permit.clone();
        Box::pin(async move { Ok(FencedStream { inner: connecting.await?, permit }) })
    }
}

/// A connection that asks a permit before each write.
pub struct FencedStream {
    inner: TokioIo<TcpStream>,
    permit: WritePermit,
}

impl FencedStream {
    fn check(&self) -> std::io::Result<()> {
        match (self.permit)() {
            true => Ok(()),
            false => Err(std::io::Error::other("the permit to write has ended")),
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
        self.check()?;
        Pin::new(&mut self.inner).poll_write(context, bytes)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[std::io::IoSlice<'_>],
    ) -> Poll<std::io::Result<usize>> {
        self.check()?;
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
