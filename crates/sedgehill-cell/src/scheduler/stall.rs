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
const TOLD_AGAIN: TimeSpan = TimeSpan(10_000);
/// The step that found no box to ask for the longest time is looked for this often: the look goes over all that wait.
const UNASKED_EVERY: TimeSpan = TimeSpan(100);
/// Steps that are told of in one turn, at the most: a cell in which everything is stalled needs no more lines.
const TOLD_AT_ONCE: usize = 4;
/// Room for so many times what waits is no lack of room.
const ROOM_TIMES: usize = 2;

/// The gate at which a step was turned back.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum StallReason {
    /// The list of workers was read too long ago to start anything.
    OldList,
    /// An earlier lead may have something of the job running.
    EarlierLead,
    /// A later lead seems to have marked the job.
    LaterLead,
    /// It is not recorded yet that tasks of the job may run.
    NotRecorded,
    /// A member is held until more is known of a worker that was lost under it.
    Suspect,
    /// The limit of its organisation.
    Limit,
    /// No worker that takes work has room for a single task.
    NoRoom,
    /// There is room for some members of a gang, and not for all.
    GangRoom,
    /// Workers that may run it are known, and have no room that is not kept for others.
    KnownRoom,
    /// The room that is expected on workers that were not asked about is less than a gang needs.
    ExpectedRoom,
    /// All workers are known, and none of them may run it.
    NobodyGood,
    /// No box is free to ask the advice service.
    NoHelper,
    /// A question failed a moment ago.
    AskedLately,
    /// A question is under way.
    Asking,
}

impl StallReason {
    /// The name in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            StallReason::OldList => "old_list",
            StallReason::EarlierLead => "earlier_lead",
            StallReason::LaterLead => "later_lead",
            StallReason::NotRecorded => "not_recorded",
            StallReason::Suspect => "suspect",
            StallReason::Limit => "limit",
            StallReason::NoRoom => "no_room",
            StallReason::GangRoom => "gang_room",
            StallReason::KnownRoom => "known_room",
            StallReason::ExpectedRoom => "expected_room",
            StallReason::NobodyGood => "nobody_good",
            StallReason::NoHelper => "no_helper",
            StallReason::AskedLately => "asked_lately",
            StallReason::Asking => "asking",
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
    told: Option<Moment>,
}

/// What was believed when a step was told of as stalled.
#[derive(Debug, Clone, PartialEq)]
pub struct StallBelief {
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
    pub shunned: usize,
    /// The share of workers that is taken as good in the queue, in hundredths.
    pub share_percent: u64,
    /// Questions under way.
    pub asking: usize,
    /// Since the last question was sent; none if there was none.
    pub asked_ago: Option<TimeSpan>,
}

/// Steps that are stalled for one reason.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StallFigures {
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
        !self.dead && self.trust != WorkerTrust::Sound
    }
}

