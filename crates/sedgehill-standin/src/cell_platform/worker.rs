//! Stand-in workers, which run tasks under leases and record violations.
//!
//! Times are milliseconds since the start of the stand-ins unless said otherwise.

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

/// Default run time of tasks.
const DEFAULT_RUN_MS: Range<u64> = 150..151;
/// Time from an order to stop to the end of the run. The users' workers take at most 400 ms.
pub(super) const STOP_DURATION_MS: u64 = 350;
/// One step of this many runs longer than the shortest time.
const LONG_STEP_RATIO: u64 = 4;
/// One of this many long steps runs [`VERY_LONG_FACTOR`] times as long, which is longer than the longest lease.
const VERY_LONG_STEP_RATIO: u64 = 6;
const VERY_LONG_FACTOR: u64 = 4;
/// Default number of cores of a worker. A task needs one core unless its work says otherwise.
pub const CORES: usize = 4;
/// Time for which boxes may still use the earlier capacity of a worker that shrank. The users allow 3 s and one
/// heartbeat.
const OLD_CAPACITY_MS: u64 = 4_500;
/// Time from a crash by a task to the start of the next life.
const RESTART_DELAY_MS: u64 = 1_500;
/// Time for which a crashed life remains listed: three heartbeats without an answer.
const LISTED_AFTER_CRASH_MS: u64 = 4_500;
/// Interval at which a waiting call checks its condition.
pub(super) const POLL_INTERVAL: Duration = Duration::from_millis(5);
/// Difference between the clocks of workers with successive numbers.
const CLOCK_SPACING_MS: u64 = 100_000;
/// Offsets of the clocks of successive lives at one address.
const LIFE_CLOCK_OFFSETS_MS: [u64; 3] = [50_000, 10_000, 90_000];
/// Probability that a life has the id of the one before it, where ids are reused.
const ID_REUSE_PROBABILITY: f64 = 0.6;
/// Slowness of the clocks of workers by number, in thousandths.
const CLOCK_SLOWNESS_PERMILLE: [u64; 3] = [0, 10, 20];

/// An address at which one life of a worker follows the other.
#[derive(Debug)]
pub(super) struct WorkerSite {
    /// The current life, if a process runs.
    pub(super) life: Option<StandinLife>,
    /// Number of lives so far.
    life_count: usize,
    /// Number of ids that the lives have had; a life may have the id of the one before it.
    pub(super) id_count: usize,
    /// The fault that calls to this address meet.
    pub(super) path_fault: Option<PathFault>,
    /// Number of runs that have begun here.
    pub(super) starts: usize,
    /// The present number of cores.
    pub(super) cores: usize,
    /// Earlier numbers of cores, each with the time until which a lead may use it.
    earlier_cores: Vec<(usize, u64)>,
    /// Time from a crash by a task to the start of the next life.
    restart_delay_ms: u64,
    /// When the next life begins, after a crash by a task.
    restart_at: Option<u64>,
    /// Crashed lives that are still listed, each with the time at which its entry is removed.
    crashed_entries: Vec<(String, u64)>,
}

/// The state of all workers.
#[derive(Debug)]
pub(super) struct PoolState {
    pub(super) sites: Vec<WorkerSite>,
    pub(super) oracle: TaskOracle,
    /// Range of run times of tasks, before the factor of very long steps.
    pub(super) run_ms: Range<u64>,
    /// One of so many workers is slow, and takes so many times as long; none if all are equal.
    pub(super) slow_workers: Option<(usize, u64)>,
    /// Draws which lives reuse the id of the one before. Without it each life has an id of its own and does not report
    /// when it began.
    id_reuse: Option<StdRng>,
}

/// All workers, with the violations found over all of them.
#[derive(Debug)]
pub struct StandinWorkers {
    started: Instant,
    pub(super) state: Mutex<PoolState>,
    pub(super) fault_injector: FaultInjector,
    /// Delay of all answers.
    pub(super) answer_delay_ms: AtomicU64,
}

/// Returns the step of a task, which is the task's id without its last part.
pub(super) fn step_of(task: &str) -> &str {
    task.rsplit_once('.').map_or(task, |(step, _)| step)
}

