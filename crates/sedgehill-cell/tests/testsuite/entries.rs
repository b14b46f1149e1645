//! Entries that others wrote: unreadable ones, and ones with the address of another worker.

use sedgehill_cell::job::StepSpec;
use sedgehill_cell::scheduler::{
    HoldReport, RunEnd, Scheduler, WorkerAnswer, WorkerEntry, WorkerRefusal,
};
use sedgehill_core::units::TimeSpan;

use crate::fake::{FakeCell, job, step, task};

/// Turns of a lead that shows the store's list to the scheduler as often as the daemon does.
fn turns(cell: &mut FakeCell, lead: &mut Scheduler, count: usize) {
    for turn in 0..count {
        if turn % 20 == 0 {
            cell.list(lead);
        }
        cell.turn(lead);
    }
}

/// The entry of a worker with the address of another one.
fn at_address_of(cell: &FakeCell, number: usize, other: usize) -> WorkerEntry {
    WorkerEntry { address: cell.workers[other].entry.address, ..cell.workers[number].entry.clone() }
}

/// A cell of three workers of which one runs a task; which one.
fn running_cell() -> (FakeCell, Scheduler, usize) {
    let mut cell = FakeCell::new(3, 4);
    let mut lead = cell.lead(false);
    cell.submit(&mut lead, 1, job(vec![step(1, 1)]));
    turns(&mut cell, &mut lead, 40);
    let number = cell.place(task(1, 0, 0)).unwrap();
    (cell, lead, number)
}

fn starts_on(cell: &FakeCell, number: usize) -> usize {
    let life = &cell.workers[number].entry.life;
    cell.starts.iter().filter(|(_, _, at)| at == life).count()
}

#[test]
fn a_worker_whose_entry_turns_unreadable_gets_no_work_from_that_reading_on() {
    let (mut cell, mut lead, number) = running_cell();
    cell.workers[number].unreadable = true;
    cell.list(&mut lead);
    cell.submit(&mut lead, 2, job(vec![step(12, 1)]));
    turns(&mut cell, &mut lead, 100);
    assert_eq!(cell.starts.len(), 9, "the others take work");
    assert_eq!(starts_on(&cell, number), 1);
    cell.workers[number].unreadable = false;
    turns(&mut cell, &mut lead, 40);
    assert_eq!(starts_on(&cell, number), 4, "readable again, it takes the rest");
}

#[test]
fn what_runs_on_a_worker_whose_entry_turns_unreadable_is_watched_to_its_end() {
    let (mut cell, mut lead, number) = running_cell();
    cell.workers[number].unreadable = true;
    // Longer than any lease, and than an entry may be away.
    turns(&mut cell, &mut lead, 600);
    assert_eq!(cell.place(task(1, 0, 0)), Some(number));
    let mut next = cell.lead(true);
    turns(&mut cell, &mut next, 600);
    assert_eq!(cell.place(task(1, 0, 0)), Some(number), "a later lead watches it as well");
    cell.end_anywhere(task(1, 0, 0), RunEnd::Done);
    turns(&mut cell, &mut next, 20);
    assert_eq!(cell.starts.len(), 1);
    assert!(cell.progress(1).state.is_final());
}

#[test]
fn a_silent_worker_with_an_unreadable_entry_frees_its_tasks_with_its_lease() {
    let (mut cell, mut lead, number) = running_cell();
    cell.workers[number].unreadable = true;
    cell.workers[number].cut = true;
    turns(&mut cell, &mut lead, 150);
    assert_eq!(cell.starts.len(), 1, "its lease may last");
    // The fake checks that no task runs in two places.
    turns(&mut cell, &mut lead, 300);
    assert_eq!(cell.starts.len(), 2);
}

#[test]
fn a_known_worker_that_is_shown_at_another_address_keeps_its_own() {
    let (mut cell, mut lead, number) = running_cell();
    let other = (number + 1) % 3;
    cell.misplace(number, other);
    turns(&mut cell, &mut lead, 400);
    assert_eq!(cell.place(task(1, 0, 0)), Some(number));
    let mut next = cell.lead(true);
    turns(&mut cell, &mut next, 400);
    assert!(next.is_settled());
    assert_eq!(cell.place(task(1, 0, 0)), Some(number));
    assert_eq!(cell.starts.len(), 1);
}

#[test]
fn a_life_shown_at_another_s_address_is_used_once_its_entry_is_right() {
    let mut cell = FakeCell::new(2, 4);
    cell.misplace(1, 0);
    let mut lead = cell.lead(false);
    // None of them is overdue in this test.
    let long = StepSpec { estimate: TimeSpan(60_000), ..step(8, 1) };
    cell.submit(&mut lead, 1, job(vec![long]));
    turns(&mut cell, &mut lead, 60);
    assert_eq!((starts_on(&cell, 0), starts_on(&cell, 1)), (4, 0));
    assert_eq!(cell.watched(), 1, "nobody asks again where another life answers");
    cell.workers[1].shown = None;
    turns(&mut cell, &mut lead, 160);
    assert_eq!((starts_on(&cell, 0), starts_on(&cell, 1)), (4, 4));
    // Once it has answered, its address is known.
    cell.misplace(1, 0);
    turns(&mut cell, &mut lead, 400);
    assert_eq!(cell.starts.len(), 8);
    let mut next = cell.lead(true);
    turns(&mut cell, &mut next, 400);
    assert_eq!(cell.starts.len(), 8);
}

