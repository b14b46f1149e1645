//! Workers that start again under the ids that they had: a third of a cell at once, again and again. Tasks were started again
//! after they had ended as done on such a worker, and that end had been acknowledged; and work was thrown away as long
//! as the next life counted fewer ends than the one before.

use sedgehill_cell::progress::JobState;
use sedgehill_core::units::TimeSpan;

use crate::fake::{CrashHabit, FakeCell, job, step, task};

#[test]
fn ends_of_a_worker_that_started_again_are_read() {
    let mut cell = FakeCell::with_lasting_ids(1, 8);
    let mut lead = cell.lead(false);
    cell.submit_led(&mut lead, 1, job(vec![step(8, 1)]));
    cell.turns(&mut lead, 3);
    cell.end_all();
    cell.turns(&mut lead, 3);
    assert_eq!(cell.progress(1).state, JobState::Completed);
    cell.start_again(0);
    cell.turns(&mut lead, 60);
    cell.submit_led(&mut lead, 2, job(vec![step(2, 1)]));
    cell.turns(&mut lead, 3);
    cell.end_all();
    cell.turns(&mut lead, 20);
    assert_eq!(cell.progress(2).state, JobState::Completed);
}

#[test]
fn a_task_that_crashes_workers_that_keep_their_ids_is_given_up() {
    let mut cell = FakeCell::with_lasting_ids(6, 4);
    let mut lead = cell.lead(false);
    cell.make_crash(task(1, 0, 0), CrashHabit { back: TimeSpan(500), ..CrashHabit::default() });
    cell.submit_led(&mut lead, 1, job(vec![step(1, 1)]));
    cell.submit_led(&mut lead, 2, job(vec![step(6, 1)]));
    cell.turns(&mut lead, 1_000);
    assert_eq!(cell.progress(1).state, JobState::Failed);
    assert_eq!(cell.crashes_under(task(1, 0, 0)), 3);
}

// A lease counts on the worker's clock. Of a life whose clock began anew, behind that of the one before, the lead asked
// for leases that ended far later than it believed.
#[test]
fn leases_go_by_the_clock_of_the_life_that_answers() {
    let mut cell = FakeCell::with_lasting_ids(2, 4);
    let mut lead = cell.lead(false);
    cell.turns(&mut lead, 50);
    cell.start_again(0);
    cell.start_again(1);
    cell.turns(&mut lead, 60);
    cell.submit_led(&mut lead, 1, job(vec![step(1, 1)]));
    cell.turns(&mut lead, 5);
    let place = cell.place(task(1, 0, 0)).unwrap();
    cell.workers[place].cut = true;
    cell.turns(&mut lead, 800);
    assert_eq!(cell.starts_of(task(1, 0, 0)), 2);
}
