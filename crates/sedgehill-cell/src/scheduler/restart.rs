//! Tracks long-running tasks that lost their run.
//!
//! Such a task serves users for as long as its job lives, and must run again within seconds of
//! losing its run. The state of its step does not show that: other tasks of the step run, and the
//! job was accepted long ago. Each such task is therefore tracked here from the loss of its run
//! until a worker says that the next one is there.

use std::collections::BTreeMap;
use std::fmt;
use std::ops::RangeInclusive;

use sedgehill_core::units::{Moment, TimeSpan};

use super::placement::waiting_tasks;
use super::stall::StallReason;
use super::*;

/// A task without a run for this long is reported.
const REPORT_AFTER: TimeSpan = TimeSpan(3_000);
/// The interval between further reports of one task.
const REPORT_INTERVAL: TimeSpan = TimeSpan(3_000);
/// Room and tickets are sought this long before the lease of a silent worker ends. An expensive
/// question takes about as long, and tickets are valid for longer.
const RESTART_LOOKAHEAD: TimeSpan = TimeSpan(1_500);
/// The interval between searches for room for one step, since a search looks at all runs.
const SEARCH_INTERVAL: TimeSpan = TimeSpan(100);
/// The most tasks that are reported in one turn.
const MAX_REPORTS_PER_TURN: usize = 4;

/// How a long-running task lost its run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RestartCause {
    /// The run ended.
    Ended(RunEnd),
    /// The worker was lost, or no longer reported the run.
    WorkerLost,
    /// An earlier lead started the run, and no worker has it.
    EarlierLead,
}

impl RestartCause {
    /// The name in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            RestartCause::Ended(end) => end.name(),
            RestartCause::WorkerLost => "worker_lost",
            RestartCause::EarlierLead => "earlier_lead",
        }
    }
}

impl fmt::Display for RestartCause {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.name())
    }
}

/// A long-running task without a run.
#[derive(Debug, Clone, Copy)]
pub struct PendingRestart {
    /// When it lost its run.
    pub since: Moment,
    /// How it lost its run.
    pub cause: RestartCause,
    /// What prevented its last restart; none if nothing has yet.
    reason: Option<StallReason>,
    /// The number of steps that ranked before it then.
    ahead: usize,
    reported_at: Option<Moment>,
}

/// All long-running tasks without a run.
#[derive(Debug, Default)]
pub struct RestartTracker {
    due: BTreeMap<CellTask, PendingRestart>,
    /// Tasks on silent workers whose leases are about to end, by step. Computed each turn.
    expected: BTreeMap<StepId, ExpectedRestarts>,
    /// When all workers were last searched for room, by step.
    searched: BTreeMap<StepId, Moment>,
}

/// Tasks of a step that will soon need a restart.
#[derive(Debug, Clone, Copy)]
struct ExpectedRestarts {
    tasks: usize,
    /// The earliest moment at which one of their workers was last heard.
    from: Moment,
    /// The time until the first of their leases has ended.
    left: TimeSpan,
}

impl RestartTracker {
    /// Adds a task that lost its run. A task that is already tracked keeps its start time.
    fn add(&mut self, task: CellTask, cause: RestartCause, now: Moment) {
        let due = PendingRestart { since: now, cause, reason: None, ahead: 0, reported_at: None };
        self.due.entry(task).or_insert(due);
    }

    fn remove(&mut self, task: &CellTask) {
        self.due.remove(task);
    }

    /// Whether no task needs a restart, or soon will.
    pub fn is_empty(&self) -> bool {
        self.due.is_empty() && self.expected.is_empty()
    }

    /// Returns the number of tasks of a step that will soon need a restart.
    pub fn expected(&self, step: StepId) -> usize {
        self.expected.get(&step).map_or(0, |expected| expected.tasks)
    }

    /// Returns the state of a task that needs a restart.
    pub fn get(&self, task: &CellTask) -> Option<&PendingRestart> {
        self.due.get(task)
    }

