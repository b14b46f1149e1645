//! The plan of a soak: its faults and their times, drawn from the seed.

use std::time::Duration;

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

use super::proxy::PathState;
use super::series::draw_series;
use super::{SoakProfile, SoakSize};
use crate::cell_platform::{AdviceFault, AffectedLeads, CORES, CallFault, HALL_COUNT, PathFault};

/// A fault that is injected from outside.
///
/// The first `usize` is the number of a box or worker. The variant names are written to `plan.txt`.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum SoakFault {
    /// Kills a box, and starts it again after a pause.
    Kill(usize, Duration),
    /// Stops a box by SIGTERM, and starts it again when it has ended.
    Stop(usize),
    /// Suspends the process of a box for a time.
    Pause(usize, Duration),
    /// Puts a box's path to the store into a faulty state for a time.
    Path(usize, PathState, Duration),
    /// Closes all connections of a box to the store.
    Reset(usize),
    /// Drops all further data on the open connections of a box to the store, without closing them.
    SilenceOpen(usize),
    /// Stops the store from answering calls for a time.
    StoreSilent(Duration),
    /// Kills all boxes at once, and starts them again after a pause.
    KillAll(Duration),
    /// Writes the next version of the configuration.
    Configure,
    /// Kills the box that holds the lead, and starts it again after a pause.
    KillLead(Duration),
    /// Suspends the process of the box that holds the lead for a time.
    PauseLead(Duration),
    /// Injects a fault into the calls to a worker for a time.
    WorkerPath(usize, PathFault, Duration),
    /// Crashes a worker. Its next life begins at the same address after a pause (first duration). The entry of the old life
    /// is removed from the store some time after that (second duration).
    WorkerDies(usize, Duration, Duration),
    /// Crashes every third worker at once, counted from the given one. Their next lives begin one after the other from this
    /// time on.
    ManyDie(usize, Duration),
    /// Crashes a worker, which comes back after a time (first duration) and does not answer for some time after that
    /// (second duration). No other fault brings it back.
    WorkerBoots(usize, Duration, Duration),
    /// Removes the entry of a live worker from the store for a time.
    Unlisted(usize, Duration),
    /// Gives a worker this many cores (second number) for a time.
    Resize(usize, usize, Duration),
    /// Injects a fault into appends to the store for a time.
    Appends(PathFault, Duration),
    /// Discards the history of the progress topic. Only the newest record of each key remains.
    Forget,
    /// Empties a data hall for a time.
    EmptyHall(usize, Duration),
    /// Injects a fault into the questions of a box to the advice service for a time.
    Advice(usize, AdviceFault, Duration),
    /// Discards the history of the progress topic, as [`SoakFault::Forget`] does, when the next lead begins its epoch there.
    /// Until then, for at most this time, reads of the topic return no records.
    ForgetAtFence(Duration),
}

impl SoakFault {
    /// Returns whether the fault affects only the questions of one box to the advice service. Jobs must not stall because
    /// of such a fault.
    pub fn affects_advice_only(self) -> bool {
        matches!(self, SoakFault::Advice(..))
    }
}

/// The faults with the time from the start of the load at which each begins.
pub type SoakPlan = Vec<(Duration, SoakFault)>;

/// Time between the beginnings of two general faults. Most of them last longer, so that they overlap.
const FAULT_GAP_MS: std::ops::Range<u64> = 200..1_600;

/// Average time between two silenced sets of connections ([`SoakFault::SilenceOpen`]).
const SILENCE_PERIOD_S: u64 = 3;
/// Duration of a fault of the advice service.
const ADVICE_FAULT_MS: std::ops::Range<u64> = 2_000..9_000;
/// Time between the end of a fault of the advice service and the next one.
const ADVICE_GAP_MS: std::ops::Range<u64> = 200..3_000;
/// Separates the generator of advice faults from the others.
const ADVICE_SALT: u64 = 0x6164_7669;

/// Time between two faults in the full profile.
const SPARSE_GAP_MS: std::ops::Range<u64> = 12_000..18_000;
/// Separates the generator of these sparse faults from the others.
const SPARSE_SALT: u64 = 0x7370_6172;

