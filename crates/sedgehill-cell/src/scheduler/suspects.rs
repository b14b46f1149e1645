//! Assesses what the loss of a worker says about the tasks that ran there.
//!
//! Four cases look similar from outside, and only a crash counts against a task:
//!
//! - A worker that *crashed* is recognised by another life that answers at its address.
//! - A worker that *left* was draining before, or still answered after its entry had gone from the
//!   store.
//! - A worker that is *cut off* stays silent until its leases have ended. Whether it crashed is
//!   unresolved until it answers again or another life does.
//! - A run that *ended*, because of its lease or otherwise, is reported by a live worker.

use std::net::SocketAddr;

use sedgehill_core::units::{Moment, TimeSpan};

use super::unresolved::UnresolvedEntry;
use super::*;
use crate::crash_history::{UnresolvedRun, WorkerCrash};

/// The losses of workers at one moment are correlated, and have a cause of their own, if at least
/// this many others were lost too, and at least one in [`CORRELATED_LOSS_ONE_IN`] of all. Tasks
/// that crash their workers take down about one each second.
const MIN_CORRELATED_LOSSES: usize = 5;
/// The share of all workers that must be lost together to be correlated: one in this many.
const CORRELATED_LOSS_ONE_IN: usize = 4;

/// How a crash was detected.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CrashDetection {
    /// A call for the worker was answered by another life.
    OtherLife,
    /// Another life first answered at the worker's address.
    Successor,
}

impl CrashDetection {
    /// The name in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            CrashDetection::OtherLife => "other_life",
            CrashDetection::Successor => "successor",
        }
    }
}

/// A run on a worker that was lost.
pub(super) struct LostRun {
    pub(super) task: CellTask,
    pub(super) run: RunNumber,
    /// Its start was sent.
    sent: bool,
    /// The worker had said that it was there.
    seen: bool,
    /// No run of another job that could have caused a crash was there.
    alone: bool,
    /// It had run for so long that it is most likely not the cause.
    settled: bool,
    /// The number of other runs that were there.
    other_runs: usize,
}

/// A crash of a worker while a task ran there.
struct TaskCrash<'a> {
    task: CellTask,
    run: RunNumber,
    life: &'a WorkerLife,
    alone: bool,
    evidence: RunEvidence,
    other_runs: usize,
    detected_by: CrashDetection,
}

/// What is known of whether a run had started when its worker crashed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum RunEvidence {
    /// The worker had said that it had.
    Seen,
    /// This lead sent the start and got no answer.
    Unanswered,
    /// An earlier lead recorded the start and may have sent it.
    Unknown,
}

impl RunEvidence {
    fn of(seen: bool, inherited: bool) -> RunEvidence {
        match (seen, inherited) {
            (true, _) => RunEvidence::Seen,
            (false, true) => RunEvidence::Unknown,
            (false, false) => RunEvidence::Unanswered,
        }
    }
}

impl Scheduler {
    /// Returns the runs on a worker that is being lost.
    pub(super) fn runs_at_loss(&self, key: WorkerKey, now: Moment) -> Vec<LostRun> {
        let worker = &self.workers[key.0];
        let sent = |phase: RunPhase| phase != RunPhase::Recording;
        let sent_count = worker.runs.values().filter(|run| sent(run.phase)).count();
        let lost = |(task, run): (&CellTask, &worker_run::WorkerRun)| LostRun {
            task: *task,
            run: run.run,
            sent: sent(run.phase),
            seen: run.seen,
            alone: worker.was_alone(task, run, now),
            settled: worker.was_settled(run),
            other_runs: sent_count.saturating_sub(1),
        };
        worker.runs.iter().map(lost).collect()
    }

