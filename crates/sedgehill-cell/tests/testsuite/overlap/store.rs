//! The store: topics that may be read behind and forget their oldest records, appends on conditions.

use std::collections::BTreeMap;

use sedgehill_cell::scheduler::WorkerEntry;

/// The topics, by their place.
pub const LEADS: usize = 0;
pub const PROGRESS: usize = 1;
pub const JOBS: usize = 2;
pub const TOPICS: usize = 3;

/// The store gives its first answer again to so many earlier appends of a sender.
const REPEATED: usize = 5;

/// A record with its key.
#[derive(Debug, Clone)]
pub struct Row {
    pub key: String,
    pub value: Vec<u8>,
}

/// What an append asks for.
#[derive(Debug, Clone, Copy)]
pub enum Condition {
    /// The topic ends there.
    At(u64),
    /// No later epoch was seen, and nothing is missing before it.
    Sequence { epoch: u64, sequence: u64 },
}

#[derive(Debug, Clone)]
pub enum StoreCall {
    Append {
        topic: usize,
        rows: Vec<Row>,
        condition: Condition,
    },
    /// Reads on from an offset, or the newest record of each key.
    Read {
        topic: usize,
        from: Option<u64>,
    },
    /// Lists the workers.
    List,
}

impl StoreCall {
    /// The topic of leads can be out of reach by itself.
    pub fn is_of_leads(&self) -> bool {
        match self {
            StoreCall::Append { topic, .. } | StoreCall::Read { topic, .. } => *topic == LEADS,
            StoreCall::List => false,
        }
    }
}

#[derive(Debug, Clone)]
pub enum StoreReply {
    Kept { end: u64 },
    NotKept,
    Rows { rows: Vec<Row>, end: u64 },
    Gone,
    Workers(Vec<WorkerEntry>),
}

#[derive(Debug, Default)]
struct Topic {
    rows: Vec<Row>,
    first: usize,
}

impl Topic {
    fn newest(&self) -> Vec<Row> {
        let newest: BTreeMap<&str, &Row> =
            self.rows.iter().map(|row| (row.key.as_str(), row)).collect();
        newest.into_values().cloned().collect()
    }
}

/// The store.
#[derive(Debug, Default)]
pub struct SimStore {
    topics: [Topic; TOPICS],
    epoch: u64,
    /// The appends of the newest epoch: where the topic ended after each.
    kept: Vec<(u64, u64)>,
}

impl SimStore {
    /// Carries out a call. `listed` is what the list of workers holds now.
    pub fn call(&mut self, call: StoreCall, listed: &[WorkerEntry]) -> StoreReply {
        match call {
            StoreCall::Append { topic, rows, condition } => self.append(topic, rows, condition),
            StoreCall::Read { topic, from } => self.read(topic, from),
            StoreCall::List => StoreReply::Workers(listed.to_vec()),
        }
    }

    /// A caller's job is put there by some box.
    pub fn put_job(&mut self, row: Row) {
        self.topics[JOBS].rows.push(row);
    }

    /// The history of a topic is removed.
    pub fn forget(&mut self, topic: usize) {
        self.topics[topic].first = self.topics[topic].rows.len();
    }

    /// The newest records of a topic.
    pub fn newest(&self, topic: usize) -> Vec<Row> {
        self.topics[topic].newest()
    }

    fn end(&self, topic: usize) -> u64 {
        self.topics[topic].rows.len() as u64
    }

    fn append(&mut self, topic: usize, rows: Vec<Row>, condition: Condition) -> StoreReply {
        match condition {
            Condition::At(at) if at != self.end(topic) => StoreReply::NotKept,
            Condition::At(_) => self.keep(topic, rows),
            Condition::Sequence { epoch, sequence } => {
                if epoch > self.epoch {
                    self.epoch = epoch;
                    self.kept.clear();
                } else if epoch < self.epoch {
                    return StoreReply::NotKept;
                } else if let Some(again) = self.answered_before(sequence) {
                    return again;
                } else if self.kept.last().is_some_and(|(last, _)| sequence != last + 1) {
                    return StoreReply::NotKept;
                }
                let reply = self.keep(topic, rows);
                self.kept.push((sequence, self.end(topic)));
                reply
            }
        }
    }

    fn answered_before(&self, sequence: u64) -> Option<StoreReply> {
        let mut recent = self.kept.iter().rev().take(REPEATED);
        recent.find(|(kept, _)| *kept == sequence).map(|(_, end)| StoreReply::Kept { end: *end })
    }

    fn keep(&mut self, topic: usize, rows: Vec<Row>) -> StoreReply {
        self.topics[topic].rows.extend(rows);
        StoreReply::Kept { end: self.end(topic) }
    }

    fn read(&self, topic: usize, from: Option<u64>) -> StoreReply {
        let held = &self.topics[topic];
        let end = self.end(topic);
        match from {
            None => StoreReply::Rows { rows: held.newest(), end },
            Some(from) if (from as usize) < held.first => StoreReply::Gone,
            Some(from) => StoreReply::Rows { rows: held.rows[from as usize..].to_vec(), end },
        }
    }
}