    /// Returns the earliest time since which a task of a step has had no run. Includes tasks whose
    /// lease ends within `stop`.
    pub fn due_since(&self, step: StepId, stop: TimeSpan) -> Option<Moment> {
        let due = self.due.range(tasks_of(step)).map(|(_, due)| due.since);
        let expected = self.expected.get(&step).filter(|expected| expected.left <= stop);
        due.chain(expected.map(|expected| expected.from)).min()
    }

    /// Returns what prevented the last restart of a task of the step.
    pub fn last_reason(&self, step: StepId) -> Option<StallReason> {
        self.due.range(tasks_of(step)).find_map(|(_, due)| due.reason)
    }

    /// Whether all workers may be searched for room now. If so, the search counts as made.
    pub fn begin_search(&mut self, step: StepId, now: Moment) -> bool {
        let searched = self.searched.get(&step);
        let allowed = searched.is_none_or(|searched| now >= searched.after(SEARCH_INTERVAL));
        if allowed {
            self.searched.insert(step, now);
        }
        allowed
    }

    fn of_step(&mut self, step: StepId) -> impl Iterator<Item = &mut PendingRestart> {
        self.due.range_mut(tasks_of(step)).map(|(_, due)| due)
    }
}

fn tasks_of(step: StepId) -> RangeInclusive<CellTask> {
    CellTask { step, index: 0 }..=CellTask { step, index: u16::MAX }
}

/// The waiting tasks of a step, grouped by whether they need a restart.
#[derive(Debug, Clone, Copy)]
pub(super) struct WaitingGroups {
    /// The earliest loss among tasks that need a restart, or soon will; none if there is no such
    /// task.
    pub(super) restart_due: Option<Moment>,
    /// Other tasks wait too.
    others: bool,
}

impl WaitingGroups {
    pub(super) fn candidates(self, job: JobId, step: usize) -> impl Iterator<Item = Candidate> {
        let restarts = self.restart_due.map(|_| Candidate { job, step, restarts: true });
        let others = self.others.then_some(Candidate { job, step, restarts: false });
        restarts.into_iter().chain(others)
    }
}

/// Figures about long-running tasks without a run, for operators.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct RestartStats {
    /// The number of tasks.
    pub tasks: usize,
    /// The longest time that one of them has had no run.
    pub longest: TimeSpan,
}

impl Scheduler {
    /// Tracks a long-running task for a restart after its run is over.
    pub(super) fn note_run_ended(&mut self, task: &CellTask, cause: RestartCause, now: Moment) {
        let Some(job) = self.jobs.get(&task.step.job).filter(|job| !job.is_over()) else { return };
        let Some(step) = job.step_index(&task.step) else { return };
        let Some(index) = job.task_index(task) else { return };
        if job.step_spec(step).long_running && job.tasks[index].waits() {
            self.restarts.add(*task, cause, now);
        }
    }

    /// Finds inherited long-running tasks that lost their run, before the take-over is settled: the
    /// only worker that may have the run has reported, or has ended. Otherwise a single worker that
    /// is gone for good would delay all of them.
    pub(super) fn find_settled_restarts(&mut self) {
        if self.take_over.settled || self.workers_listed_at.is_none() {
            return;
        }
        let since = self.take_over.since;
        let jobs = self.jobs.values().filter(|job| job.unsettled_starts && job.is_long_running());
        let lost = |(_, task): &(CellTask, &ActiveTask)| {
            task.started_by_earlier_lead && task.waits() && self.is_location_settled(task)
        };
        let lost: Vec<CellTask> =
            jobs.flat_map(|job| job.all_tasks().filter(lost)).map(|(task, _)| task).collect();
        for task in lost {
            self.note_run_ended(&task, RestartCause::EarlierLead, since);
        }
    }

