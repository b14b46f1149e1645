//! The platform's append-only log.

use std::net::SocketAddr;
use std::time::Duration;

use sedgehill_core::ids::Offset;
use sedgehill_core::record::{LogEntry, RecordBatch};
use serde::{Deserialize, Serialize};

use crate::client::{CallError, JsonClient};

/// How long an append may take before its effect counts as unknown.
const APPEND_TIMEOUT: Duration = Duration::from_secs(2);
/// What a read may take beyond the time that the log was asked to wait.
const READ_MARGIN: Duration = Duration::from_secs(2);

/// The answer to an append.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct AppendReply {
    /// Where the batch stands.
    pub offset: Offset,
}

/// The answer to a read.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct ReadReply {
    /// The oldest offset that the log still has.
    pub first: Offset,
    /// The offset that the next append will get.
    pub next: Offset,
    /// Entries from the offset asked for, or from `first` if that is later.
    pub entries: Vec<LogEntry>,
}

/// A client of the log.
#[derive(Debug, Clone)]
pub struct LogClient {
    client: JsonClient,
    address: SocketAddr,
}

impl LogClient {
    /// A client of the log at `address`.
    pub fn new(client: JsonClient, address: SocketAddr) -> LogClient {
        LogClient { client, address }
    }

    /// Appends a batch as one entry.
    pub async fn append(&self, batch: &RecordBatch) -> Result<Offset, CallError> {
        let reply: AppendReply =
            self.client.post(self.address, "/v1/append", batch, APPEND_TIMEOUT).await?;
        Ok(reply.offset)
    }

    /// Reads from `from`, waiting up to `wait` for something to be there.
    pub async fn read(&self, from: Offset, wait: Duration) -> Result<ReadReply, CallError> {
        let path = format!("/v1/read?from={from}&wait_ms={}", wait.as_millis());
        self.client.get(self.address, &path, wait + READ_MARGIN).await
    }
}
