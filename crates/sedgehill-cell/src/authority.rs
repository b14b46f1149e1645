//! Which box leads the cell, and until when it may give orders.
//!
//! A lead is the box whose claim stands last in the store's lead topic. Claims and renewals are
//! appended on the condition that nothing came in between, so two boxes never hold one token. A
//! lead gives orders only for [`AuthorityTiming::term`] after it sent its last successful renewal.
//! Workers refuse a token lower than one they have seen, so a claim may come early: what a new lead
//! must wait for is stated in [`crate::scheduler`].

use std::fmt;
use std::str::FromStr;

use quick_error::quick_error;
use serde::{Deserialize, Serialize};

use sedgehill_core::units::{Moment, TimeSpan};

use crate::ids::{BoxName, FencingToken};
use crate::standby::LinkRate;
use crate::stored::decode_with_defaults;

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
    /// What the holder can bear.
    pub strength: BoxStrength,
    /// The holder gives no further orders: any box may follow at once.
    pub resigned: bool,
    /// No lead before this one can give orders any more. It stands last: boxes of versions without it read the
    /// rest, and theirs are read without it.
    pub predecessors_expired: bool,
}

/// What stands for [`LeadRecord::predecessors_expired`] if a record ends before it: leads before it may give orders.
const SOLE_MISSING: u8 = 0;

impl LeadRecord {
    /// The stored form of the record.
    pub fn encode(&self) -> Vec<u8> {
        postcard::to_stdvec(self).expect("a lead record has no types that cannot be encoded")
    }

    /// Reads a record back.
    pub fn decode(value: &[u8]) -> Result<LeadRecord, postcard::Error> {
        decode_with_defaults(value, &[SOLE_MISSING])
    }
}

/// Times of claims and renewals. They must satisfy `renew_interval < unreachable_timeout < silence_timeout` and
/// `renew_interval < term`.
#[derive(Debug, Clone, Copy)]
pub struct AuthorityTiming {
    /// Time between two renewals.
    pub renew_interval: TimeSpan,
    /// How long after the sending of its last successful renewal a lead may give orders.
    pub term: TimeSpan,
    /// Silence after which a lead that cannot be reached directly is followed.
    pub unreachable_timeout: TimeSpan,
    /// Silence after which a lead is followed in any case.
    pub silence_timeout: TimeSpan,
}

impl Default for AuthorityTiming {
    fn default() -> AuthorityTiming {
        AuthorityTiming {
            renew_interval: TimeSpan(400),
            term: TimeSpan(2_400),
            unreachable_timeout: TimeSpan(1_000),
            silence_timeout: TimeSpan(2_800),
        }
    }
}

/// What a box can bear, in thousandths of a core.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct BoxStrength(pub u32);

quick_error! {
    /// Why a text is no strength.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum StrengthError {
        /// The text is no number of cores.
        Malformed(found: String) {
            display("expected a number of cores such as `0.25`, found `{found}`")
        }
    }
}

impl FromStr for BoxStrength {
    type Err = StrengthError;

    fn from_str(text: &str) -> Result<BoxStrength, StrengthError> {
        let malformed = || StrengthError::Malformed(text.to_owned());
        let cores: f64 = text.parse().map_err(|_| malformed())?;
        match cores.is_finite() && (0.0..=MOST_CORES).contains(&cores) {
            true => Ok(BoxStrength((cores * 1000.0).round() as u32)),
            false => Err(malformed()),
        }
    }
}

impl fmt::Display for BoxStrength {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}m", self.0)
    }
}

impl BoxStrength {
    /// What a box can bear whose link carries `link`: work that takes a core in full takes so much of a
    /// link too.
    pub fn bounded_by(self, link: LinkRate) -> BoxStrength {
        let by_link = link.bytes_per_second() / LINK_BYTES_PER_MILLICORE;
        BoxStrength(self.0.min(u32::try_from(by_link).unwrap_or(u32::MAX)))
    }

    /// Whether a box of this strength should give the lead to one of strength `other`. Handing over
    /// costs some tens of milliseconds of placing, so it must be worth it.
    pub fn yields_to(self, other: BoxStrength) -> bool {
        u64::from(other.0) * 1000 > u64::from(self.0) * YIELD_PERMILLE
    }
}

