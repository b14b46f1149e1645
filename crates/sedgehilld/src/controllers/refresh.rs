//! Makes the state of this box as new as a request, and finds out whether an idempotency key is claimed.
//!
//! The state of a box lags a little behind the log, and after a pause or an outage far behind. The box may therefore
//! tell a caller that a service does not exist, or that no request has run under a key, only after it has read the log
//! to its end again. While the log does not answer, the box asks the other boxes about a key: only a box that has
//! claimed the key sends the request to an endpoint.

use std::time::Duration;

use sedgehill_core::ids::{BoxId, IdempotencyKey, Incarnation, OrgName};
use sedgehill_core::record::RecordBody;
use sedgehill_core::units::{Moment, TimeSpan};
use sedgehill_peer::{ClaimStatus, PeerMessage};
use sedgehill_platform::log::LogClient;
use slog::info;
use tokio::sync::oneshot;
use tokio::task::JoinSet;

use super::{ControlContext, ControlState, log_reader, publish};
use crate::clock;

/// Maximum time that a request waits for the log to be read to its end.
const REFRESH_TIMEOUT: TimeSpan = TimeSpan(500);
/// Maximum time that a request waits for the answer of another box about its key.
const PEER_TIMEOUT: Duration = Duration::from_millis(300);

/// The requests that wait for the log to be read to its end.
#[derive(Debug, Default)]
pub struct RefreshQueue {
    waiting: Vec<oneshot::Sender<bool>>,
}

/// Reads the log to its end whenever a request waits for it. Requests that arrive during a read share the next one.
pub async fn run(context: ControlContext) {
    let client = LogClient::new(context.client.clone(), context.shared.settings.platform.log);
    loop {
        let waiting = std::mem::take(&mut context.state.borrow_mut().refreshes.waiting);
        if waiting.is_empty() {
            context.refresh_notify.notified().await;
            continue;
        }
        let is_current = read_to_end(&context, &client).await;
        for reply in waiting {
            // An error means that the request has timed out.
            let _ = reply.send(is_current);
        }
    }
}

/// Applies the log up to its end and publishes the state. Returns false if the log does not answer or has a gap.
async fn read_to_end(context: &ControlContext, client: &LogClient) -> bool {
    let started_at = clock::now();
    loop {
        let from = context.state.borrow().fold.next();
        let Ok(reply) = client.read(from, Duration::ZERO).await else { return false };
        log_reader::apply_reply(context, reply, started_at);
        if context.state.borrow().log_current_as_of >= started_at {
            publish::publish(context);
            return true;
        }
        if context.state.borrow().fold.next() == from {
            // The log no longer has the entries that follow the state of this box.
            return false;
        }
    }
}

/// Updates the state so that it includes every entry that was in the log at `since`. Returns whether that was done in
/// time.
pub async fn refresh_state(context: &ControlContext, since: Moment) -> bool {
    if context.state.borrow().log_current_as_of >= since {
        return true;
    }
    let (reply, replied) = oneshot::channel();
    context.state.borrow_mut().refreshes.waiting.push(reply);
    context.refresh_notify.notify_one();
    let timeout = Duration::from_millis(REFRESH_TIMEOUT.as_millis());
    matches!(tokio::time::timeout(timeout, replied).await, Ok(Ok(true)))
}

/// Finds out whether the key of a request that arrived at `since` is claimed, by a record in the log or one that a box
/// is appending.
pub async fn find_claim(
    context: &ControlContext,
    organisation: &OrgName,
    key: IdempotencyKey,
    since: Moment,
) -> ClaimStatus {
    let is_current = refresh_state(context, since).await;
    let own_status = own_claim_status(&context.state.borrow(), organisation, key);
    let status = match own_status {
        ClaimStatus::Claimed => ClaimStatus::Claimed,
        _ if is_current => ClaimStatus::Free,
        ClaimStatus::Untold => ClaimStatus::Untold,
        ClaimStatus::Free => ask_peers(context, organisation, key).await,
    };
    info!(context.shared.log.logger, "key looked up"; "organisation" => %organisation, "key" => %key,
        "sight" => format!("{status:?}"), "log_read" => is_current,
        "log_age_ms" => clock::now().since(context.state.borrow().log_current_as_of).0);
    status
}

/// Returns what this box itself knows about a key. A process that started after the key was created does not know
/// whether an earlier process of this box claimed it.
pub fn own_claim_status(
    state: &ControlState,
    organisation: &OrgName,
    key: IdempotencyKey,
) -> ClaimStatus {
    let claims = |cluster: &sedgehill_core::state::ClusterState| {
        let claims = cluster.claims.get(organisation)?;
        claims.get(&key).map(|claim| !claim.released)
    };
    let is_recorded = state.cluster().and_then(claims).unwrap_or(false);
    let is_pending = state.writer.has_pending(|body| {
        matches!(body, RecordBody::ClaimKey { organisation: owner, key: pending }
            if owner == organisation && *pending == key)
    });
    if is_recorded || is_pending {
        return ClaimStatus::Claimed;
    }
    match state.incarnation <= Incarnation(key.created_at_ms()) {
        true => ClaimStatus::Free,
        false => ClaimStatus::Untold,
    }
}

/// Asks every other listed box about a key. The key counts as free only if all of them report it as free.
async fn ask_peers(
    context: &ControlContext,
    organisation: &OrgName,
    key: IdempotencyKey,
) -> ClaimStatus {
    let message = PeerMessage::ClaimRequest { organisation: organisation.clone(), key };
    let peers: Vec<(BoxId, std::net::SocketAddr)> =
        super::members::peer_addresses(&context.state.borrow());
    let mut requests = JoinSet::new();
    for (peer, address) in peers {
        let (link, message) = (context.link.clone(), message.clone());
        requests.spawn_local(async move {
            let request = link.request(&peer, address, &message);
            match tokio::time::timeout(PEER_TIMEOUT, request).await {
                Ok(Ok(PeerMessage::ClaimReply(status))) => status,
                // A box that does not answer may have claimed the key.
                _ => ClaimStatus::Untold,
            }
        });
    }
    let statuses = requests.join_all().await;
    [ClaimStatus::Claimed, ClaimStatus::Untold]
        .into_iter()
        .find(|status| statuses.contains(status))
        .unwrap_or(ClaimStatus::Free)
}
