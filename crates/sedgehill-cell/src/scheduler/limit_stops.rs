//! Chooses the runs of an organisation to stop so that an urgent step fits under its limit.
//!
//! The choice is a pure function of the organisation's runs, of what counts against its limit and
//! of what the step wants. Either the chosen runs make enough room, or none is stopped: room for a
//! part of a gang would be of no use, while the stopped work would have to be resumed.

use std::cmp::Reverse;
use std::fmt;

use sedgehill_core::units::{ResourceSet, TimeSpan};

use super::displacement::MIN_DISPLACED_SLACK;
use crate::ids::{CellTask, RunNumber};
use crate::organisation::ResourceLimit;

/// A dimension of a resource limit.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum LimitResource {
    /// Processor cores.
    Cores,
    /// Memory.
    Memory,
    /// Accelerators.
    Accelerators,
}

impl LimitResource {
    /// All dimensions.
    pub const ALL: [LimitResource; 3] =
        [LimitResource::Cores, LimitResource::Memory, LimitResource::Accelerators];

    /// The name in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            LimitResource::Cores => "cores",
            LimitResource::Memory => "memory",
            LimitResource::Accelerators => "accelerators",
        }
    }

    /// Returns the amount of this resource in a set.
    pub fn amount(self, set: &ResourceSet) -> u64 {
        match self {
            LimitResource::Cores => set.cores.0,
            LimitResource::Memory => set.memory.0,
            LimitResource::Accelerators => u64::from(set.accelerators),
        }
    }
}

impl fmt::Display for LimitResource {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.name())
    }
}

/// Whether a run that counts against a limit can be stopped.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LimitRunState {
    /// It saves its state and can be resumed later.
    Resumable,
    /// It is being stopped, and its end is expected soon.
    Stopping,
    /// It stays until it ends: it is not known to run, saves no state, is part of a gang, has saved
    /// nothing since its task was last preempted, or its worker does not answer.
    Fixed,
}

/// A run that counts against an organisation's limit.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LimitRun {
    /// The task.
    pub task: CellTask,
    /// The run.
    pub run: RunNumber,
    /// The resources it uses.
    pub need: ResourceSet,
    /// The priority of its job; 0 is the most urgent.
    pub priority: u32,
    /// Whether it can be stopped.
    pub state: LimitRunState,
    /// How much later its job could start and still meet its objective.
    pub slack: TimeSpan,
}

/// What a step wants under the limit.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LimitRequest {
    /// The resources that each task needs.
    pub need: ResourceSet,
    /// The number of tasks.
    pub count: usize,
    /// Whether it is of no use to start a part of them.
    pub gang: bool,
    /// The priority of the job; 0 is the most urgent.
    pub priority: u32,
}

/// What counts against an organisation's limit.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LimitUsage {
    /// The limit.
    pub limit: ResourceLimit,
    /// Everything that may be running, including runs that are being stopped.
    pub used: ResourceSet,
    /// Room that is reserved for other steps.
    pub reserved: ResourceSet,
}

/// The runs to stop for a step.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LimitStops {
    /// The number of tasks that fit once these runs, and those that are being stopped already, have
    /// ended.
    pub tasks: usize,
    /// The runs to stop; empty if what is being stopped already is enough.
    pub runs: Vec<(CellTask, RunNumber)>,
    /// What is short without the stops, by the part of the limit that is missing; none if `runs` is
    /// empty.
    pub binding: Option<LimitResource>,
    /// The resources of runs that are being stopped already.
    pub coming: ResourceSet,
}

