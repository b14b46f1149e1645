//! A small HTTP server for the stand-ins.

use std::convert::Infallible;
use std::net::SocketAddr;
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
use tokio::net::TcpListener;
use tokio::task::JoinHandle;

/// What a handler answers.
pub type JsonResponse = Response<Full<Bytes>>;

/// A server that stops when dropped.
#[derive(Debug)]
pub struct ServerGuard {
    /// Where it listens.
    pub address: SocketAddr,
    task: JoinHandle<()>,
    /// Held by each open connection of a server that was made to tell.
    sockets: Weak<()>,
}

/// Time between two looks at what is still open.
const STOP_TURN: Duration = Duration::from_millis(2);

impl ServerGuard {
    /// Wraps the task of a server.
    pub fn new(address: SocketAddr, task: JoinHandle<()>) -> ServerGuard {
        ServerGuard { address, task, sockets: Weak::new() }
    }

    /// The same, with what each open connection holds.
    pub fn with_sockets(mut self, sockets: Weak<()>) -> ServerGuard {
        self.sockets = sockets;
        self
    }

    /// Stops the server and waits until all its sockets are closed.
    pub async fn stop(mut self) {
        self.task.abort();
        // The task was cancelled, which is what was wanted.
        let _ = (&mut self.task).await;
        while self.sockets.strong_count() > 0 {
            tokio::time::sleep(STOP_TURN).await;
        }
    }

    /// Waits until the server ends, which it does not by itself.
    pub async fn wait(mut self) {
        let _ = (&mut self.task).await;
    }
}

impl Drop for ServerGuard {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Listens on `address` and answers each request with `handler`.
pub async fn serve<H, F>(address: SocketAddr, handler: H) -> std::io::Result<ServerGuard>
where
    H: Fn(Request<Incoming>) -> F + Send + Sync + 'static,
    F: Future<Output = JsonResponse> + Send + 'static,
{
    let listener = TcpListener::bind(address).await?;
    let address = listener.local_addr()?;
    let handler = Arc::new(handler);
    let task = tokio::spawn(async move {
        // Connections end with the server.
        let mut connections = tokio::task::JoinSet::new();
        loop {
            let Ok((stream, _)) = listener.accept().await else { continue };
            let _ = stream.set_nodelay(true);
            let handler = handler.clone();
            let service = service_fn(move |request| {
                let answer = handler(request);
                async move { Ok::<_, Infallible>(answer.await) }
            });
            connections
                .spawn(http1::Builder::new().serve_connection(TokioIo::new(stream), service));
            while connections.try_join_next().is_some() {}
        }
    });
    Ok(ServerGuard::new(address, task))
}

/// Reads the body of a request as JSON.
pub async fn read_json<T: DeserializeOwned>(request: Request<Incoming>) -> Option<T> {
    let bytes = request.into_body().collect().await.ok()?.to_bytes();
    serde_json::from_slice(&bytes).ok()
}

/// An answer of JSON.
pub fn json<T: Serialize>(value: &T) -> JsonResponse {
    let bytes = serde_json::to_vec(value).expect("our types serialize");
    Response::new(Full::new(Bytes::from(bytes)))
}

/// An answer of a status alone.
pub fn status(status: StatusCode) -> JsonResponse {
    let mut response = Response::new(Full::new(Bytes::new()));
    *response.status_mut() = status;
    response
}

/// A value from the query of a request.
pub fn query_value<T: std::str::FromStr>(request: &Request<Incoming>, name: &str) -> Option<T> {
    let query = request.uri().query()?;
    let pair = query.split('&').find_map(|pair| pair.strip_prefix(name)?.strip_prefix('='))?;
    pair.parse().ok()
}
