//! Correlated crashes of many workers, which are not blamed on a task.
//!
//! Guards against failing harmless jobs after power outages. All workers of a cell lost power at the same time, three
//! times within a minute. Each running task had then lost three workers and was taken as the cause: 30 of 40 harmless
//! jobs failed, and so did five gangs of twenty, a gang that was alone in the cell, and a task that was alone in it.

use sedgehill_cell::job::{JobRecord, StepSpec};
use sedgehill_cell::progress::JobState;
use sedgehill_cell::scheduler::RunEnd;
use sedgehill_core::units::TimeSpan;

use crate::fake::{CrashRule, FakeCell, job, step, task};

const WORKERS: u16 = 60;
const CORES: u64 = 16;
const OUTAGE_COUNT: usize = 3;
/// Number of turns of 20 ms between two outages.
const TURNS_BETWEEN_OUTAGES: usize = 300;
/// Time from an outage until the workers are back.
const RESTART_DELAY: TimeSpan = TimeSpan(500);

fn gang(count: u16) -> JobRecord {
    job(vec![StepSpec { gang: true, ..step(count, 4) }])
}

fn turns(cell: &mut FakeCell, lead: &mut sedgehill_cell::scheduler::Scheduler, count: usize) {
    for _ in 0..count {
        cell.turn(lead);
        cell.break_gangs();
    }
}

/// Lets all workers crash at the same time, repeatedly, while jobs run. Returns how many of the jobs failed.
fn failed_jobs_after_outages(keeps_ids: bool, jobs: Vec<JobRecord>) -> usize {
    let mut cell = match keeps_ids {
        true => FakeCell::with_lasting_ids(WORKERS, CORES),
        false => FakeCell::new(WORKERS, CORES),
    };
    let mut lead = cell.lead(false);
    let count = jobs.len() as u64;
    for (id, record) in (0..count).zip(jobs) {
        cell.submit_led(&mut lead, id, record);
    }
    for _ in 0..OUTAGE_COUNT {
        turns(&mut cell, &mut lead, TURNS_BETWEEN_OUTAGES);
        for number in 0..cell.workers.len() {
            cell.crash(number, RESTART_DELAY);
        }
    }
    turns(&mut cell, &mut lead, TURNS_BETWEEN_OUTAGES);
    cell.end_all();
    turns(&mut cell, &mut lead, 50);
    cell.end_all();
    turns(&mut cell, &mut lead, 50);
    let states = (0..count).map(|id| cell.progress(id).state);
    let failed = states.clone().filter(|state| *state == JobState::Failed).count();
    assert_eq!(
        failed + states.filter(|state| *state == JobState::Completed).count(),
        count as usize
    );
    failed
}

#[test]
fn jobs_of_single_tasks_survive_outages_of_all_workers() {
    for keeps_ids in [false, true] {
        let jobs = (0..40).map(|_| job(vec![step(4, 1)])).collect();
        assert_eq!(failed_jobs_after_outages(keeps_ids, jobs), 0, "of 40, ids kept: {keeps_ids}");
    }
}

#[test]
fn gangs_survive_outages_of_all_workers() {
    for keeps_ids in [false, true] {
        let jobs = (0..5).map(|_| gang(20)).collect();
        assert_eq!(failed_jobs_after_outages(keeps_ids, jobs), 0, "of 5, ids kept: {keeps_ids}");
    }
}

#[test]
fn a_job_alone_in_the_cell_survives_outages_of_all_workers() {
    for keeps_ids in [false, true] {
        assert_eq!(
            failed_jobs_after_outages(keeps_ids, vec![gang(20)]),
            0,
            "a gang is alone in the cell"
        );
        assert_eq!(
            failed_jobs_after_outages(keeps_ids, vec![job(vec![step(1, 1)])]),
            0,
            "a task is alone in the cell"
        );
    }
}

