//! A stand-in for the platform's append-only log, with outages, lost answers and retention.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use http::{Method, Request, StatusCode};
use hyper::body::Incoming;
use parking_lot::Mutex;
use rand::Rng;
use serde::{Deserialize, Serialize};
use serde_json::{Value, json};
use tokio::sync::Notify;

use crate::http_server::{self, JsonResponse, ServerGuard, query_value, read_json, status};

/// The most entries in one answer.
const MAX_READ: usize = 1_000;

/// What is wrong with the log.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct LogFaults {
    /// Nothing is answered but errors, and nothing is appended.
    pub down: bool,
    /// Each answer comes this much later.
    pub slow_ms: u64,
    /// The share of appends, in percent, that take effect without an answer.
    pub lost_answers: u32,
    /// Entries kept; none for all.
    pub retention: Option<usize>,
}

#[derive(Debug, Default)]
struct LogStore {
    first: u64,
    entries: VecDeque<Value>,
    faults: LogFaults,
    appends: u64,
}

impl LogStore {
    fn next(&self) -> u64 {
        self.first + self.entries.len() as u64
    }

    fn append(&mut self, batch: Value) -> u64 {
        let offset = self.next();
        self.appends += 1;
        let at_ms =
            SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |at| at.as_millis() as u64);
        self.entries.push_back(json!({ "offset": offset, "at_ms": at_ms, "batch": batch }));
        let kept = self.faults.retention.unwrap_or(usize::MAX);
        while self.entries.len() > kept {
            self.entries.pop_front();
            self.first += 1;
        }
        offset
    }

    fn read(&self, from: u64) -> Value {
        let skip = from.saturating_sub(self.first) as usize;
        let entries: Vec<&Value> = self.entries.iter().skip(skip).take(MAX_READ).collect();
        json!({ "first": self.first, "next": self.next(), "entries": entries })
    }
}

/// The log, shared by its server and by whoever makes it fail.
#[derive(Debug, Clone, Default)]
pub struct StandinLog {
    store: Arc<Mutex<LogStore>>,
    appended: Arc<Notify>,
}

impl StandinLog {
    /// Listens on `address`.
    pub async fn serve(&self, address: SocketAddr) -> std::io::Result<ServerGuard> {
        let log = self.clone();
        http_server::serve(address, move |request| {
            let log = log.clone();
            async move { log.answer(request).await }
        })
        .await
    }

    /// Makes the log fail, or heal.
    pub fn set_faults(&self, faults: LogFaults) {
        self.store.lock().faults = faults;
    }

    /// Appends so far.
    pub fn append_count(&self) -> u64 {
        self.store.lock().appends
    }

    /// Every entry that is kept, as JSON.
    pub fn entries(&self) -> Vec<Value> {
        self.store.lock().entries.iter().cloned().collect()
    }

    async fn answer(&self, request: Request<Incoming>) -> JsonResponse {
        if request.uri().path() == "/fault" {
            return self.change_faults(request).await;
        }
        let faults = self.store.lock().faults.clone();
        tokio::time::sleep(Duration::from_millis(faults.slow_ms)).await;
        if faults.down {
            return status(StatusCode::SERVICE_UNAVAILABLE);
        }
        match (request.method().clone(), request.uri().path()) {
            (Method::POST, "/v1/append") => self.append(request, faults).await,
            (Method::GET, "/v1/read") => self.read(&request).await,
            _ => status(StatusCode::NOT_FOUND),
        }
    }

    async fn change_faults(&self, request: Request<Incoming>) -> JsonResponse {
        match read_json::<LogFaults>(request).await {
            Some(faults) => {
                self.set_faults(faults.clone());
                http_server::json(&faults)
            }
            None => status(StatusCode::BAD_REQUEST),
        }
    }

    async fn append(&self, request: Request<Incoming>, faults: LogFaults) -> JsonResponse {
        let Some(batch) = read_json::<Value>(request).await else {
            return status(StatusCode::BAD_REQUEST);
        };
        let offset = self.store.lock().append(batch);
        self.appended.notify_waiters();
        if rand::rng().random_range(0..100) < faults.lost_answers {
            return status(StatusCode::GATEWAY_TIMEOUT);
        }
        http_server::json(&json!({ "offset": offset }))
    }

    async fn read(&self, request: &Request<Incoming>) -> JsonResponse {
        let from: u64 = query_value(request, "from").unwrap_or(0);
        let wait: u64 = query_value(request, "wait_ms").unwrap_or(0);
        let waiting = async {
            loop {
                let appended = self.appended.notified();
                if self.store.lock().next() > from {
                    return;
                }
                appended.await;
            }
        };
        let _ = tokio::time::timeout(Duration::from_millis(wait), waiting).await;
        let store = self.store.lock();
        match store.faults.down {
            true => status(StatusCode::SERVICE_UNAVAILABLE),
            false => http_server::json(&store.read(from)),
        }
    }
}
