//! Places tasks on the workers of one data hall, for the box that leads the hall.
//!
//! Workers run every task that is sent to them, so only the lead tracks how much of their resources
//! is in use. A new lead starts without any assumption: [`HallPlacer`] requests the inventory of
//! each worker before it starts a task there. It does not start a task that a silent worker may
//! still be running until the lease of that task has expired.

mod decision;
mod message;
mod score;
mod sync;
mod table;
mod waiting;
mod worker;

use std::collections::{BTreeMap, BTreeSet};

use crate::ids::{AttemptId, Epoch, HallName, JobId, TaskId, WorkerId};
use crate::job::{TaskEnd, TaskOutcome};
use crate::state::ClusterState;
use crate::units::{Moment, ResourceSet, TimeSpan};

pub use decision::{PlacementAction, PlacementDecision, WaitReason};
pub use message::{StartReply, TaskReport, TaskStart, WorkerInventory, WorkerSync};
use table::PlacementTable;
pub use worker::WorkerView;
use worker::{PlacedTask, TaskPhase, WorkerEntry};

/// Consecutive failures that suspend a worker.
const SUSPENSION_FAILURES: u32 = 3;
/// Duration of the first suspension. It doubles with each further one, up to [`MAX_SUSPENSION`].
const FIRST_SUSPENSION: TimeSpan = TimeSpan(2_000);
/// Maximum duration of a suspension, after which a task probes the worker.
const MAX_SUSPENSION: TimeSpan = TimeSpan(60_000);

/// Durations used by the placement.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PlacementTiming {
    /// Time for which a task runs without a renewal of its lease.
    pub lease: TimeSpan,
    /// Maximum time from sending a message to its arrival. It also bounds the clock drift between
    /// lead and worker over the duration of a lease.
    pub max_delivery_delay: TimeSpan,
    /// Interval at which the lead requests each worker's inventory and renews its leases.
    pub sync_every: TimeSpan,
}

/// Places the tasks of one data hall under one epoch of its lead.
#[derive(Debug)]
pub struct HallPlacer {
    hall: HallName,
    epoch: Epoch,
    timing: PlacementTiming,
    /// Time at which the lead began.
    started_at: Moment,
    workers: BTreeMap<WorkerId, WorkerEntry>,
    tasks: PlacementTable,
    /// Open jobs without a task to place, which are skipped in the search for waiting tasks.
    fully_placed: BTreeSet<JobId>,
    /// Incomplete gangs, whose running tasks are stopped so that all tasks start together again.
    regrouping: BTreeSet<JobId>,
    /// Ended attempts that are not in the log yet.
    ended: BTreeMap<TaskId, TaskEnd>,
    /// Tasks in `ended` that were returned in a [`PlacementAction::End`].
    returned_ends: BTreeSet<TaskId>,
    /// The last roster change that was returned: workers to add and to remove.
    requested_roster_change: (BTreeSet<WorkerId>, BTreeSet<WorkerId>),
    duplicate_runs: u64,
    /// Times before which tasks are not started again.
    backoff_until: BTreeMap<TaskId, Moment>,
    wait_reasons: BTreeMap<TaskId, WaitReason>,
    /// Decisions since the last [`HallPlacer::take_decisions`].
    decisions: Vec<PlacementDecision>,
}

impl HallPlacer {
    /// Creates a placer for a lead that begins at `now`.
    pub fn new(hall: HallName, epoch: Epoch, timing: PlacementTiming, now: Moment) -> HallPlacer {
        HallPlacer {
            hall,
            epoch,
            timing,
            started_at: now,
            workers: BTreeMap::new(),
            tasks: PlacementTable::default(),
            fully_placed: BTreeSet::new(),
            regrouping: BTreeSet::new(),
            ended: BTreeMap::new(),
            returned_ends: BTreeSet::new(),
            requested_roster_change: Default::default(),
            duplicate_runs: 0,
            backoff_until: BTreeMap::new(),
            wait_reasons: BTreeMap::new(),
            decisions: Vec::new(),
        }
    }

    /// Returns the epoch of the lead.
    pub fn epoch(&self) -> Epoch {
        self.epoch
    }

