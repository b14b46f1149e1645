//! Finds room and tickets for long-running tasks that need a restart.
//!
//! In a full cell, ranking first does not help such a task: room that becomes free in small pieces
//! goes to whatever fits, and a ticket for a worker is not requested before it has room, which
//! other steps with tickets take meanwhile. Each such task therefore reserves the worker, among
//! those that may run it, where enough room becomes free soonest, and requests the ticket while it
//! waits.

use sedgehill_core::units::{Moment, ResourceSet, TimeSpan};

use super::displacement::WorkerReservation;
use super::room::OpenWorkers;
use super::worker::WorkerState;
use super::worker_run::WorkerRun;
use super::*;
use crate::job::StepSpec;

/// How long a reservation lasts. It is renewed each turn while the task waits.
const RESERVATION_SPAN: TimeSpan = TimeSpan(1_000);
/// Less urgent runs that save their state are stopped where room would become free later than this.
const MAX_WAIT_WITHOUT_STOPS: TimeSpan = TimeSpan(1_000);
/// The wait that is assumed for a worker where less urgent runs must be stopped.
const ASSUMED_STOP_WAIT: TimeSpan = TimeSpan(1_200);
/// A task without a run for this long may also have less urgent runs stopped that save no state,
/// and runs of any urgency that do. Callers are promised a restart however full the cell is.
const LAST_RESORT_AFTER: TimeSpan = TimeSpan(3_000);
/// The wait that is assumed for a worker where runs must be stopped as a last resort.
const ASSUMED_LAST_RESORT_WAIT: TimeSpan = TimeSpan(2_000);
/// The remaining time that is assumed for a run that takes longer than expected, or has no known
/// estimate.
const UNKNOWN_TIME_LEFT: TimeSpan = TimeSpan(1_000);
/// Added to the wait for a worker on which a run of the step's tasks failed last.
const FAILED_THERE_PENALTY: TimeSpan = TimeSpan(500);
/// Tickets requested for each waiting task, since a worker may be lost meanwhile.
const TICKETS_PER_TASK: usize = 2;
/// Workers allowed to run the step that a question should find for each task when too few are
/// known.
const ALLOWED_PER_TASK: f64 = 3.0;
/// The smallest share of allowed workers that is assumed when choosing how many to name.
const MIN_ALLOWED_SHARE: f64 = 0.1;

/// A worker that could take a task of a step. The field order is the order of preference.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct RestartPlace {
    /// The step has not reserved it yet.
    is_new: bool,
    /// The worker is not trusted.
    untrusted: bool,
    /// The time until there is room, by the estimates of its runs or by stopping less urgent ones.
    wait: TimeSpan,
    /// Runs must be stopped to make room.
    stops: bool,
    key: WorkerKey,
}

/// Runs to stop for a task that needs a restart.
struct RestartStops {
    runs: Vec<(CellTask, RunNumber, ResourceSet)>,
    /// The wait that is assumed for their worker.
    wait: TimeSpan,
}

impl WorkerState {
    /// Returns the time until a task fits; none if it never does, because runs there have no end.
    fn time_until_free(&self, need: &ResourceSet, stop: TimeSpan, now: Moment) -> Option<TimeSpan> {
        let mut free = self.free;
        if free.fits(need) {
            return Some(TimeSpan(0));
        }
        let mut ends: Vec<(TimeSpan, ResourceSet)> = self
            .runs
            .values()
            .filter_map(|run| Some((time_left(run, stop, now)?, run.need?)))
            .collect();
        ends.sort_by_key(|(left, _)| *left);
        for (left, freed) in ends {
            free = free.plus(&freed);
            if free.fits(need) {
                return Some(left);
            }
        }
        None
    }
}

/// Returns the remaining time of a run by its estimate; none if it has no end.
fn time_left(run: &WorkerRun, stop: TimeSpan, now: Moment) -> Option<TimeSpan> {
    if matches!(run.phase, RunPhase::Stopping(_) | RunPhase::Stopped) {
        return Some(stop);
    }
    if run.long_running {
        return None;
    }
    let left = run.expected.map(|span| span.0.saturating_sub(now.since(run.since).0));
    Some(left.filter(|left| *left > 0).map_or(UNKNOWN_TIME_LEFT, TimeSpan))
}

