//! Which box leads the cell, and until when it may give orders.
//!
//! A lead is the box whose claim stands last in the store's lead topic. Claims and renewals are
//! appended on the condition that nothing came in between, so two boxes never hold one token. A
//! lead gives orders only for [`AuthorityTiming::term`] after it sent its last successful renewal.
//! Workers refuse a token lower than one they have seen, so a claim may come early: what a new lead
//! must wait for is stated in [`crate::scheduler`].

use serde::{Deserialize, Serialize};

use sedgehill_core::units::{Moment, TimeSpan};

use crate::ids::{BoxName, FencingToken};

/// A claim, a renewal or a resignation.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeadRecord {
    /// The token of the lead.
    pub token: FencingToken,
    /// The box that leads.
    pub holder: BoxName,
    /// One life of the holder's process.
    pub life: u64,
    /// Where other boxes reach the holder.
    pub peer_address: String,
    /// The holder gives no further orders: any box may follow at once.
    pub resigned: bool,
}

impl LeadRecord {
    /// The stored form of the record.
    pub fn encode(&self) -> Vec<u8> {
        postcard::to_stdvec(self).expect("a lead record has no types that cannot be encoded")
    }

    /// Reads a record back.
    pub fn decode(value: &[u8]) -> Result<LeadRecord, postcard::Error> {
        postcard::from_bytes(value)
    }
}

/// Times of claims and renewals. They must satisfy `renew < suspect < silence` and `renew < term`.
#[derive(Debug, Clone, Copy)]
pub struct AuthorityTiming {
    /// Time between two renewals.
    pub renew: TimeSpan,
    /// How long after the sending of its last successful renewal a lead may give orders.
    pub term: TimeSpan,
    /// Silence after which a lead that cannot be reached directly is followed.
    pub suspect: TimeSpan,
    /// Silence after which a lead is followed in any case.
    pub silence: TimeSpan,
}

impl Default for AuthorityTiming {
    fn default() -> AuthorityTiming {
        AuthorityTiming {
            renew: TimeSpan(400),
            term: TimeSpan(2_400),
            suspect: TimeSpan(1_000),
            silence: TimeSpan(2_800),
        }
    }
}

/// What a box knows of who leads.
#[derive(Debug, Clone)]
pub struct LeadWatch {
    name: BoxName,
    life: u64,
    newest: Option<LeadRecord>,
    heard: Moment,
    reachable: bool,
    authority_until: Option<Moment>,
}

impl LeadWatch {
    /// The watch of a box that has read nothing yet. `life` is drawn anew by each process.
    pub fn new(name: BoxName, life: u64, now: Moment) -> LeadWatch {
        LeadWatch { name, life, newest: None, heard: now, reachable: false, authority_until: None }
    }

    /// The newest record.
    pub fn newest(&self) -> Option<&LeadRecord> {
        self.newest.as_ref()
    }

    /// Takes in a record of the lead topic, read at `now`.
    pub fn note_record(&mut self, record: LeadRecord, now: Moment) {
        let newer = self.newest.as_ref().is_none_or(|newest| record.token >= newest.token);
        if !newer {
            return;
        }
        if record.life != self.life || record.resigned {
            self.authority_until = None;
        }
        self.newest = Some(record);
        self.heard = now;
    }

    /// Notes that an own record, sent at `sent`, stands in the store.
    pub fn note_own(&mut self, record: LeadRecord, sent: Moment, timing: &AuthorityTiming) {
        self.heard = sent;
        self.authority_until = (!record.resigned).then(|| sent.after(timing.term));
        self.newest = Some(record);
    }

    /// Notes whether the lead answers on the link between boxes.
    pub fn note_reachable(&mut self, reachable: bool) {
        self.reachable = reachable;
    }

    /// Gives up any authority.
    pub fn step_down(&mut self) {
        self.authority_until = None;
    }

    /// The token under which this box may give orders at `now`.
    pub fn authority(&self, now: Moment) -> Option<FencingToken> {
        self.authority_until.filter(|until| now < *until)?;
        self.newest.as_ref().map(|record| record.token)
    }

    /// Whether this box holds the newest claim, with or without authority at the moment.
    pub fn is_holder(&self) -> bool {
        self.newest.as_ref().is_some_and(|record| record.life == self.life && !record.resigned)
    }

    /// Whether this box should claim the lead at `now`; `rank` counts the boxes before it.
    pub fn should_claim(&self, now: Moment, rank: u64, timing: &AuthorityTiming) -> bool {
        let Some(newest) = &self.newest else {
            return now.since(self.heard).as_millis() >= rank * RANK_DELAY.as_millis();
        };
        if self.is_holder() {
            return false;
        }
        let silent = now.since(self.heard).as_millis();
        // A box runs one process, so a record of an earlier life of this box has no living holder.
        let vacant = newest.resigned || newest.holder == self.name;
        let patience = match (vacant, self.reachable) {
            (true, _) => TimeSpan(0),
            (false, true) => timing.silence,
            (false, false) => timing.suspect,
        };
        silent >= patience.as_millis() + rank * RANK_DELAY.as_millis()
    }

    /// The claim that would follow the newest record.
    pub fn next_claim(&self, peer_address: &str) -> LeadRecord {
        let last = self.newest.as_ref().map_or(FencingToken(0), |record| record.token);
        LeadRecord {
            token: FencingToken(last.0 + 1),
            holder: self.name.clone(),
            life: self.life,
            peer_address: peer_address.to_owned(),
            resigned: false,
        }
    }
}

/// Time between the claims of two boxes that both find the lead gone, so that they seldom race.
const RANK_DELAY: TimeSpan = TimeSpan(40);
