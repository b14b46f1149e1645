//! Workers that run tasks under leases, and count what must never happen.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use http::{Request, StatusCode};
use hyper::body::Incoming;
use parking_lot::Mutex;
use serde::Deserialize;

use crate::http_server::{JsonResponse, json, read_json, status};

/// How long every task runs.
const RUN_TIME: Duration = Duration::from_millis(150);
/// Tasks of the tests that fit on a worker.
const ROOM: usize = 4;
/// Time between two looks of a call that waits.
const TURN: Duration = Duration::from_millis(5);

#[derive(Debug, Default)]
struct WorkerState {
    token: u64,
    lease_until: u64,
    runs: BTreeMap<String, (u64, Instant)>,
    ends: Vec<(u64, String, u64, &'static str, String)>,
    next_end: u64,
    /// The highest run of each task that ended here.
    floor: BTreeMap<String, u64>,
    starts: usize,
}

#[derive(Debug, Default)]
struct PoolState {
    workers: Vec<WorkerState>,
    noted: BTreeSet<String>,
    violations: Vec<String>,
    starts: usize,
    /// Jobs of which a task was ever begun.
    begun_jobs: BTreeSet<String>,
    /// The most tasks that may run of jobs whose ids begin so.
    bounds: Vec<(String, usize)>,
}

/// All workers, which share one account of what must never happen.
#[derive(Debug)]
pub struct StandinWorkers {
    begun: Instant,
    state: Mutex<PoolState>,
    /// How much later than they are given all answers arrive, in milliseconds.
    delay_ms: AtomicU64,
}

/// The name of a worker's life.
pub fn name(number: usize) -> String {
    format!("worker-{number}")
}

/// The entry of a worker in the store.
pub fn entry(address: SocketAddr) -> serde_json::Value {
    serde_json::json!({
        "service": "pool", "address": address, "state": "ready", "labels": ["a"],
        "capacity": {"cpu": 4000, "mem_mb": 4096, "gpu": 0}
    })
}

impl StandinWorkers {
    /// Workers that run nothing.
    pub fn new(count: usize) -> StandinWorkers {
        let workers = (0..count).map(|_| WorkerState { next_end: 1, ..WorkerState::default() });
        let state = PoolState { workers: workers.collect(), ..PoolState::default() };
        StandinWorkers {
            begun: Instant::now(),
            state: Mutex::new(state),
            delay_ms: AtomicU64::new(0),
        }
    }

    /// What happened that must never happen.
    pub fn violations(&self) -> Vec<String> {
        self.state.lock().violations.clone()
    }

    /// Has all answers arrive late from now on, as over a link that is full. An end counts as noted once it
    /// was listed, since its answer does arrive.
    pub fn delay_answers(&self, delay: Duration) {
        self.delay_ms.store(delay.as_millis() as u64, Ordering::Relaxed);
    }

    /// Has it counted as a violation if more than `most` tasks run at once of jobs whose ids begin so.
    pub fn bound(&self, prefix: &str, most: usize) {
        self.state.lock().bounds.push((prefix.to_owned(), most));
    }

    /// Runs that were begun.
    pub fn starts(&self) -> usize {
        self.state.lock().starts
    }

    /// Runs that were begun on one worker.
    pub fn starts_on(&self, number: usize) -> usize {
        self.state.lock().workers[number].starts
    }

    /// Jobs of which a task was ever begun.
    pub fn begun_jobs(&self) -> BTreeSet<String> {
        self.state.lock().begun_jobs.clone()
    }

    fn clock_ms(&self) -> u64 {
        self.begun.elapsed().as_millis() as u64
    }

