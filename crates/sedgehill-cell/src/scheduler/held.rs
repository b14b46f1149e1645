//! Starts that are recorded before they are sent.
//!
//! A crash is counted by the lead that knows what ran on the worker. If that lead is lost with the worker, the next
//! one finds a task that runs nowhere, and would start it as if nothing had happened. So where a task was started is
//! recorded before each start that could be one crash too many: of a task under which a worker was lost already, and
//! after a change of leads in which a worker was lost. It costs such a start the time of one append.

use sedgehill_core::units::Moment;

use super::*;
use crate::suspicion::OpenRun;

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
        let unsure = job.begun_earlier && self.take_over.lost_workers;
        unsure || !job.tasks[place].suspicion.is_clear()
    }

    /// Has a start recorded.
    pub(super) fn hold_start(&mut self, start: HeldRun, now: Moment) {
        let HeldRun { worker, task, run, checkpoint, alone } = start;
        let entry = &self.workers[worker.0].entry;
        let open = OpenRun { run, life: entry.life.clone(), address: entry.address, alone };
        self.open_run(&task, open, now);
        let batch = self.next_batch;
        self.held.push(HeldStart { batch, worker, task, run, checkpoint });
    }

    /// Sends the starts that are recorded by now.
    pub(super) fn release_held(&mut self, now: Moment) {
        let recorded = self.recorded;
        let due: Vec<HeldStart> = self.held.extract_if(.., |held| held.batch <= recorded).collect();
        for held in due {
            self.release_start(held, now);
        }
    }

    fn release_start(&mut self, held: HeldStart, now: Moment) {
        let HeldStart { worker: key, task, run, checkpoint, .. } = held;
        let worker = &mut self.workers[key.0];
        let usable = worker.is_listed(now, &self.timing)
            && !worker.dead
            && !worker.entry.draining
            && !worker.is_over_size();
        let Some(entry) = worker.runs.get_mut(&task) else { return };
        if entry.run != run || entry.phase != RunPhase::Recording {
            return;
        }
        if !usable {
            self.withdraw_held(key, &task, run, now);
            self.abort_gang(&task, run, now);
            return;
        }
        entry.phase = RunPhase::Ordered;
        entry.since = now;
        self.send_start(key, task, run, checkpoint, now);
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
        self.close_run(task, run);
    }
}

/// What a held start is made of.
pub(super) struct HeldRun {
    pub(super) worker: WorkerKey,
    pub(super) task: CellTask,
    pub(super) run: RunNumber,
    pub(super) checkpoint: String,
    pub(super) alone: bool,
}
