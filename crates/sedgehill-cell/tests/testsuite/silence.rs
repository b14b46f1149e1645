//! Detection of connections that fell silent, as opposed to peers that do not answer.

use std::net::SocketAddr;

use sedgehill_cell::silence::{PeerAnswer, SilenceDetector, SilentConnections};
use sedgehill_core::units::Moment;

fn peer(number: u16) -> SocketAddr {
    ([127, 0, 0, 1], 1_000 + number).into()
}

/// Returns an answer to a call sent at `sent` on a connection opened before all others.
fn answer_on_old_connection(number: u16, sent: u64) -> PeerAnswer {
    PeerAnswer {
        peer: peer(number),
        sent: Moment(sent),
        opened_at: Moment(0),
        last_answer_at: Moment(900),
    }
}

/// Returns an answer on a connection opened for the call.
fn answer_on_new_connection(number: u16, sent: u64) -> PeerAnswer {
    let sent = Moment(sent);
    PeerAnswer { peer: peer(number), sent, opened_at: sent, last_answer_at: sent }
}

#[test]
fn all_connections_are_replaced_when_those_of_many_peers_fall_silent() {
    let mut detector = SilenceDetector::default();
    for number in 0..3 {
        detector.note_unanswered(peer(number), Moment(1_000), Moment(1_100));
    }
    assert_eq!(
        detector.note_answer(answer_on_new_connection(0, 1_101), Moment(1_105)),
        SilentConnections::Peer(Moment(1_000))
    );
    assert_eq!(
        detector.note_answer(answer_on_new_connection(1, 1_101), Moment(1_106)),
        SilentConnections::Peer(Moment(1_000))
    );
    assert_eq!(
        detector.note_answer(answer_on_new_connection(2, 1_101), Moment(1_107)),
        SilentConnections::All(Moment(1_000))
    );
}

#[test]
fn lost_answers_of_some_calls_do_not_replace_other_connections() {
    let mut detector = SilenceDetector::default();
    for number in 0..30 {
        detector.note_answer(answer_on_old_connection(100 + number, 1_010), Moment(1_015));
    }
    for number in 0..3 {
        detector.note_unanswered(peer(number), Moment(1_000), Moment(1_100));
        let silent = detector.note_answer(answer_on_new_connection(number, 1_101), Moment(1_105));
        assert_eq!(silent, SilentConnections::Peer(Moment(1_000)));
    }
}

#[test]
fn a_late_answer_does_not_mark_the_connection_as_silent() {
    let mut detector = SilenceDetector::default();
    detector.note_unanswered(peer(1), Moment(1_000), Moment(1_100));
    assert_eq!(
        detector.note_answer(answer_on_old_connection(1, 1_000), Moment(1_300)),
        SilentConnections::None
    );
    assert_eq!(
        detector.note_answer(answer_on_new_connection(1, 1_310), Moment(1_315)),
        SilentConnections::None
    );
}

#[test]
fn a_peer_that_answers_on_no_connection_is_not_a_silent_connection() {
    let mut detector = SilenceDetector::default();
    for number in 0..20 {
        detector.note_unanswered(peer(number), Moment(1_000), Moment(1_100));
    }
    assert_eq!(
        detector.note_answer(answer_on_new_connection(50, 1_200), Moment(1_205)),
        SilentConnections::None
    );
}

#[test]
fn replacement_of_connections_is_rate_limited() {
    let mut detector = SilenceDetector::default();
    let mut replaced = 0;
    for time in 0..100 {
        let sent = 1_000 + 20 * time;
        detector.note_unanswered(peer(1), Moment(sent), Moment(sent + 5));
        let silent = detector.note_answer(answer_on_new_connection(1, sent + 6), Moment(sent + 8));
        replaced += u32::from(silent != SilentConnections::None);
    }
    assert!(replaced <= 5, "{replaced}");
}
