//! Relays calls of the lead to the store through another box.
//!
//! If the store does not answer the lead but answers a box that is linked to it, that box makes the
//! call. The store checks the condition of a relayed call, with its token, like that of a direct
//! one, and a relayed call without an answer may have been carried out as well.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use sedgehill_adapter::error::CallError;
use sedgehill_adapter::newest_page::NewestPage;
use sedgehill_adapter::store::{
    AppendCondition, AppendOutcome, KeyedRecord, NewestRecords, ReadOutcome, StoreTopic,
    collect_pages,
};
use sedgehill_cell::scheduler::HelperId;
use sedgehill_core::units::{Moment, TimeSpan};
use serde::{Deserialize, Serialize};
use slog::{info, warn};
use tokio::sync::oneshot;

use super::frames::PeerFrame;
use super::hedge::{self, AnsweredCopy, AppendCall};
use super::lead::LeadSession;
use super::state::CellBox;
use crate::clock;

/// Timeout of a relayed read. A slow store takes about 300 ms.
const READ_TIMEOUT: Duration = Duration::from_millis(800);
/// Timeout of a relayed append at the box that relays it. A slow store may delay appends for up to
/// two seconds.
const APPEND_TIMEOUT: Duration = Duration::from_millis(2_500);
/// How long a box's report that the store answers it stays valid. Boxes report every 300 ms.
const PATH_REPORT_LIFETIME: TimeSpan = TimeSpan(900);
/// The lead's own path is used again at the earliest this long after it failed, while another box
/// can relay.
const OWN_PATH_TRIAL: TimeSpan = TimeSpan(1_000);

/// A call to the store.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum RelayCall {
    /// Appends records.
    Append {
        /// The topic.
        topic: StoreTopic,
        /// The records.
        records: Vec<KeyedRecord>,
        /// The condition under which the store keeps them.
        condition: AppendCondition,
    },
    /// Reads from an offset on, without waiting for new records.
    Read {
        /// The topic.
        topic: StoreTopic,
        /// The offset.
        offset: u64,
    },
    /// Reads the newest record of each key of a topic. Sent by earlier releases: the answer is one
    /// frame, too long for the list of some thousand workers.
    Newest(StoreTopic),
    /// Reads one page of the newest records.
    NewestPage {
        /// The topic.
        topic: StoreTopic,
        /// The last key of the page before; none for the first page.
        after: Option<String>,
    },
}

/// The outcome of a relayed call.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum RelayAnswer {
    /// The answer to an append.
    Appended(AppendOutcome),
    /// The answer to a read.
    Read(ReadOutcome),
    /// The answer to a read of the newest records.
    Newest(NewestRecords),
    /// The call failed; an append may have been carried out.
    Failed(String),
    /// The answer to a read of one page of the newest records.
    NewestPage(NewestPage),
}

/// Knows the boxes that can relay calls of the lead, and the calls under way.
#[derive(Debug, Default)]
pub struct StoreRelay {
    /// Boxes that the store answers.
    paths: RefCell<HashMap<HelperId, PathReport>>,
    pending: RefCell<HashMap<u64, oneshot::Sender<RelayAnswer>>>,
    next_number: Cell<u64>,
    /// When the lead's own path to the store failed; none while it works.
    own_path_cut: Cell<Option<Moment>>,
}

/// The last report of a box that the store answers it.
#[derive(Debug, Clone, Copy)]
struct PathReport {
    at: Moment,
    /// Whether the box stands by, and so reads from the store every half second. What the others
    /// report may be some seconds old.
    stands_by: bool,
}

impl StoreRelay {
    /// Records whether the store answers a box.
    pub fn note_path(&self, helper: HelperId, store_answers: bool, stands_by: bool) {
        let report = PathReport { at: clock::now(), stands_by };
        match store_answers {
            true => self.paths.borrow_mut().insert(helper, report),
            false => self.paths.borrow_mut().remove(&helper),
        };
    }

    /// Removes a box whose link has ended.
    pub fn remove(&self, helper: HelperId) {
        self.paths.borrow_mut().remove(&helper);
    }

    /// Registers a call that is about to be sent. Removes calls that were abandoned because another
    /// copy was answered first.
    fn register_call(&self, number: u64, reply: oneshot::Sender<RelayAnswer>) {
        let mut pending = self.pending.borrow_mut();
        pending.retain(|_, reply| !reply.is_closed());
        pending.insert(number, reply);
    }

    /// Hands an answer to the call that waits for it.
    pub fn complete_call(&self, number: u64, answer: RelayAnswer) {
        if let Some(reply) = self.pending.borrow_mut().remove(&number) {
            // The call may have been abandoned.
            let _ = reply.send(answer);
        }
    }

