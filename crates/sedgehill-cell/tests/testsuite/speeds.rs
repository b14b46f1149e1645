//! What is learned of the speeds of workers and queues, how it is used and recorded, and that a new lead has it.

use std::net::Ipv4Addr;
use std::sync::Arc;

use sedgehill_cell::ids::JobId;
use sedgehill_cell::job::{AdvicePolicy, JobRecord, QueuePolicy};
use sedgehill_cell::replica::CellRecord;
use sedgehill_cell::scheduler::{
    CellEvent, CellOrder, GangRoom, LogFactor, MachineIdentity, PoolSpread, QueueEstimate,
    RosterChange, Scheduler, SpeedChange, SpeedEstimate, SpeedParts, SpeedPreference,
    SpeedSnapshot, WorkerSpeed, forecast_factors, gang_order,
};
use sedgehill_core::units::TimeSpan;

use crate::fake::{FakeCell, job, policy, step, worker_entry};

const USUAL: LogFactor = LogFactor(0.0);

fn observed(factors: impl IntoIterator<Item = f64>) -> SpeedEstimate {
    let mut estimate = SpeedEstimate::default();
    factors.into_iter().for_each(|factor| estimate.observe(LogFactor::of(factor), USUAL));
    estimate
}

fn speeds(groups: &[(usize, f64)]) -> Vec<WorkerSpeed> {
    let group = |(count, factor): &(usize, f64)| {
        std::iter::repeat_n(observed([*factor; 20]).posterior(USUAL), *count)
    };
    groups.iter().flat_map(group).collect()
}

/// Guards against a worker that is avoided because it happened to get the tasks that take long anywhere.
#[test]
fn one_task_in_thirty_that_takes_seven_times_as_long_marks_no_worker_slow() {
    let mut estimate = SpeedEstimate::default();
    for run in 0..600 {
        let factor = if run % 30 == 2 { 7.0 } else { 1.0 };
        estimate.observe(LogFactor::of(factor), USUAL);
        let workers = [speeds(&[(9, 1.0)]), vec![estimate.posterior(USUAL)]].concat();
        let spread = PoolSpread::of(&workers);
        assert_eq!(spread.slow, 0, "after run {run}: {:?}", estimate.posterior(USUAL));
        assert!(!spread.differs(false));
    }
}

#[test]
fn a_worker_that_turns_slow_and_fast_again_is_known_to_within_ten_runs() {
    let mut estimate = observed([1.0; 100]);
    for (factor, range) in [(2.4, 1.75..2.5), (1.0, 0.9..1.4)] {
        for _ in 0..12 {
            estimate.observe(LogFactor::of(factor), USUAL);
        }
        let known = estimate.posterior(USUAL).speed.factor();
        assert!(range.contains(&known), "{known} after 12 runs of {factor}");
    }
}

#[test]
fn bounds_move_an_estimate_in_one_direction_only() {
    let known = observed([1.0; 10]);
    let (mut more, mut less) = (known, known);
    more.observe_at_least(LogFactor::of(0.5), USUAL);
    less.observe_at_most(LogFactor::of(2.0), USUAL);
    assert_eq!((more, less), (known, known));
    more.observe_at_least(LogFactor::of(2.0), USUAL);
    less.observe_at_most(LogFactor::of(0.5), USUAL);
    assert!(more.mean() > known.mean() && less.mean() < known.mean());
}

#[test]
fn what_is_known_ages_towards_the_prior_and_the_forecast_grows_wider() {
    let fresh = observed([2.0; 20]);
    let old = fresh.aged(TimeSpan(3_600_000));
    let (fresh, old) = (fresh.posterior(USUAL), old.posterior(USUAL));
    assert!(fresh.is_known && !old.is_known && old.speed < fresh.speed);
    let queue = QueueEstimate::default();
    let ratio = |speed| {
        let factors = forecast_factors(&queue, speed);
        assert!(factors.lower < factors.expected && factors.expected < factors.upper);
        factors.upper / factors.lower
    };
    assert!(ratio(old) > ratio(fresh) && ratio(fresh) > ratio(WorkerSpeed::USUAL));
}

#[test]
fn the_spread_of_a_queue_is_learned_from_its_runs() {
    let mut queue = QueueEstimate::default();
    // Between 0.5 and 1.5 times the estimate, evenly.
    (0..4_000).for_each(|run| {
        let factor = 0.5 + f64::from(run * 7 % 100) / 100.0;
        queue.observe(LogFactor::of(factor), USUAL);
    });
    let factors = forecast_factors(&queue, WorkerSpeed::USUAL);
    assert!((0.5..0.7).contains(&factors.lower), "{factors:?}");
    assert!((1.3..1.5).contains(&factors.upper), "{factors:?}");
}

