//! Keeps the link of this box to the lead.
//!
//! Over the link the box submits callers' jobs, receives the records that the lead reads or writes,
//! and queries the advice service for the lead. It also notices at once if the lead's process has
//! ended. Losing the link only costs time and calls to the store: everything durable or agreed goes
//! through the store.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use sedgehill_adapter::store::KeyedRecord;
use sedgehill_core::units::{Moment, TimeSpan};
use slog::{info, warn};
use tokio::net::TcpStream;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::sync::mpsc;

use super::frames::{PeerFrame, TopicRecords, TopicSummary, ViewProof, read_frame, write_frame};
use super::lead_link::LeadLink;
use super::state::CellBox;
use super::{apply, orders, relay};
use crate::clock;

/// A lead that has sent nothing for longer than this counts as lost. It sends a ping every 300 ms.
const LEAD_SILENT_AFTER: Duration = Duration::from_millis(900);
/// The connection is replaced once the lead has sent nothing on it for this long: it may have
/// fallen silent while the lead is alive.
const RECONNECT_AFTER: Duration = Duration::from_millis(400);
/// Pause before the next attempt to connect.
const RECONNECT_PAUSE: Duration = Duration::from_millis(100);
/// Timeout of an attempt to connect.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(600);
/// Time between two probes of the lead's views.
const PROBE_INTERVAL: Duration = Duration::from_millis(300);
/// Time after which a box that was not sent the job states asks for them again. After a restart of
/// all boxes the answers share the lead's link, and each further question adds one.
const ASK_AGAIN_AFTER: Duration = Duration::from_millis(2_000);
/// The most frames that wait to be sent. A link with a longer backlog is useless.
const OUTBOX_CAPACITY: usize = 1_024;

/// Keeps a link to the lead, whichever box that is.
pub async fn run(host: Rc<CellBox>) {
    loop {
        let Some(address) = lead_address(&host) else {
            pause_or_lead_change(&host).await;
            continue;
        };
        let connecting = tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(address));
        match unless_lead_moves(&host, address, connecting).await {
            Some(Ok(Ok(stream))) => {
                let serving = serve_connection(&host, stream, address);
                let result = unless_lead_moves(&host, address, serving).await;
                if let Some(Err(error)) = result {
                    warn!(host.log, "link to the lead lost"; "error" => %error);
                }
            }
            Some(Ok(Err(error))) if is_connection_refused(&error) => {
                host.watch.borrow_mut().note_connection_refused()
            }
            // A timeout or another error does not tell whether the lead's process has ended.
            Some(Ok(Err(_)) | Err(_)) | None => {}
        }
        if let Some(link) = host.link.take() {
            link.close();
        }
        host.stands_by.set(false);
        host.lead_doubted.notify_waiters();
        if lead_address(&host).is_none_or(|current| current == address) {
            host.watch.borrow_mut().note_reachable(false);
            host.lead_record_stale.notify_waiters();
            pause_or_lead_change(&host).await;
        }
    }
}

/// Waits before the next attempt, or until the lead changes.
async fn pause_or_lead_change(host: &CellBox) {
    tokio::select! {
        () = tokio::time::sleep(RECONNECT_PAUSE) => {}
        () = host.lead_changed.notified() => {}
    }
}

/// Runs `work` with the lead at `address`, but returns none as soon as another box leads. Without
/// this, an attempt to connect to a machine that lost power, or a silent link to it, kept boxes for
/// 0.6 s from connecting to a successor that they knew already, and the successor had no boxes to
/// query the advice service.
async fn unless_lead_moves<T>(
    host: &CellBox,
    address: SocketAddr,
    work: impl Future<Output = T>,
) -> Option<T> {
    tokio::select! {
        output = work => Some(output),
        () = wait_for_other_lead(host, address) => None,
    }
}

