//! Tests of claiming, holding and losing the lead of a data hall, with fixed times.

use sedgehill_core::ids::{BoxId, Epoch, HallName, Offset};
use sedgehill_core::lead::{LeadAction, LeadTimer, LeadTiming};
use sedgehill_core::state::HallLead;
use sedgehill_core::units::{Moment, TimeSpan};

const TIMING: LeadTiming = LeadTiming {
    term: TimeSpan(6_000),
    margin: TimeSpan(1_000),
    renew_every: TimeSpan(2_000),
    stagger: TimeSpan(300),
};

fn hall() -> HallName {
    "abdali".parse().expect("a valid name")
}

fn id(name: &str) -> BoxId {
    name.parse().expect("a valid name")
}

fn lead(holder: &str, epoch: u64, renewed: u64) -> HallLead {
    HallLead { holder: id(holder), epoch: Epoch(epoch), renewed: Offset(renewed), released: false }
}

fn timer(own_id: &str) -> LeadTimer {
    LeadTimer::new(hall(), id(own_id), TIMING)
}

#[test]
fn the_term_counts_from_sending_the_renewal() {
    let mut timer = timer("box-1");
    timer.observe(Some(&lead("box-1", 5, 5)), Moment(4_000));
    timer.record_confirmation(Epoch(5), Moment(1_000));
    assert!(timer.held_at(Moment(6_999)).is_some());
    assert!(timer.held_at(Moment(7_000)).is_none());
    timer.record_confirmation(Epoch(5), Moment(3_000));
    assert!(timer.held_at(Moment(8_999)).is_some());
    timer.record_confirmation(Epoch(5), Moment(2_000));
    assert!(
        timer.held_at(Moment(8_999)).is_some(),
        "an older confirmation does not shorten the term"
    );
}

#[test]
fn a_claimant_waits_for_term_and_margin_after_reading() {
    let mut timer = timer("box-2");
    timer.observe(Some(&lead("box-1", 5, 9)), Moment(1_000));
    assert_eq!(timer.next_action(0, Moment(7_999)), LeadAction::Wait);
    assert_eq!(timer.next_action(1, Moment(8_000)), LeadAction::Wait, "another box is preferred");
    assert_eq!(timer.next_action(0, Moment(8_000)), LeadAction::Claim { after: Some(Offset(9)) });
    timer.observe(Some(&lead("box-1", 5, 12)), Moment(7_500));
    assert_eq!(timer.next_action(0, Moment(8_000)), LeadAction::Wait, "the lead was renewed");
}

#[test]
fn a_released_lead_is_claimed_at_once() {
    let mut timer = timer("box-2");
    let released = HallLead { released: true, ..lead("box-1", 5, 9) };
    timer.observe(Some(&released), Moment(1_000));
    assert_eq!(timer.next_action(0, Moment(1_000)), LeadAction::Claim { after: Some(Offset(9)) });
}

#[test]
fn a_confirmation_after_the_claim_of_another_box_has_no_effect() {
    let mut timer = timer("box-1");
    timer.observe(Some(&lead("box-2", 8, 8)), Moment(4_000));
    timer.record_confirmation(Epoch(5), Moment(3_900));
    assert!(timer.held_at(Moment(4_000)).is_none());
}

#[test]
fn a_lead_ends_at_once_when_another_box_claims_it() {
    let mut timer = timer("box-1");
    timer.observe(Some(&lead("box-1", 5, 5)), Moment(1_000));
    timer.record_confirmation(Epoch(5), Moment(1_000));
    timer.observe(Some(&lead("box-2", 8, 8)), Moment(1_100));
    assert!(timer.held_at(Moment(1_200)).is_none());
}
