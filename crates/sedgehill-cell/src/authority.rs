//! The election of the box that leads the cell, and the time for which it may give orders.
//!
//! The lead is the box with the last claim in the leads topic of the store. Claims and renewals are appended
//! on the condition that the topic has not moved meanwhile, so two boxes never hold the same token. A lead
//! gives orders only for [`AuthorityTiming::term`] after it sent its last successful renewal. Workers refuse
//! a token lower than one they have seen, so a claim may be made before the term of the earlier lead has
//! ended: [`crate::scheduler`] describes what a new lead waits for.

use std::fmt;
use std::str::FromStr;

use quick_error::quick_error;
use serde::{Deserialize, Serialize};

use sedgehill_core::units::{Moment, TimeSpan};

use crate::ids::{BoxName, FencingToken};
use crate::standby::LinkRate;
use crate::stored::decode_with_defaults;

/// A claim, a renewal or a resignation, as stored in the leads topic.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeadRecord {
    /// The token of the lead.
    pub token: FencingToken,
    /// The box that leads.
    pub holder: BoxName,
    /// A random number that identifies the process of the holder.
    pub life: u64,
    /// The address at which other boxes connect to the holder.
    pub peer_address: String,
    /// The strength of the holder.
    pub strength: BoxStrength,
    /// Whether the holder has resigned. It gives no further orders, so any box may claim the lead at once.
    pub resigned: bool,
    /// Whether no lead before this one can give orders any more.
    pub predecessors_expired: bool,
    /// The first of the leads up to this one that all record where they start long-running tasks before they start
    /// them; none from a version that may not.
    ///
    /// This field and the one before it were added last: earlier versions ignore them, and their records are decoded
    /// without them.
    pub locations_since: Option<FencingToken>,
}

/// The encoded [`LeadRecord::predecessors_expired`] of records without it: earlier leads may still give orders.
const PREDECESSORS_NOT_EXPIRED: u8 = 0;
/// The encoded [`LeadRecord::locations_since`] of records without it.
const NO_LOCATIONS_SINCE: u8 = 0;

impl LeadRecord {
    /// Returns the stored form of the record.
    pub fn encode(&self) -> Vec<u8> {
        postcard::to_stdvec(self).expect("every lead record can be encoded")
    }

    /// Decodes a record from its stored form.
    pub fn decode(value: &[u8]) -> Result<LeadRecord, postcard::Error> {
        decode_with_defaults(value, &[PREDECESSORS_NOT_EXPIRED, NO_LOCATIONS_SINCE])
    }
}