#[test]
fn speeds_take_effect_only_where_the_fifths_differ_enough() {
    assert!(PoolSpread::of(&speeds(&[(20, 0.7), (10, 1.7)])).differs(false));
    assert!(!PoolSpread::of(&speeds(&[(20, 1.0), (10, 1.4)])).differs(false));
    assert!(!PoolSpread::of(&speeds(&[(30, 1.0)])).differs(false));
    // Too few workers are known.
    let unknown = vec![SpeedEstimate::default().posterior(USUAL); 30];
    assert!(!PoolSpread::of(&[speeds(&[(10, 0.7), (10, 1.7)]), unknown].concat()).differs(false));
}

#[test]
fn a_gang_is_whole_on_similar_workers_where_that_is_possible() {
    let rooms = |factors: &[f64]| -> Vec<GangRoom> {
        let room = |factor: &f64| GangRoom { speed: LogFactor::of(*factor), places: 2 };
        factors.iter().map(room).collect()
    };
    let mixed = rooms(&[1.7, 0.7, 1.7, 0.7, 1.7, 0.7]);
    let slow_too = SpeedPreference::SlowestUpTo(LogFactor::of(2.0));
    let fast_only = SpeedPreference::SlowestUpTo(LogFactor::of(1.0));
    assert_eq!(gang_order(&mixed, 6, SpeedPreference::Fastest)[..3], [1, 3, 5]);
    assert_eq!(gang_order(&mixed, 6, fast_only)[..3], [1, 3, 5]);
    assert_eq!(gang_order(&mixed, 6, slow_too)[..3], [0, 2, 4]);
    // With too few fast places, all slow ones end as soon, and leave the fast ones free.
    let few_fast = rooms(&[0.7, 1.7, 1.7, 1.7]);
    assert_eq!(gang_order(&few_fast, 6, SpeedPreference::Fastest), [1, 2, 3, 0]);
    // Neither kind can hold it: nobody stays idle for that.
    assert_eq!(gang_order(&mixed, 8, SpeedPreference::Fastest).len(), 6);
    assert_eq!(gang_order(&mixed, 20, SpeedPreference::Fastest), [0, 1, 2, 3, 4, 5]);
    assert_eq!(gang_order(&[], 1, slow_too), [0usize; 0]);
}

/// A cell of which every third worker takes 1.7 times the usual time and the others 0.7 times, and its lead, after
/// some rounds of single tasks.
fn taught_cell(workers: u16) -> (FakeCell, Scheduler) {
    let mut cell = FakeCell::new(workers, 1);
    let mut lead = cell.lead(false);
    for round in 1..=16 {
        cell.submit_led(&mut lead, round, job(vec![step(workers, 1)]));
        for _ in 0..100 {
            cell.end_due(|worker, _| TimeSpan(if worker.is_multiple_of(3) { 1_700 } else { 700 }));
            cell.turn(&mut lead);
        }
    }
    (cell, lead)
}

fn slow_workers(cell: &FakeCell, lead: &Scheduler) -> Vec<usize> {
    let numbers = 0..cell.workers.len();
    let speed = |number: &usize| lead.speed_of(cell.worker_key(lead, *number));
    numbers.filter(|number| speed(number).is_known && speed(number).speed.factor() > 1.3).collect()
}

/// Guards against a new lead that places gangs and urgent work blindly until it has learned all speeds anew.
#[test]
fn a_new_lead_knows_the_speeds_within_a_second() {
    let (mut cell, mut lead) = taught_cell(12);
    assert_eq!(slow_workers(&cell, &lead), [0, 3, 6, 9]);
    assert!(lead.speed_stats()[0].in_effect);
    let told =
        |event: &CellEvent| matches!(event, CellEvent::SpeedsInEffect(stats) if stats.in_effect);
    assert_eq!(lead.take_events().iter().filter(|event| told(event)).count(), 1);
    drop(lead);
    // It is lost in the middle of the work.
    let mut next = cell.lead(true);
    cell.turns(&mut next, 50);
    assert_eq!(slow_workers(&cell, &next), [0, 3, 6, 9]);
    assert!(next.speed_stats()[0].in_effect);
    let inherits =
        |event: &CellEvent| matches!(event, CellEvent::SpeedsInherited { known: 12, .. });
    assert!(next.take_events().iter().any(inherits));
    // Without the record it learns anew.
    cell.speeds = SpeedParts::default();
    let mut blind = cell.lead(true);
    cell.turns(&mut blind, 50);
    assert_eq!(slow_workers(&cell, &blind), [0usize; 0]);
}

