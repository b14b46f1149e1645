//! Who leads, and until when.

use sedgehill_cell::authority::{AuthorityTiming, BoxStrength, LeadRecord, LeadWatch};
use sedgehill_cell::ids::BoxName;
use sedgehill_core::units::{Moment, TimeSpan};

const START: Moment = Moment(50_000);

fn watch(name: &str, life: u64) -> LeadWatch {
    LeadWatch::new(BoxName::from(name), life, BoxStrength(250), START)
}

fn at(span: u64) -> Moment {
    START.after(TimeSpan(span))
}

#[test]
fn authority_ends_a_term_after_the_last_renewal_was_sent() {
    let timing = AuthorityTiming::default();
    let mut own = watch("a", 1);
    let claim = own.next_claim("127.0.0.1:1");
    own.note_own_record(claim.clone(), START, 1, &timing);
    assert_eq!(own.authority(at(timing.term.0 - 1)), Some(claim.token));
    assert_eq!(own.authority(at(timing.term.0)), None);
    assert!(own.is_holder());
}

#[test]
fn a_later_claim_ends_authority_at_once() {
    let timing = AuthorityTiming::default();
    let mut own = watch("a", 1);
    let claim = own.next_claim("127.0.0.1:1");
    own.note_own_record(claim, START, 1, &timing);
    let mut other = watch("b", 2);
    other.note_record(own.newest().unwrap().clone(), START);
    let later = other.next_claim("127.0.0.1:2");
    own.note_record(later, at(10));
    assert_eq!(own.authority(at(11)), None);
    assert!(!own.is_holder());
}

#[test]
fn an_older_record_that_arrives_late_changes_nothing() {
    let mut box_watch = watch("a", 1);
    let first = LeadRecord {
        token: sedgehill_cell::ids::FencingToken(4),
        holder: BoxName::from("b"),
        life: 2,
        peer_address: String::new(),
        strength: BoxStrength(250),
        predecessors_expired: true,
        resigned: false,
    };
    let older = LeadRecord { token: sedgehill_cell::ids::FencingToken(3), ..first.clone() };
    box_watch.note_record(first.clone(), START);
    box_watch.note_record(older, at(5));
    assert_eq!(box_watch.newest(), Some(&first));
}

#[test]
fn an_own_record_that_is_answered_late_does_not_undo_a_later_claim() {
    let timing = AuthorityTiming::default();
    let mut own = watch("a", 1);
    let claim = own.next_claim("127.0.0.1:1");
    own.note_own_record(claim.clone(), START, 1, &timing);
    let mut other = watch("b", 2);
    other.note_record(claim.clone(), START);
    let later = other.next_claim("127.0.0.1:2");
    own.note_record(later.clone(), at(1_500));
    // The answer to a renewal that the store kept before that claim.
    own.note_own_record(claim, at(400), 2, &timing);
    assert_eq!(own.newest(), Some(&later));
    assert_eq!(own.authority(at(1_501)), None);
    assert!(!own.is_holder());
    // Claimed again with the token of the other box, the orders of the two could not be told apart.
    assert!(own.next_claim("127.0.0.1:1").token > later.token);
}

#[test]
fn a_silent_lead_is_followed_and_a_resigned_one_at_once() {
    let timing = AuthorityTiming::default();
    let lead = watch("a", 1).next_claim("127.0.0.1:1");
    let mut follower = watch("b", 2);
    follower.note_record(lead.clone(), START);
    follower.note_reachable(true);
    assert!(!follower.should_claim(at(timing.unreachable_timeout.0), 0, &timing));
    assert!(follower.should_claim(at(timing.silence_timeout.0), 0, &timing));
    follower.note_reachable(false);
    assert!(follower.should_claim(at(timing.unreachable_timeout.0), 0, &timing));
    assert!(!follower.should_claim(at(timing.unreachable_timeout.0 - 1), 0, &timing));
    follower.note_record(LeadRecord { resigned: true, ..lead }, at(1));
    assert!(follower.should_claim(at(1), 0, &timing));
}

#[test]
fn a_restarted_box_follows_its_own_earlier_life_at_once() {
    let timing = AuthorityTiming::default();
    let lead = watch("a", 1).next_claim("127.0.0.1:1");
    let mut again = watch("a", 3);
    again.note_record(lead.clone(), START);
    assert!(!again.is_holder());
    assert!(again.should_claim(START, 0, &timing));
    assert!(again.next_claim("127.0.0.1:1").token > lead.token);
}