impl JobWork {
    /// Whether a task of a step runs, or may.
    fn has_placed(&self, step: usize) -> bool {
        let placed = |task: &work::TaskWork| matches!(task.phase, TaskPhase::Placed(..));
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
            None => StepStall { since: now, reason, told: None },
        });
    }

    /// Looks for the step that found no box to ask for the longest time, if that is long. Steps that can earn nothing any
    /// more come last, so as long as others come they would find none for good.
    pub(super) fn find_unasked(&mut self, candidates: &[Candidate], now: Moment) {
        if now >= self.unasked_from {
            self.unasked = self.longest_unasked(candidates, now);
            self.unasked_from = now.after(UNASKED_EVERY);
        }
    }

    fn longest_unasked(&self, candidates: &[Candidate], now: Moment) -> Option<Candidate> {
        let unasked_since = |candidate: &Candidate| {
            let step = &self.jobs.get(&candidate.job)?.steps[candidate.step];
            let stall = step.stall.filter(|stall| stall.reason == StallReason::NoHelper)?;
            // Steps that are asked about in vain take turns.
            let since = step.advice.asked.map_or(stall.since, |asked| asked.max(stall.since));
            (now >= since.after(STALLED_AFTER)).then_some((since, *candidate))
        };
        let unasked = candidates.iter().filter_map(unasked_since);
        unasked.min_by_key(|(since, _)| *since).map(|(_, candidate)| candidate)
    }

    /// Tells of steps that are stalled for long beside room for them.
    pub(super) fn report_stalls(&mut self, open: &OpenWorkers, now: Moment) {
        let is_long = |stall: &StepStall| {
            let told = stall.told.is_some_and(|told| now < told.after(TOLD_AGAIN));
            now >= stall.since.after(STALLED_AFTER) && !told
        };
        let mut long: Vec<(Moment, Candidate)> = Vec::new();
        for job in self.jobs.values().filter(|job| !job.is_over()) {
            for (step, work) in job.steps.iter().enumerate() {
                let Some(stall) = work.stall.filter(is_long) else { continue };
                // It may have been taken over from an earlier lead since.
                if !job.has_placed(step) {
                    long.push((stall.since, Candidate { job: job.id, step, restarts: false }));
                }
            }
        }
        long.sort_by_key(|(since, candidate)| (*since, candidate.job, candidate.step));
        let mut told = 0;
        for (since, candidate) in long {
            if told == TOLD_AT_ONCE {
                return;
            }
            let Some(belief) = self.stall_belief(&candidate, open, now) else { continue };
            let Some(job) = self.jobs.get_mut(&candidate.job) else { continue };
            let work = &mut job.steps[candidate.step];
            let Some(stall) = &mut work.stall else { continue };
            // Looked at again later, whether it is told of or not: the look goes over all workers.
            stall.told = Some(now);
            if belief.places < ROOM_TIMES * belief.waiting {
                continue;
            }
            told += 1;
            let (step, reason) = (work.id, stall.reason);
            self.events.push(CellEvent::Stalled { step, reason, stood: now.since(since), belief });
        }
    }

    pub(super) fn stall_belief(
        &self,
        candidate: &Candidate,
        open: &OpenWorkers,
        now: Moment,
    ) -> Option<StallBelief> {
        let job = self.jobs.get(&candidate.job)?;
        let spec = job.step_spec(candidate.step);
        let advice = &job.steps[candidate.step].advice;
        let mut belief = StallBelief {
            waiting: waiting_tasks(job, candidate.step, now).len(),
            places: 0,
            places_good: 0,
            places_unknown: 0,
            good: advice.known.values().filter(|known| known.is_some()).count(),
            not_good: advice.known.values().filter(|known| known.is_none()).count(),
            tickets: advice.ticketed(now, self.timing.ticket_margin).count(),
            shunned: self.workers.iter().filter(|one| one.is_distrusted()).count(),
            share_percent: (self.share_of(&job.record.queue) * 100.0) as u64,
            asking: advice.asking.len(),
            asked_ago: advice.asked.map(|asked| now.since(asked)),
        };
        for key in &open.list {
            let worker = &self.workers[key.0];
            let places = match self.admits(*key, job, candidate.step, spec, now) {
                true => worker.free.capacity_for(&spec.need) as usize,
                false => 0,
            };
            belief.places += places;
            match advice.known.get(key) {
                Some(Some(_)) => belief.places_good += places,
                Some(None) => {}
                None => belief.places_unknown += places,
            }
        }
        Some(belief)
    }

    /// The steps that are stalled, by reason.
    pub fn stall_figures(&self, now: Moment) -> Vec<StallFigures> {
        let mut figures: BTreeMap<StallReason, StallFigures> = BTreeMap::new();
        let jobs = self.jobs.values().filter(|job| !job.is_over());
        let steps = jobs.flat_map(|job| (0..job.steps.len()).map(move |step| (job, step)));
        let stalled = steps.filter(|(job, step)| !job.has_placed(*step));
        for stall in stalled.filter_map(|(job, step)| job.steps[step].stall) {
            let reason = if self.knows_sizes(now) { stall.reason } else { StallReason::OldList };
            let one = figures.entry(reason);
            let one = one.or_insert(StallFigures { reason, steps: 0, longest: TimeSpan(0) });
            one.steps += 1;
            one.longest = one.longest.max(now.since(stall.since));
        }
        figures.into_values().collect()
    }
}