    /// Returns the decisions since the last call.
    pub fn take_decisions(&mut self) -> Vec<PlacementDecision> {
        std::mem::take(&mut self.decisions)
    }

    /// Returns the worker on which a task is placed, and since when.
    pub fn placement(&self, task: &TaskId) -> Option<(&WorkerId, Moment)> {
        self.tasks.get(task).map(|placed| (&placed.worker, placed.placed_at))
    }

    /// Returns the tasks placed on a worker, in the form in which the worker reports them.
    pub fn running_on(&self, worker: &WorkerId) -> impl Iterator<Item = TaskReport> {
        self.tasks.tasks_on(worker).map(|(task, placed)| TaskReport {
            attempt: AttemptId { task: *task, attempt: placed.attempt },
            resources: placed.resources,
            outcome: None,
        })
    }

    /// Returns why a task waits.
    pub fn wait_reason(&self, task: &TaskId) -> Option<WaitReason> {
        self.wait_reasons.get(task).copied()
    }

    /// Returns the total and the free resources of the hall's known workers that are not draining.
    pub fn capacity(&self) -> (ResourceSet, ResourceSet) {
        let sum = |get: fn(&WorkerEntry) -> ResourceSet| {
            self.workers
                .values()
                .filter(|entry| entry.has_inventory() && !entry.view.leaving)
                .fold(ResourceSet::default(), |sum, entry| sum.plus(&get(entry)))
        };
        (sum(|entry| entry.view.total), sum(WorkerEntry::free))
    }

    /// Returns how often a worker reported a running attempt although the task was placed
    /// otherwise. This happens if a worker runs a task beyond its lease; the lead stops the
    /// duplicate.
    pub fn duplicate_runs(&self) -> u64 {
        self.duplicate_runs
    }

    /// Returns the number of placed tasks.
    pub fn placed_count(&self) -> usize {
        self.tasks.len()
    }

    /// Whether the result of a start order is still awaited, so that the lead must not be released.
    pub fn has_pending_starts(&self) -> bool {
        self.tasks.iter().any(|(_, placed)| matches!(placed.phase, TaskPhase::Starting))
    }

    /// Updates the workers from the platform's list and from the roster in the log, which contains
    /// all workers on which an earlier lead may have started tasks.
    pub fn sync_workers(&mut self, listed: &[WorkerView], roster: &BTreeSet<WorkerId>) {
        for entry in self.workers.values_mut() {
            entry.listed = false;
        }
        for view in listed.iter().filter(|view| view.hall == self.hall) {
            let entry = self
                .workers
                .entry(view.id.clone())
                .or_insert_with(|| WorkerEntry::new(view.clone()));
            entry.update_view(view.clone());
        }
        for worker in roster {
            if !self.workers.contains_key(worker) {
                self.workers.insert(
                    worker.clone(),
                    WorkerEntry::unlisted(worker.clone(), self.hall.clone()),
                );
            }
        }
    }

    /// Advances to `now` and returns the actions to carry out. May be called only while the box
    /// holds the lead.
    pub fn tick(&mut self, state: &ClusterState, now: Moment) -> Vec<PlacementAction> {
        let mut actions = Vec::new();
        self.drop_recorded_ends(state);
        self.expire_leases(now);
        self.forget_closed_jobs(state);
        let ends = self.take_new_ends();
        if !ends.is_empty() {
            actions.push(PlacementAction::End(ends));
        }
        actions.extend(self.roster_change(state, now));
        actions.extend(self.due_syncs(state, now));
        actions.extend(self.place_waiting(state, now));
        self.check_usage();
        actions
    }

    /// Drops the ended attempts that are recorded in the log by now.
    fn drop_recorded_ends(&mut self, state: &ClusterState) {
        let fully_placed = &mut self.fully_placed;
        self.ended.retain(|task, end| {
            let job = state.jobs.get(&task.job);
            let unrecorded = job
                .and_then(|job| job.tasks.get(task.index as usize))
                .is_some_and(|task| task.attempts <= end.attempt && task.outcome.is_none());
            if !unrecorded {
                fully_placed.remove(&task.job);
            }
            unrecorded
        });
        self.returned_ends.retain(|task| self.ended.contains_key(task));
    }

