//! Proves that the state of this box is as new as a request, and tells what is known of a key.
//!
//! A box follows the log a little behind, and after a pause or an outage far behind. What it lacks may stand in the
//! log, so it may not tell a caller that there is no such service, nor that a key has not run, before it has read the
//! log to its end once more. While the log does not answer the other boxes are asked: only a box that claimed a key
//! sends the request anywhere.

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

/// The longest that a request waits for a proof.
const PROOF_LIMIT: TimeSpan = TimeSpan(500);
/// The longest that a request waits for what other boxes know of its key.
const PEER_LIMIT: Duration = Duration::from_millis(300);

/// Those that wait for the next read of the log that reaches its end.
#[derive(Debug, Default)]
pub struct ProofQueue {
    waiting: Vec<oneshot::Sender<bool>>,
}

/// Reads the log to its end whenever a proof is wanted. Requests that come during a read share the next one.
pub async fn run(context: ControlContext) {
    let client = LogClient::new(context.caller.clone(), context.shared.settings.platform.log);
    loop {
        let waiting = std::mem::take(&mut context.state.borrow_mut().proofs.waiting);
        if waiting.is_empty() {
            context.proof_wanted.notified().await;
            continue;
        }
        let proven = read_to_end(&context, &client).await;
        for reply in waiting {
            // Whoever asked may have gone.
            let _ = reply.send(proven);
        }
    }
}

async fn read_to_end(context: &ControlContext, client: &LogClient) -> bool {
    let began = clock::now();
    loop {
        let from = context.state.borrow().fold.next();
        let Ok(reply) = client.read(from, Duration::ZERO).await else { return false };
        log_reader::take_reply(context, reply, began);
        if context.state.borrow().log_proven >= began {
            publish::publish(context);
            return true;
        }
        if context.state.borrow().fold.next() == from {
            // The log has forgotten what joins it to the state of this box.
            return false;
        }
    }
}

/// Brings the state up to date with all that was in the log at `since`. Returns whether that worked in time.
pub async fn prove(context: &ControlContext, since: Moment) -> bool {
    if context.state.borrow().log_proven >= since {
        return true;
    }
    let (reply, replied) = oneshot::channel();
    context.state.borrow_mut().proofs.waiting.push(reply);
    context.proof_wanted.notify_one();
    let limit = Duration::from_millis(PROOF_LIMIT.as_millis());
    matches!(tokio::time::timeout(limit, replied).await, Ok(Ok(true)))
}

/// Finds out whether the key of a request that came at `since` is claimed, in the log or on its way there.
pub async fn find_claim(
    context: &ControlContext,
    organisation: &OrgName,
    key: IdempotencyKey,
    since: Moment,
) -> ClaimStatus {
    let proven = prove(context, since).await;
    let own = own_sight(&context.state.borrow(), organisation, key);
    let sight = match own {
        ClaimStatus::Claimed => ClaimStatus::Claimed,
        _ if proven => ClaimStatus::Free,
        ClaimStatus::Untold => ClaimStatus::Untold,
        ClaimStatus::Free => ask_peers(context, organisation, key).await,
    };
    info!(context.shared.log.logger, "key looked up"; "organisation" => %organisation, "key" => %key,
        "sight" => format!("{sight:?}"), "log_read" => proven,
        "log_age_ms" => clock::now().since(context.state.borrow().log_proven).0);
    sight
}

/// What this box knows by itself of a key. One that has started since the key was made may have claimed it in an
/// earlier life, and cannot tell unless it has read the log.
pub fn own_sight(state: &ControlState, organisation: &OrgName, key: IdempotencyKey) -> ClaimStatus {
    let claims = |cluster: &sedgehill_core::state::ClusterState| {
        let claims = cluster.claims.get(organisation)?;
        claims.get(&key).map(|claim| !claim.released)
    };
    let is_claimed = state.cluster().and_then(claims).unwrap_or(false);
    let is_pending = state.writer.has_pending(|body| {
        matches!(body, RecordBody::ClaimKey { organisation: owner, key: pending }
            if owner == organisation && *pending == key)
    });
    if is_claimed || is_pending {
        return ClaimStatus::Claimed;
    }
    match state.incarnation <= Incarnation(key.created_at_ms()) {
        true => ClaimStatus::Free,
        false => ClaimStatus::Untold,
    }
}

/// Asks every listed box. The key is free only if each of them says so.
async fn ask_peers(
    context: &ControlContext,
    organisation: &OrgName,
    key: IdempotencyKey,
) -> ClaimStatus {
    let message = PeerMessage::ClaimRequest { organisation: organisation.clone(), key };
    let peers: Vec<(BoxId, std::net::SocketAddr)> =
        super::members::peer_addresses(&context.state.borrow());
    let mut questions = JoinSet::new();
    for (peer, address) in peers {
        let (link, message) = (context.link.clone(), message.clone());
        questions.spawn_local(async move {
            let question = link.request(&peer, address, &message);
            match tokio::time::timeout(PEER_LIMIT, question).await {
                Ok(Ok(PeerMessage::ClaimReply(sight))) => sight,
                // A box that is silent may have claimed it.
                _ => ClaimStatus::Untold,
            }
        });
    }
    let sights = questions.join_all().await;
    [ClaimStatus::Claimed, ClaimStatus::Untold]
        .into_iter()
        .find(|sight| sights.contains(sight))
        .unwrap_or(ClaimStatus::Free)
}
