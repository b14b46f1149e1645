//! Snapshots of the workers for tests and soaks: what runs on each, and which tasks have ended.

use std::collections::BTreeMap;

use super::life::{StandinLife, StandinRun};
use super::worker::{StandinWorkers, WorkerSite, step_of};

/// The state of a worker at one moment.
#[derive(Debug, Clone)]
pub struct WorkerSnapshot {
    /// Whether a process of the worker runs.
    pub alive: bool,
    /// Cores that the worker has.
    pub cores: usize,
    /// Cores that its runs use.
    pub used: usize,
    /// The step of each running task.
    pub running: Vec<String>,
}

impl StandinWorkers {
    /// Returns the state of each worker now.
    pub fn snapshots(&self) -> Vec<WorkerSnapshot> {
        let now = self.now_ms();
        let state = &mut *self.state.lock();
        state.advance(now);
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

    /// Returns the tasks of all runs that match `filter`.
    pub fn running_tasks(&self, filter: impl Fn(&StandinRun) -> bool) -> Vec<String> {
        let now = self.now_ms();
        let state = &mut *self.state.lock();
        state.advance(now);
        let lives = state.sites.iter().flat_map(|site| &site.life);
        let runs = lives.flat_map(|life| &life.runs).filter(|(_, run)| filter(run));
        runs.map(|(task, _)| task.clone()).collect()
    }

    /// Returns how many tasks of each step have ended as done and were reported.
    pub fn done_tasks(&self) -> BTreeMap<String, usize> {
        let state = self.state.lock();
        let mut done: BTreeMap<String, usize> = BTreeMap::new();
        for task in state.oracle.done_tasks() {
            *done.entry(step_of(task).to_owned()).or_default() += 1;
        }
        done
    }
}
