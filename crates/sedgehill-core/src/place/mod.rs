//! Places tasks on the workers of one data hall, for the box that leads the hall.
//!
//! A worker runs whatever is sent to it, so the lead alone keeps account of its room. A new lead
//! believes nothing: [`HallPlacer`] asks each worker for its inventory before it starts anything
//! there, and starts no task that a silent worker could still be running until the lease of any
//! such task has surely lapsed.

mod account;
mod decision;
mod message;
mod room;
mod score;
mod sync;
mod waiting;

use std::collections::{BTreeMap, BTreeSet};

use crate::ids::{AttemptId, Epoch, HallName, JobId, TaskId, WorkerId};
use crate::job::{TaskEnd, TaskOutcome};
use crate::state::ClusterState;
use crate::units::{Moment, ResourceSet, TimeSpan};

use account::TaskAccount;
pub use decision::{PlaceAction, PlaceDecision, WaitReason};
pub use message::{StartReply, TaskReport, TaskStart, WorkerInventory, WorkerSync};
pub use room::WorkerView;
use room::{PlacedTask, TaskPhase, WorkerRoom};

/// Failed starts in a row that shut a worker out.
const SHUT_OUT_FAILURES: u32 = 3;
/// How long a worker is shut out at first; it doubles up to [`LONGEST_SHUT_OUT`].
const FIRST_SHUT_OUT: TimeSpan = TimeSpan(2_000);
/// The longest that a worker is shut out before it is probed.
const LONGEST_SHUT_OUT: TimeSpan = TimeSpan(60_000);

/// The times of placement.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PlaceTiming {
    /// How long a task runs on without a renewal.
    pub lease: TimeSpan,
    /// How long a message may be under way, and how far clocks may drift over a lease.
    pub settle: TimeSpan,
    /// How often each worker is asked for its inventory and has its leases renewed.
    pub sync_every: TimeSpan,
}

/// The tasks and workers of one hall under one epoch.
#[derive(Debug)]
pub struct HallPlacer {
    hall: HallName,
    epoch: Epoch,
    timing: PlaceTiming,
    began: Moment,
    rooms: BTreeMap<WorkerId, WorkerRoom>,
    tasks: TaskAccount,
    /// Open jobs of which no task waits, so that a look at waiting work passes them over.
    quiet: BTreeSet<JobId>,
    /// Gangs that lost a task: the others are stopped, so that all start together again.
    regrouping: BTreeSet<JobId>,
    ended: BTreeMap<TaskId, TaskEnd>,
    handed_over: BTreeSet<TaskId>,
    roster_asked: (BTreeSet<WorkerId>, BTreeSet<WorkerId>),
    double_runs: u64,
    back_off: BTreeMap<TaskId, Moment>,
    waits: BTreeMap<TaskId, WaitReason>,
    decisions: Vec<PlaceDecision>,
}

impl HallPlacer {
    /// A placer for a lead that began at `now`.
    pub fn new(hall: HallName, epoch: Epoch, timing: PlaceTiming, now: Moment) -> HallPlacer {
        HallPlacer {
            hall,
            epoch,
            timing,
            began: now,
            rooms: BTreeMap::new(),
            tasks: TaskAccount::default(),
            quiet: BTreeSet::new(),
            regrouping: BTreeSet::new(),
            ended: BTreeMap::new(),
            handed_over: BTreeSet::new(),
            roster_asked: Default::default(),
            double_runs: 0,
            back_off: BTreeMap::new(),
            waits: BTreeMap::new(),
            decisions: Vec::new(),
        }
    }

    /// The term that this placer acts under.
    pub fn epoch(&self) -> Epoch {
        self.epoch
    }

    /// The decisions since the last call.
    pub fn take_decisions(&mut self) -> Vec<PlaceDecision> {
        std::mem::take(&mut self.decisions)
    }

    /// Where a task is placed, and since when.
    pub fn whereabouts(&self, task: &TaskId) -> Option<(&WorkerId, Moment)> {
        self.tasks.get(task).map(|placed| (&placed.worker, placed.since))
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
        self.waits.get(task).copied()
    }

    /// The room of the hall: all and free.
    pub fn room(&self) -> (ResourceSet, ResourceSet) {
        let sum = |get: fn(&WorkerRoom) -> ResourceSet| {
            self.rooms
                .values()
                .filter(|room| room.is_known() && !room.view.leaving)
                .fold(ResourceSet::default(), |sum, room| sum.plus(&get(room)))
        };
        (sum(|room| room.view.total), sum(WorkerRoom::free))
    }

    /// How often a worker reported a task that another was known to run. Workers cause this by
    /// running on beyond a lease; the lead stops the second run.
    pub fn double_runs(&self) -> u64 {
        self.double_runs
    }

    /// The tasks that are placed.
    pub fn placed(&self) -> usize {
        self.tasks.len()
    }

    /// Whether a start order is under way, so that the lead must not be handed over yet.
    pub fn has_starts_under_way(&self) -> bool {
        self.tasks.iter().any(|(_, placed)| matches!(placed.phase, TaskPhase::Starting))
    }

