//! The platform's append-only log.

use std::net::SocketAddr;
use std::time::Duration;

use sedgehill_core::ids::Offset;
use sedgehill_core::record::{LogEntry, RecordBatch};
use serde::{Deserialize, Serialize};

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
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct ReadReply {
    /// Oldest offset that the log retains.
    pub first: Offset,
    /// Offset of the next append.
    pub next: Offset,
    /// Entries from the requested offset, or from `first` if that is later.
    pub entries: Vec<LogEntry>,
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
        self.client.get(self.address, &path, wait + READ_MARGIN).await
    }
}
