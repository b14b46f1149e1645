//! Records some starts in the store before they are sent.
//!
//! A crash is counted by the lead that knows what ran on the worker. If the box with the lead is
//! lost together with the worker, the next lead finds a task that runs nowhere, and would start it
//! as if nothing had happened. A start that could lead to one crash too many is therefore recorded
//! first: that of a task under which a worker was already lost, or, after a change of leads in which
//! a worker was lost, that of any task of a job that an earlier lead may have started. This delays
//! the start by one append. Starts of long-running tasks are recorded as well, so that a later lead
//! can restart the task quickly.

use sedgehill_core::units::Moment;

use super::*;
use crate::crash_history::UnresolvedRun;

/// A start that is sent once it is recorded.
#[derive(Debug)]
pub struct UnrecordedStart {
    /// The number of the batch that records it.
    batch: u64,
    worker: WorkerKey,
    task: CellTask,
    run: RunNumber,
    checkpoint: String,
}

impl Scheduler {
    /// Whether the start of a task must be recorded before it is sent because of earlier crashes.
    pub(super) fn needs_write_ahead(&self, job: &ActiveJob, index: usize) -> bool {
        self.may_have_lost_runs(job) || !job.tasks[index].crash_history.is_empty()
    }

    /// Whether a task of the job may have been lost with a worker during a change of leads.
    fn may_have_lost_runs(&self, job: &ActiveJob) -> bool {
        job.started_by_earlier_lead && self.take_over.lost_workers
    }

    /// Queues a start until it is recorded.
    pub(super) fn defer_start(&mut self, start: StartPlan, now: Moment) {
        let StartPlan { worker, task, run, checkpoint, alone, record } = start;
        if record == StartRecord::Suspect {
            let state = &self.workers[worker.0];
            let (life, address) = (state.entry.life.clone(), state.entry.address);
            let alone = alone && state.is_exclusive_for(task.step.job, now);
            let unresolved = UnresolvedRun { run, life, address, alone, seen: false, waited: None };
            self.count_suspect_start(&task, run);
            self.add_unresolved_run(&task, unresolved, now);
        }
        self.dirty.insert(task.step.job);
        let batch = self.next_batch;
        self.unrecorded_starts.push(UnrecordedStart { batch, worker, task, run, checkpoint });
    }

    /// Sends the starts that have been recorded.
    pub(super) fn send_recorded_starts(&mut self, now: Moment) {
        if !self.has_fresh_worker_list(now) || !self.has_fresh_hall_view(now) {
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
            && !worker.hall_emptied
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

    /// Whether this is still the task's run. The task may be done by now, or its job over.
    fn is_current_run(&self, task: &CellTask, key: WorkerKey, run: RunNumber) -> bool {
        let job = self.jobs.get(&task.step.job).filter(|job| !job.is_over());
        let active_task = job.and_then(|job| Some(&job.tasks[job.task_index(task)?]));
        active_task.is_some_and(|active_task| active_task.phase == TaskPhase::Placed(key, run))
    }

    /// Withdraws a start that was not sent.
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

/// A start with its chosen worker.
pub(super) struct StartPlan {
    pub(super) worker: WorkerKey,
    pub(super) task: CellTask,
    pub(super) run: RunNumber,
    pub(super) checkpoint: String,
    /// The task must run alone. It may still be started beside runs of other jobs that are not old
    /// enough, once it has been kept apart for long.
    pub(super) alone: bool,
    pub(super) record: StartRecord,
}

/// What is recorded of a start before it is sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum StartRecord {
    /// Nothing.
    None,
    /// The worker, so that a later lead can restart the task once it has heard from that worker
    /// alone.
    Location,
    /// The worker, and that the start may crash it.
    Suspect,
}
