//! Decides when a box may claim, renew and act under the lead of a data hall.
//!
//! The holder measures its term from the time at which it *sent* the claim or renewal that the log
//! accepted. Another box measures it from the time at which it *read* that record, and adds a
//! margin for clock drift and for messages still in transit. Since a record is read after it was
//! sent, the other box's wait ends after the holder's term, even if either of them was suspended
//! meanwhile: both use a clock that also runs during suspension ([`Moment`]).

use crate::ids::{BoxId, Epoch, HallName, Offset};
use crate::state::HallLead;
use crate::units::{Moment, TimeSpan};

/// Durations of the lead protocol. All boxes must use the same values.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LeadTiming {
    /// How long a claim or renewal is valid.
    pub term: TimeSpan,
    /// How long a claimant waits after the end of the last term.
    pub margin: TimeSpan,
    /// Interval of the holder's renewals, and minimum interval between a box's records.
    pub renew_every: TimeSpan,
    /// Additional wait of a claimant for each box that ranks before it.
    pub stagger: TimeSpan,
}

/// A lead held by this box.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct HeldLead {
    /// Epoch of the lead.
    pub epoch: Epoch,
    /// End of the current term. The box may act under the lead only before this time.
    pub until: Moment,
}

/// The record that the box should append next.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LeadAction {
    /// No record.
    Wait,
    /// A claim, which the log accepts only if the lead has not changed since `after`.
    Claim {
        /// Offset of the last claim, renewal or release that was read; `None` if there is none.
        after: Option<Offset>,
    },
    /// A renewal of the held lead.
    Renew {
        /// Epoch of the lead.
        epoch: Epoch,
    },
}

/// Tracks the lead of one data hall for one box.
#[derive(Debug)]
pub struct LeadTimer {
    hall: HallName,
    own_id: BoxId,
    timing: LeadTiming,
    /// The lead in the log and the time at which it was first read in this state.
    last_read: Option<(HallLead, Moment)>,
    /// Time at which the log was first read.
    first_read_at: Option<Moment>,
    held: Option<HeldLead>,
    /// Time at which the last claim or renewal was sent.
    last_sent: Option<Moment>,
}

impl LeadTimer {
    /// Creates a timer for the lead of `hall` at the box `own_id`.
    pub fn new(hall: HallName, own_id: BoxId, timing: LeadTiming) -> LeadTimer {
        LeadTimer {
            hall,
            own_id,
            timing,
            last_read: None,
            first_read_at: None,
            held: None,
            last_sent: None,
        }
    }

    /// Returns the data hall.
    pub fn hall(&self) -> &HallName {
        &self.hall
    }

    /// Records the lead according to the log, read at `now`. Ends the held lead if another epoch
    /// began or the lead was released.
    pub fn observe(&mut self, lead: Option<&HallLead>, now: Moment) {
        self.first_read_at.get_or_insert(now);
        let Some(lead) = lead else { return };
        let unchanged = self.last_read.as_ref().is_some_and(|(read, _)| read == lead);
        if !unchanged {
            self.last_read = Some((lead.clone(), now));
        }
        if self.held.is_some_and(|held| held.epoch != lead.epoch || lead.released) {
            self.held = None;
        }
    }

    /// Records that the log accepted a claim or renewal of this box that was first sent at `sent`.
    ///
    /// Has no effect if the lead that was read last is not this box's under `epoch`.
    pub fn record_confirmation(&mut self, epoch: Epoch, sent: Moment) {
        let until = sent.after(self.timing.term);
        let current = self.last_read.as_ref().map(|(lead, _)| (lead.epoch, &lead.holder));
        if current != Some((epoch, &self.own_id)) {
            return;
        }
        match self.held.as_mut().filter(|held| held.epoch == epoch) {
            Some(held) => held.until = held.until.max(until),
            None => self.held = Some(HeldLead { epoch, until }),
        }
    }

    /// Records that a claim or renewal was sent to the log at `now`.
    pub fn record_sent(&mut self, now: Moment) {
        self.last_sent = Some(now);
    }

    /// Returns the lead under which the box may act at `now`.
    pub fn held_at(&self, now: Moment) -> Option<HeldLead> {
        self.held.filter(|held| now < held.until)
    }

    /// Returns the record to append at `now`. `rank` is the number of boxes that are preferred to
    /// this one as the holder.
    pub fn next_action(&self, rank: usize, now: Moment) -> LeadAction {
        let recently_sent = |sent: Moment| now.since(sent) < self.timing.renew_every;
        if self.last_sent.is_some_and(recently_sent) {
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

    /// Returns the time from which this box may claim; `None` before it has read the log.
    fn claimable_from(&self, rank: usize) -> Option<Moment> {
        let stagger = TimeSpan(self.timing.stagger.0 * rank as u64);
        let from = match &self.last_read {
            None => self.first_read_at?,
            Some((lead, read)) if lead.released => *read,
            Some((_, read)) => read.after(self.timing.term).after(self.timing.margin),
        };
        Some(from.after(stagger))
    }
}
