//! A simulated box: the core with the code that reads and appends records and sends messages.

use std::collections::BTreeMap;

use sedgehill_core::ids::{BoxId, Epoch, HallName, JobId, Offset, RecordId};
use sedgehill_core::lead::{LeadAction, LeadTimer};
use sedgehill_core::placement::{HallPlacer, PlacementAction, PlacementTiming, StartReply};
use sedgehill_core::record::{LogEntry, LogRecord, RecordBatch, RecordBody};
use sedgehill_core::state::{ClusterState, LogFold, RecordVerdict};
use sedgehill_core::units::{Moment, TimeSpan};

use super::fakes::{WorkerReply, WorkerRequest};
use super::{BOX_COUNT, Cell, DisabledRule, HALLS, LEAD_TIMING, PLACEMENT_TIMING, WorkerMessage};

pub fn box_id(index: usize) -> BoxId {
    format!("box-{index}").parse().expect("a valid name")
}

/// A record to append that the box has not read back from the log yet.
#[derive(Debug, Clone)]
pub struct PendingRecord {
    body: RecordBody,
    /// Time of the first append.
    first_sent: Option<Moment>,
    /// Offset in the acknowledgement of the last append.
    acknowledged: Option<Offset>,
}

/// A simulated box.
#[derive(Debug)]
pub struct TestBox {
    index: usize,
    /// Number of restarts.
    pub run_number: u32,
    disabled: DisabledRule,
    pub running: bool,
    pub paused: bool,
    pub fold: LogFold,
    pub pending: BTreeMap<RecordId, PendingRecord>,
    leads: BTreeMap<HallName, LeadTimer>,
    placers: BTreeMap<HallName, HallPlacer>,
    /// Requests that are sent at the next run, which may come after a pause. The check before
    /// sending must then hold them back.
    outbox: Vec<WorkerMessage>,
    /// Entries read from the log, which are applied at the next run, even if it comes late.
    fetched: Vec<LogEntry>,
    /// Replies that arrived. A paused box handles them when it resumes.
    inbox: Vec<WorkerMessage>,
}

impl TestBox {
    pub fn new(index: usize, disabled: DisabledRule) -> TestBox {
        let leads = HALLS.iter().map(|hall| {
            let hall: HallName = hall.parse().expect("a valid name");
            (hall.clone(), LeadTimer::new(hall, box_id(index), LEAD_TIMING))
        });
        TestBox {
            index,
            run_number: 0,
            disabled,
            running: true,
            paused: false,
            fold: LogFold::default(),
            pending: BTreeMap::new(),
            leads: leads.collect(),
            placers: BTreeMap::new(),
            outbox: Vec::new(),
            inbox: Vec::new(),
            fetched: Vec::new(),
        }
    }

    pub fn is_awake(&self) -> bool {
        self.running && !self.paused
    }

    pub fn holds_lead(&self, hall: &HallName, now: Moment) -> bool {
        self.leads.get(hall).is_some_and(|timer| timer.held_at(now).is_some())
    }

    pub fn submit(&mut self, id: RecordId, body: RecordBody) {
        let pending = PendingRecord { body, first_sent: None, acknowledged: None };
        self.pending.insert(id, pending);
    }

    /// Returns a job in the state that is not among those submitted.
    pub fn unknown_job(&self, submitted: &[JobId]) -> Option<JobId> {
        let state = self.fold.state()?;
        state.jobs.keys().find(|job| !submitted.contains(job)).copied()
    }

    pub fn adopt(&mut self, state: ClusterState, now: Moment) {
        if self.disabled == DisabledRule::NewerStateCheck {
            self.fold = LogFold::default();
        }
        self.fold.adopt(state);
        self.observe_leads(now);
    }

    /// Handles replies, sends requests, reads the log, decides and appends.
    pub fn run(&mut self, cell: &mut Cell) {
        if !self.is_awake() {
            return;
        }
        let now = cell.now;
        for message in std::mem::take(&mut self.inbox) {
            self.handle_reply(message, now);
        }
        self.send_outbox(cell);
        self.read_log(cell, now);
        self.submit_lead_records(cell, now);
        self.run_placement(cell, now);
        self.append_pending(cell, now);
    }

    fn read_log(&mut self, cell: &Cell, now: Moment) {
        for entry in std::mem::take(&mut self.fetched) {
            for (id, verdict) in self.fold.feed(entry) {
                self.handle_verdict(id, &verdict, now);
            }
            self.observe_leads(now);
        }
        self.fetched = cell.log.read(self.fold.next());
    }

