//! The link of a box to the lead.
//!
//! Over it the box hands callers' jobs to the lead, is fed with the records that the lead reads or
//! writes, and asks the advice service on the lead's behalf. It also learns at once when the lead's
//! process is gone. Losing a link costs time and calls to the store only: all that must last or be
//! agreed on goes through the store.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use sedgehill_adapter::store::KeyedRecord;
use sedgehill_core::units::{Moment, TimeSpan};
use slog::{info, warn};
use tokio::net::TcpStream;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::sync::mpsc;

use super::frames::{FedBriefs, FedRecords, PeerFrame, ViewProof, read_frame, write_frame};
use super::lead_link::LeadLink;
use super::state::CellBox;
use super::{apply, orders, relay};
use crate::clock;

/// A lead that was silent for longer on the link is taken as lost. It speaks every 300 ms.
const SILENCE: Duration = Duration::from_millis(900);
/// A link on which the lead was silent for longer is replaced: the connection may have fallen silent while
/// the lead lives.
const QUIET: Duration = Duration::from_millis(400);
/// Pause before the lead is connected to again.
const CONNECT_PAUSE: Duration = Duration::from_millis(100);
/// How long a connection may take to be made.
const CONNECT_LIMIT: Duration = Duration::from_millis(600);
/// Time between two questions how far the lead's views reach.
const PROBE_EVERY: Duration = Duration::from_millis(300);
/// Frames that may wait to be sent. A link that is so far behind is of no use.
const OUTBOX_LENGTH: usize = 1_024;

/// Keeps a link to whoever leads.
pub async fn keep(host: Rc<CellBox>) {
    loop {
        let Some(address) = lead_address(&host) else {
            pause(&host).await;
            continue;
        };
        let connecting = tokio::time::timeout(CONNECT_LIMIT, TcpStream::connect(address));
        match unless_led_elsewhere(&host, address, connecting).await {
            Some(Ok(Ok(stream))) => {
                let holding = hold(&host, stream, address);
                let ended = unless_led_elsewhere(&host, address, holding).await;
                if let Some(Err(error)) = ended {
                    warn!(host.log, "link to the lead lost"; "error" => %error);
                }
            }
            Some(Ok(Err(error))) if is_refusal(&error) => {
                host.watch.borrow_mut().note_connection_refused()
            }
            // Silence says nothing of the lead's process.
            Some(Ok(Err(_)) | Err(_)) | None => {}
        }
        if let Some(link) = host.link.take() {
            link.give_up();
        }
        if lead_address(&host).is_none_or(|current| current == address) {
            host.watch.borrow_mut().note_reachable(false);
            host.lead_doubted.notify_waiters();
            pause(&host).await;
        }
    }
}

/// Waits before the next try, or until another box leads.
async fn pause(host: &CellBox) {
    tokio::select! {
        () = tokio::time::sleep(CONNECT_PAUSE) => {}
        () = host.lead_changed.notified() => {}
    }
}

/// Waits for what is done with the lead at `address`, unless another box leads meanwhile. None if one does. A
/// dial to a machine without power, or a quiet link to it, kept boxes for 0.6 s from a successor that was known
/// already; meanwhile that had nobody to ask advice through.
async fn unless_led_elsewhere<T>(
    host: &CellBox,
    address: SocketAddr,
    work: impl Future<Output = T>,
) -> Option<T> {
    tokio::select! {
        done = work => Some(done),
        () = led_elsewhere(host, address) => None,
    }
}

/// Returns once a box at another address leads. A lead that has resigned may still answer what it took.
async fn led_elsewhere(host: &CellBox, address: SocketAddr) {
    loop {
        // Begun before the look, so that no change is missed.
        let changed = host.lead_changed.notified();
        if lead_address(host).is_some_and(|current| current != address) {
            return;
        }
        changed.await;
    }
}

