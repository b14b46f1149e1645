//! What the loss of a worker says of the tasks that ran there.
//!
//! Four things look alike from afar. A worker that *crashed* is told by another life that answers at its address.
//! One that *left* said so before, or answered on after the store had dropped its entry. One that is *cut* is silent
//! until its leases have lapsed; whether it crashed stays open until it answers again or another life does. A run
//! that *ended*, by its lapsed lease or otherwise, is listed by a worker that lives. Only crashes count.

use std::collections::HashMap;
use std::net::SocketAddr;

use sedgehill_core::units::{Moment, TimeSpan};

use super::*;
use crate::suspicion::{OpenRun, WorkerCrash};

/// How long a loss may stay open. A worker that crashed is back after some seconds; one that is not heard of by then
/// was taken away, and a task should not wait for it any longer.
const MAX_UNRESOLVED_SPAN: TimeSpan = TimeSpan(20_000);

/// So many others were lost with a worker, and one in so many of all, where that has a cause of its own. Tasks that crash
/// their workers take down one each second or so.
const MIN_CORRELATED_LOSSES: usize = 5;
/// See above.
const CORRELATED_LOSS_ONE_IN: usize = 4;

/// What told that a worker crashed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CrashDetection {
    /// A call for it met another life.
    OtherLife,
    /// Another life was first heard at the address where it was.
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

/// A run of which it is open whether a crash took it.
#[derive(Debug, Clone)]
struct UnresolvedEntry {
    task: CellTask,
    run: RunNumber,
    address: SocketAddr,
    since: Moment,
    /// An earlier lead ordered it: whether its start was answered is not known.
    inherited: bool,
}

/// All such runs, by the life on which they were started.
#[derive(Debug, Default)]
pub struct UnresolvedRuns {
    lives: HashMap<WorkerLife, Vec<UnresolvedEntry>>,
}

impl UnresolvedRuns {
    fn add(&mut self, life: WorkerLife, entry: UnresolvedEntry) {
        self.lives.entry(life).or_default().push(entry);
    }

    fn remove(&mut self, life: &WorkerLife, task: &CellTask, run: RunNumber) {
        let Some(entries) = self.lives.get_mut(life) else { return };
        entries.retain(|entry| (entry.task, entry.run) != (*task, run));
        if entries.is_empty() {
            self.lives.remove(life);
        }
    }
}

/// A run on a worker that is lost.
pub(super) struct LostRun {
    pub(super) task: CellTask,
    pub(super) run: RunNumber,
    /// Its start was sent.
    sent: bool,
    /// The worker had said that it was there.
    seen: bool,
    /// Nothing of another job stood beside it.
    alone: bool,
    /// Other runs that were there.
    other_runs: usize,
}

/// A crash under a task.
struct TaskCrash<'a> {
    task: CellTask,
    run: RunNumber,
    life: &'a WorkerLife,
    alone: bool,
    evidence: RunEvidence,
    other_runs: usize,
    detected_by: CrashDetection,
}

