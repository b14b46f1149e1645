//! Tracks the other boxes by their heartbeats, and reads the platform's list of boxes, endpoints and workers.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

use sedgehill_core::ids::{BoxId, EndpointId};
use sedgehill_core::member::{BoxHeartbeat, HallCapacity, MemberState};
use sedgehill_core::units::Moment;
use sedgehill_peer::{PeerMessage, PeerRequest};
use sedgehill_platform::list::{ListClient, ListReading, UnreadableEntry};
use slog::warn;
use tokio::sync::mpsc;

use super::{ControlContext, ControlState, publish, refresh};
use crate::clock;
use crate::shared::PAUSE_THRESHOLD;

/// Reads the platform's list until the process ends.
pub async fn read_list(context: ControlContext) {
    let client = ListClient::new(context.client.clone(), context.shared.settings.platform.list);
    let interval = Duration::from_millis(context.shared.settings.heartbeat_every.as_millis());
    let mut known_unreadable = BTreeSet::new();
    loop {
        let started_at = clock::now();
        let result = client.fetch().await;
        // A list that was fetched across a pause of the process may be stale.
        let was_paused = clock::now().since(started_at) > PAUSE_THRESHOLD;
        if let Ok(ListReading { list, unreadable }) = result
            && !was_paused
        {
            log_unreadable_entries(&context, &mut known_unreadable, unreadable);
            let changed = {
                let mut state = context.state.borrow_mut();
                let changed = state.list != list || !state.list_loaded;
                state.list = list;
                state.list_loaded = true;
                changed
            };
            if changed {
                publish::publish(&context);
                context.placement_notify.notify_one();
            }
        }
        context.state.borrow_mut().list_read_started_at = started_at;
        tokio::time::sleep(interval).await;
    }
}

/// Logs entries that cannot be read, each once for as long as it is listed.
fn log_unreadable_entries(
    context: &ControlContext,
    known: &mut BTreeSet<UnreadableEntry>,
    unreadable: Vec<UnreadableEntry>,
) {
    /// The most entries that are logged for one reading of the list.
    const MAX_LOGGED_ENTRIES: usize = 16;
    let unreadable: BTreeSet<UnreadableEntry> = unreadable.into_iter().collect();
    for entry in unreadable.difference(known).take(MAX_LOGGED_ENTRIES) {
        warn!(context.shared.log.logger, "list entry not readable"; "kind" => entry.kind,
            "entry" => &entry.text, "reason" => &entry.reason, "unreadable" => unreadable.len());
    }
    *known = unreadable;
}

/// Sends heartbeats to all other boxes until the process ends.
pub async fn send_heartbeats(context: ControlContext) {
    let interval = Duration::from_millis(context.shared.settings.heartbeat_every.as_millis());
    let mut sequence = 0;
    loop {
        sequence += 1;
        broadcast_heartbeat(&context, sequence);
        tokio::time::sleep(interval).await;
    }
}

fn broadcast_heartbeat(context: &ControlContext, sequence: u64) {
    let (message, peers) = {
        let state = context.state.borrow();
        (PeerMessage::Heartbeat(own_heartbeat(&state, sequence)), peer_addresses(&state))
    };
    for (peer, address) in peers {
        let (link, message) = (context.link.clone(), message.clone());
        tokio::task::spawn_local(async move {
            // A lost heartbeat needs no retry, since another follows.
            let _ = link.send(&peer, address, &message).await;
        });
    }
}

fn own_heartbeat(state: &ControlState, sequence: u64) -> BoxHeartbeat {
    let capacities = state.placers.iter().map(|(hall, placer)| {
        let (total, free) = placer.capacity();
        HallCapacity { hall: hall.clone(), total, free }
    });
    BoxHeartbeat {
        from: state.own_id().clone(),
        incarnation: state.incarnation,
        sequence,
        leaving: state.is_leaving(),
        applied: state.cluster().map(|cluster| cluster.next).unwrap_or_default(),
        leaving_endpoints: listed_leaving_endpoints(state).collect(),
        capacities: capacities.collect(),
    }
}

