//! The stored form of the roster: one record for a small roster, one record for each worker of a large one.
//!
//! A record has a size limit, so a single record bounds the number of workers. It is also written
//! as a whole at each change, so that its cost grows with the square of the cell. With a record for
//! each worker, a change costs the records of the workers that changed.
//!
//! Each record states that the worker in it may run something, whichever lead wrote it. The union of
//! all records is therefore always safe to go by, and nothing has to tell whether it is complete:
//! the store keeps the newest record of each key for good, and refuses the writes of a lead once a
//! later one has fenced it. A worker is added before a start is sent there; records are removed
//! last.
//!
//! Earlier releases read only the single record, and write only that. While the roster is split,
//! the single record holds a marker: a worker that never answers, so that a lead of such a release
//! starts no inherited task before everything that earlier leads started has certainly ended.

use std::collections::{BTreeMap, BTreeSet, HashSet};
use std::net::{Ipv4Addr, SocketAddr};

use sedgehill_core::units::ResourceSet;

use super::message::{RosterDigest, WorkerEntry, WorkerRoster};
use crate::ids::WorkerLife;

/// The id of the worker in the marker that replaces the single record of a split roster.
const MARKER_ID: &str = "roster-is-split";
/// The port in the marker, at which nothing listens.
const MARKER_PORT: u16 = 1;
/// What the key of the record of one worker begins with, before its life.
const WORKER_KEY_PREFIX: &str = "roster/";

/// A change of one record of the roster.
#[derive(Debug, Clone, PartialEq)]
pub struct RosterChange {
    /// The key of the record.
    pub key: String,
    /// The new content; none to remove the record.
    pub content: Option<WorkerRoster>,
}

impl RosterChange {
    /// Returns whether a key is that of a record of the roster.
    pub fn is_roster_key(key: &str) -> bool {
        key == WorkerRoster::KEY || key.starts_with(WORKER_KEY_PREFIX)
    }

    /// Decodes a record of the roster. An empty value removes the record.
    pub fn decode(key: &str, value: &[u8]) -> Result<RosterChange, postcard::Error> {
        let content = match value.is_empty() {
            true => None,
            false => Some(WorkerRoster::decode(value)?),
        };
        Ok(RosterChange { key: key.to_owned(), content })
    }

    /// Returns the worker that the record is about; none if it holds the whole roster or is removed.
    pub(super) fn worker(&self) -> Option<&WorkerLife> {
        let entry =
            self.content.as_ref().filter(|_| self.key != WorkerRoster::KEY)?.workers.first();
        entry.map(|entry| &entry.life)
    }

    /// Returns whether the record is the marker of a split roster.
    pub(super) fn is_split_marker(&self) -> bool {
        let workers = self.content.iter().flat_map(|content| &content.workers);
        workers.map(|entry| &*entry.life.id.0).eq([MARKER_ID])
    }

    /// Returns about how many bytes the entries of the record take.
    pub(super) fn entry_bytes(&self) -> usize {
        self.content.iter().flat_map(|content| &content.workers).map(stored_len).sum()
    }

    /// Returns the value of the record, empty if it is removed.
    pub fn encode(&self) -> Vec<u8> {
        self.content.as_ref().map(WorkerRoster::encode).unwrap_or_default()
    }
}

/// A record of the roster, with a digest that identifies its content.
#[derive(Debug, Clone, PartialEq)]
struct RosterPart {
    content: WorkerRoster,
    digest: RosterDigest,
}

/// The records of the roster as the store holds them.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct RosterParts {
    parts: BTreeMap<String, RosterPart>,
}

impl RosterParts {
    /// Applies a change of one record.
    pub fn apply(&mut self, change: RosterChange) {
        match change.content {
            Some(content) => {
                let digest = content.digest();
                self.parts.insert(change.key, RosterPart { content, digest });
            }
            None => drop(self.parts.remove(&change.key)),
        }
    }

    /// Removes the records whose keys are not in `kept`.
    pub fn retain(&mut self, kept: &BTreeSet<&str>) {
        self.parts.retain(|key, _| kept.contains(key.as_str()));
    }

    /// Returns the workers of all records, each with the largest capacity that is known of it.
    pub fn workers(&self) -> impl Iterator<Item = (&WorkerEntry, ResourceSet)> {
        let workers = self.parts.values().flat_map(|part| part.content.with_largest());
        workers.filter(|(entry, _)| *entry.life.id.0 != *MARKER_ID)
    }

    /// Returns the number of workers in all records.
    pub fn worker_count(&self) -> usize {
        self.workers().count()
    }

    /// Returns a digest for logs, equal for the same records.
    pub fn digest(&self) -> RosterDigest {
        RosterDigest::sum(self.parts.values().map(|part| part.digest))
    }
}

