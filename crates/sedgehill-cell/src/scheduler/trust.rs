//! Decides how far a worker is trusted with work, similar to a circuit breaker.
//!
//! A worker that fails or delays its runs gets no work for a while, and then a single run as a
//! probe. It is trusted again once a run ends well. That end may never come: long-running tasks have
//! none, and other runs may take hours. Time therefore counts as well. A long-running run that has
//! lasted for [`PROBE_PROOF`] is as good as one that ended well, and after [`PROBE_GROWTH_DELAY`]
//! without a fault the number of probes doubles at short intervals until there is no limit.
//!
//! A run fails through its worker's fault or its own. A task that fails wherever it runs must not
//! have all workers suspended, so only its first failures in a row count against workers.

use sedgehill_core::units::{Moment, TimeSpan};

use super::worker::WorkerState;
use super::worker_run::{RunPhase, WorkerRun};
use super::*;

/// A long-running run that has lasted this long proves its worker sound. Tasks that fail while they
/// start do so earlier.
const PROBE_PROOF: TimeSpan = TimeSpan(2_500);
/// The time from the first probe until more than one is allowed. Usual runs have ended or are
/// overdue by then.
const PROBE_GROWTH_DELAY: TimeSpan = TimeSpan(10_000);
/// The interval at which the number of probes doubles.
const PROBE_GROWTH_INTERVAL: TimeSpan = TimeSpan(1_000);
/// The number of doublings after which the worker is trusted again. Few workers have room for more
/// tasks.
const MAX_PROBE_DOUBLINGS: u64 = 4;
/// The failures of one task in a row that count against workers.
const MAX_BLAMED_FAILURES: u32 = 2;
/// A run that failed after this time had worked well before.
const MIN_GOOD_RUN: TimeSpan = TimeSpan(10_000);

/// How far a worker is trusted with work.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WorkerTrust {
    /// It gets as much work as fits.
    Trusted,
    /// It gets no work before the given moment, and then one run as a probe.
    Suspended(Moment),
    /// It has been probed since the given moment, and gets a limited number of runs.
    Probing(Moment),
}

/// Returns how many probes there may be after probing for `elapsed`; none if there is no limit any
/// more.
fn probe_limit(elapsed: TimeSpan) -> Option<usize> {
    let Some(growth) = elapsed.0.checked_sub(PROBE_GROWTH_DELAY.0) else { return Some(1) };
    let doublings = growth / PROBE_GROWTH_INTERVAL.0 + 1;
    (doublings <= MAX_PROBE_DOUBLINGS).then(|| 1 << doublings)
}

impl WorkerState {
    /// Returns how many runs may be added now, by its trust.
    pub fn runs_allowed(&self, now: Moment) -> usize {
        match self.trust {
            WorkerTrust::Trusted => usize::MAX,
            WorkerTrust::Suspended(until) if now < until => 0,
            WorkerTrust::Suspended(_) => 1,
            WorkerTrust::Probing(since) => probe_limit(now.since(since))
                .map_or(usize::MAX, |limit| limit.saturating_sub(self.probe_count(since))),
        }
    }

    /// Returns how many members of a gang may be added now. Gang members probe a worker together:
    /// limited to one member each, workers suspended long ago that nothing else had probed could
    /// not hold a gang wider than their number. They are chosen last.
    pub fn members_allowed(&self, now: Moment) -> usize {
        match self.trust {
            WorkerTrust::Suspended(until) if now >= until => usize::MAX,
            WorkerTrust::Probing(since) if self.probe_count(since) == 0 => usize::MAX,
            _ => self.runs_allowed(now),
        }
    }

    /// Returns how many long-running tasks that lost their run may be added now. They are owed a
    /// run within seconds, which a probe that is under way may take much longer than.
    pub fn restarts_allowed(&self, now: Moment) -> usize {
        match self.trust {
            WorkerTrust::Suspended(until) if now < until => 0,
            _ => usize::MAX,
        }
    }

    fn probe_count(&self, since: Moment) -> usize {
        self.runs.values().filter(|run| run.since >= since).count()
    }

    /// Notes that a run is being started, which probes a worker that is not trusted.
    pub fn note_probe(&mut self, now: Moment) {
        if matches!(self.trust, WorkerTrust::Suspended(_)) {
            self.trust = WorkerTrust::Probing(now);
        }
    }

    /// Notes a fault. Returns whether the worker is suspended for it.
    pub fn note_fault(&mut self, now: Moment, timing: &CellTiming) -> bool {
        self.consecutive_faults += 1;
        let on_trial = self.trust != WorkerTrust::Trusted;
        let suspended = timing.policy.shunning
            && (on_trial || self.consecutive_faults >= timing.max_consecutive_faults);
        if suspended {
            self.trust = WorkerTrust::Suspended(now.after(timing.suspension));
            self.consecutive_faults = 0;
        }
        suspended
    }

    /// Notes that a run ended well.
    pub fn note_success(&mut self) {
        self.consecutive_faults = 0;
        self.trust = WorkerTrust::Trusted;
    }

    /// Trusts a worker whose probes have shown no fault for long enough. The next fault suspends it
    /// again, since no run has ended well yet. Returns whether it is trusted anew.
    fn end_probing(&mut self, now: Moment, timing: &CellTiming) -> bool {
        let WorkerTrust::Probing(since) = self.trust else { return false };
        let is_proof = |run: &WorkerRun| {
            let lasted = run.since >= since && now >= run.since.after(PROBE_PROOF);
            run.long_running && run.phase == RunPhase::Confirmed && lasted
        };
        let ends = probe_limit(now.since(since)).is_none() || self.runs.values().any(is_proof);
        if ends {
            self.trust = WorkerTrust::Trusted;
            self.consecutive_faults = timing.max_consecutive_faults.saturating_sub(1);
        }
        ends
    }
}

impl Scheduler {
    /// Restores the trust in workers whose probes have shown no fault for long enough.
    pub(super) fn restore_trust(&mut self, now: Moment) {
        for key in (0..self.workers.len()).map(WorkerKey) {
            if self.workers[key.0].end_probing(now, &self.timing) {
                self.report_worker_change(key, "trusted again");
            }
        }
    }

    /// Counts a failed run of a task. Returns whether it counts against its worker. `lasted` is how
    /// long the run is known to have lasted.
    pub(super) fn count_failure(&mut self, task: &CellTask, lasted: TimeSpan) -> bool {
        let Some(job) = self.jobs.get_mut(&task.step.job) else { return true };
        let Some(index) = job.task_index(task) else { return true };
        let failures = &mut job.tasks[index].consecutive_failures;
        if lasted >= MIN_GOOD_RUN {
            *failures = 0;
        }
        *failures = failures.saturating_add(1);
        *failures <= MAX_BLAMED_FAILURES
    }
}
