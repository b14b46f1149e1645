//! Basic decisions of the lead: starts, ends, attempts, gangs, silent workers and changes of the lead.

use sedgehill_cell::ids::JobId;
use sedgehill_cell::progress::JobState;
use sedgehill_cell::scheduler::{CellEvent, CellOrder, RunEnd, WorkerKey};

use sedgehill_core::units::TimeSpan;

use crate::fake::{FakeCell, job, step, task};

#[test]
fn a_job_runs_and_its_ends_are_acknowledged_once_recorded() {
    let mut cell = FakeCell::new(2, 16);
    let mut lead = cell.lead(false);
    cell.submit(&mut lead, 1, job(vec![step(2, 1)]));
    cell.turns(&mut lead, 3);
    assert_eq!(cell.starts.len(), 2);
    cell.end_anywhere(task(1, 0, 0), RunEnd::Done);
    cell.end_anywhere(task(1, 0, 1), RunEnd::Done);
    cell.poll_workers(&mut lead);
    // The lead has read the ends, but they are not in the store yet, so the worker must go on listing them.
    cell.poll_workers(&mut lead);
    assert_eq!(cell.listed_ends(0) + cell.listed_ends(1), 2);
    cell.turns(&mut lead, 2);
    assert_eq!(cell.listed_ends(0) + cell.listed_ends(1), 0);
    assert_eq!(cell.progress(1).state, JobState::Completed);
    assert_eq!(lead.open_jobs(), 0);
}

#[test]
fn an_end_listed_to_two_leads_counts_as_one_attempt() {
    let mut cell = FakeCell::new(1, 16);
    let mut lead = cell.lead(false);
    cell.submit(&mut lead, 1, job(vec![step(1, 1)]));
    cell.turns(&mut lead, 3);
    cell.end_anywhere(task(1, 0, 0), RunEnd::Failed);
    cell.poll_workers(&mut lead);
    cell.record(&mut lead);
    assert_eq!(cell.progress(1).tasks[0].failed_runs.len(), 1);
    // The lead is lost before it acknowledges the end, so the worker lists the end to the next lead.
    let mut next = cell.lead(false);
    cell.poll_workers(&mut next);
    cell.record(&mut next);
    assert_eq!(cell.progress(1).tasks[0].failed_runs.len(), 1);
    cell.turns(&mut next, 4);
    cell.end_anywhere(task(1, 0, 0), RunEnd::Failed);
    cell.turns(&mut next, 2);
    assert_eq!(cell.progress(1).tasks[0].failed_runs.len(), 2);
    assert_ne!(cell.progress(1).state, JobState::Failed);
}

#[test]
fn a_job_fails_after_as_many_failed_runs_as_its_queue_allows() {
    let mut cell = FakeCell::new(3, 16);
    let mut lead = cell.lead(false);
    cell.submit(&mut lead, 1, job(vec![step(1, 1)]));
    for _ in 0..3 {
        cell.turns(&mut lead, 5);
        cell.end_anywhere(task(1, 0, 0), RunEnd::Failed);
    }
    cell.turns(&mut lead, 10);
    assert_eq!(cell.progress(1).state, JobState::Failed);
    assert_eq!(cell.starts.len(), 3);
}

#[test]
fn a_step_waits_for_the_steps_before_it() {
    let mut cell = FakeCell::new(1, 16);
    let mut lead = cell.lead(false);
    let mut second = step(1, 1);
    second.after = vec![0];
    cell.submit(&mut lead, 1, job(vec![step(1, 1), second]));
    cell.turns(&mut lead, 10);
    assert_eq!(cell.starts.len(), 1);
    cell.end_anywhere(task(1, 0, 0), RunEnd::Done);
    cell.turns(&mut lead, 5);
    assert!(cell.place(task(1, 1, 0)).is_some());
}