/// The timing of claims and renewals. It must satisfy `renew_interval < unreachable_timeout < silence_timeout` and
/// `renew_interval < term`.
#[derive(Debug, Clone, Copy)]
pub struct AuthorityTiming {
    /// The time between two renewals.
    pub renew_interval: TimeSpan,
    /// How long a lead may give orders after it sent its last successful renewal.
    pub term: TimeSpan,
    /// How long nothing is heard from a lead that cannot be reached directly before another box claims the lead.
    pub unreachable_timeout: TimeSpan,
    /// How long nothing is heard from the lead, even if it can be reached, before another box claims the lead.
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

/// The processing power of a box for the work of the lead, in thousandths of a core. Stronger boxes lead.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct BoxStrength(pub u32);

quick_error! {
    /// The error of parsing a strength.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum StrengthError {
        /// The text is not a number of cores.
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
        match cores.is_finite() && (0.0..=MAX_CORES).contains(&cores) {
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
    /// Returns the strength of a box whose link rate is `link`. The work that uses a full core also needs a share of
    /// the link, so a slow link limits the strength.
    pub fn bounded_by(self, link: LinkRate) -> BoxStrength {
        let by_link = link.bytes_per_second() / LINK_BYTES_PER_MILLICORE;
        BoxStrength(self.0.min(u32::try_from(by_link).unwrap_or(u32::MAX)))
    }

    /// Returns whether a box of this strength should hand the lead over to one of strength `other`. A hand-over stops
    /// the placement of tasks for some tens of milliseconds, so `other` must be much stronger.
    pub fn yields_to(self, other: BoxStrength) -> bool {
        u64::from(other.0) * 1000 > u64::from(self.0) * YIELD_RATIO_PERMILLE
    }
}

/// Bytes per second that a lead sends and receives for each thousandth of a core that it uses. The busiest of 97
/// boxes used 25 % of a core and transferred 5.1 MB/s.
const LINK_BYTES_PER_MILLICORE: u64 = 20_000;
/// Highest accepted number of cores: more than any box has.
const MAX_CORES: f64 = 1_000_000.0;
/// A lead yields to a box whose strength is more than this many thousandths of its own.
const YIELD_RATIO_PERMILLE: u64 = 1_500;

/// How recently the newest lead was heard from, and whether it can be reached.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LeadLiveness {
    /// When the lead was last heard from. For a record of this box, when it was sent.
    pub last_heard: Moment,
    /// Whether this box has a link to the lead, over which the lead reports that the store answers it.
    pub reachable: bool,
    /// Whether the lead refused a connection, so that its process is presumed gone.
    pub gone: bool,
}

/// The view of one box on the election: who leads, and whether this box may give orders or should claim the lead.
#[derive(Debug, Clone)]
pub struct LeadWatch {
    name: BoxName,
    life: u64,
    strength: BoxStrength,
    /// The strength of the strongest box that is known.
    strongest: BoxStrength,
    /// The last record with the highest token.
    newest: Option<LeadRecord>,
    /// When the newest lead was last heard from.
    last_heard: Moment,
    /// Whether the newest lead can be reached over the link between boxes, and the store answers it.
    reachable: bool,
    /// By how much the store currently delays renewals on their way to this box.
    store_lag: TimeSpan,
    /// Until when this box may give orders; none if it has stepped down or has read a later claim.
    authority_until: Option<Moment>,
    /// The offset at which the leads topic ended after the last record of this box.
    own_record_end: u64,
    /// The life of the holder that refused a connection.
    refused_life: Option<u64>,
    /// When this box last claimed the lead because a connection was refused.
    claimed_after_refusal: Option<Moment>,
}

impl LeadWatch {
    /// Creates the watch of a box that has read no record yet. `life` is a number that each process draws at random.
    pub fn new(name: BoxName, life: u64, strength: BoxStrength, now: Moment) -> LeadWatch {
        LeadWatch {
            name,
            life,
            strength,
            strongest: strength,
            newest: None,
            last_heard: now,
            reachable: false,
            store_lag: TimeSpan(0),
            authority_until: None,
            own_record_end: 0,
            refused_life: None,
            claimed_after_refusal: None,
        }
    }

    /// Notes the strength of another box.
    pub fn note_strength(&mut self, strength: BoxStrength) {
        self.strongest = self.strongest.max(strength);
    }

    /// Returns the strength of the strongest known box.
    pub fn strongest(&self) -> BoxStrength {
        self.strongest
    }

    /// Returns the strength of this box.
    pub fn strength(&self) -> BoxStrength {
        self.strength
    }

    /// Returns the newest record: the last one with the highest token.
    pub fn newest(&self) -> Option<&LeadRecord> {
        self.newest.as_ref()
    }

    /// Returns the liveness of the newest lead at `now`.
    pub fn liveness(&self, now: Moment) -> LeadLiveness {
        LeadLiveness {
            last_heard: self.last_heard,
            reachable: self.reachable,
            gone: self.is_presumed_gone(now),
        }
    }

    /// Returns until when this box may give orders, which may be in the past; none if it has stepped down or has read
    /// a later claim.
    pub fn authority_until(&self) -> Option<Moment> {
        self.authority_until
    }

    /// Notes a record of the leads topic that was read at `now`.
    pub fn note_record(&mut self, record: LeadRecord, now: Moment) {
        let is_newer = self.newest.as_ref().is_none_or(|newest| record.token >= newest.token);
        if !is_newer {
            return;
        }
        if record.life != self.life || record.resigned {
            self.authority_until = None;
        }
        self.newest = Some(record);
        self.last_heard = now;
    }

    /// Notes that the store kept a record of this box, sent at `sent`, as the last one before offset `end`. Returns
    /// whether the record is still the newest.
    ///
    /// The answer of the store may arrive after a later claim was read. If the record were taken as the newest then,
    /// this box would give orders beside its successor, and claim with the successor's own token.
    pub fn note_own_record(
        &mut self,
        record: LeadRecord,
        sent: Moment,
        end: u64,
        timing: &AuthorityTiming,
    ) -> bool {
        self.own_record_end = self.own_record_end.max(end);
        let is_overtaken = |newest: &LeadRecord| {
            newest.token > record.token
                || (newest.token == record.token && newest.life != record.life)
        };
        if self.newest.as_ref().is_some_and(is_overtaken) {
            return false;
        }
        if self.is_presumed_gone(sent) {
            self.claimed_after_refusal = Some(sent);
        }
        self.last_heard = sent;
        self.authority_until = (!record.resigned).then(|| sent.after(timing.term));
        self.newest = Some(record);
        true
    }

