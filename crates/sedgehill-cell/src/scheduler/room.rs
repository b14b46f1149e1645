//! Which workers have room for a step.

use super::*;
use crate::job::StepSpec;
use sedgehill_core::units::{Moment, ResourceSet};

/// Time that a tight job has left beside twice its work.
const TIGHT_SLACK: TimeSpan = TimeSpan(500);
/// Workers whose paces differ by less than one part in this many are taken as alike.
const PACE_STEPS_PER_UNIT: f64 = 8.0;
/// A worker that takes longer than this factor is the last choice for every job.
const MAX_PREFERRED_PACE: f64 = 1.6;

/// A step that could use room now.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct Candidate {
    pub(super) job: JobId,
    pub(super) step: usize,
    /// It stands for the tasks of the step that lost their run and are due to run again; otherwise for the others.
    pub(super) restarts: bool,
}

/// The workers that may be given work in this turn. Found once a turn, since most workers of a busy
/// cell are full, and each step that waits looks at all others.
pub(super) struct OpenWorkers {
    pub(super) list: Vec<WorkerKey>,
    /// By worker.
    is_open: Vec<bool>,
    /// The most that is free in each dimension, on whichever worker.
    pub(super) max_free: ResourceSet,
    /// The priority of the least urgent job that runs; 0, before which nothing is less urgent, if
    /// nothing may be displaced. A step of that priority need not look for work to displace.
    pub(super) least_urgent: u32,
}

impl Scheduler {
    pub(super) fn open_workers(&self, now: Moment) -> OpenWorkers {
        let mut is_open = vec![false; self.workers.len()];
        let mut list = Vec::new();
        let mut max_free = ResourceSet::default();
        for (number, worker) in self.workers.iter().enumerate() {
            let free = &worker.free;
            if free.is_empty() || worker.runs_allowed(now) == 0 {
                continue;
            }
            if worker.takes_work(now, &self.timing) {
                is_open[number] = true;
                list.push(WorkerKey(number));
                max_free.cores = max_free.cores.max(free.cores);
                max_free.memory = max_free.memory.max(free.memory);
                max_free.accelerators = max_free.accelerators.max(free.accelerators);
            }
        }
        let least_urgent = match self.timing.policy.displacement {
            true => self.least_urgent(),
            false => 0,
        };
        OpenWorkers { list, is_open, max_free, least_urgent }
    }

    /// The priority of the least urgent job that runs, whatever its pool.
    fn least_urgent(&self) -> u32 {
        let running = self.jobs.values().filter(|job| job.state == JobState::Running);
        running.map(|job| job.record.policy.priority).max().unwrap_or(0)
    }

    /// How many tasks of a step an open worker can take now, apart from advice.
    pub(super) fn room_on(
        &self,
        key: WorkerKey,
        job: &ActiveJob,
        step: usize,
        spec: &StepSpec,
        now: Moment,
    ) -> usize {
        let worker = &self.workers[key.0];
        let step_id = job.steps[step].id;
        let fits = worker.free_for(&step_id, now).capacity_for(&spec.need) as usize;
        if fits == 0 || !self.admits(key, job, step, spec, now) {
            return 0;
        }
        let fits = match spec.gang {
            true => fits.min(worker.members_allowed(now)),
            false => fits.min(worker.runs_allowed(now)),
        };
        let Some(max) = spec.max_per_worker else { return fits };
        let probe = CellTask { step: step_id, index: 0 };
        fits.min(usize::from(max).saturating_sub(worker.runs_of_step(&probe)))
    }

    /// Whether a step would try a worker that did badly: the members of a gang do so together, and last.
    pub(super) fn probes_untrusted(&self, spec: &StepSpec, key: WorkerKey) -> bool {
        spec.gang && self.workers[key.0].trust != WorkerTrust::Trusted
    }

    /// Whether a worker is of a kind that may run the step, and holds fewer of its tasks than it may.
    pub(super) fn admits(
        &self,
        key: WorkerKey,
        job: &ActiveJob,
        step: usize,
        spec: &StepSpec,
        now: Moment,
    ) -> bool {
        let worker = &self.workers[key.0];
        let labels = &worker.entry.labels;
        let probe = CellTask { step: job.steps[step].id, index: 0 };
        let full = |max: u16| worker.runs_of_step(&probe) >= usize::from(max);
        worker.entry.pool == job.record.policy.pool
            && spec.label.as_ref().is_none_or(|label| labels.contains(label))
            && !spec.max_per_worker.is_some_and(full)
            && !worker.excludes_job(job.id, now)
    }

    /// Workers that may run the step now, with the tasks they can take; the fullest first.
    pub(super) fn usable_rooms(
        &self,
        candidate: &Candidate,
        spec: &StepSpec,
        open: &OpenWorkers,
        now: Moment,
    ) -> Vec<(WorkerKey, usize)> {
        let Some(job) = self.jobs.get(&candidate.job) else { return Vec::new() };
        let tight = is_tight(job);
        let mut rooms = Vec::new();
        let mut look_at = |key: WorkerKey| {
            let room = self.room_on(key, job, candidate.step, spec, now);
            if room > 0 {
                let worker = &self.workers[key.0];
                let near =
                    spec.near_rack.as_ref().is_some_and(|rack| worker.entry.labels.contains(rack));
                let pace = match self.timing.policy.pace {
                    true => pace_step(worker.pace.factor(), tight),
                    false => 0,
                };
                rooms.push((
                    self.probes_untrusted(spec, key),
                    !near,
                    pace,
                    worker.free.cores,
                    key,
                    room,
                ));
            }
        };
        match job.record.policy.advice {
            Some(_) => job.steps[candidate.step]
                .advice
                .ticketed(now, self.timing.ticket_margin)
                .filter(|key| open.is_open[key.0])
                .for_each(&mut look_at),
            None => open.list.iter().copied().for_each(&mut look_at),
        }
        rooms.sort();
        rooms.into_iter().map(|(.., key, room)| (key, room)).collect()
    }
}

/// The place of a worker by its pace, in steps of an eighth. Tight jobs go to the fastest; others to
/// the slowest that are not much slower than usual, so that fast ones stay free.
fn pace_step(factor: f64, tight: bool) -> i64 {
    let step = (factor * PACE_STEPS_PER_UNIT).round() as i64;
    match tight {
        true => step,
        false if factor > MAX_PREFERRED_PACE => step,
        false => -step,
    }
}

/// Whether a job leaves little time beside its work, so that it should run on the fastest workers.
fn is_tight(job: &ActiveJob) -> bool {
    let chain = job.record.spec.longest_chain().as_millis();
    job.record.objective().as_millis() <= 2 * chain + TIGHT_SLACK.as_millis()
}