/// Separates the generator of silenced connections from the others.
const SILENCE_SALT: u64 = 0x5113_7ce5;

/// Average time between two changes of the cores of one worker.
const RESIZE_PERIOD_S: u64 = 12;
/// Separates the generator of changed cores from the others.
const RESIZE_SALT: u64 = 0x7369_7a65;

/// Time between the beginnings of two faults of workers or of the store in a cell of [`WORKER_GAP_WORKERS`] workers. It is
/// proportionally shorter with more workers.
const WORKER_GAP_MS: std::ops::Range<u64> = 100..1_000;
/// Number of workers to which [`WORKER_GAP_MS`] refers.
const WORKER_GAP_WORKERS: u64 = 6;
/// Separates the generator of worker and store faults from the others.
const WORKER_SALT: u64 = 0x776f_726b;
/// Time between two faults of the lead. It includes short ones, after which the next lead has just taken over.
const LEAD_GAP_MS: std::ops::Range<u64> = 500..4_500;
/// Separates the generator of lead faults from the others.
const LEAD_SALT: u64 = 0x6c65_6164;
/// Time between two faults of the lead that follow closely, so that the successor may be lost as well. It is shorter than a
/// lease of 4 s. Faults that hold reads of progress last as long.
const SECOND_LEAD_FAULT_DELAY_MS: std::ops::Range<u64> = 400..3_000;

/// Time between the beginnings of two emptied halls.
const HALL_GAP_MS: std::ops::Range<u64> = 1_000..12_000;
/// How long a hall is emptied: some requests are taken back before they are in force everywhere.
const HALL_EMPTIED_MS: std::ops::Range<u64> = 300..9_000;
/// Separates the generator of emptied halls from the others.
const HALL_SALT: u64 = 0x6861_6c6c;

/// Time between two crashes of many workers.
const MASS_DEATH_GAP_MS: std::ops::Range<u64> = 6_000..14_000;
/// Separates the generator of these crashes from the others.
const MASS_DEATH_SALT: u64 = 0x6d61_6e79;

/// Draws the faults of a load of `seconds` seconds. The same arguments always give the same plan.
pub fn draw_plan(seed: u64, seconds: u64, size: SoakSize) -> SoakPlan {
    let boxes = size.boxes;
    if size.profile == SoakProfile::Full {
        let mut plan = draw_advice_faults(seed, seconds, boxes);
        if size.faults {
            plan.extend(draw_sparse_faults(seed, seconds, size));
        }
        if size.series {
            plan.extend(draw_series(seed, seconds, size));
        }
        plan.sort_by_key(|(at, _)| *at);
        return plan;
    }
    let mut rng = StdRng::seed_from_u64(seed);
    let mut plan = Vec::new();
    let mut at = 500;
    while at < seconds * 1_000 {
        plan.push((Duration::from_millis(at), draw_fault(&mut rng, boxes)));
        at += rng.random_range(FAULT_GAP_MS);
    }
    plan.extend(draw_silences(seed, seconds, boxes));
    plan.extend(draw_worker_faults(seed, seconds, size.workers));
    plan.extend(draw_lead_faults(seed, seconds));
    plan.extend(draw_resizes(seed, seconds, size.workers));
    plan.extend(draw_mass_deaths(seed, seconds, size.workers));
    plan.extend(draw_emptied_halls(seed, seconds));
    if !size.faults {
        plan.clear();
    }
    if size.series {
        plan.extend(draw_series(seed, seconds, size));
    }
    if size.profile == SoakProfile::Wide {
        plan.extend(draw_advice_faults(seed, seconds, boxes));
    }
    plan.sort_by_key(|(at, _)| *at);
    plan
}

