//! Workers that run tasks under leases, and count what must never happen.

use std::collections::BTreeSet;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::net::SocketAddr;
use std::ops::Range;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use parking_lot::Mutex;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

use super::call_fault::{FaultInjector, PathFault};
use super::life::{StandinClock, StandinLife};
use super::oracle::TaskOracle;

/// How long every task runs where nothing else is asked for, in milliseconds.
const RUN_MS: Range<u64> = 150..151;
/// How long a stop takes, in milliseconds: the users allow 400.
pub(super) const STOP_MS: u64 = 350;
/// One step in so many runs for longer than the least time.
const LONG_ONE_IN: u64 = 4;
/// One of those runs for so many times as long: past the longest lease.
const LONGER_ONE_IN: u64 = 6;
const LONGER_TIMES: u64 = 4;
/// Cores of a worker, where nothing else is asked for. Each task needs one, unless its work says more.
pub const CORES: usize = 4;
/// A worker that shrank may be filled by what it had for so long, in milliseconds: the users allow 3 s and a beat.
const SIZE_KNOWN_MS: u64 = 4_500;
/// From a crash until the next life, in milliseconds.
const BACK_MS: u64 = 1_500;
/// A life that crashed is listed for so long, in milliseconds: three beats of silence.
const LISTED_MS: u64 = 4_500;
/// Time between two looks of a call that waits.
pub(super) const TURN: Duration = Duration::from_millis(5);
/// How far apart the clocks of workers are, in milliseconds.
const CLOCK_APART_MS: u64 = 100_000;
/// How far ahead the clocks of the lives at one address begin, in turn, in milliseconds.
const CLOCKS_BEGIN_MS: [u64; 3] = [50_000, 10_000, 90_000];
/// How many of the lives that follow have the id of the one before.
const KEPT_SHARE: f64 = 0.6;
/// How slow the clocks of workers run in turn, in thousandths.
const CLOCKS_SLOW: [u64; 3] = [0, 10, 20];

/// A place for a worker.
#[derive(Debug)]
pub(super) struct WorkerSite {
    /// The life that is there; none while nothing is.
    pub(super) life: Option<StandinLife>,
    /// Lives that there were.
    lives: usize,
    /// Ids that they had: a life may have the id of the one before it.
    pub(super) ids: usize,
    pub(super) trouble: Option<PathFault>,
    /// Runs that were begun there.
    pub(super) starts: usize,
    /// What it has, and what it had before, with until when a lead may go by that.
    pub(super) cores: usize,
    earlier_cores: Vec<(usize, u64)>,
    /// When the next life begins after a task crashed the last one.
    back_at: Option<u64>,
    /// Lives that crashed and are listed, with until when.
    listed: Vec<(String, u64)>,
}

#[derive(Debug)]
pub(super) struct PoolState {
    pub(super) sites: Vec<WorkerSite>,
    pub(super) oracle: TaskOracle,
    pub(super) run_ms: Range<u64>,
    /// Draws which lives keep the id of the one before; none if all have ids of their own and tell no starts.
    keeping: Option<StdRng>,
}

/// All workers, which share one account of what must never happen.
#[derive(Debug)]
pub struct StandinWorkers {
    begun: Instant,
    pub(super) state: Mutex<PoolState>,
    pub(super) fault_injector: FaultInjector,
    /// How much later than they are given all answers arrive, in milliseconds.
    pub(super) delay_ms: AtomicU64,
}

/// The step of a task.
pub(super) fn step_of(task: &str) -> &str {
    task.rsplit_once('.').map_or(task, |(step, _)| step)
}

/// An id of a worker.
pub fn name(number: usize, id: usize) -> String {
    match id {
        0 => format!("worker-{number}"),
        id => format!("worker-{number}-{id}"),
    }
}

/// The entry of a worker in the store.
pub fn entry(address: SocketAddr, cores: usize) -> serde_json::Value {
    serde_json::json!({
        "service": "pool", "address": address, "state": "ready", "labels": ["a"],
        "capacity": {"cpu": cores * 1000, "mem_mb": 4096, "gpu": 0}
    })
}

impl StandinWorkers {
    /// Workers of so many cores that run nothing.
    pub fn new(count: usize, cores: usize) -> StandinWorkers {
        let site = |number| WorkerSite {
            life: Some(new_life(number, 0, 0, None)),
            lives: 1,
            ids: 1,
            trouble: None,
            starts: 0,
            cores,
            earlier_cores: Vec::new(),
            back_at: None,
            listed: Vec::new(),
        };
        let sites = (0..count).map(site).collect();
        StandinWorkers {
            begun: Instant::now(),
            state: Mutex::new(PoolState {
                sites,
                oracle: TaskOracle::default(),
                run_ms: RUN_MS,
                keeping: None,
            }),
            fault_injector: FaultInjector::default(),
            delay_ms: AtomicU64::new(0),
        }
    }

