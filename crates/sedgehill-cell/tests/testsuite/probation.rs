//! Workers that are suspended after faults take work again within a bounded time, whatever runs there meanwhile.
//!
//! Guards against steps that never start beside free workers. Three runs of a service failed on each of three workers
//! while it came up, and then it ran there. A worker on probation took no second run until one had ended well, and a
//! service never ends: a job of two tasks stood for 40 s with 3 of 48 cores in use.
//!
//! ```text
//! step stalled  reason=shunned places=0 places_shunned=45 shunned=3 waiting=2 stalled_ms=33036
//! ```

use std::collections::BTreeSet;

use sedgehill_cell::ids::CellTask;
use sedgehill_cell::job::{AdvicePolicy, JobRecord, StepSpec};
use sedgehill_cell::progress::JobState;
use sedgehill_cell::scheduler::{CellEvent, HelperId, RunEnd, Scheduler, StallReason};
use sedgehill_core::units::TimeSpan;

use crate::fake::{FakeCell, FakeService, job, step, task};
use crate::restarts::long_running;

const WORKERS: u16 = 3;
const CORES: u64 = 16;
/// Job numbers of the services and jobs that tests submit.
const SERVICE: u64 = 1;
const LATER_JOB: u64 = 90;
/// The longest time for which a job may have nothing running beside free workers.
const MAX_STALL: TimeSpan = TimeSpan(3_000);
/// The longest time from the loss of a long-running task's run to its next one.
const MAX_RESTART_DELAY: TimeSpan = TimeSpan(6_000);
/// The longest time for which a job may wait once no more jobs come, until it is asked for.
const MAX_FINISH_DELAY: TimeSpan = TimeSpan(14_000);

const ADVICE: AdvicePolicy =
    AdvicePolicy { per_question_us: 13_000, per_worker_us: 180, valid: TimeSpan(2_000) };

struct ProbationScenario {
    cell: FakeCell,
    lead: Scheduler,
    service: FakeService,
}

impl ProbationScenario {
    fn new(workers: u16) -> ProbationScenario {
        let mut cell = FakeCell::new(workers, CORES);
        let mut lead = cell.lead(false);
        (1..=3).for_each(|helper| lead.add_helper(HelperId(helper)));
        let service = FakeService::new(ADVICE, |_, _| true);
        let mut scenario = ProbationScenario { cell, lead, service };
        scenario.turns(5);
        scenario
    }

    fn turn(&mut self) {
        self.cell.turn_advised(&mut self.lead, &mut self.service);
    }

    fn turns(&mut self, count: usize) {
        (0..count).for_each(|_| self.turn());
    }

    fn submit(&mut self, id: u64, record: JobRecord) {
        self.cell.submit_led(&mut self.lead, id, record);
    }

    /// Runs turns until the condition holds. Returns how long that took, or `None` if it took longer than `limit`.
    fn time_until(
        &mut self,
        limit: TimeSpan,
        condition: impl Fn(&FakeCell) -> bool,
    ) -> Option<TimeSpan> {
        let begin = self.cell.now;
        while !condition(&self.cell) {
            if self.cell.now >= begin.after(limit) {
                return None;
            }
            self.turn();
        }
        Some(self.cell.now.since(begin))
    }

    #[track_caller]
    fn assert_starts(&mut self, id: u64, limit: TimeSpan) {
        let started = self.time_until(limit, |cell| cell.starts_of(task(id, 0, 0)) > 0);
        assert!(started.is_some(), "job {id} has not started after {limit}");
    }

    /// Suspends all workers: a job of one task for each of them fails, three times over.
    fn suspend_all(&mut self) {
        let workers = self.cell.workers.len() as u16;
        for id in 50..53 {
            self.submit(id, job(vec![step(workers, CORES)]));
            let last = task(id, 0, workers - 1);
            let started = self.time_until(TimeSpan(500), |cell| cell.place(last).is_some());
            assert!(started.is_some());
            for number in 0..workers {
                self.cell.end_anywhere(task(id, 0, number), RunEnd::Failed);
            }
            self.cell.cancel(&mut self.lead, id);
            self.turns(3);
        }
        let suspended = |event: &CellEvent| {
            matches!(event, CellEvent::WorkerChanged { change: "fails what it runs", .. })
        };
        let events = self.lead.take_events();
        assert_eq!(events.iter().filter(|event| suspended(event)).count(), usize::from(workers));
    }
}

fn service(count: u16) -> JobRecord {
    let mut record = job(vec![StepSpec { max_per_worker: Some(1), ..long_running(count, 1) }]);
    record.policy.priority = 1;
    record
}

