//! Random sequences of faults in a full cell with a long-running job: failed runs, workers that are silent, crash or
//! shrink, boxes whose questions fail, and lost leads. Once the faults are over, every task of the job runs again
//! within the time that users allow, under continuing load.

use proptest::prelude::*;
use sedgehill_cell::scheduler::{HelperId, RunEnd};
use sedgehill_core::units::{CoreCount, TimeSpan};

use crate::cases::cases;
use crate::fake::{HelperFault, task};
use crate::restarts::{
    AdvisedQueues, CORES, HELPERS, LONG_RUNNING, Load, RestartScenario, TASKS, WORKERS,
};

/// Longest time that users allow from the last run to the next one, plus their tolerance.
const MAX_RESTART_DELAY_MS: u64 = 6_000 + 3_000;
/// Longest time for which a lead waits for an earlier one, or a silent worker holds its runs.
const MAX_TAKE_OVER_MS: u64 = 9_000;

#[derive(Debug, Clone)]
enum Move {
    /// A run of the long-running job fails.
    Fail(u16),
    Cut(usize, bool),
    Mute(usize, bool),
    /// A worker crashes and is back after this many milliseconds.
    Crash(usize, u64),
    Resize(usize, u64),
    Fault(u64, Option<HelperFault>),
    Turns(usize),
    NewLead,
}

fn any_move() -> impl Strategy<Value = Move> {
    let worker = 0..usize::from(WORKERS);
    let fault = prop_oneof![
        Just(HelperFault::Fails),
        Just(HelperFault::Silent),
        (2u64..8).prop_map(HelperFault::Slow),
    ];
    prop_oneof![
        6 => (0..TASKS).prop_map(Move::Fail),
        3 => (worker.clone(), any::<bool>()).prop_map(|(number, cut)| Move::Cut(number, cut)),
        2 => (worker.clone(), any::<bool>()).prop_map(|(number, mute)| Move::Mute(number, mute)),
        2 => (worker.clone(), 20u64..6_000).prop_map(|(number, back)| Move::Crash(number, back)),
        2 => (worker, 0u64..=CORES).prop_map(|(number, cores)| Move::Resize(number, cores)),
        3 => (0..=HELPERS, prop::option::weighted(0.6, fault))
            .prop_map(|(helper, fault)| Move::Fault(helper, fault)),
        6 => (1usize..200).prop_map(Move::Turns),
        1 => Just(Move::NewLead),
    ]
}

fn apply(scenario: &mut RestartScenario, chosen: Move) {
    match chosen {
        Move::Fail(index) => {
            let failed_task = task(LONG_RUNNING, 0, index);
            if let Some(number) = scenario.cell.place(failed_task) {
                scenario.cell.end(number, failed_task, RunEnd::Failed);
            }
        }
        Move::Cut(number, cut) => scenario.cell.workers[number].cut = cut,
        Move::Mute(number, mute) => scenario.cell.workers[number].mute = mute,
        Move::Crash(number, back) => {
            let number = scenario.cell.living_worker(number);
            scenario.cell.crash(number, TimeSpan(back));
        }
        Move::Resize(number, cores) => {
            let number = scenario.cell.living_worker(number);
            scenario.cell.workers[number].entry.capacity.cores = CoreCount(cores * 1_000);
        }
        Move::Fault(helper, fault) => scenario.set_fault(HelperId(helper), fault),
        Move::Turns(count) => (0..count).for_each(|_| scenario.turn()),
        Move::NewLead => scenario.lose_lead(),
    }
}

proptest! {
    #![proptest_config(cases(24))]

    #[test]
    fn every_long_running_task_runs_again_once_all_faults_are_over(
        checkpointed in any::<bool>(),
        advised in any::<bool>(),
        moves in prop::collection::vec(any_move(), 1..40),
    ) {
        let load = if checkpointed { Load::Checkpointed } else { Load::Urgent };
        let advice = if advised { AdvisedQueues::AllOthersCheap } else { AdvisedQueues::None };
        let mut scenario = RestartScenario::new(load, advice);
        scenario.run_until_started();
        // The store now holds the record that the tasks have started.
        scenario.turn();
        for chosen in moves {
            apply(&mut scenario, chosen);
        }
        scenario.heal();
        let healed_at = scenario.cell.now;
        scenario.run_until(healed_at.after(TimeSpan(MAX_TAKE_OVER_MS + MAX_RESTART_DELAY_MS)));
        let missing: Vec<u16> = (0..TASKS)
            .filter(|index| scenario.cell.place(task(LONG_RUNNING, 0, *index)).is_none())
            .collect();
        let state = scenario.cell.progress(LONG_RUNNING).state;
        prop_assert!(
            missing.is_empty(),
            "{state:?}, tasks {missing:?}: {:?}",
            scenario.first_late_restart()
        );
    }
}
