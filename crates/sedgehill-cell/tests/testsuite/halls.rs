//! Operators empty data halls: nothing new starts there within seconds, until the hall is back in use.
//!
//! Guards against starts that went on in a hall after operators had asked to empty it: the daemon read the
//! configuration from the operators' topic and dropped every other record.

use std::collections::BTreeSet;

use sedgehill_cell::halls::{EmptiedHalls, HallChange};
use sedgehill_cell::ids::HallName;
use sedgehill_cell::job::StepSpec;
use sedgehill_cell::progress::JobState;
use sedgehill_cell::scheduler::{RunEnd, Scheduler, StallReason};
use sedgehill_core::units::{Moment, TimeSpan};

use crate::fake::{FakeCell, hall_of, job, step, task};

const WORKERS: u16 = 4;
const CORES: u64 = 4;
/// Turns of 20 ms in one second.
const TURNS_PER_SECOND: usize = 50;

fn north() -> HallName {
    hall_of(0)
}

fn south() -> HallName {
    hall_of(1)
}

/// Returns a cell with its lead, after all workers have answered.
fn settled_cell() -> (FakeCell, Scheduler) {
    let mut cell = FakeCell::new(WORKERS, CORES);
    let mut lead = cell.lead(false);
    cell.turns(&mut lead, 5);
    (cell, lead)
}

fn stall_reasons(cell: &FakeCell, lead: &Scheduler) -> Vec<StallReason> {
    lead.stall_stats(cell.now).into_iter().map(|stats| stats.reason).collect()
}

#[test]
fn nothing_starts_in_an_emptied_hall() {
    let (mut cell, mut lead) = settled_cell();
    cell.empty_hall(&north());
    cell.submit_led(&mut lead, 1, job(vec![step(16, 1)]));
    cell.turns(&mut lead, TURNS_PER_SECOND);
    assert_eq!(cell.runs_in_hall(&north()), 0);
    assert_eq!(cell.runs_in_hall(&south()), 8);
    cell.take_back_hall(&north());
    cell.turns(&mut lead, TURNS_PER_SECOND);
    assert_eq!(cell.runs_in_hall(&north()), 8, "filled again within a second");
}

#[test]
fn runs_in_an_emptied_hall_go_on_and_are_not_started_again_there() {
    let (mut cell, mut lead) = settled_cell();
    let spec = StepSpec { long_running: true, ..step(4, 3) };
    cell.submit_led(&mut lead, 1, job(vec![spec]));
    cell.turns(&mut lead, 10);
    let in_north: Vec<u16> = (0..4)
        .filter(|index| cell.place(task(1, 0, *index)).is_some_and(|number| number % 2 == 0))
        .collect();
    assert_eq!(in_north.len(), 2);
    cell.empty_hall(&north());
    cell.turns(&mut lead, 5 * TURNS_PER_SECOND);
    assert_eq!(cell.runs_in_hall(&north()), 2, "sound runs go on");
    let number = cell.place(task(1, 0, in_north[0])).unwrap();
    cell.end(number, task(1, 0, in_north[0]), RunEnd::Failed);
    cell.turns(&mut lead, 2 * TURNS_PER_SECOND);
    assert_eq!(cell.runs_in_hall(&north()), 1);
    assert_eq!(stall_reasons(&cell, &lead), [], "others of the step run");
}

#[test]
fn a_gang_that_only_fits_with_an_emptied_hall_waits_whole() {
    let (mut cell, mut lead) = settled_cell();
    let spec = StepSpec { gang: true, ..step(3, 3) };
    cell.empty_hall(&north());
    cell.submit_led(&mut lead, 1, job(vec![spec]));
    cell.turns(&mut lead, 10 * TURNS_PER_SECOND);
    assert_eq!(cell.starts.len(), 0, "no member begins");
    assert_eq!(stall_reasons(&cell, &lead), [StallReason::HallEmptied]);
    assert_eq!(cell.progress(1).state, JobState::Pending, "the job waits and is not failed");
    cell.take_back_hall(&north());
    cell.turns(&mut lead, TURNS_PER_SECOND);
    assert_eq!(cell.starts.len(), 3);
}

#[test]
fn with_all_halls_emptied_work_waits_and_says_why() {
    let (mut cell, mut lead) = settled_cell();
    cell.empty_hall(&north());
    cell.empty_hall(&south());
    cell.empty_hall(&HallName::from("no-worker-is-here"));
    cell.submit_led(&mut lead, 1, job(vec![step(2, 1)]));
    cell.turns(&mut lead, 10 * TURNS_PER_SECOND);
    assert_eq!(cell.starts.len(), 0);
    assert_eq!(stall_reasons(&cell, &lead), [StallReason::HallEmptied]);
    let stats = lead.hall_stats(cell.now);
    assert_eq!(stats.iter().map(|hall| hall.workers).collect::<Vec<_>>(), [0, 2, 2]);
    cell.take_back_hall(&south());
    cell.turns(&mut lead, TURNS_PER_SECOND);
    assert_eq!(cell.runs_in_hall(&south()), 2);
}

