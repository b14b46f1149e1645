//! Steps that fit into the cell start within a bounded time, whatever estimates delay them.
//!
//! Guards against stalled steps. In a nearly empty cell of 48 workers of 16 cores, jobs of wide gangs had nothing
//! running for a minute. After the line `"msg":"run ended","end":"Done","run":1` for the last of the 8 members of a
//! first step, no box logged `asked` for the second step, a gang of 48. The scheduler multiplies the free room by the
//! share of workers that were allowed for other steps of the queue, and sends no question if the result is less than
//! the gang: three members per worker and one allowed worker in three give 48 x 3 x 0.3 = 43 places. Without a
//! question, that share is never measured again. The other tests delay a start by other outdated estimates.

use sedgehill_cell::ids::{JobId, StepId, WorkerId};
use sedgehill_cell::job::{AdvicePolicy, JobRecord, StepSpec};
use sedgehill_cell::scheduler::{CellEvent, HelperId, RunEnd, Scheduler, StallReason};
use sedgehill_core::units::TimeSpan;

use crate::fake::{FakeCell, FakeService, HelperFault, job, step};

/// Cost of a question at the most expensive of the users' small sites.
const EXPENSIVE_ADVICE: AdvicePolicy =
    AdvicePolicy { per_question_us: 480_000, per_worker_us: 6_800, valid: TimeSpan(2_000) };
const WORKERS: u16 = 48;
const CORES: u64 = 16;
/// Number of helper boxes beside the lead's own box.
const HELPERS: u64 = 4;
/// The last helper box, which is the first to be tried among the free ones.
const LAST_HELPER: HelperId = HelperId(HELPERS);

fn gang(count: u16, need: u64) -> JobRecord {
    let mut record = job(vec![StepSpec { gang: true, ..step(count, need) }]);
    record.policy.advice = Some(EXPENSIVE_ADVICE);
    record
}

fn step_of(job: u64) -> StepId {
    StepId { job: JobId(job), repetition: 0, step: 0 }
}

fn number_of(life: &WorkerId) -> u64 {
    life.0.trim_start_matches('w').parse().unwrap()
}

/// A cell with its lead and its advice service.
struct StallScenario {
    cell: FakeCell,
    lead: Scheduler,
    service: FakeService,
}

impl StallScenario {
    /// Creates a cell in which one worker in `one_in` is allowed for a step, chosen separately for each step.
    fn new(one_in: impl Fn(&StepId) -> u64 + 'static) -> StallScenario {
        let mut cell = FakeCell::new(WORKERS, CORES);
        let mut lead = cell.lead(false);
        (1..=HELPERS).for_each(|helper| lead.add_helper(HelperId(helper)));
        let service = FakeService::new(EXPENSIVE_ADVICE, move |step, life| {
            (number_of(life) + step.job.0).is_multiple_of(one_in(step))
        });
        let mut scenario = StallScenario { cell, lead, service };
        scenario.turn();
        scenario
    }

    fn turn(&mut self) {
        self.cell.turn_advised(&mut self.lead, &mut self.service);
    }

    fn submit(&mut self, id: u64, record: JobRecord) {
        self.cell.submit_led(&mut self.lead, id, record);
    }

    fn started(&self, id: u64) -> usize {
        self.cell.starts.iter().filter(|(task, ..)| task.step.job == JobId(id)).count()
    }

    /// Returns the time until `members` tasks of a job have started, or `None` if that takes longer than `limit`.
    fn time_to_start(&mut self, id: u64, members: usize, limit: TimeSpan) -> Option<TimeSpan> {
        let begin = self.cell.now;
        while self.started(id) < members {
            if self.cell.now >= begin.after(limit) {
                return None;
            }
            self.turn();
        }
        Some(self.cell.now.since(begin))
    }

    #[track_caller]
    fn assert_starts(&mut self, id: u64, members: usize, limit: TimeSpan) {
        let delay = self.time_to_start(id, members, limit);
        let asked = self.service.asked_about(step_of(id));
        let asked: Vec<(u64, u64, usize)> =
            asked.iter().map(|(at, q)| (at.0, q.helper.0, q.workers.len())).collect();
        assert!(
            delay.is_some(),
            "fewer than {members} started in {limit}; questions (ms, box, workers): {asked:?}"
        );
    }
}

