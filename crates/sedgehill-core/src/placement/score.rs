//! Chooses the worker that fits a task best.

use std::collections::BTreeMap;

use super::worker::WorkerEntry;
use crate::ids::WorkerId;
use crate::units::{Moment, ResourceSet};

/// Returns the usable worker with the least resources left over after the task, and the number of
/// workers that could run it.
pub(super) fn best_fit(
    workers: &BTreeMap<WorkerId, WorkerEntry>,
    need: &ResourceSet,
    now: Moment,
) -> (Option<WorkerId>, usize) {
    let mut candidates = 0;
    let mut best: Option<(u64, &WorkerId)> = None;
    for (id, entry) in workers {
        if !entry.free().fits(need) || !entry.is_usable(now) {
            continue;
        }
        candidates += 1;
        let leftover = leftover_share(entry, need);
        if best.is_none_or(|(lowest, _)| leftover < lowest) {
            best = Some((leftover, id));
        }
    }
    (best.map(|(_, id)| id.clone()), candidates)
}

/// Returns the shares of the worker's cores and memory that remain free after the task, added up,
/// in millionths. A worker with a free accelerator gets a penalty for a task that needs none, so
/// that it stays available for tasks that do.
fn leftover_share(entry: &WorkerEntry, need: &ResourceSet) -> u64 {
    const SCALE: u64 = 1_000_000;
    const IDLE_ACCELERATOR_PENALTY: u64 = 3 * SCALE;
    let share = |free: u64, need: u64, total: u64| match total {
        0 => 0,
        total => (u128::from(free - need) * u128::from(SCALE) / u128::from(total)) as u64,
    };
    let total = &entry.view.total;
    let free = entry.free();
    let cores = share(free.cores.0, need.cores.0, total.cores.0);
    let memory = share(free.memory.0, need.memory.0, total.memory.0);
    let idles_accelerator = need.accelerators == 0 && free.accelerators > 0;
    cores + memory + if idles_accelerator { IDLE_ACCELERATOR_PENALTY } else { 0 }
}
