//! What a lead tells its workers at each sync, and what it learns from their answers.

use std::collections::BTreeSet;

use super::room::{PlacedTask, TaskPhase};
use super::{HallPlacer, PlaceAction, StartReply, TaskReport, WorkerInventory, WorkerSync};
use crate::ids::{AttemptId, TaskId, WorkerId};
use crate::job::{TaskEnd, TaskOutcome};
use crate::state::ClusterState;
use crate::units::Moment;

impl HallPlacer {
    pub(super) fn due_syncs(&mut self, state: &ClusterState, now: Moment) -> Vec<PlaceAction> {
        let every = self.timing.sync_every;
        let mut due = Vec::new();
        for room in self.rooms.values_mut() {
            if room.take_sync_turn(every, now) {
                due.push(room.view.id.clone());
            }
        }
        due.into_iter().map(|worker| self.sync_request(worker, state)).collect()
    }

    fn sync_request(&mut self, worker: WorkerId, state: &ClusterState) -> PlaceAction {
        let mut sync =
            WorkerSync { epoch: self.epoch, lease: self.timing.lease, ..WorkerSync::default() };
        let room = &self.rooms[&worker];
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
        sync.stop.extend(room.strays.keys().copied());
        let recorded = |attempt: &&AttemptId| !self.ended.contains_key(&attempt.task);
        sync.forget = room.reported_ends.iter().filter(recorded).copied().collect();
        PlaceAction::Sync(worker, sync)
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
    pub fn start_replied(
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
                placed.surely_over = now.after(timing.lease).after(timing.settle);
            }
            StartReply::Refused => {
                let resources = placed.resources;
                self.take_out(&task);
                if let Some(room) = self.rooms.get_mut(worker) {
                    room.give_back(&resources);
                    room.note_outcome(TaskOutcome::Failed, now);
                }
                self.back_off.insert(task, now.after(timing.sync_every));
            }
            StartReply::Unknown => {
                placed.phase = TaskPhase::Uncertain { until: sent.after(timing.settle) };
                placed.surely_over =
                    sent.after(timing.settle).after(timing.lease).after(timing.settle);
            }
        }
    }

    /// Notes the answer to a sync that was sent at `sent`, or that there was none.
    pub fn sync_replied(
        &mut self,
        worker: &WorkerId,
        request: &WorkerSync,
        reply: Option<WorkerInventory>,
        sent: Moment,
        now: Moment,
    ) {
        let Some(room) = self.rooms.get_mut(worker) else { return };
        room.sync_ended(reply.as_ref());
        let Some(inventory) = reply else {
            // The renewal may arrive yet, and would lengthen the leases.
            let over =
                sent.after(self.timing.settle).after(self.timing.lease).after(self.timing.settle);
            for attempt in &request.renew {
                if let Some(placed) = self.tasks.get_on(worker, &attempt.task) {
                    placed.surely_over = placed.surely_over.max(over);
                }
            }
            return;
        };
        self.take_inventory(worker, &inventory, request, sent, now);
    }

    fn take_inventory(
        &mut self,
        worker: &WorkerId,
        inventory: &WorkerInventory,
        request: &WorkerSync,
        sent: Moment,
        now: Moment,
    ) {
        let over = now.after(self.timing.lease).after(self.timing.settle);
        for report in &inventory.tasks {
            match report.outcome {
                None => self.take_running(worker, report, over, now),
                Some(outcome) => self.take_end(worker, report, outcome, now),
            }
        }
        let running = |report: &&TaskReport| report.outcome.is_none();
        let reported: BTreeSet<AttemptId> =
            inventory.tasks.iter().filter(running).map(|report| report.attempt).collect();
        let missing: Vec<AttemptId> = self
            .tasks
            .on(worker)
            .filter(|(_, placed)| placed.surely_arrived_before(sent))
            .map(|(task, placed)| AttemptId { task: *task, attempt: placed.attempt })
            .filter(|attempt| !reported.contains(attempt))
            .collect();
        for attempt in missing {
            match request.stop.contains(&attempt) {
                true => self.drop_stopped(attempt.task),
                false => self.end_task(attempt.task, TaskOutcome::Lost, now),
            }
        }
        let room = self.rooms.get_mut(worker).expect("the worker answered");
        room.drop_strays(|attempt| !reported.contains(attempt));
    }

    fn drop_stopped(&mut self, task: TaskId) {
        let Some(placed) = self.take_out(&task) else { return };
        if let Some(room) = self.rooms.get_mut(&placed.worker) {
            room.give_back(&placed.resources);
        }
    }

    fn take_running(&mut self, worker: &WorkerId, report: &TaskReport, over: Moment, now: Moment) {
        let AttemptId { task, attempt } = report.attempt;
        let room = self.rooms.get_mut(worker).expect("the worker answered");
        let here = self.tasks.get_on(worker, &task).filter(|placed| placed.attempt == attempt);
        if let Some(placed) = here {
            placed.phase = TaskPhase::Running { confirmed: now };
            placed.surely_over = over;
        } else if self.tasks.contains(&task) {
            let new = room.add_stray(report.attempt, report.resources);
            self.double_runs += u64::from(new);
        } else {
            room.add(&report.resources);
            let placed = PlacedTask {
                worker: worker.clone(),
                attempt,
                resources: report.resources,
                phase: TaskPhase::Running { confirmed: now },
                since: now,
                surely_over: over,
            };
            self.tasks.insert(task, placed);
        }
    }

    fn take_end(
        &mut self,
        worker: &WorkerId,
        report: &TaskReport,
        outcome: TaskOutcome,
        now: Moment,
    ) {
        let AttemptId { task, attempt } = report.attempt;
        let room = self.rooms.get_mut(worker).expect("the worker answered");
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
