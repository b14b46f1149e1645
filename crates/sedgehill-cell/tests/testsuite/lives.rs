//! Workers that restart under the same id.
//!
//! Guards against ends that are acknowledged before the lead has read them. A worker counts its ends anew in each
//! life. A lead that keeps the number of the last end that it has read by the id of the worker acknowledges ends of the
//! new life that it has not read, until that life has counted past the number of the earlier one. After a third of the
//! workers of a cell had restarted at the same time, tasks that had ended as done were taken as lost and started again.
//!
//! All these losses had the same reason and were on restarted workers. The report that listed neither the run nor its
//! end had waited its whole 700 ms for an end, so the worker had none left to list:
//!
//! ```text
//! 6.139 to 6.964  run 1 of the task on i-ee3a4c7fa5, which began at 5.824: done
//! 7.265           run 2 of the task begins
//! 9.404           run lost reason="not listed" worker=i-ee3a4c7fa5 listed_from_ms_ago=1196 asked_ms_ago=702
//! ```

use sedgehill_cell::ids::{LifeStart, WorkerLife};
use sedgehill_cell::job::AdvicePolicy;
use sedgehill_cell::progress::JobState;
use sedgehill_cell::scheduler::{
    CellOrder, Scheduler, StartOrder, WorkerAnswer, WorkerEntry, WorkerRoster,
};
use sedgehill_core::units::{ResourceSet, TimeSpan};

use crate::fake::{CrashRule, FakeCell, job, step, task, worker_entry};

#[test]
fn ends_of_a_restarted_worker_are_read() {
    let mut cell = FakeCell::with_lasting_ids(1, 8);
    let mut lead = cell.lead(false);
    run_to_end(&mut cell, &mut lead, 1, 8);
    assert_eq!(cell.progress(1).state, JobState::Completed);
    cell.restart_worker(0);
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
    cell.make_crash(task(1, 0, 0), CrashRule { back: TimeSpan(500), ..CrashRule::default() });
    cell.submit_led(&mut lead, 1, job(vec![step(1, 1)]));
    cell.submit_led(&mut lead, 2, job(vec![step(6, 1)]));
    cell.turns(&mut lead, 1_000);
    assert_eq!(cell.progress(1).state, JobState::Failed);
    assert_eq!(cell.crashes_under(task(1, 0, 0)), 3);
}

// A lease counts on the worker's clock. The clock of a new life starts behind that of the earlier life. With the
// readings of the earlier clock, the lead would request leases that end far later than it assumes.
#[test]
fn leases_use_the_clock_of_the_life_that_answers() {
    let mut cell = FakeCell::with_lasting_ids(2, 4);
    let mut lead = cell.lead(false);
    cell.turns(&mut lead, 50);
    cell.restart_worker(0);
    cell.restart_worker(1);
    cell.turns(&mut lead, 60);
    cell.submit_led(&mut lead, 1, job(vec![step(1, 1)]));
    cell.turns(&mut lead, 5);
    let holder = cell.place(task(1, 0, 0)).unwrap();
    cell.workers[holder].cut = true;
    cell.turns(&mut lead, 800);
    assert_eq!(cell.starts_of(task(1, 0, 0)), 2);
}

// The entry of the earlier life is draining. If the lead kept that for the next life, it would never get work.
#[test]
fn a_worker_that_drained_and_restarted_gets_work() {
    let mut cell = FakeCell::with_lasting_ids(1, 4);
    let mut lead = cell.lead(false);
    cell.turns(&mut lead, 30);
    cell.workers[0].entry.draining = true;
    cell.turns(&mut lead, 30);
    cell.restart_worker(0);
    cell.workers[0].entry.draining = false;
    cell.turns(&mut lead, 60);
    cell.submit_led(&mut lead, 1, job(vec![step(1, 1)]));
    cell.turns(&mut lead, 10);
    assert_eq!(cell.starts_of(task(1, 0, 0)), 1);
}

