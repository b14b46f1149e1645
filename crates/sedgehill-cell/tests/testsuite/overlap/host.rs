//! A simulated box: it follows the store's topics, claims the lead when that is due, and acts as lead.

use std::collections::BTreeMap;

use sedgehill_cell::authority::{AuthorityTiming, BoxStrength, LeadRecord, LeadWatch};
use sedgehill_cell::ids::FencingToken;
use sedgehill_cell::replica::CellReplica;
use sedgehill_cell::scheduler::{StartOrder, StopOrder, WorkerEntry, WorkerKey};
use sedgehill_core::units::{Moment, TimeSpan};

use super::session::{Session, Stage};
use super::store::{Condition, JOBS, LEADS, PROGRESS, Row, StoreCall, StoreReply, TOPICS};
use super::worker::{WorkerCall, WorkerReply};

/// How long a box waits for the answer to an append.
const APPEND_TIMEOUT: TimeSpan = TimeSpan(2_500);
/// How long a box waits for the answer to a read.
const READ_TIMEOUT: TimeSpan = TimeSpan(1_200);
/// How long a box waits for the answer of a worker.
const ORDER_TIMEOUT: TimeSpan = TimeSpan(300);
/// Time between two reads of a topic.
pub(super) const READ_INTERVAL: TimeSpan = TimeSpan(100);
/// The oldest complete read of the leads topic with which a box may claim the lead.
const MAX_LEAD_VIEW_AGE_MS: u64 = 1_800;
/// Pause before a failed renewal is repeated.
pub(super) const RENEW_RETRY_PAUSE: TimeSpan = TimeSpan(100);
const LEAD_KEY: &str = "lead";

/// A call of a box to the store or to a worker.
#[derive(Debug, Clone)]
pub enum Call {
    Store(StoreCall),
    Worker { to: Box<WorkerEntry>, token: FencingToken, call: WorkerCall },
}

/// The answer to a call.
#[derive(Debug, Clone)]
pub enum Reply {
    Store(StoreReply),
    Worker(WorkerReply),
}

/// The purpose of a call. Calls of a lead carry its token.
#[derive(Debug, Clone)]
pub enum Purpose {
    Read(usize),
    /// A claim of the lead, with whether an earlier lead may still give orders.
    Claim(LeadRecord, bool),
    Renew(LeadRecord),
    Resign(LeadRecord),
    Record(FencingToken),
    List(FencingToken),
    Hold(FencingToken, WorkerKey),
    /// A hold that has timed out. Its report is still used if it arrives.
    LateHold(FencingToken, WorkerKey),
    /// A start, with whether it is sent for the second time.
    Start(FencingToken, StartOrder, bool),
    Stop(FencingToken, StopOrder),
}

/// A call that is not answered yet.
pub(super) struct PendingCall {
    pub(super) purpose: Purpose,
    pub(super) sent: Moment,
    until: Moment,
}

/// How far a box has read a topic.
#[derive(Default)]
pub(super) struct TopicView {
    pub(super) offset: Option<u64>,
    /// The box knows all records that the topic had at this time.
    pub(super) complete: Option<Moment>,
    pub(super) reading: bool,
    pub(super) read_at: Moment,
}

/// A simulated box.
pub struct Host {
    pub life: u64,
    pub watch: LeadWatch,
    pub replica: CellReplica,
    pub session: Option<Session>,
    /// The process is stopped until this time.
    pub frozen_until: Moment,
    /// When the next process starts; none while a process is running.
    pub back_at: Option<Moment>,
    /// Whether the box is to resign as the lead.
    pub resign_requested: bool,
    pub inbox: Vec<(u64, Reply)>,
    pub(super) views: [TopicView; TOPICS],
    pending: BTreeMap<u64, PendingCall>,
    calls: u64,
    /// Whether a claim or a resignation is not answered yet.
    pub(super) lead_append_pending: bool,
    rank: u64,
}

impl Host {
    pub fn new(name: &str, life: u64, rank: u64, now: Moment) -> Host {
        Host {
            life,
            watch: LeadWatch::new(name.into(), life, BoxStrength(1_000), now),
            replica: CellReplica::default(),
            session: None,
            frozen_until: Moment(0),
            back_at: None,
            resign_requested: false,
            inbox: Vec::new(),
            views: Default::default(),
            pending: BTreeMap::new(),
            calls: life * 1_000_000,
            lead_append_pending: false,
            rank,
        }
    }

    /// Returns whether the box may give orders now.
    pub fn may_order(&self, now: Moment) -> bool {
        let token = self.session.as_ref().map(|session| session.token);
        token.is_some() && self.watch.authority(now) == token
    }

    /// Returns whether the box acts as lead.
    pub fn is_leading(&self) -> bool {
        self.session.as_ref().is_some_and(|session| session.stage == Stage::Leading)
    }

    /// Does everything that is due and returns the calls to send.
    pub fn step(&mut self, now: Moment) -> Vec<(u64, Call)> {
        let mut out = Vec::new();
        for (number, reply) in std::mem::take(&mut self.inbox) {
            if let Some(call) = self.pending.remove(&number) {
                self.handle_reply(call, Some(reply), &mut out, now);
            }
        }
        self.expire_calls(&mut out, now);
        self.read_topics(&mut out, now);
        self.claim_if_due(&mut out, now);
        self.lead(&mut out, now);
        out.into_iter().map(|(purpose, call)| self.send(purpose, call, now)).collect()
    }