#[test]
fn a_gang_starts_whole_or_not_at_all() {
    let mut cell = FakeCell::new(2, 4);
    let mut lead = cell.lead(false);
    let mut gang = step(3, 2);
    gang.gang = true;
    cell.submit(&mut lead, 1, job(vec![step(3, 2)]));
    cell.turns(&mut lead, 3);
    cell.submit(&mut lead, 2, job(vec![gang]));
    cell.turns(&mut lead, 10);
    assert_eq!(cell.starts.len(), 3, "one place is free, and the gang needs three");
    for index in 0..3 {
        cell.end_anywhere(task(1, 0, index), RunEnd::Done);
    }
    cell.turns(&mut lead, 5);
    let runs: Vec<_> = cell.starts[3..].iter().map(|(_, run, _)| *run).collect();
    assert_eq!(runs.len(), 3);
    assert!(runs.iter().all(|run| *run == runs[0]), "the members share a run");
    cell.end_anywhere(task(2, 0, 1), RunEnd::Done);
    cell.turns(&mut lead, 3);
    assert_eq!(cell.progress(2).state, JobState::Completed, "the end of one member ends the gang");
}

#[test]
fn a_start_without_an_answer_is_settled_before_the_task_runs_elsewhere() {
    let mut cell = FakeCell::new(2, 16);
    let mut lead = cell.lead(false);
    cell.turns(&mut lead, 2);
    for worker in &mut cell.workers {
        worker.mute = true;
    }
    cell.submit(&mut lead, 1, job(vec![step(1, 1)]));
    cell.record(&mut lead);
    cell.now.0 += 20;
    lead.schedule(cell.now);
    for order in lead.take_orders() {
        cell.carry_out(&mut lead, &order);
    }
    assert_eq!(cell.starts.len(), 1, "the start was carried out, but its answer was lost");
    for worker in &mut cell.workers {
        worker.mute = false;
    }
    // The fake panics if the task ever runs in two places.
    cell.turns(&mut lead, 200);
    let starts = cell.starts.len();
    assert!(starts >= 2, "the task runs again once the first run was stopped");
}

#[test]
fn tasks_of_a_silent_worker_wait_until_its_lease_has_ended() {
    let mut cell = FakeCell::new(2, 16);
    let mut lead = cell.lead(false);
    cell.submit(&mut lead, 1, job(vec![step(1, 1)]));
    cell.turns(&mut lead, 3);
    let number = cell.place(task(1, 0, 0)).unwrap();
    cell.workers[number].cut = true;
    // The fake ends a lapsed run when its worker is called, which never happens to a worker that is cut off. The fake
    // panics if the task starts elsewhere while it runs there, so the test ends the run after 4 s.
    let begin = cell.now;
    while cell.starts.len() == 1 {
        cell.now.0 += 20;
        cell.list(&mut lead);
        cell.read_halls(&mut lead);
        for number in 0..2 {
            if cell.now.0 - begin.0 > 4_000 {
                cell.workers[number].expire_for_test();
            }
        }
        cell.poll_workers(&mut lead);
        cell.record(&mut lead);
        lead.schedule(cell.now);
        for order in lead.take_orders() {
            cell.carry_out(&mut lead, &order);
        }
        assert!(cell.now.0 - begin.0 < 10_000, "the task did not run again");
    }
    assert!(cell.now.0 - begin.0 >= 4_000);
}

#[test]
fn a_new_lead_starts_no_earlier_job_while_a_worker_is_silent() {
    let mut cell = FakeCell::new(2, 16);
    let mut lead = cell.lead(false);
    cell.submit(&mut lead, 1, job(vec![step(1, 1)]));
    cell.turns(&mut lead, 3);
    let number = cell.place(task(1, 0, 0)).unwrap();
    cell.workers[number].cut = true;
    let mut next = cell.lead(true);
    cell.submit(&mut next, 2, job(vec![step(1, 1)]));
    cell.turns(&mut next, 10);
    assert_eq!(cell.starts.len(), 2, "no earlier lead can have started the second job");
    let begin = cell.now;
    while cell.now.0 - begin.0 < 2_000 {
        cell.turn(&mut next);
    }
    assert_eq!(cell.starts.len(), 2);
    cell.workers[number].cut = false;
    cell.turns(&mut next, 5);
    assert!(next.is_settled());
    assert_eq!(cell.starts.len(), 2, "the next lead found the run");
}

