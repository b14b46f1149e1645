//! What runs for each organisation, and whether more may be started for it.
//!
//! Everything that may be running counts, at its worst: starts without an answer, runs that are being
//! stopped, and runs on workers out of touch until their lease has surely ended. A new lead has not heard of
//! what earlier leads ordered: until every worker has answered, waiting tasks of jobs that were ordered count
//! as running, as far as the workers not yet heard could hold them.

use std::collections::HashMap;

use sedgehill_core::units::{Moment, ResourceSet, TimeSpan};

use super::active_job::{ActiveJob, ActiveTask, TaskPhase};
use super::room::Candidate;
use super::worker::{WorkerRun, WorkerState};
use super::*;
use crate::ids::{OrganisationName, StepId};
use crate::job::StepSpec;
use crate::organisation::{JobOwner, OrganisationPolicy, ResourceLimit, ShareWeight};

/// The scheduler's handle of an organisation.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct OrganisationKey(usize);

/// An organisation may send what it is due in so much time at once, before more counts as excess: the span
/// over which its rate is counted.
const BURST_SPAN: TimeSpan = TimeSpan(1_000);
/// Thousandths of a job, in which what is due is counted, times milliseconds.
const TOKENS_PER_JOB: u64 = 1_000 * 1_000;

/// What an organisation is due: jobs that it may still send before they count as excess. It fills at the
/// organisation's weight.
#[derive(Debug, Clone, Copy)]
struct ShareBucket {
    /// In thousandths of a job times milliseconds.
    level: u64,
    at: Moment,
}

impl ShareBucket {
    /// Takes one job out of what is due at `now`. Returns whether there was enough.
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

/// One organisation.
#[derive(Debug)]
struct OrganisationAccount {
    name: OrganisationName,
    weight: ShareWeight,
    limit: ResourceLimit,
    /// What runs, or may run, as far as it is known.
    running: ResourceSet,
    /// What may run besides, unheard of.
    unconfirmed: ResourceSet,
    /// What is left to steps that wait, in this turn.
    reserved: ResourceSet,
    share_bucket: ShareBucket,
}

impl OrganisationAccount {
    fn room(&self) -> ResourceSet {
        self.limit.room_beside(&self.running.plus(&self.unconfirmed).plus(&self.reserved))
    }
}

/// What operators are shown of an organisation.
#[derive(Debug, Clone, PartialEq)]
pub struct OrganisationStats {
    /// The organisation.
    pub name: OrganisationName,
    /// What runs, or may run.
    pub running: ResourceSet,
    /// The most that may.
    pub limit: ResourceLimit,
    /// Its share when everything is full.
    pub weight: ShareWeight,
    /// Jobs that are not over.
    pub open_jobs: usize,
}

/// The account of all organisations.
#[derive(Debug, Default)]
pub struct OrganisationTable {
    accounts: Vec<OrganisationAccount>,
    keys: HashMap<OrganisationName, OrganisationKey>,
}

impl OrganisationTable {
    /// Takes in what the configuration says. One that it does not name any more keeps its last limit, as
    /// long as this lead lasts.
    pub fn set_policies(&mut self, policies: &[OrganisationPolicy], now: Moment) {
        for policy in policies {
            let key = self.key_of(&policy.name, policy.maximum, now);
            let account = &mut self.accounts[key.0];
            account.limit = policy.maximum;
            account.weight = policy.weight;
        }
    }

