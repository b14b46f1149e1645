//! A stand-in for the users' store of topics: append-only logs of records with keys, of which the newest record of
//! each key can always be read.

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

/// Interval at which a waiting call checks its condition.
const POLL_INTERVAL: Duration = Duration::from_millis(5);

/// The state of one producer of a topic.
#[derive(Debug, Default)]
struct ProducerState {
    epoch: u64,
    /// The sequence number that its next append must have.
    next_sequence: u64,
    /// The end of the topic after its last append, which a repeated append is answered with.
    last_end: u64,
}

#[derive(Debug, Default)]
struct StoreState {
    /// All records of each topic, by offset. An empty value deletes its key.
    topics: HashMap<String, Vec<(String, Bytes)>>,
    /// The first offset of each topic that can still be read.
    first_offsets: HashMap<String, u64>,
    producers: HashMap<(String, String), ProducerState>,
    /// No call is answered.
    silent: bool,
    /// The topic whose history is discarded when a producer begins a new epoch there.
    discard_at_fence: Option<String>,
    /// The topic whose reads wait, at the latest until a producer begins a new epoch there.
    held_reads: Option<String>,
    /// Delay after which held reads are answered with status 410 if their offset cannot be read any more. Without it
    /// they get status 503 at once.
    gone_answer_delay: Option<Duration>,
    /// The topic whose next append is answered late, and the delay.
    next_append_delay: Option<(String, Duration)>,
    /// The delay that each read of the newest records adds to that of the one before, and the number of reads so far.
    newest_delay: Option<(Duration, u32)>,
    /// The most bytes of a record and of the body of an append, if they are limited.
    append_limits: Option<(usize, usize)>,
    /// The number of reads of each topic from an offset on.
    read_counts: HashMap<String, usize>,
    /// The largest record that was appended, in bytes.
    largest_record: usize,
    /// The fault that appends meet.
    append_fault: Option<PathFault>,
    /// Additional items in pages of newest records, as JSON text with their topics. They need not be well formed.
    raw_items: Vec<(String, String)>,
}

impl StoreState {
    fn discard_history(&mut self, topic: &str) {
        let end = self.topics.get(topic).map_or(0, Vec::len) as u64;
        self.first_offsets.insert(topic.to_owned(), end);
    }
}

/// The stand-in store.
#[derive(Debug, Default)]
pub struct StandinStore {
    state: Mutex<StoreState>,
    fault_injector: FaultInjector,
}

impl StandinStore {
    /// Appends a record with a JSON value.
    pub fn put(&self, topic: &str, key: &str, value: &serde_json::Value) {
        self.put_bytes(topic, key, value.to_string().as_bytes());
    }

    /// Appends a record with a value of any bytes.
    pub fn put_bytes(&self, topic: &str, key: &str, value: &[u8]) {
        let value = Bytes::copy_from_slice(value);
        let mut state = self.state.lock();
        state.topics.entry(topic.to_owned()).or_default().push((key.to_owned(), value));
    }

    /// Discards the present records of a topic: only the newest one of each key can still be read.
    pub fn discard_history(&self, topic: &str) {
        self.state.lock().discard_history(topic);
    }

    /// Discards the records of a topic once, when a producer next begins a new epoch there.
    pub fn discard_history_at_fence(&self, topic: &str) {
        self.state.lock().discard_at_fence = Some(topic.to_owned());
    }

    /// Holds reads of a topic, at the latest until a producer begins a new epoch there; `None` releases them. Held
    /// reads return no records.
    pub fn hold_reads(&self, topic: Option<&str>) {
        self.state.lock().held_reads = topic.map(str::to_owned);
    }

    /// Delays the answer to the next append to a topic, which is executed at once.
    pub fn delay_next_append_answer(&self, topic: &str, delay: Duration) {
        self.state.lock().next_append_delay = Some((topic.to_owned(), delay));
    }

    /// Delays answers to reads of the newest records: the first one by `step`, the second one by twice as much, and so
    /// on. Reads of the list of workers are not delayed.
    pub fn delay_newest_answers(&self, step: Duration) {
        self.state.lock().newest_delay = Some((step, 0));
    }

    /// Returns the values of all records that were ever appended to a topic.
    pub fn all_values(&self, topic: &str) -> Vec<Bytes> {
        let state = self.state.lock();
        let records = state.topics.get(topic).into_iter().flatten();
        records.map(|(_, value)| value.clone()).collect()
    }

