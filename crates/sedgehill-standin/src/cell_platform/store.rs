//! A store of topics, of which the newest record of each key is kept.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::{Buf, BufMut, Bytes, BytesMut};
use http::{Request, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use parking_lot::Mutex;

use super::WORKER_TOPIC;
use super::call_fault::{CallDelivery, FaultInjector, PathFault};
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
    /// The first offset of each topic that can still be read.
    first: HashMap<String, u64>,
    producers: HashMap<(String, String), ProducerState>,
    silent: bool,
    /// The topic whose records go the moment a sender begins a new epoch there.
    forgets_at_fence: Option<String>,
    /// The topic whose reads wait, until such a moment at the latest.
    holds_reads: Option<String>,
    /// How much later such reads are told that what they ask for is gone; none for an error at once.
    tells_gone_late: Option<Duration>,
    /// The topic whose next append is answered so much later than it is carried out.
    answers_late: Option<(String, Duration)>,
    /// How much later than the one before each reading of the newest records is answered, and how many were.
    newest_late: Option<(Duration, u32)>,
    /// What becomes of appends.
    trouble: Option<PathFault>,
    /// What pages of the newest records hold as well, as it stands: the topic and the item.
    strays: Vec<(String, serde_json::Value)>,
}

impl StoreState {
    fn discard_history(&mut self, topic: &str) {
        let end = self.topics.get(topic).map_or(0, Vec::len) as u64;
        self.first.insert(topic.to_owned(), end);
    }
}

/// The store.
#[derive(Debug, Default)]
pub struct StandinStore {
    state: Mutex<StoreState>,
    fault_injector: FaultInjector,
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

    /// Has the records that a topic holds now gone: only the newest of each key can be read.
    pub fn discard_history(&self, topic: &str) {
        self.state.lock().discard_history(topic);
    }

    /// Has a topic's records gone, once, the moment a sender begins a new epoch there.
    pub fn discard_history_at_fence(&self, topic: &str) {
        self.state.lock().forgets_at_fence = Some(topic.to_owned());
    }

    /// Has reads of a topic wait, until a sender begins a new epoch there at the latest, or wait no more.
    /// Those that waited do nothing.
    pub fn hold_reads(&self, topic: Option<&str>) {
        self.state.lock().holds_reads = topic.map(str::to_owned);
    }

    /// Has the next append to a topic carried out at once and answered after a time.
    pub fn delay_next_append_answer(&self, topic: &str, after: Duration) {
        self.state.lock().answers_late = Some((topic.to_owned(), after));
    }

    /// Has each reading of the newest records answered so much later than the one before it: the first as
    /// late, the second twice as late.
    pub fn delay_newest_answers(&self, each: Duration) {
        self.state.lock().newest_late = Some((each, 0));
    }

    /// All that was ever appended to a topic.
    pub fn all_values(&self, topic: &str) -> Vec<Bytes> {
        let state = self.state.lock();
        let records = state.topics.get(topic).into_iter().flatten();
        records.map(|(_, value)| value.clone()).collect()
    }

    /// Where a topic ends.
    pub fn end(&self, topic: &str) -> u64 {
        self.state.lock().topics.get(topic).map_or(0, Vec::len) as u64
    }

    /// Has reads that waited told so much later that what they ask for is gone.
    pub fn delay_gone_answers(&self, late: Duration) {
        self.state.lock().tells_gone_late = Some(late);
    }

    fn gone_late(&self, topic: &str, from: u64) -> Option<Duration> {
        let is_gone = from < self.first_of(topic);
        self.state.lock().tells_gone_late.filter(|_| is_gone)
    }

    fn first_of(&self, topic: &str) -> u64 {
        self.state.lock().first.get(topic).copied().unwrap_or_default()
    }

    /// Has appends meet trouble, or no more.
    pub fn set_append_fault(&self, trouble: Option<PathFault>) {
        self.state.lock().trouble = trouble;
    }

    /// Draws by another seed what becomes of appends.
    pub fn seed(&self, seed: u64) {
        self.fault_injector.seed(seed);
    }

    /// Drops a key.
    pub fn remove(&self, topic: &str, key: &str) {
        let mut state = self.state.lock();
        state.topics.entry(topic.to_owned()).or_default().push((key.to_owned(), Bytes::new()));
    }

    /// The newest value of a key.
    pub fn newest_value(&self, topic: &str, key: &str) -> Option<Bytes> {
        let state = self.state.lock();
        let records = state.topics.get(topic)?;
        records.iter().rev().find(|(other, _)| other == key).map(|(_, value)| value.clone())
    }

