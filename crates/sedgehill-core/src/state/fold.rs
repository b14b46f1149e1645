//! Reading the log from wherever its retention lets a reader begin.

use super::{ClusterState, RecordVerdict};
use crate::ids::{Offset, RecordId};
use crate::record::{LogEntry, RecordBody};

/// Reads the log from wherever its retention lets a reader begin.
///
/// Until the fold has a state it keeps entries back and waits for a snapshot that joins them
/// without a gap. A snapshot older than what is held changes nothing.
#[derive(Debug, Default)]
pub struct LogFold {
    state: Option<ClusterState>,
    kept_back: Vec<LogEntry>,
}

impl LogFold {
    /// The state, if the fold has one.
    pub fn state(&self) -> Option<&ClusterState> {
        self.state.as_ref()
    }

    /// The next offset that the fold wants to read.
    pub fn next(&self) -> Offset {
        let kept = self.kept_back.last().map(|entry| entry.offset.next());
        let held = self.state.as_ref().map(|state| state.next);
        kept.or(held).unwrap_or_default()
    }

    /// Begins with nothing in force, for a log that nothing was ever appended to.
    pub fn start_empty(&mut self) {
        if self.state.is_none() && self.kept_back.is_empty() {
            self.state = Some(ClusterState::default());
        }
    }

    /// Takes a state from elsewhere, unless the one held is as new.
    pub fn adopt(&mut self, state: ClusterState) -> bool {
        let newer = self.state.as_ref().is_none_or(|held| held.next < state.next);
        if newer {
            self.state = Some(state);
            self.kept_back.clear();
        }
        newer
    }

    /// Folds one entry in.
    pub fn feed(&mut self, entry: LogEntry) -> Vec<(RecordId, RecordVerdict)> {
        if self.state.is_none() && entry.offset == Offset(0) {
            self.state = Some(ClusterState::default());
        }
        if let Some(state) = self.state.as_mut() {
            if entry.offset < state.next {
                return Vec::new();
            }
            if entry.offset == state.next && self.kept_back.is_empty() {
                return state.apply(&entry);
            }
        }
        self.keep_back(entry)
    }

    fn keep_back(&mut self, entry: LogEntry) -> Vec<(RecordId, RecordVerdict)> {
        let expected = self.kept_back.last().map(|last| last.offset.next());
        if expected.is_some_and(|expected| entry.offset < expected) {
            return Vec::new();
        }
        if expected.is_some_and(|expected| entry.offset > expected) {
            self.kept_back.clear();
        }
        let joined = self.joining_snapshot(&entry);
        self.kept_back.push(entry);
        let Some(state) = joined else { return Vec::new() };
        self.state = Some(state);
        let kept = std::mem::take(&mut self.kept_back);
        kept.into_iter().flat_map(|entry| self.feed(entry)).collect()
    }

    fn joining_snapshot(&self, entry: &LogEntry) -> Option<ClusterState> {
        let first = self.kept_back.first().map_or(entry.offset, |first| first.offset);
        let held = self.state.as_ref().map(|state| state.next).unwrap_or_default();
        entry.batch.records.iter().find_map(|record| match &record.body {
            RecordBody::Snapshot { at, state } if at.next() >= first && at.next() > held => {
                Some(state.as_ref().clone())
            }
            _ => None,
        })
    }
}
