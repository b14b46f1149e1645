//! Long-running tasks that lose their run before the take-over of a new lead is settled, while a worker that they were
//! never on is lost for good.
//!
//! Guards against a task without a run for 10 s beside idle workers: a new lead had adopted its run, which replaced the
//! location that the lead before had recorded by one that counted only for the next lead.

use sedgehill_cell::ids::{CellTask, FencingToken, JobId, RunNumber};
use sedgehill_cell::job::StepSpec;
use sedgehill_cell::scheduler::{
    CellEvent, EndRow, HoldReport, RunEnd, RunningRow, Scheduler, StallReason, WorkerAnswer,
    WorkerTime,
};
use sedgehill_core::units::TimeSpan;

use crate::fake::{FakeCell, job, step, task};
use crate::restarts::long_running;

/// Longest time that users allow from the end of a run to the next one.
const MAX_RESTART_DELAY: TimeSpan = TimeSpan(6_000);
const JOB: u64 = 1;
const TASK: CellTask = task(JOB, 0, 0);
const WORKERS: u16 = 6;

/// How the leads learn where the task runs.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Learned {
    /// An earlier lead recorded the place; the run has ended before the worker reports to the new one.
    Recorded,
    /// The worker reports the run to the new lead.
    Adopted,
    /// The new lead restarted the task by itself.
    Restarted,
}

/// Starts a job of two tasks, loses an idle worker for good together with the lead, and returns the next lead.
fn take_over_beside_lost_worker(
    cell: &mut FakeCell,
    spec: StepSpec,
    leads_lost: usize,
) -> Scheduler {
    let mut lead = cell.lead(false);
    cell.submit_led(&mut lead, JOB, job(vec![spec]));
    cell.turns(&mut lead, 60);
    assert!(cell.place(TASK).is_some());
    let idle = (0..usize::from(WORKERS)).find(|number| cell.workers[*number].run_count() == 0);
    cell.workers[idle.unwrap()].cut = true;
    // The leads in between record nothing.
    for _ in 1..leads_lost {
        drop(cell.lead(true));
    }
    let mut next = cell.lead(true);
    next.note_fenced(cell.now);
    next
}

/// Ends the run of the task, and asserts that the next one starts in time.
fn assert_restarted(cell: &mut FakeCell, lead: &mut Scheduler, end: RunEnd, row: &str) {
    let starts = cell.starts_of(TASK);
    cell.end_anywhere(TASK, end);
    let ended = cell.now;
    while cell.starts_of(TASK) == starts {
        assert!(cell.now < ended.after(MAX_RESTART_DELAY), "{row}: no run in time");
        cell.turn(lead);
    }
}

fn cell_of(leads_lost: usize) -> FakeCell {
    let mut cell = FakeCell::new(WORKERS, 4);
    if leads_lost > 1 {
        cell.locations_since = Some(FencingToken(0));
    }
    cell
}

#[test]
fn a_lost_run_is_followed_by_the_next_however_its_place_was_learned() {
    for learned in [Learned::Recorded, Learned::Adopted, Learned::Restarted] {
        for end in [RunEnd::Failed, RunEnd::Lapsed, RunEnd::Stopped] {
            for leads_lost in 1..=2 {
                let row = format!("{learned:?}, {end:?}, {leads_lost} leads lost");
                let mut cell = cell_of(leads_lost);
                let mut next =
                    take_over_beside_lost_worker(&mut cell, long_running(2, 4), leads_lost);
                if learned != Learned::Recorded {
                    cell.turns(&mut next, 30);
                }
                if learned == Learned::Restarted {
                    assert_restarted(&mut cell, &mut next, RunEnd::Failed, &row);
                    cell.turns(&mut next, 10);
                }
                assert!(!next.is_settled(), "{row}");
                assert_restarted(&mut cell, &mut next, end, &row);
                assert!(!next.is_settled(), "{row}: the restart did not wait for the lost worker");
            }
        }
    }
}

/// The worker of the task is lost with its lease, after the new lead has adopted the run.
#[test]
fn an_adopted_run_is_followed_by_the_next_once_its_worker_has_ended() {
    let mut cell = cell_of(1);
    let mut next = take_over_beside_lost_worker(&mut cell, long_running(2, 4), 1);
    cell.turns(&mut next, 30);
    let starts = cell.starts_of(TASK);
    let holder = cell.place(TASK).unwrap();
    cell.replace_worker(holder);
    cell.turns(&mut next, 300);
    assert!(!next.is_settled());
    assert_eq!(cell.starts_of(TASK), starts + 1);
}

