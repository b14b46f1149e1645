//! The choice of runs to stop for an urgent step under its organisation's limit, without a scheduler.

use proptest::prelude::*;
use sedgehill_cell::ids::RunNumber;
use sedgehill_cell::organisation::ResourceLimit;
use sedgehill_cell::scheduler::{
    LimitRequest, LimitResource, LimitRun, LimitRunState, LimitStops, LimitUsage, plan_limit_stops,
};
use sedgehill_core::units::{CoreCount, MemorySize, ResourceSet, TimeSpan};

use crate::cases::cases;
use crate::fake::task;

fn need(cores: u64, gigabytes: u64) -> ResourceSet {
    let (cores, memory) = (CoreCount(cores * 1_000), MemorySize(gigabytes << 30));
    ResourceSet { cores, memory, accelerators: 0 }
}

fn run(number: u64, need: ResourceSet, state: LimitRunState) -> LimitRun {
    let (task, slack) = (task(number, 0, 0), TimeSpan(60_000));
    LimitRun { task, run: RunNumber(1), need, priority: 2, state, slack }
}

fn resumable(gigabytes: &[u64]) -> Vec<LimitRun> {
    let runs = gigabytes.iter().enumerate();
    runs.map(|(at, size)| run(at as u64, need(1, *size), LimitRunState::Resumable)).collect()
}

/// Plans stops under a limit of 100 cores and 40 GB that `runs` use.
fn plan(count: usize, gigabytes: u64, gang: bool, runs: &[LimitRun]) -> Option<LimitStops> {
    let used = runs.iter().fold(ResourceSet::default(), |sum, run| sum.plus(&run.need));
    let (cores, memory) = (Some(CoreCount(100_000)), Some(MemorySize(40 << 30)));
    let limit = ResourceLimit { cores, memory, accelerators: None };
    let usage = LimitUsage { limit, used, reserved: ResourceSet::default() };
    let request = LimitRequest { need: need(1, gigabytes), count, gang, priority: 0 };
    plan_limit_stops(&request, &usage, runs)
}

fn stopped(plan: &LimitStops) -> Vec<u64> {
    plan.runs.iter().map(|(task, _)| task.step.job.0).collect()
}

// Guards against stopping many small runs, or one much larger than needed.
#[test]
fn few_runs_are_stopped_and_the_last_is_no_larger_than_needed() {
    let found = plan(1, 9, false, &resumable(&[3, 3, 3, 3, 18, 10])).unwrap();
    assert_eq!((found.binding, stopped(&found)), (Some(LimitResource::Memory), vec![5]));
    let found = plan(1, 20, false, &resumable(&[3, 3, 3, 3, 18, 10])).unwrap();
    assert_eq!(stopped(&found), [4, 0], "18 GB and then the smallest that covers the rest");
}

// Guards against lost work for a gang that cannot start anyway.
#[test]
fn nothing_is_stopped_where_the_room_would_not_suffice() {
    let mut runs = resumable(&[10, 10, 10, 10]);
    runs[0].state = LimitRunState::Fixed;
    runs[1].priority = 0;
    runs[2].slack = TimeSpan(1_000);
    assert_eq!(plan(2, 10, true, &runs), None);
    let partly = plan(2, 10, false, &runs).unwrap();
    assert_eq!((partly.tasks, stopped(&partly)), (1, vec![3]));
    assert_eq!(plan(1, 41, false, &resumable(&[20, 20])), None, "wider than the limit");
}

// Guards against further stops in each turn until the first ones have ended.
#[test]
fn stops_under_way_count_as_room_to_come() {
    let mut runs = resumable(&[10, 10, 10, 10]);
    runs[0].state = LimitRunState::Stopping;
    let enough = plan(1, 10, false, &runs).unwrap();
    assert_eq!((enough.runs.len(), enough.coming), (0, need(1, 10)));
    let more = plan(2, 10, true, &runs).unwrap();
    assert_eq!(more.runs.len(), 1);
}

proptest! {
    #![proptest_config(cases(300))]

    /// The step fits once the chosen runs have ended, and none of them could go on.
    #[test]
    fn the_chosen_runs_suffice_and_none_is_needless(
        sizes in prop::collection::vec((1u64..8, 1u64..12, 0u8..4), 0..12),
        count in 1usize..5,
        gigabytes in 1u64..12,
        gang in any::<bool>(),
    ) {
        let state = |kind| match kind {
            0 => LimitRunState::Stopping,
            1 => LimitRunState::Fixed,
            _ => LimitRunState::Resumable,
        };
        let runs = sizes.iter().enumerate();
        let runs: Vec<LimitRun> = runs
            .map(|(at, (cores, size, kind))| run(at as u64, need(*cores, *size), state(*kind)))
            .collect();
        let Some(found) = plan(count, gigabytes, gang, &runs) else { return Ok(()) };
        prop_assert!(found.tasks == count || (found.tasks < count && !gang));
        let used_without = |kept: Option<u64>| {
            let ends = |run: &&LimitRun| {
                let id = run.task.step.job.0;
                let chosen = stopped(&found).contains(&id) && Some(id) != kept;
                chosen || run.state == LimitRunState::Stopping
            };
            let stay = runs.iter().filter(|run| !ends(run));
            let used = stay.fold(ResourceSet::default(), |sum, run| sum.plus(&run.need));
            used.plus(&need(1, gigabytes).times(found.tasks as u32))
        };
        let limit = need(100, 40);
        prop_assert!(limit.fits(&used_without(None)));
        for id in stopped(&found) {
            prop_assert!(!limit.fits(&used_without(Some(id))), "run {} is stopped needlessly", id);
        }
    }
}
