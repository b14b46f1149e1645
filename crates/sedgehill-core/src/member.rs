//! What a box knows of its peers: a table fed by heartbeats and by the platform's lagging list.

use std::collections::BTreeMap;
use std::fmt;

use serde::{Deserialize, Serialize};

use crate::ids::{BoxId, EndpointId, HallName, Incarnation, Offset};
use crate::units::{Moment, ResourceSet, TimeSpan};

/// What a box tells its peers, several times a second.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct BoxHeartbeat {
    /// The sender.
    pub from: BoxId,
    /// The run of the sender's process.
    pub incarnation: Incarnation,
    /// Counts up within a run; an older heartbeat is ignored.
    pub sequence: u64,
    /// Whether the sender takes new work.
    pub leaving: bool,
    /// The next offset that the sender will apply.
    pub applied: Offset,
    /// Endpoints that the sender has heard are leaving.
    pub leaving_endpoints: Vec<EndpointId>,
    /// Room in the halls that the sender leads.
    #[serde(rename = "rooms")]
    pub capacities: Vec<HallCapacity>,
}

/// The free room of one hall, as its lead sees it. A hint for choosing a hall, never a promise.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HallCapacity {
    /// The hall.
    pub hall: HallName,
    /// The sum over its workers.
    pub total: ResourceSet,
    /// What is free of it.
    pub free: ResourceSet,
}

/// How sure a box is that a peer runs.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum MemberState {
    /// Heard of recently.
    Live,
    /// Asked to leave, still heard of.
    Leaving,
    /// Not heard of for a while.
    Suspect,
    /// Not heard of for long, or never.
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

/// After how long a silent peer changes state.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct MemberTiming {
    /// Silent for this long: suspect.
    pub suspect_after: TimeSpan,
    /// Silent for this long: gone.
    pub gone_after: TimeSpan,
}

#[derive(Debug, Clone)]
struct MemberEntry {
    heard: Moment,
    heartbeat: BoxHeartbeat,
}

/// The peers of one box.
#[derive(Debug)]
pub struct MemberTable {
    timing: MemberTiming,
    entries: BTreeMap<BoxId, MemberEntry>,
}

impl MemberTable {
    /// An empty table.
    pub fn new(timing: MemberTiming) -> MemberTable {
        MemberTable { timing, entries: BTreeMap::new() }
    }

    /// Takes a heartbeat that arrived at `now`; an older one than is held is ignored.
    pub fn record_heartbeat(&mut self, heartbeat: BoxHeartbeat, now: Moment) -> bool {
        let order = |beat: &BoxHeartbeat| (beat.incarnation, beat.sequence);
        let stale = self
            .entries
            .get(&heartbeat.from)
            .is_some_and(|entry| order(&entry.heartbeat) >= order(&heartbeat));
        if !stale {
            let from = heartbeat.from.clone();
            self.entries.insert(from, MemberEntry { heard: now, heartbeat });
        }
        !stale
    }

    /// The state of a peer.
    pub fn state(&self, peer: &BoxId, now: Moment) -> MemberState {
        let Some(entry) = self.entries.get(peer) else { return MemberState::Gone };
        let silent = now.since(entry.heard);
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

    /// The last heartbeat of each peer that is not gone.
    pub fn heartbeats(&self, now: Moment) -> impl Iterator<Item = &BoxHeartbeat> {
        self.entries
            .values()
            .filter(move |entry| now.since(entry.heard) < self.timing.gone_after)
            .map(|entry| &entry.heartbeat)
    }

    /// Every peer that takes new work, in order of name.
    pub fn live(&self, now: Moment) -> Vec<BoxId> {
        self.entries
            .keys()
            .filter(|peer| self.state(peer, now) == MemberState::Live)
            .cloned()
            .collect()
    }

    /// Every peer ever heard of with its state, in order of name.
    pub fn states(&self, now: Moment) -> Vec<(BoxId, MemberState, Offset)> {
        self.entries
            .iter()
            .map(|(peer, entry)| (peer.clone(), self.state(peer, now), entry.heartbeat.applied))
            .collect()
    }
}
