//! Tracks what runs for each organisation, and whether more may be started for it.
//!
//! Everything that may be running counts: unanswered starts, runs that are being stopped, and runs
//! on unreachable workers until their lease has certainly ended. A new lead does not know what
//! earlier leads started. Until every worker has reported, the waiting tasks of jobs with the start
//! flag count as running, as far as the workers that have not reported could hold them.

use std::collections::HashMap;

use sedgehill_core::units::{Moment, ResourceSet, TimeSpan};

use super::active_job::{ActiveJob, ActiveTask, TaskPhase};
use super::limit_stops::LimitUsage;
use super::rank::{LimitUse, ShareRank};
use super::room::Candidate;
use super::worker::WorkerState;
use super::worker_run::WorkerRun;
use super::*;
use crate::ids::{OrganisationName, StepId};
use crate::job::StepSpec;
use crate::organisation::{JobOwner, OrganisationPolicy, ResourceLimit, ShareWeight};

/// The scheduler's index of an organisation.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct OrganisationKey(usize);

impl OrganisationKey {
    /// The position of the organisation among all that this lead has known.
    pub fn index(self) -> usize {
        self.0
    }
}

/// An organisation may send the jobs of its share for this span at once. It is also the span over
/// which its rate is measured.
const BURST_SPAN: TimeSpan = TimeSpan(1_000);
/// Bucket units for one job. A unit is a weight of a thousandth of a job a second, times a
/// millisecond: a millionth of a job.
const TOKENS_PER_JOB: u64 = 1_000 * 1_000;

/// A token bucket of the jobs that an organisation may send within its share. It fills at the
/// organisation's weight.
#[derive(Debug, Clone, Copy)]
struct ShareBucket {
    /// In millionths of a job.
    level: u64,
    /// When the level was last updated.
    at: Moment,
}

impl ShareBucket {
    /// Takes one job out of the bucket at `now`. Returns whether the bucket held enough.
    fn take(&mut self, weight: ShareWeight, now: Moment) -> bool {
        let capacity = (weight.0 * BURST_SPAN.0).max(TOKENS_PER_JOB);
        let filled = self.level.saturating_add(weight.0 * now.since(self.at).0);
        self.level = filled.min(capacity);
        self.at = self.at.max(now);
        let enough = self.level >= TOKENS_PER_JOB;
        if enough {
            self.level -= TOKENS_PER_JOB;
        }
        enough
    }
}

/// The state of one organisation.
#[derive(Debug)]
struct OrganisationAccount {
    name: OrganisationName,
    weight: ShareWeight,
    limit: ResourceLimit,
    /// The need of its known runs, including those that may be running.
    running: ResourceSet,
    /// The need of runs that earlier leads may have started and that no worker has reported.
    unconfirmed: ResourceSet,
    /// Room under its limit that waiting steps have reserved in this turn.
    reserved_under_limit: ResourceSet,
    /// Room under its limit that is reserved for steps for which runs are being stopped.
    claimed: ResourceSet,
    share_bucket: ShareBucket,
}

impl OrganisationAccount {
    fn room(&self) -> ResourceSet {
        let used = self.running.plus(&self.unconfirmed);
        self.limit.remaining(&used.plus(&self.reserved_under_limit).plus(&self.claimed))
    }
}

/// Figures about an organisation, for operators.
#[derive(Debug, Clone, PartialEq)]
pub struct OrganisationStats {
    /// The organisation.
    pub name: OrganisationName,
    /// The need of its runs, including those that may be running.
    pub running: ResourceSet,
    /// Its limit.
    pub limit: ResourceLimit,
    /// What its limit leaves beside its runs.
    pub room: ResourceSet,
    /// Its share when there is not enough room for all.
    pub weight: ShareWeight,
    /// The number of jobs that are not over.
    pub open_jobs: usize,
}

/// All organisations that are known.
#[derive(Debug, Default)]
pub struct OrganisationTable {
    accounts: Vec<OrganisationAccount>,
    keys: HashMap<OrganisationName, OrganisationKey>,
}

impl OrganisationTable {
    /// Sets the limits and weights from the configuration. An organisation that it no longer names
    /// keeps its last limit while this lead lasts.
    pub fn set_policies(&mut self, policies: &[OrganisationPolicy], now: Moment) {
        for policy in policies {
            let key = self.key_of(&policy.name, policy.maximum, now);
            let account = &mut self.accounts[key.0];
            account.limit = policy.maximum;
            account.weight = policy.weight;
        }
    }

