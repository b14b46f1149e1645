//! The platform's list of boxes, endpoints and workers. It lags behind their actual state.

use std::net::SocketAddr;
use std::time::Duration;

use sedgehill_core::ids::{BoxId, EndpointId, HallName, TemplateName};
use sedgehill_core::placement::WorkerView;
use serde::{Deserialize, Serialize};

use crate::client::{CallError, JsonClient};

/// Time-out for reading the list.
const LIST_TIMEOUT: Duration = Duration::from_secs(2);

/// Entry of a box in the platform's list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct BoxListing {
    /// Id of the box.
    pub id: BoxId,
    /// The data hall that it is in.
    pub hall: HallName,
    /// Address on which the box listens for its peers.
    pub peer_address: SocketAddr,
    /// Whether the platform is about to remove it.
    pub leaving: bool,
}

/// Entry of an endpoint in the platform's list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndpointListing {
    /// Id of the endpoint.
    pub id: EndpointId,
    /// The service whose requests it serves.
    pub service: TemplateName,
    /// The data hall that it is in.
    pub hall: HallName,
    /// Address on which it listens for requests.
    pub address: SocketAddr,
    /// Whether the platform is about to remove it.
    pub leaving: bool,
}

/// The whole list.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlatformList {
    /// The listed boxes.
    pub boxes: Vec<BoxListing>,
    /// The listed endpoints.
    pub endpoints: Vec<EndpointListing>,
    /// The listed workers.
    pub workers: Vec<WorkerView>,
}

/// A client of the platform's list.
#[derive(Debug, Clone)]
pub struct ListClient {
    client: JsonClient,
    address: SocketAddr,
}

impl ListClient {
    /// Creates a client of the list at `address`.
    pub fn new(client: JsonClient, address: SocketAddr) -> ListClient {
        ListClient { client, address }
    }

    /// Reads the list.
    pub async fn fetch(&self) -> Result<PlatformList, CallError> {
        self.client.get(self.address, "/v1/list", LIST_TIMEOUT).await
    }
}
