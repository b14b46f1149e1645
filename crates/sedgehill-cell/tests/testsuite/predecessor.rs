//! How a new lead accounts for predecessors that may still give orders.

use sedgehill_cell::authority::{AuthorityTiming, BoxStrength, LeadRecord, LeadWatch};
use sedgehill_cell::ids::BoxName;
use sedgehill_cell::scheduler::{CellTiming, Scheduler, WorkerAnswer};
use sedgehill_core::units::{Moment, TimeSpan};

use crate::fake::{FakeCell, job, step, task};

const START: Moment = Moment(50_000);

fn watch(name: &str, life: u64) -> LeadWatch {
    LeadWatch::new(BoxName::from(name), life, BoxStrength(250), START)
}

/// Renews the lease of a worker on behalf of the earlier lead. The later lead cannot reach that worker.
fn renew_lease_as_earlier_lead(cell: &mut FakeCell, earlier: &mut Scheduler, number: usize) {
    let later = std::mem::replace(&mut cell.token.0, 1);
    cell.workers[number].cut = false;
    for key in (0..cell.workers.len()).map(sedgehill_cell::scheduler::WorkerKey) {
        if cell.number(earlier, key) == number {
            let order = earlier.hold_order(key, false, cell.now);
            let answer = cell.hold(number, &order);
            assert!(matches!(answer, WorkerAnswer::Done(_)));
            earlier.hold_answered(key, answer, cell.now, cell.now);
        }
    }
    cell.workers[number].cut = true;
    cell.token.0 = later;
}

/// Runs a task of the first lead on a worker that only this lead still reaches. The first lead renews its lease until
/// its term is over, after the fence of the later lead. The fake workers panic if the later lead starts the task
/// meanwhile.
fn assert_no_task_starts_beside_an_earlier_lead(follower: &LeadWatch) {
    let mut cell = FakeCell::new(2, 4);
    let mut earlier = cell.lead(false);
    cell.submit(&mut earlier, 1, job(vec![step(1, 1)]));
    cell.turns(&mut earlier, 3);
    let number = cell.place(task(1, 0, 0)).unwrap();
    cell.workers[number].cut = true;
    let mut later = cell.lead(follower.has_predecessor());
    later.note_fenced(cell.now);
    let orders_end = cell.now.after(CellTiming::default().authority_term);
    while cell.now < orders_end {
        renew_lease_as_earlier_lead(&mut cell, &mut earlier, number);
        cell.turn(&mut later);
    }
    // The longest lease, of 6 s, and the allowance for a slow clock.
    cell.turns(&mut later, 340);
    assert!(later.is_settled(), "the later lead does not wait forever");
    assert_eq!(cell.starts.len(), 2, "the task starts again once its lease has ended");
}

/// Guards against a second start of a task. A box claims the lead, but the answer is lost, or the store does not fence
/// in time. The box reads its own claim, claims again, and takes itself for a lead without a predecessor, since the
/// newest record is its own. The predecessor still held its term and renewed the lease of a worker that the new lead
/// did not reach: the task there was started elsewhere 6.4 s after the fence, but such leases can last for 8.8 s.
#[test]
fn unsuccessful_own_claims_do_not_hide_the_predecessor() {
    let mut unanswered = watch("b", 2);
    unanswered.note_record(watch("a", 1).next_claim("127.0.0.1:1"), START);
    let claim = unanswered.next_claim("127.0.0.1:2");
    unanswered.note_record(claim.clone(), START);
    assert!(unanswered.is_holder());
    assert_no_task_starts_beside_an_earlier_lead(&unanswered);
    let mut unfenced = watch("b", 2);
    unfenced.note_record(watch("a", 1).next_claim("127.0.0.1:1"), START);
    unfenced.note_own_record(claim, START, 2, &AuthorityTiming::default());
    unfenced.step_down();
    assert_no_task_starts_beside_an_earlier_lead(&unfenced);
}

/// The earlier life of a restarted box has ended, but had led for less than the term of its own predecessor.
#[test]
fn a_box_that_restarts_after_a_short_time_as_lead_still_has_a_predecessor() {
    let mut short_lived = watch("b", 2);
    short_lived.note_record(watch("a", 1).next_claim("127.0.0.1:1"), START);
    let mut restarted = watch("b", 3);
    restarted.note_record(short_lived.next_claim("127.0.0.1:2"), START);
    assert_no_task_starts_beside_an_earlier_lead(&restarted);
}

/// A lead resigns before the term of its own predecessor has ended.
#[test]
fn a_resignation_soon_after_a_claim_does_not_hide_the_predecessor() {
    let mut short_lived = watch("b", 2);
    short_lived.note_record(watch("a", 1).next_claim("127.0.0.1:1"), START);
    let claim = short_lived.next_claim("127.0.0.1:2");
    let mut follower = watch("c", 3);
    follower.note_record(LeadRecord { resigned: true, ..claim }, START);
    assert_no_task_starts_beside_an_earlier_lead(&follower);
}

#[test]
fn the_first_lead_and_the_successor_of_its_resignation_have_no_predecessor() {
    let mut first = watch("a", 1);
    assert!(!first.has_predecessor());
    let claim = first.next_claim("127.0.0.1:1");
    first.note_own_record(claim.clone(), START.after(TimeSpan(1)), 1, &AuthorityTiming::default());
    assert!(!first.has_predecessor(), "an earlier claim of the box itself is no predecessor");
    let mut follower = watch("b", 2);
    follower.note_record(claim.clone(), START);
    assert!(follower.has_predecessor());
    follower.note_record(LeadRecord { resigned: true, ..claim }, START);
    assert!(!follower.has_predecessor());
}

#[test]
fn a_lead_reports_when_the_terms_of_all_predecessors_are_over() {
    let timing = CellTiming::default();
    let mut cell = FakeCell::new(1, 4);
    let mut later = cell.lead(true);
    let fenced = cell.now.after(TimeSpan(500));
    let over = fenced.after(timing.authority_term).after(TimeSpan(48));
    assert!(!later.is_sole_lead(over), "it has not fenced yet");
    later.note_fenced(fenced);
    assert!(!later.is_sole_lead(Moment(over.0 - 1)));
    assert!(later.is_sole_lead(over));
    assert!(cell.lead(false).is_sole_lead(cell.now));
}
