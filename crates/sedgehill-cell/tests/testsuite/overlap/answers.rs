//! How a box handles the answers to its calls, and calls that time out.

use sedgehill_cell::authority::{AuthorityTiming, LeadRecord};
use sedgehill_cell::ids::FencingToken;
use sedgehill_cell::replica::{CellRecord, ReplicaChange, RosterSource};
use sedgehill_cell::scheduler::{RosterChange, WorkerAnswer};
use sedgehill_core::units::Moment;

use super::host::{Call, Host, PendingCall, Purpose, READ_INTERVAL, RENEW_RETRY_PAUSE, Reply};
use super::session::Session;
use super::store::{LEADS, PROGRESS, Row, StoreReply};
use super::worker::WorkerReply;

impl Host {
    /// Handles the answer to a call; none if the call timed out.
    pub(super) fn handle_reply(
        &mut self,
        call: PendingCall,
        reply: Option<Reply>,
        out: &mut Vec<(Purpose, Call)>,
        now: Moment,
    ) {
        let sent = call.sent;
        let (store, worker) = match reply {
            Some(Reply::Store(reply)) => (Some(reply), None),
            Some(Reply::Worker(reply)) => (None, Some(reply)),
            None => (None, None),
        };
        match call.purpose {
            Purpose::Read(topic) => self.handle_read(topic, store, sent, now),
            Purpose::Claim(record, predecessor) => {
                self.lead_append_pending = false;
                if self.handle_own_record(&record, &store, sent) {
                    let renew_at = now.after(AuthorityTiming::default().renew_interval);
                    let mut session = Session::new(record.token, predecessor, renew_at, now);
                    session.scheduler.set_locations_since(record.locations_since.unwrap());
                    self.session = Some(session);
                }
            }
            Purpose::Resign(record) => {
                self.lead_append_pending = false;
                self.handle_own_record(&record, &store, sent);
            }
            Purpose::Renew(record) => self.handle_renewal(&record, store, sent, now),
            Purpose::Record(token) => self.handle_recorded(token, store, out, now),
            Purpose::List(token) => {
                let Some(session) = self.session_of(token) else { return };
                let entries = match store {
                    Some(StoreReply::Workers(entries)) => Some(entries),
                    _ => None,
                };
                session.handle_list(entries, now);
            }
            purpose => self.handle_worker_answer(purpose, worker, sent, out, now),
        }
    }

    fn session_of(&mut self, token: FencingToken) -> Option<&mut Session> {
        self.session.as_mut().filter(|session| session.token == token)
    }

    /// Notes a lead record of this box that the store kept. Returns whether it is still the newest.
    fn handle_own_record(
        &mut self,
        record: &LeadRecord,
        reply: &Option<StoreReply>,
        sent: Moment,
    ) -> bool {
        let timing = AuthorityTiming::default();
        match reply {
            Some(StoreReply::Appended { end }) => {
                self.watch.note_own_record(record.clone(), sent, *end, &timing)
            }
            Some(_) => {
                // Another record was written: reads the topic at once.
                self.views[LEADS].read_at = Moment(0);
                false
            }
            None => false,
        }
    }

    fn handle_renewal(
        &mut self,
        record: &LeadRecord,
        reply: Option<StoreReply>,
        sent: Moment,
        now: Moment,
    ) {
        if self.session_of(record.token).is_none() {
            return;
        }
        let pause = match self.handle_own_record(record, &reply, sent) {
            true => AuthorityTiming::default().renew_interval,
            false => RENEW_RETRY_PAUSE,
        };
        let Some(session) = self.session_of(record.token) else { return };
        session.renewing = false;
        session.renew_at = now.after(pause);
        if reply.is_some() {
            session.store_answered(now);
        }
    }