fn listed_leaving_endpoints(state: &ControlState) -> impl Iterator<Item = EndpointId> {
    let leaving = state.list.endpoints.iter().filter(|endpoint| endpoint.leaving);
    leaving.map(|endpoint| endpoint.id.clone())
}

/// Returns the other listed boxes and their addresses.
pub fn peer_addresses(state: &ControlState) -> Vec<(BoxId, SocketAddr)> {
    state
        .list
        .boxes
        .iter()
        .filter(|listing| listing.id != *state.own_id())
        .map(|listing| (listing.id.clone(), listing.peer_address))
        .collect()
}

/// Returns the endpoints that the platform's list shows as leaving, to this box or to a peer.
pub fn leaving_endpoints(state: &ControlState, now: Moment) -> BTreeSet<EndpointId> {
    let reported = state
        .members
        .heartbeats(now)
        .flat_map(|heartbeat| heartbeat.leaving_endpoints.iter().cloned());
    listed_leaving_endpoints(state).chain(reported).collect()
}

/// Returns the boxes that accept work, including this one, in order of name. For some time after its start this box
/// also counts all listed boxes, since their heartbeats may not have arrived yet.
pub fn active_boxes(state: &ControlState, now: Moment) -> Vec<BoxId> {
    let is_starting = now.since(state.started_at) < state.shared.settings.member.gone_after;
    let mut boxes: BTreeSet<BoxId> = state.members.live(now).into_iter().collect();
    let listed = state.list.boxes.iter().filter(|listing| is_starting && !listing.leaving);
    boxes.extend(listed.map(|listing| listing.id.clone()));
    for listing in state.list.boxes.iter().filter(|listing| listing.leaving) {
        boxes.remove(&listing.id);
    }
    boxes.insert(state.own_id().clone());
    boxes.into_iter().collect()
}

/// Returns whether other boxes are listed and all of them are suspect or gone.
pub fn is_cut_off_from_peers(state: &ControlState, now: Moment) -> bool {
    let mut peers =
        state.list.boxes.iter().filter(|listing| listing.id != *state.own_id()).peekable();
    peers.peek().is_some()
        && peers.all(|listing| state.members.state(&listing.id, now) >= MemberState::Suspect)
}

/// Handles the messages of other boxes until the process ends.
pub async fn handle_messages(context: ControlContext, mut requests: mpsc::Receiver<PeerRequest>) {
    while let Some(request) = requests.recv().await {
        match request.message {
            PeerMessage::Heartbeat(heartbeat) => handle_heartbeat(&context, heartbeat),
            PeerMessage::SnapshotRequest => {
                let cluster = context.state.borrow().cluster().cloned();
                let bytes = cluster
                    .map(|cluster| serde_json::to_vec(&cluster).expect("our types serialize"));
                if let Some(reply) = request.reply {
                    let _ = reply.send(PeerMessage::SnapshotReply(bytes));
                }
            }
            PeerMessage::ClaimRequest { organisation, key } => {
                let status = refresh::own_claim_status(&context.state.borrow(), &organisation, key);
                if let Some(reply) = request.reply {
                    // An error means that the connection to the other box is closed.
                    let _ = reply.send(PeerMessage::ClaimReply(status));
                }
            }
            PeerMessage::SnapshotReply(_) | PeerMessage::ClaimReply(_) => {}
        }
    }
}

fn handle_heartbeat(context: &ControlContext, heartbeat: BoxHeartbeat) {
    let now = clock::now();
    let changed = {
        let mut state = context.state.borrow_mut();
        let previous = (active_boxes(&state, now), leaving_endpoints(&state, now));
        state.members.record_heartbeat(heartbeat, now);
        previous != (active_boxes(&state, now), leaving_endpoints(&state, now))
    };
    if changed {
        publish::publish(context);
    }
}
