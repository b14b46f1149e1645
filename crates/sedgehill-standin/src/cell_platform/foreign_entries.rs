//! Entries in the topic of workers that no worker wrote, valid and malformed.

use std::net::SocketAddr;

use serde_json::{Value, json};

use super::{CellPlatform, worker};

/// The topic of the entries.
const ENTRY_TOPIC: &str = "keyed.servers";
/// A port on which nothing listens.
const UNUSED_PORT: u16 = 9;
/// Makes an entry longer than that of any worker.
const PADDING_BYTES: usize = 1 << 20;

/// Returns the entry of a worker with one field replaced or added.
fn entry_with(address: SocketAddr, field: &str, value: Value) -> Value {
    let mut entry = worker::entry(address, 0, worker::CORES);
    entry[field] = value;
    entry
}

impl CellPlatform {
    /// Puts entries into the store that are readable but belong to no worker, and entries that are malformed. Returns
    /// how many of them a box recognizes by their content and reports as unreadable.
    pub fn put_foreign_entries(&self) -> usize {
        self.put_misleading() + self.put_malformed()
    }

    /// Puts the entry of a worker's current life into the store with one field replaced or added.
    pub fn put_entry_with(&self, number: usize, field: &str, value: Value) {
        let entry = entry_with(self.worker_addresses[number], field, value);
        self.store.put(ENTRY_TOPIC, &self.workers.life_id(number), &entry);
    }

    fn put_misleading(&self) -> usize {
        let workers = &self.worker_addresses;
        let (first, last) = (workers[0], workers[workers.len() - 1]);
        let unused = SocketAddr::from(([127, 0, 0, 1], UNUSED_PORT));
        let undetectable = [
            ("a-twin", worker::entry(first, 0, worker::CORES)),
            ("z-twin", worker::entry(last, 0, worker::CORES)),
            ("dead", worker::entry(unused, 0, worker::CORES)),
            ("other-service", entry_with(first, "service", json!("unheard-of"))),
        ];
        // A box recognizes the addresses of the store and of the advice service, unless it reaches them at other ones.
        let detectable = [
            ("advice", worker::entry(self.advice_address, 0, worker::CORES)),
            ("store", worker::entry(self.store_address, 0, worker::CORES)),
        ];
        for (key, entry) in undetectable.iter().chain(&detectable) {
            self.store.put(ENTRY_TOPIC, key, entry);
        }
        detectable.len()
    }

    fn put_malformed(&self) -> usize {
        let address = self.worker_addresses[0];
        let padding = json!("x".repeat(PADDING_BYTES));
        let no_port = json!(SocketAddr::from(([127, 0, 0, 1], 0)));
        let array = json!(["pool", address, "ready", [4000, 4096, 0]]);
        let values: [(&str, Vec<u8>); 8] = [
            ("a-bytes", vec![0xff; 40]),
            ("b-state", entry_with(address, "state", json!("stopping")).to_string().into()),
            ("c-port", entry_with(address, "address", no_port).to_string().into()),
            ("d-size", entry_with(address, "capacity", json!({})).to_string().into()),
            ("e-list", array.to_string().into()),
            ("f-long", entry_with(address, "padding", padding).to_string().into()),
            ("g-naïve", worker::entry(address, 0, worker::CORES).to_string().into()),
            ("h\nlines", worker::entry(address, 0, worker::CORES).to_string().into()),
        ];
        for (key, value) in &values {
            self.store.put_bytes(ENTRY_TOPIC, key, value);
        }
        let items = [
            json!({ "key": "i-form", "value": "no base64!" }),
            json!({ "key": "j-form", "value": 7 }),
            json!(null),
        ];
        for item in &items {
            self.store.put_raw_item(ENTRY_TOPIC, item.clone());
        }
        values.len() + items.len()
    }
}
