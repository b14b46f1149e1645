//! Workers that have less, or more, than before while they run.
//!
//! What a worker has stood in its entry when it was first listed, and the lead went by that for as long as the
//! worker lived. One that shrank was filled as before: workers that do not check carry out what they are told.

use sedgehill_cell::job::StepSpec;
use sedgehill_cell::progress::JobState;
use sedgehill_cell::scheduler::{RunEnd, Scheduler, WorkerRoster};
use sedgehill_core::units::{CoreCount, MemorySize, TimeSpan};

use crate::fake::{CrashRule, FakeCell, job, owned, step, task, worker_entry};

/// Room for one task less than the worker began with, in each dimension in turn.
fn shrink(cell: &mut FakeCell, number: usize, dimension: usize) {
    let capacity = &mut cell.workers[number].entry.capacity;
    match dimension {
        0 => capacity.cores = CoreCount(2_000),
        1 => capacity.memory = MemorySize(2 << 30),
        _ => capacity.accelerators = 2,
    }
}

fn started(cell: &FakeCell, id: u64) -> usize {
    cell.starts.iter().filter(|(task, ..)| task.step.job.0 == id).count()
}

/// A cell of one worker with four cores and four accelerators, and a job of four tasks that need one of each.
fn one_worker() -> (FakeCell, Scheduler, StepSpec) {
    let mut cell = FakeCell::new(1, 4);
    cell.workers[0].entry.capacity.accelerators = 4;
    let lead = cell.lead(false);
    let mut spec = step(4, 1);
    spec.need.accelerators = 1;
    (cell, lead, spec)
}

#[test]
fn a_worker_that_shrank_gets_no_start_beyond_what_it_has_left() {
    for dimension in 0..3 {
        let (mut cell, mut lead, spec) = one_worker();
        cell.turns(&mut lead, 2);
        shrink(&mut cell, 0, dimension);
        cell.list(&mut lead);
        cell.submit_led(&mut lead, 1, job(vec![spec]));
        cell.turns(&mut lead, 20);
        assert_eq!(started(&cell, 1), 2, "dimension {dimension}");
    }
}

#[test]
fn a_worker_below_what_runs_there_gets_no_start_until_enough_has_ended() {
    let (mut cell, mut lead, spec) = one_worker();
    cell.submit_led(&mut lead, 1, job(vec![spec.clone()]));
    cell.turns(&mut lead, 5);
    assert_eq!(cell.workers[0].run_count(), 4);
    shrink(&mut cell, 0, 0);
    cell.list(&mut lead);
    cell.submit_led(&mut lead, 2, job(vec![spec]));
    for ended in 0..2 {
        cell.end(0, task(1, 0, ended), RunEnd::Done);
        cell.turns(&mut lead, 5);
        assert_eq!(started(&cell, 2), 0);
    }
    cell.end(0, task(1, 0, 2), RunEnd::Done);
    cell.turns(&mut lead, 5);
    assert_eq!(started(&cell, 2), 1);
}

#[test]
fn a_worker_that_grew_is_filled_in_the_turn_after_it_is_listed_so() {
    let (mut cell, mut lead, spec) = one_worker();
    shrink(&mut cell, 0, 0);
    cell.list(&mut lead);
    cell.submit_led(&mut lead, 1, job(vec![spec]));
    cell.turns(&mut lead, 5);
    assert_eq!(started(&cell, 1), 2);
    cell.workers[0].entry.capacity.cores = CoreCount(4_000);
    cell.list(&mut lead);
    cell.turn(&mut lead);
    assert_eq!(started(&cell, 1), 4);
}

// The entry of a worker is away, and it may have shrunk meanwhile: what the roster says of it is of another time.
#[test]
fn a_lead_starts_nothing_on_a_worker_whose_entry_it_has_not_read() {
    let (mut cell, mut lead, spec) = one_worker();
    cell.turns(&mut lead, 2);
    cell.workers[0].unlisted = true;
    shrink(&mut cell, 0, 0);
    let mut next = cell.lead(true);
    next.note_fenced(cell.now);
    cell.submit_led(&mut next, 1, job(vec![spec]));
    cell.turns(&mut next, 40);
    assert_eq!(started(&cell, 1), 0);
    cell.workers[0].unlisted = false;
    cell.turns(&mut next, 40);
    assert_eq!(started(&cell, 1), 2);
}

