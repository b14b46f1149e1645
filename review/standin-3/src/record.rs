//! The record of a case: what was sent, answered and run, with the time since its start.

use std::collections::BTreeMap;
use std::io::Write;
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::time::Instant;

/// A run as a runner saw it.
#[derive(Debug, Clone)]
pub struct RunSpan {
    worker: String,
    task: String,
    run: u32,
    from_ms: u64,
    to_ms: Option<u64>,
    is_done: bool,
}

impl RunSpan {
    pub fn is_of_job(&self, job: &str) -> bool {
        self.task.split('.').next() == Some(job)
    }

    pub fn is_of_task(&self, task: &str) -> bool {
        self.task == task
    }

    /// Whether it ran at some time in the span.
    pub fn overlaps(&self, from_ms: u64, to_ms: u64) -> bool {
        self.from_ms < to_ms && self.to_ms.is_none_or(|end| end > from_ms)
    }

    /// Whether it ended `done`.
    pub fn is_done(&self) -> bool {
        self.is_done
    }

    pub fn start_ms(&self) -> u64 {
        self.from_ms
    }

    /// When it ended; none while it runs.
    pub fn end_ms(&self) -> Option<u64> {
        self.to_ms
    }
}

#[derive(Default)]
struct State {
    lines: Vec<String>,
    runs: Vec<RunSpan>,
    /// How many runs of a job were started and ended in the present second, for short records.
    counts: BTreeMap<(u64, String), [usize; 2]>,
}

#[derive(Clone)]
pub struct Record {
    began: Instant,
    /// Whether each run has a line of its own.
    lists_runs: bool,
    state: Arc<Mutex<State>>,
}

impl Record {
    pub fn new(lists_runs: bool) -> Record {
        Record { began: Instant::now(), lists_runs, state: Arc::default() }
    }

    pub fn now_ms(&self) -> u64 {
        self.began.elapsed().as_millis() as u64
    }

    pub fn note(&self, text: String) {
        let line = format!("{:>7} {text}", self.now_ms());
        println!("{line}");
        self.state.lock().expect("no panic").lines.push(line);
    }

    pub fn run_started(&self, worker: &str, task: &str, run: u32) {
        let now = self.now_ms();
        let mut state = self.state.lock().expect("no panic");
        state.runs.push(RunSpan {
            worker: worker.to_owned(),
            task: task.to_owned(),
            run,
            from_ms: now,
            to_ms: None,
            is_done: false,
        });
        state.count(now, task, 0);
        if self.lists_runs {
            state.lines.push(format!("{now:>7} run {task} {run} starts on {worker}"));
        }
    }

    pub fn run_ended(&self, worker: &str, task: &str, run: u32, how: &'static str) {
        let now = self.now_ms();
        let mut state = self.state.lock().expect("no panic");
        let is_run = |span: &&mut RunSpan| {
            span.to_ms.is_none() && span.run == run && span.task == task && span.worker == worker
        };
        if let Some(span) = state.runs.iter_mut().rev().find(is_run) {
            (span.to_ms, span.is_done) = (Some(now), how == "done");
        }
        state.count(now, task, 1);
        if self.lists_runs {
            state.lines.push(format!("{now:>7} run {task} {run} on {worker} ends: {how}"));
        }
    }

    pub fn runs(&self) -> Vec<RunSpan> {
        self.state.lock().expect("no panic").runs.clone()
    }

    pub fn write(&self, path: &Path) {
        let state = self.state.lock().expect("no panic");
        let mut file = std::fs::File::create(path).expect("the record can be written");
        for line in &state.lines {
            let _ = writeln!(file, "{line}");
        }
        if !self.lists_runs {
            let _ = writeln!(file, "runs of each job by second: second, job, started, ended");
            for ((second, job), [started, ended]) in &state.counts {
                let _ = writeln!(file, "{second:>4} {job} {started} {ended}");
            }
        }
    }
}

impl State {
    fn count(&mut self, now_ms: u64, task: &str, place: usize) {
        let job = task.split('.').next().unwrap_or(task).to_owned();
        self.counts.entry((now_ms / 1_000, job)).or_default()[place] += 1;
    }
}
