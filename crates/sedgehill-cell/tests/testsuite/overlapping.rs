//! Leads that overlap: an earlier one goes on giving orders beside its successors for as long as its
//! authority lasts.

use proptest::prelude::*;
use sedgehill_cell::authority::{AuthorityTiming, BoxStrength, LeadRecord, LeadWatch};
use sedgehill_cell::ids::{FencingToken, JobId};
use sedgehill_cell::progress::JobProgress;
use sedgehill_cell::replica::{CellRecord, CellReplica};
use sedgehill_cell::scheduler::{
    CellEvent, CellOrder, CellTiming, HoldReport, Scheduler, WorkerAnswer, WorkerKey,
    WorkerRefusal, WorkerTime,
};
use sedgehill_core::units::{Moment, TimeSpan};

use crate::cases::cases;
use crate::fake::{FakeCell, job, step, task, worker_entry};
use crate::overlap::scenario::{WORKERS, apply_event, scenario, start_world};

fn watch(name: &str, life: u64, now: Moment) -> LeadWatch {
    LeadWatch::new(name.into(), life, BoxStrength(1_000), now)
}

/// A claim that stands in the store as the last record before `end`.
fn claim(watch: &mut LeadWatch, now: Moment, end: u64) -> LeadRecord {
    let record = watch.next_claim("127.0.0.1:7000");
    watch.note_own_record(record.clone(), now, end, &AuthorityTiming::default());
    record
}

/// An earlier lead renews the lease of what runs on a worker; the store does not answer it.
fn renew_lease(cell: &mut FakeCell, lead: &mut Scheduler, token: FencingToken, key: WorkerKey) {
    cell.token = token;
    let number = cell.number(lead, key);
    let order = lead.hold_order(key, false, cell.now);
    let answer = cell.hold(number, &order);
    lead.hold_answered(key, answer, cell.now, cell.now);
}

/// A lead whose claim stands, a task that runs on a worker which no other box reaches, and what the
/// lead does while `next` leads beside it.
struct FarTask {
    cell: FakeCell,
    first: LeadWatch,
    earlier: Scheduler,
    far: usize,
    key: WorkerKey,
}

impl FarTask {
    fn new() -> FarTask {
        let mut cell = FakeCell::new(2, 4);
        let mut first = watch("first", 1, cell.now);
        let mut earlier = cell.lead(false);
        cell.submit(&mut earlier, 1, job(vec![step(1, 1)]));
        cell.turns(&mut earlier, 3);
        let far = cell.place(task(1, 0, 0)).unwrap();
        let key = [0, 1].map(WorkerKey).into_iter().find(|key| cell.number(&earlier, *key) == far);
        claim(&mut first, cell.now, 1);
        FarTask { cell, first, earlier, far, key: key.unwrap() }
    }

    /// A box that has read the claim of the first lead.
    fn follower(&self, name: &str, life: u64) -> LeadWatch {
        let mut follower = watch(name, life, self.cell.now);
        follower.note_record(self.first.newest().unwrap().clone(), self.cell.now);
        follower
    }

    /// A box leads beside the first one for as long as that may give orders, and on after that.
    fn led_beside(mut self, follower: &mut LeadWatch) {
        let predecessor = follower.has_predecessor();
        let own = claim(follower, self.cell.now, 3).token;
        self.cell.token = FencingToken(own.0 - 1);
        self.cell.workers[self.far].cut = true;
        let mut next = self.cell.lead(predecessor);
        next.note_fenced(self.cell.now);
        let end = self.cell.now.after(TimeSpan(10_000));
        while self.cell.now < end {
            if let Some(token) = self.first.authority(self.cell.now) {
                self.cell.workers[self.far].cut = false;
                renew_lease(&mut self.cell, &mut self.earlier, token, self.key);
            }
            self.cell.workers[self.far].cut = true;
            self.cell.token = own;
            self.cell.turn(&mut next);
        }
        assert_eq!(self.cell.starts.len(), 2, "the task runs elsewhere in the end");
    }
}

