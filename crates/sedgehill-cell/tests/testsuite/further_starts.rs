//! Orders are carried out late or not at all, and go unanswered. A job was given up that had lost one worker: a second loss may
//! have come before its start, and two further starts that no worker ever carried out had used up what users allow.
//!
//! ```text
//! run lost        run=65537 reason="not listed"
//! run lost        run=65538 reason="not listed"
//! task given up   crashed="i-9f0863901a i-a9850e77e9"
//! ```

use sedgehill_cell::progress::JobState;
use sedgehill_cell::scheduler::{CellOrder, RunEnd, Scheduler, WorkerAnswer};
use sedgehill_core::units::TimeSpan;

use crate::crashing::{begun, counted, turns};
use crate::fake::{FakeCell, task};

#[test]
fn starts_that_no_worker_carried_out_use_up_nothing() {
    let mut cell = FakeCell::new(8, 4);
    let mut lead = cell.lead(false);
    let place = begun(&mut cell, &mut lead, 1);
    cell.crash(place, TimeSpan(500));
    turns(&mut cell, &mut lead, 100);
    // Its start goes unanswered, and its worker is lost before that is settled.
    let place = cell.place(task(1, 0, 0)).unwrap();
    cell.crash(place, TimeSpan(500));
    turns(&mut cell, &mut lead, 100);
    let place = cell.place(task(1, 0, 0)).unwrap();
    cell.workers[place].entry.draining = true;
    cell.list(&mut lead);
    cell.replace_worker(place);
    turns(&mut cell, &mut lead, 100);
    assert_eq!(counted(&cell, 1), 2);
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

/// The next start reaches no worker, and is not answered.
fn lose_next_start(cell: &mut FakeCell, lead: &mut Scheduler) {
    for _ in 0..200 {
        cell.now.0 += 20;
        cell.list(lead);
        cell.poll_workers(lead);
        cell.record(lead);
        lead.schedule(cell.now);
        let mut lost = false;
        for order in lead.take_orders() {
            match &order {
                CellOrder::Start(start) => {
                    lead.start_answered(start, WorkerAnswer::Unknown, cell.now);
                    lost = true;
                }
                _ => cell.carry_out(lead, &order),
            }
        }
        if lost {
            return;
        }
    }
    panic!("nothing was started");
}
