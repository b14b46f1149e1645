//! Runs of cancelled jobs end, however they came to run.

use sedgehill_cell::ids::JobId;
use sedgehill_cell::scheduler::Scheduler;
use sedgehill_core::units::TimeSpan;

use crate::fake::{FakeCell, job, step, task};

/// How long a run of a cancelled job may go on once its worker can be heard: a stop and some turns.
const SOON: TimeSpan = TimeSpan(800);

/// A start whose worker did not answer, and which it has not carried out yet.
fn unanswered_start() -> (FakeCell, Scheduler) {
    let mut cell = FakeCell::new(1, 4);
    let mut lead = cell.lead(false);
    cell.turns(&mut lead, 2);
    cell.submit(&mut lead, 1, job(vec![step(1, 1)]));
    cell.record(&mut lead);
    cell.workers[0].cut = true;
    cell.now.0 += 20;
    lead.schedule(cell.now);
    for order in lead.take_orders() {
        cell.carry_out(&mut lead, &order);
    }
    (cell, lead)
}

/// The same, carried out after the job was cancelled.
fn late_start_of_a_cancelled_job() -> (FakeCell, Scheduler) {
    let (mut cell, mut lead) = unanswered_start();
    cell.cancel(&mut lead, 1);
    cell.workers[0].cut = false;
    cell.carry_out_late_starts();
    assert!(cell.place(task(1, 0, 0)).is_some(), "the worker carried it out");
    (cell, lead)
}

fn assert_stops_soon(cell: &mut FakeCell, lead: &mut Scheduler) {
    let begun = cell.now;
    while cell.place(task(1, 0, 0)).is_some() {
        cell.turn(lead);
        assert!(cell.now.since(begun) <= SOON, "it still runs");
    }
}

#[test]
fn a_start_carried_out_after_the_cancelling_is_stopped() {
    let (mut cell, mut lead) = late_start_of_a_cancelled_job();
    assert_stops_soon(&mut cell, &mut lead);
}

#[test]
fn a_start_of_a_lead_that_is_gone_is_stopped_by_the_next_if_its_job_was_cancelled() {
    let (mut cell, _) = late_start_of_a_cancelled_job();
    let mut next = cell.lead(true);
    assert_stops_soon(&mut cell, &mut next);
}

#[test]
fn a_run_of_a_job_that_nobody_knows_any_more_is_stopped() {
    let (mut cell, _) = late_start_of_a_cancelled_job();
    cell.store.remove(&JobId(1));
    let mut next = cell.lead(true);
    assert_stops_soon(&mut cell, &mut next);
}
