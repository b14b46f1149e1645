//! How long calls to the store may take.

use std::time::Duration;

use sedgehill_cell::timeout::{AdaptiveTimeout, ORDER_TIMEOUT, ResendBudget, STORE_TIMEOUT};

fn millis(count: u64) -> Duration {
    Duration::from_millis(count)
}

#[test]
fn a_lost_answer_of_a_quick_store_is_noticed_soon() {
    let mut patience = AdaptiveTimeout::new(STORE_TIMEOUT);
    for _ in 0..20 {
        patience.note_answer(millis(8));
    }
    assert!(patience.timeout() <= millis(200), "{:?}", patience.timeout());
    patience.note_failure();
    assert!(patience.timeout() >= millis(300), "{:?}", patience.timeout());
}

#[test]
fn a_slow_store_is_given_time() {
    let mut patience = AdaptiveTimeout::new(STORE_TIMEOUT);
    for _ in 0..20 {
        patience.note_answer(millis(420));
    }
    assert!(patience.timeout() >= millis(1_500), "{:?}", patience.timeout());
}

#[test]
fn waiting_is_bounded_however_often_calls_fail() {
    let mut patience = AdaptiveTimeout::new(STORE_TIMEOUT);
    for _ in 0..100 {
        patience.note_failure();
    }
    assert!(patience.timeout() <= millis(2_500), "{:?}", patience.timeout());
}

#[test]
fn an_order_without_an_answer_is_noticed_within_some_answers_times() {
    let mut patience = AdaptiveTimeout::new(ORDER_TIMEOUT);
    for _ in 0..20 {
        patience.note_answer(millis(4));
        patience.note_failure();
    }
    assert!(patience.timeout() <= millis(100), "{:?}", patience.timeout());
}

#[test]
fn orders_to_slow_workers_are_given_time() {
    let mut patience = AdaptiveTimeout::new(ORDER_TIMEOUT);
    for _ in 0..20 {
        patience.note_answer(millis(60));
    }
    assert!(patience.timeout() >= millis(250), "{:?}", patience.timeout());
}

#[test]
fn answers_that_are_all_late_are_waited_for() {
    let mut patience = AdaptiveTimeout::new(ORDER_TIMEOUT);
    for _ in 0..100 {
        patience.note_answer(millis(300));
    }
    assert!(patience.timeout() >= millis(1_400), "{:?}", patience.timeout());
    // One late answer among many says nothing.
    let mut patience = AdaptiveTimeout::new(ORDER_TIMEOUT);
    for _ in 0..100 {
        patience.note_answer(millis(4));
    }
    patience.note_answer(millis(600));
    assert!(patience.timeout() <= millis(120), "{:?}", patience.timeout());
}

#[test]
fn repeats_are_a_share_of_first_calls() {
    let mut budget = ResendBudget::default();
    let mut repeats = 0;
    for _ in 0..1_000 {
        budget.note_first_call();
        repeats += u32::from(budget.try_take());
    }
    assert!((200..=250).contains(&repeats), "{repeats}");
}
