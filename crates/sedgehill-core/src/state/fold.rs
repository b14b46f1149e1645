//! Builds the state from a log whose beginning may no longer be retained.

use super::{ClusterState, RecordVerdict};
use crate::ids::{Offset, RecordId};
use crate::record::{LogEntry, RecordBody};

/// Builds the state from the log, starting at the oldest entry that is still retained.
///
/// Entries that do not continue the state, because there is none yet or because entries are missing
/// in between, are buffered until a snapshot arrives that includes everything before the first of
/// them. A snapshot that is not newer than the state is ignored.
#[derive(Debug, Default)]
pub struct LogFold {
    state: Option<ClusterState>,
    /// Consecutive entries that wait for a snapshot.
    buffered: Vec<LogEntry>,
}

impl LogFold {
    /// Returns the state, or `None` until there is one.
    pub fn state(&self) -> Option<&ClusterState> {
        self.state.as_ref()
    }

    /// Returns the offset of the entry to read next.
    pub fn next(&self) -> Offset {
        let after_buffered = self.buffered.last().map(|entry| entry.offset.next());
        let after_state = self.state.as_ref().map(|state| state.next);
        after_buffered.or(after_state).unwrap_or_default()
    }

    /// Starts with an empty state, for a log that is empty. Has no effect once there is a state or
    /// a buffered entry.
    pub fn start_empty(&mut self) {
        if self.state.is_none() && self.buffered.is_empty() {
            self.state = Some(ClusterState::default());
        }
    }

    /// Replaces the state with a newer one from elsewhere. Returns false and ignores it if it is
    /// not newer.
    pub fn adopt(&mut self, state: ClusterState) -> bool {
        let is_newer = self.state.as_ref().is_none_or(|current| current.next < state.next);
        if is_newer {
            self.state = Some(state);
            self.buffered.clear();
        }
        is_newer
    }

    /// Takes one entry and returns the verdicts on all records that were applied because of it.
    ///
    /// An entry that was applied before has no effect. The result is empty if the entry was
    /// buffered.
    pub fn feed(&mut self, entry: LogEntry) -> Vec<(RecordId, RecordVerdict)> {
        if self.state.is_none() && entry.offset == Offset(0) {
            self.state = Some(ClusterState::default());
        }
        if let Some(state) = self.state.as_mut() {
            if entry.offset < state.next {
                return Vec::new();
            }
            if entry.offset == state.next && self.buffered.is_empty() {
                return state.apply(&entry);
            }
        }
        self.buffer(entry)
    }

    /// Buffers an entry, and applies all buffered entries if it holds a snapshot that precedes
    /// them.
    fn buffer(&mut self, entry: LogEntry) -> Vec<(RecordId, RecordVerdict)> {
        let expected = self.buffered.last().map(|last| last.offset.next());
        if expected.is_some_and(|expected| entry.offset < expected) {
            return Vec::new();
        }
        if expected.is_some_and(|expected| entry.offset > expected) {
            self.buffered.clear();
        }
        let snapshot = self.joining_snapshot(&entry);
        self.buffered.push(entry);
        let Some(state) = snapshot else { return Vec::new() };
        self.state = Some(state);
        let buffered = std::mem::take(&mut self.buffered);
        buffered.into_iter().flat_map(|entry| self.feed(entry)).collect()
    }

    /// Returns a snapshot in `entry` that is newer than the state and reaches the first buffered
    /// entry without a gap.
    fn joining_snapshot(&self, entry: &LogEntry) -> Option<ClusterState> {
        let first = self.buffered.first().map_or(entry.offset, |first| first.offset);
        let next = self.state.as_ref().map(|state| state.next).unwrap_or_default();
        entry.batch.records.iter().find_map(|record| match &record.body {
            RecordBody::Snapshot { at, state } if at.next() >= first && at.next() > next => {
                Some(state.as_ref().clone())
            }
            _ => None,
        })
    }
}
