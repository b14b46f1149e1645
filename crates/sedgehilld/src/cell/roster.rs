//! Follows the workers of the cell: which there are, what runs there, and their leases.

use std::rc::Rc;
use std::time::Duration;

use sedgehill_adapter::store::StoreTopic;
use sedgehill_adapter::worker::WorkerTarget;
use sedgehill_adapter::worker_list::decode_entry;
use sedgehill_cell::scheduler::{HoldOrder, WorkerAnswer, WorkerKey};
use sedgehill_core::units::TimeSpan;
use slog::warn;

use super::lead::LeadSession;
use super::state::CellBox;
use crate::clock;

/// Time between two readings of the list. A leaving worker is seen within it.
const LIST_EVERY: Duration = Duration::from_millis(400);
/// How long a reading of the list may take.
const LIST_LIMIT: Duration = Duration::from_millis(1_000);
/// Pause after an account that failed for the second time in a row, or more often.
const HOLD_RETRY: Duration = Duration::from_millis(100);
/// Pause after an account: ends that come together are read together.
const HOLD_PAUSE: Duration = Duration::from_millis(10);

/// Reads the list again and again, and watches each worker on it.
pub async fn follow(host: &Rc<CellBox>, session: &Rc<LeadSession>) {
    let roster = host.replica.borrow().roster().clone();
    let known = session.scheduler.borrow_mut().add_roster(&roster, clock::now());
    watch_all(host, session, known);
    loop {
        let reading = match session.relays() {
            true => session.newest_relayed(StoreTopic::Workers).await,
            false => host.clients.store.newest(StoreTopic::Workers, LIST_LIMIT).await,
        };
        match reading {
            Ok(newest) => {
                let mut entries = Vec::with_capacity(newest.records.len());
                for record in &newest.records {
                    match decode_entry(record) {
                        Ok(entry) => entries.extend(entry),
                        Err(error) => warn!(host.log, "worker entry not readable";
                            "worker" => &record.key, "error" => %error),
                    }
                }
                let new = session.scheduler.borrow_mut().update_workers(entries, clock::now());
                watch_all(host, session, new);
                session.wake.notify_one();
            }
            Err(error) => warn!(host.log, "worker list not read"; "error" => %error),
        }
        tokio::time::sleep(LIST_EVERY).await;
    }
}

fn watch_all(host: &Rc<CellBox>, session: &Rc<LeadSession>, keys: Vec<WorkerKey>) {
    for key in keys {
        tokio::task::spawn_local(watch(host.clone(), session.clone(), key));
    }
}

/// Renews a worker's lease and reads its accounts for as long as it is of interest.
async fn watch(host: Rc<CellBox>, session: Rc<LeadSession>, key: WorkerKey) {
    let target = target_of(&session, key);
    let mut failed = false;
    loop {
        if session.ended.get() || !session.scheduler.borrow().is_watched(key) {
            break;
        }
        if !session.may_order(&host) {
            tokio::time::sleep(HOLD_PAUSE).await;
            continue;
        }
        let sent = clock::now();
        let store_answers = session.store_answers(&host);
        let order = session.scheduler.borrow_mut().hold_order(key, store_answers, sent);
        let limit = session.order_patience.borrow().limit();
        let answer = host.clients.workers.hold(&target, &order, session.token, limit).await;
        let failed_before =
            std::mem::replace(&mut failed, !matches!(answer, WorkerAnswer::Done(_)));
        session.scheduler.borrow_mut().hold_answered(key, answer, sent, clock::now());
        session.wake.notify_one();
        let out_of_touch = failed && failed_before;
        tokio::time::sleep(if out_of_touch { HOLD_RETRY } else { HOLD_PAUSE }).await;
    }
    session.scheduler.borrow_mut().unwatch(key);
    host.clients.http.forget(target.address);
}

/// Asks a worker for its account at once, without waiting for an end.
pub async fn look(host: &CellBox, session: &LeadSession, target: &WorkerTarget, key: WorkerKey) {
    if !session.may_order(host) {
        return;
    }
    let sent = clock::now();
    let store_answers = session.store_answers(host);
    let order = session.scheduler.borrow_mut().hold_order(key, store_answers, sent);
    let order = HoldOrder { wait: TimeSpan(0), ..order };
    let limit = session.order_patience.borrow().limit();
    let answer = host.clients.workers.hold(target, &order, session.token, limit).await;
    session.scheduler.borrow_mut().hold_answered(key, answer, sent, clock::now());
    session.wake.notify_one();
}

/// Where a worker takes orders.
pub fn target_of(session: &LeadSession, key: WorkerKey) -> WorkerTarget {
    let scheduler = session.scheduler.borrow();
    let entry = scheduler.entry(key);
    WorkerTarget { address: entry.address, life: entry.life.clone() }
}
