//! Reads the log and folds it; while the log is away, takes newer state from a peer.

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

/// How long the log is asked to wait for something new.
const READ_WAIT: Duration = Duration::from_secs(1);
/// Between two reads of a box that woke and waits for its other controllers to look.
const WAKING_PAUSE: Duration = Duration::from_millis(20);
/// The longest pause after a failed read, in milliseconds.
const MAX_PAUSE_MS: u64 = 500;
/// By how much of the interval a snapshot is put off at random, so that boxes do not all write one.
const SNAPSHOT_JITTER: f64 = 0.3;

/// Reads for as long as the box runs.
pub async fn run(context: ControlContext) {
    let client = LogClient::new(context.caller.clone(), context.shared.settings.platform.log);
    loop {
        let from = context.state.borrow().fold.next();
        // Before there is a state the log is not asked to wait: an empty one may stay so for long.
        let has_state = context.state.borrow().cluster().is_some();
        let is_awake = context.state.borrow().woke.is_none();
        let wait = if has_state && is_awake { READ_WAIT } else { Duration::ZERO };
        let began = clock::now();
        let result = client.read(from, wait).await;
        context.state.borrow_mut().log_looked = began;
        match result {
            Ok(reply) => {
                let idle = reply.entries.is_empty() && !has_state;
                take_reply(&context, reply, began);
                if idle && context.state.borrow().cluster().is_none() {
                    // The log has forgotten its beginning and shows no snapshot yet.
                    ask_peers(&context).await;
                    tokio::time::sleep(READ_WAIT).await;
                } else if !is_awake {
                    tokio::time::sleep(WAKING_PAUSE).await;
                }
            }
            Err(error) => {
                context.state.borrow_mut().log_error = error.to_string();
                ask_peers(&context).await;
                let pause = rand::rng().random_range(MAX_PAUSE_MS / 5..MAX_PAUSE_MS);
                tokio::time::sleep(Duration::from_millis(pause)).await;
            }
        }
    }
}

pub fn take_reply(context: &ControlContext, reply: ReadReply, began: Moment) {
    let now = clock::now();
    let changed = !reply.entries.is_empty();
    {
        let mut state = context.state.borrow_mut();
        state.log_heard = now;
        if reply.next.0 == 0 {
            state.fold.start_empty();
        }
        for entry in reply.entries {
            fold_entry(&mut state, entry, now);
        }
        if state.cluster().is_some_and(|cluster| cluster.next >= reply.next) {
            state.log_proven = state.log_proven.max(began);
        }
        consider_snapshot(&mut state);
    }
    if changed {
        after_change(context);
    }
    context.write_wanted.notify_one();
}

/// Lets the other controllers act on what is in force now.
fn after_change(context: &ControlContext) {
    super::publish::publish(context);
    context.place_wanted.notify_one();
}

fn fold_entry(state: &mut ControlState, entry: LogEntry, now: Moment) {
    note_snapshots(state, &entry);
    let verdicts = state.fold.feed(entry);
    for (id, verdict) in verdicts {
        settle(state, id, &verdict, now);
    }
    observe_leads(state, now);
}

fn note_snapshots(state: &mut ControlState, entry: &LogEntry) {
    for record in &entry.batch.records {
        if let RecordBody::Snapshot { at, .. } = &record.body {
            state.snapshot_at = state.snapshot_at.max(at.0);
        }
    }
}

fn observe_leads(state: &mut ControlState, now: Moment) {
    let Some(cluster) = state.fold.state() else { return };
    for (hall, timer) in &mut state.leads {
        let lead = cluster.halls.get(hall).and_then(|hall| hall.lead.as_ref());
        timer.observe(lead, now);
    }
}

/// Tells whoever waits for a record what became of it.
fn settle(state: &mut ControlState, id: RecordId, verdict: &RecordVerdict, now: Moment) {
    let Some(pending) = state.writer.settle(&id) else { return };
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

/// Appends a snapshot well before the log forgets what it replaces, unless another box did.
fn consider_snapshot(state: &mut ControlState) {
    let every = state.shared.settings.log.snapshot_every as f64;
    let Some(last) = state.cluster().and_then(|cluster| cluster.last_offset()) else { return };
    let due =
        state.snapshot_at as f64 + every * (1.0 + rand::rng().random_range(0.0..SNAPSHOT_JITTER));
    if (last.0 as f64) < due || state.writer.has_snapshot() {
        return;
    }
    let Some(cluster) = state.cluster().cloned() else { return };
    state.snapshot_at = last.0;
    let body = RecordBody::Snapshot { at: last, state: Box::new(cluster) };
    state.writer.submit_unattended(body, clock::now());
}

/// While the log does not answer, asks a peer that has read further.
async fn ask_peers(context: &ControlContext) {
    let Some((peer, address)) = newer_peer(&context.state.borrow()) else { return };
    let reply = context.link.request(&peer, address, &PeerMessage::SnapshotRequest).await;
    let Ok(PeerMessage::SnapshotReply(Some(bytes))) = reply else { return };
    let Ok(cluster) = serde_json::from_slice(&bytes) else {
        warn!(context.shared.log.logger, "a peer sent a snapshot that cannot be read"; "peer" => %peer);
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
        after_change(context);
    }
}

/// A peer that has applied more of the log than this box. Before the first state, any peer that has
/// one will do.
fn newer_peer(state: &ControlState) -> Option<(sedgehill_core::ids::BoxId, std::net::SocketAddr)> {
    let now = clock::now();
    let held = state.cluster().map(|cluster| cluster.next);
    let best = state
        .members
        .heartbeats(now)
        .filter(|beat| held.is_none_or(|held| beat.applied > held))
        .max_by_key(|beat| beat.applied)?;
    let listing = state.list.boxes.iter().find(|listing| listing.id == best.from)?;
    Some((listing.id.clone(), listing.peer_address))
}
