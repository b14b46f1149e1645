//! Minimal runs that reproduce failures found by the random runs.

use crate::cell::{AppendFault, Cell, CellStep, DisabledRule};

fn run(steps: &[CellStep]) {
    let mut cell = Cell::new(DisabledRule::NoRule);
    for step in steps {
        cell.step(step).expect("every invariant holds");
    }
    cell.run_until_idle().expect("the cell becomes idle");
}

/// After failures on every worker of a hall, each worker was probed with one task at a time without
/// end, so that a gang never got resources for all its tasks at the same time.
#[test]
fn a_gang_starts_on_workers_after_their_suspension() {
    use CellStep::*;
    run(&[
        SuspendBox(0),
        FailWorkerTasks(949, true),
        SuspendBox(550),
        Tick(8),
        FailWorkerTasks(114, true),
        Tick(11),
        SetAppendFault(AppendFault::RequestLost),
        KillBox(80),
        SuspendBox(0),
        SetAppendFault(AppendFault::None),
        LogUp,
        Tick(1),
        SubmitJob(570, 16, true),
        Tick(3),
        SuspendBox(164),
        Tick(1),
        RestartWorker(152),
    ]);
}

/// A box that adopted a later state from a peer missed the verdicts on its own records, which
/// stayed pending.
#[test]
fn pending_records_get_verdicts_after_a_state_was_adopted() {
    use CellStep::*;
    run(&[
        Tick(10),
        SetAppendFault(AppendFault::RequestLost),
        Tick(15),
        Advance(364),
        Advance(386),
        Tick(1),
        SetAppendFault(AppendFault::None),
        Tick(1),
        TransferState(292, 570),
    ]);
}