#[test]
fn a_draining_worker_gets_no_new_work() {
    let mut cell = FakeCell::new(2, 16);
    let mut lead = cell.lead(false);
    cell.workers[0].entry.draining = true;
    cell.list(&mut lead);
    cell.submit(&mut lead, 1, job(vec![step(20, 1)]));
    cell.turns(&mut lead, 20);
    assert_eq!(cell.starts.len(), 16);
    assert!(cell.starts.iter().all(|(_, _, life)| *life == cell.workers[1].entry.life));
}

#[test]
fn a_cancelled_job_is_stopped_and_starts_nothing_more() {
    let mut cell = FakeCell::new(1, 2);
    let mut lead = cell.lead(false);
    cell.submit(&mut lead, 1, job(vec![step(4, 1)]));
    cell.turns(&mut lead, 5);
    assert_eq!(cell.starts.len(), 2);
    lead.cancel_job(JobId(1), cell.now);
    let orders = cell.turn(&mut lead);
    let stops = orders.iter().filter(|order| matches!(order, CellOrder::Stop(_))).count();
    assert_eq!(stops, 2);
    cell.turns(&mut lead, 10);
    assert_eq!(cell.starts.len(), 2);
    assert_eq!(cell.progress(1).state, JobState::Cancelled);
}

#[test]
fn failed_runs_are_counted_in_whatever_order_a_new_lead_reads_them() {
    let mut cell = FakeCell::new(2, 16);
    let mut lead = cell.lead(false);
    cell.submit(&mut lead, 1, job(vec![step(1, 1)]));
    cell.turns(&mut lead, 3);
    // The lead sees both ends and is lost before either is recorded.
    for _ in 0..2 {
        cell.end_anywhere(task(1, 0, 0), RunEnd::Failed);
        for _ in 0..10 {
            cell.now.0 += 20;
            cell.poll_workers(&mut lead);
            lead.schedule(cell.now);
            for order in lead.take_orders() {
                cell.carry_out(&mut lead, &order);
            }
        }
    }
    assert_eq!(cell.starts.len(), 3);
    let later = cell.starts[1].2 != cell.workers[0].entry.life;
    let mut next = cell.lead(false);
    // The next lead reads the report with the later end first.
    let order = if later { [1, 0] } else { [0, 1] };
    for number in order {
        cell.poll_worker(&mut next, WorkerKey(number));
    }
    cell.record(&mut next);
    assert_eq!(cell.progress(1).tasks[0].failed_runs.len(), 2);
}

#[test]
fn a_worker_with_an_unknown_run_gets_no_work_until_the_run_ends() {
    let mut cell = FakeCell::new(1, 4);
    let mut lead = cell.lead(false);
    cell.submit(&mut lead, 1, job(vec![step(1, 4)]));
    cell.turns(&mut lead, 3);
    // The job is over by its record, so the next lead does not know the resources of its run.
    cell.store.get_mut(&JobId(1)).unwrap().1.state = JobState::Failed;
    let mut next = cell.lead(false);
    cell.submit(&mut next, 2, job(vec![step(1, 4)]));
    for _ in 0..5 {
        cell.now.0 += 20;
        cell.poll_workers(&mut next);
        cell.record(&mut next);
        next.schedule(cell.now);
        let starts =
            next.take_orders().into_iter().filter(|order| matches!(order, CellOrder::Start(_)));
        assert_eq!(starts.count(), 0, "the worker is full");
    }
    cell.end_anywhere(task(1, 0, 0), RunEnd::Stopped);
    cell.turns(&mut next, 5);
    assert!(cell.place(task(2, 0, 0)).is_some());
}

#[test]
fn a_worker_that_fails_its_runs_is_suspended_and_then_tried_with_one_run() {
    let mut cell = FakeCell::new(1, 16);
    let mut lead = cell.lead(false);
    for id in 1..=3 {
        cell.submit(&mut lead, id, job(vec![step(1, 1)]));
    }
    cell.turns(&mut lead, 3);
    for id in 1..=3 {
        cell.end_anywhere(task(id, 0, 0), RunEnd::Failed);
    }
    cell.turns(&mut lead, 50);
    assert_eq!(cell.starts.len(), 3, "a suspended worker gets no start");
    cell.turns(&mut lead, 100);
    assert_eq!(cell.starts.len(), 4, "the worker is tried with one run");
    let trial = cell.starts[3].0;
    cell.end_anywhere(trial, RunEnd::Done);
    cell.turns(&mut lead, 5);
    assert_eq!(cell.starts.len(), 6, "the worker gets work again");
}

