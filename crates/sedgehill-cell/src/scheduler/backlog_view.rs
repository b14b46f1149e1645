//! Gathers what occupies and waits for the room under the organisations' limits.
//!
//! Walking all jobs takes as long as ranking them for a turn, so a decision uses a view that is a
//! tenth of a second old at most while turns are made, to which every admission is added at once.

use std::collections::BTreeMap;

use sedgehill_core::units::{Moment, ResourceSet, TimeSpan};

use super::active_job::ActiveJob;
use super::admission_ledger::{AdmissionStats, EndedValue};
use super::backlog::{BacklogGroup, BacklogRank, CountedRun, LimitLoad};
use super::forecast::RunForecast;
use super::organisations::OrganisationKey;
use super::rank::{LATE_FACTOR, latest_start};
use super::*;

/// The view is renewed in the turn after it has reached this age: an eighth of the shortest usual run
/// time, which is 0.8 s.
const VIEW_SPAN: TimeSpan = TimeSpan(100);
/// The view is renewed by the decision itself if it is older than this, as after a pause without
/// submissions or turns.
const MAX_VIEW_AGE: TimeSpan = TimeSpan(500);
/// The view is not renewed by turns if no decision was wanted for this long.
const IDLE_SPAN: TimeSpan = TimeSpan(400);
/// Counted ends of jobs that are no longer known are forgotten once there are so many more than jobs.
const MAX_SURPLUS_ENDS: usize = 1_000;
/// A run of unknown age, which an earlier lead started, is assumed to be halfway.
const UNKNOWN_AGE_DIVISOR: u64 = 2;

/// The largest part of a run's expected time, in percent, that a refusal assumes. The forecast of
/// the wait errs too, which the spread of a queue's run times does not show.
const OPTIMISTIC_PERCENT: u64 = 67;

/// Returns the least time that a run of a job may take, as far as refusing the job is concerned.
pub(super) fn optimistic_time(run: &RunForecast) -> TimeSpan {
    run.lower.min(TimeSpan(run.expected.0 * OPTIMISTIC_PERCENT / 100))
}

impl Scheduler {
    /// Returns figures about admission.
    pub fn admission_stats(&self) -> AdmissionStats {
        self.admissions.stats()
    }

    /// Renews the view of the backlog if it is due, and compares refusals with the room that there is.
    pub(super) fn update_admissions(&mut self, now: Moment) {
        if self.admissions.was_asked_within(IDLE_SPAN, now)
            && self.admissions.is_view_older(VIEW_SPAN, now)
        {
            self.view_backlog(now);
        }
        if self.admissions.counted_ends() > self.jobs.len() + MAX_SURPLUS_ENDS {
            let jobs = &self.jobs;
            self.admissions.forget_ended(|id| jobs.contains_key(id));
        }
        let organisations = &self.organisations;
        self.admissions.check_refusals(|owner| organisations.unreserved_room(owner), now);
    }

    /// Makes sure that there is a view of the backlog for a decision.
    pub(super) fn prepare_backlog(&mut self, now: Moment) {
        self.admissions.note_asked(now);
        if self.admissions.is_view_older(MAX_VIEW_AGE, now) {
            self.view_backlog(now);
        }
    }

    fn view_backlog(&mut self, now: Moment) {
        let mut runs: BTreeMap<OrganisationKey, Vec<CountedRun>> = BTreeMap::new();
        let mut waiting: BTreeMap<OrganisationKey, Vec<BacklogGroup>> = BTreeMap::new();
        for job in self.jobs.values() {
            let Some(owner) = job.owner.filter(|owner| self.organisations.is_limited(*owner))
            else {
                continue;
            };
            runs.entry(owner).or_default().extend(self.counted_runs(job, now));
            if !job.is_over() && !job.led_elsewhere {
                let groups = self.backlog_groups(job, |forecast| forecast.expected, now);
                waiting.entry(owner).or_default().extend(groups);
            }
        }
        let mut loads: BTreeMap<OrganisationKey, LimitLoad> = BTreeMap::new();
        for (owner, mut runs) in runs {
            let occupied = self.organisations.occupied(owner);
            runs.extend(self.leftover_run(&runs, &occupied, now));
            let mut load = LimitLoad::new(occupied, runs, now);
            load.extend_waiting(waiting.remove(&owner).unwrap_or_default());
            loads.insert(owner, load);
        }
        self.admissions.set_loads(loads, now);
        let jobs = &self.jobs;
        self.admissions.forget_ended(|id| jobs.contains_key(id));
    }

    /// Returns the runs of a job that count against the limit of its organisation.
    fn counted_runs(&self, job: &ActiveJob, now: Moment) -> Vec<CountedRun> {
        let mut runs = Vec::new();
        for (number, step) in job.steps.iter().enumerate().filter(|(_, step)| step.unfinished > 0) {
            let spec = job.step_spec(number);
            let expected = self.forecast_run(job, number, None).expected;
            let stoppable = spec.checkpointing && !spec.gang && !spec.long_running;
            for (index, task) in job.step_tasks(number).iter().enumerate() {
                let TaskPhase::Placed(key, _) = task.phase else { continue };
                let task = CellTask { step: step.id, index: index as u16 };
                let Some(run) = self.workers[key.0].runs.get(&task) else { continue };
                let assumed = || now.after(TimeSpan(expected.0 / UNKNOWN_AGE_DIVISOR));
                let end = match run.long_running {
                    true => None,
                    false => Some(self.expected_end(run, now).unwrap_or_else(assumed)),
                };
                let need = run.need.unwrap_or(spec.need);
                let priority = job.record.policy.priority;
                runs.push(CountedRun { need, end, priority, stoppable });
            }
        }
        runs
    }

