//! Makes room under an organisation's limit for an urgent step.
//!
//! A step may be kept waiting by the limit of its organisation although workers have room, while
//! less urgent work of the same organisation could be resumed later and still meet its objective.
//! Such runs are stopped, and the room that they give back is reserved for the step. What is being
//! stopped counts against the limit until its end is listed, so the limit is never exceeded.

use std::collections::{BTreeMap, HashMap};

use sedgehill_core::units::{Moment, ResourceSet, TimeSpan};

use super::displacement::RESERVATION_MARGIN;
use super::isolation::split_alone;
use super::limit_backfill::WaitTimeline;
use super::limit_stops::{LimitRequest, LimitRun, LimitRunState, LimitStops, plan_limit_stops};
use super::organisations::OrganisationKey;
use super::placement::waiting_tasks;
use super::rank::latest_start;
use super::room::{Candidate, OpenWorkers};
use super::worker_run::WorkerRun;
use super::*;
use crate::ids::StepId;
use crate::job::StepSpec;

/// A stop that has been repeated this often, which takes 600 ms, is no longer expected to end its
/// run soon. Its worker probably cannot be reached, and the run ends with its lease.
const OVERDUE_STOP_REPEATS: u32 = 2;

/// Room under a limit that is reserved for a step while runs are being stopped for it.
#[derive(Debug, Clone, Copy)]
struct LimitClaim {
    owner: OrganisationKey,
    /// The number of tasks it is reserved for.
    tasks: usize,
    /// When the reservation expires.
    until: Moment,
}

/// Room under limits in this turn, and the reservations that outlast it.
#[derive(Debug, Default)]
pub(super) struct LimitRoom {
    claims: BTreeMap<StepId, LimitClaim>,
    /// Where the runs of each organisation are; none until a step asks for room in this turn. Built
    /// once a turn, since that takes a look at all runs.
    places: Option<HashMap<OrganisationKey, Vec<(WorkerKey, CellTask)>>>,
    /// The runs of organisations of which a step asked for room in this turn.
    runs: HashMap<OrganisationKey, Vec<LimitRun>>,
    /// The expected use of limits for which a step waits in this turn.
    pub(super) timelines: HashMap<OrganisationKey, WaitTimeline>,
}

impl LimitRoom {
    /// Returns the number of tasks for which a step has claimed room.
    pub(super) fn claimed_tasks(&self, step: &StepId) -> usize {
        self.claims.get(step).map_or(0, |claim| claim.tasks)
    }
}

/// A claim that does not count while its own step is placed.
pub(super) struct ReleasedClaim {
    owner: OrganisationKey,
    /// What the steps ranked before have reserved under the limit in this turn.
    reserved_ahead: ResourceSet,
    /// The part of it that is free beside the claim.
    kept_ahead: ResourceSet,
}

impl Scheduler {
    /// Starts a turn: drops what the last one gathered, and reserves the room of valid claims.
    pub(super) fn begin_limit_turn(&mut self, now: Moment) {
        self.clear_limit_reservations();
        self.limit_room.places = None;
        self.limit_room.runs.clear();
        self.limit_room.timelines.clear();
        let jobs = &self.jobs;
        self.limit_room.claims.retain(|step, claim| {
            let is_active = jobs.get(&step.job).is_some_and(|job| !job.is_over());
            is_active && claim.tasks > 0 && now < claim.until
        });
        for (step, claim) in &self.limit_room.claims {
            let Some(job) = self.jobs.get(&step.job) else { continue };
            let Some(index) = job.step_index(step) else { continue };
            let need = job.step_spec(index).need.times(claim.tasks as u32);
            self.organisations.claim(claim.owner, &need);
        }
    }

    /// Frees the room that is reserved for a step, so that the step itself may use it. Steps that
    /// rank before it keep what they have reserved only as far as it is free beside that room.
    pub(super) fn release_claim(&mut self, candidate: &Candidate) -> Option<ReleasedClaim> {
        let job = self.jobs.get(&candidate.job)?;
        let owner = job.owner?;
        let reserved_ahead = self.organisations.reserved(owner);
        let mut kept_ahead = reserved_ahead;
        if let Some(claim) = self.limit_room.claims.get(&job.steps[candidate.step].id) {
            let need = job.step_spec(candidate.step).need.times(claim.tasks as u32);
            kept_ahead = self.organisations.free_part(owner, &reserved_ahead);
            self.organisations.set_reserved(owner, kept_ahead);
            self.organisations.unclaim(owner, &need);
            if let Some(waiting) = self.limit_room.timelines.get_mut(&owner) {
                waiting.release(&need);
            }
        }
        Some(ReleasedClaim { owner, reserved_ahead, kept_ahead })
    }