#[test]
fn a_start_that_waits_to_be_recorded_is_withdrawn() {
    let (mut cell, mut lead) = settled_cell();
    let spec = StepSpec { long_running: true, ..step(4, 3) };
    cell.submit_led(&mut lead, 1, job(vec![spec]));
    // The starts of long-running tasks are recorded before they are sent.
    cell.turn_unrecorded(&mut lead);
    assert_eq!(cell.starts.len(), 0);
    cell.empty_hall(&north());
    cell.turns(&mut lead, 5);
    assert_eq!(cell.runs_in_hall(&north()), 0);
    assert_eq!(cell.runs_in_hall(&south()), 2);
}

#[test]
fn an_ordered_start_is_not_sent_once_the_hall_is_emptied() {
    let (mut cell, mut lead) = settled_cell();
    cell.submit_led(&mut lead, 1, job(vec![step(1, 1)]));
    cell.turns(&mut lead, 3);
    let number = cell.place(task(1, 0, 0)).unwrap();
    let watched = cell.worker_key(&lead, number);
    assert!(lead.may_send_start(watched));
    cell.empty_hall(&hall_of(number as u16));
    cell.read_halls(&mut lead);
    assert!(!lead.may_send_start(watched));
}

#[test]
fn a_lead_starts_nothing_before_it_knows_the_emptied_halls() {
    let mut cell = FakeCell::new(WORKERS, CORES);
    cell.halls_unreadable = true;
    let mut lead = cell.lead(false);
    cell.submit_led(&mut lead, 1, job(vec![step(1, 1)]));
    cell.turns(&mut lead, TURNS_PER_SECOND);
    assert_eq!(cell.starts.len(), 0);
    assert_eq!(lead.stall_stats(cell.now).len(), 0, "no step was looked at");
    cell.halls_unreadable = false;
    cell.turns(&mut lead, 3);
    assert_eq!(cell.starts.len(), 1);
}

#[test]
fn a_lead_that_cannot_read_requests_for_seconds_stops_starting() {
    let (mut cell, mut lead) = settled_cell();
    cell.halls_unreadable = true;
    cell.turns(&mut lead, 4 * TURNS_PER_SECOND + 5);
    cell.submit_led(&mut lead, 1, job(vec![step(1, 1)]));
    cell.turns(&mut lead, TURNS_PER_SECOND);
    assert_eq!(cell.starts.len(), 0);
    cell.halls_unreadable = false;
    cell.turns(&mut lead, 3);
    assert_eq!(cell.starts.len(), 1);
}

#[test]
fn a_worker_of_unknown_hall_gets_no_work_while_a_hall_is_emptied() {
    let mut cell = FakeCell::new(1, CORES);
    cell.workers[0].entry.hall = None;
    let mut lead = cell.lead(false);
    cell.empty_hall(&north());
    cell.submit_led(&mut lead, 1, job(vec![step(1, 1)]));
    cell.turns(&mut lead, TURNS_PER_SECOND);
    assert_eq!(cell.starts.len(), 0);
    cell.take_back_hall(&north());
    cell.turns(&mut lead, 3);
    assert_eq!(cell.starts.len(), 1);
}

#[test]
fn halls_emptied_and_taken_back_again_and_again_leave_no_gate_shut() {
    let (mut cell, mut lead) = settled_cell();
    for id in 0..40 {
        let hall = [north(), south()][id % 2].clone();
        cell.empty_hall(&hall);
        cell.submit_led(&mut lead, id as u64, job(vec![step(2, 1)]));
        cell.turns(&mut lead, 10);
        cell.take_back_hall(&hall);
        cell.turns(&mut lead, 10);
        cell.end_older_than(TimeSpan(0));
    }
    cell.turns(&mut lead, TURNS_PER_SECOND);
    cell.end_older_than(TimeSpan(0));
    cell.turns(&mut lead, 10);
    for id in 0..40 {
        assert_eq!(cell.progress(id).state, JobState::Completed, "job {id}");
    }
}

#[test]
fn a_complete_list_of_requests_takes_back_what_it_lacks() {
    let mut halls = EmptiedHalls::default();
    let list = |names: &[&str]| names.iter().map(|name| HallName::from(*name)).collect();
    let now = Moment(1_000);
    let changes = halls.replace(list(&["north", "south"]), 10, now);
    assert_eq!(changes.len(), 2);
    halls.note_read(14);
    assert_eq!(halls.take_back(&north()), Some(HallChange::BackInUse(north())));
    // An older list does not bring the request back.
    assert_eq!(halls.replace(list(&["north", "south"]), 12, now), []);
    assert!(!halls.contains(&north()));
    // The topic's history was forgotten, and the next complete list no longer names the south.
    let changes = halls.replace(BTreeSet::new(), 20, now);
    assert_eq!(changes, [HallChange::BackInUse(south())]);
    assert!(halls.is_empty());
}
