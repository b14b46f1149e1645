//! Starts that no worker carried out, after crashes of a task's workers.
//!
//! Orders may be carried out late or never, and stay unanswered. Guards against giving up a job that has lost one
//! worker: its second loss may have come before the start, and two further starts, which no worker carried out, used up
//! the allowed number.
//!
//! ```text
//! run lost        run=65537 reason="not listed"
//! run lost        run=65538 reason="not listed"
//! task given up   crashed="i-9f0863901a i-a9850e77e9"
//! ```

use sedgehill_cell::progress::JobState;
use sedgehill_cell::scheduler::{CellOrder, RunEnd, Scheduler, WorkerAnswer};
use sedgehill_core::units::TimeSpan;

use crate::crashing::{crash_count, start_job, turns};
use crate::fake::{FakeCell, task};

#[test]
fn starts_that_no_worker_carried_out_do_not_count() {
    let mut cell = FakeCell::new(8, 4);
    let mut lead = cell.lead(false);
    let holder = start_job(&mut cell, &mut lead, 1);
    cell.crash(holder, TimeSpan(500));
    turns(&mut cell, &mut lead, 100);
    // The start stays unanswered, and the worker is lost before the start is settled.
    let holder = cell.place(task(1, 0, 0)).unwrap();
    cell.crash(holder, TimeSpan(500));
    turns(&mut cell, &mut lead, 100);
    let holder = cell.place(task(1, 0, 0)).unwrap();
    cell.workers[holder].entry.draining = true;
    cell.list(&mut lead);
    cell.replace_worker(holder);
    turns(&mut cell, &mut lead, 100);
    assert_eq!(crash_count(&cell, 1), 2);
    cell.end_anywhere(task(1, 0, 0), RunEnd::Stopped);
    for _ in 0..4 {
        lose_next_start(&mut cell, &mut lead);
        assert_ne!(cell.progress(1).state, JobState::Failed);
    }
    turns(&mut cell, &mut lead, 100);
    cell.end_all();
    turns(&mut cell, &mut lead, 10);
    assert_eq!(cell.progress(1).state, JobState::Completed);
}

/// Drops the next start order on its way to the worker, so that it stays unanswered.
fn lose_next_start(cell: &mut FakeCell, lead: &mut Scheduler) {
    for _ in 0..200 {
        cell.now.0 += 20;
        cell.list(lead);
        cell.poll_workers(lead);
        cell.record(lead);
        lead.schedule(cell.now);
        let mut start_lost = false;
        for order in lead.take_orders() {
            match &order {
                CellOrder::Start(start) => {
                    lead.start_answered(start, WorkerAnswer::Unknown, cell.now);
                    start_lost = true;
                }
                _ => cell.carry_out(lead, &order),
            }
        }
        if start_lost {
            return;
        }
    }
    panic!("no start was ordered");
}
