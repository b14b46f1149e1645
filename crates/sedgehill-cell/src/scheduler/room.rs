//! Finds the workers that have room for a step.

use super::*;
use crate::job::StepSpec;
use sedgehill_core::units::{Moment, ResourceSet};

/// A job is tight if its objective leaves at most this much time beyond twice its work.
const TIGHT_SLACK: TimeSpan = TimeSpan(500);
/// Paces are rounded to this many steps per unit, so that similar workers compare as equal.
const PACE_STEPS_PER_UNIT: f64 = 8.0;
/// Workers slower than this factor are chosen last for every job.
const MAX_PREFERRED_PACE: f64 = 1.6;

/// A group of a step's waiting tasks, placed together.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct Candidate {
    pub(super) job: JobId,
    pub(super) step: usize,
    /// It stands for the long-running tasks that lost their run; otherwise for all other waiting
    /// tasks.
    pub(super) restarts: bool,
}

/// The workers that may be given work in this turn. Computed once a turn, since most workers of a
/// busy cell are full and each waiting step looks at all others.
pub(super) struct OpenWorkers {
    pub(super) list: Vec<WorkerKey>,
    /// Whether each worker is in the list, by its index.
    is_open: Vec<bool>,
    /// The largest free amount of each resource on any worker.
    pub(super) max_free: ResourceSet,
    /// The largest free amount of each resource on any worker whose hall is emptied.
    pub(super) max_free_emptied: ResourceSet,
    /// The largest free amount of each resource on any worker that would take work if it were
    /// trusted.
    pub(super) max_free_untrusted: ResourceSet,
    /// The priority of the least urgent running job; 0, the most urgent, if displacement is
    /// switched off. A step of this priority or a less urgent one finds no work to displace.
    pub(super) least_urgent: u32,
}

impl OpenWorkers {
    pub(super) fn contains(&self, key: WorkerKey) -> bool {
        self.is_open[key.0]
    }

    /// Replaces a lack of room for `need` by its cause, if other workers have the room.
    pub(super) fn explain_no_room(&self, reason: StallReason, need: &ResourceSet) -> StallReason {
        match reason.lacks_room() {
            true if self.max_free_emptied.fits(need) => StallReason::HallEmptied,
            true if self.max_free_untrusted.fits(need) => StallReason::UntrustedWorkers,
            _ => reason,
        }
    }
}

impl Scheduler {
    pub(super) fn open_workers(&self, now: Moment) -> OpenWorkers {
        let mut is_open = vec![false; self.workers.len()];
        let mut list = Vec::new();
        let mut max_free = ResourceSet::default();
        let mut max_free_emptied = ResourceSet::default();
        let mut max_free_untrusted = ResourceSet::default();
        let restarting = !self.restarts.is_empty();
        for (number, worker) in self.workers.iter().enumerate() {
            let free = &worker.free;
            if free.is_empty() {
                continue;
            }
            let admits_runs = worker.runs_allowed(now) > 0;
            if worker.takes_work(now, &self.timing) {
                let admits_restarts = restarting && worker.restarts_allowed(now) > 0;
                if admits_runs || admits_restarts {
                    is_open[number] = true;
                    list.push(WorkerKey(number));
                }
                let largest = if admits_runs { &mut max_free } else { &mut max_free_untrusted };
                *largest = largest_of_each(largest, free);
            } else if admits_runs && worker.hall_emptied && !worker.is_over() {
                max_free_emptied = largest_of_each(&max_free_emptied, free);
            }
        }
        let least_urgent = match self.timing.policy.displacement {
            true => self.least_urgent(),
            false => 0,
        };
        OpenWorkers { list, is_open, max_free, max_free_emptied, max_free_untrusted, least_urgent }
    }

    /// Returns the priority of the least urgent running job of any pool.
    fn least_urgent(&self) -> u32 {
        let running = self.jobs.values().filter(|job| job.state == JobState::Running);
        running.map(|job| job.record.policy.priority).max().unwrap_or(0)
    }

    /// Returns how many tasks of a step an open worker can take now, ignoring advice.
    pub(super) fn room_on(
        &self,
        key: WorkerKey,
        candidate: &Candidate,
        job: &ActiveJob,
        spec: &StepSpec,
        now: Moment,
    ) -> usize {
        let worker = &self.workers[key.0];
        let step_id = job.steps[candidate.step].id;
        let fits = worker.free_for(&step_id, now).capacity_for(&spec.need) as usize;
        if fits == 0 || !self.admits(key, job, candidate.step, spec, now) {
            return 0;
        }
        let fits = match spec.gang {
            true => fits.min(worker.members_allowed(now)),
            false if candidate.restarts => fits.min(worker.restarts_allowed(now)),
            false => fits.min(worker.runs_allowed(now)),
        };
        let Some(max) = spec.max_per_worker else { return fits };
        let probe = CellTask { step: step_id, index: 0 };
        fits.min(usize::from(max).saturating_sub(worker.runs_of_step(&probe)))
    }

