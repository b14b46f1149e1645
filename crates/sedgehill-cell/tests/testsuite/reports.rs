//! Worker reports that arrive out of order or late.

use sedgehill_cell::ids::FencingToken;
use sedgehill_cell::progress::JobState;
use sedgehill_cell::scheduler::{
    CellOrder, CellTiming, HoldReport, RunEnd, Scheduler, WorkerAnswer, WorkerKey, WorkerTime,
};
use sedgehill_core::units::Moment;

use crate::fake::{FakeCell, job, step, task, worker_entry};

const ONLY_WORKER: WorkerKey = WorkerKey(0);

#[test]
fn a_stale_report_does_not_restore_an_ended_run() {
    let mut cell = FakeCell::new(1, 4);
    let mut lead = cell.lead(false);
    cell.submit(&mut lead, 1, job(vec![step(1, 1)]));
    cell.turns(&mut lead, 3);
    let sent = cell.now;
    let order = lead.hold_order(ONLY_WORKER, true, sent);
    let older_report = cell.hold(0, &order);
    cell.end_anywhere(task(1, 0, 0), RunEnd::Failed);
    cell.now.0 += 10;
    cell.poll_workers(&mut lead);
    cell.now.0 += 10;
    let event_count = lead.take_events().len();
    lead.hold_answered(ONLY_WORKER, older_report, sent, cell.now);
    lead.schedule(cell.now.after(sedgehill_core::units::TimeSpan(100)));
    let starts =
        lead.take_orders().into_iter().filter(|order| matches!(order, CellOrder::Start(_)));
    assert_eq!(
        starts.count(),
        1,
        "one new start of the failed task is expected; {event_count} earlier events"
    );
}

#[test]
fn an_end_in_a_report_after_its_timeout_settles_the_run() {
    let mut cell = FakeCell::new(1, 4);
    let mut lead = cell.lead(false);
    cell.submit(&mut lead, 1, job(vec![step(1, 1)]));
    cell.turns(&mut lead, 3);
    cell.end_anywhere(task(1, 0, 0), RunEnd::Done);
    let sent = cell.now;
    let order = lead.hold_order(ONLY_WORKER, true, sent);
    let late_report = cell.hold(0, &order);
    lead.hold_answered(ONLY_WORKER, WorkerAnswer::Unknown, sent, Moment(sent.0 + 800));
    cell.now.0 += 1_200;
    lead.hold_answered(ONLY_WORKER, late_report, sent, cell.now);
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
    let mut stop_count = 0;
    for _ in 0..1_000 {
        cell.now.0 += 10;
        lead.schedule(cell.now);
        let orders = lead.take_orders();
        stop_count += orders.iter().filter(|order| matches!(order, CellOrder::Stop(_))).count();
    }
    assert!((5..=12).contains(&stop_count), "{stop_count} stop orders in 10 s");
}

/// A worker whose clock runs 2 % slow answers every 0.12 s. If the lead keeps the first reading of that clock, the
/// requested leases grow by 20 ms per second, while the next lead computes its waiting time from the configured lease.
#[test]
fn leases_on_a_slow_clock_keep_their_length() {
    let timing = CellTiming::default();
    let mut lead = Scheduler::take_over(timing.clone(), FencingToken(1), false, Moment(0));
    let keys = lead.update_workers(vec![worker_entry(0, 4)], &[], Moment(0));
    let worker_clock = |now: u64| WorkerTime(7_000_000 + now * 98 / 100);
    for now in (0..60_000).step_by(120) {
        let order = lead.hold_order(keys[0], true, Moment(now));
        if let Some(until) = order.lease_until {
            let asked = until.0 - worker_clock(now).0;
            assert!(asked <= timing.lease.0 + 30, "lease of {asked} ms requested after {now} ms");
        }
        let report = HoldReport { clock: worker_clock(now), ..HoldReport::default() };
        lead.hold_answered(keys[0], WorkerAnswer::Done(report), Moment(now), Moment(now));
    }
}
