//! Follows the workers of the cell: reads the worker list, renews the worker leases and requests
//! their reports.
//!
//! A worker answers a hold call with a report of its runs. The call renews the worker's lease, and
//! may wait at the worker until a run ends.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use sedgehill_adapter::store::StoreTopic;
use sedgehill_adapter::worker::WorkerTarget;
use sedgehill_adapter::worker_list::{EntryReader, EntryReading};
use sedgehill_adapter::worker_slots::CallSlot;
use sedgehill_cell::scheduler::{HoldOrder, HoldReport, WorkerAnswer, WorkerKey, WorkerRefusal};
use sedgehill_core::units::{Moment, TimeSpan};
use slog::{info, warn};

use super::late_answer;
use super::lead::LeadSession;
use super::orders::SLOT_TIMEOUT;
use super::state::CellBox;
use crate::{clock, telemetry};

/// Interval between two reads of the worker list. A leaving worker is noticed within it.
const LIST_INTERVAL: Duration = Duration::from_millis(400);
/// Timeout of a read of the worker list.
const LIST_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Pause after the second hold call in a row that failed, and after each further one.
const FAILED_HOLD_PAUSE: Duration = Duration::from_millis(100);
/// The most doublings of that pause for a worker that has not answered any lead yet: its address
/// may belong to something else, and each call has a cost.
const MAX_UNANSWERED_DOUBLINGS: u32 = 3;
/// Pause after a hold call. Runs that end at the same time then share a report.
const HOLD_PAUSE: Duration = Duration::from_millis(10);

/// Reads the worker list periodically, and watches each worker on it.
pub async fn run(host: &Rc<CellBox>, session: &Rc<LeadSession>) {
    let roster = host.replica.borrow().roster().clone();
    let listed = session.scheduler.borrow_mut().add_roster(&roster, clock::now());
    spawn_watches(host, session, listed);
    let mut reader = EntryReader::new(reserved_addresses(host));
    loop {
        let result = match session.is_relaying() {
            true => session.newest_relayed(StoreTopic::Workers).await,
            false => host.clients.store.read_newest(StoreTopic::Workers, LIST_TIMEOUT).await,
        };
        match result {
            Ok(newest) => {
                let reading = reader.read(&newest.records);
                log_unreadable_entries(host, &reading);
                let EntryReading { entries, unreadable, .. } = reading;
                let now = clock::now();
                let added =
                    session.scheduler.borrow_mut().update_workers(entries, &unreadable, now);
                spawn_watches(host, session, added);
                session.wake.notify_one();
            }
            Err(error) => warn!(host.log, "worker list not read"; "error" => %error),
        }
        tokio::time::sleep(LIST_INTERVAL).await;
    }
}

/// Returns the addresses that this box knows to belong to other services, so that list entries that
/// name them are rejected.
fn reserved_addresses(host: &CellBox) -> Vec<SocketAddr> {
    let listen = &host.settings.listen;
    let own_addresses =
        [listen.callers, listen.ready, listen.peers, listen.metrics, host.settings.store];
    own_addresses.into_iter().chain(host.settings.advice).collect()
}

/// Logs each entry once when it becomes unreadable, and once when it is readable again or gone.
fn log_unreadable_entries(host: &CellBox, reading: &EntryReading) {
    for (worker, error) in &reading.newly_unreadable {
        telemetry::count_unreadable_entry(error.name());
        warn!(host.log, "worker entry not readable"; "worker" => worker, "error" => %error);
    }
    for worker in &reading.recovered {
        info!(host.log, "worker entry readable or gone"; "worker" => worker);
    }
}

fn spawn_watches(host: &Rc<CellBox>, session: &Rc<LeadSession>, keys: Vec<WorkerKey>) {
    for key in keys {
        tokio::task::spawn_local(watch_worker(host.clone(), session.clone(), key));
    }
}

/// Renews a worker's lease and requests its reports for as long as the scheduler watches it.
async fn watch_worker(host: Rc<CellBox>, session: Rc<LeadSession>, key: WorkerKey) {
    let target = worker_target(&session, key);
    let mut failures = 0;
    loop {
        if session.ended.get() || !session.scheduler.borrow().should_poll(key) {
            break;
        }
        if !session.may_order(&host) {
            tokio::time::sleep(HOLD_PAUSE).await;
            continue;
        }
        let answered = poll_worker(&host, &session, &target, key, None).await;
        failures = if answered { 0 } else { failures + 1 };
        let never_answered = session.scheduler.borrow().never_answered(key);
        tokio::time::sleep(hold_pause(failures, never_answered)).await;
    }
    session.scheduler.borrow_mut().stop_polling(key);
    if !session.scheduler.borrow().polls_address(target.address) {
        host.clients.http.close_idle(target.address);
    }
}