#[test]
fn a_weak_box_leaves_the_claim_to_a_stronger_one_for_a_moment() {
    let timing = AuthorityTiming::default();
    let resigned = LeadRecord { resigned: true, ..watch("c", 3).next_claim("127.0.0.1:3") };
    let mut weak = watch("a", 1);
    weak.note_record(resigned.clone(), START);
    assert!(weak.should_claim(at(0), 0, &timing));
    weak.note_strength(BoxStrength(500));
    assert!(!weak.should_claim(at(500), 0, &timing));
    assert!(weak.should_claim(at(700), 0, &timing));
    let mut strong = LeadWatch::new(BoxName::from("b"), 2, BoxStrength(500), START);
    strong.note_strength(BoxStrength(600));
    strong.note_record(resigned, START);
    assert!(strong.should_claim(at(0), 0, &timing));
}

#[test]
fn a_strength_is_a_number_of_cores() {
    assert_eq!("0.25".parse(), Ok(BoxStrength(250)));
    assert_eq!("2".parse(), Ok(BoxStrength(2_000)));
    for wrong in ["", "-1", "NaN", "one", "1e300"] {
        assert!(wrong.parse::<BoxStrength>().is_err(), "{wrong}");
    }
}

#[test]
fn a_renewal_follows_the_last_own_record_though_reads_are_behind() {
    let timing = AuthorityTiming::default();
    let mut own = watch("a", 1);
    assert_eq!(own.own_record_end(), 0);
    let claim = own.next_claim("127.0.0.1:1");
    own.note_own_record(claim.clone(), START, 7, &timing);
    own.note_own_record(claim.clone(), at(400), 8, &timing);
    // A read that is behind returns the first of them now.
    own.note_record(claim, at(800));
    assert_eq!(own.own_record_end(), 8);
}

#[test]
fn a_lead_whose_process_is_gone_is_followed_at_once_but_not_again_and_again() {
    let timing = AuthorityTiming::default();
    let mut own = watch("a", 1);
    let lead = watch("b", 2).next_claim("127.0.0.1:2");
    own.note_record(lead.clone(), START);
    assert!(!own.should_claim(at(100), 0, &timing));
    own.note_connection_refused();
    assert!(own.should_claim(at(100), 0, &timing));
    own.note_own_record(own.next_claim("127.0.0.1:1"), at(100), 2, &timing);
    // The former lead lives after all, and claims again: the path to it only refuses connections.
    let token = own.newest().unwrap().token.next_lead();
    let again = LeadRecord { token, ..lead };
    own.note_record(again, at(200));
    own.note_connection_refused();
    assert!(!own.should_claim(at(300), 0, &timing));
    assert!(own.should_claim(at(200 + timing.unreachable_timeout.0), 0, &timing));
}

#[test]
fn a_lead_goes_on_while_only_its_fenced_appends_are_kept() {
    let timing = AuthorityTiming::default();
    let mut own = watch("a", 1);
    let claim = own.next_claim("127.0.0.1:1");
    own.note_own_record(claim.clone(), START, 1, &timing);
    own.note_fenced_append(claim.token, at(2_000), &timing);
    assert_eq!(own.authority(at(2_000 + timing.term.0 - 1)), Some(claim.token));
    assert_eq!(own.authority(at(2_000 + timing.term.0)), None);
    // One that was sent earlier and answered late takes nothing away.
    own.note_fenced_append(claim.token, at(1_000), &timing);
    assert_eq!(own.authority(at(2_000 + timing.term.0 - 1)), Some(claim.token));
}

#[test]
fn a_fenced_append_gives_nothing_once_another_box_has_claimed() {
    let timing = AuthorityTiming::default();
    let mut own = watch("a", 1);
    let claim = own.next_claim("127.0.0.1:1");
    own.note_own_record(claim.clone(), START, 1, &timing);
    let mut other = watch("b", 2);
    other.note_record(claim.clone(), START);
    own.note_record(other.next_claim("127.0.0.1:2"), at(100));
    own.note_fenced_append(claim.token, at(200), &timing);
    assert_eq!(own.authority(at(201)), None);
}

