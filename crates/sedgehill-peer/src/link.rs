//! Sends messages to peers and takes in theirs.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use quick_error::quick_error;
use quinn::{ClientConfig, Connection, Endpoint, Incoming, ServerConfig, TransportConfig};
use sedgehill_core::ids::BoxId;
use tokio::sync::{mpsc, oneshot};

use crate::identity::{IdentityError, PeerIdentity};
use crate::message::PeerMessage;

/// The largest heartbeat or request that is read, in bytes.
const MAX_MESSAGE_BYTES: usize = 1 << 20;
/// The largest snapshot that is read, in bytes.
const MAX_SNAPSHOT_BYTES: usize = 64 << 20;
/// How long a peer may take to connect or answer.
const PEER_LIMIT: Duration = Duration::from_secs(2);
/// Messages that wait for the control thread before further ones are dropped.
const INBOX_LENGTH: usize = 256;

quick_error! {
    /// Why peers cannot be reached.
    #[derive(Debug)]
    pub enum PeerError {
        /// The identity is not usable.
        Identity(cause: IdentityError) {
            from()
            display("no usable identity")
            source(cause)
        }
        /// The address cannot be listened on.
        Bind(address: SocketAddr, cause: std::io::Error) {
            display("could not listen on {address}")
            source(cause)
        }
        /// The peer could not be reached or did not answer.
        Unreachable(cause: String) {
            display("peer not reached: {cause}")
        }
    }
}

/// A message of a peer, and where its answer goes if it asks for one.
#[derive(Debug)]
pub struct PeerRequest {
    /// The message.
    pub message: PeerMessage,
    /// Where the answer goes.
    pub reply: Option<oneshot::Sender<PeerMessage>>,
}

/// This box's end of all links to peers.
#[derive(Debug, Clone)]
pub struct PeerLink {
    endpoint: Endpoint,
    connections: Arc<Mutex<HashMap<SocketAddr, Connection>>>,
    refused: Arc<AtomicU64>,
}

impl PeerLink {
    /// Listens on `address`; messages of peers come out of the receiver.
    pub fn bind(
        address: SocketAddr,
        identity: &PeerIdentity,
    ) -> Result<(PeerLink, mpsc::Receiver<PeerRequest>), PeerError> {
        let mut server = ServerConfig::with_crypto(Arc::new(identity.server_config()?));
        server.transport_config(transport());
        let mut client = ClientConfig::new(Arc::new(identity.client_config()?));
        client.transport_config(transport());
        let mut endpoint =
            Endpoint::server(server, address).map_err(|error| PeerError::Bind(address, error))?;
        endpoint.set_default_client_config(client);
        let (sender, receiver) = mpsc::channel(INBOX_LENGTH);
        let refused = Arc::new(AtomicU64::new(0));
        tokio::spawn(accept_peers(endpoint.clone(), sender, refused.clone()));
        let link = PeerLink { endpoint, connections: Arc::default(), refused };
        Ok((link, receiver))
    }

    /// Connections of others that were refused, for a wrong certificate or another fault.
    pub fn refused_connections(&self) -> u64 {
        self.refused.load(Ordering::Relaxed)
    }

    /// Sends a message that is not answered.
    pub async fn send(
        &self,
        peer: &BoxId,
        address: SocketAddr,
        message: &PeerMessage,
    ) -> Result<(), PeerError> {
        let exchange = async {
            let connection = self.connect(peer, address).await?;
            let mut stream = connection.open_uni().await.map_err(unreachable)?;
            stream.write_all(&message.encode()).await.map_err(unreachable)?;
            stream.finish().map_err(unreachable)
        };
        self.limited(address, exchange).await
    }

