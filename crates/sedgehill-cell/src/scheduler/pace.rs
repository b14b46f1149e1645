//! How fast workers are, learned from how long runs take.
//!
//! Callers' estimates are rough, and rough in another way for each queue. The logarithm of taken over
//! estimated time is therefore averaged for each queue first, and what a worker differs from its
//! queues is averaged for the worker.

use sedgehill_core::units::TimeSpan;

/// The least weight of a new observation, so that a change shows within some ten runs.
const MIN_WEIGHT: f64 = 0.12;
/// Runs shorter than this say more about calls than about the worker.
const MIN_RUN_SPAN: TimeSpan = TimeSpan(50);
/// Observations before an average is used.
const MIN_OBSERVATIONS: u32 = 4;
/// One observation counts for at most this factor, in either direction: a single estimate may be off
/// by far more.
const MAX_FACTOR: f64 = 8.0;

/// A running average of logarithms of factors.
#[derive(Debug, Clone, Copy, Default)]
pub struct FactorAverage {
    mean: f64,
    count: u32,
}

impl FactorAverage {
    /// The average as a factor; 1 until enough was observed.
    pub fn factor(&self) -> f64 {
        match self.count >= MIN_OBSERVATIONS {
            true => self.mean.exp(),
            false => 1.0,
        }
    }

    /// Takes in an observed factor.
    pub fn observe(&mut self, factor: f64) {
        self.count = self.count.saturating_add(1);
        let weight = MIN_WEIGHT.max(1.0 / f64::from(self.count));
        let value = factor.clamp(1.0 / MAX_FACTOR, MAX_FACTOR).ln();
        self.mean += weight * (value - self.mean);
    }
}

/// What a finished run took compared with its estimate; none if it was too short to tell.
pub fn run_factor(taken: TimeSpan, estimate: TimeSpan) -> Option<f64> {
    let is_meaningful = taken >= MIN_RUN_SPAN && estimate >= MIN_RUN_SPAN;
    is_meaningful.then(|| taken.0 as f64 / estimate.0 as f64)
}
