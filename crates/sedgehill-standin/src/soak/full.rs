//! The profile [`SoakProfile::Full`](super::SoakProfile::Full): narrow jobs fill the cell, beside long-running jobs whose runs
//! fail again and again. A watch checks that each long-running task runs again in time although the cell is full.

use std::collections::{BTreeMap, HashSet};
use std::time::{Duration, Instant};

use parking_lot::Mutex;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use serde_json::json;

use super::callers::CallerPool;
use super::wide;
use crate::cell_platform::{
    CellPlatform, LONG_RUNNING_SPEC, SIZED_SPEC, StepAdvice, is_long_running,
};

/// Duration of the tasks of narrow jobs.
pub const FULL_RUN_MS: std::ops::Range<u64> = 1_000..3_000;
/// Cores of each task.
const TASK_CORES: usize = 4;
/// Tasks of a narrow job.
const FILLER_TASKS: std::ops::Range<u16> = 2..9;
/// Tasks of a long-running job.
const LONG_RUNNING_TASKS: u16 = 3;
/// Share of the cores of the cell that long-running tasks use.
const LONG_RUNNING_CORES_PERCENT: usize = 20;
/// Number of waiting narrow jobs for each eight workers at which callers stop submitting.
const MAX_WAITING_PER_EIGHT_WORKERS: usize = 4;
/// Share of the long-running tasks that have to run before callers fill the cell.
const MIN_RUNNING_PERCENT: usize = 80;
/// Time after which callers fill the cell even if fewer of these tasks run.
const MAX_START_WAIT: Duration = Duration::from_secs(10);
/// Time between two checks of a caller whether it may submit.
const POLL_INTERVAL: Duration = Duration::from_millis(40);
/// Share of the workers that the advice service allows for a long-running step.
const LONG_RUNNING_ALLOWED_PERCENT: usize = 30;
/// Share of the workers that the advice service allows for a step of a narrow job.
const FILLER_ALLOWED_PERCENT: usize = 70;
/// Time between two checks of the watch.
const WATCH_INTERVAL: Duration = Duration::from_millis(100);
/// A longer time between two checks means that the stand-ins themselves were paused. That counts as a fault.
const PAUSE_THRESHOLD: Duration = Duration::from_secs(1);
/// Maximum time that a long-running task may be without a run: it has to run again 6 s after its last run, and may be 3 s
/// late.
const MAX_TIME_WITHOUT_RUN: Duration = Duration::from_secs(6 + 3);
/// Time without a fault after which tasks without a run are judged: these 3 s and the 4 s before them have to be calm.
const MIN_CALM: Duration = Duration::from_secs(3 + 4);

/// Sets up the advice service, and writes a configuration with one queue for narrow jobs and one for long-running jobs.
pub fn configure(platform: &CellPlatform, version: u64) {
    let workers = platform.worker_addresses.len();
    platform.advice.set_rule(move |step| advice_for(step, workers));
    let queue = |name: &str, prefix: &str, priority: u32, stretch: f64, advice| {
        json!({
            "name": name, "host": "cell.example", "path_prefix": prefix, "service": "pool",
            "priority": priority, "max_attempts": 9, "stretch": stretch, "target_latency_ms": 2500,
            "advice": advice
        })
    };
    let cheap = json!({"decide_ms": 5.6, "each_ms": 0.08, "valid_ms": 2000});
    let costly = json!({"decide_ms": 560.0, "each_ms": 8.0, "valid_ms": 2000});
    platform.configure_queues(
        version,
        &[queue("checks", "/checks/", 0, 2.0, cheap), queue("streams", "/courts/", 1, 2.2, costly)],
    );
}

/// Returns the advice about a step: costly questions and few workers for long-running steps, otherwise the opposite.
fn advice_for(step: &str, workers: usize) -> StepAdvice {
    let id = step.split('.').next().and_then(|id| u64::from_str_radix(id, 16).ok());
    match id.is_some_and(wide::is_wide) {
        true => StepAdvice {
            per_question: Duration::from_millis(560),
            per_worker: Duration::from_millis(8),
            allowed_count: Some((workers * LONG_RUNNING_ALLOWED_PERCENT).div_ceil(100)),
        },
        false => StepAdvice {
            per_question: Duration::from_micros(5_600),
            per_worker: Duration::from_micros(80),
            allowed_count: Some((workers * FILLER_ALLOWED_PERCENT).div_ceil(100)),
        },
    }
}

