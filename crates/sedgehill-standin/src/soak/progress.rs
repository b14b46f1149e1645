//! Watches that no job is stalled: that for 3 s of calm nothing of it runs though a task's turn has come, the workers that
//! are good for it have room twice over, and under half of the cell is in use.
//!
//! It sees what callers were told and what workers run, while the load goes on: a job that ends at last was stalled
//! all the same.

use std::collections::{BTreeMap, HashMap, HashSet};
use std::time::{Duration, Instant};

use parking_lot::Mutex;

use super::callers::ToldJobs;
use crate::cell_platform::{CellPlatform, WorkerSnapshot};

/// A job may be stalled for so long, as the users say.
const STALLED_AFTER: Duration = Duration::from_secs(3);
/// Faults that ended so long before have no part in it.
const CALM_AFTER: Duration = Duration::from_secs(4);
/// Time between two looks.
const TURN: Duration = Duration::from_millis(100);
/// A look that comes so late tells that the stand-ins stood still themselves, and the boxes that wait for them: as when a
/// machine is suspended, which the users count as a fault of it.
const STOOD_STILL: Duration = Duration::from_secs(1);
/// Room for so many times what waits.
const ROOM_TIMES: usize = 2;

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
    over: HashSet<u64>,
    told: HashSet<u64>,
    broken: Vec<String>,
    /// The longest that a job was stalled in calm.
    longest: Duration,
}

/// What is watched.
pub struct ProgressWatch {
    /// No fault has been at work since then.
    calm_from: Mutex<Instant>,
    state: Mutex<ProgressState>,
}

impl ProgressWatch {
    /// A watch of a cell at which no fault is at work.
    pub fn new() -> ProgressWatch {
        ProgressWatch { calm_from: Mutex::new(Instant::now()), state: Mutex::default() }
    }

    /// A fault has begun or ended.
    pub fn note_fault(&self) {
        *self.calm_from.lock() = Instant::now();
    }

    /// Jobs that were stalled.
    pub fn broken(&self) -> Vec<String> {
        self.state.lock().broken.clone()
    }

    /// The longest that a job was stalled in calm.
    pub fn longest(&self) -> Duration {
        self.state.lock().longest
    }

    /// Watches until it is dropped.
    pub async fn run(&self, platform: &CellPlatform, told: &Mutex<ToldJobs>) {
        let mut looked = Instant::now();
        loop {
            tokio::time::sleep(TURN).await;
            if looked.elapsed() >= STOOD_STILL {
                self.note_fault();
            }
            looked = Instant::now();
            self.look(platform, told);
        }
    }

    fn look(&self, platform: &CellPlatform, told: &Mutex<ToldJobs>) {
        let sights = platform.workers.snapshots();
        let done = platform.workers.done_tasks();
        let now = Instant::now();
        let calm = now.duration_since(*self.calm_from.lock());
        let used: usize = sights.iter().map(|one| one.used).sum();
        let cores: usize = sights.iter().map(|one| one.cores).sum();
        let judged = 2 * used < cores && calm >= CALM_AFTER;
        let state = &mut *self.state.lock();
        state.take_in(&told.lock());
        state.forget_over(&done);
        let ids: Vec<u64> = state.jobs.keys().copied().collect();
        for id in ids {
            let stalled = match judged {
                true => stalled_step(&state.jobs[&id], &sights, &done, platform),
                false => None,
            };
            state.note(id, stalled, now);
        }
    }
}

impl ProgressState {
    /// Takes in the jobs that were accepted, and drops those that were cancelled.
    fn take_in(&mut self, told: &ToldJobs) {
        for id in told.accepted.iter().filter(|id| !told.crashing.contains(id)) {
            if !self.over.contains(id) && !self.jobs.contains_key(id) {
                let body = told.bodies.get(id).map(String::as_str).unwrap_or_default();
                self.jobs.insert(*id, steps_of(*id, body));
            }
        }
        self.jobs.retain(|id, _| told.accepted.contains(id));
    }

    fn forget_over(&mut self, done: &BTreeMap<String, usize>) {
        let (stalled, over) = (&mut self.stalled, &mut self.over);
        self.jobs.retain(|id, steps| {
            let is_over = steps.iter().all(|step| step.left(done) == 0);
            if is_over {
                stalled.remove(id);
                over.insert(*id);
            }
            !is_over
        });
    }

    /// Notes what of a job could run and does not, or that nothing is amiss.
    fn note(&mut self, id: u64, stalled: Option<String>, now: Instant) {
        let Some(what) = stalled else {
            self.stalled.remove(&id);
            return;
        };
        let since = *self.stalled.entry(id).or_insert(now);
        let lasted = now.duration_since(since);
        self.longest = self.longest.max(lasted);
        if lasted >= STALLED_AFTER && self.told.insert(id) {
            self.broken.push(format!("{what} is stalled for {} ms", lasted.as_millis()));
        }
    }
}

impl WatchedStep {
    fn left(&self, done: &BTreeMap<String, usize>) -> usize {
        let done = done.get(&self.id).copied().unwrap_or(0);
        // The members of a gang end together.
        if self.gang && done > 0 { 0 } else { self.count.saturating_sub(done) }
    }
}

fn steps_of(id: u64, body: &str) -> Vec<WatchedStep> {
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
    sights: &[WorkerSnapshot],
    done: &BTreeMap<String, usize>,
    platform: &CellPlatform,
) -> Option<String> {
    let runs = |step: &WatchedStep| sights.iter().any(|one| one.running.contains(&step.id));
    if steps.iter().any(runs) {
        return None;
    }
    for step in steps {
        let left = step.left(done);
        let due = step.after.iter().all(|before| steps[*before].left(done) == 0);
        if left == 0 || !due {
            continue;
        }
        let good = sights.iter().enumerate().filter(|(number, one)| {
            let room = one.alive && one.cores >= one.used + step.cores;
            room && platform.advice.is_allowed(&step.id, *number)
        });
        let places: usize = good.map(|(_, one)| (one.cores - one.used) / step.cores).sum();
        let wanted = if step.gang { left } else { 1 };
        if places >= ROOM_TIMES * wanted {
            let what = if step.gang { "a gang of" } else { "single tasks," };
            let cores = step.cores;
            return Some(format!(
                "{}, {what} {left} of {cores} cores with {places} places,",
                step.id
            ));
        }
    }
    None
}
