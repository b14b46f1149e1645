//! How long calls to the store may take.

use std::time::Duration;

use sedgehill_cell::patience::{CallPatience, ORDER_PATIENCE, RepeatBudget, STORE_PATIENCE};

fn millis(count: u64) -> Duration {
    Duration::from_millis(count)
}

#[test]
fn a_lost_answer_of_a_quick_store_is_noticed_soon() {
    let mut patience = CallPatience::new(STORE_PATIENCE);
    for _ in 0..20 {
        patience.note_answer(millis(8));
    }
    assert!(patience.limit() <= millis(200), "{:?}", patience.limit());
    patience.note_failure();
    assert!(patience.limit() >= millis(300), "{:?}", patience.limit());
}

#[test]
fn a_slow_store_is_given_time() {
    let mut patience = CallPatience::new(STORE_PATIENCE);
    for _ in 0..20 {
        patience.note_answer(millis(420));
    }
    assert!(patience.limit() >= millis(1_500), "{:?}", patience.limit());
}

#[test]
fn waiting_is_bounded_however_often_calls_fail() {
    let mut patience = CallPatience::new(STORE_PATIENCE);
    for _ in 0..100 {
        patience.note_failure();
    }
    assert!(patience.limit() <= millis(2_500), "{:?}", patience.limit());
}

#[test]
fn an_order_without_an_answer_is_noticed_within_some_answers_times() {
    let mut patience = CallPatience::new(ORDER_PATIENCE);
    for _ in 0..20 {
        patience.note_answer(millis(4));
        patience.note_failure();
    }
    assert!(patience.limit() <= millis(100), "{:?}", patience.limit());
}

#[test]
fn orders_to_slow_workers_are_given_time() {
    let mut patience = CallPatience::new(ORDER_PATIENCE);
    for _ in 0..20 {
        patience.note_answer(millis(60));
    }
    assert!(patience.limit() >= millis(250), "{:?}", patience.limit());
}

#[test]
fn answers_that_are_all_late_are_waited_for() {
    let mut patience = CallPatience::new(ORDER_PATIENCE);
    for _ in 0..100 {
        patience.note_answer(millis(300));
    }
    assert!(patience.limit() >= millis(1_400), "{:?}", patience.limit());
    // One late answer among many says nothing.
    let mut patience = CallPatience::new(ORDER_PATIENCE);
    for _ in 0..100 {
        patience.note_answer(millis(4));
    }
    patience.note_answer(millis(600));
    assert!(patience.limit() <= millis(120), "{:?}", patience.limit());
}

#[test]
fn repeats_are_a_share_of_first_calls() {
    let mut budget = RepeatBudget::default();
    let mut repeats = 0;
    for _ in 0..1_000 {
        budget.note_first();
        repeats += u32::from(budget.take());
    }
    assert!((200..=250).contains(&repeats), "{repeats}");
}