/// Runs one caller until the future is dropped. The caller with number 1 submits the long-running jobs. The others fill
/// the cell, and submit further jobs whenever few jobs wait.
pub async fn run_caller(pool: &CallerPool, platform: &CellPlatform, seed: u64, caller: u64) {
    let client = CallerPool::build_client();
    let mut rng = StdRng::seed_from_u64(seed ^ (caller << 32));
    let workers = platform.worker_addresses.len();
    if caller == 1 {
        for number in 0..long_running_job_count(workers) as u64 {
            let id = wide::wide_job_id(caller, number);
            pool.submit_long_running(&client, &mut rng, id, &long_running_body()).await;
        }
        return std::future::pending().await;
    }
    wait_for_long_running(platform).await;
    let max_waiting = workers * MAX_WAITING_PER_EIGHT_WORKERS / 8;
    for number in 0.. {
        while count_waiting_jobs(pool, platform) >= max_waiting {
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        let body = filler_body(&mut rng);
        pool.submit_job(&client, &mut rng, (caller << 48) | number, &body).await;
    }
}

/// Returns how many long-running jobs use [`LONG_RUNNING_CORES_PERCENT`] of the cores.
fn long_running_job_count(workers: usize) -> usize {
    let cores = workers * wide::WIDE_CORES * LONG_RUNNING_CORES_PERCENT / 100;
    (cores / TASK_CORES / usize::from(LONG_RUNNING_TASKS)).max(1)
}

/// Waits until most long-running tasks run, since they would find no room in a full cell.
async fn wait_for_long_running(platform: &CellPlatform) {
    let tasks =
        long_running_job_count(platform.worker_addresses.len()) * usize::from(LONG_RUNNING_TASKS);
    let deadline = Instant::now() + MAX_START_WAIT;
    let running = || platform.workers.running_tasks(is_long_running).len();
    while running() < tasks * MIN_RUNNING_PERCENT / 100 && Instant::now() < deadline {
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

/// Counts the accepted jobs of which no task has started.
pub fn count_waiting_jobs(pool: &CallerPool, platform: &CellPlatform) -> usize {
    let started = platform.workers.started_jobs();
    let jobs = pool.jobs().lock();
    jobs.accepted.iter().filter(|id| !started.contains(&format!("{id:016x}"))).count()
}

/// Returns the request body of a long-running job.
fn long_running_body() -> String {
    let step = json!({
        "count": LONG_RUNNING_TASKS, "cpu": TASK_CORES * 1_000, "mem_mb": 16, "estimate_ms": 500, "long_running": true
    });
    json!({ "spec": format!("{LONG_RUNNING_SPEC}{TASK_CORES}"), "steps": [step] }).to_string()
}

/// Draws the request body of a narrow job.
fn filler_body(rng: &mut StdRng) -> String {
    let count = rng.random_range(FILLER_TASKS);
    let step = json!({
        "count": count, "cpu": TASK_CORES * 1_000, "mem_mb": 16, "estimate_ms": FULL_RUN_MS.start
    });
    json!({ "spec": format!("{SIZED_SPEC}{TASK_CORES}"), "steps": [step] }).to_string()
}

/// The state of the watch.
#[derive(Debug, Default)]
struct RestartState {
    /// When each long-running task was last seen running.
    last_seen: BTreeMap<String, Instant>,
    reported: HashSet<String>,
    violations: Vec<String>,
    /// The longest time that a task was without a run, among the judged ones.
    max_time_without_run: Duration,
}

/// Detects long-running tasks that are without a run for too long.
pub struct RestartWatch {
    /// When the last fault began or ended.
    calm_since: Mutex<Instant>,
    state: Mutex<RestartState>,
}

impl RestartWatch {
    /// Creates a watch of a cell without faults.
    pub fn new() -> RestartWatch {
        RestartWatch { calm_since: Mutex::new(Instant::now()), state: Mutex::default() }
    }

    /// Records that a fault begins or ends now.
    pub fn record_fault(&self) {
        *self.calm_since.lock() = Instant::now();
    }

    /// Describes the tasks that were without a run for too long.
    pub fn violations(&self) -> Vec<String> {
        self.state.lock().violations.clone()
    }

    /// Returns the longest time in calm that a task was without a run.
    pub fn max_time_without_run(&self) -> Duration {
        self.state.lock().max_time_without_run
    }

    /// Returns the number of long-running tasks that have run at least once.
    pub fn seen_count(&self) -> usize {
        self.state.lock().last_seen.len()
    }

    /// Checks the tasks periodically until the future is dropped.
    pub async fn run(&self, platform: &CellPlatform) {
        let mut last_check = Instant::now();
        loop {
            tokio::time::sleep(WATCH_INTERVAL).await;
            if last_check.elapsed() >= PAUSE_THRESHOLD {
                self.record_fault();
            }
            last_check = Instant::now();
            self.check(platform);
        }
    }

    /// Updates when each task was last seen, and records the tasks that are without a run for too long.
    fn check(&self, platform: &CellPlatform) {
        let now = Instant::now();
        let calm = now.duration_since(*self.calm_since.lock());
        let state = &mut *self.state.lock();
        for task in platform.workers.running_tasks(is_long_running) {
            state.last_seen.insert(task, now);
        }
        if calm < MIN_CALM {
            return;
        }
        for (task, last_seen) in &state.last_seen {
            let without = now.duration_since(*last_seen);
            state.max_time_without_run = state.max_time_without_run.max(without);
            if without >= MAX_TIME_WITHOUT_RUN && state.reported.insert(task.clone()) {
                state.violations.push(format!("{task} has no run for {} ms", without.as_millis()));
            }
        }
    }
}