    /// What happened that must never happen.
    pub fn violations(&self) -> Vec<String> {
        self.state.lock().oracle.violations.clone()
    }

    /// Has all answers arrive late from now on, as over a link that is full. An end counts as noted once it
    /// was listed, since its answer does arrive.
    pub fn delay_answers(&self, delay: Duration) {
        self.delay_ms.store(delay.as_millis() as u64, Ordering::Relaxed);
    }

    /// Has it counted as a violation if more than `most` tasks run at once of jobs whose ids begin so.
    pub fn limit_running_tasks(&self, prefix: &str, most: usize) {
        self.state.lock().oracle.bounds.push((prefix.to_owned(), most));
    }

    /// Has tasks run for so many milliseconds: those of one step alike, most of them for the least time.
    pub fn set_run_ms(&self, run_ms: Range<u64>) {
        self.state.lock().run_ms = run_ms;
    }

    /// Draws by another seed what becomes of calls.
    pub fn seed(&self, seed: u64) {
        self.fault_injector.seed(seed);
    }

    /// Has all workers tell when their lives began, and some that die start again under the ids that they had.
    pub fn reuse_ids(&self, seed: u64) {
        let state = &mut *self.state.lock();
        state.keeping = Some(StdRng::seed_from_u64(seed));
        for life in state.sites.iter_mut().flat_map(|site| &mut site.life) {
            life.born = Some(unix_ms());
        }
    }

    /// When the life at an address began, if it tells.
    pub fn born(&self, number: usize) -> Option<u64> {
        self.state.lock().sites[number].life.as_ref()?.born
    }

    /// How many lives there were at an address.
    pub(super) fn lives(&self, number: usize) -> usize {
        self.state.lock().sites[number].lives
    }

    /// Whether a life with this id is there.
    pub fn is_alive(&self, id: &str) -> bool {
        let state = self.state.lock();
        state.sites.iter().flat_map(|site| &site.life).any(|life| life.name == id)
    }

    /// Makes the path to a worker worse, or good again.
    pub fn set_path_fault(&self, number: usize, trouble: Option<PathFault>) {
        self.state.lock().sites[number].trouble = trouble;
    }

    /// A worker dies with all that runs there. From then on nothing answers at its address.
    pub fn crash(&self, number: usize) {
        let mut state = self.state.lock();
        // What has ended by now has ended.
        state.settle(self.now_ms());
        if let Some(life) = state.sites[number].life.take() {
            state.oracle.note_crash(&life, None);
        }
    }

    /// A worker has so many cores from now on, and says so.
    pub fn resize(&self, number: usize, cores: usize) {
        let until = self.now_ms() + SIZE_KNOWN_MS;
        let site = &mut self.state.lock().sites[number];
        let earlier = std::mem::replace(&mut site.cores, cores);
        site.earlier_cores.push((earlier, until));
    }

    /// What a worker has.
    pub fn cores(&self, number: usize) -> usize {
        self.state.lock().sites[number].cores
    }

    /// Whether a job may be given up: two lives at least ended under one of its tasks.
    pub fn may_give_up(&self, job: &str) -> bool {
        self.state.lock().oracle.may_give_up(job)
    }

    /// Workers that crashed under a task by its doing.
    pub fn crashes_caused_by(&self, task: &str) -> usize {
        let state = &mut *self.state.lock();
        state.settle(self.now_ms());
        state.oracle.crashes_caused_by(task)
    }

    /// Begins the lives that follow on crashes by tasks. Returns the workers that are back, and the names of lives
    /// that are listed no more.
    pub fn start_lives_after_crashes(&self) -> (Vec<usize>, Vec<String>) {
        let now = self.now_ms();
        let state = &mut *self.state.lock();
        state.settle(now);
        let (mut back, mut gone) = (Vec::new(), Vec::new());
        for number in 0..state.sites.len() {
            let site = &mut state.sites[number];
            gone.extend(
                site.listed.extract_if(.., |(_, until)| *until <= now).map(|(life, _)| life),
            );
            if site.back_at.is_some_and(|at| at <= now) {
                site.back_at = None;
                back.extend(state.begin_life(number).then_some(number));
            }
        }
        let lives: Vec<&StandinLife> = state.sites.iter().flat_map(|site| &site.life).collect();
        // The entry of a life that has the same id is its own.
        gone.retain(|id| lives.iter().all(|life| life.name != *id));
        (back, gone)
    }

