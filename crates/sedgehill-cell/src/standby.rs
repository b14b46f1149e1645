//! The choice of the boxes that stand by: they follow all records of the cell, so that each of them could lead.
//!
//! The lead passes its records on in full to these boxes only; all others get job summaries
//! ([`crate::summary`]). Each standby costs the lead's link as much as the store does. With 96 standbys in a
//! cell of 540 workers, the records took about 180 Mbit/s of a link of 200 Mbit/s.

use std::collections::BTreeMap;
use std::fmt;
use std::str::FromStr;

use quick_error::quick_error;
use sedgehill_core::units::{Moment, TimeSpan};

use crate::authority::BoxStrength;
use crate::scheduler::HelperId;

/// Standbys that are kept in any case: one may be lost together with the lead.
const MIN_STANDBYS: usize = 2;
/// Upper limit of standbys. If half of all boxes are lost, the chance that all of eight are among them is 1 in 256.
const MAX_STANDBYS: usize = 8;
/// Share of the lead's link for the records to all standbys, in thousandths. Orders to the workers of a busy cell
/// and their reports take about a third of the link.
const RECORDS_PERMILLE: u64 = 200;
/// Time over which send rates are measured.
const RATE_WINDOW: TimeSpan = TimeSpan(2_000);
/// Share of the lead's link for summaries to all boxes, in thousandths, above which they are no longer sent. The
/// boxes then ask for the state of a job when a caller wants it. Summaries cost jobs times boxes, while questions
/// cost as much as callers ask.
const MAX_SUMMARIES_PERMILLE: u64 = 100;
/// Share of the lead's link, in thousandths, below which summaries are sent again once the cost has stayed there for
/// [`CALM_TIME`].
const RESUME_SUMMARIES_PERMILLE: u64 = 50;
/// Share of one second of the lead's link, in thousandths, for a snapshot of all summaries to all boxes. Each box
/// gets a snapshot first. After a restart of 300 boxes with 36,000 jobs the snapshots would take eight seconds.
const SNAPSHOT_PERMILLE: u64 = 500;
/// Assumed size of one job in a snapshot of all summaries, in bytes.
const SUMMARY_BYTES: u64 = 20;
/// How long conditions must hold before more boxes stand by or summaries are resumed. A box that begins to stand by
/// reads all jobs from the store, so boxes should not switch back and forth.
const CALM_TIME: TimeSpan = TimeSpan(5_000);

/// The rate of a box's network link, in bytes per second; parsed and printed in megabits per second.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct LinkRate(u64);

/// Highest accepted link rate, in megabits per second: more than any link has.
const MAX_LINK_MBPS: f64 = 1_000_000_000.0;

quick_error! {
    /// The error of parsing a link rate.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum LinkRateError {
        /// The text is not a positive number of megabits per second.
        Malformed(found: String) {
            display("expected megabits a second, above 0, such as `200`, found `{found}`")
        }
    }
}

impl LinkRate {
    /// Creates a rate from bytes per second.
    pub const fn from_bytes_per_second(bytes: u64) -> LinkRate {
        LinkRate(bytes)
    }

