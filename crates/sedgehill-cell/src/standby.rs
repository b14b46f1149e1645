//! Which boxes follow everything, so that each of them could lead.
//!
//! What the lead records is passed on in full to these alone; all others are told states of jobs
//! ([`crate::summary`]). Each box fed in full costs the lead's link as much as the store does. With 96 of
//! them on a cell of 540 workers some 180 Mbit/s went into feeding, of 200 that the link carried.

use std::collections::BTreeMap;
use std::fmt;
use std::str::FromStr;

use quick_error::quick_error;
use sedgehill_core::units::{Moment, TimeSpan};

use crate::authority::BoxStrength;
use crate::scheduler::HelperId;

/// Boxes that stand by in any case: one may be lost together with the lead.
const STANDBYS_LEAST: usize = 2;
/// The most boxes that stand by. Of eight, one outlives the loss of half of all boxes but once in 256.
const STANDBYS_MOST: usize = 8;
/// The part of the lead's link that feeding in full may take, in thousandths: orders and accounts of a
/// busy cell take about a third.
const FEED_PERMILLE: u64 = 200;
/// Time over which the rate of feeding is measured.
const RATE_SPAN: TimeSpan = TimeSpan(2_000);
/// The part of the lead's link that telling states to all other boxes may take, in thousandths. Beyond it they ask
/// for each state that a caller wants. Telling costs by jobs times boxes, asking by what callers ask.
const TELL_PERMILLE: u64 = 100;
/// The part below which states are told again, once that was so for a calm time.
const TELL_AGAIN_PERMILLE: u64 = 50;
/// Telling a box begins with the states of all jobs. So much of a second of the lead's link may that take for all
/// boxes together, in thousandths. After a restart of 300 boxes with 36,000 jobs it would take eight seconds.
const TELL_ALL_PERMILLE: u64 = 500;
/// Bytes of one job among the states of all.
const BRIEF_BYTES: u64 = 20;
/// A box that begins to stand by reads all jobs from the store, so none begins in vain.
const CALM: TimeSpan = TimeSpan(5_000);

/// What a box's link carries, in megabits a second.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct LinkRate(u64);

/// More than any link carries.
const RATE_MOST: f64 = 1_000_000_000.0;

quick_error! {
    /// Why a text is no rate of a link.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum LinkRateError {
        /// The text is no number of megabits a second.
        Malformed(found: String) {
            display("expected megabits a second, above 0, such as `200`, found `{found}`")
        }
    }
}

impl LinkRate {
    /// A rate of so many bytes a second.
    pub const fn from_bytes_per_second(bytes: u64) -> LinkRate {
        LinkRate(bytes)
    }

    /// Bytes a second.
    pub fn bytes_per_second(self) -> u64 {
        self.0
    }
}

impl FromStr for LinkRate {
    type Err = LinkRateError;

    fn from_str(text: &str) -> Result<LinkRate, LinkRateError> {
        const BYTES_PER_MEGABIT: f64 = 125_000.0;
        let malformed = || LinkRateError::Malformed(text.to_owned());
        let megabits: f64 = text.parse().map_err(|_| malformed())?;
        match megabits > 0.0 && megabits <= RATE_MOST {
            true => Ok(LinkRate((megabits * BYTES_PER_MEGABIT) as u64)),
            false => Err(malformed()),
        }
    }
}

impl fmt::Display for LinkRate {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} Mbit/s", self.0 as f64 / 125_000.0)
    }
}

/// One box with a link to the lead.
#[derive(Debug, Clone, Copy)]
struct StandbyEntry {
    strength: BoxStrength,
    stands_by: bool,
}

/// The boxes with links to the lead, and which of them stand by.
#[derive(Debug)]
pub struct StandbySet {
    link: LinkRate,
    entries: BTreeMap<HelperId, StandbyEntry>,
    /// Bytes passed on in full to one box since the measurement began.
    measured: (Moment, u64),
    /// Bytes a second, measured.
    rate: u64,
    /// The same for what is told, or would be, to a box that does not stand by.
    told: (Moment, u64),
    told_rate: u64,
    /// Whether states are told, and since when.
    tells: bool,
    tells_since: Moment,
    /// When the lead began.
    began: Moment,
    /// How many boxes may stand by, and since when.
    limit: usize,
    limited: Moment,
}

impl StandbySet {
    /// The set of a box that begins to lead, whose link carries `link`. `tells` says whether the lead before it
    /// told states.
    pub fn new(link: LinkRate, tells: bool, now: Moment) -> StandbySet {
        StandbySet {
            link,
            entries: BTreeMap::new(),
            measured: (now, 0),
            rate: 0,
            told: (now, 0),
            told_rate: 0,
            tells,
            tells_since: now,
            began: now,
            limit: STANDBYS_MOST,
            limited: now,
        }
    }

