//! A course of the archive deployment's queues on workers of which a third takes 1.7 times the usual time and the
//! others 0.7 times, while no label says which. Guards against gangs that wait for one slow member, and against urgent
//! tasks that end on slow workers while fast ones do work that has time.

use std::collections::{BTreeMap, BTreeSet};

use sedgehill_cell::ids::{CellTask, JobId, RunNumber, StepId};
use sedgehill_cell::job::{JobRecord, QueuePolicy, StepSpec};
use sedgehill_cell::progress::JobState;
use sedgehill_cell::scheduler::{CellPolicy, Scheduler};
use sedgehill_core::units::{CoreCount, MemorySize, Moment, ResourceSet, TimeSpan};

use crate::fake::{FakeCell, job, policy};

/// The deployment has 350 workers and this course as many as run in a few seconds, with the load in proportion.
const WORKERS: u16 = 45;
const DEPLOYED_WORKERS: f64 = 350.0;
/// What is submitted before is not counted: the speeds are not known yet.
const WARM_UP_MS: u64 = 10_000;
const COURSE_MS: u64 = 50_000;

/// A queue of the deployment. Durations are in milliseconds.
struct CourseQueue {
    name: &'static str,
    priority: u32,
    jobs_per_second: f64,
    count: u16,
    gangs_in_ten: u64,
    taken_ms: u64,
    millicores: u64,
    memory_gib: u64,
    stretch_milli: u64,
    target_ms: u64,
}

const QUEUES: [CourseQueue; 3] = [
    CourseQueue {
        name: "recalibration",
        priority: 1,
        jobs_per_second: 4.1 * 1.2,
        count: 16,
        gangs_in_ten: 10,
        taken_ms: 5_300,
        millicores: 4_500,
        memory_gib: 9,
        stretch_milli: 2_200,
        target_ms: 1_000,
    },
    CourseQueue {
        name: "cross-match",
        priority: 2,
        jobs_per_second: 10.8 * 1.5,
        count: 25,
        gangs_in_ten: 0,
        taken_ms: 1_900,
        millicores: 1_700,
        memory_gib: 6,
        stretch_milli: 4_000,
        target_ms: 3_000,
    },
    CourseQueue {
        name: "cutout",
        priority: 0,
        jobs_per_second: 77.7,
        count: 3,
        gangs_in_ten: 3,
        taken_ms: 850,
        millicores: 2_500,
        memory_gib: 7,
        stretch_milli: 1_500,
        target_ms: 250,
    },
];

