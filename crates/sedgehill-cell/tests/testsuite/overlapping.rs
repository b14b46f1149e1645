//! Leads that overlap: an earlier one goes on giving orders beside its successors for as long as its
//! authority lasts.

use sedgehill_cell::authority::{AuthorityTiming, BoxStrength, LeadRecord, LeadWatch};
use sedgehill_cell::ids::{BoxName, FencingToken};
use sedgehill_cell::scheduler::{Scheduler, WorkerKey};
use sedgehill_core::units::{Moment, TimeSpan};

use crate::fake::{FakeCell, job, step, task};

/// What a box tells the scheduler when it takes over: whether an earlier lead may still give orders.
fn has_living_predecessor(watch: &LeadWatch, name: &BoxName) -> bool {
    watch.newest().is_some_and(|newest| !newest.resigned && newest.holder != *name)
}

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