/// What is known of whether a run was there when its worker crashed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum RunEvidence {
    /// The worker had said so.
    Seen,
    /// This lead sent the start, and no answer came.
    Unanswered,
    /// An earlier lead was to send the start.
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
    /// What runs on a worker that is lost.
    pub(super) fn runs_at_loss(&self, key: WorkerKey, now: Moment) -> Vec<LostRun> {
        let worker = &self.workers[key.0];
        let sent = |phase: RunPhase| phase != RunPhase::Recording;
        let sent_count = worker.runs.values().filter(|run| sent(run.phase)).count();
        let lost = |(task, run): (&CellTask, &worker::WorkerRun)| LostRun {
            task: *task,
            run: run.run,
            sent: sent(run.phase),
            seen: run.seen,
            alone: worker.is_exclusive_for(task.step.job, now),
            other_runs: sent_count.saturating_sub(1),
        };
        worker.runs.iter().map(lost).collect()
    }

    /// Takes in what the loss of a run says of its task.
    pub(super) fn assess_lost_run(
        &mut self,
        key: WorkerKey,
        lost: &LostRun,
        cause: &LossCause,
        now: Moment,
    ) {
        let worker = &self.workers[key.0];
        let (life, address) = (worker.entry.life.clone(), worker.entry.address);
        if !lost.sent {
            return self.resolve_run(&lost.task, lost.run);
        }
        match cause {
            LossCause::WorkerEnded { .. } | LossCause::LeaseEnded(_) if worker.is_leaving() => {
                self.note_possible_crash(&lost.task, lost.run, now);
            }
            LossCause::WorkerEnded { .. } => {
                let LostRun { task, run, alone, seen, other_runs, .. } = *lost;
                let (life, detected_by) = (&life, CrashDetection::OtherLife);
                // What an earlier lead ordered is known here only once the worker has said that it runs.
                let evidence = RunEvidence::of(seen, false);
                let crash = TaskCrash { task, run, life, alone, evidence, other_runs, detected_by };
                self.count_crash(crash, now);
            }
            LossCause::LeaseEnded(_) => {
                let LostRun { run, alone, seen, .. } = *lost;
                let open = OpenRun { run, life: life.clone(), address, alone, seen };
                self.add_unresolved_run(&lost.task, open, now);
                self.events.push(CellEvent::LossUnresolved {
                    task: lost.task,
                    run: lost.run,
                    worker: life,
                });
            }
            LossCause::NotListed { .. } => self.resolve_run(&lost.task, lost.run),
        }
    }

    /// Notes a run of which it is open whether a crash will take it, or has.
    pub(super) fn add_unresolved_run(&mut self, task: &CellTask, open: OpenRun, now: Moment) {
        let Some(job) = self.jobs.get_mut(&task.step.job).filter(|job| !job.is_over()) else {
            return;
        };
        let Some(index) = job.task_index(task) else { return };
        let (run, life, address) = (open.run, open.life.clone(), open.address);
        if job.tasks[index].suspicion.open(open) {
            let inherited = false;
            self.unresolved_runs
                .add(life, UnresolvedEntry { task: *task, run, address, since: now, inherited });
            self.suspects_seen = true;
            self.dirty.insert(task.step.job);
        }
    }

    /// A run ended otherwise than by a crash, or never began.
    pub(super) fn resolve_run(&mut self, task: &CellTask, run: RunNumber) {
        let Some(job) = self.jobs.get_mut(&task.step.job) else { return };
        let Some(index) = job.task_index(task) else { return };
        if let Some(open) = job.tasks[index].suspicion.close(run) {
            self.unresolved_runs.remove(&open.life, task, run);
            self.dirty.insert(task.step.job);
        }
    }

    /// A run went with a worker that left, most likely as planned.
    fn note_possible_crash(&mut self, task: &CellTask, run: RunNumber, now: Moment) {
        self.resolve_run(task, run);
        self.add_possible_crash(task, now);
        self.dirty.insert(task.step.job);
    }

    /// A worker of the last lead was not heard: each task that it may have started, and that runs nowhere, may have
    /// been lost there by a crash.
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
            self.add_possible_crash(&task, now);
        }
    }

    fn add_possible_crash(&mut self, task: &CellTask, now: Moment) {
        let Some(job) = self.jobs.get_mut(&task.step.job).filter(|job| !job.is_over()) else {
            return;
        };
        let Some(index) = job.task_index(task) else { return };
        job.tasks[index].suspicion.doubt();
        self.fail_if_crashing(task, now);
    }

    /// Takes in what an earlier lead kept of a job's tasks.
    pub(super) fn note_inherited_suspects(&mut self, id: JobId, now: Moment) {
        let Some(job) = self.jobs.get(&id) else { return };
        self.suspects_seen |= job.has_suspects();
        let open_of = |(id, task): (CellTask, &ActiveTask)| {
            let open = task.suspicion.open.clone();
            open.into_iter().map(move |open| (id, open))
        };
        let open: Vec<(CellTask, OpenRun)> = job.all_tasks().flat_map(open_of).collect();
        for (task, open) in open {
            let OpenRun { run, life, address, .. } = open;
            let inherited = true;
            self.unresolved_runs
                .add(life.clone(), UnresolvedEntry { task, run, address, since: now, inherited });
            let replaced_at = |worker: &WorkerState| {
                let other = !worker.entry.life.may_be(&life) && worker.entry.address == address;
                other && worker.fenced && !worker.dead
            };
            if self.workers.iter().any(replaced_at) {
                self.resolve_as_crash(&life, address, CrashDetection::Successor, now);
            }
        }
    }

    /// Another life answers at an address: the runs that were started on `life` there, and whose loss was open, were taken
    /// by its crash, unless it left as planned. An entry of another writer may name any address for it; what answers
    /// where nothing of it was started says nothing.
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
        // What is not lost yet is counted when it is, which follows: more is known of it then.
        let is_lost = |entry: &&UnresolvedEntry| {
            worker.is_none_or(|worker| !worker.has_run(&entry.task, entry.run))
        };
        let was_here = |entry: &&UnresolvedEntry| entry.address == address;
        let entries: Vec<UnresolvedEntry> =
            entries.iter().filter(was_here).filter(is_lost).cloned().collect();
        for UnresolvedEntry { task, run, inherited, .. } in entries {
            let Some(open) = self.find_unresolved(&task, run) else {
                self.unresolved_runs.remove(life, &task, run);
                continue;
            };
            match leaving {
                true => self.note_possible_crash(&task, run, now),
                false => {
                    let OpenRun { alone, seen, .. } = open;
                    let evidence = RunEvidence::of(seen, inherited);
                    let other_runs = 0;
                    let crash =
                        TaskCrash { task, run, life, alone, evidence, other_runs, detected_by };
                    self.count_crash(crash, now);
                }
            }
        }
    }

    fn find_unresolved(&self, task: &CellTask, run: RunNumber) -> Option<OpenRun> {
        let job = self.jobs.get(&task.step.job)?;
        let suspicion = &job.tasks[job.task_index(task)?].suspicion;
        suspicion.open.iter().find(|open| open.run == run).cloned()
    }

    /// A worker was heard for the first time: whatever was at its address before has ended.
    pub(super) fn resolve_replaced_lives(&mut self, key: WorkerKey, now: Moment) {
        let WorkerEntry { life, address, .. } = self.workers[key.0].entry.clone();
        let others: Vec<WorkerLife> = self
            .unresolved_runs
            .lives
            .keys()
            .filter(|other| !other.may_be(&life))
            .cloned()
            .collect();
        for other in others {
            self.resolve_as_crash(&other, address, CrashDetection::Successor, now);
        }
    }

    /// A worker lives: what it does not list any more was not taken by a crash.
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

    /// Gives up to learn what became of runs that were lost long ago.
    pub(super) fn expire_unresolved_runs(&mut self, now: Moment) {
        let mut expired = Vec::new();
        for (life, entries) in &self.unresolved_runs.lives {
            let worker = self.lives.get(life).map(|key| &self.workers[key.0]);
            let is_known = |entry: &UnresolvedEntry| {
                worker.is_some_and(|worker| worker.has_run(&entry.task, entry.run))
            };
            let is_old = |entry: &&UnresolvedEntry| {
                now >= entry.since.after(MAX_UNRESOLVED_SPAN) && !is_known(entry)
            };
            let is_gone = |entry: &&UnresolvedEntry| !self.jobs.contains_key(&entry.task.step.job);
            let dropped = entries.iter().filter(|entry| is_old(entry) || is_gone(entry));
            expired.extend(dropped.map(|entry| (life.clone(), entry.task, entry.run)));
        }
        for (life, task, run) in expired {
            self.resolve_run(&task, run);
            self.unresolved_runs.remove(&life, &task, run);
        }
    }

    fn count_crash(&mut self, crash: TaskCrash<'_>, now: Moment) {
        let TaskCrash { task, run, life, alone, evidence, other_runs, detected_by } = crash;
        if evidence == RunEvidence::Unanswered {
            return self.note_unanswered(&crash, now);
        }
        if let Some(others) = self.count_correlated_losses(life, task.step.job) {
            let worker = life.clone();
            self.events.push(CellEvent::CorrelatedCrash { task, run, worker, others });
            return self.note_together(&task, run, now);
        }
        self.suspects_seen = true;
        self.resolve_run(&task, run);
        let at_unix_ms = self.unix_ms_at(now);
        let Some(job) = self.jobs.get_mut(&task.step.job).filter(|job| !job.is_over()) else {
            return;
        };
        let Some(index) = job.task_index(&task) else { return };
        let active_task = &mut job.tasks[index];
        let seen = evidence == RunEvidence::Seen;
        let counted = WorkerCrash { life: life.clone(), alone, seen, at_unix_ms };
        if active_task.progress.done || !active_task.suspicion.count(counted) {
            return;
        }
        let crashes = &active_task.suspicion.crashes;
        let count = crashes.len();
        if count > 1 {
            // Most likely they are this task's doing.
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

    /// A worker crashed on which a start went unanswered.
    fn note_unanswered(&mut self, crash: &TaskCrash<'_>, now: Moment) {
        let TaskCrash { task, run, life, alone, .. } = *crash;
        self.suspects_seen = true;
        self.resolve_run(&task, run);
        let at_unix_ms = self.unix_ms_at(now);
        let Some(job) = self.jobs.get_mut(&task.step.job).filter(|job| !job.is_over()) else {
            return;
        };
        let Some(index) = job.task_index(&task) else { return };
        let active_task = &mut job.tasks[index];
        let worker = life.clone();
        let lost = WorkerCrash { life: worker.clone(), alone, seen: false, at_unix_ms };
        if active_task.progress.done || !active_task.suspicion.note_unanswered(lost) {
            return;
        }
        let count = active_task.suspicion.unanswered.len();
        self.dirty.insert(task.step.job);
        self.events.push(CellEvent::UnansweredStartLost { task, run, worker, count });
        self.fail_if_crashing(&task, now);
    }

    /// How many other workers, on which nothing of a job was, were lost at the moment at which a life was; none if so few
    /// that they may have been lost by themselves.
    ///
    /// A crash says something of a task only as far as it was unlikely without it. Workers that go down together have one
    /// cause: a rack, a hall, power. It is none of the tasks on one of them, unless all had something of the same job.
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

    fn note_together(&mut self, task: &CellTask, run: RunNumber, now: Moment) {
        self.suspects_seen = true;
        self.resolve_run(task, run);
        let at_unix_ms = self.unix_ms_at(now);
        let Some(job) = self.jobs.get_mut(&task.step.job).filter(|job| !job.is_over()) else {
            return;
        };
        let Some(index) = job.task_index(task) else { return };
        let active_task = &mut job.tasks[index];
        if !active_task.progress.done {
            active_task.suspicion.note_together(at_unix_ms);
            self.dirty.insert(task.step.job);
            self.fail_if_crashing(task, now);
        }
    }

    /// Counts the start of a task under which workers were lost.
    pub(super) fn count_suspect_start(&mut self, task: &CellTask, run: RunNumber) {
        let Some(job) = self.jobs.get_mut(&task.step.job) else { return };
        let Some(index) = job.task_index(task) else { return };
        let active_task = &mut job.tasks[index];
        active_task.counted_start = active_task.suspicion.note_start().then_some(run);
    }

    /// No worker carried out a start: what users allow after crashes is not used up by it. Orders that went unanswered and
    /// never began had a task given up that had lost one worker.
    pub(super) fn note_never_started(&mut self, task: &CellTask, run: RunNumber) {
        self.resolve_run(task, run);
        let Some(job) = self.jobs.get_mut(&task.step.job) else { return };
        let Some(index) = job.task_index(task) else { return };
        let active_task = &mut job.tasks[index];
        if active_task.counted_start.take_if(|counted| *counted == run).is_some() {
            active_task.suspicion.take_back_start();
            self.dirty.insert(task.step.job);
        }
    }

    /// Gives up tasks of a step that may not be started any more. Returns whether there were any.
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
        let suspicion = &task.suspicion;
        if suspicion.is_clear() {
            return false;
        }
        let living = self.workers.iter().filter(|worker| !worker.dead && worker.listed).count();
        let run = job.step_spec(step).estimate;
        let alone = self.background_crashes.required_alone_crashes(living.max(1), run, now);
        suspicion.is_guilty(alone)
    }

    /// Gives a task up if it is taken as the cause of crashes.
    fn fail_if_crashing(&mut self, task: &CellTask, now: Moment) {
        let Some(job) = self.jobs.get(&task.step.job) else { return };
        let (Some(step), Some(index)) = (job.step_index(&task.step), job.task_index(task)) else {
            return;
        };
        if !self.is_crash_cause(job, step, &job.tasks[index], now) {
            return;
        }
        let crashes = job.tasks[index].suspicion.crashes.iter();
        let workers: Vec<WorkerLife> = crashes.map(|crash| crash.life.clone()).collect();
        self.events.push(CellEvent::TaskGivenUp { task: *task, workers });
        self.fail_job(task.step.job, "job failed", now);
    }
}
