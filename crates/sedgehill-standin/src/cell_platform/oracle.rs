//! Detects violations, that is, events that must never happen, over all workers together.

use std::collections::{BTreeMap, BTreeSet};

use super::life::{StandinEnd, StandinLife};

/// Number of crashes that a task may cause before its further starts are counted.
const CRASHES_BEFORE_COUNT: usize = 3;
/// Number of lives that must have ended while they ran a task before its job may be given up.
const MIN_LOSSES_TO_GIVE_UP: usize = 2;
/// The first of the counted starts that is a violation.
const FIRST_EXCESS_START: usize = 3;
/// How long after a hall was emptied a run may still begin there: the users allow 5 s, and an order takes up to a second
/// on its way.
const MAX_START_AFTER_EMPTIED_MS: u64 = 6_000;

/// The history of all workers and the violations found in it.
#[derive(Debug, Default)]
pub struct TaskOracle {
    pub violations: Vec<String>,
    /// Number of runs that have begun.
    pub starts: usize,
    /// Jobs of which at least one task has begun.
    pub started_jobs: BTreeSet<String>,
    /// Prefixes of job ids, each with the number of tasks of such jobs that may run at once.
    pub task_limits: Vec<(String, usize)>,
    /// Tasks whose successful end a box has acknowledged, with a description of that end.
    acknowledged: BTreeMap<String, String>,
    /// Tasks whose successful end was in a report of a worker.
    reported: BTreeSet<String>,
    /// When each run of a task began, with its description.
    runs_by_task: BTreeMap<String, Vec<(u64, String)>>,
    /// Number of lives that ended while they ran the task, for whatever reason.
    losses: BTreeMap<String, usize>,
    /// Number of crashes that the task caused.
    crashes: BTreeMap<String, usize>,
    /// Number of starts of the task since its crashes reached [`CRASHES_BEFORE_COUNT`].
    counted_starts: BTreeMap<String, usize>,
    /// The emptied halls, and when each was emptied.
    emptied_halls: BTreeMap<String, u64>,
    /// Jobs with gangs. The platform ends the members of a gang together, which these workers do not model.
    gang_jobs: BTreeSet<String>,
}

impl TaskOracle {
    /// Records that a run begins while `lives` run what they have.
    pub fn record_start(
        &mut self,
        task: &str,
        now: u64,
        description: &str,
        lives: &[&StandinLife],
    ) {
        for life in lives {
            if let Some(other) = life.runs.get(task) {
                self.violations
                    .push(format!("{task} runs twice: {} and {description}", other.description));
            }
        }
        if let Some(end) = self.acknowledged.get(task) {
            self.violations.push(format!("{task} begins after its end: {end}, then {description}"));
        }
        self.starts += 1;
        self.started_jobs.insert(job_of(task));
        self.runs_by_task.entry(task.to_owned()).or_default().push((now, description.to_owned()));
    }

    /// Records that a hall is emptied, or taken back.
    pub fn record_hall(&mut self, hall: &str, emptied_at: Option<u64>) {
        match emptied_at {
            Some(at) => {
                self.emptied_halls.entry(hall.to_owned()).or_insert(at);
            }
            None => {
                self.emptied_halls.remove(hall);
            }
        }
    }

    /// Records that a run begins in a hall by an order that was not delayed on its way.
    pub fn record_hall_start(&mut self, task: &str, hall: &str, now: u64, description: &str) {
        let Some(at) = self.emptied_halls.get(hall) else { return };
        if now > at + MAX_START_AFTER_EMPTIED_MS {
            self.violations
                .push(format!("{task} begins in {hall}, emptied at {at} ms: {description}"));
        }
    }

    /// Records that a life ends with all its runs. `cause` is the task that crashed it, if one did.
    pub fn record_crash(&mut self, life: &StandinLife, cause: Option<&str>) {
        for task in life.runs.keys() {
            *self.losses.entry(task.clone()).or_default() += 1;
        }
        if let Some(task) = cause {
            *self.crashes.entry(task.to_owned()).or_default() += 1;
        }
    }

    /// Records the start of a task that crashes its workers, by an order that was not delayed on its way.
    pub fn record_crashing_start(&mut self, task: &str, description: &str) {
        if self.crashes.get(task).is_none_or(|count| *count < CRASHES_BEFORE_COUNT) {
            return;
        }
        let starts = self.counted_starts.entry(task.to_owned()).or_default();
        *starts += 1;
        if *starts >= FIRST_EXCESS_START {
            let violation = format!(
                "{task} was started {starts} times more after {CRASHES_BEFORE_COUNT} crashes: {description}"
            );
            self.violations.push(violation);
        }
    }

    /// Returns how many workers a task has crashed.
    pub fn crashes_caused_by(&self, task: &str) -> usize {
        self.crashes.get(task).copied().unwrap_or(0)
    }

    /// Returns whether a job may be given up: [`MIN_LOSSES_TO_GIVE_UP`] lives ended while they ran one of its tasks.
    pub fn may_give_up(&self, job: &str) -> bool {
        let losses = self.losses.iter().filter(|(task, _)| job_of(task) == job);
        losses.into_iter().any(|(_, count)| *count >= MIN_LOSSES_TO_GIVE_UP)
    }

    /// Returns the tasks whose successful end was in a report of a worker, acknowledged or not.
    pub fn done_tasks(&self) -> impl Iterator<Item = &String> {
        self.reported.iter()
    }

    /// Records ends that are in a report of a worker.
    pub fn record_reported_ends(&mut self, ends: &[StandinEnd]) {
        let done = ends.iter().filter(|end| end.outcome == "done");
        self.reported.extend(done.map(|end| end.task.clone()));
    }

    /// Marks the job of a task as one with gangs.
    pub fn mark_gang_job(&mut self, task: &str) {
        self.gang_jobs.insert(job_of(task));
    }

    /// Records ends that a box has acknowledged.
    pub fn record_acknowledged_ends(&mut self, ends: &[StandinEnd]) {
        for end in ends.iter().filter(|end| end.outcome == "done") {
            if self
                .acknowledged
                .insert(end.task.clone(), format!("{} done at {}", end.description, end.ended_at))
                .is_none()
            {
                self.check_later_runs(end);
            }
        }
    }

    /// Counts runs as violations that began after an end that is acknowledged only now. They are permitted if the
    /// worker's lease expired after the end.
    fn check_later_runs(&mut self, end: &StandinEnd) {
        if end.lease_expired || self.gang_jobs.contains(&job_of(&end.task)) {
            return;
        }
        let runs = self.runs_by_task.get(&end.task).into_iter().flatten();
        for (_, description) in runs.filter(|(at, _)| *at > end.ended_at) {
            let (task, first, at) = (&end.task, &end.description, end.ended_at);
            let fault = "began after its end, which was acknowledged later";
            self.violations
                .push(format!("{task} {fault}: {first} done at {at}, then {description}"));
        }
    }

    /// Checks that no more tasks run than [`TaskOracle::task_limits`] permits.
    pub fn check_task_limits(&mut self, lives: &[&StandinLife]) {
        for (prefix, limit) in &self.task_limits {
            let tasks = lives.iter().flat_map(|life| life.runs.keys());
            let running = tasks.filter(|task| task.starts_with(prefix.as_str())).count();
            if running > *limit {
                self.violations.push(format!("{running} tasks of {prefix} run, beyond {limit}"));
            }
        }
    }
}

fn job_of(task: &str) -> String {
    task.split('.').next().unwrap_or_default().to_owned()
}
