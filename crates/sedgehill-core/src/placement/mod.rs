//! Places tasks on the workers of one data hall, for the box that leads the hall.
//!
//! A worker runs whatever is sent to it, so the lead alone keeps account of its room. A new lead
//! believes nothing: [`HallPlacer`] asks each worker for its inventory before it starts anything
//! there, and starts no task that a silent worker could still be running until the lease of any
//! such task has surely lapsed.

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

/// Failed starts in a row that shut a worker out.
const SUSPENSION_FAILURES: u32 = 3;
/// How long a worker is shut out at first; it doubles up to [`MAX_SUSPENSION`].
const FIRST_SUSPENSION: TimeSpan = TimeSpan(2_000);
/// The longest that a worker is shut out before it is probed.
const MAX_SUSPENSION: TimeSpan = TimeSpan(60_000);

/// The times of placement.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PlacementTiming {
    /// How long a task runs on without a renewal.
    pub lease: TimeSpan,
    /// How long a message may be under way, and how far clocks may drift over a lease.
    pub max_delivery_delay: TimeSpan,
    /// How often each worker is asked for its inventory and has its leases renewed.
    pub sync_every: TimeSpan,
}

/// The tasks and workers of one hall under one epoch.
#[derive(Debug)]
pub struct HallPlacer {
    hall: HallName,
    epoch: Epoch,
    timing: PlacementTiming,
    started_at: Moment,
    workers: BTreeMap<WorkerId, WorkerEntry>,
    tasks: PlacementTable,
    /// Open jobs of which no task waits, so that a look at waiting work passes them over.
    fully_placed: BTreeSet<JobId>,
    /// Gangs that lost a task: the others are stopped, so that all start together again.
    regrouping: BTreeSet<JobId>,
    ended: BTreeMap<TaskId, TaskEnd>,
    returned_ends: BTreeSet<TaskId>,
    requested_roster_change: (BTreeSet<WorkerId>, BTreeSet<WorkerId>),
    duplicate_runs: u64,
    backoff_until: BTreeMap<TaskId, Moment>,
    wait_reasons: BTreeMap<TaskId, WaitReason>,
    decisions: Vec<PlacementDecision>,
}

impl HallPlacer {
    /// A placer for a lead that started_at at `now`.
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

    /// The term that this placer acts under.
    pub fn epoch(&self) -> Epoch {
        self.epoch
    }

    /// The decisions since the last call.
    pub fn take_decisions(&mut self) -> Vec<PlacementDecision> {
        std::mem::take(&mut self.decisions)
    }

    /// Where a task is placed, and since when.
    pub fn placement(&self, task: &TaskId) -> Option<(&WorkerId, Moment)> {
        self.tasks.get(task).map(|placed| (&placed.worker, placed.placed_at))
    }

    /// The tasks that hold room on a worker, as the worker would report them.
    pub fn running_on(&self, worker: &WorkerId) -> impl Iterator<Item = TaskReport> {
        self.tasks.on(worker).map(|(task, placed)| TaskReport {
            attempt: AttemptId { task: *task, attempt: placed.attempt },
            resources: placed.resources,
            outcome: None,
        })
    }

    /// Why a task waits.
    pub fn wait_reason(&self, task: &TaskId) -> Option<WaitReason> {
        self.wait_reasons.get(task).copied()
    }

    /// The room of the hall: all and free.
    pub fn capacity(&self) -> (ResourceSet, ResourceSet) {
        let sum = |get: fn(&WorkerEntry) -> ResourceSet| {
            self.workers
                .values()
                .filter(|room| room.is_known() && !room.view.leaving)
                .fold(ResourceSet::default(), |sum, room| sum.plus(&get(room)))
        };
        (sum(|room| room.view.total), sum(WorkerEntry::free))
    }

    /// How often a worker reported a task that another was known to run. Workers cause this by
    /// running on beyond a lease; the lead stops the second run.
    pub fn duplicate_runs(&self) -> u64 {
        self.duplicate_runs
    }

    /// The tasks that are placed.
    pub fn placed_count(&self) -> usize {
        self.tasks.len()
    }

    /// Whether a start order is under way, so that the lead must not be handed over yet.
    pub fn has_pending_starts(&self) -> bool {
        self.tasks.iter().any(|(_, placed)| matches!(placed.phase, TaskPhase::Starting))
    }