/// Returns the id of a life of a worker, where `id` counts the ids that the worker has had.
pub fn worker_id(number: usize, id: usize) -> String {
    match id {
        0 => format!("worker-{number}"),
        id => format!("worker-{number}-{id}"),
    }
}

/// Number of data halls, over which the workers are spread.
pub const HALL_COUNT: usize = 3;

/// Returns the name of the data hall that a worker stands in.
pub fn hall_name(number: usize) -> String {
    format!("hall-{}", number % HALL_COUNT)
}

/// Returns the entry of a worker in the store.
pub fn entry(address: SocketAddr, number: usize, cores: usize) -> serde_json::Value {
    serde_json::json!({
        "service": "pool", "address": address, "state": "ready", "labels": ["a"],
        "zone": hall_name(number),
        "capacity": {"cpu": cores * 1000, "mem_mb": 4096, "gpu": 0}
    })
}

impl StandinWorkers {
    /// Creates `count` idle workers of `cores` cores.
    pub fn new(count: usize, cores: usize) -> StandinWorkers {
        let site = |number| WorkerSite {
            life: Some(new_life(number, 0, 0, None)),
            life_count: 1,
            id_count: 1,
            path_fault: None,
            starts: 0,
            cores,
            earlier_cores: Vec::new(),
            restart_delay_ms: RESTART_DELAY_MS,
            restart_at: None,
            crashed_entries: Vec::new(),
        };
        let sites = (0..count).map(site).collect();
        StandinWorkers {
            started: Instant::now(),
            state: Mutex::new(PoolState {
                sites,
                oracle: TaskOracle::default(),
                run_ms: DEFAULT_RUN_MS,
                slow_workers: None,
                id_reuse: None,
            }),
            fault_injector: FaultInjector::default(),
            answer_delay_ms: AtomicU64::new(0),
        }
    }

    /// Returns the violations found so far.
    pub fn violations(&self) -> Vec<String> {
        self.state.lock().oracle.violations.clone()
    }

    /// Delays all answers from now on, as a saturated link does. Ends then count as acknowledged once they were
    /// reported, because every answer does arrive.
    pub fn delay_answers(&self, delay: Duration) {
        self.answer_delay_ms.store(delay.as_millis() as u64, Ordering::Relaxed);
    }

    /// Records that a hall is emptied or taken back. Runs that begin there seconds after it was emptied are violations.
    pub fn set_hall_emptied(&self, hall: &str, emptied: bool) {
        let emptied_at = emptied.then(|| self.now_ms());
        self.state.lock().oracle.record_hall(hall, emptied_at);
    }

    /// Records a violation whenever more than `limit` tasks run at once of jobs whose ids begin with `prefix`.
    pub fn limit_running_tasks(&self, prefix: &str, limit: usize) {
        self.state.lock().oracle.task_limits.push((prefix.to_owned(), limit));
    }

    /// Sets the range of run times. The tasks of one step run equally long, those of most steps for the shortest time;
    /// see [`run_duration_ms`].
    pub fn set_run_ms(&self, run_ms: Range<u64>) {
        self.state.lock().run_ms = run_ms;
    }

    /// Has one of `stride` workers take `factor` times as long for tasks outside gangs.
    pub fn set_slow_workers(&self, stride: usize, factor: u64) {
        self.state.lock().slow_workers = Some((stride, factor));
    }

    /// Seeds the generator that decides which calls meet a fault.
    pub fn seed(&self, seed: u64) {
        self.fault_injector.seed(seed);
    }

    /// Makes all workers report when their lives began, and some workers restart under the same id after they die.
    pub fn reuse_ids(&self, seed: u64) {
        let state = &mut *self.state.lock();
        state.id_reuse = Some(StdRng::seed_from_u64(seed));
        for life in state.sites.iter_mut().flat_map(|site| &mut site.life) {
            life.born = Some(unix_ms());
        }
    }

    /// Returns when the current life at an address began, in milliseconds since 1970, if it reports that.
    pub fn born(&self, number: usize) -> Option<u64> {
        self.state.lock().sites[number].life.as_ref()?.born
    }

