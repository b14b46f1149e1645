//! Calls of the lead to the store by way of another box.
//!
//! When the store does not answer the lead but answers a box that keeps a link to it, the lead has
//! that box make the call. A relayed call is the same call: its condition, and the token in it, are
//! checked by the store, and one without an answer may have been done.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use sedgehill_adapter::error::CallError;
use sedgehill_adapter::store::{
    AppendCondition, AppendOutcome, KeyedRecord, NewestRecords, ReadOutcome, StoreTopic,
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

/// How long a box may take for a relayed read. A slow store takes some 300 ms.
const READ_LIMIT: Duration = Duration::from_millis(800);
/// How long a box may take for a relayed append. A slow store lets appends wait for up to two seconds.
const APPEND_LIMIT: Duration = Duration::from_millis(2_500);
/// What a box said of its path to the store counts for so long; it says so every 300 ms.
const SAID: TimeSpan = TimeSpan(900);
/// A path that failed is not used again before it has answered for so long, if there is another.
const PATH_TRIAL: TimeSpan = TimeSpan(1_000);

/// A call to the store.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum RelayCall {
    /// Append records.
    Append {
        /// The topic.
        topic: StoreTopic,
        /// The records.
        records: Vec<KeyedRecord>,
        /// On what condition.
        condition: AppendCondition,
    },
    /// Read from an offset on, without waiting.
    Read {
        /// The topic.
        topic: StoreTopic,
        /// The offset.
        offset: u64,
    },
    /// Read the newest record of each key.
    Newest(StoreTopic),
}

/// What came of a relayed call.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum RelayAnswer {
    /// Of an append.
    Appended(AppendOutcome),
    /// Of a read.
    Read(ReadOutcome),
    /// Of a read of the newest records.
    Newest(NewestRecords),
    /// No answer of use; it may have been done.
    Failed(String),
}

/// The boxes by way of which the lead can call, and the calls under way.
#[derive(Debug, Default)]
pub struct RelayDesk {
    /// Boxes that the store answers, with when they last said so.
    paths: RefCell<HashMap<HelperId, Moment>>,
    waiting: RefCell<HashMap<u64, oneshot::Sender<RelayAnswer>>>,
    next_number: Cell<u64>,
    /// Since when the lead's own path is taken as cut.
    cut: Cell<Option<Moment>>,
}

impl RelayDesk {
    /// Notes what a box says of its own path.
    pub fn note_path(&self, helper: HelperId, store_answers: bool) {
        match store_answers {
            true => self.paths.borrow_mut().insert(helper, clock::now()),
            false => self.paths.borrow_mut().remove(&helper),
        };
    }

    /// A box cannot be asked any more.
    pub fn remove(&self, helper: HelperId) {
        self.paths.borrow_mut().remove(&helper);
    }

    /// Notes a call that is about to be sent, and forgets those that were given up since another copy
    /// was answered first.
    fn expect_answer(&self, number: u64, reply: oneshot::Sender<RelayAnswer>) {
        let mut waiting = self.waiting.borrow_mut();
        waiting.retain(|_, reply| !reply.is_closed());
        waiting.insert(number, reply);
    }

    /// Takes in an answer.
    pub fn take_answer(&self, number: u64, answer: RelayAnswer) {
        if let Some(reply) = self.waiting.borrow_mut().remove(&number) {
            // The call may have been given up.
            let _ = reply.send(answer);
        }
    }

    /// A box that the store answers, another one each time.
    fn choose(&self) -> Option<HelperId> {
        let now = clock::now();
        let paths = self.paths.borrow();
        let mut fit: Vec<HelperId> = paths
            .iter()
            .filter(|(_, said)| now.since(**said) <= SAID)
            .map(|(helper, _)| *helper)
            .collect();
        fit.sort_unstable();
        let turn = self.next_number.get() as usize;
        (!fit.is_empty()).then(|| fit[turn % fit.len()])
    }
}

fn no_relay() -> CallError {
    CallError::NotDone("no box to relay the call".to_owned())
}

impl LeadSession {
    /// Whether the lead's own path to the store is cut while another box has one.
    pub fn relays(&self) -> bool {
        self.relay.cut.get().is_some() && self.relay.choose().is_some()
    }

    async fn relay(
        &self,
        helper: HelperId,
        call: RelayCall,
        limit: Duration,
    ) -> Result<RelayAnswer, CallError> {
        let number = self.relay.next_number.get();
        self.relay.next_number.set(number + 1);
        let (reply, answer) = oneshot::channel();
        self.relay.expect_answer(number, reply);
        let frame = PeerFrame::Relay { number, call }.encode();
        let sent =
            self.helpers.borrow().get(&helper).is_some_and(|queue| queue.try_send(frame).is_ok());
        if !sent {
            self.relay.waiting.borrow_mut().remove(&number);
            return Err(no_relay());
        }
        let answer = tokio::time::timeout(limit, answer).await;
        self.relay.waiting.borrow_mut().remove(&number);
        match answer {
            Ok(Ok(RelayAnswer::Failed(reason))) => Err(CallError::Unknown(reason)),
            Ok(Ok(answer)) => Ok(answer),
            Ok(Err(_)) | Err(_) => Err(CallError::Unknown("no relayed answer".to_owned())),
        }
    }

