//! Organisations of a fake cell, and the check of their limits.

use sedgehill_cell::ids::{CellTask, OrganisationName};
use sedgehill_cell::job::JobRecord;
use sedgehill_cell::organisation::{JobOwner, OrganisationPolicy, ResourceLimit, ShareWeight};
use sedgehill_cell::scheduler::{Scheduler, StartOrder};
use sedgehill_core::units::{CoreCount, MemorySize, ResourceSet};

use super::FakeCell;

/// Returns the policy of an organisation whose running tasks may use `max_cores` cores.
fn organisation(name: &OrganisationName, max_cores: u64) -> OrganisationPolicy {
    let maximum =
        ResourceLimit { cores: Some(CoreCount(max_cores * 1000)), ..ResourceLimit::default() };
    OrganisationPolicy { name: name.clone(), weight: ShareWeight(2_000), maximum }
}

/// Returns the job as one of an organisation whose limit is `max_cores` cores when the job is accepted.
pub fn owned(name: &str, max_cores: u64, record: JobRecord) -> JobRecord {
    let organisation = organisation(&name.into(), max_cores);
    let owner = JobOwner { organisation: organisation.name, maximum: organisation.maximum };
    JobRecord { owner: Some(owner), ..record }
}

impl FakeCell {
    /// Sets the limit of an organisation in the configuration, in cores.
    pub fn limit(&mut self, scheduler: &mut Scheduler, name: &str, max_cores: u64) {
        let name = OrganisationName::from(name);
        let highest = self.highest.entry(name.clone()).or_default();
        *highest = (*highest).max(CoreCount(max_cores * 1000));
        self.organisations.retain(|policy| policy.name != name);
        self.organisations.push(organisation(&name, max_cores));
        scheduler.set_organisations(&self.organisations, self.now);
    }

    /// Sets the limit of an organisation in the configuration to this many gigabytes of memory.
    /// Its share is more than it ever uses.
    pub fn limit_memory(&mut self, scheduler: &mut Scheduler, name: &str, gigabytes: u64) {
        let name = OrganisationName::from(name);
        let memory = Some(MemorySize(gigabytes << 30));
        let maximum = ResourceLimit { memory, ..ResourceLimit::default() };
        self.organisations.retain(|policy| policy.name != name);
        self.organisations.push(OrganisationPolicy {
            name,
            weight: ShareWeight(1_000_000),
            maximum,
        });
        scheduler.set_organisations(&self.organisations, self.now);
    }

    /// Removes all organisations from the configuration.
    pub fn drop_organisations(&mut self, scheduler: &mut Scheduler) {
        self.organisations.clear();
        scheduler.set_organisations(&self.organisations, self.now);
    }

    /// Returns the resources that an organisation's runs use on all workers.
    pub fn running_for(&self, name: &OrganisationName) -> ResourceSet {
        let owned = |task: &CellTask| {
            let owner = &self.store[&task.step.job].0.owner;
            owner.as_ref().is_some_and(|owner| owner.organisation == *name)
        };
        let runs = self.workers.iter().flat_map(|worker| &worker.runs);
        let needs = runs.filter(|(task, _)| owned(task)).map(|(_, run)| run.need);
        needs.fold(ResourceSet::default(), |sum, need| sum.plus(&need))
    }

    /// Checks that an organisation is within its limit after a start: the current limit, or the highest that it ever
    /// had if the start was delayed.
    pub(super) fn check_limit(&self, order: &StartOrder, late: bool) {
        let Some(owner) = &order.record.owner else { return };
        let name = &owner.organisation;
        let mut policies = self.organisations.iter();
        let in_force = policies.find(|policy| policy.name == *name && !late);
        let within = in_force.is_none_or(|policy| policy.maximum.allows(&self.running_for(name)));
        assert!(within, "{name} uses more than its limit");
        let in_force = in_force.and_then(|policy| policy.maximum.cores);
        let Some(max_cores) = in_force.or_else(|| self.highest.get(name).copied()) else { return };
        let running = self.running_for(name);
        assert!(running.cores <= max_cores, "{name} uses more cores than its limit");
    }
}