// An answer of the advice service is about one life. A worker that restarts, while a question about it is under way or
// later, is asked about again, and no start carries a ticket of the earlier life.
#[test]
fn tickets_of_an_earlier_life_are_not_used() {
    let policy =
        AdvicePolicy { per_question_us: 5_600, per_worker_us: 80, valid: TimeSpan(60_000) };
    let mut cell = FakeCell::with_lasting_ids(1, 4);
    let mut lead = cell.lead(false);
    cell.turns(&mut lead, 30);
    let mut record = job(vec![step(2, 3)]);
    record.policy.advice = Some(policy);
    cell.submit_led(&mut lead, 1, record);
    let ticket = |orders: Vec<CellOrder>| {
        orders.into_iter().find_map(|order| match order {
            CellOrder::Start(start) => start.ticket,
            _ => None,
        })
    };
    let mut asked = None;
    for _ in 0..5 {
        cell.now.0 += 20;
        cell.poll_workers(&mut lead);
        cell.record(&mut lead);
        lead.schedule(cell.now);
        for order in lead.take_orders() {
            if let CellOrder::Ask(question) = order {
                asked = Some(question);
            }
        }
    }
    cell.restart_worker(0);
    cell.now.0 += 20;
    cell.poll_workers(&mut lead);
    let answer = vec![("w0".into(), "of the earlier life".into())];
    lead.advice_answered(&asked.unwrap(), Some(answer), policy.valid, cell.now);
    let mut used = Vec::new();
    for _ in 0..60 {
        used.extend(ticket(cell.turn(&mut lead)));
    }
    assert_eq!(used.iter().map(|ticket| &**ticket).collect::<Vec<_>>(), ["ticket"]);
    assert_eq!(cell.starts_of(task(1, 0, 0)), 1);
}

// A request for a report of the earlier life reaches the next life seconds late, after that has ended a run of its own.
// If it accepted the acknowledgement, it would forget an end that the lead has not read.
#[test]
fn a_late_acknowledgement_is_refused_by_the_next_life() {
    let mut cell = FakeCell::with_lasting_ids(1, 8);
    let mut lead = cell.lead(false);
    run_to_end(&mut cell, &mut lead, 1, 8);
    let earlier = cell.key_of(&lead, 0);
    let late = lead.hold_order(earlier, true, cell.now);
    assert_eq!(late.acknowledged, 8);
    cell.restart_worker(0);
    cell.turns(&mut lead, 60);
    cell.submit_led(&mut lead, 2, job(vec![step(2, 1)]));
    cell.turns(&mut lead, 3);
    cell.end_all();
    cell.hold(0, &late);
    cell.turns(&mut lead, 20);
    assert_eq!(cell.progress(2).state, JobState::Completed);
    assert_eq!(cell.starts_of(task(2, 0, 0)), 1);
}

// A worker is back before its restart is noticed. A start reaches the next life, and its run ends there. The next
// request for a report would acknowledge that end by the number of the earlier life. Seen with real boxes once in fifty
// runs of six seconds: the lead had no report of the worker for 1.7 s, while its starts were answered.
#[test]
fn an_end_on_a_life_discovered_by_a_start_is_read() {
    let mut cell = FakeCell::with_lasting_ids(1, 8);
    let mut lead = cell.lead(false);
    run_to_end(&mut cell, &mut lead, 1, 8);
    cell.submit_led(&mut lead, 2, job(vec![step(1, 1)]));
    cell.restart_worker(0);
    lead.schedule(cell.now);
    for order in lead.take_orders() {
        cell.carry_out(&mut lead, &order);
    }
    assert_eq!(cell.starts_of(task(2, 0, 0)), 1);
    cell.end_all();
    cell.turns(&mut lead, 20);
    assert_eq!(cell.progress(2).state, JobState::Completed);
    assert_eq!(cell.starts_of(task(2, 0, 0)), 1);
}

// An unanswered start to the earlier life reaches the next life after the task was started elsewhere.
#[test]
fn a_late_start_is_refused_by_the_next_life() {
    let mut cell = FakeCell::with_lasting_ids(2, 4);
    let mut lead = cell.lead(false);
    cell.turns(&mut lead, 30);
    cell.submit_led(&mut lead, 1, job(vec![step(1, 1)]));
    let order = next_start(&mut cell, &mut lead);
    lead.start_answered(&order, WorkerAnswer::Unknown, cell.now);
    let number = cell.number(&lead, order.worker);
    cell.restart_worker(number);
    cell.turns(&mut lead, 100);
    assert!(cell.place(task(1, 0, 0)).is_some());
    cell.start(number, &order);
    cell.turns(&mut lead, 20);
    assert_eq!(cell.starts_of(task(1, 0, 0)), 1);
}

// The next life carries out a start to the earlier life before its first report: the run is adopted, not started twice.
#[test]
fn a_start_that_the_next_life_carries_out_before_its_first_report_is_adopted() {
    let mut cell = FakeCell::with_lasting_ids(2, 4);
    let mut lead = cell.lead(false);
    cell.turns(&mut lead, 30);
    cell.submit_led(&mut lead, 1, job(vec![step(1, 1)]));
    let order = next_start(&mut cell, &mut lead);
    let number = cell.number(&lead, order.worker);
    cell.restart_worker(number);
    // The lead learns of the next life and schedules, but has not yet got its report.
    cell.poll_worker(&mut lead, order.worker);
    lead.schedule(cell.now);
    for order in lead.take_orders() {
        cell.carry_out(&mut lead, &order);
    }
    cell.start(number, &order);
    lead.start_answered(&order, WorkerAnswer::Unknown, cell.now);
    cell.turns(&mut lead, 20);
    cell.end_all();
    cell.turns(&mut lead, 20);
    assert_eq!(cell.progress(1).state, JobState::Completed);
    assert_eq!(cell.starts_of(task(1, 0, 0)), 1);
}

