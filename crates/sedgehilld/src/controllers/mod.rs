//! The controllers, each of which maintains one part of the state of a box. All run on one thread, so they share the
//! state without locks, and publish what the other threads need.

mod leads;
mod log_reader;
mod log_writer;
mod members;
mod placement;
mod publish;
mod refresh;
mod reports;
mod requests;
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
use sedgehill_platform::client::JsonClient;
use sedgehill_platform::list::PlatformList;
use tokio::sync::{Notify, Semaphore, mpsc, oneshot};

use crate::clock;
use crate::shared::SharedState;
use log_writer::LogWriter;
use placement::OrderChannel;

/// Capacity of the queue of requests to the control thread. Traffic threads treat a full queue as a failure; operators'
/// requests wait for a free place in it.
pub const CONTROL_QUEUE_LENGTH: usize = 4_096;
/// Maximum number of start orders to workers in flight at once.
const MAX_CONCURRENT_ORDERS: usize = 32;
/// Maximum number of placement decisions that are kept for operators.
const MAX_DECISIONS: usize = 4_096;

/// A request of another thread to the control thread.
pub enum ControlRequest {
    /// Claims the idempotency key of a once-only request in the log.
    ClaimKey {
        /// Organisation of the caller.
        organisation: OrgName,
        /// Key to claim.
        key: IdempotencyKey,
        /// Deadline of the caller's request.
        deadline: Moment,
        /// Receives the result.
        reply: oneshot::Sender<ClaimReply>,
    },
    /// Updates the view so that it includes every entry that was in the log at a moment.
    RefreshView {
        /// The moment.
        since: Moment,
        /// Receives whether the view was updated in time.
        reply: oneshot::Sender<bool>,
    },
    /// Finds out whether an idempotency key is claimed.
    FindClaim {
        /// Organisation of the caller.
        organisation: OrgName,
        /// Key to look up.
        key: IdempotencyKey,
        /// When the request with this key arrived.
        since: Moment,
        /// Receives the status of the key.
        reply: oneshot::Sender<ClaimStatus>,
    },
    /// Releases the claim of a key whose request surely did not run.
    ReleaseKey {
        /// Organisation of the caller.
        organisation: OrgName,
        /// Claimed key.
        key: IdempotencyKey,
        /// Id of the claim's record.
        claim: RecordId,
    },
    /// Executes an operator's change.
    Change {
        /// The change.
        change: ChangeRequest,
        /// Receives the result.
        reply: oneshot::Sender<ChangeReply>,
    },
    /// Calls a function with the state, to read from it.
    Read(Box<dyn FnOnce(&ControlState) + Send>),
}

/// The result of claiming a key.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ClaimReply {
    /// The claim is recorded under this id, and the request may run once.
    Granted(RecordId),
    /// The log contains the claim, but it is void. The request must not run.
    Void(VoidReason),
    /// The claim was not read back from the log in time. The request must not run.
    NotRecorded,
}

/// Sends requests from other threads to the control thread.
#[derive(Clone)]
pub struct ControlHandle {
    sender: mpsc::Sender<ControlRequest>,
}

impl ControlHandle {
    /// Creates a handle that sends to `sender`.
    pub fn new(sender: mpsc::Sender<ControlRequest>) -> ControlHandle {
        ControlHandle { sender }
    }

    /// Claims the idempotency key of a once-only request.
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

    /// Updates the view so that it includes every entry that was in the log at `since`. Returns whether that was done
    /// in time.
    pub async fn refresh_view(&self, since: Moment) -> bool {
        let (reply, replied) = oneshot::channel();
        let sent = self.sender.try_send(ControlRequest::RefreshView { since, reply });
        sent.is_ok() && replied.await.unwrap_or(false)
    }

    /// Finds out whether the key of a request that arrived at `since` is claimed.
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

    /// Releases a claim. If the queue of the control thread is full, the claim remains: the caller cannot retry with
    /// the key, but no request runs twice.
    pub fn release_key(&self, organisation: OrgName, key: IdempotencyKey, claim: RecordId) {
        let _ = self.sender.try_send(ControlRequest::ReleaseKey { organisation, key, claim });
    }

    /// Executes an operator's change and returns its result.
    pub async fn change(&self, change: ChangeRequest) -> ChangeReply {
        let (reply, replied) = oneshot::channel();
        if self.sender.send(ControlRequest::Change { change, reply }).await.is_err() {
            return ChangeReply::NotTaken { reason: "the box is stopping".to_owned() };
        }
        replied.await.unwrap_or(ChangeReply::Unknown)
    }

    /// Calls `read` with the state and returns its result, or `None` if the box is stopping.
    pub async fn read<R: Send + 'static>(
        &self,
        read: impl FnOnce(&ControlState) -> R + Send + 'static,
    ) -> Option<R> {
        let (reply, replied) = oneshot::channel();
        let read_and_reply = move |state: &ControlState| {
            let _ = reply.send(read(state));
        };
        self.sender.send(ControlRequest::Read(Box::new(read_and_reply))).await.ok()?;
        replied.await.ok()
    }
}

