//! Connections to endpoints.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use http_body_util::Full;
use hyper::body::Bytes;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use parking_lot::Mutex;
use tokio::net::TcpStream;

/// How long an endpoint may take to accept a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// One connection to an endpoint, with no request on it.
#[derive(Debug)]
pub struct EndpointConnection {
    /// Sends requests.
    pub sender: SendRequest<Full<Bytes>>,
    /// The same socket once more, to ask the kernel about it.
    probe: std::net::TcpStream,
}

impl EndpointConnection {
    /// Whether a request may be sent. The kernel is asked, since on a busy box the library may not
    /// have heard yet that the endpoint has closed: a request written then could not be told from one
    /// that ran.
    fn is_open(&self) -> bool {
        let mut byte = [0];
        let silent = match self.probe.peek(&mut byte) {
            Err(error) => error.kind() == std::io::ErrorKind::WouldBlock,
            // The end of the stream, or bytes that belong to no request.
            Ok(_) => false,
        };
        silent && self.sender.is_ready()
    }
}

/// Idle connections by endpoint. A connection comes back only after a whole answer was read from
/// it, so that a late answer can never meet another request. How many there are is bounded by the
/// slots of the endpoints.
#[derive(Debug, Default)]
pub struct EndpointPool {
    idle: Mutex<HashMap<SocketAddr, Vec<EndpointConnection>>>,
}

impl EndpointPool {
    /// An idle connection that is still open, or a new one.
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

    /// Takes back a connection on which nothing is under way.
    pub fn checkin(&self, address: SocketAddr, connection: EndpointConnection) {
        if !connection.sender.is_closed() {
            self.idle.lock().entry(address).or_default().push(connection);
        }
    }
}

async fn connect(address: SocketAddr) -> Result<EndpointConnection, std::io::Error> {
    let stream = tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await??;
    stream.set_nodelay(true)?;
    let stream = stream.into_std()?;
    let probe = stream.try_clone()?;
    let stream = TcpStream::from_std(stream)?;
    let (sender, connection) =
        http1::handshake(TokioIo::new(stream)).await.map_err(std::io::Error::other)?;
    tokio::spawn(connection);
    Ok(EndpointConnection { sender, probe })
}