    /// A box has a link.
    pub fn join(&mut self, helper: HelperId, strength: BoxStrength) {
        self.entries.insert(helper, StandbyEntry { strength, stands_by: false });
    }

    /// A box has none any more.
    pub fn leave(&mut self, helper: HelperId) {
        self.entries.remove(&helper);
    }

    /// Whether a box stands by.
    pub fn contains(&self, helper: HelperId) -> bool {
        self.entries.get(&helper).is_some_and(|entry| entry.stands_by)
    }

    /// Notes bytes that were passed on in full, counted once for all boxes.
    pub fn note_records(&mut self, bytes: usize, now: Moment) {
        if let Some(rate) = measure(&mut self.measured, bytes, now) {
            self.rate = rate;
        }
    }

    /// Notes bytes of states that were told, or would have been, counted once for all boxes.
    pub fn note_summaries(&mut self, bytes: usize, now: Moment) {
        if let Some(rate) = measure(&mut self.told, bytes, now) {
            self.told_rate = rate;
        }
    }

    /// Whether states are told to the boxes that do not stand by.
    pub fn sends_summaries(&self) -> bool {
        self.tells
    }

    /// Whether the lead has led for long enough that the others have found it.
    fn settled(&self, now: Moment) -> bool {
        now.since(self.began) >= CALM
    }

    /// Decides whether states are told, of `known_jobs` jobs. Returns whether that changed. A cell of 300 boxes and 1,000 jobs a second
    /// would fill four fifths of a link of 200 Mbit/s with them.
    pub fn decide_summaries(&mut self, known_jobs: usize, now: Moment) -> bool {
        let others = self.entries.values().filter(|entry| !entry.stands_by).count() as u64;
        let cost = self.told_rate * others;
        let part = |permille: u64| self.link.bytes_per_second() * permille / 1000;
        let whole = known_jobs as u64 * BRIEF_BYTES * others;
        let affordable = whole <= part(TELL_ALL_PERMILLE);
        let calm = now.since(self.tells_since) >= CALM;
        // Boxes that come to a lead in its first moments know nothing, as after a restart of all.
        // So few cost less than the records that go to those that stand by.
        let few = others <= STANDBYS_MOST as u64;
        let tells = few
            || match self.tells {
                true => cost <= part(TELL_PERMILLE) && (affordable || self.settled(now)),
                false => calm && affordable && cost < part(TELL_AGAIN_PERMILLE),
            };
        let costly = !self.tells && cost >= part(TELL_AGAIN_PERMILLE);
        let changed = tells != self.tells;
        if changed || costly {
            self.tells_since = now;
        }
        self.tells = tells;
        changed
    }

    /// How many boxes the link can feed.
    fn allowed(&self) -> usize {
        let budget = self.link.bytes_per_second() * FEED_PERMILLE / 1000;
        let affordable = budget.checked_div(self.rate).unwrap_or(u64::MAX);
        usize::try_from(affordable).unwrap_or(usize::MAX).clamp(STANDBYS_LEAST, STANDBYS_MOST)
    }

    /// Fewer may stand by at once, more only after a calm time.
    fn adjust_limit(&mut self, now: Moment) {
        let allowed = self.allowed();
        let calm = now.since(self.limited) >= CALM;
        if allowed < self.limit || (allowed > self.limit && calm) {
            self.limit = allowed;
            self.limited = now;
        }
    }

    /// Decides who stands by. Returns the boxes for which that changed, with whether they do now. The
    /// strongest stand by; one of two alike stays as it is.
    pub fn choose(&mut self, now: Moment) -> Vec<(HelperId, bool)> {
        self.adjust_limit(now);
        let mut ranked: Vec<(HelperId, StandbyEntry)> =
            self.entries.iter().map(|(helper, entry)| (*helper, *entry)).collect();
        ranked.sort_by_key(|(helper, entry)| {
            (std::cmp::Reverse((entry.strength, entry.stands_by)), *helper)
        });
        let mut changes = Vec::new();
        for (place, (helper, entry)) in ranked.into_iter().enumerate() {
            let stands_by = place < self.limit;
            if stands_by != entry.stands_by {
                changes.push((helper, stands_by));
            }
        }
        for (helper, stands_by) in &changes {
            if let Some(entry) = self.entries.get_mut(helper) {
                entry.stands_by = *stands_by;
            }
        }
        changes
    }
}

/// Adds bytes to a measurement. Returns the rate, in bytes a second, once its span is over.
fn measure(measured: &mut (Moment, u64), bytes: usize, now: Moment) -> Option<u64> {
    let (since, sum) = measured;
    *sum += bytes as u64;
    let span = now.since(*since);
    if span < RATE_SPAN {
        return None;
    }
    let rate = *sum * 1000 / span.as_millis();
    *measured = (now, 0);
    Some(rate)
}
