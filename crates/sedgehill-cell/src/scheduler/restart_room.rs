//! Room and tickets for long-running tasks that are due to run again.
//!
//! In a full cell the first rank alone does not help such a task: room that comes free bit by bit goes to whatever fits into
//! it, and a ticket for a worker is not asked for before it has room, which others with tickets take meanwhile. So each such
//! task reserves a worker that is known as good for it, where enough comes free the soonest, and its ticket is asked for
//! while it waits.

use sedgehill_core::units::{Moment, ResourceSet, TimeSpan};

use super::displacement::WorkerReservation;
use super::room::OpenWorkers;
use super::worker::{WorkerRun, WorkerState};
use super::*;
use crate::job::StepSpec;

/// A reservation lasts so long, and is renewed with each turn while the task waits.
const RESERVATION_SPAN: TimeSpan = TimeSpan(1_000);
/// Less urgent runs that save their state are stopped where room would come free later than this.
const MAX_WAIT_WITHOUT_STOPS: TimeSpan = TimeSpan(1_000);
/// A worker where less urgent runs would have to be stopped counts as having room so much later.
const STOP_PENALTY: TimeSpan = TimeSpan(1_200);
/// A task that has had no run for so long has other runs stopped as well: less urgent ones that save nothing, and any that
/// save their state. Callers are promised its next run however full the cell is.
const LAST_RESORT_AFTER: TimeSpan = TimeSpan(3_000);
/// A worker where such runs would have to be stopped counts as having room so much later.
const LAST_RESORT_PENALTY: TimeSpan = TimeSpan(2_000);
/// What is taken as left of a run that takes longer than expected, or of which that is not known.
const UNKNOWN_TIME_LEFT: TimeSpan = TimeSpan(1_000);
/// A worker where the last run failed is chosen if it has room so much sooner than others.
const FAILED_THERE_PENALTY: TimeSpan = TimeSpan(500);
/// Tickets asked for, for each task that waits: a worker may be lost meanwhile.
const TICKETS_PER_TASK: usize = 2;
/// Good workers that a question should find for each task where too few are known.
const ALLOWED_PER_TASK: f64 = 3.0;
/// The least share of good workers that a question reckons with.
const MIN_ALLOWED_SHARE: f64 = 0.1;

/// A worker that could take a task of a step; those that suit it best come first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct RestartPlace {
    /// The step has not reserved it yet.
    is_new: bool,
    /// Until there is room, by the estimates of what runs there or once less urgent runs are stopped.
    wait: TimeSpan,
    /// Runs have to be stopped for that.
    stops: bool,
    key: WorkerKey,
}

/// Runs that are stopped for a task that is due to run again.
struct RestartStops {
    runs: Vec<(CellTask, RunNumber, ResourceSet)>,
    /// As how late room on their worker counts.
    wait: TimeSpan,
}

impl WorkerState {
    /// How long it takes until a task fits; none if what runs there has no end.
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

/// How long a run goes on, by its estimate; none if it has no end.
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
    /// Has `wanted` tasks that found no room reserve some and asks for their tickets. Returns what they wait for.
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

    /// Keeps room for `wanted` tasks that found none: each reserves one worker. Where it would take long to come free,
    /// less urgent runs are stopped.
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

    /// Stops runs on a reserved worker, once the task may be started there.
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

    /// Runs whose end makes room on a worker for a task that is due to run again.
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
                let bearable = match last_resort {
                    true => spec.checkpointing || less_urgent,
                    false => spec.checkpointing && less_urgent,
                };
                run.phase == RunPhase::Confirmed && bearable && !spec.gang && !spec.long_running
            };
            self.workers[key.0].runs_to_stop(&spec.need, may_stop)
        };
        if let Some(runs) = stops(false) {
            return Some(RestartStops { runs, wait: STOP_PENALTY });
        }
        let due = self.restarts.due_since(job.steps[candidate.step].id, self.timing.stop);
        let last_resort = due.is_some_and(|since| now >= since.after(LAST_RESORT_AFTER));
        let runs = last_resort.then(|| stops(true))??;
        Some(RestartStops { runs, wait: LAST_RESORT_PENALTY })
    }

    /// The workers that may take a task of a step once they have room, apart from advice; the best first.
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
                && worker.trust == WorkerTrust::Trusted
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
            Some(RestartPlace { is_new: reservation.is_none(), wait, stops, key })
        };
        let mut places: Vec<RestartPlace> = keys.filter_map(place).collect();
        places.sort();
        places
    }

    /// The workers that a question for tasks that are due to run again names: those known as good where room is or comes
    /// free the soonest, and unknown ones where these are too few. Otherwise why it would be of no use to ask.
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
