//! The lead's side of the links.
//!
//! Each other box keeps one link to the lead, see [`super::link_client`]. It is a helper of the lead:
//! it queries the advice service and relays calls to the store on the lead's behalf.

use std::rc::Rc;
use std::time::Duration;

use sedgehill_adapter::advice::AdviceAnswer;
use sedgehill_adapter::store::{KeyedRecord, ReadOutcome, StoreTopic};
use sedgehill_cell::authority::BoxStrength;
use sedgehill_cell::ids::{BoxName, JobId};
use sedgehill_cell::replica::CellRecord;
use sedgehill_cell::scheduler::{AdviceQuestion, HelperId};
use slog::{info, warn};
use tokio::io::AsyncWriteExt;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;

use super::frames::{PeerFrame, TopicRecords, TopicSummary, ViewProof, read_frame};
use super::lead::LeadSession;
use super::orders;
use super::state::CellBox;
use super::submission::SubmissionOutcome;
use crate::{clock, telemetry};

/// Time between two pings to a box.
const PING_INTERVAL: Duration = Duration::from_millis(300);
/// Pause after the operating system could not accept a connection.
const ACCEPT_PAUSE: Duration = Duration::from_millis(100);
/// The most frames that wait for one box. A box that falls further behind, or is frozen, is
/// disconnected; it reads from the store what it missed.
const QUEUE_CAPACITY: usize = 512;
/// Interval at which records are forwarded to boxes. Callers may learn of the end of a job this
/// much later; each forwarding costs one write a box.
const FORWARD_INTERVAL: Duration = Duration::from_millis(40);

/// Timeout of a read for another box. A slow store takes about 300 ms.
const FETCH_TIMEOUT: Duration = Duration::from_millis(1_200);

/// Queue of encoded frames for one box.
pub type FrameQueue = mpsc::Sender<Rc<[u8]>>;

/// Accepts the links of other boxes while this box leads.
pub async fn run(host: Rc<CellBox>, listener: TcpListener) {
    let mut next = 1;
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            tokio::time::sleep(ACCEPT_PAUSE).await;
            continue;
        };
        let session = host.session.borrow().clone();
        // A box that does not lead closes the connection; the other box tries again.
        let Some(session) = session else { continue };
        let helper = HelperId(next);
        next += 1;
        tokio::task::spawn_local(serve_helper(host.clone(), session, stream, helper));
    }
}

/// Serves the link of one box until it ends.
async fn serve_helper(
    host: Rc<CellBox>,
    session: Rc<LeadSession>,
    stream: TcpStream,
    helper: HelperId,
) {
    // A link works without it, only slower.
    let _ = stream.set_nodelay(true);
    let (mut reader, writer) = stream.into_split();
    let Ok(PeerFrame::Hello { name, strength, takes_refusals }) = read_frame(&mut reader).await
    else {
        return;
    };
    let (queue, frames) = mpsc::channel(QUEUE_CAPACITY);
    // A box that connects again has found its earlier connection silent.
    let earlier = session.helper_ids.borrow_mut().insert(name.clone(), helper);
    if let Some(earlier) = earlier {
        session.remove_helper(earlier);
    }
    register_helper(&host, &session, helper, &name, strength, queue.clone());
    tokio::select! {
        () = send_frames(&host, &session, writer, frames, helper) => {}
        () = receive_frames(&host, &session, reader, (helper, takes_refusals), &queue) => {}
    }
    session.remove_helper(helper);
    info!(host.log, "helper left"; "box" => %name, "helper" => helper.0);
}

fn register_helper(
    host: &CellBox,
    session: &LeadSession,
    helper: HelperId,
    name: &BoxName,
    strength: BoxStrength,
    queue: FrameQueue,
) {
    host.watch.borrow_mut().note_strength(strength);
    session.helpers.borrow_mut().insert(helper, queue);
    session.scheduler.borrow_mut().add_helper(helper);
    session.note_helper_strength(host, helper, strength);
    session.standbys.borrow_mut().join(helper, strength);
    session.update_standbys();
    session.decide_summaries(host);
    let sends = session.standbys.borrow().sends_summaries();
    // If the queue is already full, the box is disconnected with the next records.
    if let Some(queue) = session.helpers.borrow().get(&helper) {
        let _ = queue.try_send(PeerFrame::SendsSummaries(sends).encode());
    }
    info!(host.log, "helper joined";
        "box" => %name, "helper" => helper.0, "strength" => %strength);
}

