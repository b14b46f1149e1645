//! Measures the turn of a lead in which every organisation is at its limit and has one urgent step,
//! for which its own batch work is stopped, at growing numbers of workers and organisations.

use std::fmt::Write;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Instant;

use sedgehill_cell::halls::EmptiedHalls;
use sedgehill_cell::ids::{FencingToken, JobId, OrganisationName, WorkerLife};
use sedgehill_cell::job::{JobRecord, JobSpec, QueuePolicy, StepSpec};
use sedgehill_cell::organisation::{JobOwner, OrganisationPolicy, ResourceLimit, ShareWeight};
use sedgehill_cell::scheduler::{
    CellEvent, CellOrder, CellPolicy, CellTiming, HoldReport, LimitOrder, Scheduler, WorkerAnswer,
    WorkerEntry, WorkerTime,
};
use sedgehill_core::units::{CoreCount, MemorySize, Moment, ResourceSet, TimeSpan};
use serde::Serialize;

/// Numbers of workers: those of the users' deployments, and those that they plan with.
const WORKERS: [u64; 3] = [350, 3_000, 6_000];
/// Numbers of organisations: those of the users' deployment, and those of their target.
const ORGANISATIONS: [u64; 2] = [20, 91];
/// Rounds of each measurement, of which the fastest is reported.
const ROUNDS: usize = 3;
/// Memory of the workers and of each batch task, in gigabytes. The batch work of all organisations
/// fills half of the workers.
const WORKER_MEMORY: u64 = 64;
const BATCH_MEMORY: u64 = 5;
/// Tasks and memory in gigabytes of the urgent steps.
const URGENT_TASKS: u16 = 3;
const URGENT_MEMORY: u64 = 7;
/// Turns until all batch work runs.
const FILLING_TURNS: usize = 4;

/// Times at one size, in milliseconds.
#[derive(Debug, Clone, Serialize)]
struct LimitRow {
    workers: u64,
    organisations: u64,
    /// Batch runs of each organisation.
    runs: u64,
    /// The turn with urgent steps, while preemption under limits is off.
    without_ms: f64,
    /// The same turn with preemption under limits.
    preemption_ms: f64,
    /// The same turn with the order `timed` and without preemption.
    timed_ms: f64,
}

/// Result of the measurement.
#[derive(Debug, Serialize)]
pub struct LimitReport {
    rows: Vec<LimitRow>,
}

impl LimitReport {
    /// Returns the results as a table.
    pub fn render(&self) -> String {
        let mut text = String::from(
            "workers  organisations  runs each  without  preemption  timed (ms a turn)\n",
        );
        for row in &self.rows {
            writeln!(
                text,
                "{:>7}  {:>13}  {:>9}  {:>7.2}  {:>10.2}  {:>5.2}",
                row.workers,
                row.organisations,
                row.runs,
                row.without_ms,
                row.preemption_ms,
                row.timed_ms
            )
            .expect("text can be written");
        }
        text
    }
}

/// Measures the turns at each size.
pub fn measure() -> LimitReport {
    let sizes = WORKERS.into_iter().flat_map(|workers| {
        ORGANISATIONS.into_iter().map(move |organisations| (workers, organisations))
    });
    LimitReport { rows: sizes.map(|(workers, count)| measure_size(workers, count)).collect() }
}

fn measure_size(workers: u64, organisations: u64) -> LimitRow {
    let runs = workers * WORKER_MEMORY / 2 / BATCH_MEMORY / organisations;
    let time = |limit_room, limit_order| {
        let policy = CellPolicy { limit_room, limit_order, ..CellPolicy::default() };
        let round = |_| time_turn(policy, workers, organisations, runs);
        (0..ROUNDS).map(round).fold(f64::INFINITY, f64::min)
    };
    LimitRow {
        workers,
        organisations,
        runs,
        without_ms: time(false, LimitOrder::InOrder),
        preemption_ms: time(true, LimitOrder::InOrder),
        timed_ms: time(false, LimitOrder::Timed),
    }
}

/// Returns the time of the turn in which the urgent steps are first considered.
fn time_turn(policy: CellPolicy, workers: u64, organisations: u64, runs: u64) -> f64 {
    let mut cell = MeasuredCell::new(policy, workers, organisations, runs);
    for number in 0..organisations {
        cell.submit(number, number, runs as u16, BATCH_MEMORY, 2);
    }
    for _ in 0..FILLING_TURNS {
        cell.turn();
    }
    for number in 0..organisations {
        cell.submit(organisations + number, number, URGENT_TASKS, URGENT_MEMORY, 0);
    }
    cell.lead.take_events();
    let took = cell.turn();
    let preempted = |event: &CellEvent| matches!(event, CellEvent::LimitPreempted { .. });
    let decisions = cell.lead.take_events().iter().filter(|event| preempted(event)).count();
    let expected = if policy.limit_room { organisations as usize } else { 0 };
    assert_eq!(decisions, expected, "each organisation has runs stopped once");
    took
}

