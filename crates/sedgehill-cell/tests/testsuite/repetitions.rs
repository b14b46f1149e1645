//! Jobs whose steps are repeated at set times.

use sedgehill_cell::ids::{CellTask, JobId, StepId};
use sedgehill_cell::job::RepeatSpec;
use sedgehill_cell::scheduler::{RunEnd, Scheduler};
use sedgehill_core::units::TimeSpan;

use crate::fake::{FakeCell, job, step, task};

#[test]
fn repetitions_start_when_they_are_due() {
    let mut cell = FakeCell::new(1, 16);
    let mut lead = cell.lead(false);
    lead.set_wall_clock(1_000_000, cell.now);
    let mut record = job(vec![step(1, 1)]);
    let repeat = RepeatSpec { start_at_ms: 1_001_000, interval: TimeSpan(2_000), count: 2 };
    record.spec.repeat = Some(repeat);
    cell.submit(&mut lead, 1, record);
    cell.turns(&mut lead, 45);
    assert!(cell.starts.is_empty(), "the first repetition is due in 100 ms");
    cell.turns(&mut lead, 10);
    assert_eq!(cell.starts.len(), 1);
    cell.turns(&mut lead, 80);
    assert_eq!(cell.starts.len(), 1);
    cell.turns(&mut lead, 30);
    assert_eq!(cell.starts.len(), 2);
    assert_eq!(cell.starts[1].0.step.repetition, 1);
}

/// The rank of a repetition counts from the time at which it is due. Counted from the acceptance of the job, later
/// repetitions rank as too late to earn anything before they are due, and come after all other work.
#[test]
fn a_later_repetition_keeps_its_place_by_priority() {
    let mut cell = FakeCell::new(1, 4);
    let mut lead = cell.lead(false);
    let start = cell.now.0;
    lead.set_wall_clock(start, cell.now);
    let mut timed = job(vec![step(1, 4)]);
    timed.spec.repeat =
        Some(RepeatSpec { start_at_ms: start, interval: TimeSpan(20_000), count: 3 });
    timed.policy.priority = 1;
    cell.submit_led(&mut lead, 1, timed);
    let run_until = |cell: &mut FakeCell, lead: &mut Scheduler, ms: u64| {
        while cell.now.0 < start + ms {
            cell.turn(lead);
        }
    };
    for due in [0, 20_000] {
        run_until(&mut cell, &mut lead, due + 1_000);
        cell.end_all();
    }
    run_until(&mut cell, &mut lead, 39_000);
    // Another job runs when the third repetition is due, and less urgent work waits as well.
    cell.submit_led(&mut lead, 2, job(vec![step(1, 4)]));
    run_until(&mut cell, &mut lead, 40_500);
    let mut low_priority = job(vec![step(1, 4)]);
    low_priority.policy.priority = 2;
    cell.submit_led(&mut lead, 3, low_priority);
    run_until(&mut cell, &mut lead, 41_000);
    cell.end_anywhere(task(2, 0, 0), RunEnd::Done);
    run_until(&mut cell, &mut lead, 41_200);
    let third = CellTask { step: StepId { job: JobId(1), repetition: 2, step: 0 }, index: 0 };
    assert!(cell.place(third).is_some());
}