    /// Reserves the room of a step's claim again, as far as the step still waits.
    pub(super) fn renew_claim(
        &mut self,
        candidate: &Candidate,
        released: Option<ReleasedClaim>,
        now: Moment,
    ) {
        let (Some(job), Some(released)) = (self.jobs.get(&candidate.job), released) else { return };
        let owner = released.owner;
        let mut claimed = ResourceSet::default();
        if let Some(claim) = self.limit_room.claims.get_mut(&job.steps[candidate.step].id) {
            claim.tasks = claim.tasks.min(waiting_tasks(job, candidate.step, now).len());
            claimed = job.step_spec(candidate.step).need.times(claim.tasks as u32);
        }
        // Room that the step has reserved by its rank as well would otherwise stand idle.
        let by_rank = self.organisations.reserved(owner).saturating_minus(&released.kept_ahead);
        let reserved = released.reserved_ahead.plus(&by_rank.saturating_minus(&claimed));
        self.organisations.set_reserved(owner, reserved);
        self.organisations.claim(owner, &claimed);
    }

    /// Notes that tasks of a step were started, which need their claimed room no longer.
    pub(super) fn reduce_claim(&mut self, step: &StepId, started: usize) {
        if let Some(claim) = self.limit_room.claims.get_mut(step) {
            claim.tasks = claim.tasks.saturating_sub(started);
        }
    }

    /// Stops less urgent runs of a step's organisation so that `wanted` further tasks fit under its
    /// limit, if they would then find workers. Requests missing advice, without which they would
    /// not.
    pub(super) fn make_limit_room(
        &mut self,
        candidate: &Candidate,
        spec: &StepSpec,
        wanted: usize,
        open: &OpenWorkers,
        now: Moment,
    ) {
        let Some(job) = self.jobs.get(&candidate.job) else { return };
        let Some(owner) = job.owner.filter(|_| self.may_preempt(candidate, job, spec, now)) else {
            return;
        };
        let step = job.steps[candidate.step].id;
        let gang = spec.gang;
        let priority = job.record.policy.priority;
        let mut request = LimitRequest { need: spec.need, count: wanted, gang, priority };
        let Some(plan) = self.plan_stops(owner, &request, now) else { return };
        // A step that only waits for others of its organisation needs no tickets yet.
        if plan.runs.is_empty() && !self.limit_room.claims.contains_key(&step) {
            return;
        }
        let rooms = self.usable_rooms(candidate, spec, open, now);
        let places = rooms.iter().fold(0usize, |sum, (_, room)| sum.saturating_add(*room));
        if places < plan.tasks {
            self.request_advice(candidate, spec, open, now);
        }
        if places == 0 || (gang && places < plan.tasks) {
            return;
        }
        request.count = plan.tasks.min(places);
        let Some(plan) = self.plan_stops(owner, &request, now) else { return };
        if !plan.runs.is_empty() {
            self.carry_out_stops(candidate, owner, plan, now);
        }
    }

    /// Whether a step may have runs stopped to get room under its organisation's limit.
    fn may_preempt(
        &self,
        candidate: &Candidate,
        job: &ActiveJob,
        spec: &StepSpec,
        now: Moment,
    ) -> bool {
        let waiting = waiting_tasks(job, candidate.step, now);
        let is_whole = !spec.gang || waiting.len() == job.steps[candidate.step].unfinished;
        self.timing.policy.limit_room
            // Until then the limit also counts runs that may not exist.
            && self.take_over.settled
            && job.start_flag == StartFlag::Recorded
            && !spec.long_running
            && is_whole
            && split_alone(job, candidate.step, &waiting).0.is_empty()
            && self.has_value(candidate, job, now)
    }

    fn plan_stops(
        &mut self,
        owner: OrganisationKey,
        request: &LimitRequest,
        now: Moment,
    ) -> Option<LimitStops> {
        if !self.limit_room.runs.contains_key(&owner) {
            let runs = self.limit_runs(owner, now);
            self.limit_room.runs.insert(owner, runs);
        }
        let mut usage = self.organisations.usage(owner);
        // What is free is left to the steps that rank before and wait for more of it.
        let ahead = match self.limit_room.timelines.get(&owner) {
            Some(waiting) => waiting.ahead(),
            None => self.organisations.reserved(owner),
        };
        usage.reserved = usage.reserved.plus(&self.organisations.free_part(owner, &ahead));
        plan_limit_stops(request, &usage, &self.limit_room.runs[&owner])
    }

    /// Returns the runs that count against an organisation's limit.
    fn limit_runs(&mut self, owner: OrganisationKey, now: Moment) -> Vec<LimitRun> {
        let mut places = self.limit_room.places.take().unwrap_or_else(|| self.runs_by_owner());
        let owned = places.remove(&owner).unwrap_or_default();
        self.limit_room.places = Some(places);
        let run = |(key, task): (WorkerKey, CellTask)| {
            let worker = &self.workers[key.0];
            self.limit_run(worker, &task, worker.runs.get(&task)?, now)
        };
        owned.into_iter().filter_map(run).collect()
    }

    fn runs_by_owner(&self) -> HashMap<OrganisationKey, Vec<(WorkerKey, CellTask)>> {
        let mut found: HashMap<OrganisationKey, Vec<(WorkerKey, CellTask)>> = HashMap::new();
        for (number, worker) in self.workers.iter().enumerate() {
            for (task, run) in &worker.runs {
                if let Some(owner) = run.owner {
                    found.entry(owner).or_default().push((WorkerKey(number), *task));
                }
            }
        }
        found
    }

