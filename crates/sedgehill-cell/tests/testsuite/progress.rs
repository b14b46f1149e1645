//! Random courses of boxes that fail, are silent or slow in questions, of a service that names nobody for a time, of
//! workers that fail what they run, and of leads that are lost: once all is well again, every job that fits ends within
//! a time that follows from what its steps and their questions take.

use proptest::prelude::*;
use sedgehill_cell::ids::{StepId, WorkerId};
use sedgehill_cell::job::{AdvicePolicy, JobRecord, StepSpec};
use sedgehill_cell::progress::JobState;
use sedgehill_cell::scheduler::{HelperId, RunEnd, Scheduler};
use sedgehill_core::units::{Moment, TimeSpan};

use crate::fake::{FakeCell, FakeService, HelperFault, job, step, task};

const WORKERS: u16 = 12;
const CORES: u64 = 16;
/// Boxes that ask beside the lead's own.
const HELPERS: u64 = 3;
const DEAR: AdvicePolicy =
    AdvicePolicy { per_question_us: 480_000, per_worker_us: 6_800, valid: TimeSpan(2_000) };
/// Half of the workers are good for a step.
const GOOD_ONE_IN: u64 = 2;
/// How long a run takes.
const RUN: TimeSpan = TimeSpan(500);
/// The longest that answers are left undoubted once they are right again, and that a step waits for an earlier lead.
const BELIEF_MOST: u64 = 16_000 + 9_000;
/// What a step takes at the most besides: a question, asked again once it is overdue, the run, and some turns.
const STEP_MOST: u64 = 2 * (1_500 + 600) + RUN.0 + 500;

#[derive(Debug, Clone)]
enum Move {
    Submit {
        members: u16,
        need: u64,
        gang: bool,
        chained: bool,
    },
    Trouble(u64, Option<HelperFault>),
    /// The service names nobody for so long.
    Nobody(u64),
    /// Some runs fail.
    Fail(usize),
    /// Turns of 20 ms.
    Turns(usize),
    NewLead,
}

fn moves() -> impl Strategy<Value = Move> {
    let trouble = prop_oneof![
        Just(HelperFault::Fails),
        Just(HelperFault::Silent),
        (2u64..12).prop_map(HelperFault::Slow),
    ];
    prop_oneof![
        5 => (1u16..25, 1u64..9, any::<bool>(), any::<bool>()).prop_map(
            |(members, need, gang, chained)| Move::Submit { members, need, gang, chained }
        ),
        4 => (0..=HELPERS, prop::option::weighted(0.8, trouble))
            .prop_map(|(helper, trouble)| Move::Trouble(helper, trouble)),
        1 => (100u64..4_000).prop_map(Move::Nobody),
        3 => (1usize..40).prop_map(Move::Fail),
        6 => (1usize..200).prop_map(Move::Turns),
        1 => Just(Move::NewLead),
    ]
}

/// A cell in the middle of a course.
struct Course {
    cell: FakeCell,
    lead: Scheduler,
    service: FakeService,
    jobs: u64,
    steps: u64,
}

fn is_good(step: &StepId, life: &WorkerId) -> bool {
    let number: u64 = life.0.trim_start_matches('w').parse().unwrap();
    (number + step.job.0 + u64::from(step.step)).is_multiple_of(GOOD_ONE_IN)
}

impl Course {
    fn new() -> Course {
        let mut cell = FakeCell::new(WORKERS, CORES);
        let mut lead = cell.lead(false);
        add_helpers(&mut lead);
        let service = FakeService::new(DEAR, is_good);
        Course { cell, lead, service, jobs: 0, steps: 0 }
    }

    fn submit(&mut self, members: u16, need: u64, gang: bool, chained: bool) {
        let good = u64::from(WORKERS) / GOOD_ONE_IN;
        let most = good * (CORES / need);
        let members = members.min(u16::try_from(most).unwrap());
        let mut steps = vec![StepSpec { gang, ..step(members, need) }];
        if chained {
            steps.push(StepSpec { gang: true, after: vec![0], ..step(members, need) });
        }
        self.steps += steps.len() as u64;
        self.jobs += 1;
        let mut record: JobRecord = job(steps);
        record.policy.advice = Some(DEAR);
        // Their workers fail them here, not their own fault.
        record.policy.max_attempts = 1_000;
        self.cell.submit_led(&mut self.lead, self.jobs, record);
    }

    fn turn(&mut self) {
        self.cell.turn_advised(&mut self.lead, &mut self.service);
        self.cell.end_old(RUN);
    }

    fn take(&mut self, taken: Move) {
        match taken {
            Move::Submit { members, need, gang, chained } => {
                self.submit(members, need, gang, chained);
            }
            Move::Trouble(helper, trouble) => {
                let helper = HelperId(helper);
                match trouble {
                    Some(trouble) => self.service.faults.insert(helper, trouble),
                    None => self.service.faults.remove(&helper),
                };
            }
            Move::Nobody(span) => {
                self.service.none_allowed_until = self.cell.now.after(TimeSpan(span));
            }
            Move::Fail(count) => {
                (0..count).for_each(|pick| self.cell.end_some(pick, RunEnd::Failed));
            }
            Move::Turns(count) => (0..count).for_each(|_| self.turn()),
            Move::NewLead => {
                self.service.discard_questions();
                self.lead = self.cell.lead(true);
                self.lead.note_fenced(self.cell.now);
                add_helpers(&mut self.lead);
            }
        }
    }

    fn is_over(&self) -> bool {
        (1..=self.jobs).all(|id| self.cell.progress(id).state == JobState::Completed)
    }
}

fn add_helpers(lead: &mut Scheduler) {
    (1..=HELPERS).for_each(|helper| lead.add_helper(HelperId(helper)));
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 96, ..ProptestConfig::default() })]

    #[test]
    fn every_job_ends_in_time_once_all_is_well(course in prop::collection::vec(moves(), 1..40)) {
        let mut cell = Course::new();
        for taken in course {
            cell.take(taken);
        }
        cell.service.faults.clear();
        cell.service.none_allowed_until = Moment(0);
        // What was asked of a silent box stays unanswered; what a slow one works on has to end first.
        let busy = cell.service.busy_until().0.saturating_sub(cell.cell.now.0);
        let limit = BELIEF_MOST + busy + cell.steps * STEP_MOST;
        let well = cell.cell.now;
        while !cell.is_over() && cell.cell.now < well.after(TimeSpan(limit)) {
            cell.turn();
        }
        let left: Vec<u64> = (1..=cell.jobs)
            .filter(|id| cell.cell.progress(*id).state != JobState::Completed)
            .collect();
        let figures = cell.lead.stall_stats(cell.cell.now);
        prop_assert!(left.is_empty(), "jobs {left:?} have not ended {limit} ms later: {figures:?}");
        prop_assert!(cell.cell.place(task(1, 0, 0)).is_none(), "nothing runs of a job that ended");
    }
}
