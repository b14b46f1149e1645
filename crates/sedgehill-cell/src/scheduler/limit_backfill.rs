//! Lets lower-ranked steps use room under a limit that a waiting step cannot use yet.
//!
//! With [`LimitOrder::Timed`], a step that waits for room under its organisation's limit gets a
//! place on the organisation's timeline, at the earliest time at which it is expected to fit. The
//! steps ranked after it start only what fits beside that place, or ends before it.

use sedgehill_core::units::{Moment, ResourceSet, TimeSpan};

use super::limit_timeline::LimitTimeline;
use super::organisations::OrganisationKey;
use super::rank::latest_start;
use super::room::Candidate;
use super::*;
use crate::ids::StepId;
use crate::job::StepSpec;

/// Most places of waiting steps on one timeline. It bounds the time of a turn; steps ranked after
/// these get their place once some of them have started.
const MAX_TIMED_PLACES: usize = 64;

/// The timeline of an organisation for whose limit a step waits.
#[derive(Debug)]
pub(super) struct WaitTimeline {
    timeline: LimitTimeline,
    /// What the waiting steps need.
    ahead: ResourceSet,
    places: usize,
    /// The first waiting step, and when it is expected to get its room; none if that is not known.
    first: (StepId, Option<Moment>),
}

impl WaitTimeline {
    /// Frees room that is reserved for a step, so that the step itself may use it.
    pub(super) fn release(&mut self, need: &ResourceSet) {
        self.timeline.release(need);
    }

    /// Returns what the waiting steps need.
    pub(super) fn ahead(&self) -> ResourceSet {
        self.ahead
    }
}

impl Scheduler {
    /// Returns how long each run of a step holds its room by the upper forecast; none if it has no
    /// end.
    fn upper_span(&self, job: &ActiveJob, step: usize) -> Option<TimeSpan> {
        let has_end = !job.step_spec(step).long_running;
        has_end.then(|| self.forecast_run(job, step, None).upper)
    }

    /// Returns how many tasks of a step may start now beside the steps of its organisation that
    /// rank before it and wait for room under the limit.
    pub(super) fn timed_room(&self, id: JobId, step: usize, spec: &StepSpec) -> usize {
        let Some(job) = self.jobs.get(&id) else { return 0 };
        let Some(owner) = job.owner else { return usize::MAX };
        let Some(waiting) = self.limit_room.timelines.get(&owner) else { return usize::MAX };
        // A step that reserves room from now on because its time is not known reserves none that is
        // claimed, though the timeline holds it.
        let claimed = self.limit_room.claimed_tasks(&job.steps[step].id);
        waiting.timeline.tasks_now(&spec.need, self.upper_span(job, step)).max(claimed)
    }

    /// Gives the remaining tasks of a step their place on the timeline of its organisation.
    pub(super) fn reserve_timed(
        &mut self,
        candidate: &Candidate,
        spec: &StepSpec,
        owner: OrganisationKey,
        remaining: usize,
        now: Moment,
    ) {
        let Some(job) = self.jobs.get(&candidate.job) else { return };
        let step = job.steps[candidate.step].id;
        let span = self.upper_span(job, candidate.step);
        let latest = Moment(latest_start(job, candidate.step, self.unix_ms_at(now), now));
        let usage = self.organisations.usage(owner);
        let total = spec.need.times(remaining as u32);
        // A step that could never fit under the limit holds up no other.
        if !usage.limit.allows(&total) {
            return;
        }
        if !self.limit_room.timelines.contains_key(&owner) {
            let ends = self.expected_ends(Some(owner), now);
            let ends: Vec<(Moment, ResourceSet)> =
                ends.into_iter().map(|end| (end.at, end.need)).collect();
            let used = usage.used.plus(&usage.reserved);
            let timeline = LimitTimeline::new(usage.limit, used, &ends, now);
            let first = (step, timeline.earliest(&total, span));
            let waiting =
                WaitTimeline { timeline, ahead: ResourceSet::default(), places: 0, first };
            self.limit_room.timelines.insert(owner, waiting);
        }
        let Some(waiting) = self.limit_room.timelines.get_mut(&owner) else { return };
        let (block, blocks) = if spec.gang { (total, 1) } else { (spec.need, remaining) };
        for _ in 0..blocks.min(MAX_TIMED_PLACES.saturating_sub(waiting.places)) {
            waiting.places += 1;
            waiting.ahead = waiting.ahead.plus(&block);
            match waiting.timeline.earliest(&block, span) {
                Some(from) if can_wait_until(from, latest, now) => {
                    waiting.timeline.reserve(&block, from, span);
                }
                // It waits for runs without a known end, or cannot afford that others end late, so
                // whatever ends is left to it.
                _ => waiting.timeline.reserve(&block, now, None),
            }
        }
    }

    /// Notes that tasks of a step were started: their claimed room is used, and the timeline holds
    /// them from now on.
    pub(super) fn note_limit_starts(
        &mut self,
        candidate: &Candidate,
        spec: &StepSpec,
        started: usize,
        now: Moment,
    ) {
        let Some(job) = self.jobs.get(&candidate.job) else { return };
        let Some(owner) = job.owner.filter(|_| started > 0) else { return };
        let step = job.steps[candidate.step].id;
        let span = self.upper_span(job, candidate.step);
        self.reduce_claim(&step, started);
        let Some(waiting) = self.limit_room.timelines.get_mut(&owner) else { return };
        let need = spec.need.times(started as u32);
        waiting.timeline.reserve(&need, now, span);
        let usage = self.organisations.usage(owner);
        let before = usage.used.saturating_minus(&need).plus(&usage.reserved).plus(&waiting.ahead);
        let in_order = usage.limit.remaining(&before).capacity_for(&spec.need);
        let tasks = started.saturating_sub(usize::try_from(in_order).unwrap_or(usize::MAX));
        if tasks == 0 {
            return;
        }
        let (ahead, expected_at) = waiting.first;
        self.events.push(CellEvent::LimitBackfilled {
            step,
            organisation: self.organisations.name(owner).clone(),
            key: owner,
            tasks,
            ends_within: span,
            ahead,
            ahead_starts_in: expected_at.map(|at| at.since(now)),
        });
    }
}

/// Whether a step that is expected to get its room at `from` can still start by `latest` if that
/// takes twice as long. Callers' estimates, and so the expected ends, are off by up to about two.
fn can_wait_until(from: Moment, latest: Moment, now: Moment) -> bool {
    from.after(from.since(now)) <= latest
}
