//! Remembers what admission has decided: jobs accepted but not recorded, retries promised to callers,
//! and what became of refused and accepted jobs.

use std::collections::{BTreeMap, BTreeSet};

use sedgehill_core::units::{Moment, ResourceSet, TimeSpan};

use super::admission::{AdmissionDecision, AdmissionOutcome, AdmissionReason};
use super::backlog::{BacklogGroup, CountedRun, LimitLoad, ResourceWork};
use super::organisations::OrganisationKey;
use crate::ids::JobId;

/// How long a promise is kept after the time that its caller was told: it is rounded up to whole
/// seconds, and a caller may take as long again to send and reach the lead.
const PROMISE_GRACE: TimeSpan = TimeSpan(2_000);
/// An accepted job that is neither confirmed nor withdrawn no longer counts after this. An append
/// whose answer was lost is repeated for 6 s, and a new link or lead may delay its answer further.
const MAX_UNRECORDED: TimeSpan = TimeSpan(30_000);
/// The most refused callers that are remembered: twenty seconds of a thousand refusals a second, at
/// about 200 bytes each by the size of their fields.
const MAX_CALLERS: usize = 20_000;
/// A refused caller is forgotten after this at the latest. The estimate in a job sets its useful time, so
/// a few large ones would otherwise fill the table for days.
const MAX_CALLER_AGE: TimeSpan = TimeSpan(120_000);
/// The times over which the rate of accepted work is averaged: the length of a short job with its
/// wait, and of a long one. After a burst the first is soon low again, and as a lasting load begins
/// the second is still low.
const INFLOW_SPANS: [TimeSpan; 2] = [TimeSpan(2_000), TimeSpan(6_000)];
/// A refusal is compared with the room that becomes free within this time.
const REFUSAL_CHECK: TimeSpan = TimeSpan(1_000);

/// Figures about admission since this box took the lead.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct AdmissionStats {
    /// Retries that are promised to callers and have not come.
    pub promised: usize,
    /// Jobs that are accepted and not recorded yet.
    pub unrecorded: usize,
    /// Refusals by reason.
    pub refused: BTreeMap<AdmissionReason, u64>,
    /// Jobs that were refused although the limit left unreserved room for them within a second.
    pub refused_with_room: u64,
    /// Ended jobs that are subject to admission.
    pub ended: u64,
    /// Those that completed too late to be worth anything.
    pub ended_late: u64,
    /// Those that failed.
    pub ended_failed: u64,
}

/// How a job ended, as far as its value is concerned.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EndedValue {
    /// It has a value.
    Some,
    /// It completed too late.
    Late,
    /// It failed.
    Failed,
}

/// A job that is accepted and not recorded yet.
#[derive(Debug)]
struct UnrecordedJob {
    owner: OrganisationKey,
    groups: Vec<BacklogGroup>,
    /// When its caller first sent it; none if that was not before it was accepted.
    first_sent: Option<Moment>,
    accepted: Moment,
    /// Whether it was accepted since it can meet its objective.
    in_time: bool,
}

/// A caller whose job was refused.
#[derive(Debug)]
struct RefusedCaller {
    owner: OrganisationKey,
    first_sent: Moment,
    /// When the job is worth nothing any more.
    forget_at: Moment,
    promise: Option<RetryPromise>,
    /// The time that the caller was told with its newest deferral.
    retry_at: Option<Moment>,
}

/// Capacity that is promised to a caller's retry.
#[derive(Debug)]
struct RetryPromise {
    owner: OrganisationKey,
    groups: Vec<BacklogGroup>,
}

/// A refusal that is compared with the room of the next second.
#[derive(Debug)]
struct WatchedRefusal {
    owner: OrganisationKey,
    need: ResourceSet,
    until: Moment,
}

/// The rates of work accepted to end in time, averaged with weights that decay over [`INFLOW_SPANS`].
#[derive(Debug, Clone, Copy, Default)]
struct WorkRate {
    sums: [ResourceWork; 2],
    at: Moment,
}

impl WorkRate {
    fn at(&self, now: Moment) -> WorkRate {
        let decayed = |number: usize| {
            let spans = now.since(self.at).0 as f64 / INFLOW_SPANS[number].0 as f64;
            self.sums[number].times((-spans).exp())
        };
        WorkRate { sums: [decayed(0), decayed(1)], at: now }
    }

