//! Makes room for urgent work by stopping less urgent work that saves its state.
//!
//! A step that only few workers may run usually finds all of them full, while less urgent work
//! there could run later or elsewhere and still meet its objective. Stopped work resumes from its
//! saved state. The freed room is reserved for the step, since other steps would take it.

use std::cmp::Reverse;

use sedgehill_core::units::{Moment, ResourceSet, TimeSpan};

use super::rank::latest_start;
use super::room::Candidate;
use super::worker_run::WorkerRun;
use super::*;
use crate::ids::StepId;
use crate::job::StepSpec;

/// A job is displaced only if it could restart this much later and still meet its objective: it
/// needs a new ticket and room, and has to restore its saved state.
pub(super) const MIN_DISPLACED_SLACK: TimeSpan = TimeSpan(3_000);
/// How much longer than a stop may take the room stays reserved: the end of a run is heard some 20
/// ms after it, and up to 100 ms later where calls are lost.
pub(super) const RESERVATION_MARGIN: TimeSpan = TimeSpan(300);

/// Room on a worker that is reserved for a step.
#[derive(Debug, Clone, Copy)]
pub struct WorkerReservation {
    /// The step.
    pub step: StepId,
    /// The room.
    pub need: ResourceSet,
    /// When the reservation expires.
    pub until: Moment,
    /// It is for a task that must run alone.
    pub alone: bool,
}

/// Runs to stop on a worker to make room for a task.
struct Displacement {
    worker: WorkerKey,
    runs: Vec<(CellTask, RunNumber)>,
    /// The resources they use, weighted, as a measure of the disturbance.
    weight: u64,
}

impl WorkerState {
    /// Chooses runs to stop, among those that may be stopped, so that a task fits. Prefers few and
    /// large ones. Returns none if the task would not fit.
    pub(super) fn runs_to_stop(
        &self,
        wanted: &ResourceSet,
        may_stop: impl Fn(&CellTask, &WorkerRun) -> bool,
    ) -> Option<Vec<(CellTask, RunNumber, ResourceSet)>> {
        let mut runs: Vec<(CellTask, RunNumber, ResourceSet)> = self
            .runs
            .iter()
            .filter(|(task, run)| may_stop(task, run))
            .filter_map(|(task, run)| Some((*task, run.run, run.need?)))
            .collect();
        // The largest first, since fewer stops disturb less.
        runs.sort_by_key(|(task, _, need)| (Reverse((need.accelerators, need.cores)), *task));
        let mut free = self.free;
        let mut chosen = Vec::new();
        for (task, run, need) in runs {
            if free.fits(wanted) {
                break;
            }
            free = free.plus(&need);
            chosen.push((task, run, need));
        }
        if !free.fits(wanted) {
            return None;
        }
        // Runs that turned out not to be needed go on.
        chosen.retain(|(_, _, need)| match free.minus(need) {
            Some(rest) if rest.fits(wanted) => {
                free = rest;
                false
            }
            _ => true,
        });
        Some(chosen)
    }
}

impl Scheduler {
    /// Stops less urgent runs for the tasks of a step that found no room although workers with
    /// tickets could run them. `remaining` tasks still wait.
    pub(super) fn displace_for(
        &mut self,
        candidate: &Candidate,
        spec: &StepSpec,
        remaining: usize,
        now: Moment,
    ) {
        let Some(job) = self.jobs.get(&candidate.job) else { return };
        if spec.gang || spec.long_running || !self.has_value(candidate, job, now) {
            return;
        }
        let step = job.steps[candidate.step].id;
        let has_reserved = |worker: &&WorkerState| {
            worker.active_reservation(now).is_some_and(|reservation| reservation.step == step)
        };
        let reserved = self.workers.iter().filter(has_reserved).count();
        for earlier in reserved..remaining {
            let Some(displacement) = self.find_displacement(candidate, spec, now) else { return };
            let key = displacement.worker;
            let until = now.after(self.timing.stop).after(RESERVATION_MARGIN);
            self.workers[key.0].reservation =
                Some(WorkerReservation { step, need: spec.need, until, alone: false });
            // A step that ranks before and waits for more room under the limit would otherwise keep
            // this one from starting, and the runs would be stopped again and again.
            self.claim_limit_room(candidate, earlier + 1, until);
            for (task, run) in displacement.runs {
                self.note_preempted(&task, run);
                self.stop_run(key, task, run, "displaced", now);
            }
        }
    }

    /// Returns the runs to stop for one task of a step that disturb the least.
    fn find_displacement(
        &self,
        candidate: &Candidate,
        spec: &StepSpec,
        now: Moment,
    ) -> Option<Displacement> {
        let job = self.jobs.get(&candidate.job)?;
        let margin = TimeSpan(self.timing.stop.0 + self.timing.ticket_margin.0);
        let ticketed: Vec<WorkerKey> = match job.record.policy.advice {
            Some(_) => job.steps[candidate.step].advice.ticketed(now, margin).collect(),
            None => (0..self.workers.len()).map(WorkerKey).collect(),
        };
        ticketed
            .into_iter()
            .filter_map(|key| self.displacement_on(key, job, candidate.step, spec, now))
            .min_by_key(|found| (found.weight, found.worker))
    }

    /// Whether a task of the step would fit on a worker if less urgent runs were stopped there.
    pub(super) fn could_displace_on(
        &self,
        key: WorkerKey,
        job: &ActiveJob,
        step: usize,
        spec: &StepSpec,
        now: Moment,
    ) -> bool {
        self.displacement_on(key, job, step, spec, now).is_some()
    }

    fn displacement_on(
        &self,
        key: WorkerKey,
        job: &ActiveJob,
        step: usize,
        spec: &StepSpec,
        now: Moment,
    ) -> Option<Displacement> {
        let worker = &self.workers[key.0];
        let sound = worker.trust == WorkerTrust::Trusted && worker.takes_work(now, &self.timing);
        let fits = sound
            && worker.active_reservation(now).is_none()
            && worker.entry.capacity.fits(&spec.need)
            && self.admits(key, job, step, spec, now);
        if !fits {
            return None;
        }
        let chosen = worker
            .runs_to_stop(&spec.need, |task, run| self.is_displaceable(task, run, job, now))?;
        let weight = chosen.iter().map(|(_, _, need)| weight_of(need)).sum();
        let runs = chosen.into_iter().map(|(task, run, _)| (task, run)).collect();
        Some(Displacement { worker: key, runs, weight })
    }

    fn is_displaceable(
        &self,
        task: &CellTask,
        run: &WorkerRun,
        urgent: &ActiveJob,
        now: Moment,
    ) -> bool {
        let Some(job) = self.jobs.get(&task.step.job) else { return false };
        let Some(step) = job.step_index(&task.step) else { return false };
        let spec = job.step_spec(step);
        run.phase == RunPhase::Confirmed
            && job.record.policy.priority > urgent.record.policy.priority
            && spec.checkpointing
            && !spec.gang
            && !spec.long_running
            && latest_start(job, step, self.unix_ms_at(now), now) > now.after(MIN_DISPLACED_SLACK).0
    }
}

/// An accelerator counts as much as eight cores, which is the ratio of their prices.
const ACCELERATOR_CORES: u64 = 8;

fn weight_of(need: &ResourceSet) -> u64 {
    need.cores.0 + u64::from(need.accelerators) * ACCELERATOR_CORES * 1_000
}
