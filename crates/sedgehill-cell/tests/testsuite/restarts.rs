//! A task of a long-running job that has lost its run is started again in bounded time, however full the cell is.
//!
//! On a large cell tasks of long-running jobs had no run for longer than users allow, after runs that had ended `failed` or
//! `lapsed` at workers that were in touch.

use sedgehill_cell::ids::JobId;
use sedgehill_cell::job::{AdvicePolicy, JobRecord, StepSpec};
use sedgehill_cell::scheduler::{
    CellEvent, HelperId, RestartCause, RunEnd, Scheduler, StallReason,
};
use sedgehill_core::units::{CoreCount, Moment, TimeSpan};

use crate::fake::{FakeCell, FakeService, HelperFault, cores, job, step, task};

pub const WORKERS: u16 = 24;
pub const CORES: u64 = 16;
/// Boxes that ask beside the lead's own.
pub const HELPERS: u64 = 5;
/// What users allow from the end of a run to the next one.
const RESTART_WITHIN: TimeSpan = TimeSpan(6_000);
pub const LONG_RUNNING: u64 = 1;
/// Its tasks.
pub const TASKS: u16 = 4;
/// Other jobs count from here.
pub const OTHERS: u64 = 1_000;
/// Tasks of a job that fills the cell.
const OTHERS_WIDTH: u16 = 12;

const DEAR: AdvicePolicy =
    AdvicePolicy { per_question_us: 560_000, per_worker_us: 8_000, valid: TimeSpan(2_000) };
const CHEAP: AdvicePolicy =
    AdvicePolicy { per_question_us: 13_000, per_worker_us: 180, valid: TimeSpan(2_000) };

/// What fills the cell beside the long-running job.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Load {
    None,
    /// Urgent tasks of two seconds that save nothing.
    Urgent,
    /// Less urgent tasks of nine seconds that save their state, and urgent ones.
    Saved,
}

/// Which queues need advice.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Advice {
    Nobody,
    /// The long-running one dear, the others cheap.
    OthersCheap,
    /// All dear.
    AllDear,
}

/// How the run is lost.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Loss {
    Failed,
    Silent,
}

pub fn long_running(count: u16, need: u64) -> StepSpec {
    StepSpec { long_running: true, estimate: TimeSpan(500), ..step(count, need) }
}

pub struct Course {
    pub cell: FakeCell,
    lead: Scheduler,
    service: FakeService,
    load: Load,
    /// The load has begun.
    loaded: bool,
    advice: Advice,
    others: u64,
    seen_starts: usize,
    waiting: usize,
}

impl Course {
    pub fn new(load: Load, advice: Advice) -> Course {
        let mut cell = FakeCell::new(WORKERS, CORES);
        let mut lead = cell.lead(false);
        (1..=HELPERS).for_each(|helper| lead.add_helper(HelperId(helper)));
        // One worker in three is good for the long-running job, as for the users' queue of that kind.
        let service = FakeService::new(DEAR, |step, life| {
            let number: u64 = life.0.trim_start_matches('w').parse().unwrap();
            step.job != JobId(LONG_RUNNING) || number.is_multiple_of(3)
        });
        let (loaded, others, seen_starts, waiting) = (false, 0, 0, 0);
        let mut course =
            Course { cell, lead, service, load, loaded, advice, others, seen_starts, waiting };
        course.turn();
        let mut record =
            job(vec![StepSpec { long_running: true, estimate: TimeSpan(500), ..step(4, 4) }]);
        record.policy.priority = 1;
        record.policy.stretch_milli = 2_200;
        record.policy.target_latency = TimeSpan(2_500);
        record.policy.advice = (advice != Advice::Nobody).then_some(DEAR);
        course.cell.submit_led(&mut course.lead, LONG_RUNNING, record);
        course
    }

