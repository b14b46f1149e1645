//! The scheduler of a cell, run by the box that holds the lead: it keeps the state of all workers,
//! runs and waiting tasks.
//!
//! A new lead starts with the jobs that every box knows and with no knowledge of the workers. It
//! starts no task of an inherited job until every worker has reported to it, or until everything
//! that an earlier lead may have ordered has certainly ended ([`Scheduler::take_over`]). The
//! exception is a long-running task whose only possible worker is known: it restarts once that
//! worker has reported or ended; the members of a gang restart once this holds for all of them. The
//! end of a run is acknowledged to its worker only after it has been recorded in the store. When a
//! start goes unanswered, the task does not run elsewhere until one of these happens: a stop is
//! answered, a report of the worker shows whether the run is there, or the worker's lease ends.

mod active_job;
mod admission;
mod admission_ledger;
mod advice;
mod advice_dispatch;
mod answers;
mod background_crashes;
mod backlog;
mod backlog_view;
mod call_loss;
mod diagnostics;
mod displacement;
mod emptied_halls;
mod ends;
mod event;
mod forecast;
mod isolation;
mod limit_backfill;
mod limit_room;
mod limit_stops;
mod limit_timeline;
mod lives;
mod message;
mod organisations;
mod placement;
mod policy;
mod question_order;
mod question_round;
mod questions;
mod rank;
mod record;
mod reports;
mod restart;
mod restart_room;
mod room;
mod roster;
mod roster_records;
mod speed_choice;
mod speed_records;
mod speed_spread;
mod speeds;
mod stall;
mod stragglers;
mod suspects;
mod take_over;
mod timing;
mod trust;
mod unresolved;
mod worker;
mod worker_run;
mod worker_speeds;
mod write_ahead;

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::rc::Rc;

use sedgehill_core::units::{Moment, TimeSpan};

use self::active_job::{ActiveJob, ActiveTask, StartFlag, TaskPhase};
pub use self::admission::{
    AdmissionDecision, AdmissionInputs, AdmissionOutcome, AdmissionReason, decide_admission,
};
use self::admission_ledger::AdmissionLedger;
pub use self::admission_ledger::{AdmissionStats, InflowShare};
pub use self::advice::AllowedShare;
pub use self::advice_dispatch::{AdviceDispatcher, QuestionBoxStats, QuestionUrgency};
use self::background_crashes::BackgroundCrashes;
pub use self::backlog::{
    BacklogGroup, BacklogRank, CountedRun, LimitLoad, ResourceWork, StartQuery,
};
use self::call_loss::CallLossRate;
pub use self::diagnostics::TakeOverStatus;
pub use self::emptied_halls::HallStats;
use self::emptied_halls::HallView;
pub use self::event::*;
pub use self::forecast::RunForecast;
use self::limit_room::LimitRoom;
pub use self::limit_stops::{
    LimitRequest, LimitResource, LimitRun, LimitRunState, LimitStops, LimitUsage, plan_limit_stops,
};
pub use self::limit_timeline::LimitTimeline;
pub use self::message::*;
pub use self::organisations::{OrganisationKey, OrganisationStats, OrganisationTable};
pub use self::policy::{
    CellPolicy, LimitOrder, LimitOrderError, QuestionOrder, QuestionOrderError, SharingError,
    SharingMode,
};
pub use self::question_order::{
    BoxLateness, HelpGrade, QuestionBox, QuestionClass, QuestionLoad, WaitingQuestion, choose_box,
    order_questions,
};
use self::question_round::QuestionRound;
pub use self::question_round::QuestionWaitStats;
pub use self::rank::ValueClass;
pub use self::rank::{LimitUse, ShareRank};
use self::restart::RestartTracker;
pub use self::restart::{PendingRestart, RestartCause, RestartStats};
use self::room::Candidate;
use self::roster_records::RosterRecords;
pub use self::roster_records::{RosterChange, RosterParts};
pub use self::speed_choice::{GangRoom, SpeedPreference, gang_order};
pub use self::speed_records::{
    MachineIdentity, MachineKind, SpeedChange, SpeedParts, SpeedRecord, SpeedSnapshot,
};
pub use self::speed_spread::{MIN_SPREAD_RATIO, PoolSpread};
pub use self::speeds::{
    ForecastFactors, LogFactor, QueueEstimate, SpeedEstimate, WorkerSpeed, forecast_factors,
};
pub use self::stall::{StallDetails, StallReason, StallStats};
pub use self::suspects::CrashDetection;
pub use self::timing::CellTiming;
use self::trust::WorkerTrust;
use self::unresolved::UnresolvedRuns;
use self::worker::WorkerState;
use self::worker_run::{RunPhase, StopAttempt};
pub use self::worker_speeds::SpeedStats;
use self::worker_speeds::WorkerSpeeds;
use self::write_ahead::UnrecordedStart;
use crate::ids::{
    CellTask, FencingToken, JobId, PoolName, QueueName, RunNumber, StepId, WorkerId, WorkerLife,
};
use crate::job::JobRecord;
use crate::progress::{JobProgress, JobState};

