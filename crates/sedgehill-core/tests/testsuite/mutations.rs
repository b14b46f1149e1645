//! Disables one safety rule at a time and tests that random runs detect its absence, so that no
//! check passes only because it cannot fail.

use proptest::collection::vec;
use proptest::strategy::{Strategy, ValueTree};
use proptest::test_runner::{Config, RngSeed, TestRunner};

use crate::cell::{Cell, DisabledRule};
use crate::random_cell::{SEED, any_step};

const MAX_RUNS: usize = 1_000;
const STEPS_PER_RUN: usize = 250;

/// Runs random steps with a rule disabled and returns the first violation of an invariant.
fn first_violation(disabled: DisabledRule) -> Option<String> {
    let config =
        Config { rng_seed: RngSeed::Fixed(SEED), failure_persistence: None, ..Config::default() };
    let mut runner = TestRunner::new(config);
    for _ in 0..MAX_RUNS {
        let steps = vec(any_step(), STEPS_PER_RUN)
            .new_tree(&mut runner)
            .expect("the strategy generates steps")
            .current();
        let run = move || {
            let mut cell = Cell::new(disabled);
            steps.iter().try_for_each(|step| cell.step(step))
        };
        // An assertion in the core may fail first.
        match std::panic::catch_unwind(run) {
            Ok(Ok(())) => {}
            Ok(Err(violation)) => return Some(violation),
            Err(panic) => {
                let text = panic.downcast_ref::<String>().cloned();
                return Some(text.unwrap_or_else(|| "an assertion without a message".to_owned()));
            }
        }
    }
    None
}

fn assert_detected(disabled: DisabledRule, expected: &[&str]) {
    let violation =
        first_violation(disabled).unwrap_or_else(|| panic!("{disabled:?} was not detected"));
    assert!(expected.iter().any(|text| violation.contains(text)), "{disabled:?}: {violation}");
}

#[test]
fn skipping_the_epoch_check_is_detected() {
    assert_detected(DisabledRule::EpochCheck, &["capacity rule", "single execution rule"]);
}

#[test]
fn reusing_the_resources_of_a_silent_worker_is_detected() {
    assert_detected(DisabledRule::SilentWorkerLease, &["capacity rule", "single execution rule"]);
}

#[test]
fn counting_the_term_from_reading_the_renewal_is_detected() {
    assert_detected(DisabledRule::TermFromSendTime, &["capacity rule", "single execution rule"]);
}

#[test]
fn claiming_without_waiting_is_detected() {
    assert_detected(DisabledRule::ClaimWait, &["capacity rule", "single execution rule"]);
}

#[test]
fn adopting_an_older_state_is_detected() {
    assert_detected(DisabledRule::NewerStateCheck, &["consistency rule"]);
}

#[test]
fn appending_again_under_a_new_id_is_detected() {
    assert_detected(DisabledRule::StableRecordId, &["single execution rule: job"]);
}

#[test]
fn starting_before_recovery_is_detected() {
    assert_detected(DisabledRule::Recovery, &["capacity rule", "single execution rule"]);
}
