//! A stand-in of the platform's store, after PROTOCOL.md: a log with topics of one partition.

use std::collections::{BTreeMap, HashMap};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

use crate::http::{Answer, Handler, Request, Server};

/// The largest record and call, the values of the pages' example (`platform.record_bytes`, `platform.call_bytes`).
pub const RECORD_BYTES: usize = 262_144;
pub const CALL_BYTES: usize = 2_097_152;

#[derive(Default)]
struct Topic {
    records: Vec<Vec<u8>>,
    newest: BTreeMap<String, (Vec<u8>, u64)>,
    /// Epoch, the next sequence number and the last five answers of each producer.
    producers: HashMap<String, (u64, u64, Vec<(u64, String)>)>,
}

#[derive(Default)]
struct State {
    topics: HashMap<String, Topic>,
    /// What was refused because a record or a call was too large: when, and the bytes.
    refused: Vec<(Instant, usize)>,
}

/// The store.
#[derive(Clone)]
pub struct Store {
    state: Arc<(Mutex<State>, Condvar)>,
}

impl Store {
    pub fn new() -> Store {
        Store { state: Arc::default() }
    }

    pub fn serve(&self) -> Server {
        let store = self.clone();
        let handler: Handler = Arc::new(move |request| store.handle(request));
        Server::start(handler)
    }

    /// Appends a keyed record as the operator or a worker does.
    pub fn put(&self, topic: &str, key: &str, value: &[u8]) {
        let mut record = vec![key.len() as u8];
        record.extend_from_slice(key.as_bytes());
        record.extend_from_slice(value);
        let mut state = self.state.0.lock().expect("no panic");
        state.topics.entry(topic.to_owned()).or_default().append(record);
        self.state.1.notify_all();
    }

    /// The appends refused for their size.
    pub fn refused(&self) -> Vec<(Instant, usize)> {
        self.state.0.lock().expect("no panic").refused.clone()
    }

    /// The newest value of the only key of a topic that holds one.
    pub fn newest(&self, topic: &str) -> Vec<(String, Vec<u8>)> {
        let state = self.state.0.lock().expect("no panic");
        let Some(topic) = state.topics.get(topic) else { return Vec::new() };
        topic.newest.iter().map(|(key, (value, _))| (key.clone(), value.clone())).collect()
    }

    fn handle(&self, request: &Request) -> Answer {
        let topic = request.query.get("topic").cloned().unwrap_or_default();
        match request.path.as_str() {
            "/sedgehill/log-append" => Some(self.append(&topic, request)),
            "/sedgehill/log-read" => Some(self.read(&topic, request)),
            "/sedgehill/log-newest" => Some(self.read_newest(&topic, request)),
            _ => Some((404, Vec::new())),
        }
    }

    fn append(&self, topic: &str, request: &Request) -> (u16, Vec<u8>) {
        // An append takes `append_ms`.
        std::thread::sleep(Duration::from_millis(2));
        let records = split(&request.body);
        let largest = records.iter().map(Vec::len).max().unwrap_or(0);
        let mut state = self.state.0.lock().expect("no panic");
        if largest > RECORD_BYTES || request.body.len() > CALL_BYTES {
            state.refused.push((Instant::now(), largest));
            return (413, b"{}".to_vec());
        }
        let topic = state.topics.entry(topic.to_owned()).or_default();
        let number = |name: &str| request.query.get(name).and_then(|text| text.parse::<u64>().ok());
        let end = topic.records.len() as u64;
        if let Some(at) = number("at")
            && at != end
        {
            return (412, format!("{{\"end\":{end}}}").into_bytes());
        }
        let producer = request.query.get("producer").cloned();
        if let (Some(producer), Some(epoch), Some(seq)) =
            (&producer, number("epoch"), number("seq"))
        {
            let entry = topic.producers.entry(producer.clone()).or_insert((epoch, seq, Vec::new()));
            if epoch < entry.0 {
                return (409, b"{\"reason\":\"fenced\"}".to_vec());
            }
            if epoch > entry.0 {
                *entry = (epoch, seq, Vec::new());
            }
            if let Some((_, answer)) = entry.2.iter().find(|(known, _)| *known == seq) {
                return (200, answer.clone().into_bytes());
            }
            if seq != entry.1 {
                return (409, format!("{{\"reason\":\"seq\",\"seq\":{}}}", entry.1).into_bytes());
            }
        }
        let count = records.len() as u64;
        for record in records {
            topic.append(record);
        }
        let answer = format!("{{\"offset\":{end},\"end\":{}}}", end + count);
        if let (Some(producer), Some(seq)) = (producer, number("seq"))
            && let Some(entry) = topic.producers.get_mut(&producer)
        {
            entry.1 = seq + 1;
            entry.2.push((seq, answer.clone()));
            if entry.2.len() > 5 {
                entry.2.remove(0);
            }
        }
        self.state.1.notify_all();
        (200, answer.into_bytes())
    }

