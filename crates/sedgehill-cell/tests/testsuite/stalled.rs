//! A job with room for it begins in bounded time, whatever was believed before.
//!
//! On a cell of 48 workers of 16 cores, jobs of wide gangs had nothing running for a minute, to the end, while the cell
//! was nearly empty. After the line `"msg":"run ended","end":"Done","run":1` for the last of the 8 members of its first
//! step, no box wrote any line about one of them, whose second step was a gang of 48: no `asked`, so nobody was asked who
//! may run it. The scheduler multiplies the free room by the share of workers that were good for other steps of the
//! queue, and asks nobody if that is less than the gang: three members to a worker and one worker in three give
//! 48 x 3 x 0.3 = 43 places. Nothing tested that belief again. The other courses shut the way to a start by other
//! beliefs of that kind.

use sedgehill_cell::ids::{JobId, StepId, WorkerId};
use sedgehill_cell::job::{AdvicePolicy, JobRecord, StepSpec};
use sedgehill_cell::scheduler::{CellEvent, HelperId, RunEnd, Scheduler, StallReason};
use sedgehill_core::units::TimeSpan;

use crate::fake::{FakeCell, FakeService, HelperFault, job, step};

/// A question as dear as the dearest of the users' small sites.
const DEAR: AdvicePolicy =
    AdvicePolicy { per_question_us: 480_000, per_worker_us: 6_800, valid: TimeSpan(2_000) };
const WORKERS: u16 = 48;
const CORES: u64 = 16;
/// Boxes that ask beside the lead's own.
const HELPERS: u64 = 4;
/// The last of them: what is free is tried from there.
const LAST: HelperId = HelperId(HELPERS);

fn gang(count: u16, need: u64) -> JobRecord {
    let mut record = job(vec![StepSpec { gang: true, ..step(count, need) }]);
    record.policy.advice = Some(DEAR);
    record
}

fn step_of(job: u64) -> StepId {
    StepId { job: JobId(job), repetition: 0, step: 0 }
}

fn number_of(life: &WorkerId) -> u64 {
    life.0.trim_start_matches('w').parse().unwrap()
}

/// A cell, its lead and the service.
struct Course {
    cell: FakeCell,
    lead: Scheduler,
    service: FakeService,
}

