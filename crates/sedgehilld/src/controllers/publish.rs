//! Publishes what the traffic threads need.

use std::sync::Arc;
use std::time::Duration;

use sedgehill_core::dispatch::{EndpointView, slot_share};
use sedgehill_core::ids::TemplateName;
use sedgehill_core::units::{Moment, TimeSpan};
use sedgehill_platform::admin::{BoxHealth, HealthReport};
use slog::info;

use super::{ControlContext, ControlState, members};
use crate::clock;
use crate::shared::{PAUSE_LIMIT, TrafficView};
use crate::telemetry;

const TURN: Duration = Duration::from_millis(50);
/// Turns between two looks at health and membership.
const SLOW_TURNS: u32 = 4;
/// How long a box that woke waits for the platform before it goes on with what it has.
const LOOK_LIMIT: TimeSpan = TimeSpan(3_000);
/// How long a box that hears of nobody believes that what it has is still in force.
const ISOLATION_LIMIT: TimeSpan = TimeSpan(5_000);

/// Keeps queues moving and health right for as long as the box runs.
pub async fn run(context: ControlContext) {
    let mut turns = 0;
    loop {
        for queue in context.shared.queues().values() {
            queue.turn();
        }
        turns += 1;
        if turns % SLOW_TURNS == 0 {
            publish(&context);
        }
        tokio::time::sleep(TURN).await;
    }
}

/// Publishes everything as it is now.
pub fn publish(context: &ControlContext) {
    let now = clock::now();
    if !is_awake(&mut context.state.borrow_mut(), now) {
        return;
    }
    context.shared.set_fresh(now);
    let state = context.state.borrow();
    if let Some(cluster) = state.cluster() {
        if context.shared.view.load().applied != cluster.next {
            context.shared.view.store(Arc::new(TrafficView::of(cluster)));
        }
        context.shared.set_proven(state.log_proven);
        let view = context.shared.view.load_full();
        context.shared.ensure_queues(view.services.keys());
        for (service, queue) in context.shared.queues().iter() {
            if state.list_read {
                queue.sync(endpoint_views(&state, &view, service, now));
            }
        }
    }
    publish_health(context, &state, now);
    note_gauges(context, &state, now);
}

/// Whether everything was looked at since the last pause. The controllers run many times a second,
/// so a long gap between two publications is a pause, and what was read before it may be stale.
fn is_awake(state: &mut ControlState, now: Moment) -> bool {
    if now.since(state.last_published) > PAUSE_LIMIT {
        state.woke = Some(now);
    }
    state.last_published = now;
    let Some(woke) = state.woke else { return true };
    let looked = state.log_looked >= woke && state.list_looked >= woke;
    if looked || now.since(woke) > LOOK_LIMIT {
        state.woke = None;
    }
    state.woke.is_none()
}

fn endpoint_views(
    state: &ControlState,
    view: &TrafficView,
    service: &TemplateName,
    now: Moment,
) -> Vec<EndpointView> {
    let Some(shape) = view.services.get(service) else { return Vec::new() };
    let boxes = members::working_boxes(state, now);
    let rank = boxes.iter().position(|id| id == state.me()).unwrap_or(0);
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

fn health(state: &ControlState, now: Moment) -> HealthReport {
    let not_ready = |reason: String| HealthReport { health: BoxHealth::NotReady, reason };
    if state.is_leaving() {
        let reason = "finishing what is in flight".to_owned();
        return HealthReport { health: BoxHealth::Draining, reason };
    }
    if state.cluster().is_none() {
        return not_ready(format!("has no state: the log says: {}", state.log_error));
    }
    if !state.list_read {
        return not_ready("has not read the platform's list".to_owned());
    }
    let silent = state.log_silence(now) > ISOLATION_LIMIT;
    if silent && members::is_cut_off_from_peers(state, now) {
        return not_ready("cut off from the log and from every peer".to_owned());
    }
    HealthReport { health: BoxHealth::Ready, reason: String::new() }
}

fn note_gauges(context: &ControlContext, state: &ControlState, now: Moment) {
    let applied = state.cluster().map(|cluster| cluster.next).unwrap_or_default();
    telemetry::set_gauge("sedgehill_log_applied", applied.0 as f64);
    telemetry::set_gauge("sedgehill_log_silent_seconds", state.log_silence(now).0 as f64 / 1000.0);
    telemetry::set_gauge("sedgehill_log_records_pending", state.writer.pending() as f64);
    telemetry::set_gauge("sedgehill_log_lines_dropped", context.shared.log.dropped() as f64);
    telemetry::set_gauge(
        "sedgehill_peer_connections_refused",
        context.link.refused_connections() as f64,
    );
    telemetry::set_gauge("sedgehill_requests_in_flight", context.shared.in_flight() as f64);
    telemetry::set_gauge("sedgehill_leads_held", state.placers.len() as f64);
    let double_runs: u64 = state.placers.values().map(|placer| placer.duplicate_runs()).sum();
    telemetry::set_gauge("sedgehill_double_runs", double_runs as f64);
}