/// Whether an error says that nothing listens there.
fn is_refusal(error: &std::io::Error) -> bool {
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

async fn hold(host: &Rc<CellBox>, stream: TcpStream, address: SocketAddr) -> std::io::Result<()> {
    let (outbox, mut queue) = mpsc::channel(OUTBOX_LENGTH);
    let link = Rc::new(LeadLink::new(outbox));
    let mut stream = stream;
    let mut patience = SILENCE;
    loop {
        stream.set_nodelay(true)?;
        let (reader, mut writer) = stream.into_split();
        let hello =
            PeerFrame::Hello { name: host.settings.name.clone(), strength: host.settings.strength };
        write_frame(&mut writer, &hello).await?;
        for frame in link.pending_frames() {
            write_frame(&mut writer, &frame).await?;
        }
        *host.link.borrow_mut() = Some(link.clone());
        let end = tokio::select! {
            result = send(host, &link, writer, &mut queue) => return result,
            result = receive(host, &link, reader, address, patience) => result?,
        };
        match end {
            LinkEnd::OtherLead => return Ok(()),
            LinkEnd::Replaced(new) => stream = new,
        }
        info!(host.log, "quiet link to the lead replaced"; "lead" => %address);
        patience = SILENCE.saturating_sub(QUIET);
    }
}

/// Why a connection to the lead is not used any more.
enum LinkEnd {
    /// Another box leads.
    OtherLead,
    /// It was quiet, and there is a new one.
    Replaced(TcpStream),
}

/// Waits for a frame. If none comes for a while, a new connection is made: it may work where the old one has
/// fallen silent. The machine takes connections for a process that stands still, so a new one has only what is
/// left of the time after which a lead counts as silent.
async fn next_frame(
    reader: &mut OwnedReadHalf,
    address: SocketAddr,
    patience: Duration,
) -> std::io::Result<Result<PeerFrame, TcpStream>> {
    let silent = || std::io::Error::other("the lead is silent");
    let mut reading = std::pin::pin!(read_frame(reader));
    let is_replacement = patience < SILENCE;
    let first = if is_replacement { patience } else { QUIET };
    if let Ok(frame) = tokio::time::timeout(first, reading.as_mut()).await {
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
    tokio::time::timeout(SILENCE - QUIET, waiting).await.map_err(|_| silent())?
}

async fn send(
    host: &CellBox,
    link: &LeadLink,
    mut writer: OwnedWriteHalf,
    queue: &mut mpsc::Receiver<PeerFrame>,
) -> std::io::Result<()> {
    let mut probes = tokio::time::interval(PROBE_EVERY);
    probes.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        let frame = tokio::select! {
            Some(frame) = queue.recv() => frame,
            _ = probes.tick() => {
                link.forget_abandoned();
                if host.defers_reading() {
                    write_frame(&mut writer, &PeerFrame::AskBriefs).await?;
                }
                let number = link.take_number();
                link.probe.set(Some((number, clock::now())));
                PeerFrame::Probe { number, store_answers: !host.store_contact.is_doubtful() }
            }
        };
        write_frame(&mut writer, &frame).await?;
    }
}

async fn receive(
    host: &Rc<CellBox>,
    link: &LeadLink,
    mut reader: OwnedReadHalf,
    address: SocketAddr,
    first_patience: Duration,
) -> std::io::Result<LinkEnd> {
    let mut patience = first_patience;
    // Whether this box stands by for the lead of this link.
    let mut stood_by = false;
    loop {
        let frame = match next_frame(&mut reader, address, patience).await? {
            Ok(frame) => frame,
            Err(stream) => return Ok(LinkEnd::Replaced(stream)),
        };
        patience = SILENCE;
        match frame {
            PeerFrame::Ping { store_answers, strongest } => {
                link.note_store_answers(store_answers);
                host.note_lead_heard();
                let mut watch = host.watch.borrow_mut();
                match store_answers {
                    true => watch.note_lead_healthy(clock::now()),
                    false => watch.note_reachable(false),
                }
                watch.note_strength(strongest);
            }
            PeerFrame::Ask(question) => {
                let (host, outbox) = (host.clone(), link.outbox.clone());
                tokio::task::spawn_local(async move {
                    let answer = orders::ask_service(&host, &question).await;
                    let valid = answer.as_ref().map_or(TimeSpan(0), |answer| answer.valid);
                    let good = answer.map(|answer| answer.allowed);
                    // Without a link nobody waits for the answer.
                    let _ = outbox.send(PeerFrame::Answer { question, good, valid }).await;
                });
            }
            PeerFrame::Submitted { number, outcome } => link.take_outcome(number, outcome),
            PeerFrame::Relay { number, call } => {
                let (host, outbox) = (host.clone(), link.outbox.clone());
                tokio::task::spawn_local(async move {
                    let answer = relay::carry_out(&host, call).await;
                    // Without a link nobody waits for the answer.
                    let _ = outbox.send(PeerFrame::Relayed { number, answer }).await;
                });
            }
            PeerFrame::State { number, answer } => link.take_state(number, answer),
            PeerFrame::Records(fed) => take_records(host, fed),
            PeerFrame::Briefs(fed) => take_briefs(host, fed),
            PeerFrame::Config(record) => apply::apply_config(host, record.into()),
            PeerFrame::StandBy(stands_by) => {
                info!(host.log, "role"; "stands_by" => stands_by, "whole" => host.could_lead());
                match stands_by {
                    true => {
                        host.set_asking(false);
                        host.read_anew();
                    }
                    false if !host.lead_tells.get() => host.set_asking(true),
                    false => {}
                }
                stood_by = stands_by;
            }
            PeerFrame::Tells(tells) => {
                info!(host.log, "role"; "stands_by" => stood_by, "told_states" => tells);
                host.lead_tells.set(tells);
                if !stood_by {
                    host.set_asking(!tells);
                }
                if tells && !stood_by && host.progress_view.offset.get().is_none() {
                    // A link that is overfull is of no use.
                    let _ = link.outbox.try_send(PeerFrame::AskBriefs);
                }
            }
            PeerFrame::Waiting { number, count } => link.take_count(number, count),
            PeerFrame::Proof { number, proof: Some(proof) } => {
                if let Some((asked, sent)) = link.probe.get()
                    && asked == number
                {
                    take_proof(host, &proof, sent);
                    link.fetch_missed(host, &proof);
                }
            }
            PeerFrame::Proof { proof: None, .. }
            | PeerFrame::Hello { .. }
            | PeerFrame::Answer { .. }
            | PeerFrame::Submit { .. }
            | PeerFrame::AskState { .. }
            | PeerFrame::Relayed { .. }
            | PeerFrame::Fetch { .. }
            | PeerFrame::AskBriefs
            | PeerFrame::AskWaiting { .. }
            | PeerFrame::Probe { .. } => {}
        }
        if lead_address(host) != Some(address) {
            return Ok(LinkEnd::OtherLead);
        }
    }
}

/// Takes in records that follow those already known. Others are read from the store.
fn take_records(host: &CellBox, fed: FedRecords) {
    let Some(view) = host.view(fed.topic) else { return };
    let (from, end) = (fed.from, fed.end());
    let Some(known) = view.offset.get().filter(|known| (from..end).contains(known)) else { return };
    for (key, value) in fed.records.into_iter().skip((known - from) as usize) {
        apply::apply(host, fed.topic, &KeyedRecord { key, value: value.into() });
    }
    view.offset.set(Some(end));
}

/// Takes in states that follow what is known. What is missing before them is read from the store.
fn take_briefs(host: &CellBox, fed: FedBriefs) {
    let Some(view) = host.view(fed.topic) else { return };
    if host.watch.borrow().is_holder() {
        // A box that has claimed the lead needs more than states.
        return;
    }
    let (from, end) = (fed.from, fed.end);
    let follows = match view.offset.get() {
        Some(known) => (from..end).contains(&known),
        // All that is known of the topic.
        None => from == 0 && !view.whole.get(),
    };
    if !follows {
        return;
    }
    for brief in fed.jobs {
        host.replica.borrow_mut().apply_summary(brief, clock::now());
    }
    if view.whole.replace(false) {
        info!(host.log, "told states alone"; "topic" => ?fed.topic, "end" => end);
    }
    view.offset.set(Some(end));
}

/// Takes in how far the lead's views reached after `sent`.
fn take_proof(host: &CellBox, proof: &ViewProof, sent: Moment) {
    let before = |age: TimeSpan| Moment(sent.0.saturating_sub(age.0));
    if host.config.borrow().version >= proof.config {
        host.config_view.note_fed(before(proof.config_age));
    }
    let reaches = |offset: Option<u64>, end: u64| offset.is_some_and(|offset| offset >= end);
    if reaches(host.jobs_view.offset.get(), proof.jobs_end) {
        host.jobs_view.note_fed(before(proof.cell_age));
    }
    if reaches(host.progress_view.offset.get(), proof.progress_end) {
        host.progress_view.note_fed(before(proof.cell_age));
    }
}
