//! The controllers: each keeps one part of the state right. All run on one thread, so they share
//! the state without locks; what other threads need, they publish.

mod leads;
mod log_reader;
mod log_writer;
mod members;
mod operators;
mod placement;
mod proof;
mod publish;
mod reports;
mod shutdown;

use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::rc::Rc;
use std::sync::Arc;

use sedgehill_core::ids::{BoxId, HallName, IdempotencyKey, Incarnation, OrgName, RecordId};
use sedgehill_core::lead::LeadTimer;
use sedgehill_core::member::MemberTable;
use sedgehill_core::placement::HallPlacer;
use sedgehill_core::state::{ClusterState, LogFold, VoidReason};
use sedgehill_core::units::{Moment, TimeSpan};
use sedgehill_peer::{ClaimStatus, PeerLink, PeerRequest};
use sedgehill_platform::admin::{ChangeReply, ChangeRequest, DecisionRecord};
use sedgehill_platform::caller::JsonCaller;
use sedgehill_platform::list::PlatformList;
use tokio::sync::{Notify, Semaphore, mpsc, oneshot};

use crate::clock;
use crate::shared::SharedState;
use log_writer::LogWriter;
use placement::OrderLine;

/// Requests to the control thread that wait before traffic is told that it is busy.
pub const CONTROL_QUEUE_LENGTH: usize = 4_096;
/// Orders under way to workers at once.
const ORDERS_AT_ONCE: usize = 32;
/// Decisions that are remembered for reading back.
const KEPT_DECISIONS: usize = 4_096;

/// What other threads ask of the control thread.
pub enum ControlRequest {
    /// Claim a once-only request.
    ClaimKey {
        /// The organisation of the caller.
        organisation: OrgName,
        /// The key.
        key: IdempotencyKey,
        /// When the caller gives up.
        deadline: Moment,
        /// Where the answer goes.
        reply: oneshot::Sender<ClaimReply>,
    },
    /// Bring the view up to date with all that was in the log at a moment.
    ProveView {
        /// The moment.
        since: Moment,
        /// Where the answer goes: whether it worked.
        reply: oneshot::Sender<bool>,
    },
    /// Find out whether a key is claimed.
    FindClaim {
        /// The organisation of the caller.
        organisation: OrgName,
        /// The key.
        key: IdempotencyKey,
        /// When its request came.
        since: Moment,
        /// Where the answer goes.
        reply: oneshot::Sender<ClaimStatus>,
    },
    /// Give a claim back.
    ReleaseKey {
        /// The organisation of the caller.
        organisation: OrgName,
        /// The key.
        key: IdempotencyKey,
        /// The record of the claim.
        claim: RecordId,
    },
    /// Make an operator's change.
    Change {
        /// The change.
        change: ChangeRequest,
        /// Where the answer goes.
        reply: oneshot::Sender<ChangeReply>,
    },
    /// Read the state.
    Read(Box<dyn FnOnce(&ControlState) + Send>),
}

/// What became of a claim.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ClaimReply {
    /// The request may run, once.
    Granted(RecordId),
    /// It may not.
    Void(VoidReason),
    /// The claim was not read back in time. The request does not run.
    NotRecorded,
}

/// Reaches the control thread from other threads.
#[derive(Clone)]
pub struct ControlHandle {
    sender: mpsc::Sender<ControlRequest>,
}

impl ControlHandle {
    /// A handle that sends to `sender`.
    pub fn new(sender: mpsc::Sender<ControlRequest>) -> ControlHandle {
        ControlHandle { sender }
    }

    /// Claims a once-only request.
    pub async fn claim_key(
        &self,
        organisation: OrgName,
        key: IdempotencyKey,
        deadline: Moment,
    ) -> ClaimReply {
        let (reply, replied) = oneshot::channel();
        let request = ControlRequest::ClaimKey { organisation, key, deadline, reply };
        if self.sender.try_send(request).is_err() {
            return ClaimReply::NotRecorded;
        }
        replied.await.unwrap_or(ClaimReply::NotRecorded)
    }

    /// Brings the view up to date with all that was in the log at `since`. Returns whether that worked in time.
    pub async fn prove_view(&self, since: Moment) -> bool {
        let (reply, replied) = oneshot::channel();
        let sent = self.sender.try_send(ControlRequest::ProveView { since, reply });
        sent.is_ok() && replied.await.unwrap_or(false)
    }

    /// Finds out whether the key of a request that came at `since` is claimed.
    pub async fn find_claim(
        &self,
        organisation: OrgName,
        key: IdempotencyKey,
        since: Moment,
    ) -> ClaimStatus {
        let (reply, replied) = oneshot::channel();
        let request = ControlRequest::FindClaim { organisation, key, since, reply };
        match self.sender.try_send(request) {
            Ok(()) => replied.await.unwrap_or(ClaimStatus::Untold),
            Err(_) => ClaimStatus::Untold,
        }
    }

    /// Gives a claim back. If the control thread is too busy the claim stays, which is safe.
    pub fn release_key(&self, organisation: OrgName, key: IdempotencyKey, claim: RecordId) {
        let _ = self.sender.try_send(ControlRequest::ReleaseKey { organisation, key, claim });
    }