    fn limit_run(
        &self,
        worker: &WorkerState,
        task: &CellTask,
        run: &WorkerRun,
        now: Moment,
    ) -> Option<LimitRun> {
        let need = run.need?;
        let fixed = LimitRun {
            task: *task,
            run: run.run,
            need,
            priority: 0,
            state: LimitRunState::Fixed,
            slack: TimeSpan(0),
        };
        if worker.silent_calls > 0 {
            return Some(fixed);
        }
        let state = match run.phase {
            RunPhase::Confirmed => LimitRunState::Resumable,
            RunPhase::Stopping(attempt) if attempt.earlier < OVERDUE_STOP_REPEATS => {
                return Some(LimitRun { state: LimitRunState::Stopping, ..fixed });
            }
            RunPhase::Stopped => return Some(LimitRun { state: LimitRunState::Stopping, ..fixed }),
            RunPhase::Recording | RunPhase::Ordered | RunPhase::Stopping(_) => return Some(fixed),
        };
        let Some(job) = self.jobs.get(&task.step.job) else { return Some(fixed) };
        let (Some(step), Some(index)) = (job.step_index(&task.step), job.task_index(task)) else {
            return Some(fixed);
        };
        let spec = job.step_spec(step);
        if !matches!(job.tasks[index].phase, TaskPhase::Placed(_, placed) if placed == run.run) {
            return Some(fixed);
        }
        let preempted = job.tasks[index].preempted_run.is_some();
        if !spec.checkpointing || spec.gang || spec.long_running || preempted {
            return Some(fixed);
        }
        let latest = latest_start(job, step, self.unix_ms_at(now), now);
        let slack = TimeSpan(latest.saturating_sub(now.0));
        Some(LimitRun { priority: job.record.policy.priority, state, slack, ..fixed })
    }

    /// Stops the chosen runs and reserves the room for the step.
    fn carry_out_stops(
        &mut self,
        candidate: &Candidate,
        owner: OrganisationKey,
        plan: LimitStops,
        now: Moment,
    ) {
        let Some(job) = self.jobs.get(&candidate.job) else { return };
        let step = job.steps[candidate.step].id;
        let need = job.step_spec(candidate.step).need;
        let usage = self.organisations.usage(owner);
        let mut oldest_report = TimeSpan(0);
        for (task, run) in &plan.runs {
            let Some(key) = self.preempt_run(task, *run, now) else { continue };
            let reported = self.workers[key.0].last_report_at;
            oldest_report = oldest_report.max(reported.map_or(TimeSpan(0), |at| now.since(at)));
        }
        let runs = self.limit_room.runs.entry(owner).or_default();
        for run in runs.iter_mut() {
            if plan.runs.contains(&(run.task, run.run)) {
                run.state = LimitRunState::Stopping;
            }
        }
        let until = now.after(self.timing.stop).after(RESERVATION_MARGIN);
        self.limit_room.claims.insert(step, LimitClaim { owner, tasks: plan.tasks, until });
        self.events.push(CellEvent::LimitPreempted {
            step,
            organisation: self.organisations.name(owner).clone(),
            key: owner,
            binding: plan.binding,
            tasks: plan.tasks,
            need,
            running: usage.used,
            limit: usage.limit,
            coming: plan.coming,
            stopped: plan.runs.iter().map(|(task, _)| *task).collect(),
            oldest_report,
        });
    }

    /// Stops a run that is to be resumed from its saved state. Returns its worker.
    fn preempt_run(&mut self, task: &CellTask, run: RunNumber, now: Moment) -> Option<WorkerKey> {
        let job = self.jobs.get(&task.step.job)?;
        let TaskPhase::Placed(key, _) = job.tasks[job.task_index(task)?].phase else { return None };
        self.note_preempted(task, run);
        self.stop_run(key, *task, run, "preempted under limit", now);
        Some(key)
    }

    /// Claims room under the limit of a step's organisation for tasks for which runs are stopped on
    /// workers. They may be among those for which the step has a claim already: claims beyond the
    /// limit would keep several steps from starting for each other's sake.
    pub(super) fn claim_limit_room(&mut self, candidate: &Candidate, tasks: usize, until: Moment) {
        let Some(job) = self.jobs.get(&candidate.job) else { return };
        let Some(owner) = job.owner else { return };
        let step = job.steps[candidate.step].id;
        let claims = &mut self.limit_room.claims;
        let claim = claims.entry(step).or_insert(LimitClaim { owner, tasks: 0, until });
        claim.tasks = claim.tasks.max(tasks);
        claim.until = claim.until.max(until);
    }

    /// Notes that a run is stopped for more urgent work, so that its task is not stopped under a
    /// limit again before it has saved new state.
    pub(super) fn note_preempted(&mut self, task: &CellTask, run: RunNumber) {
        let Some(job) = self.jobs.get_mut(&task.step.job) else { return };
        if let Some(index) = job.task_index(task) {
            job.tasks[index].preempted_run = Some(run);
        }
    }
}
