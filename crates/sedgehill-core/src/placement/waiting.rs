//! Which waiting task goes where, and why one waits.

use super::worker::{PlacedTask, TaskPhase, WorkerEntry};
use super::{HallPlacer, PlacementAction, PlacementDecision, TaskStart, WaitReason, score};
use crate::ids::{AttemptId, JobId, TaskId, WorkerId};
use crate::job::{JobPhase, JobState};
use crate::state::ClusterState;
use crate::units::{Moment, ResourceSet};

impl HallPlacer {
    /// Whether every worker on which something could run has been heard of, or its leases lapsed.
    fn is_recovered(&self, now: Moment) -> bool {
        let heard_of = |room: &WorkerEntry| !room.in_roster || room.is_known();
        now >= self.earlier_leases_end() || self.workers.values().all(heard_of)
    }

    pub(super) fn place_waiting(
        &mut self,
        state: &ClusterState,
        now: Moment,
    ) -> Vec<PlacementAction> {
        let recovered = self.is_recovered(now);
        let mut jobs: Vec<(&JobId, &JobState)> = state
            .jobs
            .iter()
            .filter(|(_, job)| job.hall == self.hall && job.phase == JobPhase::Open)
            .filter(|(id, _)| !self.fully_placed.contains(id))
            .collect();
        jobs.sort_by_key(|(_, job)| (std::cmp::Reverse(job.priority), job.submitted));
        let mut actions = Vec::new();
        for (id, job) in jobs {
            let waiting = self.waiting_tasks(*id, job, now);
            if waiting.is_empty() {
                continue;
            }
            if !recovered {
                self.record_waits(&waiting, WaitReason::Recovering, 0);
            } else if job.gang && self.update_regrouping(*id, job, &waiting) {
                self.record_waits(&waiting, WaitReason::Regrouping, 0);
            } else if job.gang {
                actions.extend(self.place_gang(job, &waiting, now));
            } else {
                actions.extend(self.place_independent(job, &waiting, now));
            }
        }
        actions
    }

    /// Whether a gang with waiting tasks has others that run, are being recorded or back off. Those
    /// that run are stopped: a gang starts whole.
    fn update_regrouping(&mut self, id: JobId, job: &JobState, waiting: &[(TaskId, u32)]) -> bool {
        let unfinished = job.tasks.iter().filter(|task| task.outcome.is_none()).count();
        let whole = waiting.len() == unfinished;
        match whole {
            true => self.regrouping.remove(&id),
            false => self.regrouping.insert(id),
        };
        !whole
    }

    /// The tasks of a job that may be placed now.
    fn waiting_tasks(&mut self, id: JobId, job: &JobState, now: Moment) -> Vec<(TaskId, u32)> {
        let unplaced: Vec<(TaskId, u32)> = job
            .tasks
            .iter()
            .enumerate()
            .filter(|(_, task)| task.outcome.is_none())
            .map(|(index, task)| (TaskId { job: id, index: index as u32 }, task.attempts))
            .filter(|(task, _)| !self.tasks.contains(task) && !self.ended.contains_key(task))
            .collect();
        if unplaced.is_empty() {
            self.fully_placed.insert(id);
        }
        let is_due = |task: &TaskId| self.backoff_until.get(task).is_none_or(|until| *until <= now);
        unplaced.into_iter().filter(|(task, _)| is_due(task)).collect()
    }

    fn place_independent(
        &mut self,
        job: &JobState,
        waiting: &[(TaskId, u32)],
        now: Moment,
    ) -> Vec<PlacementAction> {
        let mut actions = Vec::new();
        for (position, (task, attempt)) in waiting.iter().enumerate() {
            let (chosen, candidates) = score::best_fit(&self.workers, &job.shape.resources, now);
            let Some(worker) = chosen else {
                let reason = self.wait_reason_for(&job.shape.resources);
                self.record_waits(&waiting[position..], reason, candidates);
                break;
            };
            actions.push(self.start(job, *task, *attempt, worker, candidates, now));
        }
        actions
    }

    /// Places all tasks of a gang that do not run yet, or none of them.
    fn place_gang(
        &mut self,
        job: &JobState,
        waiting: &[(TaskId, u32)],
        now: Moment,
    ) -> Vec<PlacementAction> {
        let before = self.workers.clone();
        let mut chosen = Vec::new();
        for _ in waiting {
            let (worker, candidates) = score::best_fit(&self.workers, &job.shape.resources, now);
            let Some(worker) = worker else { break };
            let room = self.workers.get_mut(&worker).expect("the worker was just chosen");
            room.reserve(&job.shape.resources);
            chosen.push((worker, candidates));
        }
        self.workers = before;
        if chosen.len() < waiting.len() {
            let reason = self.wait_reason_for(&job.shape.resources);
            self.record_waits(waiting, reason, chosen.len());
            return Vec::new();
        }
        waiting
            .iter()
            .zip(chosen)
            .map(|((task, attempt), (worker, candidates))| {
                self.start(job, *task, *attempt, worker, candidates, now)
            })
            .collect()
    }

    fn wait_reason_for(&self, need: &ResourceSet) -> WaitReason {
        match self.workers.values().any(|room| room.view.total.fits(need)) {
            true => WaitReason::NoRoom,
            false => WaitReason::NeverFits,
        }
    }

    fn record_waits(&mut self, waiting: &[(TaskId, u32)], reason: WaitReason, candidates: usize) {
        for (task, _) in waiting {
            if self.wait_reasons.insert(*task, reason) != Some(reason) {
                self.decisions.push(PlacementDecision {
                    task: *task,
                    result: Err(reason),
                    candidates,
                });
            }
        }
    }

    fn start(
        &mut self,
        job: &JobState,
        task: TaskId,
        attempt: u32,
        worker: WorkerId,
        candidates: usize,
        now: Moment,
    ) -> PlacementAction {
        let resources = job.shape.resources;
        let room = self.workers.get_mut(&worker).expect("the worker was just chosen");
        room.reserve(&resources);
        self.wait_reasons.remove(&task);
        let placed = PlacedTask {
            worker: worker.clone(),
            attempt,
            resources,
            phase: TaskPhase::Starting,
            placed_at: now,
            lost_at: Moment(u64::MAX),
        };
        self.tasks.insert(task, placed);
        self.decisions.push(PlacementDecision { task, result: Ok(worker.clone()), candidates });
        let start = TaskStart {
            attempt: AttemptId { task, attempt },
            epoch: self.epoch,
            resources,
            lease: self.timing.lease,
            run_time: job.shape.run_time,
        };
        PlacementAction::Start(worker, start)
    }
}