    /// Notes in the view that a task was started whose run is expected to take this long; none if it
    /// has no end.
    pub(super) fn note_backlog_start(
        &mut self,
        task: &CellTask,
        need: ResourceSet,
        expected: Option<TimeSpan>,
        now: Moment,
    ) {
        let Some(job) = self.jobs.get(&task.step.job) else { return };
        let (Some(owner), Some(step)) = (job.owner, job.step_index(&task.step)) else { return };
        let spec = job.step_spec(step);
        let run = CountedRun {
            need,
            end: expected.map(|expected| now.after(expected)),
            priority: job.record.policy.priority,
            stoppable: spec.checkpointing && !spec.gang && !spec.long_running,
        };
        self.admissions.note_start(owner, task.step.job, run, now);
    }

    /// Returns what counts against a limit and belongs to no placed task, such as a second run that is
    /// being stopped, as a run that ends soon.
    fn leftover_run(
        &self,
        runs: &[CountedRun],
        occupied: &ResourceSet,
        now: Moment,
    ) -> Option<CountedRun> {
        let placed = runs.iter().fold(ResourceSet::default(), |sum, run| sum.plus(&run.need));
        let need = occupied.saturating_minus(&placed);
        let end = Some(now.after(self.timing.stop));
        (!need.is_empty()).then_some(CountedRun { need, end, priority: 0, stoppable: false })
    }

    /// Returns the waiting tasks of a job that has value, by step, with the time of each task that
    /// `duration` chooses from its forecast.
    pub(super) fn backlog_groups(
        &self,
        job: &ActiveJob,
        duration: impl Fn(RunForecast) -> TimeSpan,
        now: Moment,
    ) -> Vec<BacklogGroup> {
        let unix_ms = self.unix_ms_at(now);
        let is_accepted = self.jobs.contains_key(&job.id);
        let mut groups = Vec::new();
        let mut ready: Vec<Moment> = Vec::new();
        for (step, active_step) in job.steps.iter().enumerate() {
            if active_step.id.step == 0 {
                ready.clear();
            }
            let spec = job.step_spec(step);
            let before = spec.after.iter().map(|before| ready[usize::from(*before)]);
            let available_at = before.max().unwrap_or(now).max(now);
            let forecast = self.forecast_run(job, step, None);
            let is_open = active_step.unfinished > 0;
            ready.push(if is_open { available_at.after(forecast.expected) } else { now });
            let is_later_repetition = job.objective_start(step, unix_ms, now) > now;
            if !is_open
                || is_later_repetition
                // A new job is judged by its forecast, not by its caller's estimate.
                || is_accepted
                    && !self.rank_of(job, step, now).has_value()
                    && !spec.long_running
            {
                continue;
            }
            let count = job.step_tasks(step).iter().filter(|task| task.waits()).count() as u32;
            if count > 0 {
                groups.push(BacklogGroup {
                    job: job.id,
                    rank: BacklogRank {
                        over_share: self.is_over_share(job),
                        priority: job.record.policy.priority,
                        latest_start: latest_start(job, step, unix_ms, now),
                    },
                    count,
                    gang: spec.gang,
                    need: spec.need,
                    duration: (!spec.long_running).then(|| duration(forecast)),
                    available_at,
                    accepted: job.accepted,
                });
            }
        }
        groups
    }

    /// Returns the forecast of the longest chain of a job's steps in one repetition, with
    /// [`optimistic_time`] as its lower side.
    pub(super) fn chain_forecast(&self, job: &ActiveJob) -> RunForecast {
        let none = RunForecast { lower: TimeSpan(0), expected: TimeSpan(0), upper: TimeSpan(0) };
        let mut ends: Vec<RunForecast> = Vec::new();
        for (step, spec) in job.record.spec.steps.iter().enumerate() {
            let before = spec.after.iter().map(|before| ends[usize::from(*before)]);
            let begin = before.max_by_key(|end| end.expected).unwrap_or(none);
            let run = self.forecast_run(job, step, None);
            ends.push(RunForecast {
                lower: TimeSpan(begin.lower.0 + optimistic_time(&run).0),
                expected: TimeSpan(begin.expected.0 + run.expected.0),
                upper: TimeSpan(begin.upper.0 + run.upper.0),
            });
        }
        ends.into_iter().max_by_key(|end| end.expected).unwrap_or(none)
    }

    /// Counts the end of a job that is subject to admission, by its value. `after` is its time since
    /// its caller sent it.
    pub(super) fn note_ended_value(&mut self, id: JobId, after: TimeSpan) {
        let Some(job) = self.jobs.get(&id) else { return };
        let is_limited = job.owner.is_some_and(|owner| self.organisations.is_limited(owner));
        let is_judged = is_limited && !job.is_long_running() && job.record.spec.repeat.is_none();
        let late = after.0 > LATE_FACTOR * job.record.objective().0;
        let value = match job.state {
            JobState::Completed if late => EndedValue::Late,
            JobState::Failed => EndedValue::Failed,
            _ => EndedValue::Some,
        };
        let is_judged = is_judged && self.timing.policy.admission;
        if is_judged && job.state != JobState::Cancelled {
            self.admissions.count_ended(id, value);
        }
    }
}
