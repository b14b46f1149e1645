//! Which workers the questions to the advice service name.

use std::collections::BTreeSet;

use sedgehill_cell::ids::WorkerId;
use sedgehill_cell::job::{AdvicePolicy, JobRecord, QueuePolicy, StepSpec};
use sedgehill_cell::scheduler::{CellOrder, HelperId};
use sedgehill_core::units::TimeSpan;

use crate::fake::{FakeCell, job, policy, step};

fn advised_job(steps: Vec<StepSpec>) -> JobRecord {
    let mut record = job(steps);
    record.policy.advice =
        Some(AdvicePolicy { per_question_us: 5_000, per_worker_us: 100, valid: TimeSpan(2_000) });
    record
}

fn gang(count: u16, need: u64) -> StepSpec {
    StepSpec { gang: true, ..step(count, need) }
}

/// Returns how many workers each question of the first four turns names.
fn named_counts(cell: &mut FakeCell, record: JobRecord) -> Vec<usize> {
    let mut lead = cell.lead(false);
    cell.submit(&mut lead, 1, record);
    let mut counts = Vec::new();
    for _ in 0..4 {
        for order in cell.turn(&mut lead) {
            if let CellOrder::Ask(question) = order {
                counts.push(question.workers.len());
            }
        }
    }
    counts
}

#[test]
fn a_wide_gang_names_as_many_workers_as_it_needs() {
    // 70 members of 4 cores need 18 workers. Before any answer, half of the workers are assumed to be allowed.
    let mut cell = FakeCell::new(60, 16);
    let counts = named_counts(&mut cell, advised_job(vec![gang(70, 4)]));
    assert!(counts.first().is_some_and(|first| *first >= 36), "{counts:?}");
    assert_eq!(cell.starts.len(), 70);
}

#[test]
fn a_gang_without_enough_free_room_sends_no_question() {
    let mut cell = FakeCell::new(6, 16);
    assert_eq!(named_counts(&mut cell, advised_job(vec![gang(40, 4)])), Vec::<usize>::new());
    assert!(cell.starts.is_empty());
}

/// Number of workers that a question for a step of two tasks needs to name: half are assumed to be allowed.
const NARROW_STEP_WORKERS: usize = 4;

#[test]
fn a_narrow_step_names_further_workers_only_at_low_cost() {
    let costs =
        [(0, 1_000), (500, 700), (5_000, 100), (13_000, 190), (490_000, 7_000), (20_000, 0)];
    for (per_question_us, per_worker_us) in costs {
        let mut cell = FakeCell::new(200, 16);
        let policy = AdvicePolicy { per_question_us, per_worker_us, valid: TimeSpan(2_000) };
        let mut record = job(vec![step(2, 4)]);
        record.policy.advice = Some(policy);
        let counts = named_counts(&mut cell, record);
        let first = *counts.first().expect("a question is sent");
        assert!(
            policy.cost(first).0 <= policy.cost(NARROW_STEP_WORKERS).0 * 3 / 2,
            "{policy:?}: {counts:?}"
        );
        assert!(first <= 100, "the service accepts at most 100 workers in a question");
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
    assert_eq!(questions, [13], "one question covers every worker");
}

#[test]
fn a_gang_too_wide_for_one_question_asks_several_boxes_at_once() {
    // Of 100 workers of 4 cores, 50 are assumed to be allowed: too few for a gang of 120.
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
    assert_eq!(asked.len(), 3, "the maximum number of concurrent questions of a gang");
    let helpers: BTreeSet<HelperId> = asked.iter().map(|question| question.helper).collect();
    assert_eq!(helpers.len(), 3, "each question goes to another box");
    let named_total: usize = asked.iter().map(|question| question.workers.len()).sum();
    let distinct: BTreeSet<&WorkerId> =
        asked.iter().flat_map(|question| &question.workers).collect();
    assert_eq!(distinct.len(), named_total, "no worker is named in two questions");
}

#[test]
fn a_worker_that_never_answered_is_not_named() {
    let mut cell = FakeCell::new(6, 16);
    for worker in &mut cell.workers[2..] {
        worker.cut = true;
    }
    let counts = named_counts(&mut cell, advised_job(vec![step(2, 1)]));
    assert_eq!(counts, [2], "entries that never answered may not be workers");
}
