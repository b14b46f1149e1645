//! Accounts of workers: leases, what runs, and runs that are gone.

use sedgehill_core::units::{Moment, ResourceSet};

use super::work::TaskWork;
use super::worker::WorkerRun;
use super::*;

impl Scheduler {
    pub(super) fn lose_runs(&mut self, key: WorkerKey, cause: LossCause, now: Moment) {
        let life = self.workers[key.0].entry.life.clone();
        let runs = self.runs_at_loss(key, now);
        self.workers[key.0].lost_jobs = runs.iter().map(|lost| lost.task.step.job).collect();
        for lost in &runs {
            self.lose_run(key, lost.task, lost.run, &life, cause, now);
        }
        for lost in &runs {
            self.note_lost(key, lost, &cause, now);
        }
    }

    fn lose_run(
        &mut self,
        key: WorkerKey,
        task: CellTask,
        run: RunNumber,
        life: &WorkerLife,
        cause: LossCause,
        now: Moment,
    ) {
        let removed = self.remove_run(key, &task);
        self.events.push(CellEvent::RunLost { task, run, worker: life.clone(), cause });
        self.release_task(&task, run, now, None);
        if removed.as_ref().is_some_and(|entry| entry.seen) {
            // It may have ended at any time since then.
            let heard = self.workers[key.0].answered.unwrap_or(now);
            self.note_run_over(&task, RestartCause::WorkerLost, heard);
        }
        if removed.is_some_and(|entry| entry.phase == RunPhase::Recording) {
            self.abort_gang(&task, run, now);
        }
        self.finish_if_over(task.step.job, now);
    }

    /// What to ask of a worker now.
    pub fn hold_order(&mut self, key: WorkerKey, store_answers: bool, now: Moment) -> HoldOrder {
        let recorded = self.recorded;
        let worker = &mut self.workers[key.0];
        let lease = match store_answers {
            true => self.timing.lease,
            false => self.timing.lease_most,
        };
        // A silent worker may hear what it does not answer: asking it only to look lets its lease
        // come to an end, after which its tasks can run elsewhere.
        let lease_until = match worker.silent_calls {
            0 => worker.extend_lease(now, lease),
            _ => None,
        };
        // An account that gets lost hides every end until it is given up.
        let lossy = self.timing.policy.short_accounts && self.losses.is_high();
        let wait = match lease_until {
            Some(_) if lossy => self.timing.hold_wait_lossy,
            Some(_) => self.timing.hold_wait,
            None => TimeSpan(0),
        };
        worker.told = match worker.may_have_begun_anew() {
            true => 0,
            false => worker.acknowledged(recorded),
        };
        HoldOrder { lease_until, acknowledged: worker.told, wait, token: worker.token }
    }

    /// Takes in what came of a hold that was sent at `sent`.
    pub fn hold_answered(
        &mut self,
        key: WorkerKey,
        answer: WorkerAnswer<HoldReport>,
        sent: Moment,
        now: Moment,
    ) {
        match answer {
            WorkerAnswer::Done(report) => self.take_account(key, report, sent, now),
            WorkerAnswer::NotDone(refusal) => {
                self.note_refusal(key, WorkerCall::Account, refusal, now);
            }
            WorkerAnswer::Unknown => self.note_silence(key, now),
        }
    }

    fn take_account(&mut self, key: WorkerKey, report: HoldReport, sent: Moment, now: Moment) {
        if self.workers[key.0].is_over() || !self.is_of_life(key, &report, sent, now) {
            return;
        }
        let is_first = !self.workers[key.0].fenced;
        self.note_account(key, &report, now);
        self.losses.note(true);
        let worker = &mut self.workers[key.0];
        worker.accounted = Some(now);
        worker.note_answer(report.clock, now, &self.timing);
        if is_first {
            self.end_earlier_lives(key, now);
            self.settle_followed(key, now);
        }
        for end in &report.ended {
            if self.workers[key.0].is_new_end(end.number) {
                let needs_record = self.take_end(key, end, now);
                let batch = if needs_record { self.next_batch } else { 0 };
                self.workers[key.0].await_record(end.number, batch);
            }
        }
        // What ran at the time of an older account, one that was overtaken, tells nothing any more.
        if sent < self.workers[key.0].account_asked {
            return;
        }
        self.workers[key.0].account_asked = sent;
        for row in &report.running {
            self.take_running(key, row, now);
        }
        self.drop_unlisted(key, &report, sent, now);
        self.settle_living(key, &report, sent);
    }

