//! A step is asked about in bounded time, however many others there are that can earn more.
//!
//! After workers were lost in masses, two gangs of a queue with dear questions had nothing running for more than a minute, to the
//! end: one that had lost its run and one that never began. Jobs that can earn nothing any more come last, and as long as
//! others came no box was ever free for them; at the end of the day there were still 61 such steps. The figures of the lead:
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

/// A question as dear as the dearest of the users' small sites.
const DEAR: AdvicePolicy =
    AdvicePolicy { per_question_us: 480_000, per_worker_us: 6_800, valid: TimeSpan(2_000) };
/// One that is asked about in some milliseconds.
const CHEAP: AdvicePolicy =
    AdvicePolicy { per_question_us: 5_600, per_worker_us: 80, valid: TimeSpan(2_000) };
const WORKERS: u16 = 48;
const CORES: u64 = 16;
/// Boxes that ask beside the lead's own: six in all, as on a small site.
const HELPERS: u64 = 5;
/// How long a run takes, and how long the late job was not asked about.
const RUN: TimeSpan = TimeSpan(300);
const DOWN: u64 = 12_000;
/// Users allow three seconds without anything running; two questions of 0.8 s may follow, each a half longer by bad luck.
const BEGUN_WITHIN: u64 = 3_000 + 2 * 1_500;
/// Other jobs that wait by then.
const OTHERS_WAIT: u64 = 40;
/// The number of the late job. Others count from far above.
const LATE: u64 = 1;
const OTHERS: u64 = 1_000;

fn gang(count: u16, need: u64, advice: AdvicePolicy) -> JobRecord {
    let mut record = job(vec![StepSpec { gang: true, ..step(count, need) }]);
    record.policy.advice = Some(advice);
    record
}

/// A cell whose boxes ask dear questions without a pause, and a job that came too late to earn anything.
struct Course {
    cell: FakeCell,
    lead: Scheduler,
    service: FakeService,
    others: u64,
}

impl Course {
    fn new() -> Course {
        let mut cell = FakeCell::new(WORKERS, CORES);
        let mut lead = cell.lead(false);
        (1..=HELPERS).for_each(|helper| lead.add_helper(HelperId(helper)));
        let mut service = FakeService::new(DEAR, |_, _| true);
        let fails = (0..=HELPERS).map(|helper| (HelperId(helper), HelperFault::Fails));
        service.faults.extend(fails);
        let mut course = Course { cell, lead, service, others: 0 };
        course.turn();
        course.cell.submit_led(&mut course.lead, LATE, gang(24, 4, DEAR));
        let begun = course.cell.now;
        while course.cell.now.since(begun).0 < DOWN {
            course.turn();
        }
        // By the time that the boxes ask again, others wait as well.
        for _ in 0..OTHERS_WAIT {
            course.others += 1;
            let other = gang(4, 1, DEAR);
            course.cell.submit_led(&mut course.lead, OTHERS + course.others, other);
        }
        course.service.faults.clear();
        course
    }

    fn turn(&mut self) {
        self.cell.turn_advised(&mut self.lead, &mut self.service);
        self.cell.end_old(RUN);
    }

    /// Twelve jobs a second, twice what the boxes can ask about.
    fn press(&mut self, advice: AdvicePolicy) {
        if self.cell.now.0.is_multiple_of(80) {
            self.others += 1;
            self.cell.submit_led(&mut self.lead, OTHERS + self.others, gang(4, 1, advice));
        }
    }

    fn started(&self, id: u64) -> usize {
        self.cell.starts.iter().filter(|(task, ..)| task.step.job == JobId(id)).count()
    }
}

#[test]
fn a_late_gang_is_asked_about_though_dear_questions_of_others_never_pause() {
    let mut course = Course::new();
    let begun = course.cell.now;
    while course.started(LATE) == 0 && course.cell.now.since(begun).0 < BEGUN_WITHIN {
        course.press(DEAR);
        course.turn();
    }
    assert_eq!(course.started(LATE), 24, "after {BEGUN_WITHIN} ms");
}

#[test]
fn short_questions_go_on_beside_late_gangs() {
    let mut course = Course::new();
    for id in LATE + 1..LATE + 20 {
        course.cell.submit_led(&mut course.lead, id, gang(24, 1, DEAR));
    }
    let begun = course.cell.now;
    while course.cell.now.since(begun).0 < 8_000 {
        course.press(DEAR);
        course.turn();
    }
    let cheap = OTHERS * OTHERS;
    course.service.own_costs.insert(JobId(cheap), CHEAP);
    course.cell.submit_led(&mut course.lead, cheap, gang(1, 1, CHEAP));
    for _ in 0..5 {
        course.turn();
    }
    assert_eq!(course.started(cheap), 1, "after 100 ms");
}