    /// Ends what has run its time, and what the lease does not cover any more.
    fn settle(&self, state: &mut PoolState) {
        let clock = self.clock_ms();
        for worker in &mut state.workers {
            let lapsed = clock > worker.lease_until;
            let over: Vec<(String, u64)> = worker
                .runs
                .iter()
                .filter(|(_, (_, since))| lapsed || since.elapsed() >= RUN_TIME)
                .map(|(task, (run, _))| (task.clone(), *run))
                .collect();
            for (task, run) in over {
                let how = if lapsed { "lapsed" } else { "done" };
                worker.end(&task, run, how);
            }
        }
    }
}

impl WorkerState {
    fn end(&mut self, task: &str, run: u64, how: &'static str) {
        self.runs.remove(task);
        let floor = self.floor.entry(task.to_owned()).or_default();
        *floor = run.max(*floor);
        self.ends.push((self.next_end, task.to_owned(), run, how, String::new()));
        self.next_end += 1;
    }
}

#[derive(Deserialize)]
struct Order {
    #[serde(default)]
    task: String,
    #[serde(default)]
    run: u64,
    #[serde(default)]
    deadline_ms: u64,
    fencing_token: u64,
    #[serde(default)]
    last_seen: u64,
    #[serde(default)]
    wait_ms: u64,
    ticket: Option<String>,
}

/// Answers an order to one worker, late if that was asked for.
pub async fn answer(
    pool: Arc<StandinWorkers>,
    number: usize,
    request: Request<Incoming>,
) -> JsonResponse {
    let response = obey(pool.clone(), number, request).await;
    tokio::time::sleep(Duration::from_millis(pool.delay_ms.load(Ordering::Relaxed))).await;
    response
}

async fn obey(
    pool: Arc<StandinWorkers>,
    number: usize,
    request: Request<Incoming>,
) -> JsonResponse {
    let path = request.uri().path().to_owned();
    let intended = request.headers().get("target-instance").cloned();
    if intended.is_none_or(|life| life.as_bytes() != name(number).as_bytes()) {
        return status(StatusCode::MISDIRECTED_REQUEST);
    }
    let Some(order) = read_json::<Order>(request).await else {
        return status(StatusCode::BAD_REQUEST);
    };
    if path == "/sedgehill/hold" {
        return hold(&pool, number, &order).await;
    }
    let mut state = pool.state.lock();
    pool.settle(&mut state);
    let clock = pool.clock_ms();
    if order.fencing_token < state.workers[number].token {
        return refuse("fence", clock);
    }
    state.workers[number].token = order.fencing_token;
    match path.as_str() {
        "/sedgehill/run-start" => start(&mut state, number, &order, clock),
        "/sedgehill/run-stop" => {
            let run = state.workers[number].runs.get(&order.task).map(|(run, _)| *run);
            if run == Some(order.run) {
                state.workers[number].end(&order.task, order.run, "stopped");
            }
            json(&serde_json::json!({ "clock_ms": clock }))
        }
        _ => status(StatusCode::NOT_FOUND),
    }
}

fn refuse(reason: &str, clock: u64) -> JsonResponse {
    let mut response = json(&serde_json::json!({ "reason": reason, "clock_ms": clock }));
    *response.status_mut() = StatusCode::CONFLICT;
    response
}

fn start(state: &mut PoolState, number: usize, order: &Order, clock: u64) -> JsonResponse {
    if order.ticket.as_deref() != Some("ticket") {
        return refuse("ticket", clock);
    }
    if order.deadline_ms < clock {
        return refuse("late", clock);
    }
    let worker = &mut state.workers[number];
    if worker.runs.get(&order.task).is_some_and(|(run, _)| *run == order.run) {
        // The same order again.
        worker.lease_until = worker.lease_until.max(order.deadline_ms);
        return json(&serde_json::json!({ "clock_ms": clock }));
    }
    if worker.floor.get(&order.task).is_some_and(|floor| order.run <= *floor) {
        return refuse("old", clock);
    }
    if state.workers.iter().any(|worker| worker.runs.contains_key(&order.task)) {
        state.violations.push(format!("{} runs twice", order.task));
    }
    if state.noted.contains(&order.task) {
        state.violations.push(format!("{} begins after its end", order.task));
    }
    state.starts += 1;
    state.begun_jobs.extend(order.task.split('.').next().map(str::to_owned));
    let worker = &mut state.workers[number];
    worker.lease_until = worker.lease_until.max(order.deadline_ms);
    worker.starts += 1;
    worker.runs.insert(order.task.clone(), (order.run, Instant::now()));
    if worker.runs.len() > ROOM {
        state.violations.push(format!("{} is over its size", name(number)));
    }
    check_bounds(state);
    json(&serde_json::json!({ "clock_ms": clock }))
}

fn check_bounds(state: &mut PoolState) {
    for (prefix, most) in &state.bounds {
        let tasks = state.workers.iter().flat_map(|worker| worker.runs.keys());
        let running = tasks.filter(|task| task.starts_with(prefix.as_str())).count();
        if running > *most {
            state.violations.push(format!("{running} tasks of {prefix} run, beyond {most}"));
        }
    }
}

async fn hold(pool: &StandinWorkers, number: usize, order: &Order) -> JsonResponse {
    let deadline = Instant::now() + Duration::from_millis(order.wait_ms);
    loop {
        {
            let mut state = pool.state.lock();
            pool.settle(&mut state);
            let clock = pool.clock_ms();
            if order.fencing_token < state.workers[number].token {
                return refuse("fence", clock);
            }
            let PoolState { workers, noted, .. } = &mut *state;
            let worker = &mut workers[number];
            worker.token = order.fencing_token;
            worker.lease_until = worker.lease_until.max(order.deadline_ms);
            let seen = worker.ends.iter().filter(|end| end.0 <= order.last_seen);
            noted.extend(seen.filter(|end| end.3 == "done").map(|end| end.1.clone()));
            worker.ends.retain(|end| end.0 > order.last_seen);
            if !worker.ends.is_empty() || Instant::now() >= deadline {
                if pool.delay_ms.load(Ordering::Relaxed) > 0 {
                    let listed = worker.ends.iter().filter(|end| end.3 == "done");
                    noted.extend(listed.map(|end| end.1.clone()));
                }
                let running: Vec<(&str, u64, &str, u64)> = worker
                    .runs
                    .iter()
                    .map(|(task, (run, _))| (task.as_str(), *run, "", 100))
                    .collect();
                return json(&serde_json::json!({
                    "clock_ms": clock, "running": running, "ended_at": worker.ends
                }));
            }
        }
        tokio::time::sleep(TURN).await;
    }
}
