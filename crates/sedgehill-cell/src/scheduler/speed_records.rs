//! The stored form of what a lead has learned of the speeds of workers and of queues.
//!
//! The records are part of the batches that the lead appends anyway, under keys that earlier
//! releases do not read. Nothing depends on them: a lead that finds none, or cannot read one, learns
//! anew. They are divided so that each one stays far below the store's limit for a record, and only
//! those that changed are written.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;

use sedgehill_core::units::{Moment, TimeSpan};
use serde::{Deserialize, Serialize};

use super::message::WorkerEntry;
use super::speeds::{LogFactor, QueueEstimate, SpeedEstimate};
use crate::ids::{PoolName, QueueName};

/// What the key of a record begins with, before its number.
const KEY_PREFIX: &str = "speeds/";
/// The workers in one record. A worker takes about 11 bytes, so a record takes about 6 KB.
const MAX_ROWS: usize = 512;
/// Time between two changes of the records. A lead that is lost takes with it what it learned since.
const MIN_INTERVAL: TimeSpan = TimeSpan(2_000);
/// A record is written again after this time, so that a reader can tell how old its content is.
const MAX_RECORD_AGE: TimeSpan = TimeSpan(20_000);
/// Stored factors are in this many steps per unit of the logarithm, one for each 2.5 %.
const STEPS: f64 = 40.0;
/// Stored weights are in this many steps per run.
const WEIGHT_STEPS: f64 = 16.0;
/// A record is written if the factor of a worker or a queue has changed by this many steps, a fifth.
/// Averages of equal runs vary by less.
const CHANGED_STEPS: i16 = 8;

/// What identifies the machine of a worker, as far as that is known. A life with other labels may
/// run on another machine that was given the address of the first one.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct MachineIdentity {
    /// The address that takes the worker's orders.
    pub address: SocketAddr,
    /// The pool and the labels.
    pub kind: MachineKind,
}

impl MachineIdentity {
    /// Returns the machine of a worker.
    pub fn of(entry: &WorkerEntry) -> MachineIdentity {
        let kind = MachineKind { pool: entry.pool.clone(), labels: entry.labels.clone() };
        MachineIdentity { address: entry.address, kind }
    }
}

/// The pool and the labels of workers.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct MachineKind {
    /// The pool.
    pub pool: PoolName,
    /// The labels.
    pub labels: Vec<Arc<str>>,
}

/// A worker in a record.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
struct MachineRow {
    address: SocketAddr,
    /// The index of its kind.
    kind: u16,
    steps: i8,
    weight: u8,
}

/// A queue in a record.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
struct QueueRow {
    name: QueueName,
    steps: i8,
    below: i8,
    above: i8,
}

/// One record. New fields are appended, since earlier versions ignore trailing bytes.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct SpeedRecord {
    /// The time of day when it was written, in milliseconds since 1970.
    written_unix_ms: u64,
    queues: Vec<QueueRow>,
    kinds: Vec<MachineKind>,
    machines: Vec<MachineRow>,
}

impl SpeedRecord {
    /// Returns the estimates of workers, aged by the time since they were written.
    pub fn machines(
        &self,
        unix_ms: u64,
    ) -> impl Iterator<Item = (MachineIdentity, SpeedEstimate)> + '_ {
        let age = self.age(unix_ms);
        self.machines.iter().filter_map(move |row| {
            let kind = self.kinds.get(usize::from(row.kind))?.clone();
            let weight = f64::from(row.weight) / WEIGHT_STEPS;
            let estimate = SpeedEstimate::from_parts(from_steps(row.steps), weight).aged(age);
            Some((MachineIdentity { address: row.address, kind }, estimate))
        })
    }

    /// Returns the estimates of queues.
    pub fn queues(&self) -> impl Iterator<Item = (QueueName, QueueEstimate)> + '_ {
        self.queues.iter().map(|row| {
            let parts = [row.steps, row.below, row.above].map(from_steps);
            (row.name.clone(), QueueEstimate::from_parts(parts[0], parts[1], parts[2]))
        })
    }

    /// Returns the time since it was written; zero if the clock of this box is behind.
    pub fn age(&self, unix_ms: u64) -> TimeSpan {
        TimeSpan(unix_ms.saturating_sub(self.written_unix_ms))
    }

    /// Whether the content differs by more than the averages of equal runs vary.
    fn differs_from(&self, other: &SpeedRecord) -> bool {
        let far = |one: i8, other: i8| (i16::from(one) - i16::from(other)).abs() >= CHANGED_STEPS;
        let machine = |(one, other): (&MachineRow, &MachineRow)| {
            let weights = (u16::from(one.weight), u16::from(other.weight));
            one.address != other.address
                || one.kind != other.kind
                || far(one.steps, other.steps)
                || weights.0.max(weights.1) > 2 * weights.0.min(weights.1)
        };
        let queue = |(one, other): (&QueueRow, &QueueRow)| {
            one.name != other.name || far(one.steps, other.steps)
        };
        self.kinds != other.kinds
            || self.machines.len() != other.machines.len()
            || self.queues.len() != other.queues.len()
            || self.machines.iter().zip(&other.machines).any(machine)
            || self.queues.iter().zip(&other.queues).any(queue)
    }
}

/// A change of one record.
#[derive(Debug, Clone, PartialEq)]
pub struct SpeedChange {
    /// The key of the record.
    pub key: String,
    /// The new content; none to remove the record.
    pub content: Option<SpeedRecord>,
}

impl SpeedChange {
    /// Returns whether a key is that of a record of speeds.
    pub fn is_speed_key(key: &str) -> bool {
        key.starts_with(KEY_PREFIX)
    }

