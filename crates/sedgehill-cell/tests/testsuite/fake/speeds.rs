//! Runs that take as long as their worker needs for them.

use sedgehill_cell::ids::CellTask;
use sedgehill_cell::scheduler::RunEnd;
use sedgehill_core::units::{Moment, TimeSpan};

use super::FakeCell;

impl FakeCell {
    /// Ends the runs whose time is over with `Done`. `duration` returns the time that a task takes on
    /// a worker, by the worker's number. The members of a gang end with the last of them.
    pub fn end_due(&mut self, duration: impl Fn(usize, &CellTask) -> TimeSpan) {
        let runs = self.all_runs();
        let end = |(number, task): &(usize, CellTask)| -> Moment {
            self.workers[*number].runs[task].since.after(duration(*number, task))
        };
        let gang = |task: &CellTask| {
            self.store[&task.step.job].0.spec.steps[usize::from(task.step.step)].gang
        };
        let last_end = |entry: &(usize, CellTask)| match gang(&entry.1) {
            true => runs.iter().filter(|(_, task)| task.step == entry.1.step).map(end).max(),
            false => Some(end(entry)),
        };
        let due: Vec<(usize, CellTask)> = runs
            .iter()
            .filter(|entry| end(entry) <= self.now)
            .filter(|entry| last_end(entry).is_some_and(|end| end <= self.now))
            .copied()
            .collect();
        for (number, task) in due {
            if self.workers[number].runs.contains_key(&task) {
                self.end_gang_aware(number, task, RunEnd::Done);
            }
        }
    }
}