#[test]
fn a_life_with_other_labels_begins_afresh_and_one_with_the_same_does_not() {
    let (mut cell, mut lead) = taught_cell(12);
    for (number, labels) in [(0, vec![Arc::from("other")]), (3, Vec::new())] {
        let worker = &mut cell.workers[number];
        worker.expire_for_test();
        worker.entry.life = format!("next-{number}").as_str().into();
        worker.entry.labels = labels;
    }
    cell.list(&mut lead);
    cell.turns(&mut lead, 50);
    assert_eq!(slow_workers(&cell, &lead), [3, 6, 9]);
}

/// Guards against questions that name slow workers for urgent steps, whose tickets are then all there is.
#[test]
fn questions_of_urgent_steps_name_the_fast_workers_first() {
    let (mut cell, mut lead) = taught_cell(12);
    let advice =
        AdvicePolicy { per_question_us: 11_700, per_worker_us: 170, valid: TimeSpan(2_500) };
    let tight = QueuePolicy {
        stretch_milli: 1_500,
        target_latency: TimeSpan(250),
        advice: Some(advice),
        ..policy()
    };
    let record = JobRecord { policy: tight, ..job(vec![step(2, 1)]) };
    cell.turns(&mut lead, 100);
    cell.end_all();
    cell.submit_led(&mut lead, 100, record);
    let asked = |order: CellOrder| match order {
        CellOrder::Ask(question) if question.step.job == JobId(100) => Some(question.workers),
        _ => None,
    };
    let orders = (0..10).flat_map(|_| cell.turn(&mut lead)).collect::<Vec<_>>();
    let workers = orders.into_iter().find_map(asked).expect("a question is asked");
    let numbers: Vec<usize> =
        workers.iter().map(|id| id.0.trim_start_matches('w').parse().unwrap()).collect();
    assert!(numbers.len() >= 2 && numbers[..2].iter().all(|number| number % 3 != 0), "{numbers:?}");
}

fn snapshot(count: usize) -> SpeedSnapshot {
    let machine = |number: usize| {
        let address = (Ipv4Addr::from(0x0a80_0000 + number as u32), 8080).into();
        let labels = vec![Arc::from("a"), Arc::from(format!("r1-{}", number / 12))];
        let entry =
            sedgehill_cell::scheduler::WorkerEntry { address, labels, ..worker_entry(0, 16) };
        (
            MachineIdentity::of(&entry),
            observed([if number.is_multiple_of(3) { 1.7 } else { 0.7 }; 20]),
        )
    };
    let queues = vec![("recalibration".into(), QueueEstimate::default())];
    SpeedSnapshot { queues, machines: (0..count).map(machine).collect() }
}

#[test]
fn records_take_a_few_bytes_for_each_worker_and_are_ignored_by_earlier_releases() {
    for count in [350, 3_000, 6_000] {
        let snapshot = snapshot(count);
        let begun = std::time::Instant::now();
        let changes = snapshot.records(5_000);
        let values: Vec<Vec<u8>> = changes.iter().map(SpeedChange::encode).collect();
        let took = begun.elapsed();
        let bytes: usize = values.iter().map(Vec::len).sum();
        println!("{count} workers: {} records, {bytes} bytes, {took:?}", values.len());
        assert!(bytes < count * 20, "{bytes} bytes for {count} workers");
        let mut read = Vec::new();
        for (change, value) in changes.iter().zip(&values) {
            assert!(value.len() < 16 << 10, "{} takes {} bytes", change.key, value.len());
            // An earlier release takes the key for that of no job and of no roster.
            assert!(CellRecord::decode(&change.key, value).is_err());
            assert!(!RosterChange::is_roster_key(&change.key));
            let decoded = SpeedChange::decode(&change.key, value).unwrap().content.unwrap();
            read.extend(decoded.machines(5_000));
        }
        assert_eq!(read.len(), count);
        for ((identity, estimate), (read_identity, read_estimate)) in
            snapshot.machines.iter().zip(&read)
        {
            assert_eq!(identity, read_identity);
            assert!((estimate.mean().0 - read_estimate.mean().0).abs() < 0.02);
        }
    }
    assert!(SpeedChange::decode("speeds/0", &[255, 255]).is_err());
}
