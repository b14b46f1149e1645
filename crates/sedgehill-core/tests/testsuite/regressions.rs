//! Failures that the random runs found, each as its shortest run.

use crate::cell::{AppendFate, Cell, CellStep, SwitchedOff};

fn run(steps: &[CellStep]) {
    let mut cell = Cell::new(SwitchedOff::Nothing);
    for step in steps {
        cell.step(step).expect("every promise holds");
    }
    cell.settle().expect("the cell comes to rest");
}

/// Every worker of the hall had failed tasks, and each was probed with one task at a time for ever:
/// the gang never found room for all its tasks at once.
#[test]
fn a_gang_starts_on_workers_that_were_shut_out() {
    use CellStep::*;
    run(&[
        Sleep(0),
        BreakWorker(949, true),
        Sleep(550),
        Ordinary(8),
        BreakWorker(114, true),
        Ordinary(11),
        Fate(AppendFate::Lost),
        Kill(80),
        Sleep(0),
        Fate(AppendFate::Works),
        LogUp,
        Ordinary(1),
        Submit(570, 16, true),
        Ordinary(3),
        Sleep(164),
        Ordinary(1),
        RestartWorker(152),
    ]);
}

/// A box took over a later state from a peer and skipped the verdicts on its own records.
#[test]
fn records_are_settled_after_a_state_was_taken_over() {
    use CellStep::*;
    run(&[
        Ordinary(10),
        Fate(AppendFate::Lost),
        Ordinary(15),
        Advance(364),
        Advance(386),
        Ordinary(1),
        Fate(AppendFate::Works),
        Ordinary(1),
        TakeState(292, 570),
    ]);
}
