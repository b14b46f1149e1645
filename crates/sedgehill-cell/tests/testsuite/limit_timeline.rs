//! The expected use of a limit over time, without a scheduler.

use sedgehill_cell::organisation::ResourceLimit;
use sedgehill_cell::scheduler::LimitTimeline;
use sedgehill_core::units::{CoreCount, Moment, TimeSpan};

use crate::fake::cores;

const NOW: Moment = Moment(10_000);

/// Returns the timeline of an organisation with a limit of 8 cores, all of which are in use. Two are given back each
/// second.
fn full() -> LimitTimeline {
    let limit = ResourceLimit { cores: Some(CoreCount(8_000)), ..ResourceLimit::default() };
    let ends: Vec<_> = (1..5).map(|at| (NOW.after(TimeSpan(at * 1_000)), cores(2))).collect();
    LimitTimeline::new(limit, cores(8), &ends, NOW)
}

// Guards against work that delays a waiting gang, and against room that stands idle while the gang cannot use it.
#[test]
fn only_what_ends_in_time_or_fits_beside_starts_before_a_waiting_gang() {
    let mut timeline = full();
    let gang_at = timeline.earliest(&cores(6), Some(TimeSpan(5_000))).unwrap();
    assert_eq!(gang_at, NOW.after(TimeSpan(3_000)));
    timeline.reserve(&cores(6), gang_at, Some(TimeSpan(5_000)));
    let short = timeline.earliest(&cores(2), Some(TimeSpan(2_000))).unwrap();
    assert_eq!(short, NOW.after(TimeSpan(1_000)), "ends when the gang starts");
    let long = timeline.earliest(&cores(2), Some(TimeSpan(2_500))).unwrap();
    assert_eq!(
        long,
        NOW.after(TimeSpan(4_000)),
        "fits beside the gang once the last run has ended"
    );
    assert_eq!(timeline.earliest(&cores(8), None), Some(NOW.after(TimeSpan(8_000))));
}

// Guards against work without an end that takes the room of a waiting step for good.
#[test]
fn work_without_an_end_needs_room_for_good() {
    let mut timeline = full();
    timeline.reserve(&cores(7), NOW.after(TimeSpan(4_000)), None);
    assert_eq!(timeline.tasks_now(&cores(1), None), 0);
    assert_eq!(timeline.earliest(&cores(1), None), Some(NOW.after(TimeSpan(1_000))));
    assert_eq!(timeline.earliest(&cores(2), None), None);
}

// Guards against a lowered limit, or runs that outlast their forecast, being taken for free room.
#[test]
fn what_should_have_ended_still_counts_now() {
    let limit = ResourceLimit { cores: Some(CoreCount(4_000)), ..ResourceLimit::default() };
    let timeline = LimitTimeline::new(limit, cores(6), &[(Moment(9_000), cores(5))], NOW);
    assert_eq!(timeline.tasks_now(&cores(1), Some(TimeSpan(1_000))), 0);
    assert_eq!(timeline.earliest(&cores(1), None), Some(NOW.after(TimeSpan(1))));
}
