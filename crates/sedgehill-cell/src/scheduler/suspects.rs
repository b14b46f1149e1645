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
use crate::crash_history::{UnresolvedRun, WorkerCrash};

/// How long a loss may stay open. A worker that crashed is back after some seconds; one that is not heard of by then
/// was taken away, and a task should not wait for it any longer.
const OPEN_MOST: TimeSpan = TimeSpan(20_000);

/// So many others were lost with a worker, and one in so many of all, where that has a cause of its own. Tasks that crash
/// their workers take down one each second or so.
const LOST_LEAST: usize = 5;
/// See above.
const LOST_ONE_IN: usize = 4;

/// What told that a worker crashed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CrashSign {
    /// A call for it met another life.
    OtherLife,
    /// Another life was first heard at the address where it was.
    Successor,
}

impl CrashSign {
    /// The name in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            CrashSign::OtherLife => "other_life",
            CrashSign::Successor => "successor",
        }
    }
}

/// A run of which it is open whether a crash took it.
#[derive(Debug, Clone)]
struct OpenMark {
    task: CellTask,
    run: RunNumber,
    address: SocketAddr,
    since: Moment,
    /// An earlier lead ordered it: whether its start was answered is not known.
    inherited: bool,
}

/// All such runs, by the life on which they were started.
#[derive(Debug, Default)]
pub struct OpenRuns {
    lives: HashMap<WorkerLife, Vec<OpenMark>>,
}

impl OpenRuns {
    fn add(&mut self, life: WorkerLife, mark: OpenMark) {
        self.lives.entry(life).or_default().push(mark);
    }

    fn remove(&mut self, life: &WorkerLife, task: &CellTask, run: RunNumber) {
        let Some(marks) = self.lives.get_mut(life) else { return };
        marks.retain(|mark| (mark.task, mark.run) != (*task, run));
        if marks.is_empty() {
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
    beside: usize,
}

/// A crash under a task.
struct CrashUnder<'a> {
    task: CellTask,
    run: RunNumber,
    life: &'a WorkerLife,
    alone: bool,
    evidence: RunEvidence,
    beside: usize,
    sign: CrashSign,
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
        let there = worker.runs.values().filter(|run| sent(run.phase)).count();
        let lost = |(task, run): (&CellTask, &worker::WorkerRun)| LostRun {
            task: *task,
            run: run.run,
            sent: sent(run.phase),
            seen: run.seen,
            alone: worker.is_clear_for(task.step.job, now),
            beside: there.saturating_sub(1),
        };
        worker.runs.iter().map(lost).collect()
    }

    /// Takes in what the loss of a run says of its task.
    pub(super) fn note_lost(
        &mut self,
        key: WorkerKey,
        lost: &LostRun,
        cause: &LossCause,
        now: Moment,
    ) {
        let worker = &self.workers[key.0];
        let (life, address) = (worker.entry.life.clone(), worker.entry.address);
        if !lost.sent {
            return self.close_run(&lost.task, lost.run);
        }
        match cause {
            LossCause::WorkerEnded { .. } | LossCause::LeaseEnded(_) if worker.is_leaving() => {
                self.doubt_run(&lost.task, lost.run, now);
            }
            LossCause::WorkerEnded { .. } => {
                let LostRun { task, run, alone, seen, beside, .. } = *lost;
                let (life, sign) = (&life, CrashSign::OtherLife);
                // What an earlier lead ordered is known here only once the worker has said that it runs.
                let evidence = RunEvidence::of(seen, false);
                let crash = CrashUnder { task, run, life, alone, evidence, beside, sign };
                self.count_crash(crash, now);
            }
            LossCause::LeaseEnded(_) => {
                let LostRun { run, alone, seen, .. } = *lost;
                let open = UnresolvedRun { run, life: life.clone(), address, alone, seen };
                self.open_run(&lost.task, open, now);
                self.events.push(CellEvent::LossOpen {
                    task: lost.task,
                    run: lost.run,
                    worker: life,
                });
            }
            LossCause::NotListed { .. } => self.close_run(&lost.task, lost.run),
        }
    }

    /// Notes a run of which it is open whether a crash will take it, or has.
    pub(super) fn open_run(&mut self, task: &CellTask, open: UnresolvedRun, now: Moment) {
        let Some(job) = self.jobs.get_mut(&task.step.job).filter(|job| !job.is_over()) else {
            return;
        };
        let Some(index) = job.task_index(task) else { return };
        let (run, life, address) = (open.run, open.life.clone(), open.address);
        if job.tasks[index].suspicion.add_unresolved(open) {
            let inherited = false;
            self.open_runs.add(life, OpenMark { task: *task, run, address, since: now, inherited });
            self.suspects_seen = true;
            self.dirty.insert(task.step.job);
        }
    }

