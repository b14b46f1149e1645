//! Admission under load, with callers that retry when they are told to.
//!
//! Guards against accepted jobs that end worth nothing, against refusals while there is room, against
//! refusals because of another organisation's load, and against callers that are deferred again and
//! again. Without admission, 1,595 of 7,670 accepted jobs ended worth nothing on a day with three
//! organisations at 5 to 7 times their usual load.

use std::collections::{BTreeMap, BTreeSet};

use sedgehill_cell::ids::{CellTask, JobId};
use sedgehill_cell::job::{JobRecord, QueuePolicy};
use sedgehill_cell::progress::JobState;
use sedgehill_cell::scheduler::{AdmissionDecision, CellEvent, RunEnd, Scheduler};
use sedgehill_core::units::{Moment, TimeSpan};

use crate::fake::{FakeCell, job, owned, policy, step};

/// The limit of each organisation, in cores.
const LIMIT: u64 = 40;
/// The attempts of a caller.
const MAX_ATTEMPTS: u32 = 4;

/// A job of a caller, and what became of it.
struct CallerJob {
    organisation: &'static str,
    record: JobRecord,
    first_sent: Moment,
    attempts: u32,
    deferred: bool,
    accepted: bool,
    completed: Option<Moment>,
}

impl CallerJob {
    fn is_worthless(&self) -> bool {
        let useful = TimeSpan(3 * self.record.objective().0);
        self.completed.is_none_or(|at| at.since(self.first_sent) > useful)
    }
}

/// Callers, and workers whose runs take their estimate give or take a fifth.
struct LoadWorld {
    cell: FakeCell,
    lead: Scheduler,
    jobs: BTreeMap<u64, CallerJob>,
    /// Calls to be made.
    calls: BTreeSet<(Moment, u64)>,
    /// Ends of runs.
    ends: BTreeSet<(Moment, CellTask)>,
    starts_seen: usize,
    /// Jobs accepted in this turn, which are recorded in the next.
    unrecorded: Vec<u64>,
}

impl LoadWorld {
    fn new(organisations: &[&str]) -> LoadWorld {
        let mut cell = FakeCell::new(8, 32);
        let mut lead = cell.lead(false);
        for name in organisations {
            cell.limit(&mut lead, name, LIMIT);
        }
        cell.turns(&mut lead, 5);
        LoadWorld {
            cell,
            lead,
            jobs: BTreeMap::new(),
            calls: BTreeSet::new(),
            ends: BTreeSet::new(),
            starts_seen: 0,
            unrecorded: Vec::new(),
        }
    }

    fn call(&mut self, organisation: &'static str, record: JobRecord) -> u64 {
        let id = self.jobs.len() as u64 + 1;
        let (record, first_sent) = (owned(organisation, LIMIT, record), self.cell.now);
        let (attempts, deferred, accepted, completed) = (0, false, false, None);
        let job = CallerJob {
            organisation,
            record,
            first_sent,
            attempts,
            deferred,
            accepted,
            completed,
        };
        self.jobs.insert(id, job);
        self.calls.insert((first_sent, id));
        id
    }

    fn send(&mut self, id: u64) {
        let now = self.cell.now;
        let job = self.jobs.get_mut(&id).unwrap();
        job.attempts += 1;
        match self.lead.admit(JobId(id), &job.record, now) {
            AdmissionDecision::Accept => {
                job.accepted = true;
                self.unrecorded.push(id);
            }
            AdmissionDecision::Defer { retry_after } if job.attempts < MAX_ATTEMPTS => {
                job.deferred = true;
                let told = TimeSpan(retry_after.0.next_multiple_of(1_000));
                self.calls.insert((now.after(told), id));
            }
            AdmissionDecision::Defer { .. } | AdmissionDecision::Reject { .. } => {}
        }
    }

