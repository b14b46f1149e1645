//! One life of a worker: what runs there, under which lease, and what has ended.

use std::collections::BTreeMap;

/// The longest lease that a worker grants, in milliseconds.
const HOLD_MOST_MS: u64 = 6_000;

/// The clock of a worker: it begins anywhere, and may be slow.
#[derive(Debug, Clone, Copy, Default)]
pub struct StandinClock {
    /// What it showed at the start.
    pub begun: u64,
    /// How much slower than time it runs, in thousandths.
    pub slow_permille: u64,
}

impl StandinClock {
    /// What it shows so many milliseconds after the start.
    pub fn at(&self, now: u64) -> u64 {
        self.begun + now - now * self.slow_permille / 1_000
    }

    /// When it has passed a time that it shows.
    fn passed(&self, time: u64) -> u64 {
        let shown = time.saturating_sub(self.begun);
        shown * 1_000 / (1_000 - self.slow_permille) + 1
    }
}

/// A run. Times are milliseconds after the start of the stand-ins.
#[derive(Debug, Clone)]
pub struct StandinRun {
    pub run: u64,
    pub begun: u64,
    pub span: u64,
    /// What it takes, in cores.
    pub cores: usize,
    /// When it will have been stopped; none if nobody stops it.
    pub stops_at: Option<u64>,
    /// When it crashes its worker; none if it does not.
    pub crashes_at: Option<u64>,
    /// When it fails; none if it ends done. It then has no end but that.
    pub fails_at: Option<u64>,
    /// Who ordered it and how, for whoever reads of it.
    pub told: String,
}

/// An end that is listed until it is acknowledged.
#[derive(Debug, Clone)]
pub struct StandinEnd {
    pub number: u64,
    pub task: String,
    pub run: u64,
    pub how: &'static str,
    /// When the run ended.
    pub at: u64,
    /// The lease has lapsed since: nobody has to heed the end any more.
    pub lapsed: bool,
    /// Whose run it was.
    pub told: String,
}

/// One life of a worker.
#[derive(Debug, Default)]
pub struct StandinLife {
    pub name: String,
    /// When it began, in milliseconds since 1970, if it tells.
    pub born: Option<u64>,
    pub clock: StandinClock,
    pub token: u64,
    pub runs: BTreeMap<String, StandinRun>,
    pub ends: Vec<StandinEnd>,
    lease_until: u64,
    ended: u64,
    /// The highest run of each task that ended or was stopped here.
    floor: BTreeMap<String, u64>,
}

impl StandinLife {
    /// A life that runs nothing.
    pub fn new(name: String, born: Option<u64>, clock: StandinClock) -> StandinLife {
        StandinLife { name, born, clock, ..StandinLife::default() }
    }

    /// Lets all that runs go on until a time on this worker's clock.
    pub fn lease(&mut self, until: u64, now: u64) {
        let most = self.clock.at(now) + HOLD_MOST_MS;
        self.lease_until = self.lease_until.max(until.min(most));
    }

    /// What all runs take, in cores.
    pub fn used_cores(&self) -> usize {
        self.runs.values().map(|run| run.cores).sum()
    }

    /// The run that has crashed the worker by now, if one has: it was still there when its time came.
    pub fn crashed_by(&self, now: u64) -> Option<(&String, u64)> {
        let crashes = self.runs.iter().filter_map(|(task, run)| Some((task, run.crashes_at?)));
        crashes.filter(|(_, at)| *at <= now).min_by_key(|(_, at)| *at)
    }

    /// Ends what has run its time, what was stopped, and what the lease does not cover any more.
    pub fn settle(&mut self, now: u64) {
        let lapse = self.clock.passed(self.lease_until);
        let end_of = |run: &StandinRun| {
            let done = run.fails_at.map_or((run.begun + run.span, "done"), |at| (at, "failed"));
            let stopped = run.stops_at.map(|at| (at, "stopped"));
            [Some(done), stopped, Some((lapse.max(run.begun), "lapsed"))]
                .into_iter()
                .flatten()
                .min()
        };
        let mut over: Vec<(u64, &'static str, String)> = Vec::new();
        for (task, run) in &self.runs {
            over.extend(
                end_of(run).filter(|(at, _)| *at <= now).map(|(at, how)| (at, how, task.clone())),
            );
        }
        over.sort();
        for (at, how, task) in over {
            self.end(&task, how, at);
        }
        if lapse <= now {
            self.ends.iter_mut().for_each(|end| end.lapsed = true);
        }
    }

    fn end(&mut self, task: &str, how: &'static str, at: u64) {
        let Some(run) = self.runs.remove(task) else { return };
        self.refuse_up_to(task, run.run);
        self.ended += 1;
        let (number, told, run) = (self.ended, run.told, run.run);
        let task = task.to_owned();
        self.ends.push(StandinEnd { number, task, run, how, at, lapsed: false, told });
    }

    /// Whether a run is refused since one as high has ended here.
    pub fn refuses(&self, task: &str, run: u64) -> bool {
        self.floor.get(task).is_some_and(|floor| run <= *floor)
    }

    /// Begins to stop a run, which is refused if it has not begun.
    pub fn stop(&mut self, task: &str, run: u64, at: u64) {
        match self.runs.get_mut(task).filter(|here| here.run == run) {
            Some(here) => here.stops_at = Some(here.stops_at.unwrap_or(at)),
            None => self.refuse_up_to(task, run),
        }
    }

    fn refuse_up_to(&mut self, task: &str, run: u64) {
        let floor = self.floor.entry(task.to_owned()).or_default();
        *floor = run.max(*floor);
    }

    /// Forgets the ends up to a number and returns them.
    pub fn acknowledge(&mut self, last_seen: u64) -> Vec<StandinEnd> {
        let (seen, left) = self.ends.drain(..).partition(|end| end.number <= last_seen);
        self.ends = left;
        seen
    }
}
