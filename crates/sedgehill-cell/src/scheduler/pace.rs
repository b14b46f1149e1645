//! Learns how fast workers are from the durations of their runs.
//!
//! Callers' estimates are rough, and biased differently for each queue. The logarithm of the ratio
//! of actual to estimated time is therefore averaged per queue first. A worker's average then
//! covers its deviation from the queues' averages.

use sedgehill_core::units::TimeSpan;

/// The least weight of a new observation, so that a change shows within some ten runs.
const MIN_WEIGHT: f64 = 0.12;
/// The durations of shorter runs depend more on calls than on the worker.
const MIN_RUN_SPAN: TimeSpan = TimeSpan(50);
/// The number of observations before an average is used.
const MIN_OBSERVATIONS: u32 = 4;
/// Observations are limited to this factor in either direction, since a single estimate may be off
/// by far more.
const MAX_FACTOR: f64 = 8.0;

/// A running average of factors, taken over their logarithms.
#[derive(Debug, Clone, Copy, Default)]
pub struct FactorAverage {
    mean: f64,
    count: u32,
}

impl FactorAverage {
    /// Returns the average as a factor; 1 until there are enough observations.
    pub fn factor(&self) -> f64 {
        match self.count >= MIN_OBSERVATIONS {
            true => self.mean.exp(),
            false => 1.0,
        }
    }

    /// Adds an observed factor.
    pub fn observe(&mut self, factor: f64) {
        self.count = self.count.saturating_add(1);
        let weight = MIN_WEIGHT.max(1.0 / f64::from(self.count));
        let value = factor.clamp(1.0 / MAX_FACTOR, MAX_FACTOR).ln();
        self.mean += weight * (value - self.mean);
    }
}

/// Returns the ratio of a run's duration to its estimate; none if either is too short to be
/// meaningful.
pub fn run_factor(taken: TimeSpan, estimate: TimeSpan) -> Option<f64> {
    let is_meaningful = taken >= MIN_RUN_SPAN && estimate >= MIN_RUN_SPAN;
    is_meaningful.then(|| taken.0 as f64 / estimate.0 as f64)
}
