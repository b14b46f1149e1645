//! Overlapping leads: an earlier lead may give orders beside its successors until its authority ends.

use proptest::prelude::*;
use sedgehill_cell::authority::{AuthorityTiming, BoxStrength, LeadRecord, LeadWatch};
use sedgehill_cell::ids::{FencingToken, JobId};
use sedgehill_cell::progress::JobProgress;
use sedgehill_cell::replica::{CellRecord, CellReplica};
use sedgehill_cell::scheduler::{
    CellEvent, CellOrder, CellTiming, HoldReport, RunEnd, Scheduler, WorkerAnswer, WorkerKey,
    WorkerRefusal, WorkerTime,
};
use sedgehill_core::units::{Moment, TimeSpan};

use crate::cases::cases;
use crate::fake::{FakeCell, job, step, task, worker_entry};
use crate::overlap::scenario::{Event, WORKERS, apply_event, scenario, start_world};
use crate::overlap::{Delivery, Path};

fn watch(name: &str, life: u64, now: Moment) -> LeadWatch {
    LeadWatch::new(name.into(), life, BoxStrength(1_000), now)
}

/// Makes a claim that the store holds as the last record before `end`.
fn claim(watch: &mut LeadWatch, now: Moment, end: u64) -> LeadRecord {
    let record = watch.next_claim("127.0.0.1:7000");
    watch.note_own_record(record.clone(), now, end, &AuthorityTiming::default());
    record
}

/// Renews the leases of a worker's runs on behalf of an earlier lead, which the store does not answer.
fn renew_lease(cell: &mut FakeCell, lead: &mut Scheduler, token: FencingToken, key: WorkerKey) {
    cell.token = token;
    let number = cell.number(lead, key);
    let order = lead.hold_order(key, false, cell.now);
    let answer = cell.hold(number, &order);
    lead.hold_answered(key, answer, cell.now, cell.now);
}

/// A first lead with its claim, and a task on a worker that only the first lead reaches.
struct IsolatedTask {
    cell: FakeCell,
    first: LeadWatch,
    earlier: Scheduler,
    isolated: usize,
    key: WorkerKey,
}

impl IsolatedTask {
    fn new() -> IsolatedTask {
        let mut cell = FakeCell::new(2, 4);
        let mut first = watch("first", 1, cell.now);
        let mut earlier = cell.lead(false);
        cell.submit(&mut earlier, 1, job(vec![step(1, 1)]));
        cell.turns(&mut earlier, 3);
        let isolated = cell.place(task(1, 0, 0)).unwrap();
        let key =
            [0, 1].map(WorkerKey).into_iter().find(|key| cell.number(&earlier, *key) == isolated);
        claim(&mut first, cell.now, 1);
        IsolatedTask { cell, first, earlier, isolated, key: key.unwrap() }
    }

    /// Returns the watch of a box that has read the claim of the first lead.
    fn follower(&self, name: &str, life: u64) -> LeadWatch {
        let mut follower = watch(name, life, self.cell.now);
        follower.note_record(self.first.newest().unwrap().clone(), self.cell.now);
        follower
    }

    /// Lets a box lead beside the first lead, which renews its leases until its authority ends, and for some time
    /// after.
    fn run_beside_earlier_lead(mut self, follower: &mut LeadWatch) {
        let predecessor = follower.has_predecessor();
        let own = claim(follower, self.cell.now, 3).token;
        self.cell.token = FencingToken(own.0 - 1);
        self.cell.workers[self.isolated].cut = true;
        let mut next = self.cell.lead(predecessor);
        next.note_fenced(self.cell.now);
        let end = self.cell.now.after(TimeSpan(10_000));
        while self.cell.now < end {
            if let Some(token) = self.first.authority(self.cell.now) {
                self.cell.workers[self.isolated].cut = false;
                renew_lease(&mut self.cell, &mut self.earlier, token, self.key);
            }
            self.cell.workers[self.isolated].cut = true;
            self.cell.token = own;
            self.cell.turn(&mut next);
        }
        assert_eq!(self.cell.starts.len(), 2, "the task runs elsewhere once its leases have ended");
    }
}

