//! Random courses of a full cell with a long-running job: runs that fail, workers that are silent, crash or shrink, boxes whose
//! questions fail, leads that are lost. Once faults stop, every task of the job runs again within the time that users allow,
//! though the load goes on.

use proptest::prelude::*;
use sedgehill_cell::scheduler::{HelperId, RunEnd};
use sedgehill_core::units::{CoreCount, TimeSpan};

use crate::cases::cases;
use crate::fake::{HelperTrouble, task};
use crate::restarts::{Advice, CORES, Course, HELPERS, LONG_RUNNING, Load, TASKS, WORKERS};

/// What users allow from the last run to the next one, and what they allow on top of it.
const RESTART_MOST: u64 = 6_000 + 3_000;
/// The longest that a lead waits for an earlier one, and that a silent worker may hold its runs.
const TAKE_OVER_MOST: u64 = 9_000;

#[derive(Debug, Clone)]
enum Move {
    /// A run of the long-running job fails.
    Fail(u16),
    Cut(usize, bool),
    Mute(usize, bool),
    /// A worker crashes and is back after so long.
    Crash(usize, u64),
    Resize(usize, u64),
    Trouble(u64, Option<HelperTrouble>),
    Turns(usize),
    NewLead,
}

fn moves() -> impl Strategy<Value = Move> {
    let worker = 0..usize::from(WORKERS);
    let trouble = prop_oneof![
        Just(HelperTrouble::Fails),
        Just(HelperTrouble::Silent),
        (2u64..8).prop_map(HelperTrouble::Slow),
    ];
    prop_oneof![
        6 => (0..TASKS).prop_map(Move::Fail),
        3 => (worker.clone(), any::<bool>()).prop_map(|(number, cut)| Move::Cut(number, cut)),
        2 => (worker.clone(), any::<bool>()).prop_map(|(number, mute)| Move::Mute(number, mute)),
        2 => (worker.clone(), 20u64..6_000).prop_map(|(number, back)| Move::Crash(number, back)),
        2 => (worker, 0u64..=CORES).prop_map(|(number, cores)| Move::Resize(number, cores)),
        3 => (0..=HELPERS, prop::option::weighted(0.6, trouble))
            .prop_map(|(helper, trouble)| Move::Trouble(helper, trouble)),
        6 => (1usize..200).prop_map(Move::Turns),
        1 => Just(Move::NewLead),
    ]
}

fn take(course: &mut Course, taken: Move) {
    match taken {
        Move::Fail(index) => {
            let one = task(LONG_RUNNING, 0, index);
            if let Some(number) = course.cell.place(one) {
                course.cell.end(number, one, RunEnd::Failed);
            }
        }
        Move::Cut(number, cut) => course.cell.workers[number].cut = cut,
        Move::Mute(number, mute) => course.cell.workers[number].mute = mute,
        Move::Crash(number, back) => {
            let number = course.cell.living(number);
            course.cell.crash(number, TimeSpan(back));
        }
        Move::Resize(number, cores) => {
            let number = course.cell.living(number);
            course.cell.workers[number].entry.capacity.cores = CoreCount(cores * 1_000);
        }
        Move::Trouble(helper, trouble) => course.set_trouble(HelperId(helper), trouble),
        Move::Turns(count) => (0..count).for_each(|_| course.turn()),
        Move::NewLead => course.lose_lead(),
    }
}

proptest! {
    #![proptest_config(cases(24))]

    #[test]
    fn every_long_running_task_runs_again_once_all_is_well(
        saved in any::<bool>(),
        advised in any::<bool>(),
        course in prop::collection::vec(moves(), 1..40),
    ) {
        let load = if saved { Load::Saved } else { Load::Urgent };
        let advice = if advised { Advice::OthersCheap } else { Advice::Nobody };
        let mut cell = Course::new(load, advice);
        cell.begin();
        // That the tasks have begun is in the store.
        cell.turn();
        for taken in course {
            take(&mut cell, taken);
        }
        cell.heal();
        let well = cell.cell.now;
        cell.run_until(well.after(TimeSpan(TAKE_OVER_MOST + RESTART_MOST)));
        let missing: Vec<u16> = (0..TASKS)
            .filter(|index| cell.cell.place(task(LONG_RUNNING, 0, *index)).is_none())
            .collect();
        let state = cell.cell.progress(LONG_RUNNING).state;
        prop_assert!(missing.is_empty(), "{state:?}, tasks {missing:?}: {:?}", cell.told());
    }
}
