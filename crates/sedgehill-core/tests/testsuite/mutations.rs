//! Each safety rule, switched off, is noticed by the random runs: a check that cannot fail proves
//! nothing.

use proptest::collection::vec;
use proptest::strategy::{Strategy, ValueTree};
use proptest::test_runner::{Config, RngSeed, TestRunner};

use crate::cell::{Cell, SwitchedOff};
use crate::random_cell::{SEED, any_step};

const RUNS: usize = 1_000;
const STEPS: usize = 250;

/// Runs random steps with a rule switched off until a promise is broken.
fn first_broken(off: SwitchedOff) -> Option<String> {
    let config =
        Config { rng_seed: RngSeed::Fixed(SEED), failure_persistence: None, ..Config::default() };
    let mut runner = TestRunner::new(config);
    for _ in 0..RUNS {
        let steps =
            vec(any_step(), STEPS).new_tree(&mut runner).expect("steps can be made").current();
        let run = move || {
            let mut cell = Cell::new(off);
            steps.iter().try_for_each(|step| cell.step(step))
        };
        // An assertion of the core itself may be the first to notice.
        match std::panic::catch_unwind(run) {
            Ok(Ok(())) => {}
            Ok(Err(broken)) => return Some(broken),
            Err(panic) => {
                let text = panic.downcast_ref::<String>().cloned();
                return Some(text.unwrap_or_else(|| "an assertion".to_owned()));
            }
        }
    }
    None
}

fn assert_noticed(off: SwitchedOff, expected: &[&str]) {
    let broken = first_broken(off).unwrap_or_else(|| panic!("{off:?} was not noticed"));
    assert!(expected.iter().any(|start| broken.contains(start)), "{off:?}: {broken}");
}

#[test]
fn skipping_the_epoch_check_is_noticed() {
    assert_noticed(SwitchedOff::EpochCheck, &["rule 1", "rule 2"]);
}

#[test]
fn reusing_the_room_of_a_silent_worker_is_noticed() {
    assert_noticed(SwitchedOff::SilentWorkerRoom, &["rule 1", "rule 2"]);
}

#[test]
fn counting_the_term_from_the_answer_is_noticed() {
    assert_noticed(SwitchedOff::TermFromSending, &["rule 1", "rule 2"]);
}

#[test]
fn claiming_without_waiting_is_noticed() {
    assert_noticed(SwitchedOff::ClaimWait, &["rule 1", "rule 2"]);
}

#[test]
fn taking_over_an_older_state_is_noticed() {
    assert_noticed(SwitchedOff::NewerStateOnly, &["rule 8"]);
}

#[test]
fn appending_again_under_a_new_id_is_noticed() {
    assert_noticed(SwitchedOff::SameRecordId, &["rule 2: job"]);
}

#[test]
fn starting_before_recovery_is_noticed() {
    assert_noticed(SwitchedOff::Recovery, &["rule 1", "rule 2"]);
}