    /// Updates a task's crash history for a run that was lost.
    pub(super) fn assess_lost_run(
        &mut self,
        key: WorkerKey,
        lost: &LostRun,
        cause: &LossCause,
        now: Moment,
    ) {
        let worker = &self.workers[key.0];
        let (life, address) = (worker.entry.life.clone(), worker.entry.address);
        let leaving = worker.is_leaving();
        if !lost.sent {
            return self.resolve_run(&lost.task, lost.run);
        }
        if lost.settled {
            self.note_settled_loss(&lost.task, &life);
        }
        match cause {
            LossCause::WorkerEnded { .. } | LossCause::LeaseEnded(_) if leaving => {
                self.note_possible_crash(&lost.task, lost.run, now);
            }
            LossCause::WorkerEnded { .. } => {
                let LostRun { task, run, alone, seen, other_runs, .. } = *lost;
                let (life, detected_by) = (&life, CrashDetection::OtherLife);
                // This lead tracks runs ordered by an earlier lead only after the worker has
                // reported them.
                let evidence = RunEvidence::of(seen, false);
                let crash = TaskCrash { task, run, life, alone, evidence, other_runs, detected_by };
                self.count_crash(crash, now);
            }
            LossCause::LeaseEnded(_) => {
                let LostRun { run, alone, seen, .. } = *lost;
                let waited = Some(TimeSpan(0));
                let unresolved =
                    UnresolvedRun { run, life: life.clone(), address, alone, seen, waited };
                self.add_unresolved_run(&lost.task, unresolved, now);
                self.events.push(CellEvent::LossUnresolved {
                    task: lost.task,
                    run: lost.run,
                    worker: life,
                });
            }
            LossCause::NotListed { .. } | LossCause::StartExpired { .. } => {
                self.resolve_run(&lost.task, lost.run);
            }
        }
    }

    fn note_settled_loss(&mut self, task: &CellTask, life: &WorkerLife) {
        let Some(job) = self.jobs.get_mut(&task.step.job) else { return };
        let Some(index) = job.task_index(task) else { return };
        job.tasks[index].crash_history.note_settled(life.clone());
    }

    /// Notes a run that was lost with a worker that most likely left as planned.
    fn note_possible_crash(&mut self, task: &CellTask, run: RunNumber, now: Moment) {
        self.remove_unresolved(task, run);
        self.add_possible_crash(task, now);
    }

    /// Notes a possible crash for each task of a job that an earlier lead may have started and that
    /// runs nowhere, if a worker of that lead was not heard.
    pub(super) fn note_possible_crashes(&mut self, id: JobId, now: Moment) {
        let Some(job) = self.jobs.get(&id).filter(|job| job.unsettled_starts) else { return };
        if !self.take_over.lost_workers {
            return;
        }
        let unseen: Vec<CellTask> =
            job.all_tasks().filter(|(_, task)| task.waits()).map(|(id, _)| id).collect();
        if job.state == JobState::Running && !unseen.is_empty() {
            self.delayed.insert(id);
            self.delayed_since.get_or_insert(now);
        }
        for task in unseen {
            // Each start of a task with a crash history was recorded ahead, so its losses are known.
            if !self.has_crash_history(&task) {
                self.add_possible_crash(&task, now);
            }
        }
    }

    fn has_crash_history(&self, task: &CellTask) -> bool {
        let Some(job) = self.jobs.get(&task.step.job) else { return false };
        let Some(index) = job.task_index(task) else { return false };
        !job.tasks[index].crash_history.is_empty()
    }

    fn add_possible_crash(&mut self, task: &CellTask, now: Moment) {
        let Some(job) = self.jobs.get_mut(&task.step.job).filter(|job| !job.is_over()) else {
            return;
        };
        let Some(index) = job.task_index(task) else { return };
        job.tasks[index].crash_history.note_unconfirmed();
        self.dirty.insert(task.step.job);
        self.fail_if_crashing(task, now);
    }

