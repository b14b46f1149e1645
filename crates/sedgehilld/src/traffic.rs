//! Takes callers' connections and runs each request through the filters.

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

/// The most header bytes of a request.
const MAX_HEADER_BYTES: usize = 64 << 10;
/// The most headers of a request.
const MAX_HEADERS: usize = 100;

/// The bounds of a caller's connection.
pub fn caller_limits(settings: &BoxSettings) -> ConnectionLimits {
    ConnectionLimits {
        max_header_bytes: MAX_HEADER_BYTES,
        max_headers: Some(MAX_HEADERS),
        header_timeout: Some(Duration::from_millis(settings.limits.receive.as_millis())),
    }
}

/// What a caller is told whose request may cross the end of its idle connection. The box has read nothing of it, so
/// it does not know the key under which the request may have run elsewhere.
pub fn build_idle_response() -> Response<Full<Bytes>> {
    let outcome = RequestOutcome::Unknown(UnknownReason::ConnectionEnded);
    build_answer(RequestId(Uuid::now_v7()), outcome, true)
}

/// Serves callers until the stop has come to its end.
pub async fn serve(listener: TcpListener, shared: Arc<SharedState>, handle: ControlHandle) {
    let chain = Arc::new(FilterChain::new(shared.clone(), handle));
    let spawn = |connection: CallerConnection| {
        let chain = chain.clone();
        tokio::spawn(async move {
            connection.serve(|request| run_chain(chain.clone(), request)).await;
        });
    };
    shared.connections.accept(listener, spawn).await;
}
