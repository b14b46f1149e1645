//! The platform's append-only log.

use std::net::SocketAddr;
use std::time::Duration;

use sedgehill_core::ids::{BoxId, Offset, RecordId};
use sedgehill_core::record::{LogEntry, RecordBatch};
use serde::{Deserialize, Serialize};
use serde_json::value::RawValue;

use crate::client::{CallError, JsonClient};

/// Time-out of an append. The outcome of an append that times out is unknown.
const APPEND_TIMEOUT: Duration = Duration::from_secs(2);
/// Added to the time that the log may wait for entries, for the time-out of a read.
const READ_MARGIN: Duration = Duration::from_secs(2);

/// Response to an append.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct AppendReply {
    /// Offset of the entry that holds the batch.
    pub offset: Offset,
}

/// Response to a read.
#[derive(Debug, Clone)]
pub struct ReadReply {
    /// Oldest offset that the log retains.
    pub first: Offset,
    /// Offset of the next append.
    pub next: Offset,
    /// Entries from the requested offset, or from `first` if that is later. Those of other writers have no records.
    pub entries: Vec<LogEntry>,
    /// The entries of other writers, with the reason why they cannot be read.
    pub foreign: Vec<(Offset, String)>,
}

#[derive(Deserialize)]
struct ReadWire {
    first: Offset,
    next: Offset,
    entries: Vec<Box<RawValue>>,
}

/// What the records of every release have in common.
#[derive(Deserialize)]
struct RecordShape {
    #[serde(rename = "id")]
    _id: RecordId,
    #[serde(rename = "by")]
    _by: BoxId,
    #[serde(rename = "body")]
    _body: BodyShape,
}

#[derive(Deserialize)]
struct BodyShape {
    #[serde(rename = "type")]
    _kind: String,
}

#[derive(Deserialize)]
struct EntryShape {
    batch: BatchShape,
}

#[derive(Deserialize)]
struct BatchShape {
    records: Vec<Box<RawValue>>,
}

/// Returns whether an entry holds a record that a box wrote. A box that cannot read such a record is of an earlier
/// release and must not go on without it: it would decide by another state than the others.
fn holds_own_record(entry: &RawValue) -> bool {
    let records = serde_json::from_str::<EntryShape>(entry.get()).map(|entry| entry.batch.records);
    let is_own = |text: &str| serde_json::from_str::<RecordShape>(text).is_ok();
    records.is_ok_and(|records| records.iter().any(|record| is_own(record.get())))
}

impl ReadReply {
    /// Decodes the entries of a reply to a read from offset `from`.
    fn decode(wire: ReadWire, from: Offset) -> Result<ReadReply, CallError> {
        let mut reply = ReadReply {
            first: wire.first,
            next: wire.next,
            entries: Vec::new(),
            foreign: Vec::new(),
        };
        let mut offset = from.max(wire.first);
        for text in &wire.entries {
            let entry = match serde_json::from_str::<LogEntry>(text.get()) {
                Ok(entry) => entry,
                Err(error) if holds_own_record(text) => {
                    return Err(CallError::Unknown(format!("entry {offset}: {error}")));
                }
                Err(error) => {
                    reply.foreign.push((offset, error.to_string()));
                    LogEntry { offset, at_ms: 0, batch: RecordBatch::default() }
                }
            };
            offset = entry.offset.next();
            reply.entries.push(entry);
        }
        Ok(reply)
    }
}

/// A client of the platform's log.
#[derive(Debug, Clone)]
pub struct LogClient {
    client: JsonClient,
    address: SocketAddr,
}

impl LogClient {
    /// Creates a client of the log at `address`.
    pub fn new(client: JsonClient, address: SocketAddr) -> LogClient {
        LogClient { client, address }
    }

    /// Appends a batch as one entry and returns its offset.
    pub async fn append(&self, batch: &RecordBatch) -> Result<Offset, CallError> {
        let reply: AppendReply =
            self.client.post(self.address, "/v1/append", batch, APPEND_TIMEOUT).await?;
        Ok(reply.offset)
    }

    /// Reads entries from offset `from` on. If there are none, the log waits up to `wait` for one.
    pub async fn read(&self, from: Offset, wait: Duration) -> Result<ReadReply, CallError> {
        let path = format!("/v1/read?from={from}&wait_ms={}", wait.as_millis());
        let wire = self.client.get(self.address, &path, wait + READ_MARGIN).await?;
        ReadReply::decode(wire, from)
    }
}