    /// Another life begins at the address of one that died. Returns its name; none if one is there.
    pub fn start_next_life(&self, number: usize) -> Option<String> {
        let state = &mut *self.state.lock();
        state.begin_life(number).then(|| name(number, state.sites[number].ids - 1))
    }

    /// The id of the life at an address, or of the last one there.
    pub fn life_id(&self, number: usize) -> String {
        name(number, self.state.lock().sites[number].ids - 1)
    }

    /// The worker on which a task runs.
    pub fn worker_running(&self, task: &str) -> Option<usize> {
        let state = self.state.lock();
        let runs =
            |site: &WorkerSite| site.life.as_ref().is_some_and(|life| life.runs.contains_key(task));
        state.sites.iter().position(runs)
    }

    /// Runs that were begun.
    pub fn starts(&self) -> usize {
        self.state.lock().oracle.starts
    }

    /// Runs that were begun on one worker.
    pub fn starts_on(&self, number: usize) -> usize {
        self.state.lock().sites[number].starts
    }

    /// Jobs of which a task was ever begun.
    pub fn started_jobs(&self) -> BTreeSet<String> {
        self.state.lock().oracle.started_jobs.clone()
    }

    pub(super) fn now_ms(&self) -> u64 {
        self.begun.elapsed().as_millis() as u64
    }
}

fn new_life(number: usize, life: usize, id: usize, born: Option<u64>) -> StandinLife {
    let slow_permille = CLOCKS_SLOW[number % CLOCKS_SLOW.len()];
    // Each life's clock begins anew, before or behind that of the one before it.
    let begun = number as u64 * CLOCK_APART_MS + CLOCKS_BEGIN_MS[life % CLOCKS_BEGIN_MS.len()];
    StandinLife::new(name(number, id), born, StandinClock { begun, slow_permille })
}

fn unix_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map(|since| since.as_millis() as u64).unwrap_or_default()
}

impl PoolState {
    /// Begins the next life at an address. Returns whether there was none.
    fn begin_life(&mut self, number: usize) -> bool {
        let keeps = self.keeping.as_mut().map(|rng| rng.random_bool(KEPT_SHARE));
        let site = &mut self.sites[number];
        if site.life.is_some() {
            return false;
        }
        if keeps != Some(true) {
            site.ids += 1;
        }
        let born = keeps.map(|_| unix_ms());
        site.life = Some(new_life(number, site.lives, site.ids - 1, born));
        site.lives += 1;
        true
    }

    pub(super) fn settle(&mut self, now: u64) {
        for site in &mut self.sites {
            let Some(life) = &mut site.life else { continue };
            let crashed = life.crashed_by(now).map(|(task, at)| (task.clone(), at));
            // What ended before the crash has ended.
            life.settle(crashed.as_ref().map_or(now, |(_, at)| *at));
            let Some((task, _)) = crashed.filter(|(task, _)| life.runs.contains_key(task)) else {
                continue;
            };
            self.oracle.note_crash(life, Some(&task));
            site.listed.push((life.name.clone(), now + LISTED_MS));
            site.back_at = Some(now + BACK_MS);
            site.life = None;
        }
    }

    pub(super) fn is_over_size(&self, number: usize, now: u64) -> bool {
        let site = &self.sites[number];
        let earlier = site.earlier_cores.iter().filter(|(_, until)| now < *until);
        let most = earlier.map(|(cores, _)| *cores).max().unwrap_or(0).max(site.cores);
        site.life.as_ref().is_some_and(|life| life.used_cores() > most)
    }
}

/// How long the tasks of a step run: all alike, since the members of a gang end together.
pub fn run_duration_ms(step: &str, run_ms: &Range<u64>) -> u64 {
    let mut hasher = DefaultHasher::new();
    step.hash(&mut hasher);
    let drawn = hasher.finish();
    let spread = run_ms.end - run_ms.start;
    if !drawn.is_multiple_of(LONG_ONE_IN) || spread == 1 {
        return run_ms.start;
    }
    let drawn = drawn / LONG_ONE_IN;
    let times = if drawn.is_multiple_of(LONGER_ONE_IN) { LONGER_TIMES } else { 1 };
    times * (run_ms.start + drawn / LONGER_ONE_IN % spread)
}
