//! When a box may claim, renew and act under the lead of a data hall.
//!
//! The holder counts its term from the moment it *sent* the renewal that the log accepted; a
//! claimant counts from the moment it *read* that renewal, and adds a margin for drift between
//! clocks and for messages still under way. Since a record is read after it was sent, the
//! claimant's wait ends after the holder's term, whatever either of them slept through: both count
//! on a clock that runs during suspension ([`Moment`]).

use crate::ids::{BoxId, Epoch, HallName, Offset};
use crate::state::HallLead;
use crate::units::{Moment, TimeSpan};

/// The times that all boxes must agree on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LeadTiming {
    /// How long a claim or renewal lasts.
    pub term: TimeSpan,
    /// What a claimant waits beyond the term.
    pub margin: TimeSpan,
    /// How often the holder renews.
    pub renew_every: TimeSpan,
    /// What a box waits more for each box that is preferred to it.
    pub stagger: TimeSpan,
}

/// A lead that this box holds.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct HeldLead {
    /// The term.
    pub epoch: Epoch,
    /// The box may act before this moment only.
    pub until: Moment,
}

/// What the box should append.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LeadAction {
    /// Nothing now.
    Wait,
    /// A claim that holds only if nothing came after this offset.
    Claim {
        /// The last claim, renewal or release that was read.
        after: Option<Offset>,
    },
    /// A renewal.
    Renew {
        /// The term.
        epoch: Epoch,
    },
}

/// One box's view of the lead of one hall.
#[derive(Debug)]
pub struct LeadTimer {
    hall: HallName,
    me: BoxId,
    timing: LeadTiming,
    last_read: Option<(HallLead, Moment)>,
    first_seen: Option<Moment>,
    held: Option<HeldLead>,
    sent: Option<Moment>,
}

impl LeadTimer {
    /// A timer for `hall` at box `me`.
    pub fn new(hall: HallName, me: BoxId, timing: LeadTiming) -> LeadTimer {
        LeadTimer { hall, me, timing, last_read: None, first_seen: None, held: None, sent: None }
    }

    /// The hall.
    pub fn hall(&self) -> &HallName {
        &self.hall
    }

    /// Notes what the log has of the lead, read at `now`.
    pub fn observe(&mut self, lead: Option<&HallLead>, now: Moment) {
        self.first_seen.get_or_insert(now);
        let Some(lead) = lead else { return };
        let known = self.last_read.as_ref().is_some_and(|(seen, _)| seen == lead);
        if !known {
            self.last_read = Some((lead.clone(), now));
        }
        if self.held.is_some_and(|held| held.epoch != lead.epoch || lead.released) {
            self.held = None;
        }
    }

    /// Notes that the log accepted a claim or renewal of this box that was first sent at `sent`.
    pub fn record_confirmation(&mut self, epoch: Epoch, sent: Moment) {
        let until = sent.after(self.timing.term);
        let current = self.last_read.as_ref().map(|(lead, _)| (lead.epoch, &lead.holder));
        if current != Some((epoch, &self.me)) {
            return;
        }
        match self.held.as_mut().filter(|held| held.epoch == epoch) {
            Some(held) => held.until = held.until.max(until),
            None => self.held = Some(HeldLead { epoch, until }),
        }
    }

    /// Notes that a claim or renewal was handed to the log at `now`.
    pub fn record_sent(&mut self, now: Moment) {
        self.sent = Some(now);
    }

    /// The lead under which the box may act at `now`.
    pub fn held_at(&self, now: Moment) -> Option<HeldLead> {
        self.held.filter(|held| now < held.until)
    }

    /// What to append at `now`, for a box that `rank` others are preferred to.
    pub fn next_action(&self, rank: usize, now: Moment) -> LeadAction {
        let recently_sent = |sent: Moment| now.since(sent) < self.timing.renew_every;
        if self.sent.is_some_and(recently_sent) {
            return LeadAction::Wait;
        }
        if let Some(held) = self.held_at(now) {
            return LeadAction::Renew { epoch: held.epoch };
        }
        match self.claimable_from(rank) {
            Some(from) if now >= from => {
                LeadAction::Claim { after: self.last_read.as_ref().map(|(lead, _)| lead.renewed) }
            }
            _ => LeadAction::Wait,
        }
    }

    /// When this box may claim; none before it has read the log.
    fn claimable_from(&self, rank: usize) -> Option<Moment> {
        let stagger = TimeSpan(self.timing.stagger.0 * rank as u64);
        let from = match &self.last_read {
            None => self.first_seen?,
            Some((lead, read)) if lead.released => *read,
            Some((_, read)) => read.after(self.timing.term).after(self.timing.margin),
        };
        Some(from.after(stagger))
    }
}