    /// Notes that the store kept an append under this box's token that was sent at `sent`.
    ///
    /// The store does so only until a later lead has fenced the token. So the append extends the authority like a
    /// renewal: a later lead gives no orders before it has fenced earlier tokens, and counts the term of this lead
    /// from then on. A lead thus keeps its authority even while the leads topic cannot be written.
    pub fn note_fenced_append(
        &mut self,
        token: FencingToken,
        sent: Moment,
        timing: &AuthorityTiming,
    ) {
        let is_current =
            self.is_holder() && self.newest.as_ref().is_some_and(|own| own.token == token);
        if is_current {
            self.authority_until = self.authority_until.max(Some(sent.after(timing.term)));
        }
    }

    /// Notes that the lead reported on the link that the store answers it.
    pub fn note_lead_healthy(&mut self, now: Moment) {
        self.reachable = true;
        self.last_heard = now;
    }

    /// Returns the offset at which the leads topic ended after the last record of this box; 0 before the first.
    pub fn own_record_end(&self) -> u64 {
        self.own_record_end
    }

    /// Notes whether the lead can be reached over the link between boxes.
    pub fn note_reachable(&mut self, reachable: bool) {
        self.reachable = reachable;
    }

    /// Notes by how much the store currently delays renewals on their way to this box.
    pub fn note_store_lag(&mut self, lag: TimeSpan) {
        self.store_lag = lag;
    }

    /// Notes that the address of the newest holder refused a connection: its process is gone, or the network path is
    /// broken in a way that refuses connections.
    pub fn note_connection_refused(&mut self) {
        self.refused_life = self.newest.as_ref().map(|record| record.life);
    }

    /// Returns whether the newest holder is presumed gone at `now`. A broken path also refuses connections, and two
    /// boxes would take the lead from each other again and again, so a box claims the lead for this reason at most
    /// once per [`REFUSAL_CLAIM_INTERVAL`].
    fn is_presumed_gone(&self, now: Moment) -> bool {
        let refusal_counts =
            self.claimed_after_refusal.is_none_or(|at| now >= at.after(REFUSAL_CLAIM_INTERVAL));
        refusal_counts
            && self.refused_life.is_some()
            && self.refused_life == self.newest.as_ref().map(|record| record.life)
    }

    /// Gives up the authority to give orders.
    pub fn step_down(&mut self) {
        self.authority_until = None;
    }

    /// Returns the token under which this box may give orders at `now`; none if it may not.
    pub fn authority(&self, now: Moment) -> Option<FencingToken> {
        self.authority_until.filter(|until| now < *until)?;
        self.newest.as_ref().map(|record| record.token)
    }

    /// Returns whether this box holds the newest claim, even if its authority has lapsed.
    pub fn is_holder(&self) -> bool {
        self.newest.as_ref().is_some_and(|record| record.life == self.life && !record.resigned)
    }

    /// Returns whether an earlier lead may still give orders after the next claim of this box.
    ///
    /// The newest holder gives none if it resigned or was this box: a box runs one process, which has either given up
    /// the lead or exited. But the lead before the newest may, unless the newest record says that the terms of all
    /// earlier leads are over. Without this rule a claim whose answer was lost would hide the lead before it, and
    /// tasks of that lead would be started elsewhere 2.4 s before their leases have surely ended.
    pub fn has_predecessor(&self) -> bool {
        let Some(newest) = &self.newest else { return false };
        let is_over = newest.resigned || newest.holder == self.name;
        !(is_over && newest.predecessors_expired)
    }

