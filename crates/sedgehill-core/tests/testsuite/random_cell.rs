//! Runs random steps on a simulated cell and checks every invariant after each step.

use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest, prop_state_machine};

use crate::cell::{AppendFault, Cell, CellStep, DisabledRule};

/// Default seed.
pub const SEED: u64 = 20_261_202;

/// Generates any step; ticks without faults are the most frequent.
pub fn any_step() -> impl Strategy<Value = CellStep> {
    let index = 0usize..1_000;
    prop_oneof![
        30 => (1u8..8).prop_map(CellStep::Tick),
        10 => index.clone().prop_map(CellStep::RunBox),
        6 => (1u64..400).prop_map(CellStep::Advance),
        2 => (400u64..4_000).prop_map(CellStep::Advance),
        8 => index.clone().prop_map(CellStep::DeliverMessage),
        5 => index.clone().prop_map(CellStep::LoseMessage),
        6 => any_append_fault().prop_map(CellStep::SetAppendFault),
        2 => index.clone().prop_map(CellStep::KillBox),
        4 => index.clone().prop_map(CellStep::RestartBox),
        3 => index.clone().prop_map(CellStep::PauseBox),
        5 => index.clone().prop_map(CellStep::ResumeBox),
        2 => index.clone().prop_map(CellStep::SuspendBox),
        1 => Just(CellStep::LogDown),
        3 => Just(CellStep::LogUp),
        1 => (5usize..40).prop_map(CellStep::TruncateLog),
        3 => index.clone().prop_map(CellStep::AppendSnapshot),
        2 => (index.clone(), index.clone()).prop_map(|(from, to)| CellStep::TransferState(from, to)),
        6 => (index.clone(), 0u32..100, any::<bool>()).prop_map(|(index, tasks, gang)| CellStep::SubmitJob(index, tasks, gang)),
        2 => index.clone().prop_map(CellStep::CancelJob),
        2 => (index.clone(), index.clone()).prop_map(|(first, second)| CellStep::PublishConcurrently(first, second)),
        1 => index.clone().prop_map(CellStep::RestartWorker),
        3 => (index.clone(), any::<bool>()).prop_map(|(index, silent)| CellStep::SilenceWorker(index, silent)),
        1 => (index, any::<bool>()).prop_map(|(index, fails)| CellStep::FailWorkerTasks(index, fails)),
    ]
}

fn any_append_fault() -> impl Strategy<Value = AppendFault> {
    prop_oneof![
        3 => Just(AppendFault::None),
        1 => Just(AppendFault::ReplyLost),
        1 => Just(AppendFault::RequestLost),
    ]
}

/// Model without state: the invariants are checked against the simulated cell itself.
struct StepModel;

impl ReferenceStateMachine for StepModel {
    type State = ();
    type Transition = CellStep;

    fn init_state() -> BoxedStrategy<()> {
        Just(()).boxed()
    }

    fn transitions((): &()) -> BoxedStrategy<CellStep> {
        any_step().boxed()
    }

    fn apply((): (), _: &CellStep) {}
}

struct CellTest;

impl StateMachineTest for CellTest {
    type SystemUnderTest = Cell;
    type Reference = StepModel;

    fn init_test((): &()) -> Cell {
        Cell::new(DisabledRule::NoRule)
    }

    fn apply(mut cell: Cell, (): &(), step: CellStep) -> Cell {
        if let Err(violation) = cell.step(&step) {
            panic!("{violation}");
        }
        cell
    }

    fn teardown(mut cell: Cell, (): ()) {
        if let Err(violation) = cell.run_until_idle() {
            panic!("{violation}");
        }
    }
}

/// Reads the number of cases from `PROPTEST_CASES` and the seed from `PROPTEST_RNG_SEED`, if set.
fn config() -> ProptestConfig {
    const DEFAULT_CASES: u32 = 150;
    let number = |name: &str| std::env::var(name).ok().and_then(|text| text.parse::<u64>().ok());
    ProptestConfig {
        cases: number("PROPTEST_CASES").map_or(DEFAULT_CASES, |cases| cases as u32),
        rng_seed: RngSeed::Fixed(number("PROPTEST_RNG_SEED").unwrap_or(SEED)),
        failure_persistence: None,
        max_shrink_iters: 20_000,
        ..ProptestConfig::default()
    }
}

prop_state_machine! {
    #![proptest_config(config())]

    #[test]
    fn every_invariant_holds_at_every_step(sequential 50..300 => CellTest);
}
