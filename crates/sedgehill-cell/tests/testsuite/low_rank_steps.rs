//! Steps of the lowest rank get their question within a bounded time, however many steps of higher rank wait.
//!
//! Guards against starvation: jobs that are too late to earn anything come last, and under a steady load of expensive
//! questions no box is ever free for them. After a mass loss of workers, two gangs had nothing running for more than a
//! minute: one that had lost its run and one that never started. 61 such steps were left. Metrics of the lead:
//!
//! ```text
//! at 101.0 s  sedgehill_cell_stalled_longest_seconds{reason="no_helper"}  78.3
//! at  91.0 s  sedgehill_cell_stalled_steps{reason="no_helper"}            61
//! ```

use sedgehill_cell::ids::JobId;
use sedgehill_cell::job::{AdvicePolicy, JobRecord, StepSpec};
use sedgehill_cell::scheduler::{HelperId, Scheduler};
use sedgehill_core::units::TimeSpan;

use crate::fake::{FakeCell, FakeService, HelperFault, job, step};

/// Cost of a question at the most expensive of the users' small sites.
const EXPENSIVE_ADVICE: AdvicePolicy =
    AdvicePolicy { per_question_us: 480_000, per_worker_us: 6_800, valid: TimeSpan(2_000) };
/// Cost of a question that takes some milliseconds.
const CHEAP_ADVICE: AdvicePolicy =
    AdvicePolicy { per_question_us: 5_600, per_worker_us: 80, valid: TimeSpan(2_000) };
const WORKERS: u16 = 48;
const CORES: u64 = 16;
/// Number of helper boxes beside the lead's own box: six boxes in all, as on a small site.
const HELPERS: u64 = 5;
/// Duration of a run.
const RUN_DURATION: TimeSpan = TimeSpan(300);
/// Time for which all questions fail after the late job was accepted.
const OUTAGE_MS: u64 = 12_000;
/// Users allow three seconds without anything running. Two questions of 0.8 s may follow, each up to half as long
/// again.
const MAX_START_DELAY_MS: u64 = 3_000 + 2 * 1_500;
/// Number of other jobs that wait when the questions succeed again.
const WAITING_JOBS: u64 = 40;
/// Number of the late job.
const LATE_JOB: u64 = 1;
/// Lowest number of the other jobs.
const FIRST_OTHER_JOB: u64 = 1_000;

fn gang(count: u16, need: u64, advice: AdvicePolicy) -> JobRecord {
    let mut record = job(vec![StepSpec { gang: true, ..step(count, need) }]);
    record.policy.advice = Some(advice);
    record
}

/// A cell under a steady load of expensive questions, with a job that is too late to earn anything.
struct RankScenario {
    cell: FakeCell,
    lead: Scheduler,
    service: FakeService,
    other_jobs: u64,
}

impl RankScenario {
    fn new() -> RankScenario {
        let mut cell = FakeCell::new(WORKERS, CORES);
        let mut lead = cell.lead(false);
        (1..=HELPERS).for_each(|helper| lead.add_helper(HelperId(helper)));
        let mut service = FakeService::new(EXPENSIVE_ADVICE, |_, _| true);
        let fails = (0..=HELPERS).map(|helper| (HelperId(helper), HelperFault::Fails));
        service.faults.extend(fails);
        let mut scenario = RankScenario { cell, lead, service, other_jobs: 0 };
        scenario.turn();
        scenario.cell.submit_led(&mut scenario.lead, LATE_JOB, gang(24, 4, EXPENSIVE_ADVICE));
        let begin = scenario.cell.now;
        while scenario.cell.now.since(begin).0 < OUTAGE_MS {
            scenario.turn();
        }
        // Other jobs wait as well when the questions succeed again.
        for _ in 0..WAITING_JOBS {
            scenario.other_jobs += 1;
            let other = gang(4, 1, EXPENSIVE_ADVICE);
            scenario.cell.submit_led(
                &mut scenario.lead,
                FIRST_OTHER_JOB + scenario.other_jobs,
                other,
            );
        }
        scenario.service.faults.clear();
        scenario
    }

    fn turn(&mut self) {
        self.cell.turn_advised(&mut self.lead, &mut self.service);
        self.cell.end_old(RUN_DURATION);
    }

    /// Submits 12 other jobs per second, twice as many as the boxes can ask about.
    fn submit_other(&mut self, advice: AdvicePolicy) {
        if self.cell.now.0.is_multiple_of(80) {
            self.other_jobs += 1;
            self.cell.submit_led(
                &mut self.lead,
                FIRST_OTHER_JOB + self.other_jobs,
                gang(4, 1, advice),
            );
        }
    }

    fn started(&self, id: u64) -> usize {
        self.cell.starts.iter().filter(|(task, ..)| task.step.job == JobId(id)).count()
    }
}

#[test]
fn a_late_gang_starts_under_steady_load_of_expensive_questions() {
    let mut scenario = RankScenario::new();
    let begin = scenario.cell.now;
    while scenario.started(LATE_JOB) == 0 && scenario.cell.now.since(begin).0 < MAX_START_DELAY_MS {
        scenario.submit_other(EXPENSIVE_ADVICE);
        scenario.turn();
    }
    assert_eq!(scenario.started(LATE_JOB), 24, "all members start within {MAX_START_DELAY_MS} ms");
}

#[test]
fn cheap_questions_are_answered_beside_late_gangs() {
    let mut scenario = RankScenario::new();
    for id in LATE_JOB + 1..LATE_JOB + 20 {
        scenario.cell.submit_led(&mut scenario.lead, id, gang(24, 1, EXPENSIVE_ADVICE));
    }
    let begin = scenario.cell.now;
    while scenario.cell.now.since(begin).0 < 8_000 {
        scenario.submit_other(EXPENSIVE_ADVICE);
        scenario.turn();
    }
    let cheap = FIRST_OTHER_JOB * FIRST_OTHER_JOB;
    scenario.service.own_costs.insert(JobId(cheap), CHEAP_ADVICE);
    scenario.cell.submit_led(&mut scenario.lead, cheap, gang(1, 1, CHEAP_ADVICE));
    for _ in 0..5 {
        scenario.turn();
    }
    assert_eq!(scenario.started(cheap), 1, "the task starts within 100 ms");
}
