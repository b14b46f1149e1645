//! Accounts of workers that overtake each other, or come late.

use sedgehill_cell::progress::JobState;
use sedgehill_cell::scheduler::{CellOrder, RunEnd, WorkerAnswer, WorkerKey};
use sedgehill_core::units::Moment;

use crate::fake::{FakeCell, job, step, task};

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
    cell.look(&mut lead);
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
