//! Stand-in for the platform's store: topics of keyed records with one partition each.

use std::collections::{BTreeMap, HashMap};
use std::sync::{Condvar, Mutex};
use std::time::{Duration, Instant};

use crate::http::{Reply, Request};
use crate::json::quote;

/// The most entries on a page of the newest records.
const PAGE: usize = 500;
/// The most bytes of a record.
const RECORD_BYTES: usize = 262_144;
/// How long an append takes.
const APPEND_TIME: Duration = Duration::from_millis(2);

#[derive(Default)]
struct Topic {
    records: Vec<(String, Vec<u8>)>,
    newest: BTreeMap<String, usize>,
    /// For each producer: its epoch, and the offset and end that its last appends got, by sequence number.
    producers: HashMap<String, (u64, BTreeMap<u64, (usize, usize)>)>,
}

impl Topic {
    fn put(&mut self, key: &str, value: &[u8]) {
        match value.is_empty() {
            true => drop(self.newest.remove(key)),
            false => drop(self.newest.insert(key.to_owned(), self.records.len())),
        }
        self.records.push((key.to_owned(), value.to_owned()));
    }
}

/// The store. It loses nothing and answers at once.
#[derive(Default)]
pub struct Store {
    topics: Mutex<HashMap<String, Topic>>,
    changed: Condvar,
}

impl Store {
    /// Writes a record, as an operator or a runner does.
    pub fn put(&self, topic: &str, key: &str, value: &str) {
        self.topics.lock().unwrap().entry(topic.to_owned()).or_default().put(key, value.as_bytes());
        self.changed.notify_all();
    }

    /// Answers a call.
    pub fn answer(&self, request: &Request) -> Reply {
        match (request.method.as_str(), request.path.as_str()) {
            ("POST", "/sedgehill/log-append") => self.append(request),
            ("GET", "/sedgehill/log-read") => self.read(request),
            ("GET", "/sedgehill/log-newest") => self.newest(request),
            _ => Reply::json(404, "{}".to_owned()),
        }
    }

    fn append(&self, request: &Request) -> Reply {
        std::thread::sleep(APPEND_TIME);
        let number = |name: &str| request.query.get(name).and_then(|text| text.parse::<u64>().ok());
        let name = request.query.get("topic").cloned().unwrap_or_default();
        if matches!(name.as_str(), "keyed.op" | "keyed.servers") {
            return Reply::json(403, "{}".to_owned());
        }
        let Some(records) = decode(&request.body) else { return Reply::json(400, "{}".to_owned()) };
        if records.iter().any(|(key, value)| 1 + key.len() + value.len() > RECORD_BYTES) {
            return Reply::json(413, "{}".to_owned());
        }
        let mut topics = self.topics.lock().unwrap();
        let topic = topics.entry(name).or_default();
        let end = topic.records.len();
        if number("at").is_some_and(|at| at != end as u64) {
            return Reply::json(412, format!("{{\"end\":{end}}}"));
        }
        let mut numbered = None;
        if let (Some(producer), Some(epoch)) = (request.query.get("producer"), number("epoch")) {
            let seq = number("seq").unwrap_or(0);
            let (known, appends) = topic.producers.entry(producer.clone()).or_default();
            if epoch < *known {
                return Reply::json(409, "{\"reason\":\"fenced\"}".to_owned());
            }
            if epoch > *known {
                (*known, *appends) = (epoch, BTreeMap::new());
            }
            if let Some((offset, end)) = appends.get(&seq) {
                return Reply::json(200, format!("{{\"offset\":{offset},\"end\":{end}}}"));
            }
            if let Some(last) = appends.keys().next_back()
                && seq != last + 1
            {
                return Reply::json(409, format!("{{\"reason\":\"seq\",\"seq\":{}}}", last + 1));
            }
            numbered = Some((producer.clone(), seq));
        }
        records.iter().for_each(|(key, value)| topic.put(key, value));
        let new_end = topic.records.len();
        if let Some((producer, seq)) = numbered {
            let (_, appends) = topic.producers.entry(producer).or_default();
            appends.insert(seq, (end, new_end));
            while appends.len() > 5 {
                appends.pop_first();
            }
        }
        drop(topics);
        self.changed.notify_all();
        Reply::json(200, format!("{{\"offset\":{end},\"end\":{new_end}}}"))
    }

    fn read(&self, request: &Request) -> Reply {
        let number = |name: &str| request.query.get(name).and_then(|text| text.parse::<u64>().ok());
        let name = request.query.get("topic").cloned().unwrap_or_default();
        let from = number("from_rev").unwrap_or(0) as usize;
        let deadline = Instant::now() + Duration::from_millis(number("wait_ms").unwrap_or(0));
        let max_bytes = number("max_kb").unwrap_or(1_024) as usize * 1_024;
        let mut topics = self.topics.lock().unwrap();
        loop {
            let topic = topics.entry(name.clone()).or_default();
            let left = deadline.saturating_duration_since(Instant::now());
            if from < topic.records.len() || left.is_zero() {
                let mut body = Vec::new();
                body.extend((topic.records.len() as u64).to_be_bytes());
                body.extend(0u64.to_be_bytes());
                for (key, value) in topic.records.iter().skip(from) {
                    if body.len() > max_bytes {
                        break;
                    }
                    body.extend(((1 + key.len() + value.len()) as u32).to_be_bytes());
                    body.push(key.len() as u8);
                    body.extend(key.as_bytes());
                    body.extend(value);
                }
                return Reply::Answer(200, body);
            }
            topics = self.changed.wait_timeout(topics, left).unwrap().0;
        }
    }

    fn newest(&self, request: &Request) -> Reply {
        let name = request.query.get("topic").cloned().unwrap_or_default();
        let after = request.query.get("after").cloned();
        let mut topics = self.topics.lock().unwrap();
        let topic = topics.entry(name).or_default();
        let is_later = |key: &&String| after.as_ref().is_none_or(|after| *key > after);
        let keys: Vec<&String> = topic.newest.keys().filter(is_later).collect();
        let item = |key: &&String| {
            let offset = topic.newest[*key];
            let value = encode_base64(&topic.records[offset].1);
            format!("{{\"key\":{},\"value\":\"{value}\",\"offset\":{offset}}}", quote(key))
        };
        let items: Vec<String> = keys.iter().take(PAGE).map(item).collect();
        let (more, end) = (keys.len() > PAGE, topic.records.len());
        Reply::json(
            200,
            format!("{{\"items\":[{}],\"more\":{more},\"end\":{end}}}", items.join(",")),
        )
    }
}

fn decode(mut body: &[u8]) -> Option<Vec<(String, Vec<u8>)>> {
    let mut records = Vec::new();
    while !body.is_empty() {
        let length = u32::from_be_bytes(body.get(..4)?.try_into().ok()?) as usize;
        let record = body.get(4..4 + length)?;
        let key_end = 1 + usize::from(*record.first()?);
        let key = String::from_utf8(record.get(1..key_end)?.to_vec()).ok()?;
        records.push((key, record[key_end..].to_vec()));
        body = &body[4 + length..];
    }
    Some(records)
}

fn encode_base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let mut group = [0; 3];
        group[..chunk.len()].copy_from_slice(chunk);
        let bits = u32::from_be_bytes([0, group[0], group[1], group[2]]);
        for place in 0..4 {
            let digit = DIGITS[(bits >> (18 - 6 * place)) as usize & 63];
            text.push(if place <= chunk.len() { digit as char } else { '=' });
        }
    }
    text
}
