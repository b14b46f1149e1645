//! A stand-in for the platform's list of boxes, endpoints and workers, which shows changes with a delay.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http::{Method, StatusCode};
use http_body_util::Full;
use parking_lot::Mutex;
use sedgehill_core::ids::{EndpointId, WorkerId};
use sedgehill_platform::list::PlatformList;

use crate::http_server::{self, JsonResponse, ServerGuard, read_json, status};

#[derive(Debug)]
struct ListState {
    lag: Duration,
    /// All versions of the list, the newest one last, each with the time of the change.
    versions: Vec<(Instant, PlatformList)>,
    /// Entries of other writers, as JSON that need not be valid for an entry, with the field that lists them.
    foreign: Vec<(&'static str, String)>,
    down: bool,
}

/// The list. Clones share its state, so that a test can change it while it is served.
#[derive(Debug, Clone)]
pub struct StandinList {
    state: Arc<Mutex<ListState>>,
}

impl StandinList {
    /// Creates a list whose changes become visible after `lag`.
    pub fn new(list: PlatformList, lag: Duration) -> StandinList {
        let state = ListState {
            lag,
            versions: vec![(Instant::now() - lag, list)],
            foreign: Vec::new(),
            down: false,
        };
        StandinList { state: Arc::new(Mutex::new(state)) }
    }

    /// Changes the newest version of the list.
    pub fn change(&self, change: impl FnOnce(&mut PlatformList)) {
        let mut state = self.state.lock();
        let mut list = state.versions.last().expect("the list has a first version").1.clone();
        change(&mut list);
        state.versions.push((Instant::now(), list));
    }

    /// Sets whether an endpoint is listed as leaving.
    pub fn set_endpoint_leaving(&self, id: &EndpointId, leaving: bool) {
        self.change(|list| {
            for endpoint in list.endpoints.iter_mut().filter(|endpoint| endpoint.id == *id) {
                endpoint.leaving = leaving;
            }
        });
    }

    /// Sets whether a worker is listed as leaving.
    pub fn set_worker_leaving(&self, id: &WorkerId, leaving: bool) {
        self.change(|list| {
            for worker in list.workers.iter_mut().filter(|worker| worker.id == *id) {
                worker.leaving = leaving;
            }
        });
    }

    /// Lists an entry as another writer left it, before the others of a field of the list.
    pub fn put_foreign(&self, field: &'static str, entry: String) {
        self.state.lock().foreign.push((field, entry));
    }

    /// Returns the body of an answer: the visible list and the entries of other writers.
    fn body(&self) -> Bytes {
        let mut body = serde_json::to_string(&self.visible_list()).expect("the list serializes");
        for (field, entry) in &self.state.lock().foreign {
            let start = format!("\"{field}\":[");
            let position = body.find(&start).expect("the list has the field") + start.len();
            let separator = if body[position..].starts_with(']') { "" } else { "," };
            body.insert_str(position, &format!("{entry}{separator}"));
        }
        body.into()
    }

    /// Sets whether requests for the list fail with status 503.
    pub fn set_down(&self, down: bool) {
        self.state.lock().down = down;
    }

    /// Returns the version of the list that is visible now.
    pub fn visible_list(&self) -> PlatformList {
        let state = self.state.lock();
        let now = Instant::now();
        let is_visible = |(since, _): &&(Instant, PlatformList)| now >= *since + state.lag;
        let version = state.versions.iter().rev().find(is_visible);
        version.map(|(_, list)| list.clone()).unwrap_or_default()
    }

    /// Starts a server on `address`.
    pub async fn serve(&self, address: SocketAddr) -> std::io::Result<ServerGuard> {
        let list = self.clone();
        http_server::serve(address, move |request| {
            let list = list.clone();
            async move {
                if list.state.lock().down {
                    return status(StatusCode::SERVICE_UNAVAILABLE);
                }
                match (request.method().clone(), request.uri().path()) {
                    (Method::GET, "/v1/list") => JsonResponse::new(Full::new(list.body())),
                    (Method::POST, "/v1/list") => match read_json::<PlatformList>(request).await {
                        Some(new) => {
                            list.change(|list| *list = new);
                            status(StatusCode::OK)
                        }
                        None => status(StatusCode::BAD_REQUEST),
                    },
                    _ => status(StatusCode::NOT_FOUND),
                }
            }
        })
        .await
    }
}