fn ping_frame(host: &CellBox, session: &LeadSession) -> Rc<[u8]> {
    let strongest = host.watch.borrow().strongest();
    let store_answers = session.store_answers(host);
    PeerFrame::Ping { store_answers, strongest, takes_unsettled: true }.encode()
}

async fn send_frames(
    host: &CellBox,
    session: &LeadSession,
    mut writer: OwnedWriteHalf,
    mut frames: mpsc::Receiver<Rc<[u8]>>,
    helper: HelperId,
) {
    let mut pings = tokio::time::interval(PING_INTERVAL);
    pings.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    while !session.ended.get() && session.helpers.borrow().contains_key(&helper) {
        let frame = tokio::select! {
            frame = frames.recv() => match frame {
                Some(frame) => frame,
                None => return,
            },
            _ = pings.tick() => ping_frame(host, session),
            () = session.store_recovered.notified() => ping_frame(host, session),
        };
        if writer.write_all(&frame).await.is_err() {
            return;
        }
    }
}

async fn receive_frames(
    host: &Rc<CellBox>,
    session: &Rc<LeadSession>,
    mut reader: OwnedReadHalf,
    (helper, takes_refusals): (HelperId, bool),
    queue: &FrameQueue,
) {
    while let Ok(frame) = read_frame(&mut reader).await {
        // The box has connected again and repeated its requests. A late first copy of a job whose
        // second copy was refused must not be accepted.
        if !session.helpers.borrow().contains_key(&helper) {
            return;
        }
        match frame {
            PeerFrame::Advice { question, allowed, valid } => {
                let asked_question =
                    AdviceQuestion { helper, step: question.step, workers: question.workers };
                let answer = allowed.map(|allowed| AdviceAnswer { allowed, valid });
                orders::deliver_advice(session, &asked_question, answer);
            }
            PeerFrame::Submit { number, job, record } => {
                tokio::task::spawn_local(answer_submission(
                    host.clone(),
                    session.clone(),
                    SubmissionReply { number, takes_refusals, queue: queue.clone() },
                    (job, record),
                ));
            }
            PeerFrame::Relayed { number, answer } => session.relay.complete_call(number, answer),
            PeerFrame::Probe { number, store_answers } => {
                let stands_by = session.standbys.borrow().contains(helper);
                session.relay.note_path(helper, store_answers, stands_by);
                let proof = prove_views(host, session);
                if queue.try_send(PeerFrame::Proof { number, proof }.encode()).is_err() {
                    return;
                }
            }
            PeerFrame::AskState { number, job, caller } => {
                let answer = host.local_job_state(job, caller.as_ref());
                if queue.try_send(PeerFrame::State { number, answer }.encode()).is_err() {
                    return;
                }
            }
            PeerFrame::Fetch { topic: StoreTopic::Operators, .. } => {
                let record = host.config_record.borrow().clone();
                // If the queue is full, the box asks again.
                let _ = queue.try_send(PeerFrame::Config(record.to_vec()).encode());
            }
            PeerFrame::Fetch { topic, from } => {
                tokio::task::spawn_local(answer_fetch(host.clone(), queue.clone(), topic, from));
            }
            PeerFrame::AskWaiting { number, queue: queue_name } => {
                let has_fresh_jobs = host.has_fresh_jobs();
                let count =
                    has_fresh_jobs.then(|| host.replica.borrow().waiting_count(&queue_name) as u64);
                if queue.try_send(PeerFrame::Waiting { number, count }.encode()).is_err() {
                    return;
                }
            }
            PeerFrame::AskSummaries => {
                if session.standbys.borrow().sends_summaries()
                    && !session.send_all_summaries(host, queue)
                {
                    return;
                }
            }
            PeerFrame::Unsettled(report) => {
                session.unsettled.borrow_mut().merge(&report, clock::now());
            }
            PeerFrame::Hello { .. }
            | PeerFrame::Ping { .. }
            | PeerFrame::AskAdvice(_)
            | PeerFrame::Submitted { .. }
            | PeerFrame::State { .. }
            | PeerFrame::Relay { .. }
            | PeerFrame::Records(_)
            | PeerFrame::Summary(_)
            | PeerFrame::StandBy(_)
            | PeerFrame::SendsSummaries(_)
            | PeerFrame::Waiting { .. }
            | PeerFrame::Config(_)
            | PeerFrame::Proof { .. } => return,
        }
    }
}

