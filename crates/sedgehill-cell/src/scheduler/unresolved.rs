//! Tracks the runs that may have been lost in a crash of their worker: how long a start waits for
//! news of them, and when they are forgotten.
//!
//! Two questions are kept apart. A start *waits* for news of a lost run for a limited time, since a
//! worker that was removed never answers. The loss itself is *remembered* for longer, since a
//! crash can become known at any time: a machine that boots takes a minute, and a worker may be
//! cut off meanwhile. Each start that follows three possible crashes is counted, whether they are
//! known by then or not. If losses were forgotten together with the wait, starts after three
//! crashes would go uncounted and a task that crashes its workers would be started without end.
//!
//! | evidence | what becomes of the loss |
//! | --- | --- |
//! | the same life reports and does not list the run, or lists its end | cleared |
//! | the start was withdrawn or refused, or never reached the worker | cleared |
//! | another life answers at the address | a crash, however late |
//! | the worker had announced that it leaves, or answered after its entry had gone | an unconfirmed crash |
//! | the worker is silent for [`MAX_LOSS_WAIT`] | starts no longer wait; the loss is kept |
//! | the worker is silent for [`CRASH_MEMORY_MS`], or the job ends | forgotten |
//! | the entry in the store goes, stays, or changes | nothing: it goes late, may stay for a worker that is gone, and another writer may change it |
//! | the lead changes | nothing: the loss is recorded, with the time waited so far |

use std::collections::HashMap;
use std::net::SocketAddr;

use sedgehill_core::units::{Moment, TimeSpan};

use super::*;
use crate::crash_history::{CRASH_MEMORY_MS, MAX_LOSS_WAIT, UnresolvedRun};

/// Interval at which the time waited for news is recorded. A later lead goes on from there.
const WAIT_RECORD_INTERVAL: TimeSpan = TimeSpan(4_000);

/// A run that may have been lost in a crash.
#[derive(Debug, Clone)]
pub(super) struct UnresolvedEntry {
    pub(super) task: CellTask,
    pub(super) run: RunNumber,
    pub(super) address: SocketAddr,
    /// When the wait for news began under this lead: at the loss, or at the take-over. Until the loss of a run that was
    /// recorded ahead, the time of the record.
    pub(super) since: Moment,
    /// An earlier lead ordered it, so it is not known whether its start was answered.
    pub(super) inherited: bool,
    /// How long earlier leads have waited for news of it.
    waited_before: TimeSpan,
    /// The time waited that is to be recorded; none while the run is not lost.
    recorded_wait: Option<TimeSpan>,
}

impl UnresolvedEntry {
    fn waited(&self, now: Moment) -> TimeSpan {
        TimeSpan(self.waited_before.0 + now.since(self.since).0)
    }
}

/// All runs that may have been lost in a crash, by the life on which they were started.
#[derive(Debug, Default)]
pub struct UnresolvedRuns {
    pub(super) lives: HashMap<WorkerLife, Vec<UnresolvedEntry>>,
    /// The lives at each address. When a data hall returns, each of its workers looks here for earlier lives.
    addresses: HashMap<SocketAddr, Vec<WorkerLife>>,
}

impl UnresolvedRuns {
    fn add(&mut self, task: CellTask, unresolved: UnresolvedRun, inherited: bool, now: Moment) {
        let UnresolvedRun { run, life, address, waited, .. } = unresolved;
        let entry = UnresolvedEntry {
            task,
            run,
            address,
            since: now,
            inherited,
            waited_before: waited.unwrap_or_default(),
            recorded_wait: waited,
        };
        let lives = self.addresses.entry(address).or_default();
        if !lives.contains(&life) {
            lives.push(life.clone());
        }
        self.lives.entry(life).or_default().push(entry);
    }

    /// Returns the lives with unresolved runs that were started at an address.
    pub(super) fn lives_at(&self, address: SocketAddr) -> Vec<WorkerLife> {
        self.addresses.get(&address).cloned().unwrap_or_default()
    }

    /// Begins the wait for news of a run whose start was recorded ahead and that is lost now.
    fn begin_wait(&mut self, life: &WorkerLife, task: &CellTask, run: RunNumber, now: Moment) {
        let entries = self.lives.get_mut(life).into_iter().flatten();
        for entry in entries.filter(|entry| (entry.task, entry.run) == (*task, run)) {
            (entry.since, entry.waited_before) = (now, TimeSpan(0));
            entry.recorded_wait = Some(TimeSpan(0));
        }
    }

    pub(super) fn remove(&mut self, life: &WorkerLife, task: &CellTask, run: RunNumber) {
        let Some(entries) = self.lives.get_mut(life) else { return };
        let is_run = |entry: &mut UnresolvedEntry| (entry.task, entry.run) == (*task, run);
        let removed: Vec<UnresolvedEntry> = entries.extract_if(.., is_run).collect();
        for UnresolvedEntry { address, .. } in removed {
            if !entries.iter().any(|entry| entry.address == address) {
                forget_life(&mut self.addresses, address, life);
            }
        }
        if entries.is_empty() {
            self.lives.remove(life);
        }
    }
}

fn forget_life(
    addresses: &mut HashMap<SocketAddr, Vec<WorkerLife>>,
    address: SocketAddr,
    life: &WorkerLife,
) {
    let Some(lives) = addresses.get_mut(&address) else { return };
    lives.retain(|other| other != life);
    if lives.is_empty() {
        addresses.remove(&address);
    }
}

