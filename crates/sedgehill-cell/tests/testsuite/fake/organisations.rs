//! Organisations of a cell of fakes, and the check that each keeps its limit.

use sedgehill_cell::ids::{CellTask, OrganisationName};
use sedgehill_cell::job::JobRecord;
use sedgehill_cell::organisation::{JobOwner, OrganisationPolicy, ResourceLimit, ShareWeight};
use sedgehill_cell::scheduler::{Scheduler, StartOrder};
use sedgehill_core::units::{CoreCount, ResourceSet};

use super::FakeCell;

/// What the configuration says of an organisation that may have `most` cores running.
fn organisation(name: &OrganisationName, most: u64) -> OrganisationPolicy {
    let maximum = ResourceLimit { cores: Some(CoreCount(most * 1000)), ..ResourceLimit::default() };
    OrganisationPolicy { name: name.clone(), weight: ShareWeight(2_000), maximum }
}

/// A job of an organisation that may have `most` cores running when it is accepted.
pub fn owned(name: &str, most: u64, record: JobRecord) -> JobRecord {
    let organisation = organisation(&name.into(), most);
    let owner = JobOwner { organisation: organisation.name, maximum: organisation.maximum };
    JobRecord { owner: Some(owner), ..record }
}

impl FakeCell {
    /// The operators set the limit of an organisation, in cores.
    pub fn limit(&mut self, scheduler: &mut Scheduler, name: &str, most: u64) {
        let name = OrganisationName::from(name);
        let highest = self.highest.entry(name.clone()).or_default();
        *highest = (*highest).max(CoreCount(most * 1000));
        self.organisations.retain(|policy| policy.name != name);
        self.organisations.push(organisation(&name, most));
        scheduler.set_organisations(&self.organisations, self.now);
    }

    /// The operators drop all organisations.
    pub fn drop_organisations(&mut self, scheduler: &mut Scheduler) {
        self.organisations.clear();
        scheduler.set_organisations(&self.organisations, self.now);
    }

    /// What runs for an organisation on all workers.
    pub fn running_for(&self, name: &OrganisationName) -> ResourceSet {
        let owned = |task: &CellTask| {
            let owner = &self.store[&task.step.job].0.owner;
            owner.as_ref().is_some_and(|owner| owner.organisation == *name)
        };
        let runs = self.workers.iter().flat_map(|worker| &worker.runs);
        let needs = runs.filter(|(task, _)| owned(task)).map(|(_, run)| run.need);
        needs.fold(ResourceSet::default(), |sum, need| sum.plus(&need))
    }

    /// A start that was ordered now keeps the limit in force, and one that comes late the highest that ever was.
    pub(super) fn check_limit(&self, order: &StartOrder, late: bool) {
        let Some(owner) = &order.record.owner else { return };
        let name = &owner.organisation;
        let mut policies = self.organisations.iter();
        let in_force = policies.find(|policy| policy.name == *name && !late);
        let in_force = in_force.and_then(|policy| policy.maximum.cores);
        let Some(most) = in_force.or_else(|| self.highest.get(name).copied()) else { return };
        let running = self.running_for(name);
        assert!(running.cores <= most, "{name} is over its limit");
    }
}