    /// Takes in the workers that the platform lists, and those on which an earlier lead may have
    /// started tasks.
    pub fn sync_workers(&mut self, listed: &[WorkerView], roster: &BTreeSet<WorkerId>) {
        for room in self.rooms.values_mut() {
            room.listed = false;
        }
        for view in listed.iter().filter(|view| view.hall == self.hall) {
            let room =
                self.rooms.entry(view.id.clone()).or_insert_with(|| WorkerRoom::new(view.clone()));
            room.renew(view.clone());
        }
        for worker in roster {
            if !self.rooms.contains_key(worker) {
                self.rooms.insert(
                    worker.clone(),
                    WorkerRoom::unlisted(worker.clone(), self.hall.clone()),
                );
            }
        }
    }

    /// Moves on to `now` and says what to do. To be called only while the lead may act.
    pub fn tick(&mut self, state: &ClusterState, now: Moment) -> Vec<PlaceAction> {
        let mut actions = Vec::new();
        self.settle_ended(state);
        self.lapse_silent(now);
        self.forget_closed_jobs(state);
        let ends = self.new_ends();
        if !ends.is_empty() {
            actions.push(PlaceAction::End(ends));
        }
        actions.extend(self.roster_change(state, now));
        actions.extend(self.due_syncs(state, now));
        actions.extend(self.place_waiting(state, now));
        self.check_rooms();
        actions
    }

    /// Drops ends that the log has, and the tasks with them.
    fn settle_ended(&mut self, state: &ClusterState) {
        let quiet = &mut self.quiet;
        self.ended.retain(|task, end| {
            let job = state.jobs.get(&task.job);
            let unsettled = job
                .and_then(|job| job.tasks.get(task.index as usize))
                .is_some_and(|task| task.attempts <= end.attempt && task.outcome.is_none());
            if !unsettled {
                quiet.remove(&task.job);
            }
            unsettled
        });
        self.handed_over.retain(|task| self.ended.contains_key(task));
    }

    /// Gives up on tasks of silent workers once their leases have surely lapsed.
    fn lapse_silent(&mut self, now: Moment) {
        let lapsed: Vec<TaskId> = self
            .tasks
            .iter()
            .filter(|(_, placed)| placed.surely_over <= now)
            .map(|(task, _)| *task)
            .collect();
        for task in lapsed {
            self.end_task(task, TaskOutcome::Lost, now);
        }
    }

    fn forget_closed_jobs(&mut self, state: &ClusterState) {
        self.back_off.retain(|task, _| is_open(state, &task.job));
        self.waits.retain(|task, _| is_open(state, &task.job));
        self.quiet.retain(|job| is_open(state, job));
        self.regrouping.retain(|job| is_open(state, job));
    }

    /// Ends that were not handed over to be recorded before.
    fn new_ends(&mut self) -> Vec<TaskEnd> {
        let handed_over = &mut self.handed_over;
        self.ended.values().filter(|end| handed_over.insert(end.task)).copied().collect()
    }

    /// Takes a task out of the account; its job may have waiting tasks from now on.
    fn take_out(&mut self, task: &TaskId) -> Option<PlacedTask> {
        self.quiet.remove(&task.job);
        self.tasks.remove(task)
    }

    fn end_task(&mut self, task: TaskId, outcome: TaskOutcome, now: Moment) {
        let Some(placed) = self.take_out(&task) else { return };
        if let Some(room) = self.rooms.get_mut(&placed.worker) {
            room.give_back(&placed.resources);
            room.note_outcome(outcome, now);
        }
        self.ended.insert(task, TaskEnd { task, attempt: placed.attempt, outcome });
        if outcome != TaskOutcome::Done {
            let wait = TimeSpan(500u64 << placed.attempt.min(6));
            self.back_off.insert(task, now.after(wait));
        }
    }

    fn roster_change(&mut self, state: &ClusterState, now: Moment) -> Option<PlaceAction> {
        let roster =
            state.halls.get(&self.hall).map(|hall| hall.roster.clone()).unwrap_or_default();
        let usable = |room: &&WorkerRoom| room.listed && !room.view.leaving && room.is_known();
        let add: BTreeSet<WorkerId> = self
            .rooms
            .values()
            .filter(usable)
            .map(|room| room.view.id.clone())
            .filter(|id| !roster.contains(id))
            .collect();
        let lapse = self.lapse_end();
        let tasks = &self.tasks;
        let remove: BTreeSet<WorkerId> = roster
            .iter()
            .filter(|id| now >= lapse && !tasks.is_busy(id))
            .filter(|id| self.rooms.get(*id).is_none_or(|room| !room.listed))
            .cloned()
            .collect();
        for room in self.rooms.values_mut() {
            room.in_roster = roster.contains(&room.view.id);
        }
        self.rooms.retain(|id, room| room.listed || roster.contains(id) || tasks.is_busy(id));
        let change = (add, remove);
        if change == self.roster_asked {
            return None;
        }
        self.roster_asked = change.clone();
        let (add, remove) = change;
        (!add.is_empty() || !remove.is_empty()).then_some(PlaceAction::Roster { add, remove })
    }

    /// When whatever an earlier lead started has surely ended, unless a worker has reported it.
    fn lapse_end(&self) -> Moment {
        self.began.after(self.timing.lease).after(self.timing.settle)
    }

    /// Asserts that the account of each worker that changed is right.
    fn check_rooms(&mut self) {
        for (worker, room) in &mut self.rooms {
            if room.take_changed() {
                let placed = self.tasks.on(worker);
                room.check(
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