    /// Returns the offset after the last record of a topic.
    pub fn end(&self, topic: &str) -> u64 {
        self.state.lock().topics.get(topic).map_or(0, Vec::len) as u64
    }

    /// Answers held reads whose offset cannot be read any more with status 410, after a delay.
    pub fn delay_gone_answers(&self, delay: Duration) {
        self.state.lock().gone_answer_delay = Some(delay);
    }

    /// Returns the delay of the answer to a held read, if its offset cannot be read any more and a delay is set.
    fn gone_delay(&self, topic: &str, from: u64) -> Option<Duration> {
        let is_gone = from < self.first_of(topic);
        self.state.lock().gone_answer_delay.filter(|_| is_gone)
    }

    fn first_of(&self, topic: &str) -> u64 {
        self.state.lock().first_offsets.get(topic).copied().unwrap_or_default()
    }

    /// Sets the fault that appends meet; `None` ends it.
    pub fn set_append_fault(&self, fault: Option<PathFault>) {
        self.state.lock().append_fault = fault;
    }

    /// Limits the bytes of a record, and of the body of an append.
    pub fn limit_appends(&self, record_bytes: usize, call_bytes: usize) {
        self.state.lock().append_limits = Some((record_bytes, call_bytes));
    }

    /// Returns how often a topic was read from an offset on.
    pub fn read_count(&self, topic: &str) -> usize {
        self.state.lock().read_counts.get(topic).copied().unwrap_or(0)
    }

    /// Returns the size in bytes of the largest record that was appended.
    pub fn largest_record(&self) -> usize {
        self.state.lock().largest_record
    }

    /// Seeds the generator that decides which appends meet the fault.
    pub fn seed(&self, seed: u64) {
        self.fault_injector.seed(seed);
    }

    /// Deletes a key.
    pub fn remove(&self, topic: &str, key: &str) {
        let mut state = self.state.lock();
        state.topics.entry(topic.to_owned()).or_default().push((key.to_owned(), Bytes::new()));
    }

    /// Returns the newest value of a key, which is empty if the key was deleted.
    pub fn newest_value(&self, topic: &str, key: &str) -> Option<Bytes> {
        let state = self.state.lock();
        let records = state.topics.get(topic)?;
        records.iter().rev().find(|(other, _)| other == key).map(|(_, value)| value.clone())
    }

    /// Adds an item to the pages of a topic's newest records as it is, well formed or not.
    pub fn put_raw_item(&self, topic: &str, item: serde_json::Value) {
        self.put_raw_text(topic, item.to_string());
    }

    /// Like [`StandinStore::put_raw_item`], with any JSON text.
    pub fn put_raw_text(&self, topic: &str, item: String) {
        self.state.lock().raw_items.push((topic.to_owned(), item));
    }

    /// Stops the store from answering calls, or lets it answer again. Calls that arrive in between are not executed and
    /// get status 503 at its end.
    pub fn set_silent(&self, silent: bool) {
        self.state.lock().silent = silent;
    }
}

