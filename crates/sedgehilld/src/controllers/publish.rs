//! Publishes the state that the traffic threads read: configuration, endpoints, health and metrics.

use std::sync::Arc;
use std::time::Duration;

use sedgehill_core::dispatch::{EndpointView, slot_share};
use sedgehill_core::ids::TemplateName;
use sedgehill_core::units::{Moment, TimeSpan};
use sedgehill_platform::admin::{BoxHealth, HealthReport};
use slog::info;

use super::{ControlContext, ControlState, members};
use crate::clock;
use crate::shared::{PAUSE_THRESHOLD, TrafficView};
use crate::telemetry;

const TICK_INTERVAL: Duration = Duration::from_millis(50);
/// Number of queue ticks between two publications.
const TICKS_PER_PUBLISH: u32 = 4;
/// How long a box waits after a pause for the log and the list, before it continues with the state that it has.
const RESUME_TIMEOUT: TimeSpan = TimeSpan(3_000);
/// How long a box that is cut off from the log and from all other boxes remains ready with the state that it has.
const ISOLATION_TIMEOUT: TimeSpan = TimeSpan(5_000);

/// Processes the dispatch queues and publishes the state until the process ends.
pub async fn run(context: ControlContext) {
    let mut ticks = 0;
    loop {
        for queue in context.shared.queues().values() {
            queue.process_waiting();
        }
        ticks += 1;
        if ticks % TICKS_PER_PUBLISH == 0 {
            publish(&context);
        }
        tokio::time::sleep(TICK_INTERVAL).await;
    }
}

/// Publishes the current state. Does nothing after a pause until the state is refreshed.
pub fn publish(context: &ControlContext) {
    let now = clock::now();
    if !check_for_pause(&mut context.state.borrow_mut(), now) {
        return;
    }
    context.shared.record_fresh(now);
    let state = context.state.borrow();
    if let Some(cluster) = state.cluster() {
        if context.shared.view.load().applied != cluster.next {
            context.shared.view.store(Arc::new(TrafficView::from_state(cluster)));
        }
        context.shared.set_current_as_of(state.log_current_as_of);
        let view = context.shared.view.load_full();
        context.shared.ensure_queues(view.services.keys());
        for (service, queue) in context.shared.queues().iter() {
            if state.list_loaded {
                queue.sync(endpoint_views(&state, &view, service, now));
            }
        }
    }
    publish_health(context, &state, now);
    set_gauges(context, &state, now);
}

/// Detects pauses of the process, and returns whether the log and the list were read since the last one. The
/// controllers run many times a second, so a long gap between two publications means that the process was paused, and
/// its state may be stale.
fn check_for_pause(state: &mut ControlState, now: Moment) -> bool {
    if now.since(state.last_published) > PAUSE_THRESHOLD {
        state.resumed_at = Some(now);
    }
    state.last_published = now;
    let Some(resumed_at) = state.resumed_at else { return true };
    let is_refreshed =
        state.log_read_started_at >= resumed_at && state.list_read_started_at >= resumed_at;
    if is_refreshed || now.since(resumed_at) > RESUME_TIMEOUT {
        state.resumed_at = None;
    }
    state.resumed_at.is_none()
}

/// Returns the endpoints of a service, with this box's share of their slots.
fn endpoint_views(
    state: &ControlState,
    view: &TrafficView,
    service: &TemplateName,
    now: Moment,
) -> Vec<EndpointView> {
    let Some(shape) = view.services.get(service) else { return Vec::new() };
    let boxes = members::active_boxes(state, now);
    let rank = boxes.iter().position(|id| id == state.own_id()).unwrap_or(0);
    let leaving = members::leaving_endpoints(state, now);
    let slots = shape.slots.min(shape.connections);
    state
        .list
        .endpoints
        .iter()
        .filter(|listing| listing.service == *service)
        .map(|listing| EndpointView {
            id: listing.id.clone(),
            hall: listing.hall.clone(),
            address: listing.address,
            share: slot_share(slots, boxes.len(), rank, &listing.id),
            leaving: leaving.contains(&listing.id),
        })
        .collect()
}

fn publish_health(context: &ControlContext, state: &ControlState, now: Moment) {
    let report = health(state, now);
    if **context.shared.health.load() != report {
        info!(context.shared.log.logger, "health";
            "health" => format!("{:?}", report.health), "reason" => &report.reason);
        context.shared.health.store(Arc::new(report));
    }
}

/// Determines whether the box is ready, draining or not ready, and why.
fn health(state: &ControlState, now: Moment) -> HealthReport {
    let not_ready = |reason: String| HealthReport { health: BoxHealth::NotReady, reason };
    if state.is_leaving() {
        let reason = "finishing what is in flight".to_owned();
        return HealthReport { health: BoxHealth::Draining, reason };
    }
    if state.cluster().is_none() {
        return not_ready(format!("has no state: the log says: {}", state.log_error));
    }
    if !state.list_loaded {
        return not_ready("has not read the platform's list".to_owned());
    }
    let is_log_silent = state.log_silence(now) > ISOLATION_TIMEOUT;
    if is_log_silent && members::is_cut_off_from_peers(state, now) {
        return not_ready("cut off from the log and from every peer".to_owned());
    }
    HealthReport { health: BoxHealth::Ready, reason: String::new() }
}

fn set_gauges(context: &ControlContext, state: &ControlState, now: Moment) {
    let applied = state.cluster().map(|cluster| cluster.next).unwrap_or_default();
    telemetry::set_gauge("sedgehill_log_applied", applied.0 as f64);
    telemetry::set_gauge("sedgehill_log_silent_seconds", state.log_silence(now).0 as f64 / 1000.0);
    telemetry::set_gauge("sedgehill_log_records_pending", state.writer.pending_count() as f64);
    telemetry::set_gauge("sedgehill_log_lines_dropped", context.shared.log.dropped() as f64);
    telemetry::set_gauge(
        "sedgehill_peer_connections_refused",
        context.link.refused_connections() as f64,
    );
    telemetry::set_gauge("sedgehill_requests_in_flight", context.shared.in_flight() as f64);
    telemetry::set_gauge("sedgehill_leads_held", state.placers.len() as f64);
    let duplicate_runs: u64 = state.placers.values().map(|placer| placer.duplicate_runs()).sum();
    telemetry::set_gauge("sedgehill_double_runs", duplicate_runs as f64);
}
