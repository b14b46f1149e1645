//! Claims of the lead, and the end of its authority.

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
fn authority_ends_one_term_after_the_last_renewal_was_sent() {
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
        locations_since: None,
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
    // The late answer to a renewal that the store recorded before that claim.
    own.note_own_record(claim, at(400), 2, &timing);
    assert_eq!(own.newest(), Some(&later));
    assert_eq!(own.authority(at(1_501)), None);
    assert!(!own.is_holder());
    // A claim with the token of the other box would make the orders of the two indistinguishable.
    assert!(own.next_claim("127.0.0.1:1").token > later.token);
}

#[test]
fn a_silent_lead_is_replaced_after_a_timeout_and_a_resigned_lead_at_once() {
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
fn a_restarted_box_replaces_its_own_earlier_life_at_once() {
    let timing = AuthorityTiming::default();
    let lead = watch("a", 1).next_claim("127.0.0.1:1");
    let mut restarted = watch("a", 3);
    restarted.note_record(lead.clone(), START);
    assert!(!restarted.is_holder());
    assert!(restarted.should_claim(START, 0, &timing));
    assert!(restarted.next_claim("127.0.0.1:1").token > lead.token);
}

#[test]
fn a_weak_box_delays_its_claim_in_favour_of_a_stronger_box() {
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
fn a_strength_is_parsed_from_a_number_of_cores() {
    assert_eq!("0.25".parse(), Ok(BoxStrength(250)));
    assert_eq!("2".parse(), Ok(BoxStrength(2_000)));
    for invalid in ["", "-1", "NaN", "one", "1e300"] {
        assert!(invalid.parse::<BoxStrength>().is_err(), "{invalid}");
    }
}

#[test]
fn the_end_of_the_own_records_does_not_go_back_on_a_stale_read() {
    let timing = AuthorityTiming::default();
    let mut own = watch("a", 1);
    assert_eq!(own.own_record_end(), 0);
    let claim = own.next_claim("127.0.0.1:1");
    own.note_own_record(claim.clone(), START, 7, &timing);
    own.note_own_record(claim.clone(), at(400), 8, &timing);
    // A stale read returns the first of these records.
    own.note_record(claim, at(800));
    assert_eq!(own.own_record_end(), 8);
}

#[test]
fn a_refused_connection_allows_a_claim_at_once_only_the_first_time() {
    let timing = AuthorityTiming::default();
    let mut own = watch("a", 1);
    let lead = watch("b", 2).next_claim("127.0.0.1:2");
    own.note_record(lead.clone(), START);
    assert!(!own.should_claim(at(100), 0, &timing));
    own.note_connection_refused();
    assert!(own.should_claim(at(100), 0, &timing));
    own.note_own_record(own.next_claim("127.0.0.1:1"), at(100), 2, &timing);
    // The former lead is alive and claims again: only the path to it refuses connections.
    let token = own.newest().unwrap().token.next_lead();
    let second_claim = LeadRecord { token, ..lead };
    own.note_record(second_claim, at(200));
    own.note_connection_refused();
    assert!(!own.should_claim(at(300), 0, &timing));
    assert!(own.should_claim(at(200 + timing.unreachable_timeout.0), 0, &timing));
}

#[test]
fn fenced_appends_extend_the_authority() {
    let timing = AuthorityTiming::default();
    let mut own = watch("a", 1);
    let claim = own.next_claim("127.0.0.1:1");
    own.note_own_record(claim.clone(), START, 1, &timing);
    own.note_fenced_append(claim.token, at(2_000), &timing);
    assert_eq!(own.authority(at(2_000 + timing.term.0 - 1)), Some(claim.token));
    assert_eq!(own.authority(at(2_000 + timing.term.0)), None);
    // A late answer to an append that was sent earlier does not shorten the authority.
    own.note_fenced_append(claim.token, at(1_000), &timing);
    assert_eq!(own.authority(at(2_000 + timing.term.0 - 1)), Some(claim.token));
}

#[test]
fn a_fenced_append_gives_no_authority_after_the_claim_of_another_box() {
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
fn a_reachable_lead_that_reports_itself_healthy_is_not_replaced() {
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
fn a_restarted_box_claims_regardless_of_its_rank() {
    let timing = AuthorityTiming::default();
    let lead = watch("a", 1).next_claim("127.0.0.1:1");
    let mut restarted = watch("a", 3);
    restarted.note_record(lead, START);
    assert!(restarted.should_claim(START, 7, &timing));
}

#[test]
fn a_much_weaker_box_than_the_lead_is_recognised() {
    let mut weak = LeadWatch::new("weak".into(), 1, BoxStrength(120), at(0));
    let mut comparable = LeadWatch::new("alike".into(), 2, BoxStrength(400), at(0));
    assert!(!weak.is_weaker_than_lead(), "there is no lead yet");
    let strong = LeadWatch::new("strong".into(), 3, BoxStrength(500), at(0));
    let record = strong.next_claim("127.0.0.1:3");
    weak.note_record(record.clone(), at(0));
    comparable.note_record(record, at(0));
    assert!(weak.is_weaker_than_lead());
    assert!(!comparable.is_weaker_than_lead());
}

/// Guards against two leads with one token. The store records a renewal of a lead, but the answer arrives after the
/// lead has read the claim of its successor. A lead that takes its own record for the newest one then goes on giving
/// orders and claims with the token of its successor, so that the store and the workers cannot tell the two apart.
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

/// Boxes of two versions run side by side during an upgrade. A box that cannot read the record of the lead would claim
/// with a token that is already in use.
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
    let read_by_earlier = (earlier.token, earlier.holder.as_str(), earlier.resigned);
    assert_eq!(read_by_earlier, (record.token.0, "a", true));
    let read = LeadRecord::decode(&postcard::to_stdvec(&earlier).unwrap()).unwrap();
    assert_eq!(
        read,
        LeadRecord { predecessors_expired: false, locations_since: None, ..record.clone() }
    );
    assert_eq!(LeadRecord::decode(&record.encode()).unwrap(), record);
    assert!(LeadRecord::decode(&record.encode()[..4]).is_err());
}

/// A lead of an earlier version may start tasks without recording where, so what was recorded before it proves nothing.
#[test]
fn a_lead_of_an_earlier_version_interrupts_the_leads_that_record_locations() {
    let follow = |record: &LeadRecord| {
        let mut follower = watch("b", 2);
        follower.note_record(record.clone(), START);
        follower.next_claim("127.0.0.1:2")
    };
    let first = watch("a", 1).next_claim("127.0.0.1:1");
    assert_eq!(first.locations_since, Some(first.token));
    let second = follow(&first);
    assert_eq!(second.locations_since, Some(first.token));
    let earlier_version = LeadRecord { locations_since: None, ..follow(&second) };
    let next = follow(&earlier_version);
    assert_eq!(next.locations_since, Some(next.token));
}

/// All boxes of a cell lost power, and each read all records at once: the last holder, which claims first, had them
/// after the others.
#[test]
fn after_a_loss_of_all_boxes_only_the_last_holder_reads_at_once() {
    let mut holder = watch("a", 1);
    let claim = holder.next_claim("127.0.0.1:1");
    // The processes start again, with other lives.
    let restarted = |name: &str, life: u64, strength: u32| {
        let mut watch = LeadWatch::new(BoxName::from(name), life, BoxStrength(strength), START);
        watch.note_record(claim.clone(), START);
        watch
    };
    holder = restarted("a", 11, 250);
    assert_eq!(holder.read_deferral(7, false), TimeSpan(0));
    let (strong, weak) = (restarted("b", 12, 250), restarted("c", 13, 100));
    for rank in 0..8 {
        let deferral = strong.read_deferral(rank, false);
        assert!(deferral >= TimeSpan(500), "{deferral:?}");
        // The records are there when the box may claim.
        let timing = AuthorityTiming::default();
        assert!(!strong.should_claim(at(deferral.0), rank, &timing), "{deferral:?}");
        assert!(weak.read_deferral(rank, false) > deferral);
        // The lead tells a linked box what it needs for its callers.
        assert!(weak.read_deferral(rank, true) > weak.read_deferral(rank, false));
    }
    // In a new cell there is nothing to read.
    assert_eq!(watch("d", 4).read_deferral(7, true), TimeSpan(0));
}