    /// Adds the unresolved runs that earlier leads recorded for a job.
    pub(super) fn note_inherited_suspects(&mut self, id: JobId, now: Moment) {
        let Some(job) = self.jobs.get(&id) else { return };
        self.suspects_seen |= job.has_suspects();
        let unresolved_of = |(id, task): (CellTask, &ActiveTask)| {
            let unresolved = task.crash_history.unresolved.clone();
            unresolved.into_iter().map(move |unresolved| (id, unresolved))
        };
        let unresolved: Vec<(CellTask, UnresolvedRun)> =
            job.all_tasks().flat_map(unresolved_of).collect();
        for (task, unresolved) in unresolved {
            let (life, address) = (unresolved.life.clone(), unresolved.address);
            self.inherit_unresolved_run(task, unresolved, now);
            let is_successor = |worker: &WorkerState| {
                let other = !worker.entry.life.may_equal(&life) && worker.entry.address == address;
                other && worker.fenced && !worker.dead
            };
            if self.workers.iter().any(is_successor) {
                self.resolve_as_crash(&life, address, CrashDetection::Successor, now);
            }
        }
    }

    /// Resolves the runs of `life` at an address where another life answers: they were lost in a
    /// crash, unless the worker left as planned. Only runs that were started at this address count,
    /// since a foreign entry may list the life at any address.
    pub(super) fn resolve_as_crash(
        &mut self,
        life: &WorkerLife,
        address: SocketAddr,
        detected_by: CrashDetection,
        now: Moment,
    ) {
        let Some(entries) = self.unresolved_runs.lives.get(life) else { return };
        let worker = self.lives.get(life).map(|key| &self.workers[key.0]);
        let leaving = worker.is_some_and(WorkerState::is_leaving);
        // A run that is not lost yet is counted when it is, which happens next and with more
        // evidence.
        let is_lost = |entry: &&UnresolvedEntry| {
            worker.is_none_or(|worker| !worker.has_run(&entry.task, entry.run))
        };
        let was_here = |entry: &&UnresolvedEntry| entry.address == address;
        let entries: Vec<UnresolvedEntry> =
            entries.iter().filter(was_here).filter(is_lost).cloned().collect();
        for UnresolvedEntry { task, run, inherited, .. } in entries {
            let Some(unresolved) = self.find_unresolved(&task, run) else {
                self.unresolved_runs.remove(life, &task, run);
                continue;
            };
            match leaving {
                true => self.note_possible_crash(&task, run, now),
                false => {
                    let UnresolvedRun { alone, seen, .. } = unresolved;
                    let evidence = RunEvidence::of(seen, inherited);
                    let other_runs = 0;
                    let crash =
                        TaskCrash { task, run, life, alone, evidence, other_runs, detected_by };
                    self.count_crash(crash, now);
                }
            }
        }
    }

    fn find_unresolved(&self, task: &CellTask, run: RunNumber) -> Option<UnresolvedRun> {
        let job = self.jobs.get(&task.step.job)?;
        let crash_history = &job.tasks[job.task_index(task)?].crash_history;
        crash_history.unresolved.iter().find(|unresolved| unresolved.run == run).cloned()
    }

    /// Resolves the runs of earlier lives at the address of a worker that has reported for the
    /// first time.
    pub(super) fn resolve_replaced_lives(&mut self, key: WorkerKey, now: Moment) {
        let WorkerEntry { life, address, .. } = self.workers[key.0].entry.clone();
        for other in self.unresolved_runs.lives_at(address) {
            if other.may_equal(&life) {
                continue;
            }
            self.resolve_as_crash(&other, address, CrashDetection::Successor, now);
        }
    }

    /// Resolves runs that a live worker no longer reports: they did not end in a crash.
    pub(super) fn resolve_as_alive(&mut self, key: WorkerKey, report: &HoldReport, sent: Moment) {
        let worker = &self.workers[key.0];
        let Some(entries) = self.unresolved_runs.lives.get(&worker.entry.life) else { return };
        let known = |entry: &UnresolvedEntry| worker.has_run(&entry.task, entry.run);
        let listed = |entry: &UnresolvedEntry| {
            report.running.iter().any(|row| (row.task, row.run) == (entry.task, entry.run))
        };
        let ended =
            |entry: &&UnresolvedEntry| entry.since < sent && !known(entry) && !listed(entry);
        let ended: Vec<UnresolvedEntry> = entries.iter().filter(ended).cloned().collect();
        let life = worker.entry.life.clone();
        for UnresolvedEntry { task, run, .. } in ended {
            self.resolve_run(&task, run);
            self.events.push(CellEvent::LossCleared { task, run, worker: life.clone() });
        }
    }

