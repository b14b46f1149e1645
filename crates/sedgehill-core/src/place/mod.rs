//! Places tasks on the workers of one data hall, for the box that leads the hall.
//!
//! A worker runs whatever is sent to it, so the lead alone keeps account of its room. A new lead
//! believes nothing: [`HallPlacer`] asks each worker for its inventory before it starts anything
//! there, and starts no task that a silent worker could still be running until the lease of any
//! such task has surely lapsed.

mod account;
mod room;
mod score;

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

use crate::ids::{AttemptId, Epoch, HallName, Incarnation, JobId, TaskId, WorkerId};
use crate::job::{JobPhase, JobState, TaskEnd, TaskOutcome};
use crate::state::ClusterState;
use crate::units::{Moment, ResourceSet, TimeSpan};

use account::TaskAccount;
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

/// The order to start a task.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskStart {
    /// The attempt.
    pub attempt: AttemptId,
    /// The term of the lead that starts it.
    pub epoch: Epoch,
    /// What it is given.
    pub resources: ResourceSet,
    /// How long it runs without a renewal.
    pub lease: TimeSpan,
    /// The declared run time.
    pub run_time: TimeSpan,
}

/// What a lead asks of a worker at each sync.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkerSync {
    /// The term of the lead.
    pub epoch: Epoch,
    /// How long the renewed tasks run without another renewal.
    pub lease: TimeSpan,
    /// Tasks whose leases are renewed.
    pub renew: BTreeSet<AttemptId>,
    /// Tasks to stop.
    pub stop: BTreeSet<AttemptId>,
    /// Ended tasks that the worker need not report any more.
    pub forget: BTreeSet<AttemptId>,
}

/// One task as its worker reports it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskReport {
    /// The attempt.
    pub attempt: AttemptId,
    /// What it was given.
    pub resources: ResourceSet,
    /// How it ended; none while it runs.
    pub outcome: Option<TaskOutcome>,
}

/// Everything a worker runs or has to report.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkerInventory {
    /// The run of the worker: tasks of an earlier run are gone.
    pub incarnation: Incarnation,
    /// The tasks.
    pub tasks: Vec<TaskReport>,
}

/// How a start order ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StartReply {
    /// The task runs.
    Started,
    /// The worker refused: the task does not run there.
    Refused,
    /// No answer: the task may run there now or soon.
    Unknown,
}

/// What the lead has to do.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PlaceAction {
    /// Start a task.
    Start(WorkerId, TaskStart),
    /// Ask for the inventory, and pass on renewals and stops.
    Sync(WorkerId, WorkerSync),
    /// Record attempts that ended.
    End(Vec<TaskEnd>),
    /// Record workers before they are used, and those that surely run nothing any more.
    Roster {
        /// Workers about to be used.
        add: BTreeSet<WorkerId>,
        /// Workers that surely run nothing.
        remove: BTreeSet<WorkerId>,
    },
}

/// Why a waiting task waits.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum WaitReason {
    /// The lead is new and has not heard of every worker yet.
    Recovering,
    /// No worker has room for it now.
    NoRoom,
    /// No worker of the hall could ever hold it.
    NeverFits,
    /// It failed lately and is tried again later.
    BackOff,
    /// The other tasks of its gang are being stopped, so that all start together.
    Regrouping,
}