/// How far a new lead knows what earlier leads started.
#[derive(Debug, Clone, Copy)]
struct TakeOver {
    /// When the lead was claimed, or when the store began to refuse earlier leads, if that is
    /// later.
    since: Moment,
    /// An earlier lead may still give orders until its term ends.
    predecessor: bool,
    /// The store refuses writes of earlier leads.
    fenced: bool,
    /// All records of earlier leads have been read.
    caught_up: bool,
    /// Every worker has reported, or everything that earlier leads started has certainly ended.
    settled: bool,
    /// What settled it; none while it is not settled.
    settled_by: Option<SettlementCause>,
    /// A worker on which an earlier lead may have started a run ended or did not report to this
    /// lead.
    lost_workers: bool,
}

/// The state of the lead, which decides which task runs on which worker.
#[derive(Debug)]
pub struct Scheduler {
    timing: CellTiming,
    token: FencingToken,
    /// The token of the lead before this one; none if it is not known.
    previous_token: Option<FencingToken>,
    /// The first of the leads up to this one that all record where they start long-running tasks
    /// before they start them.
    locations_since: FencingToken,
    /// The lives in the roster of earlier leads, by the id of their worker.
    inherited_lives: HashMap<WorkerId, Vec<WorkerLife>>,
    /// The pools that the configuration names or has named; none if it is not known yet.
    named_pools: Option<BTreeSet<PoolName>>,
    /// The listed lives of other pools.
    passed_over: BTreeSet<WorkerLife>,
    workers: Vec<WorkerState>,
    /// Every life of a worker that this lead has known.
    lives: HashMap<WorkerLife, WorkerKey>,
    /// The newest life known under each worker id.
    ids: HashMap<WorkerId, WorkerKey>,
    /// Lives that replaced others under their id and that are not polled yet.
    unpolled_lives: Vec<WorkerKey>,
    jobs: BTreeMap<JobId, ActiveJob>,
    advice_dispatcher: AdviceDispatcher,
    /// The questions that wait for boxes.
    question_round: QuestionRound,
    shares: HashMap<QueueName, AllowedShare>,
    /// How much longer runs take than estimated, by queue and by worker.
    speeds: WorkerSpeeds,
    call_losses: CallLossRate,
    organisations: OrganisationTable,
    /// Room under the organisations' limits.
    limit_room: LimitRoom,
    admissions: AdmissionLedger,
    take_over: TakeOver,
    /// When the list of workers was last read from the store; none if it never was.
    workers_listed_at: Option<Moment>,
    /// The halls in which nothing new may start.
    emptied_halls: HallView,
    orders: Vec<CellOrder>,
    events: Vec<CellEvent>,
    /// Jobs whose progress goes into the next batch.
    dirty: BTreeSet<JobId>,
    /// Jobs whose progress may wait for a batch, up to [`CellTiming::max_record_delay`].
    delayed: BTreeSet<JobId>,
    /// When the first job was added to `delayed`; none while it is empty.
    delayed_since: Option<Moment>,
    /// The roster may differ from what the store holds, so the next batch must contain the changes.
    roster_changed: bool,
    /// What the store holds of the roster.
    roster_records: RosterRecords,
    next_batch: u64,
    /// The number of the newest batch that is recorded.
    recorded: u64,
    /// Something must be recorded to find out whether a later lead has fenced this one.
    confirmation_wanted: bool,
    /// When the newest batch that was not empty was taken.
    batch_taken: Moment,
    /// Up to this moment no later lead had given orders: a batch taken then was recorded under this
    /// lead's token.
    lead_confirmed_at: Moment,
    /// A worker refused this lead because of a later one.
    fenced_out: bool,
    /// The time of day, in milliseconds since 1970, and when it was set.
    wall_clock: (u64, Moment),
    /// Lost runs whose workers may or may not have crashed.
    unresolved_runs: UnresolvedRuns,
    /// Recent worker crashes that are not attributed to a task.
    background_crashes: BackgroundCrashes,
    /// Some task may have a history of lost workers.
    suspects_seen: bool,
    /// Starts that are sent once they are recorded.
    unrecorded_starts: Vec<UnrecordedStart>,
    /// Long-running tasks that have lost their run.
    restarts: RestartTracker,
    /// The step that has waited longest for a box to ask the advice service, once that takes longer
    /// than the stall limit.
    starved_step: Option<Candidate>,
    /// When to search for that step next.
    starved_search_from: Moment,
    /// The next time at which steps are examined while only untrusted workers have room.
    untrusted_check_from: Moment,
}

