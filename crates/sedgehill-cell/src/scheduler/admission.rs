//! Decides whether a submitted job is accepted, by its chance to end in time.
//!
//! The decision is a pure function of [`AdmissionInputs`]. A job is refused only if it would miss
//! its objective even if its runs take as little time as one in ten does. Such a job is accepted
//! nevertheless if it is expected to end while it still has a part of its value, since a retry could
//! not start it earlier than its place in the queue does.

use std::rc::Rc;

use sedgehill_core::units::{Moment, TimeSpan};

use super::active_job::ActiveJob;
use super::admission_ledger::InflowShare;
use super::backlog::{BacklogGroup, StartQuery};
use super::backlog_view::optimistic_time;
use super::forecast::RunForecast;
use super::organisations::OrganisationKey;
use super::rank::LATE_FACTOR;
use super::*;

/// Callers are told the time to a retry in whole seconds, rounded up.
const RETRY_STEP: TimeSpan = TimeSpan(1_000);
/// From this share of the limit on, taken by work that goes first, a job is not expected to get its
/// turn: what is left does not exceed the error of the forecast.
const MAX_INFLOW_PERCENT: u64 = 95;

/// What becomes of a submitted job.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AdmissionDecision {
    /// It is accepted.
    Accept,
    /// It is refused, and a retry after this time can still be of use to its caller.
    Defer {
        /// The time until there is capacity for it.
        retry_after: TimeSpan,
    },
    /// It is refused, and no retry within its useful time can help.
    Reject {
        /// The time until the organisation's backlog is cleared.
        retry_after: TimeSpan,
    },
}

impl AdmissionDecision {
    /// The name in logs.
    pub fn name(self) -> &'static str {
        match self {
            AdmissionDecision::Accept => "accept",
            AdmissionDecision::Defer { .. } => "defer",
            AdmissionDecision::Reject { .. } => "reject",
        }
    }

    /// The time after which a refused caller should retry; none if the job is accepted.
    pub fn retry_after(self) -> Option<TimeSpan> {
        match self {
            AdmissionDecision::Accept => None,
            AdmissionDecision::Defer { retry_after }
            | AdmissionDecision::Reject { retry_after } => Some(retry_after),
        }
    }
}

/// Why a submitted job was accepted or refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum AdmissionReason {
    /// Accepted: the take-over is not settled, so the backlog is not known.
    TakeOver,
    /// Accepted: it can meet its objective.
    InTime,
    /// Accepted: it can start at once.
    RoomNow,
    /// Accepted: it is expected to end late, but while it still has a part of its value.
    StillUseful,
    /// Deferred: there will be capacity while the job is useful.
    RoomLater,
    /// Rejected: there will be no capacity while the job is useful.
    TooLate,
    /// Rejected: a task, or a gang as a whole, needs more than the limit of its organisation.
    ExceedsLimit,
}

impl AdmissionReason {
    /// The reasons for refusals.
    pub const REFUSALS: [AdmissionReason; 3] =
        [AdmissionReason::RoomLater, AdmissionReason::TooLate, AdmissionReason::ExceedsLimit];

    /// The name in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            AdmissionReason::TakeOver => "take_over",
            AdmissionReason::InTime => "in_time",
            AdmissionReason::RoomNow => "room_now",
            AdmissionReason::StillUseful => "still_useful",
            AdmissionReason::RoomLater => "room_later",
            AdmissionReason::TooLate => "too_late",
            AdmissionReason::ExceedsLimit => "exceeds_limit",
        }
    }
}

/// A decision with its reason.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AdmissionOutcome {
    /// The decision.
    pub decision: AdmissionDecision,
    /// Its reason.
    pub reason: AdmissionReason,
}

/// What a decision depends on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AdmissionInputs {
    /// Time since the caller first sent the job, as far as this lead knows.
    pub age: TimeSpan,
    /// The objective of the job, which counts from the caller's first send.
    pub objective: TimeSpan,
    /// The forecast of the longest chain of its steps.
    pub chain: RunForecast,
    /// Whether the limit allows all its tasks to run at some time.
    pub fits_limit: bool,
    /// The time until its first tasks can start behind the accepted work that ranks before it; none if
    /// that is not within its useful time.
    pub wait: Option<TimeSpan>,
    /// The share of the limit that newly accepted work of more urgent queues takes.
    pub urgent: InflowShare,
    /// The time until they can start behind everything that is accepted or promised, as placement
    /// ranks late work; none if that is not within its useful time, or if the job can meet its objective.
    pub late_wait: Option<TimeSpan>,
    /// The share of the limit that all newly accepted work takes; zero if the job can meet its objective.
    pub inflow: InflowShare,
    /// For a job that was deferred before, the time left until its caller was told to retry; zero
    /// once that has passed.
    pub promised_in: Option<TimeSpan>,
    /// The time until the organisation's whole backlog is cleared.
    pub time_to_clear: TimeSpan,
    /// The number of tasks that wait and rank before it.
    pub tasks_ahead: usize,
    /// The age of the view of the backlog.
    pub view_age: TimeSpan,
}

