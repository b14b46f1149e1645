//! The lead of a cell: it owns the account of all workers, runs and waiting tasks.
//!
//! A new lead begins with what every box knows of the jobs, and with no belief about workers: it
//! starts nothing before it has an account from every worker, or until whatever an earlier lead may
//! have ordered has surely ended ([`Scheduler::take_over`]). An end is acknowledged to its worker
//! only when it is recorded. A task whose start went unanswered is settled before it runs elsewhere:
//! by an answered stop, by an account that lists the run, or by the end of the worker's lease.

mod active_job;
mod advice;
mod advice_dispatch;
mod answers;
mod background_crashes;
mod call_loss;
mod diagnostics;
mod displacement;
mod ends;
mod event;
mod isolation;
mod lives;
mod message;
mod organisations;
mod pace;
mod placement;
mod policy;
mod questions;
mod rank;
mod record;
mod reports;
mod restart;
mod restart_room;
mod room;
mod roster;
mod stall;
mod stragglers;
mod suspects;
mod take_over;
mod timing;
mod worker;
mod write_ahead;

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::rc::Rc;

use sedgehill_core::units::{Moment, TimeSpan};

use self::active_job::{ActiveJob, ActiveTask, StartFlag, TaskPhase};
pub use self::advice::AllowedShare;
pub use self::advice_dispatch::AdviceDispatcher;
use self::background_crashes::BackgroundCrashes;
use self::call_loss::CallLossRate;
pub use self::diagnostics::TakeOverStatus;
pub use self::event::*;
pub use self::message::*;
pub use self::organisations::{OrganisationKey, OrganisationStats, OrganisationTable};
use self::pace::FactorAverage;
pub use self::policy::{CellPolicy, LimitOrder, LimitOrderError, SharingError, SharingMode};
use self::restart::RestartTracker;
pub use self::restart::{PendingRestart, RestartCause, RestartStats};
use self::room::Candidate;
pub use self::stall::{StallDetails, StallReason, StallStats};
pub use self::suspects::CrashDetection;
use self::suspects::UnresolvedRuns;
pub use self::timing::CellTiming;
use self::worker::{RunPhase, StopAttempt, WorkerState, WorkerTrust};
use self::write_ahead::UnrecordedStart;
use crate::ids::{
    CellTask, FencingToken, JobId, QueueName, RunNumber, StepId, WorkerId, WorkerLife,
};
use crate::job::JobRecord;
use crate::progress::{JobProgress, JobState};

/// How far a new lead has settled what earlier leads did.
#[derive(Debug, Clone, Copy)]
struct TakeOver {
    /// When the lead was claimed.
    since: Moment,
    /// Whether an earlier lead may still give orders for a time.
    predecessor: bool,
    /// The store refuses earlier leads.
    fenced: bool,
    /// All that earlier leads recorded was taken in.
    caught_up: bool,
    /// Every worker has answered, or what it runs has surely ended.
    settled: bool,
    /// What settled it.
    settled_by: Option<SettlementCause>,
    /// A worker on which an earlier lead may have started something was not heard.
    lost_workers: bool,
}

