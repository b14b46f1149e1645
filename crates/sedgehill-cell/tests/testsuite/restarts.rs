//! Restarts of tasks of long-running jobs that lost their run: within a bounded time, however full the cell is.
//!
//! Guards against tasks of long-running jobs that have no run for longer than users allow, as seen on a large cell
//! after runs that had ended `failed` or `lapsed` at reachable workers.

use sedgehill_cell::ids::{CellTask, FencingToken, JobId};
use sedgehill_cell::job::{AdvicePolicy, JobRecord, StepSpec};
use sedgehill_cell::scheduler::{
    CellEvent, HelperId, RestartCause, RunEnd, Scheduler, StallReason,
};
use sedgehill_core::units::{CoreCount, Moment, TimeSpan};

use crate::fake::{FakeCell, FakeService, HelperFault, cores, job, step, task};

pub const WORKERS: u16 = 24;
pub const CORES: u64 = 16;
/// Number of helper boxes beside the lead's own box.
pub const HELPERS: u64 = 5;
/// Longest time that users allow from the end of a run to the next one.
const MAX_RESTART_DELAY: TimeSpan = TimeSpan(6_000);
/// Number of the long-running job.
pub const LONG_RUNNING: u64 = 1;
/// Number of tasks of the long-running job.
pub const TASKS: u16 = 4;
/// Lowest number of the other jobs.
pub const FIRST_OTHER_JOB: u64 = 1_000;
/// Number of tasks of each other job.
const OTHER_JOB_TASKS: u16 = 12;

const EXPENSIVE_ADVICE: AdvicePolicy =
    AdvicePolicy { per_question_us: 560_000, per_worker_us: 8_000, valid: TimeSpan(2_000) };
const CHEAP_ADVICE: AdvicePolicy =
    AdvicePolicy { per_question_us: 13_000, per_worker_us: 180, valid: TimeSpan(2_000) };

/// Work that fills the cell beside the long-running job.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Load {
    None,
    /// Urgent tasks of two seconds without checkpoints.
    Urgent,
    /// Less urgent and urgent tasks of nine seconds, with checkpoints.
    Checkpointed,
}

/// The queues that need advice, with the cost of their questions.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AdvisedQueues {
    None,
    /// Expensive for the long-running job, cheap for the others.
    AllOthersCheap,
    /// Expensive for all jobs.
    AllExpensive,
}

/// The way in which a run is lost.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Loss {
    Failed,
    Silent,
}

pub fn long_running(count: u16, need: u64) -> StepSpec {
    StepSpec { long_running: true, estimate: TimeSpan(500), ..step(count, need) }
}

pub struct RestartScenario {
    pub cell: FakeCell,
    lead: Scheduler,
    service: FakeService,
    load: Load,
    /// Whether the load has been added.
    loaded: bool,
    advice: AdvisedQueues,
    other_jobs: u64,
    seen_starts: usize,
    waiting_tasks: usize,
}

impl RestartScenario {
    pub fn new(load: Load, advice: AdvisedQueues) -> RestartScenario {
        let mut cell = FakeCell::new(WORKERS, CORES);
        cell.locations_since = Some(FencingToken(0));
        let mut lead = cell.lead(false);
        (1..=HELPERS).for_each(|helper| lead.add_helper(HelperId(helper)));
        // One worker in three is allowed for the long-running job, as in the users' queue of that kind.
        let service = FakeService::new(EXPENSIVE_ADVICE, |step, life| {
            let number: u64 = life.0.trim_start_matches('w').parse().unwrap();
            step.job != JobId(LONG_RUNNING) || number.is_multiple_of(3)
        });
        let (loaded, other_jobs, seen_starts, waiting_tasks) = (false, 0, 0, 0);
        let mut scenario = RestartScenario {
            cell,
            lead,
            service,
            load,
            loaded,
            advice,
            other_jobs,
            seen_starts,
            waiting_tasks,
        };
        scenario.turn();
        let mut record =
            job(vec![StepSpec { long_running: true, estimate: TimeSpan(500), ..step(4, 4) }]);
        record.policy.priority = 1;
        record.policy.stretch_milli = 2_200;
        record.policy.target_latency = TimeSpan(2_500);
        record.policy.advice = (advice != AdvisedQueues::None).then_some(EXPENSIVE_ADVICE);
        scenario.cell.submit_led(&mut scenario.lead, LONG_RUNNING, record);
        scenario
    }

