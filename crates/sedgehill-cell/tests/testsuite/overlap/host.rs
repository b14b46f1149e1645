//! A box: it follows the store, claims the lead when it should, and leads.

use std::collections::BTreeMap;

use sedgehill_cell::authority::{AuthorityTiming, BoxStrength, LeadRecord, LeadWatch};
use sedgehill_cell::ids::FencingToken;
use sedgehill_cell::replica::CellReplica;
use sedgehill_cell::scheduler::{StartOrder, StopOrder, WorkerEntry, WorkerKey};
use sedgehill_core::units::{Moment, TimeSpan};

use super::session::{Session, Stage};
use super::store::{Condition, JOBS, LEADS, PROGRESS, Row, StoreCall, StoreReply, TOPICS};
use super::worker::{WorkerCall, WorkerReply};

/// How long a box waits for what it appends, for what it reads, and for a worker.
const APPEND_LIMIT: TimeSpan = TimeSpan(2_500);
const READ_LIMIT: TimeSpan = TimeSpan(1_200);
const ORDER_LIMIT: TimeSpan = TimeSpan(300);
/// Time between two readings of a topic.
pub(super) const READ_EVERY: TimeSpan = TimeSpan(100);
/// Who leads is known well enough for a claim if it was read so lately.
const FRESH: u64 = 1_800;
/// Pause before a renewal that failed is tried again.
pub(super) const RENEW_RETRY: TimeSpan = TimeSpan(100);
const LEAD_KEY: &str = "lead";

/// What a box asks of others.
#[derive(Debug, Clone)]
pub enum Call {
    Store(StoreCall),
    Worker { to: WorkerEntry, token: FencingToken, call: WorkerCall },
}

/// What it is answered.
#[derive(Debug, Clone)]
pub enum Reply {
    Store(StoreReply),
    Worker(WorkerReply),
}

/// What a call is for. Those of a lead carry its token.
#[derive(Debug, Clone)]
pub enum Purpose {
    Read(usize),
    /// With whether an earlier lead may still give orders.
    Claim(LeadRecord, bool),
    Renew(LeadRecord),
    Resign(LeadRecord),
    Record(FencingToken),
    List(FencingToken),
    Hold(FencingToken, WorkerKey),
    /// An account for which nobody waits any more.
    LateHold(FencingToken, WorkerKey),
    Start(FencingToken, StartOrder, bool),
    Stop(FencingToken, StopOrder),
}

pub(super) struct Waiting {
    pub(super) purpose: Purpose,
    pub(super) sent: Moment,
    until: Moment,
}

#[derive(Default)]
pub(super) struct View {
    pub(super) offset: Option<u64>,
    /// All that was there at that time is known.
    pub(super) complete: Option<Moment>,
    pub(super) reading: bool,
    pub(super) read_at: Moment,
}

/// A box.
pub struct Host {
    pub life: u64,
    pub watch: LeadWatch,
    pub replica: CellReplica,
    pub session: Option<Session>,
    /// Its process is stopped until then, or there is none.
    pub frozen_until: Moment,
    pub back_at: Option<Moment>,
    /// It is to give up the lead.
    pub resigns: bool,
    pub inbox: Vec<(u64, Reply)>,
    pub(super) views: [View; TOPICS],
    waiting: BTreeMap<u64, Waiting>,
    calls: u64,
    /// A claim or a resignation is under way.
    pub(super) busy: bool,
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
            resigns: false,
            inbox: Vec::new(),
            views: Default::default(),
            waiting: BTreeMap::new(),
            calls: life * 1_000_000,
            busy: false,
            rank,
        }
    }

    /// Whether it may give orders now.
    pub fn may_order(&self, now: Moment) -> bool {
        let token = self.session.as_ref().map(|session| session.token);
        token.is_some() && self.watch.authority(now) == token
    }

    /// Whether the lead's work is done here.
    pub fn leads(&self) -> bool {
        self.session.as_ref().is_some_and(|session| session.stage == Stage::Leading)
    }

    /// Does all that is due. Returns what is sent.
    pub fn step(&mut self, now: Moment) -> Vec<(u64, Call)> {
        let mut out = Vec::new();
        for (number, reply) in std::mem::take(&mut self.inbox) {
            if let Some(waiting) = self.waiting.remove(&number) {
                self.take(waiting, Some(reply), &mut out, now);
            }
        }
        self.time_out(&mut out, now);
        self.read_topics(&mut out, now);
        self.claim_if_due(&mut out, now);
        self.lead(&mut out, now);
        out.into_iter().map(|(purpose, call)| self.post(purpose, call, now)).collect()
    }

    fn post(&mut self, purpose: Purpose, call: Call, now: Moment) -> (u64, Call) {
        let limit = match call {
            Call::Store(StoreCall::Append { .. }) => APPEND_LIMIT,
            Call::Store(_) => READ_LIMIT,
            Call::Worker { .. } => ORDER_LIMIT,
        };
        self.calls += 1;
        self.waiting.insert(self.calls, Waiting { purpose, sent: now, until: now.after(limit) });
        (self.calls, call)
    }

    fn time_out(&mut self, out: &mut Vec<(Purpose, Call)>, now: Moment) {
        let over: Vec<u64> =
            self.waiting.iter().filter(|(_, w)| now > w.until).map(|(number, _)| *number).collect();
        for number in over {
            let Some(waiting) = self.waiting.remove(&number) else { continue };
            if let Purpose::Hold(token, key) = waiting.purpose {
                let purpose = Purpose::LateHold(token, key);
                let late = Waiting { purpose, until: Moment(u64::MAX), ..waiting };
                self.waiting.insert(number, late);
            }
            self.take(waiting, None, out, now);
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
        let fresh = complete.is_some_and(|at| now.since(at).0 <= FRESH);
        let knows_jobs = self.views.iter().all(|view| view.offset.is_some());
        if self.session.is_some() || self.busy || !fresh || !knows_jobs {
            return;
        }
        let due = self.watch.should_claim(now, self.rank, &AuthorityTiming::default());
        if self.watch.is_holder() || due {
            self.busy = true;
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
        if let Stage::Catching { end, since } = session.stage {
            let known = self.views[PROGRESS].offset.is_some_and(|offset| offset >= end);
            if known && self.views[JOBS].complete >= Some(since) {
                session.begin(&self.replica, now);
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
        if !due && !self.resigns {
            return;
        }
        if self.resigns || !self.watch.is_holder() || session.scheduler.is_fenced_out() {
            return self.give_up(out);
        }
        let Some(record) = self.watch.newest().cloned() else { return };
        if record.token != session.token {
            session.renew_at = now.after(RENEW_RETRY);
            return;
        }
        session.renewing = true;
        let record =
            LeadRecord { predecessors_expired: session.scheduler.is_sole_lead(now), ..record };
        let call = self.lead_append(&record);
        out.push((Purpose::Renew(record), call));
    }

    /// Gives up the lead, and says so if it resigns.
    pub(super) fn give_up(&mut self, out: &mut Vec<(Purpose, Call)>) {
        let Some(session) = self.session.take() else { return };
        let own = self.watch.newest().filter(|newest| newest.token == session.token).cloned();
        if std::mem::take(&mut self.resigns)
            && let Some(own) = own
        {
            let record = LeadRecord { resigned: true, ..own };
            let call = self.lead_append(&record);
            self.busy = true;
            out.push((Purpose::Resign(record), call));
        }
        self.watch.step_down();
    }
}