    /// Returns the number of lives so far at an address.
    pub(super) fn life_count(&self, number: usize) -> usize {
        self.state.lock().sites[number].life_count
    }

    /// Returns whether a current life has this id.
    pub fn is_alive(&self, id: &str) -> bool {
        let state = self.state.lock();
        state.sites.iter().flat_map(|site| &site.life).any(|life| life.name == id)
    }

    /// Sets the fault that calls to a worker meet; `None` ends it.
    pub fn set_path_fault(&self, number: usize, fault: Option<PathFault>) {
        self.state.lock().sites[number].path_fault = fault;
    }

    /// Ends the current life of a worker with all its runs. Nothing answers at its address until the next life.
    pub fn crash(&self, number: usize) {
        let mut state = self.state.lock();
        // Runs that have ended by now did not end by the crash.
        state.advance(self.now_ms());
        if let Some(life) = state.sites[number].life.take() {
            state.oracle.record_crash(&life, None);
        }
    }

    /// Sets the time that a worker needs to start again after a crash by a task; `None` for the default. If it has crashed,
    /// its next life begins at once.
    pub fn set_restart_delay(&self, number: usize, delay: Option<Duration>) {
        let site = &mut self.state.lock().sites[number];
        site.restart_delay_ms = delay.map_or(RESTART_DELAY_MS, |delay| delay.as_millis() as u64);
        site.restart_at = site.restart_at.map(|_| 0);
    }

    /// Changes the cores of a worker.
    pub fn resize(&self, number: usize, cores: usize) {
        let until = self.now_ms() + OLD_CAPACITY_MS;
        let site = &mut self.state.lock().sites[number];
        let earlier = std::mem::replace(&mut site.cores, cores);
        site.earlier_cores.push((earlier, until));
    }

    /// Returns the cores of a worker.
    pub fn cores(&self, number: usize) -> usize {
        self.state.lock().sites[number].cores
    }

    /// Returns whether a job may be given up: at least two lives ended while they ran one of its tasks.
    pub fn may_give_up(&self, job: &str) -> bool {
        self.state.lock().oracle.may_give_up(job)
    }

    /// Returns how many workers a task has crashed.
    pub fn crashes_caused_by(&self, task: &str) -> usize {
        let state = &mut *self.state.lock();
        state.advance(self.now_ms());
        state.oracle.crashes_caused_by(task)
    }

    /// Starts the next lives of workers that tasks have crashed. Returns the numbers of the workers that restarted, and
    /// the ids of lives whose entries are to be removed from the store.
    pub fn start_lives_after_crashes(&self) -> (Vec<usize>, Vec<String>) {
        let now = self.now_ms();
        let state = &mut *self.state.lock();
        state.advance(now);
        let (mut restarted, mut expired) = (Vec::new(), Vec::new());
        for number in 0..state.sites.len() {
            let site = &mut state.sites[number];
            expired.extend(
                site.crashed_entries
                    .extract_if(.., |(_, until)| *until <= now)
                    .map(|(life, _)| life),
            );
            if site.restart_at.is_some_and(|at| at <= now) {
                site.restart_at = None;
                restarted.extend(state.begin_life(number).then_some(number));
            }
        }
        let lives: Vec<&StandinLife> = state.sites.iter().flat_map(|site| &site.life).collect();
        // An id that the next life reuses has an entry of that life.
        expired.retain(|id| lives.iter().all(|life| life.name != *id));
        (restarted, expired)
    }

    /// Starts the next life of a worker that died. Returns its id, or `None` if the worker lives.
    pub fn start_next_life(&self, number: usize) -> Option<String> {
        let state = &mut *self.state.lock();
        state.begin_life(number).then(|| worker_id(number, state.sites[number].id_count - 1))
    }

    /// Returns the id of the current life at an address, or of the last one.
    pub fn life_id(&self, number: usize) -> String {
        worker_id(number, self.state.lock().sites[number].id_count - 1)
    }

    /// Returns the number of the worker that runs a task.
    pub fn worker_running(&self, task: &str) -> Option<usize> {
        let state = self.state.lock();
        let runs =
            |site: &WorkerSite| site.life.as_ref().is_some_and(|life| life.runs.contains_key(task));
        state.sites.iter().position(runs)
    }