    fn send(&mut self, purpose: Purpose, call: Call, now: Moment) -> (u64, Call) {
        let timeout = match call {
            Call::Store(StoreCall::Append { .. }) => APPEND_TIMEOUT,
            Call::Store(_) => READ_TIMEOUT,
            Call::Worker { .. } => ORDER_TIMEOUT,
        };
        self.calls += 1;
        self.pending
            .insert(self.calls, PendingCall { purpose, sent: now, until: now.after(timeout) });
        (self.calls, call)
    }

    fn expire_calls(&mut self, out: &mut Vec<(Purpose, Call)>, now: Moment) {
        let expired: Vec<u64> = self
            .pending
            .iter()
            .filter(|(_, call)| now > call.until)
            .map(|(number, _)| *number)
            .collect();
        for number in expired {
            let Some(call) = self.pending.remove(&number) else { continue };
            if let Purpose::Hold(token, key) = call.purpose {
                let purpose = Purpose::LateHold(token, key);
                let late = PendingCall { purpose, until: Moment(u64::MAX), ..call };
                self.pending.insert(number, late);
            }
            self.handle_reply(call, None, out, now);
        }
    }

    fn read_topics(&mut self, out: &mut Vec<(Purpose, Call)>, now: Moment) {
        for topic in 0..TOPICS {
            let view = &mut self.views[topic];
            if view.reading || now < view.read_at {
                continue;
            }
            view.reading = true;
            let call = StoreCall::Read { topic, from: view.offset };
            out.push((Purpose::Read(topic), Call::Store(call)));
        }
    }

    fn claim_if_due(&mut self, out: &mut Vec<(Purpose, Call)>, now: Moment) {
        let complete = self.views[LEADS].complete;
        let fresh = complete.is_some_and(|at| now.since(at).0 <= MAX_LEAD_VIEW_AGE_MS);
        let knows_jobs = self.views.iter().all(|view| view.offset.is_some());
        if self.session.is_some() || self.lead_append_pending || !fresh || !knows_jobs {
            return;
        }
        let due = self.watch.should_claim(now, self.rank, &AuthorityTiming::default());
        if self.watch.is_holder() || due {
            self.lead_append_pending = true;
            let record = self.watch.next_claim("127.0.0.1:7000");
            let call = self.lead_append(&record);
            let predecessor = self.watch.has_predecessor();
            out.push((Purpose::Claim(record, predecessor), call));
        }
    }

    pub(super) fn lead_append(&self, record: &LeadRecord) -> Call {
        let end = self.views[LEADS].offset.unwrap_or(0).max(self.watch.own_record_end());
        let rows = vec![Row { key: LEAD_KEY.to_owned(), value: record.encode() }];
        Call::Store(StoreCall::Append { topic: LEADS, rows, condition: Condition::At(end) })
    }

    fn lead(&mut self, out: &mut Vec<(Purpose, Call)>, now: Moment) {
        self.renew_if_due(out, now);
        let may_order = self.may_order(now);
        let Some(session) = &mut self.session else { return };
        if let Stage::CatchingUp { end, since } = session.stage {
            let caught_up = self.views[PROGRESS].offset.is_some_and(|offset| offset >= end);
            if caught_up && self.views[JOBS].complete >= Some(since) {
                session.start_leading(&self.replica, now);
            }
        }
        if session.is_too_late(now) {
            return self.give_up(out);
        }
        session.record(out, now);
        if session.stage == Stage::Leading {
            session.turn(may_order, out, now);
        }
    }

    fn renew_if_due(&mut self, out: &mut Vec<(Purpose, Call)>, now: Moment) {
        let Some(session) = &mut self.session else { return };
        let due = !session.renewing && now >= session.renew_at;
        if !due && !self.resign_requested {
            return;
        }
        if self.resign_requested || !self.watch.is_holder() || session.scheduler.is_fenced_out() {
            return self.give_up(out);
        }
        let Some(record) = self.watch.newest().cloned() else { return };
        if record.token != session.token {
            session.renew_at = now.after(RENEW_RETRY_PAUSE);
            return;
        }
        session.renewing = true;
        let record =
            LeadRecord { predecessors_expired: session.scheduler.is_sole_lead(now), ..record };
        let call = self.lead_append(&record);
        out.push((Purpose::Renew(record), call));
    }

    /// Ends the session as lead, and records a resignation if one was requested.
    pub(super) fn give_up(&mut self, out: &mut Vec<(Purpose, Call)>) {
        let Some(session) = self.session.take() else { return };
        let own = self.watch.newest().filter(|newest| newest.token == session.token).cloned();
        if std::mem::take(&mut self.resign_requested)
            && let Some(own) = own
        {
            let record = LeadRecord { resigned: true, ..own };
            let call = self.lead_append(&record);
            self.lead_append_pending = true;
            out.push((Purpose::Resign(record), call));
        }
        self.watch.step_down();
    }
}
