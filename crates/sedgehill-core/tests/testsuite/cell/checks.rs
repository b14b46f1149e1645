//! The promises, checked against what really runs.

use std::collections::{BTreeMap, BTreeSet};

use sedgehill_core::ids::{HallName, Offset, RecordId, TaskId, WorkerId};
use sedgehill_core::spec::ConfigKey;

use super::{Cell, CoreNode, HALLS};

impl Cell {
    /// Checks every promise against what really runs.
    pub fn check(&mut self) -> Result<(), String> {
        self.check_rooms()?;
        self.check_places()?;
        self.check_leads()?;
        self.check_states()?;
        self.check_versions()
    }

    fn check_rooms(&self) -> Result<(), String> {
        for (id, worker) in &self.workers {
            let used = worker.used();
            if !worker.total.fits(&used) {
                return Err(format!("rule 1: {id} has {}, runs {used}", worker.total));
            }
        }
        Ok(())
    }

    fn check_places(&self) -> Result<(), String> {
        let mut places: BTreeMap<TaskId, &WorkerId> = BTreeMap::new();
        for (id, worker) in &self.workers {
            let tasks: BTreeSet<TaskId> =
                worker.running.keys().map(|attempt| attempt.task).collect();
            for task in tasks {
                if let Some(other) = places.insert(task, id) {
                    return Err(format!("rule 2: {task} runs at {other} and {id}"));
                }
            }
            if worker.running.len()
                != worker.running.keys().map(|attempt| attempt.task).collect::<BTreeSet<_>>().len()
            {
                return Err(format!("rule 2: {id} runs a task twice"));
            }
        }
        Ok(())
    }

    fn check_leads(&self) -> Result<(), String> {
        for hall in HALLS {
            let hall: HallName = hall.parse().expect("a valid name");
            let holders = self
                .nodes
                .iter()
                .filter(|node| node.running && node.holds(&hall, self.now))
                .count();
            if holders > 1 {
                return Err(format!("rule 2: {holders} boxes may act on {hall} at once"));
            }
        }
        Ok(())
    }

    /// Boxes that have read as far hold the same state.
    fn check_states(&self) -> Result<(), String> {
        let mut seen: BTreeMap<Offset, &CoreNode> = BTreeMap::new();
        for node in self.nodes.iter().filter(|node| node.running) {
            let Some(state) = node.fold.state() else { continue };
            if let Some(other) = seen.insert(state.next, node)
                && other.fold.state() != Some(state)
            {
                return Err(format!("rule 8: two states at offset {}", state.next));
            }
        }
        Ok(())
    }

    /// What is in force at a box never goes back while the box runs.
    fn check_versions(&mut self) -> Result<(), String> {
        for (index, node) in self.nodes.iter().enumerate().filter(|(_, node)| node.running) {
            let Some(state) = node.fold.state() else { continue };
            for (key, versions) in &state.configs {
                let Some(current) = versions.last() else { continue };
                let place = (index, node.run, key.clone());
                let before = self.versions.insert(place, current.version.0).unwrap_or(0);
                if current.version.0 < before {
                    return Err(format!("rule 8: {key} went from {before} to {}", current.version));
                }
                let ids: Vec<RecordId> = versions.iter().map(|version| version.id).collect();
                if ids.iter().collect::<BTreeSet<_>>().len() != ids.len() {
                    return Err(format!("rule 8: {key} was published twice by one record"));
                }
                check_bases(key, versions)?;
            }
            if let Some(job) = node.double_jobs(&self.jobs) {
                return Err(format!("rule 2: job {job} was taken that nobody submitted"));
            }
        }
        Ok(())
    }
}

/// Each kept version edited the one before it.
fn check_bases(
    key: &ConfigKey,
    versions: &[sedgehill_core::state::ConfigVersion],
) -> Result<(), String> {
    for pair in versions.windows(2) {
        if pair[1].base != Some(pair[0].version) {
            return Err(format!(
                "rule 8: {key}: {} does not follow {}",
                pair[1].version, pair[0].version
            ));
        }
    }
    Ok(())
}