    fn filler(&self) -> JobRecord {
        let spec = step(OTHERS_WIDTH, 4);
        let mut record = match self.load {
            Load::Saved if self.others.is_multiple_of(2) => {
                let estimate = TimeSpan(9_000);
                let mut record = job(vec![StepSpec { checkpointing: true, estimate, ..spec }]);
                record.policy.priority = 2;
                record
            }
            Load::Saved => {
                job(vec![StepSpec { checkpointing: true, estimate: TimeSpan(9_000), ..spec }])
            }
            _ => job(vec![StepSpec { estimate: TimeSpan(2_000), ..spec }]),
        };
        record.policy.advice = match self.advice {
            Advice::Nobody => None,
            Advice::OthersCheap => Some(CHEAP),
            Advice::AllDear => Some(DEAR),
        };
        record
    }

    pub fn turn(&mut self) {
        let length = if self.load == Load::Saved { 9_000 } else { 2_000 };
        self.cell.end_old(TimeSpan(length));
        // A third of what fits waits at all times.
        let places = usize::from(WORKERS) * CORES as usize / 4;
        while self.loaded && self.load != Load::None && self.waiting < places / 3 {
            self.others += 1;
            let (id, record) = (OTHERS + self.others, self.filler());
            if record.policy.advice == Some(CHEAP) {
                self.service.own_costs.insert(JobId(id), CHEAP);
            }
            self.cell.submit_led(&mut self.lead, id, record);
            self.waiting += usize::from(OTHERS_WIDTH);
        }
        self.cell.turn_advised(&mut self.lead, &mut self.service);
        let new = &self.cell.starts[self.seen_starts..];
        let others = new.iter().filter(|(task, ..)| task.step.job != JobId(LONG_RUNNING));
        self.waiting = self.waiting.saturating_sub(others.count());
        self.seen_starts = self.cell.starts.len();
    }

    pub fn run_until(&mut self, at: Moment) {
        while self.cell.now < at {
            self.turn();
        }
    }

    fn is_whole(&self) -> bool {
        (0..TASKS).all(|index| self.cell.place(task(LONG_RUNNING, 0, index)).is_some())
    }

    /// Runs until the long-running job is whole; the load begins then.
    pub fn begin(&mut self) {
        let begun = self.cell.now;
        while !self.is_whole() {
            assert!(self.cell.now < begun.after(TimeSpan(10_000)), "it never began");
            self.turn();
        }
        self.loaded = true;
    }

    /// The questions of a box fare worse, or well again.
    pub fn set_trouble(&mut self, helper: HelperId, trouble: Option<HelperFault>) {
        match trouble {
            Some(trouble) => self.service.faults.insert(helper, trouble),
            None => self.service.faults.remove(&helper),
        };
    }

    /// The lead is lost, and the next one takes over.
    pub fn lose_lead(&mut self) {
        self.service.discard_questions();
        self.lead = self.cell.lead(true);
        self.lead.note_fenced(self.cell.now);
        (1..=HELPERS).for_each(|helper| self.lead.add_helper(HelperId(helper)));
    }

    /// Ends all faults.
    pub fn heal(&mut self) {
        self.service.faults.clear();
        for worker in &mut self.cell.workers {
            (worker.cut, worker.mute) = (false, false);
            worker.entry.capacity.cores = CoreCount(CORES * 1_000);
        }
    }

    /// Runs until the long-running job is whole and of some age, and takes a run of it. Tells when it was whole again.
    fn restart(&mut self, age: TimeSpan, loss: Loss) -> Option<TimeSpan> {
        let begun = self.cell.now;
        self.begin();
        self.run_until(begun.after(age));
        let lost = self.cell.now;
        let number = self.cell.place(task(LONG_RUNNING, 0, 0)).unwrap();
        match loss {
            Loss::Failed => self.cell.end(number, task(LONG_RUNNING, 0, 0), RunEnd::Failed),
            Loss::Silent => self.cell.workers[number].cut = true,
        }
        let runs = |cell: &FakeCell| {
            let starts = cell.starts.iter();
            starts.filter(|(one, ..)| *one == task(LONG_RUNNING, 0, 0)).count()
        };
        let before = runs(&self.cell);
        while runs(&self.cell) == before || !self.is_whole() {
            if self.cell.now >= lost.after(TimeSpan(40_000)) {
                return None;
            }
            self.turn();
        }
        Some(self.cell.now.since(lost))
    }

