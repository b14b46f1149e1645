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
    let mut set = StandbySet::new("200".parse().unwrap(), Moment(0));
    for helper in 1..=90 {
        let strength = if helper % 6 == 0 { STRONG } else { WEAK };
        set.join(HelperId(helper), strength);
        set.choose(Moment(1));
    }
    assert_eq!(standing(&set, 90), [6, 12, 18, 24, 30, 36, 42, 48]);
}

#[test]
fn another_box_takes_the_place_of_one_that_left() {
    let mut set = StandbySet::new("200".parse().unwrap(), Moment(0));
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
    let mut set = StandbySet::new("2".parse().unwrap(), Moment(0));
    for helper in 1..=10 {
        set.join(HelperId(helper), WEAK);
    }
    set.choose(Moment(0));
    assert_eq!(standing(&set, 10).len(), 8);
    // 20 KB a second to each, where a fifth of the link is 50 KB.
    set.note_fed(40_000, Moment(2_000));
    set.choose(Moment(2_001));
    assert_eq!(standing(&set, 10), [1, 2]);
    // More of them begin again only after a calm time.
    set.note_fed(0, Moment(4_000));
    assert_eq!(set.choose(Moment(4_001)), []);
    set.note_fed(0, Moment(7_100));
    assert_eq!(set.choose(Moment(7_101)).len(), 6);
}

#[test]
fn a_rate_is_told_in_megabits() {
    assert_eq!("20".parse::<LinkRate>().unwrap().bytes(), 2_500_000);
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
