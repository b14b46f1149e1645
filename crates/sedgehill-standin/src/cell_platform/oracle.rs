//! What must never happen at workers, counted over all of them.

use std::collections::{BTreeMap, BTreeSet};

use super::life::{StandinEnd, StandinLife};

/// The account of all workers.
#[derive(Debug, Default)]
pub struct TaskOracle {
    pub violations: Vec<String>,
    pub starts: usize,
    /// Jobs of which a task was ever begun.
    pub begun_jobs: BTreeSet<String>,
    /// The most tasks that may run of jobs whose ids begin so.
    pub bounds: Vec<(String, usize)>,
    /// Tasks whose end somebody has noted, with that end.
    noted: BTreeMap<String, String>,
    /// When each run of a task began, and what is told of it.
    begun: BTreeMap<String, Vec<(u64, String)>>,
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
        self.begun_jobs.insert(job_of(task));
        self.begun.entry(task.to_owned()).or_default().push((now, told.to_owned()));
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
