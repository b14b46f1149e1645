//! Estimates how fast workers are from the durations of their runs.
//!
//! The logarithm of the ratio of actual to estimated time is the sum of a part of the queue, whose
//! callers bias their estimates alike, a part of the worker, and noise. Both parts are averaged over
//! the logarithms. All types here are values without references to the scheduler's state.

use std::fmt;

use sedgehill_core::units::TimeSpan;

/// The least weight of a new observation of a queue, so that a change shows within some ten runs.
const MIN_QUEUE_WEIGHT: f64 = 0.12;
/// The durations of shorter runs depend more on calls than on the worker.
const MIN_RUN_SPAN: TimeSpan = TimeSpan(50);
/// The number of observations before the average of a queue is used.
const MIN_QUEUE_RUNS: u32 = 4;
/// Observations are limited to this factor in either direction, since a single estimate may be off
/// by far more.
const MAX_FACTOR: f64 = 8.0;
/// An observation of a worker counts as at most this factor away from what is known of it. Three in
/// a hundred tasks take seven times as long on any worker, while slow workers take about twice as
/// long.
const MAX_STEP_FACTOR: f64 = 2.0;
/// The number of runs that the prior of a worker counts for.
const PRIOR_RUNS: f64 = 1.0;
/// The least weight of a new observation of a worker is one in this many runs, so that a worker that
/// turns slow is known to be slow after some ten runs.
const MAX_AVERAGED_RUNS: f64 = 8.0;
/// The most runs that the average of a worker counts for: the variance of an exponential average
/// over [`MAX_AVERAGED_RUNS`] is that of twice as many runs, less one.
const MAX_WEIGHT: f64 = 15.0;
/// A worker's speed is known after this many runs. One long task never decides it alone.
const MIN_KNOWN_WEIGHT: f64 = 3.0;
/// Estimates that rest on fewer runs are not recorded: the prior says as much.
const MIN_RECORDED_WEIGHT: f64 = 0.5;
/// The standard deviation of one observation, as a logarithm. The run times of tasks with equal
/// estimates spread by about half.
const RUN_DEVIATION: f64 = 0.35;
/// What is known of a worker counts half after this time without an observation.
const HALF_LIFE: TimeSpan = TimeSpan(600_000);
/// How far one observation moves the learned quantiles of a queue.
const QUANTILE_STEP: f64 = 0.05;
/// The share of runs below the lower quantile, and above the upper one.
const TAIL_SHARE: f64 = 0.1;
/// The standard deviations between the mean and the quantile of [`TAIL_SHARE`].
const TAIL_DEVIATIONS: f64 = 1.28;
/// The spread of run times before it has been learned.
const INITIAL_SPREAD: f64 = 1.5;
/// The least spread of run times that is assumed.
const MIN_SPREAD: f64 = 1.1;

/// The logarithm of a factor on run times: positive is slow.
#[derive(Debug, Clone, Copy, Default, PartialEq, PartialOrd)]
pub struct LogFactor(pub f64);

impl LogFactor {
    /// Returns the logarithm of a factor.
    pub fn of(factor: f64) -> LogFactor {
        LogFactor(factor.ln())
    }

    /// Returns the factor.
    pub fn factor(self) -> f64 {
        self.0.exp()
    }

    fn limited(self) -> LogFactor {
        let most = MAX_FACTOR.ln();
        LogFactor(self.0.clamp(-most, most))
    }
}

impl fmt::Display for LogFactor {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:.2}", self.factor())
    }
}

/// Returns the ratio of a run's duration to its estimate; none if either is too short to be
/// meaningful.
pub fn run_factor(taken: TimeSpan, estimate: TimeSpan) -> Option<LogFactor> {
    let is_meaningful = taken >= MIN_RUN_SPAN && estimate >= MIN_RUN_SPAN;
    is_meaningful.then(|| LogFactor::of(taken.0 as f64 / estimate.0 as f64).limited())
}

/// What is known of the speed of a worker, compared with the usual worker of its pool.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct WorkerSpeed {
    /// The expected factor on its run times.
    pub speed: LogFactor,
    /// The standard error of its logarithm.
    pub error: f64,
    /// Whether it rests on enough runs of this worker.
    pub is_known: bool,
}

impl WorkerSpeed {
    /// The pool's usual worker, which a forecast without a worker is for.
    pub const USUAL: WorkerSpeed =
        WorkerSpeed { speed: LogFactor(0.0), error: 0.0, is_known: false };
}

/// The average over the observed runs of one worker.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct SpeedEstimate {
    mean: f64,
    weight: f64,
}

impl SpeedEstimate {
    /// Restores an estimate from its parts. `weight` is the number of runs that it counts for.
    pub fn from_parts(mean: LogFactor, weight: f64) -> SpeedEstimate {
        SpeedEstimate { mean: mean.limited().0, weight: weight.clamp(0.0, MAX_WEIGHT) }
    }

    /// Returns the average over the runs alone, without a prior.
    pub fn mean(&self) -> LogFactor {
        LogFactor(self.mean)
    }

    /// Returns the number of runs that it counts for.
    pub fn weight(&self) -> f64 {
        self.weight
    }

    /// Whether it says more than the prior of an unknown worker, so that it is worth recording.
    pub fn is_recorded(&self) -> bool {
        self.weight >= MIN_RECORDED_WEIGHT
    }

