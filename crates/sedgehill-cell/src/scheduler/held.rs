//! Starts that are recorded before they are sent.
//!
//! A crash is counted by the lead that knows what ran on the worker. If that lead is lost with the worker, the next
//! one finds a task that runs nowhere, and would start it as if nothing had happened. So where a task was started is
//! recorded before each start that could be one crash too many: of a task under which a worker was lost already, and
//! after a change of leads in which a worker was lost. It costs such a start the time of one append. So are the starts of
//! long-running tasks, which have to run again soon though the lead was lost as well.

use sedgehill_core::units::Moment;

use super::*;
use crate::crash_history::UnresolvedRun;

/// A start that waits until it is recorded.
#[derive(Debug)]
pub struct HeldStart {
    /// The batch that records it.
    batch: u64,
    worker: WorkerKey,
    task: CellTask,
    run: RunNumber,
    checkpoint: String,
}

impl Scheduler {
    /// Whether a start of a task is recorded before it is sent.
    pub(super) fn is_recorded_ahead(&self, job: &JobWork, place: usize) -> bool {
        self.is_unsure(job) || !job.tasks[place].suspicion.is_empty()
    }

    /// Whether a task of the job may have been lost with a worker while no lead saw it.
    fn is_unsure(&self, job: &JobWork) -> bool {
        job.begun_earlier && self.take_over.lost_workers
    }

    /// Has a start recorded.
    pub(super) fn hold_start(&mut self, start: StartPlan, now: Moment) {
        let StartPlan { worker, task, run, checkpoint, alone, record } = start;
        if record == StartRecord::Suspect {
            let entry = &self.workers[worker.0].entry;
            let (life, address) = (entry.life.clone(), entry.address);
            let open = UnresolvedRun { run, life, address, alone, seen: false };
            self.open_run(&task, open, now);
            self.note_suspect_start(&task, run);
        }
        self.dirty.insert(task.step.job);
        let batch = self.next_batch;
        self.held.push(HeldStart { batch, worker, task, run, checkpoint });
    }

    /// Sends the starts that are recorded by now.
    pub(super) fn release_held(&mut self, now: Moment) {
        if !self.knows_sizes(now) {
            return;
        }
        let recorded = self.recorded;
        let due: Vec<HeldStart> = self.held.extract_if(.., |held| held.batch <= recorded).collect();
        for held in due {
            self.release_start(held, now);
        }
    }

    fn release_start(&mut self, held: HeldStart, now: Moment) {
        let HeldStart { worker: key, task, run, checkpoint, .. } = held;
        let owner = self.jobs.get(&task.step.job).and_then(|job| job.owner);
        let wanted = self.is_placed(&task, key, run) && !self.organisations.is_over_limit(owner);
        let worker = &mut self.workers[key.0];
        let usable = worker.is_listed(now, &self.timing)
            && !worker.is_over()
            && worker.listed_next.is_none()
            && !worker.entry.draining
            && !worker.is_over_size();
        let Some(entry) = worker.runs.get_mut(&task) else { return };
        if entry.run != run || entry.phase != RunPhase::Recording {
            return;
        }
        if !usable || !wanted {
            self.withdraw_held(key, &task, run, now);
            self.abort_gang(&task, run, now);
            return;
        }
        entry.phase = RunPhase::Ordered;
        entry.since = now;
        self.send_start(key, task, run, checkpoint, now);
    }

    /// Whether a task's run is this one. The task may have turned out to be done, and its job to be over.
    fn is_placed(&self, task: &CellTask, key: WorkerKey, run: RunNumber) -> bool {
        let job = self.jobs.get(&task.step.job).filter(|job| !job.is_over());
        let work = job.and_then(|job| Some(&job.tasks[job.task_index(task)?]));
        work.is_some_and(|work| work.phase == TaskPhase::Placed(key, run))
    }

    /// Takes back a start that was not sent.
    pub(super) fn withdraw_held(
        &mut self,
        key: WorkerKey,
        task: &CellTask,
        run: RunNumber,
        now: Moment,
    ) {
        self.remove_run(key, task);
        self.release_task(task, run, now, None);
        self.note_never_begun(task, run);
    }
}

/// A start that has its place.
pub(super) struct StartPlan {
    pub(super) worker: WorkerKey,
    pub(super) task: CellTask,
    pub(super) run: RunNumber,
    pub(super) checkpoint: String,
    pub(super) alone: bool,
    pub(super) record: StartRecord,
}

/// What of a start is recorded before it is sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum StartRecord {
    /// Nothing.
    None,
    /// Where it goes, so that a later lead need not hear from any other worker before the next start.
    Place,
    /// That, and that a worker may be lost under it.
    Suspect,
}
