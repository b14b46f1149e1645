//! Which workers a lead and its successors count as present.

use sedgehill_cell::job::StepSpec;
use sedgehill_cell::scheduler::Scheduler;

use crate::fake::{FakeCell, job, step, task};

/// Runs turns in which the lead passes the store's list to the scheduler as often as the daemon does.
fn turns_with_lists(cell: &mut FakeCell, lead: &mut Scheduler, count: usize) {
    for turn in 0..count {
        if turn % 20 == 0 {
            cell.list(lead);
        }
        cell.turn(lead);
    }
}

#[test]
fn a_later_lead_does_not_wait_for_a_drained_worker() {
    let mut cell = FakeCell::new(3, 16);
    let mut lead = cell.lead(false);
    cell.submit(&mut lead, 1, job(vec![step(2, 1), after_first(step(2, 1))]));
    turns_with_lists(&mut cell, &mut lead, 40);
    cell.workers[2].entry.draining = true;
    cell.end_all();
    turns_with_lists(&mut cell, &mut lead, 60);
    cell.end_all();
    // The worker has ended, though the store still lists it.
    cell.workers[2].cut = true;
    cell.now.0 += 20;
    let mut next = cell.lead(true);
    cell.turns(&mut next, 10);
    assert!(next.is_settled());
}

#[test]
fn a_later_lead_does_not_wait_for_an_unreachable_worker_without_runs() {
    let mut cell = FakeCell::new(3, 16);
    let mut lead = cell.lead(false);
    turns_with_lists(&mut cell, &mut lead, 40);
    cell.workers[1].cut = true;
    turns_with_lists(&mut cell, &mut lead, 120);
    let mut next = cell.lead(true);
    cell.turns(&mut next, 10);
    assert!(next.is_settled());
    // The worker gets work again once it is reachable.
    cell.workers[1].cut = false;
    cell.submit(&mut next, 2, job(vec![step(3, 16)]));
    turns_with_lists(&mut cell, &mut next, 60);
    assert_eq!(cell.starts.len(), 3);
}

/// Guards against a roster with every listed life: a start goes only to a life that has answered, so a new lead need
/// not wait for others. With entries in the list that belong to no worker, jobs of an earlier lead had nothing running
/// for nine seconds after each change of the lead:
/// `"msg":"take-over settled","by":"time","after_ms":8852,"heard":40,"unheard":3`, and
/// `"msg":"step stalled","reason":"earlier_lead","places":419,"waiting":3`.
#[test]
fn a_later_lead_does_not_wait_for_an_entry_that_never_answered() {
    let mut cell = FakeCell::new(3, 16);
    cell.workers[2].cut = true;
    let mut lead = cell.lead(false);
    cell.submit(&mut lead, 1, job(vec![step(2, 1), after_first(step(2, 1))]));
    turns_with_lists(&mut cell, &mut lead, 40);
    assert_eq!(cell.starts.len(), 2);
    let mut next = cell.lead(true);
    cell.turns(&mut next, 10);
    assert!(next.is_settled());
}

#[test]
fn a_worker_that_answers_for_the_first_time_gets_work_at_once() {
    let mut cell = FakeCell::new(2, 4);
    cell.workers[1].cut = true;
    let mut lead = cell.lead(false);
    cell.submit(&mut lead, 1, job(vec![step(2, 4)]));
    turns_with_lists(&mut cell, &mut lead, 20);
    assert_eq!(cell.starts.len(), 1);
    cell.workers[1].cut = false;
    // Longer than the pause after which a worker that did not answer is polled again.
    cell.turns(&mut lead, 20);
    assert_eq!(cell.starts.len(), 2);
}

/// Loses the lead while a task runs on one of two workers and the store also lists an earlier life at the address of
/// that worker, and checks that the next lead starts nothing.
fn reused_address(earlier_first: bool) {
    let mut cell = FakeCell::new(3, 4);
    cell.workers[2].unlisted = true;
    let mut lead = cell.lead(false);
    cell.submit(&mut lead, 1, job(vec![step(1, 1)]));
    cell.turns(&mut lead, 3);
    let number = cell.place(task(1, 0, 0)).unwrap();
    let earlier_life = &mut cell.workers[2];
    earlier_life.unlisted = false;
    earlier_life.cut = true;
    cell.workers[2].entry.address = cell.workers[number].entry.address;
    cell.workers[number].cut = true;
    if earlier_first {
        cell.workers.swap(0, 2);
    }
    let mut next = cell.lead(true);
    cell.turns(&mut next, 10);
    assert_eq!(cell.starts.len(), 1, "the task may still run where it was started");
}

#[test]
fn a_reused_address_does_not_show_a_new_lead_which_life_has_ended() {
    reused_address(false);
    reused_address(true);
}

fn after_first(spec: StepSpec) -> StepSpec {
    StepSpec { after: vec![0], ..spec }
}