    /// A run ended otherwise than by a crash, or never began.
    pub(super) fn close_run(&mut self, task: &CellTask, run: RunNumber) {
        let Some(job) = self.jobs.get_mut(&task.step.job) else { return };
        let Some(index) = job.task_index(task) else { return };
        if let Some(open) = job.tasks[index].suspicion.resolve(run) {
            self.open_runs.remove(&open.life, task, run);
            self.dirty.insert(task.step.job);
        }
    }

    /// A run went with a worker that left, most likely as planned.
    fn doubt_run(&mut self, task: &CellTask, run: RunNumber, now: Moment) {
        self.close_run(task, run);
        self.doubt_task(task, now);
        self.dirty.insert(task.step.job);
    }

    /// A worker of the last lead was not heard: each task that it may have started, and that runs nowhere, may have
    /// been lost there by a crash.
    pub(super) fn doubt_unseen(&mut self, id: JobId, now: Moment) {
        let Some(job) = self.jobs.get(&id).filter(|job| job.foreign_orders) else { return };
        if !self.take_over.lost_workers {
            return;
        }
        let unseen: Vec<CellTask> =
            job.all_tasks().filter(|(_, task)| task.waits()).map(|(id, _)| id).collect();
        if job.state == JobState::Running && !unseen.is_empty() {
            self.lazy.insert(id);
            self.lazy_since.get_or_insert(now);
        }
        for task in unseen {
            self.doubt_task(&task, now);
        }
    }

    fn doubt_task(&mut self, task: &CellTask, now: Moment) {
        let Some(job) = self.jobs.get_mut(&task.step.job).filter(|job| !job.is_over()) else {
            return;
        };
        let Some(index) = job.task_index(task) else { return };
        job.tasks[index].suspicion.note_unconfirmed();
        self.judge(task, now);
    }

    /// Takes in what an earlier lead kept of a job's tasks.
    pub(super) fn note_inherited_suspects(&mut self, id: JobId, now: Moment) {
        let Some(job) = self.jobs.get(&id) else { return };
        self.suspects_seen |= job.has_suspects();
        let open_of = |(id, task): (CellTask, &work::TaskWork)| {
            let open = task.suspicion.unresolved.clone();
            open.into_iter().map(move |open| (id, open))
        };
        let open: Vec<(CellTask, UnresolvedRun)> = job.all_tasks().flat_map(open_of).collect();
        for (task, open) in open {
            let UnresolvedRun { run, life, address, .. } = open;
            let inherited = true;
            self.open_runs
                .add(life.clone(), OpenMark { task, run, address, since: now, inherited });
            let followed = |worker: &WorkerState| {
                let other = !worker.entry.life.may_equal(&life) && worker.entry.address == address;
                other && worker.fenced && !worker.dead
            };
            if self.workers.iter().any(followed) {
                self.settle_crashed(&life, address, CrashSign::Successor, now);
            }
        }
    }

    /// Another life answers at an address: the runs that were started on `life` there, and whose loss was open, were taken
    /// by its crash, unless it left as planned. An entry of another writer may name any address for it; what answers
    /// where nothing of it was started says nothing.
    pub(super) fn settle_crashed(
        &mut self,
        life: &WorkerLife,
        address: SocketAddr,
        sign: CrashSign,
        now: Moment,
    ) {
        let Some(marks) = self.open_runs.lives.get(life) else { return };
        let worker = self.lives.get(life).map(|key| &self.workers[key.0]);
        let leaving = worker.is_some_and(WorkerState::is_leaving);
        // What is not lost yet is counted when it is, which follows: more is known of it then.
        let is_lost =
            |mark: &&OpenMark| worker.is_none_or(|worker| !worker.has_run(&mark.task, mark.run));
        let was_here = |mark: &&OpenMark| mark.address == address;
        let marks: Vec<OpenMark> = marks.iter().filter(was_here).filter(is_lost).cloned().collect();
        for OpenMark { task, run, inherited, .. } in marks {
            let Some(open) = self.find_open(&task, run) else {
                self.open_runs.remove(life, &task, run);
                continue;
            };
            match leaving {
                true => self.doubt_run(&task, run, now),
                false => {
                    let UnresolvedRun { alone, seen, .. } = open;
                    let evidence = RunEvidence::of(seen, inherited);
                    let beside = 0;
                    let crash = CrashUnder { task, run, life, alone, evidence, beside, sign };
                    self.count_crash(crash, now);
                }
            }
        }
    }

    fn find_open(&self, task: &CellTask, run: RunNumber) -> Option<UnresolvedRun> {
        let job = self.jobs.get(&task.step.job)?;
        let suspicion = &job.tasks[job.task_index(task)?].suspicion;
        suspicion.unresolved.iter().find(|open| open.run == run).cloned()
    }

