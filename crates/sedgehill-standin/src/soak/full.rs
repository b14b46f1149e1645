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
const FILLING_TASKS: std::ops::Range<u16> = 2..9;
/// Tasks of a long-running job.
const LONG_TASKS: u16 = 3;
/// What long-running tasks take of the cell, in hundredths.
const LONG_PERCENT: usize = 20;
/// Jobs that wait beside a full cell, at the most, for each eight workers.
const WAITING_FOR_EIGHT: usize = 4;
/// Before the cell is filled so many of the long-running tasks have to run, in hundredths, or so much time has passed.
const BEGUN_PERCENT: usize = 80;
const BEGIN_LIMIT: Duration = Duration::from_secs(10);
/// Pause of a caller while so many wait.
const FULL_PAUSE: Duration = Duration::from_millis(40);
/// Good workers, in hundredths, for long-running steps and for others.
const LONG_GOOD_PERCENT: usize = 30;
const FILLING_GOOD_PERCENT: usize = 70;
/// Time between two looks.
const TURN: Duration = Duration::from_millis(100);
/// A look that comes so late tells that the stand-ins stood still themselves.
const STOOD_STILL: Duration = Duration::from_secs(1);
/// A task that lasts is owed a run 6 s after its last one, and may be without it for 3 s more ...
const WITHOUT_RUN_MOST: Duration = Duration::from_secs(6 + 3);
/// ... if these 3 s and the 4 s before them are calm.
const CALM_FOR: Duration = Duration::from_secs(3 + 4);

/// Sets the service and the configuration up: one queue for narrow jobs, one for long-running ones.
pub fn configure(platform: &CellPlatform, version: u64) {
    let workers = platform.worker_addresses.len();
    platform.advice.set_rule(move |step| habit_of(step, workers));
    let queue = |name: &str, prefix: &str, priority: u32, stretch: f64, advice| {
        json!({
            "name": name, "host": "cell.example", "path_prefix": prefix, "service": "pool",
            "priority": priority, "max_attempts": 9, "stretch": stretch, "target_latency_ms": 2500,
            "advice": advice
        })
    };
    let short = json!({"decide_ms": 5.6, "each_ms": 0.08, "valid_ms": 2000});
    let dear = json!({"decide_ms": 560.0, "each_ms": 8.0, "valid_ms": 2000});
    platform.configure_queues(
        version,
        &[queue("checks", "/checks/", 0, 2.0, short), queue("streams", "/courts/", 1, 2.2, dear)],
    );
}

fn habit_of(step: &str, workers: usize) -> StepAdvice {
    let id = step.split('.').next().and_then(|id| u64::from_str_radix(id, 16).ok());
    match id.is_some_and(wide::is_wide) {
        true => StepAdvice {
            per_question: Duration::from_millis(560),
            per_worker: Duration::from_millis(8),
            allowed_count: Some((workers * LONG_GOOD_PERCENT).div_ceil(100)),
        },
        false => StepAdvice {
            per_question: Duration::from_micros(5_600),
            per_worker: Duration::from_micros(80),
            allowed_count: Some((workers * FILLING_GOOD_PERCENT).div_ceil(100)),
        },
    }
}

/// One caller. The first hands in the long-running jobs; the others fill the cell, and go on while few jobs wait.
pub async fn load(pool: &CallerPool, platform: &CellPlatform, seed: u64, caller: u64) {
    let client = CallerPool::client();
    let mut rng = StdRng::seed_from_u64(seed ^ (caller << 32));
    let workers = platform.worker_addresses.len();
    if caller == 1 {
        for number in 0..long_running_jobs(workers) as u64 {
            let id = wide::wide_id(caller, number);
            pool.hand_in_long_running(&client, &mut rng, id, &long_running_body()).await;
        }
        return std::future::pending().await;
    }
    wait_for_long_running(platform).await;
    let most = workers * WAITING_FOR_EIGHT / 8;
    for number in 0.. {
        while waiting(pool, platform) >= most {
            tokio::time::sleep(FULL_PAUSE).await;
        }
        let body = filling_body(&mut rng);
        pool.hand_in(&client, &mut rng, (caller << 48) | number, &body).await;
    }
}

