//! Finds out why a step that is due has no running task.
//!
//! Most waiting steps are passed over quickly: there is no room, no ticket or no box to ask. This
//! is not logged each time, so a job stalled for a minute left no trace. The scheduler therefore
//! keeps for each step the reason that last prevented a start and the time since when it is
//! stalled. It shows both as figures, and logs a step that stays stalled for some seconds although
//! there is twice the room that it needs.

use std::fmt;

use sedgehill_core::units::{Moment, TimeSpan};

use super::placement::waiting_tasks;
use super::room::{Candidate, OpenWorkers};
use super::trust::WorkerTrust;
use super::*;

/// A step stalled for this long beside enough room is reported. Users accept a stall of this
/// length.
const STALLED_AFTER: TimeSpan = TimeSpan(3_000);
/// The interval between further reports of one step.
const REPORT_INTERVAL: TimeSpan = TimeSpan(10_000);
/// The interval between searches for the step that has waited longest for a box to ask, since a
/// search looks at all candidates.
const STARVED_SEARCH_INTERVAL: TimeSpan = TimeSpan(100);
/// The interval between searches for what steps wait for while only untrusted workers have room.
const UNTRUSTED_CHECK_INTERVAL: TimeSpan = TimeSpan(1_000);
/// The most steps reported in one turn. If everything is stalled, further lines add nothing.
const MAX_REPORTS_PER_TURN: usize = 4;
/// A step is reported only if there is room for this many times its waiting tasks.
const MIN_ROOM_FACTOR: usize = 2;

/// What prevented a start.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum StallReason {
    /// The list of workers is too old to start anything by it.
    StaleWorkerList,
    /// The operators' requests to empty halls have not been read for too long.
    StaleHallView,
    /// An earlier lead may have started tasks of the job.
    EarlierLead,
    /// A later lead seems to be responsible for the job.
    LaterLead,
    /// The start flag of the job is not recorded yet.
    NotRecorded,
    /// A member of the gang must not start until more is known of a lost worker.
    StartDeferred,
    /// The limit of the organisation is reached.
    OrganisationLimit,
    /// There is room, but only in halls that operators have emptied.
    HallEmptied,
    /// There is room, but only on workers that may not get another run until they are trusted.
    UntrustedWorkers,
    /// There is room, but only beside tasks that may have caused the same crash.
    SuspectsApart,
    /// No worker that takes work has room for a single task.
    NoRoom,
    /// There is room for some members of the gang, but not for all.
    PartialGangRoom,
    /// Workers that may run it are known, but have no unreserved room.
    NoAllowedRoom,
    /// Too little room for the gang is expected on workers that were not asked about.
    TooLittleExpectedRoom,
    /// All workers are known, and none, or too few, may run it.
    NoneAllowed,
    /// No box is free to ask the advice service.
    NoFreeHelper,
    /// A question failed a moment ago.
    RecentFailure,
    /// A question is in flight.
    AwaitingAdvice,
}

impl StallReason {
    /// The name in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            StallReason::StaleWorkerList => "old_list",
            StallReason::StaleHallView => "old_halls",
            StallReason::HallEmptied => "hall_emptied",
            StallReason::EarlierLead => "earlier_lead",
            StallReason::LaterLead => "later_lead",
            StallReason::NotRecorded => "not_recorded",
            StallReason::StartDeferred => "suspect",
            StallReason::OrganisationLimit => "limit",
            StallReason::UntrustedWorkers => "shunned",
            StallReason::SuspectsApart => "suspects_apart",
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

    /// Whether the step found too little room on workers that may run it.
    pub(super) fn lacks_room(self) -> bool {
        matches!(
            self,
            StallReason::NoRoom
                | StallReason::PartialGangRoom
                | StallReason::NoAllowedRoom
                | StallReason::TooLittleExpectedRoom
                | StallReason::NoneAllowed
        )
    }
}

impl fmt::Display for StallReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.name())
    }
}

/// A step that is due and has no running task.
#[derive(Debug, Clone, Copy)]
pub struct StepStall {
    /// When it stalled.
    pub since: Moment,
    /// What prevented its last start.
    pub reason: StallReason,
    /// When it was last reported; none if it was not.
    reported_at: Option<Moment>,
}

