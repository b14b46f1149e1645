//! Random sequences of faults: boxes whose questions fail, stay unanswered or are slow, an advice service that allows
//! no worker for a time, failed runs, and lost leads. Once the faults are over, every job that fits ends within a time
//! computed from the durations of its steps and their questions.

use proptest::prelude::*;
use sedgehill_cell::ids::{FencingToken, RunNumber, StepId, WorkerId, WorkerLife};
use sedgehill_cell::job::{AdvicePolicy, JobRecord, StepSpec};
use sedgehill_cell::progress::{JobProgress, JobState, LossWait, TaskLocation, TaskProgress};
use sedgehill_cell::progress_parts::ProgressOverflow;
use sedgehill_cell::replica::CellRecord;
use sedgehill_cell::scheduler::{HelperId, RunEnd, Scheduler};
use sedgehill_core::units::{Moment, TimeSpan};

use crate::fake::{FakeCell, FakeService, HelperFault, job, step, task};

const WORKERS: u16 = 12;
const CORES: u64 = 16;
/// Number of helper boxes beside the lead's own box.
const HELPERS: u64 = 3;
const EXPENSIVE_ADVICE: AdvicePolicy =
    AdvicePolicy { per_question_us: 480_000, per_worker_us: 6_800, valid: TimeSpan(2_000) };
/// One worker in this many is allowed for a step.
const ONE_ALLOWED_IN: u64 = 2;
/// Duration of a run.
const RUN_DURATION: TimeSpan = TimeSpan(500);
/// Longest time for which outdated answers are used, plus the longest wait for an earlier lead.
const MAX_RECOVERY_DELAY_MS: u64 = 16_000 + 9_000;
/// Longest duration of a step: a question that is repeated once it is overdue, the run, and some turns.
const MAX_STEP_DURATION_MS: u64 = 2 * (1_500 + 600) + RUN_DURATION.0 + 500;

#[derive(Debug, Clone)]
enum Move {
    Submit {
        members: u16,
        need: u64,
        gang: bool,
        chained: bool,
    },
    Fault(u64, Option<HelperFault>),
    /// The service allows no worker for this many milliseconds.
    NoneAllowed(u64),
    /// This many runs fail.
    Fail(usize),
    /// Runs this many turns of 20 ms.
    Turns(usize),
    NewLead,
}

fn any_move() -> impl Strategy<Value = Move> {
    let fault = prop_oneof![
        Just(HelperFault::Fails),
        Just(HelperFault::Silent),
        (2u64..12).prop_map(HelperFault::Slow),
    ];
    prop_oneof![
        5 => (1u16..25, 1u64..9, any::<bool>(), any::<bool>()).prop_map(
            |(members, need, gang, chained)| Move::Submit { members, need, gang, chained }
        ),
        4 => (0..=HELPERS, prop::option::weighted(0.8, fault))
            .prop_map(|(helper, fault)| Move::Fault(helper, fault)),
        1 => (100u64..4_000).prop_map(Move::NoneAllowed),
        3 => (1usize..40).prop_map(Move::Fail),
        6 => (1usize..200).prop_map(Move::Turns),
        1 => Just(Move::NewLead),
    ]
}

/// A cell with its lead, its advice service and the counts of submitted jobs and steps.
struct FaultScenario {
    cell: FakeCell,
    lead: Scheduler,
    service: FakeService,
    jobs: u64,
    steps: u64,
}

fn is_allowed(step: &StepId, life: &WorkerId) -> bool {
    let number: u64 = life.0.trim_start_matches('w').parse().unwrap();
    (number + step.job.0 + u64::from(step.step)).is_multiple_of(ONE_ALLOWED_IN)
}

impl FaultScenario {
    fn new() -> FaultScenario {
        let mut cell = FakeCell::new(WORKERS, CORES);
        let mut lead = cell.lead(false);
        add_helpers(&mut lead);
        let service = FakeService::new(EXPENSIVE_ADVICE, is_allowed);
        FaultScenario { cell, lead, service, jobs: 0, steps: 0 }
    }

    fn submit(&mut self, members: u16, need: u64, gang: bool, chained: bool) {
        let allowed = u64::from(WORKERS) / ONE_ALLOWED_IN;
        let max_members = allowed * (CORES / need);
        let members = members.min(u16::try_from(max_members).unwrap());
        let mut steps = vec![StepSpec { gang, ..step(members, need) }];
        if chained {
            steps.push(StepSpec { gang: true, after: vec![0], ..step(members, need) });
        }
        self.steps += steps.len() as u64;
        self.jobs += 1;
        let mut record: JobRecord = job(steps);
        record.policy.advice = Some(EXPENSIVE_ADVICE);
        // Failed runs are injected faults, and must not exhaust the attempts.
        record.policy.max_attempts = 1_000;
        self.cell.submit_led(&mut self.lead, self.jobs, record);
    }

    fn turn(&mut self) {
        self.cell.turn_advised(&mut self.lead, &mut self.service);
        self.cell.end_old(RUN_DURATION);
    }

