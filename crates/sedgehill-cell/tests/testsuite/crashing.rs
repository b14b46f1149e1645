//! Some tasks crash every worker that starts them, 10 ms after the start. The worker is back as another life after
//! some 3 s, and the answer of that life at the old address told the lead that the run was lost. The lead released
//! the task and started it again at once, on the next worker, until the end of the day: nothing was kept of the
//! crash, since only ends that a worker lists as failed counted as attempts, and a worker that crashed lists
//! nothing.
//!
//! What settled it are three lines of one lead, 16 ms apart, that came every 3 s for each of these tasks:
//!
//! ```text
//! 56.3749 worker ended  token=2 worker=i-cedff98aa5 call=account runs=7 silent_ms=3054
//! 56.3751 run lost      token=2 worker=i-cedff98aa5 run=6 reason="worker ended"
//! 56.3907 placed        token=2 worker=i-7ac6217d7a run=7
//! ```

use sedgehill_cell::progress::JobState;

use crate::fake::{CrashHabit, FakeCell, job, step, task};

/// Turns of a fake cell in which a worker is back twice over.
const SEVERAL_CRASHES: usize = 1_500;

#[test]
fn a_task_that_crashes_its_workers_is_given_up_and_the_others_go_on() {
    let mut cell = FakeCell::new(6, 4);
    let mut lead = cell.lead(false);
    cell.make_crash(task(1, 0, 0), CrashHabit::default());
    cell.submit_led(&mut lead, 1, job(vec![step(1, 1)]));
    cell.submit_led(&mut lead, 2, job(vec![step(6, 1)]));
    for _ in 0..SEVERAL_CRASHES {
        cell.list(&mut lead);
        cell.turn(&mut lead);
    }
    assert_eq!(cell.progress(1).state, JobState::Failed);
    assert_eq!(cell.crashes_under(task(1, 0, 0)), 3);
    cell.end_all();
    cell.turns(&mut lead, 5);
    assert_eq!(cell.progress(2).state, JobState::Completed);
}