    /// Whether it is known of the only worker that may have a run of the task whether it has one: the
    /// worker has ended, or has reported to this lead. In that case it refuses orders of earlier
    /// leads, and its runs are known.
    fn is_location_settled(&self, task: &ActiveTask) -> bool {
        let Some((life, recorded_by)) = &task.location else { return false };
        if !self.is_only_location(*recorded_by) {
            return false;
        }
        // The location may have been recorded before the start of the life was known.
        let may_equal = |key: &&WorkerKey| self.workers[key.0].entry.life.may_equal(life);
        let key = self.lives.get(life).or_else(|| self.ids.get(&life.id).filter(may_equal));
        match key.map(|key| &self.workers[key.0]) {
            Some(worker) => worker.dead || worker.last_report_at.is_some(),
            // A worker leaves the roster only without runs.
            None => self.workers_listed_at.is_some() && !self.may_be_inherited(life),
        }
    }

    /// Whether the roster of earlier leads may hold a life.
    fn may_be_inherited(&self, life: &WorkerLife) -> bool {
        let lives = self.inherited_lives.get(&life.id).into_iter().flatten();
        lives.into_iter().any(|inherited| inherited.may_equal(life))
    }

    /// Whether no lead after the one that recorded the location of a task can have started the task
    /// elsewhere without recording that.
    fn is_only_location(&self, recorded_by: FencingToken) -> bool {
        recorded_by >= self.locations_since || Some(recorded_by) == self.previous_token
    }

    /// Returns the location of a task that a worker reports as running. An earlier lead may have
    /// started it elsewhere as well, after its start here had gone unanswered. In that case none
    /// is known until the take-over is settled.
    pub(super) fn adopted_location(
        &self,
        task: &ActiveTask,
        life: WorkerLife,
    ) -> Option<(WorkerLife, FencingToken)> {
        let recorded_here = matches!(
            &task.location,
            Some((recorded, by)) if *recorded == life && self.is_only_location(*by)
        );
        let is_only = recorded_here || self.take_over.settled || self.is_location_settled(task);
        is_only.then_some((life, self.token))
    }

    /// Notes where the tasks of a job run that are placed and without a location, once the take-over
    /// is settled: they run nowhere else.
    pub(super) fn settle_locations(&mut self, id: JobId) {
        let Some(job) = self.jobs.get_mut(&id).filter(|job| job.is_long_running()) else { return };
        for (task, key, _) in job.placed() {
            let Some(step) = job.step_index(&task.step) else { continue };
            let Some(index) = job.task_index(&task) else { continue };
            let is_unknown =
                job.step_spec(step).long_running && job.tasks[index].location.is_none();
            if is_unknown {
                let life = self.workers[key.0].entry.life.clone();
                job.tasks[index].location = Some((life, self.token));
                self.dirty.insert(id);
            }
        }
    }

    /// Whether the waiting tasks of a candidate may be started before the take-over is settled: it
    /// is known of each, and of each member of its gang, that it runs nowhere.
    pub(super) fn is_settled_candidate(&self, candidate: &Candidate, job: &ActiveJob) -> bool {
        let is_gang = job.step_spec(candidate.step).gang;
        let tasks = job.step_tasks(candidate.step);
        candidate.restarts && (!is_gang || tasks.iter().all(|task| self.is_settled_task(job, task)))
    }

    /// Whether the task may be started with regard to the orders of earlier leads.
    fn is_settled_task(&self, job: &ActiveJob, task: &ActiveTask) -> bool {
        self.take_over.settled || !job.unsettled_starts || self.is_location_settled(task)
    }

    /// Finds inherited long-running tasks that lost their run before or during the change of leads,
    /// once the take-over is settled.
    pub(super) fn find_lost_restarts(&mut self, id: JobId) {
        let Some(job) = self.jobs.get(&id).filter(|job| job.unsettled_starts) else { return };
        let lost =
            |(_, task): &(CellTask, &ActiveTask)| task.started_by_earlier_lead && task.waits();
        let lost: Vec<CellTask> = job.all_tasks().filter(lost).map(|(task, _)| task).collect();
        let since = self.take_over.since;
        for task in lost {
            self.note_run_ended(&task, RestartCause::EarlierLead, since);
        }
    }

