//! How often workers crash by themselves.
//!
//! A task that runs alone on a worker may be there when that crashes for another reason. Where that is rare, one crash
//! of a worker that a suspect had for itself is enough to take it as the cause. Where workers crash often, two are
//! asked for: with a worker in 48 that crashed by itself each 1.5 s, and one job in a hundred that crashed its workers,
//! one of 3,564 innocent jobs was given up by one such crash, and none by two.

use std::collections::VecDeque;

use sedgehill_core::units::{Moment, TimeSpan};

use crate::ids::WorkerLife;

/// Crashes count for so long.
const CRASH_WINDOW: TimeSpan = TimeSpan(60_000);
/// The chance that a worker crashes by itself under one run, above which two crashes are asked for, in thousandths.
const CHANCE_PERMILLE: u64 = 2;
/// A run is taken to last so long at the least: its start and the time until its end is heard belong to it.
const MIN_RUN_SPAN: TimeSpan = TimeSpan(500);

/// Workers that crashed lately, but for those with a task on which another one had crashed as well.
#[derive(Debug, Default)]
pub struct BackgroundCrashes {
    crashes: VecDeque<(Moment, WorkerLife)>,
}

impl BackgroundCrashes {
    /// A worker crashed.
    pub fn note(&mut self, life: WorkerLife, now: Moment) {
        self.crashes.retain(|(at, other)| now < at.after(CRASH_WINDOW) && *other != life);
        self.crashes.push_back((now, life));
    }

    /// A worker crashed under a task that had lost another one: most likely by its doing.
    pub fn remove_explained(&mut self, life: &WorkerLife) {
        self.crashes.retain(|(_, other)| other != life);
    }

    /// How many crashes with a task alone tell that it is the cause, where `workers` live.
    pub fn required_alone_crashes(&self, workers: usize, run: TimeSpan, now: Moment) -> usize {
        let recent =
            self.crashes.iter().filter(|(at, _)| now < at.after(CRASH_WINDOW)).count() as u64;
        let run = run.0.max(MIN_RUN_SPAN.0);
        let often = recent * run * 1_000 > CHANCE_PERMILLE * CRASH_WINDOW.0 * workers as u64;
        if often { 2 } else { 1 }
    }
}
