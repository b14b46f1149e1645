//! Runs of cancelled jobs are stopped, including those that start after the cancellation.

use sedgehill_cell::ids::JobId;
use sedgehill_cell::scheduler::Scheduler;
use sedgehill_core::units::TimeSpan;

use crate::fake::{FakeCell, job, step, task};

/// Longest time for which a run of a cancelled job continues once its worker is reachable: a stop order and some turns.
const MAX_STOP_DELAY: TimeSpan = TimeSpan(800);

/// Returns a cell with a start order that its worker has neither answered nor carried out yet.
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

/// Returns a cell whose worker carries out a start order after the job was cancelled.
fn late_start_of_a_cancelled_job() -> (FakeCell, Scheduler) {
    let (mut cell, mut lead) = unanswered_start();
    cell.cancel(&mut lead, 1);
    cell.workers[0].cut = false;
    cell.carry_out_late_starts();
    assert!(cell.place(task(1, 0, 0)).is_some(), "the worker carried out the start");
    (cell, lead)
}

fn assert_stops_in_time(cell: &mut FakeCell, lead: &mut Scheduler) {
    let begin = cell.now;
    while cell.place(task(1, 0, 0)).is_some() {
        cell.turn(lead);
        assert!(cell.now.since(begin) <= MAX_STOP_DELAY, "the task still runs");
    }
}

#[test]
fn a_start_carried_out_after_the_cancellation_is_stopped() {
    let (mut cell, mut lead) = late_start_of_a_cancelled_job();
    assert_stops_in_time(&mut cell, &mut lead);
}

#[test]
fn a_start_of_an_earlier_lead_is_stopped_by_the_next_lead_if_its_job_was_cancelled() {
    let (mut cell, _) = late_start_of_a_cancelled_job();
    let mut next = cell.lead(true);
    assert_stops_in_time(&mut cell, &mut next);
}

#[test]
fn a_run_of_an_unknown_job_is_stopped() {
    let (mut cell, _) = late_start_of_a_cancelled_job();
    cell.store.remove(&JobId(1));
    let mut next = cell.lead(true);
    assert_stops_in_time(&mut cell, &mut next);
}
