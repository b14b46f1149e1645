//! Tasks that crash their workers.
//!
//! Guards against starting such a task again without end. Some tasks crash every worker that starts them, 10 ms after
//! the start. The worker is back as another life after about 3 s, and the answer of that life at the old address shows
//! the lead that the run is lost. A lead that counts only the failed ends that a worker lists as attempts starts the
//! task again at once, on the next worker, since a crashed worker lists nothing. One lead logged these three lines, 16
//! ms apart, every 3 s for each of these tasks:
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

/// Number of turns in which a crashed worker returns several times.
const TURNS_OF_SEVERAL_CRASHES: usize = 1_500;

#[test]
fn a_task_that_crashes_its_workers_is_given_up_and_others_continue() {
    let mut cell = FakeCell::new(6, 4);
    let mut lead = cell.lead(false);
    cell.make_crash(task(1, 0, 0), CrashRule::default());
    cell.submit_led(&mut lead, 1, job(vec![step(1, 1)]));
    cell.submit_led(&mut lead, 2, job(vec![step(6, 1)]));
    for _ in 0..TURNS_OF_SEVERAL_CRASHES {
        cell.list(&mut lead);
        cell.turn(&mut lead);
    }
    assert_eq!(cell.progress(1).state, JobState::Failed);
    assert_eq!(cell.crashes_under(task(1, 0, 0)), 3);
    cell.end_all();
    cell.turns(&mut lead, 5);
    assert_eq!(cell.progress(2).state, JobState::Completed);
}

/// Number of turns after which the lease of a silent worker has certainly ended.
const TURNS_PAST_LEASES: usize = 400;

/// Runs turns in which the worker list is read as often as by the daemon.
pub fn turns(cell: &mut FakeCell, lead: &mut Scheduler, count: usize) {
    for turn in 0..count {
        if turn.is_multiple_of(20) {
            cell.list(lead);
        }
        cell.turn(lead);
    }
}

/// Returns the number of crashes counted for the tasks of a job, as recorded in the store.
pub fn crash_count(cell: &FakeCell, id: u64) -> usize {
    cell.progress(id).crash_histories.iter().map(|(_, history)| history.crashes.len()).sum()
}

/// Submits a job of one task, runs turns until it starts, and returns the number of its worker.
pub fn start_job(cell: &mut FakeCell, lead: &mut Scheduler, id: u64) -> usize {
    cell.submit_led(lead, id, job(vec![step(1, 1)]));
    turns(cell, lead, 3);
    cell.place(task(id, 0, 0)).unwrap()
}

#[test]
fn a_worker_that_is_cut_off_repeatedly_is_no_crash_of_its_tasks() {
    let mut cell = FakeCell::new(6, 4);
    let mut lead = cell.lead(false);
    cell.submit_led(&mut lead, 1, job(vec![step(1, 1)]));
    for _ in 0..6 {
        turns(&mut cell, &mut lead, TURNS_PAST_LEASES);
        let holder = cell.place(task(1, 0, 0)).unwrap();
        cell.workers[holder].cut = true;
        turns(&mut cell, &mut lead, TURNS_PAST_LEASES);
        cell.workers[holder].cut = false;
    }
    turns(&mut cell, &mut lead, TURNS_PAST_LEASES);
    assert_eq!(cell.progress(1).state, JobState::Running);
    assert!(cell.progress(1).crash_histories.is_empty(), "{:?}", cell.progress(1).crash_histories);
    assert!(cell.starts_of(task(1, 0, 0)) >= 6);
}

#[test]
fn workers_that_leave_as_planned_are_no_crashes_of_their_tasks() {
    for drains in [true, false] {
        let mut cell = FakeCell::new(6, 4);
        let mut lead = cell.lead(false);
        cell.submit_led(&mut lead, 1, job(vec![step(1, 1)]));
        for _ in 0..5 {
            turns(&mut cell, &mut lead, 10);
            let holder = cell.place(task(1, 0, 0)).unwrap();
            match drains {
                true => cell.workers[holder].entry.draining = true,
                false => cell.workers[holder].unlisted = true,
            }
            cell.list(&mut lead);
            turns(&mut cell, &mut lead, 10);
            cell.replace_worker(holder);
        }
        turns(&mut cell, &mut lead, 10);
        assert_eq!(cell.progress(1).state, JobState::Running);
        assert_eq!(crash_count(&cell, 1), 0);
    }
}