/// What time does to unresolved runs.
#[derive(Debug, Default)]
struct DueUpdates {
    waits: Vec<(WorkerLife, CellTask, RunNumber, TimeSpan)>,
    forgotten: Vec<(WorkerLife, CellTask, RunNumber)>,
}

impl Scheduler {
    /// Adds a run that may be lost in a crash, or may already have been.
    pub(super) fn add_unresolved_run(
        &mut self,
        task: &CellTask,
        unresolved: UnresolvedRun,
        now: Moment,
    ) {
        let Some(job) = self.jobs.get_mut(&task.step.job).filter(|job| !job.is_over()) else {
            return;
        };
        let Some(index) = job.task_index(task) else { return };
        self.suspects_seen = true;
        self.dirty.insert(task.step.job);
        match job.tasks[index].crash_history.add_unresolved(unresolved.clone()) {
            true => self.unresolved_runs.add(*task, unresolved, false, now),
            false => {
                self.unresolved_runs.begin_wait(&unresolved.life, task, unresolved.run, now);
            }
        }
    }

    /// Adds a run that an earlier lead recorded as unresolved.
    pub(super) fn inherit_unresolved_run(
        &mut self,
        task: CellTask,
        unresolved: UnresolvedRun,
        now: Moment,
    ) {
        self.unresolved_runs.add(task, unresolved, true, now);
    }

    /// Notes that a run did not end in a crash, or never started. Starts that were counted because of it count no more.
    pub(super) fn resolve_run(&mut self, task: &CellTask, run: RunNumber) {
        self.remove_unresolved(task, run);
        if let Some(job) = self.jobs.get_mut(&task.step.job)
            && let Some(index) = job.task_index(task)
        {
            let active_task = &mut job.tasks[index];
            active_task.crash_history.reset_further_starts();
            // The start of the current run was recorded ahead because of losses that are resolved.
            if let TaskPhase::Placed(_, placed) = active_task.phase
                && active_task.crash_history.is_only_run(placed)
            {
                self.remove_unresolved(task, placed);
            }
        }
    }

    /// Removes a run whose fate is known, before it is counted as a crash.
    pub(super) fn remove_unresolved(&mut self, task: &CellTask, run: RunNumber) {
        let Some(job) = self.jobs.get_mut(&task.step.job) else { return };
        let Some(index) = job.task_index(task) else { return };
        if let Some(unresolved) = job.tasks[index].crash_history.resolve(run) {
            self.unresolved_runs.remove(&unresolved.life, task, run);
            self.dirty.insert(task.step.job);
        }
    }

    /// Updates how long starts have waited for news of lost runs, and forgets old losses.
    pub(super) fn update_unresolved_runs(&mut self, now: Moment) {
        let DueUpdates { waits, forgotten } = self.find_due_updates(now);
        for (life, task, run, waited) in waits {
            self.update_wait(&life, &task, run, waited);
        }
        for (life, task, run) in forgotten {
            self.unresolved_runs.remove(&life, &task, run);
            self.resolve_run(&task, run);
            self.events.push(CellEvent::LossForgotten { task, run, worker: life });
        }
    }

    fn find_due_updates(&mut self, now: Moment) -> DueUpdates {
        let mut updates = DueUpdates::default();
        for (life, entries) in &mut self.unresolved_runs.lives {
            let worker = self.lives.get(life).map(|key| &self.workers[key.0]);
            for entry in entries {
                let (task, run) = (entry.task, entry.run);
                if worker.is_some_and(|worker| worker.has_run(&task, run)) {
                    continue;
                }
                let waited = entry.waited(now);
                let is_over = !self.jobs.contains_key(&task.step.job);
                if is_over || waited.0 >= CRASH_MEMORY_MS {
                    updates.forgotten.push((life.clone(), task, run));
                    continue;
                }
                let steps = waited.min(MAX_LOSS_WAIT).0 / WAIT_RECORD_INTERVAL.0;
                let recorded = Some(TimeSpan(steps * WAIT_RECORD_INTERVAL.0));
                if entry.recorded_wait != recorded {
                    entry.recorded_wait = recorded;
                    updates.waits.extend(recorded.map(|wait| (life.clone(), task, run, wait)));
                }
            }
        }
        updates
    }

    fn update_wait(
        &mut self,
        life: &WorkerLife,
        task: &CellTask,
        run: RunNumber,
        waited: TimeSpan,
    ) {
        let Some(job) = self.jobs.get_mut(&task.step.job) else { return };
        let Some(index) = job.task_index(task) else { return };
        if !job.tasks[index].crash_history.note_wait(run, waited) {
            // The record holds a limited number of lost runs.
            return self.unresolved_runs.remove(life, task, run);
        }
        self.dirty.insert(task.step.job);
        if waited >= MAX_LOSS_WAIT {
            let worker = life.clone();
            self.events.push(CellEvent::LossUnheard { task: *task, run, worker });
        }
    }

    /// Notes that a worker has reported a run. If its start was recorded ahead, a later lead has to
    /// know this to count a crash in full.
    pub(super) fn note_run_seen(&mut self, task: &CellTask, run: RunNumber) {
        let Some(job) = self.jobs.get_mut(&task.step.job) else { return };
        let Some(index) = job.task_index(task) else { return };
        if job.tasks[index].crash_history.note_seen(run) {
            self.dirty.insert(task.step.job);
        }
    }
}