    /// Returns the key of a job's owner, which is added if it is not known.
    pub fn key_for_owner(&mut self, owner: &JobOwner, now: Moment) -> OrganisationKey {
        self.key_of(&owner.organisation, owner.maximum, now)
    }

    fn key_of(
        &mut self,
        name: &OrganisationName,
        limit: ResourceLimit,
        now: Moment,
    ) -> OrganisationKey {
        if let Some(key) = self.keys.get(name) {
            return *key;
        }
        let key = OrganisationKey(self.accounts.len());
        self.keys.insert(name.clone(), key);
        self.accounts.push(OrganisationAccount {
            name: name.clone(),
            weight: ShareWeight::default(),
            limit,
            running: ResourceSet::default(),
            unconfirmed: ResourceSet::default(),
            reserved_under_limit: ResourceSet::default(),
            claimed: ResourceSet::default(),
            share_bucket: ShareBucket { level: u64::MAX, at: now },
        });
        key
    }

    /// Whether a job accepted at `now` exceeds its organisation's share. Counts the job.
    pub fn exceeds_share(&mut self, key: OrganisationKey, now: Moment) -> bool {
        let account = &mut self.accounts[key.0];
        // An organisation that the configuration does not name has no known share.
        account.weight.0 > 0 && !account.share_bucket.take(account.weight, now)
    }

    /// Whether a job accepted at `now` would exceed its organisation's share. Counts nothing.
    pub fn would_exceed_share(&self, key: OrganisationKey, now: Moment) -> bool {
        let account = &self.accounts[key.0];
        let mut bucket = account.share_bucket;
        account.weight.0 > 0 && !bucket.take(account.weight, now)
    }

    /// Returns the name of an organisation.
    pub fn name(&self, key: OrganisationKey) -> &OrganisationName {
        &self.accounts[key.0].name
    }

    /// Whether an organisation has a limit in some dimension.
    pub fn is_limited(&self, key: OrganisationKey) -> bool {
        self.accounts[key.0].limit != ResourceLimit::default()
    }

    /// Returns the limit of an organisation.
    pub fn limit(&self, key: OrganisationKey) -> &ResourceLimit {
        &self.accounts[key.0].limit
    }

    /// Returns what counts against the limit of an organisation, without reservations.
    pub fn occupied(&self, key: OrganisationKey) -> ResourceSet {
        let account = &self.accounts[key.0];
        account.running.plus(&account.unconfirmed)
    }

    /// Returns the room under the limit of an organisation that no waiting step has reserved.
    pub fn unreserved_room(&self, key: OrganisationKey) -> ResourceSet {
        self.accounts[key.0].room()
    }

    fn take(&mut self, run: &WorkerRun) {
        let (Some(key), Some(need)) = (run.owner, run.need) else { return };
        let account = &mut self.accounts[key.0];
        account.running = account.running.plus(&need);
    }

    fn give_back(&mut self, run: &WorkerRun) {
        let (Some(key), Some(need)) = (run.owner, run.need) else { return };
        let account = &mut self.accounts[key.0];
        let left = account.running.minus(&need);
        account.running = left.expect("the need of each removed run was counted before");
    }

    /// Returns how many tasks of a given need may be started now.
    pub fn room_for(&self, key: Option<OrganisationKey>, need: &ResourceSet) -> usize {
        let Some(key) = key else { return usize::MAX };
        let count = self.accounts[key.0].room().capacity_for(need);
        usize::try_from(count).unwrap_or(usize::MAX)
    }

    /// Whether its runs, including possible ones, exceed its current limit.
    pub fn is_over_limit(&self, key: Option<OrganisationKey>) -> bool {
        let account = key.map(|key| &self.accounts[key.0]);
        account.is_some_and(|account| {
            !account.limit.allows(&account.running.plus(&account.unconfirmed))
        })
    }

    /// Reserves room under a limit for a waiting step, unless the step could never fit under it.
    fn reserve(&mut self, key: OrganisationKey, need: &ResourceSet) {
        let account = &mut self.accounts[key.0];
        if account.limit.allows(need) {
            account.reserved_under_limit = account.reserved_under_limit.plus(need);
        }
    }

    /// Reserves room under a limit for a step for which runs are being stopped.
    pub fn claim(&mut self, key: OrganisationKey, need: &ResourceSet) {
        let account = &mut self.accounts[key.0];
        account.claimed = account.claimed.plus(need);
    }

    /// Returns room that was reserved by [`OrganisationTable::claim`].
    pub fn unclaim(&mut self, key: OrganisationKey, need: &ResourceSet) {
        let account = &mut self.accounts[key.0];
        account.claimed = account.claimed.saturating_minus(need);
    }