/// Draws faults of the advice service, each for the questions of one box. They do not overlap, so that all other boxes
/// can ask.
fn draw_advice_faults(seed: u64, seconds: u64, boxes: usize) -> SoakPlan {
    let mut rng = StdRng::seed_from_u64(seed ^ ADVICE_SALT);
    let mut plan = Vec::new();
    let mut at = rng.random_range(ADVICE_GAP_MS);
    while at < seconds * 1_000 {
        let kinds = [AdviceFault::Fails, AdviceFault::Silent, AdviceFault::Slow(8)];
        let fault = kinds[rng.random_range(0..kinds.len())];
        let span = rng.random_range(ADVICE_FAULT_MS);
        let number = rng.random_range(0..boxes);
        let (begins, span) = (Duration::from_millis(at), Duration::from_millis(span));
        plan.push((begins, SoakFault::Advice(number, fault, span)));
        at += span.as_millis() as u64 + rng.random_range(ADVICE_GAP_MS);
    }
    plan
}

/// Draws the faults of the full profile: single ones and pairs of a lead and a worker fault, with calm between them in
/// which long-running tasks have to run again.
fn draw_sparse_faults(seed: u64, seconds: u64, size: SoakSize) -> SoakPlan {
    let mut rng = StdRng::seed_from_u64(seed ^ SPARSE_SALT);
    let mut plan = Vec::new();
    let mut at = SPARSE_GAP_MS.start;
    while at < seconds * 1_000 {
        let begins = Duration::from_millis(at);
        let mut span = |range: std::ops::Range<u64>| Duration::from_millis(rng.random_range(range));
        let (pause, down, path_span) = (span(20..1_500), span(20..3_000), span(500..4_500));
        let number = rng.random_range(0..size.workers);
        let fault = draw_path_fault(&mut rng);
        let lead = match rng.random_range(0..3) {
            0 => SoakFault::KillLead(pause),
            1 => SoakFault::PauseLead(path_span),
            _ => SoakFault::Stop(rng.random_range(0..size.boxes)),
        };
        let worker = match rng.random_range(0..3) {
            0 => SoakFault::WorkerDies(number, down, down),
            1 => SoakFault::WorkerPath(number, fault, path_span),
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

/// Draws when connections fall silent. The separate generator leaves the other faults of a seed unchanged.
fn draw_silences(seed: u64, seconds: u64, boxes: usize) -> SoakPlan {
    let mut rng = StdRng::seed_from_u64(seed ^ SILENCE_SALT);
    let count = seconds / SILENCE_PERIOD_S;
    let draw = |_| {
        let at = Duration::from_millis(rng.random_range(500..seconds * 1_000));
        (at, SoakFault::SilenceOpen(rng.random_range(0..boxes)))
    };
    (0..count).map(draw).collect()
}

/// Draws when workers have fewer cores for a time, down to none.
fn draw_resizes(seed: u64, seconds: u64, workers: usize) -> SoakPlan {
    let mut rng = StdRng::seed_from_u64(seed ^ RESIZE_SALT);
    let count = seconds * workers as u64 / RESIZE_PERIOD_S;
    let draw = |_| {
        let at = Duration::from_millis(rng.random_range(500..seconds * 1_000));
        let (number, cores) = (rng.random_range(0..workers), rng.random_range(0..CORES));
        let span = Duration::from_millis(rng.random_range(100..6_000));
        (at, SoakFault::Resize(number, cores, span))
    };
    (0..count).map(draw).collect()
}

/// Draws when many workers crash at once.
fn draw_mass_deaths(seed: u64, seconds: u64, workers: usize) -> SoakPlan {
    let mut rng = StdRng::seed_from_u64(seed ^ MASS_DEATH_SALT);
    let mut plan = Vec::new();
    let mut at = rng.random_range(MASS_DEATH_GAP_MS) / 2;
    while at < seconds * 1_000 {
        let down = Duration::from_millis(rng.random_range(100..3_000));
        let fault = SoakFault::ManyDie(rng.random_range(0..workers), down);
        plan.push((Duration::from_millis(at), fault));
        at += rng.random_range(MASS_DEATH_GAP_MS);
    }
    plan
}

/// Draws when halls are emptied, sometimes all of them at once.
fn draw_emptied_halls(seed: u64, seconds: u64) -> SoakPlan {
    let mut rng = StdRng::seed_from_u64(seed ^ HALL_SALT);
    let mut plan = Vec::new();
    let mut at = rng.random_range(HALL_GAP_MS);
    while at < seconds * 1_000 {
        let span = Duration::from_millis(rng.random_range(HALL_EMPTIED_MS));
        let number = rng.random_range(0..HALL_COUNT);
        plan.push((Duration::from_millis(at), SoakFault::EmptyHall(number, span)));
        at += rng.random_range(HALL_GAP_MS);
    }
    plan
}

/// Draws a general fault of boxes, of their paths or of the store.
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

/// Draws when leads are lost, some of them soon after they took over.
fn draw_lead_faults(seed: u64, seconds: u64) -> SoakPlan {
    let mut rng = StdRng::seed_from_u64(seed ^ LEAD_SALT);
    let mut plan = Vec::new();
    let mut at = rng.random_range(LEAD_GAP_MS);
    while at < seconds * 1_000 {
        let begins = Duration::from_millis(at);
        let pause = Duration::from_millis(rng.random_range(20..1_500));
        let second = Duration::from_millis(rng.random_range(SECOND_LEAD_FAULT_DELAY_MS));
        let lead_pause = Duration::from_millis(rng.random_range(200..6_000));
        match rng.random_range(0..5) {
            0 => plan.push((begins, SoakFault::KillLead(pause))),
            4 => {
                // Progress that this lead has not passed on to other boxes when it is killed is discarded when the next
                // lead begins its epoch.
                let held = Duration::from_millis(rng.random_range(20..200));
                plan.push((begins, SoakFault::ForgetAtFence(second)));
                plan.push((begins + held, SoakFault::KillLead(pause)));
            }
            1 => {
                plan.push((begins, SoakFault::KillLead(pause)));
                plan.push((begins + second, SoakFault::KillLead(pause)));
            }
            2 => {
                plan.push((begins, SoakFault::PauseLead(lead_pause)));
                plan.push((begins + second, SoakFault::KillLead(pause)));
            }
            _ => plan.push((begins, SoakFault::PauseLead(lead_pause))),
        }
        at += rng.random_range(LEAD_GAP_MS);
    }
    plan
}

/// Draws faults of single workers and of the store.
fn draw_worker_faults(seed: u64, seconds: u64, workers: usize) -> SoakPlan {
    let mut rng = StdRng::seed_from_u64(seed ^ WORKER_SALT);
    let mut plan = Vec::new();
    let mut at = 500;
    while at < seconds * 1_000 {
        plan.push((Duration::from_millis(at), draw_worker_fault(&mut rng, workers)));
        at += 1 + rng.random_range(WORKER_GAP_MS) * WORKER_GAP_WORKERS / (workers as u64).max(1);
    }
    plan
}

fn draw_worker_fault(rng: &mut StdRng, workers: usize) -> SoakFault {
    let number = rng.random_range(0..workers);
    let mut span = |range: std::ops::Range<u64>| Duration::from_millis(rng.random_range(range));
    let (down, listed) = (span(20..1_500), span(300..4_000));
    let (path_span, unlisted_span, store_span) =
        (span(500..10_000), span(500..6_000), span(300..2_500));
    match rng.random_range(0..100) {
        0..50 => SoakFault::WorkerPath(number, draw_path_fault(rng), path_span),
        50..68 => SoakFault::WorkerDies(number, down, listed),
        68..84 => SoakFault::Unlisted(number, unlisted_span),
        84..92 => {
            let leads = AffectedLeads::All;
            SoakFault::Appends(PathFault { leads, ..draw_path_fault(rng) }, store_span)
        }
        92..95 => SoakFault::Forget,
        _ => SoakFault::ForgetAtFence(store_span),
    }
}

/// Draws a fault of calls. The tokens in its leads are placeholders.
fn draw_path_fault(rng: &mut StdRng) -> PathFault {
    let kinds = [CallFault::Lost, CallFault::Unanswered, CallFault::Late, CallFault::AnsweredLate];
    // Relative to the lead at the time of the fault: see `AffectedLeads::as_of`.
    let leads = [AffectedLeads::All, AffectedLeads::UpTo(0), AffectedLeads::After(0)];
    PathFault {
        kind: kinds[rng.random_range(0..kinds.len())],
        percent: [20, 50, 100][rng.random_range(0..3)],
        leads: leads[rng.random_range(0..leads.len())],
    }
}