    /// Returns the rate in bytes per second.
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
        match megabits > 0.0 && megabits <= MAX_LINK_MBPS {
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

/// A box with a link to the lead.
#[derive(Debug, Clone, Copy)]
struct StandbyEntry {
    strength: BoxStrength,
    stands_by: bool,
}

/// The boxes with a link to the lead, and which of them stand by.
#[derive(Debug)]
pub struct StandbySet {
    /// The link of the lead.
    link: LinkRate,
    entries: BTreeMap<HelperId, StandbyEntry>,
    /// The start of the current measurement of records, and the bytes sent to one standby since then.
    records_window: (Moment, u64),
    /// The measured rate of records to one standby, in bytes per second.
    records_rate: u64,
    /// The same as `records_window` for summaries, counted whether they are sent or not.
    summaries_window: (Moment, u64),
    /// The measured rate of summaries to one box, in bytes per second.
    summaries_rate: u64,
    /// Whether summaries are sent.
    sends_summaries: bool,
    /// When the sending of summaries was last switched, or last was too expensive to be resumed.
    summaries_calm_since: Moment,
    /// When this box began to lead.
    lead_since: Moment,
    /// The number of boxes that may stand by.
    max_standbys: usize,
    /// When `max_standbys` last changed.
    max_standbys_since: Moment,
}

impl StandbySet {
    /// Creates the set of a box with link rate `link` that begins to lead. `sends_summaries` says whether the
    /// lead before it sent summaries.
    pub fn new(link: LinkRate, sends_summaries: bool, now: Moment) -> StandbySet {
        StandbySet {
            link,
            entries: BTreeMap::new(),
            records_window: (now, 0),
            records_rate: 0,
            summaries_window: (now, 0),
            summaries_rate: 0,
            sends_summaries,
            summaries_calm_since: now,
            lead_since: now,
            max_standbys: MAX_STANDBYS,
            max_standbys_since: now,
        }
    }

    /// Adds a box that connected to the lead.
    pub fn join(&mut self, helper: HelperId, strength: BoxStrength) {
        self.entries.insert(helper, StandbyEntry { strength, stands_by: false });
    }

    /// Removes a box that lost its link to the lead.
    pub fn leave(&mut self, helper: HelperId) {
        self.entries.remove(&helper);
    }

    /// Returns whether a box stands by.
    pub fn contains(&self, helper: HelperId) -> bool {
        self.entries.get(&helper).is_some_and(|entry| entry.stands_by)
    }

    /// Notes bytes of records that were passed on, counted once for all standbys.
    pub fn note_records(&mut self, bytes: usize, now: Moment) {
        if let Some(rate) = measure(&mut self.records_window, bytes, now) {
            self.records_rate = rate;
        }
    }

    /// Notes bytes of summaries that were sent, or would have been, counted once for all boxes.
    pub fn note_summaries(&mut self, bytes: usize, now: Moment) {
        if let Some(rate) = measure(&mut self.summaries_window, bytes, now) {
            self.summaries_rate = rate;
        }
    }

    /// Returns whether summaries are sent to the boxes that do not stand by.
    pub fn sends_summaries(&self) -> bool {
        self.sends_summaries
    }

    /// Returns whether this box has led for long enough that the other boxes have connected.
    fn is_settled(&self, now: Moment) -> bool {
        now.since(self.lead_since) >= CALM_TIME
    }

    /// Decides whether summaries are sent, given the number of known jobs. Returns whether that changed.
    ///
    /// In a cell of 300 boxes and 1,000 jobs a second they would fill four fifths of a link of 200 Mbit/s.
    pub fn decide_summaries(&mut self, known_jobs: usize, now: Moment) -> bool {
        let receivers = self.entries.values().filter(|entry| !entry.stands_by).count() as u64;
        let cost = self.summaries_rate * receivers;
        let link_share = |permille: u64| self.link.bytes_per_second() * permille / 1000;
        let snapshot_bytes = known_jobs as u64 * SUMMARY_BYTES * receivers;
        let affordable = snapshot_bytes <= link_share(SNAPSHOT_PERMILLE);
        let calm = now.since(self.summaries_calm_since) >= CALM_TIME;
        // Boxes that connect in the first moments of a lead know nothing, as after a restart of all boxes, and need
        // a snapshot. A few receivers are always served: they cost less than the records to the standbys.
        let few = receivers <= MAX_STANDBYS as u64;
        let sends = few
            || match self.sends_summaries {
                true => {
                    cost <= link_share(MAX_SUMMARIES_PERMILLE)
                        && (affordable || self.is_settled(now))
                }
                false => calm && affordable && cost < link_share(RESUME_SUMMARIES_PERMILLE),
            };
        let costly = !self.sends_summaries && cost >= link_share(RESUME_SUMMARIES_PERMILLE);
        let changed = sends != self.sends_summaries;
        if changed || costly {
            self.summaries_calm_since = now;
        }
        self.sends_summaries = sends;
        changed
    }

    /// Returns the number of standbys that the link can serve, within the fixed limits.
    fn affordable_standbys(&self) -> usize {
        let budget = self.link.bytes_per_second() * RECORDS_PERMILLE / 1000;
        let affordable = budget.checked_div(self.records_rate).unwrap_or(u64::MAX);
        usize::try_from(affordable).unwrap_or(usize::MAX).clamp(MIN_STANDBYS, MAX_STANDBYS)
    }

    /// Lowers the number of standbys at once, and raises it only after a calm time.
    fn adjust_max_standbys(&mut self, now: Moment) {
        let affordable = self.affordable_standbys();
        let calm = now.since(self.max_standbys_since) >= CALM_TIME;
        if affordable < self.max_standbys || (affordable > self.max_standbys && calm) {
            self.max_standbys = affordable;
            self.max_standbys_since = now;
        }
    }

    /// Chooses the strongest boxes as standbys, and among equally strong ones those that stand by already.
    /// Returns the boxes for which that changed, with whether they stand by now.
    pub fn choose(&mut self, now: Moment) -> Vec<(HelperId, bool)> {
        self.adjust_max_standbys(now);
        let mut ranked: Vec<(HelperId, StandbyEntry)> =
            self.entries.iter().map(|(helper, entry)| (*helper, *entry)).collect();
        ranked.sort_by_key(|(helper, entry)| {
            (std::cmp::Reverse((entry.strength, entry.stands_by)), *helper)
        });
        let mut changes = Vec::new();
        for (rank, (helper, entry)) in ranked.into_iter().enumerate() {
            let stands_by = rank < self.max_standbys;
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

/// Adds bytes to a measurement. Returns the rate in bytes per second, and starts a new measurement, once
/// [`RATE_WINDOW`] has passed.
fn measure(window: &mut (Moment, u64), bytes: usize, now: Moment) -> Option<u64> {
    let (since, sum) = window;
    *sum += bytes as u64;
    let elapsed = now.since(*since);
    if elapsed < RATE_WINDOW {
        return None;
    }
    let rate = *sum * 1000 / elapsed.as_millis();
    *window = (now, 0);
    Some(rate)
}