    /// Returns what waiting steps have reserved by their rank in this turn.
    pub fn reserved(&self, key: OrganisationKey) -> ResourceSet {
        self.accounts[key.0].reserved_under_limit
    }

    /// Sets what waiting steps have reserved by their rank in this turn.
    pub fn set_reserved(&mut self, key: OrganisationKey, reserved: ResourceSet) {
        self.accounts[key.0].reserved_under_limit = reserved;
    }

    /// Returns how much of some resources is free under a limit, beside what runs and what is
    /// reserved for steps for which runs are being stopped.
    pub fn free_part(&self, key: OrganisationKey, of: &ResourceSet) -> ResourceSet {
        let usage = self.usage(key);
        let free = usage.limit.remaining(&usage.used.plus(&usage.reserved));
        ResourceSet {
            cores: of.cores.min(free.cores),
            memory: of.memory.min(free.memory),
            accelerators: of.accelerators.min(free.accelerators),
        }
    }

    /// Returns what counts against an organisation's limit. Of the reservations, only those for
    /// which runs are being stopped are included.
    pub fn usage(&self, key: OrganisationKey) -> LimitUsage {
        let account = &self.accounts[key.0];
        LimitUsage {
            limit: account.limit,
            used: account.running.plus(&account.unconfirmed),
            reserved: account.claimed,
        }
    }

    /// Returns how much of its limit an organisation uses in the resource that is scarcest for it.
    pub fn limit_use(&self, key: OrganisationKey) -> LimitUse {
        let usage = self.usage(key);
        LimitUse::of(&usage.limit, &usage.used)
    }

    fn clear_limit_reservations(&mut self) {
        for account in &mut self.accounts {
            account.reserved_under_limit = ResourceSet::default();
            account.claimed = ResourceSet::default();
        }
    }

    fn set_unconfirmed(
        &mut self,
        needs: &HashMap<OrganisationKey, ResourceSet>,
        max: &ResourceSet,
    ) {
        for (number, account) in self.accounts.iter_mut().enumerate() {
            let need = needs.get(&OrganisationKey(number)).copied().unwrap_or_default();
            account.unconfirmed = ResourceSet {
                cores: need.cores.min(max.cores),
                memory: need.memory.min(max.memory),
                accelerators: need.accelerators.min(max.accelerators),
            };
        }
    }

    fn limit_event(&self, key: OrganisationKey, step: StepId, need: ResourceSet) -> CellEvent {
        let account = &self.accounts[key.0];
        CellEvent::LimitReached {
            step,
            organisation: account.name.clone(),
            running: account.running.plus(&account.unconfirmed),
            limit: account.limit,
            need,
        }
    }
}

impl Scheduler {
    /// Sets the organisations' limits and weights from the configuration.
    pub fn set_organisations(&mut self, policies: &[OrganisationPolicy], now: Moment) {
        self.organisations.set_policies(policies, now);
    }

    /// Sets the owner of an added job.
    pub(super) fn set_owner(&mut self, id: JobId, now: Moment) {
        let Some(job) = self.jobs.get_mut(&id).filter(|job| job.owner.is_none()) else { return };
        let Some(owner) = &job.record.owner else { return };
        let key = self.organisations.key_for_owner(owner, now);
        job.owner = Some(key);
        job.over_share = self.organisations.exceeds_share(key, job.accepted);
    }

    /// Adds a run to a worker and to its organisation.
    pub(super) fn add_run(&mut self, key: WorkerKey, task: CellTask, run: WorkerRun) {
        self.organisations.take(&run);
        self.workers[key.0].add_run(task, run);
    }

    /// Removes a run from a worker and from its organisation.
    pub(super) fn remove_run(&mut self, key: WorkerKey, task: &CellTask) -> Option<WorkerRun> {
        let run = self.workers[key.0].remove_run(task)?;
        self.organisations.give_back(&run);
        Some(run)
    }

    /// Counts what earlier leads may have started on workers that have not reported yet.
    pub(super) fn count_unconfirmed(&mut self, unix_ms: u64) {
        let mut needs: HashMap<OrganisationKey, ResourceSet> = HashMap::new();
        let mut unheard_capacity = ResourceSet::default();
        if !self.take_over.settled {
            let unheard = |worker: &&WorkerState| worker.may_have_unlisted_runs();
            let capacities =
                self.workers.iter().filter(unheard).map(|worker| worker.largest_capacity);
            unheard_capacity =
                capacities.fold(unheard_capacity, |sum, capacity| sum.plus(&capacity));
            for job in self.jobs.values().filter(|job| job.unsettled_starts) {
                let Some(key) = job.owner else { continue };
                let need = needs.entry(key).or_default();
                *need = need.plus(&unconfirmed_need(job, unix_ms));
            }
        }
        self.organisations.set_unconfirmed(&needs, &unheard_capacity);
    }