/// A fixed pseudo-random number between 0 and 1 for each seed.
fn draw(seed: u64) -> f64 {
    let mut bits = seed.wrapping_add(0x9e37_79b9_7f4a_7c15);
    bits = (bits ^ (bits >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    bits = (bits ^ (bits >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    ((bits ^ (bits >> 31)) >> 11) as f64 / (1u64 << 53) as f64
}

fn is_slow(worker: usize) -> bool {
    worker.is_multiple_of(3)
}

/// What a course showed.
#[derive(Debug, Default)]
struct CourseResult {
    gangs: usize,
    mixed_gangs: usize,
    gang_ms: u64,
    urgent: usize,
    urgent_slow: usize,
    /// Whether every worker got work.
    all_used: bool,
    /// All starts, in order.
    starts: Vec<(CellTask, RunNumber, String)>,
}

struct Course {
    cell: FakeCell,
    queue_of: BTreeMap<JobId, usize>,
    submitted: [usize; 3],
    begun_at: Moment,
    /// When each step started and ended, as far as it did.
    spans: BTreeMap<StepId, (Moment, Option<Moment>)>,
}

impl Course {
    fn new(worker_speeds: bool) -> Course {
        let mut cell = FakeCell::new(WORKERS, 16);
        cell.policy = CellPolicy { worker_speeds, ..CellPolicy::default() };
        let begun_at = cell.now;
        Course {
            cell,
            queue_of: BTreeMap::new(),
            submitted: [0; 3],
            begun_at,
            spans: BTreeMap::new(),
        }
    }

    fn elapsed(&self) -> u64 {
        self.cell.now.since(self.begun_at).0
    }

    fn submit_due(&mut self, lead: &mut Scheduler) {
        for (number, queue) in QUEUES.iter().enumerate() {
            let rate = queue.jobs_per_second * f64::from(WORKERS) / DEPLOYED_WORKERS;
            while (self.submitted[number] as f64) < rate * self.elapsed() as f64 / 1_000.0 {
                self.submitted[number] += 1;
                let id = (self.submitted[number] * 10 + number) as u64;
                let record = record_of(queue, id);
                self.queue_of.insert(JobId(id), number);
                self.cell.submit_led(lead, id, record);
            }
        }
    }

    fn turn(&mut self, lead: &mut Scheduler, factors: [f64; 2]) {
        self.submit_due(lead);
        let queue_of = &self.queue_of;
        self.cell.end_due(|worker, task| {
            let queue = &QUEUES[queue_of[&task.step.job]];
            let seed = task.step.job.0 * 1_000 + u64::from(task.index);
            let long = if draw(seed) < 0.03 { 7.0 } else { 0.85 + 0.3 * draw(seed + 500) };
            let factor = factors[usize::from(is_slow(worker))];
            TimeSpan((queue.taken_ms as f64 * factor * long) as u64)
        });
        let before = self.cell.starts.len();
        self.cell.turn(lead);
        for (task, ..) in &self.cell.starts[before..] {
            self.spans.entry(task.step).or_insert((self.cell.now, None));
        }
        for (step, span) in self.spans.iter_mut().filter(|(_, span)| span.1.is_none()) {
            if self.cell.progress(step.job.0).state == JobState::Completed {
                span.1 = Some(self.cell.now);
            }
        }
    }

    fn result(self) -> CourseResult {
        let mut result = CourseResult::default();
        let mut members: BTreeMap<(StepId, RunNumber), Vec<usize>> = BTreeMap::new();
        for (task, run, life) in &self.cell.starts {
            let worker = self.cell.workers.iter().position(|worker| worker.entry.life == *life);
            members.entry((task.step, *run)).or_default().push(worker.unwrap());
            result.starts.push((*task, *run, life.to_string()));
        }
        let used: BTreeSet<usize> = members.values().flatten().copied().collect();
        result.all_used = (0..usize::from(WORKERS)).all(|worker| used.contains(&worker));
        for ((step, _), workers) in &members {
            let (begin, end) = self.spans[step];
            if begin.since(self.begun_at).0 < WARM_UP_MS {
                continue;
            }
            let slow = workers.iter().filter(|worker| is_slow(**worker)).count();
            if self.queue_of[&step.job] == 2 {
                result.urgent += workers.len();
                result.urgent_slow += slow;
            }
            let is_gang = self.cell.store[&step.job].0.spec.steps[0].gang;
            if let Some(end) = end.filter(|_| is_gang && self.queue_of[&step.job] == 0) {
                result.gangs += 1;
                result.mixed_gangs += usize::from(slow > 0 && slow < workers.len());
                result.gang_ms += end.since(begin).0;
            }
        }
        result
    }
}

fn record_of(queue: &CourseQueue, id: u64) -> JobRecord {
    let need = ResourceSet {
        cores: CoreCount(queue.millicores),
        memory: MemorySize(queue.memory_gib << 30),
        accelerators: 0,
    };
    let gang = draw(id * 7) * 10.0 < queue.gangs_in_ten as f64;
    // Callers' estimates are off by up to a fifth.
    let estimate = TimeSpan((queue.taken_ms as f64 * (0.8 + 0.4 * draw(id * 11))) as u64);
    let step = StepSpec { count: queue.count, need, gang, estimate, ..StepSpec::default() };
    JobRecord {
        queue: queue.name.into(),
        policy: QueuePolicy {
            priority: queue.priority,
            stretch_milli: queue.stretch_milli,
            target_latency: TimeSpan(queue.target_ms),
            ..policy()
        },
        ..job(vec![step])
    }
}

/// Plays a course on workers that take `factors` times the usual time: the fast ones and the slow ones.
fn play(worker_speeds: bool, factors: [f64; 2]) -> CourseResult {
    let mut course = Course::new(worker_speeds);
    let mut lead = course.cell.lead(false);
    while course.elapsed() < COURSE_MS {
        course.turn(&mut lead, factors);
    }
    course.result()
}

#[test]
fn gangs_are_mixed_less_and_urgent_tasks_avoid_slow_workers() {
    let off = play(false, [0.7, 1.7]);
    let on = play(true, [0.7, 1.7]);
    let share = |part: usize, of: usize| part as f64 / of as f64;
    let figures = |result: &CourseResult| {
        let mixed = share(result.mixed_gangs, result.gangs);
        let urgent = share(result.urgent_slow, result.urgent);
        (mixed, urgent, result.gang_ms as f64 / result.gangs as f64)
    };
    let (mixed_off, urgent_off, gang_off) = figures(&off);
    let (mixed_on, urgent_on, gang_on) = figures(&on);
    println!(
        "mixed gangs {mixed_off:.2} -> {mixed_on:.2}, urgent tasks on slow workers \
         {urgent_off:.2} -> {urgent_on:.2}, time of a gang {gang_off:.0} -> {gang_on:.0} ms"
    );
    assert!(mixed_on < mixed_off, "mixed gangs: {mixed_off:.2} -> {mixed_on:.2}");
    assert!(
        urgent_on < urgent_off,
        "urgent tasks on slow workers: {urgent_off:.2} -> {urgent_on:.2}"
    );
    assert!(gang_on < gang_off, "time of a gang: {gang_off:.0} -> {gang_on:.0} ms");
    assert!(on.all_used, "a worker got no work");
}

#[test]
fn equal_workers_get_the_same_work_with_the_switch_on_and_off() {
    let off = play(false, [1.0, 1.0]);
    let on = play(true, [1.0, 1.0]);
    assert_eq!(on.starts, off.starts);
}
