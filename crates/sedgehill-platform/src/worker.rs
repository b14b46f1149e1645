//! The platform's workers.

use std::net::SocketAddr;
use std::time::Duration;

use sedgehill_core::placement::{StartReply, TaskStart, WorkerInventory, WorkerSync};
use serde::{Deserialize, Serialize};

use crate::caller::{CallError, JsonCaller};

/// How long a worker may take to answer.
pub const WORKER_LIMIT: Duration = Duration::from_secs(1);

/// The answer to a start order.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct StartAnswer {
    /// Whether the task runs.
    pub started: bool,
}

/// A client of the workers.
#[derive(Debug, Clone, Default)]
pub struct WorkerClient {
    caller: JsonCaller,
}

impl WorkerClient {
    /// A client that makes its calls through `caller`.
    pub fn new(caller: JsonCaller) -> WorkerClient {
        WorkerClient { caller }
    }

    /// Orders a worker to start a task.
    pub async fn start(&self, address: SocketAddr, start: &TaskStart) -> StartReply {
        let answer = self.caller.post(address, "/v1/start", start, WORKER_LIMIT).await;
        match answer {
            Ok(StartAnswer { started: true }) => StartReply::Started,
            Ok(StartAnswer { started: false }) => StartReply::Refused,
            Err(error) if error.is_certain() => StartReply::Refused,
            Err(_) => StartReply::Unknown,
        }
    }

    /// Renews leases, stops tasks and reads the inventory.
    pub async fn sync(
        &self,
        address: SocketAddr,
        sync: &WorkerSync,
    ) -> Result<WorkerInventory, CallError> {
        self.caller.post(address, "/v1/sync", sync, WORKER_LIMIT).await
    }
}