    fn plus(&self, other: &WorkRate) -> WorkRate {
        let sum = |number: usize| self.sums[number].plus(&other.sums[number]);
        WorkRate { sums: [sum(0), sum(1)], at: self.at }
    }

    /// Returns the rates without those of tasks that still wait.
    fn without<'a>(
        &self,
        waiting: impl Iterator<Item = &'a BacklogGroup>,
        now: Moment,
    ) -> WorkRate {
        let counted = |group: &BacklogGroup| {
            WorkRate { sums: [group.work().times(-1.0); 2], at: group.accepted }.at(now)
        };
        waiting.fold(*self, |sum, group| sum.plus(&counted(group)))
    }

    /// Returns the share of a capacity that the work takes, in percent, by each average.
    fn percent_of(&self, capacity: &ResourceSet) -> [u64; 2] {
        [0, 1].map(|number| {
            let millis = self.sums[number].millis_on(capacity);
            (100.0 * millis / INFLOW_SPANS[number].0 as f64) as u64
        })
    }
}

/// The share of an organisation's limit that is taken by work that was newly accepted to end in time,
/// in percent.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct InflowShare {
    /// The share that it surely takes beside what waits: the lower one of a short and a long average
    /// over the work that has started.
    pub lower: u64,
    /// The share that it may take: the higher average over all accepted work. It may exceed 100.
    pub upper: u64,
}

/// What admission remembers. None of it outlives the lead.
#[derive(Debug, Default)]
pub struct AdmissionLedger {
    /// The load of each organisation with a limit, as of `viewed_at` and with what was admitted since.
    loads: BTreeMap<OrganisationKey, LimitLoad>,
    viewed_at: Option<Moment>,
    /// When a job was last decided on.
    asked_at: Option<Moment>,
    unrecorded: BTreeMap<JobId, UnrecordedJob>,
    callers: BTreeMap<JobId, RefusedCaller>,
    /// The work accepted to end in time of each organisation and priority.
    inflows: BTreeMap<(OrganisationKey, u32), WorkRate>,
    watched: Vec<WatchedRefusal>,
    /// Jobs whose end is counted and that are still known.
    counted: BTreeSet<JobId>,
    stats: AdmissionStats,
}

impl AdmissionLedger {
    /// Replaces the loads by those of jobs and runs as of `now`, and adds what is promised and what is
    /// accepted but not recorded.
    pub fn set_loads(&mut self, loads: BTreeMap<OrganisationKey, LimitLoad>, now: Moment) {
        self.expire(now);
        self.loads = loads;
        self.viewed_at = Some(now);
        let mut added: BTreeMap<OrganisationKey, Vec<BacklogGroup>> = BTreeMap::new();
        for job in self.unrecorded.values() {
            added.entry(job.owner).or_default().extend(&job.groups);
        }
        let mut promised: BTreeMap<OrganisationKey, Vec<BacklogGroup>> = BTreeMap::new();
        for promise in self.callers.values().filter_map(|caller| caller.promise.as_ref()) {
            promised.entry(promise.owner).or_default().extend(&promise.groups);
        }
        for (owner, groups) in promised {
            self.loads.entry(owner).or_default().extend_promised(groups);
        }
        for (owner, groups) in added {
            self.loads.entry(owner).or_default().extend_waiting(groups);
        }
    }

    /// Drops what is no longer waited for.
    fn expire(&mut self, now: Moment) {
        self.unrecorded.retain(|_, job| now < job.accepted.after(MAX_UNRECORDED));
        self.callers.retain(|_, caller| now < caller.forget_at);
        for caller in self.callers.values_mut() {
            if caller.retry_at.is_none_or(|at| now >= at.after(PROMISE_GRACE)) {
                caller.promise = None;
            }
        }
    }

    /// The age of the view of jobs and runs.
    pub fn view_age(&self, now: Moment) -> TimeSpan {
        self.viewed_at.map_or(TimeSpan(0), |at| now.since(at))
    }

    /// Whether the view is older than `span`, or there is none.
    pub fn is_view_older(&self, span: TimeSpan, now: Moment) -> bool {
        self.viewed_at.is_none_or(|at| now.since(at) > span)
    }

    /// Notes that a decision is wanted.
    pub fn note_asked(&mut self, now: Moment) {
        self.asked_at = Some(now);
    }

    /// Whether a decision was wanted within `span`.
    pub fn was_asked_within(&self, span: TimeSpan, now: Moment) -> bool {
        self.asked_at.is_some_and(|at| now.since(at) <= span)
    }

