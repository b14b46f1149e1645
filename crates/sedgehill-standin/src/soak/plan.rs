//! The faults of one run, drawn from its seed.

use std::time::Duration;

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

use super::proxy::PathState;
use super::{SoakSize, SoakWorld};
use crate::cell_platform::{AdviceFault, AffectedLeads, CORES, CallFault, PathFault};

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
    /// The lead is killed, and started again after a pause.
    KillLead(Duration),
    /// The lead stands still, and then goes on.
    PauseLead(Duration),
    /// Calls to a worker meet trouble for a time.
    WorkerPath(usize, PathFault, Duration),
    /// A worker dies; another life follows at its address after a pause. The store lists the old one for
    /// a time.
    WorkerDies(usize, Duration, Duration),
    /// A third of all workers die at one moment, counted from some worker, and are back after about so long.
    ManyDie(usize, Duration),
    /// The store does not list a worker for a time, though it lives.
    Unlisted(usize, Duration),
    /// A worker has so many cores for a time.
    Resize(usize, usize, Duration),
    /// Appends meet trouble for a time.
    Appends(PathFault, Duration),
    /// The store forgets the progress of jobs but for the newest of each key.
    Forget,
    /// The questions of a box to the advice service meet trouble for a time.
    Advice(usize, AdviceFault, Duration),
    /// The same the moment the next lead fences. For a time before it progress is not read.
    ForgetAtFence(Duration),
}

impl SoakFault {
    /// Whether it only troubles the questions of one box, so that all jobs have to go on meanwhile.
    pub fn is_of_advice(self) -> bool {
        matches!(self, SoakFault::Advice(..))
    }
}

/// When which fault begins, from the start of the load.
pub type SoakPlan = Vec<(Duration, SoakFault)>;

/// Faults begin on the average so far apart, which is less than most of them last.
const GAP_MS: std::ops::Range<u64> = 200..1_600;

/// Connections of some box fall silent once in so many seconds.
const SILENCE_EVERY_S: u64 = 3;
/// Questions of some box meet trouble for so long, with so much time between.
const ADVICE_SPAN_MS: std::ops::Range<u64> = 2_000..9_000;
const ADVICE_GAP_MS: std::ops::Range<u64> = 200..3_000;
/// Tells the generator of these faults from the others.
const ADVICE_SALT: u64 = 0x6164_7669;

/// Faults of a full cell are so far apart.
const SPARSE_GAP_MS: std::ops::Range<u64> = 12_000..18_000;
/// Tells the generator of these faults from the others.
const SPARSE_SALT: u64 = 0x7370_6172;

/// Tells the generator of silences from that of the other faults.
const SILENCE_SALT: u64 = 0x5113_7ce5;

/// Each worker shrinks once in so many seconds.
const SIZE_EVERY_S: u64 = 12;
/// Tells the generator of these faults from the others.
const SIZE_SALT: u64 = 0x7369_7a65;

/// Faults of a worker or of the store begin on the average so far apart with six workers, and as much
/// closer as there are more.
const WORKER_GAP_MS: std::ops::Range<u64> = 100..1_000;
/// Tells the generator of these faults from the others.
const WORKER_SALT: u64 = 0x776f_726b;
/// Leads are lost so far apart: each may just have taken over.
const LEAD_GAP_MS: std::ops::Range<u64> = 500..4_500;
/// Tells the generator of these faults from the others.
const LEAD_SALT: u64 = 0x6c65_6164;
/// A second lead may be lost so soon after the first one: within a lease of 4 s.
const SECOND_LEAD_MS: std::ops::Range<u64> = 400..3_000;

/// Many workers die together so far apart.
const MANY_GAP_MS: std::ops::Range<u64> = 6_000..14_000;
/// Tells the generator of these faults from the others.
const MANY_SALT: u64 = 0x6d61_6e79;