    /// Returns a box that the store answers: one that stands by, or else any. Successive calls rotate
    /// through these boxes.
    fn choose_helper(&self) -> Option<HelperId> {
        let now = clock::now();
        let paths = self.paths.borrow();
        let is_recent = |report: &PathReport| now.since(report.at) <= PATH_REPORT_LIFETIME;
        let any_stands_by = paths.values().any(|report| report.stands_by && is_recent(report));
        let mut candidates: Vec<HelperId> = paths
            .iter()
            .filter(|(_, report)| is_recent(report) && report.stands_by == any_stands_by)
            .map(|(helper, _)| *helper)
            .collect();
        candidates.sort_unstable();
        let turn = self.next_number.get() as usize;
        (!candidates.is_empty()).then(|| candidates[turn % candidates.len()])
    }
}

fn no_relay_error() -> CallError {
    CallError::NotDone("no box can relay the call".to_owned())
}

impl LeadSession {
    /// Returns whether the lead's own path to the store has failed while another box can relay.
    pub fn is_relaying(&self) -> bool {
        self.relay.own_path_cut.get().is_some() && self.relay.choose_helper().is_some()
    }

    async fn call_helper(
        &self,
        helper: HelperId,
        call: RelayCall,
        timeout: Duration,
    ) -> Result<RelayAnswer, CallError> {
        let number = self.relay.next_number.get();
        self.relay.next_number.set(number + 1);
        let (reply, answer) = oneshot::channel();
        self.relay.register_call(number, reply);
        let frame = PeerFrame::Relay { number, call }.encode();
        let sent =
            self.helpers.borrow().get(&helper).is_some_and(|queue| queue.try_send(frame).is_ok());
        if !sent {
            self.relay.pending.borrow_mut().remove(&number);
            return Err(no_relay_error());
        }
        let answer = tokio::time::timeout(timeout, answer).await;
        self.relay.pending.borrow_mut().remove(&number);
        match answer {
            Ok(Ok(RelayAnswer::Failed(reason))) => Err(CallError::Unknown(reason)),
            Ok(Ok(answer)) => Ok(answer),
            Ok(Err(_)) | Err(_) => {
                Err(CallError::Unknown("the relaying box did not answer".to_owned()))
            }
        }
    }

    /// Appends directly, or through another box while the own path is down. If a direct append is
    /// not answered in the usual time, more copies are sent: one from this box on a new connection,
    /// and later ones through another box. If a relayed copy is answered first, or the first copy
    /// fails before that, the own path counts as down. If a direct copy is answered first, the store
    /// is merely slow.
    pub async fn append(
        &self,
        host: &CellBox,
        call: AppendCall<'_>,
    ) -> Result<AppendOutcome, CallError> {
        let result = match self.is_relaying() {
            true => self.append_relayed(host, call).await,
            false => self.append_directly(host, call).await,
        };
        if result.is_ok() {
            let was_silent = !self.store_answers(host);
            self.last_append_answer.set(clock::now());
            if was_silent {
                self.store_recovered.notify_waiters();
            }
        }
        result
    }

    async fn append_directly(
        &self,
        host: &CellBox,
        call: AppendCall<'_>,
    ) -> Result<AppendOutcome, CallError> {
        let is_relayed = Cell::new(false);
        let further_copies = Cell::new(0);
        let send_copy = || async {
            further_copies.set(further_copies.get() + 1);
            // The first copy may have been sent on a connection that fell silent, so the second
            // goes out from this box on a new connection, and later ones through another box.
            let helper = if further_copies.get() > 1 { self.choose_any_helper() } else { None };
            is_relayed.set(helper.is_some());
            match helper {
                Some(helper) => self.send_append(host, helper, call).await,
                None => hedge::append_once(host, call).await,
            }
        };
        let (copy, result) = hedge::append_hedged_by(host, call, send_copy).await;
        let answered_by_relay = is_relayed.get() && copy == AnsweredCopy::Second;
        self.note_own_path(host, result.is_ok() && !answered_by_relay);
        result
    }

    async fn append_relayed(
        &self,
        host: &CellBox,
        call: AppendCall<'_>,
    ) -> Result<AppendOutcome, CallError> {
        let helper = self.relay.choose_helper().ok_or_else(no_relay_error)?;
        let result = self.send_append(host, helper, call).await;
        match &result {
            Ok(_) => self.restore_own_path(host),
            // The path of the relaying box may be the one that fails, so the next try is direct.
            Err(_) => self.relay.own_path_cut.set(None),
        }
        result
    }

