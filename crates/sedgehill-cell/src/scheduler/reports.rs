//! Processes workers' reports: renews leases, takes in running and ended runs, and finds lost ones.

use sedgehill_core::units::{Moment, ResourceSet};

use super::active_job::ActiveTask;
use super::worker_run::WorkerRun;
use super::worker_speeds::RunBasis;
use super::*;

impl Scheduler {
    /// Drops all runs of a worker that was lost, and updates the crash histories of their tasks.
    pub(super) fn lose_runs(&mut self, key: WorkerKey, cause: LossCause, now: Moment) {
        let life = self.workers[key.0].entry.life.clone();
        let runs = self.runs_at_loss(key, now);
        self.workers[key.0].lost_jobs = runs.iter().map(|lost| lost.task.step.job).collect();
        for lost in &runs {
            self.lose_run(key, lost.task, lost.run, &life, cause, now);
        }
        for lost in &runs {
            self.assess_lost_run(key, lost, &cause, now);
        }
    }

    /// Drops one run that is considered gone, and frees its task.
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
            // It may have ended at any time since the last answer.
            let heard = self.workers[key.0].last_answer_at.unwrap_or(now);
            self.note_run_ended(&task, RestartCause::WorkerLost, heard);
        }
        if removed.is_some_and(|entry| entry.phase == RunPhase::Recording) {
            self.abort_gang(&task, run, now);
        }
        self.finish_if_over(task.step.job, now);
    }

    /// Returns the hold to send to a worker now.
    pub fn hold_order(&mut self, key: WorkerKey, store_answers: bool, now: Moment) -> HoldOrder {
        let recorded = self.recorded;
        let worker = &mut self.workers[key.0];
        let lease = match store_answers {
            true => self.timing.lease,
            false => self.timing.max_lease,
        };
        // A silent worker may still receive holds. Without renewals its lease ends, after which its
        // tasks can run elsewhere.
        let lease_until = match worker.silent_calls {
            0 => worker.extend_lease(now, lease),
            _ => None,
        };
        // A lost report delays the run ends in it until the call times out.
        let lossy = self.timing.policy.short_accounts && self.call_losses.is_high();
        let wait = match lease_until {
            Some(_) if lossy => self.timing.hold_wait_lossy,
            Some(_) => self.timing.hold_wait,
            None => TimeSpan(0),
        };
        worker.acknowledged_to = match worker.may_have_restarted() {
            true => 0,
            false => worker.acknowledged(recorded),
        };
        HoldOrder { lease_until, acknowledged: worker.acknowledged_to, wait, token: worker.token }
    }

    /// Processes the result of a hold that was sent at `sent`.
    pub fn hold_answered(
        &mut self,
        key: WorkerKey,
        answer: WorkerAnswer<HoldReport>,
        sent: Moment,
        now: Moment,
    ) {
        match answer {
            WorkerAnswer::Done(report) => self.take_report(key, report, sent, now),
            WorkerAnswer::NotDone(refusal) => {
                self.note_refusal(key, WorkerCall::Account, refusal, now);
            }
            WorkerAnswer::Unknown => self.note_silence(key, now),
        }
    }

    fn take_report(&mut self, key: WorkerKey, report: HoldReport, sent: Moment, now: Moment) {
        if self.workers[key.0].is_over() || !self.is_of_life(key, &report, sent, now) {
            return;
        }
        let is_first = !self.workers[key.0].fenced;
        // A report that was asked for before a newer one says nothing about what runs now.
        let is_newest = sent >= self.workers[key.0].report_asked_at;
        self.report_contact(key, &report, now);
        self.call_losses.note(true);
        let worker = &mut self.workers[key.0];
        worker.report_gap = worker.last_report_at.map_or(TimeSpan(0), |last| now.since(last));
        worker.last_report_at = Some(now);
        worker.note_answer(report.clock, now, &self.timing);
        let is_complete = is_newest && !report.more_ends;
        if is_complete && !std::mem::replace(&mut self.workers[key.0].reported_in_full, true) {
            self.end_earlier_lives(key, now);
        }
        if is_first {
            self.resolve_replaced_lives(key, now);
        }
        for end in &report.ended {
            if self.workers[key.0].is_new_end(end.number) {
                let needs_record = self.take_end(key, end, now);
                let batch = if needs_record { self.next_batch } else { 0 };
                self.workers[key.0].await_record(end.number, batch);
            }
        }
        if !is_newest {
            return;
        }
        self.workers[key.0].report_asked_at = sent;
        for row in &report.running {
            self.take_running(key, row, now);
        }
        match report.more_ends {
            // A run that it does not list may be among the further ends.
            true => self.report_partial_list(key, &report),
            false => self.drop_unlisted(key, &report, sent, now),
        }
        self.resolve_as_alive(key, &report, sent);
    }

    /// Processes a run that a worker reports as running.
    fn take_running(&mut self, key: WorkerKey, row: &RunningRow, now: Moment) {
        let id = row.task.step.job;
        if let Some(entry) = self.workers[key.0].runs.get_mut(&row.task) {
            if entry.run == row.run {
                if entry.confirm(now) {
                    self.note_run_seen(&row.task, row.run);
                    self.note_run_confirmed(&row.task);
                }
                self.save_checkpoint(&row.task, row.run, &row.checkpoint);
                self.note_started(id, now);
            }
            return;
        }
        let Some(job) = self.jobs.get(&id) else {
            return self.track_unknown(key, row, now);
        };
        let Some(index) = job.task_index(&row.task) else {
            return self.track_unknown(key, row, now);
        };
        let life = self.workers[key.0].entry.life.clone();
        let location = self.adopted_location(&job.tasks[index], life);
        let Some(job) = self.jobs.get_mut(&id) else { return };
        let step = job.step_index(&row.task.step).expect("every task belongs to a step");
        let need = job.step_spec(step).need;
        let long_running = job.step_spec(step).long_running;
        let is_over = job.is_over();
        let task: &mut ActiveTask = &mut job.tasks[index];
        task.progress.run = task.progress.run.max(row.run);
        let wanted = !is_over && !task.progress.done && matches!(task.phase, TaskPhase::Waiting(_));
        if wanted {
            task.phase = TaskPhase::Placed(key, row.run);
            task.location = location.filter(|_| long_running);
        }
        self.track_run(key, row, Some(need), now);
        self.note_run_seen(&row.task, row.run);
        match wanted {
            true => {
                self.report_adopted(key, row);
                self.note_run_confirmed(&row.task);
                self.save_checkpoint(&row.task, row.run, &row.checkpoint);
                self.note_started(id, now);
            }
            false => {
                self.report_unwanted(key, row, now);
                self.stop_run(key, row.task, row.run, "not wanted", now);
            }
        }
    }

    /// Tracks a run that a worker reported first, which occupies room from now on.
    fn track_run(
        &mut self,
        key: WorkerKey,
        row: &RunningRow,
        need: Option<ResourceSet>,
        now: Moment,
    ) {
        let run = WorkerRun {
            run: row.run,
            need,
            owner: self.jobs.get(&row.task.step.job).and_then(|job| job.owner),
            phase: RunPhase::Confirmed,
            listed_from: Some(now),
            start_expires: None,
            since: now,
            expected: None,
            overdue: false,
            alone: false,
            seen: true,
            long_running: self.is_long_running(&row.task),
            basis: RunBasis::UNKNOWN,
        };
        self.add_run(key, row.task, run);
    }

    fn is_long_running(&self, task: &CellTask) -> bool {
        let Some(job) = self.jobs.get(&task.step.job) else { return false };
        job.step_index(&task.step).is_some_and(|step| job.step_spec(step).long_running)
    }

    /// Tracks and stops a run of a job that is over and forgotten. Until it has ended the worker
    /// takes no work, since the run's need is not known.
    fn track_unknown(&mut self, key: WorkerKey, row: &RunningRow, now: Moment) {
        self.track_run(key, row, None, now);
        self.report_unwanted(key, row, now);
        self.stop_run(key, row.task, row.run, "unknown job", now);
    }

    fn save_checkpoint(&mut self, task: &CellTask, run: RunNumber, checkpoint: &str) {
        if checkpoint.is_empty() {
            return;
        }
        let Some(job) = self.jobs.get_mut(&task.step.job) else { return };
        let Some(index) = job.task_index(task) else { return };
        let active_task = &mut job.tasks[index];
        let progress = &mut active_task.progress;
        if progress.run == run && progress.checkpoint != checkpoint {
            progress.checkpoint = checkpoint.to_owned();
            active_task.preempted_run = active_task.preempted_run.filter(|stopped| run <= *stopped);
        }
    }

    /// Drops runs that a report does not list although it was asked for late enough to list them,
    /// and lists all ends.
    fn drop_unlisted(&mut self, key: WorkerKey, report: &HoldReport, sent: Moment, now: Moment) {
        let worker = &self.workers[key.0];
        let (acknowledged, ended) = (worker.acknowledged_to, report.ended.len());
        let cause_of = |run: &WorkerRun| match (run.listed_from, run.start_expires) {
            (Some(from), _) if sent > from => {
                let (asked, listed_from) = (now.since(sent), now.since(from));
                Some(LossCause::NotListed { asked, listed_from, acknowledged, ended })
            }
            (None, Some(until)) if run.has_expired(report.clock) => {
                Some(LossCause::StartExpired { until, clock: report.clock })
            }
            _ => None,
        };
        let listed = |task: &CellTask| report.running.iter().any(|row| row.task == *task);
        let gone: Vec<(CellTask, RunNumber, bool, LossCause)> = worker
            .runs
            .iter()
            .filter(|(task, _)| !listed(task))
            .filter_map(|(task, run)| Some((*task, run.run, run.seen, cause_of(run)?)))
            .collect();
        let life = worker.entry.life.clone();
        for (task, run, seen, cause) in gone {
            self.lose_run(key, task, run, &life, cause, now);
            match seen {
                true => self.resolve_run(&task, run),
                false => self.note_never_started(&task, run),
            }
        }
    }

    /// Drops the runs of workers that have been silent for longer than any lease.
    pub(super) fn expire_leases(&mut self, now: Moment) {
        for number in 0..self.workers.len() {
            let worker = &self.workers[number];
            if worker.dead || worker.runs.is_empty() {
                continue;
            }
            if let Some(since) = worker.replaced_at {
                self.expire_replaced_life(WorkerKey(number), since, now);
                continue;
            }
            if worker.silent_calls == 0 {
                continue;
            }
            let Some(reading) = worker.ended_lease_reading(now, &self.timing) else { continue };
            let ended_by_then =
                worker.ended_lease_reading(self.lead_confirmed_at, &self.timing).is_some();
            if ended_by_then || self.was_sole_lead_at(now) {
                self.lose_runs(WorkerKey(number), LossCause::LeaseEnded(reading), now);
            }
        }
    }
}
