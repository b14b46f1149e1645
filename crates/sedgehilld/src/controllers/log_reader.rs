//! Reads the log and folds its entries into the cluster state. While the log does not answer, adopts newer state of a
//! peer.

use std::time::Duration;

use rand::Rng;
use sedgehill_core::ids::{RecordId, Version};
use sedgehill_core::record::{LogEntry, RecordBody};
use sedgehill_core::state::RecordVerdict;
use sedgehill_core::units::Moment;
use sedgehill_peer::PeerMessage;
use sedgehill_platform::log::{LogClient, ReadReply};
use slog::{info, warn};

use super::{ControlContext, ControlState};
use crate::clock;

/// How long the log waits for a new entry before it answers a read.
const LONG_POLL_TIMEOUT: Duration = Duration::from_secs(1);
/// Interval of reads after a pause of the process, until the other controllers have refreshed their state.
const RESUME_READ_INTERVAL: Duration = Duration::from_millis(20);
/// Maximum delay after a failed read, in milliseconds.
const MAX_RETRY_DELAY_MS: u64 = 500;
/// Maximum random delay of a snapshot, as a fraction of the snapshot interval. It keeps boxes from all writing a
/// snapshot at once.
const SNAPSHOT_JITTER: f64 = 0.3;

/// Reads the log until the process ends.
pub async fn run(context: ControlContext) {
    let client = LogClient::new(context.client.clone(), context.shared.settings.platform.log);
    loop {
        let from = context.state.borrow().fold.next();
        // Without a state the read does not wait, because an empty log may stay empty for long.
        let has_state = context.state.borrow().cluster().is_some();
        let is_refreshed = context.state.borrow().resumed_at.is_none();
        let wait = if has_state && is_refreshed { LONG_POLL_TIMEOUT } else { Duration::ZERO };
        let started_at = clock::now();
        let result = client.read(from, wait).await;
        context.state.borrow_mut().log_read_started_at = started_at;
        match result {
            Ok(reply) => {
                let is_stateless = reply.entries.is_empty() && !has_state;
                apply_reply(&context, reply, started_at);
                if is_stateless && context.state.borrow().cluster().is_none() {
                    // The log no longer has its first entries, and no snapshot was read yet.
                    adopt_peer_state(&context).await;
                    tokio::time::sleep(LONG_POLL_TIMEOUT).await;
                } else if !is_refreshed {
                    tokio::time::sleep(RESUME_READ_INTERVAL).await;
                }
            }
            Err(error) => {
                context.state.borrow_mut().log_error = error.to_string();
                adopt_peer_state(&context).await;
                let delay_ms = rand::rng().random_range(MAX_RETRY_DELAY_MS / 5..MAX_RETRY_DELAY_MS);
                tokio::time::sleep(Duration::from_millis(delay_ms)).await;
            }
        }
    }
}

/// Folds the entries of a reply into the state. The read was started at `started_at`.
pub fn apply_reply(context: &ControlContext, reply: ReadReply, started_at: Moment) {
    let now = clock::now();
    let changed = !reply.entries.is_empty();
    for (offset, reason) in &reply.foreign {
        warn!(context.shared.log.logger, "log entry of another writer passed over";
            "offset" => offset.0, "reason" => reason);
    }
    {
        let mut state = context.state.borrow_mut();
        state.last_log_reply_at = now;
        if reply.next.0 == 0 {
            state.fold.start_empty();
        }
        for entry in reply.entries {
            fold_entry(&mut state, entry, now);
        }
        if state.cluster().is_some_and(|cluster| cluster.next >= reply.next) {
            state.log_current_as_of = state.log_current_as_of.max(started_at);
        }
        submit_snapshot_if_due(&mut state);
    }
    if changed {
        publish_change(context);
    }
    context.writer_notify.notify_one();
}

/// Publishes the changed state and wakes the placement controller.
fn publish_change(context: &ControlContext) {
    super::publish::publish(context);
    context.placement_notify.notify_one();
}

fn fold_entry(state: &mut ControlState, entry: LogEntry, now: Moment) {
    record_snapshots(state, &entry);
    let verdicts = state.fold.feed(entry);
    for (id, verdict) in verdicts {
        handle_verdict(state, id, &verdict, now);
    }
    observe_leads(state, now);
}

