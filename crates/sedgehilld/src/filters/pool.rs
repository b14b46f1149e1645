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
const CONNECT_LIMIT: Duration = Duration::from_secs(1);

/// One connection to an endpoint, with no request on it.
pub type EndpointConnection = SendRequest<Full<Bytes>>;

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
            if connection.is_ready() {
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
        if !connection.is_closed() {
            self.idle.lock().entry(address).or_default().push(connection);
        }
    }
}

async fn connect(address: SocketAddr) -> Result<EndpointConnection, std::io::Error> {
    let stream = tokio::time::timeout(CONNECT_LIMIT, TcpStream::connect(address)).await??;
    stream.set_nodelay(true)?;
    let (sender, connection) =
        http1::handshake(TokioIo::new(stream)).await.map_err(std::io::Error::other)?;
    tokio::spawn(connection);
    Ok(sender)
}
