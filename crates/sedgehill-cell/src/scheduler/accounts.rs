//! What workers say: entries in the store, accounts of runs and ends, answers to orders.

use sedgehill_core::units::{Moment, ResourceSet};

use super::work::TaskWork;
use super::worker::WorkerRun;
use super::*;

impl Scheduler {
    /// Takes in what the store lists. Returns the workers that nobody asks for accounts yet.
    pub fn update_workers(&mut self, entries: Vec<WorkerEntry>, now: Moment) -> Vec<WorkerKey> {
        let mut listed = BTreeSet::new();
        for entry in entries {
            let draining = entry.draining;
            let key = self.know_worker(entry, now);
            self.workers[key.0].entry.draining |= draining;
            listed.insert(key);
        }
        for (number, worker) in self.workers.iter_mut().enumerate() {
            let is_listed = listed.contains(&WorkerKey(number));
            if worker.listed && !is_listed {
                worker.unlisted_since = now;
            }
            worker.listed = is_listed;
        }
        self.surveyed = true;
        // A later lead should not have to wait for workers that have left.
        let left = |worker: &WorkerState| worker.rostered && !self.belongs_to_roster(worker, now);
        let missing = |worker: &WorkerState| !worker.rostered && worker.listed && !worker.dead;
        if self.workers.iter().any(|worker| left(worker) || missing(worker)) {
            self.roster_changed = true;
        }
        self.unwatched()
    }

    /// Takes in the workers on which an earlier lead may have started something. Returns the workers
    /// that nobody asks for accounts yet.
    pub fn add_roster(&mut self, roster: &WorkerRoster, now: Moment) -> Vec<WorkerKey> {
        for entry in &roster.0 {
            let key = self.know_worker(entry.clone(), now);
            self.workers[key.0].rostered = true;
        }
        self.unwatched()
    }

    fn know_worker(&mut self, entry: WorkerEntry, now: Moment) -> WorkerKey {
        if let Some(key) = self.lives.get(&entry.life) {
            return *key;
        }
        let key = WorkerKey(self.workers.len());
        self.bury_predecessors(&entry, now);
        self.lives.insert(entry.life.clone(), key);
        self.note_worker(&entry.life, "listed");
        self.workers.push(WorkerState::new(entry, now));
        key
    }

    fn unwatched(&mut self) -> Vec<WorkerKey> {
        let keys = (0..self.workers.len()).map(WorkerKey);
        let keys: Vec<WorkerKey> =
            keys.filter(|key| !self.workers[key.0].watched && self.is_watched(*key)).collect();
        for key in &keys {
            self.workers[key.0].watched = true;
        }
        keys
    }

    /// Nobody asks a worker for accounts any more.
    pub fn unwatch(&mut self, key: WorkerKey) {
        self.workers[key.0].watched = false;
    }

    /// Whether a worker may be given work, or may run something.
    fn belongs_to_roster(&self, worker: &WorkerState, now: Moment) -> bool {
        let unsettled = !worker.fenced && !self.take_over.settled;
        let listed = worker.is_listed(now, &self.timing);
        !worker.dead && (listed || unsettled || !worker.runs.is_empty())
    }

    /// The workers that are to stand in the roster. The others get no work from now on.
    pub(super) fn next_roster(&mut self, now: Moment) -> WorkerRoster {
        let mut entries = Vec::new();
        for number in 0..self.workers.len() {
            match self.belongs_to_roster(&self.workers[number], now) {
                true => entries.push(self.workers[number].entry.clone()),
                false => self.workers[number].rostered = false,
            }
        }
        WorkerRoster(entries)
    }

    /// A new life at an address means that the life before it has ended.
    fn bury_predecessors(&mut self, entry: &WorkerEntry, now: Moment) {
        for number in 0..self.workers.len() {
            let worker = &self.workers[number];
            if !worker.dead && worker.entry.address == entry.address {
                self.bury(WorkerKey(number), now);
            }
        }
    }

    /// Whether a worker's daemon task should go on asking it for accounts.
    pub fn is_watched(&self, key: WorkerKey) -> bool {
        let worker = &self.workers[key.0];
        !worker.dead && (worker.listed || !worker.runs.is_empty() || !worker.fenced)
    }

    /// A life has surely ended: nothing runs there any more.
    pub fn bury(&mut self, key: WorkerKey, now: Moment) {
        self.workers[key.0].dead = true;
        let life = self.workers[key.0].entry.life.clone();
        self.note_worker(&life, "ended");
        self.lose_runs(key, "worker ended", now);
    }

    fn note_worker(&mut self, life: &WorkerLife, change: &'static str) {
        self.events.push(CellEvent::Worker { worker: life.clone(), change });
    }

