//! Places tasks whose workers were lost so that the cause of the crashes can be found.
//!
//! A task that lost one worker is kept apart from the other tasks that were there, so that a second
//! crash shows which of them it follows. A task that lost two workers runs alone: on a worker
//! without recent runs of other jobs. If there is none, a worker is reserved, which becomes free as
//! its runs end. Runs beside a suspect task would be lost with it, and could not be ruled out as
//! the cause.
//!
//! A worker that is lost with many tasks leaves more suspects than there are workers to keep them
//! apart, and long-running ones never make room for the next. So tasks whose runs had lasted for
//! long at the loss are not kept from each other. For all others, the time between the starts of
//! suspects on one worker shrinks while they are kept apart, down to none after a bounded time.
//! Both are spread over all workers that have room, so that a second crash hits few of them.

use std::cmp::Reverse;

use sedgehill_core::units::{Moment, TimeSpan};

use super::displacement::WorkerReservation;
use super::placement::Assignment;
use super::room::{Candidate, OpenWorkers};
use super::worker_run::WorkerRun;
use super::*;
use crate::crash_history::{CrashHistory, SharedLoss, StartRestriction};
use crate::ids::PoolName;
use crate::job::StepSpec;

/// A run that has lasted this long is not considered the cause of a crash. Users' tasks that crash
/// workers do so within a second of their start, and the longest usual tasks take some six seconds.
const CRASH_SUSPECT_SPAN: TimeSpan = TimeSpan(10_000);
/// A run that was lost at this age or sooner may have crashed its worker as it started.
const START_CRASH_SPAN: TimeSpan = TimeSpan(3_000);
/// Runs that started this much earlier than one whose start crashed the worker are not the cause.
const MIN_START_DISTANCE: TimeSpan = TimeSpan(1_500);
/// The longest time for which a long-running task is kept apart from suspects. It is owed a run
/// within seconds, most of which its lease may have taken.
const MAX_RESTART_SEPARATION: TimeSpan = TimeSpan(3_000);
/// How long a reservation for a task that must run alone lasts. It is renewed each turn.
const ALONE_RESERVATION_SPAN: TimeSpan = TimeSpan(1_000);
/// One worker in this many of a pool may be reserved for such tasks; the others go on with all
/// other work.
const ALONE_RESERVATION_ONE_IN: usize = 8;

impl WorkerState {
    /// Whether no run of another job that could cause a crash is there.
    pub(super) fn is_exclusive_for(&self, job: JobId, now: Moment) -> bool {
        self.runs_only_older(job, CRASH_SUSPECT_SPAN, now)
    }

    /// Whether all runs of other jobs there are at least `min_age` old.
    pub(super) fn runs_only_older(&self, job: JobId, min_age: TimeSpan, now: Moment) -> bool {
        self.youngest_other(job, now).is_none_or(|age| age >= min_age)
    }

    /// Whether a run that is lost with the worker could be the cause of a crash and no run of
    /// another job could: either none was there that had begun of late, or the crash came with the
    /// start of the run.
    pub(super) fn was_alone(&self, task: &CellTask, run: &WorkerRun, now: Moment) -> bool {
        let others = || self.runs.iter().filter(|(other, _)| other.step.job != task.step.job);
        let is_earlier = |other: &WorkerRun| run.since >= other.since.after(MIN_START_DISTANCE);
        let lost_at = self.silent_since.or(self.replaced_at).unwrap_or(now);
        let with_start = lost_at.since(run.since) <= START_CRASH_SPAN;
        let alone = match self.was_settled(run) {
            true => others().next().is_none(),
            false => self.is_exclusive_for(task.step.job, now),
        };
        alone || (with_start && others().all(|(_, other)| is_earlier(other)))
    }