/// The lead's state.
#[derive(Debug)]
pub struct Scheduler {
    timing: CellTiming,
    token: FencingToken,
    /// The lead before this one; none if that is not known.
    previous_token: Option<FencingToken>,
    workers: Vec<WorkerState>,
    /// All lives that were ever known.
    lives: HashMap<WorkerLife, WorkerKey>,
    /// The life that answers under each id, or is looked for.
    ids: HashMap<WorkerId, WorkerKey>,
    /// Lives that were met lately, and that nobody asks for accounts yet.
    unpolled_lives: Vec<WorkerKey>,
    jobs: BTreeMap<JobId, ActiveJob>,
    advice_dispatcher: AdviceDispatcher,
    shares: HashMap<QueueName, AllowedShare>,
    estimates: HashMap<QueueName, FactorAverage>,
    call_losses: CallLossRate,
    organisations: OrganisationTable,
    take_over: TakeOver,
    /// When the list of workers was read last; none if it never was.
    workers_listed_at: Option<Moment>,
    orders: Vec<CellOrder>,
    events: Vec<CellEvent>,
    dirty: BTreeSet<JobId>,
    delayed: BTreeSet<JobId>,
    delayed_since: Option<Moment>,
    roster_changed: bool,
    next_batch: u64,
    recorded: u64,
    /// Something is to be recorded to learn whether a later lead has fenced.
    confirmation_wanted: bool,
    /// When the newest batch that is sent was taken.
    batch_taken: Moment,
    /// No later lead had given orders by then: what was taken then is recorded under this lead's token.
    lead_confirmed_at: Moment,
    fenced_out: bool,
    wall_clock: (u64, Moment),
    /// Runs of which it is open whether a crash took them.
    unresolved_runs: UnresolvedRuns,
    /// Workers that crashed by themselves, as far as is known.
    background_crashes: BackgroundCrashes,
    /// There may be tasks under which workers were lost.
    suspects_seen: bool,
    /// Starts that wait until they are recorded.
    unrecorded_starts: Vec<UnrecordedStart>,
    /// Long-running tasks that lost their run.
    restarts: RestartTracker,
    /// The step that found no box to ask for the longest time, if that is long.
    starved_step: Option<Candidate>,
    /// When that is looked for next.
    starved_search_from: Moment,
}

impl Scheduler {
    /// The state of a box that has just claimed the lead. `predecessor` says whether an earlier lead
    /// may go on giving orders until its term ends.
    pub fn take_over(
        timing: CellTiming,
        token: FencingToken,
        predecessor: bool,
        now: Moment,
    ) -> Scheduler {
        Scheduler {
            token,
            previous_token: None,
            workers: Vec::new(),
            lives: HashMap::new(),
            ids: HashMap::new(),
            unpolled_lives: Vec::new(),
            jobs: BTreeMap::new(),
            advice_dispatcher: AdviceDispatcher::new(timing.policy.short_only),
            shares: HashMap::new(),
            estimates: HashMap::new(),
            call_losses: CallLossRate::default(),
            organisations: OrganisationTable::default(),
            take_over: TakeOver {
                since: now,
                predecessor,
                fenced: false,
                caught_up: false,
                settled: false,
                settled_by: None,
                lost_workers: false,
            },
            workers_listed_at: None,
            orders: Vec::new(),
            events: Vec::new(),
            dirty: BTreeSet::new(),
            delayed: BTreeSet::new(),
            delayed_since: None,
            roster_changed: false,
            next_batch: 1,
            recorded: 0,
            confirmation_wanted: false,
            batch_taken: now,
            lead_confirmed_at: now,
            fenced_out: false,
            wall_clock: (0, now),
            unresolved_runs: UnresolvedRuns::default(),
            background_crashes: BackgroundCrashes::default(),
            suspects_seen: false,
            unrecorded_starts: Vec::new(),
            restarts: RestartTracker::default(),
            starved_step: None,
            starved_search_from: now,
            timing,
        }
    }

    /// Tells which lead was the last one before this.
    pub fn set_previous_token(&mut self, token: FencingToken) {
        self.previous_token = Some(token);
    }

    /// Tells the time of day, in milliseconds since 1970. Jobs with times need it; it may jump.
    pub fn set_wall_clock(&mut self, unix_ms: u64, now: Moment) {
        self.wall_clock = (unix_ms, now);
    }

    fn unix_ms_at(&self, now: Moment) -> u64 {
        let (unix_ms, at) = self.wall_clock;
        unix_ms + now.since(at).as_millis()
    }

    /// Whether a worker said that a later lead exists.
    pub fn is_fenced_out(&self) -> bool {
        self.fenced_out
    }

    /// Whether what earlier leads did is settled.
    pub fn is_settled(&self) -> bool {
        self.take_over.settled
    }

