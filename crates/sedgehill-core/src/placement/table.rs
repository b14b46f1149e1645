//! Index of the placed tasks by task and by worker.

use std::collections::{BTreeMap, BTreeSet};

use super::worker::PlacedTask;
use crate::ids::{TaskId, WorkerId};

/// The tasks that hold resources, indexed by task and by worker, so that listing the tasks of one
/// worker does not scan the others.
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

    /// Returns the task if it is placed on this worker.
    pub fn get_on_worker(&mut self, worker: &WorkerId, task: &TaskId) -> Option<&mut PlacedTask> {
        self.tasks.get_mut(task).filter(|placed| placed.worker == *worker)
    }

    pub fn iter(&self) -> impl Iterator<Item = (&TaskId, &PlacedTask)> {
        self.tasks.iter()
    }

    /// Returns the tasks placed on one worker.
    pub fn tasks_on(&self, worker: &WorkerId) -> impl Iterator<Item = (&TaskId, &PlacedTask)> {
        let tasks = self.by_worker.get(worker).into_iter().flatten();
        tasks.map(|task| (task, &self.tasks[task]))
    }

    pub fn has_tasks(&self, worker: &WorkerId) -> bool {
        self.by_worker.contains_key(worker)
    }

    /// Adds a task.
    ///
    /// # Panics
    ///
    /// Panics if the task is already placed, since it would run twice.
    pub fn insert(&mut self, task: TaskId, placed: PlacedTask) {
        self.by_worker.entry(placed.worker.clone()).or_default().insert(task);
        let previous = self.tasks.insert(task, placed);
        assert!(previous.is_none(), "invariant: no task runs in two places: {task}");
    }

    pub fn remove(&mut self, task: &TaskId) -> Option<PlacedTask> {
        let placed = self.tasks.remove(task)?;
        if let Some(tasks) = self.by_worker.get_mut(&placed.worker) {
            tasks.remove(task);
            if tasks.is_empty() {
                self.by_worker.remove(&placed.worker);
            }
        }
        Some(placed)
    }
}
