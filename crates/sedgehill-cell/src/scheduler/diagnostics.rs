//! Events and status that show why a lead decided as it did. Nothing here affects decisions.

use sedgehill_core::units::Moment;

use super::*;

/// The most workers that one log line names.
const MAX_LISTED_WORKERS: usize = 5;

/// What a new lead has to wait for, known once it has read all records of earlier leads.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TakeOverStatus {
    /// Whether an earlier lead may give orders until its term ends.
    pub waits_for_term: bool,
    /// When everything that earlier leads may have started has certainly ended.
    pub settled_by: Moment,
    /// The number of jobs that are not over.
    pub jobs: usize,
    /// The number of jobs of which an earlier lead may have started tasks.
    pub earlier_jobs: usize,
}

impl Scheduler {
    /// Returns what this lead waits for until the take-over is settled.
    pub fn take_over_status(&self) -> TakeOverStatus {
        TakeOverStatus {
            waits_for_term: self.take_over.predecessor,
            settled_by: self.earlier_runs_end(),
            jobs: self.jobs.len(),
            earlier_jobs: self.jobs.values().filter(|job| job.unsettled_starts).count(),
        }
    }

    /// Reports that the take-over is about to be settled.
    pub(super) fn report_settled(&mut self, now: Moment) {
        let inherited = || self.workers.iter().filter(|worker| worker.inherited);
        let unheard = || inherited().filter(|worker| worker.may_have_unlisted_runs());
        let by = match unheard().next() {
            None => SettlementCause::Heard,
            Some(_) => SettlementCause::Time,
        };
        let settled = TakeOverSettled {
            by,
            after: now.since(self.take_over.since),
            heard: inherited().filter(|worker| !worker.dead && worker.reported_in_full).count(),
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

    /// Returns what settled the orders of earlier leads, for a job that one of them may have
    /// started.
    pub(super) fn settlement_of(&self, job: &ActiveJob) -> Option<SettlementCause> {
        if !job.started_by_earlier_lead {
            return None;
        }
        Some(self.take_over.settled_by.unwrap_or(SettlementCause::Nothing))
    }

    /// Reports a job with the start flag that appeared after this lead had read all earlier
    /// records.
    pub(super) fn report_led_elsewhere(&mut self, id: JobId, now: Moment) {
        let after = now.since(self.take_over.since);
        self.events.push(CellEvent::JobLedElsewhere { job: id, after });
    }

    /// Reports that a worker has more ends than it lists, and how many of the runs that it does not
    /// list are kept for that reason.
    pub(super) fn report_partial_list(&mut self, key: WorkerKey, report: &HoldReport) {
        let worker = &self.workers[key.0];
        let listed = |task: &CellTask| report.running.iter().any(|row| row.task == *task);
        let event = CellEvent::ReportPartial {
            worker: worker.entry.life.clone(),
            ended: report.ended.len(),
            acknowledged: worker.acknowledged_to,
            kept: worker.runs.keys().filter(|task| !listed(task)).count(),
        };
        self.events.push(event);
    }

    /// Reports that a worker answered for the first time, or again after a silence.
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
            // It gets work once it is in the roster.
            self.roster_changed |= !worker.in_roster;
        }
    }

    /// Reports that a run of an earlier lead was taken over.
    pub(super) fn report_adopted(&mut self, key: WorkerKey, row: &RunningRow) {
        let worker = self.workers[key.0].entry.life.clone();
        self.events.push(CellEvent::RunAdopted { task: row.task, run: row.run, worker });
    }

    /// Reports that a worker listed a run that is not wanted.
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
            // A waiting task of a job that goes on would have taken the run over.
            TaskPhase::Waiting(_) if job.cancelled => KnownTaskState::JobOver(JobState::Cancelled),
            TaskPhase::Waiting(_) => KnownTaskState::JobOver(job.state),
        }
    }

    /// Reports that a life is considered ended, since another one answered.
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

    /// Reports the first worker that refused this lead because of a later one.
    pub(super) fn report_fenced_out(&mut self, key: WorkerKey, call: WorkerCall) {
        if !self.fenced_out {
            let worker = self.workers[key.0].entry.life.clone();
            self.events.push(CellEvent::FencedByWorker { worker, call });
        }
    }

    /// Reports a change of a worker's state.
    pub(super) fn report_worker_change(&mut self, key: WorkerKey, change: &'static str) {
        let entry = &self.workers[key.0].entry;
        let (worker, address) = (entry.life.clone(), entry.address);
        self.events.push(CellEvent::WorkerChanged { worker, change, address });
    }
}
