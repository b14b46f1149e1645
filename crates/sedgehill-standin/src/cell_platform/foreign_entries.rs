//! Entries in the list of workers that no worker wrote.

use std::net::SocketAddr;

use serde_json::{Value, json};

use super::{CellPlatform, worker};

/// The topic of the list.
const SERVERS: &str = "keyed.servers";
/// A port on which nothing listens.
const NO_LISTENER: u16 = 9;
/// Longer than any worker's entry, in bytes.
const PADDING_BYTES: usize = 1 << 20;

/// The entry of a worker with one field set.
fn with(address: SocketAddr, field: &str, value: Value) -> Value {
    let mut entry = worker::entry(address, worker::CORES);
    entry[field] = value;
    entry
}

impl CellPlatform {
    /// Has the store list entries that can be read and name no worker, and ones that cannot be read. Returns how
    /// many a box may use for nothing because of what they say.
    pub fn put_foreign_entries(&self) -> usize {
        self.put_wrong() + self.put_unreadable()
    }

    /// Puts an entry of a worker's life into the list with one field set.
    pub fn put_entry_with(&self, number: usize, field: &str, value: Value) {
        let entry = with(self.worker_addresses[number], field, value);
        self.store.put(SERVERS, &self.workers.life_id(number), &entry);
    }

    fn put_wrong(&self) -> usize {
        let workers = &self.worker_addresses;
        let (first, last) = (workers[0], workers[workers.len() - 1]);
        let dead = SocketAddr::from(([127, 0, 0, 1], NO_LISTENER));
        let wrong = [
            ("a-twin", worker::entry(first, worker::CORES)),
            ("z-twin", worker::entry(last, worker::CORES)),
            ("dead", worker::entry(dead, worker::CORES)),
            ("other-service", with(first, "service", json!("unheard-of"))),
        ];
        // A box knows that no worker is there, unless it reaches them by another way.
        let others = [
            ("advice", worker::entry(self.advice_address, worker::CORES)),
            ("store", worker::entry(self.store_address, worker::CORES)),
        ];
        for (key, entry) in wrong.iter().chain(&others) {
            self.store.put(SERVERS, key, entry);
        }
        others.len()
    }

    fn put_unreadable(&self) -> usize {
        let address = self.worker_addresses[0];
        let padding = json!("x".repeat(PADDING_BYTES));
        let no_port = json!(SocketAddr::from(([127, 0, 0, 1], 0)));
        let list = json!(["pool", address, "ready", [4000, 4096, 0]]);
        let values: [(&str, Vec<u8>); 8] = [
            ("a-bytes", vec![0xff; 40]),
            ("b-state", with(address, "state", json!("stopping")).to_string().into()),
            ("c-port", with(address, "address", no_port).to_string().into()),
            ("d-size", with(address, "capacity", json!({})).to_string().into()),
            ("e-list", list.to_string().into()),
            ("f-long", with(address, "padding", padding).to_string().into()),
            ("g-naïve", worker::entry(address, worker::CORES).to_string().into()),
            ("h\nlines", worker::entry(address, worker::CORES).to_string().into()),
        ];
        for (key, value) in &values {
            self.store.put_bytes(SERVERS, key, value);
        }
        let items = [
            json!({ "key": "i-form", "value": "no base64!" }),
            json!({ "key": "j-form", "value": 7 }),
            json!(null),
        ];
        for item in &items {
            self.store.put_raw_item(SERVERS, item.clone());
        }
        values.len() + items.len()
    }
}
