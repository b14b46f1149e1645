//! Drains the box: hands over its leads, and in a planned stop also finishes the requests in flight before the process
//! exits.

use std::time::Duration;

use sedgehill_core::record::RecordBody;
use sedgehill_core::units::{Moment, TimeSpan};
use slog::info;
use tokio::signal::unix::{SignalKind, signal};

use super::{ControlContext, publish};
use crate::clock;
use crate::connection::StopPhase;

const POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Part of the drain timeout, at its end, that is reserved for closing the remaining idle connections.
const FINAL_PHASE_TIME: TimeSpan = TimeSpan(1_200);
/// Maximum time for handing over the leads.
const HAND_OVER_TIMEOUT: TimeSpan = TimeSpan(3_000);

/// Hands over the leads when the box begins to leave, and lets it claim leads again when an operator ends the drain.
pub async fn watch_drain(context: ControlContext) {
    let mut was_leaving = false;
    loop {
        let leaving = context.state.borrow().is_leaving();
        if leaving && !was_leaving {
            hand_over(&context).await;
        }
        if !leaving && was_leaving {
            context.state.borrow_mut().handed_over_halls.clear();
        }
        was_leaving = leaving;
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

/// Waits for SIGTERM or SIGINT, then performs a planned stop.
pub async fn run(context: ControlContext) {
    wait_for_signal().await;
    info!(context.shared.log.logger, "stopping");
    context.state.borrow_mut().stopping = true;
    publish::publish(&context);
    let connections = &context.shared.connections;
    connections.enter_phase(StopPhase::Announcing);
    hand_over(&context).await;
    let drain = &context.shared.settings.drain;
    let balancer_lag = Duration::from_millis(drain.balancer_lag.as_millis());
    tokio::time::sleep(balancer_lag).await;
    connections.enter_phase(StopPhase::ClosingIdle);
    let deadline = clock::now().after(drain.timeout);
    let final_phase =
        clock::now().after(TimeSpan(drain.timeout.0.saturating_sub(FINAL_PHASE_TIME.0)));
    wait_while(final_phase, || connections.open_count() > 0).await;
    connections.enter_phase(StopPhase::ClosingAllIdle);
    wait_while(deadline, || connections.open_count() > 0).await;
    info!(context.shared.log.logger, "stopped"; "cut_off" => context.shared.in_flight(),
        "connections" => connections.open_count(), "ended_idle" => connections.ended_idle());
}

async fn wait_for_signal() {
    let mut terminate = signal(SignalKind::terminate()).expect("signals can be listened to");
    let mut interrupt = signal(SignalKind::interrupt()).expect("signals can be listened to");
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
}

/// Waits while the condition holds, at most until `deadline`.
async fn wait_while(deadline: Moment, mut condition: impl FnMut() -> bool) {
    while condition() && clock::now() < deadline {
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

/// Stops placing tasks, waits for the answers to start orders in flight, and releases the leads.
async fn hand_over(context: &ControlContext) {
    let deadline = clock::now().after(HAND_OVER_TIMEOUT);
    {
        let mut state = context.state.borrow_mut();
        let halls: Vec<_> = state.placers.keys().cloned().collect();
        state.handed_over_halls.extend(halls);
    }
    wait_while(deadline, || {
        let state = context.state.borrow();
        state.placers.values().any(|placer| placer.has_pending_starts())
    })
    .await;
    release_leads(context, deadline);
    wait_while(deadline, || {
        let state = context.state.borrow();
        let now = clock::now();
        state.leads.values().any(|timer| timer.held_at(now).is_some())
    })
    .await;
}

/// Submits a release of each lead that the box holds.
fn release_leads(context: &ControlContext, expires_at: Moment) {
    let mut state = context.state.borrow_mut();
    let now = clock::now();
    let releases: Vec<RecordBody> = state
        .leads
        .values()
        .filter_map(|timer| Some((timer.hall().clone(), timer.held_at(now)?.epoch)))
        .map(|(hall, epoch)| RecordBody::ReleaseLead { hall, epoch })
        .collect();
    for body in releases {
        state.writer.submit_until(body, expires_at);
    }
    context.writer_notify.notify_one();
}
