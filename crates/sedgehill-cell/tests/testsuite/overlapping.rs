//! Leads that overlap: an earlier one goes on giving orders beside its successors for as long as its
//! authority lasts.

use proptest::prelude::*;
use sedgehill_cell::authority::{AuthorityTiming, BoxStrength, LeadRecord, LeadWatch};
use sedgehill_cell::ids::{FencingToken, JobId};
use sedgehill_cell::progress::JobProgress;
use sedgehill_cell::replica::{CellRecord, CellReplica};
use sedgehill_cell::scheduler::{Scheduler, WorkerKey};
use sedgehill_core::units::{Moment, TimeSpan};

use crate::fake::{FakeCell, job, step, task};
use crate::overlap::course::{WORKERS, begin, events, take};
use crate::overlap::has_living_predecessor;

fn watch(name: &str, life: u64, now: Moment) -> LeadWatch {
    LeadWatch::new(name.into(), life, BoxStrength(1_000), now)
}

/// A claim that stands in the store as the last record before `end`.
fn claim(watch: &mut LeadWatch, now: Moment, end: u64) -> LeadRecord {
    let record = watch.next_claim("127.0.0.1:7000");
    watch.note_own(record.clone(), now, end, &AuthorityTiming::default());
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

// A lead is cut from the store while a task runs on a worker that no other box reaches. Another box
// claims after a second, and its process is started again before it has done anything. The new process
// finds a claim of its own box as the newest one and claims again. The first lead may still give
// orders: it renews the lease of the task until its term is over. The newest lead cannot ask the worker,
// so it may start the task elsewhere only once the last of these leases has ended.
#[test]
fn a_box_that_follows_its_own_claim_waits_for_the_lead_before_that() {
    let timing = AuthorityTiming::default();
    let mut cell = FakeCell::new(2, 4);
    let mut first = watch("first", 1, cell.now);
    let mut earlier = cell.lead(false);
    cell.submit(&mut earlier, 1, job(vec![step(1, 1)]));
    cell.turns(&mut earlier, 3);
    let far = cell.place(task(1, 0, 0)).unwrap();
    let key = [0, 1].map(WorkerKey).into_iter().find(|key| cell.number(&earlier, *key) == far);

    let last_of_first = claim(&mut first, cell.now, 1);
    let mut second = watch("second", 2, cell.now);
    second.note_record(last_of_first, cell.now);
    cell.now.0 += 1_000;
    assert!(second.should_claim(cell.now, 0, &timing));
    let unused = claim(&mut second, cell.now, 2);
    let mut second = watch("second", 3, cell.now);
    second.note_record(unused, cell.now);
    assert!(second.should_claim(cell.now, 0, &timing));

    let predecessor = has_living_predecessor(&second, &"second".into());
    let own = claim(&mut second, cell.now, 3).token;
    cell.token = FencingToken(own.0 - 1);
    cell.workers[far].cut = true;
    let mut next = cell.lead(predecessor);
    next.note_fenced(cell.now);
    let end = cell.now.after(TimeSpan(10_000));
    while cell.now < end {
        if let Some(token) = first.authority(cell.now) {
            cell.workers[far].cut = false;
            renew_lease(&mut cell, &mut earlier, token, key.unwrap());
        }
        cell.workers[far].cut = true;
        cell.token = own;
        cell.turn(&mut next);
    }
    assert_eq!(cell.starts.len(), 2, "the task runs elsewhere in the end");
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
    earlier.add_job(JobId(1), record, &known.kept(), TimeSpan(0), cell.now);
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
    an_earlier_lead_reads(&[CellRecord::Led(job(vec![step(1, 1)]))]);
}

// The same with a job that some box put into the store by itself: the successor has marked it, and the
// earlier lead reads the mark before it reads the job.
#[test]
fn a_lead_does_not_start_a_job_that_its_successor_marked() {
    let marked = JobProgress { ordered: true, ..JobProgress::default() };
    let accepted = CellRecord::Job(job(vec![step(1, 1)]));
    an_earlier_lead_reads(&[CellRecord::Progress(marked), accepted]);
}

/// As many courses as fit into a few seconds, or as many as are asked for.
fn config() -> ProptestConfig {
    let default = ProptestConfig::default();
    match std::env::var_os("PROPTEST_CASES") {
        Some(_) => default,
        None => ProptestConfig { cases: 60, ..default },
    }
}

proptest! {
    #![proptest_config(config())]

    #[test]
    fn no_course_of_overlapping_leads_breaks_a_rule_and_every_job_ends(
        slow in prop::collection::vec(any::<bool>(), WORKERS),
        course in prop::collection::vec(events(), 1..60),
    ) {
        let mut world = begin(&slow);
        for event in course {
            take(&mut world, event);
        }
        world.heal();
        let open = world.settle(TimeSpan(90_000));
        prop_assert!(open.is_empty(), "not over: {open:?}");
    }
}

#[test]
fn without_faults_jobs_run_and_the_lead_stays() {
    let mut world = begin(&[false; WORKERS]);
    for host in 0..2 {
        world.submit(host, job(vec![step(2, 1)]));
    }
    world.run(TimeSpan(2_000), TimeSpan(20));
    assert_eq!(world.starts.len(), 4);
    assert_eq!(world.leads().len(), 1);
    assert_eq!(world.settle(TimeSpan(3_000)), Vec::new());
}
