//! Courses drawn from a review of how long lost runs are remembered: other places at which a loss could be forgotten,
//! counted twice, or cost too much.

use sedgehill_cell::crash_history::CrashHistory;
use sedgehill_cell::job::StepSpec;
use sedgehill_cell::progress::{JobProgress, JobState};
use sedgehill_cell::replica::CellRecord;
use sedgehill_cell::scheduler::Scheduler;
use sedgehill_core::units::{Moment, TimeSpan};

use crate::fake::{CrashRule, FakeCell, job, step, task};

/// Longer than any test.
const NEVER: TimeSpan = TimeSpan(1_000_000_000);

fn change_lead(cell: &mut FakeCell, lead: &mut Scheduler) {
    *lead = cell.lead(true);
    lead.note_fenced(cell.now);
}

fn history(cell: &FakeCell) -> CrashHistory {
    let first = cell.progress(0).crash_histories.first();
    first.map(|(_, history)| history.clone()).unwrap_or_default()
}

/// Runs turns until the task runs on a worker that is not cut off or down.
fn await_holder(cell: &mut FakeCell, lead: &mut Scheduler) -> usize {
    for _ in 0..3_000 {
        cell.turn(lead);
        let holder = cell.place(task(0, 0, 0));
        if let Some(holder) = holder.filter(|holder| !cell.workers[*holder].cut) {
            cell.turns(lead, 50);
            return holder;
        }
    }
    panic!("the task is not started: {:?}", cell.progress(0));
}

/// Three workers of a harmless task are cut off, the lead changes twice while its next start waits, and the workers
/// answer again.
fn cut_off_while_leads_change() -> (FakeCell, Scheduler) {
    let mut cell = FakeCell::with_lasting_ids(10, 4);
    let mut lead = cell.lead(false);
    cell.submit_led(&mut lead, 0, job(vec![step(1, 1)]));
    let mut cut = Vec::new();
    for _ in 0..3 {
        let holder = await_holder(&mut cell, &mut lead);
        cell.workers[holder].cut = true;
        cut.push(holder);
    }
    // Until the third loss is noted.
    cell.turns(&mut lead, 350);
    for other in [8, 9] {
        // A worker without runs, so that the next lead finds that one is lost.
        cell.workers[other].cut = true;
        cut.push(other);
        change_lead(&mut cell, &mut lead);
        cell.turns(&mut lead, 500);
    }
    cut.into_iter().for_each(|number| cell.workers[number].cut = false);
    cell.turns(&mut lead, 200);
    (cell, lead)
}

// A lost run that is recorded already is noted once more as an unconfirmed crash with each lead that takes over while
// the task waits. News of the workers clears the first, and not the others.
#[test]
fn a_recorded_loss_is_not_counted_again_by_the_next_lead() {
    let (cell, _) = cut_off_while_leads_change();
    let history = history(&cell);
    assert_eq!((history.crashes.len(), history.unconfirmed), (0, 0), "{history:?}");
}

// The doubts of such a task let it fail after two crashes, which other causes had, though no more than three workers
// were lost under it and no start followed three possible crashes.
#[test]
fn a_task_with_cleared_losses_is_not_failed_after_two_crashes() {
    let (mut cell, mut lead) = cut_off_while_leads_change();
    for _ in 0..2 {
        let holder = await_holder(&mut cell, &mut lead);
        cell.crash(holder, TimeSpan(500));
        cell.turns(&mut lead, 200);
    }
    let holder = await_holder(&mut cell, &mut lead);
    cell.workers[holder].cut = true;
    cell.turns(&mut lead, 1_000);
    cell.workers[holder].cut = false;
    cell.turns(&mut lead, 100);
    assert_ne!(cell.progress(0).state, JobState::Failed, "given up after two crashes");
}

