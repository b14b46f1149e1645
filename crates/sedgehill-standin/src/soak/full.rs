//! A cell filled with narrow jobs beside long-running ones, whose runs fail again and again. It is watched that each of their
//! tasks runs again in time, however full the cell is.

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

/// How long tasks of the narrow jobs run, in milliseconds.
pub const FULL_RUN_MS: std::ops::Range<u64> = 1_000..3_000;
/// Cores of each task.
const TASK_CORES: usize = 4;
/// Tasks of a narrow job.
const FILLER_TASKS: std::ops::Range<u16> = 2..9;
/// Tasks of a long-running job.
const LONG_RUNNING_TASKS: u16 = 3;
/// What long-running tasks take of the cell, in hundredths.
const LONG_RUNNING_CORES_PERCENT: usize = 20;
/// Jobs that wait beside a full cell, at the most, for each eight workers.
const MAX_WAITING_PER_EIGHT_WORKERS: usize = 4;
/// Before the cell is filled so many of the long-running tasks have to run, in hundredths, or so much time has passed.
const MIN_RUNNING_PERCENT: usize = 80;
const MAX_START_WAIT: Duration = Duration::from_secs(10);
/// Pause of a caller while so many wait.
const POLL_INTERVAL: Duration = Duration::from_millis(40);
/// Good workers, in hundredths, for long-running steps and for others.
const LONG_RUNNING_ALLOWED_PERCENT: usize = 30;
const FILLER_ALLOWED_PERCENT: usize = 70;
/// Time between two looks.
const WATCH_INTERVAL: Duration = Duration::from_millis(100);
/// A look that comes so late tells that the stand-ins stood still themselves.
const PAUSE_THRESHOLD: Duration = Duration::from_secs(1);
/// A task that lasts is owed a run 6 s after its last one, and may be without it for 3 s more ...
const MAX_TIME_WITHOUT_RUN: Duration = Duration::from_secs(6 + 3);
/// ... if these 3 s and the 4 s before them are calm.
const MIN_CALM: Duration = Duration::from_secs(3 + 4);

/// Sets the service and the configuration up: one queue for narrow jobs, one for long-running ones.
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

/// One caller. The first hands in the long-running jobs; the others fill the cell, and go on while few jobs wait.
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

fn long_running_job_count(workers: usize) -> usize {
    let cores = workers * wide::WIDE_CORES * LONG_RUNNING_CORES_PERCENT / 100;
    (cores / TASK_CORES / usize::from(LONG_RUNNING_TASKS)).max(1)
}

/// Waits until most long-running tasks have begun: they would find no room later.
async fn wait_for_long_running(platform: &CellPlatform) {
    let tasks =
        long_running_job_count(platform.worker_addresses.len()) * usize::from(LONG_RUNNING_TASKS);
    let deadline = Instant::now() + MAX_START_WAIT;
    let running = || platform.workers.running_tasks(is_long_running).len();
    while running() < tasks * MIN_RUNNING_PERCENT / 100 && Instant::now() < deadline {
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

/// Accepted jobs of which nothing has begun.
fn count_waiting_jobs(pool: &CallerPool, platform: &CellPlatform) -> usize {
    let started = platform.workers.started_jobs();
    let reported = pool.jobs().lock();
    reported.accepted.iter().filter(|id| !started.contains(&format!("{id:016x}"))).count()
}

fn long_running_body() -> String {
    let step = json!({
        "count": LONG_RUNNING_TASKS, "cpu": TASK_CORES * 1_000, "mem_mb": 16, "estimate_ms": 500, "long_running": true
    });
    json!({ "spec": format!("{LONG_RUNNING_SPEC}{TASK_CORES}"), "steps": [step] }).to_string()
}

fn filler_body(rng: &mut StdRng) -> String {
    let count = rng.random_range(FILLER_TASKS);
    let step = json!({
        "count": count, "cpu": TASK_CORES * 1_000, "mem_mb": 16, "estimate_ms": FULL_RUN_MS.start
    });
    json!({ "spec": format!("{SIZED_SPEC}{TASK_CORES}"), "steps": [step] }).to_string()
}

#[derive(Debug, Default)]
struct RestartState {
    /// When each long-running task was last seen running.
    last_seen: BTreeMap<String, Instant>,
    reported: HashSet<String>,
    violations: Vec<String>,
    /// The longest that a task was without a run, as far as that is judged.
    max_time_without_run: Duration,
}

/// Watches how long long-running tasks are without a run.
pub struct RestartWatch {
    /// No fault has been at work since then.
    calm_since: Mutex<Instant>,
    state: Mutex<RestartState>,
}

impl RestartWatch {
    /// A watch of a cell at which no fault is at work.
    pub fn new() -> RestartWatch {
        RestartWatch { calm_since: Mutex::new(Instant::now()), state: Mutex::default() }
    }

    /// A fault has begun or ended.
    pub fn record_fault(&self) {
        *self.calm_since.lock() = Instant::now();
    }

    /// Tasks that were without a run for too long.
    pub fn violations(&self) -> Vec<String> {
        self.state.lock().violations.clone()
    }

    /// The longest that one of them was.
    pub fn max_time_without_run(&self) -> Duration {
        self.state.lock().max_time_without_run
    }

    /// How many long-running tasks ever ran.
    pub fn seen_count(&self) -> usize {
        self.state.lock().last_seen.len()
    }

    /// Watches until it is dropped.
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
