//! Faulty worker entries: unreadable ones, and ones with the address of another worker.

use std::rc::Rc;

use sedgehill_cell::ids::{FencingToken, JobId};
use sedgehill_cell::job::StepSpec;
use sedgehill_cell::scheduler::{
    CellEvent, CellTiming, HoldReport, RosterChange, RunEnd, Scheduler, WorkerAnswer, WorkerEntry,
    WorkerKey, WorkerRefusal, WorkerRoster,
};
use sedgehill_core::units::{Moment, TimeSpan};

use crate::fake::{FakeCell, job, step, task};

/// Runs turns in which the lead passes the store's list to the scheduler as often as the daemon does.
fn turns(cell: &mut FakeCell, lead: &mut Scheduler, count: usize) {
    for turn in 0..count {
        if turn % 20 == 0 {
            cell.list(lead);
        }
        cell.turn(lead);
    }
}

/// Returns the entry of a worker with the address of another worker.
fn at_address_of(cell: &FakeCell, number: usize, other: usize) -> WorkerEntry {
    WorkerEntry { address: cell.workers[other].entry.address, ..cell.workers[number].entry.clone() }
}

/// Returns a cell of three workers of which one runs a task, and the number of that worker.
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
fn a_worker_whose_entry_turns_unreadable_gets_no_further_work() {
    let (mut cell, mut lead, number) = running_cell();
    cell.workers[number].unreadable = true;
    cell.list(&mut lead);
    cell.submit(&mut lead, 2, job(vec![step(12, 1)]));
    turns(&mut cell, &mut lead, 100);
    assert_eq!(cell.starts.len(), 9, "the other workers take the work");
    assert_eq!(starts_on(&cell, number), 1);
    cell.workers[number].unreadable = false;
    turns(&mut cell, &mut lead, 40);
    assert_eq!(starts_on(&cell, number), 4, "the worker takes the rest once its entry is readable");
}

#[test]
fn runs_on_a_worker_whose_entry_turns_unreadable_are_watched_to_their_end() {
    let (mut cell, mut lead, number) = running_cell();
    cell.workers[number].unreadable = true;
    // Longer than any lease, and longer than an entry may be missing.
    turns(&mut cell, &mut lead, 600);
    assert_eq!(cell.place(task(1, 0, 0)), Some(number));
    let mut next = cell.lead(true);
    turns(&mut cell, &mut next, 600);
    assert_eq!(cell.place(task(1, 0, 0)), Some(number), "a later lead watches the worker as well");
    cell.end_anywhere(task(1, 0, 0), RunEnd::Done);
    turns(&mut cell, &mut next, 20);
    assert_eq!(cell.starts.len(), 1);
    assert!(cell.progress(1).state.is_final());
}

#[test]
fn a_silent_worker_with_an_unreadable_entry_loses_its_tasks_with_its_lease() {
    let (mut cell, mut lead, number) = running_cell();
    cell.workers[number].unreadable = true;
    cell.workers[number].cut = true;
    turns(&mut cell, &mut lead, 150);
    assert_eq!(cell.starts.len(), 1, "the lease may not have ended");
    // The fake checks that no task runs in two places.
    turns(&mut cell, &mut lead, 300);
    assert_eq!(cell.starts.len(), 2);
}