    /// Takes in a row of a run.
    fn take_running(&mut self, key: WorkerKey, row: &RunningRow, now: Moment) {
        let job = row.task.step.job;
        if let Some(entry) = self.workers[key.0].runs.get_mut(&row.task) {
            if entry.run == row.run {
                if entry.confirm(now) {
                    self.note_running(&row.task);
                }
                self.note_checkpoint(&row.task, row.run, &row.checkpoint);
                self.note_begun(job, now);
            }
            return;
        }
        let place = (self.workers[key.0].entry.life.clone(), self.token);
        let Some(work) = self.jobs.get_mut(&job) else {
            return self.adopt_foreign(key, row, now);
        };
        let Some(index) = work.task_index(&row.task) else {
            return self.adopt_foreign(key, row, now);
        };
        let step = work.step_index(&row.task.step).expect("a task that exists has a step");
        let need = work.step_spec(step).need;
        let long_running = work.step_spec(step).long_running;
        let over = work.is_over();
        let task: &mut TaskWork = &mut work.tasks[index];
        task.kept.run = task.kept.run.max(row.run);
        let wanted = !over && !task.kept.done && matches!(task.phase, TaskPhase::Waiting(_));
        if wanted {
            task.phase = TaskPhase::Placed(key, row.run);
            task.place = long_running.then_some(place);
        }
        self.adopt(key, row, Some(need), now);
        match wanted {
            true => {
                self.note_adopted(key, row);
                self.note_running(&row.task);
                self.note_checkpoint(&row.task, row.run, &row.checkpoint);
                self.note_begun(job, now);
            }
            false => {
                self.note_unwanted(key, row, now);
                self.stop_run(key, row.task, row.run, "not wanted", now);
            }
        }
    }

    fn adopt(&mut self, key: WorkerKey, row: &RunningRow, need: Option<ResourceSet>, now: Moment) {
        let run = WorkerRun {
            run: row.run,
            need,
            owner: self.jobs.get(&row.task.step.job).and_then(|job| job.owner),
            phase: RunPhase::Confirmed,
            listed_from: Some(now),
            since: now,
            expected: None,
            overdue: false,
            alone: false,
            seen: true,
            long_running: self.is_long_running(&row.task),
        };
        self.add_run(key, row.task, run);
    }

    fn is_long_running(&self, task: &CellTask) -> bool {
        let Some(job) = self.jobs.get(&task.step.job) else { return false };
        job.step_index(&task.step).is_some_and(|step| job.step_spec(step).long_running)
    }

    /// A run of a job that is over and forgotten: it is stopped, and until it is gone the worker
    /// takes no work, since its need is not known.
    fn adopt_foreign(&mut self, key: WorkerKey, row: &RunningRow, now: Moment) {
        self.adopt(key, row, None, now);
        self.note_unwanted(key, row, now);
        self.stop_run(key, row.task, row.run, "unknown job", now);
    }

    fn note_checkpoint(&mut self, task: &CellTask, run: RunNumber, checkpoint: &str) {
        if checkpoint.is_empty() {
            return;
        }
        let Some(job) = self.jobs.get_mut(&task.step.job) else { return };
        let Some(index) = job.task_index(task) else { return };
        let kept = &mut job.tasks[index].kept;
        if kept.run == run && kept.checkpoint != checkpoint {
            kept.checkpoint = checkpoint.to_owned();
        }
    }

    /// Runs that an account, asked for late enough, does not list are gone.
    fn drop_unlisted(&mut self, key: WorkerKey, report: &HoldReport, sent: Moment, now: Moment) {
        let worker = &self.workers[key.0];
        let listed = |task: &CellTask| report.running.iter().any(|row| row.task == *task);
        let gone: Vec<(CellTask, RunNumber, Moment, bool)> = worker
            .runs
            .iter()
            .filter_map(|(task, run)| Some((*task, run.run, run.listed_from?, run.seen)))
            .filter(|(task, _, from, _)| sent > *from && !listed(task))
            .collect();
        let life = worker.entry.life.clone();
        for (task, run, from, seen) in gone {
            let (asked, listed_from) = (now.since(sent), now.since(from));
            let acknowledged = self.workers[key.0].told;
            let cause = LossCause::NotListed { asked, listed_from, acknowledged };
            self.lose_run(key, task, run, &life, cause, now);
            match seen {
                true => self.close_run(&task, run),
                false => self.note_never_begun(&task, run),
            }
        }
    }

    /// The runs of a worker that has been silent for longer than any lease have ended.
    pub(super) fn expire_leases(&mut self, now: Moment) {
        for number in 0..self.workers.len() {
            let worker = &self.workers[number];
            if worker.dead || worker.runs.is_empty() {
                continue;
            }
            if let Some(since) = worker.followed {
                self.expire_followed(WorkerKey(number), since, now);
                continue;
            }
            if worker.silent_calls == 0 {
                continue;
            }
            let Some(reading) = worker.lapsed_reading(now, &self.timing) else { continue };
            let lapsed_by_then = worker.lapsed_reading(self.confirmed, &self.timing).is_some();
            if lapsed_by_then || self.is_confirmed(now) {
                self.lose_runs(WorkerKey(number), LossCause::LeaseEnded(reading), now);
            }
        }
    }
}
