//! The lead's knowledge of the speeds of workers and queues, and its use for forecasts and placement.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;

use sedgehill_core::units::{Moment, TimeSpan};

use super::active_job::ActiveJob;
use super::rank::latest_start;
use super::room::is_tight;
use super::speed_choice::SpeedPreference;
use super::speed_records::{
    MachineIdentity, SpeedChange, SpeedParts, SpeedRecorder, SpeedSnapshot,
};
use super::speed_spread::PoolSpread;
use super::speeds::{LogFactor, QueueEstimate, SpeedEstimate, WorkerSpeed, run_factor};
use super::worker_run::WorkerRun;
use super::*;
use crate::ids::PoolName;

/// Interval at which the speeds of all workers are compared. They change by a few per cent with each
/// run, and the comparison takes about a millisecond with 6,000 workers.
const REFRESH_INTERVAL: TimeSpan = TimeSpan(500);
/// A job keeps a part of its value until this many times its objective.
const LATE_FACTOR: u64 = 3;
/// Labels with fewer known workers say nothing about a new one.
const MIN_LABELLED: usize = 3;
/// A label counts if the mean of its workers is this many standard errors from that of the pool.
const MIN_LABEL_ERRORS: f64 = 2.0;
/// Members of a gang that were at most this much faster than the slowest one may have been the
/// slowest in fact.
const SLOWEST_MARGIN: f64 = 0.1;

/// The index of a machine whose speed is tracked.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct MachineKey(usize);

/// The factors of queues in a record that is older than this are not used: callers' estimates and the
/// workers may have changed, and a few runs of each queue teach them again.
const MAX_QUEUE_AGE: TimeSpan = TimeSpan(600_000);

/// What the duration of a run shows.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RunBasis {
    /// It started from the beginning, under this lead, so that its duration is that of the whole
    /// task.
    pub is_whole: bool,
    /// Its duration depends on its own worker: no other member of its gang is on a slower one.
    pub is_slowest: bool,
    /// The speed of the slowest worker of its gang, or of its own worker, when it was started.
    pub slowest: LogFactor,
}

impl RunBasis {
    /// The basis of a run that this lead did not start.
    pub const UNKNOWN: RunBasis =
        RunBasis { is_whole: false, is_slowest: false, slowest: LogFactor(0.0) };
}

/// A machine whose speed is tracked.
#[derive(Debug)]
struct MachineSpeed {
    identity: MachineIdentity,
    estimate: SpeedEstimate,
    /// When the estimate was last changed.
    changed_at: Moment,
    /// The speed assumed of it before its first run.
    prior: LogFactor,
    /// What is known now, including runs under way.
    current: WorkerSpeed,
}

/// What is known of a pool.
#[derive(Debug, Clone, Copy, Default)]
struct PoolSpeeds {
    spread: PoolSpread,
    differs: bool,
}

/// Figures about the speeds of the workers of a pool.
#[derive(Debug, Clone, PartialEq)]
pub struct SpeedStats {
    /// The pool.
    pub pool: PoolName,
    /// How far its workers differ.
    pub spread: PoolSpread,
    /// Whether the differences are taken into account.
    pub in_effect: bool,
}

/// The speeds of workers and queues.
#[derive(Debug, Default)]
pub(super) struct WorkerSpeeds {
    queues: HashMap<QueueName, QueueEstimate>,
    machines: Vec<MachineSpeed>,
    indexes: HashMap<MachineIdentity, MachineKey>,
    pools: BTreeMap<PoolName, PoolSpeeds>,
    refreshed_at: Option<Moment>,
    recorder: SpeedRecorder,
}

impl WorkerSpeeds {
    /// Returns the machine of a worker, which is added if it is not known.
    pub(super) fn machine_of(&mut self, entry: &WorkerEntry, now: Moment) -> MachineKey {
        self.find_or_add(MachineIdentity::of(entry), now)
    }

