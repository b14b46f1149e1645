//! What tells from outside why a lead decided as it did. Nothing here decides.

use sedgehill_core::units::Moment;

use super::*;

/// Names of workers in one line.
const MAX_LISTED_WORKERS: usize = 5;

/// What a new lead goes by, once it has caught up.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TakeOverStatus {
    /// Whether an earlier lead may give orders until its term ends.
    pub waits_for_term: bool,
    /// When whatever earlier leads may have ordered has surely ended.
    pub settled_by: Moment,
    /// Jobs that are not over.
    pub jobs: usize,
    /// Those of which an earlier lead may have started tasks.
    pub earlier_jobs: usize,
}

impl Scheduler {
    /// What this lead goes by until it has settled what earlier leads did.
    pub fn take_over_status(&self) -> TakeOverStatus {
        TakeOverStatus {
            waits_for_term: self.take_over.predecessor,
            settled_by: self.earlier_runs_end(),
            jobs: self.jobs.len(),
            earlier_jobs: self.jobs.values().filter(|job| job.unsettled_starts).count(),
        }
    }

    /// The take-over is about to be settled.
    pub(super) fn report_settled(&mut self, now: Moment) {
        let inherited = || self.workers.iter().filter(|worker| worker.inherited);
        let unheard = || inherited().filter(|worker| !worker.dead && !worker.fenced);
        let by = match unheard().next() {
            None => SettlementCause::Heard,
            Some(_) => SettlementCause::Time,
        };
        let settled = TakeOverSettled {
            by,
            after: now.since(self.take_over.since),
            heard: inherited().filter(|worker| !worker.dead && worker.fenced).count(),
            ended: inherited().filter(|worker| worker.dead).count(),
            unheard: unheard().count(),
            unheard_some: unheard()
                .take(MAX_LISTED_WORKERS)
                .map(|worker| worker.entry.life.clone())
                .collect(),
            jobs: self.jobs.values().filter(|job| job.unsettled_starts).count(),
        };
        self.take_over.settled_by = Some(by);
        self.events.push(CellEvent::TakeOverSettled(settled));
    }

    /// What settled the orders of earlier leads for a job that one of them may have begun.
    pub(super) fn settlement_of(&self, job: &ActiveJob) -> Option<SettlementCause> {
        if !job.started_by_earlier_lead {
            return None;
        }
        Some(self.take_over.settled_by.unwrap_or(SettlementCause::Nothing))
    }

    /// A job with a mark became known after this lead had caught up.
    pub(super) fn report_led_elsewhere(&mut self, id: JobId, now: Moment) {
        let after = now.since(self.take_over.since);
        self.events.push(CellEvent::JobLedElsewhere { job: id, after });
    }

    /// A worker answered, maybe for the first time or after a silence.
    pub(super) fn report_contact(&mut self, key: WorkerKey, report: &HoldReport, now: Moment) {
        let worker = &self.workers[key.0];
        if worker.fenced && worker.silent_calls > 0 {
            self.report_worker_change(key, "answers");
        } else if !worker.fenced {
            let event = CellEvent::WorkerHeard {
                worker: worker.entry.life.clone(),
                inherited: worker.inherited,
                running: report.running.len(),
                ended: report.ended.len(),
                clock: report.clock,
                lease_until: worker.assumed_lease(report.clock, &self.timing),
                after: now.since(self.take_over.since),
            };
            self.events.push(event);
            // It gets work once it stands there.
            self.roster_changed |= !worker.in_roster;
        }
    }

    /// A run of an earlier lead is taken over.
    pub(super) fn report_adopted(&mut self, key: WorkerKey, row: &RunningRow) {
        let worker = self.workers[key.0].entry.life.clone();
        self.events.push(CellEvent::RunAdopted { task: row.task, run: row.run, worker });
    }

    /// A run is listed that is not wanted.
    pub(super) fn report_unwanted(&mut self, key: WorkerKey, row: &RunningRow, now: Moment) {
        let worker = self.workers[key.0].entry.life.clone();
        let known_state = self.known_state_of(&row.task, now);
        self.events.push(CellEvent::RunUnwanted {
            task: row.task,
            run: row.run,
            worker,
            known_state,
        });
    }

    fn known_state_of(&self, task: &CellTask, now: Moment) -> KnownTaskState {
        let Some(job) = self.jobs.get(&task.step.job) else { return KnownTaskState::Unknown };
        let Some(index) = job.task_index(task) else { return KnownTaskState::Unknown };
        let active_task = &job.tasks[index];
        match active_task.phase {
            _ if active_task.progress.done => KnownTaskState::Done,
            TaskPhase::Placed(key, run) => {
                let other = &self.workers[key.0];
                let answered = other.last_answer_at.map(|at| now.since(at));
                KnownTaskState::Placed { run, worker: other.entry.life.clone(), answered }
            }
            // It waits and could be taken over, but for its job.
            TaskPhase::Waiting(_) if job.cancelled => KnownTaskState::JobOver(JobState::Cancelled),
            TaskPhase::Waiting(_) => KnownTaskState::JobOver(job.state),
        }
    }

    /// A life has ended, by the answer of another one.
    pub(super) fn report_worker_ended(&mut self, key: WorkerKey, call: WorkerCall, now: Moment) {
        let worker = &self.workers[key.0];
        let event = CellEvent::WorkerEnded {
            worker: worker.entry.life.clone(),
            address: worker.entry.address,
            call,
            runs: worker.runs.len(),
            silent: worker.last_answer_at.map(|at| now.since(at)),
        };
        self.events.push(event);
    }

    /// A worker says that a later lead exists; the first one is told of.
    pub(super) fn report_fenced_out(&mut self, key: WorkerKey, call: WorkerCall) {
        if !self.fenced_out {
            let worker = self.workers[key.0].entry.life.clone();
            self.events.push(CellEvent::FencedByWorker { worker, call });
        }
    }

    /// A worker's standing changed.
    pub(super) fn report_worker_change(&mut self, key: WorkerKey, change: &'static str) {
        let entry = &self.workers[key.0].entry;
        let (worker, address) = (entry.life.clone(), entry.address);
        self.events.push(CellEvent::WorkerChanged { worker, change, address });
    }
}
