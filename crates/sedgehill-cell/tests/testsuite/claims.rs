//! Room that is kept for tasks that find none.

use proptest::prelude::*;
use sedgehill_cell::job::{AdvicePolicy, JobRecord};
use sedgehill_cell::scheduler::RunEnd;
use sedgehill_core::units::TimeSpan;

use crate::fake::{FakeCell, job, step, task};

fn advised(count: u16, cores: u64, priority: u32) -> JobRecord {
    let mut record = job(vec![step(count, cores)]);
    record.policy.advice =
        Some(AdvicePolicy { decide_us: 5_000, each_us: 100, valid: TimeSpan(2_000) });
    record.policy.priority = priority;
    record.policy.stretch_milli = 3_000;
    record
}

#[test]
fn a_task_that_needs_a_whole_worker_is_not_passed_by_smaller_ones_for_ever() {
    let mut cell = FakeCell::new(1, 16);
    let mut lead = cell.lead(false);
    cell.submit(&mut lead, 1, advised(2, 8, 1));
    cell.turns(&mut lead, 4);
    cell.submit(&mut lead, 2, advised(1, 16, 1));
    cell.turns(&mut lead, 4);
    // Smaller and less urgent tasks wait as well; each would fit where one of the first two ends.
    cell.submit(&mut lead, 3, advised(6, 8, 2));
    cell.turns(&mut lead, 4);
    cell.end_anywhere(task(1, 0, 0), RunEnd::Done);
    cell.turns(&mut lead, 10);
    assert!((0..6).all(|index| cell.place(task(3, 0, index)).is_none()), "the room is kept");
    cell.end_anywhere(task(1, 0, 1), RunEnd::Done);
    cell.turns(&mut lead, 10);
    assert!(cell.place(task(2, 0, 0)).is_some());
}

#[test]
fn room_is_not_kept_for_longer_than_the_claim_lasts() {
    let mut cell = FakeCell::new(1, 16);
    let mut lead = cell.lead(false);
    cell.submit(&mut lead, 1, advised(2, 8, 1));
    cell.turns(&mut lead, 4);
    cell.submit(&mut lead, 2, advised(1, 16, 1));
    cell.turns(&mut lead, 4);
    cell.submit(&mut lead, 3, advised(1, 8, 0));
    cell.turns(&mut lead, 4);
    cell.end_anywhere(task(1, 0, 0), RunEnd::Done);
    // The other run goes on for ever.
    cell.turns(&mut lead, 400);
    assert!(cell.place(task(3, 0, 0)).is_some(), "the small task runs");
}

proptest! {
    /// Pools, needs and costs unlike any site's: work never stands still while it fits somewhere.
    #[test]
    fn claims_never_keep_work_from_ending(
        workers in 1u16..8,
        size in 2u64..20,
        needs in proptest::collection::vec((1u64..20, 0u32..3, 1u16..5), 1..12),
        decide_us in 0u64..600_000,
    ) {
        let mut cell = FakeCell::new(workers, size);
        let mut lead = cell.lead(false);
        cell.turns(&mut lead, 2);
        let mut possible = 0;
        for (number, (need, priority, count)) in needs.iter().enumerate() {
            let mut record = advised(*count, *need, *priority);
            record.policy.advice =
                Some(AdvicePolicy { decide_us, each_us: 1_000, valid: TimeSpan(2_000) });
            cell.submit(&mut lead, number as u64 + 1, record);
            possible += usize::from(*need <= size);
        }
        for _ in 0..80 {
            cell.turns(&mut lead, 12);
            cell.end_all();
        }
        cell.turns(&mut lead, 3);
        prop_assert_eq!(lead.open_jobs(), needs.len() - possible);
    }
}