impl Scheduler {
    /// Reserves room and requests tickets for `wanted` tasks that found no room. Returns what they
    /// wait for.
    pub(super) fn find_restart_room(
        &mut self,
        candidate: &Candidate,
        spec: &StepSpec,
        wanted: usize,
        open: &OpenWorkers,
        now: Moment,
    ) -> StallReason {
        let Some(job) = self.jobs.get(&candidate.job) else { return StallReason::NoRoom };
        let step = job.steps[candidate.step].id;
        if !self.restarts.begin_search(step, now) {
            return self.restarts.last_reason(step).unwrap_or(StallReason::NoRoom);
        }
        self.reserve_restarts(candidate, spec, wanted, now);
        self.request_advice(candidate, spec, open, now)
    }

    /// Reserves one worker for each of `wanted` tasks, and stops less urgent runs where room would
    /// take long to become free.
    fn reserve_restarts(
        &mut self,
        candidate: &Candidate,
        spec: &StepSpec,
        wanted: usize,
        now: Moment,
    ) {
        let Some(job) = self.jobs.get(&candidate.job) else { return };
        let step = job.steps[candidate.step].id;
        let known = &job.steps[candidate.step].advice.known;
        let advised = job.record.policy.advice.is_some();
        let is_allowed = |key: &WorkerKey| !advised || matches!(known.get(key), Some(Some(_)));
        let places = self.restart_places(candidate, job, spec, now);
        let reserved: Vec<RestartPlace> =
            places.into_iter().filter(|place| is_allowed(&place.key)).take(wanted).collect();
        let until = now.after(RESERVATION_SPAN);
        for place in reserved {
            let reservation = WorkerReservation { step, need: spec.need, until, alone: false };
            self.workers[place.key.0].reservation = Some(reservation);
            if place.stops {
                self.stop_for_restart(place.key, candidate, spec, now);
            }
        }
    }

    /// Stops runs on a reserved worker once the task has a ticket for it.
    fn stop_for_restart(
        &mut self,
        key: WorkerKey,
        candidate: &Candidate,
        spec: &StepSpec,
        now: Moment,
    ) {
        let Some(job) = self.jobs.get(&candidate.job) else { return };
        let margin = TimeSpan(self.timing.stop.0 + self.timing.ticket_margin.0);
        let advice = &job.steps[candidate.step].advice;
        if job.record.policy.advice.is_some() && advice.ticket(key, now, margin).is_none() {
            return;
        }
        let Some(stops) = self.stops_for_restart(key, candidate, job, spec, now) else { return };
        for (task, run, _) in stops.runs {
            self.stop_run(key, task, run, "displaced", now);
        }
    }

    /// Returns the runs to stop on a worker so that a task that needs a restart fits.
    fn stops_for_restart(
        &self,
        key: WorkerKey,
        candidate: &Candidate,
        job: &ActiveJob,
        spec: &StepSpec,
        now: Moment,
    ) -> Option<RestartStops> {
        let priority = job.record.policy.priority;
        let stops = |last_resort: bool| {
            let may_stop = |task: &CellTask, run: &WorkerRun| {
                let Some(job) = self.jobs.get(&task.step.job) else { return false };
                let Some(step) = job.step_index(&task.step) else { return false };
                let spec = job.step_spec(step);
                let less_urgent = job.record.policy.priority > priority;
                let stoppable = match last_resort {
                    true => spec.checkpointing || less_urgent,
                    false => spec.checkpointing && less_urgent,
                };
                run.phase == RunPhase::Confirmed && stoppable && !spec.gang && !spec.long_running
            };
            self.workers[key.0].runs_to_stop(&spec.need, may_stop)
        };
        if let Some(runs) = stops(false) {
            return Some(RestartStops { runs, wait: ASSUMED_STOP_WAIT });
        }
        let due = self.restarts.due_since(job.steps[candidate.step].id, self.timing.stop);
        let last_resort = due.is_some_and(|since| now >= since.after(LAST_RESORT_AFTER));
        let runs = last_resort.then(|| stops(true))??;
        Some(RestartStops { runs, wait: ASSUMED_LAST_RESORT_WAIT })
    }