fn batch(count: u16, need: u64, estimate: TimeSpan) -> JobRecord {
    job(vec![StepSpec { estimate, ..step(count, need) }])
}

fn short_batch() -> JobRecord {
    batch(2, 1, TimeSpan(500))
}

fn places(cell: &FakeCell, id: u64, count: u16) -> usize {
    (0..count).filter(|index| cell.place(task(id, 0, *index)).is_some()).count()
}

#[test]
fn a_service_that_fails_while_it_comes_up_keeps_no_work_from_its_workers() {
    let mut scenario = ProbationScenario::new(WORKERS);
    scenario.submit(SERVICE, service(WORKERS));
    for _ in 0..3 {
        let runs = |cell: &FakeCell| places(cell, SERVICE, WORKERS) == usize::from(WORKERS);
        assert!(scenario.time_until(TimeSpan(4_000), runs).is_some());
        scenario.turns(30);
        for index in 0..WORKERS {
            scenario.cell.end_anywhere(task(SERVICE, 0, index), RunEnd::Failed);
        }
    }
    scenario.turns(400);
    scenario.submit(LATER_JOB, short_batch());
    scenario.assert_starts(LATER_JOB, MAX_STALL);
}

#[test]
fn long_running_probes_keep_no_work_from_their_workers() {
    let mut scenario = ProbationScenario::new(WORKERS);
    scenario.suspend_all();
    scenario.submit(SERVICE, service(WORKERS));
    let runs = |cell: &FakeCell| places(cell, SERVICE, WORKERS) == usize::from(WORKERS);
    assert!(scenario.time_until(MAX_RESTART_DELAY, runs).is_some());
    scenario.submit(LATER_JOB, short_batch());
    scenario.assert_starts(LATER_JOB, MAX_STALL);
}

#[test]
fn a_step_that_waits_for_trust_is_reported_with_its_reason() {
    let mut scenario = ProbationScenario::new(WORKERS);
    scenario.suspend_all();
    scenario.submit(SERVICE, batch(WORKERS, 1, TimeSpan(60_000)));
    scenario.turns(150);
    scenario.submit(LATER_JOB, short_batch());
    // A stall of 3 s is reported, after up to one second until it is noted and one until it is looked at again.
    scenario.turns(260);
    let stalled = scenario.lead.take_events().into_iter().find_map(|event| match event {
        CellEvent::Stalled { reason, details, .. } => Some((reason, details.places_untrusted)),
        _ => None,
    });
    assert_eq!(stalled, Some((StallReason::UntrustedWorkers, 45)));
}

// Every worker has one run of an hour as its probe, and many jobs wait.
#[test]
fn all_waiting_jobs_start_although_all_probes_last_for_hours() {
    const JOBS: u64 = 40;
    let mut scenario = ProbationScenario::new(WORKERS);
    scenario.suspend_all();
    scenario.submit(SERVICE, batch(WORKERS, 1, TimeSpan(3_600_000)));
    let runs = |cell: &FakeCell| places(cell, SERVICE, WORKERS) == usize::from(WORKERS);
    assert!(scenario.time_until(TimeSpan(4_000), runs).is_some());
    for id in LATER_JOB..LATER_JOB + JOBS {
        scenario.submit(id, batch(1, 1, TimeSpan(3_600_000)));
    }
    let started = |cell: &FakeCell| {
        (LATER_JOB..LATER_JOB + JOBS).all(|id| cell.starts_of(task(id, 0, 0)) > 0)
    };
    assert!(scenario.time_until(MAX_FINISH_DELAY, started).is_some());
}

#[test]
fn a_probe_that_was_stopped_is_followed_by_the_next_one() {
    let mut scenario = ProbationScenario::new(1);
    scenario.submit(SERVICE, service(1));
    scenario.turns(10);
    // The service holds one core, and the failing jobs all others.
    for id in 50..53 {
        scenario.submit(id, batch(1, CORES - 1, TimeSpan(1_000)));
        scenario.turns(5);
        scenario.cell.end_anywhere(task(id, 0, 0), RunEnd::Failed);
        scenario.cell.cancel(&mut scenario.lead, id);
        scenario.turns(5);
    }
    let probe = 60;
    scenario.submit(probe, batch(1, 1, TimeSpan(60_000)));
    scenario.assert_starts(probe, TimeSpan(3_000));
    scenario.turns(10);
    scenario.cell.cancel(&mut scenario.lead, probe);
    scenario.turns(50);
    scenario.submit(LATER_JOB, short_batch());
    scenario.assert_starts(LATER_JOB, MAX_STALL);
}