/// The scheduler's view of a stalled step, for logs.
#[derive(Debug, Clone, PartialEq)]
pub struct StallDetails {
    /// Waiting tasks.
    pub waiting: usize,
    /// Places for its tasks on workers that take work, regardless of advice.
    pub places: usize,
    /// Those of the places that are on workers that may run it.
    pub places_allowed: usize,
    /// Those of the places that are on workers that were never asked about.
    pub places_unknown: usize,
    /// Further places, on workers that may not get another run until they are trusted.
    pub places_untrusted: usize,
    /// Workers that may run it.
    pub allowed: usize,
    /// Workers that may not run it.
    pub rejected: usize,
    /// Workers with a usable ticket.
    pub tickets: usize,
    /// Workers that are suspended or being probed.
    pub untrusted: usize,
    /// The percentage of workers that is assumed to be allowed to run steps of the queue.
    pub share_percent: u64,
    /// Questions in flight.
    pub asking: usize,
    /// Time since the last question was sent; none if there was none.
    pub asked_ago: Option<TimeSpan>,
}

/// Figures about the steps that are stalled for one reason.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StallStats {
    /// The reason.
    pub reason: StallReason,
    /// The number of steps.
    pub steps: usize,
    /// The longest time that one of them has been stalled.
    pub longest: TimeSpan,
}

impl WorkerState {
    /// Whether it lives and is not trusted because of faults.
    fn is_untrusted(&self) -> bool {
        !self.dead && self.trust != WorkerTrust::Trusted
    }
}

impl ActiveJob {
    /// Whether a task of the step runs, or may run.
    fn has_placed(&self, step: usize) -> bool {
        let placed = |task: &ActiveTask| matches!(task.phase, TaskPhase::Placed(..));
        self.step_tasks(step).iter().any(placed)
    }
}

impl Scheduler {
    /// Notes what prevented a start of a step; none if tasks were started.
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

    /// Replaces the reason of a stalled step if it is `from`.
    pub(super) fn replace_stall_reason(
        &mut self,
        candidate: &Candidate,
        from: StallReason,
        to: StallReason,
    ) {
        let Some(job) = self.jobs.get_mut(&candidate.job) else { return };
        let stall = &mut job.steps[candidate.step].stall;
        if let Some(stall) = stall.as_mut().filter(|stall| stall.reason == from) {
            stall.reason = to;
        }
    }

    /// Whether steps should be examined although no worker takes work, to note that they wait for
    /// workers to be trusted. If so, the check counts as made. It only finds reasons for logs, and
    /// ranks all steps, so it is not made in each turn of a full cell.
    pub(super) fn begin_untrusted_check(&mut self, open: &OpenWorkers, now: Moment) -> bool {
        let due = !open.max_free_untrusted.is_empty() && now >= self.untrusted_check_from;
        if due {
            self.untrusted_check_from = now.after(UNTRUSTED_CHECK_INTERVAL);
        }
        due
    }

    /// Finds the step that has waited longest for a box to ask, if that is long. Steps without
    /// value rank last, so as long as others arrive they would never find a free box.
    pub(super) fn update_starved_step(&mut self, candidates: &[Candidate], now: Moment) {
        if now >= self.starved_search_from {
            self.starved_step = self.longest_starved(candidates, now);
            self.starved_search_from = now.after(STARVED_SEARCH_INTERVAL);
        }
    }

    fn longest_starved(&self, candidates: &[Candidate], now: Moment) -> Option<Candidate> {
        let waiting_since = |candidate: &Candidate| {
            let step = &self.jobs.get(&candidate.job)?.steps[candidate.step];
            let stall = step.stall.filter(|stall| stall.reason == StallReason::NoFreeHelper)?;
            // Steps whose questions do not help take turns.
            let since =
                step.advice.last_asked_at.map_or(stall.since, |asked| asked.max(stall.since));
            (now >= since.after(STALLED_AFTER)).then_some((since, *candidate))
        };
        let starved = candidates.iter().filter_map(waiting_since);
        starved.min_by_key(|(since, _)| *since).map(|(_, candidate)| candidate)
    }