    /// Returns the number of runs that have begun.
    pub fn starts(&self) -> usize {
        self.state.lock().oracle.starts
    }

    /// Returns the number of runs that have begun on a worker.
    pub fn starts_on(&self, number: usize) -> usize {
        self.state.lock().sites[number].starts
    }

    /// Returns the jobs of which at least one task has begun.
    pub fn started_jobs(&self) -> BTreeSet<String> {
        self.state.lock().oracle.started_jobs.clone()
    }

    pub(super) fn now_ms(&self) -> u64 {
        self.started.elapsed().as_millis() as u64
    }
}

fn new_life(number: usize, life: usize, id: usize, born: Option<u64>) -> StandinLife {
    let slow_permille = CLOCK_SLOWNESS_PERMILLE[number % CLOCK_SLOWNESS_PERMILLE.len()];
    // Each life starts its clock anew, ahead of or behind the clock of the life before it.
    let start_reading = number as u64 * CLOCK_SPACING_MS
        + LIFE_CLOCK_OFFSETS_MS[life % LIFE_CLOCK_OFFSETS_MS.len()];
    StandinLife::new(worker_id(number, id), born, StandinClock { start_reading, slow_permille })
}

fn unix_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map(|since| since.as_millis() as u64).unwrap_or_default()
}

impl PoolState {
    /// Starts the next life at an address unless there is a current one. Returns whether it did.
    fn begin_life(&mut self, number: usize) -> bool {
        let reuses_id = self.id_reuse.as_mut().map(|rng| rng.random_bool(ID_REUSE_PROBABILITY));
        let site = &mut self.sites[number];
        if site.life.is_some() {
            return false;
        }
        if reuses_id != Some(true) {
            site.id_count += 1;
        }
        let born = reuses_id.map(|_| unix_ms());
        site.life = Some(new_life(number, site.life_count, site.id_count - 1, born));
        site.life_count += 1;
        true
    }

    /// Brings all lives up to a time: ends runs that are over, and lives that a task has crashed.
    pub(super) fn advance(&mut self, now: u64) {
        for site in &mut self.sites {
            let Some(life) = &mut site.life else { continue };
            let crashed = life.crashed_by(now).map(|(task, at)| (task.clone(), at));
            // Runs that end before the crash do not end by it.
            life.end_finished_runs(crashed.as_ref().map_or(now, |(_, at)| *at));
            let Some((task, _)) = crashed.filter(|(task, _)| life.runs.contains_key(task)) else {
                continue;
            };
            self.oracle.record_crash(life, Some(&task));
            site.crashed_entries.push((life.name.clone(), now + LISTED_AFTER_CRASH_MS));
            site.restart_at = Some(now + site.restart_delay_ms);
            site.life = None;
        }
    }

    /// Returns whether the runs of a worker use more cores than a lead may believe it to have.
    pub(super) fn exceeds_capacity(&self, number: usize, now: u64) -> bool {
        let site = &self.sites[number];
        let earlier = site.earlier_cores.iter().filter(|(_, until)| now < *until);
        let capacity = earlier.map(|(cores, _)| *cores).max().unwrap_or(0).max(site.cores);
        site.life.as_ref().is_some_and(|life| life.used_cores() > capacity)
    }
}

/// Returns how long the tasks of a step run, in milliseconds. All run equally long because the members of a gang end
/// together.
pub fn run_duration_ms(step: &str, run_ms: &Range<u64>) -> u64 {
    let mut hasher = DefaultHasher::new();
    step.hash(&mut hasher);
    let drawn = hasher.finish();
    let spread = run_ms.end - run_ms.start;
    if !drawn.is_multiple_of(LONG_STEP_RATIO) || spread == 1 {
        return run_ms.start;
    }
    let drawn = drawn / LONG_STEP_RATIO;
    let factor = if drawn.is_multiple_of(VERY_LONG_STEP_RATIO) { VERY_LONG_FACTOR } else { 1 };
    factor * (run_ms.start + drawn / VERY_LONG_STEP_RATIO % spread)
}