/// The state that the controllers own.
pub struct ControlState {
    shared: Arc<SharedState>,
    incarnation: Incarnation,
    started_at: Moment,
    /// Folds the log into the state of the cluster.
    fold: LogFold,
    /// When the log last answered a read.
    last_log_reply_at: Moment,
    /// Error of the last failed read of the log.
    log_error: String,
    /// Highest offset that a snapshot covers, of those that were read from the log or submitted by this box.
    last_snapshot: u64,
    writer: LogWriter,
    members: MemberTable,
    list: PlatformList,
    /// Whether the platform's list was read at least once.
    list_loaded: bool,
    /// When the last finished read of the log, successful or not, was started.
    log_read_started_at: Moment,
    /// When the last read that reached the end of the log was started. The state includes every entry that was in the
    /// log at that time.
    log_current_as_of: Moment,
    refreshes: refresh::RefreshQueue,
    /// When the last finished read of the platform's list, successful or not, was started.
    list_read_started_at: Moment,
    /// When the controllers last tried to publish.
    last_published: Moment,
    /// When the process resumed after a pause; `None` once the log and the list were read again, or after a timeout.
    resumed_at: Option<Moment>,
    leads: BTreeMap<HallName, LeadTimer>,
    placers: BTreeMap<HallName, HallPlacer>,
    order_channels: BTreeMap<HallName, OrderChannel>,
    decisions: VecDeque<DecisionRecord>,
    /// Whether a planned stop has started.
    stopping: bool,
    /// Halls whose lead this box gives up, so that it neither places tasks there nor renews the lead.
    handed_over_halls: BTreeSet<HallName>,
}

impl ControlState {
    fn new(shared: Arc<SharedState>) -> ControlState {
        let now = clock::now();
        ControlState {
            incarnation: Incarnation(clock::unix_ms()),
            started_at: now,
            fold: LogFold::default(),
            last_log_reply_at: now,
            log_error: "not asked yet".to_owned(),
            last_snapshot: 0,
            writer: LogWriter::new(shared.settings.id.clone()),
            members: MemberTable::new(shared.settings.member),
            list: PlatformList::default(),
            list_loaded: false,
            log_read_started_at: Moment(0),
            log_current_as_of: Moment(0),
            refreshes: refresh::RefreshQueue::default(),
            list_read_started_at: Moment(0),
            last_published: now,
            resumed_at: None,
            leads: BTreeMap::new(),
            placers: BTreeMap::new(),
            order_channels: BTreeMap::new(),
            decisions: VecDeque::new(),
            stopping: false,
            handed_over_halls: BTreeSet::new(),
            shared,
        }
    }

    fn own_id(&self) -> &BoxId {
        &self.shared.settings.id
    }

    fn cluster(&self) -> Option<&ClusterState> {
        self.fold.state()
    }

    /// Returns how long the log has not answered.
    fn log_silence(&self, now: Moment) -> TimeSpan {
        now.since(self.last_log_reply_at)
    }

    /// Returns whether this box reports itself as draining and holds no leads, because it stops or an operator drains
    /// it.
    fn is_leaving(&self) -> bool {
        let is_drained = |state: &ClusterState| state.draining.contains(self.own_id());
        self.stopping || self.cluster().is_some_and(is_drained)
    }

    fn record_decision(&mut self, decision: DecisionRecord) {
        if self.decisions.len() >= MAX_DECISIONS {
            self.decisions.pop_front();
        }
        self.decisions.push_back(decision);
    }
}

/// The state and the handles that the controllers share.
#[derive(Clone)]
struct ControlContext {
    state: Rc<RefCell<ControlState>>,
    shared: Arc<SharedState>,
    link: PeerLink,
    client: JsonClient,
    /// Wakes the log writer when records are to be appended.
    writer_notify: Rc<Notify>,
    /// Wakes the placement controller before its next tick.
    placement_notify: Rc<Notify>,
    /// Wakes the refresh controller when a request needs the end of the log.
    refresh_notify: Rc<Notify>,
    /// Bounds the start orders in flight, since each needs memory for its connection.
    order_permits: Rc<Semaphore>,
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
        client: JsonClient::new(),
        writer_notify: Rc::default(),
        placement_notify: Rc::default(),
        refresh_notify: Rc::default(),
        order_permits: Rc::new(Semaphore::new(MAX_CONCURRENT_ORDERS)),
    };
    tokio::task::spawn_local(log_reader::run(context.clone()));
    tokio::task::spawn_local(refresh::run(context.clone()));
    tokio::task::spawn_local(log_writer::run(context.clone()));
    tokio::task::spawn_local(members::read_list(context.clone()));
    tokio::task::spawn_local(members::send_heartbeats(context.clone()));
    tokio::task::spawn_local(members::handle_messages(context.clone(), peers));
    tokio::task::spawn_local(leads::run(context.clone()));
    tokio::task::spawn_local(placement::run(context.clone()));
    tokio::task::spawn_local(publish::run(context.clone()));
    tokio::task::spawn_local(requests::run(context.clone(), inbox));
    tokio::task::spawn_local(shutdown::watch_drain(context.clone()));
    shutdown::run(context).await;
}