/// Returns once a box at another address leads. If the lead merely resigns, this keeps waiting: it
/// may still answer what it has accepted.
async fn wait_for_other_lead(host: &CellBox, address: SocketAddr) {
    loop {
        // Registered before the check, so that no change is missed.
        let changed = host.lead_changed.notified();
        if lead_address(host).is_some_and(|current| current != address) {
            return;
        }
        changed.await;
    }
}

/// Returns whether an error means that nothing listens at the address.
fn is_connection_refused(error: &std::io::Error) -> bool {
    use std::io::ErrorKind::{ConnectionRefused, ConnectionReset};
    matches!(error.kind(), ConnectionRefused | ConnectionReset)
}

fn lead_address(host: &CellBox) -> Option<SocketAddr> {
    let watch = host.watch.borrow();
    let newest = watch.newest().filter(|newest| !newest.resigned)?;
    if watch.is_holder() {
        return None;
    }
    newest.peer_address.parse().ok()
}

/// Serves a link to the lead until it is lost or another box leads. A connection that fell silent is
/// replaced.
async fn serve_connection(
    host: &Rc<CellBox>,
    stream: TcpStream,
    address: SocketAddr,
) -> std::io::Result<()> {
    let (outbox, mut queue) = mpsc::channel(OUTBOX_CAPACITY);
    let link = Rc::new(LeadLink::new(outbox));
    let mut stream = stream;
    let mut timeout = LEAD_SILENT_AFTER;
    loop {
        stream.set_nodelay(true)?;
        let (reader, mut writer) = stream.into_split();
        let hello = PeerFrame::Hello {
            name: host.settings.name.clone(),
            strength: host.settings.strength,
            takes_refusals: true,
        };
        // The process at the address may be another one than before.
        link.takes_unsettled.set(false);
        write_frame(&mut writer, &hello).await?;
        for frame in link.pending_frames() {
            write_frame(&mut writer, &frame).await?;
        }
        *host.link.borrow_mut() = Some(link.clone());
        let link_end = tokio::select! {
            result = send_frames(host, &link, writer, &mut queue) => return result,
            result = receive_frames(host, &link, reader, address, timeout) => result?,
        };
        match link_end {
            LinkEnd::OtherLead => return Ok(()),
            LinkEnd::Replaced(new_stream) => stream = new_stream,
        }
        info!(host.log, "quiet link to the lead replaced"; "lead" => %address);
        timeout = LEAD_SILENT_AFTER.saturating_sub(RECONNECT_AFTER);
    }
}

/// The reason why a connection to the lead is no longer used.
enum LinkEnd {
    /// Another box leads.
    OtherLead,
    /// The connection was silent, and a new one has been made.
    Replaced(TcpStream),
}

/// Waits for a frame. If none arrives within [`RECONNECT_AFTER`], connects again, since the old
/// connection may have fallen silent. The kernel accepts connections even for a frozen process, so
/// a replacement gets only the rest of [`LEAD_SILENT_AFTER`] and is not replaced itself.
async fn next_frame(
    reader: &mut OwnedReadHalf,
    address: SocketAddr,
    timeout: Duration,
) -> std::io::Result<Result<PeerFrame, TcpStream>> {
    let silent = || std::io::Error::other("the lead has sent nothing for too long");
    let mut reading = std::pin::pin!(read_frame(reader));
    let is_replacement = timeout < LEAD_SILENT_AFTER;
    let first_timeout = if is_replacement { timeout } else { RECONNECT_AFTER };
    if let Ok(frame) = tokio::time::timeout(first_timeout, reading.as_mut()).await {
        return frame.map(Ok);
    }
    if is_replacement {
        return Err(silent());
    }
    let waiting = async {
        tokio::select! {
            frame = reading.as_mut() => frame.map(Ok),
            stream = TcpStream::connect(address) => stream.map(Err),
        }
    };
    tokio::time::timeout(LEAD_SILENT_AFTER - RECONNECT_AFTER, waiting)
        .await
        .map_err(|_| silent())?
}