    /// Takes the orders that were decided on.
    pub fn take_orders(&mut self) -> Vec<CellOrder> {
        std::mem::take(&mut self.orders)
    }

    /// Takes the decisions since the last call.
    pub fn take_events(&mut self) -> Vec<CellEvent> {
        std::mem::take(&mut self.events)
    }

    /// A worker by its handle.
    pub fn entry(&self, worker: WorkerKey) -> &WorkerEntry {
        &self.workers[worker.0].entry
    }

    /// Jobs that are not over.
    pub fn open_jobs(&self) -> usize {
        self.jobs.len()
    }

    /// A box can ask the advice service.
    pub fn add_helper(&mut self, helper: HelperId) {
        self.advice_dispatcher.add_helper(helper);
    }

    /// A box cannot ask any more.
    pub fn remove_helper(&mut self, helper: HelperId, now: Moment) {
        for step in self.advice_dispatcher.remove_helper(helper) {
            self.drop_question(helper, step, now);
        }
    }

    /// Takes in a job. `age` is how long ago it was accepted.
    pub fn add_job(
        &mut self,
        id: JobId,
        record: Rc<JobRecord>,
        progress: &JobProgress,
        age: TimeSpan,
        now: Moment,
    ) {
        if progress.state.is_final() || self.jobs.contains_key(&id) {
            return;
        }
        let accepted = Moment(now.0.saturating_sub(age.as_millis()));
        let mut job = ActiveJob::new(id, record, accepted, progress, self.token);
        if self.take_over.caught_up && progress.ordered {
            // No earlier lead can have marked it any more. It was marked by this lead, which is about to be told
            // so, or by a later one.
            job.led_elsewhere = true;
            job.unsettled_starts = false;
            job.started_by_earlier_lead = false;
            self.report_led_elsewhere(id, now);
        }
        let needs_flag = job.start_flag == StartFlag::Unset;
        self.jobs.insert(id, job);
        self.set_owner(id, now);
        self.note_inherited_suspects(id, now);
        if needs_flag {
            self.record_start_flag(id);
        }
        self.finish_if_over(id, now);
    }

    /// Whether a job is being worked on.
    pub fn has_job(&self, id: JobId) -> bool {
        self.jobs.contains_key(&id)
    }

    /// Takes in a job that this lead accepted, and that is recorded as such. One that is new may start at once,
    /// since no other lead can have started anything of it. A copy of one that an earlier lead began does not
    /// make it new: its tasks would start beside those that run already.
    pub fn add_own_job(&mut self, id: JobId, record: Rc<JobRecord>, now: Moment) {
        let job = self.jobs.entry(id).or_insert_with(|| {
            ActiveJob::new(id, record, now, &JobProgress::default(), self.token)
        });
        job.start_flag = StartFlag::Recorded;
        job.led_elsewhere = false;
        self.set_owner(id, now);
    }

    fn record_start_flag(&mut self, id: JobId) {
        if let Some(job) = self.jobs.get_mut(&id) {
            job.start_flag = StartFlag::Pending;
            self.dirty.insert(id);
        }
    }

    /// The caller cancelled a job.
    pub fn cancel_job(&mut self, id: JobId, now: Moment) {
        let Some(job) = self.jobs.get_mut(&id) else { return };
        job.cancelled = true;
        for (task, worker, run) in job.placed() {
            self.stop_run(worker, task, run, "cancelled", now);
        }
        self.finish_if_over(id, now);
    }

    /// A job with a final state whose runs have all ended needs no further work.
    fn finish_if_over(&mut self, id: JobId, now: Moment) {
        let Some(job) = self.jobs.get_mut(&id) else { return };
        // What an earlier lead started of a cancelled job may run on unheard, and counts against a limit until then.
        let is_idle = job.placed().is_empty() && !job.unsettled_starts;
        if !job.state.is_final() && job.is_done() {
            job.state = JobState::Completed;
        } else if !job.state.is_final() && job.cancelled && is_idle {
            job.state = JobState::Cancelled;
        }
        if !job.state.is_final() {
            return;
        }
        self.dirty.insert(id);
        let after = now.since(job.accepted);
        let state = job.state;
        if job.placed().is_empty() {
            self.events.push(CellEvent::JobEnded { job: id, state, after });
        }
    }

