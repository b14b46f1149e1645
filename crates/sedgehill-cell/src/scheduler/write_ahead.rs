//! Starts that are recorded before they are sent.
//!
//! A crash is counted by the lead that knows what ran on the worker. If that lead is lost with the worker, the next
//! one finds a task that runs nowhere, and would start it as if nothing had happened. So where a task was started is
//! recorded before each start that could be one crash too many: of a task under which a worker was lost already, and
//! after a change of leads in which a worker was lost. It costs such a start the time of one append. So are the starts of
//! long-running tasks, which have to run again soon though the lead was lost as well.

use sedgehill_core::units::Moment;

use super::*;
use crate::suspicion::OpenRun;

/// A start that waits until it is recorded.
#[derive(Debug)]
pub struct UnrecordedStart {
    /// The batch that records it.
    batch: u64,
    worker: WorkerKey,
    task: CellTask,
    run: RunNumber,
    checkpoint: String,
}

impl Scheduler {
    /// Whether a start of a task is recorded before it is sent.
    pub(super) fn needs_write_ahead(&self, job: &ActiveJob, place: usize) -> bool {
        self.may_have_lost_runs(job) || !job.tasks[place].suspicion.is_clear()
    }

    /// Whether a task of the job may have been lost with a worker while no lead saw it.
    fn may_have_lost_runs(&self, job: &ActiveJob) -> bool {
        job.started_by_earlier_lead && self.take_over.lost_workers
    }

    /// Has a start recorded.
    pub(super) fn defer_start(&mut self, start: StartPlan, now: Moment) {
        let StartPlan { worker, task, run, checkpoint, alone, record } = start;
        if record == StartRecord::Suspect {
            let entry = &self.workers[worker.0].entry;
            let (life, address) = (entry.life.clone(), entry.address);
            let open = OpenRun { run, life, address, alone, seen: false };
            self.add_unresolved_run(&task, open, now);
            self.count_suspect_start(&task, run);
        }
        self.dirty.insert(task.step.job);
        let batch = self.next_batch;
        self.unrecorded_starts.push(UnrecordedStart { batch, worker, task, run, checkpoint });
    }

    /// Sends the starts that are recorded by now.
    pub(super) fn send_recorded_starts(&mut self, now: Moment) {
        if !self.has_fresh_worker_list(now) {
            return;
        }
        let recorded = self.recorded;
        let due: Vec<UnrecordedStart> =
            self.unrecorded_starts.extract_if(.., |start| start.batch <= recorded).collect();
        for start in due {
            self.send_recorded_start(start, now);
        }
    }

    fn send_recorded_start(&mut self, start: UnrecordedStart, now: Moment) {
        let UnrecordedStart { worker: key, task, run, checkpoint, .. } = start;
        let owner = self.jobs.get(&task.step.job).and_then(|job| job.owner);
        let wanted =
            self.is_current_run(&task, key, run) && !self.organisations.is_over_limit(owner);
        let worker = &mut self.workers[key.0];
        let usable = worker.is_listed(now, &self.timing)
            && !worker.is_over()
            && worker.other_listed_entry.is_none()
            && !worker.entry.draining
            && !worker.is_over_size();
        let Some(entry) = worker.runs.get_mut(&task) else { return };
        if entry.run != run || entry.phase != RunPhase::Recording {
            return;
        }
        if !usable || !wanted {
            self.withdraw_unsent(key, &task, run, now);
            self.abort_gang(&task, run, now);
            return;
        }
        entry.phase = RunPhase::Ordered;
        entry.since = now;
        self.send_start(key, task, run, checkpoint, now);
    }

    /// Whether a task's run is this one. The task may have turned out to be done, and its job to be over.
    fn is_current_run(&self, task: &CellTask, key: WorkerKey, run: RunNumber) -> bool {
        let job = self.jobs.get(&task.step.job).filter(|job| !job.is_over());
        let active_task = job.and_then(|job| Some(&job.tasks[job.task_index(task)?]));
        active_task.is_some_and(|active_task| active_task.phase == TaskPhase::Placed(key, run))
    }

    /// Takes back a start that was not sent.
    pub(super) fn withdraw_unsent(
        &mut self,
        key: WorkerKey,
        task: &CellTask,
        run: RunNumber,
        now: Moment,
    ) {
        self.remove_run(key, task);
        self.release_task(task, run, now, None);
        self.note_never_started(task, run);
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
