//! A stand-in for the platform's append-only log, with injected outages, delays, lost answers and limited retention.

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

/// Maximum number of entries in one answer.
const MAX_READ_ENTRIES: usize = 1_000;

/// Faults of the log.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct LogFaults {
    /// All requests fail with status 503, and nothing is appended.
    pub down: bool,
    /// Delay of each request in milliseconds.
    pub slow_ms: u64,
    /// Percentage of appends that take effect and are answered with status 504.
    pub lost_answers: u32,
    /// Number of entries to keep; `None` keeps all.
    pub retention: Option<usize>,
}

#[derive(Debug, Default)]
struct LogState {
    /// Offset of the first entry that is kept.
    first: u64,
    entries: VecDeque<Value>,
    faults: LogFaults,
    append_count: u64,
}

impl LogState {
    /// Returns the offset of the next entry.
    fn next(&self) -> u64 {
        self.first + self.entries.len() as u64
    }

    fn append(&mut self, batch: Value) -> u64 {
        let offset = self.next();
        self.append_count += 1;
        let at_ms =
            SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |at| at.as_millis() as u64);
        self.entries.push_back(json!({ "offset": offset, "at_ms": at_ms, "batch": batch }));
        let max_entries = self.faults.retention.unwrap_or(usize::MAX);
        while self.entries.len() > max_entries {
            self.entries.pop_front();
            self.first += 1;
        }
        offset
    }

    fn read(&self, from: u64) -> Value {
        let skip = from.saturating_sub(self.first) as usize;
        let entries: Vec<&Value> = self.entries.iter().skip(skip).take(MAX_READ_ENTRIES).collect();
        json!({ "first": self.first, "next": self.next(), "entries": entries })
    }
}

/// The log. Clones share its state, so that a test can set faults while it is served.
#[derive(Debug, Clone, Default)]
pub struct StandinLog {
    state: Arc<Mutex<LogState>>,
    appended: Arc<Notify>,
}

impl StandinLog {
    /// Starts a server on `address`.
    pub async fn serve(&self, address: SocketAddr) -> std::io::Result<ServerGuard> {
        let log = self.clone();
        http_server::serve(address, move |request| {
            let log = log.clone();
            async move { log.answer(request).await }
        })
        .await
    }

    /// Sets the faults of the log.
    pub fn set_faults(&self, faults: LogFaults) {
        self.state.lock().faults = faults;
    }

    /// Appends a batch as another writer would.
    pub fn put_foreign(&self, batch: Value) {
        self.state.lock().append(batch);
        self.appended.notify_waiters();
    }

    /// Returns the number of appends so far.
    pub fn append_count(&self) -> u64 {
        self.state.lock().append_count
    }

    /// Returns all entries that are kept, as JSON.
    pub fn entries(&self) -> Vec<Value> {
        self.state.lock().entries.iter().cloned().collect()
    }

    async fn answer(&self, request: Request<Incoming>) -> JsonResponse {
        if request.uri().path() == "/fault" {
            return self.change_faults(request).await;
        }
        let faults = self.state.lock().faults.clone();
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
        let offset = self.state.lock().append(batch);
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
                if self.state.lock().next() > from {
                    return;
                }
                appended.await;
            }
        };
        let _ = tokio::time::timeout(Duration::from_millis(wait), waiting).await;
        let state = self.state.lock();
        match state.faults.down {
            true => status(StatusCode::SERVICE_UNAVAILABLE),
            false => http_server::json(&state.read(from)),
        }
    }
}
