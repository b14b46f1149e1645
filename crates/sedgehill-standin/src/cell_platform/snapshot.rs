//! What can be seen of the workers from outside: what runs on each, and which tasks have ended.

use std::collections::BTreeMap;

use super::life::{StandinLife, StandinRun};
use super::worker::{StandinWorkers, WorkerSite, step_of};

/// A worker as seen from outside.
#[derive(Debug, Clone)]
pub struct WorkerSnapshot {
    /// A life is there.
    pub alive: bool,
    /// What it has, in cores.
    pub cores: usize,
    /// What runs there takes so many of them.
    pub used: usize,
    /// The step of each task that runs there.
    pub running: Vec<String>,
}

impl StandinWorkers {
    /// What runs on each worker, as seen from outside.
    pub fn snapshots(&self) -> Vec<WorkerSnapshot> {
        let now = self.now_ms();
        let state = &mut *self.state.lock();
        state.settle(now);
        let snapshot = |site: &WorkerSite| WorkerSnapshot {
            alive: site.life.is_some(),
            cores: site.cores,
            used: site.life.as_ref().map_or(0, StandinLife::used_cores),
            running: site
                .life
                .iter()
                .flat_map(|life| life.runs.keys())
                .map(|task| step_of(task).to_owned())
                .collect(),
        };
        state.sites.iter().map(snapshot).collect()
    }

    /// The tasks of all runs that are chosen.
    pub fn running_tasks(&self, chosen: impl Fn(&StandinRun) -> bool) -> Vec<String> {
        let now = self.now_ms();
        let state = &mut *self.state.lock();
        state.settle(now);
        let lives = state.sites.iter().flat_map(|site| &site.life);
        let runs = lives.flat_map(|life| &life.runs).filter(|(_, run)| chosen(run));
        runs.map(|(task, _)| task.clone()).collect()
    }

    /// How many tasks of each step have ended done.
    pub fn done_tasks(&self) -> BTreeMap<String, usize> {
        let state = self.state.lock();
        let mut done: BTreeMap<String, usize> = BTreeMap::new();
        for task in state.oracle.done_tasks() {
            *done.entry(step_of(task).to_owned()).or_default() += 1;
        }
        done
    }
}
