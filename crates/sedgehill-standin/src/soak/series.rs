//! Faults in series that overlap: signals to one box, restarts of all boxes, changes of the configuration and of a worker,
//! and workers that come back as late as a machine that boots.

use std::ops::Range;
use std::time::Duration;

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

use super::SoakSize;
use super::plan::{SoakFault, SoakPlan};
use crate::cell_platform::StandinWorkers;

/// Time between the beginnings of two series. Most of them last longer.
const SERIES_GAP_MS: Range<u64> = 1_000..5_000;
/// Time between two signals to one box.
const SIGNAL_GAP_MS: Range<u64> = 20..1_200;
/// Duration of a suspension within a series.
const SUSPENSION_MS: Range<u64> = 10..2_500;
/// Maximum time from the first to the last signal of a restart of all boxes.
const MAX_RESTART_MS: u64 = 10_000;
/// Gaps between two boxes of such a restart. A planned stop takes 3 to 6 s, so that many of them overlap.
const RESTART_GAPS_MS: [u64; 4] = [0, 100, 700, 4_000];
/// Time between two changes of the configuration.
const CHANGE_GAP_MS: Range<u64> = 10..600;
/// Time between two changes of one worker.
const WORKER_CHANGE_GAP_MS: Range<u64> = 20..900;
/// Separates the generator of series from the others.
const SERIES_SALT: u64 = 0x7365_7269;

/// Time from a crash until the worker is back, as long as a machine takes to boot.
const BOOT_MS: Range<u64> = 40_000..55_000;
/// One in this many workers also takes that long after each crash by a task.
const SLOW_WORKER_STRIDE: usize = 6;
/// Time for which a worker does not answer after its return.
const SILENT_MS: Range<u64> = 100..6_000;
/// Time between two such crashes in a cell of [`BOOT_GAP_WORKERS`] workers. It is proportionally shorter with more workers.
const BOOT_GAP_MS: Range<u64> = 15_000..35_000;
/// Number of workers to which [`BOOT_GAP_MS`] refers.
const BOOT_GAP_WORKERS: u64 = 6;
/// Time from the crash or from the return of a worker to a loss of the lead.
const LEAD_DELAY_MS: Range<u64> = 0..3_000;
/// Separates the generator of late workers from the others.
const BOOT_SALT: u64 = 0x626f_6f74;

/// Draws series of faults.
pub fn draw_series(seed: u64, seconds: u64, size: SoakSize) -> SoakPlan {
    let mut rng = StdRng::seed_from_u64(seed ^ SERIES_SALT);
    let mut plan = Vec::new();
    let mut at = rng.random_range(SERIES_GAP_MS) / 2;
    while at < seconds * 1_000 {
        match rng.random_range(0..5) {
            0 | 1 => draw_signals(&mut rng, at, size.boxes, &mut plan),
            2 => draw_restart(&mut rng, at, size.boxes, &mut plan),
            3 => draw_changes(&mut rng, at, &mut plan),
            _ => draw_worker_changes(&mut rng, at, size, &mut plan),
        }
        at += rng.random_range(SERIES_GAP_MS);
    }
    plan.extend(draw_late_workers(seed, seconds, size));
    plan
}

/// Makes some workers come back late after each crash by a task.
pub fn slow_restarts(workers: &StandinWorkers, size: SoakSize) {
    for number in (SLOW_WORKER_STRIDE - 1..size.workers).step_by(SLOW_WORKER_STRIDE) {
        let delay = Duration::from_millis(BOOT_MS.start);
        workers.set_restart_delay(number, Some(delay));
    }
}

fn push(plan: &mut SoakPlan, at: u64, fault: SoakFault) {
    plan.push((Duration::from_millis(at), fault));
}

fn span(rng: &mut StdRng, range: Range<u64>) -> Duration {
    Duration::from_millis(rng.random_range(range))
}