// The store answers for all else but not for the list of workers. What shrinks meanwhile is not known.
#[test]
fn nothing_starts_by_a_list_that_was_read_long_ago() {
    let mut cell = FakeCell::new(1, 4);
    let mut lead = cell.lead(false);
    cell.turns(&mut lead, 2);
    cell.list_unreadable = true;
    cell.turns(&mut lead, 160);
    cell.workers[0].entry.capacity.cores = CoreCount(1_000);
    cell.submit_led(&mut lead, 1, job(vec![step(4, 1)]));
    cell.turns(&mut lead, 50);
    assert_eq!(started(&cell, 1), 0);
    cell.list_unreadable = false;
    cell.turns(&mut lead, 25);
    assert_eq!(started(&cell, 1), 1);
}

// A worker shrank below what runs there. A later lead that has not heard it counts what may run there by what the
// worker had when that was started.
#[test]
fn what_was_started_before_a_worker_shrank_counts_against_the_limit_at_a_later_lead() {
    let mut cell = FakeCell::new(2, 4);
    let mut lead = cell.lead(false);
    cell.limit(&mut lead, "small", 4);
    cell.submit_led(&mut lead, 1, owned("small", 4, job(vec![step(4, 1)])));
    cell.turns(&mut lead, 5);
    let place = cell.place(task(1, 0, 0)).unwrap();
    cell.workers[place].entry.capacity.cores = CoreCount(1_000);
    cell.list(&mut lead);
    cell.turns(&mut lead, 5);
    cell.workers[place].cut = true;
    let mut next = cell.lead(true);
    next.note_fenced(cell.now);
    cell.submit_led(&mut next, 2, owned("small", 4, job(vec![step(4, 1)])));
    cell.turns(&mut next, 50);
    assert_eq!(started(&cell, 2), 0);
}

#[test]
fn rosters_of_earlier_versions_are_read() {
    let workers = vec![worker_entry(1, 4), worker_entry(2, 8)];
    let roster = WorkerRoster { workers, shrunk: Vec::new() };
    let mut earlier = roster.encode();
    assert_eq!(earlier.pop(), Some(0));
    assert_eq!(WorkerRoster::decode(&earlier).unwrap(), roster);
    let shrunk = vec![(1, worker_entry(2, 16).capacity)];
    let roster = WorkerRoster { shrunk, ..roster };
    assert_eq!(WorkerRoster::decode(&roster.encode()).unwrap(), roster);
}

#[test]
fn a_start_that_waited_to_be_recorded_is_not_sent_to_a_worker_that_shrank_meanwhile() {
    let mut cell = FakeCell::new(2, 4);
    let mut lead = cell.lead(false);
    let habit = CrashRule { runs: 1, back: TimeSpan(500), ..CrashRule::default() };
    cell.make_crash(task(1, 0, 0), habit);
    cell.submit_led(&mut lead, 1, job(vec![step(1, 2)]));
    // The turn that counts the crash decides on the next start, which waits to be recorded.
    while cell.progress(1).crash_histories.is_empty() {
        cell.list(&mut lead);
        cell.turn_unrecorded(&mut lead);
        if cell.counted_crash(&mut lead) {
            break;
        }
        cell.record(&mut lead);
    }
    assert_eq!(started(&cell, 1), 1, "nothing is sent before it is recorded");
    let resize = |cell: &mut FakeCell, cores: u64| {
        let living = cell.workers.iter_mut().filter(|worker| !worker.ended);
        living.for_each(|worker| worker.entry.capacity.cores = CoreCount(cores * 1_000));
    };
    resize(&mut cell, 1);
    cell.list(&mut lead);
    cell.turns(&mut lead, 20);
    assert_eq!(started(&cell, 1), 1);
    resize(&mut cell, 4);
    cell.turns(&mut lead, 40);
    cell.end_all();
    cell.turns(&mut lead, 5);
    assert_eq!(cell.progress(1).state, JobState::Completed);
}