    fn find_or_add(&mut self, identity: MachineIdentity, now: Moment) -> MachineKey {
        *self.indexes.entry(identity).or_insert_with_key(|identity| {
            self.machines.push(MachineSpeed {
                identity: identity.clone(),
                estimate: SpeedEstimate::default(),
                changed_at: now,
                prior: LogFactor(0.0),
                current: SpeedEstimate::default().posterior(LogFactor(0.0)),
            });
            MachineKey(self.machines.len() - 1)
        })
    }

    /// Forgets how fast a machine was.
    pub(super) fn forget(&mut self, key: MachineKey) {
        let machine = &mut self.machines[key.0];
        machine.estimate = SpeedEstimate::default();
        machine.current = machine.estimate.posterior(machine.prior);
    }

    /// Changes the estimate of a machine, aged up to `now`.
    fn update(
        &mut self,
        key: MachineKey,
        now: Moment,
        change: impl FnOnce(&mut SpeedEstimate, LogFactor),
    ) {
        let machine = &mut self.machines[key.0];
        let mut estimate = machine.estimate.aged(now.since(machine.changed_at));
        change(&mut estimate, machine.prior);
        (machine.estimate, machine.changed_at) = (estimate, now);
        machine.current = estimate.posterior(machine.prior);
    }

    /// Sets the priors of all machines to the speeds of their labels.
    fn update_priors(&mut self) {
        let mut labels: HashMap<Arc<str>, Vec<f64>> = HashMap::new();
        for machine in self.machines.iter().filter(|machine| machine.estimate.is_known()) {
            for label in &machine.identity.kind.labels {
                labels.entry(label.clone()).or_default().push(machine.estimate.mean().0);
            }
        }
        let speeds: HashMap<Arc<str>, LogFactor> = labels
            .into_iter()
            .filter_map(|(label, means)| Some((label, label_speed(&means)?)))
            .collect();
        for machine in &mut self.machines {
            let known = machine.identity.kind.labels.iter().filter_map(|label| speeds.get(label));
            // The label that says most. A rack says next to nothing if the kind decides.
            let strongest = known.max_by(|one, other| one.0.abs().total_cmp(&other.0.abs()));
            machine.prior = strongest.copied().unwrap_or_default();
        }
    }

    fn snapshot(&self, now: Moment) -> SpeedSnapshot {
        let queues = self.queues.iter().filter(|(_, estimate)| estimate.is_known());
        let mut queues: Vec<(QueueName, QueueEstimate)> =
            queues.map(|(name, estimate)| (name.clone(), *estimate)).collect();
        queues.sort_by(|one, other| one.0.cmp(&other.0));
        let estimate = |machine: &MachineSpeed| {
            let estimate = machine.estimate.aged(now.since(machine.changed_at));
            estimate.is_recorded().then(|| (machine.identity.clone(), estimate))
        };
        let mut machines: Vec<(MachineIdentity, SpeedEstimate)> =
            self.machines.iter().filter_map(estimate).collect();
        machines.sort_by(|one, other| one.0.cmp(&other.0));
        SpeedSnapshot { queues, machines }
    }
}

/// Returns the speed that the workers with a label have in common; none if they differ too much or
/// are too few.
fn label_speed(means: &[f64]) -> Option<LogFactor> {
    let count = means.len() as f64;
    let mean = means.iter().sum::<f64>() / count;
    let squares: f64 = means.iter().map(|value| (value - mean).powi(2)).sum();
    let error = (squares / count / count).sqrt();
    let is_clear = means.len() >= MIN_LABELLED && mean.abs() >= MIN_LABEL_ERRORS * error;
    is_clear.then_some(LogFactor(mean))
}