    /// Returns a box to try when the own path does not answer: one that the store answers by its
    /// own report, or else the one with the newest link. A store may leave reads unanswered for a
    /// moment but still answer appends.
    fn choose_any_helper(&self) -> Option<HelperId> {
        let newest_helper = || self.helpers.borrow().keys().max().copied();
        self.relay.choose_helper().or_else(newest_helper)
    }

    async fn send_append(
        &self,
        host: &CellBox,
        helper: HelperId,
        call: AppendCall<'_>,
    ) -> Result<AppendOutcome, CallError> {
        let timeout = host.store_timeout.borrow().timeout().max(MIN_RELAY_TIMEOUT);
        let AppendCall { topic, records, condition } = call;
        let (records, condition) = (records.to_vec(), condition.clone());
        let call = RelayCall::Append { topic, records, condition };
        match self.call_helper(helper, call, timeout).await? {
            RelayAnswer::Appended(outcome) => Ok(outcome),
            _ => Err(CallError::Unknown(
                "the relaying box returned an answer of the wrong kind".to_owned(),
            )),
        }
    }

    /// Reads a topic through another box.
    pub async fn read_relayed(
        &self,
        topic: StoreTopic,
        offset: u64,
    ) -> Result<ReadOutcome, CallError> {
        let helper = self.relay.choose_helper().ok_or_else(no_relay_error)?;
        match self.call_helper(helper, RelayCall::Read { topic, offset }, READ_TIMEOUT).await? {
            RelayAnswer::Read(outcome) => Ok(outcome),
            _ => Err(CallError::Unknown(
                "the relaying box returned an answer of the wrong kind".to_owned(),
            )),
        }
    }

    /// Reads the newest records of a topic through another box.
    pub async fn newest_relayed(&self, topic: StoreTopic) -> Result<NewestRecords, CallError> {
        collect_pages(async |after| {
            let helper = self.relay.choose_helper().ok_or_else(no_relay_error)?;
            let call = RelayCall::NewestPage { topic, after };
            match self.call_helper(helper, call, READ_TIMEOUT).await? {
                RelayAnswer::NewestPage(page) => Ok(page),
                _ => Err(CallError::Unknown(
                    "the relaying box returned an answer of the wrong kind".to_owned(),
                )),
            }
        })
        .await
    }

    fn note_own_path(&self, host: &CellBox, answers: bool) {
        let was_cut = self.relay.own_path_cut.get().is_some();
        if answers && was_cut {
            info!(host.log, "own path to the store is back"; "token" => %self.token);
        }
        if !answers && !was_cut {
            warn!(host.log, "own path to the store fails"; "token" => %self.token,
                "other_paths" => self.relay.paths.borrow().len());
        }
        let since = self.relay.own_path_cut.get().unwrap_or_else(clock::now);
        self.relay.own_path_cut.set((!answers).then_some(since));
    }

    /// Marks the own path as working once [`OWN_PATH_TRIAL`] has passed and a read on it has been
    /// answered since it failed.
    fn restore_own_path(&self, host: &CellBox) {
        let Some(since) = self.relay.own_path_cut.get() else { return };
        if clock::now().since(since) >= OWN_PATH_TRIAL && host.store_contact.answered_after(since) {
            self.note_own_path(host, true);
        }
    }
}

/// Minimum timeout of a relayed append: it crosses two more links than a direct one, and the
/// relaying box may be slow.
const MIN_RELAY_TIMEOUT: Duration = Duration::from_millis(400);

/// Makes a call to the store for the lead.
pub async fn execute(host: &Rc<CellBox>, call: RelayCall) -> RelayAnswer {
    let store = &host.clients.store;
    let result = match call {
        RelayCall::Append { topic, records, condition } => store
            .append(topic, &records, &condition, APPEND_TIMEOUT.into())
            .await
            .map(RelayAnswer::Appended),
        RelayCall::Read { topic, offset } => store
            .read(topic, offset, Duration::ZERO, READ_TIMEOUT.into())
            .await
            .map(RelayAnswer::Read),
        RelayCall::Newest(topic) => {
            store.read_newest(topic, READ_TIMEOUT).await.map(RelayAnswer::Newest)
        }
        RelayCall::NewestPage { topic, after } => store
            .read_newest_page(topic, after.as_deref(), READ_TIMEOUT)
            .await
            .map(RelayAnswer::NewestPage),
    };
    result.unwrap_or_else(|error| RelayAnswer::Failed(error.to_string()))
}
