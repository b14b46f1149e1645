//! How often boxes read the topics that all of them follow.
//!
//! Guards against calls to the store that grow with the cell: 588 boxes at rest made 4,500 calls a second, most of them
//! by boxes with nothing to do.

use sedgehill_cell::reading::{ReadPlan, ReaderRole, ViewAges, is_unconfirmed};
use sedgehill_core::units::TimeSpan;

/// The most calls a second at rest, whatever the number of boxes up to [`MOST_BOXES`].
const MAX_CALLS_PER_SECOND: u64 = 500;
const MOST_BOXES: u64 = 2_400;
/// Boxes that stand by, at most.
const STANDBYS: u64 = 8;
/// Time between two renewals of the lead, each of which answers a waiting read of the leads topic.
const RENEWAL: TimeSpan = TimeSpan(400);
/// How old a confirmed view is on average.
const CONFIRMED: ViewAges = ViewAges { known: Some(TimeSpan(600)), read: Some(TimeSpan(600)) };

const LEAD: ReaderRole = ReaderRole { leads: true, stands_by: false, hears_lead: false };
const STANDBY: ReaderRole = ReaderRole { leads: false, stands_by: true, hears_lead: true };
const LINKED: ReaderRole = ReaderRole { leads: false, stands_by: false, hears_lead: true };
const ALONE: ReaderRole = ReaderRole { leads: false, stands_by: false, hears_lead: false };

fn ages(known: u64, read: u64) -> ViewAges {
    ViewAges { known: Some(TimeSpan(known)), read: Some(TimeSpan(read)) }
}

/// Returns the reads of a box in a minute in which no configuration changes.
fn reads_per_minute(role: ReaderRole, draw: u64) -> u64 {
    let plan = ReadPlan::of(role, draw);
    let operators = 60_000 / plan.operators_wait(CONFIRMED).0.max(1);
    // A waiting read is answered by the next renewal.
    let leads = 60_000 / (plan.leads_pause().0 + RENEWAL.0 / 2);
    operators + leads
}

#[test]
fn calls_at_rest_stay_bounded_at_four_times_the_largest_cell() {
    for boxes in [30, 588, 1_200, MOST_BOXES] {
        let standbys = STANDBYS.min(boxes - 1);
        let linked =
            (0..boxes - 1 - standbys).map(|number| reads_per_minute(LINKED, number * 7_919));
        let others = standbys * reads_per_minute(STANDBY, 0) + reads_per_minute(LEAD, 0);
        let per_second = (linked.sum::<u64>() + others) / 60;
        assert!(
            per_second <= MAX_CALLS_PER_SECOND,
            "{boxes} boxes make {per_second} calls a second"
        );
    }
}

#[test]
fn only_a_box_that_hears_a_lead_and_does_not_stand_by_relies_on_it() {
    for role in [LEAD, STANDBY, ALONE] {
        let plan = ReadPlan::of(role, 4_000);
        assert_eq!(plan.operators_wait(CONFIRMED), TimeSpan(500), "{role:?}");
        assert!(plan.leads_pause() <= TimeSpan(400), "{role:?}");
    }
    let plan = ReadPlan::of(LINKED, 4_000);
    assert_eq!(plan.operators_wait(CONFIRMED), TimeSpan(14_000));
    assert_eq!(plan.leads_pause(), TimeSpan(14_000));
}

/// The store waits for at most 30 s.
#[test]
fn no_draw_makes_a_wait_that_the_store_does_not_take() {
    for draw in [0, 4_999, 5_000, u64::MAX] {
        assert!(ReadPlan::of(LINKED, draw).operators_wait(CONFIRMED) < TimeSpan(30_000));
    }
}

#[test]
fn a_view_that_the_lead_does_not_confirm_is_read_soon() {
    let plan = ReadPlan::of(LINKED, 0);
    assert_eq!(plan.operators_wait(ages(1_500, 1_500)), TimeSpan(500));
    assert_eq!(plan.operators_wait(ViewAges { known: None, read: None }), TimeSpan(500));
    // A view counts as fresh for 1.8 s, and a slow store takes 0.3 s.
    assert!(is_unconfirmed(Some(TimeSpan(1_500))) && !is_unconfirmed(Some(TimeSpan(1_000))));
}

/// The lead before may have proved the configuration to a box that now leads itself, but it did not prove that no hall
/// was emptied.
#[test]
fn a_box_that_begins_to_lead_reads_the_requests_without_waiting() {
    let plan = ReadPlan::of(LEAD, 0);
    assert_eq!(plan.operators_wait(ages(300, 9_000)), TimeSpan(0));
    assert_eq!(plan.operators_wait(ages(300, 300)), TimeSpan(500));
}