    /// Decodes a record. An empty value removes the record.
    pub fn decode(key: &str, value: &[u8]) -> Result<SpeedChange, postcard::Error> {
        let content = match value.is_empty() {
            true => None,
            false => Some(postcard::from_bytes(value)?),
        };
        Ok(SpeedChange { key: key.to_owned(), content })
    }

    /// Returns the value of the record, empty if it is removed.
    pub fn encode(&self) -> Vec<u8> {
        let encode = |record| postcard::to_stdvec(record).expect("every record can be encoded");
        self.content.as_ref().map(encode).unwrap_or_default()
    }
}

/// The records as the store holds them.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct SpeedParts {
    parts: BTreeMap<String, SpeedRecord>,
}

impl SpeedParts {
    /// Applies a change of one record.
    pub fn apply(&mut self, change: SpeedChange) {
        match change.content {
            Some(content) => drop(self.parts.insert(change.key, content)),
            None => drop(self.parts.remove(&change.key)),
        }
    }

    /// Removes the records whose keys are not in `kept`.
    pub fn retain(&mut self, kept: &BTreeSet<&str>) {
        self.parts.retain(|key, _| kept.contains(key.as_str()));
    }

    /// Returns the records.
    pub fn records(&self) -> impl Iterator<Item = &SpeedRecord> {
        self.parts.values()
    }
}

/// Everything that is recorded of speeds. Machines are sorted by their identity.
#[derive(Debug, Clone, Default)]
pub struct SpeedSnapshot {
    /// The known queues.
    pub queues: Vec<(QueueName, QueueEstimate)>,
    /// The machines of which something is known.
    pub machines: Vec<(MachineIdentity, SpeedEstimate)>,
}

impl SpeedSnapshot {
    /// Returns the records that hold it.
    pub fn records(&self, unix_ms: u64) -> Vec<SpeedChange> {
        let mut records: Vec<SpeedRecord> =
            self.machines.chunks(MAX_ROWS).map(|part| record_of(part, unix_ms)).collect();
        if records.is_empty() && !self.queues.is_empty() {
            records.push(SpeedRecord { written_unix_ms: unix_ms, ..SpeedRecord::default() });
        }
        if let Some(first) = records.first_mut() {
            first.queues = self.queues.iter().map(queue_row).collect();
        }
        let change = |(number, record)| SpeedChange {
            key: format!("{KEY_PREFIX}{number}"),
            content: Some(record),
        };
        records.into_iter().enumerate().map(change).collect()
    }
}

fn record_of(machines: &[(MachineIdentity, SpeedEstimate)], unix_ms: u64) -> SpeedRecord {
    let mut kinds: Vec<MachineKind> = Vec::new();
    let mut indexes: BTreeMap<&MachineKind, u16> = BTreeMap::new();
    let mut rows = Vec::new();
    for (identity, estimate) in machines {
        let kind = *indexes.entry(&identity.kind).or_insert_with(|| {
            kinds.push(identity.kind.clone());
            (kinds.len() - 1) as u16
        });
        let weight = (estimate.weight() * WEIGHT_STEPS).round() as u8;
        let steps = to_steps(estimate.mean());
        rows.push(MachineRow { address: identity.address, kind, steps, weight });
    }
    SpeedRecord { written_unix_ms: unix_ms, queues: Vec::new(), kinds, machines: rows }
}

fn queue_row((name, estimate): &(QueueName, QueueEstimate)) -> QueueRow {
    QueueRow {
        name: name.clone(),
        steps: to_steps(estimate.usual()),
        below: to_steps(estimate.below()),
        above: to_steps(estimate.above()),
    }
}

fn to_steps(value: LogFactor) -> i8 {
    // The conversion saturates.
    (value.0 * STEPS).round() as i8
}

fn from_steps(steps: i8) -> LogFactor {
    LogFactor(f64::from(steps) / STEPS)
}

/// Decides which records the next batch contains.
#[derive(Debug, Default)]
pub(super) struct SpeedRecorder {
    recorded: BTreeMap<String, SpeedRecord>,
    last_change_at: Option<Moment>,
}

impl SpeedRecorder {
    /// Sets the records that earlier leads left.
    pub(super) fn inherit(&mut self, parts: &SpeedParts, now: Moment) {
        self.recorded = parts.parts.clone();
        self.last_change_at = Some(now);
    }

    /// Whether enough time has passed for another change.
    pub(super) fn is_due(&self, now: Moment) -> bool {
        self.last_change_at.is_none_or(|at| now >= at.after(MIN_INTERVAL))
    }

    /// Returns the changes after which the store holds the snapshot.
    pub(super) fn changes_to(
        &mut self,
        snapshot: &SpeedSnapshot,
        unix_ms: u64,
        now: Moment,
    ) -> Vec<SpeedChange> {
        self.last_change_at = Some(now);
        let records = snapshot.records(unix_ms);
        let kept: BTreeSet<String> = records.iter().map(|change| change.key.clone()).collect();
        let is_outdated = |change: &SpeedChange| {
            let Some(content) = &change.content else { return false };
            let recorded = self.recorded.get(&change.key);
            recorded.is_none_or(|recorded| {
                recorded.age(unix_ms) >= MAX_RECORD_AGE || content.differs_from(recorded)
            })
        };
        let mut changes: Vec<SpeedChange> = records.into_iter().filter(is_outdated).collect();
        let removed = self.recorded.keys().filter(|key| !kept.contains(*key));
        changes.extend(removed.map(|key| SpeedChange { key: key.clone(), content: None }));
        changes
    }

    /// Notes that changes are in the store.
    pub(super) fn note_recorded(&mut self, changes: &[SpeedChange]) {
        for change in changes {
            match &change.content {
                Some(content) => drop(self.recorded.insert(change.key.clone(), content.clone())),
                None => drop(self.recorded.remove(&change.key)),
            }
        }
    }
}