#[test]
fn an_answer_from_the_wrong_address_says_nothing_of_the_right_one() {
    let mut cell = FakeCell::new(2, 4);
    cell.misplace(1, 0);
    // Nothing answers at that address at first.
    cell.workers[0].cut = true;
    let mut lead = cell.lead(false);
    let wrong = lead.update_workers(vec![at_address_of(&cell, 1, 0)], &[], cell.now);
    assert!(wrong.is_empty(), "it is known and watched");
    let keys = lead.add_roster(&Default::default(), cell.now);
    assert!(keys.is_empty());
    turns(&mut cell, &mut lead, 10);
    let key = cell.key_of(&lead, 1);
    cell.workers[1].shown = None;
    cell.submit(&mut lead, 1, job(vec![step(4, 1)]));
    turns(&mut cell, &mut lead, 200);
    assert_eq!(starts_on(&cell, 1), 4);
    // A call to the wrong address is answered only now.
    let sent = cell.now;
    let refused = WorkerAnswer::<HoldReport>::NotDone(WorkerRefusal::OtherLife);
    lead.hold_answered(key, refused, sent, cell.now);
    turns(&mut cell, &mut lead, 100);
    assert_eq!(cell.starts.len(), 4, "what runs at the right address runs on");
}

#[test]
fn a_roster_with_the_wrong_address_allows_no_start_at_the_right_one() {
    let mut cell = FakeCell::new(2, 4);
    cell.workers[0].cut = true;
    cell.misplace(1, 0);
    let mut lead = cell.lead(false);
    cell.submit(&mut lead, 1, job(vec![step(1, 1)]));
    // A batch is on its way to the store, with no roster that holds a life which was not heard ...
    let batch = lead.take_batch(cell.now).unwrap();
    assert!(batch.roster.as_ref().is_none_or(|roster| roster.workers.is_empty()));
    cell.workers[1].shown = None;
    cell.now.0 += 5_000;
    cell.list(&mut lead);
    cell.poll_workers(&mut lead);
    lead.batch_recorded(&batch);
    lead.schedule(cell.now);
    assert!(lead.take_orders().is_empty(), "no roster holds the right address yet");
    turns(&mut cell, &mut lead, 40);
    assert_eq!(starts_on(&cell, 1), 1);
    assert!(cell.roster.workers.contains(&cell.workers[1].entry));
}

#[test]
fn a_new_lead_is_not_held_up_by_a_life_that_never_was_at_its_address() {
    let mut cell = FakeCell::new(3, 4);
    let mut lead = cell.lead(false);
    cell.submit(&mut lead, 1, job(vec![step(12, 1)]));
    turns(&mut cell, &mut lead, 40);
    // The roster was recorded before the life was heard of.
    let wrong = at_address_of(&cell, 1, 0);
    for entry in &mut cell.roster.workers {
        if entry.life == wrong.life {
            *entry = wrong.clone();
        }
    }
    cell.workers[1].ended = true;
    cell.workers[1].expire_for_test();
    cell.now.0 += 20;
    let mut next = cell.lead(true);
    turns(&mut cell, &mut next, 20);
    assert!(next.is_settled());
}

#[test]
fn what_ran_on_a_life_that_ended_starts_elsewhere_though_its_address_is_used_again() {
    let (mut cell, mut lead, number) = running_cell();
    cell.workers[number].ended = true;
    cell.workers[number].expire_for_test();
    turns(&mut cell, &mut lead, 20);
    assert_eq!(cell.starts.len(), 2);
    // A later lead hears from the roster that holds the ended life no more.
    let mut next = cell.lead(true);
    turns(&mut cell, &mut next, 20);
    assert!(next.is_settled());
}

#[test]
fn a_worker_of_a_pool_that_no_queue_has_gets_no_work() {
    let mut cell = FakeCell::new(2, 4);
    cell.workers[1].entry.pool = "unheard-of".into();
    let mut lead = cell.lead(false);
    cell.submit(&mut lead, 1, job(vec![step(8, 1)]));
    turns(&mut cell, &mut lead, 100);
    assert_eq!((starts_on(&cell, 0), starts_on(&cell, 1)), (4, 0));
}

#[test]
fn a_silent_worker_of_an_earlier_lead_is_waited_for_wherever_it_is_listed() {
    let (mut cell, _, number) = running_cell();
    cell.workers[number].cut = true;
    cell.misplace(number, (number + 1) % 3);
    let mut next = cell.lead(true);
    // Longer than it takes to follow a life to another address, shorter than its lease may last.
    turns(&mut cell, &mut next, 180);
    assert!(!next.is_settled());
    assert_eq!(cell.starts.len(), 1);
    turns(&mut cell, &mut next, 420);
    assert!(next.is_settled());
    assert_eq!(cell.starts.len(), 2, "its lease is surely over");
}