    /// Adds an organisation that had no job when the view was made.
    pub fn ensure_load(&mut self, owner: OrganisationKey) {
        self.loads.entry(owner).or_default();
    }

    /// Returns the load of an organisation that [`AdmissionLedger::ensure_load`] was called for.
    pub fn load(&self, owner: OrganisationKey) -> &LimitLoad {
        self.loads.get(&owner).expect("the load of the organisation was added before")
    }

    /// Returns when a caller first sent a job that was refused.
    pub fn first_sent(&self, id: JobId, owner: OrganisationKey) -> Option<Moment> {
        self.caller(id, owner).map(|caller| caller.first_sent)
    }

    fn caller(&self, id: JobId, owner: OrganisationKey) -> Option<&RefusedCaller> {
        self.callers.get(&id).filter(|caller| caller.owner == owner)
    }

    /// Returns the time until a deferred caller was told to retry.
    pub fn promised_in(&self, id: JobId, owner: OrganisationKey, now: Moment) -> Option<TimeSpan> {
        self.caller(id, owner)?.retry_at.map(|at| at.since(now))
    }

    /// Removes the promise of a job that is about to be decided on, so that it does not wait for
    /// itself.
    pub fn take_promise(&mut self, id: JobId, owner: OrganisationKey) {
        let caller = self.callers.get_mut(&id).filter(|caller| caller.owner == owner);
        let promise = caller.and_then(|caller| caller.promise.take());
        if promise.is_some()
            && let Some(load) = self.loads.get_mut(&owner)
        {
            load.remove(id);
        }
    }

    /// Notes in the load of an organisation that a task of a job has started.
    pub fn note_start(&mut self, owner: OrganisationKey, job: JobId, run: CountedRun, now: Moment) {
        if let Some(load) = self.loads.get_mut(&owner) {
            load.note_start(job, run, now);
        }
    }

    /// Whether a job is accepted and not recorded yet.
    pub fn is_unrecorded(&self, id: JobId) -> bool {
        self.unrecorded.contains_key(&id)
    }

    /// Returns the share of an organisation's capacity that recently accepted work of queues before
    /// `priority` takes.
    pub fn inflow(
        &self,
        owner: OrganisationKey,
        priority: u32,
        capacity: &ResourceSet,
        now: Moment,
    ) -> InflowShare {
        let rates = self.inflows.range((owner, 0)..(owner, priority));
        let none = WorkRate { at: now, ..WorkRate::default() };
        let rate = rates.fold(none, |sum, (_, rate)| sum.plus(&rate.at(now)));
        let waiting = self.load(owner).waiting().iter();
        let waiting = waiting.filter(|group| group.rank.priority < priority);
        let started = rate.without(waiting, now).percent_of(capacity);
        let accepted = rate.percent_of(capacity);
        InflowShare { lower: started[0].min(started[1]), upper: accepted[0].max(accepted[1]) }
    }

    /// Notes a decision and counts the job as its outcome says. A refused caller is forgotten at
    /// `forget_at`.
    pub fn note_decision(
        &mut self,
        id: JobId,
        owner: OrganisationKey,
        groups: Vec<BacklogGroup>,
        outcome: AdmissionOutcome,
        forget_at: Moment,
        now: Moment,
    ) {
        // Another organisation's refused job of the same id says nothing about this one.
        let earlier = self.callers.remove(&id).filter(|caller| caller.owner == owner);
        let earlier = earlier.map(|caller| caller.first_sent);
        let forget_at = forget_at.min(now.after(MAX_CALLER_AGE));
        match outcome.decision {
            AdmissionDecision::Accept => {
                // Placement ranks late work last, so it takes no room from other late work's wait.
                let in_time = outcome.reason == AdmissionReason::InTime;
                if in_time {
                    self.count_inflow(owner, &groups, now);
                }
                let load = self.loads.entry(owner).or_default();
                groups.iter().for_each(|group| load.add_waiting(*group));
                let first_sent = earlier;
                let job = UnrecordedJob { owner, groups, first_sent, accepted: now, in_time };
                self.unrecorded.insert(id, job);
            }
            AdmissionDecision::Defer { retry_after } => {
                self.note_refusal(owner, &groups, outcome.reason, now);
                let retry_at = Some(now.after(retry_after));
                let first_sent = earlier.unwrap_or(now);
                // A promise that cannot be remembered takes no capacity.
                if self.callers.len() < MAX_CALLERS {
                    let load = self.loads.entry(owner).or_default();
                    groups.iter().for_each(|group| load.add_promised(*group));
                    let promise = Some(RetryPromise { owner, groups });
                    let caller = RefusedCaller { owner, first_sent, forget_at, promise, retry_at };
                    self.callers.insert(id, caller);
                }
            }
            AdmissionDecision::Reject { .. } => {
                self.note_refusal(owner, &groups, outcome.reason, now);
                let first_sent = earlier.unwrap_or(now);
                if self.callers.len() < MAX_CALLERS {
                    let caller = RefusedCaller {
                        owner,
                        first_sent,
                        forget_at,
                        promise: None,
                        retry_at: None,
                    };
                    self.callers.insert(id, caller);
                }
            }
        }
    }

