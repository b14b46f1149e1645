//! Why a step whose turn has come has nothing running.
//!
//! Most steps that wait are passed over by one look: no room, no ticket, nobody to ask. Such a look leaves no line, so a
//! job that was stalled for a minute left none at all. The scheduler therefore keeps for each step the gate at which it was
//! last turned back and since when the step is stalled, shows them as figures, and says so once that has lasted for some
//! seconds beside room for it twice over.

use std::fmt;

use sedgehill_core::units::{Moment, TimeSpan};

use super::placement::waiting_tasks;
use super::room::{Candidate, OpenWorkers};
use super::worker::WorkerTrust;
use super::*;

/// A step that is stalled for so long beside room is told of: as long as the users allow.
const STALLED_AFTER: TimeSpan = TimeSpan(3_000);
/// It is told of again so much later, if it is still stalled.
const REPORT_INTERVAL: TimeSpan = TimeSpan(10_000);
/// The step that found no box to ask for the longest time is looked for this often: the look goes over all that wait.
const STARVED_SEARCH_INTERVAL: TimeSpan = TimeSpan(100);
/// Steps that are told of in one turn, at the most: a cell in which everything is stalled needs no more lines.
const MAX_REPORTS_PER_TURN: usize = 4;
/// Room for so many times what waits is no lack of room.
const MIN_ROOM_FACTOR: usize = 2;

/// The gate at which a step was turned back.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum StallReason {
    /// The list of workers was read too long ago to start anything.
    StaleWorkerList,
    /// An earlier lead may have something of the job running.
    EarlierLead,
    /// A later lead seems to have marked the job.
    LaterLead,
    /// It is not recorded yet that tasks of the job may run.
    NotRecorded,
    /// A member is held until more is known of a worker that was lost under it.
    StartDeferred,
    /// The limit of its organisation.
    OrganisationLimit,
    /// No worker that takes work has room for a single task.
    NoRoom,
    /// There is room for some members of a gang, and not for all.
    PartialGangRoom,
    /// Workers that may run it are known, and have no room that is not kept for others.
    NoAllowedRoom,
    /// The room that is expected on workers that were not asked about is less than a gang needs.
    TooLittleExpectedRoom,
    /// All workers are known, and none of them may run it.
    NoneAllowed,
    /// No box is free to ask the advice service.
    NoFreeHelper,
    /// A question failed a moment ago.
    RecentFailure,
    /// A question is under way.
    AwaitingAdvice,
}

impl StallReason {
    /// The name in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            StallReason::StaleWorkerList => "old_list",
            StallReason::EarlierLead => "earlier_lead",
            StallReason::LaterLead => "later_lead",
            StallReason::NotRecorded => "not_recorded",
            StallReason::StartDeferred => "suspect",
            StallReason::OrganisationLimit => "limit",
            StallReason::NoRoom => "no_room",
            StallReason::PartialGangRoom => "gang_room",
            StallReason::NoAllowedRoom => "known_room",
            StallReason::TooLittleExpectedRoom => "expected_room",
            StallReason::NoneAllowed => "nobody_good",
            StallReason::NoFreeHelper => "no_helper",
            StallReason::RecentFailure => "asked_lately",
            StallReason::AwaitingAdvice => "asking",
        }
    }
}

impl fmt::Display for StallReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.name())
    }
}

/// A step that has nothing running though its turn has come.
#[derive(Debug, Clone, Copy)]
pub struct StepStall {
    /// Since when.
    pub since: Moment,
    /// Where it was turned back last.
    pub reason: StallReason,
    /// When it was told of last.
    reported_at: Option<Moment>,
}

/// What was believed when a step was told of as stalled.
#[derive(Debug, Clone, PartialEq)]
pub struct StallDetails {
    /// Tasks that wait.
    pub waiting: usize,
    /// Places for them on workers that take work, whoever may run the step.
    pub places: usize,
    /// Those of the places that are on workers known as good, and on workers never asked about.
    pub places_good: usize,
    /// See above.
    pub places_unknown: usize,
    /// Workers known as good, and as not good.
    pub good: usize,
    /// See above.
    pub not_good: usize,
    /// Workers with a ticket that can be used.
    pub tickets: usize,
    /// Workers that get at most one run since they did badly.
    pub suspended: usize,
    /// The share of workers that is taken as good in the queue, in hundredths.
    pub share_percent: u64,
    /// Questions under way.
    pub asking: usize,
    /// Since the last question was sent; none if there was none.
    pub asked_ago: Option<TimeSpan>,
}

/// Steps that are stalled for one reason.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StallStats {
    /// The reason.
    pub reason: StallReason,
    /// How many.
    pub steps: usize,
    /// The longest time that one of them has been.
    pub longest: TimeSpan,
}

impl WorkerState {
    /// Whether it is there and gets one run at a time.
    fn is_distrusted(&self) -> bool {
        !self.dead && self.trust != WorkerTrust::Trusted
    }
}

impl ActiveJob {
    /// Whether a task of a step runs, or may.
    fn has_placed(&self, step: usize) -> bool {
        let placed = |task: &ActiveTask| matches!(task.phase, TaskPhase::Placed(..));
        self.step_tasks(step).iter().any(placed)
    }
}

impl Scheduler {
    /// Notes at which gate a step was turned back; none if something of it was started.
    pub(super) fn note_stall(
        &mut self,
        candidate: &Candidate,
        reason: Option<StallReason>,
        now: Moment,
    ) {
        let Some(job) = self.jobs.get_mut(&candidate.job) else { return };
        let stalls = reason.filter(|_| !job.has_placed(candidate.step));
        let stall = &mut job.steps[candidate.step].stall;
        *stall = stalls.map(|reason| match *stall {
            Some(stall) => StepStall { reason, ..stall },
            None => StepStall { since: now, reason, reported_at: None },
        });
    }