impl Scheduler {
    /// Creates the state of a box that has just claimed the lead. `predecessor` tells whether an
    /// earlier lead may go on giving orders until its term ends.
    pub fn take_over(
        timing: CellTiming,
        token: FencingToken,
        predecessor: bool,
        now: Moment,
    ) -> Scheduler {
        Scheduler {
            token,
            previous_token: None,
            locations_since: token,
            inherited_lives: HashMap::new(),
            named_pools: None,
            passed_over: BTreeSet::new(),
            workers: Vec::new(),
            lives: HashMap::new(),
            ids: HashMap::new(),
            unpolled_lives: Vec::new(),
            jobs: BTreeMap::new(),
            advice_dispatcher: AdviceDispatcher::new(
                timing.policy.short_only,
                timing.policy.question_order,
            ),
            question_round: QuestionRound::default(),
            shares: HashMap::new(),
            speeds: WorkerSpeeds::default(),
            call_losses: CallLossRate::default(),
            organisations: OrganisationTable::default(),
            limit_room: LimitRoom::default(),
            admissions: AdmissionLedger::default(),
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
            emptied_halls: HallView::default(),
            orders: Vec::new(),
            events: Vec::new(),
            dirty: BTreeSet::new(),
            delayed: BTreeSet::new(),
            delayed_since: None,
            roster_changed: false,
            roster_records: RosterRecords::default(),
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
            untrusted_check_from: now,
            timing,
        }
    }

    /// Sets the token of the lead before this one.
    pub fn set_previous_token(&mut self, token: FencingToken) {
        self.previous_token = Some(token);
    }

    /// Sets the first of the leads up to this one that all record where they start long-running
    /// tasks before they start them.
    pub fn set_locations_since(&mut self, token: FencingToken) {
        self.locations_since = token;
    }

    /// Sets the time of day, in milliseconds since 1970, which scheduled jobs are started by. It
    /// may jump.
    pub fn set_wall_clock(&mut self, unix_ms: u64, now: Moment) {
        self.wall_clock = (unix_ms, now);
    }

    fn unix_ms_at(&self, now: Moment) -> u64 {
        let (unix_ms, at) = self.wall_clock;
        unix_ms + now.since(at).as_millis()
    }

    /// Whether a worker has refused this lead because a later one exists.
    pub fn is_fenced_out(&self) -> bool {
        self.fenced_out
    }

    /// Whether the effects of earlier leads are known, so that their jobs may be scheduled.
    pub fn is_settled(&self) -> bool {
        self.take_over.settled
    }

    /// Takes the orders that are to be carried out.
    pub fn take_orders(&mut self) -> Vec<CellOrder> {
        std::mem::take(&mut self.orders)
    }

    /// Takes the events since the last call.
    pub fn take_events(&mut self) -> Vec<CellEvent> {
        std::mem::take(&mut self.events)
    }

    /// The stored entry of a worker.
    pub fn entry(&self, worker: WorkerKey) -> &WorkerEntry {
        &self.workers[worker.0].entry
    }

    /// The number of jobs that are not over.
    pub fn open_jobs(&self) -> usize {
        self.jobs.len()
    }

    /// Notes that a box can ask the advice service.
    pub fn add_helper(&mut self, helper: HelperId) {
        self.advice_dispatcher.add_helper(helper);
    }

    /// Notes that a box can no longer ask the advice service.
    pub fn remove_helper(&mut self, helper: HelperId, now: Moment) {
        for step in self.advice_dispatcher.remove_helper(helper) {
            self.drop_question(helper, step, now);
        }
    }

