//! Places waiting tasks on workers and records why tasks wait.

use super::worker::{PlacedTask, TaskPhase, WorkerEntry};
use super::{HallPlacer, PlacementAction, PlacementDecision, TaskStart, WaitReason, score};
use crate::ids::{AttemptId, JobId, TaskId, WorkerId};
use crate::job::{JobPhase, JobState};
use crate::state::ClusterState;
use crate::units::{Moment, ResourceSet};

impl HallPlacer {
    /// Whether every worker in the roster has sent an inventory, or all leases of earlier leads
    /// have expired. Before that, no task is started.
    fn is_recovered(&self, now: Moment) -> bool {
        let is_accounted = |entry: &WorkerEntry| !entry.in_roster || entry.has_inventory();
        now >= self.earlier_leases_end() || self.workers.values().all(is_accounted)
    }

    /// Places waiting tasks, by priority and then in the order of submission.
    pub(super) fn place_waiting(
        &mut self,
        state: &ClusterState,
        now: Moment,
    ) -> Vec<PlacementAction> {
        let is_recovered = self.is_recovered(now);
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
            if !is_recovered {
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

    /// Whether a gang must wait because some of its unfinished tasks cannot be placed now: they
    /// run, their end is not recorded yet, or they are backing off. Its running tasks are stopped,
    /// since all tasks of a gang start together.
    fn update_regrouping(&mut self, id: JobId, job: &JobState, waiting: &[(TaskId, u32)]) -> bool {
        let unfinished = job.tasks.iter().filter(|task| task.outcome.is_none()).count();
        let all_waiting = waiting.len() == unfinished;
        match all_waiting {
            true => self.regrouping.remove(&id),
            false => self.regrouping.insert(id),
        };
        !all_waiting
    }

    /// Returns the tasks of a job that may be placed now, with the number of their next attempt.
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

    /// Places the tasks of a batch job one by one until one does not fit.
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

    /// Places all given tasks of a gang, or none of them.
    fn place_gang(
        &mut self,
        job: &JobState,
        waiting: &[(TaskId, u32)],
        now: Moment,
    ) -> Vec<PlacementAction> {
        let original_workers = self.workers.clone();
        let mut chosen = Vec::new();
        for _ in waiting {
            let (worker, candidates) = score::best_fit(&self.workers, &job.shape.resources, now);
            let Some(worker) = worker else { break };
            let entry = self.workers.get_mut(&worker).expect("the chosen worker has an entry");
            entry.reserve(&job.shape.resources);
            chosen.push((worker, candidates));
        }
        self.workers = original_workers;
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

    /// Returns why a task that needs `need` cannot be placed.
    fn wait_reason_for(&self, need: &ResourceSet) -> WaitReason {
        match self.workers.values().any(|entry| entry.view.total.fits(need)) {
            true => WaitReason::NoRoom,
            false => WaitReason::NeverFits,
        }
    }

    /// Stores the reason for which tasks wait, and adds a decision for each task whose reason
    /// changed.
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

    /// Reserves the resources of a task on a worker and returns the start order.
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
        let entry = self.workers.get_mut(&worker).expect("the chosen worker has an entry");
        entry.reserve(&resources);
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
