//! A stand-in for the platform's store, in the form of a log, as the users' pages tell it.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

use crate::http::{Call, Reply, Server};
use crate::json::Json;

/// The time that a partition takes for an append.
const APPEND_TIME: Duration = Duration::from_millis(2);
/// The most records of one page of newest records, and their bytes.
const PAGE_RECORDS: usize = 500;
const PAGE_BYTES: usize = 1_000_000;

/// One producer of a partition.
#[derive(Default)]
struct Producer {
    epoch: u64,
    next: u64,
    /// The answers to its last five appends, by sequence number.
    answers: Vec<(u64, u64, u64)>,
}

#[derive(Default)]
struct Topic {
    /// All records, by offset.
    records: Vec<(String, Vec<u8>)>,
    producers: HashMap<String, Producer>,
}

/// The store. All topics have one partition.
#[derive(Default)]
pub struct Store {
    topics: Mutex<HashMap<String, Topic>>,
    changed: Condvar,
}

impl Store {
    /// Appends a record of the platform, the operator or a runner. An empty value drops the key.
    pub fn put(&self, topic: &str, key: &str, value: &str) {
        let mut topics = self.topics.lock().unwrap();
        let topic = topics.entry(topic.to_owned()).or_default();
        topic.records.push((key.to_owned(), value.as_bytes().to_vec()));
        self.changed.notify_all();
    }

    fn append(&self, call: &Call) -> Reply {
        std::thread::sleep(APPEND_TIME);
        let Some(records) = decode_records(&call.body) else { return Reply::status(400) };
        let number = |name: &str| call.query.get(name).and_then(|text| text.parse::<u64>().ok());
        let Some(name) = call.query.get("topic") else { return Reply::status(400) };
        let mut topics = self.topics.lock().unwrap();
        let topic = topics.entry(name.clone()).or_default();
        let end = topic.records.len() as u64;
        if let Some(at) = number("at")
            && at != end
        {
            return Reply::json(412, Json::object([("end", end.into())]).write());
        }
        let answer = |offset: u64, end: u64| {
            Reply::json(200, Json::object([("offset", offset.into()), ("end", end.into())]).write())
        };
        let new_end = end + records.len() as u64;
        if let Some(producer) = call.query.get("producer") {
            let (Some(epoch), Some(seq)) = (number("epoch"), number("seq")) else {
                return Reply::status(400);
            };
            let producer = topic.producers.entry(producer.clone()).or_default();
            if epoch < producer.epoch {
                return Reply::json(409, Json::object([("reason", "fenced".into())]).write());
            }
            if epoch > producer.epoch {
                *producer = Producer { epoch, next: seq, answers: Vec::new() };
            }
            if let Some((_, offset, end)) = producer.answers.iter().find(|known| known.0 == seq) {
                return answer(*offset, *end);
            }
            if seq != producer.next {
                let body = [("reason", "seq".into()), ("seq", producer.next.into())];
                return Reply::json(409, Json::object(body).write());
            }
            producer.next = seq + 1;
            producer.answers.push((seq, end, new_end));
            if producer.answers.len() > 5 {
                producer.answers.remove(0);
            }
        }
        topic.records.extend(records);
        self.changed.notify_all();
        answer(end, new_end)
    }

    fn read(&self, call: &Call) -> Reply {
        let number = |name: &str| call.query.get(name).and_then(|text| text.parse::<u64>().ok());
        let (Some(name), Some(from)) = (call.query.get("topic"), number("from_rev")) else {
            return Reply::status(400);
        };
        let until = Instant::now() + Duration::from_millis(number("wait_ms").unwrap_or(0));
        let mut topics = self.topics.lock().unwrap();
        loop {
            let topic = topics.entry(name.clone()).or_default();
            let end = topic.records.len();
            let left = until.saturating_duration_since(Instant::now());
            if (from as usize) < end || left.is_zero() {
                let mut body = Vec::new();
                body.extend_from_slice(&(end as u64).to_be_bytes());
                body.extend_from_slice(&0u64.to_be_bytes());
                for (key, value) in topic.records.iter().skip(from as usize) {
                    if body.len() > PAGE_BYTES {
                        break;
                    }
                    let length = (1 + key.len() + value.len()) as u32;
                    body.extend_from_slice(&length.to_be_bytes());
                    body.push(key.len() as u8);
                    body.extend_from_slice(key.as_bytes());
                    body.extend_from_slice(value);
                }
                return Reply::Answer(200, body);
            }
            topics = self.changed.wait_timeout(topics, left).unwrap().0;
        }
    }

    fn newest(&self, call: &Call) -> Reply {
        let Some(name) = call.query.get("topic") else { return Reply::status(400) };
        let after = call.query.get("after");
        let mut topics = self.topics.lock().unwrap();
        let topic = topics.entry(name.clone()).or_default();
        let mut newest: BTreeMap<&str, (usize, &[u8])> = BTreeMap::new();
        for (offset, (key, value)) in topic.records.iter().enumerate() {
            newest.insert(key, (offset, value));
        }
        let mut items = Vec::new();
        let (mut bytes, mut more) = (0, false);
        for (key, (offset, value)) in newest {
            if value.is_empty() || after.is_some_and(|after| key <= after.as_str()) {
                continue;
            }
            if items.len() >= PAGE_RECORDS || bytes > PAGE_BYTES {
                more = true;
                break;
            }
            bytes += value.len();
            items.push(Json::object([
                ("key", key.into()),
                ("value", encode_base64(value).as_str().into()),
                ("offset", (offset as u64).into()),
            ]));
        }
        let end = topic.records.len() as u64;
        let body = [("items", Json::List(items)), ("more", Json::Bool(more)), ("end", end.into())];
        Reply::json(200, Json::object(body).write())
    }
}

/// Starts the store. Returns its address.
pub fn start(store: Arc<Store>) -> std::io::Result<SocketAddr> {
    let handler = move |call: Call| match (call.method.as_str(), call.path.as_str()) {
        ("POST", "/sedgehill/log-append") => store.append(&call),
        ("GET", "/sedgehill/log-read") => store.read(&call),
        ("GET", "/sedgehill/log-newest") => store.newest(&call),
        _ => Reply::status(404),
    };
    Ok(Server::start("127.0.0.1", 0, Arc::new(handler))?.address)
}

fn decode_records(mut body: &[u8]) -> Option<Vec<(String, Vec<u8>)>> {
    let mut records = Vec::new();
    while !body.is_empty() {
        let length = u32::from_be_bytes(body.get(..4)?.try_into().ok()?) as usize;
        let record = body.get(4..4 + length)?;
        let key_length = usize::from(*record.first()?);
        let key = String::from_utf8(record.get(1..1 + key_length)?.to_vec()).ok()?;
        records.push((key, record[1 + key_length..].to_vec()));
        body = &body[4 + length..];
    }
    Some(records)
}

fn encode_base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut out = String::new();
    for chunk in bytes.chunks(3) {
        let byte = |index: usize| u32::from(chunk.get(index).copied().unwrap_or(0));
        let bits = byte(0) << 16 | byte(1) << 8 | byte(2);
        for digit in 0..4 {
            match digit <= chunk.len() {
                true => out.push(DIGITS[(bits >> (18 - 6 * digit) & 63) as usize] as char),
                false => out.push('='),
            }
        }
    }
    out
}