    /// The handle of a job's owner.
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
            reserved: ResourceSet::default(),
            share_bucket: ShareBucket { level: u64::MAX, at: now },
        });
        key
    }

    /// Whether a job accepted at `now` is beyond what its organisation is due.
    pub fn exceeds_share(&mut self, key: OrganisationKey, now: Moment) -> bool {
        let account = &mut self.accounts[key.0];
        // Of an organisation that the configuration does not name nothing is known to be due.
        account.weight.0 > 0 && !account.share_bucket.take(account.weight, now)
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

    /// How many tasks that each need `need` may be started now.
    pub fn room_for(&self, key: Option<OrganisationKey>, need: &ResourceSet) -> usize {
        let Some(key) = key else { return usize::MAX };
        let count = self.accounts[key.0].room().capacity_for(need);
        usize::try_from(count).unwrap_or(usize::MAX)
    }

    /// Whether more runs for an organisation, or may, than its limit allows by now.
    pub fn is_over_limit(&self, key: Option<OrganisationKey>) -> bool {
        let account = key.map(|key| &self.accounts[key.0]);
        account.is_some_and(|account| {
            !account.limit.admits(&account.running.plus(&account.unconfirmed))
        })
    }

    /// Leaves room under a limit to a step that waits, if it could ever run there.
    fn reserve(&mut self, key: OrganisationKey, need: &ResourceSet) {
        let account = &mut self.accounts[key.0];
        if account.limit.admits(need) {
            account.reserved = account.reserved.plus(need);
        }
    }

    fn clear_reservations(&mut self) {
        for account in &mut self.accounts {
            account.reserved = ResourceSet::default();
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
    /// Takes in what the configuration says of organisations.
    pub fn set_organisations(&mut self, policies: &[OrganisationPolicy], now: Moment) {
        self.organisations.set_policies(policies, now);
    }

    /// Gives a job that came in its owner.
    pub(super) fn set_owner(&mut self, id: JobId, now: Moment) {
        let Some(job) = self.jobs.get_mut(&id).filter(|job| job.owner.is_none()) else { return };
        let Some(owner) = &job.record.owner else { return };
        let key = self.organisations.key_for_owner(owner, now);
        job.owner = Some(key);
        job.over_share = self.organisations.exceeds_share(key, job.accepted);
    }

    /// Puts a run on a worker.
    pub(super) fn add_run(&mut self, key: WorkerKey, task: CellTask, run: WorkerRun) {
        self.organisations.take(&run);
        self.workers[key.0].add_run(task, run);
    }

    /// A run is gone from a worker.
    pub(super) fn remove_run(&mut self, key: WorkerKey, task: &CellTask) -> Option<WorkerRun> {
        let run = self.workers[key.0].remove_run(task)?;
        self.organisations.give_back(&run);
        Some(run)
    }

    /// Counts what earlier leads may have started on workers that did not answer yet.
    pub(super) fn count_unconfirmed(&mut self, unix_ms: u64) {
        let mut needs: HashMap<OrganisationKey, ResourceSet> = HashMap::new();
        let mut unheard_capacity = ResourceSet::default();
        if !self.take_over.settled {
            let unheard =
                |worker: &&WorkerState| worker.inherited && !worker.dead && !worker.fenced;
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

    /// How many tasks of a step its organisation may start now, of `waiting` that wait. A gang starts whole
    /// or not at all.
    pub(super) fn allowed_tasks(
        &mut self,
        id: JobId,
        step: usize,
        spec: &StepSpec,
        waiting: usize,
    ) -> usize {
        let Some(job) = self.jobs.get_mut(&id) else { return 0 };
        let Some(key) = job.owner else { return waiting };
        let room = self.organisations.room_for(job.owner, &spec.need).min(waiting);
        let allowed = if spec.gang && room < waiting { 0 } else { room };
        let active_step = &mut job.steps[step];
        let limit_reached = allowed == 0 && waiting > 0;
        if limit_reached && !active_step.limit_reached {
            self.events.push(self.organisations.limit_event(key, active_step.id, spec.need));
        }
        active_step.limit_reached = limit_reached;
        allowed
    }

    /// Whether a job goes after all that is due to other organisations: the burst of one should cost the others
    /// nothing that their shares cover.
    pub(super) fn is_over_share(&self, job: &ActiveJob) -> bool {
        self.timing.policy.sharing == SharingMode::DueFirst && job.over_share
    }

    /// Begins a turn, in which nothing is kept yet.
    pub(super) fn clear_reservations(&mut self) {
        self.organisations.clear_reservations();
    }

    /// Leaves room under the limit of its organisation to the tasks of a step that wait still: what is
    /// ranked after it would take each bit of room that comes free, and a gang would never find enough.
    pub(super) fn reserve_limit_room(
        &mut self,
        candidate: &Candidate,
        spec: &StepSpec,
        remaining: usize,
        now: Moment,
    ) {
        let Some(job) = self.jobs.get(&candidate.job) else { return };
        let Some(key) = job.owner else { return };
        let in_order = self.timing.policy.limit_order == LimitOrder::InOrder;
        if in_order && remaining > 0 && self.has_value(candidate, job, now) {
            self.organisations.reserve(key, &spec.need.times(remaining as u32));
        }
    }

    /// What operators are shown of the organisations.
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
            weight: account.weight,
            open_jobs,
        };
        accounts.map(figures).collect()
    }
}

/// What may run of a job that an earlier lead ordered, beside what is known to run.
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