    fn turn(&mut self) {
        let recorded = std::mem::take(&mut self.unrecorded);
        while let Some((at, id)) = self.calls.first().copied().filter(|(at, _)| *at <= self.cell.now) {
            self.calls.remove(&(at, id));
            self.send(id);
        }
        for id in recorded {
            let record = self.jobs[&id].record.clone();
            self.cell.submit_led(&mut self.lead, id, record);
        }
        self.cell.turn(&mut self.lead);
        let now = self.cell.now;
        for (task, ..) in &self.cell.starts[self.starts_seen..] {
            let spec = &self.jobs[&task.step.job.0].record.spec.steps[usize::from(task.step.step)];
            let spread = (task.step.job.0 * 7 + u64::from(task.index) * 13) % 41;
            let took = TimeSpan(spec.estimate.0 * (80 + if spec.gang { 20 } else { spread }) / 100);
            self.ends.insert((now.after(took), *task));
        }
        self.starts_seen = self.cell.starts.len();
        while let Some((at, task)) = self.ends.first().copied().filter(|(at, _)| *at <= now) {
            self.ends.remove(&(at, task));
            if self.cell.place(task).is_some() {
                self.cell.end_anywhere(task, RunEnd::Done);
            }
        }
        for event in self.lead.take_events() {
            if let CellEvent::JobEnded { job, state: JobState::Completed, .. } = event {
                self.jobs.get_mut(&job.0).unwrap().completed.get_or_insert(now);
            }
        }
    }

    /// Makes calls for a number of seconds, and then waits until all accepted jobs are over.
    fn play(&mut self, seconds: u64, mut arrivals: impl FnMut(&mut LoadWorld, u64)) {
        for turn in 0..seconds * 50 {
            arrivals(self, turn);
            self.turn();
        }
        for _ in 0..6_000 {
            self.turn();
            let is_over = |job: &CallerJob| !job.accepted || job.completed.is_some();
            if self.calls.is_empty() && self.jobs.values().all(is_over) {
                return;
            }
        }
        panic!("accepted jobs were not completed");
    }

    fn count(&self, name: &str, condition: impl Fn(&CallerJob) -> bool) -> usize {
        let owned = self.jobs.values().filter(|job| job.organisation == name);
        owned.filter(|job| condition(job)).count()
    }

    fn check_worthless(&self, name: &str) {
        let accepted = self.count(name, |job| job.accepted);
        let worthless = self.count(name, |job| job.accepted && job.is_worthless());
        println!("{name}: {} jobs, {accepted} accepted, {worthless} worthless, {} deferred, {} deferred and accepted, {:?}",
            self.count(name, |_| true), self.count(name, |job| job.deferred), self.count(name, |job| job.deferred && job.accepted), self.lead.admission_stats());
        assert!(worthless * 100 < accepted * 2, "{worthless} of {accepted} ended worth nothing");
    }
}

fn queue(name: &str, priority: u32, stretch_milli: u64, target_ms: u64) -> (String, QueuePolicy) {
    let target_latency = TimeSpan(target_ms);
    (name.to_owned(), QueuePolicy { priority, stretch_milli, target_latency, ..policy() })
}

fn record((name, policy): (String, QueuePolicy), count: u16, need: u64, estimate: u64) -> JobRecord {
    let mut spec = step(count, need);
    spec.estimate = TimeSpan(estimate);
    JobRecord { queue: name.as_str().into(), policy, ..job(vec![spec]) }
}

fn preview() -> JobRecord {
    record(queue("preview", 0, 1_500, 250), 3, 1, 800)
}

fn render() -> JobRecord {
    let mut record = record(queue("render", 1, 2_200, 1_000), 8, 2, 4_000);
    record.spec.steps[0].gang = true;
    record
}

fn rebuild() -> JobRecord {
    let mut record = record(queue("rebuild", 2, 4_000, 3_000), 10, 2, 3_400);
    record.spec.steps[0].checkpointing = true;
    record
}

/// The usual load of an organisation, some half of its limit, times `factor`.
fn send_usual(world: &mut LoadWorld, name: &'static str, turn: u64, factor: u64) {
    for part in 0..factor {
        let turn = turn * factor + part;
        if turn.is_multiple_of(25) {
            world.call(name, preview());
        }
        if turn.is_multiple_of(500) {
            world.call(name, render());
        }
        if turn.is_multiple_of(400) {
            world.call(name, rebuild());
        }
    }
}

#[test]
fn an_organisation_at_seven_times_its_usual_load_gets_what_it_can_use() {
    let mut world = LoadWorld::new(&["crowd", "quiet"]);
    world.play(60, |world, turn| {
        send_usual(world, "crowd", turn, 7);
        send_usual(world, "quiet", turn, 1);
    });
    world.check_worthless("crowd");
    world.check_worthless("quiet");
    assert_eq!(world.count("quiet", |job| job.attempts != 1 || !job.accepted), 0);
}
