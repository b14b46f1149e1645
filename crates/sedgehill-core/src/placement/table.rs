//! Which task holds room on which worker.

use std::collections::{BTreeMap, BTreeSet};

use super::worker::PlacedTask;
use crate::ids::{TaskId, WorkerId};

/// The tasks that hold room, found by task and by worker, so that a look at one worker costs nothing
/// for the others.
#[derive(Debug, Default)]
pub(super) struct PlacementTable {
    tasks: BTreeMap<TaskId, PlacedTask>,
    by_worker: BTreeMap<WorkerId, BTreeSet<TaskId>>,
}

impl PlacementTable {
    pub fn len(&self) -> usize {
        self.tasks.len()
    }

    pub fn contains(&self, task: &TaskId) -> bool {
        self.tasks.contains_key(task)
    }

    pub fn get(&self, task: &TaskId) -> Option<&PlacedTask> {
        self.tasks.get(task)
    }

    /// The task, if it holds room on this worker.
    pub fn get_on(&mut self, worker: &WorkerId, task: &TaskId) -> Option<&mut PlacedTask> {
        self.tasks.get_mut(task).filter(|placed| placed.worker == *worker)
    }

    pub fn iter(&self) -> impl Iterator<Item = (&TaskId, &PlacedTask)> {
        self.tasks.iter()
    }

    /// The tasks on one worker.
    pub fn on(&self, worker: &WorkerId) -> impl Iterator<Item = (&TaskId, &PlacedTask)> {
        let here = self.by_worker.get(worker).into_iter().flatten();
        here.map(|task| (task, &self.tasks[task]))
    }

    pub fn has_tasks(&self, worker: &WorkerId) -> bool {
        self.by_worker.contains_key(worker)
    }

    /// Adds a task.
    ///
    /// # Panics
    ///
    /// If the task holds room already: it would run in two places.
    pub fn insert(&mut self, task: TaskId, placed: PlacedTask) {
        self.by_worker.entry(placed.worker.clone()).or_default().insert(task);
        let before = self.tasks.insert(task, placed);
        assert!(before.is_none(), "invariant: no task runs in two places: {task}");
    }

    pub fn remove(&mut self, task: &TaskId) -> Option<PlacedTask> {
        let placed = self.tasks.remove(task)?;
        if let Some(here) = self.by_worker.get_mut(&placed.worker) {
            here.remove(task);
            if here.is_empty() {
                self.by_worker.remove(&placed.worker);
            }
        }
        Some(placed)
    }
}