/// Draws the faults of a run of `seconds` seconds.
pub fn draw_plan(seed: u64, seconds: u64, size: SoakSize) -> SoakPlan {
    let boxes = size.boxes;
    if size.world == SoakWorld::Full {
        let mut plan = draw_advice(seed, seconds, boxes);
        if size.faults {
            plan.extend(draw_sparse(seed, seconds, size));
        }
        plan.sort_by_key(|(at, _)| *at);
        return plan;
    }
    let mut rng = StdRng::seed_from_u64(seed);
    let mut plan = Vec::new();
    let mut at = 500;
    while at < seconds * 1_000 {
        plan.push((Duration::from_millis(at), draw_fault(&mut rng, boxes)));
        at += rng.random_range(GAP_MS);
    }
    plan.extend(draw_silences(seed, seconds, boxes));
    plan.extend(draw_worker_faults(seed, seconds, size.workers));
    plan.extend(draw_lead_faults(seed, seconds));
    plan.extend(draw_sizes(seed, seconds, size.workers));
    plan.extend(draw_losses(seed, seconds, size.workers));
    if !size.faults {
        plan.clear();
    }
    if size.world == SoakWorld::Wide {
        plan.extend(draw_advice(seed, seconds, boxes));
    }
    plan.sort_by_key(|(at, _)| *at);
    plan
}

/// Draws trouble of the questions of one box after the other: all others can ask meanwhile.
fn draw_advice(seed: u64, seconds: u64, boxes: usize) -> SoakPlan {
    let mut rng = StdRng::seed_from_u64(seed ^ ADVICE_SALT);
    let mut plan = Vec::new();
    let mut at = rng.random_range(ADVICE_GAP_MS);
    while at < seconds * 1_000 {
        let kinds = [AdviceFault::Fails, AdviceFault::Silent, AdviceFault::Slow(8)];
        let trouble = kinds[rng.random_range(0..kinds.len())];
        let span = rng.random_range(ADVICE_SPAN_MS);
        let number = rng.random_range(0..boxes);
        let (begins, span) = (Duration::from_millis(at), Duration::from_millis(span));
        plan.push((begins, SoakFault::Advice(number, trouble, span)));
        at += span.as_millis() as u64 + rng.random_range(ADVICE_GAP_MS);
    }
    plan
}