#[test]
fn a_known_worker_listed_at_another_address_keeps_its_own() {
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
fn a_worker_listed_at_the_address_of_another_gets_work_once_its_entry_is_corrected() {
    let mut cell = FakeCell::new(2, 4);
    cell.misplace(1, 0);
    let mut lead = cell.lead(false);
    // The estimate is so long that no task becomes overdue in this test.
    let long = StepSpec { estimate: TimeSpan(60_000), ..step(8, 1) };
    cell.submit(&mut lead, 1, job(vec![long]));
    turns(&mut cell, &mut lead, 60);
    assert_eq!((starts_on(&cell, 0), starts_on(&cell, 1)), (4, 0));
    assert_eq!(cell.watched(), 1, "an address at which another life answers is not polled");
    cell.workers[1].shown = None;
    turns(&mut cell, &mut lead, 160);
    assert_eq!((starts_on(&cell, 0), starts_on(&cell, 1)), (4, 4));
    // The address of the worker is known once it has answered.
    cell.misplace(1, 0);
    turns(&mut cell, &mut lead, 400);
    assert_eq!(cell.starts.len(), 8);
    let mut next = cell.lead(true);
    turns(&mut cell, &mut next, 400);
    assert_eq!(cell.starts.len(), 8);
}

#[test]
fn an_answer_from_the_wrong_address_does_not_end_runs_at_the_right_one() {
    let mut cell = FakeCell::new(2, 4);
    cell.misplace(1, 0);
    // At first nothing answers at that address.
    cell.workers[0].cut = true;
    let mut lead = cell.lead(false);
    let misplaced = lead.update_workers(vec![at_address_of(&cell, 1, 0)], &[], cell.now);
    assert!(misplaced.is_empty(), "the worker is known and polled");
    let keys = lead.add_roster(&Default::default(), cell.now);
    assert!(keys.is_empty());
    turns(&mut cell, &mut lead, 10);
    let key = cell.key_of(&lead, 1);
    cell.workers[1].shown = None;
    cell.submit(&mut lead, 1, job(vec![step(4, 1)]));
    turns(&mut cell, &mut lead, 200);
    assert_eq!(starts_on(&cell, 1), 4);
    // The answer to a call to the wrong address arrives late.
    let sent = cell.now;
    let refused = WorkerAnswer::<HoldReport>::NotDone(WorkerRefusal::OtherLife);
    lead.hold_answered(key, refused, sent, cell.now);
    turns(&mut cell, &mut lead, 100);
    assert_eq!(cell.starts.len(), 4, "the runs at the right address continue");
}

#[test]
fn a_roster_with_the_wrong_address_allows_no_start_at_the_right_one() {
    let mut cell = FakeCell::new(2, 4);
    cell.workers[0].cut = true;
    cell.misplace(1, 0);
    let mut lead = cell.lead(false);
    cell.submit(&mut lead, 1, job(vec![step(1, 1)]));
    // A batch is under way to the store. Its roster, if any, does not hold a worker that has not answered.
    let batch = lead.take_batch(cell.now).unwrap();
    let written = batch.roster.iter().filter_map(|change| change.content.as_ref());
    assert!(written.flat_map(|content| &content.workers).next().is_none());
    cell.workers[1].shown = None;
    cell.now.0 += 5_000;
    cell.list(&mut lead);
    cell.poll_workers(&mut lead);
    lead.batch_recorded(&batch);
    lead.schedule(cell.now);
    assert!(lead.take_orders().is_empty(), "no roster holds the right address yet");
    turns(&mut cell, &mut lead, 40);
    assert_eq!(starts_on(&cell, 1), 1);
    assert!(cell.roster.workers().any(|(entry, _)| *entry == cell.workers[1].entry));
}

#[test]
fn a_new_lead_does_not_wait_for_a_worker_that_was_never_at_its_address() {
    let mut cell = FakeCell::new(3, 4);
    let mut lead = cell.lead(false);
    cell.submit(&mut lead, 1, job(vec![step(12, 1)]));
    turns(&mut cell, &mut lead, 40);
    // Puts the wrong address into the roster, as if it had been recorded before the worker answered.
    let misplaced = at_address_of(&cell, 1, 0);
    let recorded = cell.roster.workers().map(|(entry, _)| match entry.life == misplaced.life {
        true => misplaced.clone(),
        false => entry.clone(),
    });
    let content = WorkerRoster { workers: recorded.collect(), shrunk: Vec::new() };
    let key = WorkerRoster::KEY.to_owned();
    cell.roster.apply(RosterChange { key, content: Some(content) });
    cell.workers[1].ended = true;
    cell.workers[1].expire_for_test();
    cell.now.0 += 20;
    let mut next = cell.lead(true);
    turns(&mut cell, &mut next, 20);
    assert!(next.is_settled());
}

#[test]
fn tasks_of_an_ended_worker_start_elsewhere_though_its_address_is_reused() {
    let (mut cell, mut lead, number) = running_cell();
    cell.workers[number].ended = true;
    cell.workers[number].expire_for_test();
    turns(&mut cell, &mut lead, 20);
    assert_eq!(cell.starts.len(), 2);
    // The roster that a later lead reads no longer holds the ended worker.
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
fn a_new_lead_waits_for_a_silent_worker_wherever_it_is_listed() {
    let (mut cell, _, number) = running_cell();
    cell.workers[number].cut = true;
    cell.misplace(number, (number + 1) % 3);
    let mut next = cell.lead(true);
    // Longer than it takes to follow a worker to another address, shorter than its lease may last.
    turns(&mut cell, &mut next, 180);
    assert!(!next.is_settled());
    assert_eq!(cell.starts.len(), 1);
    turns(&mut cell, &mut next, 420);
    assert!(next.is_settled());
    assert_eq!(cell.starts.len(), 2, "the lease has certainly ended");
}

/// Guards against a cell that stands still. The entry of a worker of another system, whose token was far higher, had each
/// lead take itself for replaced within half a second.
#[test]
fn a_worker_of_a_pool_that_nothing_names_is_not_called() {
    let mut cell = FakeCell::new(3, 4);
    let other = WorkerEntry { pool: "ledger".into(), ..cell.workers[2].entry.clone() };
    cell.workers[2].shown = Some(other.clone());
    let mut lead = Scheduler::take_over(CellTiming::default(), FencingToken(8), false, cell.now);
    lead.add_named_pools(["pool".into()].into_iter());
    let mut entries: Vec<WorkerEntry> =
        cell.workers[..2].iter().map(|worker| worker.entry.clone()).collect();
    entries.push(other.clone());
    let passed_over = |lead: &mut Scheduler| {
        let events = lead.take_events().into_iter();
        events.filter(|event| matches!(event, CellEvent::EntryPassedOver { .. })).count()
    };
    for expected in [1, 0, 0] {
        let polled = lead.update_workers(entries.clone(), &[], cell.now);
        assert!(polled.iter().all(|key| lead.entry(*key).pool == "pool".into()));
        assert_eq!(passed_over(&mut lead), expected, "it is reported once");
    }
    // An open job of a queue that was removed still uses its pool.
    let mut record = job(vec![step(1, 1)]);
    record.policy.pool = other.pool.clone();
    lead.add_own_job(JobId(1), Rc::new(record), cell.now);
    let polled = lead.update_workers(entries, &[], cell.now);
    assert_eq!(polled.len(), 1);
    assert_eq!(lead.entry(polled[0]).life, other.life);
}

#[test]
fn only_a_worker_that_has_answered_a_lead_shows_that_a_later_one_exists() {
    let mut cell = FakeCell::new(3, 4);
    let mut lead = cell.lead(false);
    let refuse = |lead: &mut Scheduler, key: WorkerKey, now: Moment| {
        let refusal = WorkerAnswer::NotDone(WorkerRefusal::Fenced);
        lead.hold_answered(key, refusal, now, now);
    };
    let key = cell.worker_key(&lead, 2);
    refuse(&mut lead, key, cell.now);
    assert!(!lead.is_fenced_out());
    assert!(!lead.should_poll(key), "it is called no more");
    cell.turns(&mut lead, 5);
    cell.submit_led(&mut lead, 1, job(vec![step(8, 1)]));
    cell.turns(&mut lead, 5);
    assert_eq!(cell.workers[2].run_count(), 0);
    assert_eq!(cell.workers[0].run_count() + cell.workers[1].run_count(), 8);
    let key = cell.worker_key(&lead, 0);
    refuse(&mut lead, key, cell.now);
    assert!(lead.is_fenced_out());
}