/// One decision, for the log line and for reading back.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlaceDecision {
    /// The task.
    pub task: TaskId,
    /// The worker that was chosen, or why none was.
    pub result: Result<WorkerId, WaitReason>,
    /// Workers with room.
    pub candidates: usize,
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

    /// Each worker with its free room and whether it is heard of and shut out.
    pub fn workers(
        &self,
        now: Moment,
    ) -> impl Iterator<Item = (&WorkerView, ResourceSet, bool, bool)> {
        self.rooms
            .values()
            .map(move |room| (&room.view, room.free(), room.is_known(), room.is_shut_out(now)))
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

    fn due_syncs(&mut self, state: &ClusterState, now: Moment) -> Vec<PlaceAction> {
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

    /// Whether every worker on which something could run has been heard of, or its leases lapsed.
    fn is_recovered(&self, now: Moment) -> bool {
        let heard_of = |room: &WorkerRoom| !room.in_roster || room.is_known();
        now >= self.lapse_end() || self.rooms.values().all(heard_of)
    }

    fn place_waiting(&mut self, state: &ClusterState, now: Moment) -> Vec<PlaceAction> {
        let recovered = self.is_recovered(now);
        let mut jobs: Vec<(&JobId, &JobState)> = state
            .jobs
            .iter()
            .filter(|(_, job)| job.hall == self.hall && job.phase == JobPhase::Open)
            .filter(|(id, _)| !self.quiet.contains(id))
            .collect();
        jobs.sort_by_key(|(_, job)| (std::cmp::Reverse(job.priority), job.submitted));
        let mut actions = Vec::new();
        for (id, job) in jobs {
            let waiting = self.waiting_tasks(*id, job, now);
            if waiting.is_empty() {
                continue;
            }
            if !recovered {
                self.note_waits(&waiting, WaitReason::Recovering, 0);
            } else if job.gang && self.must_regroup(*id, job, &waiting) {
                self.note_waits(&waiting, WaitReason::Regrouping, 0);
            } else if job.gang {
                actions.extend(self.place_gang(job, &waiting, now));
            } else {
                actions.extend(self.place_each(job, &waiting, now));
            }
        }
        actions
    }

    /// Whether a gang with waiting tasks has others that run, are being recorded or back off. Those
    /// that run are stopped: a gang starts whole.
    fn must_regroup(&mut self, id: JobId, job: &JobState, waiting: &[(TaskId, u32)]) -> bool {
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
            self.quiet.insert(id);
        }
        let is_due = |task: &TaskId| self.back_off.get(task).is_none_or(|until| *until <= now);
        unplaced.into_iter().filter(|(task, _)| is_due(task)).collect()
    }

    fn place_each(
        &mut self,
        job: &JobState,
        waiting: &[(TaskId, u32)],
        now: Moment,
    ) -> Vec<PlaceAction> {
        let mut actions = Vec::new();
        for (position, (task, attempt)) in waiting.iter().enumerate() {
            let (chosen, candidates) = score::best_fit(&self.rooms, &job.shape.resources, now);
            let Some(worker) = chosen else {
                let reason = self.no_room_reason(&job.shape.resources);
                self.note_waits(&waiting[position..], reason, candidates);
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
    ) -> Vec<PlaceAction> {
        let before = self.rooms.clone();
        let mut chosen = Vec::new();
        for _ in waiting {
            let (worker, candidates) = score::best_fit(&self.rooms, &job.shape.resources, now);
            let Some(worker) = worker else { break };
            let room = self.rooms.get_mut(&worker).expect("the worker was just chosen");
            room.take(&job.shape.resources);
            chosen.push((worker, candidates));
        }
        self.rooms = before;
        if chosen.len() < waiting.len() {
            let reason = self.no_room_reason(&job.shape.resources);
            self.note_waits(waiting, reason, chosen.len());
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

    fn no_room_reason(&self, need: &ResourceSet) -> WaitReason {
        match self.rooms.values().any(|room| room.view.total.fits(need)) {
            true => WaitReason::NoRoom,
            false => WaitReason::NeverFits,
        }
    }

    fn note_waits(&mut self, waiting: &[(TaskId, u32)], reason: WaitReason, candidates: usize) {
        for (task, _) in waiting {
            if self.waits.insert(*task, reason) != Some(reason) {
                self.decisions.push(PlaceDecision { task: *task, result: Err(reason), candidates });
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
    ) -> PlaceAction {
        let resources = job.shape.resources;
        let room = self.rooms.get_mut(&worker).expect("the worker was just chosen");
        room.take(&resources);
        self.waits.remove(&task);
        let placed = PlacedTask {
            worker: worker.clone(),
            attempt,
            resources,
            phase: TaskPhase::Starting,
            since: now,
            surely_over: Moment(u64::MAX),
        };
        self.tasks.insert(task, placed);
        self.decisions.push(PlaceDecision { task, result: Ok(worker.clone()), candidates });
        let start = TaskStart {
            attempt: AttemptId { task, attempt },
            epoch: self.epoch,
            resources,
            lease: self.timing.lease,
            run_time: job.shape.run_time,
        };
        PlaceAction::Start(worker, start)
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