impl Scheduler {
    /// Takes over the speeds that earlier leads recorded.
    pub fn inherit_speeds(&mut self, parts: &SpeedParts, unix_ms: u64, now: Moment) {
        if !self.timing.policy.worker_speeds {
            return;
        }
        for record in parts.records() {
            if record.age(unix_ms) <= MAX_QUEUE_AGE {
                self.speeds.queues.extend(record.queues());
            }
            for (identity, estimate) in record.machines(unix_ms) {
                let key = self.speeds.find_or_add(identity, now);
                self.speeds.update(key, now, |known, _| *known = estimate);
            }
        }
        self.speeds.recorder.inherit(parts, now);
        self.speeds.refreshed_at = None;
        let machines = self.speeds.machines.iter();
        self.events.push(CellEvent::SpeedsInherited {
            machines: machines.clone().count(),
            known: machines.filter(|machine| machine.estimate.is_known()).count(),
            queues: self.speeds.queues.len(),
            age: parts.records().map(|record| record.age(unix_ms)).max(),
        });
    }

    /// Returns the changes of the records of speeds that go into a batch. Nothing is recorded while
    /// the workers of no pool differ.
    pub(super) fn next_speed_changes(&mut self, now: Moment) -> Vec<SpeedChange> {
        let differ = self.speeds.pools.values().any(|speeds| speeds.differs);
        let wanted = differ && self.timing.policy.worker_speeds;
        if !wanted || !self.speeds.recorder.is_due(now) {
            return Vec::new();
        }
        let snapshot = self.speeds.snapshot(now);
        let unix_ms = self.unix_ms_at(now);
        self.speeds.recorder.changes_to(&snapshot, unix_ms, now)
    }

    /// Notes that records of speeds are in the store.
    pub(super) fn note_speeds_recorded(&mut self, changes: &[SpeedChange]) {
        self.speeds.recorder.note_recorded(changes);
    }

    /// Returns figures about the speeds of the workers of each pool.
    pub fn speed_stats(&self) -> Vec<SpeedStats> {
        let stats = |(pool, speeds): (&PoolName, &PoolSpeeds)| SpeedStats {
            pool: pool.clone(),
            spread: speeds.spread,
            in_effect: speeds.differs && self.timing.policy.worker_speeds,
        };
        self.speeds.pools.iter().map(stats).collect()
    }

    /// Returns what is known of the speed of a worker.
    pub fn speed_of(&self, key: WorkerKey) -> WorkerSpeed {
        self.speeds.machines[self.workers[key.0].machine.0].current
    }

    /// Whether differences between the workers of a pool are taken into account.
    pub(super) fn uses_speeds(&self, pool: &PoolName) -> bool {
        let differs = || self.speeds.pools.get(pool).is_some_and(|speeds| speeds.differs);
        self.timing.policy.worker_speeds && differs()
    }

    /// Returns the estimate of a queue.
    pub(super) fn queue_estimate(&self, queue: &QueueName) -> QueueEstimate {
        self.speeds.queues.get(queue).copied().unwrap_or_default()
    }

    /// Returns the speed of a worker for forecasts: the usual one unless differences are taken into
    /// account.
    pub(super) fn forecast_speed(&self, key: WorkerKey) -> WorkerSpeed {
        match self.uses_speeds(&self.workers[key.0].entry.pool) {
            true => self.speed_of(key),
            false => WorkerSpeed::USUAL,
        }
    }

    /// Returns the worker on which a run of a step takes longest.
    pub(super) fn slowest_of(&self, keys: impl Iterator<Item = WorkerKey>) -> Option<WorkerKey> {
        let speed = |key: &WorkerKey| self.speed_of(*key).speed.0;
        keys.max_by(|one, other| speed(one).total_cmp(&speed(other)))
    }

    /// Returns what the duration of a run will show. `slowest` is the slowest worker of its gang.
    pub(super) fn run_basis(&self, key: WorkerKey, slowest: WorkerKey, resumes: bool) -> RunBasis {
        let slowest = self.speed_of(slowest).speed;
        let is_slowest = self.speed_of(key).speed.0 >= slowest.0 - SLOWEST_MARGIN;
        RunBasis { is_whole: !resumes, is_slowest, slowest }
    }