#[test]
fn runs_that_lapse_or_are_stopped_are_no_crashes_of_their_tasks() {
    let mut cell = FakeCell::new(3, 4);
    let mut lead = cell.lead(false);
    cell.submit_led(&mut lead, 1, job(vec![step(1, 1)]));
    for end in [RunEnd::Lapsed, RunEnd::Stopped, RunEnd::Lapsed, RunEnd::Lapsed, RunEnd::Stopped] {
        turns(&mut cell, &mut lead, 10);
        cell.end_anywhere(task(1, 0, 0), end);
    }
    turns(&mut cell, &mut lead, 10);
    assert_eq!(cell.progress(1).state, JobState::Running);
    assert_eq!(crash_count(&cell, 1), 0);
}

// A worker is silent for longer than its leases, so its task runs elsewhere. Then another life answers at its address.
// The worker has thus crashed, which counts although its run was taken as lost long before.
#[test]
fn a_crash_detected_after_the_lease_counts() {
    let mut cell = FakeCell::new(4, 4);
    let mut lead = cell.lead(false);
    let crash_rule = CrashRule { back: TimeSpan(9_000), ..CrashRule::default() };
    cell.make_crash(task(1, 0, 0), crash_rule);
    cell.submit_led(&mut lead, 1, job(vec![step(1, 1)]));
    turns(&mut cell, &mut lead, TURNS_OF_SEVERAL_CRASHES * 2);
    assert_eq!(cell.progress(1).state, JobState::Failed);
    assert!(cell.starts_of(task(1, 0, 0)) <= 5);
}

