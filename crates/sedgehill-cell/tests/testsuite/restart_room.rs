//! How room is made in a full cell for a long-running task that lost its run.

use sedgehill_cell::job::{JobRecord, StepSpec};
use sedgehill_cell::scheduler::{RunEnd, Scheduler};
use sedgehill_core::units::TimeSpan;

use crate::fake::{FakeCell, cores, job, step, task};
use crate::restarts::{LONG_RUNNING, OTHERS, long_running};

/// A cell of full workers whose tasks of 2 cores never end by themselves, beside a long-running task of 8 cores.
fn beside(filling: JobRecord) -> (FakeCell, Scheduler) {
    let mut cell = FakeCell::new(2, 16);
    let mut lead = cell.lead(false);
    let mut record = job(vec![long_running(1, 8)]);
    record.policy.priority = 1;
    cell.submit_led(&mut lead, LONG_RUNNING, record);
    cell.turns(&mut lead, 3);
    cell.submit_led(&mut lead, OTHERS, filling.clone());
    cell.submit_led(&mut lead, OTHERS + 1, filling);
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

/// Shrinks the worker of the long-running task by the room that it leaves, so that it has to go elsewhere.
fn lose_with_its_room(cell: &mut FakeCell, lead: &mut Scheduler) {
    let number = cell.place(task(LONG_RUNNING, 0, 0)).unwrap();
    cell.workers[number].entry.capacity.cores = cores(8).cores;
    cell.turns(lead, 30);
    cell.end(number, task(LONG_RUNNING, 0, 0), RunEnd::Failed);
}

/// How long until it runs again.
fn runs_again(cell: &mut FakeCell, lead: &mut Scheduler) -> Option<u64> {
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
fn room_that_comes_free_bit_by_bit_is_kept_for_a_task_that_lost_its_run() {
    let (mut cell, mut lead) = beside(filling(0, false));
    lose_with_its_room(&mut cell, &mut lead);
    // One small task ends at a time, and others wait for its room.
    for _ in 0..8 {
        let other = cell.workers.iter().position(|worker| worker.run_count() > 4);
        let Some(number) = other else { break };
        let small = (0..12).map(|index| task(OTHERS, 0, index));
        let small = small.chain((0..12).map(|index| task(OTHERS + 1, 0, index)));
        let ended = small.into_iter().find(|one| cell.place(*one) == Some(number)).unwrap();
        cell.end(number, ended, RunEnd::Done);
        cell.turns(&mut lead, 5);
    }
    assert!(cell.place(task(LONG_RUNNING, 0, 0)).is_some());
}

#[test]
fn less_urgent_work_that_saves_its_state_makes_room_at_once() {
    let (mut cell, mut lead) = beside(filling(2, true));
    lose_with_its_room(&mut cell, &mut lead);
    let took = runs_again(&mut cell, &mut lead);
    assert!(took.is_some_and(|took| took < 1_000), "{took:?}");
}

#[test]
fn other_work_makes_room_when_nothing_else_is_left() {
    for (priority, checkpointing) in [(2, false), (1, true), (0, true)] {
        let (mut cell, mut lead) = beside(filling(priority, checkpointing));
        lose_with_its_room(&mut cell, &mut lead);
        let took = runs_again(&mut cell, &mut lead);
        let expected = took.is_some_and(|took| (3_000..4_000).contains(&took));
        assert!(expected, "{priority}, {checkpointing}: {took:?}");
    }
}

#[test]
fn urgent_work_that_saves_nothing_is_not_stopped() {
    let (mut cell, mut lead) = beside(filling(1, false));
    lose_with_its_room(&mut cell, &mut lead);
    assert_eq!(runs_again(&mut cell, &mut lead), None);
}

#[test]
fn a_reservation_ends_with_the_job() {
    let (mut cell, mut lead) = beside(filling(1, false));
    lose_with_its_room(&mut cell, &mut lead);
    cell.turns(&mut lead, 50);
    cell.cancel(&mut lead, LONG_RUNNING);
    let ended = (0..12).map(|index| task(OTHERS, 0, index)).find(|one| cell.place(*one).is_some());
    cell.end_anywhere(ended.unwrap(), RunEnd::Done);
    let before = cell.starts.len();
    cell.turns(&mut lead, 60);
    assert!(cell.starts.len() > before, "what waits takes the room");
}