impl Course {
    /// One worker in `one_in` is good for a step, drawn anew for each.
    fn new(one_in: impl Fn(&StepId) -> u64 + 'static) -> Course {
        let mut cell = FakeCell::new(WORKERS, CORES);
        let mut lead = cell.lead(false);
        (1..=HELPERS).for_each(|helper| lead.add_helper(HelperId(helper)));
        let service = FakeService::new(DEAR, move |step, life| {
            (number_of(life) + step.job.0).is_multiple_of(one_in(step))
        });
        let mut course = Course { cell, lead, service };
        course.turn();
        course
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

    /// How long it takes until so many members of a gang have begun; none if that takes longer than `limit`.
    fn begins(&mut self, id: u64, members: usize, limit: TimeSpan) -> Option<TimeSpan> {
        let begun = self.cell.now;
        while self.started(id) < members {
            if self.cell.now >= begun.after(limit) {
                return None;
            }
            self.turn();
        }
        Some(self.cell.now.since(begun))
    }

    #[track_caller]
    fn assert_begins(&mut self, id: u64, members: usize, limit: TimeSpan) {
        let took = self.begins(id, members, limit);
        let asked = self.service.asked_about(step_of(id));
        let asked: Vec<(u64, u64, usize)> =
            asked.iter().map(|(at, q)| (at.0, q.helper.0, q.workers.len())).collect();
        assert!(took.is_some(), "0 of {members} in {limit}; asked (ms, box, named): {asked:?}");
    }
}

/// Steps of one task teach the scheduler what share of the workers is good in the queue.
fn teach(course: &mut Course, jobs: std::ops::Range<u64>) {
    for id in jobs {
        course.submit(id, gang(1, 1));
        assert!(course.begins(id, 1, TimeSpan(5_000)).is_some(), "job {id}");
        course.cell.end_all();
        course.turn();
    }
}

#[test]
fn a_gang_begins_at_once_on_a_calm_cell() {
    let mut course = Course::new(|_| 2);
    course.submit(1, gang(24, 4));
    course.assert_begins(1, 24, TimeSpan(900));
}

#[test]
fn a_gang_begins_though_few_workers_were_good_for_other_steps() {
    let mut course = Course::new(|step| if step.job == JobId(99) { 2 } else { 4 });
    teach(&mut course, 1..13);
    // 72 places on good workers for 48 members.
    course.submit(99, gang(48, 5));
    course.assert_begins(99, 48, TimeSpan(2_000));
}

#[test]
fn a_gang_begins_though_a_box_fails_each_question() {
    let mut course = Course::new(|_| 2);
    course.service.faults.insert(LAST, HelperFault::Fails);
    course.submit(1, gang(24, 4));
    course.assert_begins(1, 24, TimeSpan(2_000));
}

#[test]
fn a_box_that_fails_is_asked_only_while_no_other_is_free() {
    let mut course = Course::new(|_| 2);
    course.service.faults.insert(LAST, HelperFault::Fails);
    for id in 1..=10 {
        course.submit(id, gang(4, 1));
        course.assert_begins(id, 4, TimeSpan(2_000));
        course.cell.end_all();
        course.turn();
    }
    let failed = course.service.asked.iter().filter(|(_, question)| question.helper == LAST);
    assert_eq!(failed.count(), 1, "of {} questions", course.service.asked.len());
}

#[test]
fn a_box_that_is_kept_for_short_questions_asks_long_ones_while_no_other_can() {
    let mut course = Course::new(|_| 2);
    let fail = HelperFault::Fails;
    course.service.faults.extend((1..=HELPERS).map(|helper| (HelperId(helper), fail)));
    course.submit(1, gang(24, 4));
    course.assert_begins(1, 24, TimeSpan(1_500));
}

#[test]
fn a_service_that_is_down_is_asked_ever_more_rarely_and_noticed_when_it_is_back() {
    let mut course = Course::new(|_| 2);
    let fail = HelperFault::Fails;
    course.service.faults.extend((0..=HELPERS).map(|helper| (HelperId(helper), fail)));
    course.submit(1, gang(24, 4));
    assert_eq!(course.begins(1, 24, TimeSpan(10_000)), None);
    // Each box asks at 0, 0.25, 0.75, 1.75 s and then every 2 s: 8 questions in 10 s.
    let asked = course.service.asked.len();
    assert!(asked <= 8 * (HELPERS as usize + 1), "{asked} questions in 10 s");
    course.service.faults.clear();
    course.assert_begins(1, 24, TimeSpan(3_000));
}

#[test]
fn a_gang_begins_though_a_box_never_answers() {
    let mut course = Course::new(|_| 2);
    course.service.faults.insert(LAST, HelperFault::Silent);
    course.submit(1, gang(24, 4));
    course.assert_begins(1, 24, TimeSpan(3_000));
}

#[test]
fn a_gang_begins_though_the_service_named_nobody_for_a_time() {
    let mut course = Course::new(|_| 2);
    course.service.none_allowed_until = course.cell.now.after(TimeSpan(3_000));
    course.submit(1, gang(24, 4));
    course.assert_begins(1, 24, TimeSpan(5_000));
}

#[test]
fn a_gang_begins_by_answers_that_are_late() {
    let mut course = Course::new(|_| 2);
    for helper in 0..=HELPERS {
        course.service.faults.insert(HelperId(helper), HelperFault::Slow(6));
    }
    course.submit(1, gang(24, 4));
    // A question about all workers costs 0.81 s, and takes 4.9 s.
    course.assert_begins(1, 24, TimeSpan(5_500));
}

#[test]
fn a_wide_gang_begins_on_workers_that_did_badly_long_ago() {
    let mut course = Course::new(|_| 1);
    // Each worker fails three runs in a row, and nothing else comes that would try it again.
    for round in 0..3 {
        let mut narrow = job(vec![step(WORKERS, CORES)]);
        narrow.policy.max_attempts = 9;
        course.submit(round + 1, narrow);
        assert!(course.begins(round + 1, usize::from(WORKERS), TimeSpan(1_000)).is_some());
        for number in 0..usize::from(WORKERS) {
            course.cell.end_some(number, RunEnd::Failed);
        }
        course.cell.cancel(&mut course.lead, round + 1);
        course.turn();
    }
    // More members than workers: one run for each of them is not enough.
    course.submit(9, gang(60, 5));
    course.assert_begins(9, 60, TimeSpan(6_000));
}

/// What was told of stalled steps.
fn told(course: &mut Course) -> Vec<(StallReason, TimeSpan)> {
    let events = course.lead.take_events().into_iter();
    let stalled = events.filter_map(|event| match event {
        CellEvent::Stalled { reason, stalled_for, .. } => Some((reason, stalled_for)),
        _ => None,
    });
    stalled.collect()
}

#[test]
fn a_stalled_step_is_told_of_with_its_reason() {
    let mut course = Course::new(|_| 1);
    for helper in 0..=HELPERS {
        course.lead.remove_helper(HelperId(helper), course.cell.now);
    }
    course.submit(1, gang(24, 4));
    assert_eq!(course.begins(1, 24, TimeSpan(3_900)), None);
    let told = told(&mut course);
    assert_eq!(told.len(), 1, "{told:?}");
    let (reason, stalled_for) = told[0];
    assert_eq!(reason, StallReason::NoFreeHelper);
    assert!(stalled_for >= TimeSpan(3_000) && stalled_for < TimeSpan(3_100), "{stalled_for}");
    let figures = course.lead.stall_stats(course.cell.now);
    assert_eq!(figures.iter().map(|one| one.steps).sum::<usize>(), 1, "{figures:?}");
}

#[test]
fn a_step_without_room_or_with_something_running_is_not_told_of() {
    let mut course = Course::new(|_| 1);
    course.submit(1, job(vec![step(WORKERS, CORES)]));
    assert!(course.begins(1, usize::from(WORKERS), TimeSpan(1_000)).is_some());
    course.submit(2, gang(4, 4));
    assert_eq!(course.begins(2, 4, TimeSpan(4_000)), None);
    assert_eq!(told(&mut course), []);
}

/// Many steps are to be asked about at once, as after a lost lead; of six boxes one is silent and two are kept for short
/// questions. Those two helped only once a step had been stalled for as long as users allow at all, and each question
/// named the whole pool, so gangs stood for 3.1 to 5.0 s in an empty cell: `"msg":"step stalled","reason":"no_helper"`.
#[test]
fn many_gangs_begin_in_time_though_few_boxes_ask() {
    const GANGS: u64 = 16;
    let mut course = Course::new(|_| 2);
    let silent = HelperId(HELPERS + 1);
    course.lead.add_helper(silent);
    course.service.faults.insert(silent, HelperFault::Silent);
    for id in 0..GANGS {
        course.submit(id, gang(2, 1));
    }
    let begun = course.cell.now;
    while course.cell.now < begun.after(TimeSpan(3_000)) {
        course.turn();
    }
    let waiting: Vec<u64> = (0..GANGS).filter(|id| course.started(*id) < 2).collect();
    assert!(waiting.is_empty(), "{} of {GANGS} gangs have not begun: {waiting:?}", waiting.len());
}