// A lead is cut from the store while a task runs on a worker that no other box reaches. Another box
// claims after a second, and its process is started again before it has done anything. The new process
// finds a claim of its own box as the newest one and claims again. The first lead may still give
// orders: it renews the lease of the task until its term is over. The newest lead cannot ask the worker,
// so it may start the task elsewhere only once the last of these leases has ended.
#[test]
fn a_box_that_follows_its_own_claim_waits_for_the_lead_before_that() {
    let timing = AuthorityTiming::default();
    let mut far = FarTask::new();
    let mut second = far.follower("second", 2);
    far.cell.now.0 += 1_000;
    assert!(second.should_claim(far.cell.now, 0, &timing));
    let unused = claim(&mut second, far.cell.now, 2);
    let mut second = watch("second", 3, far.cell.now);
    second.note_record(unused, far.cell.now);
    assert!(second.should_claim(far.cell.now, 0, &timing));
    far.led_beside(&mut second);
}

// The same, but the box that followed resigned at once, since it was stopped, and a third one follows. That
// the second lead gives no further orders says nothing about the first.
#[test]
fn a_box_that_follows_a_short_lead_waits_for_the_lead_before_that() {
    let timing = AuthorityTiming::default();
    let mut far = FarTask::new();
    let mut second = far.follower("second", 2);
    let mut third = far.follower("third", 3);
    far.cell.now.0 += 1_000;
    let short = claim(&mut second, far.cell.now, 2);
    third.note_record(LeadRecord { resigned: true, ..short }, far.cell.now);
    assert!(third.should_claim(far.cell.now, 0, &timing));
    far.led_beside(&mut third);
}

/// Two workers; a lead that has been replaced and goes on, and its successor, which has begun a task on
/// one of the workers that the earlier one does not reach. The earlier one reads what the store holds of
/// the job, as `statements` has it.
fn an_earlier_lead_reads(statements: &[CellRecord]) {
    let mut cell = FakeCell::new(2, 4);
    let mut earlier = cell.lead(false);
    cell.turns(&mut earlier, 3);
    let mut next = cell.lead(true);
    cell.workers[0].cut = true;
    cell.submit_led(&mut next, 1, job(vec![step(1, 1)]));
    cell.turns(&mut next, 3);
    assert_eq!(cell.place(task(1, 0, 0)), Some(1));

    let mut replica = CellReplica::default();
    for statement in statements {
        replica.apply(JobId(1), statement.clone(), cell.now);
    }
    let known = replica.job(JobId(1)).unwrap();
    let record = known.record.clone().unwrap();
    earlier.add_job(JobId(1), record, &known.progress_for_lead(), TimeSpan(0), cell.now);
    cell.token = FencingToken(1);
    (cell.workers[0].cut, cell.workers[1].cut) = (false, true);
    for _ in 0..20 {
        cell.turn_unrecorded(&mut earlier);
    }
    assert_eq!(cell.starts.len(), 1, "the successor has begun it, and may go on");
}

// A lead has been replaced and does not know it yet: the topic of leads cannot be read, or is read late. It
// goes on reading what is recorded of jobs, and finds one that its successor accepted. The record says to
// whoever reads it that tasks of the job may be started, which was meant for the successor and later
// leads. The earlier lead has nothing to wait for any more, so it starts the task too, on a worker that
// has not heard of its successor.
#[test]
fn a_lead_does_not_start_a_job_that_its_successor_accepted() {
    an_earlier_lead_reads(&[CellRecord::LeadJob(job(vec![step(1, 1)]))]);
}

// The same with a job that some box put into the store by itself: the successor has marked it, and the
// earlier lead reads the mark before it reads the job.
#[test]
fn a_lead_does_not_start_a_job_that_its_successor_marked() {
    let marked = JobProgress { may_have_started: true, ..JobProgress::default() };
    let accepted = CellRecord::Job(job(vec![step(1, 1)]));
    an_earlier_lead_reads(&[CellRecord::Progress(marked), accepted]);
}

// A lead does not reach the worker of a task for some seconds and waits until the lease that it gave has
// ended. Meanwhile another box leads; it reaches the worker, renews the lease and lets the task go on. The
// first lead may still give orders, but must not take the lease for ended: it cannot know of the other one.
#[test]
fn a_lead_does_not_take_a_lease_for_ended_that_its_successor_renewed() {
    let timing = AuthorityTiming::default();
    let FarTask { mut cell, mut first, mut earlier, far, .. } = FarTask::new();
    cell.turns(&mut earlier, 200);
    cell.workers[far].cut = true;
    cell.turns(&mut earlier, 120);
    let token = first.newest().unwrap().token;
    first.note_fenced_append(token, cell.now, &timing);
    let mut next = cell.lead(true);
    let own = cell.token;
    for _ in 0..200 {
        cell.token = own;
        (cell.workers[far].cut, cell.workers[1 - far].cut) = (false, true);
        cell.turn(&mut next);
        if let Some(token) = first.authority(cell.now) {
            cell.token = token;
            (cell.workers[far].cut, cell.workers[1 - far].cut) = (true, false);
            cell.turn_unrecorded(&mut earlier);
        }
    }
    assert_eq!(cell.starts.len(), 1, "the task goes on where it is");
}