/// A lead whose workers have reported once and answer each order at once.
struct MeasuredCell {
    lead: Scheduler,
    limit: ResourceLimit,
    now: Moment,
}

impl MeasuredCell {
    fn new(policy: CellPolicy, workers: u64, organisations: u64, runs: u64) -> MeasuredCell {
        let now = Moment(1_000_000);
        let timing = CellTiming { policy, ..CellTiming::default() };
        let mut lead = Scheduler::take_over(timing, FencingToken(1), false, now);
        lead.note_caught_up();
        let memory = Some(MemorySize((runs * BATCH_MEMORY) << 30));
        let limit = ResourceLimit { memory, ..ResourceLimit::default() };
        let policies: Vec<OrganisationPolicy> = (0..organisations)
            .map(|number| OrganisationPolicy {
                name: name(number),
                weight: ShareWeight(1_000_000),
                maximum: limit,
            })
            .collect();
        lead.set_organisations(&policies, now);
        let entries = (0..workers).map(worker_entry).collect();
        let watched = lead.update_workers(entries, &[], now);
        for key in watched {
            lead.hold_order(key, true, now);
            let clock = WorkerTime(now.0);
            let report = HoldReport { clock, ..HoldReport::default() };
            lead.hold_answered(key, WorkerAnswer::Done(report), now, now);
        }
        MeasuredCell { lead, limit, now }
    }

    fn submit(&mut self, id: u64, organisation: u64, count: u16, gigabytes: u64, priority: u32) {
        let owner = JobOwner { organisation: name(organisation), maximum: self.limit };
        let need = ResourceSet {
            cores: CoreCount(1_000),
            memory: MemorySize(gigabytes << 30),
            accelerators: 0,
        };
        let estimate = TimeSpan(3_000);
        let checkpointing = priority > 0;
        let step = StepSpec { count, need, estimate, checkpointing, ..StepSpec::default() };
        let record = JobRecord {
            queue: "queue".into(),
            policy: QueuePolicy {
                pool: "pool".into(),
                priority,
                max_attempts: 3,
                stretch_milli: 2_000,
                target_latency: TimeSpan(30_000),
                advice: None,
            },
            owner: Some(owner),
            spec: JobSpec { payload: Arc::from("work"), steps: vec![step], repeat: None },
            accepted_unix_ms: 0,
        };
        self.lead.add_own_job(JobId(id), Rc::new(record), self.now);
    }

    /// Runs one turn. Returns the time of the scheduler in milliseconds.
    fn turn(&mut self) -> f64 {
        self.now.0 += 20;
        let clock = WorkerTime(self.now.0);
        self.lead.set_emptied_halls(&EmptiedHalls::default(), self.now);
        while let Some(batch) = self.lead.take_batch(self.now) {
            self.lead.batch_recorded(&batch);
        }
        let started = Instant::now();
        self.lead.schedule(self.now);
        let took = started.elapsed().as_secs_f64() * 1_000.0;
        for order in self.lead.take_orders() {
            match order {
                CellOrder::Start(order) => {
                    self.lead.start_answered(&order, WorkerAnswer::Done(clock), self.now);
                }
                CellOrder::Stop(order) => {
                    self.lead.stop_answered(&order, WorkerAnswer::Done(clock), self.now);
                }
                CellOrder::Ask(_) => {}
            }
        }
        took
    }
}

fn name(number: u64) -> OrganisationName {
    OrganisationName::from(format!("organisation-{number}").as_str())
}

fn worker_entry(number: u64) -> WorkerEntry {
    let address = format!("127.{}.{}.1:1000", number / 250, number % 250);
    WorkerEntry {
        life: WorkerLife::from(format!("w{number}").as_str()),
        address: address.parse().expect("the text is an address"),
        pool: "pool".into(),
        draining: false,
        capacity: ResourceSet {
            cores: CoreCount(16_000),
            memory: MemorySize(WORKER_MEMORY << 30),
            accelerators: 0,
        },
        labels: Vec::new(),
        hall: None,
    }
}
