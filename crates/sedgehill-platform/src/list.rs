//! The platform's lagging list of boxes, endpoints and workers.

use std::net::SocketAddr;
use std::time::Duration;

use sedgehill_core::ids::{BoxId, EndpointId, HallName, TemplateName};
use sedgehill_core::placement::WorkerView;
use serde::{Deserialize, Serialize};

use crate::caller::{CallError, JsonCaller};

const LIST_LIMIT: Duration = Duration::from_secs(2);

/// An entry box as listed.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct BoxListing {
    /// The box.
    pub id: BoxId,
    /// Its data hall.
    pub hall: HallName,
    /// Where its peers reach it.
    pub peer_address: SocketAddr,
    /// Whether the platform is about to take it away.
    pub leaving: bool,
}

/// An endpoint as listed.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndpointListing {
    /// The endpoint.
    pub id: EndpointId,
    /// The service that it answers for.
    pub service: TemplateName,
    /// Its data hall.
    pub hall: HallName,
    /// Where it listens.
    pub address: SocketAddr,
    /// Whether the platform is about to take it away.
    pub leaving: bool,
}

/// Everything that the platform lists.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlatformList {
    /// Entry boxes.
    pub boxes: Vec<BoxListing>,
    /// Endpoints.
    pub endpoints: Vec<EndpointListing>,
    /// Workers.
    pub workers: Vec<WorkerView>,
}

/// A client of the list.
#[derive(Debug, Clone)]
pub struct ListClient {
    caller: JsonCaller,
    address: SocketAddr,
}

impl ListClient {
    /// A client of the list at `address`.
    pub fn new(caller: JsonCaller, address: SocketAddr) -> ListClient {
        ListClient { caller, address }
    }

    /// Reads the whole list.
    pub async fn fetch(&self) -> Result<PlatformList, CallError> {
        self.caller.get(self.address, "/v1/list", LIST_LIMIT).await
    }
}