    /// Appends by the lead's own path, or by another box while the own path is cut. An append that is
    /// not answered in the usual time goes the other way as well: if that is answered first, the own
    /// path is cut, and otherwise the store is slow.
    pub async fn append(
        &self,
        host: &CellBox,
        call: AppendCall<'_>,
    ) -> Result<AppendOutcome, CallError> {
        let result = match self.relays() {
            true => self.append_relayed(host, call).await,
            false => self.append_own(host, call).await,
        };
        if result.is_ok() {
            let was_silent = !self.store_answers(host);
            self.answered.set(clock::now());
            if was_silent {
                self.store_back.notify_waiters();
            }
        }
        result
    }

    async fn append_own(
        &self,
        host: &CellBox,
        call: AppendCall<'_>,
    ) -> Result<AppendOutcome, CallError> {
        let relayed = Cell::new(false);
        let copies = Cell::new(0);
        let second = || async {
            copies.set(copies.get() + 1);
            // The first copy may have gone out on a connection that fell silent; the next goes on a new one.
            let helper = if copies.get() > 1 { self.choose_any() } else { None };
            relayed.set(helper.is_some());
            match helper {
                Some(helper) => self.relay_append(host, helper, call).await,
                None => hedge::append_once(host, call).await,
            }
        };
        let (copy, result) = hedge::append_hedged(host, call, second).await;
        let by_relay = relayed.get() && copy == AnsweredCopy::Second;
        self.note_own_path(host, result.is_ok() && !by_relay);
        result
    }

    async fn append_relayed(
        &self,
        host: &CellBox,
        call: AppendCall<'_>,
    ) -> Result<AppendOutcome, CallError> {
        let helper = self.relay.choose().ok_or_else(no_relay)?;
        let result = self.relay_append(host, helper, call).await;
        match &result {
            Ok(_) => self.try_own_path(host),
            // The box may be the one that is cut: the own path gets the next try.
            Err(_) => self.relay.cut.set(None),
        }
        result
    }

    /// A box to try when the own path does not answer: one that the store answers as it says, or else
    /// any. A store that is silent to reads for a moment may answer its appends.
    fn choose_any(&self) -> Option<HelperId> {
        let any = || self.helpers.borrow().keys().max().copied();
        self.relay.choose().or_else(any)
    }

    async fn relay_append(
        &self,
        host: &CellBox,
        helper: HelperId,
        call: AppendCall<'_>,
    ) -> Result<AppendOutcome, CallError> {
        let limit = host.store_patience.borrow().timeout().max(RELAY_LEAST);
        let AppendCall { topic, records, condition } = call;
        let (records, condition) = (records.to_vec(), condition.clone());
        let call = RelayCall::Append { topic, records, condition };
        match self.relay(helper, call, limit).await? {
            RelayAnswer::Appended(outcome) => Ok(outcome),
            _ => Err(CallError::Unknown("an answer of another kind".to_owned())),
        }
    }

    /// Reads a topic by way of another box.
    pub async fn read_relayed(
        &self,
        topic: StoreTopic,
        offset: u64,
    ) -> Result<ReadOutcome, CallError> {
        let helper = self.relay.choose().ok_or_else(no_relay)?;
        match self.relay(helper, RelayCall::Read { topic, offset }, READ_LIMIT).await? {
            RelayAnswer::Read(outcome) => Ok(outcome),
            _ => Err(CallError::Unknown("an answer of another kind".to_owned())),
        }
    }

    /// Reads the newest records by way of another box.
    pub async fn newest_relayed(&self, topic: StoreTopic) -> Result<NewestRecords, CallError> {
        let helper = self.relay.choose().ok_or_else(no_relay)?;
        match self.relay(helper, RelayCall::Newest(topic), READ_LIMIT).await? {
            RelayAnswer::Newest(newest) => Ok(newest),
            _ => Err(CallError::Unknown("an answer of another kind".to_owned())),
        }
    }

    fn note_own_path(&self, host: &CellBox, answers: bool) {
        let was_cut = self.relay.cut.get().is_some();
        if answers && was_cut {
            info!(host.log, "own path to the store is back"; "token" => %self.token);
        }
        if !answers && !was_cut {
            warn!(host.log, "own path to the store fails"; "token" => %self.token,
                "other_paths" => self.relay.paths.borrow().len());
        }
        let since = self.relay.cut.get().unwrap_or_else(clock::now);
        self.relay.cut.set((!answers).then_some(since));
    }

    /// Takes the own path again once reads on it have been answered for a time.
    fn try_own_path(&self, host: &CellBox) {
        let Some(since) = self.relay.cut.get() else { return };
        if clock::now().since(since) >= PATH_TRIAL && host.store_contact.heard_after(since) {
            self.note_own_path(host, true);
        }
    }
}

/// A relayed call takes two more ways than a direct one, and the other box may be slow.
const RELAY_LEAST: Duration = Duration::from_millis(400);

/// Makes a call for the lead.
pub async fn carry_out(host: &Rc<CellBox>, call: RelayCall) -> RelayAnswer {
    let store = &host.clients.store;
    let result = match call {
        RelayCall::Append { topic, records, condition } => store
            .append(topic, &records, &condition, APPEND_LIMIT.into())
            .await
            .map(RelayAnswer::Appended),
        RelayCall::Read { topic, offset } => store
            .read(topic, offset, Duration::ZERO, READ_LIMIT.into())
            .await
            .map(RelayAnswer::Read),
        RelayCall::Newest(topic) => {
            store.read_newest(topic, READ_LIMIT).await.map(RelayAnswer::Newest)
        }
    };
    result.unwrap_or_else(|error| RelayAnswer::Failed(error.to_string()))
}
