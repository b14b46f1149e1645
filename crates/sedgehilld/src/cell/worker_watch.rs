//! Follows the workers of the cell: which there are, what runs there, and their leases.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use sedgehill_adapter::store::StoreTopic;
use sedgehill_adapter::worker::WorkerTarget;
use sedgehill_adapter::worker_list::{ListReader, ListReading};
use sedgehill_cell::scheduler::{HoldOrder, HoldReport, WorkerAnswer, WorkerKey};
use sedgehill_core::units::{Moment, TimeSpan};
use slog::{info, warn};

use super::late_answer;
use super::lead::LeadSession;
use super::state::CellBox;
use crate::{clock, telemetry};

/// Time between two readings of the list. A leaving worker is seen within it.
const LIST_INTERVAL: Duration = Duration::from_millis(400);
/// How long a reading of the list may take.
const LIST_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Pause after an account that failed for the second time in a row, or more often.
const FAILED_HOLD_PAUSE: Duration = Duration::from_millis(100);
/// The most doublings of that pause where nobody has answered to this life yet: the address may be that of
/// anything, and each look is paid for.
const MAX_STRANGER_DOUBLINGS: u32 = 3;
/// Pause after an account: ends that come together are read together.
const HOLD_PAUSE: Duration = Duration::from_millis(10);

/// Reads the list again and again, and watches each worker on it.
pub async fn run(host: &Rc<CellBox>, session: &Rc<LeadSession>) {
    let roster = host.replica.borrow().roster().clone();
    let listed = session.scheduler.borrow_mut().add_roster(&roster, clock::now());
    spawn_watches(host, session, listed);
    let mut reader = ListReader::new(reserved_addresses(host));
    loop {
        let result = match session.is_relaying() {
            true => session.newest_relayed(StoreTopic::Workers).await,
            false => host.clients.store.newest(StoreTopic::Workers, LIST_TIMEOUT).await,
        };
        match result {
            Ok(newest) => {
                let reading = reader.read(&newest.records);
                log_unreadable_entries(host, &reading);
                let ListReading { entries, unreadable, .. } = reading;
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

/// Where others than workers answer, as far as this box knows.
fn reserved_addresses(host: &CellBox) -> Vec<SocketAddr> {
    let listen = &host.settings.listen;
    let own_addresses =
        [listen.callers, listen.ready, listen.peers, listen.metrics, host.settings.store];
    own_addresses.into_iter().chain(host.settings.advice).collect()
}

/// Tells once of each entry that it cannot be read, and once that it can again or is gone.
fn log_unreadable_entries(host: &CellBox, reading: &ListReading) {
    for (worker, error) in &reading.worse {
        telemetry::count_unreadable_entry(error.name());
        warn!(host.log, "worker entry not readable"; "worker" => worker, "error" => %error);
    }
    for worker in &reading.mended {
        info!(host.log, "worker entry readable or gone"; "worker" => worker);
    }
}

fn spawn_watches(host: &Rc<CellBox>, session: &Rc<LeadSession>, keys: Vec<WorkerKey>) {
    for key in keys {
        tokio::task::spawn_local(watch_worker(host.clone(), session.clone(), key));
    }
}

/// Renews a worker's lease and reads its accounts for as long as it is of interest.
async fn watch_worker(host: Rc<CellBox>, session: Rc<LeadSession>, key: WorkerKey) {
    let target = worker_target(&session, key);
    let mut failures = 0;
    loop {
        if session.ended.get() || !session.scheduler.borrow().is_watched(key) {
            break;
        }
        if !session.may_order(&host) {
            tokio::time::sleep(HOLD_PAUSE).await;
            continue;
        }
        let order = next_hold_order(&host, &session, key);
        // A process that stands still after the look at the term must not ask for a lease beyond it.
        if !session.may_order(&host) {
            continue;
        }
        let answered = request_report(&host, &session, &target, key, order).await;
        failures = if answered { 0 } else { failures + 1 };
        let is_stranger = session.scheduler.borrow().is_stranger(key);
        tokio::time::sleep(hold_pause(failures, is_stranger)).await;
    }
    session.scheduler.borrow_mut().unwatch(key);
    if !session.scheduler.borrow().watches_address(target.address) {
        host.clients.http.forget(target.address);
    }
}

/// How long to wait before the next account, after so many failed ones in a row.
fn hold_pause(failures: u32, is_stranger: bool) -> Duration {
    let doublings =
        if is_stranger { failures.saturating_sub(2).min(MAX_STRANGER_DOUBLINGS) } else { 0 };
    match failures {
        0 | 1 => HOLD_PAUSE,
        _ => FAILED_HOLD_PAUSE * 2u32.pow(doublings),
    }
}

/// Asks a worker for its account at once, without waiting for an end.
pub async fn poll_worker(
    host: &Rc<CellBox>,
    session: &Rc<LeadSession>,
    target: &WorkerTarget,
    key: WorkerKey,
) {
    let order = HoldOrder { wait: TimeSpan(0), ..next_hold_order(host, session, key) };
    if !session.may_order(host) {
        return;
    }
    request_report(host, session, target, key, order).await;
}

fn next_hold_order(host: &CellBox, session: &LeadSession, key: WorkerKey) -> HoldOrder {
    let store_answers = session.store_answers(host);
    session.scheduler.borrow_mut().hold_order(key, store_answers, clock::now())
}

/// Asks a worker for its account and takes it in, also when it comes late. Returns whether it came in
/// time.
async fn request_report(
    host: &Rc<CellBox>,
    session: &Rc<LeadSession>,
    target: &WorkerTarget,
    key: WorkerKey,
    order: HoldOrder,
) -> bool {
    let sent = clock::now();
    let timeout = session.order_timeout.borrow().limit();
    let limits = late_answer::limits_for(timeout);
    let waiting_limits = limits.with_wait(Duration::from_millis(order.wait.as_millis()));
    let calling = {
        let (host, target) = (host.clone(), target.clone());
        let order = order.clone();
        async move { host.clients.workers.hold(&target, &order, limits).await }
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
        // Asked again on a new connection, the worker may answer at once.
        () = host.clients.http.wait_for_silence(target.address) => return true,
    };
    let answer = answer.unwrap_or(WorkerAnswer::Unknown);
    let answered = matches!(answer, WorkerAnswer::Done(_));
    apply_report(host, session, key, answer, sent);
    answered
}

/// Takes in what came of a call for an account. If another life answered, that is asked from now on.
fn apply_report(
    host: &Rc<CellBox>,
    session: &Rc<LeadSession>,
    key: WorkerKey,
    answer: WorkerAnswer<HoldReport>,
    sent: Moment,
) {
    session.scheduler.borrow_mut().hold_answered(key, answer, sent, clock::now());
    let new_lives = session.scheduler.borrow_mut().take_next_lives();
    spawn_watches(host, session, new_lives);
    session.wake.notify_one();
}

/// Where a worker takes orders.
pub fn worker_target(session: &LeadSession, key: WorkerKey) -> WorkerTarget {
    let scheduler = session.scheduler.borrow();
    let entry = scheduler.entry(key);
    WorkerTarget { address: entry.address, life: entry.life.clone() }
}
