//! Places tasks whose workers were lost so that the cause of the crashes can be found.
//!
//! A task that lost one worker is kept apart from the other tasks that were there, so that a second
//! crash shows which of them it follows. A task that lost two workers runs alone: on a worker
//! without recent runs of other jobs. If there is none, a worker is reserved, which becomes free as
//! its runs end. Runs beside a suspect task would be lost with it, and could not be ruled out as
//! the cause.

use sedgehill_core::units::{Moment, TimeSpan};

use super::displacement::WorkerReservation;
use super::placement::Assignment;
use super::room::{Candidate, OpenWorkers};
use super::*;
use crate::crash_history::{CrashHistory, StartRestriction};
use crate::job::StepSpec;

/// A run that has lasted this long is not considered the cause of a crash. Users' tasks that crash
/// workers do so within a second of their start, and the longest usual tasks take some six seconds.
const CRASH_SUSPECT_SPAN: TimeSpan = TimeSpan(10_000);
/// How long a reservation for a task that must run alone lasts. It is renewed each turn.
const ALONE_RESERVATION_SPAN: TimeSpan = TimeSpan(1_000);
/// One worker in this many of a pool may be reserved for such tasks; the others go on with all
/// other work.
const ALONE_RESERVATION_ONE_IN: usize = 8;

impl WorkerState {
    /// Whether no run of another job that could cause a crash is there.
    pub(super) fn is_exclusive_for(&self, job: JobId, now: Moment) -> bool {
        let trusted = |run: &worker_run::WorkerRun| now >= run.since.after(CRASH_SUSPECT_SPAN);
        self.runs.iter().all(|(task, run)| task.step.job == job || trusted(run))
    }

    /// Whether a run of another job must stay alone on the worker.
    pub(super) fn excludes_job(&self, job: JobId, now: Moment) -> bool {
        let wants =
            |run: &worker_run::WorkerRun| run.alone && now < run.since.after(CRASH_SUSPECT_SPAN);
        self.has_alone_run && self.runs.iter().any(|(task, run)| task.step.job != job && wants(run))
    }

    /// Returns the longest time until no run of another job that could cause a crash is there.
    fn time_until_exclusive(&self, job: JobId, now: Moment) -> TimeSpan {
        let time_left = |run: &worker_run::WorkerRun| {
            let age = now.since(run.since);
            let suspect_span = run.expected.unwrap_or(CRASH_SUSPECT_SPAN).min(CRASH_SUSPECT_SPAN);
            TimeSpan(suspect_span.0.saturating_sub(age.0))
        };
        let others = self.runs.iter().filter(|(task, _)| task.step.job != job);
        others.map(|(_, run)| time_left(run)).max().unwrap_or_default()
    }

    /// Whether it is reserved for a task that must run alone.
    pub(super) fn has_alone_reservation(&self, now: Moment) -> bool {
        self.active_reservation(now).is_some_and(|reservation| reservation.alone)
    }
}

/// Returns how a task may be started, by its crash history.
pub(super) fn start_restriction_of(job: &ActiveJob, step: usize, index: u16) -> StartRestriction {
    job.step_tasks(step)[usize::from(index)].crash_history.start_restriction()
}

/// Splits tasks into those that must run alone and the others.
pub(super) fn split_alone(job: &ActiveJob, step: usize, tasks: &[u16]) -> (Vec<u16>, Vec<u16>) {
    tasks
        .iter()
        .partition(|index| start_restriction_of(job, step, **index) == StartRestriction::Exclusive)
}

impl Scheduler {
    /// Assigns workers to tasks that must run alone, as far as there are enough.
    pub(super) fn assign_alone(
        &self,
        candidate: &Candidate,
        spec: &StepSpec,
        open: &OpenWorkers,
        tasks: &[u16],
        now: Moment,
    ) -> Assignment {
        if tasks.is_empty() {
            return Vec::new();
        }
        let mut rooms = self.usable_rooms(candidate, spec, open, now);
        rooms.retain(|(key, _)| self.workers[key.0].is_exclusive_for(candidate.job, now));
        rooms.sort_by_key(|(key, _)| !self.workers[key.0].runs.is_empty());
        // Gang members may share a worker, since they are lost together wherever they run.
        let slots = |(key, room)| std::iter::repeat_n(key, if spec.gang { room } else { 1 });
        tasks.iter().copied().zip(rooms.into_iter().flat_map(slots)).collect()
    }

