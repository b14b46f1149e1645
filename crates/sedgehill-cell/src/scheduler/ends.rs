//! Processes the ends of runs, and their effect on jobs.

use sedgehill_core::units::{Moment, TimeSpan};

use super::*;

impl Scheduler {
    /// Processes a run end. Returns whether it has to be recorded, since its job is known.
    pub(super) fn take_end(&mut self, key: WorkerKey, row: &EndRow, now: Moment) -> bool {
        let worker = &self.workers[key.0];
        let life = worker.entry.life.clone();
        let mut lasted = TimeSpan(0);
        if worker.has_run(&row.task, row.run)
            && let Some(run) = self.remove_run(key, &row.task)
        {
            lasted = now.since(run.since);
            if let RunEnd::Done | RunEnd::Stopped = row.end {
                self.learn_from_run(key, &row.task, &run, row.end == RunEnd::Done, now);
            }
        }
        self.events.push(CellEvent::Ended {
            task: row.task,
            run: row.run,
            worker: life,
            end: row.end,
        });
        let id = row.task.step.job;
        let known = self.jobs.get(&id).is_some_and(|job| job.task_index(&row.task).is_some());
        if !known {
            return false;
        }
        self.resolve_run(&row.task, row.run);
        if row.end == RunEnd::Failed && self.count_failure(&row.task, lasted) {
            self.note_fault(key, "fails what it runs", now);
        }
        self.take_end_of(key, row, now);
        self.note_run_ended(&row.task, RestartCause::Ended(row.end), now);
        self.dirty.insert(id);
        self.finish_if_over(id, now);
        true
    }

    fn take_end_of(&mut self, key: WorkerKey, row: &EndRow, now: Moment) {
        match row.end {
            RunEnd::Done => self.take_done(&row.task, row.run, now),
            RunEnd::Failed => self.take_failed(key, row, now),
            RunEnd::Stopped | RunEnd::Lapsed | RunEnd::Broken | RunEnd::Alone => {
                self.release_task(&row.task, row.run, now, Some(&row.checkpoint));
            }
        }
    }

    fn take_done(&mut self, task: &CellTask, run: RunNumber, now: Moment) {
        let Some(job) = self.jobs.get_mut(&task.step.job) else { return };
        let Some(step) = job.step_index(&task.step) else { return };
        let spec = job.step_spec(step);
        if spec.long_running {
            self.release_task(task, run, now, None);
            return;
        }
        let done: Vec<u16> = match spec.gang {
            true => (0..spec.count).collect(),
            false => vec![task.index],
        };
        for index in done {
            self.finish_task(&CellTask { step: task.step, index }, now);
        }
    }

    fn finish_task(&mut self, task: &CellTask, now: Moment) {
        let Some(job) = self.jobs.get_mut(&task.step.job) else { return };
        let (Some(step), Some(index)) = (job.step_index(&task.step), job.task_index(task)) else {
            return;
        };
        let gang = job.step_spec(step).gang;
        let active_task = &mut job.tasks[index];
        if active_task.progress.done {
            return;
        }
        active_task.progress.done = true;
        active_task.progress.checkpoint.clear();
        let phase = std::mem::replace(&mut active_task.phase, TaskPhase::Waiting(now));
        job.steps[step].unfinished -= 1;
        if let TaskPhase::Placed(worker, run) = phase
            && !gang
        {
            // This is another run of a task that is done. The members of a gang end by themselves.
            self.stop_run(worker, *task, run, "done elsewhere", now);
        }
    }

    fn take_failed(&mut self, key: WorkerKey, row: &EndRow, now: Moment) {
        let Some(job) = self.jobs.get_mut(&row.task.step.job) else { return };
        let (Some(step), Some(index)) = (job.step_index(&row.task.step), job.task_index(&row.task))
        else {
            return;
        };
        let spec = job.step_spec(step);
        let (gang, long_running) = (spec.gang, spec.long_running);
        // A failed run of a gang counts once, at the gang's first task.
        let counted = match gang {
            true => job.steps[step].first_task,
            false => index,
        };
        job.tasks[index].failed_at = Some(key);
        let progress = &mut job.tasks[counted].progress;
        if !long_running && !progress.failed_runs.contains(&row.run) {
            progress.failed_runs.push(row.run);
        }
        let attempts_used_up =
            progress.failed_runs.len() >= job.record.policy.max_attempts as usize;
        let is_done = job.tasks[index].progress.done;
        self.release_task(&row.task, row.run, now, Some(&row.checkpoint));
        if attempts_used_up && !is_done {
            self.fail_job(row.task.step.job, "job failed", now);
        }
    }
}