/// Sends queued frames and regular probes.
async fn send_frames(
    host: &CellBox,
    link: &LeadLink,
    mut writer: OwnedWriteHalf,
    queue: &mut mpsc::Receiver<PeerFrame>,
) -> std::io::Result<()> {
    let mut probes = tokio::time::interval(PROBE_INTERVAL);
    probes.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    let mut asked_summaries_at = None;
    loop {
        let frame = tokio::select! {
            Some(frame) = queue.recv() => frame,
            _ = probes.tick() => {
                link.drop_abandoned();
                let is_due = asked_summaries_at.is_none_or(|at: Instant| at.elapsed() >= ASK_AGAIN_AFTER);
                if host.defers_reads() && is_due {
                    asked_summaries_at = Some(Instant::now());
                    write_frame(&mut writer, &PeerFrame::AskSummaries).await?;
                }
                let number = link.next_request_number();
                link.last_probe.set(Some((number, clock::now())));
                PeerFrame::Probe { number, store_answers: host.may_relay() }
            }
        };
        write_frame(&mut writer, &frame).await?;
    }
}

/// Handles the frames of the lead until the connection has to be replaced or another box leads.
async fn receive_frames(
    host: &Rc<CellBox>,
    link: &LeadLink,
    mut reader: OwnedReadHalf,
    address: SocketAddr,
    first_timeout: Duration,
) -> std::io::Result<LinkEnd> {
    let mut timeout = first_timeout;
    // Whether the lead of this link has this box stand by.
    let mut is_standby = false;
    host.stands_by.set(false);
    loop {
        let frame = match next_frame(&mut reader, address, timeout).await? {
            Ok(frame) => frame,
            Err(stream) => return Ok(LinkEnd::Replaced(stream)),
        };
        timeout = LEAD_SILENT_AFTER;
        match frame {
            PeerFrame::Ping { store_answers, strongest, takes_unsettled } => {
                if takes_unsettled && !link.takes_unsettled.replace(true) {
                    host.report_unsettled(link);
                }
                link.note_store_answers(store_answers);
                host.note_lead_heard();
                let mut watch = host.watch.borrow_mut();
                match store_answers {
                    true => watch.note_lead_healthy(clock::now()),
                    false => {
                        watch.note_reachable(false);
                        host.lead_doubted.notify_waiters();
                    }
                }
                watch.note_strength(strongest);
            }
            PeerFrame::AskAdvice(question) => {
                let (host, outbox) = (host.clone(), link.outbox.clone());
                tokio::task::spawn_local(async move {
                    let answer = orders::query_advice_service(&host, &question).await;
                    let valid = answer.as_ref().map_or(TimeSpan(0), |answer| answer.valid);
                    let allowed = answer.map(|answer| answer.allowed);
                    // Without a link nobody waits for the answer.
                    let _ = outbox.send(PeerFrame::Advice { question, allowed, valid }).await;
                });
            }
            PeerFrame::Submitted { number, outcome } => link.complete_submission(number, outcome),
            PeerFrame::Relay { number, call } => {
                let (host, outbox) = (host.clone(), link.outbox.clone());
                tokio::task::spawn_local(async move {
                    let answer = relay::execute(&host, call).await;
                    // Without a link nobody waits for the answer.
                    let _ = outbox.send(PeerFrame::Relayed { number, answer }).await;
                });
            }
            PeerFrame::State { number, answer } => link.complete_state(number, answer),
            PeerFrame::Records(records) => apply_records(host, records),
            PeerFrame::Summary(summary) => apply_summary(host, summary),
            PeerFrame::Config(record) => apply::apply_config(host, record.into()),
            PeerFrame::StandBy(stands_by) => {
                info!(host.log, "role"; "stands_by" => stands_by, "whole" => host.can_lead());
                match stands_by {
                    true => {
                        host.set_query_mode(false);
                        host.reload_full_records();
                    }
                    false if !host.lead_sends_summaries.get() => host.set_query_mode(true),
                    false => {}
                }
                is_standby = stands_by;
                host.stands_by.set(stands_by);
                host.lead_doubted.notify_waiters();
            }
            PeerFrame::SendsSummaries(sends) => {
                info!(host.log, "role"; "stands_by" => is_standby, "told_states" => sends);
                host.lead_sends_summaries.set(sends);
                if !is_standby {
                    host.set_query_mode(!sends);
                }
                if sends && !is_standby && host.progress_view.offset.get().is_none() {
                    // A link with a full outbox is useless.
                    let _ = link.outbox.try_send(PeerFrame::AskSummaries);
                }
            }
            PeerFrame::Waiting { number, count } => link.complete_count(number, count),
            PeerFrame::Proof { number, proof: Some(proof) } => {
                if let Some((asked, sent)) = link.last_probe.get()
                    && asked == number
                {
                    apply_proof(host, &proof, sent);
                    link.fetch_missing(host, &proof);
                }
            }
            PeerFrame::Proof { proof: None, .. }
            | PeerFrame::Hello { .. }
            | PeerFrame::Advice { .. }
            | PeerFrame::Submit { .. }
            | PeerFrame::AskState { .. }
            | PeerFrame::Relayed { .. }
            | PeerFrame::Fetch { .. }
            | PeerFrame::AskSummaries
            | PeerFrame::AskWaiting { .. }
            | PeerFrame::Unsettled(_)
            | PeerFrame::Probe { .. } => {}
        }
        if lead_address(host) != Some(address) {
            return Ok(LinkEnd::OtherLead);
        }
    }
}

