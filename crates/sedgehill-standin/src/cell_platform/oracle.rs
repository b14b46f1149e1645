//! What must never happen at workers, counted over all of them.

use std::collections::{BTreeMap, BTreeSet};

use super::life::{StandinEnd, StandinLife};

/// Workers that may crash under a task before its starts are counted.
const CRASHES_FREE: usize = 3;
/// Workers that crashed under a task, from which on it may be given up.
const CRASHES_GIVEN_UP: usize = 2;
/// The first of the counted starts that is one too many.
const STARTS_TOO_MANY: usize = 3;

/// The account of all workers.
#[derive(Debug, Default)]
pub struct TaskOracle {
    pub violations: Vec<String>,
    pub starts: usize,
    /// Jobs of which a task was ever begun.
    pub started_jobs: BTreeSet<String>,
    /// The most tasks that may run of jobs whose ids begin so.
    pub bounds: Vec<(String, usize)>,
    /// Tasks whose end somebody has noted, with that end.
    noted: BTreeMap<String, String>,
    /// Tasks whose end a worker has listed.
    listed: BTreeSet<String>,
    /// When each run of a task began, and what is told of it.
    begun: BTreeMap<String, Vec<(u64, String)>>,
    /// Lives that ended with a task on them.
    lost: BTreeMap<String, usize>,
    /// Workers that crashed under a task by its doing, and starts of it since the third.
    crashed: BTreeMap<String, usize>,
    further: BTreeMap<String, usize>,
    /// Jobs whose tasks end together at the platform, which these workers do not know.
    gangs: BTreeSet<String>,
}

impl TaskOracle {
    /// A run begins while the others go on.
    pub fn note_start(&mut self, task: &str, now: u64, told: &str, lives: &[&StandinLife]) {
        for life in lives {
            if let Some(other) = life.runs.get(task) {
                self.violations.push(format!("{task} runs twice: {} and {told}", other.told));
            }
        }
        if let Some(end) = self.noted.get(task) {
            self.violations.push(format!("{task} begins after its end: {end}, then {told}"));
        }
        self.starts += 1;
        self.started_jobs.insert(job_of(task));
        self.begun.entry(task.to_owned()).or_default().push((now, told.to_owned()));
    }

    /// A life ends with all that runs there, by the doing of a task or not.
    pub fn note_crash(&mut self, life: &StandinLife, by: Option<&str>) {
        for task in life.runs.keys() {
            *self.lost.entry(task.clone()).or_default() += 1;
        }
        if let Some(task) = by {
            *self.crashed.entry(task.to_owned()).or_default() += 1;
        }
    }

    /// A task that crashes its workers is started by an order that was not held up.
    pub fn note_crashing_start(&mut self, task: &str, told: &str) {
        if self.crashed.get(task).is_none_or(|count| *count < CRASHES_FREE) {
            return;
        }
        let further = self.further.entry(task.to_owned()).or_default();
        *further += 1;
        if *further >= STARTS_TOO_MANY {
            let what = format!(
                "{task} was started {further} times more after {CRASHES_FREE} crashes: {told}"
            );
            self.violations.push(what);
        }
    }

    /// Workers that crashed under a task by its doing.
    pub fn crashes_caused_by(&self, task: &str) -> usize {
        self.crashed.get(task).copied().unwrap_or(0)
    }

    /// Whether a job may be given up: so many lives ended under one of its tasks.
    pub fn may_give_up(&self, job: &str) -> bool {
        let of_job = self.lost.iter().filter(|(task, _)| job_of(task) == job);
        of_job.into_iter().any(|(_, count)| *count >= CRASHES_GIVEN_UP)
    }

    /// Tasks whose end a worker has listed to somebody, whether it was noted before the worker died or not.
    pub fn done_tasks(&self) -> impl Iterator<Item = &String> {
        self.listed.iter()
    }

    /// A worker lists ends.
    pub fn note_listed(&mut self, ends: &[StandinEnd]) {
        let done = ends.iter().filter(|end| end.how == "done");
        self.listed.extend(done.map(|end| end.task.clone()));
    }

    /// Tells of a job with gangs.
    pub fn note_gangs(&mut self, task: &str) {
        self.gangs.insert(job_of(task));
    }

    /// Somebody notes ends.
    pub fn note_ends(&mut self, ends: &[StandinEnd]) {
        for end in ends.iter().filter(|end| end.how == "done") {
            if self
                .noted
                .insert(end.task.clone(), format!("{} done at {}", end.told, end.at))
                .is_none()
            {
                self.check_earlier(end);
            }
        }
    }

    /// A run that began after an end counts as well if the end is noted later, unless the lease lapsed
    /// in between.
    fn check_earlier(&mut self, end: &StandinEnd) {
        if end.lapsed || self.gangs.contains(&job_of(&end.task)) {
            return;
        }
        let begun = self.begun.get(&end.task).into_iter().flatten();
        for (_, told) in begun.filter(|(at, _)| *at > end.at) {
            let (task, first, at) = (&end.task, &end.told, end.at);
            let what = "began after its end, which was noted later";
            self.violations.push(format!("{task} {what}: {first} done at {at}, then {told}"));
        }
    }

    /// Counts what runs of each organisation.
    pub fn check_bounds(&mut self, lives: &[&StandinLife]) {
        for (prefix, most) in &self.bounds {
            let tasks = lives.iter().flat_map(|life| life.runs.keys());
            let running = tasks.filter(|task| task.starts_with(prefix.as_str())).count();
            if running > *most {
                self.violations.push(format!("{running} tasks of {prefix} run, beyond {most}"));
            }
        }
    }
}

fn job_of(task: &str) -> String {
    task.split('.').next().unwrap_or_default().to_owned()
}
