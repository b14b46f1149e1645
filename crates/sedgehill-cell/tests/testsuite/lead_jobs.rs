//! Jobs that the lead itself accepted and recorded.

use std::rc::Rc;

use sedgehill_cell::ids::JobId;
use sedgehill_cell::progress::JobProgress;
use sedgehill_cell::scheduler::RunEnd;
use sedgehill_core::units::TimeSpan;

use crate::fake::{FakeCell, job, step, task};

#[test]
fn a_job_that_the_lead_accepted_starts_without_a_further_record() {
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
fn a_later_lead_starts_such_a_job_only_after_reports_of_all_workers() {
    let mut cell = FakeCell::new(2, 16);
    let mut lead = cell.lead(false);
    cell.submit_led(&mut lead, 1, job(vec![step(1, 1)]));
    cell.turns(&mut lead, 3);
    assert_eq!(cell.starts.len(), 1);
    let holder = cell.place(task(1, 0, 0)).expect("the task runs");
    // The lead is lost before it records any progress, and the worker is unreachable.
    cell.workers[holder].cut = true;
    let mut next = cell.lead(true);
    cell.turns(&mut next, 10);
    assert_eq!(cell.starts.len(), 1);
    cell.workers[holder].cut = false;
    cell.turns(&mut next, 10);
    assert_eq!(cell.starts.len(), 1, "the next lead adopted the run");
    cell.end_anywhere(task(1, 0, 0), RunEnd::Done);
    cell.turns(&mut next, 5);
    assert!(!next.has_job(JobId(1)));
}

#[test]
fn a_job_that_an_earlier_lead_accepted_may_have_started() {
    let mut cell = FakeCell::new(1, 16);
    cell.workers[0].cut = true;
    let mut lead = cell.lead(true);
    let progress = JobProgress { may_have_started: true, ..JobProgress::default() };
    let record = Rc::new(job(vec![step(1, 1)]));
    lead.add_job(JobId(1), record, &progress, TimeSpan(0), cell.now);
    cell.workers[0].cut = false;
    cell.turns(&mut lead, 1);
    assert!(lead.has_job(JobId(1)));
}

/// Guards against a second run of a task: a caller submits a job again, to a later lead. A lead that takes it as new,
/// although an earlier lead had started it, starts a task that still runs on a worker without a report so far.
#[test]
fn a_copy_of_a_job_that_an_earlier_lead_started_is_not_a_new_job() {
    let mut cell = FakeCell::new(2, 16);
    let mut lead = cell.lead(false);
    cell.submit_led(&mut lead, 1, job(vec![step(1, 1)]));
    cell.turns(&mut lead, 3);
    let holder = cell.place(task(1, 0, 0)).expect("the task runs");
    cell.workers[holder].cut = true;
    let mut next = cell.lead(true);
    cell.turns(&mut next, 3);
    cell.submit_led(&mut next, 1, job(vec![step(1, 1)]));
    cell.turns(&mut next, 10);
    assert_eq!(cell.starts.len(), 1);
}
