//! The HTTP interface for operators: health, metrics, and the calls of the command-line tool.

use std::convert::Infallible;
use std::sync::Arc;

use http_body_util::Full;
use hyper::body::Bytes;
use sedgehill_core::client_budget::BudgetLimits;
use sedgehill_core::spec::ConfigKey;
use sedgehill_core::units::MemorySize;
use sedgehill_platform::admin::{BoxHealth, ChangeRequest};
use tokio::net::TcpListener;
use tower_service::Service;
use warp::http::{Response, StatusCode};
use warp::reply::{Json, WithStatus};
use warp::{Filter, Rejection, Reply};

use crate::client::ClientRegistry;
use crate::connection::{CallerConnection, ConnectionLimits, ConnectionManager};
use crate::controllers::{ControlHandle, ControlState};
use crate::shared::SharedState;

/// Maximum size of the body of a change, in bytes.
const MAX_CHANGE_BYTES: u64 = 1 << 20;

/// What operators and readers of metrics may hold, apart from callers.
const OPERATOR_LIMITS: BudgetLimits =
    BudgetLimits { memory: MemorySize(16 << 20), connections: 64, idle_connections: 48 };
/// Maximum total size of the headers of a call, in bytes.
const MAX_HEADER_BYTES: usize = 16 << 10;
const CONNECTION_LIMITS: ConnectionLimits = ConnectionLimits {
    max_header_bytes: MAX_HEADER_BYTES,
    max_headers: None,
    header_timeout: None,
};

/// Serves operators' calls until the process ends.
pub async fn serve(listener: TcpListener, shared: Arc<SharedState>, handle: ControlHandle) {
    let log = shared.log.logger.clone();
    let clients = ClientRegistry::new(log.clone(), "operators", OPERATOR_LIMITS);
    let manager = ConnectionManager::new(log, CONNECTION_LIMITS, clients, build_idle_response);
    let routes = monitoring_routes(shared).or(read_routes(handle.clone())).or(change_route(handle));
    let service = warp::service(routes);
    let spawn = |connection: CallerConnection| {
        let service = service.clone();
        tokio::spawn(async move {
            let handle = |request, _| {
                let answer = service.clone().call(request);
                async move { answer.await.unwrap_or_else(|never: Infallible| match never {}) }
            };
            connection.serve(handle).await;
        });
    };
    manager.accept(listener, spawn).await;
}

/// Builds the response that is sent on a connection that has to make room for another: nothing of a call was read.
fn build_idle_response() -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(Bytes::new()));
    *response.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
    response
}

fn monitoring_routes(
    shared: Arc<SharedState>,
) -> impl Filter<Extract = (impl Reply,), Error = Rejection> + Clone {
    let health_state = shared.clone();
    let health = warp::path!("health").and(warp::get()).map(move || health_page(&health_state));
    let metrics = warp::path!("metrics").and(warp::get()).map(move || shared.metrics.render());
    health.or(metrics)
}

fn health_page(shared: &SharedState) -> WithStatus<Json> {
    let report = shared.health.load();
    let status = match report.health {
        BoxHealth::Ready => StatusCode::OK,
        BoxHealth::Draining | BoxHealth::NotReady => StatusCode::SERVICE_UNAVAILABLE,
    };
    warp::reply::with_status(warp::reply::json(&**report), status)
}

fn read_routes(
    handle: ControlHandle,
) -> impl Filter<Extract = (impl Reply,), Error = Rejection> + Clone {
    let with_handle = warp::any().map(move || handle.clone());
    let status = warp::path!("v1" / "status")
        .and(with_handle.clone())
        .and_then(|handle| read(handle, ControlState::status));
    let list = warp::path!("v1" / "configs")
        .and(with_handle.clone())
        .and_then(|handle| read(handle, ControlState::listing));
    let jobs = warp::path!("v1" / "jobs")
        .and(with_handle.clone())
        .and_then(|handle| read(handle, ControlState::jobs));
    let history = warp::path!("v1" / "history")
        .and(warp::query::<HistoryQuery>())
        .and(with_handle.clone())
        .and_then(|query: HistoryQuery, handle| {
            read(handle, move |state| state.history(&query.key))
        });
    let explain = warp::path!("v1" / "explain" / String)
        .and(with_handle)
        .and_then(|subject: String, handle| read(handle, move |state| state.explain(&subject)));
    warp::get().and(status.or(list).or(jobs).or(history).or(explain))
}

#[derive(serde::Deserialize)]
struct HistoryQuery {
    key: ConfigKey,
}

async fn read<R: serde::Serialize + Send + 'static>(
    handle: ControlHandle,
    read: impl FnOnce(&ControlState) -> R + Send + 'static,
) -> Result<WithStatus<Json>, Infallible> {
    Ok(match handle.read(read).await {
        Some(value) => warp::reply::with_status(warp::reply::json(&value), StatusCode::OK),
        None => {
            let body = warp::reply::json(&"the box is stopping");
            warp::reply::with_status(body, StatusCode::SERVICE_UNAVAILABLE)
        }
    })
}

fn change_route(
    handle: ControlHandle,
) -> impl Filter<Extract = (impl Reply,), Error = Rejection> + Clone {
    warp::path!("v1" / "change")
        .and(warp::post())
        .and(warp::body::content_length_limit(MAX_CHANGE_BYTES))
        .and(warp::body::json())
        .and(warp::any().map(move || handle.clone()))
        .and_then(change)
}

async fn change(change: ChangeRequest, handle: ControlHandle) -> Result<Json, Infallible> {
    Ok(warp::reply::json(&handle.change(change).await))
}
