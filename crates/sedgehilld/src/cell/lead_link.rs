//! Requests of a box to the lead over its link, and the requests that wait for an answer.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::time::Duration;

use sedgehill_adapter::store::StoreTopic;
use sedgehill_cell::ids::{JobId, OrganisationName, QueueName};
use sedgehill_cell::replica::CellRecord;
use sedgehill_core::units::Moment;
use tokio::sync::{mpsc, oneshot};

use super::frames::{PeerFrame, StateAnswer, ViewProof};
use super::state::CellBox;
use super::submission::SubmissionOutcome;

/// Timeout of a question for the state of a job or for the length of a queue.
const STATE_TIMEOUT: Duration = Duration::from_millis(800);

/// A request that waits for an answer. It is sent again when the connection is replaced.
struct PendingRequest<T> {
    frame: PeerFrame,
    reply: oneshot::Sender<T>,
}

/// Pending requests of one kind, by number.
struct PendingRequests<T>(RefCell<HashMap<u64, PendingRequest<T>>>);

impl<T> Default for PendingRequests<T> {
    fn default() -> PendingRequests<T> {
        PendingRequests(RefCell::default())
    }
}

impl<T> PendingRequests<T> {
    fn register(&self, number: u64, frame: PeerFrame) -> oneshot::Receiver<T> {
        let (reply, answer) = oneshot::channel();
        self.0.borrow_mut().insert(number, PendingRequest { frame, reply });
        answer
    }

    fn complete(&self, number: u64, answer: T) {
        if let Some(pending) = self.0.borrow_mut().remove(&number) {
            // A caller that no longer waits will retry.
            let _ = pending.reply.send(answer);
        }
    }

    fn remove(&self, number: u64) {
        self.0.borrow_mut().remove(&number);
    }

    fn clear(&self) {
        self.0.borrow_mut().clear();
    }

    /// Removes the requests whose answer nobody waits for any more.
    fn drop_abandoned(&self) {
        self.0.borrow_mut().retain(|_, pending| !pending.reply.is_closed());
    }

    fn frames(&self) -> Vec<PeerFrame> {
        self.0.borrow().values().map(|pending| pending.frame.clone()).collect()
    }
}

/// The link of this box to the lead. It outlives a replaced connection.
pub struct LeadLink {
    /// Frames to send to the lead.
    pub outbox: mpsc::Sender<PeerFrame>,
    /// The number of the last probe of the lead's views, and when it was sent.
    pub last_probe: Cell<Option<(u64, Moment)>>,
    /// Whether the lead of the present connection understands reports of unsettled jobs, and has
    /// been sent all of them.
    pub takes_unsettled: Cell<bool>,
    /// Whether the store answers the lead, by the lead's last ping.
    store_answers: Cell<bool>,
    next_number: Cell<u64>,
    submit_requests: PendingRequests<SubmissionOutcome>,
    state_requests: PendingRequests<StateAnswer>,
    count_requests: PendingRequests<Option<u64>>,
    /// Whether the last proof named a newer configuration than this box has.
    config_behind: Cell<bool>,
}

impl LeadLink {
    /// Creates a link whose frames are put into `outbox`.
    pub fn new(outbox: mpsc::Sender<PeerFrame>) -> LeadLink {
        LeadLink {
            outbox,
            last_probe: Cell::default(),
            takes_unsettled: Cell::new(false),
            store_answers: Cell::new(false),
            next_number: Cell::new(0),
            submit_requests: PendingRequests::default(),
            state_requests: PendingRequests::default(),
            count_requests: PendingRequests::default(),
            config_behind: Cell::default(),
        }
    }

    /// Returns whether the lead can append submissions to the store.
    pub fn takes_submissions(&self) -> bool {
        self.store_answers.get()
    }

    /// Records whether the store answers the lead.
    pub fn note_store_answers(&self, answers: bool) {
        self.store_answers.set(answers);
    }

    /// Sends a request. Returns none if the outbox is full.
    fn ask<T>(
        &self,
        requests: &PendingRequests<T>,
        build_frame: impl FnOnce(u64) -> PeerFrame,
    ) -> Option<oneshot::Receiver<T>> {
        let number = self.next_request_number();
        let frame = build_frame(number);
        let answer = requests.register(number, frame.clone());
        if self.outbox.try_send(frame).is_err() {
            requests.remove(number);
            return None;
        }
        Some(answer)
    }

