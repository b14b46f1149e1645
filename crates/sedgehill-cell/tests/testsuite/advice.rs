//! Which workers the advice service is asked about.

use std::collections::BTreeSet;

use sedgehill_cell::ids::WorkerId;
use sedgehill_cell::job::{AdvicePolicy, JobRecord, QueuePolicy, StepSpec};
use sedgehill_cell::scheduler::{CellOrder, HelperId};
use sedgehill_core::units::TimeSpan;

use crate::fake::{FakeCell, job, policy, step};

fn advised(steps: Vec<StepSpec>) -> JobRecord {
    let mut record = job(steps);
    record.policy.advice =
        Some(AdvicePolicy { per_question_us: 5_000, per_worker_us: 100, valid: TimeSpan(2_000) });
    record
}

fn gang(count: u16, need: u64) -> StepSpec {
    StepSpec { gang: true, ..step(count, need) }
}

/// How many workers the questions of some turns name.
fn named(cell: &mut FakeCell, record: JobRecord) -> Vec<usize> {
    let mut lead = cell.lead(false);
    cell.submit(&mut lead, 1, record);
    let mut named = Vec::new();
    for _ in 0..4 {
        for order in cell.turn(&mut lead) {
            if let CellOrder::Ask(question) = order {
                named.push(question.workers.len());
            }
        }
    }
    named
}

#[test]
fn a_wide_gang_names_as_many_workers_as_it_needs() {
    // 70 members of 4 cores need 18 workers, of which half are taken as good before any answer.
    let mut cell = FakeCell::new(60, 16);
    let named = named(&mut cell, advised(vec![gang(70, 4)]));
    assert!(named.first().is_some_and(|first| *first >= 36), "{named:?}");
    assert_eq!(cell.starts.len(), 70);
}

#[test]
fn a_gang_for_which_too_little_room_is_free_asks_nobody() {
    let mut cell = FakeCell::new(6, 16);
    assert_eq!(named(&mut cell, advised(vec![gang(40, 4)])), Vec::<usize>::new());
    assert!(cell.starts.is_empty());
}

/// A step of two tasks that needs to name four workers at the most: half are taken as good.
const NARROW: usize = 4;

#[test]
fn a_narrow_step_names_others_only_while_that_costs_little() {
    let costs =
        [(0, 1_000), (500, 700), (5_000, 100), (13_000, 190), (490_000, 7_000), (20_000, 0)];
    for (per_question_us, per_worker_us) in costs {
        let mut cell = FakeCell::new(200, 16);
        let policy = AdvicePolicy { per_question_us, per_worker_us, valid: TimeSpan(2_000) };
        let mut record = job(vec![step(2, 4)]);
        record.policy.advice = Some(policy);
        let named = named(&mut cell, record);
        let first = *named.first().expect("a question is asked");
        assert!(policy.cost(first).0 <= policy.cost(NARROW).0 * 3 / 2, "{policy:?}: {named:?}");
        assert!(first <= 100, "the service takes a hundred");
        assert_eq!(cell.starts.len(), 2);
    }
}

#[test]
fn a_costly_question_names_the_whole_pool_though_most_of_it_is_full() {
    let mut cell = FakeCell::new(13, 16);
    let mut lead = cell.lead(false);
    cell.submit(&mut lead, 1, job(vec![step(11, 16)]));
    cell.turns(&mut lead, 3);
    let mut record = job(vec![step(1, 16)]);
    record.policy.advice = Some(AdvicePolicy {
        per_question_us: 490_000,
        per_worker_us: 7_000,
        valid: TimeSpan(2_000),
    });
    cell.submit(&mut lead, 2, record);
    let mut questions = Vec::new();
    for _ in 0..10 {
        for order in cell.turn(&mut lead) {
            if let CellOrder::Ask(question) = order {
                questions.push(question.workers.len());
            }
        }
    }
    assert_eq!(questions, [13], "one question tells for good who may run the step");
}

#[test]
fn a_gang_wider_than_one_question_serves_asks_several_boxes_at_once() {
    // Of 100 workers of 4 cores, 50 are taken as good: too few for a gang of 120.
    let mut cell = FakeCell::new(400, 4);
    let mut lead = cell.lead(false);
    for helper in 1..=8 {
        lead.add_helper(HelperId(helper));
    }
    let record = JobRecord {
        policy: QueuePolicy {
            advice: Some(AdvicePolicy {
                per_question_us: 390_000,
                per_worker_us: 5_600,
                valid: TimeSpan(2_000),
            }),
            ..policy()
        },
        ..job(vec![gang(120, 4)])
    };
    cell.submit(&mut lead, 1, record);
    cell.record(&mut lead);
    let mut asked = Vec::new();
    for _ in 0..8 {
        cell.now.0 += 10;
        cell.poll_workers(&mut lead);
        cell.record(&mut lead);
        lead.schedule(cell.now);
        for order in lead.take_orders() {
            if let CellOrder::Ask(question) = order {
                asked.push(question);
            }
        }
    }
    assert_eq!(asked.len(), 3, "as many at once as a gang may ask");
    let helpers: BTreeSet<HelperId> = asked.iter().map(|question| question.helper).collect();
    assert_eq!(helpers.len(), 3, "each by another box");
    let named: usize = asked.iter().map(|question| question.workers.len()).sum();
    let distinct: BTreeSet<&WorkerId> =
        asked.iter().flat_map(|question| &question.workers).collect();
    assert_eq!(distinct.len(), named, "no worker is named twice");
}

#[test]
fn a_life_that_never_answered_is_not_named() {
    let mut cell = FakeCell::new(6, 16);
    for worker in &mut cell.workers[2..] {
        worker.cut = true;
    }
    let named = named(&mut cell, advised(vec![step(2, 1)]));
    assert_eq!(named, [2], "the others may be no workers at all");
}
