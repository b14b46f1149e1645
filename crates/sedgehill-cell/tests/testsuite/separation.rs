//! Tasks that were lost with one worker restart within a bounded time, however many there are, and the one that crashes
//! its workers is still found by few starts.
//!
//! Guards against services without a run beside free workers. One of eight workers crashed with 28 services on it. No two
//! of them were started on one worker within 10 s, so 20 services had no run for 14 to 34 s:
//!
//! ```text
//! task without a run  cause=worker_lost reason=suspects_apart places=217 without_run_ms=34296
//! ```

use sedgehill_cell::ids::CellTask;
use sedgehill_cell::job::{AdvicePolicy, JobRecord, StepSpec};
use sedgehill_cell::progress::JobState;
use sedgehill_cell::scheduler::{CellEvent, HelperId, RunEnd, Scheduler, StallReason};
use sedgehill_core::units::{MemorySize, TimeSpan};

use crate::fake::{CrashRule, FakeCell, FakeService, FakeWorker, job, step, task};
use crate::restarts::long_running;

const CORES: u64 = 64;
/// The longest time without a run that users allow a long-running task: until it is due, and then without a run.
const MAX_TIME_WITHOUT_RUN: TimeSpan = TimeSpan(6_000 + 3_000);
/// The longest time until the lease of a silent worker has ended.
const MAX_LEASE: TimeSpan = TimeSpan(4_500);
/// The longest time for which a job may wait once no more jobs come, until it is asked for.
const MAX_FINISH_DELAY: TimeSpan = TimeSpan(14_000);
const BACK_AFTER: TimeSpan = TimeSpan(4_500);
const ADVICE: AdvicePolicy =
    AdvicePolicy { per_question_us: 13_000, per_worker_us: 180, valid: TimeSpan(2_000) };

struct SeparationScenario {
    cell: FakeCell,
    lead: Scheduler,
    service: FakeService,
    record: JobRecord,
}

impl SeparationScenario {
    /// Creates a cell in which worker 0 runs a task of each of `jobs` equal jobs.
    fn new(workers: u16, jobs: u64, record: JobRecord) -> SeparationScenario {
        let mut cell = FakeCell::new(workers, CORES);
        let mut lead = cell.lead(false);
        (1..=3).for_each(|helper| lead.add_helper(HelperId(helper)));
        let service = FakeService::new(ADVICE, |_, _| true);
        let mut scenario = SeparationScenario { cell, lead, service, record };
        scenario.turns(5);
        scenario.shrink_others(true);
        for id in 0..jobs {
            let record = scenario.record.clone();
            scenario.cell.submit_led(&mut scenario.lead, id, record);
        }
        scenario.turns(150);
        assert!((0..jobs).all(|id| scenario.cell.place(task(id, 0, 0)) == Some(0)));
        scenario.shrink_others(false);
        scenario
    }

    fn turn(&mut self) {
        self.cell.turn_advised(&mut self.lead, &mut self.service);
    }

    fn turns(&mut self, count: usize) {
        (0..count).for_each(|_| self.turn());
    }

    /// Shrinks all workers but the first so that they take no task, or gives them back their size.
    fn shrink_others(&mut self, shrunk: bool) {
        let memory = if shrunk { MemorySize(1 << 20) } else { MemorySize(64 << 30) };
        for worker in self.cell.workers.iter_mut().skip(1) {
            worker.entry.capacity.memory = memory;
        }
        self.cell.list(&mut self.lead);
        self.turns(5);
    }

    /// Crashes the worker with all jobs, which return to its next life.
    fn return_to_one_worker(&mut self, jobs: u64) {
        self.shrink_others(true);
        self.cell.crash(0, TimeSpan(500));
        self.turns(1_500);
        self.shrink_others(false);
        assert!(self.waiting(jobs).is_empty());
    }

    fn waiting(&self, jobs: u64) -> Vec<u64> {
        (0..jobs).filter(|id| self.cell.place(task(*id, 0, 0)).is_none()).collect()
    }

    fn crash_fullest(&mut self) {
        let numbers = 0..self.cell.workers.len();
        let fullest = numbers.max_by_key(|number| self.cell.workers[*number].run_count());
        self.cell.crash(fullest.unwrap(), BACK_AFTER);
    }

    /// Crashes the worker with the most runs, and returns the time until all jobs run again.
    fn time_to_recover(&mut self, jobs: u64, limit: TimeSpan) -> Option<TimeSpan> {
        self.crash_fullest();
        let begin = self.cell.now;
        while !self.waiting(jobs).is_empty() {
            if self.cell.now >= begin.after(limit) {
                return None;
            }
            self.turn();
        }
        Some(self.cell.now.since(begin))
    }

    #[track_caller]
    fn assert_recovers(&mut self, jobs: u64, limit: TimeSpan) {
        let time = self.time_to_recover(jobs, limit);
        let waiting = self.waiting(jobs);
        assert!(time.is_some(), "{} of {jobs} have no run after {limit}", waiting.len());
    }
}

fn service() -> JobRecord {
    job(vec![long_running(1, 1)])
}

fn lasting_batch() -> JobRecord {
    job(vec![StepSpec { estimate: TimeSpan(3_600_000), ..step(1, 1) }])
}

#[test]
fn all_services_of_a_crashed_worker_run_again_in_time() {
    for (workers, jobs) in [(8, 28), (3, 28), (2, 40), (20, 28)] {
        for age_in_turns in [10, 800] {
            let mut scenario = SeparationScenario::new(workers, jobs, service());
            scenario.turns(age_in_turns);
            scenario.assert_recovers(jobs, MAX_TIME_WITHOUT_RUN);
        }
    }
}