    /// Adds a job with its recorded progress. `age` is the time since it was accepted.
    pub fn add_job(
        &mut self,
        id: JobId,
        record: Rc<JobRecord>,
        progress: &JobProgress,
        age: TimeSpan,
        now: Moment,
    ) {
        self.admissions.confirm(id);
        if progress.state.is_final() || self.jobs.contains_key(&id) {
            return;
        }
        let accepted = Moment(now.0.saturating_sub(age.as_millis()));
        let mut job = ActiveJob::new(id, record, accepted, progress, self.token);
        if self.take_over.caught_up && progress.may_have_started {
            // No earlier lead can have set the start flag any more. It was set by this lead, which
            // is about to learn so through [`Scheduler::add_own_job`], or by a later lead.
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

    /// Whether the job is among those that are scheduled.
    pub fn has_job(&self, id: JobId) -> bool {
        self.jobs.contains_key(&id)
    }

    /// Adds a job that this lead accepted and that is recorded as such. A new job may start at
    /// once, since no other lead can have started any of its tasks. If the job is already known,
    /// its state is kept: a copy of a job that an earlier lead began must not make it new, or its
    /// tasks would start beside those that already run.
    pub fn add_own_job(&mut self, id: JobId, record: Rc<JobRecord>, now: Moment) {
        let accepted = self.admissions.confirm(id).unwrap_or(now);
        let job = self.jobs.entry(id).or_insert_with(|| {
            ActiveJob::new(id, record, accepted, &JobProgress::default(), self.token)
        });
        job.start_flag = StartFlag::Recorded;
        job.led_elsewhere = false;
        self.set_owner(id, now);
    }

    /// Has it recorded that tasks of the job may start.
    fn record_start_flag(&mut self, id: JobId) {
        if let Some(job) = self.jobs.get_mut(&id) {
            job.start_flag = StartFlag::Pending;
            self.dirty.insert(id);
        }
    }

    /// Cancels a job on its caller's behalf and stops its runs.
    pub fn cancel_job(&mut self, id: JobId, now: Moment) {
        let Some(job) = self.jobs.get_mut(&id) else { return };
        job.cancelled = true;
        for (task, worker, run) in job.placed() {
            self.stop_run(worker, task, run, "cancelled", now);
        }
        self.finish_if_over(id, now);
    }

    /// Gives a job its final state if it is over. It is then recorded, and reported once none of
    /// its tasks runs.
    fn finish_if_over(&mut self, id: JobId, now: Moment) {
        let Some(job) = self.jobs.get_mut(&id) else { return };
        // What an earlier lead started of a cancelled job may still run on a worker that has not
        // reported, and counts against the organisation's limit until it has ended.
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
            self.note_ended_value(id, after);
        }
    }

    /// Fails a job and stops its runs.
    fn fail_job(&mut self, id: JobId, reason: &'static str, now: Moment) {
        let Some(job) = self.jobs.get_mut(&id).filter(|job| !job.state.is_final()) else { return };
        job.state = JobState::Failed;
        for (task, worker, run) in job.placed() {
            self.stop_run(worker, task, run, reason, now);
        }
        self.finish_if_over(id, now);
    }

    /// Gives up a job whose progress the store refuses for good, since a later lead would not know
    /// what it has started.
    pub fn fail_unrecordable_job(&mut self, id: JobId, now: Moment) {
        self.fail_job(id, "progress cannot be recorded", now);
    }

    /// Notes that a task of the job has started.
    fn note_started(&mut self, id: JobId, now: Moment) {
        let Some(job) = self.jobs.get_mut(&id) else { return };
        if job.state == JobState::Pending {
            job.state = JobState::Running;
            self.delayed.insert(id);
            self.delayed_since.get_or_insert(now);
        }
    }

    /// Processes timeouts and then starts whatever can be started.
    pub fn schedule(&mut self, now: Moment) {
        for (helper, step) in self.advice_dispatcher.find_overdue(now) {
            self.mark_question_overdue(helper, step);
        }
        for (helper, step) in self.advice_dispatcher.expire(now) {
            self.drop_question(helper, step, now);
        }
        self.expire_leases(now);
        self.retry_stops(now);
        self.restore_trust(now);
        self.move_stragglers(now);
        self.refresh_speeds(now);
        self.find_settled_restarts();
        self.settle_take_over(now);
        self.update_unresolved_runs(now);
        self.send_recorded_starts(now);
        self.count_unconfirmed(self.unix_ms_at(now));
        if self.has_fresh_worker_list(now) && self.has_fresh_hall_view(now) {
            self.place_all(now);
        }
        self.report_late_restarts(now);
        self.update_admissions(now);
    }

    /// Orders a run to be stopped, unless that has been done. A start that was not sent is
    /// withdrawn.
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

    /// Repeats stops that have not been answered.
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

    /// Returns a task whose run is over, but not done, to the waiting tasks.
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