    /// Takes in the workers that the platform lists, and those on which an earlier lead may have
    /// started tasks.
    pub fn sync_workers(&mut self, listed: &[WorkerView], roster: &BTreeSet<WorkerId>) {
        for room in self.workers.values_mut() {
            room.listed = false;
        }
        for view in listed.iter().filter(|view| view.hall == self.hall) {
            let room = self
                .workers
                .entry(view.id.clone())
                .or_insert_with(|| WorkerEntry::new(view.clone()));
            room.renew(view.clone());
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

    /// Moves on to `now` and says what to do. To be called only while the lead may act.
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

    /// Drops ends that the log has, and the tasks with them.
    fn drop_recorded_ends(&mut self, state: &ClusterState) {
        let fully_placed = &mut self.fully_placed;
        self.ended.retain(|task, end| {
            let job = state.jobs.get(&task.job);
            let unsettled = job
                .and_then(|job| job.tasks.get(task.index as usize))
                .is_some_and(|task| task.attempts <= end.attempt && task.outcome.is_none());
            if !unsettled {
                fully_placed.remove(&task.job);
            }
            unsettled
        });
        self.returned_ends.retain(|task| self.ended.contains_key(task));
    }

    /// Gives up on tasks of silent workers once their leases have surely lapsed.
    fn expire_leases(&mut self, now: Moment) {
        let lapsed: Vec<TaskId> = self
            .tasks
            .iter()
            .filter(|(_, placed)| placed.lost_at <= now)
            .map(|(task, _)| *task)
            .collect();
        for task in lapsed {
            self.end_task(task, TaskOutcome::Lost, now);
        }
    }

    fn forget_closed_jobs(&mut self, state: &ClusterState) {
        self.backoff_until.retain(|task, _| is_open(state, &task.job));
        self.wait_reasons.retain(|task, _| is_open(state, &task.job));
        self.fully_placed.retain(|job| is_open(state, job));
        self.regrouping.retain(|job| is_open(state, job));
    }

    /// Ends that were not handed over to be recorded before.
    fn take_new_ends(&mut self) -> Vec<TaskEnd> {
        let returned_ends = &mut self.returned_ends;
        self.ended.values().filter(|end| returned_ends.insert(end.task)).copied().collect()
    }

    /// Takes a task out of the account; its job may have waiting tasks from now on.
    fn remove_task(&mut self, task: &TaskId) -> Option<PlacedTask> {
        self.fully_placed.remove(&task.job);
        self.tasks.remove(task)
    }

    fn end_task(&mut self, task: TaskId, outcome: TaskOutcome, now: Moment) {
        let Some(placed) = self.remove_task(&task) else { return };
        if let Some(room) = self.workers.get_mut(&placed.worker) {
            room.release(&placed.resources);
            room.record_outcome(outcome, now);
        }
        self.ended.insert(task, TaskEnd { task, attempt: placed.attempt, outcome });
        if outcome != TaskOutcome::Done {
            let wait = TimeSpan(500u64 << placed.attempt.min(6));
            self.backoff_until.insert(task, now.after(wait));
        }
    }

    fn roster_change(&mut self, state: &ClusterState, now: Moment) -> Option<PlacementAction> {
        let roster =
            state.halls.get(&self.hall).map(|hall| hall.roster.clone()).unwrap_or_default();
        let usable = |room: &&WorkerEntry| room.listed && !room.view.leaving && room.is_known();
        let add: BTreeSet<WorkerId> = self
            .workers
            .values()
            .filter(usable)
            .map(|room| room.view.id.clone())
            .filter(|id| !roster.contains(id))
            .collect();
        let lapse = self.earlier_leases_end();
        let tasks = &self.tasks;
        let remove: BTreeSet<WorkerId> = roster
            .iter()
            .filter(|id| now >= lapse && !tasks.has_tasks(id))
            .filter(|id| self.workers.get(*id).is_none_or(|room| !room.listed))
            .cloned()
            .collect();
        for room in self.workers.values_mut() {
            room.in_roster = roster.contains(&room.view.id);
        }
        self.workers.retain(|id, room| room.listed || roster.contains(id) || tasks.has_tasks(id));
        let change = (add, remove);
        if change == self.requested_roster_change {
            return None;
        }
        self.requested_roster_change = change.clone();
        let (add, remove) = change;
        (!add.is_empty() || !remove.is_empty()).then_some(PlacementAction::Roster { add, remove })
    }

    /// When whatever an earlier lead started has surely ended, unless a worker has reported it.
    fn earlier_leases_end(&self) -> Moment {
        self.started_at.after(self.timing.lease).after(self.timing.max_delivery_delay)
    }

    /// Asserts that the account of each worker that changed is right.
    fn check_usage(&mut self) {
        for (worker, room) in &mut self.workers {
            if room.take_usage_changed() {
                let placed = self.tasks.on(worker);
                room.check_usage(
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