    /// Whether the candidate would probe a worker that is not trusted. Only gangs and restarts are
    /// counted, whose tasks may probe a worker together and choose such workers last.
    pub(super) fn probes_untrusted(
        &self,
        candidate: &Candidate,
        spec: &StepSpec,
        key: WorkerKey,
    ) -> bool {
        let together = spec.gang || candidate.restarts;
        together && self.workers[key.0].trust != WorkerTrust::Trusted
    }

    /// Whether a worker is of the right pool and kind for the step, and has not reached the step's
    /// maximum of tasks per worker.
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
            && !self.is_kept_from(key, job, step, now)
    }

    /// Returns the workers that may run the step now with the number of tasks they can take.
    /// For gangs and restarts, trusted workers come first. Then come those near the step's data, those of
    /// preferred speed, and those with the fewest free cores.
    pub(super) fn usable_rooms(
        &self,
        candidate: &Candidate,
        spec: &StepSpec,
        open: &OpenWorkers,
        now: Moment,
    ) -> Vec<(WorkerKey, usize)> {
        let Some(job) = self.jobs.get(&candidate.job) else { return Vec::new() };
        let tight = is_tight(job);
        let preference = self.speed_preference(job, candidate.step, now);
        let mut rooms = Vec::new();
        let mut look_at = |key: WorkerKey| {
            let room = self.room_on(key, candidate, job, spec, now);
            if room > 0 {
                let worker = &self.workers[key.0];
                let near =
                    spec.near_rack.as_ref().is_some_and(|rack| worker.entry.labels.contains(rack));
                let pace = match preference {
                    Some(preference) => self.speed_place(preference, key),
                    None if self.timing.policy.pace => pace_step(self.usual_factor(key), tight),
                    None => 0,
                };
                rooms.push((
                    self.probes_untrusted(candidate, spec, key),
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
                .filter(|key| open.contains(*key))
                .for_each(&mut look_at),
            None => open.list.iter().copied().for_each(&mut look_at),
        }
        rooms.sort();
        rooms.into_iter().map(|(.., key, room)| (key, room)).collect()
    }

    /// Returns the factor on run times of a worker; 1 until it is known.
    fn usual_factor(&self, key: WorkerKey) -> f64 {
        let speed = self.speed_of(key);
        if speed.is_known { speed.speed.factor() } else { 1.0 }
    }

    /// Orders rooms for the members of a gang, which all wait for the slowest of them. Untrusted
    /// workers stay last.
    pub(super) fn order_for_gang(
        &self,
        candidate: &Candidate,
        spec: &StepSpec,
        needed: usize,
        rooms: &mut Vec<(WorkerKey, usize)>,
        now: Moment,
    ) {
        let Some(job) = self.jobs.get(&candidate.job) else { return };
        let Some(preference) = self.speed_preference(job, candidate.step, now) else { return };
        let gang_room = |(key, places): &(WorkerKey, usize)| GangRoom {
            speed: self.speed_of(*key).speed,
            places: *places,
        };
        let trusted =
            rooms.iter().take_while(|(key, _)| !self.probes_untrusted(candidate, spec, *key));
        let trusted: Vec<GangRoom> = trusted.map(gang_room).collect();
        let order = match trusted.iter().fold(0usize, |sum, room| sum.saturating_add(room.places))
            >= needed
        {
            true => gang_order(&trusted, needed, preference),
            false => {
                let all: Vec<GangRoom> = rooms.iter().map(gang_room).collect();
                gang_order(&all, needed, preference)
            }
        };
        let rest = rooms.split_off(order.len());
        *rooms = order.into_iter().map(|index| rooms[index]).chain(rest).collect();
    }
}

/// Returns the larger amount of each resource.
fn largest_of_each(one: &ResourceSet, other: &ResourceSet) -> ResourceSet {
    ResourceSet {
        cores: one.cores.max(other.cores),
        memory: one.memory.max(other.memory),
        accelerators: one.accelerators.max(other.accelerators),
    }
}

/// Returns the sort key of a worker's pace, in steps of an eighth. Tight jobs prefer the fastest
/// workers. Others prefer the slowest that are not much slower than usual, so that fast workers
/// stay free.
fn pace_step(factor: f64, tight: bool) -> i64 {
    let step = (factor * PACE_STEPS_PER_UNIT).round() as i64;
    match tight {
        true => step,
        false if factor > MAX_PREFERRED_PACE => step,
        false => -step,
    }
}

/// Whether a job has so little time beyond its work that it should run on the fastest workers.
pub(super) fn is_tight(job: &ActiveJob) -> bool {
    let chain = job.record.spec.longest_chain().as_millis();
    job.record.objective().as_millis() <= 2 * chain + TIGHT_SLACK.as_millis()
}