    fn lose_runs(&mut self, key: WorkerKey, reason: &'static str, now: Moment) {
        let worker = &mut self.workers[key.0];
        let life = worker.entry.life.clone();
        let runs: Vec<(CellTask, RunNumber)> =
            worker.runs.iter().map(|(task, run)| (*task, run.run)).collect();
        for (task, run) in runs {
            self.lose_run(key, task, run, &life, reason, now);
        }
    }

    fn lose_run(
        &mut self,
        key: WorkerKey,
        task: CellTask,
        run: RunNumber,
        life: &WorkerLife,
        reason: &'static str,
        now: Moment,
    ) {
        self.workers[key.0].remove_run(&task);
        self.events.push(CellEvent::RunLost { task, run, worker: life.clone(), reason });
        self.release_task(&task, run, now, None);
        self.after_run(&task, now);
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
        let wait = match lease_until {
            Some(_) => self.timing.hold_wait,
            None => TimeSpan(0),
        };
        HoldOrder { lease_until, acknowledged: worker.acknowledged(recorded), wait }
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
            WorkerAnswer::NotDone(refusal) => self.note_refusal(key, refusal, now),
            WorkerAnswer::Unknown => self.note_silence(key, now),
        }
    }

    fn note_silence(&mut self, key: WorkerKey, now: Moment) {
        let worker = &mut self.workers[key.0];
        worker.silent_calls += 1;
        worker.avoid_until = worker.avoid_until.max(now.after(self.timing.worker_backoff));
        if worker.silent_calls == 1 {
            let life = worker.entry.life.clone();
            self.note_worker(&life, "silent");
        }
    }

    fn note_refusal(&mut self, key: WorkerKey, refusal: WorkerRefusal, now: Moment) {
        match refusal {
            WorkerRefusal::Fenced => self.fenced_out = true,
            WorkerRefusal::OtherLife => self.bury(key, now),
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

    fn take_account(&mut self, key: WorkerKey, report: HoldReport, sent: Moment, now: Moment) {
        let worker = &mut self.workers[key.0];
        if worker.dead {
            return;
        }
        if !worker.fenced || worker.silent_calls > 0 {
            let life = worker.entry.life.clone();
            self.events.push(CellEvent::Worker { worker: life, change: "answers" });
        }
        let worker = &mut self.workers[key.0];
        worker.note_answer(Some(report.clock), now, &self.timing);
        for end in &report.ended {
            if self.workers[key.0].is_new_end(end.number) {
                let needs_record = self.take_end(key, end, now);
                let batch = if needs_record { self.next_batch } else { 0 };
                self.workers[key.0].await_record(end.number, batch);
            }
        }
        for row in &report.running {
            self.take_running(key, row, now);
        }
        self.drop_unlisted(key, &report, sent, now);
    }

    /// Takes in a row of a run.
    fn take_running(&mut self, key: WorkerKey, row: &RunningRow, now: Moment) {
        let job = row.task.step.job;
        if let Some(entry) = self.workers[key.0].runs.get_mut(&row.task) {
            if entry.run == row.run {
                if entry.phase == RunPhase::Ordered {
                    entry.phase = RunPhase::Confirmed;
                    entry.listed_from = Some(now);
                }
                self.note_checkpoint(&row.task, row.run, &row.checkpoint);
                self.note_begun(job, now);
            }
            return;
        }
        let Some(work) = self.jobs.get_mut(&job) else {
            return self.adopt_foreign(key, row, now);
        };
        let Some(index) = work.task_index(&row.task) else {
            return self.adopt_foreign(key, row, now);
        };
        let step = work.step_index(&row.task.step).expect("a task that exists has a step");
        let need = work.step_spec(step).need;
        let over = work.is_over();
        let task: &mut TaskWork = &mut work.tasks[index];
        task.kept.run = task.kept.run.max(row.run);
        let wanted = !over && !task.kept.done && matches!(task.phase, TaskPhase::Waiting(_));
        if wanted {
            task.phase = TaskPhase::Placed(key, row.run);
        }
        self.adopt(key, row, Some(need), now);
        match wanted {
            true => {
                self.note_checkpoint(&row.task, row.run, &row.checkpoint);
                self.note_begun(job, now);
            }
            false => self.stop_run(key, row.task, row.run, "not wanted", now),
        }
    }

    fn adopt(&mut self, key: WorkerKey, row: &RunningRow, need: Option<ResourceSet>, now: Moment) {
        let run = WorkerRun {
            run: row.run,
            need,
            phase: RunPhase::Confirmed,
            listed_from: Some(now),
            since: now,
            expected: None,
            overdue: false,
        };
        self.workers[key.0].add_run(row.task, run);
    }

    /// A run of a job that is over and forgotten: it is stopped, and until it is gone the worker
    /// takes no work, since its need is not known.
    fn adopt_foreign(&mut self, key: WorkerKey, row: &RunningRow, now: Moment) {
        self.adopt(key, row, None, now);
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
        let gone: Vec<(CellTask, RunNumber)> = worker
            .runs
            .iter()
            .filter(|(task, run)| run.listed_from.is_some_and(|from| sent > from) && !listed(task))
            .map(|(task, run)| (*task, run.run))
            .collect();
        let life = worker.entry.life.clone();
        for (task, run) in gone {
            self.lose_run(key, task, run, &life, "not listed", now);
        }
    }

    /// Takes in an end. Returns whether it changed what is kept of its job.
    fn take_end(&mut self, key: WorkerKey, row: &EndRow, now: Moment) -> bool {
        let worker = &mut self.workers[key.0];
        let life = worker.entry.life.clone();
        if worker.runs.get(&row.task).is_some_and(|run| run.run == row.run) {
            let run = worker.remove_run(&row.task);
            if let (Some(run), RunEnd::Done) = (run, row.end) {
                self.learn_pace(key, &row.task, &run, now);
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
        match row.end {
            RunEnd::Done => self.take_done(&row.task, now),
            RunEnd::Failed => self.take_failed(key, row, now),
            RunEnd::Stopped | RunEnd::Lapsed | RunEnd::Broken | RunEnd::Alone => {
                self.release_task(&row.task, row.run, now, Some(&row.checkpoint));
            }
        }
        self.dirty.insert(id);
        self.after_run(&row.task, now);
        true
    }

    fn take_done(&mut self, task: &CellTask, now: Moment) {
        let Some(job) = self.jobs.get_mut(&task.step.job) else { return };
        let Some(step) = job.step_index(&task.step) else { return };
        let spec = job.step_spec(step);
        if spec.long_running {
            let run = job.tasks[job.steps[step].first + usize::from(task.index)].kept.run;
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
        let work = &mut job.tasks[index];
        if work.kept.done {
            return;
        }
        work.kept.done = true;
        work.kept.checkpoint.clear();
        let phase = std::mem::replace(&mut work.phase, TaskPhase::Waiting(now));
        job.steps[step].left -= 1;
        if let TaskPhase::Placed(worker, run) = phase
            && !gang
        {
            // Another run of a task that is done; a gang's members end by themselves.
            self.stop_run(worker, *task, run, "done elsewhere", now);
        }
    }

    fn take_failed(&mut self, key: WorkerKey, row: &EndRow, now: Moment) {
        self.note_bad_sign(key, "fails what it runs", now);
        let Some(job) = self.jobs.get_mut(&row.task.step.job) else { return };
        let (Some(step), Some(index)) = (job.step_index(&row.task.step), job.task_index(&row.task))
        else {
            return;
        };
        let spec = job.step_spec(step);
        let (gang, lasts) = (spec.gang, spec.long_running);
        // A failed run of a gang counts once, at its first task.
        let counted = match gang {
            true => job.steps[step].first,
            false => index,
        };
        job.tasks[index].failed_at = Some(key);
        let kept = &mut job.tasks[counted].kept;
        if !lasts && !kept.failed_runs.contains(&row.run) {
            kept.failed_runs.push(row.run);
        }
        let hopeless = kept.failed_runs.len() >= job.record.policy.max_attempts as usize;
        if hopeless && !job.tasks[index].kept.done && !job.state.is_final() {
            job.state = JobState::Failed;
            for (task, worker, run) in job.placed() {
                if task != row.task {
                    self.stop_run(worker, task, run, "job failed", now);
                }
            }
        }
        self.release_task(&row.task, row.run, now, Some(&row.checkpoint));
    }

    pub(super) fn note_bad_sign(&mut self, key: WorkerKey, change: &'static str, now: Moment) {
        let worker = &mut self.workers[key.0];
        if worker.note_bad_sign(now, &self.timing) {
            let life = worker.entry.life.clone();
            self.note_worker(&life, change);
        }
    }

    /// Looks at a job after one of its runs ended.
    fn after_run(&mut self, task: &CellTask, now: Moment) {
        self.finish_if_over(task.step.job, now);
    }

    /// Takes in what came of a start that was sent at `sent`.
    pub fn start_answered(
        &mut self,
        order: &StartOrder,
        answer: WorkerAnswer<WorkerTime>,
        now: Moment,
    ) {
        let (key, task, run) = (order.worker, order.task, order.run);
        let timing = self.timing.clone();
        if let WorkerAnswer::Done(clock) = answer {
            self.workers[key.0].note_answer(Some(clock), now, &timing);
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
                self.note_refusal(key, refusal, now);
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
        if entry.phase == RunPhase::Ordered {
            entry.phase = RunPhase::Confirmed;
            entry.listed_from = Some(now);
        }
        self.note_begun(task.step.job, now);
    }

    /// A start was surely not done: the task is free again.
    fn withdraw_start(
        &mut self,
        key: WorkerKey,
        task: &CellTask,
        run: RunNumber,
        refusal: WorkerRefusal,
        now: Moment,
    ) {
        let worker = &mut self.workers[key.0];
        if worker.runs.get(task).is_some_and(|entry| entry.run == run) {
            worker.remove_run(task);
        }
        self.release_task(task, run, now.after(self.timing.start_backoff), None);
        if refusal == WorkerRefusal::Ticket
            && let Some(job) = self.jobs.get_mut(&task.step.job)
            && let Some(step) = job.step_index(&task.step)
        {
            let life = self.workers[key.0].entry.life.clone();
            job.steps[step].advice.known.remove(&life);
        }
        self.finish_if_over(task.step.job, now);
    }

    /// A gang that cannot become whole is stopped, so that it holds no room in vain.
    fn abort_gang(&mut self, task: &CellTask, run: RunNumber, now: Moment) {
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

    /// Takes in what came of a stop.
    pub fn stop_answered(
        &mut self,
        order: &StopOrder,
        answer: WorkerAnswer<WorkerTime>,
        now: Moment,
    ) {
        let timing = self.timing.clone();
        let key = order.worker;
        match answer {
            WorkerAnswer::Done(clock) => {
                self.workers[key.0].note_answer(Some(clock), now, &timing);
                let runs = &mut self.workers[key.0].runs;
                if let Some(entry) =
                    runs.get_mut(&order.task).filter(|entry| entry.run == order.run)
                {
                    entry.phase = RunPhase::Stopped;
                    entry.listed_from = Some(now.after(timing.stop).after(timing.lapse_margin));
                }
            }
            WorkerAnswer::NotDone(refusal) => self.note_refusal(key, refusal, now),
            WorkerAnswer::Unknown => self.note_silence(key, now),
        }
    }

    /// The runs of a worker that has been silent for longer than any lease have ended.
    pub(super) fn expire_leases(&mut self, now: Moment) {
        for number in 0..self.workers.len() {
            let worker = &self.workers[number];
            if worker.dead || worker.runs.is_empty() || worker.silent_calls == 0 {
                continue;
            }
            if worker.surely_lapsed(now, &self.timing) {
                self.lose_runs(WorkerKey(number), "lease ended", now);
            }
        }
    }

    /// Lifts what a new lead has to wait for, once it is settled.
    pub(super) fn settle_take_over(&mut self, now: Moment) {
        if self.take_over.settled || !self.surveyed {
            return;
        }
        let since = self.take_over.since;
        let unheard = self.workers.iter().any(|worker| !worker.dead && !worker.fenced);
        let term = match self.take_over.predecessor {
            true => self.timing.authority_term,
            false => TimeSpan(0),
        };
        let lease = self.timing.lease_most;
        let drift = TimeSpan(lease.0 * self.timing.clock_drift_permille / 1000 + lease.0 / 50);
        let orders_end = since.after(term);
        let runs_end = orders_end.after(lease).after(drift).after(self.timing.lapse_margin);
        if !unheard || now >= runs_end {
            self.take_over.settled = true;
            for job in self.jobs.values_mut() {
                job.foreign_orders = false;
            }
            let ids: Vec<JobId> = self.jobs.keys().copied().collect();
            for id in ids {
                self.stop_broken_gangs(id, now);
            }
        }
    }

    /// An earlier lead may have been lost while it started a gang.
    fn stop_broken_gangs(&mut self, id: JobId, now: Moment) {
        let Some(job) = self.jobs.get(&id) else { return };
        let mut broken = Vec::new();
        for (number, step) in job.steps.iter().enumerate() {
            let tasks = job.step_tasks(number);
            let waits = |task: &TaskWork| matches!(task.phase, TaskPhase::Waiting(_));
            if job.step_spec(number).gang && step.left > 0 && tasks.iter().any(waits) {
                broken.push(step.id);
            }
        }
        for (task, worker, run) in job.placed() {
            if broken.contains(&task.step) {
                self.stop_run(worker, task, run, "gang not whole", now);
            }
        }
    }
}