#[test]
fn overdue_runs_are_moved_off_a_slow_worker() {
    let mut cell = FakeCell::new(2, 16);
    let mut lead = cell.lead(false);
    cell.submit(&mut lead, 1, job(vec![step(3, 1)]));
    cell.turns(&mut lead, 3);
    let slow = cell.place(task(1, 0, 0)).unwrap();
    assert!((0..3).all(|index| cell.place(task(1, 0, index)) == Some(slow)));
    // The estimate of each task is 1 s, and none makes progress.
    cell.turns(&mut lead, 400);
    for index in 0..3 {
        assert_eq!(cell.place(task(1, 0, index)), Some(1 - slow), "task {index} was moved");
    }
}

#[test]
fn a_worker_that_the_store_lists_again_gets_work_again() {
    let mut cell = FakeCell::new(1, 16);
    let mut lead = cell.lead(false);
    cell.turns(&mut lead, 3);
    cell.workers[0].unlisted = true;
    cell.list(&mut lead);
    cell.turns(&mut lead, 150);
    cell.submit(&mut lead, 1, job(vec![step(1, 1)]));
    cell.turns(&mut lead, 10);
    assert!(cell.starts.is_empty(), "the worker has been unlisted for longer than an outage lasts");
    cell.workers[0].unlisted = false;
    cell.list(&mut lead);
    // The worker has left the roster meanwhile, and returns to it with the list read after its first answer.
    cell.turns(&mut lead, 30);
    assert_eq!(cell.starts.len(), 1);
}

#[test]
fn a_worker_that_answers_gets_work_while_its_entry_is_briefly_missing() {
    let mut cell = FakeCell::new(1, 16);
    let mut lead = cell.lead(false);
    cell.turns(&mut lead, 3);
    cell.workers[0].unlisted = true;
    cell.list(&mut lead);
    cell.submit(&mut lead, 1, job(vec![step(1, 1)]));
    cell.turns(&mut lead, 10);
    assert_eq!(cell.starts.len(), 1);
}

#[test]
fn a_new_lead_finds_runs_on_workers_that_the_store_does_not_list() {
    let mut cell = FakeCell::new(2, 16);
    let mut lead = cell.lead(false);
    cell.submit(&mut lead, 1, job(vec![step(1, 1)]));
    cell.turns(&mut lead, 5);
    let number = cell.place(task(1, 0, 0)).unwrap();
    cell.workers[number].unlisted = true;
    let mut next = cell.lead(true);
    // The fake panics if the task starts a second time.
    cell.turns(&mut next, 20);
    assert_eq!(cell.starts.len(), 1);
    assert!(next.is_settled());
}

#[test]
fn a_later_lead_does_not_wait_for_a_worker_that_has_left() {
    let mut cell = FakeCell::new(2, 16);
    let mut lead = cell.lead(false);
    cell.turns(&mut lead, 3);
    cell.workers[0].unlisted = true;
    cell.workers[0].cut = true;
    cell.list(&mut lead);
    cell.submit(&mut lead, 1, job(vec![step(1, 1)]));
    cell.turns(&mut lead, 400);
    cell.list(&mut lead);
    cell.turns(&mut lead, 5);
    let mut next = cell.lead(true);
    cell.turns(&mut next, 5);
    assert!(next.is_settled());
}

#[test]
fn a_long_running_task_starts_again_after_failed_runs() {
    let mut cell = FakeCell::new(2, 16);
    let mut lead = cell.lead(false);
    let mut long_running = step(1, 1);
    long_running.long_running = true;
    cell.submit(&mut lead, 1, job(vec![long_running]));
    for _ in 0..6 {
        cell.turns(&mut lead, 10);
        cell.end_anywhere(task(1, 0, 0), RunEnd::Failed);
    }
    cell.turns(&mut lead, 200);
    assert!(cell.place(task(1, 0, 0)).is_some());
    assert_ne!(cell.progress(1).state, JobState::Failed);
}