// The capacity of the earlier life says nothing about that of the next life.
#[test]
fn a_worker_that_restarts_smaller_gets_work_by_its_new_capacity() {
    let mut cell = FakeCell::with_lasting_ids(1, 8);
    let mut lead = cell.lead(false);
    cell.turns(&mut lead, 30);
    cell.restart_worker(0);
    cell.workers[0].entry.capacity = worker_entry(0, 2).capacity;
    cell.submit_led(&mut lead, 1, job(vec![step(8, 1)]));
    cell.turns(&mut lead, 60);
    assert_eq!(cell.workers[0].run_count(), 2);
}

// The store lists another life under the id, which has not answered yet: only one of the two lives exists.
#[test]
fn a_worker_gets_no_work_while_another_life_is_listed_under_its_id() {
    let mut cell = FakeCell::with_lasting_ids(1, 8);
    let mut lead = cell.lead(false);
    cell.turns(&mut lead, 30);
    let entry = cell.workers[0].entry.clone();
    let life = WorkerLife { start: Some(LifeStart(cell.now.0)), ..entry.life.clone() };
    let other = WorkerEntry { life, ..entry.clone() };
    lead.update_workers(vec![other], &[], cell.now);
    cell.submit_led(&mut lead, 1, job(vec![step(1, 1)]));
    lead.schedule(cell.now);
    assert!(lead.take_orders().is_empty());
    // The entry of the other life was faulty.
    lead.update_workers(vec![entry], &[], cell.now);
    cell.turns(&mut lead, 5);
    assert_eq!(cell.starts_of(task(1, 0, 0)), 1);
}

/// Submits a job and runs turns until its tasks have started and ended and the lead has read the ends.
fn run_to_end(cell: &mut FakeCell, lead: &mut Scheduler, id: u64, tasks: u16) {
    cell.submit_led(lead, id, job(vec![step(tasks, 1)]));
    cell.turns(lead, 3);
    cell.end_all();
    cell.turns(lead, 3);
}

/// Runs turns until the lead orders a start, and returns the order without carrying it out.
fn next_start(cell: &mut FakeCell, lead: &mut Scheduler) -> StartOrder {
    for _ in 0..100 {
        cell.now.0 += 20;
        cell.poll_workers(lead);
        cell.record(lead);
        lead.schedule(cell.now);
        for order in lead.take_orders() {
            if let CellOrder::Start(order) = order {
                return order;
            }
        }
    }
    panic!("no start was ordered");
}

/// Returns a roster with a start time of a life, and the same roster without it.
fn rosters() -> (WorkerRoster, WorkerRoster) {
    let life = WorkerLife { id: "w1".into(), start: Some(LifeStart(1_775_841_204_824)) };
    let restarted = WorkerEntry { life, ..worker_entry(1, 4) };
    let with = |workers| WorkerRoster { workers, shrunk: vec![(0, ResourceSet::default())] };
    (with(vec![worker_entry(0, 4), restarted]), with(vec![worker_entry(0, 4), worker_entry(1, 4)]))
}

#[test]
fn rosters_with_start_times_are_compatible_with_earlier_releases() {
    #[derive(serde::Serialize, serde::Deserialize)]
    struct EarlierEntry {
        life: String,
        address: std::net::SocketAddr,
        pool: String,
        draining: bool,
        capacity: ResourceSet,
        labels: Vec<String>,
    }
    let (roster, without) = rosters();
    assert_eq!(WorkerRoster::decode(&roster.encode()).unwrap(), roster);
    type EarlierRoster = (Vec<EarlierEntry>, Vec<(u32, ResourceSet)>);
    let earlier: EarlierRoster = postcard::from_bytes(&roster.encode()).unwrap();
    assert_eq!(earlier.0[1].life, "w1");
    let read = WorkerRoster::decode(&postcard::to_stdvec(&earlier).unwrap()).unwrap();
    assert_eq!(read, without);
    let oldest = postcard::to_stdvec(&earlier.0).unwrap();
    assert_eq!(WorkerRoster::decode(&oldest).unwrap().workers, without.workers);
}

#[test]
fn a_life_stored_by_an_earlier_release_is_decoded() {
    let life = WorkerLife { id: "w1".into(), start: Some(LifeStart(7)) };
    let stored = postcard::to_stdvec(&life).unwrap();
    assert_eq!(postcard::from_bytes::<WorkerLife>(&stored).unwrap(), life);
    let earlier = postcard::to_stdvec("w1").unwrap();
    assert_eq!(postcard::from_bytes::<WorkerLife>(&earlier).unwrap(), "w1".into());
}