    /// Whether a run that is lost with the worker had lasted for so long that it is most likely not
    /// the cause of a crash.
    pub(super) fn was_settled(&self, run: &WorkerRun) -> bool {
        let lasted = |reported: Moment| reported.since(run.since) >= CRASH_SUSPECT_SPAN;
        run.seen && self.last_report_at.is_some_and(lasted)
    }

    /// Returns the age of the youngest run of another job.
    fn youngest_other(&self, job: JobId, now: Moment) -> Option<TimeSpan> {
        let others = self.runs.iter().filter(|(task, _)| task.step.job != job);
        others.map(|(_, run)| now.since(run.since)).min()
    }

    /// Whether a run of another job that must stay alone is younger than `min_age`.
    fn has_younger_alone_run(&self, job: JobId, min_age: TimeSpan, now: Moment) -> bool {
        let wants = |run: &WorkerRun| run.alone && now < run.since.after(min_age);
        self.runs.iter().any(|(task, run)| task.step.job != job && wants(run))
    }

    /// Returns the longest time until no run of another job that could cause a crash is there.
    fn time_until_exclusive(&self, job: JobId, now: Moment) -> TimeSpan {
        let time_left = |run: &WorkerRun| {
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
        let Some(job) = self.jobs.get(&candidate.job) else { return Vec::new() };
        let min_age = self.required_run_age(job, candidate.step, now);
        let mut rooms = self.usable_rooms(candidate, spec, open, now);
        rooms.retain(|(key, _)| self.workers[key.0].runs_only_older(job.id, min_age, now));
        rooms.sort_by_key(|(key, _)| {
            let worker = &self.workers[key.0];
            let youngest = worker.youngest_other(job.id, now).unwrap_or(CRASH_SUSPECT_SPAN);
            (Reverse(youngest.min(CRASH_SUSPECT_SPAN)), !worker.runs.is_empty())
        });
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

    /// Returns the age that runs of other jobs must have on a worker before a suspect task of a step
    /// starts there. It shrinks while the step's tasks are kept apart, down to zero.
    pub(super) fn required_run_age(&self, job: &ActiveJob, step: usize, now: Moment) -> TimeSpan {
        if !self.suspects_seen {
            return CRASH_SUSPECT_SPAN;
        }
        let longest = match job.step_spec(step).long_running {
            true => MAX_RESTART_SEPARATION,
            false => CRASH_SUSPECT_SPAN,
        };
        let waiting = job.step_tasks(step).iter().filter(|task| task.waits());
        match waiting.filter_map(|task| task.kept_apart_since).min() {
            None => CRASH_SUSPECT_SPAN,
            Some(since) => TimeSpan(longest.0.saturating_sub(now.since(since).0)),
        }
    }

    /// Whether a run on the worker must stay alone and keeps the tasks of a step away.
    pub(super) fn is_kept_from(
        &self,
        key: WorkerKey,
        job: &ActiveJob,
        step: usize,
        now: Moment,
    ) -> bool {
        let worker = &self.workers[key.0];
        if !worker.has_alone_run {
            return false;
        }
        let min_age = self.required_run_age(job, step, now);
        worker.has_younger_alone_run(job.id, min_age, now)
    }

    /// Notes since when the suspect tasks of a step that wait are kept apart although there is room.
    /// Returns whether they are.
    pub(super) fn note_kept_apart(
        &mut self,
        candidate: &Candidate,
        spec: &StepSpec,
        open: &OpenWorkers,
        now: Moment,
    ) -> bool {
        let Some(job) = self.jobs.get(&candidate.job) else { return false };
        let is_suspect = |task: &ActiveTask| task.is_ready(now) && !task.crash_history.is_empty();
        let pool = &job.record.policy.pool;
        let has_room = |key: &WorkerKey| {
            let worker = &self.workers[key.0];
            worker.free.fits(&spec.need) && worker.entry.pool == *pool
        };
        let suspects = || job.step_tasks(candidate.step).iter().filter(|task| is_suspect(task));
        let kept_apart = suspects().next().is_some() && open.list.iter().any(has_room);
        let is_noted = || suspects().any(|task| task.kept_apart_since.is_some());
        // A busy pool soon has workers that are separate enough, since its runs end. Long-running
        // tasks are owed a run however busy it is.
        let counts =
            (kept_apart || is_noted()) && (spec.long_running || self.is_mostly_free(pool, now));
        let Some(job) = self.jobs.get_mut(&candidate.job) else { return false };
        let (first, count) = (job.steps[candidate.step].first_task, usize::from(spec.count));
        for task in job.tasks[first..first + count].iter_mut().filter(|task| is_suspect(task)) {
            let since = task.kept_apart_since.unwrap_or(now);
            task.kept_apart_since = counts.then_some(since);
        }
        kept_apart
    }

    /// Whether less than half of a pool's cores are in use.
    fn is_mostly_free(&self, pool: &PoolName, now: Moment) -> bool {
        let workers = self.workers.iter().filter(|worker| {
            worker.entry.pool == *pool && !worker.is_over() && worker.is_listed(now, &self.timing)
        });
        let cores = workers.map(|worker| (worker.free.cores.0, worker.entry.capacity.cores.0));
        let (free, all) = cores.fold((0, 0), |sum, (free, all)| (sum.0 + free, sum.1 + all));
        2 * free > all
    }

    /// Returns the index of the room that a task should take: the first without tasks that lost a
    /// worker together with it, but one on the worker `avoided` last. If there is none, the room
    /// where the youngest suspect among them is oldest and which has the fewest of them; suspects
    /// must be at least `min_age` old.
    pub(super) fn choose_room(
        &self,
        rooms: &[(WorkerKey, usize)],
        job: JobId,
        crash_history: &CrashHistory,
        avoided: Option<WorkerKey>,
        min_age: TimeSpan,
        now: Moment,
    ) -> Option<usize> {
        let related = |key: WorkerKey| self.related_runs(key, job, crash_history, now);
        let is_clear = |key: WorkerKey| related(key).count == 0;
        let clear = rooms
            .iter()
            .position(|(key, _)| Some(*key) != avoided && is_clear(*key))
            .or_else(|| rooms.iter().position(|(key, _)| is_clear(*key)));
        let best = || {
            let ranks = rooms.iter().enumerate().filter_map(|(index, (key, _))| {
                let RelatedRuns { youngest_suspect, count } = related(*key);
                let age = youngest_suspect.unwrap_or(CRASH_SUSPECT_SPAN);
                (age >= min_age).then_some((Reverse(age), count, index))
            });
            ranks.min().map(|(.., index)| index)
        };
        clear.or_else(best)
    }

    /// Returns the runs of other jobs on a worker that have begun of late and lost a worker together
    /// with a task.
    fn related_runs(
        &self,
        key: WorkerKey,
        id: JobId,
        crash_history: &CrashHistory,
        now: Moment,
    ) -> RelatedRuns {
        let mut related = RelatedRuns { youngest_suspect: None, count: 0 };
        if crash_history.is_empty() {
            return related;
        }
        for (task, run) in &self.workers[key.0].runs {
            let age = now.since(run.since);
            if task.step.job == id || age >= CRASH_SUSPECT_SPAN {
                continue;
            }
            let Some(job) = self.jobs.get(&task.step.job) else { continue };
            let Some(index) = job.task_index(task) else { continue };
            let shared = crash_history.shared_loss(&job.tasks[index].crash_history);
            related.count += usize::from(shared != SharedLoss::None);
            if shared == SharedLoss::Suspect {
                related.youngest_suspect = related.youngest_suspect.into_iter().chain([age]).min();
            }
        }
        related
    }
}

/// Runs on a worker whose tasks lost a worker together with a task that is to be placed.
struct RelatedRuns {
    /// The age of the youngest one that may have caused the loss, or whose task may be harmed.
    youngest_suspect: Option<TimeSpan>,
    /// The number of them.
    count: usize,
}