/// A gang restarts as a whole, once it is known of all members that they run nowhere.
#[test]
fn a_gang_that_lost_its_run_is_restarted_beside_a_lost_worker() {
    let mut cell = cell_of(1);
    let spec = StepSpec { gang: true, ..long_running(2, 4) };
    let mut next = take_over_beside_lost_worker(&mut cell, spec, 1);
    cell.turns(&mut next, 30);
    cell.end_anywhere(task(JOB, 0, 1), RunEnd::Broken);
    assert_restarted(&mut cell, &mut next, RunEnd::Failed, "gang");
    cell.turns(&mut next, 3);
    assert!(!next.is_settled());
    assert!((0..2).all(|index| cell.place(task(JOB, 0, index)).is_some()));
}

/// The worker left the roster before the lead was lost, since its runs had ended. It is not waited for.
#[test]
fn a_task_whose_worker_left_the_roster_is_restarted_beside_a_lost_worker() {
    let mut cell = FakeCell::new(WORKERS, 4);
    let mut lead = cell.lead(false);
    cell.submit_led(&mut lead, JOB, job(vec![long_running(1, 4)]));
    cell.turns(&mut lead, 60);
    let holder = cell.place(TASK).unwrap();
    // Nothing has room for the task any more.
    let others = 10;
    cell.submit_led(&mut lead, others, job(vec![step(WORKERS - 1, 4)]));
    cell.turns(&mut lead, 30);
    cell.workers[holder].unlisted = true;
    cell.workers[holder].cut = true;
    cell.turns(&mut lead, 400);
    assert_eq!(cell.starts_of(TASK), 1);
    let gone = cell.workers[holder].entry.life.clone();
    assert!(cell.roster.workers().all(|(entry, _)| entry.life != gone));
    let lost = (0..usize::from(WORKERS)).find(|number| *number != holder).unwrap();
    cell.workers[lost].cut = true;
    let mut next = cell.lead(true);
    next.note_fenced(cell.now);
    cell.turns(&mut next, 10);
    cell.end_all();
    let ended = cell.now;
    while cell.starts_of(TASK) == 1 {
        assert!(cell.now < ended.after(MAX_RESTART_DELAY), "no run in time");
        cell.turn(&mut next);
    }
    assert!(!next.is_settled());
}

/// The location that the earlier lead recorded counts for more than the run of a worker where the start had gone
/// unanswered: the task may run at the recorded one as well.
#[test]
fn a_run_that_is_adopted_elsewhere_does_not_settle_the_recorded_location() {
    let mut cell = FakeCell::new(4, 4);
    let mut lead = cell.lead(false);
    cell.submit_led(&mut lead, JOB, job(vec![long_running(1, 4)]));
    cell.turns(&mut lead, 60);
    let holder = cell.place(TASK).unwrap();
    let other = usize::from(holder == 0);
    cell.workers[holder].cut = true;
    let mut next = cell.lead(true);
    next.note_fenced(cell.now);
    cell.turns(&mut next, 10);
    let key = cell.worker_key(&next, other);
    let run = RunNumber(1);
    let running = RunningRow { task: TASK, run, checkpoint: String::new() };
    let ended =
        EndRow { number: 1, task: TASK, run, end: RunEnd::Failed, checkpoint: String::new() };
    for (running, ended) in [(vec![running], vec![]), (vec![], vec![ended])] {
        let clock = WorkerTime(cell.now.0 + 100_000);
        let report = HoldReport { start: None, clock, running, ended, more_ends: false };
        cell.now.0 += 20;
        next.hold_answered(key, WorkerAnswer::Done(report), cell.now, cell.now);
    }
    cell.turns(&mut next, 200);
    assert!(!next.is_settled());
    assert_eq!(cell.starts_of(TASK), 1, "the task may still run on the recorded worker");
    // Operators are told what it waits for.
    let reasons = next.take_events().into_iter().filter_map(|event| match event {
        CellEvent::RestartLate { reason, .. } => Some(reason),
        _ => None,
    });
    assert_eq!(reasons.collect::<Vec<_>>(), [StallReason::EarlierLead]);
}

/// A location that was recorded before the start of the worker's life was known is that of a life in the roster.
#[test]
fn a_location_without_the_start_of_a_life_is_waited_for() {
    let mut cell = FakeCell::with_lasting_ids(WORKERS, 4);
    let mut lead = cell.lead(false);
    cell.submit_led(&mut lead, JOB, job(vec![long_running(1, 4)]));
    cell.turns(&mut lead, 60);
    let holder = cell.place(TASK).unwrap();
    let (_, progress) = cell.store.get_mut(&JobId(JOB)).unwrap();
    assert!(progress.locations[0].life.start.is_some());
    progress.locations[0].life.start = None;
    cell.workers[holder].cut = true;
    let mut next = cell.lead(true);
    next.note_fenced(cell.now);
    cell.turns(&mut next, 100);
    assert!(!next.is_settled());
    assert_eq!(cell.starts_of(TASK), 1, "the task may still run there");
}