    /// A worker was heard for the first time: whatever was at its address before has ended.
    pub(super) fn settle_followed(&mut self, key: WorkerKey, now: Moment) {
        let WorkerEntry { life, address, .. } = self.workers[key.0].entry.clone();
        let others: Vec<WorkerLife> =
            self.open_runs.lives.keys().filter(|other| !other.may_equal(&life)).cloned().collect();
        for other in others {
            self.settle_crashed(&other, address, CrashSign::Successor, now);
        }
    }

    /// A worker lives: what it does not list any more was not taken by a crash.
    pub(super) fn settle_living(&mut self, key: WorkerKey, report: &HoldReport, sent: Moment) {
        let worker = &self.workers[key.0];
        let Some(marks) = self.open_runs.lives.get(&worker.entry.life) else { return };
        let known = |mark: &OpenMark| worker.has_run(&mark.task, mark.run);
        let listed = |mark: &OpenMark| {
            report.running.iter().any(|row| (row.task, row.run) == (mark.task, mark.run))
        };
        let over = |mark: &&OpenMark| mark.since < sent && !known(mark) && !listed(mark);
        let over: Vec<OpenMark> = marks.iter().filter(over).cloned().collect();
        let life = worker.entry.life.clone();
        for OpenMark { task, run, .. } in over {
            self.close_run(&task, run);
            self.events.push(CellEvent::LossCleared { task, run, worker: life.clone() });
        }
    }

    /// Gives up to learn what became of runs that were lost long ago.
    pub(super) fn expire_open_runs(&mut self, now: Moment) {
        let mut expired = Vec::new();
        for (life, marks) in &self.open_runs.lives {
            let worker = self.lives.get(life).map(|key| &self.workers[key.0]);
            let is_known =
                |mark: &OpenMark| worker.is_some_and(|worker| worker.has_run(&mark.task, mark.run));
            let is_old = |mark: &&OpenMark| now >= mark.since.after(OPEN_MOST) && !is_known(mark);
            let is_gone = |mark: &&OpenMark| !self.jobs.contains_key(&mark.task.step.job);
            let over = marks.iter().filter(|mark| is_old(mark) || is_gone(mark));
            expired.extend(over.map(|mark| (life.clone(), mark.task, mark.run)));
        }
        for (life, task, run) in expired {
            self.close_run(&task, run);
            self.open_runs.remove(&life, &task, run);
        }
    }

    fn count_crash(&mut self, crash: CrashUnder<'_>, now: Moment) {
        let CrashUnder { task, run, life, alone, evidence, beside, sign } = crash;
        if evidence == RunEvidence::Unanswered {
            return self.note_unanswered(&crash, now);
        }
        if let Some(others) = self.lost_with(life, task.step.job) {
            let worker = life.clone();
            self.events.push(CellEvent::LostTogether { task, run, worker, others });
            return self.note_together(&task, run, now);
        }
        self.suspects_seen = true;
        self.close_run(&task, run);
        let at_unix_ms = self.unix_ms_at(now);
        let Some(job) = self.jobs.get_mut(&task.step.job).filter(|job| !job.is_over()) else {
            return;
        };
        let Some(index) = job.task_index(&task) else { return };
        let work = &mut job.tasks[index];
        let seen = evidence == RunEvidence::Seen;
        let counted = WorkerCrash { life: life.clone(), alone, seen, at_unix_ms };
        if work.kept.done || !work.suspicion.note_crash(counted) {
            return;
        }
        let crashes = &work.suspicion.crashes;
        let count = crashes.len();
        if count > 1 {
            // Most likely they are this task's doing.
            crashes.iter().for_each(|crash| self.background.explain(&crash.life));
        }
        self.dirty.insert(task.step.job);
        let worker = life.clone();
        self.events.push(CellEvent::CrashCounted {
            task,
            run,
            worker,
            alone,
            seen,
            beside,
            sign,
            count,
        });
        self.judge(&task, now);
    }

    /// A worker crashed on which a start went unanswered.
    fn note_unanswered(&mut self, crash: &CrashUnder<'_>, now: Moment) {
        let CrashUnder { task, run, life, alone, .. } = *crash;
        self.suspects_seen = true;
        self.close_run(&task, run);
        let at_unix_ms = self.unix_ms_at(now);
        let Some(job) = self.jobs.get_mut(&task.step.job).filter(|job| !job.is_over()) else {
            return;
        };
        let Some(index) = job.task_index(&task) else { return };
        let work = &mut job.tasks[index];
        let worker = life.clone();
        let lost = WorkerCrash { life: worker.clone(), alone, seen: false, at_unix_ms };
        if work.kept.done || !work.suspicion.note_unanswered(lost) {
            return;
        }
        let count = work.suspicion.unanswered.len();
        self.dirty.insert(task.step.job);
        self.events.push(CellEvent::UnansweredLost { task, run, worker, count });
        self.judge(&task, now);
    }