// A lead loses the store while a task runs on a worker that no other box reaches. Another box claims after a second,
// and its process restarts before it has done anything. The new process finds a claim of its own box as the newest one
// and claims again. The first lead may still give orders: it renews the lease of the task until its term is over. The
// newest lead cannot reach the worker, so it may start the task elsewhere only once the last of these leases has ended.
#[test]
fn a_box_that_follows_its_own_claim_waits_for_the_lead_before_it() {
    let timing = AuthorityTiming::default();
    let mut isolated = IsolatedTask::new();
    let mut second = isolated.follower("second", 2);
    isolated.cell.now.0 += 1_000;
    assert!(second.should_claim(isolated.cell.now, 0, &timing));
    let unused = claim(&mut second, isolated.cell.now, 2);
    let mut second = watch("second", 3, isolated.cell.now);
    second.note_record(unused, isolated.cell.now);
    assert!(second.should_claim(isolated.cell.now, 0, &timing));
    isolated.run_beside_earlier_lead(&mut second);
}

// The second box is stopped and resigns at once, and a third one follows. The resignation of the second lead does not
// end the authority of the first one.
#[test]
fn a_box_that_follows_a_short_lead_waits_for_the_lead_before_it() {
    let timing = AuthorityTiming::default();
    let mut isolated = IsolatedTask::new();
    let mut second = isolated.follower("second", 2);
    let mut third = isolated.follower("third", 3);
    isolated.cell.now.0 += 1_000;
    let short_claim = claim(&mut second, isolated.cell.now, 2);
    third.note_record(LeadRecord { resigned: true, ..short_claim }, isolated.cell.now);
    assert!(third.should_claim(isolated.cell.now, 0, &timing));
    isolated.run_beside_earlier_lead(&mut third);
}

/// Lets a lead that was replaced read `records` of a job, of which its successor has started a task on a worker that
/// the earlier lead does not reach. Checks that the earlier lead does not start the task.
fn assert_earlier_lead_starts_nothing(records: &[CellRecord]) {
    let mut cell = FakeCell::new(2, 4);
    let mut earlier = cell.lead(false);
    cell.turns(&mut earlier, 3);
    let mut next = cell.lead(true);
    cell.workers[0].cut = true;
    cell.submit_led(&mut next, 1, job(vec![step(1, 1)]));
    cell.turns(&mut next, 3);
    assert_eq!(cell.place(task(1, 0, 0)), Some(1));

    let mut replica = CellReplica::default();
    for record_read in records {
        replica.apply(JobId(1), record_read.clone(), cell.now);
    }
    let known = replica.job(JobId(1)).unwrap();
    let record = known.record.clone().unwrap();
    earlier.add_job(JobId(1), record, &known.progress_for_lead(), TimeSpan(0), cell.now);
    cell.token = FencingToken(1);
    (cell.workers[0].cut, cell.workers[1].cut) = (false, true);
    for _ in 0..20 {
        cell.turn_unrecorded(&mut earlier);
    }
    assert_eq!(cell.starts.len(), 1, "only the successor has started the task");
}

// A lead has been replaced and does not know it yet, since it cannot read the topic of leads, or reads it late. It goes
// on reading the records of jobs, and finds a job that its successor accepted. That record permits starts without a
// further record, but only to the successor and later leads. An earlier lead that obeys it starts the task a second
// time, on a worker that does not know the successor yet.
#[test]
fn a_lead_does_not_start_a_job_that_its_successor_accepted() {
    assert_earlier_lead_starts_nothing(&[CellRecord::LeadJob(job(vec![step(1, 1)]))]);
}

// A box put a job into the store by itself, and the successor recorded that it may have started. The earlier lead reads
// that record before it reads the job.
#[test]
fn a_lead_does_not_start_a_job_that_its_successor_may_have_started() {
    let started = JobProgress { may_have_started: true, ..JobProgress::default() };
    let accepted = CellRecord::Job(job(vec![step(1, 1)]));
    assert_earlier_lead_starts_nothing(&[CellRecord::Progress(started), accepted]);
}

// A lead does not reach the worker of a task for some seconds and waits until the lease that it granted has ended.
// Meanwhile another box leads, reaches the worker and renews the lease, so that the task goes on. The first lead may
// still give orders, but must not take the lease as ended, since a successor that it does not know may have renewed it.
#[test]
fn a_lead_does_not_take_a_lease_as_ended_that_its_successor_renewed() {
    let timing = AuthorityTiming::default();
    let IsolatedTask { mut cell, mut first, mut earlier, isolated, .. } = IsolatedTask::new();
    cell.turns(&mut earlier, 200);
    cell.workers[isolated].cut = true;
    cell.turns(&mut earlier, 120);
    let token = first.newest().unwrap().token;
    first.note_fenced_append(token, cell.now, &timing);
    let mut next = cell.lead(true);
    let own = cell.token;
    for _ in 0..200 {
        cell.token = own;
        (cell.workers[isolated].cut, cell.workers[1 - isolated].cut) = (false, true);
        cell.turn(&mut next);
        if let Some(token) = first.authority(cell.now) {
            cell.token = token;
            (cell.workers[isolated].cut, cell.workers[1 - isolated].cut) = (true, false);
            cell.turn_unrecorded(&mut earlier);
        }
    }
    assert_eq!(cell.starts.len(), 1, "the task stays on its worker");
}