#[test]
fn crashes_are_counted_across_lost_leads() {
    for back in [500, 3_000, 7_000] {
        for lost_after in [1, 30, 149, 151] {
            let mut cell = FakeCell::new(8, 4);
            let mut lead = cell.lead(false);
            let crash_rule = CrashRule { back: TimeSpan(back), ..CrashRule::default() };
            cell.make_crash(task(1, 0, 0), crash_rule);
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
    for _ in 0..TURNS_OF_SEVERAL_CRASHES {
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
fn a_long_running_task_that_crashes_its_workers_is_given_up() {
    let mut cell = FakeCell::new(6, 4);
    let mut lead = cell.lead(false);
    let crash_rule = CrashRule { after: TimeSpan(700), ..CrashRule::default() };
    cell.make_crash(task(1, 0, 0), crash_rule);
    cell.submit_led(&mut lead, 1, job(vec![StepSpec { long_running: true, ..step(2, 1) }]));
    turns(&mut cell, &mut lead, TURNS_OF_SEVERAL_CRASHES);
    assert_eq!(cell.progress(1).state, JobState::Failed);
    assert_eq!(cell.crashes_under(task(1, 0, 0)), 3);
    // The other task of the job is stopped.
    assert_eq!(cell.place(task(1, 0, 1)), None);
}

// The worker of a long-running task crashes by itself every quarter of an hour.
#[test]
fn a_long_running_task_is_not_given_up_for_crashes_far_apart() {
    let mut cell = FakeCell::new(3, 4);
    let mut lead = cell.lead(false);
    cell.submit_led(&mut lead, 1, job(vec![StepSpec { long_running: true, ..step(1, 1) }]));
    for quarter_hour in 1..8 {
        turns(&mut cell, &mut lead, 10);
        let holder = cell.place(task(1, 0, 0)).unwrap();
        cell.crash(holder, TimeSpan(3_000));
        turns(&mut cell, &mut lead, TURNS_PAST_LEASES);
        lead.set_wall_clock(quarter_hour * 900_000, cell.now);
    }
    assert_eq!(cell.progress(1).state, JobState::Running);
    assert!(cell.place(task(1, 0, 0)).is_some());
}

#[test]
fn a_task_that_crashes_its_first_two_workers_completes_on_the_third() {
    let mut cell = FakeCell::new(4, 4);
    let mut lead = cell.lead(false);
    cell.make_crash(task(1, 0, 0), CrashRule { runs: 2, ..CrashRule::default() });
    cell.submit_led(&mut lead, 1, job(vec![step(1, 1)]));
    turns(&mut cell, &mut lead, TURNS_OF_SEVERAL_CRASHES);
    cell.end_all();
    turns(&mut cell, &mut lead, 5);
    assert_eq!(cell.progress(1).state, JobState::Completed);
    assert_eq!(cell.starts_of(task(1, 0, 0)), 3);
}

// Every crash hits a worker that is full of other tasks: none of their jobs fails, and each task runs again.
#[test]
fn tasks_beside_many_that_crash_their_workers_complete_and_none_is_given_up() {
    let mut cell = FakeCell::new(16, 8);
    let mut lead = cell.lead(false);
    const CRASHING_JOBS: u64 = 12;
    const JOBS: u64 = 100;
    for id in 0..CRASHING_JOBS {
        let crash_rule = CrashRule { after: TimeSpan(20 + 150 * id), ..CrashRule::default() };
        cell.make_crash(task(id, 0, 0), crash_rule);
    }
    for id in 0..JOBS {
        cell.submit_led(&mut lead, id, job(vec![step(2, 1)]));
        turns(&mut cell, &mut lead, 10);
    }
    for _ in 0..40 {
        turns(&mut cell, &mut lead, 50);
        cell.end_older_than(TimeSpan(1_000));
    }
    for id in 0..JOBS {
        let expected = if id < CRASHING_JOBS { JobState::Failed } else { JobState::Completed };
        assert_eq!(cell.progress(id).state, expected, "job {id}");
    }
    let max_crashes = (0..CRASHING_JOBS).map(|id| cell.crashes_under(task(id, 0, 0))).max();
    assert_eq!(max_crashes, Some(3));
}

// A third of the workers crash together twice, as in a data hall without power: their tasks run again elsewhere.
#[test]
fn two_power_outages_of_a_data_hall_fail_no_job() {
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

// Two tasks ran on a worker when it crashed. In a cell of a single worker the second one waits for the first.
#[test]
fn suspects_of_one_crash_run_one_after_the_other_on_a_single_worker() {
    let mut cell = FakeCell::new(1, 4);
    let mut lead = cell.lead(false);
    start_job(&mut cell, &mut lead, 1);
    let holder = start_job(&mut cell, &mut lead, 2);
    cell.crash(holder, TimeSpan(1_000));
    turns(&mut cell, &mut lead, 100);
    let running = || [1, 2].map(|id| cell.place(task(id, 0, 0)).is_some());
    assert_eq!(running().into_iter().filter(|runs| *runs).count(), 1);
    for _ in 0..3 {
        cell.end_all();
        turns(&mut cell, &mut lead, 20);
    }
    assert_eq!([1, 2].map(|id| cell.progress(id).state), [JobState::Completed; 2]);
}

// All workers are full of short tasks, and more of them wait. A task that lost two workers gets a worker of its own.
#[test]
fn a_suspect_that_needs_a_worker_of_its_own_starts_in_time() {
    let mut cell = FakeCell::new(2, 4);
    let mut lead = cell.lead(false);
    for _ in 0..2 {
        if cell.starts_of(task(1, 0, 0)) == 0 {
            start_job(&mut cell, &mut lead, 1);
        }
        let holder = cell.place(task(1, 0, 0)).unwrap();
        cell.crash(holder, TimeSpan(500));
        turns(&mut cell, &mut lead, 60);
    }
    // The task runs alone by now. Its run is ended so that it has to start again in a full cell.
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
        assert!(waited < 100, "the suspect waited for {waited} turns");
    }
    let holder = cell.place(task(1, 0, 0)).unwrap();
    assert_eq!(cell.workers[holder].run_count(), 1);
    turns(&mut cell, &mut lead, 20);
    assert_eq!(cell.workers[holder].run_count(), 1);
}

#[test]
fn a_job_fails_as_soon_as_its_third_crash_is_detected() {
    let mut cell = FakeCell::new(4, 4);
    let mut lead = cell.lead(false);
    cell.make_crash(task(1, 0, 0), CrashRule::default());
    cell.submit_led(&mut lead, 1, job(vec![step(1, 1)]));
    while cell.crashes_under(task(1, 0, 0)) < 3 {
        turns(&mut cell, &mut lead, 1);
    }
    // The next life starts after 3 s.
    turns(&mut cell, &mut lead, 153);
    assert_eq!(cell.progress(1).state, JobState::Failed);
    assert!(
        cell.progress(1).crash_histories.is_empty(),
        "crash histories of an ended job are dropped"
    );
}

#[test]
fn progress_of_earlier_versions_is_decoded() {
    let progress = JobProgress { may_have_started: true, ..JobProgress::default() };
    let record = CellRecord::Progress(progress);
    let mut earlier = record.encode();
    // The list of crash histories is the last field, and is empty.
    assert_eq!(earlier.pop(), Some(0));
    let key = record.key(JobId(7));
    assert_eq!(CellRecord::decode(&key, &earlier).unwrap(), (JobId(7), record.clone()));
    assert_eq!(CellRecord::decode(&key, &record.encode()).unwrap(), (JobId(7), record));
    assert!(CellRecord::decode(&key, &earlier[..1]).is_err());
}

// Where workers crash by themselves, a single crash of a worker that a suspect has for itself may be a coincidence.
#[test]
fn one_exclusive_crash_is_no_proof_where_workers_crash_by_themselves() {
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
        // Other tasks run beside the suspect when its first two workers crash.
        cell.submit_led(&mut lead, id, job(vec![step(40, 1)]));
        turns(&mut cell, &mut lead, 10);
        let holder = cell.place(task(1, 0, 0)).unwrap();
        assert!(cell.workers[holder].run_count() > 1);
        cell.crash(holder, TimeSpan(500));
        turns(&mut cell, &mut lead, 60);
    }
    cell.end_older_than(TimeSpan(0));
    for known in 3..5 {
        turns(&mut cell, &mut lead, 20);
        cell.end_others(1);
        turns(&mut cell, &mut lead, 100);
        assert_eq!(cell.progress(1).state, JobState::Running, "{known} crashes");
        let holder = cell.place(task(1, 0, 0)).unwrap();
        cell.crash(holder, TimeSpan(500));
        turns(&mut cell, &mut lead, 60);
    }
    assert_eq!(cell.progress(1).state, JobState::Failed);
}

// The entry of a crashed worker disappears after some seconds, and its address is not polled any more. The next life
// reveals the crash by answering there.
#[test]
fn the_next_life_reveals_a_crash_though_the_crashed_life_is_not_polled() {
    let mut cell = FakeCell::new(4, 4);
    let mut lead = cell.lead(false);
    let holder = start_job(&mut cell, &mut lead, 1);
    cell.crash(holder, TimeSpan(9_000));
    turns(&mut cell, &mut lead, 225);
    cell.workers[holder].unlisted = true;
    turns(&mut cell, &mut lead, 195);
    assert_eq!(crash_count(&cell, 1), 0);
    turns(&mut cell, &mut lead, 60);
    assert_eq!(crash_count(&cell, 1), 1);
}

// A start is lost on its way to a worker that is cut off, and the lease lapses. The worker lists neither the run nor an
// end.
#[test]
fn a_worker_that_never_got_a_start_is_no_crash_of_its_task() {
    let mut cell = FakeCell::new(2, 4);
    let mut lead = cell.lead(false);
    turns(&mut cell, &mut lead, 5);
    cell.workers.iter_mut().for_each(|worker| worker.cut = true);
    cell.submit_led(&mut lead, 1, job(vec![step(1, 1)]));
    lead.schedule(cell.now);
    for order in lead.take_orders() {
        cell.carry_out(&mut lead, &order);
    }
    turns(&mut cell, &mut lead, TURNS_PAST_LEASES);
    assert!(!cell.progress(1).crash_histories.is_empty(), "a crash of the worker is unresolved");
    cell.workers.iter_mut().for_each(|worker| worker.cut = false);
    turns(&mut cell, &mut lead, 50);
    assert!(cell.progress(1).crash_histories.is_empty(), "{:?}", cell.progress(1).crash_histories);
    assert!(cell.place(task(1, 0, 0)).is_some());
}

// Starts sent to workers that were already down, and never answered: the task may never have run there.
#[test]
fn crashes_under_runs_that_were_never_seen_are_no_proof() {
    let crash = |number: u64, seen: bool| WorkerCrash {
        life: format!("w{number}").as_str().into(),
        alone: true,
        seen,
        at_unix_ms: number,
    };
    let after = |seen: [bool; 3]| {
        let mut history = CrashHistory::default();
        for (number, seen) in seen.into_iter().enumerate() {
            history.note_crash(crash(number as u64, seen));
        }
        history
    };
    assert!(!after([false, false, false]).is_crash_cause(1));
    assert!(!after([true, false, true]).is_crash_cause(1));
    assert!(after([true, true, true]).is_crash_cause(1));
    // Three crashes without runs of other jobs are not enough where four are required.
    assert!(!after([true, true, true]).is_crash_cause(4));
}

// A worker is unreachable, and its leases have lapsed. A faulty entry lists it at the address of another worker: the
// next lead polls that address and gets the answer of the other worker. The worker itself is alive and has not crashed.
#[test]
fn another_life_at_a_wrong_address_is_no_crash() {
    let mut cell = FakeCell::new(3, 4);
    let mut lead = cell.lead(false);
    let holder = start_job(&mut cell, &mut lead, 1);
    cell.workers[holder].cut = true;
    turns(&mut cell, &mut lead, TURNS_PAST_LEASES);
    assert!(!cell.progress(1).crash_histories.is_empty(), "a crash of the worker is unresolved");
    cell.misplace(holder, (holder + 1) % 3);
    let mut next = cell.lead(true);
    next.note_fenced(cell.now);
    turns(&mut cell, &mut next, 50);
    assert_eq!(crash_count(&cell, 1), 0);
}

/// Sends a start to a worker that is already down, and runs turns until the lead learns of the next life there.
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
    let holder = cell.number(lead, start.worker);
    cell.workers[holder].cut = true;
    cell.carry_out(lead, &order);
    cell.discard_late_starts();
    cell.crash(holder, TimeSpan(500));
    cell.workers[holder].cut = false;
    turns(cell, lead, 60);
}

// Guards against failing a job under which no worker crashed. Three starts of a task go to workers that are already
// down. Each stays unanswered, and the next life at the address shows that the worker has crashed. Blamed on the task,
// these crashes gave `"msg":"crash counted","seen":false,"count":3`, and after two more starts that ended otherwise
// `"msg":"task given up"`.
#[test]
fn unanswered_starts_give_up_no_task() {
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

// Whichever of its starts stay unanswered, a task that crashes each of its workers is given up after the allowed number
// of starts: three crashes and two further starts.
#[test]
fn a_task_that_crashes_each_worker_is_given_up_however_many_answers_are_lost() {
    const LOSSES: u32 = 5;
    for answered_bits in 0..1_u32 << LOSSES {
        let mut history = CrashHistory::default();
        let mut losses = 0;
        while !history.is_crash_cause(1) {
            assert!(
                losses < LOSSES,
                "starts answered {answered_bits:05b}: not given up after {losses} crashes"
            );
            history.count_start();
            let answered = answered_bits & (1 << losses) != 0;
            let crash = WorkerCrash {
                life: format!("w{losses}").as_str().into(),
                alone: true,
                seen: answered,
                at_unix_ms: u64::from(losses),
            };
            match answered {
                true => history.note_crash(crash),
                false => history.note_unanswered(crash),
            };
            losses += 1;
        }
    }
}