    /// Puts an item into the pages of a topic's newest records, whatever it is.
    pub fn put_raw_item(&self, topic: &str, item: serde_json::Value) {
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
        "/sedgehill/log-append" => append(store, topic, request).await,
        "/sedgehill/log-read" => read(&store, &topic, &request).await,
        "/sedgehill/log-newest" if topic != WORKER_TOPIC => {
            let late = store.state.lock().newest_late.as_mut().map(|(each, count)| {
                *count += 1;
                *each * *count
            });
            let response = newest(&store, &topic);
            tokio::time::sleep(late.unwrap_or_default()).await;
            response
        }
        "/sedgehill/log-newest" => newest(&store, &topic),
        _ => status(StatusCode::NOT_FOUND),
    }
}

/// An append on its way.
struct AppendCall {
    topic: String,
    at: Option<u64>,
    producer: Option<String>,
    epoch: u64,
    sequence: u64,
    body: Bytes,
}

async fn append(
    store: Arc<StandinStore>,
    topic: String,
    request: Request<Incoming>,
) -> JsonResponse {
    let at = query_value(&request, "at");
    let producer = query_value(&request, "producer");
    let epoch = query_value(&request, "epoch").unwrap_or_default();
    let sequence = query_value(&request, "seq").unwrap_or_default();
    let Ok(body) = request.into_body().collect().await else {
        return status(StatusCode::BAD_REQUEST);
    };
    let call = AppendCall { topic, at, producer, epoch, sequence, body: body.to_bytes() };
    let trouble = store.state.lock().trouble;
    let late = store.state.lock().answers_late.take_if(|(topic, _)| *topic == call.topic);
    if let Some((_, after)) = late {
        let response = carry_out(&store, call);
        tokio::time::sleep(after).await;
        return response;
    }
    match store.fault_injector.draw(trouble, epoch) {
        CallDelivery::Answered => carry_out(&store, call),
        CallDelivery::AnsweredAfter(after) => {
            let response = carry_out(&store, call);
            tokio::time::sleep(after).await;
            response
        }
        CallDelivery::Lost => std::future::pending().await,
        CallDelivery::Unanswered(after) => {
            tokio::spawn(async move {
                tokio::time::sleep(after).await;
                carry_out(&store, call)
            });
            std::future::pending().await
        }
    }
}

fn carry_out(store: &StandinStore, call: AppendCall) -> JsonResponse {
    let AppendCall { topic, at, producer, epoch, sequence, body } = call;
    let topic = topic.as_str();
    let mut state = store.state.lock();
    let state = &mut *state;
    let StoreState { topics, producers, .. } = state;
    let records = topics.entry(topic.to_owned()).or_default();
    let end = records.len() as u64;
    if at.is_some_and(|at| at != end) {
        return refuse(StatusCode::PRECONDITION_FAILED, "", end);
    }
    let mut known = None;
    let mut fences = false;
    if let Some(producer) = producer {
        let state = producers.entry((topic.to_owned(), producer)).or_default();
        if epoch < state.epoch {
            return refuse(StatusCode::CONFLICT, "fenced", end);
        }
        if epoch > state.epoch {
            fences = true;
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
    records.extend(decode(body));
    let end = records.len() as u64;
    if let Some(state) = known {
        (state.next, state.last) = (state.next + 1, end);
    }
    if fences {
        state.holds_reads.take_if(|held| held == topic);
    }
    if fences && state.forgets_at_fence.take_if(|forgotten| forgotten == topic).is_some() {
        state.discard_history(topic);
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
    let is_held = || store.state.lock().holds_reads.as_deref() == Some(topic);
    loop {
        if is_held() {
            while is_held() {
                tokio::time::sleep(TURN).await;
            }
            if let Some(late) = store.gone_late(topic, from) {
                tokio::time::sleep(late).await;
                return gone(store.first_of(topic));
            }
            return status(StatusCode::SERVICE_UNAVAILABLE);
        }
        let (first, end, records) = {
            let state = store.state.lock();
            let records = state.topics.get(topic).cloned().unwrap_or_default();
            let first = state.first.get(topic).copied().unwrap_or_default();
            (first, records.len() as u64, records)
        };
        if from < first {
            return gone(first);
        }
        if end > from || Instant::now() >= deadline {
            let new = records.get(from as usize..).unwrap_or_default();
            return JsonResponse::new(Full::new(encode(first, end, new)));
        }
        tokio::time::sleep(TURN).await;
    }
}

fn gone(first: u64) -> JsonResponse {
    let mut response = json(&serde_json::json!({ "first": first }));
    *response.status_mut() = StatusCode::GONE;
    response
}

fn encode(first: u64, end: u64, records: &[(String, Bytes)]) -> Bytes {
    let mut body = BytesMut::new();
    body.put_u64(end);
    body.put_u64(first);
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
        .filter(|(_, value)| !value.is_empty())
        .map(|(key, value)| serde_json::json!({ "key": key, "value": encode(value), "offset": 0 }));
    let items: Vec<serde_json::Value> = strays.chain(items).collect();
    json(&serde_json::json!({ "items": items, "more": false, "end": records.len() }))
}