    /// Reserves workers until each of `wanted` tasks has one on which it can run alone.
    pub(super) fn reserve_alone(
        &mut self,
        candidate: &Candidate,
        spec: &StepSpec,
        wanted: usize,
        now: Moment,
    ) {
        let Some(job) = self.jobs.get(&candidate.job) else { return };
        let step = job.steps[candidate.step].id;
        let until = now.after(ALONE_RESERVATION_SPAN);
        let slots = |worker: &WorkerState| match spec.gang {
            true => worker.entry.capacity.capacity_for(&spec.need) as usize,
            false => 1,
        };
        let mut reserved: usize = 0;
        for worker in &mut self.workers {
            if !worker.takes_work(now, &self.timing) {
                continue;
            }
            if let Some(reservation) = &mut worker.reservation
                && now < reservation.until
                && reservation.alone
                && reservation.step == step
            {
                reservation.until = until;
                reserved += slots(worker);
            }
        }
        while reserved < wanted {
            let Some(key) = self.find_reservable(candidate, spec, now) else { return };
            let worker = &mut self.workers[key.0];
            let need = worker.entry.capacity;
            worker.reservation = Some(WorkerReservation { step, need, until, alone: true });
            reserved += slots(worker).max(1);
        }
    }

    /// Returns the unreserved worker on which a task can run alone soonest.
    fn find_reservable(
        &self,
        candidate: &Candidate,
        spec: &StepSpec,
        now: Moment,
    ) -> Option<WorkerKey> {
        let job = self.jobs.get(&candidate.job)?;
        let pool = &job.record.policy.pool;
        let workers = || self.workers.iter().filter(|worker| worker.entry.pool == *pool);
        let usable = |worker: &&WorkerState| worker.takes_work(now, &self.timing);
        let max_reservations = (workers().filter(usable).count() / ALONE_RESERVATION_ONE_IN).max(1);
        let step = job.steps[candidate.step].id;
        let reservations = || {
            workers()
                .filter_map(|worker| worker.active_reservation(now))
                .filter(|reservation| reservation.alone)
        };
        // The first step may exceed the maximum, since a gang that needs more could otherwise never
        // start.
        if reservations().count() >= max_reservations
            && reservations().any(|reservation| reservation.step != step)
        {
            return None;
        }
        let advice = &job.steps[candidate.step].advice;
        let keys = (0..self.workers.len()).map(WorkerKey);
        let fitting = keys.filter(|key| {
            let worker = &self.workers[key.0];
            usable(&worker)
                && worker.active_reservation(now).is_none()
                && worker.runs_allowed(now) > 0
                && worker.entry.capacity.fits(&spec.need)
                && self.admits(*key, job, candidate.step, spec, now)
                && !matches!(advice.known.get(key), Some(None))
        });
        fitting.min_by_key(|key| {
            let worker = &self.workers[key.0];
            let known = matches!(advice.known.get(key), Some(Some(_)));
            let untrusted = worker.trust != WorkerTrust::Trusted;
            (!known, untrusted, worker.time_until_exclusive(candidate.job, now), *key)
        })
    }

    /// Whether a task may run on a worker beside what runs there: no suspect run of another job may
    /// have lost a worker together with it.
    pub(super) fn may_share_worker(
        &self,
        key: WorkerKey,
        id: JobId,
        crash_history: &CrashHistory,
        now: Moment,
    ) -> bool {
        if crash_history.is_empty() {
            return true;
        }
        let others = self.workers[key.0]
            .runs
            .iter()
            .filter(|(task, run)| task.step.job != id && now < run.since.after(CRASH_SUSPECT_SPAN));
        let mut suspects = others.filter_map(|(task, _)| {
            let job = self.jobs.get(&task.step.job)?;
            Some(&job.tasks[job.task_index(task)?].crash_history)
        });
        !suspects.any(|other| crash_history.shares_lost_worker(other))
    }
}
