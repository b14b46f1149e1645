//! Which worker fits a task best.

use std::collections::BTreeMap;

use super::worker::WorkerEntry;
use crate::ids::WorkerId;
use crate::units::{Moment, ResourceSet};

/// The fullest worker that still holds the task, and how many could hold it.
pub(super) fn best_fit(
    workers: &BTreeMap<WorkerId, WorkerEntry>,
    need: &ResourceSet,
    now: Moment,
) -> (Option<WorkerId>, usize) {
    let mut candidates = 0;
    let mut best: Option<(u64, &WorkerId)> = None;
    for (id, room) in workers {
        if !room.free().fits(need) || !room.is_usable(now) {
            continue;
        }
        candidates += 1;
        let left = leftover(room, need);
        if best.is_none_or(|(least, _)| left < least) {
            best = Some((left, id));
        }
    }
    (best.map(|(_, id)| id.clone()), candidates)
}

/// The share of the worker left free, summed over its resources, in millionths. An accelerator
/// left over where none is needed weighs heavily, so that such workers stay free for work that
/// needs them.
fn leftover(room: &WorkerEntry, need: &ResourceSet) -> u64 {
    const SCALE: u64 = 1_000_000;
    const UNUSED_ACCELERATOR: u64 = 3 * SCALE;
    let share = |free: u64, need: u64, total: u64| match total {
        0 => 0,
        total => (u128::from(free - need) * u128::from(SCALE) / u128::from(total)) as u64,
    };
    let total = &room.view.total;
    let left = room.free();
    let cores = share(left.cores.0, need.cores.0, total.cores.0);
    let memory = share(left.memory.0, need.memory.0, total.memory.0);
    let wasted = need.accelerators == 0 && left.accelerators > 0;
    cores + memory + if wasted { UNUSED_ACCELERATOR } else { 0 }
}
