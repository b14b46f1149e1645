//! Runs the [`HallPlacer`] of each data hall that this box leads, and executes its decisions.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use sedgehill_core::ids::{Epoch, HallName, WorkerId};
use sedgehill_core::lead::HeldLead;
use sedgehill_core::placement::{
    HallPlacer, PlacementAction, PlacementDecision, StartReply, TaskStart, WorkerSync,
};
use sedgehill_core::record::RecordBody;
use sedgehill_core::units::Moment;
use sedgehill_platform::admin::DecisionRecord;
use sedgehill_platform::client::JsonClient;
use sedgehill_platform::worker::WorkerClient;
use slog::info;

use super::{ControlContext, ControlState};
use crate::clock;
use crate::telemetry;

/// Maximum time between two ticks of a hall.
const MAX_TICK_INTERVAL: Duration = Duration::from_millis(100);

/// Sends orders to the workers of a hall under one epoch of its lead. It writes nothing to the network after the lead
/// has ended, not even orders that were decided before.
pub struct OrderChannel {
    epoch: Epoch,
    // End of the lead, in milliseconds of `clock::now`; 0 after the channel was dropped.
    until: Arc<AtomicU64>,
    client: WorkerClient,
}

impl OrderChannel {
    fn new(epoch: Epoch) -> OrderChannel {
        let until = Arc::new(AtomicU64::new(0));
        let permit_until = until.clone();
        let permit = Arc::new(move || clock::now() < Moment(permit_until.load(Ordering::SeqCst)));
        OrderChannel { epoch, until, client: WorkerClient::new(JsonClient::fenced(permit)) }
    }
}

impl Drop for OrderChannel {
    fn drop(&mut self) {
        self.until.store(0, Ordering::SeqCst);
    }
}

/// Runs the placers until the process ends.
pub async fn run(context: ControlContext) {
    loop {
        let halls: Vec<HallName> = context.state.borrow().leads.keys().cloned().collect();
        for hall in halls {
            tick_hall(&context, &hall);
        }
        // Ticks again after a change, or after the interval.
        let _ = tokio::time::timeout(MAX_TICK_INTERVAL, context.placement_notify.notified()).await;
    }
}

fn tick_hall(context: &ControlContext, hall: &HallName) {
    let now = clock::now();
    let actions = {
        let mut state = context.state.borrow_mut();
        let Some(held) = held_lead(&state, hall, now) else {
            state.placers.remove(hall);
            state.order_channels.remove(hall);
            return;
        };
        renew_channel(&mut state, hall, held);
        if state.handed_over_halls.contains(hall) || !state.list_loaded {
            return;
        }
        let actions = tick_placer(&mut state, hall, held, now);
        record_decisions(&mut state, hall, held.epoch);
        actions
    };
    for action in actions {
        execute(context, hall, action, now);
    }
}

/// Extends the order channel to the current end of the lead, and replaces a channel of an earlier epoch.
fn renew_channel(state: &mut ControlState, hall: &HallName, held: HeldLead) {
    let channel =
        state.order_channels.entry(hall.clone()).or_insert_with(|| OrderChannel::new(held.epoch));
    if channel.epoch != held.epoch {
        *channel = OrderChannel::new(held.epoch);
    }
    channel.until.store(held.until.0, Ordering::SeqCst);
}

fn held_lead(state: &ControlState, hall: &HallName, now: Moment) -> Option<HeldLead> {
    state.leads.get(hall).and_then(|timer| timer.held_at(now))
}

/// Brings the placer up to date, and returns the actions that it decides on.
fn tick_placer(
    state: &mut ControlState,
    hall: &HallName,
    held: HeldLead,
    now: Moment,
) -> Vec<PlacementAction> {
    let timing = state.shared.settings.placement;
    let Some(cluster) = state.fold.state() else { return Vec::new() };
    let new_placer = || HallPlacer::new(hall.clone(), held.epoch, timing, now);
    let placer = state.placers.entry(hall.clone()).or_insert_with(new_placer);
    if placer.epoch() != held.epoch {
        *placer = new_placer();
    }
    let empty_roster = BTreeSet::new();
    let roster = cluster.halls.get(hall).map_or(&empty_roster, |hall| &hall.roster);
    placer.sync_workers(&state.list.workers, roster);
    placer.tick(cluster, now)
}