// A renewal is kept, but its answer comes only after a later claim was read. A box that then took its own
// record for the newest one would claim with the token of the other box: workers and store would take
// the orders and records of both.
#[test]
fn an_answer_that_comes_after_a_later_claim_does_not_undo_it() {
    let timing = AuthorityTiming::default();
    let start = Moment(50_000);
    let mut own = watch("own", 1, start);
    let record = claim(&mut own, start, 1);
    let mut other = watch("other", 2, start);
    other.note_record(record.clone(), start);
    let later = other.next_claim("127.0.0.1:7001");
    let (sent, heard) = (start.after(TimeSpan(400)), start.after(TimeSpan(900)));
    own.note_record(later.clone(), heard);
    own.note_own_record(record, sent, 2, &timing);
    assert_eq!(own.newest(), Some(&later));
    assert!(!own.is_holder());
    assert_eq!(own.authority(heard), None);
    assert_eq!(own.next_claim("127.0.0.1:7000").token, later.token.next_lead());
}

// A worker's clock is 2 % slow, as far as is allowed. The lead asks it for accounts for minutes, and each
// tells the clock. A lease that is reckoned from an old reading lies ahead of what was meant, further with
// each minute; a renewal that arrives late then lasts longer than a later lead waits for.
#[test]
fn a_lease_on_a_slow_clock_is_not_longer_than_meant() {
    let timing = CellTiming::default();
    let start = Moment(50_000);
    let mut lead = Scheduler::take_over(timing.clone(), FencingToken(1), false, start);
    let key = lead.update_workers(vec![worker_entry(0, 4)], &[], start)[0];
    // The clock may have fallen behind by this much since the account before.
    let since_account = TimeSpan(2);
    for turn in 0..3_000 {
        let (now, clock) = (start.after(TimeSpan(turn * 100)), WorkerTime(9_000 + turn * 98));
        let order = lead.hold_order(key, true, now);
        let most = clock.after(timing.lease).after(since_account);
        assert!(order.lease_until.is_none_or(|until| until <= most), "after {turn} accounts");
        let report = HoldReport { clock, ..HoldReport::default() };
        lead.hold_answered(key, WorkerAnswer::Done(report), now, now);
    }
}

// Workers that are not well refuse start after start, each of which has a run of its own. None of this is
// recorded, and the next lead must not give the numbers to runs of its own: an end of the one would be taken
// for the end of the other.
#[test]
fn a_lead_numbers_runs_above_all_that_were_refused_to_the_lead_before() {
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
    let (_, run, _) = cell.starts.last().expect("the worker is well again");
    assert!(Some(*run) > highest, "run {run} after {highest:?}");
}

// Workers fall silent one after the other, and their leases end so. Each end has to be confirmed by a record, and the
// roster was recorded for it in every batch, 60 times for 60 workers, though a batch under way tells as well: 30 times.
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
        rosters += usize::from(under_way.as_ref().is_some_and(|batch| batch.roster.is_some()));
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
    fn no_course_of_overlapping_leads_breaks_a_rule_and_every_job_ends(
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
        prop_assert!(open.is_empty(), "not over: {open:?}");
    }
}

proptest! {
    #![proptest_config(cases(60))]

    /// Single tasks run until they fail: where they run is recorded ahead, and a next lead goes by that.
    #[test]
    fn no_course_of_overlapping_leads_with_long_running_tasks_breaks_a_rule(
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

#[test]
fn without_faults_jobs_run_and_the_lead_stays() {
    let mut world = start_world(&[false; WORKERS], false);
    for host in 0..2 {
        world.submit(host, job(vec![step(2, 1)]));
    }
    world.run(TimeSpan(2_000), TimeSpan(20));
    assert_eq!(world.starts.len(), 4);
    assert_eq!(world.leads().len(), 1);
    assert_eq!(world.settle(TimeSpan(3_000)), Vec::new());
}
