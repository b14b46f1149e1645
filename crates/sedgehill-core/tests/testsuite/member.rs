//! Tests of the state of peers, derived from their heartbeats.

use sedgehill_core::ids::{BoxId, Incarnation, Offset};
use sedgehill_core::member::{BoxHeartbeat, MemberState, MemberTable, MemberTiming};
use sedgehill_core::units::{Moment, TimeSpan};

const TIMING: MemberTiming =
    MemberTiming { suspect_after: TimeSpan(1_000), gone_after: TimeSpan(3_000) };

fn peer() -> BoxId {
    "box-2".parse().expect("a valid name")
}

fn heartbeat(incarnation: u64, sequence: u64, leaving: bool) -> BoxHeartbeat {
    BoxHeartbeat {
        from: peer(),
        incarnation: Incarnation(incarnation),
        sequence,
        leaving,
        applied: Offset(sequence),
        leaving_endpoints: Vec::new(),
        capacities: Vec::new(),
    }
}

#[test]
fn silence_makes_a_peer_suspect_and_then_gone() {
    let mut table = MemberTable::new(TIMING);
    assert_eq!(table.state(&peer(), Moment(0)), MemberState::Gone);
    assert!(table.record_heartbeat(heartbeat(1, 1, false), Moment(0)));
    assert_eq!(table.state(&peer(), Moment(999)), MemberState::Live);
    assert_eq!(table.state(&peer(), Moment(1_000)), MemberState::Suspect);
    assert_eq!(table.state(&peer(), Moment(3_000)), MemberState::Gone);
    assert!(table.record_heartbeat(heartbeat(1, 2, true), Moment(4_000)));
    assert_eq!(table.state(&peer(), Moment(4_000)), MemberState::Leaving);
}

#[test]
fn an_outdated_heartbeat_is_ignored() {
    let mut table = MemberTable::new(TIMING);
    table.record_heartbeat(heartbeat(2, 5, false), Moment(0));
    assert!(
        !table.record_heartbeat(heartbeat(2, 4, true), Moment(10)),
        "an older heartbeat of the same run"
    );
    assert!(
        !table.record_heartbeat(heartbeat(1, 9, true), Moment(10)),
        "a heartbeat of an earlier run"
    );
    assert_eq!(table.state(&peer(), Moment(10)), MemberState::Live);
    assert!(
        table.record_heartbeat(heartbeat(3, 1, true), Moment(10)),
        "a heartbeat of a later run"
    );
    assert_eq!(table.live(Moment(10)), Vec::<BoxId>::new());
}
