//! Links between boxes: each box keeps one to the lead.
//!
//! Over it the lead has other boxes ask the advice service, which serves each box by itself, and the
//! others learn at once when the lead's process is gone. Losing a link costs time only: all that
//! must last or be agreed on goes through the store.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use sedgehill_adapter::advice::AdviceAnswer;
use sedgehill_cell::authority::BoxStrength;
use sedgehill_cell::ids::{BoxName, StepId, WorkerLife};
use sedgehill_cell::scheduler::{AdviceQuestion, HelperId};
use sedgehill_core::units::TimeSpan;
use serde::{Deserialize, Serialize};
use slog::{info, warn};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;

use super::lead::LeadSession;
use super::orders;
use super::state::CellBox;
use crate::clock;

/// Time between two frames of the lead, at most.
const PING_EVERY: Duration = Duration::from_millis(300);
/// A link on which the lead was silent for longer is taken as lost.
const SILENCE: Duration = Duration::from_millis(900);
/// Pause before the lead is connected to again.
const CONNECT_PAUSE: Duration = Duration::from_millis(100);
/// How long a connection may take to be made.
const CONNECT_LIMIT: Duration = Duration::from_millis(600);
/// The longest frame, in bytes: a question on a hundred workers takes some 4 KB.
const FRAME_BYTES: u32 = 64 << 10;

/// A question that a box asks on the lead's behalf.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct HelperQuestion {
    /// The step.
    pub step: StepId,
    /// The workers in question.
    pub workers: Vec<WorkerLife>,
}

impl From<&AdviceQuestion> for HelperQuestion {
    fn from(question: &AdviceQuestion) -> HelperQuestion {
        HelperQuestion { step: question.step, workers: question.workers.clone() }
    }
}

/// What goes over a link.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
enum PeerFrame {
    /// The first frame of a box that offers to help.
    Hello {
        /// Its name.
        name: BoxName,
        /// What it can bear.
        strength: BoxStrength,
    },
    /// The lead lives.
    Ping {
        /// Whether the store answers it. If not, the boxes that the store answers need not wait as
        /// long before one of them follows.
        store_answers: bool,
        /// The strength of the strongest box that the lead has heard of.
        strongest: BoxStrength,
    },
    /// The lead asks.
    Ask(HelperQuestion),
    /// The helper answers.
    Answer {
        question: HelperQuestion,
        good: Option<Vec<(WorkerLife, std::sync::Arc<str>)>>,
        valid: TimeSpan,
    },
}

async fn write_frame(stream: &mut OwnedWriteHalf, frame: &PeerFrame) -> std::io::Result<()> {
    let body = postcard::to_stdvec(frame).map_err(std::io::Error::other)?;
    let length = u32::try_from(body.len()).map_err(std::io::Error::other)?;
    let mut bytes = Vec::with_capacity(body.len() + 4);
    bytes.extend_from_slice(&length.to_be_bytes());
    bytes.extend_from_slice(&body);
    stream.write_all(&bytes).await
}

async fn read_frame(stream: &mut OwnedReadHalf) -> std::io::Result<PeerFrame> {
    let length = stream.read_u32().await?;
    if length > FRAME_BYTES {
        return Err(std::io::Error::other("the frame is too long"));
    }
    let mut body = vec![0; length as usize];
    stream.read_exact(&mut body).await?;
    postcard::from_bytes(&body).map_err(std::io::Error::other)
}