    fn filler(&self) -> JobRecord {
        let spec = step(OTHER_JOB_TASKS, 4);
        let mut record = match self.load {
            Load::Checkpointed if self.other_jobs.is_multiple_of(2) => {
                let estimate = TimeSpan(9_000);
                let mut record = job(vec![StepSpec { checkpointing: true, estimate, ..spec }]);
                record.policy.priority = 2;
                record
            }
            Load::Checkpointed => {
                job(vec![StepSpec { checkpointing: true, estimate: TimeSpan(9_000), ..spec }])
            }
            _ => job(vec![StepSpec { estimate: TimeSpan(2_000), ..spec }]),
        };
        record.policy.advice = match self.advice {
            AdvisedQueues::None => None,
            AdvisedQueues::AllOthersCheap => Some(CHEAP_ADVICE),
            AdvisedQueues::AllExpensive => Some(EXPENSIVE_ADVICE),
        };
        record
    }

    pub fn turn(&mut self) {
        let length = if self.load == Load::Checkpointed { 9_000 } else { 2_000 };
        self.cell.end_old(TimeSpan(length));
        // Keeps a third as many tasks waiting as fit into the cell.
        let places = usize::from(WORKERS) * CORES as usize / 4;
        while self.loaded && self.load != Load::None && self.waiting_tasks < places / 3 {
            self.other_jobs += 1;
            let (id, record) = (FIRST_OTHER_JOB + self.other_jobs, self.filler());
            if record.policy.advice == Some(CHEAP_ADVICE) {
                self.service.own_costs.insert(JobId(id), CHEAP_ADVICE);
            }
            self.cell.submit_led(&mut self.lead, id, record);
            self.waiting_tasks += usize::from(OTHER_JOB_TASKS);
        }
        self.cell.turn_advised(&mut self.lead, &mut self.service);
        let new = &self.cell.starts[self.seen_starts..];
        let others = new.iter().filter(|(task, ..)| task.step.job != JobId(LONG_RUNNING));
        self.waiting_tasks = self.waiting_tasks.saturating_sub(others.count());
        self.seen_starts = self.cell.starts.len();
    }

    pub fn run_until(&mut self, at: Moment) {
        while self.cell.now < at {
            self.turn();
        }
    }

    fn all_tasks_run(&self) -> bool {
        (0..TASKS).all(|index| self.cell.place(task(LONG_RUNNING, 0, index)).is_some())
    }

    /// Runs until all tasks of the long-running job run, and then adds the load.
    pub fn run_until_started(&mut self) {
        let begin = self.cell.now;
        while !self.all_tasks_run() {
            assert!(
                self.cell.now < begin.after(TimeSpan(10_000)),
                "the long-running job has not started"
            );
            self.turn();
        }
        self.loaded = true;
    }

    /// Sets or clears a fault of the questions of a box.
    pub fn set_fault(&mut self, helper: HelperId, fault: Option<HelperFault>) {
        match fault {
            Some(fault) => self.service.faults.insert(helper, fault),
            None => self.service.faults.remove(&helper),
        };
    }

    /// Replaces the lead by its successor.
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

    /// Runs the long-running job up to an age, loses a run of it, and returns the time until all its tasks run again.
    fn restart(&mut self, age: TimeSpan, loss: Loss) -> Option<TimeSpan> {
        let begin = self.cell.now;
        self.run_until_started();
        self.run_until(begin.after(age));
        let lost = self.cell.now;
        let number = self.cell.place(task(LONG_RUNNING, 0, 0)).unwrap();
        match loss {
            Loss::Failed => self.cell.end(number, task(LONG_RUNNING, 0, 0), RunEnd::Failed),
            Loss::Silent => self.cell.workers[number].cut = true,
        }
        let count_starts = |cell: &FakeCell| {
            let starts = cell.starts.iter();
            starts.filter(|(started, ..)| *started == task(LONG_RUNNING, 0, 0)).count()
        };
        let before = count_starts(&self.cell);
        while count_starts(&self.cell) == before || !self.all_tasks_run() {
            if self.cell.now >= lost.after(TimeSpan(40_000)) {
                return None;
            }
            self.turn();
        }
        Some(self.cell.now.since(lost))
    }