fn long_running_jobs(workers: usize) -> usize {
    let cores = workers * wide::WIDE_CORES * LONG_PERCENT / 100;
    (cores / TASK_CORES / usize::from(LONG_TASKS)).max(1)
}

/// Waits until most long-running tasks have begun: they would find no room later.
async fn wait_for_long_running(platform: &CellPlatform) {
    let tasks = long_running_jobs(platform.worker_addresses.len()) * usize::from(LONG_TASKS);
    let deadline = Instant::now() + BEGIN_LIMIT;
    let running = || platform.workers.running_tasks(is_long_running).len();
    while running() < tasks * BEGUN_PERCENT / 100 && Instant::now() < deadline {
        tokio::time::sleep(FULL_PAUSE).await;
    }
}

/// Accepted jobs of which nothing has begun.
fn waiting(pool: &CallerPool, platform: &CellPlatform) -> usize {
    let begun = platform.workers.started_jobs();
    let told = pool.told().lock();
    told.accepted.iter().filter(|id| !begun.contains(&format!("{id:016x}"))).count()
}

fn long_running_body() -> String {
    let step = json!({
        "count": LONG_TASKS, "cpu": TASK_CORES * 1_000, "mem_mb": 16, "estimate_ms": 500, "long_running": true
    });
    json!({ "spec": format!("{LONG_RUNNING_SPEC}{TASK_CORES}"), "steps": [step] }).to_string()
}

fn filling_body(rng: &mut StdRng) -> String {
    let count = rng.random_range(FILLING_TASKS);
    let step = json!({
        "count": count, "cpu": TASK_CORES * 1_000, "mem_mb": 16, "estimate_ms": FULL_RUN_MS.start
    });
    json!({ "spec": format!("{SIZED_SPEC}{TASK_CORES}"), "steps": [step] }).to_string()
}

#[derive(Debug, Default)]
struct RestartState {
    /// When each long-running task was last seen running.
    seen: BTreeMap<String, Instant>,
    told: HashSet<String>,
    broken: Vec<String>,
    /// The longest that a task was without a run, as far as that is judged.
    longest: Duration,
}

/// Watches how long long-running tasks are without a run.
pub struct RestartWatch {
    /// No fault has been at work since then.
    calm_from: Mutex<Instant>,
    state: Mutex<RestartState>,
}

impl RestartWatch {
    /// A watch of a cell at which no fault is at work.
    pub fn new() -> RestartWatch {
        RestartWatch { calm_from: Mutex::new(Instant::now()), state: Mutex::default() }
    }

    /// A fault has begun or ended.
    pub fn note_fault(&self) {
        *self.calm_from.lock() = Instant::now();
    }

    /// Tasks that were without a run for too long.
    pub fn broken(&self) -> Vec<String> {
        self.state.lock().broken.clone()
    }

    /// The longest that one of them was.
    pub fn longest(&self) -> Duration {
        self.state.lock().longest
    }

    /// How many long-running tasks ever ran.
    pub fn seen(&self) -> usize {
        self.state.lock().seen.len()
    }

    /// Watches until it is dropped.
    pub async fn run(&self, platform: &CellPlatform) {
        let mut looked = Instant::now();
        loop {
            tokio::time::sleep(TURN).await;
            if looked.elapsed() >= STOOD_STILL {
                self.note_fault();
            }
            looked = Instant::now();
            self.look(platform);
        }
    }

    fn look(&self, platform: &CellPlatform) {
        let now = Instant::now();
        let calm = now.duration_since(*self.calm_from.lock());
        let state = &mut *self.state.lock();
        for task in platform.workers.running_tasks(is_long_running) {
            state.seen.insert(task, now);
        }
        if calm < CALM_FOR {
            return;
        }
        for (task, seen) in &state.seen {
            let without = now.duration_since(*seen);
            state.longest = state.longest.max(without);
            if without >= WITHOUT_RUN_MOST && state.told.insert(task.clone()) {
                state.broken.push(format!("{task} has no run for {} ms", without.as_millis()));
            }
        }
    }
}
