//! A stand-in for the platform's lagging list.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use http::{Method, StatusCode};
use parking_lot::Mutex;
use sedgehill_core::ids::{EndpointId, WorkerId};
use sedgehill_platform::list::PlatformList;

use crate::http_server::{self, ServerGuard, read_json, status};

#[derive(Debug)]
struct ListStore {
    lag: Duration,
    /// Past lists, the newest last, each with the time from which it holds.
    versions: Vec<(Instant, PlatformList)>,
    down: bool,
}

/// The list, shared by its server and by whoever changes it.
#[derive(Debug, Clone)]
pub struct StandinList {
    store: Arc<Mutex<ListStore>>,
}

impl StandinList {
    /// A list whose changes show after `lag`.
    pub fn new(list: PlatformList, lag: Duration) -> StandinList {
        let store = ListStore { lag, versions: vec![(Instant::now() - lag, list)], down: false };
        StandinList { store: Arc::new(Mutex::new(store)) }
    }

    /// Changes the list.
    pub fn change(&self, change: impl FnOnce(&mut PlatformList)) {
        let mut store = self.store.lock();
        let mut list = store.versions.last().expect("there is a first list").1.clone();
        change(&mut list);
        store.versions.push((Instant::now(), list));
    }

    /// Says that an endpoint is leaving, or back.
    pub fn set_endpoint_leaving(&self, id: &EndpointId, leaving: bool) {
        self.change(|list| {
            for endpoint in list.endpoints.iter_mut().filter(|endpoint| endpoint.id == *id) {
                endpoint.leaving = leaving;
            }
        });
    }

    /// Says that a worker is leaving, or back.
    pub fn set_worker_leaving(&self, id: &WorkerId, leaving: bool) {
        self.change(|list| {
            for worker in list.workers.iter_mut().filter(|worker| worker.id == *id) {
                worker.leaving = leaving;
            }
        });
    }

    /// Makes the list unreachable, or reachable again.
    pub fn set_down(&self, down: bool) {
        self.store.lock().down = down;
    }

    /// The list as it shows now.
    pub fn visible_list(&self) -> PlatformList {
        let store = self.store.lock();
        let now = Instant::now();
        let shows = |(since, _): &&(Instant, PlatformList)| now >= *since + store.lag;
        let version = store.versions.iter().rev().find(shows);
        version.map(|(_, list)| list.clone()).unwrap_or_default()
    }

    /// Listens on `address`.
    pub async fn serve(&self, address: SocketAddr) -> std::io::Result<ServerGuard> {
        let list = self.clone();
        http_server::serve(address, move |request| {
            let list = list.clone();
            async move {
                if list.store.lock().down {
                    return status(StatusCode::SERVICE_UNAVAILABLE);
                }
                match (request.method().clone(), request.uri().path()) {
                    (Method::GET, "/v1/list") => http_server::json(&list.visible_list()),
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