/// Takes the links of other boxes.
pub async fn listen(host: Rc<CellBox>, listener: TcpListener) {
    let mut next = 1;
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            tokio::time::sleep(CONNECT_PAUSE).await;
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
    let (mut reader, mut writer) = stream.into_split();
    let (name, strength) = match read_frame(&mut reader).await {
        Ok(PeerFrame::Hello { name, strength }) => (name, strength),
        Ok(_) | Err(_) => return,
    };
    host.watch.borrow_mut().note_strength(strength);
    let (queue, mut questions) = mpsc::unbounded_channel();
    session.helpers.borrow_mut().insert(helper, queue);
    session.scheduler.borrow_mut().add_helper(helper);
    session.note_helper(&host, helper, strength);
    info!(host.log, "helper joined"; "box" => %name, "helper" => helper.0);
    let send = async {
        while !session.ended.get() {
            let frame = match tokio::time::timeout(PING_EVERY, questions.recv()).await {
                Ok(Some(question)) => PeerFrame::Ask(question),
                Ok(None) => return,
                Err(_) => PeerFrame::Ping {
                    store_answers: session.store_answers(),
                    strongest: host.watch.borrow().strongest(),
                },
            };
            if write_frame(&mut writer, &frame).await.is_err() {
                return;
            }
        }
    };
    let receive = async {
        while let Ok(frame) = read_frame(&mut reader).await {
            if let PeerFrame::Answer { question, good, valid } = frame {
                let asked =
                    AdviceQuestion { helper, step: question.step, workers: question.workers };
                let answer = good.map(|good| AdviceAnswer { good, valid });
                orders::take_advice(&session, &asked, answer);
            }
        }
    };
    tokio::select! {
        () = send => {}
        () = receive => {}
    }
    session.helpers.borrow_mut().remove(&helper);
    session.strengths.borrow_mut().remove(&helper);
    session.scheduler.borrow_mut().remove_helper(helper, clock::now());
    info!(host.log, "helper left"; "box" => %name, "helper" => helper.0);
}

/// Keeps a link to whoever leads.
pub async fn help(host: Rc<CellBox>) {
    loop {
        tokio::time::sleep(CONNECT_PAUSE).await;
        let Some(address) = lead_address(&host) else { continue };
        let connecting = TcpStream::connect(address);
        if let Ok(Ok(stream)) = tokio::time::timeout(CONNECT_LIMIT, connecting).await
            && let Err(error) = help_lead(&host, stream, address).await
        {
            warn!(host.log, "link to the lead lost"; "error" => %error);
        }
        host.watch.borrow_mut().note_reachable(false);
    }
}

fn lead_address(host: &CellBox) -> Option<SocketAddr> {
    let watch = host.watch.borrow();
    let newest = watch.newest().filter(|newest| !newest.resigned)?;
    if watch.is_holder() {
        return None;
    }
    newest.peer_address.parse().ok()
}

async fn help_lead(
    host: &Rc<CellBox>,
    stream: TcpStream,
    address: SocketAddr,
) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    let (mut reader, mut writer) = stream.into_split();
    let hello =
        PeerFrame::Hello { name: host.settings.name.clone(), strength: host.settings.strength };
    write_frame(&mut writer, &hello).await?;
    let (answers, mut outbox) = mpsc::unbounded_channel::<PeerFrame>();
    loop {
        tokio::select! {
            frame = tokio::time::timeout(SILENCE, read_frame(&mut reader)) => {
                let frame = frame.map_err(|_| std::io::Error::other("the lead is silent"))??;
                let store_answers =
                    !matches!(frame, PeerFrame::Ping { store_answers: false, .. });
                if let PeerFrame::Ping { strongest, .. } = &frame {
                    host.watch.borrow_mut().note_strength(*strongest);
                }
                host.watch.borrow_mut().note_reachable(store_answers);
                if let PeerFrame::Ask(question) = frame {
                    let (host, answers) = (host.clone(), answers.clone());
                    tokio::task::spawn_local(async move {
                        let answer = orders::ask_service(&host, &question).await;
                        let valid = answer.as_ref().map_or(TimeSpan(0), |answer| answer.valid);
                        let good = answer.map(|answer| answer.good);
                        // Without a link nobody waits for the answer.
                        let _ = answers.send(PeerFrame::Answer { question, good, valid });
                    });
                }
            }
            Some(answer) = outbox.recv() => write_frame(&mut writer, &answer).await?,
        }
        if lead_address(host) != Some(address) {
            return Ok(());
        }
    }
}