// The store records a renewal, but its answer arrives after a later claim was read. A box that then takes its own
// record for the newest one claims with the token of the other box, and workers and store accept the orders and records
// of both.
#[test]
fn a_late_answer_to_a_renewal_does_not_undo_a_later_claim() {
    let timing = AuthorityTiming::default();
    let start = Moment(50_000);
    let mut own = watch("own", 1, start);
    let record = claim(&mut own, start, 1);
    let mut other = watch("other", 2, start);
    other.note_record(record.clone(), start);
    let later = other.next_claim("127.0.0.1:7001");
    let (sent, read_at) = (start.after(TimeSpan(400)), start.after(TimeSpan(900)));
    own.note_record(later.clone(), read_at);
    own.note_own_record(record, sent, 2, &timing);
    assert_eq!(own.newest(), Some(&later));
    assert!(!own.is_holder());
    assert_eq!(own.authority(read_at), None);
    assert_eq!(own.next_claim("127.0.0.1:7000").token, later.token.next_lead());
}

// A worker's clock is 2 % slow, the most that is allowed. The lead polls the worker for minutes, and each report holds
// a reading of the clock. A lease computed from an old reading ends later than configured, and later with each minute.
// A renewal that arrives late then lasts longer than a later lead waits.
#[test]
fn a_lease_on_a_slow_clock_is_not_longer_than_configured() {
    let timing = CellTiming::default();
    let start = Moment(50_000);
    let mut lead = Scheduler::take_over(timing.clone(), FencingToken(1), false, start);
    let key = lead.update_workers(vec![worker_entry(0, 4)], &[], start)[0];
    // The clock may have fallen behind by this much since the last report.
    let max_reading_age = TimeSpan(2);
    for turn in 0..3_000 {
        let (now, clock) = (start.after(TimeSpan(turn * 100)), WorkerTime(9_000 + turn * 98));
        let order = lead.hold_order(key, true, now);
        let max_lease_end = clock.after(timing.lease).after(max_reading_age);
        assert!(
            order.lease_until.is_none_or(|until| until <= max_lease_end),
            "after {turn} reports"
        );
        let report = HoldReport { clock, ..HoldReport::default() };
        lead.hold_answered(key, WorkerAnswer::Done(report), now, now);
    }
}

// Unhealthy workers refuse start after start, each with a run number of its own, and none of these numbers is recorded.
// The next lead must not reuse them: the end of one run would be taken as the end of the other.
#[test]
fn a_lead_numbers_runs_above_all_runs_refused_to_its_predecessor() {
    let mut cell = FakeCell::new(1, 4);
    let mut first = cell.lead(false);
    cell.submit(&mut first, 1, job(vec![step(1, 1)]));
    cell.record(&mut first);
    let mut earlier = cell.lead(false);
    cell.record(&mut earlier);
    let mut highest = None;
    for _ in 0..100 {
        cell.now.0 += 400;
        cell.poll_workers(&mut earlier);
        earlier.schedule(cell.now);
        for order in earlier.take_orders() {
            let CellOrder::Start(order) = order else { continue };
            highest = highest.max(Some(order.run));
            let refused = WorkerAnswer::NotDone(WorkerRefusal::Unhealthy);
            earlier.start_answered(&order, refused, cell.now);
        }
    }
    let mut next = cell.lead(false);
    cell.turns(&mut next, 10);
    let (_, run, _) = cell.starts.last().expect("the worker is healthy again");
    assert!(Some(*run) > highest, "run {run} after {highest:?}");
}

