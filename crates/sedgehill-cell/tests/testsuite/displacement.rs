//! Urgent work that displaces less urgent work.

use proptest::prelude::*;
use sedgehill_cell::job::{AdvicePolicy, JobRecord, StepSpec};
use sedgehill_cell::scheduler::{CellOrder, RunEnd, Scheduler};
use sedgehill_core::units::{CoreCount, MemorySize, ResourceSet, TimeSpan};

use crate::fake::{FakeCell, job, step, task};

/// Returns a job of low priority whose tasks write checkpoints and whose latency objective allows much time.
fn displaceable(count: u16, cores: u64) -> JobRecord {
    let mut record = job(vec![StepSpec { checkpointing: true, ..step(count, cores) }]);
    record.policy.priority = 2;
    record.policy.stretch_milli = 20_000;
    record
}

fn urgent(count: u16, cores: u64) -> JobRecord {
    let mut record = job(vec![step(count, cores)]);
    record.policy.priority = 1;
    record.policy.stretch_milli = 4_000;
    record
}

/// Returns a cell whose workers are full.
fn full_cell(workers: u16, filling: JobRecord) -> (FakeCell, Scheduler) {
    let mut cell = FakeCell::new(workers, 16);
    let mut lead = cell.lead(false);
    cell.submit(&mut lead, 1, filling);
    cell.turns(&mut lead, 3);
    (cell, lead)
}

#[test]
fn urgent_work_displaces_checkpointed_work_that_has_time() {
    let (mut cell, mut lead) = full_cell(2, displaceable(8, 4));
    cell.submit(&mut lead, 2, urgent(1, 16));
    cell.turns(&mut lead, 10);
    assert!(cell.place(task(2, 0, 0)).is_some(), "the urgent task runs");
    let waiting = (0..8).filter(|index| cell.place(task(1, 0, *index)).is_none());
    assert_eq!(waiting.count(), 4, "no more runs are stopped than necessary");
    cell.end_anywhere(task(2, 0, 0), RunEnd::Done);
    cell.turns(&mut lead, 10);
    assert!(
        (0..8).all(|index| cell.place(task(1, 0, index)).is_some()),
        "all displaced tasks run again"
    );
}

#[test]
fn work_without_checkpoints_or_of_equal_priority_or_without_time_is_not_displaced() {
    let unsaved = {
        let mut record = displaceable(8, 4);
        record.spec.steps[0].checkpointing = false;
        record
    };
    let as_urgent = {
        let mut record = displaceable(8, 4);
        record.policy.priority = 1;
        record
    };
    let without_slack = {
        let mut record = displaceable(8, 4);
        record.policy.stretch_milli = 1_000;
        record
    };
    for filling in [unsaved, as_urgent, without_slack] {
        let (mut cell, mut lead) = full_cell(2, filling);
        cell.submit(&mut lead, 2, urgent(1, 16));
        cell.turns(&mut lead, 10);
        assert_eq!(cell.place(task(2, 0, 0)), None);
        assert!((0..8).all(|index| cell.place(task(1, 0, index)).is_some()));
    }
}

#[test]
fn room_freed_for_a_step_is_not_given_to_others() {
    let (mut cell, mut lead) = full_cell(2, displaceable(8, 4));
    cell.submit(&mut lead, 2, urgent(1, 16));
    // More displaceable work waits for any free room.
    cell.submit(&mut lead, 3, displaceable(8, 4));
    cell.turns(&mut lead, 10);
    assert!(cell.place(task(2, 0, 0)).is_some());
}

#[test]
fn a_step_asks_about_workers_full_of_displaceable_work() {
    let (mut cell, mut lead) = full_cell(4, displaceable(16, 4));
    let mut record = urgent(1, 16);
    record.policy.advice = Some(AdvicePolicy {
        per_question_us: 490_000,
        per_worker_us: 7_000,
        valid: TimeSpan(2_000),
    });
    cell.submit(&mut lead, 2, record);
    let mut asked = 0;
    for _ in 0..10 {
        let orders = cell.turn(&mut lead);
        asked += orders.iter().filter(|order| matches!(order, CellOrder::Ask(_))).count();
    }
    assert_eq!(asked, 1);
    assert!(cell.place(task(2, 0, 0)).is_some());
}

#[test]
fn late_work_that_still_earns_precedes_work_that_has_time() {
    let mut cell = FakeCell::new(1, 16);
    let mut lead = cell.lead(false);
    cell.submit(&mut lead, 1, urgent(1, 16));
    cell.turns(&mut lead, 3);
    // The objective of job 2 passes while the worker is occupied. A displaceable job follows.
    cell.submit(&mut lead, 2, urgent(1, 16));
    cell.turns(&mut lead, 300);
    cell.submit(&mut lead, 3, displaceable(1, 16));
    cell.turns(&mut lead, 2);
    cell.end_anywhere(task(1, 0, 0), RunEnd::Done);
    cell.turns(&mut lead, 3);
    assert!(cell.place(task(2, 0, 0)).is_some(), "the late job runs");
    assert_eq!(cell.place(task(3, 0, 0)), None);
}

fn need(cores: u64, accelerators: u32) -> ResourceSet {
    ResourceSet { cores: CoreCount(cores * 1_000), memory: MemorySize(1 << 30), accelerators }
}

proptest! {
    /// Covers pools and needs unlike those of any site. The fakes check that no worker exceeds its capacity and no task
    /// runs twice. Urgent work runs if it fits an empty worker, and all work ends.
    #[test]
    fn displacement_keeps_capacity_and_ends_all_work(
        workers in 1u16..6,
        size in 4u64..40,
        fill in 1u64..10,
        wanted in 1u64..40,
        accelerators in 0u32..3,
    ) {
        let mut cell = FakeCell::new(workers, size);
        for worker in &mut cell.workers {
            worker.entry.capacity.accelerators = 4;
        }
        let mut lead = cell.lead(false);
        let mut filling = displaceable(24, fill);
        filling.spec.steps[0].need = need(fill, 1);
        cell.submit(&mut lead, 1, filling);
        cell.turns(&mut lead, 4);
        let mut record = urgent(1, wanted);
        record.spec.steps[0].need = need(wanted, accelerators);
        cell.submit(&mut lead, 2, record);
        cell.turns(&mut lead, 15);
        prop_assert_eq!(cell.place(task(2, 0, 0)).is_some(), wanted <= size);
        for _ in 0..60 {
            cell.end_all();
            cell.turns(&mut lead, 4);
        }
        let left = lead.open_jobs();
        prop_assert_eq!(left, usize::from(wanted > size) + usize::from(fill > size));
    }
}
