//! A small HTTP/1.1 server for the stand-ins.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::os::fd::AsFd;
use std::sync::{Arc, Weak};
use std::time::Duration;

use bytes::Bytes;
use http::{Request, Response, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use serde::Serialize;
use serde::de::DeserializeOwned;
use socket2::SockRef;
use tokio::net::TcpListener;
use tokio::task::JoinHandle;

/// The response of a handler.
pub type JsonResponse = Response<Full<Bytes>>;

/// A running server, which stops when this is dropped.
#[derive(Debug)]
pub struct ServerGuard {
    /// The address on which the server listens.
    pub address: SocketAddr,
    task: JoinHandle<()>,
    /// Has a strong count of the connections that are open. Unused unless set by [`ServerGuard::with_sockets`].
    sockets: Weak<()>,
}

/// Ends a listener or a connection when dropped, for all processes that have a copy of the socket. Closing alone does
/// not: a process that this one starts at the same moment has copies of all sockets until it executes its program.
#[derive(Debug)]
pub struct SocketEnd {
    socket: Option<socket2::Socket>,
    _open: Arc<()>,
}

impl SocketEnd {
    /// Creates the end of `socket`, which holds `open` until then.
    pub fn new(socket: &impl AsFd, open: Arc<()>) -> SocketEnd {
        SocketEnd { socket: SockRef::from(socket).try_clone().ok(), _open: open }
    }
}

impl Drop for SocketEnd {
    fn drop(&mut self) {
        if let Some(socket) = &self.socket {
            // Fails if the other side has ended the connection.
            let _ = socket.shutdown(std::net::Shutdown::Both);
        }
    }
}

/// Interval at which a stopping server checks for open connections.
const STOP_POLL_INTERVAL: Duration = Duration::from_millis(2);

impl ServerGuard {
    /// Creates a guard of a server that runs in `task`.
    pub fn new(address: SocketAddr, task: JoinHandle<()>) -> ServerGuard {
        ServerGuard { address, task, sockets: Weak::new() }
    }

    /// Sets the reference by which open connections are counted: each one holds a strong reference.
    pub fn with_sockets(mut self, sockets: Weak<()>) -> ServerGuard {
        self.sockets = sockets;
        self
    }

    /// Stops the server and waits until the connections that are counted are closed.
    pub async fn stop(mut self) {
        self.task.abort();
        // Returns the error of the cancelled task.
        let _ = (&mut self.task).await;
        while self.sockets.strong_count() > 0 {
            tokio::time::sleep(STOP_POLL_INTERVAL).await;
        }
    }

    /// Waits until the task of the server ends, which happens only if it panics or is cancelled.
    pub async fn wait(mut self) {
        let _ = (&mut self.task).await;
    }
}

impl Drop for ServerGuard {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Starts a server on `address` that answers each request by `handler`.
pub async fn serve<H, F>(address: SocketAddr, handler: H) -> std::io::Result<ServerGuard>
where
    H: Fn(Request<Incoming>) -> F + Send + Sync + 'static,
    F: Future<Output = JsonResponse> + Send + 'static,
{
    serve_limited(address, usize::MAX, handler).await
}

/// Like [`serve`], with at most `max_connections` open at a time. Further ones are reset.
pub async fn serve_limited<H, F>(
    address: SocketAddr,
    max_connections: usize,
    handler: H,
) -> std::io::Result<ServerGuard>
where
    H: Fn(Request<Incoming>) -> F + Send + Sync + 'static,
    F: Future<Output = JsonResponse> + Send + 'static,
{
    let listener = TcpListener::bind(address).await?;
    let address = listener.local_addr()?;
    let handler = Arc::new(handler);
    let listener_end = SocketEnd::new(&listener, Arc::default());
    let task = tokio::spawn(async move {
        let _end = listener_end;
        // Connections end when the task is cancelled, because the set is dropped with it.
        let mut connections = tokio::task::JoinSet::new();
        loop {
            let Ok((stream, _)) = listener.accept().await else { continue };
            while connections.try_join_next().is_some() {}
            if connections.len() >= max_connections {
                // Closing with a linger time of zero resets the connection.
                let _ = SockRef::from(&stream).set_linger(Some(Duration::ZERO));
                continue;
            }
            let _ = stream.set_nodelay(true);
            let end = SocketEnd::new(&stream, Arc::default());
            let handler = handler.clone();
            let service = service_fn(move |request| {
                let answer = handler(request);
                async move { Ok::<_, Infallible>(answer.await) }
            });
            connections.spawn(async move {
                let _end = end;
                let _ = http1::Builder::new().serve_connection(TokioIo::new(stream), service).await;
            });
        }
    });
    Ok(ServerGuard::new(address, task))
}

/// Reads the body of a request as JSON. Returns `None` if it is not valid.
pub async fn read_json<T: DeserializeOwned>(request: Request<Incoming>) -> Option<T> {
    let bytes = request.into_body().collect().await.ok()?.to_bytes();
    serde_json::from_slice(&bytes).ok()
}

/// Returns a response with a JSON body.
pub fn json<T: Serialize>(value: &T) -> JsonResponse {
    let bytes = serde_json::to_vec(value).expect("our types serialize");
    Response::new(Full::new(Bytes::from(bytes)))
}

/// Returns a response with a status and without a body.
pub fn status(status: StatusCode) -> JsonResponse {
    let mut response = Response::new(Full::new(Bytes::new()));
    *response.status_mut() = status;
    response
}

/// Returns a parameter of the query of a request, if it is there and valid.
pub fn query_value<T: std::str::FromStr>(request: &Request<Incoming>, name: &str) -> Option<T> {
    let query = request.uri().query()?;
    let pair = query.split('&').find_map(|pair| pair.strip_prefix(name)?.strip_prefix('='))?;
    pair.parse().ok()
}