/// Returns the pause before the next hold call, after `failures` failed calls in a row.
fn hold_pause(failures: u32, never_answered: bool) -> Duration {
    let doublings =
        if never_answered { failures.saturating_sub(2).min(MAX_UNANSWERED_DOUBLINGS) } else { 0 };
    match failures {
        0 | 1 => HOLD_PAUSE,
        _ => FAILED_HOLD_PAUSE * 2u32.pow(doublings),
    }
}

/// Requests the report of a worker. The worker may wait for a run to end, at most for `max_wait`.
/// Returns whether the report came in time, or was not requested.
pub async fn poll_worker(
    host: &Rc<CellBox>,
    session: &Rc<LeadSession>,
    target: &WorkerTarget,
    key: WorkerKey,
    max_wait: Option<TimeSpan>,
) -> bool {
    let Ok(slot) = host.clients.workers.acquire_slot(target, SLOT_TIMEOUT).await else {
        let answer = WorkerAnswer::NotDone(WorkerRefusal::Unreached);
        apply_report(host, session, key, answer, clock::now());
        return false;
    };
    let mut order = next_hold_order(host, session, key);
    order.wait = max_wait.map_or(order.wait, |max_wait| order.wait.min(max_wait));
    // The process may have been suspended since the lease was chosen, and must not request one that
    // outlasts its term.
    if !session.may_order(host) {
        return true;
    }
    request_report(host, session, target, key, order, slot).await
}

fn next_hold_order(host: &CellBox, session: &LeadSession, key: WorkerKey) -> HoldOrder {
    let store_answers = session.store_answers(host);
    session.scheduler.borrow_mut().hold_order(key, store_answers, clock::now())
}

/// Requests the report of a worker and applies it, even if it comes late. Returns whether it came
/// in time.
async fn request_report(
    host: &Rc<CellBox>,
    session: &Rc<LeadSession>,
    target: &WorkerTarget,
    key: WorkerKey,
    order: HoldOrder,
    slot: CallSlot,
) -> bool {
    let sent = clock::now();
    let timeout = session.order_timeout.borrow().timeout();
    let limits = late_answer::limits_for(timeout);
    let waiting_limits = limits.with_wait(Duration::from_millis(order.wait.as_millis()));
    let calling = {
        let (host, target) = (host.clone(), target.clone());
        let order = order.clone();
        async move { host.clients.workers.hold(&target, &order, slot, limits).await }
    };
    let apply_late = {
        let (host, session) = (host.clone(), session.clone());
        move |answer: WorkerAnswer<HoldReport>| {
            if let WorkerAnswer::Done(_) = answer
                && !session.ended.get()
            {
                let took = clock::now().since(sent).0.saturating_sub(order.wait.0);
                session.order_timeout.borrow_mut().note_answer(Duration::from_millis(took));
                apply_report(&host, &session, key, answer, sent);
            }
        }
    };
    let answer = tokio::select! {
        answer = late_answer::wait_or_detach(calling, waiting_limits, apply_late) => answer,
        // The connection fell silent and was replaced; on the new one the worker may answer at
        // once.
        () = host.clients.http.wait_for_replacement(target.address) => return true,
    };
    let answer = answer.unwrap_or(WorkerAnswer::Unknown);
    let answered = matches!(answer, WorkerAnswer::Done(_));
    apply_report(host, session, key, answer, sent);
    answered
}

/// Applies the outcome of a hold call. If another life of the worker answered, starts to watch that
/// life.
fn apply_report(
    host: &Rc<CellBox>,
    session: &Rc<LeadSession>,
    key: WorkerKey,
    answer: WorkerAnswer<HoldReport>,
    sent: Moment,
) {
    session.scheduler.borrow_mut().hold_answered(key, answer, sent, clock::now());
    let new_lives = session.scheduler.borrow_mut().take_new_lives();
    spawn_watches(host, session, new_lives);
    session.wake.notify_one();
}

/// Returns the address and the life to which the orders for a worker are sent.
pub fn worker_target(session: &LeadSession, key: WorkerKey) -> WorkerTarget {
    let scheduler = session.scheduler.borrow();
    let entry = scheduler.entry(key);
    WorkerTarget { address: entry.address, life: entry.life.clone() }
}
