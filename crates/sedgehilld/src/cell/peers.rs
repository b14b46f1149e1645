//! The lead's side of the links between boxes: each box keeps one to the lead (see [`super::link`]).

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

use super::frames::{FedBriefs, FedRecords, PeerFrame, ViewProof, read_frame};
use super::lead::LeadSession;
use super::orders;
use super::state::CellBox;
use crate::clock;

/// Time between two signs of life of the lead.
const PING_EVERY: Duration = Duration::from_millis(300);
/// Pause after the machine could not take a connection.
const ACCEPT_PAUSE: Duration = Duration::from_millis(100);
/// Frames that may wait for one box. One that is so far behind, or frozen, is cut off: it reads from
/// the store what it missed.
const QUEUE_LENGTH: usize = 512;
/// Records are passed on to boxes this often: callers may be told of an end so much later, and each
/// passing on costs a write for every box.
const FEED_EVERY: Duration = Duration::from_millis(40);

/// How long reading for another box may take. A slow store takes some 300 ms.
const FETCH_LIMIT: Duration = Duration::from_millis(1_200);

/// The queue of frames for one box.
pub type FrameQueue = mpsc::Sender<Rc<[u8]>>;

/// Takes the links of other boxes.
pub async fn listen(host: Rc<CellBox>, listener: TcpListener) {
    let mut next = 1;
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            tokio::time::sleep(ACCEPT_PAUSE).await;
            continue;
        };
        let session = host.session.borrow().clone();
        // A box that does not lead has nothing to say; the other one connects again.
        let Some(session) = session else { continue };
        let helper = HelperId(next);
        next += 1;
        tokio::task::spawn_local(serve_helper(host.clone(), session, stream, helper));
    }
}

async fn serve_helper(
    host: Rc<CellBox>,
    session: Rc<LeadSession>,
    stream: TcpStream,
    helper: HelperId,
) {
    let _ = stream.set_nodelay(true);
    let (mut reader, writer) = stream.into_split();
    let Ok(PeerFrame::Hello { name, strength }) = read_frame(&mut reader).await else { return };
    let (queue, frames) = mpsc::channel(QUEUE_LENGTH);
    // A box that comes again has found its earlier link quiet.
    let earlier = session.names.borrow_mut().insert(name.clone(), helper);
    if let Some(earlier) = earlier {
        session.remove_helper(earlier);
    }
    join(&host, &session, helper, &name, strength, queue.clone());
    tokio::select! {
        () = send(&host, &session, writer, frames, helper) => {}
        () = receive(&host, &session, reader, helper, &queue) => {}
    }
    session.remove_helper(helper);
    info!(host.log, "helper left"; "box" => %name, "helper" => helper.0);
}

fn join(
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
    session.note_helper(host, helper, strength);
    session.standbys.borrow_mut().join(helper, strength);
    session.choose_standbys();
    session.choose_telling(host);
    let tells = session.standbys.borrow().sends_summaries();
    // A box whose queue is full already is of no use.
    if let Some(queue) = session.helpers.borrow().get(&helper) {
        let _ = queue.try_send(PeerFrame::Tells(tells).encode());
    }
    info!(host.log, "helper joined";
        "box" => %name, "helper" => helper.0, "strength" => %strength);
}

fn ping(host: &CellBox, session: &LeadSession) -> Rc<[u8]> {
    let strongest = host.watch.borrow().strongest();
    PeerFrame::Ping { store_answers: session.store_answers(host), strongest }.encode()
}

async fn send(
    host: &CellBox,
    session: &LeadSession,
    mut writer: OwnedWriteHalf,
    mut frames: mpsc::Receiver<Rc<[u8]>>,
    helper: HelperId,
) {
    let mut pings = tokio::time::interval(PING_EVERY);
    pings.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    while !session.ended.get() && session.helpers.borrow().contains_key(&helper) {
        let frame = tokio::select! {
            frame = frames.recv() => match frame {
                Some(frame) => frame,
                None => return,
            },
            _ = pings.tick() => ping(host, session),
            () = session.store_back.notified() => ping(host, session),
        };
        if writer.write_all(&frame).await.is_err() {
            return;
        }
    }
}