    fn read(&self, topic: &str, request: &Request) -> (u16, Vec<u8>) {
        let number = |name: &str| request.query.get(name).and_then(|text| text.parse::<u64>().ok());
        let from = number("from_rev").unwrap_or(0) as usize;
        let max = number("max_kb").unwrap_or(1_024) as usize * 1_024;
        let until = Instant::now() + Duration::from_millis(number("wait_ms").unwrap_or(0));
        let mut state = self.state.0.lock().expect("no panic");
        loop {
            let end = state.topics.get(topic).map_or(0, |topic| topic.records.len());
            let now = Instant::now();
            if end > from || now >= until {
                break;
            }
            state = self.state.1.wait_timeout(state, until - now).expect("no panic").0;
        }
        let topic = state.topics.entry(topic.to_owned()).or_default();
        let mut body = (topic.records.len() as u64).to_be_bytes().to_vec();
        body.extend_from_slice(&0u64.to_be_bytes());
        let mut taken = 0;
        for record in topic.records.iter().skip(from) {
            if taken > 0 && taken + record.len() + 4 > max {
                break;
            }
            taken += record.len() + 4;
            body.extend_from_slice(&(record.len() as u32).to_be_bytes());
            body.extend_from_slice(record);
        }
        (200, body)
    }

    fn read_newest(&self, topic: &str, request: &Request) -> (u16, Vec<u8>) {
        let after = request.query.get("after").cloned();
        let mut state = self.state.0.lock().expect("no panic");
        let topic = state.topics.entry(topic.to_owned()).or_default();
        let end = topic.records.len();
        let mut items = Vec::new();
        let (mut bytes, mut more) = (0, false);
        for (key, (value, offset)) in &topic.newest {
            if after.as_ref().is_some_and(|after| key <= after) {
                continue;
            }
            if items.len() >= 500 || (bytes > 0 && bytes + value.len() > 1 << 20) {
                more = true;
                break;
            }
            bytes += value.len();
            items.push(format!(
                "{{\"key\":{},\"value\":\"{}\",\"offset\":{offset}}}",
                crate::json::quote(key),
                base64(value)
            ));
        }
        (
            200,
            format!("{{\"items\":[{}],\"more\":{more},\"end\":{end}}}", items.join(","))
                .into_bytes(),
        )
    }
}

impl Topic {
    fn append(&mut self, record: Vec<u8>) {
        let offset = self.records.len() as u64;
        if let Some(length) = record.first().map(|length| usize::from(*length))
            && record.len() > length
            && let Ok(key) = std::str::from_utf8(&record[1..=length])
        {
            let value = record[1 + length..].to_vec();
            match value.is_empty() {
                true => drop(self.newest.remove(key)),
                false => drop(self.newest.insert(key.to_owned(), (value, offset))),
            }
        }
        self.records.push(record);
    }
}

/// Splits the body of an append into its records.
fn split(mut body: &[u8]) -> Vec<Vec<u8>> {
    let mut records = Vec::new();
    while body.len() >= 4 {
        let length = u32::from_be_bytes([body[0], body[1], body[2], body[3]]) as usize;
        let end = (4 + length).min(body.len());
        records.push(body[4..end].to_vec());
        body = &body[end..];
    }
    records
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::with_capacity(bytes.len() * 4 / 3 + 4);
    for chunk in bytes.chunks(3) {
        let mut group = [0u8; 3];
        group[..chunk.len()].copy_from_slice(chunk);
        let number = u32::from(group[0]) << 16 | u32::from(group[1]) << 8 | u32::from(group[2]);
        for place in 0..4 {
            match place <= chunk.len() {
                true => text.push(DIGITS[(number >> (18 - 6 * place)) as usize & 63] as char),
                false => text.push('='),
            }
        }
    }
    text
}