impl AdmissionInputs {
    /// Returns the time left until a job that is not done is worth nothing.
    pub fn useful_time(&self) -> TimeSpan {
        TimeSpan((LATE_FACTOR * self.objective.0).saturating_sub(self.age.0))
    }

    /// Returns the time left to meet the objective.
    fn time_left(&self) -> TimeSpan {
        TimeSpan(self.objective.0.saturating_sub(self.age.0))
    }

    /// Returns whether the job can meet its objective, by the optimistic side of its forecast.
    fn is_in_time(&self) -> bool {
        let wait = stretched(self.wait, self.urgent.lower);
        ends_within(wait, self.chain.lower, self.time_left())
    }

    /// Returns whether the caller has come back at the time that it was told, or later.
    fn is_kept_promise(&self) -> bool {
        self.promised_in == Some(TimeSpan(0))
    }
}

/// Returns how long a job waits if a share of the capacity goes to work that arrives after it and is
/// started first; none if that leaves nothing.
fn stretched(wait: Option<TimeSpan>, inflow_percent: u64) -> Option<TimeSpan> {
    let wait = wait?;
    match inflow_percent {
        _ if wait == TimeSpan(0) => Some(wait),
        MAX_INFLOW_PERCENT.. => None,
        percent => Some(TimeSpan(wait.0 * 100 / (100 - percent))),
    }
}

/// Returns whether a job ends within a limit if it runs for `run` after a wait.
fn ends_within(wait: Option<TimeSpan>, run: TimeSpan, limit: TimeSpan) -> bool {
    wait.is_some_and(|wait| wait.0 + run.0 <= limit.0)
}

/// Decides on a job.
pub fn decide_admission(inputs: &AdmissionInputs) -> AdmissionOutcome {
    let outcome = |decision, reason| AdmissionOutcome { decision, reason };
    let accept = |reason| outcome(AdmissionDecision::Accept, reason);
    let reject = |reason| {
        let retry_after = inputs.time_to_clear.max(TimeSpan(1));
        outcome(AdmissionDecision::Reject { retry_after }, reason)
    };
    if !inputs.fits_limit {
        return reject(AdmissionReason::ExceedsLimit);
    }
    let (chain, useful) = (&inputs.chain, inputs.useful_time());
    if inputs.is_in_time() {
        return accept(AdmissionReason::InTime);
    }
    if inputs.late_wait == Some(TimeSpan(0)) && chain.lower <= useful {
        return accept(AdmissionReason::RoomNow);
    }
    // The room of a caller that comes back as told was promised by the lower share.
    let inflow_percent = match inputs.is_kept_promise() {
        true => inputs.inflow.lower,
        false => inputs.inflow.upper,
    };
    let late_wait = stretched(inputs.late_wait, inflow_percent);
    if ends_within(late_wait, chain.expected, useful) {
        return accept(AdmissionReason::StillUseful);
    }
    let room_after = stretched(inputs.late_wait, inputs.inflow.lower);
    let Some(room_after) = room_after.filter(|_| !inputs.is_kept_promise()) else {
        return reject(AdmissionReason::TooLate);
    };
    let retry_after = room_after.max(inputs.promised_in.unwrap_or_default()).max(TimeSpan(1));
    let retry_at = TimeSpan(retry_after.0.next_multiple_of(RETRY_STEP.0));
    match ends_within(Some(retry_at), chain.expected, useful) {
        true => outcome(AdmissionDecision::Defer { retry_after }, AdmissionReason::RoomLater),
        false => reject(AdmissionReason::TooLate),
    }
}

