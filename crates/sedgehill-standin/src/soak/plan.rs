//! The faults of one run, drawn from its seed.

use std::time::Duration;

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

use super::proxy::PathState;

/// One thing that happens from outside.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum SoakFault {
    /// A box is killed, and started again after a pause.
    Kill(usize, Duration),
    /// A box is stopped as planned, and started again when it has ended.
    Stop(usize),
    /// A box stands still.
    Pause(usize, Duration),
    /// A box's path to the store is worse for a time.
    Path(usize, PathState, Duration),
    /// All connections of a box to the store break.
    Reset(usize),
    /// The open connections of a box to the store lose all that is sent on them.
    SilenceOpen(usize),
    /// The store answers nobody.
    StoreSilent(Duration),
    /// All boxes are killed at once, and started again after a pause.
    KillAll(Duration),
    /// The configuration changes.
    Configure,
}

/// When which fault begins, from the start of the load.
pub type SoakPlan = Vec<(Duration, SoakFault)>;

/// Faults begin on the average so far apart, which is less than most of them last.
const GAP_MS: std::ops::Range<u64> = 200..1_600;

/// Connections of some box fall silent once in so many seconds.
const SILENCE_EVERY_S: u64 = 3;
/// Tells the generator of silences from that of the other faults.
const SILENCE_SALT: u64 = 0x5113_7ce5;

/// Draws the faults of a run of `seconds` seconds with `boxes` boxes.
pub fn draw_plan(seed: u64, seconds: u64, boxes: usize) -> SoakPlan {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut plan = Vec::new();
    let mut at = 500;
    while at < seconds * 1_000 {
        plan.push((Duration::from_millis(at), draw_fault(&mut rng, boxes)));
        at += rng.random_range(GAP_MS);
    }
    plan.extend(draw_silences(seed, seconds, boxes));
    plan.sort_by_key(|(at, _)| *at);
    plan
}

/// Draws when connections fall silent: from a generator of its own, so that a seed keeps its other faults.
fn draw_silences(seed: u64, seconds: u64, boxes: usize) -> SoakPlan {
    let mut rng = StdRng::seed_from_u64(seed ^ SILENCE_SALT);
    let count = seconds / SILENCE_EVERY_S;
    let draw = |_| {
        let at = Duration::from_millis(rng.random_range(500..seconds * 1_000));
        (at, SoakFault::SilenceOpen(rng.random_range(0..boxes)))
    };
    (0..count).map(draw).collect()
}

fn draw_fault(rng: &mut StdRng, boxes: usize) -> SoakFault {
    let number = rng.random_range(0..boxes);
    let span = Duration::from_millis(rng.random_range(100..4_000));
    match rng.random_range(0..100) {
        0..16 => SoakFault::Kill(number, span / 4),
        16..28 => SoakFault::Stop(number),
        28..42 => SoakFault::Pause(number, span),
        42..54 => SoakFault::Path(number, PathState::SilentBack, span),
        54..62 => SoakFault::Path(number, PathState::SilentForth, span),
        62..70 => SoakFault::Path(number, PathState::Refusing, span),
        70..78 => SoakFault::Path(number, PathState::Slow(span / 16), span),
        78..84 => SoakFault::Reset(number),
        84..90 => SoakFault::StoreSilent(span),
        90..93 => SoakFault::KillAll(span / 4),
        _ => SoakFault::Configure,
    }
}