    /// Returns how many of a step's `waiting` tasks its organisation's limit allows to start now. A
    /// gang starts as a whole or not at all.
    pub(super) fn allowed_tasks(
        &mut self,
        id: JobId,
        step: usize,
        spec: &StepSpec,
        waiting: usize,
    ) -> usize {
        let timed_room = self.timed_room(id, step, spec);
        let Some(job) = self.jobs.get_mut(&id) else { return 0 };
        let Some(key) = job.owner else { return waiting };
        let room = self.organisations.room_for(job.owner, &spec.need);
        let room = room.min(timed_room).min(waiting);
        let allowed = if spec.gang && room < waiting { 0 } else { room };
        let active_step = &mut job.steps[step];
        let limit_reached = allowed == 0 && waiting > 0;
        if limit_reached && !active_step.limit_reached {
            self.events.push(self.organisations.limit_event(key, active_step.id, spec.need));
        }
        active_step.limit_reached = limit_reached;
        allowed
    }

    /// Whether a job ranks after all jobs within the organisations' shares, so that a burst of one
    /// organisation does not delay what the others' shares cover.
    pub(super) fn is_over_share(&self, job: &ActiveJob) -> bool {
        self.timing.policy.sharing == SharingMode::DueFirst && job.over_share
    }

    /// Returns the rank of a job among those beyond the organisations' shares: those of an
    /// organisation that uses less of its limit come first.
    pub(super) fn share_rank(&self, job: &ActiveJob) -> ShareRank {
        match job.owner.filter(|_| self.is_over_share(job)) {
            Some(key) => ShareRank::Beyond(self.organisations.limit_use(key)),
            None => ShareRank::Within,
        }
    }

    /// Drops all reservations under limits, at the start of a turn.
    pub(super) fn clear_limit_reservations(&mut self) {
        self.organisations.clear_limit_reservations();
    }

    /// Reserves room under the organisation's limit for the remaining tasks of a step. Lower-ranked
    /// steps would otherwise take all room that becomes free, and a gang would never find enough.
    pub(super) fn reserve_limit_room(
        &mut self,
        candidate: &Candidate,
        spec: &StepSpec,
        remaining: usize,
        now: Moment,
    ) {
        let Some(job) = self.jobs.get(&candidate.job) else { return };
        let Some(key) = job.owner else { return };
        if remaining == 0 || !self.has_value(candidate, job, now) {
            return;
        }
        match self.timing.policy.limit_order {
            LimitOrder::Backfill => {}
            LimitOrder::InOrder => {
                self.organisations.reserve(key, &spec.need.times(remaining as u32));
            }
            LimitOrder::Timed => self.reserve_timed(candidate, spec, key, remaining, now),
        }
    }

    /// Returns figures about all organisations.
    pub fn organisation_stats(&self) -> Vec<OrganisationStats> {
        let mut open_jobs = vec![0; self.organisations.accounts.len()];
        for key in self.jobs.values().filter_map(|job| job.owner) {
            open_jobs[key.0] += 1;
        }
        let accounts = self.organisations.accounts.iter().zip(open_jobs);
        let figures = |(account, open_jobs): (&OrganisationAccount, usize)| OrganisationStats {
            name: account.name.clone(),
            running: account.running,
            limit: account.limit,
            room: account.limit.remaining(&account.running.plus(&account.unconfirmed)),
            weight: account.weight,
            open_jobs,
        };
        accounts.map(figures).collect()
    }
}

/// Returns the need of a job's tasks that an earlier lead may have started, without its known runs.
fn unconfirmed_need(job: &ActiveJob, unix_ms: u64) -> ResourceSet {
    let mut sum = ResourceSet::default();
    for step in 0..job.steps.len() {
        if job.steps[step].unfinished == 0 || !job.is_due(step, unix_ms) {
            continue;
        }
        let unheard =
            |task: &&ActiveTask| !task.progress.done && matches!(task.phase, TaskPhase::Waiting(_));
        let count = job.step_tasks(step).iter().filter(unheard).count() as u32;
        sum = sum.plus(&job.step_spec(step).need.times(count));
    }
    sum
}