    /// Notes that a worker has a run. For a long-running task this is recorded at once: if the run
    /// was lost during a change of leads, the later lead would otherwise take the task for one that
    /// never started.
    pub(super) fn note_run_confirmed(&mut self, task: &CellTask) {
        self.restarts.remove(task);
        let Some(job) = self.jobs.get(&task.step.job) else { return };
        let step = job.step_index(&task.step);
        if step.is_some_and(|step| job.step_spec(step).long_running) {
            self.dirty.insert(task.step.job);
        }
    }

    /// Finds tasks that will soon need a restart. Room and tickets for them are sought before the
    /// lease of their silent worker has ended, since the lease alone takes most of the time that
    /// users allow.
    pub(super) fn predict_restarts(&mut self, now: Moment) {
        self.restarts.expected.clear();
        self.restarts.searched.retain(|_, searched| now < searched.after(SEARCH_INTERVAL));
        for worker in self.workers.iter().filter(|worker| worker.silent_calls > 0) {
            if worker.is_over() || !worker.runs.values().any(|run| run.long_running) {
                continue;
            }
            let Some(left) = worker.lease_left(now, &self.timing) else { continue };
            if left > RESTART_LOOKAHEAD {
                continue;
            }
            let from = worker.last_answer_at.unwrap_or(now);
            for task in self.long_running_on(worker) {
                let new = ExpectedRestarts { tasks: 0, from, left };
                let expected = self.restarts.expected.entry(task.step).or_insert(new);
                expected.tasks += 1;
                expected.from = expected.from.min(from);
                expected.left = expected.left.min(left);
            }
        }
    }

    /// Returns the long-running tasks on a worker that are still wanted, without gang members.
    fn long_running_on(&self, worker: &WorkerState) -> Vec<CellTask> {
        let tasks = worker.runs.iter().filter(|(_, run)| run.long_running);
        let wanted = |task: &&CellTask| {
            let Some(job) = self.jobs.get(&task.step.job).filter(|job| !job.is_over()) else {
                return false;
            };
            job.step_index(&task.step).is_some_and(|step| !job.step_spec(step).gang)
        };
        tasks.map(|(task, _)| task).filter(wanted).copied().collect()
    }

    /// Groups the waiting tasks of a step. Gang members stay in one group.
    pub(super) fn waiting_groups(
        &self,
        job: &ActiveJob,
        step: usize,
        now: Moment,
    ) -> WaitingGroups {
        let tasks = job.step_tasks(step);
        let ready = |task: &ActiveTask| task.is_ready(now);
        if !job.step_spec(step).long_running || self.restarts.is_empty() {
            return WaitingGroups { restart_due: None, others: tasks.iter().any(ready) };
        }
        let id = job.steps[step].id;
        let expected = self.restarts.expected.get(&id).map(|expected| expected.from);
        let mut groups = WaitingGroups { restart_due: expected, others: false };
        for (index, _) in tasks.iter().enumerate().filter(|(_, task)| ready(task)) {
            match self.restarts.get(&CellTask { step: id, index: index as u16 }) {
                Some(_) if !self.is_settled_task(job, &tasks[index]) => groups.others = true,
                Some(due) => {
                    let since = groups.restart_due.unwrap_or(due.since);
                    groups.restart_due = Some(since.min(due.since));
                }
                None => groups.others = true,
            }
        }
        if job.step_spec(step).gang && groups.restart_due.is_some() {
            groups.others = false;
        }
        groups
    }

