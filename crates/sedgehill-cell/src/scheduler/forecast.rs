//! Forecasts how long runs take and when running work releases its resources.
//!
//! Admission, room under limits and the choice of workers depend on the same forecast, so that their
//! decisions do not contradict each other.

use sedgehill_core::units::{Moment, ResourceSet, TimeSpan};

use super::active_job::ActiveJob;
use super::organisations::OrganisationKey;
use super::speeds::{WorkerSpeed, forecast_factors};
use super::worker_run::WorkerRun;
use super::*;

/// A run that has outlasted its expected time is expected to take this part of its time so far
/// again: the longer it has taken, the less its estimate says.
const OVERRUN_DIVISOR: u64 = 2;

/// How long a run is expected to take.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RunForecast {
    /// The time that one run in ten stays below.
    pub lower: TimeSpan,
    /// The expected time.
    pub expected: TimeSpan,
    /// The time that one run in ten exceeds.
    pub upper: TimeSpan,
}

/// When a run is expected to release its resources.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct ExpectedEnd {
    /// The resources.
    pub(super) need: ResourceSet,
    /// The expected end of the run.
    pub(super) at: Moment,
}

impl Scheduler {
    /// Returns how long a run of a step takes on a worker, or on the pool's usual worker. The spread
    /// is that of the queue's runs, and grows with the uncertainty of the worker's speed.
    pub(super) fn forecast_run(
        &self,
        job: &ActiveJob,
        step: usize,
        worker: Option<WorkerKey>,
    ) -> RunForecast {
        let estimate = job.step_spec(step).estimate.0 as f64;
        let speed = worker.map_or(WorkerSpeed::USUAL, |key| self.forecast_speed(key));
        let factors = forecast_factors(&self.queue_estimate(&job.record.queue), speed);
        RunForecast {
            lower: TimeSpan((estimate * factors.lower) as u64),
            expected: TimeSpan((estimate * factors.expected) as u64),
            upper: TimeSpan((estimate * factors.upper) as u64),
        }
    }

    /// Returns how much longer a run is expected to take; none if it has no end or its expected
    /// time is not known.
    pub(super) fn remaining_time(&self, run: &WorkerRun, now: Moment) -> Option<TimeSpan> {
        let taken = now.since(run.since);
        let expected = run.expected.filter(|_| !run.long_running)?;
        Some(match expected.0.checked_sub(taken.0) {
            Some(left) if left > 0 => TimeSpan(left),
            _ => TimeSpan(taken.0 / OVERRUN_DIVISOR),
        })
    }

    /// Returns when the runs of an organisation, or of all, are expected to release their
    /// resources, earliest first. Runs without a known end are left out.
    pub(super) fn expected_ends(
        &self,
        owner: Option<OrganisationKey>,
        now: Moment,
    ) -> Vec<ExpectedEnd> {
        let runs = self.workers.iter().flat_map(|worker| worker.runs.values());
        let owned = runs.filter(|run| owner.is_none() || run.owner == owner);
        let end = |run: &WorkerRun| {
            Some(ExpectedEnd { need: run.need?, at: self.expected_end(run, now)? })
        };
        let mut ends: Vec<ExpectedEnd> = owned.filter_map(end).collect();
        ends.sort_by_key(|end| end.at);
        ends
    }

    /// Returns when a run is expected to release its resources; none if that is not known.
    pub(super) fn expected_end(&self, run: &WorkerRun, now: Moment) -> Option<Moment> {
        match run.phase {
            RunPhase::Stopping(_) | RunPhase::Stopped => Some(now.after(self.timing.stop)),
            RunPhase::Recording | RunPhase::Ordered | RunPhase::Confirmed => {
                Some(now.after(self.remaining_time(run, now)?))
            }
        }
    }
}