/// Returns how long the service with probes on all workers takes to run again after its run
/// lapsed.
fn restart_delay(advised: bool, probes: impl Fn(&mut ProbationScenario)) -> Option<TimeSpan> {
    let mut scenario = ProbationScenario::new(4);
    let mut record = service(1);
    record.policy.advice = advised.then_some(ADVICE);
    scenario.submit(SERVICE, record);
    scenario.turns(20);
    // The workers are suspended while the service holds a core of one of them.
    for id in 50..53 {
        scenario.submit(id, batch(4, CORES - 1, TimeSpan(1_000)));
        scenario.turns(5);
        for index in 0..4 {
            scenario.cell.end_anywhere(task(id, 0, index), RunEnd::Failed);
        }
        scenario.cell.cancel(&mut scenario.lead, id);
        scenario.turns(5);
    }
    scenario.turns(130);
    probes(&mut scenario);
    scenario.turns(20);
    scenario.cell.end_anywhere(task(SERVICE, 0, 0), RunEnd::Lapsed);
    scenario.time_until(TimeSpan(60_000), |cell| cell.place(task(SERVICE, 0, 0)).is_some())
}

#[test]
fn a_service_restarts_beside_probes_that_last_for_hours() {
    for advised in [false, true] {
        let delay = restart_delay(advised, |scenario| {
            scenario.submit(70, batch(4, 1, TimeSpan(3_600_000)));
        });
        assert!(delay.is_some_and(|delay| delay <= MAX_RESTART_DELAY), "{advised} {delay:?}");
    }
}

#[test]
fn a_service_restarts_although_nothing_has_probed_a_worker() {
    for advised in [false, true] {
        let delay = restart_delay(advised, |_| {});
        assert!(delay.is_some_and(|delay| delay <= MAX_RESTART_DELAY), "{advised} {delay:?}");
    }
}

// The tasks take 40 times their estimate. All workers are on probation, where runs that take far too long are moved.
#[test]
fn tasks_that_take_far_longer_than_estimated_end_although_no_worker_is_trusted() {
    let mut scenario = ProbationScenario::new(WORKERS);
    scenario.suspend_all();
    scenario.submit(LATER_JOB, batch(WORKERS, 1, TimeSpan(500)));
    let begin = scenario.cell.now;
    while scenario.cell.progress(LATER_JOB).state != JobState::Completed {
        assert!(scenario.cell.now < begin.after(TimeSpan(60_000)), "the job has not ended");
        scenario.turn();
        scenario.cell.end_older_than(TimeSpan(20_000));
    }
}

// A service fails a moment after each start, on every worker. Other work goes on beside it.
#[test]
fn services_that_fail_for_ever_keep_no_work_from_the_workers() {
    const SERVICES: u64 = 4;
    let mut scenario = ProbationScenario::new(WORKERS);
    for id in SERVICE..SERVICE + SERVICES {
        scenario.submit(id, service(WORKERS));
    }
    let tasks: Vec<CellTask> = (SERVICE..SERVICE + SERVICES)
        .flat_map(|id| (0..WORKERS).map(move |index| task(id, 0, index)))
        .collect();
    let mut later_jobs = 0;
    for round in 0..60 {
        scenario.turns(30);
        for failing in &tasks {
            if scenario.cell.place(*failing).is_some() {
                scenario.cell.end_anywhere(*failing, RunEnd::Failed);
            }
        }
        if round % 10 == 9 {
            scenario.submit(LATER_JOB + later_jobs, short_batch());
            later_jobs += 1;
        }
    }
    let stalled = (LATER_JOB..LATER_JOB + later_jobs - 1)
        .filter(|id| scenario.cell.starts_of(task(*id, 0, 0)) == 0);
    assert_eq!(stalled.count(), 0);
}

#[test]
fn a_worker_that_fails_all_that_it_starts_gets_few_runs() {
    const JOBS: u64 = 300;
    let mut scenario = ProbationScenario::new(4);
    let failing = scenario.cell.workers[0].entry.life.clone();
    for id in LATER_JOB..LATER_JOB + JOBS {
        scenario.submit(id, batch(2, 2, TimeSpan(1_000)));
        scenario.turns(5);
        scenario.cell.end_older_than(TimeSpan(1_000));
        let started: BTreeSet<CellTask> =
            scenario.cell.starts.iter().rev().take(100).map(|(started, ..)| *started).collect();
        for started in started {
            if scenario.cell.place(started) == Some(0) {
                scenario.cell.end_anywhere(started, RunEnd::Failed);
            }
        }
    }
    let starts = scenario.cell.starts.iter().filter(|(.., life)| *life == failing).count();
    // In 30 s: some until it is suspended, and a probe after each suspension of 2.5 s.
    assert!((4..=24).contains(&starts), "{starts} starts");
}