/// Records up to which offset the snapshots of an entry cover the log.
fn record_snapshots(state: &mut ControlState, entry: &LogEntry) {
    for record in &entry.batch.records {
        if let RecordBody::Snapshot { at, .. } = &record.body {
            state.last_snapshot = state.last_snapshot.max(at.0);
        }
    }
}

/// Informs the lead timers about the recorded leads.
fn observe_leads(state: &mut ControlState, now: Moment) {
    let Some(cluster) = state.fold.state() else { return };
    for (hall, timer) in &mut state.leads {
        let lead = cluster.halls.get(hall).and_then(|hall| hall.lead.as_ref());
        timer.observe(lead, now);
    }
}

/// Acts on the verdict on a record of this box, and sends it to the task that waits for the record.
fn handle_verdict(state: &mut ControlState, id: RecordId, verdict: &RecordVerdict, now: Moment) {
    let Some(pending) = state.writer.remove(&id) else { return };
    observe_leads(state, now);
    if let (RecordVerdict::Accepted { at }, Some(sent)) = (verdict, pending.first_sent) {
        match &pending.record.body {
            RecordBody::ClaimLead { hall, .. } => {
                let epoch = sedgehill_core::ids::Epoch(at.0);
                info!(state.shared.log.logger, "lead claimed"; "hall" => %hall, "epoch" => epoch.0);
                if let Some(timer) = state.leads.get_mut(hall) {
                    timer.record_confirmation(epoch, sent);
                }
            }
            RecordBody::RenewLead { hall, epoch } => {
                if let Some(timer) = state.leads.get_mut(hall) {
                    timer.record_confirmation(*epoch, sent);
                }
            }
            RecordBody::Publish { spec, .. } => {
                info!(state.shared.log.logger, "configuration accepted";
                    "key" => %spec.key(), "version" => Version(at.0).0);
            }
            _ => {}
        }
    }
    if let Some(reply) = pending.reply {
        let _ = reply.send(verdict.clone());
    }
}

/// Submits a snapshot once enough entries follow the last one of any box, well before the log drops old entries.
fn submit_snapshot_if_due(state: &mut ControlState) {
    let interval = state.shared.settings.log.snapshot_every as f64;
    let Some(last) = state.cluster().and_then(|cluster| cluster.last_offset()) else { return };
    let due = state.last_snapshot as f64
        + interval * (1.0 + rand::rng().random_range(0.0..SNAPSHOT_JITTER));
    if (last.0 as f64) < due || state.writer.has_snapshot() {
        return;
    }
    let Some(cluster) = state.cluster().cloned() else { return };
    state.last_snapshot = last.0;
    let body = RecordBody::Snapshot { at: last, state: Box::new(cluster) };
    state.writer.submit_unattended(body, clock::now());
}

/// Adopts the state of a peer that has applied more of the log, if there is one.
async fn adopt_peer_state(context: &ControlContext) {
    let Some((peer, address)) = find_newer_peer(&context.state.borrow()) else { return };
    let reply = context.link.request(&peer, address, &PeerMessage::SnapshotRequest).await;
    let Ok(PeerMessage::SnapshotReply(Some(bytes))) = reply else { return };
    let Ok(cluster) = serde_json::from_slice(&bytes) else {
        warn!(context.shared.log.logger, "state of a peer not readable"; "peer" => %peer);
        return;
    };
    let adopted = {
        let mut state = context.state.borrow_mut();
        let adopted = state.fold.adopt(cluster);
        observe_leads(&mut state, clock::now());
        adopted
    };
    if adopted {
        info!(context.shared.log.logger, "state taken from a peer"; "peer" => %peer);
        publish_change(context);
    }
}

/// Returns the peer that has applied the most of the log, if that is more than this box. Any peer counts if this box
/// has no state.
fn find_newer_peer(
    state: &ControlState,
) -> Option<(sedgehill_core::ids::BoxId, std::net::SocketAddr)> {
    let now = clock::now();
    let own_applied = state.cluster().map(|cluster| cluster.next);
    let newest = state
        .members
        .heartbeats(now)
        .filter(|heartbeat| own_applied.is_none_or(|applied| heartbeat.applied > applied))
        .max_by_key(|heartbeat| heartbeat.applied)?;
    let listing = state.list.boxes.iter().find(|listing| listing.id == newest.from)?;
    Some((listing.id.clone(), listing.peer_address))
}
