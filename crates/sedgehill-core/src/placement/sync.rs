//! Builds the sync requests to workers and processes their answers.

use std::collections::BTreeSet;

use super::worker::{PlacedTask, TaskPhase};
use super::{HallPlacer, PlacementAction, StartReply, TaskReport, WorkerInventory, WorkerSync};
use crate::ids::{AttemptId, TaskId, WorkerId};
use crate::job::{TaskEnd, TaskOutcome};
use crate::state::ClusterState;
use crate::units::Moment;

impl HallPlacer {
    /// Returns the sync requests that are due.
    pub(super) fn due_syncs(&mut self, state: &ClusterState, now: Moment) -> Vec<PlacementAction> {
        let interval = self.timing.sync_every;
        let mut due = Vec::new();
        for entry in self.workers.values_mut() {
            if entry.try_begin_sync(interval, now) {
                due.push(entry.view.id.clone());
            }
        }
        due.into_iter().map(|worker| self.sync_request(worker, state)).collect()
    }

    fn sync_request(&mut self, worker: WorkerId, state: &ClusterState) -> PlacementAction {
        let mut sync =
            WorkerSync { epoch: self.epoch, lease: self.timing.lease, ..WorkerSync::default() };
        let entry = &self.workers[&worker];
        for (task, placed) in self.tasks.tasks_on(&worker) {
            let attempt = AttemptId { task: *task, attempt: placed.attempt };
            if !self.should_run(state, &attempt) {
                sync.stop.insert(attempt);
            } else if !entry.is_silent() {
                // The leases of a silent worker are not renewed: a renewal may still arrive, and
                // would delay the time from which its tasks may be started elsewhere.
                sync.renew.insert(attempt);
            }
        }
        sync.stop.extend(entry.duplicates.keys().copied());
        let is_recorded = |attempt: &&AttemptId| !self.ended.contains_key(&attempt.task);
        sync.forget = entry.reported_ends.iter().filter(is_recorded).copied().collect();
        PlacementAction::Sync(worker, sync)
    }

    /// Whether an attempt should run in this hall according to the log.
    fn should_run(&self, state: &ClusterState, attempt: &AttemptId) -> bool {
        let regrouping = self.regrouping.contains(&attempt.task.job);
        let job = state.jobs.get(&attempt.task.job).filter(|_| !regrouping);
        job.filter(|job| job.hall == self.hall && !job.phase.is_final())
            .and_then(|job| job.tasks.get(attempt.task.index as usize))
            .is_some_and(|task| task.outcome.is_none() && task.attempts == attempt.attempt)
    }

    /// Records the result of a start order that was sent at `sent`.
    pub fn handle_start_reply(
        &mut self,
        worker: &WorkerId,
        task: TaskId,
        reply: StartReply,
        sent: Moment,
        now: Moment,
    ) {
        let timing = self.timing;
        let Some(placed) = self.tasks.get_on_worker(worker, &task) else { return };
        match reply {
            StartReply::Started => {
                placed.phase = TaskPhase::Running { confirmed: now };
                placed.lost_at = now.after(timing.lease).after(timing.max_delivery_delay);
            }
            StartReply::Refused => {
                let resources = placed.resources;
                self.remove_task(&task);
                if let Some(entry) = self.workers.get_mut(worker) {
                    entry.release(&resources);
                    entry.record_outcome(TaskOutcome::Failed, now);
                }
                self.backoff_until.insert(task, now.after(timing.sync_every));
            }
            StartReply::Unknown => {
                placed.phase =
                    TaskPhase::Uncertain { until: sent.after(timing.max_delivery_delay) };
                placed.lost_at = sent
                    .after(timing.max_delivery_delay)
                    .after(timing.lease)
                    .after(timing.max_delivery_delay);
            }
        }
    }