    /// What was told first of a task without a run: the gate, steps ahead, tickets.
    pub fn told(&mut self) -> Option<(StallReason, usize, usize)> {
        self.lead.take_events().into_iter().find_map(|event| match event {
            CellEvent::RestartLate { reason, ahead, details, .. } => {
                Some((reason, ahead, details.tickets))
            }
            _ => None,
        })
    }
}

#[track_caller]
fn assert_restarts(load: Load, advices: &[Advice], loss: Loss) {
    let mut late = Vec::new();
    for advice in advices {
        for age in [1_000, 20_000, 60_000] {
            let mut course = Course::new(load, *advice);
            let took = course.restart(TimeSpan(age), loss);
            if took.is_none_or(|took| took > RESTART_WITHIN) {
                late.push(format!("{advice:?}, age {age}, {took:?}; told: {:?}", course.told()));
            }
        }
    }
    assert!(late.is_empty(), "time to the next run: {late:#?}");
}

const ALL: [Advice; 3] = [Advice::Nobody, Advice::OthersCheap, Advice::AllDear];

#[test]
fn a_failed_run_is_followed_by_the_next_in_an_idle_cell() {
    assert_restarts(Load::None, &ALL, Loss::Failed);
}

#[test]
fn a_silent_worker_s_run_is_followed_by_the_next_in_an_idle_cell() {
    assert_restarts(Load::None, &ALL, Loss::Silent);
}

#[test]
fn a_failed_run_is_followed_by_the_next_beside_urgent_work() {
    assert_restarts(Load::Urgent, &ALL, Loss::Failed);
}

#[test]
fn a_silent_worker_s_run_is_followed_by_the_next_beside_urgent_work() {
    assert_restarts(Load::Urgent, &ALL, Loss::Silent);
}

#[test]
fn a_failed_run_is_followed_by_the_next_beside_saved_work() {
    assert_restarts(Load::Saved, &ALL, Loss::Failed);
}

#[test]
fn a_silent_worker_s_run_is_followed_by_the_next_beside_saved_work() {
    assert_restarts(Load::Saved, &ALL, Loss::Silent);
}

/// What is told of tasks without a run.
fn told(lead: &mut Scheduler) -> Vec<(RestartCause, TimeSpan, StallReason)> {
    let events = lead.take_events().into_iter();
    let late = events.filter_map(|event| match event {
        CellEvent::RestartLate { cause, without_run, reason, .. } => {
            Some((cause, without_run, reason))
        }
        _ => None,
    });
    late.collect()
}

#[test]
fn a_task_that_no_worker_can_run_is_told_of_with_what_took_its_run() {
    let mut cell = FakeCell::new(1, 4);
    let mut lead = cell.lead(false);
    cell.submit_led(&mut lead, LONG_RUNNING, job(vec![long_running(1, 4)]));
    cell.turns(&mut lead, 5);
    assert_eq!(lead.restart_stats(cell.now).tasks, 0);
    // The worker has shrunk to less than the task needs.
    cell.workers[0].entry.capacity = cores(2);
    cell.turns(&mut lead, 30);
    cell.end(0, task(LONG_RUNNING, 0, 0), RunEnd::Failed);
    cell.turns(&mut lead, 2);
    assert_eq!(told(&mut lead), []);
    cell.turns(&mut lead, 150);
    let told = told(&mut lead);
    assert_eq!(told.len(), 1, "{told:?}");
    let (cause, without_run, reason) = told[0];
    assert_eq!((cause, reason), (RestartCause::Ended(RunEnd::Failed), StallReason::NoRoom));
    assert!((3_000..3_100).contains(&without_run.0), "{without_run}");
    let figures = lead.restart_stats(cell.now);
    assert_eq!(figures.tasks, 1);
    assert!(figures.longest >= without_run);
    cell.cancel(&mut lead, LONG_RUNNING);
    cell.turns(&mut lead, 2);
    assert_eq!(lead.restart_stats(cell.now).tasks, 0);
}