    fn apply(&mut self, chosen: Move) {
        match chosen {
            Move::Submit { members, need, gang, chained } => {
                self.submit(members, need, gang, chained);
            }
            Move::Fault(helper, fault) => {
                let helper = HelperId(helper);
                match fault {
                    Some(fault) => self.service.faults.insert(helper, fault),
                    None => self.service.faults.remove(&helper),
                };
            }
            Move::NoneAllowed(span) => {
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

    fn all_completed(&self) -> bool {
        (1..=self.jobs).all(|id| self.cell.progress(id).state == JobState::Completed)
    }
}

fn add_helpers(lead: &mut Scheduler) {
    (1..=HELPERS).for_each(|helper| lead.add_helper(HelperId(helper)));
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 96, ..ProptestConfig::default() })]

    #[test]
    fn every_job_ends_in_time_once_all_faults_are_over(
        moves in prop::collection::vec(any_move(), 1..40),
    ) {
        let mut scenario = FaultScenario::new();
        for chosen in moves {
            scenario.apply(chosen);
        }
        scenario.service.faults.clear();
        scenario.service.none_allowed_until = Moment(0);
        // Questions to a silent box stay unanswered. The questions that a slow box works on have to end first.
        let busy = scenario.service.busy_until().0.saturating_sub(scenario.cell.now.0);
        let limit = MAX_RECOVERY_DELAY_MS + busy + scenario.steps * MAX_STEP_DURATION_MS;
        let healed_at = scenario.cell.now;
        while !scenario.all_completed() && scenario.cell.now < healed_at.after(TimeSpan(limit)) {
            scenario.turn();
        }
        let left: Vec<u64> = (1..=scenario.jobs)
            .filter(|id| scenario.cell.progress(*id).state != JobState::Completed)
            .collect();
        let stats = scenario.lead.stall_stats(scenario.cell.now);
        prop_assert!(
            left.is_empty(),
            "jobs {left:?} have not ended {limit} ms after the faults: {stats:?}"
        );
        prop_assert!(
            scenario.cell.place(task(1, 0, 0)).is_none(),
            "a task of an ended job still runs"
        );
    }
}

/// Returns progress of a job in which all tasks failed as often as they may, run on a long-named worker and saved their
/// state.
fn largest_progress(tasks: u16, attempts: u32) -> JobProgress {
    let failed_runs = (0..attempts).map(|number| RunNumber(u32::MAX - number)).collect();
    let checkpoint = "saved".repeat(20);
    let task = TaskProgress { done: true, failed_runs, run: RunNumber(u32::MAX), checkpoint };
    let location = |task: u16| TaskLocation {
        task: task.into(),
        life: WorkerLife::from("w".repeat(200).as_str()),
        recorded_by: FencingToken(u64::MAX),
    };
    JobProgress {
        tasks: vec![task; usize::from(tasks)],
        locations: (0..tasks).map(location).collect(),
        ..JobProgress::default()
    }
}

fn stored_bytes(progress: &JobProgress) -> usize {
    CellRecord::Progress(progress.clone()).encode().len()
}

/// A job is accepted only if its progress fits into a record of the store, whatever happens to it. Otherwise its lead
/// would have a record that the store refuses for good, and so would each later lead.
#[test]
fn progress_fits_into_the_record_that_its_job_was_accepted_for() {
    for (tasks, attempts) in [(1, 1), (40, 4), (3_000, 3), (2_000, 100), (60_000, 8)] {
        let record = job(vec![step(tasks, 1)]);
        let bound = JobProgress::max_stored_bytes(&record.spec, attempts);
        let (fitted, _) =
            largest_progress(tasks, attempts).fitted(|progress| stored_bytes(progress) <= bound);
        let bytes = stored_bytes(&fitted);
        assert!(bytes <= bound, "{tasks} tasks of {attempts} attempts take {bytes}, over {bound}");
    }
}

#[test]
fn progress_is_divided_before_saved_states_are_left_out() {
    let progress = largest_progress(10, 2);
    let fitted = |limit: usize| progress.fitted(|reduced| stored_bytes(reduced) <= limit);
    let whole = stored_bytes(&progress);
    assert_eq!(fitted(whole), (progress.clone(), ProgressOverflow::default()));
    let (divided, overflow) = fitted(whole - 1);
    assert!(!overflow.without_checkpoints);
    assert_eq!(divided.joined(overflow.parts.iter()), progress);
    let (reduced, overflow) = fitted(stored_bytes(&divided) - 1);
    assert!(overflow.without_checkpoints && reduced.tasks[9].checkpoint.is_empty());
    assert_eq!(reduced.tasks[0].failed_runs, progress.tasks[0].failed_runs);
    assert_eq!(reduced.joined(overflow.parts.iter()).locations, progress.locations);
}

// The time waited for news of lost runs takes eight bytes for each task of a wide job that lost its workers. A lead that
// does not know it waits anew.
#[test]
fn waits_for_news_are_kept_in_divided_progress() {
    let waits = |task: u32| (task, vec![LossWait { run: RunNumber(1), waited: TimeSpan(4_000) }]);
    let progress =
        JobProgress { loss_waits: (0..100).map(waits).collect(), ..JobProgress::default() };
    let (main, overflow) = progress.fitted(|reduced| stored_bytes(reduced) < 100);
    assert!(stored_bytes(&main) < 100);
    assert_eq!(main.joined(overflow.parts.iter()).loss_waits, progress.loss_waits);
}
