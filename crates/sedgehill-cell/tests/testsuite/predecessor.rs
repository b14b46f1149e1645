//! What a new lead knows of leads before it that may still give orders.

use sedgehill_cell::authority::{AuthorityTiming, BoxStrength, LeadRecord, LeadWatch};
use sedgehill_cell::ids::BoxName;
use sedgehill_cell::scheduler::{CellTiming, Scheduler, WorkerAnswer};
use sedgehill_core::units::{Moment, TimeSpan};

use crate::fake::{FakeCell, job, step, task};

const START: Moment = Moment(50_000);

fn watch(name: &str, life: u64) -> LeadWatch {
    LeadWatch::new(BoxName::from(name), life, BoxStrength(250), START)
}

/// The earlier lead renews the lease of a worker that the later one does not reach.
fn renew_from_the_other_side(cell: &mut FakeCell, earlier: &mut Scheduler, number: usize) {
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

/// A task of the first lead runs on a worker that only this lead still reaches, and goes on being renewed for
/// as long as the lead's term lasts beyond the fence of the later one. The fake workers panic when the later lead
/// starts it meanwhile.
fn no_task_begins_beside_an_earlier_lead(follower: &LeadWatch) {
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
        renew_from_the_other_side(&mut cell, &mut earlier, number);
        cell.turn(&mut later);
    }
    // The longest lease, of 6 s, and what a slow clock adds.
    cell.turns(&mut later, 340);
    assert!(later.is_settled(), "the later lead does not wait for good");
    assert_eq!(cell.starts.len(), 2, "the task begins again once its lease is over");
}

/// A box claimed the lead, and the answer was lost, or the store did not let it fence in time. It read its own
/// claim, claimed once more, and took this for a lead without a predecessor, since the newest record was its own.
/// The lead before still held its term and renewed a worker that the new lead did not reach: the task there was
/// started elsewhere 6.4 s after the fence, while leases that the earlier lead asks for can last for 8.8 s.
#[test]
fn claims_of_its_own_that_came_to_nothing_do_not_hide_the_lead_before_them() {
    let mut unanswered = watch("b", 2);
    unanswered.note_record(watch("a", 1).next_claim("127.0.0.1:1"), START);
    let claim = unanswered.next_claim("127.0.0.1:2");
    unanswered.note_record(claim.clone(), START);
    assert!(unanswered.is_holder());
    no_task_begins_beside_an_earlier_lead(&unanswered);
    let mut unfenced = watch("b", 2);
    unfenced.note_record(watch("a", 1).next_claim("127.0.0.1:1"), START);
    unfenced.note_own_record(claim, START, 2, &AuthorityTiming::default());
    unfenced.step_down();
    no_task_begins_beside_an_earlier_lead(&unfenced);
}

/// A box takes its own earlier life as dead, which it is, but that life had led only for moments.
#[test]
fn a_box_that_restarts_after_a_short_lead_still_has_a_predecessor() {
    let mut short_lived = watch("b", 2);
    short_lived.note_record(watch("a", 1).next_claim("127.0.0.1:1"), START);
    let mut restarted = watch("b", 3);
    restarted.note_record(short_lived.next_claim("127.0.0.1:2"), START);
    no_task_begins_beside_an_earlier_lead(&restarted);
}

/// The same with a lead that resigned before the term of the one before it had ended.
#[test]
fn a_resignation_soon_after_a_claim_does_not_hide_the_lead_before_it() {
    let mut short_lived = watch("b", 2);
    short_lived.note_record(watch("a", 1).next_claim("127.0.0.1:1"), START);
    let claim = short_lived.next_claim("127.0.0.1:2");
    let mut follower = watch("c", 3);
    follower.note_record(LeadRecord { resigned: true, ..claim }, START);
    no_task_begins_beside_an_earlier_lead(&follower);
}

#[test]
fn the_first_lead_of_all_and_whoever_follows_its_resignation_have_none() {
    let mut first = watch("a", 1);
    assert!(!first.has_predecessor());
    let claim = first.next_claim("127.0.0.1:1");
    first.note_own_record(claim.clone(), START.after(TimeSpan(1)), 1, &AuthorityTiming::default());
    assert!(!first.has_predecessor(), "its own earlier lead gives no orders");
    let mut follower = watch("b", 2);
    follower.note_record(claim.clone(), START);
    assert!(follower.has_predecessor());
    follower.note_record(LeadRecord { resigned: true, ..claim }, START);
    assert!(!follower.has_predecessor());
}

#[test]
fn a_lead_whose_predecessors_terms_are_over_says_so() {
    let timing = CellTiming::default();
    let mut cell = FakeCell::new(1, 4);
    let mut later = cell.lead(true);
    let fenced = cell.now.after(TimeSpan(500));
    let over = fenced.after(timing.authority_term).after(TimeSpan(48));
    assert!(!later.is_sole_lead(over), "not before it has fenced");
    later.note_fenced(fenced);
    assert!(!later.is_sole_lead(Moment(over.0 - 1)));
    assert!(later.is_sole_lead(over));
    assert!(cell.lead(false).is_sole_lead(cell.now));
}
