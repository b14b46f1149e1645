//! Random steps against the whole cell, with every promise checked after each step.

use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest, prop_state_machine};

use crate::cell::{AppendFate, Cell, CellStep, SwitchedOff};

/// The seed of runs that name no other.
pub const SEED: u64 = 20_261_202;

/// Any step, ordinary moments the most often.
pub fn any_step() -> impl Strategy<Value = CellStep> {
    let pick = 0usize..1_000;
    prop_oneof![
        30 => (1u8..8).prop_map(CellStep::Ordinary),
        10 => pick.clone().prop_map(CellStep::Turn),
        6 => (1u64..400).prop_map(CellStep::Advance),
        2 => (400u64..4_000).prop_map(CellStep::Advance),
        8 => pick.clone().prop_map(CellStep::Deliver),
        5 => pick.clone().prop_map(CellStep::Lose),
        6 => any_fate().prop_map(CellStep::Fate),
        2 => pick.clone().prop_map(CellStep::Kill),
        4 => pick.clone().prop_map(CellStep::Restart),
        3 => pick.clone().prop_map(CellStep::Pause),
        5 => pick.clone().prop_map(CellStep::Resume),
        2 => pick.clone().prop_map(CellStep::Sleep),
        1 => Just(CellStep::LogDown),
        3 => Just(CellStep::LogUp),
        1 => (5usize..40).prop_map(CellStep::Forget),
        3 => pick.clone().prop_map(CellStep::Snapshot),
        2 => (pick.clone(), pick.clone()).prop_map(|(from, to)| CellStep::TakeState(from, to)),
        6 => (pick.clone(), 0u32..100, any::<bool>()).prop_map(|(a, b, c)| CellStep::Submit(a, b, c)),
        2 => pick.clone().prop_map(CellStep::Cancel),
        2 => (pick.clone(), pick.clone()).prop_map(|(a, b)| CellStep::Race(a, b)),
        1 => pick.clone().prop_map(CellStep::RestartWorker),
        3 => (pick.clone(), any::<bool>()).prop_map(|(a, b)| CellStep::SilenceWorker(a, b)),
        1 => (pick, any::<bool>()).prop_map(|(a, b)| CellStep::BreakWorker(a, b)),
    ]
}

fn any_fate() -> impl Strategy<Value = AppendFate> {
    prop_oneof![
        3 => Just(AppendFate::Works),
        1 => Just(AppendFate::AnswerLost),
        1 => Just(AppendFate::Lost),
    ]
}

/// The steps are the whole model: what must hold is checked against what really runs.
struct AnySteps;

impl ReferenceStateMachine for AnySteps {
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
    type Reference = AnySteps;

    fn init_test((): &()) -> Cell {
        Cell::new(SwitchedOff::Nothing)
    }

    fn apply(mut cell: Cell, (): &(), step: CellStep) -> Cell {
        if let Err(broken) = cell.step(&step) {
            panic!("{broken}");
        }
        cell
    }

    fn teardown(mut cell: Cell, (): ()) {
        if let Err(broken) = cell.settle() {
            panic!("{broken}");
        }
    }
}

/// How many cases to run: `PROPTEST_CASES` for longer runs, with `PROPTEST_RNG_SEED` for others.
fn config() -> ProptestConfig {
    const CASES: u32 = 150;
    let number = |name: &str| std::env::var(name).ok().and_then(|text| text.parse::<u64>().ok());
    ProptestConfig {
        cases: number("PROPTEST_CASES").map_or(CASES, |cases| cases as u32),
        rng_seed: RngSeed::Fixed(number("PROPTEST_RNG_SEED").unwrap_or(SEED)),
        failure_persistence: None,
        max_shrink_iters: 20_000,
        ..ProptestConfig::default()
    }
}

prop_state_machine! {
    #![proptest_config(config())]

    #[test]
    fn every_promise_holds_at_every_step(sequential 50..300 => CellTest);
}
