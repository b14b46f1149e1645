//! What a lead tells its workers at each sync, and what it learns from their answers.

use std::collections::BTreeSet;

use super::worker::{PlacedTask, TaskPhase};
use super::{HallPlacer, PlacementAction, StartReply, TaskReport, WorkerInventory, WorkerSync};
use crate::ids::{AttemptId, TaskId, WorkerId};
use crate::job::{TaskEnd, TaskOutcome};
use crate::state::ClusterState;
use crate::units::Moment;

impl HallPlacer {
    pub(super) fn due_syncs(&mut self, state: &ClusterState, now: Moment) -> Vec<PlacementAction> {
        let every = self.timing.sync_every;
        let mut due = Vec::new();
        for room in self.workers.values_mut() {
            if room.try_begin_sync(every, now) {
                due.push(room.view.id.clone());
            }
        }
        due.into_iter().map(|worker| self.sync_request(worker, state)).collect()
    }

    fn sync_request(&mut self, worker: WorkerId, state: &ClusterState) -> PlacementAction {
        let mut sync =
            WorkerSync { epoch: self.epoch, lease: self.timing.lease, ..WorkerSync::default() };
        let room = &self.workers[&worker];
        for (task, placed) in self.tasks.on(&worker) {
            let attempt = AttemptId { task: *task, attempt: placed.attempt };
            if !self.is_wanted(state, &attempt) {
                sync.stop.insert(attempt);
            } else if !room.is_silent() {
                // A renewal to a silent worker may arrive late, and would put off the moment from
                // which its tasks may be started elsewhere.
                sync.renew.insert(attempt);
            }
        }
        sync.stop.extend(room.duplicates.keys().copied());
        let recorded = |attempt: &&AttemptId| !self.ended.contains_key(&attempt.task);
        sync.forget = room.reported_ends.iter().filter(recorded).copied().collect();
        PlacementAction::Sync(worker, sync)
    }

    /// Whether an attempt is the one that the log expects to run in this hall.
    fn is_wanted(&self, state: &ClusterState, attempt: &AttemptId) -> bool {
        let regrouping = self.regrouping.contains(&attempt.task.job);
        let job = state.jobs.get(&attempt.task.job).filter(|_| !regrouping);
        job.filter(|job| job.hall == self.hall && !job.phase.is_final())
            .and_then(|job| job.tasks.get(attempt.task.index as usize))
            .is_some_and(|task| task.outcome.is_none() && task.attempts == attempt.attempt)
    }

    /// Notes how a start order ended that was sent at `sent`.
    pub fn handle_start_reply(
        &mut self,
        worker: &WorkerId,
        task: TaskId,
        reply: StartReply,
        sent: Moment,
        now: Moment,
    ) {
        let timing = self.timing;
        let Some(placed) = self.tasks.get_on(worker, &task) else { return };
        match reply {
            StartReply::Started => {
                placed.phase = TaskPhase::Running { confirmed: now };
                placed.lost_at = now.after(timing.lease).after(timing.max_delivery_delay);
            }
            StartReply::Refused => {
                let resources = placed.resources;
                self.remove_task(&task);
                if let Some(room) = self.workers.get_mut(worker) {
                    room.release(&resources);
                    room.record_outcome(TaskOutcome::Failed, now);
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

    /// Notes the answer to a sync that was sent at `sent`, or that there was none.
    pub fn handle_sync_reply(
        &mut self,
        worker: &WorkerId,
        request: &WorkerSync,
        reply: Option<WorkerInventory>,
        sent: Moment,
        now: Moment,
    ) {
        let Some(room) = self.workers.get_mut(worker) else { return };
        room.record_sync_reply(reply.as_ref());
        let Some(inventory) = reply else {
            // The renewal may arrive yet, and would lengthen the leases.
            let over = sent
                .after(self.timing.max_delivery_delay)
                .after(self.timing.lease)
                .after(self.timing.max_delivery_delay);
            for attempt in &request.renew {
                if let Some(placed) = self.tasks.get_on(worker, &attempt.task) {
                    placed.lost_at = placed.lost_at.max(over);
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
        let over = now.after(self.timing.lease).after(self.timing.max_delivery_delay);
        for report in &inventory.tasks {
            match report.outcome {
                None => self.apply_running_report(worker, report, over, now),
                Some(outcome) => self.apply_end_report(worker, report, outcome, now),
            }
        }
        let running = |report: &&TaskReport| report.outcome.is_none();
        let reported: BTreeSet<AttemptId> =
            inventory.tasks.iter().filter(running).map(|report| report.attempt).collect();
        let missing: Vec<AttemptId> = self
            .tasks
            .on(worker)
            .filter(|(_, placed)| placed.must_be_in_inventory(sent))
            .map(|(task, placed)| AttemptId { task: *task, attempt: placed.attempt })
            .filter(|attempt| !reported.contains(attempt))
            .collect();
        for attempt in missing {
            match request.stop.contains(&attempt) {
                true => self.remove_stopped_task(attempt.task),
                false => self.end_task(attempt.task, TaskOutcome::Lost, now),
            }
        }
        let room = self.workers.get_mut(worker).expect("the worker answered");
        room.remove_duplicates(|attempt| !reported.contains(attempt));
    }

    fn remove_stopped_task(&mut self, task: TaskId) {
        let Some(placed) = self.remove_task(&task) else { return };
        if let Some(room) = self.workers.get_mut(&placed.worker) {
            room.release(&placed.resources);
        }
    }

    fn apply_running_report(
        &mut self,
        worker: &WorkerId,
        report: &TaskReport,
        over: Moment,
        now: Moment,
    ) {
        let AttemptId { task, attempt } = report.attempt;
        let room = self.workers.get_mut(worker).expect("the worker answered");
        let here = self.tasks.get_on(worker, &task).filter(|placed| placed.attempt == attempt);
        if let Some(placed) = here {
            placed.phase = TaskPhase::Running { confirmed: now };
            placed.lost_at = over;
        } else if self.tasks.contains(&task) {
            let new = room.add_duplicate(report.attempt, report.resources);
            self.duplicate_runs += u64::from(new);
        } else {
            room.add_usage(&report.resources);
            let placed = PlacedTask {
                worker: worker.clone(),
                attempt,
                resources: report.resources,
                phase: TaskPhase::Running { confirmed: now },
                placed_at: now,
                lost_at: over,
            };
            self.tasks.insert(task, placed);
        }
    }

    fn apply_end_report(
        &mut self,
        worker: &WorkerId,
        report: &TaskReport,
        outcome: TaskOutcome,
        now: Moment,
    ) {
        let AttemptId { task, attempt } = report.attempt;
        let room = self.workers.get_mut(worker).expect("the worker answered");
        room.reported_ends.insert(report.attempt);
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