#[test]
fn a_lead_that_says_that_it_is_served_is_not_followed_though_no_renewal_comes() {
    let timing = AuthorityTiming::default();
    let lead = watch("a", 1).next_claim("127.0.0.1:1");
    let mut follower = watch("b", 2);
    follower.note_record(lead, START);
    follower.note_lead_healthy(at(5_000));
    assert!(!follower.should_claim(at(5_000 + timing.unreachable_timeout.0), 0, &timing));
    follower.note_reachable(false);
    assert!(follower.should_claim(at(5_000 + timing.unreachable_timeout.0), 0, &timing));
}

#[test]
fn a_slow_store_makes_followers_wait_longer_for_renewals() {
    let timing = AuthorityTiming::default();
    let lead = watch("a", 1).next_claim("127.0.0.1:1");
    let mut follower = watch("b", 2);
    follower.note_record(lead, START);
    follower.note_store_lag(TimeSpan(1_200));
    assert!(!follower.should_claim(at(timing.unreachable_timeout.0 + 1_199), 0, &timing));
    assert!(follower.should_claim(at(timing.unreachable_timeout.0 + 1_200), 0, &timing));
}

#[test]
fn a_restarted_box_does_not_wait_for_its_turn_among_the_others() {
    let timing = AuthorityTiming::default();
    let lead = watch("a", 1).next_claim("127.0.0.1:1");
    let mut again = watch("a", 3);
    again.note_record(lead, START);
    assert!(again.should_claim(START, 7, &timing));
}

#[test]
fn a_box_leaves_the_lead_to_boxes_like_a_much_stronger_one() {
    let mut weak = LeadWatch::new("weak".into(), 1, BoxStrength(120), at(0));
    let mut alike = LeadWatch::new("alike".into(), 2, BoxStrength(400), at(0));
    assert!(!weak.is_weaker_than_lead(), "nobody has led yet");
    let strong = LeadWatch::new("strong".into(), 3, BoxStrength(500), at(0));
    let record = strong.next_claim("127.0.0.1:3");
    weak.note_record(record.clone(), at(0));
    alike.note_record(record, at(0));
    assert!(weak.is_weaker_than_lead());
    assert!(!alike.is_weaker_than_lead());
}

/// A lead's renewal was kept, and the answer came late: after the lead had read the claim of its successor. It took
/// its own record for the newest again, so it ordered on, and claimed with the token that its successor held. The
/// store and the workers could not tell the two apart any more.
#[test]
fn an_answer_that_comes_after_a_later_claim_was_read_gives_no_authority() {
    let timing = AuthorityTiming::default();
    let mut own = watch("a", 1);
    let claim = own.next_claim("127.0.0.1:1");
    assert!(own.note_own_record(claim.clone(), START, 1, &timing));
    let mut successor = watch("b", 2);
    successor.note_record(claim.clone(), START);
    let later = successor.next_claim("127.0.0.1:2");
    own.note_record(later.clone(), at(1_500));
    assert!(!own.note_own_record(claim, at(400), 2, &timing));
    assert_eq!(own.authority(at(1_500)), None);
    assert!(!own.is_holder());
    assert!(own.next_claim("127.0.0.1:1").token > later.token);
    assert_eq!(own.own_record_end(), 2);
    let same_token = LeadRecord { token: later.token, ..own.next_claim("127.0.0.1:1") };
    assert!(!own.note_own_record(same_token, at(1_500), 3, &timing));
    assert!(!own.is_holder());
}

/// Boxes of two versions run side by side while one replaces the other. One that could not read who leads would claim
/// with a token that is held.
#[test]
fn lead_records_of_earlier_versions_are_read_and_read_by_them() {
    #[derive(Debug, PartialEq, serde::Serialize, serde::Deserialize)]
    struct EarlierRecord {
        token: u64,
        holder: String,
        life: u64,
        peer_address: String,
        strength: u32,
        resigned: bool,
    }
    let record = LeadRecord {
        resigned: true,
        predecessors_expired: true,
        ..watch("a", 1).next_claim("127.0.0.1:1")
    };
    let earlier: EarlierRecord = postcard::from_bytes(&record.encode()).unwrap();
    let told = (earlier.token, earlier.holder.as_str(), earlier.resigned);
    assert_eq!(told, (record.token.0, "a", true));
    let read = LeadRecord::decode(&postcard::to_stdvec(&earlier).unwrap()).unwrap();
    assert_eq!(read, LeadRecord { predecessors_expired: false, ..record.clone() });
    assert!(LeadRecord::decode(&record.encode()[..4]).is_err());
}