/// Draws faults, some of them two at once, with calm between them in which long-running tasks have to run again.
fn draw_sparse(seed: u64, seconds: u64, size: SoakSize) -> SoakPlan {
    let mut rng = StdRng::seed_from_u64(seed ^ SPARSE_SALT);
    let mut plan = Vec::new();
    let mut at = SPARSE_GAP_MS.start;
    while at < seconds * 1_000 {
        let begins = Duration::from_millis(at);
        let mut span = |range: std::ops::Range<u64>| Duration::from_millis(rng.random_range(range));
        let (pause, down, cut) = (span(20..1_500), span(20..3_000), span(500..4_500));
        let number = rng.random_range(0..size.workers);
        let trouble = draw_trouble(&mut rng);
        let lead = match rng.random_range(0..3) {
            0 => SoakFault::KillLead(pause),
            1 => SoakFault::PauseLead(cut),
            _ => SoakFault::Stop(rng.random_range(0..size.boxes)),
        };
        let worker = match rng.random_range(0..3) {
            0 => SoakFault::WorkerDies(number, down, down),
            1 => SoakFault::WorkerPath(number, trouble, cut),
            _ => SoakFault::ManyDie(number, down),
        };
        match rng.random_range(0..3) {
            0 => plan.push((begins, lead)),
            1 => plan.push((begins, worker)),
            _ => plan.extend([(begins, lead), (begins + pause / 4, worker)]),
        }
        at += rng.random_range(SPARSE_GAP_MS);
    }
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

/// Draws when workers shrink and grow, down to nothing.
fn draw_sizes(seed: u64, seconds: u64, workers: usize) -> SoakPlan {
    let mut rng = StdRng::seed_from_u64(seed ^ SIZE_SALT);
    let count = seconds * workers as u64 / SIZE_EVERY_S;
    let draw = |_| {
        let at = Duration::from_millis(rng.random_range(500..seconds * 1_000));
        let (number, cores) = (rng.random_range(0..workers), rng.random_range(0..CORES));
        let span = Duration::from_millis(rng.random_range(100..6_000));
        (at, SoakFault::Resize(number, cores, span))
    };
    (0..count).map(draw).collect()
}

/// Draws when many workers die together.
fn draw_losses(seed: u64, seconds: u64, workers: usize) -> SoakPlan {
    let mut rng = StdRng::seed_from_u64(seed ^ MANY_SALT);
    let mut plan = Vec::new();
    let mut at = rng.random_range(MANY_GAP_MS) / 2;
    while at < seconds * 1_000 {
        let down = Duration::from_millis(rng.random_range(100..3_000));
        let fault = SoakFault::ManyDie(rng.random_range(0..workers), down);
        plan.push((Duration::from_millis(at), fault));
        at += rng.random_range(MANY_GAP_MS);
    }
    plan
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

fn draw_lead_faults(seed: u64, seconds: u64) -> SoakPlan {
    let mut rng = StdRng::seed_from_u64(seed ^ LEAD_SALT);
    let mut plan = Vec::new();
    let mut at = rng.random_range(LEAD_GAP_MS);
    while at < seconds * 1_000 {
        let begins = Duration::from_millis(at);
        let pause = Duration::from_millis(rng.random_range(20..1_500));
        let second = Duration::from_millis(rng.random_range(SECOND_LEAD_MS));
        let frozen = Duration::from_millis(rng.random_range(200..6_000));
        match rng.random_range(0..5) {
            0 => plan.push((begins, SoakFault::KillLead(pause))),
            4 => {
                // What this lead has not passed on when it dies is forgotten as the next one fences.
                let held = Duration::from_millis(rng.random_range(20..200));
                plan.push((begins, SoakFault::ForgetAtFence(second)));
                plan.push((begins + held, SoakFault::KillLead(pause)));
            }
            1 => {
                plan.push((begins, SoakFault::KillLead(pause)));
                plan.push((begins + second, SoakFault::KillLead(pause)));
            }
            2 => {
                plan.push((begins, SoakFault::PauseLead(frozen)));
                plan.push((begins + second, SoakFault::KillLead(pause)));
            }
            _ => plan.push((begins, SoakFault::PauseLead(frozen))),
        }
        at += rng.random_range(LEAD_GAP_MS);
    }
    plan
}

fn draw_worker_faults(seed: u64, seconds: u64, workers: usize) -> SoakPlan {
    const GAP_WORKERS: u64 = 6;
    let mut rng = StdRng::seed_from_u64(seed ^ WORKER_SALT);
    let mut plan = Vec::new();
    let mut at = 500;
    while at < seconds * 1_000 {
        plan.push((Duration::from_millis(at), draw_worker_fault(&mut rng, workers)));
        at += 1 + rng.random_range(WORKER_GAP_MS) * GAP_WORKERS / (workers as u64).max(1);
    }
    plan
}

fn draw_worker_fault(rng: &mut StdRng, workers: usize) -> SoakFault {
    let number = rng.random_range(0..workers);
    let mut span = |range: std::ops::Range<u64>| Duration::from_millis(rng.random_range(range));
    let (down, listed) = (span(20..1_500), span(300..4_000));
    let (cut, away, stored) = (span(500..10_000), span(500..6_000), span(300..2_500));
    match rng.random_range(0..100) {
        0..50 => SoakFault::WorkerPath(number, draw_trouble(rng), cut),
        50..68 => SoakFault::WorkerDies(number, down, listed),
        68..84 => SoakFault::Unlisted(number, away),
        84..92 => {
            let leads = AffectedLeads::All;
            SoakFault::Appends(PathFault { leads, ..draw_trouble(rng) }, stored)
        }
        92..95 => SoakFault::Forget,
        _ => SoakFault::ForgetAtFence(stored),
    }
}

fn draw_trouble(rng: &mut StdRng) -> PathFault {
    let kinds = [CallFault::Lost, CallFault::Unanswered, CallFault::Late, CallFault::AnsweredLate];
    // Counted from the lead of that moment.
    let leads = [AffectedLeads::All, AffectedLeads::UpTo(0), AffectedLeads::After(0)];
    PathFault {
        kind: kinds[rng.random_range(0..kinds.len())],
        percent: [20, 50, 100][rng.random_range(0..3)],
        leads: leads[rng.random_range(0..leads.len())],
    }
}