// The members crash their workers together, each on a worker of its own, while all other workers stay alive.
#[test]
fn a_gang_that_crashes_all_its_workers_is_given_up() {
    let mut cell = FakeCell::with_lasting_ids(WORKERS, CORES);
    let mut lead = cell.lead(false);
    let crash_rule = CrashRule { back: RESTART_DELAY, ..CrashRule::default() };
    for index in 0..20 {
        cell.make_crash(task(1, 0, index), crash_rule);
    }
    cell.submit_led(&mut lead, 1, job(vec![StepSpec { gang: true, ..step(20, 16) }]));
    cell.submit_led(&mut lead, 2, job(vec![step(30, 1)]));
    turns(&mut cell, &mut lead, 2_000);
    assert_eq!(cell.progress(1).state, JobState::Failed);
    assert!(cell.crashes_under(task(1, 0, 0)) <= 3);
    cell.end_all();
    turns(&mut cell, &mut lead, 50);
    assert_eq!(cell.progress(2).state, JobState::Completed);
}

// All workers lose power repeatedly while a task crashes each worker that starts it.
#[test]
fn a_task_that_crashes_its_workers_is_given_up_despite_outages_of_all_workers() {
    for keeps_ids in [false, true] {
        let mut cell = match keeps_ids {
            true => FakeCell::with_lasting_ids(WORKERS, CORES),
            false => FakeCell::new(WORKERS, CORES),
        };
        let mut lead = cell.lead(false);
        cell.make_crash(task(1, 0, 0), CrashRule { after: TimeSpan(900), ..CrashRule::default() });
        cell.submit_led(&mut lead, 1, job(vec![step(1, 1)]));
        cell.submit_led(&mut lead, 2, job(vec![step(30, 1)]));
        for _ in 0..6 {
            turns(&mut cell, &mut lead, 230);
            for number in 0..cell.workers.len() {
                cell.crash(number, RESTART_DELAY);
            }
        }
        turns(&mut cell, &mut lead, 2_000);
        assert_eq!(cell.progress(1).state, JobState::Failed);
    }
}

// Many tasks that crash their workers are started in one turn, so that the workers crash together as in a power outage.
// The bound on starts after three crashes still holds: the fakes count the starts.
#[test]
fn tasks_that_crash_their_workers_at_the_same_time_are_given_up_in_time() {
    for keeps_ids in [false, true] {
        let mut cell = match keeps_ids {
            true => FakeCell::with_lasting_ids(24, 4),
            false => FakeCell::new(24, 4),
        };
        let mut lead = cell.lead(false);
        turns(&mut cell, &mut lead, 20);
        let crash_rule = CrashRule { back: TimeSpan(1_500), ..CrashRule::default() };
        for id in 0..16 {
            cell.make_crash(task(id, 0, 0), crash_rule);
            cell.submit_led(&mut lead, id, job(vec![step(1, 4)]));
        }
        turns(&mut cell, &mut lead, 1_500);
        for id in 0..16 {
            assert_eq!(cell.progress(id).state, JobState::Failed);
        }
    }
}

// The correlated crash is recorded with the progress of the job, where the next lead finds it.
#[test]
fn the_next_lead_knows_of_an_outage_of_all_workers() {
    let mut cell = FakeCell::with_lasting_ids(24, 4);
    let mut lead = cell.lead(false);
    cell.submit_led(&mut lead, 1, job(vec![step(1, 1)]));
    turns(&mut cell, &mut lead, 50);
    for number in 0..cell.workers.len() {
        cell.crash(number, RESTART_DELAY);
    }
    turns(&mut cell, &mut lead, 100);
    assert_eq!(cell.progress(1).correlated_ms.len(), 1);
    let mut next = cell.lead(true);
    next.note_fenced(cell.now);
    turns(&mut cell, &mut next, 100);
    cell.end_anywhere(task(1, 0, 0), RunEnd::Failed);
    turns(&mut cell, &mut next, 10);
    assert_eq!(cell.progress(1).correlated_ms.len(), 1);
}
