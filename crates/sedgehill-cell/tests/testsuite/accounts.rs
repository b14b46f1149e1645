//! Accounts of workers that overtake each other, or come late.

use sedgehill_cell::ids::FencingToken;
use sedgehill_cell::progress::JobState;
use sedgehill_cell::scheduler::{
    CellOrder, CellTiming, HoldReport, RunEnd, Scheduler, WorkerAnswer, WorkerKey, WorkerTime,
};
use sedgehill_core::units::Moment;

use crate::fake::{FakeCell, job, step, task, worker_entry};

const ONLY: WorkerKey = WorkerKey(0);

#[test]
fn an_overtaken_account_brings_no_ended_run_back() {
    let mut cell = FakeCell::new(1, 4);
    let mut lead = cell.lead(false);
    cell.submit(&mut lead, 1, job(vec![step(1, 1)]));
    cell.turns(&mut lead, 3);
    let sent = cell.now;
    let order = lead.hold_order(ONLY, true, sent);
    let older = cell.hold(0, &order);
    cell.end_anywhere(task(1, 0, 0), RunEnd::Failed);
    cell.now.0 += 10;
    cell.poll_workers(&mut lead);
    cell.now.0 += 10;
    let taken = lead.take_events().len();
    lead.hold_answered(ONLY, older, sent, cell.now);
    lead.schedule(cell.now.after(sedgehill_core::units::TimeSpan(100)));
    let starts =
        lead.take_orders().into_iter().filter(|order| matches!(order, CellOrder::Start(_)));
    assert_eq!(starts.count(), 1, "the task runs again, {taken} events before");
}

#[test]
fn an_end_in_an_account_that_was_given_up_settles_its_run() {
    let mut cell = FakeCell::new(1, 4);
    let mut lead = cell.lead(false);
    cell.submit(&mut lead, 1, job(vec![step(1, 1)]));
    cell.turns(&mut lead, 3);
    cell.end_anywhere(task(1, 0, 0), RunEnd::Done);
    let sent = cell.now;
    let order = lead.hold_order(ONLY, true, sent);
    let late = cell.hold(0, &order);
    lead.hold_answered(ONLY, WorkerAnswer::Unknown, sent, Moment(sent.0 + 800));
    cell.now.0 += 1_200;
    lead.hold_answered(ONLY, late, sent, cell.now);
    cell.record(&mut lead);
    assert_eq!(cell.progress(1).state, JobState::Completed);
}

#[test]
fn stops_that_are_not_answered_become_rarer() {
    let mut cell = FakeCell::new(1, 4);
    let mut lead = cell.lead(false);
    cell.submit(&mut lead, 1, job(vec![step(1, 1)]));
    cell.turns(&mut lead, 3);
    cell.cancel(&mut lead, 1);
    let mut stops = 0;
    for _ in 0..1_000 {
        cell.now.0 += 10;
        lead.schedule(cell.now);
        let orders = lead.take_orders();
        stops += orders.iter().filter(|order| matches!(order, CellOrder::Stop(_))).count();
    }
    assert!((5..=12).contains(&stops), "{stops} stops in 10 s");
}

/// A worker whose clock runs 2 % slow answers every 0.12 s. The lead kept to the first reading of that clock, so
/// the leases asked for grew by 20 ms a second. What the next lead waits for is reckoned from the
/// lease that was meant.
#[test]
fn leases_on_a_slow_clock_stay_as_long_as_meant() {
    let timing = CellTiming::default();
    let mut lead = Scheduler::take_over(timing.clone(), FencingToken(1), false, Moment(0));
    let keys = lead.update_workers(vec![worker_entry(0, 4)], &[], Moment(0));
    let worker_clock = |now: u64| WorkerTime(7_000_000 + now * 98 / 100);
    for now in (0..60_000).step_by(120) {
        let order = lead.hold_order(keys[0], true, Moment(now));
        if let Some(until) = order.lease_until {
            let asked = until.0 - worker_clock(now).0;
            assert!(asked <= timing.lease.0 + 30, "{asked} ms asked for after {now} ms");
        }
        let report = HoldReport { clock: worker_clock(now), ..HoldReport::default() };
        lead.hold_answered(keys[0], WorkerAnswer::Done(report), Moment(now), Moment(now));
    }
}
