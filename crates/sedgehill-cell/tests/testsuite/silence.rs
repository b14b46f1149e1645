//! Connections that fell silent, and peers that do not answer.

use std::net::SocketAddr;

use sedgehill_cell::silence::{PeerAnswer, SilenceDetector, SilentConnections};
use sedgehill_core::units::Moment;

fn peer(number: u16) -> SocketAddr {
    ([127, 0, 0, 1], 1_000 + number).into()
}

/// An answer to a call sent at `sent` on a connection made before all others.
fn on_old(number: u16, sent: u64) -> PeerAnswer {
    PeerAnswer {
        peer: peer(number),
        sent: Moment(sent),
        opened_at: Moment(0),
        last_answer_at: Moment(900),
    }
}

/// An answer on a connection made for the call.
fn on_new(number: u16, sent: u64) -> PeerAnswer {
    let sent = Moment(sent);
    PeerAnswer { peer: peer(number), sent, opened_at: sent, last_answer_at: sent }
}

#[test]
fn connections_of_many_peers_that_fall_silent_together_are_all_replaced() {
    let mut watch = SilenceDetector::default();
    for number in 0..3 {
        watch.note_unanswered(peer(number), Moment(1_000), Moment(1_100));
    }
    assert_eq!(
        watch.note_answer(on_new(0, 1_101), Moment(1_105)),
        SilentConnections::Peer(Moment(1_000))
    );
    assert_eq!(
        watch.note_answer(on_new(1, 1_101), Moment(1_106)),
        SilentConnections::Peer(Moment(1_000))
    );
    assert_eq!(
        watch.note_answer(on_new(2, 1_101), Moment(1_107)),
        SilentConnections::All(Moment(1_000))
    );
}

#[test]
fn lost_answers_of_some_calls_say_nothing_of_other_connections() {
    let mut watch = SilenceDetector::default();
    for number in 0..30 {
        watch.note_answer(on_old(100 + number, 1_010), Moment(1_015));
    }
    for number in 0..3 {
        watch.note_unanswered(peer(number), Moment(1_000), Moment(1_100));
        let verdict = watch.note_answer(on_new(number, 1_101), Moment(1_105));
        assert_eq!(verdict, SilentConnections::Peer(Moment(1_000)));
    }
}

#[test]
fn a_peer_that_answers_late_is_slow() {
    let mut watch = SilenceDetector::default();
    watch.note_unanswered(peer(1), Moment(1_000), Moment(1_100));
    assert_eq!(watch.note_answer(on_old(1, 1_000), Moment(1_300)), SilentConnections::None);
    assert_eq!(watch.note_answer(on_new(1, 1_310), Moment(1_315)), SilentConnections::None);
}

#[test]
fn a_peer_that_answers_on_no_connection_is_not_a_silent_connection() {
    let mut watch = SilenceDetector::default();
    for number in 0..20 {
        watch.note_unanswered(peer(number), Moment(1_000), Moment(1_100));
    }
    assert_eq!(watch.note_answer(on_new(50, 1_200), Moment(1_205)), SilentConnections::None);
}

#[test]
fn connections_are_replaced_now_and_then_at_most() {
    let mut watch = SilenceDetector::default();
    let mut replaced = 0;
    for time in 0..100 {
        let sent = 1_000 + 20 * time;
        watch.note_unanswered(peer(1), Moment(sent), Moment(sent + 5));
        let verdict = watch.note_answer(on_new(1, sent + 6), Moment(sent + 8));
        replaced += u32::from(verdict != SilentConnections::None);
    }
    assert!(replaced <= 5, "{replaced}");
}