async fn receive(
    host: &Rc<CellBox>,
    session: &Rc<LeadSession>,
    mut reader: OwnedReadHalf,
    helper: HelperId,
    queue: &FrameQueue,
) {
    while let Ok(frame) = read_frame(&mut reader).await {
        match frame {
            PeerFrame::Answer { question, good, valid } => {
                let asked =
                    AdviceQuestion { helper, step: question.step, workers: question.workers };
                let answer = good.map(|good| AdviceAnswer { allowed: good, valid });
                orders::take_advice(session, &asked, answer);
            }
            PeerFrame::Submit { number, job, statement } => {
                tokio::task::spawn_local(answer_submission(
                    host.clone(),
                    session.clone(),
                    queue.clone(),
                    (number, job, statement),
                ));
            }
            PeerFrame::Relayed { number, answer } => session.relay.take_answer(number, answer),
            PeerFrame::Probe { number, store_answers } => {
                session.relay.note_path(helper, store_answers);
                let proof = prove_views(host, session);
                if queue.try_send(PeerFrame::Proof { number, proof }.encode()).is_err() {
                    return;
                }
            }
            PeerFrame::AskState { number, job, caller } => {
                let answer = host.state_of(job, caller.as_ref());
                if queue.try_send(PeerFrame::State { number, answer }.encode()).is_err() {
                    return;
                }
            }
            PeerFrame::Fetch { topic: StoreTopic::Operators, .. } => {
                let record = host.config_record.borrow().clone();
                // A box whose queue is full asks again.
                let _ = queue.try_send(PeerFrame::Config(record.to_vec()).encode());
            }
            PeerFrame::Fetch { topic, from } => {
                tokio::task::spawn_local(fetch(host.clone(), queue.clone(), topic, from));
            }
            PeerFrame::AskWaiting { number, queue: name } => {
                let known = host.knows_jobs();
                let count = known.then(|| host.replica.borrow().waiting_count(&name) as u64);
                if queue.try_send(PeerFrame::Waiting { number, count }.encode()).is_err() {
                    return;
                }
            }
            PeerFrame::AskBriefs => {
                if session.standbys.borrow().sends_summaries() && !tell_all(host, queue) {
                    return;
                }
            }
            PeerFrame::Hello { .. }
            | PeerFrame::Ping { .. }
            | PeerFrame::Ask(_)
            | PeerFrame::Submitted { .. }
            | PeerFrame::State { .. }
            | PeerFrame::Relay { .. }
            | PeerFrame::Records(_)
            | PeerFrame::Briefs(_)
            | PeerFrame::StandBy(_)
            | PeerFrame::Tells(_)
            | PeerFrame::Waiting { .. }
            | PeerFrame::Config(_)
            | PeerFrame::Proof { .. } => return,
        }
    }
}

/// Tells a box the states of all jobs. Returns whether its queue took them.
fn tell_all(host: &CellBox, queue: &FrameQueue) -> bool {
    let ends = (host.jobs_view.offset.get(), host.progress_view.offset.get());
    let (Some(jobs_end), Some(progress_end)) = ends else { return true };
    let briefs = FedBriefs::of_all(&host.replica.borrow(), jobs_end, progress_end);
    briefs.into_iter().all(|fed| queue.try_send(PeerFrame::Briefs(fed).encode()).is_ok())
}

async fn answer_submission(
    host: Rc<CellBox>,
    session: Rc<LeadSession>,
    queue: FrameQueue,
    (number, job, statement): (u64, JobId, CellRecord),
) {
    // Without an outcome the lead is over: the box finds out and helps itself.
    if let Some(outcome) = session.submit(&host, job, &statement).await {
        let _ = queue.try_send(PeerFrame::Submitted { number, outcome }.encode());
    }
}

/// Reads records for a box that the store does not answer.
async fn fetch(host: Rc<CellBox>, queue: FrameQueue, topic: StoreTopic, from: u64) {
    match host.clients.store.read(topic, from, Duration::ZERO, FETCH_LIMIT.into()).await {
        Ok(ReadOutcome::Records { records, .. }) => {
            for part in FedRecords::pack(topic, from, &records) {
                // A box that is too far behind asks again.
                let _ = queue.try_send(PeerFrame::Records(part).encode());
            }
        }
        Ok(ReadOutcome::Gone) => {}
        Err(error) => warn!(host.log, "records not fetched for another box";
            "topic" => ?topic, "from" => from, "error" => %error),
    }
}