    /// Returns the first report of a task without a run: the reason, the number of steps ahead and that of tickets.
    pub fn first_late_restart(&mut self) -> Option<(StallReason, usize, usize)> {
        self.lead.take_events().into_iter().find_map(|event| match event {
            CellEvent::RestartLate { reason, ahead, details, .. } => {
                Some((reason, ahead, details.tickets))
            }
            _ => None,
        })
    }
}

#[track_caller]
fn assert_restarts(load: Load, advised_queues: &[AdvisedQueues], loss: Loss) {
    let mut late_restarts = Vec::new();
    for advice in advised_queues {
        for age in [1_000, 20_000, 60_000] {
            let mut scenario = RestartScenario::new(load, *advice);
            let restart_delay = scenario.restart(TimeSpan(age), loss);
            if restart_delay.is_none_or(|delay| delay > MAX_RESTART_DELAY) {
                late_restarts.push(format!(
                    "{advice:?}, age {age}, {restart_delay:?}; first report: {:?}",
                    scenario.first_late_restart()
                ));
            }
        }
    }
    assert!(late_restarts.is_empty(), "time to the next run: {late_restarts:#?}");
}

const ALL_ADVICE: [AdvisedQueues; 3] =
    [AdvisedQueues::None, AdvisedQueues::AllOthersCheap, AdvisedQueues::AllExpensive];

#[test]
fn a_failed_run_is_restarted_in_time_in_an_idle_cell() {
    assert_restarts(Load::None, &ALL_ADVICE, Loss::Failed);
}

#[test]
fn a_run_of_a_silent_worker_is_restarted_in_time_in_an_idle_cell() {
    assert_restarts(Load::None, &ALL_ADVICE, Loss::Silent);
}

#[test]
fn a_failed_run_is_restarted_in_time_beside_urgent_work() {
    assert_restarts(Load::Urgent, &ALL_ADVICE, Loss::Failed);
}

#[test]
fn a_run_of_a_silent_worker_is_restarted_in_time_beside_urgent_work() {
    assert_restarts(Load::Urgent, &ALL_ADVICE, Loss::Silent);
}

#[test]
fn a_failed_run_is_restarted_in_time_beside_checkpointed_work() {
    assert_restarts(Load::Checkpointed, &ALL_ADVICE, Loss::Failed);
}

#[test]
fn a_run_of_a_silent_worker_is_restarted_in_time_beside_checkpointed_work() {
    assert_restarts(Load::Checkpointed, &ALL_ADVICE, Loss::Silent);
}

/// Returns the reports of tasks without a run.
fn reported_restarts(lead: &mut Scheduler) -> Vec<(RestartCause, TimeSpan, StallReason)> {
    let events = lead.take_events().into_iter();
    let late_restarts = events.filter_map(|event| match event {
        CellEvent::RestartLate { cause, without_run, reason, .. } => {
            Some((cause, without_run, reason))
        }
        _ => None,
    });
    late_restarts.collect()
}

#[test]
fn a_task_that_no_worker_can_run_is_reported_with_the_cause_and_the_reason() {
    let mut cell = FakeCell::new(1, 4);
    let mut lead = cell.lead(false);
    cell.submit_led(&mut lead, LONG_RUNNING, job(vec![long_running(1, 4)]));
    cell.turns(&mut lead, 5);
    assert_eq!(lead.restart_stats(cell.now).tasks, 0);
    // The worker shrinks to less than the task needs.
    cell.workers[0].entry.capacity = cores(2);
    cell.turns(&mut lead, 30);
    cell.end(0, task(LONG_RUNNING, 0, 0), RunEnd::Failed);
    cell.turns(&mut lead, 2);
    assert_eq!(reported_restarts(&mut lead), []);
    cell.turns(&mut lead, 150);
    let reported = reported_restarts(&mut lead);
    assert_eq!(reported.len(), 1, "{reported:?}");
    let (cause, without_run, reason) = reported[0];
    assert_eq!((cause, reason), (RestartCause::Ended(RunEnd::Failed), StallReason::NoRoom));
    assert!((3_000..3_100).contains(&without_run.0), "{without_run}");
    let stats = lead.restart_stats(cell.now);
    assert_eq!(stats.tasks, 1);
    assert!(stats.longest >= without_run);
    cell.cancel(&mut lead, LONG_RUNNING);
    cell.turns(&mut lead, 2);
    assert_eq!(lead.restart_stats(cell.now).tasks, 0);
}

