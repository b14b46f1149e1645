//! Processes workers' answers to starts and stops, and what refusals and silence say about a
//! worker.

use sedgehill_core::units::Moment;

use super::*;

impl Scheduler {
    fn note_order_answer(&mut self, key: WorkerKey, clock: WorkerTime, now: Moment) {
        self.call_losses.note(true);
        self.workers[key.0].note_order_answer(clock, now, &self.timing);
    }

    /// Notes whether a worker answered an order. A report proves nothing of that: it may arrive on
    /// another connection.
    fn note_order_outcome(
        &mut self,
        key: WorkerKey,
        answer: &WorkerAnswer<WorkerTime>,
        now: Moment,
    ) {
        let worker = &mut self.workers[key.0];
        match answer {
            WorkerAnswer::Unknown | WorkerAnswer::NotDone(WorkerRefusal::Unreached) => {
                worker.note_unanswered_order(now, &self.timing);
            }
            WorkerAnswer::NotDone(WorkerRefusal::Withheld) => {}
            WorkerAnswer::Done(_) | WorkerAnswer::NotDone(_) => worker.unanswered_orders = 0,
        }
    }

    /// Notes that a worker left a call unanswered.
    pub(super) fn note_silence(&mut self, key: WorkerKey, now: Moment) {
        let worker = &mut self.workers[key.0];
        if worker.is_over() {
            return;
        }
        if worker.silent_calls == 0 {
            // Only the first unanswered call counts: further calls to an unreachable worker say
            // nothing about the others.
            self.call_losses.note(false);
        }
        worker.silent_calls += 1;
        worker.silent_since.get_or_insert(now);
        worker.avoid_until = worker.avoid_until.max(now.after(self.timing.worker_backoff));
        if worker.silent_calls == 1 {
            self.report_worker_change(key, "silent");
        }
    }

    /// Notes that a worker refused a call, or that the call was certainly not carried out.
    pub(super) fn note_refusal(
        &mut self,
        key: WorkerKey,
        call: WorkerCall,
        refusal: WorkerRefusal,
        now: Moment,
    ) {
        // A later life also refuses the token of an earlier one.
        if self.workers[key.0].is_over() {
            return;
        }
        match refusal {
            // A worker that no lead of this cell is known to have called may belong to another system.
            WorkerRefusal::Fenced if self.never_answered(key) => {
                self.workers[key.0].refuses_token = true;
                self.report_worker_change(key, "refuses the token");
            }
            WorkerRefusal::Fenced => {
                self.report_fenced_out(key, call);
                self.fenced_out = true;
            }
            WorkerRefusal::OtherLife => self.note_other_life(key, call, now),
            WorkerRefusal::Unreached => self.note_silence(key, now),
            WorkerRefusal::Unhealthy | WorkerRefusal::NoRoom | WorkerRefusal::Malformed => {
                let worker = &mut self.workers[key.0];
                worker.avoid_until = worker.avoid_until.max(now.after(self.timing.worker_backoff));
            }
            WorkerRefusal::OldRun
            | WorkerRefusal::Late
            | WorkerRefusal::Ticket
            | WorkerRefusal::Withheld => {}
        }
    }

    /// Counts a fault against a worker, which may suspend it.
    pub(super) fn note_fault(&mut self, key: WorkerKey, change: &'static str, now: Moment) {
        let worker = &mut self.workers[key.0];
        if worker.note_fault(now, &self.timing) {
            self.report_worker_change(key, change);
        }
    }

    /// Processes the result of a start order.
    pub fn start_answered(
        &mut self,
        order: &StartOrder,
        answer: WorkerAnswer<WorkerTime>,
        now: Moment,
    ) {
        let (key, task, run) = (order.worker, order.task, order.run);
        self.workers[key.0].start_activity_at = now;
        self.note_order_outcome(key, &answer, now);
        if let WorkerAnswer::Done(clock) = answer {
            self.note_order_answer(key, clock, now);
            self.confirm_start(key, &task, run, now);
            return;
        }
        let refusal = match answer {
            WorkerAnswer::NotDone(refusal) => Some(refusal),
            _ => None,
        };
        let life = self.workers[key.0].entry.life.clone();
        self.events.push(CellEvent::StartFailed { task, run, worker: life, refusal });
        match refusal {
            None => {
                self.note_silence(key, now);
                self.stop_run(key, task, run, "start not answered", now);
            }
            Some(refusal) => {
                self.note_refusal(key, WorkerCall::Start, refusal, now);
                self.withdraw_start(key, &task, run, refusal, now);
            }
        }
        self.abort_gang(&task, run, now);
    }

    fn confirm_start(&mut self, key: WorkerKey, task: &CellTask, run: RunNumber, now: Moment) {
        let Some(entry) = self.workers[key.0].runs.get_mut(task).filter(|entry| entry.run == run)
        else {
            return;
        };
        entry.confirm(now);
        self.note_run_seen(task, run);
        self.note_run_confirmed(task);
        self.note_started(task.step.job, now);
    }

    /// Returns a task whose start was certainly not carried out to the waiting tasks.
    fn withdraw_start(
        &mut self,
        key: WorkerKey,
        task: &CellTask,
        run: RunNumber,
        refusal: WorkerRefusal,
        now: Moment,
    ) {
        if self.workers[key.0].has_run(task, run) {
            self.remove_run(key, task);
        }
        self.release_task(task, run, now.after(self.timing.start_backoff), None);
        self.note_never_started(task, run);
        if refusal == WorkerRefusal::Ticket
            && let Some(job) = self.jobs.get_mut(&task.step.job)
            && let Some(step) = job.step_index(&task.step)
        {
            job.steps[step].advice.known.remove(&key);
        }
        self.finish_if_over(task.step.job, now);
    }

    /// Stops the other members of a gang that cannot be complete, so that they do not occupy room
    /// in vain.
    pub(super) fn abort_gang(&mut self, task: &CellTask, run: RunNumber, now: Moment) {
        let Some(job) = self.jobs.get(&task.step.job) else { return };
        let Some(step) = job.step_index(&task.step) else { return };
        if !job.step_spec(step).gang {
            return;
        }
        let members: Vec<(CellTask, WorkerKey, RunNumber)> = job
            .placed()
            .into_iter()
            .filter(|(member, _, placed)| member.step == task.step && *placed == run)
            .collect();
        for (member, worker, run) in members {
            self.stop_run(worker, member, run, "gang not whole", now);
        }
    }

    /// Processes the result of a stop order.
    pub fn stop_answered(
        &mut self,
        order: &StopOrder,
        answer: WorkerAnswer<WorkerTime>,
        now: Moment,
    ) {
        let key = order.worker;
        self.note_order_outcome(key, &answer, now);
        match answer {
            WorkerAnswer::Done(clock) => {
                self.note_order_answer(key, clock, now);
                let runs = &mut self.workers[key.0].runs;
                if let Some(entry) =
                    runs.get_mut(&order.task).filter(|entry| entry.run == order.run)
                {
                    entry.phase = RunPhase::Stopped;
                    // From now on the worker refuses the run if it has not started, and otherwise
                    // lists it until it ends.
                    entry.listed_from = Some(now);
                }
            }
            WorkerAnswer::NotDone(refusal) => {
                self.note_refusal(key, WorkerCall::Stop, refusal, now);
            }
            WorkerAnswer::Unknown => self.note_silence(key, now),
        }
    }
}