    /// Ends the tasks that count as lost, since their leases have expired on silent workers.
    fn expire_leases(&mut self, now: Moment) {
        let lost: Vec<TaskId> = self
            .tasks
            .iter()
            .filter(|(_, placed)| placed.lost_at <= now)
            .map(|(task, _)| *task)
            .collect();
        for task in lost {
            self.end_task(task, TaskOutcome::Lost, now);
        }
    }

    fn forget_closed_jobs(&mut self, state: &ClusterState) {
        self.backoff_until.retain(|task, _| is_open(state, &task.job));
        self.wait_reasons.retain(|task, _| is_open(state, &task.job));
        self.fully_placed.retain(|job| is_open(state, job));
        self.regrouping.retain(|job| is_open(state, job));
    }

    /// Returns the ended attempts that were not returned before.
    fn take_new_ends(&mut self) -> Vec<TaskEnd> {
        let returned_ends = &mut self.returned_ends;
        self.ended.values().filter(|end| returned_ends.insert(end.task)).copied().collect()
    }

    /// Removes a placed task. Its job may have tasks to place again.
    fn remove_task(&mut self, task: &TaskId) -> Option<PlacedTask> {
        self.fully_placed.remove(&task.job);
        self.tasks.remove(task)
    }

    fn end_task(&mut self, task: TaskId, outcome: TaskOutcome, now: Moment) {
        let Some(placed) = self.remove_task(&task) else { return };
        if let Some(entry) = self.workers.get_mut(&placed.worker) {
            entry.release(&placed.resources);
            entry.record_outcome(outcome, now);
        }
        self.ended.insert(task, TaskEnd { task, attempt: placed.attempt, outcome });
        if outcome != TaskOutcome::Done {
            let backoff = TimeSpan(500u64 << placed.attempt.min(6));
            self.backoff_until.insert(task, now.after(backoff));
        }
    }

    /// Returns the change that the roster needs, unless it was returned before. Usable workers are
    /// added; workers that are no longer listed are removed once no task can be running on them.
    fn roster_change(&mut self, state: &ClusterState, now: Moment) -> Option<PlacementAction> {
        let roster =
            state.halls.get(&self.hall).map(|hall| hall.roster.clone()).unwrap_or_default();
        let usable =
            |entry: &&WorkerEntry| entry.listed && !entry.view.leaving && entry.has_inventory();
        let add: BTreeSet<WorkerId> = self
            .workers
            .values()
            .filter(usable)
            .map(|entry| entry.view.id.clone())
            .filter(|id| !roster.contains(id))
            .collect();
        let earlier_leases_end = self.earlier_leases_end();
        let tasks = &self.tasks;
        let remove: BTreeSet<WorkerId> = roster
            .iter()
            .filter(|id| now >= earlier_leases_end && !tasks.has_tasks(id))
            .filter(|id| self.workers.get(*id).is_none_or(|entry| !entry.listed))
            .cloned()
            .collect();
        for entry in self.workers.values_mut() {
            entry.in_roster = roster.contains(&entry.view.id);
        }
        self.workers.retain(|id, entry| entry.listed || roster.contains(id) || tasks.has_tasks(id));
        let change = (add, remove);
        if change == self.requested_roster_change {
            return None;
        }
        self.requested_roster_change = change.clone();
        let (add, remove) = change;
        (!add.is_empty() || !remove.is_empty()).then_some(PlacementAction::Roster { add, remove })
    }

    /// Returns the time by which the leases of all tasks that earlier leads started have expired,
    /// unless a worker has reported them.
    fn earlier_leases_end(&self) -> Moment {
        self.started_at.after(self.timing.lease).after(self.timing.max_delivery_delay)
    }

    /// Checks the resources in use of each worker for which they changed.
    fn check_usage(&mut self) {
        for (worker, entry) in &mut self.workers {
            if entry.take_usage_changed() {
                let placed = self.tasks.tasks_on(worker);
                entry.check_usage(
                    placed.fold(ResourceSet::default(), |sum, (_, placed)| {
                        sum.plus(&placed.resources)
                    }),
                );
            }
        }
    }
}

fn is_open(state: &ClusterState, job: &JobId) -> bool {
    state.jobs.get(job).is_some_and(|job| !job.phase.is_final())
}