#[test]
fn the_next_run_reports_the_time_without_a_run() {
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
fn a_new_lead_restarts_tasks_that_lost_their_run_before_it() {
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
fn a_ticket_is_requested_before_the_lease_of_a_silent_worker_has_ended() {
    let mut scenario = RestartScenario::new(Load::None, AdvisedQueues::AllExpensive);
    while !scenario.all_tasks_run() {
        scenario.turn();
    }
    scenario.run_until(scenario.cell.now.after(TimeSpan(5_000)));
    let lost = scenario.cell.now;
    let number = scenario.cell.place(task(LONG_RUNNING, 0, 0)).unwrap();
    scenario.cell.workers[number].cut = true;
    let asked = scenario.service.asked.len();
    let starts = scenario.cell.starts.len();
    while scenario.cell.starts.len() == starts {
        assert!(scenario.cell.now < lost.after(MAX_RESTART_DELAY));
        scenario.turn();
    }
    let question = &scenario.service.asked[asked];
    let lease_ended = lost.after(TimeSpan(4_000));
    assert!(question.0 < lease_ended, "asked {} after", question.0.since(lost));
    assert!(scenario.cell.now < lost.after(TimeSpan(4_700)), "{}", scenario.cell.now.since(lost));
}

#[test]
fn a_new_lead_knows_of_tasks_that_started_after_others_of_their_job() {
    let mut cell = FakeCell::new(2, 4);
    let mut lead = cell.lead(false);
    cell.submit_led(&mut lead, FIRST_OTHER_JOB, job(vec![step(1, 4)]));
    cell.turns(&mut lead, 3);
    cell.submit_led(&mut lead, LONG_RUNNING, job(vec![long_running(2, 4)]));
    cell.turns(&mut lead, 30);
    cell.end_anywhere(task(FIRST_OTHER_JOB, 0, 0), RunEnd::Done);
    cell.turns(&mut lead, 30);
    let tasks = (0..2).map(|index| task(LONG_RUNNING, 0, index));
    let last_started =
        tasks.into_iter().max_by_key(|started| cell.starts.iter().position(|(t, ..)| t == started));
    let number = cell.place(last_started.unwrap()).unwrap();
    cell.replace_worker(number);
    let mut next = cell.lead(false);
    cell.turns(&mut next, 5);
    let restarted = next
        .take_events()
        .into_iter()
        .any(|event| matches!(event, CellEvent::Placed { without_run: Some(_), .. }));
    assert!(restarted);
}

/// Guards against suspending workers of long-running tasks. The estimate of such a task is the time that its start
/// takes. Taken as the duration of a run, three of them suspended their worker after 1.9 s ("worker … is slow"), which
/// then got one run at a time until one ended well, which long-running ones never do.
#[test]
fn long_running_tasks_do_not_count_against_their_worker() {
    let mut cell = FakeCell::new(1, 16);
    let mut lead = cell.lead(false);
    cell.submit_led(&mut lead, LONG_RUNNING, job(vec![long_running(4, 1)]));
    cell.turns(&mut lead, 300);
    cell.submit_led(&mut lead, FIRST_OTHER_JOB, job(vec![step(6, 1)]));
    cell.turns(&mut lead, 3);
    assert_eq!(cell.workers[0].run_count(), 10);
}

/// Guards against starvation of long-running jobs. Such a job earns from its start on, however late, so only its
/// priority counts. Ranked as too late to earn anything after three objectives of waiting, it would come after all
/// others forever.
#[test]
fn a_long_running_job_keeps_its_rank_by_priority_while_it_waits() {
    for (priority, runs_first) in [(2, true), (1, true), (0, false)] {
        let mut cell = FakeCell::new(1, 4);
        let mut lead = cell.lead(false);
        let filling = StepSpec { estimate: TimeSpan(60_000), ..step(4, 1) };
        cell.submit_led(&mut lead, FIRST_OTHER_JOB, job(vec![filling]));
        cell.turns(&mut lead, 3);
        let mut record = job(vec![long_running(1, 4)]);
        record.policy.priority = 1;
        cell.submit_led(&mut lead, LONG_RUNNING, record);
        cell.turns(&mut lead, 1_000);
        let mut newer = job(vec![step(1, 4)]);
        newer.policy.priority = priority;
        cell.submit_led(&mut lead, FIRST_OTHER_JOB + 1, newer);
        cell.end_all();
        cell.turns(&mut lead, 3);
        let first = cell.place(task(LONG_RUNNING, 0, 0)).is_some();
        assert_eq!(first, runs_first, "beside priority {priority}");
    }
}

/// Guards against long-running tasks without a run for 14 s although their workers were known to have ended. The lead
/// was killed half a second after a third of the workers had crashed, one of which never came back. The next lead
/// waited for that one and started no task of an earlier job meanwhile:
/// `"msg":"take-over settled","by":"time","after_ms":13023,"heard":36,"ended":12,"unheard":1,"jobs":68`.
#[test]
fn a_new_lead_restarts_tasks_of_ended_workers_while_it_waits_for_a_lost_one() {
    let mut cell = FakeCell::new(4, 4);
    let mut lead = cell.lead(false);
    cell.submit_led(&mut lead, LONG_RUNNING, job(vec![long_running(2, 4)]));
    cell.turns(&mut lead, 30);
    let holders = [0, 1].map(|index| cell.place(task(LONG_RUNNING, 0, index)).unwrap());
    // One worker restarts without its runs, the other is lost.
    cell.replace_worker(holders[0]);
    cell.workers[holders[1]].cut = true;
    let mut next = cell.lead(true);
    next.note_fenced(cell.now);
    cell.turns(&mut next, 30);
    assert!(!next.is_settled());
    assert!(cell.place(task(LONG_RUNNING, 0, 0)).is_some_and(|number| number != holders[1]));
    assert_eq!(
        cell.place(task(LONG_RUNNING, 0, 1)),
        Some(holders[1]),
        "the task may still run there"
    );
}

#[test]
fn a_task_waits_for_the_take_over_if_a_lead_in_between_may_have_started_it() {
    let mut cell = FakeCell::new(4, 4);
    let mut lead = cell.lead(false);
    cell.submit_led(&mut lead, LONG_RUNNING, job(vec![long_running(2, 4)]));
    cell.turns(&mut lead, 30);
    let holders = [0, 1].map(|index| cell.place(task(LONG_RUNNING, 0, index)).unwrap());
    cell.replace_worker(holders[0]);
    cell.workers[holders[1]].cut = true;
    // Another lead claimed in between and recorded nothing.
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

/// The late end of an earlier run ends that run alone. A run ended `done` on a worker that was cut off, and the next run
/// was on another worker when the end was heard: it was taken as gone, and a third run was started beside it.
#[test]
fn the_late_end_of_an_earlier_run_leaves_the_newest_run() {
    const TASK: CellTask = task(LONG_RUNNING, 0, 0);
    for end in [RunEnd::Done, RunEnd::Failed, RunEnd::Stopped] {
        let mut cell = FakeCell::new(3, 4);
        let mut lead = cell.lead(false);
        cell.submit_led(&mut lead, LONG_RUNNING, job(vec![long_running(1, 4)]));
        cell.turns(&mut lead, 30);
        let first = cell.place(TASK).unwrap();
        cell.workers[first].cut = true;
        cell.end(first, TASK, end);
        cell.turns(&mut lead, 400);
        let second = cell.place(TASK).expect("the next run starts once the lease has ended");
        cell.workers[first].cut = false;
        cell.turns(&mut lead, 50);
        assert_eq!(cell.place(TASK), Some(second), "{end:?}");
        assert_eq!(cell.starts_of(TASK), 2, "{end:?}");
        cell.cancel(&mut lead, LONG_RUNNING);
        cell.turns(&mut lead, 20);
        assert_eq!(cell.place(TASK), None, "{end:?}: no run goes on after the job was cancelled");
    }
}