    /// Reports steps that have been stalled for long beside enough room.
    pub(super) fn report_stalls(&mut self, open: &OpenWorkers, now: Moment) {
        let is_long = |stall: &StepStall| {
            let recently_reported = stall
                .reported_at
                .is_some_and(|reported_at| now < reported_at.after(REPORT_INTERVAL));
            now >= stall.since.after(STALLED_AFTER) && !recently_reported
        };
        let mut long: Vec<(Moment, Candidate)> = Vec::new();
        for job in self.jobs.values().filter(|job| !job.is_over()) {
            for (step, active_step) in job.steps.iter().enumerate() {
                let Some(stall) = active_step.stall.filter(is_long) else { continue };
                // A run may have been taken over from an earlier lead since.
                if !job.has_placed(step) {
                    long.push((stall.since, Candidate { job: job.id, step, restarts: false }));
                }
            }
        }
        long.sort_by_key(|(since, candidate)| (*since, candidate.job, candidate.step));
        let mut report_count = 0;
        for (since, candidate) in long {
            if report_count == MAX_REPORTS_PER_TURN {
                return;
            }
            let Some(details) = self.stall_details(&candidate, open, now) else { continue };
            let Some(job) = self.jobs.get_mut(&candidate.job) else { continue };
            let active_step = &mut job.steps[candidate.step];
            let Some(stall) = &mut active_step.stall else { continue };
            // Also delays the next check of steps that are not reported, since a check looks at all
            // workers.
            stall.reported_at = Some(now);
            if details.places + details.places_untrusted < MIN_ROOM_FACTOR * details.waiting {
                continue;
            }
            report_count += 1;
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
            places_allowed: 0,
            places_unknown: 0,
            places_untrusted: 0,
            allowed: advice.known.values().filter(|known| known.is_some()).count(),
            rejected: advice.known.values().filter(|known| known.is_none()).count(),
            tickets: advice.ticketed(now, self.timing.ticket_margin).count(),
            untrusted: self.workers.iter().filter(|worker| worker.is_untrusted()).count(),
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
                Some(Some(_)) => details.places_allowed += places,
                Some(None) => {}
                None => details.places_unknown += places,
            }
        }
        let barred = (0..self.workers.len()).map(WorkerKey).filter(|key| {
            let worker = &self.workers[key.0];
            worker.runs_allowed(now) == 0
                && !open.contains(*key)
                && worker.takes_work(now, &self.timing)
        });
        for key in barred.filter(|key| self.admits(*key, job, candidate.step, spec, now)) {
            let places = self.workers[key.0].free.capacity_for(&spec.need) as usize;
            details.places_untrusted += places;
        }
        Some(details)
    }

    /// Returns which of the views that every start depends on is too old; none if none is.
    pub(super) fn stale_view(&self, now: Moment) -> Option<StallReason> {
        match (self.has_fresh_worker_list(now), self.has_fresh_hall_view(now)) {
            (false, _) => Some(StallReason::StaleWorkerList),
            (true, false) => Some(StallReason::StaleHallView),
            (true, true) => None,
        }
    }

    /// Returns figures about stalled steps by reason.
    pub fn stall_stats(&self, now: Moment) -> Vec<StallStats> {
        let mut by_reason: BTreeMap<StallReason, StallStats> = BTreeMap::new();
        let jobs = self.jobs.values().filter(|job| !job.is_over());
        let steps = jobs.flat_map(|job| (0..job.steps.len()).map(move |step| (job, step)));
        let stalled = steps.filter(|(job, step)| !job.has_placed(*step));
        for stall in stalled.filter_map(|(job, step)| job.steps[step].stall) {
            let reason = self.stale_view(now).unwrap_or(stall.reason);
            let stats = by_reason.entry(reason);
            let stats = stats.or_insert(StallStats { reason, steps: 0, longest: TimeSpan(0) });
            stats.steps += 1;
            stats.longest = stats.longest.max(now.since(stall.since));
        }
        by_reason.into_values().collect()
    }
}