    /// Returns the waiting tasks in a candidate's group.
    pub(super) fn waiting_in_group(
        &self,
        candidate: &Candidate,
        job: &ActiveJob,
        now: Moment,
    ) -> Vec<u16> {
        let step = job.steps[candidate.step].id;
        let spec = job.step_spec(candidate.step);
        let mut waiting = waiting_tasks(job, candidate.step, now);
        if spec.long_running && !spec.gang {
            let tasks = job.step_tasks(candidate.step);
            let is_due = |index: u16| {
                let due = self.restarts.get(&CellTask { step, index }).is_some();
                due && self.is_settled_task(job, &tasks[usize::from(index)])
            };
            waiting.retain(|index| is_due(*index) == candidate.restarts);
        }
        waiting
    }

    /// Whether the tasks of a candidate still have value.
    pub(super) fn has_value(&self, candidate: &Candidate, job: &ActiveJob, now: Moment) -> bool {
        candidate.restarts || self.rank_of(job, candidate.step, now).has_value()
    }

    /// Notes what prevented the restart of a step's tasks.
    pub(super) fn note_restart_stall(
        &mut self,
        candidate: &Candidate,
        reason: Option<StallReason>,
        ahead: usize,
    ) {
        if !candidate.restarts {
            return;
        }
        let Some(job) = self.jobs.get(&candidate.job) else { return };
        let step = job.steps[candidate.step].id;
        for due in self.restarts.of_step(step) {
            (due.reason, due.ahead) = (reason, ahead);
        }
    }

    /// Drops tasks of jobs that are over, and reports tasks that have had no run for long.
    pub(super) fn report_late_restarts(&mut self, now: Moment) {
        if self.restarts.due.is_empty() {
            return;
        }
        let jobs = &self.jobs;
        let is_active =
            |task: &CellTask| jobs.get(&task.step.job).is_some_and(|job| !job.is_over());
        self.restarts.due.retain(|task, _| is_active(task));
        let late = |due: &PendingRestart| match due.reported_at {
            None => now >= due.since.after(REPORT_AFTER),
            Some(reported_at) => now >= reported_at.after(REPORT_INTERVAL),
        };
        let due = self.restarts.due.iter().filter(|(_, due)| late(due));
        let mut late: Vec<(Moment, CellTask)> = due.map(|(task, due)| (due.since, *task)).collect();
        late.sort();
        if late.is_empty() {
            return;
        }
        let open = self.open_workers(now);
        for (_, task) in late.into_iter().take(MAX_REPORTS_PER_TURN) {
            self.report_late_restart(task, &open, now);
        }
    }

    fn report_late_restart(&mut self, task: CellTask, open: &room::OpenWorkers, now: Moment) {
        let Some(step) = self.jobs.get(&task.step.job).and_then(|job| job.step_index(&task.step))
        else {
            return;
        };
        let candidate = Candidate { job: task.step.job, step, restarts: true };
        let Some(details) = self.stall_details(&candidate, open, now) else { return };
        let stale_view = self.stale_view(now);
        let unsettled = self.jobs.get(&task.step.job).and_then(|job| {
            let active_task = &job.tasks[job.task_index(&task)?];
            (!self.is_settled_task(job, active_task)).then_some(StallReason::EarlierLead)
        });
        let Some(due) = self.restarts.due.get_mut(&task) else { return };
        due.reported_at = Some(now);
        // There is no reason if the step was not examined since the task lost its run, or if nothing
        // prevented its starts last time: the worker may not have confirmed the run yet.
        let reason = stale_view.or(unsettled).or(due.reason).unwrap_or(StallReason::NoRoom);
        let (cause, ahead, without_run) = (due.cause, due.ahead, now.since(due.since));
        self.events.push(CellEvent::RestartLate {
            task,
            cause,
            without_run,
            reason,
            ahead,
            details,
        });
    }

    /// Returns figures about long-running tasks without a run.
    pub fn restart_stats(&self, now: Moment) -> RestartStats {
        let spans = self.restarts.due.values().map(|due| now.since(due.since));
        RestartStats { tasks: self.restarts.due.len(), longest: spans.max().unwrap_or_default() }
    }
}