#[test]
fn no_task_starts_before_the_record_that_its_job_may_have_started() {
    let mut cell = FakeCell::new(1, 16);
    let mut lead = cell.lead(false);
    cell.turns(&mut lead, 3);
    cell.submit(&mut lead, 1, job(vec![step(1, 1)]));
    for _ in 0..5 {
        cell.turn_unrecorded(&mut lead);
    }
    assert!(cell.starts.is_empty(), "a later lead would not know that the task may run");
    cell.turns(&mut lead, 2);
    assert_eq!(cell.starts.len(), 1);
}

#[test]
fn leads_that_start_from_the_same_records_use_different_runs() {
    let mut cell = FakeCell::new(2, 16);
    let mut lead = cell.lead(false);
    cell.submit(&mut lead, 1, job(vec![step(1, 1)]));
    cell.turns(&mut lead, 3);
    for _ in 0..2 {
        cell.end_anywhere(task(1, 0, 0), RunEnd::Failed);
        let mut next = cell.lead(false);
        for _ in 0..5 {
            cell.turn_unrecorded(&mut next);
        }
    }
    // The fake panics when a run begins a second time.
    assert_eq!(cell.starts.len(), 3);
    let mut last = cell.lead(false);
    cell.poll_workers(&mut last);
    cell.record(&mut last);
    assert_eq!(cell.progress(1).tasks[0].failed_runs.len(), 2);
}

#[test]
fn report_waits_are_short_while_calls_to_workers_get_lost() {
    let mut cell = FakeCell::new(40, 16);
    let mut lead = cell.lead(false);
    cell.turns(&mut lead, 20);
    let key = lead.add_roster(&cell.roster.clone(), cell.now).first().copied();
    assert_eq!(key, None, "all workers are polled");
    let polled = WorkerKey(0);
    let usual_wait = lead.hold_order(polled, true, cell.now).wait;
    // One call in ten is lost, at another worker each time.
    for round in 0..60 {
        cell.workers[round % 40].mute = round % 10 == 0;
        cell.now.0 += 20;
        cell.poll_worker(&mut lead, WorkerKey(round % 40));
        cell.workers[round % 40].mute = false;
        cell.poll_worker(&mut lead, WorkerKey(round % 40));
    }
    let lossy_wait = lead.hold_order(polled, true, cell.now).wait;
    assert!(
        lossy_wait.0 * 4 <= usual_wait.0,
        "usual wait {usual_wait}, wait with lost calls {lossy_wait}"
    );
    cell.turns(&mut lead, 20);
    assert_eq!(lead.hold_order(polled, true, cell.now).wait, usual_wait);
}

#[test]
fn an_unreachable_worker_does_not_shorten_the_report_waits_of_others() {
    let mut cell = FakeCell::new(10, 16);
    let mut lead = cell.lead(false);
    cell.turns(&mut lead, 20);
    let usual_wait = lead.hold_order(WorkerKey(0), true, cell.now).wait;
    cell.workers[3].cut = true;
    cell.turns(&mut lead, 50);
    assert_eq!(lead.hold_order(WorkerKey(0), true, cell.now).wait, usual_wait);
}

#[test]
fn a_report_after_an_answered_stop_settles_a_run_that_never_started() {
    let mut cell = FakeCell::new(2, 16);
    let mut lead = cell.lead(false);
    cell.turns(&mut lead, 2);
    cell.submit(&mut lead, 1, job(vec![step(1, 1)]));
    cell.record(&mut lead);
    for worker in &mut cell.workers {
        worker.cut = true;
    }
    cell.now.0 += 20;
    lead.schedule(cell.now);
    for order in lead.take_orders() {
        cell.carry_out(&mut lead, &order);
    }
    assert!(cell.starts.is_empty(), "the start has not arrived");
    let ordered =
        lead.take_events().into_iter().any(|event| matches!(event, CellEvent::Placed { .. }));
    assert!(ordered, "the start was sent");
    for worker in &mut cell.workers {
        worker.cut = false;
    }
    let begin = cell.now;
    while cell.starts.is_empty() {
        cell.turn(&mut lead);
        assert!(cell.now.since(begin) < TimeSpan(400), "the task waits too long");
    }
    // The fake panics if the late copy begins as well.
    cell.carry_out_late_starts();
}
