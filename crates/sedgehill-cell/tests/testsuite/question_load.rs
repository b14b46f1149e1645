//! Questions to the advice service under load: bursts of wide gangs beside a stream of short questions, and boxes that
//! are slow, silent or failing.

use std::collections::BTreeMap;

use sedgehill_cell::ids::JobId;
use sedgehill_cell::job::{AdvicePolicy, JobRecord, StepSpec};
use sedgehill_cell::scheduler::{CellEvent, HelperId, QuestionClass, QuestionOrder, Scheduler};
use sedgehill_core::units::{Moment, TimeSpan};

use crate::fake::{FakeCell, FakeService, HelperFault, job, step};

/// Costs of the questions of the elevation profiles: full renders and previews.
const RENDER: AdvicePolicy =
    AdvicePolicy { per_question_us: 455_000, per_worker_us: 6_500, valid: TimeSpan(2_500) };
const PREVIEW: AdvicePolicy =
    AdvicePolicy { per_question_us: 11_700, per_worker_us: 170, valid: TimeSpan(2_500) };
const WORKERS: u16 = 48;
const CORES: u64 = 16;
/// Boxes beside the lead's own: nine in all, of which three are kept for short questions.
const HELPERS: u64 = 8;
const RUN_DURATION: TimeSpan = TimeSpan(300);
/// Previews have numbers from here on.
const FIRST_PREVIEW: u64 = 1_000_000;
/// Callers accept a stall of this length.
const MAX_STALL: TimeSpan = TimeSpan(3_000);

/// A cell in which renders and previews are submitted.
struct LoadScenario {
    cell: FakeCell,
    lead: Scheduler,
    service: FakeService,
    submitted: BTreeMap<JobId, Moment>,
    started: BTreeMap<JobId, Moment>,
    seen_starts: usize,
}

impl LoadScenario {
    fn new(order: QuestionOrder) -> LoadScenario {
        let mut cell = FakeCell::new(WORKERS, CORES);
        cell.policy.question_order = order;
        let mut lead = cell.lead(false);
        (1..=HELPERS).for_each(|helper| lead.add_helper(HelperId(helper)));
        let service = FakeService::new(RENDER, |_, _| true);
        let (submitted, started) = (BTreeMap::new(), BTreeMap::new());
        let mut scenario = LoadScenario { cell, lead, service, submitted, started, seen_starts: 0 };
        scenario.turn();
        scenario
    }

    fn turn(&mut self) {
        self.cell.turn_advised(&mut self.lead, &mut self.service);
        for (task, ..) in &self.cell.starts[self.seen_starts..] {
            self.started.entry(task.step.job).or_insert(self.cell.now);
        }
        self.seen_starts = self.cell.starts.len();
        self.cell.end_old(RUN_DURATION);
    }

    fn submit(&mut self, id: u64, count: u16, advice: AdvicePolicy) {
        let mut record: JobRecord = job(vec![StepSpec { gang: true, ..step(count, 1) }]);
        record.policy.advice = Some(advice);
        record.policy.priority = u32::from(id < FIRST_PREVIEW);
        self.service.own_costs.insert(JobId(id), advice);
        self.submitted.insert(JobId(id), self.cell.now);
        self.cell.submit_led(&mut self.lead, id, record);
    }

    /// Submits a preview in each turn and a render every `interval` turns.
    fn run(&mut self, turns: u64, interval: u64) {
        self.run_bursts(turns, interval, 1, 1);
    }

    /// Submits `burst` previews every `burst_interval` turns, and a render every `interval` turns.
    fn run_bursts(&mut self, turns: u64, interval: u64, burst: u64, burst_interval: u64) {
        for number in 1..=turns {
            let first = self.submitted.len() as u64;
            if number.is_multiple_of(burst_interval) {
                let ids = first..first + burst;
                ids.for_each(|id| self.submit(FIRST_PREVIEW + id, 2, PREVIEW));
            }
            if number.is_multiple_of(interval) {
                // Widths differ, so that questions do not all end at the same time.
                self.submit(first, 8 + (number * 7 % 33) as u16, RENDER);
            }
            self.turn();
        }
    }

    /// Returns the times from submission to start of the renders or of the previews. Those that have not started count
    /// up to now.
    fn waits(&self, previews: bool) -> Vec<u64> {
        let jobs = self.submitted.iter().filter(|(id, _)| (id.0 >= FIRST_PREVIEW) == previews);
        let start = |id: &JobId| self.started.get(id).copied().unwrap_or(self.cell.now);
        jobs.map(|(id, at)| start(id).since(*at).0).collect()
    }

    fn assert_all_start(&mut self) {
        let begin = self.cell.now;
        while self.started.len() < self.submitted.len() {
            let waited = self.cell.now.since(begin);
            let missing = self.submitted.len() - self.started.len();
            assert!(waited < MAX_STALL, "{missing} jobs have not started after {waited}");
            self.turn();
        }
    }
}

fn mean(waits: &[u64]) -> f64 {
    waits.iter().sum::<u64>() as f64 / waits.len() as f64
}

/// Waits of previews and of renders in milliseconds, by order.
type OrderWaits = [(Vec<u64>, Vec<u64>); 2];

/// Plays a stream of renders beside bursts of previews in both orders, and adds the waits.
fn play_bursts(waits: &mut OrderWaits, interval: u64, burst: u64, burst_interval: u64) {
    for (waits, order) in waits.iter_mut().zip([QuestionOrder::Rank, QuestionOrder::Deadline]) {
        let mut scenario = LoadScenario::new(order);
        // A burst of a size that was not seen before may find kept boxes busy.
        scenario.run_bursts(burst_interval, u64::MAX, burst, burst_interval);
        scenario.run_bursts(300, interval, burst, burst_interval);
        waits.0.extend(scenario.waits(true));
        waits.1.extend(scenario.waits(false));
    }
}