    /// Looks for the step that found no box to ask for the longest time, if that is long. Steps that can earn nothing any
    /// more come last, so as long as others come they would find none for good.
    pub(super) fn update_starved_step(&mut self, candidates: &[Candidate], now: Moment) {
        if now >= self.starved_search_from {
            self.starved_step = self.longest_starved(candidates, now);
            self.starved_search_from = now.after(STARVED_SEARCH_INTERVAL);
        }
    }

    fn longest_starved(&self, candidates: &[Candidate], now: Moment) -> Option<Candidate> {
        let unasked_since = |candidate: &Candidate| {
            let step = &self.jobs.get(&candidate.job)?.steps[candidate.step];
            let stall = step.stall.filter(|stall| stall.reason == StallReason::NoFreeHelper)?;
            // Steps that are asked about in vain take turns.
            let since =
                step.advice.last_asked_at.map_or(stall.since, |asked| asked.max(stall.since));
            (now >= since.after(STALLED_AFTER)).then_some((since, *candidate))
        };
        let unasked = candidates.iter().filter_map(unasked_since);
        unasked.min_by_key(|(since, _)| *since).map(|(_, candidate)| candidate)
    }

    /// Tells of steps that are stalled for long beside room for them.
    pub(super) fn report_stalls(&mut self, open: &OpenWorkers, now: Moment) {
        let is_long = |stall: &StepStall| {
            let reported_at = stall
                .reported_at
                .is_some_and(|reported_at| now < reported_at.after(REPORT_INTERVAL));
            now >= stall.since.after(STALLED_AFTER) && !reported_at
        };
        let mut long: Vec<(Moment, Candidate)> = Vec::new();
        for job in self.jobs.values().filter(|job| !job.is_over()) {
            for (step, active_step) in job.steps.iter().enumerate() {
                let Some(stall) = active_step.stall.filter(is_long) else { continue };
                // It may have been taken over from an earlier lead since.
                if !job.has_placed(step) {
                    long.push((stall.since, Candidate { job: job.id, step, restarts: false }));
                }
            }
        }
        long.sort_by_key(|(since, candidate)| (*since, candidate.job, candidate.step));
        let mut reported_at = 0;
        for (since, candidate) in long {
            if reported_at == MAX_REPORTS_PER_TURN {
                return;
            }
            let Some(details) = self.stall_details(&candidate, open, now) else { continue };
            let Some(job) = self.jobs.get_mut(&candidate.job) else { continue };
            let active_step = &mut job.steps[candidate.step];
            let Some(stall) = &mut active_step.stall else { continue };
            // Looked at again later, whether it is told of or not: the look goes over all workers.
            stall.reported_at = Some(now);
            if details.places < MIN_ROOM_FACTOR * details.waiting {
                continue;
            }
            reported_at += 1;
            let (step, reason) = (active_step.id, stall.reason);
            self.events.push(CellEvent::Stalled {
                step,
                reason,
                stalled_for: now.since(since),
                details,
            });
        }
    }

    pub(super) fn stall_details(
        &self,
        candidate: &Candidate,
        open: &OpenWorkers,
        now: Moment,
    ) -> Option<StallDetails> {
        let job = self.jobs.get(&candidate.job)?;
        let spec = job.step_spec(candidate.step);
        let advice = &job.steps[candidate.step].advice;
        let mut details = StallDetails {
            waiting: waiting_tasks(job, candidate.step, now).len(),
            places: 0,
            places_good: 0,
            places_unknown: 0,
            good: advice.known.values().filter(|known| known.is_some()).count(),
            not_good: advice.known.values().filter(|known| known.is_none()).count(),
            tickets: advice.ticketed(now, self.timing.ticket_margin).count(),
            suspended: self.workers.iter().filter(|worker| worker.is_distrusted()).count(),
            share_percent: (self.allowed_share(&job.record.queue) * 100.0) as u64,
            asking: advice.in_flight.len(),
            asked_ago: advice.last_asked_at.map(|asked| now.since(asked)),
        };
        for key in &open.list {
            let worker = &self.workers[key.0];
            let places = match self.admits(*key, job, candidate.step, spec, now) {
                true => worker.free.capacity_for(&spec.need) as usize,
                false => 0,
            };
            details.places += places;
            match advice.known.get(key) {
                Some(Some(_)) => details.places_good += places,
                Some(None) => {}
                None => details.places_unknown += places,
            }
        }
        Some(details)
    }

    /// The steps that are stalled, by reason.
    pub fn stall_stats(&self, now: Moment) -> Vec<StallStats> {
        let mut by_reason: BTreeMap<StallReason, StallStats> = BTreeMap::new();
        let jobs = self.jobs.values().filter(|job| !job.is_over());
        let steps = jobs.flat_map(|job| (0..job.steps.len()).map(move |step| (job, step)));
        let stalled = steps.filter(|(job, step)| !job.has_placed(*step));
        for stall in stalled.filter_map(|(job, step)| job.steps[step].stall) {
            let reason = if self.has_fresh_worker_list(now) {
                stall.reason
            } else {
                StallReason::StaleWorkerList
            };
            let stats = by_reason.entry(reason);
            let stats = stats.or_insert(StallStats { reason, steps: 0, longest: TimeSpan(0) });
            stats.steps += 1;
            stats.longest = stats.longest.max(now.since(stall.since));
        }
        by_reason.into_values().collect()
    }
}
