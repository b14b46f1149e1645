//! A store of topics, of which the newest record of each key is kept.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::{Buf, BufMut, Bytes, BytesMut};
use http::{Request, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use parking_lot::Mutex;

use crate::http_server::{JsonResponse, json, query_value, status};

/// Time between two looks of a call that waits.
const TURN: Duration = Duration::from_millis(5);

#[derive(Debug, Default)]
struct ProducerState {
    epoch: u64,
    next: u64,
    last: u64,
}

#[derive(Debug, Default)]
struct StoreState {
    topics: HashMap<String, Vec<(String, Bytes)>>,
    producers: HashMap<(String, String), ProducerState>,
    silent: bool,
    /// What pages of the newest records hold as well, as it stands: the topic and the item.
    strays: Vec<(String, serde_json::Value)>,
}

/// The store.
#[derive(Debug, Default)]
pub struct StandinStore {
    state: Mutex<StoreState>,
}

impl StandinStore {
    /// Puts a record under a key.
    pub fn put(&self, topic: &str, key: &str, value: &serde_json::Value) {
        self.put_bytes(topic, key, value.to_string().as_bytes());
    }

    /// Puts a record of any bytes under a key.
    pub fn put_bytes(&self, topic: &str, key: &str, value: &[u8]) {
        let value = Bytes::copy_from_slice(value);
        let mut state = self.state.lock();
        state.topics.entry(topic.to_owned()).or_default().push((key.to_owned(), value));
    }

    /// Puts an item into the pages of a topic's newest records, whatever it is.
    pub fn put_stray(&self, topic: &str, item: serde_json::Value) {
        self.state.lock().strays.push((topic.to_owned(), item));
    }

    /// Lets the store answer nobody, or everybody again. Calls that wait meanwhile do nothing.
    pub fn set_silent(&self, silent: bool) {
        self.state.lock().silent = silent;
    }
}

/// Answers a call.
pub async fn answer(store: Arc<StandinStore>, request: Request<Incoming>) -> JsonResponse {
    let mut was_silent = false;
    while store.state.lock().silent {
        was_silent = true;
        tokio::time::sleep(TURN).await;
    }
    if was_silent {
        return status(StatusCode::SERVICE_UNAVAILABLE);
    }
    let topic: String = query_value(&request, "topic").unwrap_or_default();
    match request.uri().path() {
        "/sedgehill/log-append" => append(&store, &topic, request).await,
        "/sedgehill/log-read" => read(&store, &topic, &request).await,
        "/sedgehill/log-newest" => newest(&store, &topic),
        _ => status(StatusCode::NOT_FOUND),
    }
}

async fn append(store: &StandinStore, topic: &str, request: Request<Incoming>) -> JsonResponse {
    let at: Option<u64> = query_value(&request, "at");
    let producer: Option<String> = query_value(&request, "producer");
    let epoch: u64 = query_value(&request, "epoch").unwrap_or_default();
    let sequence: u64 = query_value(&request, "seq").unwrap_or_default();
    let Ok(body) = request.into_body().collect().await else {
        return status(StatusCode::BAD_REQUEST);
    };
    let mut state = store.state.lock();
    let StoreState { topics, producers, .. } = &mut *state;
    let records = topics.entry(topic.to_owned()).or_default();
    let end = records.len() as u64;
    if at.is_some_and(|at| at != end) {
        return refuse(StatusCode::PRECONDITION_FAILED, "", end);
    }
    let mut known = None;
    if let Some(producer) = producer {
        let state = producers.entry((topic.to_owned(), producer)).or_default();
        if epoch < state.epoch {
            return refuse(StatusCode::CONFLICT, "fenced", end);
        }
        if epoch > state.epoch {
            *state = ProducerState { epoch, next: sequence, last: end };
        }
        if sequence + 1 == state.next {
            return json(&serde_json::json!({ "end": state.last }));
        }
        if sequence != state.next {
            return refuse(StatusCode::CONFLICT, "seq", end);
        }
        known = Some(state);
    }
    records.extend(decode(body.to_bytes()));
    let end = records.len() as u64;
    if let Some(state) = known {
        (state.next, state.last) = (state.next + 1, end);
    }
    json(&serde_json::json!({ "end": end }))
}

fn refuse(code: StatusCode, reason: &str, end: u64) -> JsonResponse {
    let mut response = json(&serde_json::json!({ "reason": reason, "end": end }));
    *response.status_mut() = code;
    response
}

fn decode(mut body: Bytes) -> Vec<(String, Bytes)> {
    let mut records = Vec::new();
    while body.remaining() > 4 {
        let length = body.get_u32() as usize;
        let mut record = body.split_to(length);
        let key_length = usize::from(record.get_u8());
        let key = record.split_to(key_length);
        records.push((String::from_utf8_lossy(&key).into_owned(), record));
    }
    records
}

async fn read(store: &StandinStore, topic: &str, request: &Request<Incoming>) -> JsonResponse {
    let from: u64 = query_value(request, "from_rev").unwrap_or_default();
    let wait: u64 = query_value(request, "wait_ms").unwrap_or_default();
    let deadline = Instant::now() + Duration::from_millis(wait);
    loop {
        let (end, records) = {
            let state = store.state.lock();
            let records = state.topics.get(topic).cloned().unwrap_or_default();
            (records.len() as u64, records)
        };
        if end > from || Instant::now() >= deadline {
            let new = records.get(from as usize..).unwrap_or_default();
            return JsonResponse::new(Full::new(encode(end, new)));
        }
        tokio::time::sleep(TURN).await;
    }
}

fn encode(end: u64, records: &[(String, Bytes)]) -> Bytes {
    let mut body = BytesMut::new();
    body.put_u64(end);
    body.put_u64(0);
    for (key, value) in records {
        body.put_u32((1 + key.len() + value.len()) as u32);
        body.put_u8(key.len() as u8);
        body.put_slice(key.as_bytes());
        body.put_slice(value);
    }
    body.freeze()
}

fn newest(store: &StandinStore, topic: &str) -> JsonResponse {
    use base64::Engine as _;
    let state = store.state.lock();
    let records = state.topics.get(topic).map(Vec::as_slice).unwrap_or_default();
    let newest: BTreeMap<&str, &Bytes> =
        records.iter().map(|(key, value)| (key.as_str(), value)).collect();
    let encode = |value: &Bytes| base64::engine::general_purpose::STANDARD.encode(value);
    let strays = state.strays.iter().filter(|(of, _)| of == topic).map(|(_, item)| item.clone());
    let items = newest
        .into_iter()
        .map(|(key, value)| serde_json::json!({ "key": key, "value": encode(value), "offset": 0 }));
    let items: Vec<serde_json::Value> = strays.chain(items).collect();
    json(&serde_json::json!({ "items": items, "more": false, "end": records.len() }))
}
