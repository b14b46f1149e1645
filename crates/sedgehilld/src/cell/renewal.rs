//! Renews the claim of a lead, and releases it.

use std::time::Duration;

use sedgehill_cell::authority::LeadRecord;
use sedgehill_cell::ids::FencingToken;
use slog::info;

use super::lead::{CLAIM_CHECK_INTERVAL, LeadSession, append_lead_record, lead_topic_end};
use super::lead_log::LeadEndReason;
use super::state::CellBox;
use crate::clock;

/// Pause after a renewal that failed.
const RENEW_RETRY_PAUSE: Duration = Duration::from_millis(100);

/// Gives up the lead. Resigns in the store if this box is stopping or should yield to a stronger one,
/// so that another box can claim at once.
pub async fn release_lead(host: &CellBox, session: &LeadSession) {
    if host.stopping.get() || session.should_yield(host) {
        resign(host, session.token).await;
    }
    host.watch.borrow_mut().step_down();
}

/// Renews the claim until it is lost or has to be given up. Returns the reason.
pub async fn renew(host: &CellBox, session: &LeadSession) -> LeadEndReason {
    let every = Duration::from_millis(host.settings.authority.renew_interval.as_millis());
    let mut pause = every;
    loop {
        tokio::select! {
            () = tokio::time::sleep(pause) => {}
            () = wait_for_stop(host) => return LeadEndReason::Stopping,
        }
        if !host.watch.borrow().is_holder() {
            return LeadEndReason::LaterToken;
        }
        if session.scheduler.borrow().is_fenced_out() {
            return LeadEndReason::FencedByWorker;
        }
        if session.should_yield(host) {
            info!(host.log, "yielding to a stronger box"; "token" => %session.token,
                "own" => %host.settings.strength, "strongest" => %host.watch.borrow().strongest());
            return LeadEndReason::Yielding;
        }
        let newest = host.watch.borrow().newest().cloned();
        let (Some(record), Some(end)) = (newest, lead_topic_end(host)) else {
            return LeadEndReason::LaterToken;
        };
        // Once the terms of all earlier leads are over, a successor need not wait for them.
        let predecessors_expired = session.scheduler.borrow().is_sole_lead(clock::now());
        let record = LeadRecord { predecessors_expired, ..record };
        pause = RENEW_RETRY_PAUSE;
        if record.token == session.token
            && append_lead_record(host, Some(session), record, end).await
        {
            pause = every;
        }
    }
}

async fn wait_for_stop(host: &CellBox) {
    while !host.stopping.get() {
        host.stop_requested.notified().await;
    }
}

/// Records in the store that this box gives no further orders.
async fn resign(host: &CellBox, token: FencingToken) {
    const MAX_TRIES: usize = 5;
    for _ in 0..MAX_TRIES {
        let newest = host.watch.borrow().newest().cloned();
        let Some(end) = lead_topic_end(host) else { return };
        let Some(record) = newest.filter(|newest| newest.token == token) else { return };
        if append_lead_record(host, None, LeadRecord { resigned: true, ..record }, end).await {
            return;
        }
        tokio::time::sleep(CLAIM_CHECK_INTERVAL).await;
    }
}