impl Scheduler {
    /// Decides whether a submitted job is accepted. An accepted job counts until
    /// [`Scheduler::add_own_job`] confirms it or [`Scheduler::withdraw_admission`] drops it.
    pub fn admit(&mut self, id: JobId, record: &JobRecord, now: Moment) -> AdmissionDecision {
        let Some(owner) = self.judged_owner(id, record, now) else {
            return AdmissionDecision::Accept;
        };
        self.prepare_backlog(now);
        self.admissions.ensure_load(owner);
        let first_sent = self.admissions.first_sent(id, owner).unwrap_or(now);
        self.admissions.take_promise(id, owner);
        let job = self.draft_job(id, record, owner, first_sent, now);
        let groups = self.backlog_groups(&job, |forecast| forecast.expected, now);
        let inputs = self.admission_inputs(&job, owner, &groups, now);
        let outcome = match self.take_over.settled {
            true => decide_admission(&inputs),
            false => AdmissionOutcome {
                decision: AdmissionDecision::Accept,
                reason: AdmissionReason::TakeOver,
            },
        };
        let forget_at = now.after(inputs.useful_time());
        self.admissions.note_decision(id, owner, groups, outcome, forget_at, now);
        self.events.push(CellEvent::AdmissionDecided {
            job: id,
            organisation: self.organisations.name(owner).clone(),
            queue: record.queue.clone(),
            inputs,
            outcome,
        });
        outcome.decision
    }

    /// Drops an accepted job whose record did not reach the store.
    pub fn withdraw_admission(&mut self, id: JobId) {
        self.admissions.withdraw(id);
    }

    /// Returns the organisation by whose limit a job is judged; none if it is accepted in any case.
    /// A job that was accepted a moment ago is not judged again.
    fn judged_owner(
        &mut self,
        id: JobId,
        record: &JobRecord,
        now: Moment,
    ) -> Option<OrganisationKey> {
        let is_endless = record.spec.steps.iter().any(|step| step.long_running);
        let is_known = self.jobs.contains_key(&id) || self.admissions.is_unrecorded(id);
        if !self.timing.policy.admission || is_endless || record.spec.repeat.is_some() || is_known {
            return None;
        }
        let owner = self.organisations.key_for_owner(record.owner.as_ref()?, now);
        self.organisations.is_limited(owner).then_some(owner)
    }

    /// Returns the state that a job would have if it were accepted.
    fn draft_job(
        &self,
        id: JobId,
        record: &JobRecord,
        owner: OrganisationKey,
        first_sent: Moment,
        now: Moment,
    ) -> ActiveJob {
        let progress = JobProgress::default();
        let record = Rc::new(record.clone());
        let mut job = ActiveJob::new(id, record, first_sent, &progress, self.token);
        job.owner = Some(owner);
        job.over_share = self.organisations.would_exceed_share(owner, now);
        job
    }

    fn admission_inputs(
        &self,
        job: &ActiveJob,
        owner: OrganisationKey,
        groups: &[BacklogGroup],
        now: Moment,
    ) -> AdmissionInputs {
        let limit = self.organisations.limit(owner);
        let load = self.admissions.load(owner);
        let usable = load.usable(limit);
        let mut inputs = AdmissionInputs {
            age: now.since(job.accepted),
            objective: job.record.objective(),
            chain: self.chain_forecast(job),
            fits_limit: groups.iter().all(|group| limit.allows(&group.start_need())),
            wait: None,
            urgent: self.admissions.inflow(owner, job.record.policy.priority, &usable, now),
            late_wait: None,
            inflow: InflowShare::default(),
            promised_in: self.admissions.promised_in(job.id, owner, now),
            time_to_clear: load.time_to_clear(limit),
            tasks_ahead: 0,
            view_age: self.admissions.view_age(now),
        };
        let useful = inputs.useful_time();
        if useful >= inputs.chain.lower {
            let mut first = self.backlog_groups(job, |forecast| optimistic_time(&forecast), now);
            first.retain(|group| group.available_at <= now);
            let query = StartQuery {
                groups: &first,
                limit,
                stop: self.timing.policy.limit_room.then_some(self.timing.stop),
                horizon: TimeSpan(useful.0 - inputs.chain.lower.0),
            };
            inputs.wait = load.time_to_start(&query, now);
            if !inputs.is_in_time() {
                inputs.late_wait = load.time_to_start_last(&query, now);
                inputs.inflow = self.admissions.inflow(owner, u32::MAX, &usable, now);
            }
        }
        if let Some(group) = groups.first() {
            let ahead = load.ahead_of(group.rank).iter();
            inputs.tasks_ahead = ahead.map(|group| group.count as usize).sum();
        }
        inputs
    }
}
