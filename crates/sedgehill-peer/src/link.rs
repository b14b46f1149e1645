//! Sends messages to peers and receives theirs.

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

/// Maximum size of a received heartbeat or request, in bytes.
const MAX_MESSAGE_BYTES: usize = 1 << 20;
/// Maximum size of a received answer, in bytes. The largest answers are snapshots.
const MAX_SNAPSHOT_BYTES: usize = 64 << 20;
/// Time limit of an exchange with a peer, which includes connecting to it.
const PEER_TIMEOUT: Duration = Duration::from_secs(2);
/// Maximum number of received messages that wait for the control thread. Further ones are dropped.
const INBOX_CAPACITY: usize = 256;

quick_error! {
    /// Why a box cannot exchange messages with its peers.
    #[derive(Debug)]
    pub enum PeerError {
        /// The identity of this box cannot be used.
        Identity(cause: IdentityError) {
            from()
            display("the identity of this box cannot be used")
            source(cause)
        }
        /// The endpoint cannot be bound to the address.
        Bind(address: SocketAddr, cause: std::io::Error) {
            display("could not listen on {address}")
            source(cause)
        }
        /// The peer could not be reached, or sent no valid answer in time.
        Unreachable(cause: String) {
            display("peer not reached: {cause}")
        }
    }
}

/// A message received from a peer.
#[derive(Debug)]
pub struct PeerRequest {
    /// The message.
    pub message: PeerMessage,
    /// Takes the answer; `None` if the message is not answered.
    pub reply: Option<oneshot::Sender<PeerMessage>>,
}

/// The QUIC endpoint of this box, with its connections to peers. Clones share the endpoint and the connections.
#[derive(Debug, Clone)]
pub struct PeerLink {
    endpoint: Endpoint,
    connections: Arc<Mutex<HashMap<SocketAddr, Connection>>>,
    refused: Arc<AtomicU64>,
}

impl PeerLink {
    /// Listens on `address`. Returns the link and a receiver of the messages that peers send.
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
        let (sender, receiver) = mpsc::channel(INBOX_CAPACITY);
        let refused = Arc::new(AtomicU64::new(0));
        tokio::spawn(accept_peers(endpoint.clone(), sender, refused.clone()));
        let link = PeerLink { endpoint, connections: Arc::default(), refused };
        Ok((link, receiver))
    }

    /// Returns the number of incoming connections that were refused, for an invalid certificate or another error.
    pub fn refused_connections(&self) -> u64 {
        self.refused.load(Ordering::Relaxed)
    }

    /// Sends a message without waiting for an answer.
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
        self.with_timeout(address, exchange).await
    }

    /// Sends a message and returns its answer.
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
        self.with_timeout(address, exchange).await
    }

    /// Bounds the time of an exchange, and drops the connection to `address` if the exchange fails.
    async fn with_timeout<R>(
        &self,
        address: SocketAddr,
        exchange: impl Future<Output = Result<R, PeerError>>,
    ) -> Result<R, PeerError> {
        let result = match tokio::time::timeout(PEER_TIMEOUT, exchange).await {
            Ok(result) => result,
            Err(_) => Err(unreachable("timed out")),
        };
        if result.is_err() {
            self.connections.lock().expect("the lock is not poisoned").remove(&address);
        }
        result
    }

    /// Returns the open connection to `address`, or opens one.
    async fn connect(&self, peer: &BoxId, address: SocketAddr) -> Result<Connection, PeerError> {
        let existing =
            self.connections.lock().expect("the lock is not poisoned").get(&address).cloned();
        if let Some(connection) = existing.filter(|connection| connection.close_reason().is_none())
        {
            return Ok(connection);
        }
        let connecting = self.endpoint.connect(address, peer.as_str()).map_err(unreachable)?;
        let connection = connecting.await.map_err(unreachable)?;
        self.connections
            .lock()
            .expect("the lock is not poisoned")
            .insert(address, connection.clone());
        Ok(connection)
    }
}

fn transport() -> Arc<TransportConfig> {
    let mut config = TransportConfig::default();
    let idle_timeout =
        Duration::from_secs(5).try_into().expect("5 s is within the range of idle time-outs");
    config.max_idle_timeout(Some(idle_timeout));
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
    let messages = serve_messages(connection.clone(), sender.clone());
    let requests = serve_requests(connection, sender);
    tokio::join!(messages, requests);
}

async fn serve_messages(connection: Connection, sender: mpsc::Sender<PeerRequest>) {
    while let Ok(mut stream) = connection.accept_uni().await {
        let Ok(bytes) = stream.read_to_end(MAX_MESSAGE_BYTES).await else { continue };
        if let Some(message) = PeerMessage::decode(&bytes) {
            // The message is dropped if the inbox is full: heartbeats are sent again.
            let _ = sender.try_send(PeerRequest { message, reply: None });
        }
    }
}

async fn serve_requests(connection: Connection, sender: mpsc::Sender<PeerRequest>) {
    while let Ok((mut answer_stream, mut request_stream)) = connection.accept_bi().await {
        let Ok(bytes) = request_stream.read_to_end(MAX_MESSAGE_BYTES).await else { continue };
        let Some(message) = PeerMessage::decode(&bytes) else { continue };
        let (reply, answered) = oneshot::channel();
        if sender.try_send(PeerRequest { message, reply: Some(reply) }).is_err() {
            continue;
        }
        let Ok(message) = answered.await else { continue };
        if answer_stream.write_all(&message.encode()).await.is_ok() {
            let _ = answer_stream.finish();
        }
    }
}
