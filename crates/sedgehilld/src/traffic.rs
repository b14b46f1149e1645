//! Takes callers' connections and runs each request through the filters.

use std::convert::Infallible;
use std::sync::Arc;
use std::time::Duration;

use http::HeaderValue;
use http::header::CONNECTION;
use http_body_util::Full;
use hyper::body::{Bytes, Incoming};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response};
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

use crate::controllers::ControlHandle;
use crate::filters::{FilterChain, run_chain};
use crate::shared::SharedState;

/// The most header bytes of a request.
const MAX_HEADER_BYTES: usize = 64 << 10;
/// The most headers of a request.
const MAX_HEADERS: usize = 100;
/// How long to wait after the machine could not take a connection.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// After traffic was asked to stop, answers tell callers for so long that their connection ends with
/// the answer. Only what stays idle all that time is closed without one: a call that was sent into the
/// closing would be lost. Callers that pause for longer between two calls on one connection are rare;
/// a caller on a busy machine needed more than 250 ms.
pub const CLOSING_NOTICE: Duration = Duration::from_millis(1_500);

/// Serves callers until traffic is asked to stop.
pub async fn serve(listener: TcpListener, shared: Arc<SharedState>, handle: ControlHandle) {
    let chain = Arc::new(FilterChain::new(shared.clone(), handle));
    let mut stopped = shared.stopped();
    loop {
        tokio::select! {
            accepted = listener.accept() => match accepted {
                Ok((stream, _)) => {
                    tokio::spawn(serve_connection(stream, chain.clone(), shared.clone()));
                }
                Err(_) => tokio::time::sleep(ACCEPT_PAUSE).await,
            },
            () = wait_for_stop(&mut stopped) => break,
        }
    }
    // Closing the listener resets the connections that wait in it, so they are taken first.
    let waiting = listener.into_std().map(|listener| take_waiting(&listener));
    for stream in waiting.into_iter().flatten() {
        tokio::spawn(serve_connection(stream, chain.clone(), shared.clone()));
    }
}

async fn serve_connection(stream: TcpStream, chain: Arc<FilterChain>, shared: Arc<SharedState>) {
    let _ = stream.set_nodelay(true);
    let closing = shared.stopped();
    let service = service_fn(move |request: Request<Incoming>| {
        let (chain, closing) = (chain.clone(), closing.clone());
        async move {
            let mut response = run_chain(&chain, request).await;
            if *closing.borrow() {
                response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
            }
            Ok::<Response<Full<Bytes>>, Infallible>(response)
        }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(Duration::from_millis(shared.settings.limits.receive.as_millis()))
        .max_buf_size(MAX_HEADER_BYTES)
        .max_headers(MAX_HEADERS)
        .serve_connection(TokioIo::new(stream), service);
    let mut connection = std::pin::pin!(connection);
    let mut stopped = shared.stopped();
    tokio::select! {
        _ = connection.as_mut() => return,
        () = wait_for_stop(&mut stopped) => {}
    }
    if tokio::time::timeout(CLOSING_NOTICE, connection.as_mut()).await.is_ok() {
        return;
    }
    connection.as_mut().graceful_shutdown();
    let _ = connection.await;
}

/// Takes all connections that wait in a listener.
fn take_waiting(listener: &std::net::TcpListener) -> Vec<TcpStream> {
    // An error means that none waits, or that none can be taken.
    std::iter::from_fn(|| listener.accept().ok())
        .filter_map(|(stream, _)| {
            stream.set_nonblocking(true).ok()?;
            TcpStream::from_std(stream).ok()
        })
        .collect()
}

async fn wait_for_stop(stopped: &mut watch::Receiver<bool>) {
    // An error means that the box is gone, which is a stop as well.
    let _ = stopped.wait_for(|stop| *stop).await;
}