/// Bytes a second that a lead moves for each thousandth of a core that it takes: 25 % of a core and
/// 5.1 MB/s, the busiest box of 97.
const LINK_BYTES_PER_MILLICORE: u64 = 20_000;
/// More cores than any box has.
const MOST_CORES: f64 = 1_000_000.0;
/// A lead yields to a box that is at least so much stronger, in thousandths of its own strength.
const YIELD_PERMILLE: u64 = 1_500;

/// The last sign of the newest lead.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LeadLiveness {
    /// When it came, or for an own record when that was sent.
    pub last_heard: Moment,
    /// Whether there is a link to the lead, and the store answers it.
    pub reachable: bool,
    /// Whether nothing listens at its address.
    pub gone: bool,
}

/// What a box knows of who leads.
#[derive(Debug, Clone)]
pub struct LeadWatch {
    name: BoxName,
    life: u64,
    strength: BoxStrength,
    strongest: BoxStrength,
    newest: Option<LeadRecord>,
    heard: Moment,
    reachable: bool,
    store_lag: TimeSpan,
    authority_until: Option<Moment>,
    own_record_end: u64,
    /// The life of a holder at whose address nothing listens.
    gone: Option<u64>,
    followed_gone: Option<Moment>,
}

impl LeadWatch {
    /// The watch of a box that has read nothing yet. `life` is drawn anew by each process.
    pub fn new(name: BoxName, life: u64, strength: BoxStrength, now: Moment) -> LeadWatch {
        LeadWatch {
            name,
            life,
            strength,
            strongest: strength,
            newest: None,
            heard: now,
            reachable: false,
            store_lag: TimeSpan(0),
            authority_until: None,
            own_record_end: 0,
            gone: None,
            followed_gone: None,
        }
    }

    /// Notes that there is a box of this strength.
    pub fn note_strength(&mut self, strength: BoxStrength) {
        self.strongest = self.strongest.max(strength);
    }

    /// The strength of the strongest box that was heard of.
    pub fn strongest(&self) -> BoxStrength {
        self.strongest
    }

    /// The strength of this box.
    pub fn strength(&self) -> BoxStrength {
        self.strength
    }

    /// The newest record.
    pub fn newest(&self) -> Option<&LeadRecord> {
        self.newest.as_ref()
    }

    /// The last sign of the newest lead, as it counts at `now`.
    pub fn liveness(&self, now: Moment) -> LeadLiveness {
        LeadLiveness { last_heard: self.heard, reachable: self.reachable, gone: self.is_gone(now) }
    }