    /// Returns which workers a step should get; none unless differences are taken into account.
    pub(super) fn speed_preference(
        &self,
        job: &ActiveJob,
        step: usize,
        now: Moment,
    ) -> Option<SpeedPreference> {
        let spec = job.step_spec(step);
        if spec.long_running || !self.uses_speeds(&job.record.policy.pool) {
            return None;
        }
        if is_tight(job) {
            return Some(SpeedPreference::Fastest);
        }
        let Some(left) = self.time_left(job, step, now) else {
            return Some(SpeedPreference::SlowestUpTo(LogFactor(f64::INFINITY)));
        };
        let usual = self.forecast_run(job, step, None).upper;
        let limit = LogFactor::of(left.0 as f64 / usual.0.max(1) as f64);
        Some(SpeedPreference::SlowestUpTo(limit))
    }

    /// Returns the speed of the fast workers of a pool.
    fn fastest_of(&self, pool: &PoolName) -> LogFactor {
        self.speeds.pools.get(pool).map_or(LogFactor(0.0), |pool| pool.spread.fastest)
    }

    /// Returns how long a step may take so that the job meets its objective, or, if it is too late
    /// for that, keeps a part of its value; none if it has no value left.
    fn time_left(&self, job: &ActiveJob, step: usize, now: Moment) -> Option<TimeSpan> {
        let start = latest_start(job, step, self.unix_ms_at(now), now);
        let objective = job.record.objective().as_millis();
        let estimate = job.step_spec(step).estimate.0;
        let until = |end: u64| (end > now.0 + estimate).then(|| TimeSpan(end - now.0));
        let end = start + estimate;
        until(end).or_else(|| until(end + (LATE_FACTOR - 1) * objective))
    }

    /// Returns the place of a worker among those that a step could use, the lowest first.
    pub(super) fn speed_place(&self, preference: SpeedPreference, key: WorkerKey) -> i64 {
        let fastest = self.fastest_of(&self.workers[key.0].entry.pool);
        preference.place_of(self.speed_of(key).speed, fastest)
    }

    /// Learns from a run that was done, or stopped before.
    pub(super) fn learn_speed(
        &mut self,
        key: WorkerKey,
        task: &CellTask,
        run: &WorkerRun,
        done: bool,
        now: Moment,
    ) {
        let Some(job) = self.jobs.get(&task.step.job) else { return };
        let Some(step) = job.step_index(&task.step) else { return };
        let spec = job.step_spec(step);
        if self.workers[key.0].report_gap > self.timing.max_answer_age {
            // The run may have ended at any time since the report before.
            return;
        }
        let taken = run_factor(now.since(run.since), spec.estimate);
        let Some(value) = taken.filter(|_| run.expected.is_some() && !spec.long_running) else {
            return;
        };
        let (pool, queue) = (job.record.policy.pool.clone(), job.record.queue.clone());
        // The members of a gang end together, and show the same duration.
        let counts_for_queue = !spec.gang || task.index == 0;
        let estimate = self.speeds.queues.entry(queue).or_default();
        let (is_known, usual) = (estimate.is_known(), estimate.usual());
        let is_whole = done && run.basis.is_whole;
        if is_whole && counts_for_queue {
            let pool = self.speeds.pools.get(&pool).filter(|pool| pool.differs);
            // Where urgent steps get the fast workers, the average of their queue would otherwise
            // turn into that of the fast workers, which would then count as usual.
            let relative = pool.map_or(0.0, |pool| run.basis.slowest.0 - pool.spread.centre.0);
            estimate.observe(value, LogFactor(relative));
        }
        if !is_known {
            return;
        }
        let value = LogFactor(value.0 - usual.0);
        let RunBasis { is_slowest, .. } = run.basis;
        let machine = self.workers[key.0].machine;
        self.speeds.update(machine, now, |known, prior| match (is_whole, is_slowest) {
            (true, true) => known.observe(value, prior),
            // It waited for a slower member.
            (true, false) => known.observe_at_most(value, prior),
            (false, true) => known.observe_at_least(value, prior),
            (false, false) => {}
        });
    }

