//! Tracks the state of a box's peers from their heartbeats.

use std::collections::BTreeMap;
use std::fmt;

use serde::{Deserialize, Serialize};

use crate::ids::{BoxId, EndpointId, HallName, Incarnation, Offset};
use crate::units::{Moment, ResourceSet, TimeSpan};

/// Heartbeat that each box sends to its peers several times a second.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct BoxHeartbeat {
    /// Id of the sending box.
    pub from: BoxId,
    /// Run of the sender's process.
    pub incarnation: Incarnation,
    /// Number of the heartbeat within the run. A heartbeat with a lower number than the last one
    /// received is ignored.
    pub sequence: u64,
    /// Whether the sender is draining and takes no new work.
    pub leaving: bool,
    /// Next offset of the log that the sender will apply.
    pub applied: Offset,
    /// Endpoints that are draining, as far as the sender knows.
    pub leaving_endpoints: Vec<EndpointId>,
    /// Capacity of the data halls that the sender leads.
    #[serde(rename = "rooms")]
    pub capacities: Vec<HallCapacity>,
}

/// Capacity of one data hall according to its lead. It is a hint for choosing a hall and reserves
/// nothing.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HallCapacity {
    /// The data hall.
    pub hall: HallName,
    /// Total resources of its workers.
    pub total: ResourceSet,
    /// Resources of its workers that are free.
    pub free: ResourceSet,
}

/// State of a peer, from its heartbeats.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum MemberState {
    /// A heartbeat arrived recently.
    Live,
    /// Heartbeats arrive and say that the peer is draining.
    Leaving,
    /// No heartbeat for [`MemberTiming::suspect_after`].
    Suspect,
    /// No heartbeat for [`MemberTiming::gone_after`], or none at all.
    Gone,
}

impl fmt::Display for MemberState {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            MemberState::Live => "live",
            MemberState::Leaving => "leaving",
            MemberState::Suspect => "suspect",
            MemberState::Gone => "gone",
        })
    }
}

/// Times after which a peer without heartbeats changes state.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct MemberTiming {
    /// Time since the last heartbeat after which a peer is suspect.
    pub suspect_after: TimeSpan,
    /// Time since the last heartbeat after which a peer is gone.
    pub gone_after: TimeSpan,
}

#[derive(Debug, Clone)]
struct MemberEntry {
    received_at: Moment,
    heartbeat: BoxHeartbeat,
}

/// The last heartbeat of each peer of one box.
#[derive(Debug)]
pub struct MemberTable {
    timing: MemberTiming,
    entries: BTreeMap<BoxId, MemberEntry>,
}

impl MemberTable {
    /// Creates an empty table.
    pub fn new(timing: MemberTiming) -> MemberTable {
        MemberTable { timing, entries: BTreeMap::new() }
    }

    /// Stores a heartbeat that arrived at `now`. Returns false and ignores it if it is not newer
    /// than the last one of the same peer.
    pub fn record_heartbeat(&mut self, heartbeat: BoxHeartbeat, now: Moment) -> bool {
        let position = |beat: &BoxHeartbeat| (beat.incarnation, beat.sequence);
        let stale = self
            .entries
            .get(&heartbeat.from)
            .is_some_and(|entry| position(&entry.heartbeat) >= position(&heartbeat));
        if !stale {
            let from = heartbeat.from.clone();
            self.entries.insert(from, MemberEntry { received_at: now, heartbeat });
        }
        !stale
    }

    /// Returns the state of a peer.
    pub fn state(&self, peer: &BoxId, now: Moment) -> MemberState {
        let Some(entry) = self.entries.get(peer) else { return MemberState::Gone };
        let silent = now.since(entry.received_at);
        if silent >= self.timing.gone_after {
            MemberState::Gone
        } else if silent >= self.timing.suspect_after {
            MemberState::Suspect
        } else if entry.heartbeat.leaving {
            MemberState::Leaving
        } else {
            MemberState::Live
        }
    }

    /// Returns the last heartbeat of each peer that is not gone.
    pub fn heartbeats(&self, now: Moment) -> impl Iterator<Item = &BoxHeartbeat> {
        self.entries
            .values()
            .filter(move |entry| now.since(entry.received_at) < self.timing.gone_after)
            .map(|entry| &entry.heartbeat)
    }

    /// Returns every peer that takes new work, sorted by id.
    pub fn live(&self, now: Moment) -> Vec<BoxId> {
        self.entries
            .keys()
            .filter(|peer| self.state(peer, now) == MemberState::Live)
            .cloned()
            .collect()
    }

    /// Returns every peer that ever sent a heartbeat, with its state and the next offset that it
    /// will apply, sorted by id.
    pub fn states(&self, now: Moment) -> Vec<(BoxId, MemberState, Offset)> {
        self.entries
            .iter()
            .map(|(peer, entry)| (peer.clone(), self.state(peer, now), entry.heartbeat.applied))
            .collect()
    }
}
