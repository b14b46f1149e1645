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

use sedgehill_cell::crash_history::{CrashHistory, WorkerCrash};
use sedgehill_cell::ids::JobId;
use sedgehill_cell::job::StepSpec;
use sedgehill_cell::progress::{JobProgress, JobState};
use sedgehill_cell::replica::CellRecord;
use sedgehill_cell::scheduler::{CellOrder, RunEnd, Scheduler};
use sedgehill_core::units::TimeSpan;

use crate::fake::{CrashRule, FakeCell, job, step, task};

/// Turns of a fake cell in which a worker is back twice over.
const SEVERAL_CRASHES: usize = 1_500;

#[test]
fn a_task_that_crashes_its_workers_is_given_up_and_the_others_go_on() {
    let mut cell = FakeCell::new(6, 4);
    let mut lead = cell.lead(false);
    cell.make_crash(task(1, 0, 0), CrashRule::default());
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

/// Turns until a lost lease is surely over, with some to spare.
const PAST_LEASES: usize = 400;

/// Turns in which the list is read as often as by a box.
pub fn turns(cell: &mut FakeCell, lead: &mut Scheduler, count: usize) {
    for turn in 0..count {
        if turn.is_multiple_of(20) {
            cell.list(lead);
        }
        cell.turn(lead);
    }
}

/// Crashes counted under the tasks of a job, as kept in the store.
pub fn counted(cell: &FakeCell, id: u64) -> usize {
    cell.progress(id).crash_histories.iter().map(|(_, suspicion)| suspicion.crashes.len()).sum()
}

/// A job of one task that has begun, and where.
pub fn begun(cell: &mut FakeCell, lead: &mut Scheduler, id: u64) -> usize {
    cell.submit_led(lead, id, job(vec![step(1, 1)]));
    turns(cell, lead, 3);
    cell.place(task(id, 0, 0)).unwrap()
}

#[test]
fn a_worker_that_is_cut_again_and_again_counts_against_none_of_its_tasks() {
    let mut cell = FakeCell::new(6, 4);
    let mut lead = cell.lead(false);
    cell.submit_led(&mut lead, 1, job(vec![step(1, 1)]));
    for _ in 0..6 {
        turns(&mut cell, &mut lead, PAST_LEASES);
        let place = cell.place(task(1, 0, 0)).unwrap();
        cell.workers[place].cut = true;
        turns(&mut cell, &mut lead, PAST_LEASES);
        cell.workers[place].cut = false;
    }
    turns(&mut cell, &mut lead, PAST_LEASES);
    assert_eq!(cell.progress(1).state, JobState::Running);
    assert!(cell.progress(1).crash_histories.is_empty(), "{:?}", cell.progress(1).crash_histories);
    assert!(cell.starts_of(task(1, 0, 0)) >= 6);
}

#[test]
fn workers_that_leave_as_planned_count_against_none_of_their_tasks() {
    for says_so in [true, false] {
        let mut cell = FakeCell::new(6, 4);
        let mut lead = cell.lead(false);
        cell.submit_led(&mut lead, 1, job(vec![step(1, 1)]));
        for _ in 0..5 {
            turns(&mut cell, &mut lead, 10);
            let place = cell.place(task(1, 0, 0)).unwrap();
            match says_so {
                true => cell.workers[place].entry.draining = true,
                false => cell.workers[place].unlisted = true,
            }
            cell.list(&mut lead);
            turns(&mut cell, &mut lead, 10);
            cell.replace_worker(place);
        }
        turns(&mut cell, &mut lead, 10);
        assert_eq!(cell.progress(1).state, JobState::Running);
        assert_eq!(counted(&cell, 1), 0);
    }
}

#[test]
fn runs_that_lapse_or_are_stopped_count_against_none_of_their_tasks() {
    let mut cell = FakeCell::new(3, 4);
    let mut lead = cell.lead(false);
    cell.submit_led(&mut lead, 1, job(vec![step(1, 1)]));
    for end in [RunEnd::Lapsed, RunEnd::Stopped, RunEnd::Lapsed, RunEnd::Lapsed, RunEnd::Stopped] {
        turns(&mut cell, &mut lead, 10);
        cell.end_anywhere(task(1, 0, 0), end);
    }
    turns(&mut cell, &mut lead, 10);
    assert_eq!(cell.progress(1).state, JobState::Running);
    assert_eq!(counted(&cell, 1), 0);
}

// A worker is silent for longer than its leases, so its task runs elsewhere. Then another life answers at its
// address: it had crashed, and that counts though the run was given up long before.
#[test]
fn a_crash_that_shows_after_the_lease_counts() {
    let mut cell = FakeCell::new(4, 4);
    let mut lead = cell.lead(false);
    let habit = CrashRule { back: TimeSpan(9_000), ..CrashRule::default() };
    cell.make_crash(task(1, 0, 0), habit);
    cell.submit_led(&mut lead, 1, job(vec![step(1, 1)]));
    turns(&mut cell, &mut lead, SEVERAL_CRASHES * 2);
    assert_eq!(cell.progress(1).state, JobState::Failed);
    assert!(cell.starts_of(task(1, 0, 0)) <= 5);
}

#[test]
fn crashes_are_counted_over_lost_leads() {
    for back in [500, 3_000, 7_000] {
        for lost_after in [1, 30, 149, 151] {
            let mut cell = FakeCell::new(8, 4);
            let mut lead = cell.lead(false);
            let habit = CrashRule { back: TimeSpan(back), ..CrashRule::default() };
            cell.make_crash(task(1, 0, 0), habit);
            cell.submit_led(&mut lead, 1, job(vec![step(1, 1)]));
            cell.submit_led(&mut lead, 2, job(vec![step(8, 1)]));
            while cell.progress(1).state != JobState::Failed {
                let starts = cell.starts_of(task(1, 0, 0));
                for _ in 0..600 {
                    turns(&mut cell, &mut lead, 1);
                    if cell.starts_of(task(1, 0, 0)) > starts {
                        break;
                    }
                }
                turns(&mut cell, &mut lead, lost_after);
                lead = cell.lead(true);
                lead.note_fenced(cell.now);
                cell.list(&mut lead);
            }
            cell.end_all();
            turns(&mut cell, &mut lead, 50);
            cell.end_all();
            turns(&mut cell, &mut lead, 50);
            assert_eq!(cell.progress(2).state, JobState::Completed);
        }
    }
}

#[test]
fn a_gang_with_a_member_that_crashes_its_workers_is_given_up() {
    let mut cell = FakeCell::new(8, 4);
    let mut lead = cell.lead(false);
    cell.make_crash(task(1, 0, 2), CrashRule::default());
    cell.submit_led(&mut lead, 1, job(vec![StepSpec { gang: true, ..step(4, 2) }]));
    cell.submit_led(&mut lead, 2, job(vec![step(6, 1)]));
    for _ in 0..SEVERAL_CRASHES {
        turns(&mut cell, &mut lead, 1);
        cell.break_gangs();
    }
    assert_eq!(cell.progress(1).state, JobState::Failed);
    assert!(cell.crashes_under(task(1, 0, 2)) <= 3);
    cell.end_all();
    turns(&mut cell, &mut lead, 20);
    assert_eq!(cell.progress(2).state, JobState::Completed);
}

#[test]
fn a_lasting_task_that_crashes_its_workers_is_given_up() {
    let mut cell = FakeCell::new(6, 4);
    let mut lead = cell.lead(false);
    let habit = CrashRule { after: TimeSpan(700), ..CrashRule::default() };
    cell.make_crash(task(1, 0, 0), habit);
    cell.submit_led(&mut lead, 1, job(vec![StepSpec { long_running: true, ..step(2, 1) }]));
    turns(&mut cell, &mut lead, SEVERAL_CRASHES);
    assert_eq!(cell.progress(1).state, JobState::Failed);
    assert_eq!(cell.crashes_under(task(1, 0, 0)), 3);
    // What else ran of the job was stopped.
    assert_eq!(cell.place(task(1, 0, 1)), None);
}

// A worker under a lasting task crashes by itself once in a quarter of an hour.
#[test]
fn a_lasting_task_is_not_given_up_for_crashes_far_apart() {
    let mut cell = FakeCell::new(3, 4);
    let mut lead = cell.lead(false);
    cell.submit_led(&mut lead, 1, job(vec![StepSpec { long_running: true, ..step(1, 1) }]));
    for quarter in 1..8 {
        turns(&mut cell, &mut lead, 10);
        let place = cell.place(task(1, 0, 0)).unwrap();
        cell.crash(place, TimeSpan(3_000));
        turns(&mut cell, &mut lead, PAST_LEASES);
        lead.set_wall_clock(quarter * 900_000, cell.now);
    }
    assert_eq!(cell.progress(1).state, JobState::Running);
    assert!(cell.place(task(1, 0, 0)).is_some());
}

#[test]
fn a_task_that_crashes_its_first_two_workers_is_done_by_the_third() {
    let mut cell = FakeCell::new(4, 4);
    let mut lead = cell.lead(false);
    cell.make_crash(task(1, 0, 0), CrashRule { runs: 2, ..CrashRule::default() });
    cell.submit_led(&mut lead, 1, job(vec![step(1, 1)]));
    turns(&mut cell, &mut lead, SEVERAL_CRASHES);
    cell.end_all();
    turns(&mut cell, &mut lead, 5);
    assert_eq!(cell.progress(1).state, JobState::Completed);
    assert_eq!(cell.starts_of(task(1, 0, 0)), 3);
}

// Every crash takes down a worker that is full of other tasks: none of their jobs fails, and each task goes on.
#[test]
fn tasks_beside_many_that_crash_their_workers_end_and_none_is_given_up() {
    let mut cell = FakeCell::new(16, 8);
    let mut lead = cell.lead(false);
    const GUILTY: u64 = 12;
    const OTHERS: u64 = 100;
    for id in 0..GUILTY {
        let habit = CrashRule { after: TimeSpan(20 + 150 * id), ..CrashRule::default() };
        cell.make_crash(task(id, 0, 0), habit);
    }
    for id in 0..OTHERS {
        cell.submit_led(&mut lead, id, job(vec![step(2, 1)]));
        turns(&mut cell, &mut lead, 10);
    }
    for _ in 0..40 {
        turns(&mut cell, &mut lead, 50);
        cell.end_older_than(TimeSpan(1_000));
    }
    for id in 0..OTHERS {
        let wanted = if id < GUILTY { JobState::Failed } else { JobState::Completed };
        assert_eq!(cell.progress(id).state, wanted, "job {id}");
    }
    let most = (0..GUILTY).map(|id| cell.crashes_under(task(id, 0, 0))).max();
    assert_eq!(most, Some(3));
}

// A hall loses power twice: the tasks there run on elsewhere.
#[test]
fn a_hall_that_loses_power_twice_fails_no_job() {
    let mut cell = FakeCell::new(12, 4);
    let mut lead = cell.lead(false);
    for id in 0..12 {
        cell.submit_led(&mut lead, id, job(vec![step(2, 1)]));
    }
    for _ in 0..2 {
        turns(&mut cell, &mut lead, 20);
        let lost: Vec<usize> = (0..cell.workers.len()).filter(|at| at % 3 == 0).collect();
        lost.into_iter().for_each(|number| cell.crash(number, TimeSpan(2_500)));
        turns(&mut cell, &mut lead, 200);
    }
    for _ in 0..10 {
        cell.end_all();
        turns(&mut cell, &mut lead, 50);
    }
    for id in 0..12 {
        assert_eq!(cell.progress(id).state, JobState::Completed, "job {id}");
    }
}

// Two tasks were there when their worker crashed. On a cell of a single worker the second one waits for the first.
#[test]
fn suspects_of_one_crash_run_one_after_the_other_where_there_is_one_worker() {
    let mut cell = FakeCell::new(1, 4);
    let mut lead = cell.lead(false);
    begun(&mut cell, &mut lead, 1);
    let place = begun(&mut cell, &mut lead, 2);
    cell.crash(place, TimeSpan(1_000));
    turns(&mut cell, &mut lead, 100);
    let running = || [1, 2].map(|id| cell.place(task(id, 0, 0)).is_some());
    assert_eq!(running().into_iter().filter(|runs| *runs).count(), 1);
    for _ in 0..3 {
        cell.end_all();
        turns(&mut cell, &mut lead, 20);
    }
    assert_eq!([1, 2].map(|id| cell.progress(id).state), [JobState::Completed; 2]);
}

// The only worker is full of short tasks, and more of them wait. A task that lost two workers gets one of its own.
#[test]
fn a_suspect_that_wants_a_worker_of_its_own_is_not_kept_waiting() {
    let mut cell = FakeCell::new(2, 4);
    let mut lead = cell.lead(false);
    for _ in 0..2 {
        if cell.starts_of(task(1, 0, 0)) == 0 {
            begun(&mut cell, &mut lead, 1);
        }
        let place = cell.place(task(1, 0, 0)).unwrap();
        cell.crash(place, TimeSpan(500));
        turns(&mut cell, &mut lead, 60);
    }
    // It runs alone by now; it is stopped to begin again in a full cell.
    cell.end_anywhere(task(1, 0, 0), RunEnd::Lapsed);
    for id in 2..40 {
        cell.submit_led(&mut lead, id, job(vec![step(4, 1)]));
    }
    let before = cell.starts_of(task(1, 0, 0));
    let mut waited = 0;
    while cell.starts_of(task(1, 0, 0)) == before {
        turns(&mut cell, &mut lead, 1);
        cell.end_older_than(TimeSpan(300));
        waited += 1;
        assert!(waited < 100, "it waited for {waited} turns");
    }
    let place = cell.place(task(1, 0, 0)).unwrap();
    assert_eq!(cell.workers[place].run_count(), 1);
    turns(&mut cell, &mut lead, 20);
    assert_eq!(cell.workers[place].run_count(), 1);
}

#[test]
fn a_caller_is_told_as_soon_as_the_third_worker_is_known_to_have_crashed() {
    let mut cell = FakeCell::new(4, 4);
    let mut lead = cell.lead(false);
    cell.make_crash(task(1, 0, 0), CrashRule::default());
    cell.submit_led(&mut lead, 1, job(vec![step(1, 1)]));
    while cell.crashes_under(task(1, 0, 0)) < 3 {
        turns(&mut cell, &mut lead, 1);
    }
    // The next life is there after 3 s.
    turns(&mut cell, &mut lead, 153);
    assert_eq!(cell.progress(1).state, JobState::Failed);
    assert!(cell.progress(1).crash_histories.is_empty(), "nothing is kept of a job that is over");
}

#[test]
fn progress_of_earlier_versions_is_read() {
    let progress = JobProgress { may_have_started: true, ..JobProgress::default() };
    let record = CellRecord::Progress(progress);
    let mut earlier = record.encode();
    // The list of suspects stands last, and is empty.
    assert_eq!(earlier.pop(), Some(0));
    let key = record.key(JobId(7));
    assert_eq!(CellRecord::decode(&key, &earlier).unwrap(), (JobId(7), record.clone()));
    assert_eq!(CellRecord::decode(&key, &record.encode()).unwrap(), (JobId(7), record));
    assert!(CellRecord::decode(&key, &earlier[..1]).is_err());
}

// Where workers crash by themselves, one crash of a worker that a suspect has for itself may be another of these.
#[test]
fn where_workers_crash_by_themselves_one_crash_alone_tells_nothing() {
    let mut cell = FakeCell::new(10, 4);
    let mut lead = cell.lead(false);
    turns(&mut cell, &mut lead, 5);
    for _ in 0..4 {
        let number = cell.living_worker(9);
        cell.crash(number, TimeSpan(500));
        turns(&mut cell, &mut lead, 60);
    }
    cell.submit_led(&mut lead, 1, job(vec![step(1, 1)]));
    for id in 2..4 {
        // Others stand beside it when its first two workers crash.
        cell.submit_led(&mut lead, id, job(vec![step(40, 1)]));
        turns(&mut cell, &mut lead, 10);
        let place = cell.place(task(1, 0, 0)).unwrap();
        assert!(cell.workers[place].run_count() > 1);
        cell.crash(place, TimeSpan(500));
        turns(&mut cell, &mut lead, 60);
    }
    cell.end_older_than(TimeSpan(0));
    for known in 3..5 {
        turns(&mut cell, &mut lead, 20);
        cell.end_others(1);
        turns(&mut cell, &mut lead, 100);
        assert_eq!(cell.progress(1).state, JobState::Running, "{known} crashes");
        let place = cell.place(task(1, 0, 0)).unwrap();
        cell.crash(place, TimeSpan(500));
        turns(&mut cell, &mut lead, 60);
    }
    assert_eq!(cell.progress(1).state, JobState::Failed);
}

// The entry of a worker that crashed goes after some seconds, and nobody asks at its address any more. The next life
// tells of the crash by answering there.
#[test]
fn a_crash_is_told_by_the_next_life_though_nobody_asks_for_the_last_one() {
    let mut cell = FakeCell::new(4, 4);
    let mut lead = cell.lead(false);
    let place = begun(&mut cell, &mut lead, 1);
    cell.crash(place, TimeSpan(9_000));
    turns(&mut cell, &mut lead, 225);
    cell.workers[place].unlisted = true;
    turns(&mut cell, &mut lead, 195);
    assert_eq!(counted(&cell, 1), 0);
    turns(&mut cell, &mut lead, 60);
    assert_eq!(counted(&cell, 1), 1);
}

// A start is lost on its way to a worker that is cut, and its lease lapses. The worker lists neither the run nor an end.
#[test]
fn a_worker_that_never_heard_of_a_run_counts_against_nothing() {
    let mut cell = FakeCell::new(2, 4);
    let mut lead = cell.lead(false);
    turns(&mut cell, &mut lead, 5);
    cell.workers.iter_mut().for_each(|worker| worker.cut = true);
    cell.submit_led(&mut lead, 1, job(vec![step(1, 1)]));
    lead.schedule(cell.now);
    for order in lead.take_orders() {
        cell.carry_out(&mut lead, &order);
    }
    turns(&mut cell, &mut lead, PAST_LEASES);
    assert!(!cell.progress(1).crash_histories.is_empty(), "it is open whether the worker crashed");
    cell.workers.iter_mut().for_each(|worker| worker.cut = false);
    turns(&mut cell, &mut lead, 50);
    assert!(cell.progress(1).crash_histories.is_empty(), "{:?}", cell.progress(1).crash_histories);
    assert!(cell.place(task(1, 0, 0)).is_some());
}

// Starts that were sent to workers that were down already, and never answered: the task may never have been there.
#[test]
fn crashes_under_runs_that_were_never_seen_prove_nothing() {
    let crash = |number: u64, seen: bool| WorkerCrash {
        life: format!("w{number}").as_str().into(),
        alone: true,
        seen,
        at_unix_ms: number,
    };
    let after = |seen: [bool; 3]| {
        let mut suspicion = CrashHistory::default();
        for (number, seen) in seen.into_iter().enumerate() {
            suspicion.note_crash(crash(number as u64, seen));
        }
        suspicion
    };
    assert!(!after([false, false, false]).is_crash_cause(1));
    assert!(!after([true, false, true]).is_crash_cause(1));
    assert!(after([true, true, true]).is_crash_cause(1));
    // Three of them with nothing of another job beside it are not enough where four are asked for.
    assert!(!after([true, true, true]).is_crash_cause(4));
}

// A worker is out of touch, and its leases have lapsed. Another writer lists it at the address of another worker: the
// next lead asks for it there and meets that one. It lives where it was, and has not crashed.
#[test]
fn another_life_at_a_wrong_address_tells_of_no_crash() {
    let mut cell = FakeCell::new(3, 4);
    let mut lead = cell.lead(false);
    let place = begun(&mut cell, &mut lead, 1);
    cell.workers[place].cut = true;
    turns(&mut cell, &mut lead, PAST_LEASES);
    assert!(!cell.progress(1).crash_histories.is_empty(), "it is open whether the worker crashed");
    cell.misplace(place, (place + 1) % 3);
    let mut next = cell.lead(true);
    next.note_fenced(cell.now);
    turns(&mut cell, &mut next, 50);
    assert_eq!(counted(&cell, 1), 0);
}

/// Has a start go to a worker that is down already, unheard of, and learn of the next life there.
fn lose_unanswered_start(cell: &mut FakeCell, lead: &mut Scheduler) {
    let order = loop {
        cell.now.0 += 20;
        cell.poll_workers(lead);
        cell.record(lead);
        lead.schedule(cell.now);
        let orders = lead.take_orders();
        let start = orders.into_iter().find(|order| matches!(order, CellOrder::Start(_)));
        if let Some(order) = start {
            break order;
        }
    };
    let CellOrder::Start(start) = &order else { unreachable!() };
    let place = cell.number(lead, start.worker);
    cell.workers[place].cut = true;
    cell.carry_out(lead, &order);
    cell.discard_late_starts();
    cell.crash(place, TimeSpan(500));
    cell.workers[place].cut = false;
    turns(cell, lead, 60);
}

// Three starts of a task came to workers that were down already. Each went unanswered, the next life at the address showed that the
// worker had crashed, and the task was held for it: `"msg":"crash counted","seen":false,"count":3`, and after two more
// starts that ended otherwise `"msg":"task given up"`. Its caller was told that the job had failed; no worker ever had
// crashed under it.
#[test]
fn starts_that_went_unanswered_give_up_no_task() {
    let mut cell = FakeCell::new(8, 4);
    let mut lead = cell.lead(false);
    turns(&mut cell, &mut lead, 5);
    cell.submit_led(&mut lead, 1, job(vec![step(1, 1)]));
    for _ in 0..3 {
        lose_unanswered_start(&mut cell, &mut lead);
        if cell.place(task(1, 0, 0)).is_some() {
            cell.end_anywhere(task(1, 0, 0), RunEnd::Lapsed);
        }
    }
    for _ in 0..4 {
        turns(&mut cell, &mut lead, 60);
        assert_eq!(cell.progress(1).state, JobState::Running);
        cell.end_anywhere(task(1, 0, 0), RunEnd::Lapsed);
    }
    turns(&mut cell, &mut lead, 60);
    cell.end_all();
    turns(&mut cell, &mut lead, 5);
    assert_eq!(cell.progress(1).state, JobState::Completed);
}

// Whatever part of its starts goes unanswered, a task that crashes each of its workers is given up when the starts that users
// allow are used up: three crashes and two further starts.
#[test]
fn a_task_that_crashes_each_worker_is_given_up_however_many_answers_are_lost() {
    const LOSSES: u32 = 5;
    for course in 0..1_u32 << LOSSES {
        let mut suspicion = CrashHistory::default();
        let mut losses = 0;
        while !suspicion.is_crash_cause(1) {
            assert!(losses < LOSSES, "course {course:05b} goes on after {losses} crashes");
            suspicion.count_start();
            let answered = course & (1 << losses) != 0;
            let crash = WorkerCrash {
                life: format!("w{losses}").as_str().into(),
                alone: true,
                seen: answered,
                at_unix_ms: u64::from(losses),
            };
            match answered {
                true => suspicion.note_crash(crash),
                false => suspicion.note_unanswered(crash),
            };
            losses += 1;
        }
    }
}