    /// Sends a message and reads its answer.
    pub async fn request(
        &self,
        peer: &BoxId,
        address: SocketAddr,
        message: &PeerMessage,
    ) -> Result<PeerMessage, PeerError> {
        let exchange = async {
            let connection = self.connect(peer, address).await?;
            let (mut sender, mut receiver) = connection.open_bi().await.map_err(unreachable)?;
            sender.write_all(&message.encode()).await.map_err(unreachable)?;
            sender.finish().map_err(unreachable)?;
            let bytes = receiver.read_to_end(MAX_SNAPSHOT_BYTES).await.map_err(unreachable)?;
            PeerMessage::decode(&bytes).ok_or_else(|| unreachable("not a message"))
        };
        self.limited(address, exchange).await
    }

    /// Bounds an exchange in time, and drops the connection if the exchange fails.
    async fn limited<R>(
        &self,
        address: SocketAddr,
        exchange: impl Future<Output = Result<R, PeerError>>,
    ) -> Result<R, PeerError> {
        let result = match tokio::time::timeout(PEER_LIMIT, exchange).await {
            Ok(result) => result,
            Err(_) => Err(unreachable("timed out")),
        };
        if result.is_err() {
            self.connections.lock().expect("no holder panics").remove(&address);
        }
        result
    }

    async fn connect(&self, peer: &BoxId, address: SocketAddr) -> Result<Connection, PeerError> {
        let held = self.connections.lock().expect("no holder panics").get(&address).cloned();
        if let Some(connection) = held.filter(|held| held.close_reason().is_none()) {
            return Ok(connection);
        }
        let connecting = self.endpoint.connect(address, peer.as_str()).map_err(unreachable)?;
        let connection = connecting.await.map_err(unreachable)?;
        self.connections.lock().expect("no holder panics").insert(address, connection.clone());
        Ok(connection)
    }
}

fn transport() -> Arc<TransportConfig> {
    let mut config = TransportConfig::default();
    let idle = Duration::from_secs(5).try_into().expect("within range");
    config.max_idle_timeout(Some(idle));
    Arc::new(config)
}

fn unreachable(error: impl std::fmt::Display) -> PeerError {
    PeerError::Unreachable(error.to_string())
}

async fn accept_peers(
    endpoint: Endpoint,
    sender: mpsc::Sender<PeerRequest>,
    refused: Arc<AtomicU64>,
) {
    while let Some(incoming) = endpoint.accept().await {
        tokio::spawn(serve_peer(incoming, sender.clone(), refused.clone()));
    }
}

async fn serve_peer(
    incoming: Incoming,
    sender: mpsc::Sender<PeerRequest>,
    refused: Arc<AtomicU64>,
) {
    let Ok(connection) = incoming.await else {
        refused.fetch_add(1, Ordering::Relaxed);
        return;
    };
    let notices = serve_notices(connection.clone(), sender.clone());
    let requests = serve_requests(connection, sender);
    tokio::join!(notices, requests);
}

async fn serve_notices(connection: Connection, sender: mpsc::Sender<PeerRequest>) {
    while let Ok(mut stream) = connection.accept_uni().await {
        let Ok(bytes) = stream.read_to_end(MAX_MESSAGE_BYTES).await else { continue };
        if let Some(message) = PeerMessage::decode(&bytes) {
            // A full inbox drops the message: heartbeats come again.
            let _ = sender.try_send(PeerRequest { message, reply: None });
        }
    }
}

async fn serve_requests(connection: Connection, sender: mpsc::Sender<PeerRequest>) {
    while let Ok((mut answer, mut question)) = connection.accept_bi().await {
        let Ok(bytes) = question.read_to_end(MAX_MESSAGE_BYTES).await else { continue };
        let Some(message) = PeerMessage::decode(&bytes) else { continue };
        let (reply, replied) = oneshot::channel();
        if sender.try_send(PeerRequest { message, reply: Some(reply) }).is_err() {
            continue;
        }
        let Ok(message) = replied.await else { continue };
        if answer.write_all(&message.encode()).await.is_ok() {
            let _ = answer.finish();
        }
    }
}