    /// Returns whether this box should claim the lead at `now`. `rank` delays the claim by `RANK_DELAY` for each unit.
    /// Each box draws its rank at random, so several boxes seldom claim at the same time.
    pub fn should_claim(&self, now: Moment, rank: u64, timing: &AuthorityTiming) -> bool {
        let Some(newest) = &self.newest else {
            return now.since(self.last_heard).as_millis() >= rank * RANK_DELAY.as_millis();
        };
        if self.is_holder() {
            return false;
        }
        let silent_ms = now.since(self.last_heard).as_millis();
        // A box runs one process, so the holder of a record of this box from an earlier life has exited. The other
        // boxes still wait for that holder, so this box does not compete with them.
        let held_by_this_box = newest.holder == self.name;
        let vacant = newest.resigned || held_by_this_box || self.is_presumed_gone(now);
        let rank = if held_by_this_box { 0 } else { rank };
        let timeout = match (vacant, self.reachable) {
            (true, _) => TimeSpan(0),
            // Renewals that a slow store delays do not count as silence.
            (false, true) => TimeSpan(timing.silence_timeout.0 + self.store_lag.0),
            (false, false) => TimeSpan(timing.unreachable_timeout.0 + self.store_lag.0),
        };
        let yield_delay = match self.strength.yields_to(self.strongest) {
            true => WEAKER_BOX_DELAY,
            false => TimeSpan(0),
        };
        silent_ms >= timeout.as_millis() + yield_delay.as_millis() + rank * RANK_DELAY.as_millis()
    }

    /// Returns whether the newest lead is so much stronger that this box would yield to it.
    pub fn is_weaker_than_lead(&self) -> bool {
        let newest = self.newest.as_ref();
        newest.is_some_and(|newest| self.strength.yields_to(newest.strength))
    }

    /// Returns for how long after its start this box leaves it to others to read the records that a lead needs. `rank`
    /// spreads boxes of the same strength. `hears_lead` tells whether there is a link to a lead, which answers questions
    /// for the states of jobs and sends them all sooner or later.
    ///
    /// If all boxes restart, the last holder claims at once, and every other box waits for a second before it claims.
    /// When they all read at once, the reads of the next lead queued behind theirs: in a cell of 588 boxes nothing was
    /// started for 3 s after the lead had claimed.
    pub fn read_deferral(&self, rank: u64, hears_lead: bool) -> TimeSpan {
        match &self.newest {
            Some(_) if hears_lead => LINKED_READ_DEFERRAL,
            Some(_) if self.is_weaker_than_lead() => WEAKER_READ_DEFERRAL,
            Some(newest) if newest.holder != self.name => {
                TimeSpan(READ_DEFERRAL.0 + rank * RANK_DELAY.0)
            }
            _ => TimeSpan(0),
        }
    }

    /// Returns the record with which this box claims the lead after the newest record.
    pub fn next_claim(&self, peer_address: &str) -> LeadRecord {
        let last = self.newest.as_ref().map_or(FencingToken(0), |record| record.token);
        let token = last.next_lead();
        let earlier = self.newest.as_ref().and_then(|record| record.locations_since);
        LeadRecord {
            token,
            locations_since: Some(earlier.unwrap_or(token)),
            holder: self.name.clone(),
            life: self.life,
            peer_address: peer_address.to_owned(),
            strength: self.strength,
            predecessors_expired: !self.has_predecessor(),
            resigned: false,
        }
    }
}

/// How long a box that is much weaker than the last lead leaves it to others to read the records that a lead needs. If
/// all boxes restart, the strong ones need about a second to lead.
const WEAKER_READ_DEFERRAL: TimeSpan = TimeSpan(2_500);
/// How long a box with a link to a lead does so. If it was sent no states by then, it reads them from the store.
const LINKED_READ_DEFERRAL: TimeSpan = TimeSpan(10_000);
/// How long any other box does so that did not hold the lead last, before its rank. This is shorter than the silence of
/// a lead after which other boxes claim.
const READ_DEFERRAL: TimeSpan = TimeSpan(500);
/// Delay per rank before a claim, so that boxes that find the lead gone at the same time seldom race.
const RANK_DELAY: TimeSpan = TimeSpan(40);
/// Minimum time between two claims of a box that are due to refused connections. A lost lead is also noticed without
/// a refused connection, after [`AuthorityTiming::unreachable_timeout`] of one second.
const REFUSAL_CLAIM_INTERVAL: TimeSpan = TimeSpan(10_000);
/// Further delay of the claim of a box that knows a much stronger one. It is longer than the claims of all strong
/// boxes take, and costs less than a lead that is too weak.
const WEAKER_BOX_DELAY: TimeSpan = TimeSpan(600);