    /// Counts a crash in the history of the task, unless the evidence is weaker: the start was not
    /// answered, or other workers were lost at the same time.
    fn count_crash(&mut self, crash: TaskCrash<'_>, now: Moment) {
        let TaskCrash { task, run, life, alone, evidence, other_runs, detected_by } = crash;
        if evidence == RunEvidence::Unanswered {
            return self.count_unanswered_start(&crash, now);
        }
        if let Some(others) = self.count_correlated_losses(life, task.step.job) {
            let worker = life.clone();
            self.events.push(CellEvent::CorrelatedCrash { task, run, worker, others });
            return self.count_correlated_crash(&task, run, now);
        }
        self.suspects_seen = true;
        self.remove_unresolved(&task, run);
        let at_unix_ms = self.unix_ms_at(now);
        let Some(job) = self.jobs.get_mut(&task.step.job).filter(|job| !job.is_over()) else {
            return;
        };
        let Some(index) = job.task_index(&task) else { return };
        let active_task = &mut job.tasks[index];
        let seen = evidence == RunEvidence::Seen;
        let counted = WorkerCrash { life: life.clone(), alone, seen, at_unix_ms };
        if active_task.progress.done || !active_task.crash_history.note_crash(counted) {
            return;
        }
        let crashes = &active_task.crash_history.crashes;
        let count = crashes.len();
        if count > 1 {
            // They were most likely caused by this task.
            crashes.iter().for_each(|crash| self.background_crashes.remove_explained(&crash.life));
        }
        self.dirty.insert(task.step.job);
        let worker = life.clone();
        self.events.push(CellEvent::CrashCounted {
            task,
            run,
            worker,
            alone,
            seen,
            other_runs,
            detected_by,
            count,
        });
        self.fail_if_crashing(&task, now);
    }

    /// Notes a crash of a worker on which a start of the task had not been answered.
    fn count_unanswered_start(&mut self, crash: &TaskCrash<'_>, now: Moment) {
        let TaskCrash { task, run, life, alone, .. } = *crash;
        self.suspects_seen = true;
        self.remove_unresolved(&task, run);
        let at_unix_ms = self.unix_ms_at(now);
        let Some(job) = self.jobs.get_mut(&task.step.job).filter(|job| !job.is_over()) else {
            return;
        };
        let Some(index) = job.task_index(&task) else { return };
        let active_task = &mut job.tasks[index];
        let worker = life.clone();
        let lost = WorkerCrash { life: worker.clone(), alone, seen: false, at_unix_ms };
        if active_task.progress.done || !active_task.crash_history.note_unanswered(lost) {
            return;
        }
        let count = active_task.crash_history.unanswered.len();
        self.dirty.insert(task.step.job);
        self.events.push(CellEvent::UnansweredStartLost { task, run, worker, count });
        self.fail_if_crashing(&task, now);
    }

    /// Returns how many other workers without runs of `job` were lost together with `life`; none if
    /// these are too few to be correlated.
    ///
    /// A crash is evidence against a task only as far as it was unlikely without the task. Workers
    /// that fail together have a common cause, such as a rack, a data hall or power. A task on one
    /// of them is not that cause, unless all of them had runs of its job.
    fn count_correlated_losses(&self, life: &WorkerLife, job: JobId) -> Option<usize> {
        let window = self.workers[self.lives.get(life)?.0].loss_window()?;
        let living = self.workers.iter().filter(|worker| worker.listed && !worker.dead).count();
        let lost_together = |worker: &&WorkerState| {
            let overlaps = |span: (Moment, Moment)| span.0 <= window.1 && window.0 <= span.1;
            worker.loss_window().is_some_and(overlaps) && !worker.had_job(job)
        };
        let others = self.workers.iter().filter(lost_together).count();
        let min_losses = (living / CORRELATED_LOSS_ONE_IN).max(MIN_CORRELATED_LOSSES);
        (others >= min_losses).then_some(others)
    }