/// Runs jobs of one task, from which the scheduler learns the share of allowed workers in the queue.
fn run_single_task_jobs(scenario: &mut StallScenario, jobs: std::ops::Range<u64>) {
    for id in jobs {
        scenario.submit(id, gang(1, 1));
        assert!(scenario.time_to_start(id, 1, TimeSpan(5_000)).is_some(), "job {id}");
        scenario.cell.end_all();
        scenario.turn();
    }
}

#[test]
fn a_gang_starts_at_once_in_an_idle_cell() {
    let mut scenario = StallScenario::new(|_| 2);
    scenario.submit(1, gang(24, 4));
    scenario.assert_starts(1, 24, TimeSpan(900));
}

#[test]
fn a_gang_starts_though_few_workers_were_allowed_for_other_steps() {
    let mut scenario = StallScenario::new(|step| if step.job == JobId(99) { 2 } else { 4 });
    run_single_task_jobs(&mut scenario, 1..13);
    // 72 places on allowed workers for 48 members.
    scenario.submit(99, gang(48, 5));
    scenario.assert_starts(99, 48, TimeSpan(2_000));
}

#[test]
fn a_gang_starts_though_a_box_fails_each_question() {
    let mut scenario = StallScenario::new(|_| 2);
    scenario.service.faults.insert(LAST_HELPER, HelperFault::Fails);
    scenario.submit(1, gang(24, 4));
    scenario.assert_starts(1, 24, TimeSpan(2_000));
}

#[test]
fn a_failing_box_is_asked_only_while_no_other_is_free() {
    let mut scenario = StallScenario::new(|_| 2);
    scenario.service.faults.insert(LAST_HELPER, HelperFault::Fails);
    for id in 1..=10 {
        scenario.submit(id, gang(4, 1));
        scenario.assert_starts(id, 4, TimeSpan(2_000));
        scenario.cell.end_all();
        scenario.turn();
    }
    let failed =
        scenario.service.asked.iter().filter(|(_, question)| question.helper == LAST_HELPER);
    assert_eq!(failed.count(), 1, "of {} questions", scenario.service.asked.len());
}

#[test]
fn a_box_reserved_for_short_questions_asks_long_ones_while_no_other_can() {
    let mut scenario = StallScenario::new(|_| 2);
    let fault = HelperFault::Fails;
    scenario.service.faults.extend((1..=HELPERS).map(|helper| (HelperId(helper), fault)));
    scenario.submit(1, gang(24, 4));
    scenario.assert_starts(1, 24, TimeSpan(1_500));
}

#[test]
fn questions_to_a_failing_service_back_off_and_resume_when_it_recovers() {
    let mut scenario = StallScenario::new(|_| 2);
    let fault = HelperFault::Fails;
    scenario.service.faults.extend((0..=HELPERS).map(|helper| (HelperId(helper), fault)));
    scenario.submit(1, gang(24, 4));
    assert_eq!(scenario.time_to_start(1, 24, TimeSpan(10_000)), None);
    // Each box asks at 0, 0.25, 0.75, 1.75 s and then every 2 s: 8 questions in 10 s.
    let asked = scenario.service.asked.len();
    assert!(asked <= 8 * (HELPERS as usize + 1), "{asked} questions in 10 s");
    scenario.service.faults.clear();
    scenario.assert_starts(1, 24, TimeSpan(3_000));
}

#[test]
fn a_gang_starts_though_a_box_never_answers() {
    let mut scenario = StallScenario::new(|_| 2);
    scenario.service.faults.insert(LAST_HELPER, HelperFault::Silent);
    scenario.submit(1, gang(24, 4));
    scenario.assert_starts(1, 24, TimeSpan(3_000));
}

#[test]
fn a_gang_starts_though_the_service_allowed_no_worker_for_a_time() {
    let mut scenario = StallScenario::new(|_| 2);
    scenario.service.none_allowed_until = scenario.cell.now.after(TimeSpan(3_000));
    scenario.submit(1, gang(24, 4));
    scenario.assert_starts(1, 24, TimeSpan(5_000));
}

