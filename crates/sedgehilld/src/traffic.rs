//! Accepts callers' connections and runs each request through the filters.

use std::sync::Arc;
use std::time::Duration;

use http_body_util::Full;
use hyper::Response;
use hyper::body::Bytes;
use sedgehill_core::ids::RequestId;
use tokio::net::TcpListener;
use uuid::Uuid;

use crate::connection::{CallerConnection, ConnectionLimits};
use crate::controllers::ControlHandle;
use crate::filters::{FilterChain, RequestOutcome, UnknownReason, build_answer, run_chain};
use crate::settings::BoxSettings;
use crate::shared::SharedState;

/// Maximum total size of the headers of a request, in bytes.
const MAX_HEADER_BYTES: usize = 64 << 10;
/// Maximum number of headers of a request.
const MAX_HEADERS: usize = 100;

/// Returns the limits of callers' connections.
pub fn caller_limits(settings: &BoxSettings) -> ConnectionLimits {
    ConnectionLimits {
        max_header_bytes: MAX_HEADER_BYTES,
        max_headers: Some(MAX_HEADERS),
        header_timeout: Some(Duration::from_millis(settings.limits.receive_timeout.as_millis())),
    }
}

/// Builds the response that is sent when the box closes an idle connection, and that answers a request already on its
/// way. The box has read nothing of that request, so it does not know the idempotency key under which the request may
/// have run elsewhere: the outcome is `unknown`.
pub fn build_idle_response() -> Response<Full<Bytes>> {
    let outcome = RequestOutcome::Unknown(UnknownReason::ConnectionEnded);
    build_answer(RequestId(Uuid::now_v7()), outcome, true)
}

/// Serves callers until a planned stop closes the listener.
pub async fn serve(listener: TcpListener, shared: Arc<SharedState>, handle: ControlHandle) {
    let chain = Arc::new(FilterChain::new(shared.clone(), handle));
    let spawn = |connection: CallerConnection| {
        let chain = chain.clone();
        tokio::spawn(async move {
            connection.serve(|request, memory| run_chain(chain.clone(), request, memory)).await;
        });
    };
    shared.connections.accept(listener, spawn).await;
}
