//! Chooses among workers of different speed. An order never leaves out a worker: whoever has room
//! is used if nothing better is free.

use super::speeds::LogFactor;

/// Workers are similar if the slower one takes at most this many times as long. It is between the
/// differences that estimates of equal workers show and those that [`super::PoolSpread`] acts on.
const SIMILAR_RATIO: f64 = 1.5;
/// Added to the order of workers that are too slow for a step, which puts them last.
const TOO_SLOW: i64 = 1 << 20;

/// Which workers a step should get.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum SpeedPreference {
    /// The fastest first: the step is urgent.
    Fastest,
    /// The slowest first on which it still ends in time, so that fast workers stay free for urgent
    /// steps; then the fastest of the rest.
    SlowestUpTo(LogFactor),
}

impl SpeedPreference {
    /// Returns the place of a worker in the order, the lowest first. Similar workers have the same
    /// place. `fastest` is the speed of the fast workers of the pool.
    pub fn place_of(self, speed: LogFactor, fastest: LogFactor) -> i64 {
        let group = ((speed.0 - fastest.0) / SIMILAR_RATIO.ln()).round() as i64;
        match self {
            SpeedPreference::Fastest => group,
            SpeedPreference::SlowestUpTo(limit) if speed <= limit => -group,
            SpeedPreference::SlowestUpTo(_) => TOO_SLOW + group,
        }
    }
}

/// Room for members of a gang on one worker.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct GangRoom {
    /// The speed of the worker.
    pub speed: LogFactor,
    /// The number of members that fit.
    pub places: usize,
}

/// Returns the order in which a gang of `needed` members should use rooms, as their indexes. All
/// members wait for the slowest one.
///
/// - If it may use slow workers, the slowest similar ones up to the limit that can hold it.
/// - Otherwise the fastest similar ones, provided that no mixed choice would end sooner.
/// - If similar workers cannot hold it, the choice whose slowest member is the fastest possible. It
///   uses the slow ones among them first.
///
/// Rooms that are equal in this respect keep their order, and the rooms that are not chosen follow.
pub fn gang_order(rooms: &[GangRoom], needed: usize, preference: SpeedPreference) -> Vec<usize> {
    if needed == 0 {
        return (0..rooms.len()).collect();
    }
    let sorted = SortedRooms::new(rooms);
    let Some(enough) = sorted.enough_at(needed) else { return (0..rooms.len()).collect() };
    let slow = match preference {
        SpeedPreference::Fastest => None,
        SpeedPreference::SlowestUpTo(limit) => sorted.slowest_similar(needed, limit),
    };
    let mut is_chosen = vec![false; rooms.len()];
    let chosen = match slow.or_else(|| sorted.fastest_similar(needed, enough)) {
        Some((from, to)) => {
            let mut chosen = sorted.indexes[from..to].to_vec();
            chosen.sort_unstable();
            chosen
        }
        None => sorted.indexes[..=enough].iter().rev().copied().collect(),
    };
    chosen.iter().for_each(|index| is_chosen[*index] = true);
    let rest = (0..rooms.len()).filter(|index| !is_chosen[*index]);
    chosen.iter().copied().chain(rest).collect()
}

/// Rooms by speed, the fastest first.
struct SortedRooms {
    indexes: Vec<usize>,
    speeds: Vec<f64>,
    /// The places of all rooms before each one, and of all.
    sums: Vec<usize>,
}

impl SortedRooms {
    fn new(rooms: &[GangRoom]) -> SortedRooms {
        let mut indexes: Vec<usize> = (0..rooms.len()).collect();
        indexes.sort_by(|one, other| rooms[*one].speed.0.total_cmp(&rooms[*other].speed.0));
        let speeds = indexes.iter().map(|index| rooms[*index].speed.0).collect();
        let mut sums = vec![0usize];
        for index in &indexes {
            // Tasks that need nothing fit any number of times.
            sums.push(sums[sums.len() - 1].saturating_add(rooms[*index].places));
        }
        SortedRooms { indexes, speeds, sums }
    }

    /// Returns the first room up to which a gang fits.
    fn enough_at(&self, needed: usize) -> Option<usize> {
        let count = self.sums.partition_point(|sum| *sum < needed);
        (count < self.sums.len()).then(|| count.saturating_sub(1))
    }

    fn holds(&self, from: usize, to: usize, needed: usize) -> bool {
        self.sums[to] - self.sums[from] >= needed
    }

    fn slowest_similar(&self, needed: usize, limit: LogFactor) -> Option<(usize, usize)> {
        let allowed = self.speeds.partition_point(|speed| *speed <= limit.0);
        let window = |to: usize| {
            let least = self.speeds[to - 1] - SIMILAR_RATIO.ln();
            (self.speeds.partition_point(|speed| *speed < least), to)
        };
        (1..=allowed).rev().map(window).find(|(from, to)| self.holds(*from, *to, needed))
    }

    fn fastest_similar(&self, needed: usize, enough: usize) -> Option<(usize, usize)> {
        let window = |from: usize| {
            let most = self.speeds[from] + SIMILAR_RATIO.ln();
            (from, self.speeds.partition_point(|speed| *speed <= most))
        };
        let reaching = (0..=enough).map(window).filter(|(_, to)| *to > enough);
        reaching.into_iter().find(|(from, to)| self.holds(*from, *to, needed))
    }
}
