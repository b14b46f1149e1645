//! Follows the workers of the cell: which there are, what runs there, and their leases.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use sedgehill_adapter::store::StoreTopic;
use sedgehill_adapter::worker::WorkerTarget;
use sedgehill_adapter::worker_list::{EntryReader, EntryReading};
use sedgehill_cell::scheduler::{HoldOrder, HoldReport, WorkerAnswer, WorkerKey};
use sedgehill_core::units::{Moment, TimeSpan};
use slog::{info, warn};

use super::late;
use super::lead::LeadSession;
use super::state::CellBox;
use crate::{clock, telemetry};

/// Time between two readings of the list. A leaving worker is seen within it.
const LIST_EVERY: Duration = Duration::from_millis(400);
/// How long a reading of the list may take.
const LIST_LIMIT: Duration = Duration::from_millis(1_000);
/// Pause after an account that failed for the second time in a row, or more often.
const HOLD_RETRY: Duration = Duration::from_millis(100);
/// The most doublings of that pause where nobody has answered to this life yet: the address may be that of
/// anything, and each look is paid for.
const STRANGER_DOUBLINGS: u32 = 3;
/// Pause after an account: ends that come together are read together.
const HOLD_PAUSE: Duration = Duration::from_millis(10);

/// Reads the list again and again, and watches each worker on it.
pub async fn follow(host: &Rc<CellBox>, session: &Rc<LeadSession>) {
    let roster = host.replica.borrow().roster().clone();
    let known = session.scheduler.borrow_mut().add_roster(&roster, clock::now());
    watch_all(host, session, known);
    let mut reader = EntryReader::new(addresses_of_others(host));
    loop {
        let reading = match session.relays() {
            true => session.newest_relayed(StoreTopic::Workers).await,
            false => host.clients.store.read_newest(StoreTopic::Workers, LIST_LIMIT).await,
        };
        match reading {
            Ok(newest) => {
                let reading = reader.read(&newest.records);
                tell_unreadable(host, &reading);
                let EntryReading { entries, unreadable, .. } = reading;
                let now = clock::now();
                let new = session.scheduler.borrow_mut().update_workers(entries, &unreadable, now);
                watch_all(host, session, new);
                session.wake.notify_one();
            }
            Err(error) => warn!(host.log, "worker list not read"; "error" => %error),
        }
        tokio::time::sleep(LIST_EVERY).await;
    }
}

/// Where others than workers answer, as far as this box knows.
fn addresses_of_others(host: &CellBox) -> Vec<SocketAddr> {
    let listen = &host.settings.listen;
    let own = [listen.callers, listen.ready, listen.peers, listen.metrics, host.settings.store];
    own.into_iter().chain(host.settings.advice).collect()
}

/// Tells once of each entry that it cannot be read, and once that it can again or is gone.
fn tell_unreadable(host: &CellBox, reading: &EntryReading) {
    for (worker, error) in &reading.newly_unreadable {
        telemetry::count_unreadable_entry(error.name());
        warn!(host.log, "worker entry not readable"; "worker" => worker, "error" => %error);
    }
    for worker in &reading.recovered {
        info!(host.log, "worker entry readable or gone"; "worker" => worker);
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
    let mut failures = 0;
    loop {
        if session.ended.get() || !session.scheduler.borrow().should_poll(key) {
            break;
        }
        if !session.may_order(&host) {
            tokio::time::sleep(HOLD_PAUSE).await;
            continue;
        }
        let order = next_hold(&host, &session, key);
        // A process that stands still after the look at the term must not ask for a lease beyond it.
        if !session.may_order(&host) {
            continue;
        }
        let answered = ask_account(&host, &session, &target, key, order).await;
        failures = if answered { 0 } else { failures + 1 };
        let stranger = session.scheduler.borrow().never_answered(key);
        tokio::time::sleep(hold_pause(failures, stranger)).await;
    }
    session.scheduler.borrow_mut().stop_polling(key);
    if !session.scheduler.borrow().polls_address(target.address) {
        host.clients.http.close_idle(target.address);
    }
}

/// How long to wait before the next account, after so many failed ones in a row.
fn hold_pause(failures: u32, stranger: bool) -> Duration {
    let doublings = if stranger { failures.saturating_sub(2).min(STRANGER_DOUBLINGS) } else { 0 };
    match failures {
        0 | 1 => HOLD_PAUSE,
        _ => HOLD_RETRY * 2u32.pow(doublings),
    }
}

/// Asks a worker for its account at once, without waiting for an end.
pub async fn look(
    host: &Rc<CellBox>,
    session: &Rc<LeadSession>,
    target: &WorkerTarget,
    key: WorkerKey,
) {
    let order = HoldOrder { wait: TimeSpan(0), ..next_hold(host, session, key) };
    if !session.may_order(host) {
        return;
    }
    ask_account(host, session, target, key, order).await;
}

fn next_hold(host: &CellBox, session: &LeadSession, key: WorkerKey) -> HoldOrder {
    let store_answers = session.store_answers(host);
    session.scheduler.borrow_mut().hold_order(key, store_answers, clock::now())
}

/// Asks a worker for its account and takes it in, also when it comes late. Returns whether it came in
/// time.
async fn ask_account(
    host: &Rc<CellBox>,
    session: &Rc<LeadSession>,
    target: &WorkerTarget,
    key: WorkerKey,
    order: HoldOrder,
) -> bool {
    let sent = clock::now();
    let usual = session.order_patience.borrow().timeout();
    let limits = late::limits_for(usual);
    let waiting_limits = limits.with_wait(Duration::from_millis(order.wait.as_millis()));
    let calling = {
        let (host, target) = (host.clone(), target.clone());
        let order = order.clone();
        async move { host.clients.workers.hold(&target, &order, limits).await }
    };
    let take_late = {
        let (host, session) = (host.clone(), session.clone());
        move |answer: WorkerAnswer<HoldReport>| {
            if let WorkerAnswer::Done(_) = answer
                && !session.ended.get()
            {
                let took = clock::now().since(sent).0.saturating_sub(order.wait.0);
                session.order_patience.borrow_mut().note_answer(Duration::from_millis(took));
                take_account(&host, &session, key, answer, sent);
            }
        }
    };
    let answer = tokio::select! {
        answer = late::wait_for(calling, waiting_limits, take_late) => answer,
        // Asked again on a new connection, the worker may answer at once.
        () = host.clients.http.wait_for_replacement(target.address) => return true,
    };
    let answer = answer.unwrap_or(WorkerAnswer::Unknown);
    let answered = matches!(answer, WorkerAnswer::Done(_));
    take_account(host, session, key, answer, sent);
    answered
}

/// Takes in what came of a call for an account. If another life answered, that is asked from now on.
fn take_account(
    host: &Rc<CellBox>,
    session: &Rc<LeadSession>,
    key: WorkerKey,
    answer: WorkerAnswer<HoldReport>,
    sent: Moment,
) {
    session.scheduler.borrow_mut().hold_answered(key, answer, sent, clock::now());
    let next = session.scheduler.borrow_mut().take_new_lives();
    watch_all(host, session, next);
    session.wake.notify_one();
}

/// Where a worker takes orders.
pub fn target_of(session: &LeadSession, key: WorkerKey) -> WorkerTarget {
    let scheduler = session.scheduler.borrow();
    let entry = scheduler.entry(key);
    WorkerTarget { address: entry.address, life: entry.life.clone() }
}
