//! Tasks that crash their workers, and the check of how often undisturbed boxes start them.

use sedgehill_cell::ids::{CellTask, RunNumber};
use sedgehill_cell::scheduler::RunEnd;
use sedgehill_core::units::{Moment, TimeSpan};

use super::{Path, World};

/// A box counts as undisturbed when its last fault is at least this long ago.
const FAULT_RECOVERY: TimeSpan = TimeSpan(3_000);
/// How long the store lists a worker after it crashed.
const LISTED_AFTER_CRASH: TimeSpan = TimeSpan(4_500);
/// Time from the crash of a worker to the start of its next life.
const RESTART_AFTER_CRASH: TimeSpan = TimeSpan(3_000);
/// Number of workers that a task has to crash before its starts by undisturbed boxes are counted.
const UNCOUNTED_CRASHES: usize = 3;
/// Number of further starts of a task that fails the test.
const FURTHER_STARTS_LIMIT: usize = 3;

impl World {
    /// Makes the first task of the job that is submitted next crash its workers, `after` its start.
    pub fn crash_next(&mut self, after: TimeSpan) {
        let task = crate::fake::task(self.jobs.len() as u64, 0, 0);
        self.crash_delays.insert(task, after);
    }

    /// Notes that a fault of a box starts or ends now.
    pub fn note_fault(&mut self, host: usize) {
        self.last_fault_at[host] = self.now;
    }

    /// Returns whether a box has had no fault for `FAULT_RECOVERY` and all its paths work.
    fn is_undisturbed(&self, host: usize) -> bool {
        let paths = &self.paths[host];
        let all_paths = paths.workers.iter().chain([&paths.leads, &paths.store]);
        let frozen = self.now < self.hosts[host].frozen_until.after(FAULT_RECOVERY);
        let recovered = self.now >= self.last_fault_at[host].after(FAULT_RECOVERY);
        recovered && !frozen && all_paths.into_iter().all(|path| *path == Path::default())
    }

    /// Schedules the crash of a worker if the task that it has started crashes its workers, and checks that an
    /// undisturbed box does not start the task too often.
    pub(super) fn schedule_crash(
        &mut self,
        host: usize,
        index: usize,
        task: CellTask,
        run: RunNumber,
    ) {
        let Some(after) = self.crash_delays.get(&task).copied() else { return };
        self.pending_crashes.push((self.now.after(after), index, task, run));
        let crashes = self.crashes.get(&task).copied().unwrap_or(0);
        if crashes < UNCOUNTED_CRASHES || !self.is_undisturbed(host) {
            return;
        }
        let further = self.further_starts.entry(task).or_default();
        *further += 1;
        assert!(
            *further < FURTHER_STARTS_LIMIT,
            "{task} was started {further} times after {crashes} crashes"
        );
    }

    /// Crashes the workers whose crash is due.
    pub(super) fn crash_due_workers(&mut self) {
        let now = self.now;
        let due: Vec<(Moment, usize, CellTask, RunNumber)> =
            self.pending_crashes.extract_if(.., |(at, ..)| *at <= now).collect();
        for (_, index, task, run) in due {
            let worker = &mut self.workers[index];
            worker.expire_lease(now);
            if worker.runs.get(&task).is_some_and(|running| running.run == run) {
                *self.crashes.entry(task).or_default() += 1;
                let keeps_id = self.keeps_ids;
                self.end_life(
                    index,
                    now.after(LISTED_AFTER_CRASH),
                    now.after(RESTART_AFTER_CRASH),
                    keeps_id,
                );
            }
        }
    }

    /// Ends the life of a worker. The other members of gangs that ran there end with `Broken`.
    pub fn end_life(&mut self, index: usize, listed: Moment, back: Moment, keeps_id: bool) {
        if self.workers[index].back_at.is_some() {
            return;
        }
        let lost = self.workers[index].runs.clone();
        self.workers[index].end_life(listed, back, keeps_id);
        for (at, member) in self.all_runs() {
            let spec = &self.jobs[&member.step.job].spec.steps[usize::from(member.step.step)];
            let run = self.workers[at].runs[&member].run;
            let mut gang = lost.iter().filter(|(task, _)| spec.gang && task.step == member.step);
            if gang.any(|(_, lost)| lost.run == run) {
                self.workers[at].end(member, RunEnd::Broken);
            }
        }
    }

    /// Returns whether a run can end with `Done`: neither a task that crashes its workers can, nor its gang.
    pub(super) fn can_complete(&self, task: &CellTask) -> bool {
        let spec = &self.jobs[&task.step.job].spec.steps[usize::from(task.step.step)];
        let first = CellTask { index: 0, ..*task };
        !self.crash_delays.contains_key(if spec.gang { &first } else { task })
    }
}
