//! Decides when a new lead may start tasks that an earlier lead may have started.

use sedgehill_core::units::{Moment, TimeSpan};

use super::active_job::ActiveTask;
use super::*;

/// A worker's clock may be slow against this box's, and this box's clock may be slow itself, so
/// drift counts twice.
const DRIFTING_CLOCKS: u64 = 2;

impl Scheduler {
    /// Notes that the store refuses earlier leads from now on. Until now an earlier lead may have
    /// been told that it was not refused, so its term is counted from here.
    pub fn note_fenced(&mut self, now: Moment) {
        self.take_over.since = now;
        self.take_over.fenced = true;
    }

    /// Notes that all jobs recorded by earlier leads have been added. If a job with the start flag
    /// appears later, a later lead has set the flag, unless this lead recorded it.
    pub fn note_caught_up(&mut self) {
        self.take_over.caught_up = true;
    }

    /// Whether no earlier lead can give orders any more.
    pub fn is_sole_lead(&self, now: Moment) -> bool {
        !self.take_over.predecessor || (self.take_over.fenced && now >= self.earlier_orders_end())
    }

    /// Returns when the term of any earlier lead has certainly ended, even if its clock is slower
    /// than this box's.
    fn earlier_orders_end(&self) -> Moment {
        let term = match self.take_over.predecessor {
            true => self.timing.authority_term,
            false => TimeSpan(0),
        };
        self.take_over.since.after(term).after(self.drift_of(term))
    }

    pub(super) fn drift_of(&self, span: TimeSpan) -> TimeSpan {
        TimeSpan(span.0 * self.timing.clock_drift_permille / 1000)
    }

    /// Returns when everything that earlier leads may have started has certainly ended.
    pub(super) fn earlier_runs_end(&self) -> Moment {
        let lease = self.timing.max_lease;
        let drift = TimeSpan(DRIFTING_CLOCKS * self.drift_of(lease).0);
        self.earlier_orders_end().after(lease).after(drift).after(self.timing.lease_end_margin)
    }

    /// Whether everything that earlier leads may have started has certainly ended, and no worker has
    /// ends left to list.
    fn earlier_runs_have_ended(&mut self, now: Moment) -> bool {
        let runs_end = self.earlier_runs_end();
        if now < runs_end || !self.was_sole_lead_at(runs_end) {
            return false;
        }
        let has_ends_to_list = |worker: &WorkerState| {
            worker.may_have_unlisted_runs() && worker.has_ends_to_list(now, &self.timing)
        };
        !self.workers.iter().any(has_ends_to_list)
    }

    /// Settles the take-over if possible, which allows tasks of inherited jobs to start.
    pub(super) fn settle_take_over(&mut self, now: Moment) {
        if self.take_over.settled || self.workers_listed_at.is_none() {
            return;
        }
        // Nothing was started on workers that are in no roster.
        let unheard = self.workers.iter().any(WorkerState::may_have_unlisted_runs);
        if !unheard || self.earlier_runs_have_ended(now) {
            self.report_settled(now);
            self.take_over.settled = true;
            let lost = |worker: &WorkerState| {
                worker.inherited && (worker.dead || !worker.reported_in_full)
            };
            self.take_over.lost_workers = self.workers.iter().any(lost);
            let ids: Vec<JobId> = self.jobs.keys().copied().collect();
            for id in ids {
                self.note_possible_crashes(id, now);
                self.find_lost_restarts(id);
                self.settle_locations(id);
                if let Some(job) = self.jobs.get_mut(&id) {
                    job.unsettled_starts = false;
                }
                self.stop_partial_gangs(id, now);
                if self.jobs.get(&id).is_some_and(|job| job.cancelled && !job.state.is_final()) {
                    self.finish_if_over(id, now);
                }
            }
        }
    }

    /// Stops gangs of which only some members run, as the earlier lead may have been lost while it
    /// started them.
    fn stop_partial_gangs(&mut self, id: JobId, now: Moment) {
        let Some(job) = self.jobs.get(&id) else { return };
        let mut partial = Vec::new();
        for (number, step) in job.steps.iter().enumerate() {
            let tasks = job.step_tasks(number);
            let waits = |task: &ActiveTask| matches!(task.phase, TaskPhase::Waiting(_));
            if job.step_spec(number).gang && step.unfinished > 0 && tasks.iter().any(waits) {
                partial.push(step.id);
            }
        }
        for (task, worker, run) in job.placed() {
            if partial.contains(&task.step) {
                self.stop_run(worker, task, run, "gang not whole", now);
            }
        }
    }
}