    /// Records the answer to a sync that was sent at `sent`; `None` if there was none.
    pub fn handle_sync_reply(
        &mut self,
        worker: &WorkerId,
        request: &WorkerSync,
        reply: Option<WorkerInventory>,
        sent: Moment,
        now: Moment,
    ) {
        let Some(entry) = self.workers.get_mut(worker) else { return };
        entry.record_sync_reply(reply.as_ref());
        let Some(inventory) = reply else {
            // The renewal may still arrive and extend the leases.
            let lost_at = sent
                .after(self.timing.max_delivery_delay)
                .after(self.timing.lease)
                .after(self.timing.max_delivery_delay);
            for attempt in &request.renew {
                if let Some(placed) = self.tasks.get_on_worker(worker, &attempt.task) {
                    placed.lost_at = placed.lost_at.max(lost_at);
                }
            }
            return;
        };
        self.apply_inventory(worker, &inventory, request, sent, now);
    }

    fn apply_inventory(
        &mut self,
        worker: &WorkerId,
        inventory: &WorkerInventory,
        request: &WorkerSync,
        sent: Moment,
        now: Moment,
    ) {
        let lost_at = now.after(self.timing.lease).after(self.timing.max_delivery_delay);
        for report in &inventory.tasks {
            match report.outcome {
                None => self.apply_running_report(worker, report, lost_at, now),
                Some(outcome) => self.apply_end_report(worker, report, outcome, now),
            }
        }
        let is_running = |report: &&TaskReport| report.outcome.is_none();
        let running: BTreeSet<AttemptId> =
            inventory.tasks.iter().filter(is_running).map(|report| report.attempt).collect();
        let missing: Vec<AttemptId> = self
            .tasks
            .tasks_on(worker)
            .filter(|(_, placed)| placed.must_be_in_inventory(sent))
            .map(|(task, placed)| AttemptId { task: *task, attempt: placed.attempt })
            .filter(|attempt| !running.contains(attempt))
            .collect();
        for attempt in missing {
            match request.stop.contains(&attempt) {
                true => self.remove_stopped_task(attempt.task),
                false => self.end_task(attempt.task, TaskOutcome::Lost, now),
            }
        }
        let entry = self.workers.get_mut(worker).expect("an answering worker has an entry");
        entry.remove_duplicates(|attempt| !running.contains(attempt));
    }

    /// Removes a task that stopped at the lead's order. The attempt does not count as ended.
    fn remove_stopped_task(&mut self, task: TaskId) {
        let Some(placed) = self.remove_task(&task) else { return };
        if let Some(entry) = self.workers.get_mut(&placed.worker) {
            entry.release(&placed.resources);
        }
    }

    /// Applies the report of a running attempt: confirms it if it is placed on this worker, counts
    /// it as a duplicate if the task is placed otherwise, and takes it over from an earlier lead if
    /// the task is not placed.
    fn apply_running_report(
        &mut self,
        worker: &WorkerId,
        report: &TaskReport,
        lost_at: Moment,
        now: Moment,
    ) {
        let AttemptId { task, attempt } = report.attempt;
        let entry = self.workers.get_mut(worker).expect("an answering worker has an entry");
        let placed_here =
            self.tasks.get_on_worker(worker, &task).filter(|placed| placed.attempt == attempt);
        if let Some(placed) = placed_here {
            placed.phase = TaskPhase::Running { confirmed: now };
            placed.lost_at = lost_at;
        } else if self.tasks.contains(&task) {
            let is_new = entry.add_duplicate(report.attempt, report.resources);
            self.duplicate_runs += u64::from(is_new);
        } else {
            entry.add_usage(&report.resources);
            let placed = PlacedTask {
                worker: worker.clone(),
                attempt,
                resources: report.resources,
                phase: TaskPhase::Running { confirmed: now },
                placed_at: now,
                lost_at,
            };
            self.tasks.insert(task, placed);
        }
    }

    /// Applies the report of an ended attempt. An end of a task that is not placed belongs to an
    /// earlier lead and is recorded as well.
    fn apply_end_report(
        &mut self,
        worker: &WorkerId,
        report: &TaskReport,
        outcome: TaskOutcome,
        now: Moment,
    ) {
        let AttemptId { task, attempt } = report.attempt;
        let entry = self.workers.get_mut(worker).expect("an answering worker has an entry");
        entry.reported_ends.insert(report.attempt);
        match self.tasks.get(&task) {
            Some(placed) if placed.worker == *worker && placed.attempt == attempt => {
                self.end_task(task, outcome, now);
            }
            Some(_) => {}
            None => {
                self.ended.entry(task).or_insert(TaskEnd { task, attempt, outcome });
            }
        }
    }
}