/// Where the outcome of a submission goes.
struct SubmissionReply {
    number: u64,
    /// Whether the box understands that a job is deferred or rejected.
    takes_refusals: bool,
    queue: FrameQueue,
}

async fn answer_submission(
    host: Rc<CellBox>,
    session: Rc<LeadSession>,
    reply: SubmissionReply,
    (job, record): (JobId, CellRecord),
) {
    // Without an outcome this lead has ended: the box notices and submits in another way.
    let Some(outcome) = session.submit(&host, job, &record).await else { return };
    let outcome = match reply.takes_refusals {
        true => outcome,
        false => outcome_for_earlier_release(&session, job, outcome),
    };
    // If the queue is full, the box gets no outcome: its wait times out, or it is disconnected
    // with the next records.
    let _ = reply.queue.try_send(PeerFrame::Submitted { number: reply.number, outcome }.encode());
}

/// Returns the outcome as it is sent to a box of a release without admission control. Where such a
/// box then appends the job by itself, it does not report the job, so the lead notes it here.
fn outcome_for_earlier_release(
    session: &LeadSession,
    job: JobId,
    outcome: SubmissionOutcome,
) -> SubmissionOutcome {
    let sent = match outcome {
        SubmissionOutcome::Deferred { .. } | SubmissionOutcome::Rejected { .. } => {
            telemetry::count_cell_event("admission_undecided", "earlier_release");
            SubmissionOutcome::NotDone
        }
        other => other,
    };
    if matches!(sent, SubmissionOutcome::NotDone | SubmissionOutcome::Unknown) {
        session.unsettled.borrow_mut().note(job, clock::now());
    }
    sent
}

/// Reads records from the store for a box that cannot.
async fn answer_fetch(host: Rc<CellBox>, queue: FrameQueue, topic: StoreTopic, from: u64) {
    match host.clients.store.read(topic, from, Duration::ZERO, FETCH_TIMEOUT.into()).await {
        Ok(ReadOutcome::Records { records, .. }) => {
            for part in TopicRecords::pack(topic, from, &records) {
                // A box that is too far behind asks again.
                let _ = queue.try_send(PeerFrame::Records(part).encode());
            }
        }
        Ok(ReadOutcome::Gone) => {}
        Err(error) => warn!(host.log, "records not fetched for another box";
            "topic" => ?topic, "from" => from, "error" => %error),
    }
}

/// Returns how far the views of this lead reach. Records are forwarded first, so they arrive before
/// the proof.
fn prove_views(host: &CellBox, session: &LeadSession) -> Option<ViewProof> {
    session.forward_records(host);
    Some(ViewProof {
        config: host.config.borrow().version,
        config_age: host.config_view.age()?,
        jobs_end: host.jobs_view.offset.get()?,
        progress_end: host.progress_view.offset.get()?,
        cell_age: host.jobs_view.age()?.max(host.progress_view.age()?),
    })
}

/// Forwards records to the other boxes until the lead ends.
pub async fn run_forwarding(host: &CellBox, session: &LeadSession) {
    loop {
        tokio::time::sleep(FORWARD_INTERVAL).await;
        session.forward_records(host);
    }
}

/// The encoded states of all jobs, and the ends of the topics that they come from.
pub struct EncodedSummaries {
    jobs_end: u64,
    progress_end: u64,
    frames: Vec<Rc<[u8]>>,
}