    /// Compares the speeds of all workers, if that is due.
    pub(super) fn refresh_speeds(&mut self, now: Moment) {
        if self.speeds.refreshed_at.is_some_and(|at| now < at.after(REFRESH_INTERVAL)) {
            return;
        }
        self.speeds.refreshed_at = Some(now);
        self.speeds.update_priors();
        for machine in &mut self.speeds.machines {
            let estimate = machine.estimate.aged(now.since(machine.changed_at));
            machine.current = estimate.posterior(machine.prior);
        }
        for (key, bounds) in self.overrun_bounds(now) {
            let machine = &mut self.speeds.machines[key.0];
            let mut estimate = machine.estimate.aged(now.since(machine.changed_at));
            bounds.into_iter().for_each(|bound| estimate.observe_at_least(bound, machine.prior));
            machine.current = estimate.posterior(machine.prior);
        }
        self.compare_pools();
    }

    /// Returns lower bounds from runs that have taken longer than forecast, by machine. They are
    /// not kept: what counts in the end is the duration of the run.
    fn overrun_bounds(&self, now: Moment) -> Vec<(MachineKey, Vec<LogFactor>)> {
        let bound = |task: &CellTask, run: &WorkerRun| {
            let taken = now.since(run.since);
            let overruns = run.expected.is_some_and(|expected| taken > expected);
            if !overruns || !run.basis.is_slowest || run.phase != RunPhase::Confirmed {
                return None;
            }
            let job = self.jobs.get(&task.step.job)?;
            let spec = job.step_spec(job.step_index(&task.step)?);
            let queue = self.queue_estimate(&job.record.queue);
            let value = run_factor(taken, spec.estimate).filter(|_| queue.is_known())?;
            Some(LogFactor(value.0 - queue.usual().0))
        };
        // On a worker that cannot be reached the run may have ended long ago.
        let reached = |worker: &&WorkerState| !worker.is_over() && worker.silent_calls == 0;
        let workers = self.workers.iter().filter(reached);
        let bounds = workers.map(|worker| {
            let runs = worker.runs.iter();
            let mut bounds: Vec<LogFactor> =
                runs.filter_map(|(task, run)| bound(task, run)).collect();
            // The runs have no fixed order, which would make the sum differ in its last digits.
            bounds.sort_unstable_by(|one, other| one.0.total_cmp(&other.0));
            (worker.machine, bounds)
        });
        bounds.filter(|(_, bounds)| !bounds.is_empty()).collect()
    }

    /// Compares the workers of each pool, and reports pools whose workers begin or cease to differ.
    fn compare_pools(&mut self) {
        let mut speeds: BTreeMap<PoolName, Vec<WorkerSpeed>> = BTreeMap::new();
        for worker in self.workers.iter().filter(|worker| worker.listed && !worker.is_over()) {
            let speed = self.speeds.machines[worker.machine.0].current;
            speeds.entry(worker.entry.pool.clone()).or_default().push(speed);
        }
        let before = std::mem::take(&mut self.speeds.pools);
        for (pool, speeds) in speeds {
            let differed = before.get(&pool).is_some_and(|before| before.differs);
            let spread = PoolSpread::of(&speeds);
            let differs = spread.differs(differed);
            if differs != differed && self.timing.policy.worker_speeds {
                let (pool, in_effect) = (pool.clone(), differs);
                self.events.push(CellEvent::SpeedsInEffect(SpeedStats { pool, spread, in_effect }));
            }
            self.speeds.pools.insert(pool, PoolSpeeds { spread, differs });
        }
    }
}