/// Answers a call of a box.
pub async fn answer(store: Arc<StandinStore>, request: Request<Incoming>) -> JsonResponse {
    let mut was_silent = false;
    while store.state.lock().silent {
        was_silent = true;
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    if was_silent {
        return status(StatusCode::SERVICE_UNAVAILABLE);
    }
    let topic: String = query_value(&request, "topic").unwrap_or_default();
    match request.uri().path() {
        "/sedgehill/log-append" => append(store, topic, request).await,
        "/sedgehill/log-read" => read(&store, &topic, &request).await,
        "/sedgehill/log-newest" if topic != WORKER_TOPIC => {
            let delay = store.state.lock().newest_delay.as_mut().map(|(step, count)| {
                *count += 1;
                *step * *count
            });
            let response = newest(&store, &topic);
            tokio::time::sleep(delay.unwrap_or_default()).await;
            response
        }
        "/sedgehill/log-newest" => newest(&store, &topic),
        _ => status(StatusCode::NOT_FOUND),
    }
}

/// The content of an append call.
struct AppendCall {
    topic: String,
    /// The offset at which the topic must end for the append to take effect.
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
    let fault = store.state.lock().append_fault;
    let delayed = store.state.lock().next_append_delay.take_if(|(topic, _)| *topic == call.topic);
    if let Some((_, delay)) = delayed {
        let response = execute_append(&store, call);
        tokio::time::sleep(delay).await;
        return response;
    }
    match store.fault_injector.draw(fault, epoch) {
        CallDelivery::Answered => execute_append(&store, call),
        CallDelivery::AnsweredAfter(delay) => {
            let response = execute_append(&store, call);
            tokio::time::sleep(delay).await;
            response
        }
        CallDelivery::Lost => std::future::pending().await,
        CallDelivery::Unanswered(delay) => {
            tokio::spawn(async move {
                tokio::time::sleep(delay).await;
                execute_append(&store, call)
            });
            std::future::pending().await
        }
    }
}

fn execute_append(store: &StandinStore, call: AppendCall) -> JsonResponse {
    let AppendCall { topic, at, producer, epoch, sequence, body } = call;
    let topic = topic.as_str();
    let mut state = store.state.lock();
    let state = &mut *state;
    let call_bytes = body.len();
    let new_records = decode(body);
    // The length of the key takes one byte.
    let sizes = new_records.iter().map(|(key, value)| 1 + key.len() + value.len());
    let largest = sizes.max().unwrap_or(0);
    if state.append_limits.is_some_and(|(record, call)| largest > record || call_bytes > call) {
        return status(StatusCode::BAD_REQUEST);
    }
    state.largest_record = state.largest_record.max(largest);
    let StoreState { topics, producers, .. } = state;
    let records = topics.entry(topic.to_owned()).or_default();
    let end = records.len() as u64;
    if at.is_some_and(|at| at != end) {
        return refuse(StatusCode::PRECONDITION_FAILED, "", end);
    }
    let mut appending = None;
    let mut fences = false;
    if let Some(producer) = producer {
        let state = producers.entry((topic.to_owned(), producer)).or_default();
        if epoch < state.epoch {
            return refuse(StatusCode::CONFLICT, "fenced", end);
        }
        if epoch > state.epoch {
            fences = true;
            *state = ProducerState { epoch, next_sequence: sequence, last_end: end };
        }
        if sequence + 1 == state.next_sequence {
            return json(&serde_json::json!({ "end": state.last_end }));
        }
        if sequence != state.next_sequence {
            return refuse(StatusCode::CONFLICT, "seq", end);
        }
        appending = Some(state);
    }
    records.extend(new_records);
    let end = records.len() as u64;
    if let Some(state) = appending {
        (state.next_sequence, state.last_end) = (state.next_sequence + 1, end);
    }
    if fences {
        state.held_reads.take_if(|held| held == topic);
    }
    if fences && state.discard_at_fence.take_if(|discarded| discarded == topic).is_some() {
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
    *store.state.lock().read_counts.entry(topic.to_owned()).or_default() += 1;
    let from: u64 = query_value(request, "from_rev").unwrap_or_default();
    let wait: u64 = query_value(request, "wait_ms").unwrap_or_default();
    let deadline = Instant::now() + Duration::from_millis(wait);
    let is_held = || store.state.lock().held_reads.as_deref() == Some(topic);
    loop {
        if is_held() {
            while is_held() {
                tokio::time::sleep(POLL_INTERVAL).await;
            }
            if let Some(delay) = store.gone_delay(topic, from) {
                tokio::time::sleep(delay).await;
                return gone_response(store.first_of(topic));
            }
            return status(StatusCode::SERVICE_UNAVAILABLE);
        }
        let (first, end, new) = {
            let state = store.state.lock();
            let records = state.topics.get(topic).map(Vec::as_slice).unwrap_or_default();
            let first = state.first_offsets.get(topic).copied().unwrap_or_default();
            // Only the records of the answer are copied: dozens of boxes wait here for topics of thousands of records.
            let new = records.get(from as usize..).unwrap_or_default().to_vec();
            (first, records.len() as u64, new)
        };
        if from < first {
            return gone_response(first);
        }
        if end > from || Instant::now() >= deadline {
            return JsonResponse::new(Full::new(encode(first, end, &new)));
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

fn gone_response(first: u64) -> JsonResponse {
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
    let raw_items =
        state.raw_items.iter().filter(|(other, _)| other == topic).map(|(_, item)| item.clone());
    let items = newest.into_iter().filter(|(_, value)| !value.is_empty()).map(|(key, value)| {
        serde_json::json!({ "key": key, "value": encode(value), "offset": 0 }).to_string()
    });
    let items: Vec<String> = raw_items.chain(items).collect();
    let body = format!(r#"{{"items":[{}],"more":false,"end":{}}}"#, items.join(","), records.len());
    JsonResponse::new(Full::new(body.into()))
}