    /// Returns the workers that can take a task of the step now or later, ignoring advice, the best
    /// first.
    fn restart_places(
        &self,
        candidate: &Candidate,
        job: &ActiveJob,
        spec: &StepSpec,
        now: Moment,
    ) -> Vec<RestartPlace> {
        let step = job.steps[candidate.step].id;
        let failed_at = |key: WorkerKey| {
            job.step_tasks(candidate.step).iter().any(|task| task.failed_at == Some(key))
        };
        let keys = (0..self.workers.len()).map(WorkerKey);
        let place = |key: WorkerKey| {
            let worker = &self.workers[key.0];
            let reservation = worker.active_reservation(now);
            let usable = worker.takes_work(now, &self.timing)
                && worker.restarts_allowed(now) > 0
                && reservation.is_none_or(|reservation| reservation.step == step)
                && worker.entry.capacity.fits(&spec.need)
                && self.admits(key, job, candidate.step, spec, now);
            if !usable {
                return None;
            }
            let wait_without_stops = worker.time_until_free(&spec.need, self.timing.stop, now);
            let stops = match wait_without_stops {
                Some(wait) if wait <= MAX_WAIT_WITHOUT_STOPS => None,
                _ => self.stops_for_restart(key, candidate, job, spec, now),
            };
            let sooner = stops.map(|stops| stops.wait).filter(|wait| {
                wait_without_stops.is_none_or(|wait_without_stops| *wait < wait_without_stops)
            });
            let stops = sooner.is_some();
            let wait = sooner.or(wait_without_stops)?;
            let penalty = if failed_at(key) { FAILED_THERE_PENALTY } else { TimeSpan(0) };
            let wait = TimeSpan(wait.0 + penalty.0);
            let untrusted = worker.trust != WorkerTrust::Trusted;
            Some(RestartPlace { is_new: reservation.is_none(), untrusted, wait, stops, key })
        };
        let mut places: Vec<RestartPlace> = keys.filter_map(place).collect();
        places.sort();
        places
    }

    /// Selects the workers that a question about tasks that need a restart names: those that may
    /// run the step and have room soonest, and unknown ones if these are too few. Returns the
    /// reason if asking would not help.
    pub(super) fn select_restart_workers(
        &self,
        candidate: &Candidate,
        job: &ActiveJob,
        spec: &StepSpec,
        now: Moment,
    ) -> Result<Vec<WorkerKey>, StallReason> {
        let expected = self.restarts.expected(job.steps[candidate.step].id);
        let wanted = self.waiting_in_group(candidate, job, now).len() + expected;
        let advice = &job.steps[candidate.step].advice;
        let places = self.restart_places(candidate, job, spec, now);
        let keys = || places.iter().map(|place| place.key);
        let is_allowed = |key: &WorkerKey| matches!(advice.known.get(key), Some(Some(_)));
        let allowed: Vec<WorkerKey> =
            keys().filter(is_allowed).take(wanted * TICKETS_PER_TASK).collect();
        let margin = self.timing.ticket_margin;
        let lacks_ticket =
            |key: &WorkerKey| advice.ticket(*key, now, margin).is_none() && !advice.is_asked(*key);
        let mut named: Vec<WorkerKey> = allowed.iter().copied().filter(lacks_ticket).collect();
        if allowed.len() < wanted {
            let missing = wanted as f64 * ALLOWED_PER_TASK - allowed.len() as f64;
            let share = self.allowed_share(&job.record.queue).max(MIN_ALLOWED_SHARE);
            let unknown =
                keys().filter(|key| !advice.known.contains_key(key) && !advice.is_asked(*key));
            named.extend(unknown.take((missing / share).ceil() as usize));
            named.truncate(questions::MAX_WORKERS_PER_QUESTION);
        }
        match named.is_empty() {
            true if allowed.is_empty() => Err(self.no_candidates_reason(candidate, job, spec, now)),
            true => Err(StallReason::NoAllowedRoom),
            false => Ok(named),
        }
    }
}