    /// How many other workers, on which nothing of a job was, were lost at the moment at which a life was; none if so few
    /// that they may have been lost by themselves.
    ///
    /// A crash says something of a task only as far as it was unlikely without it. Workers that go down together have one
    /// cause: a rack, a hall, power. It is none of the tasks on one of them, unless all had something of the same job.
    fn lost_with(&self, life: &WorkerLife, job: JobId) -> Option<usize> {
        let lost = self.workers[self.lives.get(life)?.0].lost_within()?;
        let living = self.workers.iter().filter(|worker| worker.listed && !worker.dead).count();
        let together = |worker: &&WorkerState| {
            let overlaps = |span: (Moment, Moment)| span.0 <= lost.1 && lost.0 <= span.1;
            worker.lost_within().is_some_and(overlaps) && !worker.had_job(job)
        };
        let others = self.workers.iter().filter(together).count();
        let least = (living / LOST_ONE_IN).max(LOST_LEAST);
        (others >= least).then_some(others)
    }

    fn note_together(&mut self, task: &CellTask, run: RunNumber, now: Moment) {
        self.suspects_seen = true;
        self.close_run(task, run);
        let at_unix_ms = self.unix_ms_at(now);
        let Some(job) = self.jobs.get_mut(&task.step.job).filter(|job| !job.is_over()) else {
            return;
        };
        let Some(index) = job.task_index(task) else { return };
        let work = &mut job.tasks[index];
        if !work.kept.done {
            work.suspicion.note_correlated(at_unix_ms);
            self.dirty.insert(task.step.job);
            self.judge(task, now);
        }
    }

    /// Counts the start of a task under which workers were lost.
    pub(super) fn note_suspect_start(&mut self, task: &CellTask, run: RunNumber) {
        let Some(job) = self.jobs.get_mut(&task.step.job) else { return };
        let Some(index) = job.task_index(task) else { return };
        let work = &mut job.tasks[index];
        work.counted_start = work.suspicion.count_start().then_some(run);
    }

    /// No worker carried out a start: what users allow after crashes is not used up by it. Orders that went unanswered and
    /// never began had a task given up that had lost one worker.
    pub(super) fn note_never_begun(&mut self, task: &CellTask, run: RunNumber) {
        self.close_run(task, run);
        let Some(job) = self.jobs.get_mut(&task.step.job) else { return };
        let Some(index) = job.task_index(task) else { return };
        let work = &mut job.tasks[index];
        if work.counted_start.take_if(|counted| *counted == run).is_some() {
            work.suspicion.uncount_start();
            self.dirty.insert(task.step.job);
        }
    }

    /// Gives up tasks of a step that may not be started any more. Returns whether there were any.
    pub(super) fn judge_step(&mut self, id: JobId, step: usize, now: Moment) -> bool {
        let Some(job) = self.jobs.get(&id).filter(|_| self.suspects_seen) else { return false };
        let is_guilty =
            |task: &work::TaskWork| task.waits() && self.is_guilty(job, step, task, now);
        let Some(index) = job.step_tasks(step).iter().position(is_guilty) else { return false };
        let task = CellTask { step: job.steps[step].id, index: index as u16 };
        self.judge(&task, now);
        true
    }

    fn is_guilty(&self, job: &JobWork, step: usize, task: &work::TaskWork, now: Moment) -> bool {
        let suspicion = &task.suspicion;
        if suspicion.is_empty() {
            return false;
        }
        let living = self.workers.iter().filter(|worker| !worker.dead && worker.listed).count();
        let run = job.step_spec(step).estimate;
        let alone = self.background.wanted_alone(living.max(1), run, now);
        suspicion.is_crash_cause(alone)
    }

    /// Gives a task up if it is taken as the cause of crashes.
    fn judge(&mut self, task: &CellTask, now: Moment) {
        let Some(job) = self.jobs.get(&task.step.job) else { return };
        let (Some(step), Some(index)) = (job.step_index(&task.step), job.task_index(task)) else {
            return;
        };
        if !self.is_guilty(job, step, &job.tasks[index], now) {
            return;
        }
        let crashes = job.tasks[index].suspicion.crashes.iter();
        let workers: Vec<WorkerLife> = crashes.map(|crash| crash.life.clone()).collect();
        self.events.push(CellEvent::GivenUp { task: *task, workers });
        self.fail_job(task.step.job, "job failed", now);
    }
}
