//! Which boxes get the full records as standbys, and when the others get summaries.

use sedgehill_cell::authority::BoxStrength;
use sedgehill_cell::scheduler::HelperId;
use sedgehill_cell::standby::{LinkRate, StandbySet};
use sedgehill_core::units::Moment;

const WEAK: BoxStrength = BoxStrength(120);
const STRONG: BoxStrength = BoxStrength(500);

fn standby_boxes(set: &StandbySet, helpers: u64) -> Vec<u64> {
    (1..=helpers).filter(|helper| set.contains(HelperId(*helper))).collect()
}

#[test]
fn only_some_of_the_strongest_boxes_stand_by() {
    let mut set = StandbySet::new("200".parse().unwrap(), true, Moment(0));
    for helper in 1..=90 {
        let strength = if helper % 6 == 0 { STRONG } else { WEAK };
        set.join(HelperId(helper), strength);
        set.choose(Moment(1));
    }
    assert_eq!(standby_boxes(&set, 90), [6, 12, 18, 24, 30, 36, 42, 48]);
}

#[test]
fn another_box_takes_the_place_of_one_that_left() {
    let mut set = StandbySet::new("200".parse().unwrap(), true, Moment(0));
    for helper in 1..=10 {
        set.join(HelperId(helper), STRONG);
    }
    set.choose(Moment(1));
    set.leave(HelperId(3));
    let changes = set.choose(Moment(2));
    assert_eq!(changes, [(HelperId(9), true)]);
}

#[test]
fn fewer_boxes_stand_by_on_a_slow_link() {
    let mut set = StandbySet::new("2".parse().unwrap(), true, Moment(0));
    for helper in 1..=10 {
        set.join(HelperId(helper), WEAK);
    }
    set.choose(Moment(0));
    assert_eq!(standby_boxes(&set, 10).len(), 8);
    // 20 KB per second for each box; a fifth of the link is 50 KB per second.
    set.note_records(40_000, Moment(2_000));
    set.choose(Moment(2_001));
    assert_eq!(standby_boxes(&set, 10), [1, 2]);
    // The number of standbys grows again only after a calm time.
    set.note_records(0, Moment(4_000));
    assert_eq!(set.choose(Moment(4_001)), []);
    set.note_records(0, Moment(7_100));
    assert_eq!(set.choose(Moment(7_101)).len(), 6);
}

#[test]
fn a_link_rate_is_parsed_and_shown_in_megabits() {
    assert_eq!("20".parse::<LinkRate>().unwrap().bytes_per_second(), 2_500_000);
    assert_eq!("0.5".parse::<LinkRate>().unwrap().to_string(), "0.5 Mbit/s");
    for invalid in ["", "0", "-3", "fast", "inf"] {
        assert!(invalid.parse::<LinkRate>().is_err(), "{invalid}");
    }
}

#[test]
fn a_strong_box_on_a_slow_link_is_weak() {
    let narrow: LinkRate = "2".parse().unwrap();
    let wide: LinkRate = "200".parse().unwrap();
    assert!(STRONG.bounded_by(narrow) < WEAK.bounded_by(wide));
    assert_eq!(STRONG.bounded_by(wide), STRONG);
}

/// Returns the standby set of a lead with a link of 200 Mbit/s and `boxes` other boxes, two of which are strong.
fn busy_set(boxes: u64, sends_summaries: bool) -> StandbySet {
    let mut set = StandbySet::new("200".parse().unwrap(), sends_summaries, Moment(0));
    for helper in 1..=boxes {
        set.join(HelperId(helper), BoxStrength(if helper <= 2 { 500 } else { 120 }));
    }
    set.choose(Moment(0));
    set
}

/// Returns whether summaries are sent after `seconds` with `bytes` of summaries per second.
fn sends_after(set: &mut StandbySet, from: u64, seconds: u64, bytes: usize) -> bool {
    for tick in 0..seconds * 25 {
        let now = Moment(from + tick * 40);
        set.note_summaries(bytes / 25, now);
        set.decide_summaries(2_000, now);
    }
    set.sends_summaries()
}

#[test]
fn summaries_are_sent_while_they_take_little_of_the_link_of_the_lead() {
    // 118 jobs per second with about three summaries of 27 bytes each, to 44 boxes: 1.6 % of the link.
    assert!(sends_after(&mut busy_set(44, true), 0, 30, 9_600));
    // 1,011 jobs per second in a cell of 300 boxes: 97 % of the link.
    assert!(!sends_after(&mut busy_set(300, true), 0, 5, 81_900));
}

#[test]
fn summaries_resume_only_after_a_calm_time_and_with_hysteresis() {
    let mut set = busy_set(300, true);
    assert!(!sends_after(&mut set, 0, 5, 81_900));
    assert!(!sends_after(&mut set, 5_000, 4, 1_000), "sending does not resume at once");
    assert!(sends_after(&mut set, 9_000, 8, 1_000));
    // Between the two bounds the decision stays as it was, either way.
    let between = 25_000_000 * 75 / 1_000 / 292;
    assert!(sends_after(&mut busy_set(300, true), 0, 60, between));
    assert!(!sends_after(&mut busy_set(300, false), 0, 60, between));
}

#[test]
fn a_lead_does_not_start_by_sending_all_jobs_to_many_boxes() {
    let mut set = busy_set(300, true);
    set.decide_summaries(36_000, Moment(20));
    assert!(
        !set.sends_summaries(),
        "the summaries of all jobs would take eight seconds of the link"
    );
    assert!(
        !resumes_sending(&mut set, 36_000),
        "with as many jobs, sending does not start later either"
    );
    assert!(resumes_sending(&mut set, 2_000), "sending starts once there are few jobs");
    let mut small_set = busy_set(45, true);
    small_set.decide_summaries(7_000, Moment(20));
    assert!(small_set.sends_summaries());
    // Boxes that got all summaries so far need no full transfer.
    let mut caught_up_set = busy_set(300, true);
    caught_up_set.decide_summaries(2_000, Moment(20));
    caught_up_set.decide_summaries(36_000, Moment(60_000));
    assert!(caught_up_set.sends_summaries());
}

/// Returns whether summaries are sent after a calm time, with `known_jobs` jobs known.
fn resumes_sending(set: &mut StandbySet, known_jobs: usize) -> bool {
    let begin = 100_000 + known_jobs as u64;
    for tick in 0..200 {
        set.decide_summaries(known_jobs, Moment(begin + tick * 40));
    }
    set.sends_summaries()
}

#[test]
fn two_standby_boxes_get_records_and_summaries_over_any_link() {
    let mut set = StandbySet::new("0.001".parse().unwrap(), true, Moment(0));
    for helper in 1..=10 {
        set.join(HelperId(helper), WEAK);
    }
    set.note_records(100_000, Moment(5_000));
    set.choose(Moment(5_000));
    assert_eq!(standby_boxes(&set, 10).len(), 2);
    assert!(sends_after(&mut set, 0, 5, 10_000));
    set.join(HelperId(11), WEAK);
    assert!(!sends_after(&mut set, 10_000, 5, 10_000));
}