/// Draws signals to one box that is asked to stop: suspensions, further requests to stop, and at times a kill.
fn draw_signals(rng: &mut StdRng, mut at: u64, boxes: usize, plan: &mut SoakPlan) {
    let number = rng.random_range(0..boxes);
    let is_killed = rng.random_ratio(1, 4);
    if rng.random() {
        push(plan, at, SoakFault::Pause(number, span(rng, SUSPENSION_MS)));
    }
    push(plan, at, SoakFault::Stop(number));
    for _ in 0..rng.random_range(1..6) {
        at += rng.random_range(SIGNAL_GAP_MS);
        match rng.random_ratio(3, 4) {
            true => push(plan, at, SoakFault::Pause(number, span(rng, SUSPENSION_MS))),
            false => push(plan, at, SoakFault::Stop(number)),
        }
    }
    if is_killed {
        push(plan, at, SoakFault::Kill(number, span(rng, SIGNAL_GAP_MS)));
    }
}

/// Draws a planned stop of all boxes, one after the other or at once.
fn draw_restart(rng: &mut StdRng, at: u64, boxes: usize, plan: &mut SoakPlan) {
    let gap = RESTART_GAPS_MS[rng.random_range(0..RESTART_GAPS_MS.len())];
    let gap = gap.min(MAX_RESTART_MS / boxes as u64);
    let first = rng.random_range(0..boxes);
    for index in 0..boxes {
        push(plan, at + gap * index as u64, SoakFault::Stop((first + index) % boxes));
    }
    if rng.random() {
        draw_changes(rng, at, plan);
    }
}

fn draw_changes(rng: &mut StdRng, mut at: u64, plan: &mut SoakPlan) {
    for _ in 0..rng.random_range(2..9) {
        push(plan, at, SoakFault::Configure);
        at += rng.random_range(CHANGE_GAP_MS);
    }
}

/// Draws changes of one worker: its size, its entry and its lives.
fn draw_worker_changes(rng: &mut StdRng, mut at: u64, size: SoakSize, plan: &mut SoakPlan) {
    let number = rng.random_range(0..size.workers);
    for _ in 0..rng.random_range(2..7) {
        let (short, long) = (span(rng, WORKER_CHANGE_GAP_MS), span(rng, SUSPENSION_MS));
        let fault = match rng.random_range(0..3) {
            0 => SoakFault::Resize(number, rng.random_range(0..size.cores()), long),
            1 => SoakFault::Unlisted(number, short),
            _ => SoakFault::WorkerDies(number, short, long),
        };
        push(plan, at, fault);
        at += rng.random_range(WORKER_CHANGE_GAP_MS);
    }
}

/// Draws workers that come back late and silent. Half of their crashes, and half of their returns, are near a loss of the
/// lead.
fn draw_late_workers(seed: u64, seconds: u64, size: SoakSize) -> SoakPlan {
    let mut rng = StdRng::seed_from_u64(seed ^ BOOT_SALT);
    let mut plan = Vec::new();
    let mut at = rng.random_range(BOOT_GAP_MS) * BOOT_GAP_WORKERS / size.workers as u64 / 8;
    while at < seconds * 1_000 {
        let boot_ms = rng.random_range(BOOT_MS);
        let fault = SoakFault::WorkerBoots(
            rng.random_range(0..size.workers),
            Duration::from_millis(boot_ms),
            span(&mut rng, SILENT_MS),
        );
        push(&mut plan, at, fault);
        for near in [at, at + boot_ms] {
            let delay = rng.random_range(LEAD_DELAY_MS);
            let fault = match rng.random_range(0..4) {
                0 => SoakFault::KillLead(span(&mut rng, SIGNAL_GAP_MS)),
                1 => SoakFault::PauseLead(span(&mut rng, SILENT_MS)),
                _ => continue,
            };
            push(&mut plan, near + delay, fault);
        }
        at += rng.random_range(BOOT_GAP_MS) * BOOT_GAP_WORKERS / size.workers as u64;
    }
    plan
}