#[test]
fn advised_services_of_a_crashed_worker_run_again_in_time() {
    let mut record = service();
    record.policy.advice = Some(ADVICE);
    let mut scenario = SeparationScenario::new(8, 28, record);
    scenario.assert_recovers(28, MAX_TIME_WITHOUT_RUN);
}

#[test]
fn a_service_that_is_kept_apart_is_reported_with_its_reason() {
    let mut scenario = SeparationScenario::new(2, 28, service());
    scenario.lead.take_events();
    scenario.time_to_recover(28, MAX_TIME_WITHOUT_RUN);
    let reasons = scenario.lead.take_events().into_iter().filter_map(|event| match event {
        CellEvent::RestartLate { reason, .. } => Some(reason),
        _ => None,
    });
    assert!(reasons.into_iter().any(|reason| reason == StallReason::SuspectsApart));
}

#[test]
fn services_of_a_crashed_worker_are_spread_over_the_others() {
    let mut scenario = SeparationScenario::new(8, 28, service());
    scenario.turns(800);
    scenario.assert_recovers(28, MAX_TIME_WITHOUT_RUN);
    let most = scenario.cell.workers.iter().map(FakeWorker::run_count).max();
    assert_eq!(most, Some(4));
}

// After two crashes each of the services wants a worker without other jobs.
#[test]
fn services_that_lost_two_workers_run_again_in_time() {
    const JOBS: u64 = 24;
    for advised in [false, true] {
        let mut record = service();
        record.policy.advice = advised.then_some(ADVICE);
        let mut scenario = SeparationScenario::new(6, JOBS, record);
        scenario.return_to_one_worker(JOBS);
        scenario.assert_recovers(JOBS, MAX_TIME_WITHOUT_RUN);
    }
}

#[test]
fn lasting_batch_jobs_of_a_crashed_worker_run_again_before_they_are_asked_for() {
    let mut scenario = SeparationScenario::new(3, 28, lasting_batch());
    let limit = TimeSpan(MAX_LEASE.0 + MAX_FINISH_DELAY.0);
    scenario.assert_recovers(28, limit);
}

// After two crashes, the worker of a service is gone for good, so nothing tells whether it crashed as well.
#[test]
fn a_service_whose_third_worker_is_gone_for_good_runs_again_in_time() {
    let mut scenario = SeparationScenario::new(6, 1, service());
    for back in [BACK_AFTER, BACK_AFTER, TimeSpan(3_600_000)] {
        scenario.turns(800);
        let holder = scenario.cell.place(task(0, 0, 0)).expect("the service runs");
        scenario.cell.crash(holder, back);
        let begin = scenario.cell.now;
        while !scenario.waiting(1).is_empty() {
            scenario.turn();
            assert!(scenario.cell.now < begin.after(MAX_TIME_WITHOUT_RUN), "no run");
        }
    }
}

// Tasks that want workers of their own leave room for the jobs of others.
#[test]
fn suspects_on_all_workers_keep_no_job_from_starting() {
    const JOBS: u64 = 28;
    for record in [service(), lasting_batch()] {
        let mut scenario = SeparationScenario::new(3, JOBS, record);
        scenario.return_to_one_worker(JOBS);
        scenario.crash_fullest();
        scenario.turns(MAX_LEASE.0 as usize / 20);
        scenario.cell.submit_led(&mut scenario.lead, 90, job(vec![step(2, 1)]));
        let begin = scenario.cell.now;
        while scenario.cell.starts_of(task(90, 0, 0)) == 0 {
            assert!(scenario.cell.now < begin.after(MAX_FINISH_DELAY), "the job has not started");
            scenario.turn();
        }
    }
}

/// The outcome for services that were lost with one worker, some of which crash their workers.
#[derive(Debug)]
struct GuiltOutcome {
    most_starts: usize,
    failed: Vec<u64>,
    waiting: Vec<u64>,
}

/// Plays `jobs` services on one worker, of which the `guilty` ones crash each worker from now on.
fn play_guilty(workers: u16, jobs: u64, guilty: &[u64], after: TimeSpan) -> GuiltOutcome {
    let mut scenario = SeparationScenario::new(workers, jobs, service());
    let crashing: Vec<CellTask> = guilty.iter().map(|id| task(*id, 0, 0)).collect();
    for task in &crashing {
        let rule = CrashRule { after, back: BACK_AFTER, runs: usize::MAX };
        scenario.cell.make_crash(*task, rule);
        scenario.cell.end_anywhere(*task, RunEnd::Lapsed);
    }
    let starts = |scenario: &SeparationScenario| {
        crashing.iter().map(|task| scenario.cell.starts_of(*task)).max()
    };
    let before = starts(&scenario);
    scenario.turns(4_000);
    let state = |id: &u64| scenario.cell.progress(*id).state;
    GuiltOutcome {
        most_starts: starts(&scenario).unwrap_or(0) - before.unwrap_or(0),
        failed: (0..jobs).filter(|id| state(id) == JobState::Failed).collect(),
        waiting: scenario.waiting(jobs),
    }
}

#[test]
fn services_that_crash_their_workers_are_found_among_those_lost_with_them() {
    const JOBS: u64 = 28;
    for (workers, guilty) in [(3, &[0][..]), (3, &[27]), (8, &[9]), (8, &[0, 13, 27]), (16, &[27])]
    {
        for after in [10, 300, 1_000] {
            let outcome = play_guilty(workers, JOBS, guilty, TimeSpan(after));
            let course = format!("{workers} workers, jobs {guilty:?}, {after} ms: {outcome:?}");
            assert_eq!(outcome.failed, guilty, "{course}");
            assert_eq!(outcome.waiting, guilty, "{course}");
            // Three crashes, and two starts that users accept after them.
            assert!(outcome.most_starts <= 5, "{course}");
        }
    }
}
