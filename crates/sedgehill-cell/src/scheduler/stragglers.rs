//! Detects runs that take far too long, and counts them against their workers.

use sedgehill_core::units::Moment;

use super::worker_run::WorkerRun;
use super::*;

/// A run on an untrusted worker is moved once it has taken this many times the time after which it
/// is overdue. Its work so far is lost, or resumes from its last saved state. The factor doubles with
/// each move of the task: one that takes much longer than estimated would never end otherwise.
const MOVE_FACTOR: u64 = 2;
/// The most doublings of [`MOVE_FACTOR`].
const MAX_MOVE_DOUBLINGS: u32 = 16;
/// A task that was moved this often is slow by itself, and does not count against its workers.
const SLOW_AFTER_MOVES: u32 = 2;

/// A run on an untrusted worker that may be moved.
struct SlowRun {
    worker: WorkerKey,
    task: CellTask,
    run: RunNumber,
    age: TimeSpan,
    /// The age at which it became overdue.
    limit: TimeSpan,
}

impl Scheduler {
    /// Notes what a run that was done, or stopped before, shows of its worker.
    pub(super) fn learn_from_run(
        &mut self,
        key: WorkerKey,
        task: &CellTask,
        run: &WorkerRun,
        done: bool,
        now: Moment,
    ) {
        if done && !run.overdue {
            self.workers[key.0].note_success();
        }
        self.learn_speed(key, task, run, done, now);
    }

    /// Counts overdue runs against their workers, and stops those that are far too slow so that
    /// they run elsewhere.
    pub(super) fn move_stragglers(&mut self, now: Moment) {
        let (percent, slack) = (self.timing.overdue_percent, self.timing.overdue_slack);
        let policy = self.timing.policy;
        let mut overdue = Vec::new();
        let mut moved = Vec::new();
        for (number, worker) in self.workers.iter_mut().enumerate() {
            let key = WorkerKey(number);
            for (task, run) in &mut worker.runs {
                let Some(expected) = run.expected.filter(|_| run.phase == RunPhase::Confirmed)
                else {
                    continue;
                };
                let limit = TimeSpan(expected.0 * percent / 100 + slack.0);
                if now < run.since.after(limit) {
                    continue;
                }
                if !run.overdue {
                    run.overdue = true;
                    overdue.push((key, *task));
                }
                let may_move = policy.stragglers && worker.trust != WorkerTrust::Trusted;
                if may_move && now >= run.since.after(TimeSpan(limit.0 * MOVE_FACTOR)) {
                    let age = now.since(run.since);
                    moved.push(SlowRun { worker: key, task: *task, run: run.run, age, limit });
                }
            }
        }
        for (key, task) in overdue {
            if self.moves_of(&task) < SLOW_AFTER_MOVES {
                self.note_fault(key, "is slow", now);
            }
        }
        for slow in moved {
            let doublings = self.moves_of(&slow.task).min(MAX_MOVE_DOUBLINGS);
            if slow.age >= TimeSpan((slow.limit.0 * MOVE_FACTOR) << doublings) {
                self.move_run(&slow, now);
            }
        }
    }

    /// Returns how often a task was moved.
    fn moves_of(&self, task: &CellTask) -> u32 {
        let Some(job) = self.jobs.get(&task.step.job) else { return 0 };
        job.task_index(task).map_or(0, |index| job.tasks[index].moves)
    }

    fn move_run(&mut self, slow: &SlowRun, now: Moment) {
        let SlowRun { worker: key, task, run, .. } = *slow;
        let Some(job) = self.jobs.get_mut(&task.step.job) else { return };
        let (Some(step), Some(index)) = (job.step_index(&task.step), job.task_index(&task)) else {
            return;
        };
        if job.step_spec(step).long_running {
            return;
        }
        let active_task = &mut job.tasks[index];
        active_task.moves += 1;
        active_task.failed_at = Some(key);
        self.stop_run(key, task, run, "hardly gets on", now);
    }
}
