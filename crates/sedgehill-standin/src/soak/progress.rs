//! Detects stalled jobs. A job is stalled if for 3 s of calm none of its tasks runs although all steps before one of its steps
//! are done, the workers that the advice service allows for this step have room for it twice over, and less than half of the
//! cores of the cell are in use.
//!
//! The watch compares the accepted jobs with the runs of workers during the load, so that it also finds stalled jobs that end
//! later.

use std::collections::{BTreeMap, HashMap, HashSet};
use std::time::{Duration, Instant};

use parking_lot::Mutex;

use super::callers::SubmittedJobs;
use crate::cell_platform::{CellPlatform, WorkerSnapshot};

/// Maximum time that a job may be stalled, as required by the users.
const MAX_STALL: Duration = Duration::from_secs(3);
/// Minimum time since the last fault for jobs to be judged. Before that, the fault may be the reason of a stall.
const MIN_CALM: Duration = Duration::from_secs(4);
/// Time between two checks.
const WATCH_INTERVAL: Duration = Duration::from_millis(100);
/// A longer time between two checks means that the stand-ins themselves were paused, and with them the boxes that wait for
/// their answers, as when a machine is suspended. The users count that as a fault of the machine.
const PAUSE_THRESHOLD: Duration = Duration::from_secs(1);
/// A step counts as stalled only if the allowed workers have room for this many times its waiting gang, or for this many of
/// its tasks.
const MIN_ROOM_FACTOR: usize = 2;

/// A step as its caller submitted it.
#[derive(Debug, Clone)]
struct WatchedStep {
    id: String,
    count: usize,
    cores: usize,
    gang: bool,
    after: Vec<usize>,
}

/// The state of the watch.
#[derive(Debug, Default)]
struct ProgressState {
    jobs: BTreeMap<u64, Vec<WatchedStep>>,
    /// When each stalled job was first seen as stalled.
    stalled: HashMap<u64, Instant>,
    completed: HashSet<u64>,
    reported: HashSet<u64>,
    violations: Vec<String>,
    /// The longest time that a job was stalled in calm.
    max_stall: Duration,
}

/// Detects jobs that are stalled for too long.
pub struct ProgressWatch {
    /// When the last fault began or ended.
    calm_since: Mutex<Instant>,
    state: Mutex<ProgressState>,
}

impl ProgressWatch {
    /// Creates a watch of a cell without faults.
    pub fn new() -> ProgressWatch {
        ProgressWatch { calm_since: Mutex::new(Instant::now()), state: Mutex::default() }
    }

    /// Records that a fault begins or ends now.
    pub fn record_fault(&self) {
        *self.calm_since.lock() = Instant::now();
    }

    /// Describes the jobs that were stalled for too long.
    pub fn violations(&self) -> Vec<String> {
        self.state.lock().violations.clone()
    }

    /// Returns the longest time that a job was stalled in calm.
    pub fn max_stall(&self) -> Duration {
        self.state.lock().max_stall
    }

    /// Checks the jobs periodically until the future is dropped.
    pub async fn run(&self, platform: &CellPlatform, jobs: &Mutex<SubmittedJobs>) {
        let mut last_check = Instant::now();
        loop {
            tokio::time::sleep(WATCH_INTERVAL).await;
            if last_check.elapsed() >= PAUSE_THRESHOLD {
                self.record_fault();
            }
            last_check = Instant::now();
            self.check(platform, jobs);
        }
    }

