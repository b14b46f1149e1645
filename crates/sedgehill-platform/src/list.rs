//! The platform's list of boxes, endpoints and workers. It lags behind their actual state.
//!
//! Other programs may write entries as well. One that cannot be read lists nothing and hides no other.

use std::net::SocketAddr;
use std::time::Duration;

use sedgehill_core::ids::{BoxId, EndpointId, HallName, TemplateName};
use sedgehill_core::placement::WorkerView;
use sedgehill_core::units::{CoreCount, MemorySize};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use serde_json::value::RawValue;

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

/// The list as it was read.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct ListReading {
    /// The entries that can be read.
    pub list: PlatformList,
    /// The others.
    pub unreadable: Vec<UnreadableEntry>,
}

/// An entry that cannot be read.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct UnreadableEntry {
    /// What it would list: `box`, `endpoint` or `worker`.
    pub kind: &'static str,
    /// The start of its text.
    pub text: String,
    /// Why it cannot be read.
    pub reason: String,
}

#[derive(Deserialize)]
struct ListWire {
    boxes: Vec<Box<RawValue>>,
    endpoints: Vec<Box<RawValue>>,
    workers: Vec<Box<RawValue>>,
}

/// Maximum size of a worker, several times that of the largest machines on sale. Sums over all workers stay in range.
const MAX_WORKER_CORES: CoreCount = CoreCount(8_192_000);
const MAX_WORKER_MEMORY: MemorySize = MemorySize(128 << 40);
const MAX_WORKER_ACCELERATORS: u32 = 256;
/// Number of characters of an unreadable entry that are kept for the log.
const MAX_SHOWN_CHARS: usize = 120;

impl ListReading {
    /// Decodes the entries one by one.
    fn decode(wire: &ListWire) -> ListReading {
        let mut unreadable = Vec::new();
        let boxes = read_entries("box", &wire.boxes, &mut unreadable, |entry: &BoxListing| {
            entry.peer_address.port() > 0
        });
        let endpoints = read_entries(
            "endpoint",
            &wire.endpoints,
            &mut unreadable,
            |entry: &EndpointListing| entry.address.port() > 0,
        );
        let workers = read_entries("worker", &wire.workers, &mut unreadable, is_worker_in_range);
        ListReading { list: PlatformList { boxes, endpoints, workers }, unreadable }
    }
}

fn is_worker_in_range(worker: &WorkerView) -> bool {
    worker.address.is_none_or(|address| address.port() > 0)
        && worker.total.cores <= MAX_WORKER_CORES
        && worker.total.memory <= MAX_WORKER_MEMORY
        && worker.total.accelerators <= MAX_WORKER_ACCELERATORS
}

fn read_entries<T: DeserializeOwned>(
    kind: &'static str,
    entries: &[Box<RawValue>],
    unreadable: &mut Vec<UnreadableEntry>,
    is_in_range: impl Fn(&T) -> bool,
) -> Vec<T> {
    let mut read = Vec::with_capacity(entries.len());
    for entry in entries {
        let reason = match serde_json::from_str::<T>(entry.get()) {
            Ok(entry) if is_in_range(&entry) => {
                read.push(entry);
                continue;
            }
            Ok(_) => "a port or a size is out of range".to_owned(),
            Err(error) => error.to_string(),
        };
        let text = entry.get().chars().take(MAX_SHOWN_CHARS).collect();
        unreadable.push(UnreadableEntry { kind, text, reason });
    }
    read
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
    pub async fn fetch(&self) -> Result<ListReading, CallError> {
        let wire: ListWire = self.client.get(self.address, "/v1/list", LIST_TIMEOUT).await?;
        Ok(ListReading::decode(&wire))
    }
}