/// Counts and logs the decisions of a placer, and keeps them for operators.
fn record_decisions(state: &mut ControlState, hall: &HallName, epoch: Epoch) {
    let Some(placer) = state.placers.get_mut(hall) else { return };
    let decisions = placer.take_decisions();
    let applied = state.cluster().map(|cluster| cluster.next).unwrap_or_default();
    for decision in decisions {
        let PlacementDecision { task, result, candidates } = decision;
        let (outcome, decision_text, reason_text) = match &result {
            Ok(worker) => {
                ("placed", format!("placed on {worker}"), "the fullest worker with room".to_owned())
            }
            Err(reason) => ("waits", "waits".to_owned(), wait_text(reason)),
        };
        telemetry::count_placement(outcome);
        if state.shared.settings.log_decisions {
            info!(state.shared.log.logger, "placement";
                "task" => %task, "hall" => %hall, "epoch" => epoch.0, "decision" => &decision_text,
                "reason" => &reason_text, "candidates" => candidates, "applied" => applied.0);
        }
        let record = DecisionRecord {
            at_ms: clock::unix_ms(),
            decided_by: state.own_id().clone(),
            subject: task.to_string(),
            decision: decision_text,
            reason: reason_text,
            candidates,
            applied,
            epoch: Some(epoch),
        };
        state.record_decision(record);
    }
}

fn wait_text(reason: &sedgehill_core::placement::WaitReason) -> String {
    use sedgehill_core::placement::WaitReason;
    match reason {
        WaitReason::Recovering => "the lead is new and has not heard of every worker yet",
        WaitReason::NoRoom => "no worker of the hall has room now",
        WaitReason::NeverFits => "no worker of the hall is large enough",
        WaitReason::Regrouping => "the rest of its gang is stopped, so that all start together",
    }
    .to_owned()
}

fn execute(context: &ControlContext, hall: &HallName, action: PlacementAction, now: Moment) {
    let mut state = context.state.borrow_mut();
    let Some(epoch) = state.placers.get(hall).map(HallPlacer::epoch) else { return };
    let Some(client) = state.order_channels.get(hall).map(|channel| channel.client.clone()) else {
        return;
    };
    match action {
        PlacementAction::Start(worker, start) => {
            let order = start_task(context.clone(), client, hall.clone(), worker, start);
            tokio::task::spawn_local(order);
        }
        PlacementAction::Sync(worker, sync) => {
            let order = sync_worker(context.clone(), client, hall.clone(), worker, sync);
            tokio::task::spawn_local(order);
        }
        PlacementAction::End(ends) => {
            let body = RecordBody::EndTasks { hall: hall.clone(), epoch, ends };
            state.writer.submit_until(body, Moment(u64::MAX));
            context.writer_notify.notify_one();
        }
        PlacementAction::Roster { add, remove } => {
            let body = RecordBody::Roster { hall: hall.clone(), epoch, add, remove };
            state.writer.submit_unattended(body, now);
            context.writer_notify.notify_one();
        }
    }
}

fn worker_address(state: &ControlState, worker: &WorkerId) -> Option<std::net::SocketAddr> {
    state.list.workers.iter().find(|view| view.id == *worker).and_then(|view| view.address)
}

/// Sends a start order and reports the reply to the placer. It checks the lead again before sending, since the lead may
/// have ended while the order waited for a permit.
async fn start_task(
    context: ControlContext,
    client: WorkerClient,
    hall: HallName,
    worker: WorkerId,
    start: TaskStart,
) {
    let _permit = context.order_permits.acquire().await.expect("the semaphore is never closed");
    let address = worker_address(&context.state.borrow(), &worker);
    let sent = clock::now();
    let held = held_lead(&context.state.borrow(), &hall, sent);
    let may_start = held.is_some_and(|held| held.epoch == start.epoch);
    let reply = match address.filter(|_| may_start) {
        Some(address) => client.start(address, &start).await,
        None => StartReply::Refused,
    };
    let mut state = context.state.borrow_mut();
    let now = clock::now();
    if let Some(placer) =
        state.placers.get_mut(&hall).filter(|placer| placer.epoch() == start.epoch)
    {
        placer.handle_start_reply(&worker, start.attempt.task, reply, sent, now);
    }
}

/// Sends a sync to a worker and reports the reply to the placer.
async fn sync_worker(
    context: ControlContext,
    client: WorkerClient,
    hall: HallName,
    worker: WorkerId,
    sync: WorkerSync,
) {
    let address = worker_address(&context.state.borrow(), &worker);
    let sent = clock::now();
    let held = held_lead(&context.state.borrow(), &hall, sent);
    let may_sync = held.is_some_and(|held| held.epoch == sync.epoch);
    let reply = match address.filter(|_| may_sync) {
        Some(address) => client.sync(address, &sync).await.ok(),
        None => None,
    };
    {
        let mut state = context.state.borrow_mut();
        let now = clock::now();
        let placer = state.placers.get_mut(&hall).filter(|placer| placer.epoch() == sync.epoch);
        if let Some(placer) = placer {
            placer.handle_sync_reply(&worker, &sync, reply, sent, now);
        }
    }
    context.placement_notify.notify_one();
}
