//! Renews a claim of the lead, and gives it up.

use std::time::Duration;

use sedgehill_cell::authority::LeadRecord;
use sedgehill_cell::ids::FencingToken;
use slog::info;

use super::lead::{LeadSession, WATCH_TURN, append_lead, lead_end};
use super::sight::LeadEnd;
use super::state::CellBox;
use crate::clock;

/// Pause before a renewal that failed is tried again.
const RENEW_RETRY: Duration = Duration::from_millis(100);

/// Gives up the lead, and says so if this box stops or knows of a better one.
pub async fn give_up(host: &CellBox, session: &LeadSession) {
    if host.stopping.get() || session.should_yield(host) {
        resign(host, session.token).await;
    }
    host.watch.borrow_mut().step_down();
}

/// Renews the claim until it is lost or the box stops. Returns why it does so no longer.
pub async fn renew(host: &CellBox, session: &LeadSession) -> LeadEnd {
    let every = Duration::from_millis(host.settings.authority.renew_interval.as_millis());
    let mut pause = every;
    loop {
        tokio::select! {
            () = tokio::time::sleep(pause) => {}
            () = wait_for_stop(host) => return LeadEnd::Stopping,
        }
        if !host.watch.borrow().is_holder() {
            return LeadEnd::LaterToken;
        }
        if session.scheduler.borrow().is_fenced_out() {
            return LeadEnd::FencedByWorker;
        }
        if session.should_yield(host) {
            info!(host.log, "yielding to a stronger box"; "token" => %session.token,
                "own" => %host.settings.strength, "strongest" => %host.watch.borrow().strongest());
            return LeadEnd::Yielding;
        }
        let newest = host.watch.borrow().newest().cloned();
        let (Some(record), Some(end)) = (newest, lead_end(host)) else {
            return LeadEnd::LaterToken;
        };
        // A follower need not wait for leads before this one once their terms are over.
        let sole = session.scheduler.borrow().is_sole_lead(clock::now());
        let record = LeadRecord { predecessors_expired: sole, ..record };
        pause = RENEW_RETRY;
        if record.token == session.token && append_lead(host, Some(session), record, end).await {
            pause = every;
        }
    }
}

async fn wait_for_stop(host: &CellBox) {
    while !host.stopping.get() {
        host.stop.notified().await;
    }
}

/// Tells the other boxes that this one gives no further orders.
async fn resign(host: &CellBox, token: FencingToken) {
    const TRIES: usize = 5;
    for _ in 0..TRIES {
        let newest = host.watch.borrow().newest().cloned();
        let Some(end) = lead_end(host) else { return };
        let Some(record) = newest.filter(|newest| newest.token == token) else { return };
        if append_lead(host, None, LeadRecord { resigned: true, ..record }, end).await {
            return;
        }
        tokio::time::sleep(WATCH_TURN).await;
    }
}