/// Chooses the runs to stop for a step; none if stopping all that may be stopped would not make
/// enough room. A step other than a gang gets room for as many of its tasks as possible.
pub fn plan_limit_stops(
    request: &LimitRequest,
    usage: &LimitUsage,
    runs: &[LimitRun],
) -> Option<LimitStops> {
    let stopping = runs.iter().filter(|run| run.state == LimitRunState::Stopping);
    let coming = total_need(stopping);
    let staying = usage.used.saturating_minus(&coming).plus(&usage.reserved);
    let stoppable: Vec<&LimitRun> = runs.iter().filter(|run| may_stop(run, request)).collect();
    let least = staying.saturating_minus(&total_need(stoppable.iter().copied()));
    let possible = usage.limit.remaining(&least).capacity_for(&request.need);
    let tasks = request.count.min(usize::try_from(possible).unwrap_or(usize::MAX));
    if tasks == 0 || (request.gang && tasks < request.count) {
        return None;
    }
    let short = shortfall(request, tasks, usage, &staying);
    let binding = binding_resource(&short, &usage.limit);
    let chosen = match binding {
        Some(binding) => choose_runs(stoppable, &short, binding),
        None => Vec::new(),
    };
    let runs = chosen.iter().map(|run| (run.task, run.run)).collect();
    Some(LimitStops { tasks, runs, binding, coming })
}

fn may_stop(run: &LimitRun, request: &LimitRequest) -> bool {
    run.state == LimitRunState::Resumable
        && run.priority > request.priority
        && run.slack > MIN_DISPLACED_SLACK
}

fn total_need<'a>(runs: impl Iterator<Item = &'a LimitRun>) -> ResourceSet {
    runs.fold(ResourceSet::default(), |sum, run| sum.plus(&run.need))
}

/// Returns what is missing under the limit for `tasks` tasks. A resource that they do not need is
/// never short, although the organisation may exceed a limit of it that was lowered.
fn shortfall(
    request: &LimitRequest,
    tasks: usize,
    usage: &LimitUsage,
    staying: &ResourceSet,
) -> ResourceSet {
    let wanted = request.need.times(u32::try_from(tasks).unwrap_or(u32::MAX));
    let limit = usage.limit.remaining(&ResourceSet::default());
    let mut short = staying.plus(&wanted).saturating_minus(&limit);
    if request.need.cores.0 == 0 {
        short.cores.0 = 0;
    }
    if request.need.memory.0 == 0 {
        short.memory.0 = 0;
    }
    if request.need.accelerators == 0 {
        short.accelerators = 0;
    }
    short
}

/// Returns the resource of which the largest part of the limit is missing; none if nothing is.
fn binding_resource(short: &ResourceSet, limit: &ResourceLimit) -> Option<LimitResource> {
    let limit = limit.remaining(&ResourceSet::default());
    let missing = |resource: LimitResource| {
        let (short, limit) = (resource.amount(short), resource.amount(&limit));
        (short as f64 / limit.max(1) as f64 * 1_000_000.0) as u64
    };
    let short_of = LimitResource::ALL.into_iter().filter(|resource| resource.amount(short) > 0);
    short_of.max_by_key(|resource| missing(*resource))
}

/// Chooses few runs that together cover the shortfall, which all candidates together do. The
/// largest in the binding resource come first; among equals, the least urgent, and then those with
/// the most time. The last one is no larger than needed.
fn choose_runs(
    mut candidates: Vec<&LimitRun>,
    short: &ResourceSet,
    binding: LimitResource,
) -> Vec<LimitRun> {
    let preference = |run: &&LimitRun| (Reverse((run.priority, run.slack)), run.task);
    candidates.sort_by_key(|run| (Reverse(binding.amount(&run.need)), preference(run)));
    let mut freed = ResourceSet::default();
    let mut taken = 0;
    while !freed.fits(short) && taken < candidates.len() {
        freed = freed.plus(&candidates[taken].need);
        taken += 1;
    }
    let others = candidates.split_off(taken);
    let mut chosen = candidates;
    // A run that a later one made needless goes on.
    chosen.retain(|run| match freed.minus(&run.need) {
        Some(rest) if rest.fits(short) => {
            freed = rest;
            false
        }
        _ => true,
    });
    let mut chosen: Vec<LimitRun> = chosen.into_iter().copied().collect();
    let Some(last) = chosen.pop() else { return chosen };
    let rest = short.saturating_minus(&total_need(chosen.iter()));
    let covering = others.into_iter().filter(|run| run.need.fits(&rest));
    let smallest = covering.min_by_key(|run| (binding.amount(&run.need), preference(run)));
    // Only a strictly smaller run replaces the one chosen by preference.
    let smaller =
        smallest.filter(|run| binding.amount(&run.need) < binding.amount(&last.need)).copied();
    chosen.push(smaller.unwrap_or(last));
    chosen
}
