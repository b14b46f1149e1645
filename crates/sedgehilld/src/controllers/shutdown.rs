//! A planned stop: take no further duties, finish what is in flight, hand over, exit.

use std::time::Duration;

use sedgehill_core::record::RecordBody;
use sedgehill_core::units::{Moment, TimeSpan};
use slog::info;
use tokio::signal::unix::{SignalKind, signal};

use super::{ControlContext, publish};
use crate::clock;
use crate::connection::StopPhase;

const TURN: Duration = Duration::from_millis(50);
/// Kept of the time for what is in flight, to end the connections that are idle by then.
const CLOSING_TIME: TimeSpan = TimeSpan(1_200);
/// How long handing over the leads may take.
const HAND_OVER_LIMIT: TimeSpan = TimeSpan(3_000);

/// Hands over the leads when an operator drains this box, and lets it claim again afterwards.
pub async fn follow_drain(context: ControlContext) {
    let mut was_leaving = false;
    loop {
        let leaving = context.state.borrow().is_leaving();
        if leaving && !was_leaving {
            hand_over(&context).await;
        }
        if !leaving && was_leaving {
            context.state.borrow_mut().handed_over.clear();
        }
        was_leaving = leaving;
        tokio::time::sleep(TURN).await;
    }
}

/// Waits for the signal to stop, then stops as planned.
pub async fn run(context: ControlContext) {
    wait_for_signal().await;
    info!(context.shared.log.logger, "stopping");
    context.state.borrow_mut().stopping = true;
    publish::publish(&context);
    let connections = &context.shared.connections;
    connections.begin(StopPhase::Noticing);
    hand_over(&context).await;
    let drain = &context.shared.settings.drain;
    let lag = Duration::from_millis(drain.balancer_lag.as_millis());
    tokio::time::sleep(lag).await;
    connections.begin(StopPhase::Ending);
    let end = clock::now().after(drain.limit);
    let closing = clock::now().after(TimeSpan(drain.limit.0.saturating_sub(CLOSING_TIME.0)));
    wait_while(closing, || connections.open() > 0).await;
    connections.begin(StopPhase::Closing);
    wait_while(end, || connections.open() > 0).await;
    info!(context.shared.log.logger, "stopped"; "cut_off" => context.shared.in_flight(),
        "connections" => connections.open(), "ended_idle" => connections.ended_idle());
}

async fn wait_for_signal() {
    let mut terminate = signal(SignalKind::terminate()).expect("signals can be listened to");
    let mut interrupt = signal(SignalKind::interrupt()).expect("signals can be listened to");
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
}

async fn wait_while(end: Moment, mut waiting: impl FnMut() -> bool) {
    while waiting() && clock::now() < end {
        tokio::time::sleep(TURN).await;
    }
}

/// Stops placing, lets starts under way end, and gives up the leads.
async fn hand_over(context: &ControlContext) {
    let end = clock::now().after(HAND_OVER_LIMIT);
    {
        let mut state = context.state.borrow_mut();
        let halls: Vec<_> = state.placers.keys().cloned().collect();
        state.handed_over.extend(halls);
    }
    wait_while(end, || {
        let state = context.state.borrow();
        state.placers.values().any(|placer| placer.has_pending_starts())
    })
    .await;
    release_leads(context, end);
    wait_while(end, || {
        let state = context.state.borrow();
        let now = clock::now();
        state.leads.values().any(|timer| timer.held_at(now).is_some())
    })
    .await;
}

fn release_leads(context: &ControlContext, end: Moment) {
    let mut state = context.state.borrow_mut();
    let now = clock::now();
    let held: Vec<RecordBody> = state
        .leads
        .values()
        .filter_map(|timer| Some((timer.hall().clone(), timer.held_at(now)?.epoch)))
        .map(|(hall, epoch)| RecordBody::ReleaseLead { hall, epoch })
        .collect();
    for body in held {
        state.writer.submit_until(body, end);
    }
    context.write_wanted.notify_one();
}
