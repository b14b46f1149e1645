//! Timeouts of calls to the store and to workers, and the budget of resends.

use std::time::Duration;

use sedgehill_cell::timeout::{AdaptiveTimeout, ORDER_TIMEOUT, ResendBudget, STORE_TIMEOUT};

fn millis(count: u64) -> Duration {
    Duration::from_millis(count)
}

#[test]
fn a_fast_store_gets_a_short_timeout() {
    let mut timeout = AdaptiveTimeout::new(STORE_TIMEOUT);
    for _ in 0..20 {
        timeout.note_answer(millis(8));
    }
    assert!(timeout.timeout() <= millis(200), "{:?}", timeout.timeout());
    timeout.note_failure();
    assert!(timeout.timeout() >= millis(300), "{:?}", timeout.timeout());
}

#[test]
fn a_slow_store_gets_a_long_timeout() {
    let mut timeout = AdaptiveTimeout::new(STORE_TIMEOUT);
    for _ in 0..20 {
        timeout.note_answer(millis(420));
    }
    assert!(timeout.timeout() >= millis(1_500), "{:?}", timeout.timeout());
}

#[test]
fn repeated_failures_raise_the_timeout_to_a_bound() {
    let mut timeout = AdaptiveTimeout::new(STORE_TIMEOUT);
    for _ in 0..100 {
        timeout.note_failure();
    }
    assert!(timeout.timeout() <= millis(2_500), "{:?}", timeout.timeout());
}

#[test]
fn lost_answers_of_a_fast_worker_keep_the_order_timeout_short() {
    let mut timeout = AdaptiveTimeout::new(ORDER_TIMEOUT);
    for _ in 0..20 {
        timeout.note_answer(millis(4));
        timeout.note_failure();
    }
    assert!(timeout.timeout() <= millis(100), "{:?}", timeout.timeout());
}

#[test]
fn slow_workers_get_a_long_order_timeout() {
    let mut timeout = AdaptiveTimeout::new(ORDER_TIMEOUT);
    for _ in 0..20 {
        timeout.note_answer(millis(60));
    }
    assert!(timeout.timeout() >= millis(250), "{:?}", timeout.timeout());
}

#[test]
fn late_answers_raise_the_timeout_only_if_they_are_frequent() {
    let mut timeout = AdaptiveTimeout::new(ORDER_TIMEOUT);
    for _ in 0..100 {
        timeout.note_answer(millis(300));
    }
    assert!(timeout.timeout() >= millis(1_400), "{:?}", timeout.timeout());
    // A single late answer among many fast ones hardly changes the timeout.
    let mut timeout = AdaptiveTimeout::new(ORDER_TIMEOUT);
    for _ in 0..100 {
        timeout.note_answer(millis(4));
    }
    timeout.note_answer(millis(600));
    assert!(timeout.timeout() <= millis(120), "{:?}", timeout.timeout());
}

#[test]
fn resends_are_limited_to_a_share_of_first_calls() {
    let mut budget = ResendBudget::default();
    let mut resends = 0;
    for _ in 0..1_000 {
        budget.note_first_call();
        resends += u32::from(budget.try_take());
    }
    assert!((200..=250).contains(&resends), "{resends}");
}