    /// Makes an operator's change.
    pub async fn change(&self, change: ChangeRequest) -> ChangeReply {
        let (reply, replied) = oneshot::channel();
        if self.sender.send(ControlRequest::Change { change, reply }).await.is_err() {
            return ChangeReply::NotTaken { reason: "the box is stopping".to_owned() };
        }
        replied.await.unwrap_or(ChangeReply::Unknown)
    }

    /// Reads something of the state; none if the box is stopping.
    pub async fn read<R: Send + 'static>(
        &self,
        read: impl FnOnce(&ControlState) -> R + Send + 'static,
    ) -> Option<R> {
        let (reply, replied) = oneshot::channel();
        let run = move |state: &ControlState| {
            let _ = reply.send(read(state));
        };
        self.sender.send(ControlRequest::Read(Box::new(run))).await.ok()?;
        replied.await.ok()
    }
}

/// Everything that the controllers own.
pub struct ControlState {
    shared: Arc<SharedState>,
    incarnation: Incarnation,
    began: Moment,
    fold: LogFold,
    log_heard: Moment,
    log_error: String,
    snapshot_at: u64,
    writer: LogWriter,
    members: MemberTable,
    list: PlatformList,
    list_read: bool,
    /// When the last look at the log that has ended was begun.
    log_looked: Moment,
    /// When the last read was begun that reached the end of the log.
    log_proven: Moment,
    proofs: proof::ProofQueue,
    /// When the last look at the list that has ended was begun.
    list_looked: Moment,
    last_published: Moment,
    /// When the box last woke from a pause, until it has looked at everything again.
    woke: Option<Moment>,
    leads: BTreeMap<HallName, LeadTimer>,
    placers: BTreeMap<HallName, HallPlacer>,
    order_lines: BTreeMap<HallName, OrderLine>,
    decisions: VecDeque<DecisionRecord>,
    stopping: bool,
    handed_over: BTreeSet<HallName>,
}

impl ControlState {
    fn new(shared: Arc<SharedState>) -> ControlState {
        let now = clock::now();
        ControlState {
            incarnation: Incarnation(clock::unix_ms()),
            began: now,
            fold: LogFold::default(),
            log_heard: now,
            log_error: "not asked yet".to_owned(),
            snapshot_at: 0,
            writer: LogWriter::new(shared.settings.id.clone()),
            members: MemberTable::new(shared.settings.member),
            list: PlatformList::default(),
            list_read: false,
            log_looked: Moment(0),
            log_proven: Moment(0),
            proofs: proof::ProofQueue::default(),
            list_looked: Moment(0),
            last_published: now,
            woke: None,
            leads: BTreeMap::new(),
            placers: BTreeMap::new(),
            order_lines: BTreeMap::new(),
            decisions: VecDeque::new(),
            stopping: false,
            handed_over: BTreeSet::new(),
            shared,
        }
    }

    fn me(&self) -> &BoxId {
        &self.shared.settings.id
    }

    fn cluster(&self) -> Option<&ClusterState> {
        self.fold.state()
    }

    /// How long the log has been silent.
    fn log_silence(&self, now: Moment) -> TimeSpan {
        now.since(self.log_heard)
    }

    /// Whether this box is to take no further duties.
    fn is_leaving(&self) -> bool {
        let asked = |state: &ClusterState| state.draining.contains(self.me());
        self.stopping || self.cluster().is_some_and(asked)
    }

    fn remember(&mut self, decision: DecisionRecord) {
        if self.decisions.len() >= KEPT_DECISIONS {
            self.decisions.pop_front();
        }
        self.decisions.push_back(decision);
    }
}

/// What the controllers share.
#[derive(Clone)]
struct ControlContext {
    state: Rc<RefCell<ControlState>>,
    shared: Arc<SharedState>,
    link: PeerLink,
    caller: JsonCaller,
    /// Wakes the log writer.
    write_wanted: Rc<Notify>,
    /// Wakes the placement controller.
    place_wanted: Rc<Notify>,
    /// Wakes the reader that proves that the state is new.
    proof_wanted: Rc<Notify>,
    /// Bounds the orders under way to workers: each needs memory for its connection.
    orders: Rc<Semaphore>,
}

/// Runs the controllers until the box stops.
pub async fn run(
    shared: Arc<SharedState>,
    link: PeerLink,
    peers: mpsc::Receiver<PeerRequest>,
    inbox: mpsc::Receiver<ControlRequest>,
) {
    let context = ControlContext {
        state: Rc::new(RefCell::new(ControlState::new(shared.clone()))),
        shared,
        link,
        caller: JsonCaller::new(),
        write_wanted: Rc::default(),
        place_wanted: Rc::default(),
        proof_wanted: Rc::default(),
        orders: Rc::new(Semaphore::new(ORDERS_AT_ONCE)),
    };
    tokio::task::spawn_local(log_reader::run(context.clone()));
    tokio::task::spawn_local(proof::run(context.clone()));
    tokio::task::spawn_local(log_writer::run(context.clone()));
    tokio::task::spawn_local(members::read_list(context.clone()));
    tokio::task::spawn_local(members::send_heartbeats(context.clone()));
    tokio::task::spawn_local(members::take_messages(context.clone(), peers));
    tokio::task::spawn_local(leads::run(context.clone()));
    tokio::task::spawn_local(placement::run(context.clone()));
    tokio::task::spawn_local(publish::run(context.clone()));
    tokio::task::spawn_local(operators::run(context.clone(), inbox));
    tokio::task::spawn_local(shutdown::follow_drain(context.clone()));
    shutdown::run(context).await;
}
