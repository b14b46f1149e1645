//! The data halls that operators have emptied: nothing new starts on their workers until they are back in use.
//!
//! The store keeps one request for each emptied hall under a key of its own, and taking the hall back removes the key.
//! Requests therefore need no version of their own: they take effect in the order of the store's log.

use std::collections::{BTreeMap, BTreeSet};

use sedgehill_core::units::Moment;

use crate::ids::HallName;

/// A change in the use of a hall.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum HallChange {
    /// Nothing new may start there.
    Emptied(HallName),
    /// It is back in use.
    BackInUse(HallName),
}

/// The emptied halls, as far as this box has read the operators' requests.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct EmptiedHalls {
    /// The emptied halls, and when this box learned of each.
    since: BTreeMap<HallName, Moment>,
    /// The offset up to which requests were read.
    read_to: u64,
}

impl EmptiedHalls {
    /// Applies a request to empty a hall. Returns the change, if there is one.
    pub fn empty(&mut self, hall: HallName, now: Moment) -> Option<HallChange> {
        if self.since.contains_key(&hall) {
            return None;
        }
        self.since.insert(hall.clone(), now);
        Some(HallChange::Emptied(hall))
    }

    /// Takes a hall back into use. Returns the change, if there is one.
    pub fn take_back(&mut self, hall: &HallName) -> Option<HallChange> {
        self.since.remove(hall).map(|_| HallChange::BackInUse(hall.clone()))
    }

    /// Replaces all requests by a complete list, which was read up to `end`. A list that is older than what is known
    /// changes nothing, so that a delayed answer of the store does not undo a newer request.
    pub fn replace(
        &mut self,
        emptied: BTreeSet<HallName>,
        end: u64,
        now: Moment,
    ) -> Vec<HallChange> {
        if end < self.read_to {
            return Vec::new();
        }
        self.read_to = end;
        let gone: Vec<HallName> =
            self.since.keys().filter(|hall| !emptied.contains(hall)).cloned().collect();
        let taken_back = gone.iter().filter_map(|hall| self.take_back(hall)).collect::<Vec<_>>();
        let added = emptied.into_iter().filter_map(|hall| self.empty(hall, now));
        taken_back.into_iter().chain(added.collect::<Vec<_>>()).collect()
    }

    /// Notes that all requests up to the offset `end` were applied.
    pub fn note_read(&mut self, end: u64) {
        self.read_to = self.read_to.max(end);
    }

    /// Returns whether a hall is emptied.
    pub fn contains(&self, hall: &HallName) -> bool {
        self.since.contains_key(hall)
    }

    /// Returns whether no hall is emptied.
    pub fn is_empty(&self) -> bool {
        self.since.is_empty()
    }

    /// Returns the emptied halls, and when this box learned of each.
    pub fn iter(&self) -> impl Iterator<Item = (&HallName, Moment)> {
        self.since.iter().map(|(hall, since)| (hall, *since))
    }
}
