//! Detects runs that take far too long, and counts them against their workers.

use sedgehill_core::units::Moment;

use super::worker_run::WorkerRun;
use super::*;

/// A run on an untrusted worker is moved once it has taken this many times the time after which it
/// is overdue. Its work so far is lost, or resumes from its last saved state.
const MOVE_FACTOR: u64 = 2;

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
        let mut trusted = Vec::new();
        for (number, worker) in self.workers.iter_mut().enumerate() {
            let key = WorkerKey(number);
            if worker.end_probing(now, &self.timing) {
                trusted.push(key);
            }
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
                    overdue.push(key);
                }
                let may_move = policy.stragglers && worker.trust != WorkerTrust::Trusted;
                if may_move && now >= run.since.after(TimeSpan(limit.0 * MOVE_FACTOR)) {
                    moved.push((key, *task, run.run));
                }
            }
        }
        for key in trusted {
            self.report_worker_change(key, "trusted again");
        }
        for key in overdue {
            self.note_fault(key, "is slow", now);
        }
        for (key, task, run) in moved {
            self.move_run(key, task, run, now);
        }
    }

    fn move_run(&mut self, key: WorkerKey, task: CellTask, run: RunNumber, now: Moment) {
        let Some(job) = self.jobs.get_mut(&task.step.job) else { return };
        let (Some(step), Some(index)) = (job.step_index(&task.step), job.task_index(&task)) else {
            return;
        };
        if job.step_spec(step).long_running {
            return;
        }
        job.tasks[index].failed_at = Some(key);
        self.stop_run(key, task, run, "hardly gets on", now);
    }
}
