//! Workers whose capacity changes while they run.
//!
//! Guards against overfilled workers. A lead that uses the capacity of a worker's first entry for the worker's whole
//! life fills a worker that shrank as before, and workers that do not check their capacity carry out each start.

use sedgehill_cell::job::StepSpec;
use sedgehill_cell::progress::JobState;
use sedgehill_cell::scheduler::{RunEnd, Scheduler, WorkerRoster};
use sedgehill_core::units::{CoreCount, MemorySize, TimeSpan};

use crate::fake::{CrashRule, FakeCell, job, owned, step, task, worker_entry};

/// Reduces one dimension of a worker's capacity to half of that of `one_worker`: 0 cores, 1 memory, 2 accelerators.
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

/// Returns a cell of one worker with four cores and four accelerators, and a step of four tasks that need one of each.
fn one_worker() -> (FakeCell, Scheduler, StepSpec) {
    let mut cell = FakeCell::new(1, 4);
    cell.workers[0].entry.capacity.accelerators = 4;
    let lead = cell.lead(false);
    let mut spec = step(4, 1);
    spec.need.accelerators = 1;
    (cell, lead, spec)
}

#[test]
fn a_worker_that_shrank_gets_no_start_beyond_its_new_capacity() {
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
fn a_worker_smaller_than_its_runs_gets_no_start_until_enough_of_them_end() {
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
fn a_worker_that_grew_is_filled_in_the_turn_after_its_listing() {
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

// The entry of a worker is missing, and the worker may have shrunk meanwhile: the capacity in the roster is outdated.
#[test]
fn a_new_lead_starts_nothing_on_a_worker_whose_entry_it_has_not_read() {
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

// The store answers everything but the list of workers, so that the lead does not learn which workers shrink.
#[test]
fn nothing_starts_while_the_worker_list_is_stale() {
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

// A worker shrinks below what runs there. A later lead without a report of it must count the runs that it may hold by
// the capacity that the worker had when they were started.
#[test]
fn runs_started_before_a_worker_shrank_count_against_the_limit_at_a_later_lead() {
    let mut cell = FakeCell::new(2, 4);
    let mut lead = cell.lead(false);
    cell.limit(&mut lead, "small", 4);
    cell.submit_led(&mut lead, 1, owned("small", 4, job(vec![step(4, 1)])));
    cell.turns(&mut lead, 5);
    let holder = cell.place(task(1, 0, 0)).unwrap();
    cell.workers[holder].entry.capacity.cores = CoreCount(1_000);
    cell.list(&mut lead);
    cell.turns(&mut lead, 5);
    cell.workers[holder].cut = true;
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
fn a_start_that_waits_for_its_record_is_not_sent_to_a_worker_that_shrank() {
    let mut cell = FakeCell::new(2, 4);
    let mut lead = cell.lead(false);
    let crash_rule = CrashRule { runs: 1, back: TimeSpan(500), ..CrashRule::default() };
    cell.make_crash(task(1, 0, 0), crash_rule);
    cell.submit_led(&mut lead, 1, job(vec![step(1, 2)]));
    // The turn that counts the crash also decides on the next start, which waits for the record of the crash.
    while cell.progress(1).crash_histories.is_empty() {
        cell.list(&mut lead);
        cell.turn_unrecorded(&mut lead);
        if cell.counted_crash(&mut lead) {
            break;
        }
        cell.record(&mut lead);
    }
    assert_eq!(started(&cell, 1), 1, "no start is sent before its record");
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