    fn count_inflow(&mut self, owner: OrganisationKey, groups: &[BacklogGroup], now: Moment) {
        for group in groups {
            let rate = self.inflows.entry((owner, group.rank.priority)).or_default();
            *rate = rate.at(now).plus(&WorkRate { sums: [group.work(); 2], at: now });
        }
    }

    fn note_refusal(
        &mut self,
        owner: OrganisationKey,
        groups: &[BacklogGroup],
        reason: AdmissionReason,
        now: Moment,
    ) {
        *self.stats.refused.entry(reason).or_default() += 1;
        if let Some(group) = groups.first() {
            let need = group.need.times(group.count);
            self.watched.push(WatchedRefusal { owner, need, until: now.after(REFUSAL_CHECK) });
        }
    }

    /// Counts refused jobs whose first step fits into the room that is free now, as `room` returns it
    /// for an organisation.
    pub fn check_refusals(&mut self, room: impl Fn(OrganisationKey) -> ResourceSet, now: Moment) {
        if self.watched.is_empty() {
            return;
        }
        let mut accepted: BTreeMap<OrganisationKey, ResourceSet> = BTreeMap::new();
        for job in self.unrecorded.values() {
            let need = accepted.entry(job.owner).or_default();
            *need = job
                .groups
                .iter()
                .fold(*need, |sum, group| sum.plus(&group.need.times(group.count)));
        }
        let free = |owner| {
            room(owner).saturating_minus(&accepted.get(&owner).copied().unwrap_or_default())
        };
        let with_room =
            self.watched.extract_if(.., |refusal| free(refusal.owner).fits(&refusal.need));
        self.stats.refused_with_room += with_room.count() as u64;
        self.watched.retain(|refusal| now < refusal.until);
    }

    /// Notes that an accepted job is recorded. Returns when its caller first sent it, if that was
    /// before it was accepted.
    pub fn confirm(&mut self, id: JobId) -> Option<Moment> {
        self.unrecorded.remove(&id)?.first_sent
    }

    /// Drops an accepted job that is not recorded.
    pub fn withdraw(&mut self, id: JobId) {
        let Some(job) = self.unrecorded.remove(&id) else { return };
        if let Some(load) = self.loads.get_mut(&job.owner) {
            load.remove(id);
        }
        for group in job.groups.iter().filter(|_| job.in_time) {
            let Some(rate) = self.inflows.get_mut(&(job.owner, group.rank.priority)) else {
                continue;
            };
            let counted = WorkRate { sums: [group.work().times(-1.0); 2], at: job.accepted };
            *rate = rate.plus(&counted.at(rate.at));
        }
    }

    /// Counts the end of a job, once.
    pub fn count_ended(&mut self, id: JobId, value: EndedValue) {
        if !self.counted.insert(id) {
            return;
        }
        self.stats.ended += 1;
        match value {
            EndedValue::Some => {}
            EndedValue::Late => self.stats.ended_late += 1,
            EndedValue::Failed => self.stats.ended_failed += 1,
        }
    }

    /// Returns the number of jobs whose end is counted and that may still be known.
    pub fn counted_ends(&self) -> usize {
        self.counted.len()
    }

    /// Forgets counted ends of jobs that are no longer known.
    pub fn forget_ended(&mut self, is_known: impl Fn(&JobId) -> bool) {
        self.counted.retain(is_known);
    }

    /// Returns the figures.
    pub fn stats(&self) -> AdmissionStats {
        let promises = self.callers.values().filter(|caller| caller.promise.is_some());
        AdmissionStats {
            promised: promises.count(),
            unrecorded: self.unrecorded.len(),
            ..self.stats.clone()
        }
    }
}