impl LeadSession {
    /// Sends a box the states of all jobs. Returns whether its queue took them. They are encoded once
    /// for all boxes that ask before the next record, since after a restart all boxes ask at the same
    /// time.
    fn send_all_summaries(&self, host: &CellBox, queue: &FrameQueue) -> bool {
        let offsets = (host.jobs_view.offset.get(), host.progress_view.offset.get());
        let (Some(jobs_end), Some(progress_end)) = offsets else { return true };
        let mut encoded = self.encoded_summaries.borrow_mut();
        let is_current = |encoded: &EncodedSummaries| {
            (encoded.jobs_end, encoded.progress_end) == (jobs_end, progress_end)
        };
        let frames = match &mut *encoded {
            Some(encoded) if is_current(encoded) => &encoded.frames,
            outdated => {
                let summaries =
                    TopicSummary::of_all(&host.replica.borrow(), jobs_end, progress_end);
                let frames =
                    summaries.into_iter().map(|summary| PeerFrame::Summary(summary).encode());
                let frames = frames.collect();
                &outdated.insert(EncodedSummaries { jobs_end, progress_end, frames }).frames
            }
        };
        frames.iter().all(|frame| queue.try_send(frame.clone()).is_ok())
    }

    /// Queues records that were read or written, to forward them to other boxes.
    pub fn queue_records(&self, topic: StoreTopic, from: u64, records: &[KeyedRecord]) {
        if !self.helpers.borrow().is_empty() {
            self.outgoing_records.borrow_mut().extend(TopicRecords::pack(topic, from, records));
        }
    }

    /// Forwards the queued records: in full to the boxes that stand by, as job states to the
    /// others. Disconnects boxes whose queue is full.
    fn forward_records(&self, host: &CellBox) {
        let parts = std::mem::take(&mut *self.outgoing_records.borrow_mut());
        if parts.is_empty() {
            return;
        }
        let filter = &mut self.sent_summaries.borrow_mut();
        let summaries = TopicSummary::summarize(&parts, &host.replica.borrow(), filter);
        let summaries: Vec<Rc<[u8]>> =
            summaries.into_iter().map(|summary| PeerFrame::Summary(summary).encode()).collect();
        let records: Vec<Rc<[u8]>> =
            parts.into_iter().map(|part| PeerFrame::Records(part).encode()).collect();
        let size = |frames: &[Rc<[u8]>]| frames.iter().map(|frame| frame.len()).sum();
        self.standbys.borrow_mut().note_records(size(&records), clock::now());
        self.standbys.borrow_mut().note_summaries(size(&summaries), clock::now());
        self.update_standbys();
        self.decide_summaries(host);
        let standbys = self.standbys.borrow();
        let summaries = if standbys.sends_summaries() { summaries } else { Vec::new() };
        self.helpers.borrow_mut().retain(|helper, queue| {
            let frames = if standbys.contains(*helper) { &records } else { &summaries };
            frames.iter().all(|frame| queue.try_send(frame.clone()).is_ok())
        });
    }

    /// Decides whether job states are sent to the boxes that do not stand by, and informs all boxes
    /// if that changes.
    fn decide_summaries(&self, host: &CellBox) {
        let known_jobs = host.replica.borrow().len();
        if !self.standbys.borrow_mut().decide_summaries(known_jobs, clock::now()) {
            return;
        }
        let sends = self.standbys.borrow().sends_summaries();
        host.lead_sends_summaries.set(sends);
        info!(host.log, "states told"; "token" => %self.token, "tells" => sends,
            "boxes" => self.helpers.borrow().len());
        let frame: Rc<[u8]> = PeerFrame::SendsSummaries(sends).encode();
        // A box whose queue is full is disconnected with the next records.
        self.helpers.borrow().values().for_each(|queue| drop(queue.try_send(frame.clone())));
    }

    /// Decides which boxes stand by, and informs those for which that changes.
    fn update_standbys(&self) {
        let changes = self.standbys.borrow_mut().choose(clock::now());
        let helpers = self.helpers.borrow();
        for (helper, stands_by) in changes {
            let Some(queue) = helpers.get(&helper) else { continue };
            // A box whose queue is full is disconnected with the next records.
            let _ = queue.try_send(PeerFrame::StandBy(stands_by).encode());
        }
    }

    fn remove_helper(&self, helper: HelperId) {
        self.helpers.borrow_mut().remove(&helper);
        self.helper_ids.borrow_mut().retain(|_, known_id| *known_id != helper);
        self.standbys.borrow_mut().leave(helper);
        self.update_standbys();
        self.helper_strengths.borrow_mut().remove(&helper);
        self.relay.remove(helper);
        self.scheduler.borrow_mut().remove_helper(helper, clock::now());
    }
}
