//! Decides whether the workers of a pool differ enough in speed to be told apart.

use super::speeds::{LogFactor, WorkerSpeed};

/// Speeds are taken into account if the slowest fifth of the workers takes at least this many times
/// as long as the fastest fifth. Objectives allow for 1.5 times the work and more, which absorbs
/// smaller differences.
pub const MIN_SPREAD_RATIO: f64 = 1.75;
/// Speeds that are taken into account are until the ratio is below this, so that a pool near the
/// threshold does not change its order of workers every few runs.
const END_SPREAD_RATIO: f64 = 1.6;
/// Speeds are not taken into account in larger pools. With 1,000 workers the order by speed served
/// less than the order without it, and with 3,000 the lead could no longer start what had room.
const MAX_WORKERS: usize = 500;
/// The workers are compared by this part of them at each end.
const FIFTH: usize = 5;
/// The mean of the largest fifth of many normally distributed values, in standard deviations.
const FIFTH_DEVIATIONS: f64 = 1.4;

/// How far the workers of a pool differ in speed.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct PoolSpread {
    /// The workers of the pool.
    pub workers: usize,
    /// The workers whose speed is known.
    pub known: usize,
    /// The known workers that take at least [`MIN_SPREAD_RATIO`] times as long as the fastest fifth.
    pub slow: usize,
    /// How many times as long the slowest fifth takes as the fastest one, less what the errors of the
    /// estimates explain; 1 if too few workers are known.
    pub ratio: f64,
    /// The mean speed of the fastest fifth.
    pub fastest: LogFactor,
    /// The mean speed of all known workers.
    pub centre: LogFactor,
}

impl PoolSpread {
    /// Compares the workers of a pool. At least five of them, and half of all, have to be known.
    pub fn of(workers: &[WorkerSpeed]) -> PoolSpread {
        let known: Vec<&WorkerSpeed> = workers.iter().filter(|worker| worker.is_known).collect();
        let mut speeds: Vec<f64> = known.iter().map(|worker| worker.speed.0).collect();
        let few = PoolSpread {
            workers: workers.len(),
            known: speeds.len(),
            ratio: 1.0,
            ..PoolSpread::default()
        };
        if speeds.len() < FIFTH || speeds.len() * 2 < workers.len() {
            return few;
        }
        speeds.sort_unstable_by(f64::total_cmp);
        let fifth = speeds.len() / FIFTH;
        let fastest = mean(&speeds[..fifth]);
        let gap = mean(&speeds[speeds.len() - fifth..]) - fastest;
        let squares: f64 = known.iter().map(|worker| worker.error * worker.error).sum();
        let noise = 2.0 * FIFTH_DEVIATIONS * (squares / known.len() as f64).sqrt();
        let slow_from = fastest + MIN_SPREAD_RATIO.ln();
        PoolSpread {
            slow: speeds.iter().filter(|speed| **speed >= slow_from).count(),
            ratio: (gap * gap - noise * noise).max(0.0).sqrt().exp(),
            fastest: LogFactor(fastest),
            centre: LogFactor(mean(&speeds)),
            ..few
        }
    }

    /// Whether the workers differ enough, given whether they did before, and are not too many.
    pub fn differs(&self, before: bool) -> bool {
        let least_ratio = if before { END_SPREAD_RATIO } else { MIN_SPREAD_RATIO };
        self.workers <= MAX_WORKERS && self.ratio >= least_ratio
    }
}

fn mean(values: &[f64]) -> f64 {
    values.iter().sum::<f64>() / values.len() as f64
}