#[test]
fn the_next_run_tells_how_long_there_was_none() {
    let mut cell = FakeCell::new(2, 4);
    let mut lead = cell.lead(false);
    cell.submit_led(&mut lead, LONG_RUNNING, job(vec![long_running(1, 4)]));
    cell.turns(&mut lead, 5);
    cell.end_anywhere(task(LONG_RUNNING, 0, 0), RunEnd::Failed);
    cell.turns(&mut lead, 5);
    let events = lead.take_events().into_iter();
    let spans = events.filter_map(|event| match event {
        CellEvent::Placed { without_run, .. } => Some(without_run.is_some()),
        _ => None,
    });
    assert_eq!(spans.collect::<Vec<_>>(), [false, true]);
    assert_eq!(lead.restart_stats(cell.now).tasks, 0);
}

#[test]
fn a_new_lead_finds_tasks_that_lost_their_run_meanwhile() {
    let mut cell = FakeCell::new(2, 4);
    let mut lead = cell.lead(false);
    cell.submit_led(&mut lead, LONG_RUNNING, job(vec![long_running(2, 4)]));
    cell.turns(&mut lead, 30);
    cell.end_anywhere(task(LONG_RUNNING, 0, 0), RunEnd::Failed);
    let mut next = cell.lead(false);
    cell.turns(&mut next, 5);
    assert!(cell.place(task(LONG_RUNNING, 0, 0)).is_some());
    let restarted = next
        .take_events()
        .into_iter()
        .filter(|event| matches!(event, CellEvent::Placed { without_run: Some(_), .. }));
    assert_eq!(restarted.count(), 1);
    assert_eq!(next.restart_stats(cell.now).tasks, 0);
}

#[test]
fn a_ticket_is_asked_for_before_the_lease_of_a_silent_worker_has_ended() {
    let mut course = Course::new(Load::None, Advice::AllDear);
    while !course.is_whole() {
        course.turn();
    }
    course.run_until(course.cell.now.after(TimeSpan(5_000)));
    let lost = course.cell.now;
    let number = course.cell.place(task(LONG_RUNNING, 0, 0)).unwrap();
    course.cell.workers[number].cut = true;
    let asked = course.service.asked.len();
    let starts = course.cell.starts.len();
    while course.cell.starts.len() == starts {
        assert!(course.cell.now < lost.after(RESTART_WITHIN));
        course.turn();
    }
    let question = &course.service.asked[asked];
    let lease_ended = lost.after(TimeSpan(4_000));
    assert!(question.0 < lease_ended, "asked {} after", question.0.since(lost));
    assert!(course.cell.now < lost.after(TimeSpan(4_700)), "{}", course.cell.now.since(lost));
}

#[test]
fn a_new_lead_knows_of_tasks_that_began_after_others_of_their_job() {
    let mut cell = FakeCell::new(2, 4);
    let mut lead = cell.lead(false);
    cell.submit_led(&mut lead, OTHERS, job(vec![step(1, 4)]));
    cell.turns(&mut lead, 3);
    cell.submit_led(&mut lead, LONG_RUNNING, job(vec![long_running(2, 4)]));
    cell.turns(&mut lead, 30);
    cell.end_anywhere(task(OTHERS, 0, 0), RunEnd::Done);
    cell.turns(&mut lead, 30);
    let late = (0..2).map(|index| task(LONG_RUNNING, 0, index));
    let late = late.into_iter().max_by_key(|one| cell.starts.iter().position(|(t, ..)| t == one));
    let number = cell.place(late.unwrap()).unwrap();
    cell.replace_worker(number);
    let mut next = cell.lead(false);
    cell.turns(&mut next, 5);
    let restarted = next
        .take_events()
        .into_iter()
        .any(|event| matches!(event, CellEvent::Placed { without_run: Some(_), .. }));
    assert!(restarted);
}

