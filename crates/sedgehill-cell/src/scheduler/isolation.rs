//! Where tasks are started under which workers were lost.
//!
//! A task that lost one worker is kept apart from others that were there, so that a second crash tells which of
//! them it follows. One that lost two gets a worker on which nothing of another job stands; if there is none, a
//! worker is claimed and comes free as its runs end. What runs beside a suspect would be lost with it, and could
//! not be told from it.

use sedgehill_core::units::{Moment, TimeSpan};

use super::displacement::WorkerReservation;
use super::placement::Assignment;
use super::room::{Candidate, OpenWorkers};
use super::*;
use crate::job::StepSpec;
use crate::suspicion::{SuspectStage, TaskSuspicion};

/// A run that has gone on for so long is not what crashes its worker. Tasks of the users that crash workers do so
/// within a second of their start, and their longest usual tasks take some six.
const CRASH_SUSPECT_SPAN: TimeSpan = TimeSpan(10_000);
/// A claim for a task that wants a worker of its own lasts so long, and is renewed with each turn.
const ALONE_RESERVATION_SPAN: TimeSpan = TimeSpan(1_000);
/// One in so many workers of a pool may be claimed for such tasks: the others go on with all other work.
const ALONE_RESERVATION_ONE_IN: usize = 8;

impl WorkerState {
    /// Whether nothing of another job is there that could be the cause of a crash.
    pub(super) fn is_exclusive_for(&self, job: JobId, now: Moment) -> bool {
        let trusted = |run: &worker::WorkerRun| now >= run.since.after(CRASH_SUSPECT_SPAN);
        self.runs.iter().all(|(task, run)| task.step.job == job || trusted(run))
    }

    /// Whether a task of another job wants the worker for itself.
    pub(super) fn excludes_job(&self, job: JobId, now: Moment) -> bool {
        let wants =
            |run: &worker::WorkerRun| run.alone && now < run.since.after(CRASH_SUSPECT_SPAN);
        self.has_alone_run && self.runs.iter().any(|(task, run)| task.step.job != job && wants(run))
    }

    /// How long it takes at the most until nothing of another job is there that could be the cause of a crash.
    fn time_until_exclusive(&self, job: JobId, now: Moment) -> TimeSpan {
        let time_left = |run: &worker::WorkerRun| {
            let age = now.since(run.since);
            let suspect_span = run.expected.unwrap_or(CRASH_SUSPECT_SPAN).min(CRASH_SUSPECT_SPAN);
            TimeSpan(suspect_span.0.saturating_sub(age.0))
        };
        let others = self.runs.iter().filter(|(task, _)| task.step.job != job);
        others.map(|(_, run)| time_left(run)).max().unwrap_or_default()
    }

    /// Whether it is kept for a task that is to run with nothing of another job beside it.
    pub(super) fn has_alone_reservation(&self, now: Moment) -> bool {
        self.active_reservation(now).is_some_and(|reservation| reservation.alone)
    }
}

/// How a task of a step may be started.
pub(super) fn stage_of(job: &ActiveJob, step: usize, index: u16) -> SuspectStage {
    job.step_tasks(step)[usize::from(index)].suspicion.stage()
}

/// The tasks that want a worker of their own, and the others.
pub(super) fn split_alone(job: &ActiveJob, step: usize, tasks: &[u16]) -> (Vec<u16>, Vec<u16>) {
    tasks.iter().partition(|index| stage_of(job, step, **index) == SuspectStage::Alone)
}

impl Scheduler {
    /// Places tasks that want a worker of their own, as far as there is one for each.
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
        // The members of a gang are lost together, wherever they stand.
        let slots = |(key, room)| std::iter::repeat_n(key, if spec.gang { room } else { 1 });
        tasks.iter().copied().zip(rooms.into_iter().flat_map(slots)).collect()
    }

    /// Keeps workers from new work until each of `wanted` tasks of a step finds one that is clear.
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

    /// The worker that is clear the soonest.
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
        // A gang that wants more than that would never become whole, so the first step has what it wants.
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
                && worker.trust == WorkerTrust::Trusted
                && worker.entry.capacity.fits(&spec.need)
                && self.admits(*key, job, candidate.step, spec, now)
                && !matches!(advice.known.get(key), Some(None))
        });
        fitting.min_by_key(|key| {
            let known = matches!(advice.known.get(key), Some(Some(_)));
            (!known, self.workers[key.0].time_until_exclusive(candidate.job, now), *key)
        })
    }

    /// Whether a task may be put on a worker beside what runs there.
    pub(super) fn may_share_worker(
        &self,
        key: WorkerKey,
        id: JobId,
        suspicion: &TaskSuspicion,
        now: Moment,
    ) -> bool {
        if suspicion.is_clear() {
            return true;
        }
        let others = self.workers[key.0]
            .runs
            .iter()
            .filter(|(task, run)| task.step.job != id && now < run.since.after(CRASH_SUSPECT_SPAN));
        let mut suspects = others.filter_map(|(task, _)| {
            let job = self.jobs.get(&task.step.job)?;
            Some(&job.tasks[job.task_index(task)?].suspicion)
        });
        !suspects.any(|other| suspicion.shares_loss(other))
    }
}