    fn handle_recorded(
        &mut self,
        token: FencingToken,
        reply: Option<StoreReply>,
        out: &mut Vec<(Purpose, Call)>,
        now: Moment,
    ) {
        let Some(session) = self.session.as_mut().filter(|session| session.token == token) else {
            return;
        };
        let end = match reply {
            Some(StoreReply::Appended { end }) => end,
            Some(_) => return self.give_up(out),
            None => return session.handle_append_unanswered(now),
        };
        let Some(batch) = session.handle_append_kept(end, &mut self.watch, now) else { return };
        session.add_recorded_jobs(&batch, &self.replica, now);
        let from = end - batch.rows.len() as u64;
        if self.views[PROGRESS].offset == Some(from) {
            self.apply(PROGRESS, &batch.rows, now);
            self.views[PROGRESS].offset = Some(end);
        }
        if let Some(session) = self.session_of(token) {
            session.batch_recorded(&batch);
        }
    }

    fn handle_worker_answer(
        &mut self,
        purpose: Purpose,
        reply: Option<WorkerReply>,
        sent: Moment,
        out: &mut Vec<(Purpose, Call)>,
        now: Moment,
    ) {
        let may_order = self.may_order(now);
        let (report, order) = match reply {
            Some(WorkerReply::Report(answer)) => (answer, WorkerAnswer::Unknown),
            Some(WorkerReply::Order(answer)) => (WorkerAnswer::Unknown, answer),
            None => (WorkerAnswer::Unknown, WorkerAnswer::Unknown),
        };
        match purpose {
            Purpose::Hold(token, key) => {
                let Some(session) = self.session_of(token) else { return };
                session.handle_report(key, report, false, sent, now);
            }
            Purpose::LateHold(token, key) => {
                let Some(session) = self.session_of(token) else { return };
                session.handle_report(key, report, true, sent, now);
            }
            Purpose::Start(token, start, again) => {
                let Some(session) = self.session_of(token) else { return };
                session.handle_start_answer(start, again, order, may_order, out, now);
            }
            Purpose::Stop(token, stop) => {
                let Some(session) = self.session_of(token) else { return };
                session.scheduler.stop_answered(&stop, order, now);
            }
            _ => unreachable!("the caller handles all other purposes"),
        }
    }

    fn handle_read(&mut self, topic: usize, reply: Option<StoreReply>, sent: Moment, now: Moment) {
        let view = &mut self.views[topic];
        view.reading = false;
        view.read_at = now.after(READ_INTERVAL);
        match reply {
            Some(StoreReply::HistoryGone) => view.offset = None,
            Some(StoreReply::Rows { rows, end }) => {
                // The box may already know some of the rows, since it wrote them after it sent the read.
                let from = end - rows.len() as u64;
                let new = match view.offset {
                    Some(known) => rows.get((known.saturating_sub(from)) as usize..),
                    None => Some(&rows[..]),
                };
                let new = new.unwrap_or_default().to_vec();
                view.offset = view.offset.max(Some(end));
                view.complete = view.complete.max(Some(sent));
                self.apply(topic, &new, now);
            }
            _ => {}
        }
    }

    fn apply(&mut self, topic: usize, rows: &[Row], now: Moment) {
        for row in rows {
            match row.key.as_str() {
                _ if topic == LEADS => {
                    let record = LeadRecord::decode(&row.value).unwrap();
                    self.watch.note_record(record, now);
                }
                key if RosterChange::is_roster_key(key) => {
                    let source = RosterSource { read_at: now, offset: None };
                    let change = RosterChange::decode(key, &row.value).unwrap();
                    self.replica.apply_roster(change, source);
                }
                key => self.apply_statement(key, &row.value, now),
            }
        }
    }

    fn apply_statement(&mut self, key: &str, value: &[u8], now: Moment) {
        let (id, record) = CellRecord::decode(key, value).unwrap();
        let change = self.replica.apply(id, record, now);
        if let ReplicaChange::Accepted(id) = change
            && let Some(session) = &mut self.session
            && self.replica.job(id).is_some()
        {
            session.add_new_job(&self.replica, id, now);
        }
    }
}