/// Applies records that continue what this box has read. Other records are read from the store.
fn apply_records(host: &CellBox, received: TopicRecords) {
    let Some(view) = host.view(received.topic) else { return };
    let (from, end) = (received.from, received.end());
    let Some(known) = view.offset.get().filter(|known| (from..end).contains(known)) else { return };
    for (key, value) in received.records.into_iter().skip((known - from) as usize) {
        apply::apply(host, received.topic, &KeyedRecord { key, value: value.into() });
    }
    view.offset.set(Some(end));
}

/// Applies job states that continue what this box knows. Records missing before them are read from
/// the store.
fn apply_summary(host: &CellBox, summary: TopicSummary) {
    let Some(view) = host.view(summary.topic) else { return };
    if host.watch.borrow().is_holder() || host.stands_by.get() {
        // A box that has claimed the lead or stands by needs full records. States that it asked for
        // before it was told to stand by arrive after that.
        return;
    }
    let (from, end) = (summary.from, summary.end);
    let continues = match view.offset.get() {
        Some(known) => (from..end).contains(&known),
        // The summary starts at the first record of the topic.
        None => from == 0 && !view.full_records.get(),
    };
    if !continues {
        return;
    }
    for job_summary in summary.jobs {
        host.replica.borrow_mut().apply_summary(job_summary, clock::now());
    }
    if view.full_records.replace(false) {
        info!(host.log, "told states alone"; "topic" => ?summary.topic, "end" => end);
    }
    view.offset.set(Some(end));
}

/// Applies the proof that answers a probe sent at `sent`: views that reach as far as the lead's
/// were complete at `sent` less the age in the proof.
fn apply_proof(host: &CellBox, proof: &ViewProof, sent: Moment) {
    let moment_before = |age: TimeSpan| Moment(sent.0.saturating_sub(age.0));
    if host.config.borrow().version >= proof.config {
        host.config_view.note_confirmed(moment_before(proof.config_age));
    }
    let reaches = |offset: Option<u64>, end: u64| offset.is_some_and(|offset| offset >= end);
    if reaches(host.jobs_view.offset.get(), proof.jobs_end) {
        host.jobs_view.note_confirmed(moment_before(proof.cell_age));
    }
    if reaches(host.progress_view.offset.get(), proof.progress_end) {
        host.progress_view.note_confirmed(moment_before(proof.cell_age));
    }
}