    /// A job has failed for good: what runs of it is stopped.
    fn fail_job(&mut self, id: JobId, reason: &'static str, now: Moment) {
        let Some(job) = self.jobs.get_mut(&id).filter(|job| !job.state.is_final()) else { return };
        job.state = JobState::Failed;
        for (task, worker, run) in job.placed() {
            self.stop_run(worker, task, run, reason, now);
        }
        self.finish_if_over(id, now);
    }

    fn note_started(&mut self, id: JobId, now: Moment) {
        let Some(job) = self.jobs.get_mut(&id) else { return };
        if job.state == JobState::Pending {
            job.state = JobState::Running;
            self.delayed.insert(id);
            self.delayed_since.get_or_insert(now);
        }
    }

    /// Does what time asks for, and starts what can be started.
    pub fn schedule(&mut self, now: Moment) {
        for (helper, step) in self.advice_dispatcher.find_overdue(now) {
            self.mark_question_overdue(helper, step);
        }
        for (helper, step) in self.advice_dispatcher.expire(now) {
            self.drop_question(helper, step, now);
        }
        self.expire_leases(now);
        self.retry_stops(now);
        self.move_stragglers(now);
        self.find_settled_restarts();
        self.settle_take_over(now);
        self.expire_unresolved_runs(now);
        self.send_recorded_starts(now);
        self.count_unconfirmed(self.unix_ms_at(now));
        if self.has_fresh_worker_list(now) {
            self.place_all(now);
        }
        self.report_late_restarts(now);
    }

    fn stop_run(
        &mut self,
        key: WorkerKey,
        task: CellTask,
        run: RunNumber,
        reason: &'static str,
        now: Moment,
    ) {
        let worker = &mut self.workers[key.0];
        let Some(entry) = worker.runs.get_mut(&task).filter(|entry| entry.run == run) else {
            return;
        };
        if matches!(entry.phase, RunPhase::Stopping(_) | RunPhase::Stopped) {
            return;
        }
        if entry.phase == RunPhase::Recording {
            return self.withdraw_unsent(key, &task, run, now);
        }
        entry.phase = RunPhase::Stopping(StopAttempt::first(now));
        let (life, token) = (worker.entry.life.clone(), worker.token);
        self.events.push(CellEvent::Stopping { task, run, worker: life, reason });
        self.orders.push(CellOrder::Stop(StopOrder { worker: key, task, run, token }));
    }

    fn retry_stops(&mut self, now: Moment) {
        let interval = self.timing.stop_retry_interval;
        for (number, worker) in self.workers.iter_mut().enumerate() {
            for (task, run) in &mut worker.runs {
                let RunPhase::Stopping(stop) = run.phase else { continue };
                let Some(stop) = stop.next(interval, now) else { continue };
                run.phase = RunPhase::Stopping(stop);
                let (worker, token) = (WorkerKey(number), worker.token);
                let order = StopOrder { worker, task: *task, run: run.run, token };
                self.orders.push(CellOrder::Stop(order));
            }
        }
    }

    /// Frees a task whose run is over without having ended done.
    fn release_task(
        &mut self,
        task: &CellTask,
        run: RunNumber,
        from: Moment,
        checkpoint: Option<&str>,
    ) {
        let Some(job) = self.jobs.get_mut(&task.step.job) else { return };
        let Some(index) = job.task_index(task) else { return };
        let active_task = &mut job.tasks[index];
        if let Some(checkpoint) = checkpoint.filter(|text| !text.is_empty()) {
            active_task.progress.checkpoint = checkpoint.to_owned();
        }
        if matches!(active_task.phase, TaskPhase::Placed(_, placed) if placed == run) {
            active_task.phase = TaskPhase::Waiting(from);
        }
    }
}
