//! Jobs that the lead itself accepted.

use std::rc::Rc;

use sedgehill_cell::ids::JobId;
use sedgehill_cell::progress::JobProgress;
use sedgehill_cell::scheduler::RunEnd;
use sedgehill_core::units::TimeSpan;

use crate::fake::{FakeCell, job, step, task};

#[test]
fn a_job_that_the_lead_recorded_starts_without_a_further_record() {
    let mut cell = FakeCell::new(1, 16);
    let mut lead = cell.lead(false);
    cell.turns(&mut lead, 2);
    cell.submit_led(&mut lead, 1, job(vec![step(1, 1)]));
    lead.schedule(cell.now);
    assert_eq!(lead.take_orders().len(), 1);
}

#[test]
fn a_second_copy_of_a_running_job_changes_nothing() {
    let mut cell = FakeCell::new(2, 16);
    let mut lead = cell.lead(false);
    cell.submit_led(&mut lead, 1, job(vec![step(1, 1)]));
    cell.turns(&mut lead, 3);
    cell.submit_led(&mut lead, 1, job(vec![step(1, 1)]));
    cell.turns(&mut lead, 3);
    assert_eq!(cell.starts.len(), 1);
}

#[test]
fn a_later_lead_starts_such_a_job_only_when_it_has_heard_of_every_worker() {
    let mut cell = FakeCell::new(2, 16);
    let mut lead = cell.lead(false);
    cell.submit_led(&mut lead, 1, job(vec![step(1, 1)]));
    cell.turns(&mut lead, 3);
    assert_eq!(cell.starts.len(), 1);
    let holder = cell.place(task(1, 0, 0)).expect("it runs");
    // The lead is lost before it records any progress, and the worker cannot be reached.
    cell.workers[holder].cut = true;
    let mut next = cell.lead(true);
    cell.turns(&mut next, 10);
    assert_eq!(cell.starts.len(), 1);
    cell.workers[holder].cut = false;
    cell.turns(&mut next, 10);
    assert_eq!(cell.starts.len(), 1, "the next lead found the run");
    cell.end_anywhere(task(1, 0, 0), RunEnd::Done);
    cell.turns(&mut next, 5);
    assert!(!next.has_job(JobId(1)));
}

#[test]
fn what_an_earlier_lead_accepted_counts_as_ordered() {
    let mut cell = FakeCell::new(1, 16);
    cell.workers[0].cut = true;
    let mut lead = cell.lead(true);
    let kept = JobProgress { may_have_started: true, ..JobProgress::default() };
    let record = Rc::new(job(vec![step(1, 1)]));
    lead.add_job(JobId(1), record, &kept, TimeSpan(0), cell.now);
    cell.workers[0].cut = false;
    cell.turns(&mut lead, 1);
    assert!(lead.has_job(JobId(1)));
}

/// The caller of a job handed it in once more, at a later lead. The lead took it as new though it knew that an
/// earlier lead had begun it, and started a task that ran already on a worker which it had not heard from.
#[test]
fn a_copy_of_a_job_that_an_earlier_lead_began_does_not_make_it_new() {
    let mut cell = FakeCell::new(2, 16);
    let mut lead = cell.lead(false);
    cell.submit_led(&mut lead, 1, job(vec![step(1, 1)]));
    cell.turns(&mut lead, 3);
    let holder = cell.place(task(1, 0, 0)).expect("it runs");
    cell.workers[holder].cut = true;
    let mut next = cell.lead(true);
    cell.turns(&mut next, 3);
    cell.submit_led(&mut next, 1, job(vec![step(1, 1)]));
    cell.turns(&mut next, 10);
    assert_eq!(cell.starts.len(), 1);
}
