//! Reservation and displacement for a long-running task that lost its run in a full cell.

use sedgehill_cell::job::{JobRecord, StepSpec};
use sedgehill_cell::scheduler::{RunEnd, Scheduler};
use sedgehill_core::units::TimeSpan;

use crate::fake::{FakeCell, cores, job, step, task};
use crate::restarts::{FIRST_OTHER_JOB, LONG_RUNNING, long_running};

/// Returns a full cell with a long-running task of 8 cores, and tasks of 2 cores that never end by themselves.
fn full_cell(filling: JobRecord) -> (FakeCell, Scheduler) {
    let mut cell = FakeCell::new(2, 16);
    let mut lead = cell.lead(false);
    let mut record = job(vec![long_running(1, 8)]);
    record.policy.priority = 1;
    cell.submit_led(&mut lead, LONG_RUNNING, record);
    cell.turns(&mut lead, 3);
    cell.submit_led(&mut lead, FIRST_OTHER_JOB, filling.clone());
    cell.submit_led(&mut lead, FIRST_OTHER_JOB + 1, filling);
    cell.turns(&mut lead, 3);
    let used: usize = cell.workers.iter().map(|worker| worker.run_count()).sum();
    assert_eq!(used, 1 + 4 + 8, "the cell is full");
    (cell, lead)
}

fn filling(priority: u32, checkpointing: bool) -> JobRecord {
    let estimate = TimeSpan(60_000);
    let mut record = job(vec![StepSpec { checkpointing, estimate, ..step(12, 2) }]);
    record.policy.priority = priority;
    record
}

/// Fails the run of the long-running task and shrinks its worker by the freed room, so that the task has to move.
fn fail_run_and_shrink_worker(cell: &mut FakeCell, lead: &mut Scheduler) {
    let number = cell.place(task(LONG_RUNNING, 0, 0)).unwrap();
    cell.workers[number].entry.capacity.cores = cores(8).cores;
    cell.turns(lead, 30);
    cell.end(number, task(LONG_RUNNING, 0, 0), RunEnd::Failed);
}

/// Returns the milliseconds until the long-running task runs again, or `None` after 10 s.
fn time_to_next_run(cell: &mut FakeCell, lead: &mut Scheduler) -> Option<u64> {
    let lost = cell.now;
    while cell.place(task(LONG_RUNNING, 0, 0)).is_none() {
        if cell.now >= lost.after(TimeSpan(10_000)) {
            return None;
        }
        cell.turn(lead);
    }
    Some(cell.now.since(lost).0)
}

#[test]
fn room_freed_piece_by_piece_is_reserved_for_a_task_that_lost_its_run() {
    let (mut cell, mut lead) = full_cell(filling(0, false));
    fail_run_and_shrink_worker(&mut cell, &mut lead);
    // Small tasks end one at a time, while other small tasks wait for the freed room.
    for _ in 0..8 {
        let crowded = cell.workers.iter().position(|worker| worker.run_count() > 4);
        let Some(number) = crowded else { break };
        let small = (0..12).map(|index| task(FIRST_OTHER_JOB, 0, index));
        let small = small.chain((0..12).map(|index| task(FIRST_OTHER_JOB + 1, 0, index)));
        let ended =
            small.into_iter().find(|candidate| cell.place(*candidate) == Some(number)).unwrap();
        cell.end(number, ended, RunEnd::Done);
        cell.turns(&mut lead, 5);
    }
    assert!(cell.place(task(LONG_RUNNING, 0, 0)).is_some());
}

#[test]
fn less_urgent_work_with_checkpoints_is_displaced_at_once() {
    let (mut cell, mut lead) = full_cell(filling(2, true));
    fail_run_and_shrink_worker(&mut cell, &mut lead);
    let restart_delay = time_to_next_run(&mut cell, &mut lead);
    assert!(restart_delay.is_some_and(|delay| delay < 1_000), "{restart_delay:?}");
}

#[test]
fn other_work_is_displaced_after_some_seconds() {
    for (priority, checkpointing) in [(2, false), (1, true), (0, true)] {
        let (mut cell, mut lead) = full_cell(filling(priority, checkpointing));
        fail_run_and_shrink_worker(&mut cell, &mut lead);
        let restart_delay = time_to_next_run(&mut cell, &mut lead);
        let expected = restart_delay.is_some_and(|delay| (3_000..4_000).contains(&delay));
        assert!(expected, "{priority}, {checkpointing}: {restart_delay:?}");
    }
}

#[test]
fn urgent_work_without_checkpoints_is_not_displaced() {
    let (mut cell, mut lead) = full_cell(filling(1, false));
    fail_run_and_shrink_worker(&mut cell, &mut lead);
    assert_eq!(time_to_next_run(&mut cell, &mut lead), None);
}

#[test]
fn a_reservation_ends_with_the_job() {
    let (mut cell, mut lead) = full_cell(filling(1, false));
    fail_run_and_shrink_worker(&mut cell, &mut lead);
    cell.turns(&mut lead, 50);
    cell.cancel(&mut lead, LONG_RUNNING);
    let ended = (0..12)
        .map(|index| task(FIRST_OTHER_JOB, 0, index))
        .find(|candidate| cell.place(*candidate).is_some());
    cell.end_anywhere(ended.unwrap(), RunEnd::Done);
    let before = cell.starts.len();
    cell.turns(&mut lead, 60);
    assert!(cell.starts.len() > before, "a waiting task takes the room");
}
