//! Drives the [`HallPlacer`] of each hall that this box leads.

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
use sedgehill_platform::caller::JsonCaller;
use sedgehill_platform::worker::WorkerClient;
use slog::info;

use super::{ControlContext, ControlState};
use crate::clock;
use crate::telemetry;

/// The longest time between two looks at a hall.
const TURN: Duration = Duration::from_millis(100);

/// The way of orders to the workers of one hall under one epoch. Nothing is written on it once the
/// lead has ended, also if it was decided before.
pub struct OrderLine {
    epoch: Epoch,
    until: Arc<AtomicU64>,
    client: WorkerClient,
}

impl OrderLine {
    fn new(epoch: Epoch) -> OrderLine {
        let until = Arc::new(AtomicU64::new(0));
        let limit = until.clone();
        let permit = Arc::new(move || clock::now() < Moment(limit.load(Ordering::SeqCst)));
        OrderLine { epoch, until, client: WorkerClient::new(JsonCaller::fenced(permit)) }
    }
}

impl Drop for OrderLine {
    fn drop(&mut self) {
        self.until.store(0, Ordering::SeqCst);
    }
}

/// Places for as long as the box runs.
pub async fn run(context: ControlContext) {
    loop {
        let halls: Vec<HallName> = context.state.borrow().leads.keys().cloned().collect();
        for hall in halls {
            take_turn(&context, &hall);
        }
        // Either something changed, or it is time to look again.
        let _ = tokio::time::timeout(TURN, context.place_wanted.notified()).await;
    }
}

fn take_turn(context: &ControlContext, hall: &HallName) {
    let now = clock::now();
    let actions = {
        let mut state = context.state.borrow_mut();
        let Some(held) = held_lead(&state, hall, now) else {
            state.placers.remove(hall);
            state.order_lines.remove(hall);
            return;
        };
        renew_line(&mut state, hall, held);
        if state.handed_over.contains(hall) || !state.list_read {
            return;
        }
        let actions = tick(&mut state, hall, held, now);
        note_decisions(&mut state, hall, held.epoch);
        actions
    };
    for action in actions {
        act(context, hall, action, now);
    }
}

/// Lets orders be written until the end of the lead, on a line of its epoch.
fn renew_line(state: &mut ControlState, hall: &HallName, held: HeldLead) {
    let line = state.order_lines.entry(hall.clone()).or_insert_with(|| OrderLine::new(held.epoch));
    if line.epoch != held.epoch {
        *line = OrderLine::new(held.epoch);
    }
    line.until.store(held.until.0, Ordering::SeqCst);
}

fn held_lead(state: &ControlState, hall: &HallName, now: Moment) -> Option<HeldLead> {
    state.leads.get(hall).and_then(|timer| timer.held_at(now))
}

fn tick(
    state: &mut ControlState,
    hall: &HallName,
    held: HeldLead,
    now: Moment,
) -> Vec<PlacementAction> {
    let timing = state.shared.settings.place;
    let Some(cluster) = state.fold.state() else { return Vec::new() };
    let fresh = || HallPlacer::new(hall.clone(), held.epoch, timing, now);
    let placer = state.placers.entry(hall.clone()).or_insert_with(fresh);
    if placer.epoch() != held.epoch {
        *placer = fresh();
    }
    let empty = BTreeSet::new();
    let roster = cluster.halls.get(hall).map_or(&empty, |hall| &hall.roster);
    placer.sync_workers(&state.list.workers, roster);
    placer.tick(cluster, now)
}

fn note_decisions(state: &mut ControlState, hall: &HallName, epoch: Epoch) {
    let Some(placer) = state.placers.get_mut(hall) else { return };
    let decisions = placer.take_decisions();
    let applied = state.cluster().map(|cluster| cluster.next).unwrap_or_default();
    for decision in decisions {
        let PlacementDecision { task, result, candidates } = decision;
        let (word, what, why) = match &result {
            Ok(worker) => {
                ("placed", format!("placed on {worker}"), "the fullest worker with room".to_owned())
            }
            Err(reason) => ("waits", "waits".to_owned(), wait_text(reason)),
        };
        telemetry::count_placement(word);
        if state.shared.settings.log_decisions {
            info!(state.shared.log.logger, "placement";
                "task" => %task, "hall" => %hall, "epoch" => epoch.0, "decision" => &what,
                "reason" => &why, "candidates" => candidates, "applied" => applied.0);
        }
        let record = DecisionRecord {
            at_ms: clock::unix_ms(),
            decided_by: state.me().clone(),
            subject: task.to_string(),
            decision: what,
            reason: why,
            candidates,
            applied,
            epoch: Some(epoch),
        };
        state.remember(record);
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

fn act(context: &ControlContext, hall: &HallName, action: PlacementAction, now: Moment) {
    let mut state = context.state.borrow_mut();
    let Some(epoch) = state.placers.get(hall).map(HallPlacer::epoch) else { return };
    let Some(client) = state.order_lines.get(hall).map(|line| line.client.clone()) else { return };
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
            context.write_wanted.notify_one();
        }
        PlacementAction::Roster { add, remove } => {
            let body = RecordBody::Roster { hall: hall.clone(), epoch, add, remove };
            state.writer.submit_unattended(body, now);
            context.write_wanted.notify_one();
        }
    }
}

fn address_of(state: &ControlState, worker: &WorkerId) -> Option<std::net::SocketAddr> {
    state.list.workers.iter().find(|view| view.id == *worker).and_then(|view| view.address)
}

/// Orders a start, after one more look at the clock: the lead may have lapsed meanwhile.
async fn start_task(
    context: ControlContext,
    client: WorkerClient,
    hall: HallName,
    worker: WorkerId,
    start: TaskStart,
) {
    let _order = context.orders.acquire().await.expect("it is never closed");
    let address = address_of(&context.state.borrow(), &worker);
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

async fn sync_worker(
    context: ControlContext,
    client: WorkerClient,
    hall: HallName,
    worker: WorkerId,
    sync: WorkerSync,
) {
    let address = address_of(&context.state.borrow(), &worker);
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
    context.place_wanted.notify_one();
}
