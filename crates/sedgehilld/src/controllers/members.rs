//! Keeps track of the other boxes and of what the platform lists.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

use sedgehill_core::ids::{BoxId, EndpointId};
use sedgehill_core::member::{BoxHeartbeat, HallCapacity, MemberState};
use sedgehill_core::units::Moment;
use sedgehill_peer::{PeerMessage, PeerRequest};
use sedgehill_platform::list::ListClient;
use tokio::sync::mpsc;

use super::{ControlContext, ControlState, proof, publish};
use crate::clock;
use crate::shared::PAUSE_LIMIT;

/// Reads the platform's list for as long as the box runs.
pub async fn read_list(context: ControlContext) {
    let client = ListClient::new(context.caller.clone(), context.shared.settings.platform.list);
    let every = Duration::from_millis(context.shared.settings.heartbeat_every.as_millis());
    loop {
        let began = clock::now();
        let result = client.fetch().await;
        let paused = clock::now().since(began) > PAUSE_LIMIT;
        if let Ok(list) = result
            && !paused
        {
            let changed = {
                let mut state = context.state.borrow_mut();
                let changed = state.list != list || !state.list_read;
                state.list = list;
                state.list_read = true;
                changed
            };
            if changed {
                publish::publish(&context);
                context.place_wanted.notify_one();
            }
        }
        context.state.borrow_mut().list_looked = began;
        tokio::time::sleep(every).await;
    }
}

/// Sends heartbeats for as long as the box runs.
pub async fn send_heartbeats(context: ControlContext) {
    let every = Duration::from_millis(context.shared.settings.heartbeat_every.as_millis());
    let mut sequence = 0;
    loop {
        sequence += 1;
        announce(&context, sequence);
        tokio::time::sleep(every).await;
    }
}

fn announce(context: &ControlContext, sequence: u64) {
    let (message, peers) = {
        let state = context.state.borrow();
        (PeerMessage::Heartbeat(own_heartbeat(&state, sequence)), peer_addresses(&state))
    };
    for (peer, address) in peers {
        let (link, message) = (context.link.clone(), message.clone());
        tokio::task::spawn_local(async move {
            // A heartbeat that is lost is followed by the next.
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
        from: state.me().clone(),
        incarnation: state.incarnation,
        sequence,
        leaving: state.is_leaving(),
        applied: state.cluster().map(|cluster| cluster.next).unwrap_or_default(),
        leaving_endpoints: listed_leaving(state).collect(),
        capacities: capacities.collect(),
    }
}

fn listed_leaving(state: &ControlState) -> impl Iterator<Item = EndpointId> {
    let leaving = state.list.endpoints.iter().filter(|endpoint| endpoint.leaving);
    leaving.map(|endpoint| endpoint.id.clone())
}

pub fn peer_addresses(state: &ControlState) -> Vec<(BoxId, SocketAddr)> {
    state
        .list
        .boxes
        .iter()
        .filter(|listing| listing.id != *state.me())
        .map(|listing| (listing.id.clone(), listing.peer_address))
        .collect()
}

/// Endpoints that are leaving, as this box or any peer has heard.
pub fn leaving_endpoints(state: &ControlState, now: Moment) -> BTreeSet<EndpointId> {
    let heard =
        state.members.heartbeats(now).flat_map(|beat| beat.leaving_endpoints.iter().cloned());
    listed_leaving(state).chain(heard).collect()
}

/// The boxes that take work, this one included, in order of name. A box that is listed counts until
/// it could have been heard of.
pub fn working_boxes(state: &ControlState, now: Moment) -> Vec<BoxId> {
    let settling = now.since(state.began) < state.shared.settings.member.gone_after;
    let mut boxes: BTreeSet<BoxId> = state.members.live(now).into_iter().collect();
    let listed = state.list.boxes.iter().filter(|listing| settling && !listing.leaving);
    boxes.extend(listed.map(|listing| listing.id.clone()));
    for listing in state.list.boxes.iter().filter(|listing| listing.leaving) {
        boxes.remove(&listing.id);
    }
    boxes.insert(state.me().clone());
    boxes.into_iter().collect()
}

/// Whether this box is listed with peers and hears of none of them.
pub fn is_cut_off_from_peers(state: &ControlState, now: Moment) -> bool {
    let mut peers = state.list.boxes.iter().filter(|listing| listing.id != *state.me()).peekable();
    peers.peek().is_some()
        && peers.all(|listing| state.members.state(&listing.id, now) >= MemberState::Suspect)
}

/// Takes in what peers say for as long as the box runs.
pub async fn take_messages(context: ControlContext, mut peers: mpsc::Receiver<PeerRequest>) {
    while let Some(request) = peers.recv().await {
        match request.message {
            PeerMessage::Heartbeat(heartbeat) => take_heartbeat(&context, heartbeat),
            PeerMessage::SnapshotRequest => {
                let cluster = context.state.borrow().cluster().cloned();
                let bytes = cluster
                    .map(|cluster| serde_json::to_vec(&cluster).expect("our types serialize"));
                if let Some(reply) = request.reply {
                    let _ = reply.send(PeerMessage::SnapshotReply(bytes));
                }
            }
            PeerMessage::ClaimRequest { organisation, key } => {
                let sight = proof::own_sight(&context.state.borrow(), &organisation, key);
                if let Some(reply) = request.reply {
                    // The box that asked may have gone.
                    let _ = reply.send(PeerMessage::ClaimReply(sight));
                }
            }
            PeerMessage::SnapshotReply(_) | PeerMessage::ClaimReply(_) => {}
        }
    }
}

fn take_heartbeat(context: &ControlContext, heartbeat: BoxHeartbeat) {
    let now = clock::now();
    let changed = {
        let mut state = context.state.borrow_mut();
        let before = (working_boxes(&state, now), leaving_endpoints(&state, now));
        state.members.record_heartbeat(heartbeat, now);
        before != (working_boxes(&state, now), leaving_endpoints(&state, now))
    };
    if changed {
        publish::publish(context);
    }
}