    /// Until when this box may give orders, which may be in the past; none if it has given up, or has read
    /// a later claim.
    pub fn authority_until(&self) -> Option<Moment> {
        self.authority_until
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

    /// Notes that an own record, sent at `sent`, stands in the store as the last one before `end`. Returns whether
    /// it is still the newest.
    ///
    /// The answer may be heard after a later claim was read. Taken for the newest then, the record would have this
    /// box order beside its successor, and claim with the successor's own token.
    pub fn note_own_record(
        &mut self,
        record: LeadRecord,
        sent: Moment,
        end: u64,
        timing: &AuthorityTiming,
    ) -> bool {
        self.own_record_end = self.own_record_end.max(end);
        let overtaken = |newest: &LeadRecord| {
            newest.token > record.token
                || (newest.token == record.token && newest.life != record.life)
        };
        if self.newest.as_ref().is_some_and(overtaken) {
            return false;
        }
        if self.is_gone(sent) {
            self.followed_gone = Some(sent);
        }
        self.heard = sent;
        self.authority_until = (!record.resigned).then(|| sent.after(timing.term));
        self.newest = Some(record);
        true
    }

    /// Notes that the store kept something under this box's token, sent at `sent`, which it does only as
    /// long as no later lead has fenced it. That extends the authority like a renewal: a later lead gives
    /// no orders before it has fenced, and counts the term of this one from then on. So a lead goes on
    /// though the topic of leads cannot be written.
    pub fn note_fenced_append(
        &mut self,
        token: FencingToken,
        sent: Moment,
        timing: &AuthorityTiming,
    ) {
        let current =
            self.is_holder() && self.newest.as_ref().is_some_and(|own| own.token == token);
        if current {
            self.authority_until = self.authority_until.max(Some(sent.after(timing.term)));
        }
    }

    /// Notes that the lead said on the link that the store answers it.
    pub fn note_lead_healthy(&mut self, now: Moment) {
        self.reachable = true;
        self.heard = now;
    }

    /// Where the topic ended after the last own record; 0 before the first.
    pub fn own_record_end(&self) -> u64 {
        self.own_record_end
    }

    /// Notes whether the lead answers on the link between boxes.
    pub fn note_reachable(&mut self, reachable: bool) {
        self.reachable = reachable;
    }

    /// Notes how much later than usual renewals arrive by way of the store.
    pub fn note_store_lag(&mut self, lag: TimeSpan) {
        self.store_lag = lag;
    }

    /// Notes that nothing listens at the address of the newest holder: its process is gone, or a path
    /// is broken in a way that refuses connections.
    pub fn note_connection_refused(&mut self) {
        self.gone = self.newest.as_ref().map(|record| record.life);
    }

    /// Whether the newest holder is taken as gone at `now`. A broken path gives the same sign and would
    /// have two boxes follow each other again and again, so the sign counts only now and then.
    fn is_gone(&self, now: Moment) -> bool {
        let counts = self.followed_gone.is_none_or(|at| now >= at.after(GONE_AGAIN));
        counts && self.gone.is_some() && self.gone == self.newest.as_ref().map(|record| record.life)
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

    /// Whether an earlier lead may still give orders after the next claim of this box.
    ///
    /// The newest holder gives none if it resigned, or was this box: a box runs one process, which has ended
    /// its lead or its life. But a lead before it may, unless that lead's term was over in its time. Otherwise
    /// a claim whose answer was lost would hide the lead before it, and its tasks would begin elsewhere 2.4 s
    /// before their leases have surely ended.
    pub fn has_predecessor(&self) -> bool {
        let Some(newest) = &self.newest else { return false };
        let is_over = newest.resigned || newest.holder == self.name;
        !(is_over && newest.predecessors_expired)
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
        // A box runs one process, so a record of an earlier life of this box has no living holder. The
        // others still wait for that life, so this box does not race them.
        let own_earlier = newest.holder == self.name;
        let vacant = newest.resigned || own_earlier || self.is_gone(now);
        let rank = if own_earlier { 0 } else { rank };
        let patience = match (vacant, self.reachable) {
            (true, _) => TimeSpan(0),
            // A lead whose renewals take their time in a slow store is not a silent one.
            (false, true) => TimeSpan(timing.silence_timeout.0 + self.store_lag.0),
            (false, false) => TimeSpan(timing.unreachable_timeout.0 + self.store_lag.0),
        };
        let courtesy = match self.strength.yields_to(self.strongest) {
            true => WEAK_DELAY,
            false => TimeSpan(0),
        };
        silent >= patience.as_millis() + courtesy.as_millis() + rank * RANK_DELAY.as_millis()
    }

    /// Whether the last lead was so much stronger that this box leaves the lead to boxes like that.
    pub fn is_weaker_than_lead(&self) -> bool {
        let newest = self.newest.as_ref();
        newest.is_some_and(|newest| self.strength.yields_to(newest.strength))
    }

    /// The claim that would follow the newest record.
    pub fn next_claim(&self, peer_address: &str) -> LeadRecord {
        let last = self.newest.as_ref().map_or(FencingToken(0), |record| record.token);
        LeadRecord {
            token: last.next_lead(),
            holder: self.name.clone(),
            life: self.life,
            peer_address: peer_address.to_owned(),
            strength: self.strength,
            predecessors_expired: !self.has_predecessor(),
            resigned: false,
        }
    }
}

/// Time between the claims of two boxes that both find the lead gone, so that they seldom race.
const RANK_DELAY: TimeSpan = TimeSpan(40);
/// A box follows a lead for the sign that it is gone at most this often. A lost lead is followed after a
/// second without the sign as well.
const GONE_AGAIN: TimeSpan = TimeSpan(10_000);
/// How much longer a box waits with its claim that knows of a much stronger one: longer than the
/// claims of all strong boxes take, and short beside what a lead that is too weak would cost.
const WEAK_DELAY: TimeSpan = TimeSpan(600);
