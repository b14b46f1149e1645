//! The interface of the platform's workers.

use std::net::SocketAddr;
use std::time::Duration;

use sedgehill_core::placement::{StartReply, TaskStart, WorkerInventory, WorkerSync};
use serde::{Deserialize, Serialize};

use crate::client::{CallError, JsonClient};

/// Time-out of a call to a worker.
pub const WORKER_TIMEOUT: Duration = Duration::from_secs(1);

/// Response body of a start order.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct StartAnswer {
    /// Whether the worker started the task.
    pub started: bool,
}

/// A client for all workers, each called at its own address.
#[derive(Debug, Clone, Default)]
pub struct WorkerClient {
    client: JsonClient,
}

impl WorkerClient {
    /// Creates a client that makes its calls with `client`.
    pub fn new(client: JsonClient) -> WorkerClient {
        WorkerClient { client }
    }

    /// Orders the worker at `address` to start a task.
    pub async fn start(&self, address: SocketAddr, start: &TaskStart) -> StartReply {
        let answer = self.client.post(address, "/v1/start", start, WORKER_TIMEOUT).await;
        match answer {
            Ok(StartAnswer { started: true }) => StartReply::Started,
            Ok(StartAnswer { started: false }) => StartReply::Refused,
            Err(error) if error.is_not_done() => StartReply::Refused,
            Err(_) => StartReply::Unknown,
        }
    }

    /// Has the worker at `address` renew leases, stop attempts and forget ended ones, and returns
    /// its inventory.
    pub async fn sync(
        &self,
        address: SocketAddr,
        sync: &WorkerSync,
    ) -> Result<WorkerInventory, CallError> {
        self.client.post(address, "/v1/sync", sync, WORKER_TIMEOUT).await
    }
}