/// How far this box's views reach. What was passed on before this answer is ahead of it on the link.
fn prove_views(host: &CellBox, session: &LeadSession) -> Option<ViewProof> {
    session.pass_on_records(host);
    Some(ViewProof {
        config: host.config.borrow().version,
        config_age: host.config_view.age()?,
        jobs_end: host.jobs_view.offset.get()?,
        progress_end: host.progress_view.offset.get()?,
        cell_age: host.jobs_view.age()?.max(host.progress_view.age()?),
    })
}

/// Passes records on to the other boxes as long as the lead lasts.
pub async fn feed(host: &CellBox, session: &LeadSession) {
    loop {
        tokio::time::sleep(FEED_EVERY).await;
        session.pass_on_records(host);
    }
}

impl LeadSession {
    /// Has records that were read or written passed on.
    pub fn feed(&self, topic: StoreTopic, from: u64, records: &[KeyedRecord]) {
        if !self.helpers.borrow().is_empty() {
            self.fed.borrow_mut().extend(FedRecords::pack(topic, from, records));
        }
    }

    /// Passes on what was read and written: the records to the boxes that stand by, and what they mean to
    /// the others.
    fn pass_on_records(&self, host: &CellBox) {
        let parts = std::mem::take(&mut *self.fed.borrow_mut());
        if parts.is_empty() {
            return;
        }
        let ledger = &mut self.told.borrow_mut();
        let briefs = FedBriefs::sum_up(&parts, &host.replica.borrow(), ledger);
        let briefs: Vec<Rc<[u8]>> =
            briefs.into_iter().map(|fed| PeerFrame::Briefs(fed).encode()).collect();
        let records: Vec<Rc<[u8]>> =
            parts.into_iter().map(|part| PeerFrame::Records(part).encode()).collect();
        let size = |frames: &[Rc<[u8]>]| frames.iter().map(|frame| frame.len()).sum();
        self.standbys.borrow_mut().note_records(size(&records), clock::now());
        self.standbys.borrow_mut().note_summaries(size(&briefs), clock::now());
        self.choose_standbys();
        self.choose_telling(host);
        let standbys = self.standbys.borrow();
        let briefs = if standbys.sends_summaries() { briefs } else { Vec::new() };
        self.helpers.borrow_mut().retain(|helper, queue| {
            let frames = if standbys.contains(*helper) { &records } else { &briefs };
            frames.iter().all(|frame| queue.try_send(frame.clone()).is_ok())
        });
    }

    /// Tells all boxes if they are told states from now on, or not any more.
    fn choose_telling(&self, host: &CellBox) {
        let known = host.replica.borrow().len();
        if !self.standbys.borrow_mut().decide_summaries(known, clock::now()) {
            return;
        }
        let tells = self.standbys.borrow().sends_summaries();
        host.lead_tells.set(tells);
        info!(host.log, "states told"; "token" => %self.token, "tells" => tells,
            "boxes" => self.helpers.borrow().len());
        let frame: Rc<[u8]> = PeerFrame::Tells(tells).encode();
        // A box whose queue is full is cut off with the next records.
        self.helpers.borrow().values().for_each(|queue| drop(queue.try_send(frame.clone())));
    }

    /// Tells boxes that are to stand by from now on, or not any more.
    fn choose_standbys(&self) {
        let changes = self.standbys.borrow_mut().choose(clock::now());
        let helpers = self.helpers.borrow();
        for (helper, stands_by) in changes {
            let Some(queue) = helpers.get(&helper) else { continue };
            // A box whose queue is full is cut off with the next records.
            let _ = queue.try_send(PeerFrame::StandBy(stands_by).encode());
        }
    }

    fn remove_helper(&self, helper: HelperId) {
        self.helpers.borrow_mut().remove(&helper);
        self.names.borrow_mut().retain(|_, named| *named != helper);
        self.standbys.borrow_mut().leave(helper);
        self.choose_standbys();
        self.strengths.borrow_mut().remove(&helper);
        self.relay.remove(helper);
        self.scheduler.borrow_mut().remove_helper(helper, clock::now());
    }
}