    /// Notes a crash that happened together with those of many other workers.
    fn count_correlated_crash(&mut self, task: &CellTask, run: RunNumber, now: Moment) {
        self.suspects_seen = true;
        self.remove_unresolved(task, run);
        let at_unix_ms = self.unix_ms_at(now);
        let Some(job) = self.jobs.get_mut(&task.step.job).filter(|job| !job.is_over()) else {
            return;
        };
        let Some(index) = job.task_index(task) else { return };
        let active_task = &mut job.tasks[index];
        if !active_task.progress.done {
            active_task.crash_history.note_correlated(at_unix_ms);
            self.dirty.insert(task.step.job);
            self.fail_if_crashing(task, now);
        }
    }

    /// Counts a start of a task with a crash history.
    pub(super) fn count_suspect_start(&mut self, task: &CellTask, run: RunNumber) {
        let Some(job) = self.jobs.get_mut(&task.step.job) else { return };
        let Some(index) = job.task_index(task) else { return };
        let active_task = &mut job.tasks[index];
        active_task.counted_start = active_task.crash_history.count_start().then_some(run);
        if active_task.counted_start.is_some() {
            let count = active_task.crash_history.further_starts;
            self.events.push(CellEvent::FurtherStart { task: *task, run, count });
        }
    }

    /// Notes that no worker carried out a start, so that it does not count against the starts that
    /// users allow after crashes. Without this, unanswered orders that never started caused a task
    /// to be given up that had lost one worker.
    pub(super) fn note_never_started(&mut self, task: &CellTask, run: RunNumber) {
        self.resolve_run(task, run);
        let Some(job) = self.jobs.get_mut(&task.step.job) else { return };
        let Some(index) = job.task_index(task) else { return };
        let active_task = &mut job.tasks[index];
        if active_task.counted_start.take_if(|counted| *counted == run).is_some() {
            active_task.crash_history.uncount_start();
            self.dirty.insert(task.step.job);
        }
    }

    /// Fails a job if a waiting task of the step must not be started again. Returns whether there
    /// is such a task.
    pub(super) fn fail_crashing_step(&mut self, id: JobId, step: usize, now: Moment) -> bool {
        let Some(job) = self.jobs.get(&id).filter(|_| self.suspects_seen) else { return false };
        let is_crash_cause =
            |task: &ActiveTask| task.waits() && self.is_crash_cause(job, step, task, now);
        let Some(index) = job.step_tasks(step).iter().position(is_crash_cause) else {
            return false;
        };
        let task = CellTask { step: job.steps[step].id, index: index as u16 };
        self.fail_if_crashing(&task, now);
        true
    }

    fn is_crash_cause(&self, job: &ActiveJob, step: usize, task: &ActiveTask, now: Moment) -> bool {
        let crash_history = &task.crash_history;
        if crash_history.is_empty() {
            return false;
        }
        let living = self.workers.iter().filter(|worker| !worker.dead && worker.listed).count();
        let run = job.step_spec(step).estimate;
        let alone = self.background_crashes.required_alone_crashes(living.max(1), run, now);
        crash_history.is_crash_cause(alone)
    }

    /// Fails the job of a task that is considered the cause of crashes.
    fn fail_if_crashing(&mut self, task: &CellTask, now: Moment) {
        let Some(job) = self.jobs.get(&task.step.job) else { return };
        let (Some(step), Some(index)) = (job.step_index(&task.step), job.task_index(task)) else {
            return;
        };
        if !self.is_crash_cause(job, step, &job.tasks[index], now) {
            return;
        }
        let crashes = job.tasks[index].crash_history.crashes.iter();
        let workers: Vec<WorkerLife> = crashes.map(|crash| crash.life.clone()).collect();
        self.events.push(CellEvent::TaskGivenUp { task: *task, workers });
        self.fail_job(task.step.job, "job failed", now);
    }
}
