//! Watches that no job is stalled: that for 3 s of calm nothing of it runs though a task's turn has come, the workers that
//! are good for it have room twice over, and under half of the cell is in use.
//!
//! It sees what callers were told and what workers run, while the load goes on: a job that ends at last was stalled
//! all the same.

use std::collections::{BTreeMap, HashMap, HashSet};
use std::time::{Duration, Instant};

use parking_lot::Mutex;

use super::callers::SubmittedJobs;
use crate::cell_platform::{CellPlatform, WorkerSnapshot};

/// A job may be stalled for so long, as the users say.
const MAX_STALL: Duration = Duration::from_secs(3);
/// Faults that ended so long before have no part in it.
const MIN_CALM: Duration = Duration::from_secs(4);
/// Time between two looks.
const WATCH_INTERVAL: Duration = Duration::from_millis(100);
/// A look that comes so late tells that the stand-ins stood still themselves, and the boxes that wait for them: as when a
/// machine is suspended, which the users count as a fault of it.
const PAUSE_THRESHOLD: Duration = Duration::from_secs(1);
/// Room for so many times what waits.
const MIN_ROOM_FACTOR: usize = 2;

/// A step as its caller handed it in.
#[derive(Debug, Clone)]
struct WatchedStep {
    id: String,
    count: usize,
    cores: usize,
    gang: bool,
    after: Vec<usize>,
}

#[derive(Debug, Default)]
struct ProgressState {
    jobs: BTreeMap<u64, Vec<WatchedStep>>,
    /// Since when jobs are stalled.
    stalled: HashMap<u64, Instant>,
    completed: HashSet<u64>,
    told: HashSet<u64>,
    violations: Vec<String>,
    /// The longest that a job was stalled in calm.
    max_stall: Duration,
}

/// What is watched.
pub struct ProgressWatch {
    /// No fault has been at work since then.
    calm_since: Mutex<Instant>,
    state: Mutex<ProgressState>,
}

impl ProgressWatch {
    /// A watch of a cell at which no fault is at work.
    pub fn new() -> ProgressWatch {
        ProgressWatch { calm_since: Mutex::new(Instant::now()), state: Mutex::default() }
    }

    /// A fault has begun or ended.
    pub fn record_fault(&self) {
        *self.calm_since.lock() = Instant::now();
    }

    /// Jobs that were stalled.
    pub fn violations(&self) -> Vec<String> {
        self.state.lock().violations.clone()
    }

    /// The longest that a job was stalled in calm.
    pub fn max_stall(&self) -> Duration {
        self.state.lock().max_stall
    }

    /// Watches until it is dropped.
    pub async fn run(&self, platform: &CellPlatform, told: &Mutex<SubmittedJobs>) {
        let mut last_check = Instant::now();
        loop {
            tokio::time::sleep(WATCH_INTERVAL).await;
            if last_check.elapsed() >= PAUSE_THRESHOLD {
                self.record_fault();
            }
            last_check = Instant::now();
            self.check(platform, told);
        }
    }

    fn check(&self, platform: &CellPlatform, told: &Mutex<SubmittedJobs>) {
        let snapshots = platform.workers.snapshots();
        let done = platform.workers.done_tasks();
        let now = Instant::now();
        let calm = now.duration_since(*self.calm_since.lock());
        let used: usize = snapshots.iter().map(|one| one.used).sum();
        let cores: usize = snapshots.iter().map(|one| one.cores).sum();
        let is_judged = 2 * used < cores && calm >= MIN_CALM;
        let state = &mut *self.state.lock();
        state.update_jobs(&told.lock());
        state.remove_completed(&done);
        let ids: Vec<u64> = state.jobs.keys().copied().collect();
        for id in ids {
            let stalled = match is_judged {
                true => stalled_step(&state.jobs[&id], &snapshots, &done, platform),
                false => None,
            };
            state.update_stall(id, stalled, now);
        }
    }
}