    /// Updates the jobs, and how long each has been stalled.
    fn check(&self, platform: &CellPlatform, jobs: &Mutex<SubmittedJobs>) {
        let snapshots = platform.workers.snapshots();
        let done = platform.workers.done_tasks();
        let now = Instant::now();
        let calm = now.duration_since(*self.calm_since.lock());
        let used: usize = snapshots.iter().map(|snapshot| snapshot.used).sum();
        let cores: usize = snapshots.iter().map(|snapshot| snapshot.cores).sum();
        let is_judged = 2 * used < cores && calm >= MIN_CALM;
        let state = &mut *self.state.lock();
        state.update_jobs(&jobs.lock());
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
    /// Adds newly accepted jobs, except those that crash workers, and removes cancelled ones.
    fn update_jobs(&mut self, submitted: &SubmittedJobs) {
        for id in submitted.accepted.iter().filter(|id| !submitted.crashing.contains(id)) {
            if !self.completed.contains(id) && !self.jobs.contains_key(id) {
                let body = submitted.bodies.get(id).map(String::as_str).unwrap_or_default();
                self.jobs.insert(*id, parse_steps(*id, body));
            }
        }
        self.jobs.retain(|id, _| submitted.accepted.contains(id));
    }

    /// Removes the jobs of which all tasks have ended as done.
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

    /// Updates how long a job has been stalled. `stalled` describes the step that could run; `None` means that the job is
    /// not stalled.
    fn update_stall(&mut self, id: u64, stalled: Option<String>, now: Instant) {
        let Some(description) = stalled else {
            self.stalled.remove(&id);
            return;
        };
        let since = *self.stalled.entry(id).or_insert(now);
        let lasted = now.duration_since(since);
        self.max_stall = self.max_stall.max(lasted);
        if lasted >= MAX_STALL && self.reported.insert(id) {
            self.violations.push(format!("{description} is stalled for {} ms", lasted.as_millis()));
        }
    }
}

impl WatchedStep {
    /// Returns how many tasks of the step have not ended as done.
    fn remaining(&self, done: &BTreeMap<String, usize>) -> usize {
        let done = done.get(&self.id).copied().unwrap_or(0);
        // The members of a gang end together, so one report completes the gang.
        if self.gang && done > 0 { 0 } else { self.count.saturating_sub(done) }
    }
}

/// Reads the steps of a job from its request body.
fn parse_steps(id: u64, body: &str) -> Vec<WatchedStep> {
    let body: serde_json::Value = serde_json::from_str(body).unwrap_or_default();
    let steps = body["steps"].as_array().cloned().unwrap_or_default();
    let number = |value: &serde_json::Value| value.as_u64().unwrap_or(0) as usize;
    let step = |(index, step): (usize, &serde_json::Value)| WatchedStep {
        id: format!("{id:016x}.0.{index}"),
        count: number(&step["count"]),
        cores: (number(&step["cpu"]) / 1_000).max(1),
        gang: step["gang_scheduled"] == true,
        after: step["after"].as_array().into_iter().flatten().map(number).collect(),
    };
    steps.iter().enumerate().map(step).collect()
}

/// Describes a step that could run in a job of which no task runs. Returns `None` if a task of the job runs or no step is
/// ready and has room.
fn stalled_step(
    steps: &[WatchedStep],
    snapshots: &[WorkerSnapshot],
    done: &BTreeMap<String, usize>,
    platform: &CellPlatform,
) -> Option<String> {
    let runs =
        |step: &WatchedStep| snapshots.iter().any(|snapshot| snapshot.running.contains(&step.id));
    if steps.iter().any(runs) {
        return None;
    }
    for step in steps {
        let remaining = step.remaining(done);
        let is_ready = step.after.iter().all(|before| steps[*before].remaining(done) == 0);
        if remaining == 0 || !is_ready {
            continue;
        }
        let allowed = snapshots.iter().enumerate().filter(|(number, snapshot)| {
            let has_room = snapshot.alive && snapshot.cores >= snapshot.used + step.cores;
            has_room && platform.advice.is_allowed(&step.id, *number)
        });
        let places: usize =
            allowed.map(|(_, snapshot)| (snapshot.cores - snapshot.used) / step.cores).sum();
        let wanted = if step.gang { remaining } else { 1 };
        if places >= MIN_ROOM_FACTOR * wanted {
            let kind = if step.gang { "a gang of" } else { "single tasks," };
            let cores = step.cores;
            return Some(format!(
                "{}, {kind} {remaining} of {cores} cores with {places} places,",
                step.id
            ));
        }
    }
    None
}