    fn observe_leads(&mut self, now: Moment) {
        let Some(state) = self.fold.state() else { return };
        for (hall, timer) in &mut self.leads {
            // To skip the wait, the box pretends to have read the last renewal long ago.
            let read_at = match self.disabled {
                DisabledRule::ClaimWait => Moment(now.0.saturating_sub(2 * LEAD_TIMING.term.0)),
                _ => now,
            };
            timer.observe(state.halls.get(hall).and_then(|hall| hall.lead.as_ref()), read_at);
        }
    }

    fn handle_verdict(&mut self, id: RecordId, verdict: &RecordVerdict, now: Moment) {
        let Some(pending) = self.pending.remove(&id) else { return };
        self.observe_leads(now);
        let RecordVerdict::Accepted { at } = verdict else { return };
        let Some(sent) = pending.first_sent else { return };
        let term_start = if self.disabled == DisabledRule::TermFromSendTime { now } else { sent };
        match pending.body {
            RecordBody::ClaimLead { hall, .. } => self.confirm_lead(&hall, Epoch(at.0), term_start),
            RecordBody::RenewLead { hall, epoch } => self.confirm_lead(&hall, epoch, term_start),
            _ => {}
        }
    }

    fn confirm_lead(&mut self, hall: &HallName, epoch: Epoch, sent: Moment) {
        if let Some(timer) = self.leads.get_mut(hall) {
            timer.record_confirmation(epoch, sent);
        }
    }

    fn submit_lead_records(&mut self, cell: &mut Cell, now: Moment) {
        if self.fold.state().is_none() {
            return;
        }
        let mut bodies = Vec::new();
        for (position, (hall, timer)) in self.leads.iter_mut().enumerate() {
            let rank = (self.index + position) % BOX_COUNT;
            match timer.next_action(rank, now) {
                LeadAction::Wait => {}
                LeadAction::Claim { after } => {
                    timer.record_sent(now);
                    bodies.push(RecordBody::ClaimLead { hall: hall.clone(), after });
                }
                LeadAction::Renew { epoch } => {
                    timer.record_sent(now);
                    bodies.push(RecordBody::RenewLead { hall: hall.clone(), epoch });
                }
            }
        }
        for body in bodies {
            let id = cell.new_id();
            self.submit(id, body);
        }
    }

    fn run_placement(&mut self, cell: &mut Cell, now: Moment) {
        let halls: Vec<HallName> = self.leads.keys().cloned().collect();
        for hall in halls {
            let Some(held) = self.leads[&hall].held_at(now) else {
                self.placers.remove(&hall);
                continue;
            };
            let Some(state) = self.fold.state() else { continue };
            let timing = placement_timing(self.disabled);
            // To skip recovery, the lead pretends to have begun long ago.
            let started_at = if self.disabled == DisabledRule::Recovery { Moment(0) } else { now };
            let new_placer = || HallPlacer::new(hall.clone(), held.epoch, timing, started_at);
            let placer = self.placers.entry(hall.clone()).or_insert_with(new_placer);
            if placer.epoch() != held.epoch {
                *placer = new_placer();
            }
            let roster = state.halls.get(&hall).map(|hall| hall.roster.clone()).unwrap_or_default();
            let roster =
                if self.disabled == DisabledRule::Recovery { Default::default() } else { roster };
            placer.sync_workers(&cell.views, &roster);
            let actions = placer.tick(state, now);
            for action in actions {
                self.perform_action(cell, &hall, held.epoch, action, now);
            }
        }
    }

    fn perform_action(
        &mut self,
        cell: &mut Cell,
        hall: &HallName,
        epoch: Epoch,
        action: PlacementAction,
        now: Moment,
    ) {
        let from = self.index;
        let (worker, request) = match action {
            PlacementAction::Start(worker, mut start) => {
                start.lease = PLACEMENT_TIMING.lease;
                (worker, WorkerRequest::Start(start))
            }
            PlacementAction::Sync(worker, mut sync) => {
                sync.lease = PLACEMENT_TIMING.lease;
                (worker, WorkerRequest::Sync(sync))
            }
            PlacementAction::End(ends) => {
                let body = RecordBody::EndTasks { hall: hall.clone(), epoch, ends };
                return self.submit(cell.new_id(), body);
            }
            PlacementAction::Roster { add, remove } => {
                let body = RecordBody::Roster { hall: hall.clone(), epoch, add, remove };
                return self.submit(cell.new_id(), body);
            }
        };
        let (hall, sent) = (hall.clone(), now);
        self.outbox.push(WorkerMessage::Request { from, epoch, hall, worker, request, sent });
    }

