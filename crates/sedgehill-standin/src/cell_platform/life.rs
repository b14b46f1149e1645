//! One life of a worker, which is one process from its start to its end: its runs, their lease, and the ends of runs
//! that no box has acknowledged.

use std::collections::BTreeMap;

/// The longest lease that a worker grants.
const MAX_LEASE_MS: u64 = 6_000;

/// The clock of a worker, which starts at any value and may run slow.
///
/// Times without further word are milliseconds since the start of the stand-ins; readings are milliseconds on this clock.
#[derive(Debug, Clone, Copy, Default)]
pub struct StandinClock {
    /// The reading at the start of the stand-ins.
    pub start_reading: u64,
    /// How much slower than real time it runs, in thousandths.
    pub slow_permille: u64,
}

impl StandinClock {
    /// Returns the reading at a time.
    pub fn reading_at(&self, now: u64) -> u64 {
        self.start_reading + now - now * self.slow_permille / 1_000
    }

    /// Returns a time at which the clock has passed a reading.
    fn time_after(&self, reading: u64) -> u64 {
        let elapsed = reading.saturating_sub(self.start_reading);
        elapsed * 1_000 / (1_000 - self.slow_permille) + 1
    }
}

/// A run of a task. Times are milliseconds since the start of the stand-ins.
#[derive(Debug, Clone)]
pub struct StandinRun {
    /// The number of the run, which rises from one run of the task to the next.
    pub run: u64,
    pub started_at: u64,
    pub duration: u64,
    pub cores: usize,
    /// When a stop that was ordered takes effect.
    pub stops_at: Option<u64>,
    /// When it crashes its worker, if it does.
    pub crashes_at: Option<u64>,
    /// When it fails, if it does. Such a run never ends as done.
    pub fails_at: Option<u64>,
    /// Who started it and when, for messages about violations.
    pub description: String,
}

/// The end of a run, which the worker reports until it is acknowledged.
#[derive(Debug, Clone)]
pub struct StandinEnd {
    pub number: u64,
    pub task: String,
    pub run: u64,
    /// `done`, `failed`, `stopped` or `lapsed`, as written in the worker's report.
    pub outcome: &'static str,
    /// When the run ended.
    pub ended_at: u64,
    /// The lease of the worker has expired since, so that a box may start the task again without knowing of this
    /// end.
    pub lease_expired: bool,
    /// Who started the run and when, for messages about violations.
    pub description: String,
}

/// One life of a worker.
#[derive(Debug, Default)]
pub struct StandinLife {
    /// The id of the worker in this life. A later life may have the same.
    pub name: String,
    /// When the life began, in milliseconds since 1970, if the worker reports that.
    pub born: Option<u64>,
    pub clock: StandinClock,
    /// The highest fencing token of the orders that the life has accepted.
    pub token: u64,
    /// The runs in progress, by task.
    pub runs: BTreeMap<String, StandinRun>,
    /// Ends that are not acknowledged, in ascending order of number.
    pub ends: Vec<StandinEnd>,
    /// The end of the lease, a reading of the worker's clock.
    lease_until: u64,
    /// Number of ends so far; the last end has this number.
    end_count: u64,
    /// The highest run of each task that ended or was stopped here. Runs up to it are refused.
    highest_ended: BTreeMap<String, u64>,
}

impl StandinLife {
    /// Creates a life without runs.
    pub fn new(name: String, born: Option<u64>, clock: StandinClock) -> StandinLife {
        StandinLife { name, born, clock, ..StandinLife::default() }
    }

    /// Extends the lease of all runs to a reading of this worker's clock, at most to [`MAX_LEASE_MS`] from now.
    pub fn extend_lease(&mut self, until: u64, now: u64) {
        let latest = self.clock.reading_at(now) + MAX_LEASE_MS;
        self.lease_until = self.lease_until.max(until.min(latest));
    }

    /// Returns the cores that all runs use.
    pub fn used_cores(&self) -> usize {
        self.runs.values().map(|run| run.cores).sum()
    }

    /// Returns the task whose run crashes the worker first, and when, if that time is not after `now`.
    pub fn crashed_by(&self, now: u64) -> Option<(&String, u64)> {
        let crashes = self.runs.iter().filter_map(|(task, run)| Some((task, run.crashes_at?)));
        crashes.filter(|(_, at)| *at <= now).min_by_key(|(_, at)| *at)
    }

    /// Ends runs that have finished, were stopped, or are not covered by the lease any more.
    pub fn end_finished_runs(&mut self, now: u64) {
        let expiry = self.clock.time_after(self.lease_until);
        let end_of = |run: &StandinRun| {
            let done =
                run.fails_at.map_or((run.started_at + run.duration, "done"), |at| (at, "failed"));
            let stopped = run.stops_at.map(|at| (at, "stopped"));
            [Some(done), stopped, Some((expiry.max(run.started_at), "lapsed"))]
                .into_iter()
                .flatten()
                .min()
        };
        let mut ends: Vec<(u64, &'static str, String)> = Vec::new();
        for (task, run) in &self.runs {
            ends.extend(
                end_of(run)
                    .filter(|(at, _)| *at <= now)
                    .map(|(at, outcome)| (at, outcome, task.clone())),
            );
        }
        ends.sort();
        for (at, outcome, task) in ends {
            self.end(&task, outcome, at);
        }
        if expiry <= now {
            self.ends.iter_mut().for_each(|end| end.lease_expired = true);
        }
    }

    fn end(&mut self, task: &str, outcome: &'static str, ended_at: u64) {
        let Some(run) = self.runs.remove(task) else { return };
        self.refuse_up_to(task, run.run);
        self.end_count += 1;
        let (number, description, run) = (self.end_count, run.description, run.run);
        let task = task.to_owned();
        self.ends.push(StandinEnd {
            number,
            task,
            run,
            outcome,
            ended_at,
            lease_expired: false,
            description,
        });
    }

    /// Returns whether a run is refused because it or a later run of the task has ended or was stopped here.
    pub fn refuses(&self, task: &str, run: u64) -> bool {
        self.highest_ended.get(task).is_some_and(|highest| run <= *highest)
    }

    /// Orders a run to stop at a time. If it has not begun, a later start of it is refused.
    pub fn stop(&mut self, task: &str, run: u64, at: u64) {
        match self.runs.get_mut(task).filter(|running| running.run == run) {
            Some(running) => running.stops_at = Some(running.stops_at.unwrap_or(at)),
            None => self.refuse_up_to(task, run),
        }
    }

    fn refuse_up_to(&mut self, task: &str, run: u64) {
        let highest = self.highest_ended.entry(task.to_owned()).or_default();
        *highest = run.max(*highest);
    }

    /// Removes the ends up to a number and returns them.
    pub fn acknowledge(&mut self, last_seen: u64) -> Vec<StandinEnd> {
        let (acknowledged, left) = self.ends.drain(..).partition(|end| end.number <= last_seen);
        self.ends = left;
        acknowledged
    }
}