impl ProgressState {
    /// Takes in the jobs that were accepted, and drops those that were cancelled.
    fn update_jobs(&mut self, told: &SubmittedJobs) {
        for id in told.accepted.iter().filter(|id| !told.crashing.contains(id)) {
            if !self.completed.contains(id) && !self.jobs.contains_key(id) {
                let body = told.bodies.get(id).map(String::as_str).unwrap_or_default();
                self.jobs.insert(*id, parse_steps(*id, body));
            }
        }
        self.jobs.retain(|id, _| told.accepted.contains(id));
    }

    fn remove_completed(&mut self, done: &BTreeMap<String, usize>) {
        let (stalled, completed) = (&mut self.stalled, &mut self.completed);
        self.jobs.retain(|id, steps| {
            let is_completed = steps.iter().all(|step| step.remaining(done) == 0);
            if is_completed {
                stalled.remove(id);
                completed.insert(*id);
            }
            !is_completed
        });
    }

    /// Notes what of a job could run and does not, or that nothing is amiss.
    fn update_stall(&mut self, id: u64, stalled: Option<String>, now: Instant) {
        let Some(what) = stalled else {
            self.stalled.remove(&id);
            return;
        };
        let since = *self.stalled.entry(id).or_insert(now);
        let lasted = now.duration_since(since);
        self.max_stall = self.max_stall.max(lasted);
        if lasted >= MAX_STALL && self.told.insert(id) {
            self.violations.push(format!("{what} is stalled for {} ms", lasted.as_millis()));
        }
    }
}

impl WatchedStep {
    fn remaining(&self, done: &BTreeMap<String, usize>) -> usize {
        let done = done.get(&self.id).copied().unwrap_or(0);
        // The members of a gang end together.
        if self.gang && done > 0 { 0 } else { self.count.saturating_sub(done) }
    }
}

fn parse_steps(id: u64, body: &str) -> Vec<WatchedStep> {
    let body: serde_json::Value = serde_json::from_str(body).unwrap_or_default();
    let steps = body["steps"].as_array().cloned().unwrap_or_default();
    let number = |value: &serde_json::Value| value.as_u64().unwrap_or(0) as usize;
    let step = |(place, step): (usize, &serde_json::Value)| WatchedStep {
        id: format!("{id:016x}.0.{place}"),
        count: number(&step["count"]),
        cores: (number(&step["cpu"]) / 1_000).max(1),
        gang: step["gang_scheduled"] == true,
        after: step["after"].as_array().into_iter().flatten().map(number).collect(),
    };
    steps.iter().enumerate().map(step).collect()
}

/// The step of a job that could run though nothing of the job does.
fn stalled_step(
    steps: &[WatchedStep],
    snapshots: &[WorkerSnapshot],
    done: &BTreeMap<String, usize>,
    platform: &CellPlatform,
) -> Option<String> {
    let runs = |step: &WatchedStep| snapshots.iter().any(|one| one.running.contains(&step.id));
    if steps.iter().any(runs) {
        return None;
    }
    for step in steps {
        let remaining = step.remaining(done);
        let is_ready = step.after.iter().all(|before| steps[*before].remaining(done) == 0);
        if remaining == 0 || !is_ready {
            continue;
        }
        let allowed = snapshots.iter().enumerate().filter(|(number, one)| {
            let room = one.alive && one.cores >= one.used + step.cores;
            room && platform.advice.is_allowed(&step.id, *number)
        });
        let places: usize = allowed.map(|(_, one)| (one.cores - one.used) / step.cores).sum();
        let wanted = if step.gang { remaining } else { 1 };
        if places >= MIN_ROOM_FACTOR * wanted {
            let what = if step.gang { "a gang of" } else { "single tasks," };
            let cores = step.cores;
            return Some(format!(
                "{}, {what} {remaining} of {cores} cores with {places} places,",
                step.id
            ));
        }
    }
    None
}