#[track_caller]
fn assert_no_growth([before, after]: &OrderWaits) {
    let figures = [&before.0, &after.0, &before.1, &after.1]
        .map(|waits| (mean(waits), waits.iter().copied().max().unwrap()));
    println!("previews by rank and by deadline, then renders (mean, longest): {figures:.1?}");
    assert!(figures[1].0 <= figures[0].0, "previews wait longer on average: {figures:.1?}");
    assert!(figures[1].1 <= figures[0].1, "previews wait longer at most: {figures:.1?}");
    assert!(figures[3].0 <= figures[2].0, "gangs wait longer: {figures:.1?}");
}

/// Guards against help for gangs at the expense of short questions, which served users worse.
#[test]
fn short_questions_wait_no_longer_under_a_stream_of_gangs() {
    for (interval, burst) in [(2, 1), (4, 1), (4, 3), (8, 3)] {
        let mut waits = OrderWaits::default();
        play_bursts(&mut waits, interval, burst, 1);
        assert_no_growth(&waits);
    }
}

/// Guards against the same with bursts, which wait longer than a steady stream of as many previews. The waits of all
/// plays are taken together: in a single one they depend on whether ordinary boxes happen to become free in a burst.
#[test]
fn bursts_of_short_questions_wait_no_longer_under_a_stream_of_gangs() {
    let mut waits = OrderWaits::default();
    for burst_interval in (20..60).step_by(5) {
        for (interval, burst) in [(4, 12), (2, 40), (4, 40)] {
            play_bursts(&mut waits, interval, burst, burst_interval);
        }
    }
    assert_no_growth(&waits);
}

/// Guards against gangs that stall when many are submitted at once beside a stream of previews.
#[test]
fn a_burst_of_gangs_starts_beside_previews() {
    let mut scenario = LoadScenario::new(QuestionOrder::Deadline);
    scenario.run(50, 1_000);
    (100..116).for_each(|id| scenario.submit(id, 24, RENDER));
    scenario.run(100, 1_000);
    scenario.assert_all_start();
    assert!(
        *scenario.waits(false).iter().max().unwrap() <= MAX_STALL.0,
        "{:?}",
        scenario.waits(false)
    );
}

/// Guards against steps that wait for one box for good: a box fails, falls silent, slows down or is lost while it asks.
#[test]
fn gangs_start_though_a_box_has_a_fault_in_the_middle() {
    let faults = [
        Some(HelperFault::Fails),
        Some(HelperFault::Silent),
        Some(HelperFault::Slow(6)),
        None, // It is lost.
    ];
    for fault in faults {
        let mut scenario = LoadScenario::new(QuestionOrder::Deadline);
        scenario.run(100, 10);
        match fault {
            Some(fault) => drop(scenario.service.faults.insert(HelperId(HELPERS), fault)),
            None => scenario.lead.remove_helper(HelperId(HELPERS), scenario.cell.now),
        }
        scenario.run(200, 10);
        scenario.assert_all_start();
        let longest = *scenario.waits(false).iter().max().unwrap();
        assert!(longest <= MAX_STALL.0, "{fault:?}: {longest}");
    }
}

/// Guards against a slow box that gets as many questions as the others.
#[test]
fn a_slow_box_is_asked_less_than_others() {
    let mut scenario = LoadScenario::new(QuestionOrder::Deadline);
    scenario.service.faults.insert(HelperId(HELPERS), HelperFault::Slow(3));
    scenario.run(500, 10);
    let is_long = |id: &JobId| id.0 < FIRST_PREVIEW;
    let asked = |helper: u64| {
        let long =
            scenario.service.asked.iter().filter(|(_, question)| is_long(&question.step.job));
        long.filter(|(_, question)| question.helper == HelperId(helper)).count()
    };
    let others = (3..HELPERS).map(asked).max().unwrap();
    assert!(
        2 * asked(HELPERS) <= others,
        "{} of the slow box, {others} of another",
        asked(HELPERS)
    );
}

/// Guards against waits that a new lead does not know: it asks afresh for all.
#[test]
fn gangs_start_though_the_lead_changes_in_the_middle() {
    let mut scenario = LoadScenario::new(QuestionOrder::Deadline);
    scenario.run(100, 6);
    scenario.service.discard_questions();
    scenario.lead = scenario.cell.lead(false);
    (1..=HELPERS).for_each(|helper| scenario.lead.add_helper(HelperId(helper)));
    scenario.run(100, 1_000);
    scenario.assert_all_start();
}

/// Guards against a log line and gauges that do not show what made the order.
#[test]
fn waits_are_reported() {
    let mut scenario = LoadScenario::new(QuestionOrder::Deadline);
    (0..20).for_each(|id| scenario.submit(id, 24, RENDER));
    (0..20).for_each(|_| scenario.turn());
    let long = scenario.lead.question_wait_stats().pop().unwrap();
    assert!(long.class == QuestionClass::Long && long.waiting > 0, "{long:?}");
    assert!(long.longest >= TimeSpan(300), "{long:?}");
    let boxes = scenario.lead.question_box_stats(scenario.cell.now);
    assert!(
        boxes.boxes == 9 && boxes.busy >= 6 && boxes.busy_total > boxes.busy_longest,
        "{boxes:?}"
    );
    (0..60).for_each(|_| scenario.turn());
    let events = scenario.lead.take_events();
    let waited = events.iter().filter_map(|event| match event {
        CellEvent::AdviceRequested { waited, .. } => Some(*waited),
        _ => None,
    });
    assert!(waited.max().unwrap() >= TimeSpan(300));
}