/// The estimate of a long-running task is the time that its start takes. Taken as the time of a run, each such run counted as
/// one that takes far too long: three of them had their worker shunned after 1.9 s ("worker … is slow"), and it got one
/// run at a time until one ended well, which long-running ones never do.
#[test]
fn long_running_tasks_do_not_count_against_their_worker() {
    let mut cell = FakeCell::new(1, 16);
    let mut lead = cell.lead(false);
    cell.submit_led(&mut lead, LONG_RUNNING, job(vec![long_running(4, 1)]));
    cell.turns(&mut lead, 300);
    cell.submit_led(&mut lead, OTHERS, job(vec![step(6, 1)]));
    cell.turns(&mut lead, 3);
    assert_eq!(cell.workers[0].run_count(), 10);
}

/// A job that has long-running tasks which never began counted as one that earns nothing any more once it had waited for three
/// objectives, and came after all others for good. It earns from whenever it begins, so its priority alone counts.
#[test]
fn a_long_running_job_that_waits_for_long_keeps_its_place_by_priority() {
    for (priority, goes_first) in [(2, true), (1, true), (0, false)] {
        let mut cell = FakeCell::new(1, 4);
        let mut lead = cell.lead(false);
        let filling = StepSpec { estimate: TimeSpan(60_000), ..step(4, 1) };
        cell.submit_led(&mut lead, OTHERS, job(vec![filling]));
        cell.turns(&mut lead, 3);
        let mut record = job(vec![long_running(1, 4)]);
        record.policy.priority = 1;
        cell.submit_led(&mut lead, LONG_RUNNING, record);
        cell.turns(&mut lead, 1_000);
        let mut young = job(vec![step(1, 4)]);
        young.policy.priority = priority;
        cell.submit_led(&mut lead, OTHERS + 1, young);
        cell.end_all();
        cell.turns(&mut lead, 3);
        let first = cell.place(task(LONG_RUNNING, 0, 0)).is_some();
        assert_eq!(first, goes_first, "beside priority {priority}");
    }
}

/// The lead was killed half a second after a third of the workers had crashed, one of which was gone for good. The next lead
/// waited for that one by time, and no task of an earlier job was started meanwhile:
/// `"msg":"take-over settled","by":"time","after_ms":13023,"heard":36,"ended":12,"unheard":1,"jobs":68`. Long-running tasks of
/// workers that were known to have ended had no run for 14 s.
#[test]
fn a_worker_that_is_gone_for_good_does_not_hold_up_tasks_of_others_after_a_change_of_leads() {
    let mut cell = FakeCell::new(4, 4);
    let mut lead = cell.lead(false);
    cell.submit_led(&mut lead, LONG_RUNNING, job(vec![long_running(2, 4)]));
    cell.turns(&mut lead, 30);
    let places = [0, 1].map(|index| cell.place(task(LONG_RUNNING, 0, index)).unwrap());
    // One worker starts again with nothing, the other is gone.
    cell.replace_worker(places[0]);
    cell.workers[places[1]].cut = true;
    let mut next = cell.lead(true);
    next.note_fenced(cell.now);
    cell.turns(&mut next, 30);
    assert!(!next.is_settled());
    assert!(cell.place(task(LONG_RUNNING, 0, 0)).is_some_and(|number| number != places[1]));
    assert_eq!(cell.place(task(LONG_RUNNING, 0, 1)), Some(places[1]), "it may run there");
}

#[test]
fn a_task_is_waited_for_if_a_lead_between_may_have_started_it_elsewhere() {
    let mut cell = FakeCell::new(4, 4);
    let mut lead = cell.lead(false);
    cell.submit_led(&mut lead, LONG_RUNNING, job(vec![long_running(2, 4)]));
    cell.turns(&mut lead, 30);
    let places = [0, 1].map(|index| cell.place(task(LONG_RUNNING, 0, index)).unwrap());
    cell.replace_worker(places[0]);
    cell.workers[places[1]].cut = true;
    // Another lead has claimed, and recorded nothing.
    drop(cell.lead(true));
    let mut next = cell.lead(true);
    next.note_fenced(cell.now);
    let starts = cell.starts.len();
    cell.turns(&mut next, 300);
    assert!(!next.is_settled());
    assert_eq!(cell.starts.len(), starts);
    cell.turns(&mut next, 200);
    assert!(next.is_settled());
    assert!(cell.place(task(LONG_RUNNING, 0, 0)).is_some());
}
