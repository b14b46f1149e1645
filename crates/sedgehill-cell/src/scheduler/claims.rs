//! Keeps room for urgent tasks that find none.
//!
//! A task that needs much of one worker, of which few may run it, seldom finds it free: what comes free is
//! taken by smaller tasks before the rest follows. So room is claimed on the worker where enough comes
//! free first, if that is soon, and the ticket is renewed in time for it.

use sedgehill_core::units::{Moment, ResourceSet, TimeSpan};

use super::displacement::WorkerClaim;
use super::placement::{Candidate, OpenWorkers};
use super::rank::rank_job;
use super::worker::WorkerRun;
use super::*;
use crate::ids::StepId;
use crate::job::StepSpec;

/// Room is claimed only if enough is expected to come free within this time: about what a task of the
/// users' longer queues takes. Room that is claimed for longer stands empty for longer.
const CLAIM_HORIZON: TimeSpan = TimeSpan(3_000);
/// A claim lasts so much longer than the room is expected to take.
const CLAIM_SLACK: TimeSpan = TimeSpan(600);
/// What is taken as left of a run that has outlasted its estimate, or whose estimate is not known.
const UNKNOWN_REST: TimeSpan = TimeSpan(800);
/// Of how many workers one may be claimed at a time.
const CLAIMED_SHARE: usize = 4;
/// Steps that are looked at for a claim in one turn. The best ranked come first.
pub(super) const CLAIM_TRIES: usize = 16;
/// A ticket is renewed when the room is expected so much later than the answer.
const RENEW_AHEAD: TimeSpan = TimeSpan(100);

impl Scheduler {
    /// Claims room for one task of a step that found none, unless the step has a claim already.
    pub(super) fn claim_for(
        &mut self,
        candidate: &Candidate,
        spec: &StepSpec,
        open: &OpenWorkers,
        now: Moment,
    ) {
        let Some(job) = self.jobs.get(&candidate.job) else { return };
        let urgent = rank_job(job, &self.timing.policy, now).is_on_time();
        let tries = open.claim_tries.get();
        if spec.gang || spec.long_running || !urgent || tries == 0 {
            return;
        }
        open.claim_tries.set(tries - 1);
        let step = job.steps[candidate.step].id;
        let claims = self.workers.iter().filter_map(|worker| worker.claim_of(now));
        let steps: Vec<StepId> = claims.map(|claim| claim.step).collect();
        if steps.contains(&step) || steps.len() * CLAIMED_SHARE >= self.workers.len() {
            return;
        }
        let known = &job.steps[candidate.step].advice.known;
        let good = known.iter().filter(|(_, ticket)| ticket.is_some()).map(|(key, _)| *key);
        let soonest = good
            .filter(|key| self.could_be_claimed(*key, job, candidate.step, spec, now))
            .filter_map(|key| Some((self.free_in(key, spec, now)?, key)))
            .min();
        if let Some((wait, key)) = soonest.filter(|(wait, _)| *wait <= CLAIM_HORIZON) {
            let until = now.after(wait).after(CLAIM_SLACK);
            self.workers[key.0].claim = Some(WorkerClaim { step, need: spec.need, until });
        }
    }

    fn could_be_claimed(
        &self,
        key: WorkerKey,
        job: &JobWork,
        step: usize,
        spec: &StepSpec,
        now: Moment,
    ) -> bool {
        let worker = &self.workers[key.0];
        worker.trust == WorkerTrust::Sound
            && worker.takes_work(now, &self.timing)
            && worker.claim_of(now).is_none()
            && worker.entry.capacity.fits(&spec.need)
            && self.admits(key, job, step, spec)
    }

    /// How long it takes until a task fits on a worker, by what its runs are expected to take.
    fn free_in(&self, key: WorkerKey, spec: &StepSpec, now: Moment) -> Option<TimeSpan> {
        let worker = &self.workers[key.0];
        let pace = worker.pace.factor();
        let mut runs: Vec<(TimeSpan, ResourceSet)> = worker
            .runs
            .values()
            .filter_map(|run| Some((rest_of(run, pace, now), run.need?)))
            .collect();
        runs.sort_by_key(|(rest, _)| *rest);
        let mut free = worker.free;
        let mut wait = TimeSpan(0);
        for (rest, need) in runs {
            if free.fits(&spec.need) {
                break;
            }
            free = free.plus(&need);
            wait = rest;
        }
        free.fits(&spec.need).then_some(wait)
    }

    /// Whether a worker is claimed for the step, and its ticket would end before the room is there: it
    /// has to be asked for now, since the answer takes `cost`.
    pub(super) fn needs_renewal(
        &self,
        key: WorkerKey,
        step: &StepId,
        ticket_until: Moment,
        spec: &StepSpec,
        cost: TimeSpan,
        now: Moment,
    ) -> bool {
        let claimed = self.workers[key.0].claim_of(now).is_some_and(|claim| claim.step == *step);
        if !claimed {
            return false;
        }
        let Some(wait) = self.free_in(key, spec, now) else { return false };
        let soon = wait.0 <= cost.0 + RENEW_AHEAD.0;
        soon && ticket_until <= now.after(wait).after(self.timing.ticket_margin)
    }
}

fn rest_of(run: &WorkerRun, pace: f64, now: Moment) -> TimeSpan {
    if matches!(run.phase, RunPhase::Stopping(_) | RunPhase::Stopped) {
        return TimeSpan(0);
    }
    let Some(expected) = run.expected else { return UNKNOWN_REST };
    let expected = (expected.0 as f64 * pace) as u64;
    match expected.checked_sub(now.since(run.since).0) {
        Some(rest) if rest > 0 => TimeSpan(rest),
        _ => UNKNOWN_REST,
    }
}