#[test]
fn a_gang_starts_with_late_answers() {
    let mut scenario = StallScenario::new(|_| 2);
    for helper in 0..=HELPERS {
        scenario.service.faults.insert(HelperId(helper), HelperFault::Slow(6));
    }
    scenario.submit(1, gang(24, 4));
    // A question about all workers costs 0.81 s, and takes 4.9 s.
    scenario.assert_starts(1, 24, TimeSpan(5_500));
}

#[test]
fn a_wide_gang_starts_on_workers_that_failed_runs_long_ago() {
    let mut scenario = StallScenario::new(|_| 1);
    // Each worker fails three runs in a row, and no other job tries it again.
    for round in 0..3 {
        let mut narrow = job(vec![step(WORKERS, CORES)]);
        narrow.policy.max_attempts = 9;
        scenario.submit(round + 1, narrow);
        assert!(scenario.time_to_start(round + 1, usize::from(WORKERS), TimeSpan(1_000)).is_some());
        for number in 0..usize::from(WORKERS) {
            scenario.cell.end_some(number, RunEnd::Failed);
        }
        scenario.cell.cancel(&mut scenario.lead, round + 1);
        scenario.turn();
    }
    // The gang has more members than there are workers, so one trial run per worker is not enough.
    scenario.submit(9, gang(60, 5));
    scenario.assert_starts(9, 60, TimeSpan(6_000));
}

/// Returns the reported stalls of steps.
fn reported_stalls(scenario: &mut StallScenario) -> Vec<(StallReason, TimeSpan)> {
    let events = scenario.lead.take_events().into_iter();
    let stalled = events.filter_map(|event| match event {
        CellEvent::Stalled { reason, stalled_for, .. } => Some((reason, stalled_for)),
        _ => None,
    });
    stalled.collect()
}

#[test]
fn a_stalled_step_is_reported_with_its_reason() {
    let mut scenario = StallScenario::new(|_| 1);
    for helper in 0..=HELPERS {
        scenario.lead.remove_helper(HelperId(helper), scenario.cell.now);
    }
    scenario.submit(1, gang(24, 4));
    assert_eq!(scenario.time_to_start(1, 24, TimeSpan(3_900)), None);
    let reported = reported_stalls(&mut scenario);
    assert_eq!(reported.len(), 1, "{reported:?}");
    let (reason, stalled_for) = reported[0];
    assert_eq!(reason, StallReason::NoFreeHelper);
    assert!(stalled_for >= TimeSpan(3_000) && stalled_for < TimeSpan(3_100), "{stalled_for}");
    let stats = scenario.lead.stall_stats(scenario.cell.now);
    assert_eq!(stats.iter().map(|entry| entry.steps).sum::<usize>(), 1, "{stats:?}");
}

#[test]
fn a_step_without_room_or_with_a_running_task_is_not_reported() {
    let mut scenario = StallScenario::new(|_| 1);
    scenario.submit(1, job(vec![step(WORKERS, CORES)]));
    assert!(scenario.time_to_start(1, usize::from(WORKERS), TimeSpan(1_000)).is_some());
    scenario.submit(2, gang(4, 4));
    assert_eq!(scenario.time_to_start(2, 4, TimeSpan(4_000)), None);
    assert_eq!(reported_stalls(&mut scenario), []);
}

/// Many steps need a question at the same time, as after a lost lead. Of six boxes, one is silent and two are reserved
/// for short questions. These two help only once a step has been stalled for as long as users allow, and each question
/// names the whole pool, so that gangs stalled for 3.1 to 5.0 s in an empty cell:
/// `"msg":"step stalled","reason":"no_helper"`.
#[test]
fn many_gangs_begin_in_time_though_few_boxes_ask() {
    const GANGS: u64 = 16;
    let mut scenario = StallScenario::new(|_| 2);
    let silent = HelperId(HELPERS + 1);
    scenario.lead.add_helper(silent);
    scenario.service.faults.insert(silent, HelperFault::Silent);
    for id in 0..GANGS {
        scenario.submit(id, gang(2, 1));
    }
    let begin = scenario.cell.now;
    while scenario.cell.now < begin.after(TimeSpan(3_000)) {
        scenario.turn();
    }
    let waiting: Vec<u64> = (0..GANGS).filter(|id| scenario.started(*id) < 2).collect();
    assert!(waiting.is_empty(), "{} of {GANGS} gangs have not begun: {waiting:?}", waiting.len());
}
