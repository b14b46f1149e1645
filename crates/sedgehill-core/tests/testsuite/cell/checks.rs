//! Checks the invariants of the core against the tasks that really run.

use std::collections::{BTreeMap, BTreeSet};

use sedgehill_core::ids::{HallName, Offset, RecordId, TaskId, WorkerId};
use sedgehill_core::spec::ConfigKey;

use super::{Cell, HALLS, TestBox};

impl Cell {
    /// Checks every invariant.
    pub fn check(&mut self) -> Result<(), String> {
        self.check_capacity()?;
        self.check_single_placement()?;
        self.check_leads()?;
        self.check_states()?;
        self.check_versions()
    }

    /// No worker runs more than its resources allow.
    fn check_capacity(&self) -> Result<(), String> {
        for (id, worker) in &self.workers {
            let used = worker.used();
            if !worker.total.fits(&used) {
                return Err(format!("capacity rule: {id} has {}, runs {used}", worker.total));
            }
        }
        Ok(())
    }

    /// No task runs twice.
    fn check_single_placement(&self) -> Result<(), String> {
        let mut locations: BTreeMap<TaskId, &WorkerId> = BTreeMap::new();
        for (id, worker) in &self.workers {
            let tasks: BTreeSet<TaskId> =
                worker.running.keys().map(|attempt| attempt.task).collect();
            for task in tasks {
                if let Some(other) = locations.insert(task, id) {
                    return Err(format!("single execution rule: {task} runs at {other} and {id}"));
                }
            }
            if worker.running.len()
                != worker.running.keys().map(|attempt| attempt.task).collect::<BTreeSet<_>>().len()
            {
                return Err(format!("single execution rule: {id} runs a task twice"));
            }
        }
        Ok(())
    }

    /// At most one box holds the lead of a data hall.
    fn check_leads(&self) -> Result<(), String> {
        for hall in HALLS {
            let hall: HallName = hall.parse().expect("a valid name");
            let holders = self
                .boxes
                .iter()
                .filter(|test_box| test_box.running && test_box.holds_lead(&hall, self.now))
                .count();
            if holders > 1 {
                return Err(format!(
                    "single execution rule: {holders} boxes may act on {hall} at once"
                ));
            }
        }
        Ok(())
    }

    /// Boxes that have applied the log up to the same offset have the same state.
    fn check_states(&self) -> Result<(), String> {
        let mut by_offset: BTreeMap<Offset, &TestBox> = BTreeMap::new();
        for test_box in self.boxes.iter().filter(|test_box| test_box.running) {
            let Some(state) = test_box.fold.state() else { continue };
            if let Some(other) = by_offset.insert(state.next, test_box)
                && other.fold.state() != Some(state)
            {
                return Err(format!("consistency rule: two states at offset {}", state.next));
            }
        }
        Ok(())
    }

    /// The current version of a configuration never decreases while a box runs, every version
    /// follows the one before it, and no job appears that was not submitted.
    fn check_versions(&mut self) -> Result<(), String> {
        for (index, test_box) in
            self.boxes.iter().enumerate().filter(|(_, test_box)| test_box.running)
        {
            let Some(state) = test_box.fold.state() else { continue };
            for (key, versions) in &state.configs {
                let Some(current) = versions.last() else { continue };
                let seen_by = (index, test_box.run_number, key.clone());
                let previous = self.versions.insert(seen_by, current.version.0).unwrap_or(0);
                if current.version.0 < previous {
                    return Err(format!(
                        "consistency rule: {key} went back from {previous} to {}",
                        current.version
                    ));
                }
                let ids: Vec<RecordId> = versions.iter().map(|version| version.id).collect();
                if ids.iter().collect::<BTreeSet<_>>().len() != ids.len() {
                    return Err(format!(
                        "consistency rule: {key} was published twice by one record"
                    ));
                }
                check_base_versions(key, versions)?;
            }
            if let Some(job) = test_box.unknown_job(&self.jobs) {
                return Err(format!(
                    "single execution rule: job {job} exists but was never submitted"
                ));
            }
        }
        Ok(())
    }
}

/// Checks that each kept version is based on the one before it.
fn check_base_versions(
    key: &ConfigKey,
    versions: &[sedgehill_core::state::ConfigVersion],
) -> Result<(), String> {
    for pair in versions.windows(2) {
        if pair[1].base != Some(pair[0].version) {
            return Err(format!(
                "consistency rule: {key}: {} does not follow {}",
                pair[1].version, pair[0].version
            ));
        }
    }
    Ok(())
}