// A long-running task loses a worker that leaves as planned twice, and crashes that lie hours apart. Unconfirmed crashes
// and counted starts are never forgotten, though a crash is after ten minutes: two crashes within ten minutes then fail
// a task that runs for days.
#[test]
fn old_doubts_do_not_fail_a_long_running_task() {
    let mut cell = FakeCell::with_lasting_ids(10, 4);
    let mut lead = cell.lead(false);
    cell.submit_led(&mut lead, 0, job(vec![StepSpec { long_running: true, ..step(1, 1) }]));
    let an_hour = TimeSpan(3_600_000);
    // Planned leaves, then crashes an hour apart, then two within ten minutes.
    for _ in 0..2 {
        let holder = await_holder(&mut cell, &mut lead);
        cell.workers[holder].unlisted = true;
        cell.turns(&mut lead, 60);
        cell.crash(holder, TimeSpan(20_000));
        cell.turns(&mut lead, 1_200);
        cell.workers[holder].unlisted = false;
        cell.turns(&mut lead, 100);
    }
    for number in 0..4 {
        let holder = await_holder(&mut cell, &mut lead);
        cell.crash(holder, TimeSpan(500));
        cell.turns(&mut lead, 300);
        println!("after crash {number}: {:?}", history(&cell));
        assert_ne!(cell.progress(0).state, JobState::Failed, "given up after crash {number}");
        if number < 2 {
            // Longer turns: nothing happens meanwhile.
            for _ in 0..an_hour.0 / 1_000 {
                cell.now.0 += 980;
                cell.turn(&mut lead);
            }
        }
    }
}

/// A task that crashes its workers. Each is back after `back` at another address, as machines of a cloud may be.
fn assert_moved_crashes_count(change_leads: bool) {
    let back = TimeSpan(30_000);
    let mut cell = FakeCell::with_lasting_ids(10, 4);
    let mut lead = cell.lead(false);
    let rule = CrashRule { after: TimeSpan(500), back: NEVER, runs: usize::MAX };
    cell.make_crash(task(0, 0, 0), rule);
    cell.submit_led(&mut lead, 0, job(vec![step(1, 1)]));
    let mut down: Vec<(Moment, usize)> = Vec::new();
    let mut next_port = 20_000;
    let mut change_at = Moment(u64::MAX);
    for _ in 0..12_000 {
        cell.turn(&mut lead);
        for number in 0..cell.workers.len() {
            if cell.workers[number].down && down.iter().all(|(_, known)| *known != number) {
                down.push((cell.now, number));
                change_at = cell.now.after(TimeSpan(10_000));
            }
        }
        if change_leads && cell.now >= change_at {
            change_at = Moment(u64::MAX);
            change_lead(&mut cell, &mut lead);
        }
        let now = cell.now;
        for (_, number) in down.extract_if(.., |(at, _)| now >= at.after(back)) {
            cell.workers[number].down = false;
            cell.restart_worker(number);
            next_port += 1;
            cell.workers[number].entry.address.set_port(next_port);
        }
        if cell.progress(0).state == JobState::Failed {
            return;
        }
    }
    panic!("not given up: {:?}", cell.progress(0));
}

// The control of the next test: one lead sees the same id in a later life.
#[test]
fn crashes_of_workers_that_move_count_under_one_lead() {
    assert_moved_crashes_count(false);
}

// The next life has the same id and another address, and the lead that started the run is gone.
#[test]
fn crashes_of_workers_that_move_count_under_later_leads() {
    assert_moved_crashes_count(true);
}

// The record of a wide job that was accepted has to fit into the store after its workers were lost: a lead whose record
// is refused resigns. Lost runs are kept for ten minutes, several for each task, and no extra that may be left out.
#[test]
fn the_record_of_a_wide_job_fits_after_its_workers_were_lost() {
    /// The default of the setting `store_record_bytes`.
    const RECORD_BYTES: usize = 262_144;
    const TASKS: u16 = 8_000;
    let mut cell = FakeCell::with_lasting_ids(130, 400);
    let mut lead = cell.lead(false);
    let record = job(vec![step(TASKS, 1)]);
    let accepted = JobProgress::max_stored_bytes(&record.spec, record.policy.max_attempts);
    assert!(accepted <= RECORD_BYTES, "the job is refused: {accepted}");
    cell.submit_led(&mut lead, 0, record);
    let mut largest = 0;
    for hall in 0..2 {
        cell.turns(&mut lead, 60);
        let holders = (0..TASKS).filter_map(|index| cell.place(task(0, 0, index)));
        let holders: std::collections::BTreeSet<usize> = holders.collect();
        for number in &holders {
            cell.workers[*number].cut = true;
        }
        for _ in 0..260 {
            cell.turn(&mut lead);
        }
        let (fitted, _) = cell.progress(0).fitted(|_| false);
        let bytes = CellRecord::Progress(fitted).encode().len();
        println!("loss {hall} of {} workers: {bytes} bytes", holders.len());
        largest = largest.max(bytes);
    }
    assert!(largest <= RECORD_BYTES, "{largest} bytes; at most {accepted} were expected");
}