    /// Whether it rests on enough runs.
    pub fn is_known(&self) -> bool {
        self.weight >= MIN_KNOWN_WEIGHT
    }

    /// Combines the average with what is assumed of the worker before its first run.
    pub fn posterior(&self, prior: LogFactor) -> WorkerSpeed {
        let total = PRIOR_RUNS + self.weight;
        WorkerSpeed {
            speed: LogFactor((PRIOR_RUNS * prior.0 + self.weight * self.mean) / total),
            error: RUN_DEVIATION / total.sqrt(),
            is_known: self.is_known(),
        }
    }

    /// Adds the factor of a run that ended.
    pub fn observe(&mut self, value: LogFactor, prior: LogFactor) {
        let known = self.posterior(prior).speed.0;
        let most = MAX_STEP_FACTOR.ln();
        let value = known + (value.0 - known).clamp(-most, most);
        let count = (self.weight + 1.0).min(MAX_AVERAGED_RUNS);
        self.mean = LogFactor(self.mean + (value - self.mean) / count).limited().0;
        self.weight = (self.weight + 1.0).min(MAX_WEIGHT);
    }

    /// Adds a run of which only a lower bound is known. It says nothing if less was expected.
    pub fn observe_at_least(&mut self, bound: LogFactor, prior: LogFactor) {
        if bound > self.posterior(prior).speed {
            self.observe(bound, prior);
        }
    }

    /// Adds a run of which only an upper bound is known.
    pub fn observe_at_most(&mut self, bound: LogFactor, prior: LogFactor) {
        if bound < self.posterior(prior).speed {
            self.observe(bound, prior);
        }
    }

    /// Returns the estimate after a time without observations.
    pub fn aged(self, age: TimeSpan) -> SpeedEstimate {
        let halvings = age.0 as f64 / HALF_LIFE.0 as f64;
        SpeedEstimate { weight: self.weight * 0.5f64.powf(halvings), ..self }
    }
}

/// What is known of the run times of a queue, compared with its callers' estimates.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct QueueEstimate {
    mean: f64,
    count: u32,
    /// The quantiles of the runs' deviations from the forecast.
    below: f64,
    above: f64,
}

impl Default for QueueEstimate {
    fn default() -> QueueEstimate {
        let spread = INITIAL_SPREAD.ln();
        QueueEstimate { mean: 0.0, count: 0, below: -spread, above: spread }
    }
}

impl QueueEstimate {
    /// Restores an estimate from its parts, which count as fully known.
    pub fn from_parts(mean: LogFactor, below: LogFactor, above: LogFactor) -> QueueEstimate {
        let (least, most) = (MIN_SPREAD.ln(), MAX_FACTOR.ln());
        QueueEstimate {
            mean: mean.limited().0,
            count: (1.0 / MIN_QUEUE_WEIGHT) as u32,
            below: below.0.clamp(-most, -least),
            above: above.0.clamp(least, most),
        }
    }

    /// Whether there are enough observations.
    pub fn is_known(&self) -> bool {
        self.count >= MIN_QUEUE_RUNS
    }

    /// Returns the usual factor on the callers' estimates; 1 until there are enough observations.
    pub fn usual(&self) -> LogFactor {
        LogFactor(if self.is_known() { self.mean } else { 0.0 })
    }

    /// Returns the deviation that one run in ten stays below.
    pub fn below(&self) -> LogFactor {
        LogFactor(self.below)
    }

    /// Returns the deviation that one run in ten exceeds.
    pub fn above(&self) -> LogFactor {
        LogFactor(self.above)
    }

    /// Adds a run on a worker of the given speed.
    pub fn observe(&mut self, value: LogFactor, worker: LogFactor) {
        let value = LogFactor(value.0 - worker.0).limited().0;
        if self.is_known() {
            let deviation = value - self.mean;
            let (least, most) = (MIN_SPREAD.ln(), MAX_FACTOR.ln());
            let (outside, inside) =
                ((1.0 - TAIL_SHARE) * QUANTILE_STEP, TAIL_SHARE * QUANTILE_STEP);
            self.above += if deviation > self.above { outside } else { -inside };
            self.below += if deviation < self.below { -outside } else { inside };
            self.above = self.above.clamp(least, most);
            self.below = self.below.clamp(-most, -least);
        }
        self.count = self.count.saturating_add(1);
        let weight = MIN_QUEUE_WEIGHT.max(1.0 / f64::from(self.count));
        self.mean += weight * (value - self.mean);
    }
}

/// The factors on a caller's estimate that a forecast consists of.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ForecastFactors {
    /// The factor that one run in ten stays below.
    pub lower: f64,
    /// The expected factor.
    pub expected: f64,
    /// The factor that one run in ten exceeds.
    pub upper: f64,
}

/// Returns the factors for a run of a queue on a worker. The less is known of the worker, the
/// further `lower` and `upper` are from `expected`.
pub fn forecast_factors(queue: &QueueEstimate, worker: WorkerSpeed) -> ForecastFactors {
    let expected = queue.usual().0 + worker.speed.0;
    let doubt = TAIL_DEVIATIONS * worker.error;
    ForecastFactors {
        lower: (expected - queue.below().0.hypot(doubt)).exp(),
        expected: expected.exp(),
        upper: (expected + queue.above().0.hypot(doubt)).exp(),
    }
}