// Workers fall silent one after the other, and their leases end. Each end has to be confirmed by a record. A roster
// recorded for that in every batch makes 60 rosters for 60 workers. A batch under way confirms ends as well: 30
// rosters.
#[test]
fn a_batch_under_way_confirms_the_ends_of_leases() {
    let mut cell = FakeCell::new(60, 4);
    let mut lead = cell.lead(false);
    cell.submit_led(&mut lead, 1, job(vec![step(60, 4)]));
    cell.turns(&mut lead, 160);
    assert_eq!(cell.starts.len(), 60);
    let (mut rosters, mut batches) = (0, 0);
    let mut under_way = None;
    for turn in 0..400 {
        if let Some(worker) = cell.workers.get_mut(turn) {
            worker.cut = true;
        }
        cell.now.0 += 20;
        if let Some(batch) = under_way.take() {
            lead.batch_recorded(&batch);
        }
        cell.poll_workers(&mut lead);
        under_way = lead.take_batch(cell.now);
        batches += usize::from(under_way.is_some());
        rosters += usize::from(under_way.as_ref().is_some_and(|batch| !batch.roster.is_empty()));
        lead.schedule(cell.now);
        lead.take_orders();
    }
    let lost = lead.take_events().into_iter();
    let lost = lost.filter(|event| matches!(event, CellEvent::RunLost { .. })).count();
    assert_eq!(lost, 60);
    assert!(rosters <= 40, "{rosters} rosters in {batches} batches");
}

proptest! {
    #![proptest_config(cases(60))]

    #[test]
    fn overlapping_leads_break_no_rule_and_every_job_ends(
        slow in prop::collection::vec(any::<bool>(), WORKERS),
        keeps_ids in any::<bool>(),
        events in scenario(),
    ) {
        let mut world = start_world(&slow, keeps_ids);
        for event in events {
            apply_event(&mut world, event);
        }
        world.heal();
        let open = world.settle(TimeSpan(90_000));
        prop_assert!(open.is_empty(), "jobs not ended: {open:?}");
    }
}

proptest! {
    #![proptest_config(cases(60))]

    /// Long-running tasks run until they fail. The lead records their workers in advance, and the next lead uses that.
    #[test]
    fn overlapping_leads_with_long_running_tasks_break_no_rule(
        slow in prop::collection::vec(any::<bool>(), WORKERS),
        keeps_ids in any::<bool>(),
        events in scenario(),
    ) {
        let mut world = start_world(&slow, keeps_ids);
        world.long_running = true;
        for event in events {
            apply_event(&mut world, event);
        }
        world.heal();
        world.settle(TimeSpan(20_000));
    }
}

/// A course in which a task is started three times after five workers may have crashed under it, as leads that overlap each
/// know of some of the crashes.
#[test]
fn a_task_is_started_twice_at_most_after_crashes_under_overlapping_leads_seed_ae05c8fe() {
    let lost = Path { request: Delivery::Lost, reply: Delivery::Lost };
    let delayed_reply =
        Path { request: Delivery::Immediate, reply: Delivery::Delayed(TimeSpan(221)) };
    let delayed_request =
        Path { request: Delivery::Delayed(TimeSpan(2_161)), reply: Delivery::Immediate };
    let submit =
        |host, count, need, crashes| Event::Submit { host, count, need, gang: false, crashes };
    let leads_path = |path| Event::StorePath { host: 0, leads: Some(path), rest: None };
    let done = || Event::End { pick: 0, end: RunEnd::Done };
    let events = [
        submit(0, 1, 3, None),
        Event::Run(400),
        Event::Run(901),
        Event::Run(501),
        Event::Resize { worker: 0, cores: 0 },
        leads_path(lost),
        Event::Resize { worker: 1, cores: 0 },
        Event::WorkerPath { host: 0, worker: 0, path: lost },
        Event::Run(901),
        Event::WorkerPath { host: 1, worker: 0, path: lost },
        leads_path(delayed_reply),
        Event::Run(20),
        Event::WorkerPath { host: 0, worker: 0, path: delayed_request },
        Event::Run(20),
        Event::Resign(0),
        Event::Run(181),
        submit(0, 1, 1, None),
        Event::Run(2_000),
        Event::Kill { host: 2, span: 981 },
        leads_path(lost),
        submit(0, 2, 3, Some(1_501)),
        submit(0, 3, 1, None),
        Event::Run(3_241),
        done(),
        Event::Run(381),
        Event::Run(641),
        done(),
        done(),
    ];
    let runs = [301, 2_581, 41, 301, 401, 1_021].map(Event::Run);
    let mut world = start_world(&[false; WORKERS], false);
    world.long_running = true;
    for event in events.into_iter().chain(runs) {
        apply_event(&mut world, event);
    }
    world.heal();
    world.settle(TimeSpan(20_000));
}

#[test]
fn without_faults_jobs_run_and_the_lead_is_kept() {
    let mut world = start_world(&[false; WORKERS], false);
    for host in 0..2 {
        world.submit(host, job(vec![step(2, 1)]));
    }
    world.run(TimeSpan(2_000), TimeSpan(20));
    assert_eq!(world.starts.len(), 4);
    assert_eq!(world.leads().len(), 1);
    assert_eq!(world.settle(TimeSpan(3_000)), Vec::new());
}
