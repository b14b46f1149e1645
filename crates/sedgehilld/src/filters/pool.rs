//! Pools idle connections to endpoints.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use http_body_util::Full;
use hyper::body::Bytes;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use parking_lot::Mutex;
use tokio::net::TcpStream;

use super::gated_stream::{GatedStream, WriteGate, is_idle};

/// Timeout of connecting to an endpoint.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// A connection to an endpoint.
#[derive(Debug)]
pub struct EndpointConnection {
    /// Sends requests on the connection.
    pub sender: SendRequest<Full<Bytes>>,
    /// Controls what is written to the connection.
    pub gate: WriteGate,
    /// Number of complete answers that were read from the connection.
    pub answers: u64,
    /// Duplicate handle of the socket, to check whether the endpoint has closed it, or has sent what is not read yet.
    pub socket: Arc<std::net::TcpStream>,
}

impl EndpointConnection {
    /// Returns whether the endpoint has not closed the connection. A request written to a closed connection fails like
    /// one that ran.
    fn is_open(&self) -> bool {
        is_idle(&self.socket) && self.sender.is_ready()
    }
}

/// Idle connections by endpoint address. A connection is returned only after a complete answer was read from it, so
/// that a late answer never reaches another request. The slots of the endpoints bound the number of connections.
#[derive(Debug, Default)]
pub struct EndpointPool {
    idle: Mutex<HashMap<SocketAddr, Vec<EndpointConnection>>>,
}

impl EndpointPool {
    /// Returns an idle connection that is still open, or else a new one.
    pub async fn checkout(
        &self,
        address: SocketAddr,
    ) -> Result<EndpointConnection, std::io::Error> {
        while let Some(connection) = self.pop(address) {
            if connection.is_open() {
                return Ok(connection);
            }
        }
        connect(address).await
    }

    fn pop(&self, address: SocketAddr) -> Option<EndpointConnection> {
        self.idle.lock().get_mut(&address)?.pop()
    }

    /// Returns a connection to the pool, after its answer was read.
    pub fn checkin(&self, address: SocketAddr, mut connection: EndpointConnection) {
        connection.answers += 1;
        if !connection.sender.is_closed() {
            self.idle.lock().entry(address).or_default().push(connection);
        }
    }
}

async fn connect(address: SocketAddr) -> Result<EndpointConnection, std::io::Error> {
    let stream = tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await??;
    stream.set_nodelay(true)?;
    let stream = stream.into_std()?;
    let socket = Arc::new(stream.try_clone()?);
    let (stream, gate) = GatedStream::new(TcpStream::from_std(stream)?, socket.clone());
    let (sender, connection) =
        http1::handshake(TokioIo::new(stream)).await.map_err(std::io::Error::other)?;
    tokio::spawn(connection);
    Ok(EndpointConnection { sender, gate, answers: 0, socket })
}