    /// Sends the requests of the last run if the lead still holds now, and refuses them otherwise.
    fn send_outbox(&mut self, cell: &mut Cell) {
        let now = cell.now;
        for message in std::mem::take(&mut self.outbox) {
            let WorkerMessage::Request { from, epoch, hall, worker, request, .. } = message else {
                continue;
            };
            let is_held = self.leads[&hall].held_at(now).is_some_and(|held| held.epoch == epoch);
            let message = WorkerMessage::Request { from, epoch, hall, worker, request, sent: now };
            if is_held || self.disabled == DisabledRule::EpochCheck {
                cell.messages.push(message);
            } else {
                self.refuse_request(message, now);
            }
        }
    }

    /// Tells the placer that a request was not sent: a start was refused, a sync got no reply.
    fn refuse_request(&mut self, message: WorkerMessage, now: Moment) {
        let WorkerMessage::Request { epoch, hall, worker, request, sent, .. } = message else {
            return;
        };
        let Some(placer) = self.placers.get_mut(&hall).filter(|placer| placer.epoch() == epoch)
        else {
            return;
        };
        match request {
            WorkerRequest::Start(start) => {
                placer.handle_start_reply(
                    &worker,
                    start.attempt.task,
                    StartReply::Refused,
                    sent,
                    now,
                );
            }
            WorkerRequest::Sync(sync) => placer.handle_sync_reply(&worker, &sync, None, sent, now),
        }
    }

    /// Stores a reply until the next run.
    pub fn receive(&mut self, message: WorkerMessage) {
        if self.running {
            self.inbox.push(message);
        }
    }

    fn handle_reply(&mut self, message: WorkerMessage, now: Moment) {
        let WorkerMessage::Reply { epoch, hall, worker, request, reply, sent, .. } = message else {
            return;
        };
        let Some(placer) = self.placers.get_mut(&hall).filter(|placer| placer.epoch() == epoch)
        else {
            return;
        };
        match (request, reply) {
            (WorkerRequest::Start(start), reply) => {
                let reply = match reply {
                    Some(WorkerReply::Start(reply)) => reply,
                    _ => StartReply::Unknown,
                };
                placer.handle_start_reply(&worker, start.attempt.task, reply, sent, now);
            }
            (WorkerRequest::Sync(sync), Some(WorkerReply::Inventory(inventory))) => {
                placer.handle_sync_reply(&worker, &sync, Some(inventory), sent, now);
            }
            (WorkerRequest::Sync(sync), _) => {
                placer.handle_sync_reply(&worker, &sync, None, sent, now)
            }
        }
    }

    /// Marks records to be appended again whose entries this box did not read, since it adopted a
    /// later state and so missed their verdicts.
    fn retry_skipped_records(&mut self) {
        let Some(next) = self.fold.state().map(|state| state.next) else { return };
        for pending in self.pending.values_mut() {
            pending.acknowledged = pending.acknowledged.filter(|offset| *offset >= next);
        }
    }

    fn append_pending(&mut self, cell: &mut Cell, now: Moment) {
        self.retry_skipped_records();
        let mut batch = RecordBatch::default();
        let unacknowledged: Vec<RecordId> = self
            .pending
            .iter()
            .filter(|(_, pending)| pending.acknowledged.is_none())
            .map(|(id, _)| *id)
            .collect();
        for id in unacknowledged {
            let mut pending = self.pending.remove(&id).expect("the key was just seen");
            let is_retry = pending.first_sent.is_some();
            if is_retry && is_expired_lead_record(&pending, now) {
                continue;
            }
            pending.first_sent.get_or_insert(now);
            let id = if is_retry && self.disabled == DisabledRule::StableRecordId {
                cell.new_id()
            } else {
                id
            };
            batch.records.push(LogRecord {
                id,
                by: box_id(self.index),
                body: pending.body.clone(),
            });
            self.pending.insert(id, pending);
        }
        if batch.records.is_empty() {
            return;
        }
        let ids: Vec<RecordId> = batch.records.iter().map(|record| record.id).collect();
        let offset = cell.log.try_append(batch, now);
        for id in ids {
            self.pending.get_mut(&id).expect("the record was just inserted").acknowledged = offset;
        }
    }
}

/// Whether the record is a claim or renewal that was first sent longer than a term ago. It is not
/// appended again.
fn is_expired_lead_record(pending: &PendingRecord, now: Moment) -> bool {
    let expires =
        matches!(pending.body, RecordBody::ClaimLead { .. } | RecordBody::RenewLead { .. });
    expires && pending.first_sent.is_some_and(|sent| now.since(sent) >= LEAD_TIMING.term)
}

/// Durations that the placer assumes. The leases sent to workers are always the real ones.
fn placement_timing(disabled: DisabledRule) -> PlacementTiming {
    match disabled {
        DisabledRule::SilentWorkerLease => PlacementTiming {
            lease: TimeSpan(200),
            max_delivery_delay: TimeSpan(0),
            ..PLACEMENT_TIMING
        },
        _ => PLACEMENT_TIMING,
    }
}