    /// Submits a job or a cancellation to the lead. Returns none if the link was lost before the
    /// answer.
    pub async fn submit(&self, job: JobId, record: &CellRecord) -> Option<SubmissionOutcome> {
        let record = record.clone();
        let build_frame = |number| PeerFrame::Submit { number, job, record };
        match self.ask(&self.submit_requests, build_frame) {
            Some(answer) => answer.await.ok(),
            None => Some(SubmissionOutcome::NotDone),
        }
    }

    /// Asks the lead for the state of a job.
    pub async fn ask_state(&self, job: JobId, caller: Option<OrganisationName>) -> StateAnswer {
        let build_frame = |number| PeerFrame::AskState { number, job, caller };
        let Some(answer) = self.ask(&self.state_requests, build_frame) else {
            return StateAnswer::Untold;
        };
        match tokio::time::timeout(STATE_TIMEOUT, answer).await {
            Ok(Ok(answer)) => answer,
            Ok(Err(_)) | Err(_) => StateAnswer::Untold,
        }
    }

    /// Asks the lead how many jobs of a queue wait.
    pub async fn ask_waiting(&self, queue: QueueName) -> Option<u64> {
        let build_frame = |number| PeerFrame::AskWaiting { number, queue };
        let answer = self.ask(&self.count_requests, build_frame)?;
        tokio::time::timeout(STATE_TIMEOUT, answer).await.ok()?.ok()?
    }

    /// Asks the lead for records that this box lacks and cannot read from the store itself.
    pub fn fetch_missing(&self, host: &CellBox, proof: &ViewProof) {
        let is_behind = host.config.borrow().version < proof.config;
        // A version that is still missing since the previous proof will probably not arrive from
        // the store.
        if self.config_behind.replace(is_behind) && is_behind {
            self.fetch(StoreTopic::Operators, 0);
        }
        if !host.store_contact.is_silent() {
            return;
        }
        let ends = [(StoreTopic::Jobs, proof.jobs_end), (StoreTopic::Progress, proof.progress_end)];
        for (topic, end) in ends {
            let next_offset = host.view(topic).and_then(|view| view.offset.get());
            if let Some(from) = next_offset.filter(|next_offset| *next_offset < end) {
                self.fetch(topic, from);
            }
        }
    }

    fn fetch(&self, topic: StoreTopic, from: u64) {
        // If the outbox is full, the next proof causes another request.
        let _ = self.outbox.try_send(PeerFrame::Fetch { topic, from });
    }

    /// Returns a new request number.
    pub fn next_request_number(&self) -> u64 {
        let number = self.next_number.get();
        self.next_number.set(number + 1);
        number
    }

    /// Completes a submission with its outcome.
    pub fn complete_submission(&self, number: u64, outcome: SubmissionOutcome) {
        self.submit_requests.complete(number, outcome);
    }

    /// Completes a question for the state of a job.
    pub fn complete_state(&self, number: u64, answer: StateAnswer) {
        self.state_requests.complete(number, answer);
    }

    /// Completes a question for the number of waiting jobs.
    pub fn complete_count(&self, number: u64, count: Option<u64>) {
        self.count_requests.complete(number, count);
    }

    /// Ends the link: all pending requests end without an answer.
    pub fn close(&self) {
        self.store_answers.set(false);
        self.submit_requests.clear();
        self.state_requests.clear();
        self.count_requests.clear();
    }

    /// Removes all requests whose answer nobody waits for any more.
    pub fn drop_abandoned(&self) {
        self.submit_requests.drop_abandoned();
        self.state_requests.drop_abandoned();
        self.count_requests.drop_abandoned();
    }

    /// Returns the pending requests, to send them on a new connection. A job that the lead receives
    /// twice remains one job.
    pub fn pending_frames(&self) -> Vec<PeerFrame> {
        self.drop_abandoned();
        let frames = [
            self.submit_requests.frames(),
            self.state_requests.frames(),
            self.count_requests.frames(),
        ];
        frames.concat()
    }
}
