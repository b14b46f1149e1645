//! Which boxes follow everything.

use sedgehill_cell::authority::BoxStrength;
use sedgehill_cell::scheduler::HelperId;
use sedgehill_cell::standby::{LinkRate, StandbySet};
use sedgehill_core::units::Moment;

const WEAK: BoxStrength = BoxStrength(120);
const STRONG: BoxStrength = BoxStrength(500);

fn standing(set: &StandbySet, helpers: u64) -> Vec<u64> {
    (1..=helpers).filter(|helper| set.contains(HelperId(*helper))).collect()
}

#[test]
fn a_few_of_the_strongest_stand_by() {
    let mut set = StandbySet::new("200".parse().unwrap(), true, Moment(0));
    for helper in 1..=90 {
        let strength = if helper % 6 == 0 { STRONG } else { WEAK };
        set.join(HelperId(helper), strength);
        set.choose(Moment(1));
    }
    assert_eq!(standing(&set, 90), [6, 12, 18, 24, 30, 36, 42, 48]);
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
fn a_narrow_link_feeds_fewer_boxes() {
    let mut set = StandbySet::new("2".parse().unwrap(), true, Moment(0));
    for helper in 1..=10 {
        set.join(HelperId(helper), WEAK);
    }
    set.choose(Moment(0));
    assert_eq!(standing(&set, 10).len(), 8);
    // 20 KB a second to each, where a fifth of the link is 50 KB.
    set.note_records(40_000, Moment(2_000));
    set.choose(Moment(2_001));
    assert_eq!(standing(&set, 10), [1, 2]);
    // More of them begin again only after a calm time.
    set.note_records(0, Moment(4_000));
    assert_eq!(set.choose(Moment(4_001)), []);
    set.note_records(0, Moment(7_100));
    assert_eq!(set.choose(Moment(7_101)).len(), 6);
}

#[test]
fn a_rate_is_told_in_megabits() {
    assert_eq!("20".parse::<LinkRate>().unwrap().bytes_per_second(), 2_500_000);
    assert_eq!("0.5".parse::<LinkRate>().unwrap().to_string(), "0.5 Mbit/s");
    for wrong in ["", "0", "-3", "fast", "inf"] {
        assert!(wrong.parse::<LinkRate>().is_err(), "{wrong}");
    }
}

#[test]
fn a_strong_box_on_a_narrow_link_is_weak() {
    let narrow: LinkRate = "2".parse().unwrap();
    let wide: LinkRate = "200".parse().unwrap();
    assert!(STRONG.bounded_by(narrow) < WEAK.bounded_by(wide));
    assert_eq!(STRONG.bounded_by(wide), STRONG);
}

/// A set of a lead with a link of 200 Mbit/s and so many other boxes, two of which may stand by in any case.
fn busy_set(boxes: u64, tells: bool) -> StandbySet {
    let mut set = StandbySet::new("200".parse().unwrap(), tells, Moment(0));
    for helper in 1..=boxes {
        set.join(HelperId(helper), BoxStrength(if helper <= 2 { 500 } else { 120 }));
    }
    set.choose(Moment(0));
    set
}

/// Whether states are told after `seconds` in each of which so many bytes of them come up.
fn told_after(set: &mut StandbySet, from: u64, seconds: u64, bytes: usize) -> bool {
    for turn in 0..seconds * 25 {
        let now = Moment(from + turn * 40);
        set.note_summaries(bytes / 25, now);
        set.decide_summaries(2_000, now);
    }
    set.sends_summaries()
}

#[test]
fn states_are_told_while_that_takes_little_of_the_leads_link() {
    // 118 jobs a second, told some three times each in 27 bytes, to 44 boxes: 1.6 % of the link.
    assert!(told_after(&mut busy_set(44, true), 0, 30, 9_600));
    // 1,011 jobs a second in a cell of 300 boxes: 97 %.
    assert!(!told_after(&mut busy_set(300, true), 0, 5, 81_900));
}

#[test]
fn telling_begins_again_only_after_a_calm_time_and_never_swings() {
    let mut set = busy_set(300, true);
    assert!(!told_after(&mut set, 0, 5, 81_900));
    assert!(!told_after(&mut set, 5_000, 4, 1_000), "not at once");
    assert!(told_after(&mut set, 9_000, 8, 1_000));
    // Between the two bounds it stays as it is, either way.
    let between = 25_000_000 * 75 / 1_000 / 292;
    assert!(told_after(&mut busy_set(300, true), 0, 60, between));
    assert!(!told_after(&mut busy_set(300, false), 0, 60, between));
}

#[test]
fn a_lead_of_many_boxes_that_know_nothing_does_not_begin_by_telling_each_all_jobs() {
    let mut set = busy_set(300, true);
    set.decide_summaries(36_000, Moment(20));
    assert!(!set.sends_summaries(), "it would take eight seconds of the link");
    assert!(!told_again(&mut set, 36_000), "nor later");
    assert!(told_again(&mut set, 2_000), "once there are few jobs it does");
    let mut few = busy_set(45, true);
    few.decide_summaries(7_000, Moment(20));
    assert!(few.sends_summaries());
    // Boxes that were told all along need no beginning.
    let mut long = busy_set(300, true);
    long.decide_summaries(2_000, Moment(20));
    long.decide_summaries(36_000, Moment(60_000));
    assert!(long.sends_summaries());
}

/// Whether a set whose boxes ask is told states after a calm time, with so many jobs known.
fn told_again(set: &mut StandbySet, known_jobs: usize) -> bool {
    let begin = 100_000 + known_jobs as u64;
    for turn in 0..200 {
        set.decide_summaries(known_jobs, Moment(begin + turn * 40));
    }
    set.sends_summaries()
}

#[test]
fn a_few_boxes_are_told_states_over_any_link() {
    let mut set = StandbySet::new("0.001".parse().unwrap(), true, Moment(0));
    for helper in 1..=10 {
        set.join(HelperId(helper), WEAK);
    }
    set.note_records(100_000, Moment(5_000));
    set.choose(Moment(5_000));
    assert_eq!(standing(&set, 10).len(), 2);
    assert!(told_after(&mut set, 0, 5, 10_000));
    set.join(HelperId(11), WEAK);
    assert!(!told_after(&mut set, 10_000, 5, 10_000));
}
