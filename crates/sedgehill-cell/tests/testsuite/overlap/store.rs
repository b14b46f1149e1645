//! A fake store: topics whose history can be discarded, with conditional appends.

use std::collections::BTreeMap;

use sedgehill_cell::scheduler::WorkerEntry;

/// The indices of the topics.
pub const LEADS: usize = 0;
pub const PROGRESS: usize = 1;
pub const JOBS: usize = 2;
pub const TOPICS: usize = 3;

/// Number of earlier appends of an epoch for which the store repeats its first answer.
const REMEMBERED_APPENDS: usize = 5;

/// An encoded record with its key.
#[derive(Debug, Clone)]
pub struct Row {
    pub key: String,
    pub value: Vec<u8>,
}

/// The condition of an append.
#[derive(Debug, Clone, Copy)]
pub enum Condition {
    /// The topic ends at this offset.
    At(u64),
    /// The store has seen no higher epoch, and the append follows the last one of its epoch.
    Sequence { epoch: u64, sequence: u64 },
}

#[derive(Debug, Clone)]
pub enum StoreCall {
    Append {
        topic: usize,
        rows: Vec<Row>,
        condition: Condition,
    },
    /// Reads the records from an offset on, or the newest record of each key.
    Read {
        topic: usize,
        from: Option<u64>,
    },
    /// Lists the workers.
    List,
}

impl StoreCall {
    /// Returns whether the call is about the topic of lead records, which has a path of its own.
    pub fn is_on_lead_topic(&self) -> bool {
        match self {
            StoreCall::Append { topic, .. } | StoreCall::Read { topic, .. } => *topic == LEADS,
            StoreCall::List => false,
        }
    }
}

#[derive(Debug, Clone)]
pub enum StoreReply {
    Appended { end: u64 },
    Rejected,
    Rows { rows: Vec<Row>, end: u64 },
    HistoryGone,
    Workers(Vec<WorkerEntry>),
}

#[derive(Debug, Default)]
struct Topic {
    rows: Vec<Row>,
    /// The offset before which the history was discarded.
    first: usize,
}

impl Topic {
    fn newest(&self) -> Vec<Row> {
        let newest: BTreeMap<&str, &Row> =
            self.rows.iter().map(|row| (row.key.as_str(), row)).collect();
        newest.into_values().cloned().collect()
    }
}

/// A store with one epoch for all sequenced appends.
#[derive(Debug, Default)]
pub struct SimStore {
    topics: [Topic; TOPICS],
    epoch: u64,
    /// The sequence numbers of the newest epoch's appends, with the end of the topic after each.
    appended: Vec<(u64, u64)>,
}

impl SimStore {
    /// Carries out a call. `listed` holds the current entries of the list of workers.
    pub fn call(&mut self, call: StoreCall, listed: &[WorkerEntry]) -> StoreReply {
        match call {
            StoreCall::Append { topic, rows, condition } => self.append(topic, rows, condition),
            StoreCall::Read { topic, from } => self.read(topic, from),
            StoreCall::List => StoreReply::Workers(listed.to_vec()),
        }
    }

    /// Appends the record of a job that a box accepted without the lead.
    pub fn put_job(&mut self, row: Row) {
        self.topics[JOBS].rows.push(row);
    }

    /// Discards the history of a topic.
    pub fn discard_history(&mut self, topic: usize) {
        self.topics[topic].first = self.topics[topic].rows.len();
    }

    /// Returns the newest record of each key of a topic.
    pub fn newest(&self, topic: usize) -> Vec<Row> {
        self.topics[topic].newest()
    }

    fn end(&self, topic: usize) -> u64 {
        self.topics[topic].rows.len() as u64
    }

    fn append(&mut self, topic: usize, rows: Vec<Row>, condition: Condition) -> StoreReply {
        match condition {
            Condition::At(at) if at != self.end(topic) => StoreReply::Rejected,
            Condition::At(_) => self.push_rows(topic, rows),
            Condition::Sequence { epoch, sequence } => {
                if epoch > self.epoch {
                    self.epoch = epoch;
                    self.appended.clear();
                } else if epoch < self.epoch {
                    return StoreReply::Rejected;
                } else if let Some(answer) = self.earlier_answer(sequence) {
                    return answer;
                } else if self.appended.last().is_some_and(|(last, _)| sequence != last + 1) {
                    return StoreReply::Rejected;
                }
                let reply = self.push_rows(topic, rows);
                self.appended.push((sequence, self.end(topic)));
                reply
            }
        }
    }

    fn earlier_answer(&self, sequence: u64) -> Option<StoreReply> {
        let mut recent = self.appended.iter().rev().take(REMEMBERED_APPENDS);
        recent
            .find(|(appended, _)| *appended == sequence)
            .map(|(_, end)| StoreReply::Appended { end: *end })
    }

    fn push_rows(&mut self, topic: usize, rows: Vec<Row>) -> StoreReply {
        self.topics[topic].rows.extend(rows);
        StoreReply::Appended { end: self.end(topic) }
    }

    fn read(&self, topic: usize, from: Option<u64>) -> StoreReply {
        let stored = &self.topics[topic];
        let end = self.end(topic);
        match from {
            None => StoreReply::Rows { rows: stored.newest(), end },
            Some(from) if (from as usize) < stored.first => StoreReply::HistoryGone,
            Some(from) => StoreReply::Rows { rows: stored.rows[from as usize..].to_vec(), end },
        }
    }
}