/// What the store holds of the roster, as far as the lead has read or recorded it.
#[derive(Debug, Default)]
pub(super) struct RosterRecords {
    recorded: BTreeMap<String, RosterDigest>,
}

impl RosterRecords {
    /// Sets the records that earlier leads left.
    pub(super) fn inherit(&mut self, parts: &RosterParts) {
        let digests = parts.parts.iter().map(|(key, part)| (key.clone(), part.digest));
        self.recorded = digests.collect();
    }

    /// Notes that changes are in the store.
    pub(super) fn note_recorded(&mut self, changes: &[RosterChange]) {
        for change in changes {
            match &change.content {
                Some(content) => drop(self.recorded.insert(change.key.clone(), content.digest())),
                None => drop(self.recorded.remove(&change.key)),
            }
        }
    }

    /// Returns the changes after which the store holds `workers`, each with its largest capacity:
    /// records to write, then records to remove. A single record is used up to about
    /// `max_record_bytes`, and again once it would take half of that.
    pub(super) fn changes_to(
        &self,
        workers: &[(&WorkerEntry, ResourceSet)],
        max_record_bytes: usize,
    ) -> Vec<RosterChange> {
        let limit = if self.is_split() { max_record_bytes / 2 } else { max_record_bytes };
        let record_bytes: usize = workers.iter().map(|(entry, _)| stored_len(entry)).sum();
        let mut writer =
            ChangeWriter { recorded: &self.recorded, kept: HashSet::new(), changes: Vec::new() };
        if record_bytes <= limit {
            writer.keep(WorkerRoster::KEY.to_owned(), workers);
        } else {
            for worker in workers {
                writer.keep(worker_key(&worker.0.life), std::slice::from_ref(worker));
            }
            let marker = split_marker();
            let marker: Vec<(&WorkerEntry, ResourceSet)> = marker.with_largest().collect();
            writer.keep(WorkerRoster::KEY.to_owned(), &marker);
        }
        writer.finish()
    }

    /// Returns the single record, to write it again where the roster has not changed.
    pub(super) fn repetition(&self, workers: &[(&WorkerEntry, ResourceSet)]) -> RosterChange {
        let content = if self.is_split() { split_marker() } else { WorkerRoster::of(workers) };
        RosterChange { key: WorkerRoster::KEY.to_owned(), content: Some(content) }
    }

    fn is_split(&self) -> bool {
        self.recorded.keys().any(|key| key.starts_with(WORKER_KEY_PREFIX))
    }
}

/// Collects the changes from the recorded records to those that are kept.
struct ChangeWriter<'a> {
    recorded: &'a BTreeMap<String, RosterDigest>,
    kept: HashSet<String>,
    changes: Vec<RosterChange>,
}

impl ChangeWriter<'_> {
    /// Has a record of these workers in the store, and writes it unless it is there.
    fn keep(&mut self, key: String, workers: &[(&WorkerEntry, ResourceSet)]) {
        if self.recorded.get(&key) != Some(&RosterDigest::of(workers.iter().copied())) {
            let content = Some(WorkerRoster::of(workers));
            self.changes.push(RosterChange { key: key.clone(), content });
        }
        self.kept.insert(key);
    }

    /// Removes the records that are not kept. Returns all changes.
    fn finish(mut self) -> Vec<RosterChange> {
        let removed = self.recorded.keys().filter(|key| !self.kept.contains(*key));
        let removed = removed.map(|key| RosterChange { key: key.clone(), content: None });
        self.changes.extend(removed);
        self.changes
    }
}

/// Returns about how many bytes an entry takes in a record.
fn stored_len(entry: &WorkerEntry) -> usize {
    /// The address, the capacity, the start of the life, and the lengths of the texts.
    const FIXED_BYTES: usize = 48;
    let labels: usize = entry.labels.iter().map(|label| label.len() + 1).sum();
    FIXED_BYTES + entry.life.id.0.len() + entry.pool.0.len() + labels
}

fn worker_key(life: &WorkerLife) -> String {
    format!("{WORKER_KEY_PREFIX}{}", String::from(life.clone()))
}

/// Returns the content of the single record of a split roster.
fn split_marker() -> WorkerRoster {
    let marker = WorkerEntry {
        life: WorkerLife::from(MARKER_ID),
        address: SocketAddr::from((Ipv4Addr::LOCALHOST, MARKER_PORT)),
        pool: MARKER_ID.into(),
        draining: true,
        capacity: ResourceSet::default(),
        labels: Vec::new(),
        hall: None,
    };
    WorkerRoster { workers: vec![marker], shrunk: Vec::new() }
}
