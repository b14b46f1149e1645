//! One box: the core with just enough around it to read, append and send.

use std::collections::BTreeMap;

use sedgehill_core::ids::{BoxId, Epoch, HallName, JobId, Offset, RecordId};
use sedgehill_core::lead::{LeadAction, LeadTimer};
use sedgehill_core::placement::{HallPlacer, PlacementAction, PlacementTiming, StartReply};
use sedgehill_core::record::{LogEntry, LogRecord, RecordBatch, RecordBody};
use sedgehill_core::state::{ClusterState, LogFold, RecordVerdict};
use sedgehill_core::units::{Moment, TimeSpan};

use super::fakes::{WorkerAnswer, WorkerAsk};
use super::{BOXES, Cell, HALLS, LEAD_TIMING, PLACE_TIMING, SwitchedOff, WorkerMessage};

pub fn box_id(index: usize) -> BoxId {
    format!("box-{index}").parse().expect("a valid name")
}

/// A record on its way.
#[derive(Debug, Clone)]
pub struct PendingRecord {
    body: RecordBody,
    first_sent: Option<Moment>,
    acknowledged: Option<Offset>,
}

/// One box.
#[derive(Debug)]
pub struct CoreNode {
    index: usize,
    pub run: u32,
    off: SwitchedOff,
    pub running: bool,
    pub paused: bool,
    pub fold: LogFold,
    pub pending: BTreeMap<RecordId, PendingRecord>,
    leads: BTreeMap<HallName, LeadTimer>,
    placers: BTreeMap<HallName, HallPlacer>,
    /// Decided before a pause, sent after it: what the check before sending must catch.
    outbox: Vec<WorkerMessage>,
    /// What the log answered; it is acted on at the next turn, however late that is.
    fetched: Vec<LogEntry>,
    /// Answers that arrived; a box that is paused reads them when it goes on.
    inbox: Vec<WorkerMessage>,
}

impl CoreNode {
    pub fn new(index: usize, off: SwitchedOff) -> CoreNode {
        let leads = HALLS.iter().map(|hall| {
            let hall: HallName = hall.parse().expect("a valid name");
            (hall.clone(), LeadTimer::new(hall, box_id(index), LEAD_TIMING))
        });
        CoreNode {
            index,
            run: 0,
            off,
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

    pub fn holds(&self, hall: &HallName, now: Moment) -> bool {
        self.leads.get(hall).is_some_and(|timer| timer.held_at(now).is_some())
    }

    pub fn submit(&mut self, id: RecordId, body: RecordBody) {
        let pending = PendingRecord { body, first_sent: None, acknowledged: None };
        self.pending.insert(id, pending);
    }

    /// Jobs in the state that are not among those submitted.
    pub fn double_jobs(&self, known: &[JobId]) -> Option<JobId> {
        let state = self.fold.state()?;
        state.jobs.keys().find(|job| !known.contains(job)).copied()
    }

    pub fn adopt(&mut self, state: ClusterState, now: Moment) {
        if self.off == SwitchedOff::NewerStateOnly {
            self.fold = LogFold::default();
        }
        self.fold.adopt(state);
        self.observe(now);
    }

    /// Sends what was decided, reads the log, decides, and appends.
    pub fn turn(&mut self, cell: &mut Cell) {
        if !self.is_awake() {
            return;
        }
        let now = cell.now;
        for message in std::mem::take(&mut self.inbox) {
            self.take_answer(message, now);
        }
        self.send(cell);
        self.read(cell, now);
        self.lead(cell, now);
        self.place(cell, now);
        self.append(cell, now);
    }

    fn read(&mut self, cell: &Cell, now: Moment) {
        for entry in std::mem::take(&mut self.fetched) {
            for (id, verdict) in self.fold.feed(entry) {
                self.settle(id, &verdict, now);
            }
            self.observe(now);
        }
        self.fetched = cell.log.read(self.fold.next());
    }

    fn observe(&mut self, now: Moment) {
        let Some(state) = self.fold.state() else { return };
        for (hall, timer) in &mut self.leads {
            // Without the wait a claimant believes that it read the last renewal long ago.
            let read = match self.off {
                SwitchedOff::ClaimWait => Moment(now.0.saturating_sub(2 * LEAD_TIMING.term.0)),
                _ => now,
            };
            timer.observe(state.halls.get(hall).and_then(|hall| hall.lead.as_ref()), read);
        }
    }

    fn settle(&mut self, id: RecordId, verdict: &RecordVerdict, now: Moment) {
        let Some(pending) = self.pending.remove(&id) else { return };
        self.observe(now);
        let RecordVerdict::Accepted { at } = verdict else { return };
        let Some(sent) = pending.first_sent else { return };
        let counted_from = if self.off == SwitchedOff::TermFromSending { now } else { sent };
        match pending.body {
            RecordBody::ClaimLead { hall, .. } => self.confirm(&hall, Epoch(at.0), counted_from),
            RecordBody::RenewLead { hall, epoch } => self.confirm(&hall, epoch, counted_from),
            _ => {}
        }
    }

    fn confirm(&mut self, hall: &HallName, epoch: Epoch, sent: Moment) {
        if let Some(timer) = self.leads.get_mut(hall) {
            timer.record_confirmation(epoch, sent);
        }
    }

    fn lead(&mut self, cell: &mut Cell, now: Moment) {
        if self.fold.state().is_none() {
            return;
        }
        let mut bodies = Vec::new();
        for (position, (hall, timer)) in self.leads.iter_mut().enumerate() {
            let rank = (self.index + position) % BOXES;
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

    fn place(&mut self, cell: &mut Cell, now: Moment) {
        let halls: Vec<HallName> = self.leads.keys().cloned().collect();
        for hall in halls {
            let Some(held) = self.leads[&hall].held_at(now) else {
                self.placers.remove(&hall);
                continue;
            };
            let Some(state) = self.fold.state() else { continue };
            let timing = place_timing(self.off);
            // Without recovery a lead believes that it began long ago.
            let began = if self.off == SwitchedOff::Recovery { Moment(0) } else { now };
            let fresh = || HallPlacer::new(hall.clone(), held.epoch, timing, began);
            let placer = self.placers.entry(hall.clone()).or_insert_with(fresh);
            if placer.epoch() != held.epoch {
                *placer = fresh();
            }
            let roster = state.halls.get(&hall).map(|hall| hall.roster.clone()).unwrap_or_default();
            let roster =
                if self.off == SwitchedOff::Recovery { Default::default() } else { roster };
            placer.sync_workers(&cell.views, &roster);
            let actions = placer.tick(state, now);
            for action in actions {
                self.act(cell, &hall, held.epoch, action, now);
            }
        }
    }

    fn act(
        &mut self,
        cell: &mut Cell,
        hall: &HallName,
        epoch: Epoch,
        action: PlacementAction,
        now: Moment,
    ) {
        let node = self.index;
        let (worker, ask) = match action {
            PlacementAction::Start(worker, mut start) => {
                start.lease = PLACE_TIMING.lease;
                (worker, WorkerAsk::Start(start))
            }
            PlacementAction::Sync(worker, mut sync) => {
                sync.lease = PLACE_TIMING.lease;
                (worker, WorkerAsk::Sync(sync))
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
        self.outbox.push(WorkerMessage::Ask { node, epoch, hall, worker, ask, sent });
    }

    /// Sends what was decided at the last turn, after one more look at the clock.
    fn send(&mut self, cell: &mut Cell) {
        let now = cell.now;
        for message in std::mem::take(&mut self.outbox) {
            let WorkerMessage::Ask { node, epoch, hall, worker, ask, .. } = message else {
                continue;
            };
            let held = self.leads[&hall].held_at(now).is_some_and(|held| held.epoch == epoch);
            let message = WorkerMessage::Ask { node, epoch, hall, worker, ask, sent: now };
            if held || self.off == SwitchedOff::EpochCheck {
                cell.messages.push(message);
            } else {
                self.refuse(message, now);
            }
        }
    }

    /// A start that was never sent surely did not happen.
    fn refuse(&mut self, message: WorkerMessage, now: Moment) {
        let WorkerMessage::Ask { epoch, hall, worker, ask, sent, .. } = message else { return };
        let Some(placer) = self.placers.get_mut(&hall).filter(|placer| placer.epoch() == epoch)
        else {
            return;
        };
        match ask {
            WorkerAsk::Start(start) => {
                placer.handle_start_reply(
                    &worker,
                    start.attempt.task,
                    StartReply::Refused,
                    sent,
                    now,
                );
            }
            WorkerAsk::Sync(sync) => placer.handle_sync_reply(&worker, &sync, None, sent, now),
        }
    }

    /// An answer arrives.
    pub fn receive(&mut self, message: WorkerMessage) {
        if self.running {
            self.inbox.push(message);
        }
    }

    fn take_answer(&mut self, message: WorkerMessage, now: Moment) {
        let WorkerMessage::Answer { epoch, hall, worker, ask, answer, sent, .. } = message else {
            return;
        };
        let Some(placer) = self.placers.get_mut(&hall).filter(|placer| placer.epoch() == epoch)
        else {
            return;
        };
        match (ask, answer) {
            (WorkerAsk::Start(start), answer) => {
                let reply = match answer {
                    Some(WorkerAnswer::Start(reply)) => reply,
                    _ => StartReply::Unknown,
                };
                placer.handle_start_reply(&worker, start.attempt.task, reply, sent, now);
            }
            (WorkerAsk::Sync(sync), Some(WorkerAnswer::Inventory(inventory))) => {
                placer.handle_sync_reply(&worker, &sync, Some(inventory), sent, now);
            }
            (WorkerAsk::Sync(sync), _) => placer.handle_sync_reply(&worker, &sync, None, sent, now),
        }
    }

    /// What the log has and this box skipped, since it took over a later state, is appended again.
    fn doubt(&mut self) {
        let Some(next) = self.fold.state().map(|state| state.next) else { return };
        for pending in self.pending.values_mut() {
            pending.acknowledged = pending.acknowledged.filter(|offset| *offset >= next);
        }
    }

    fn append(&mut self, cell: &mut Cell, now: Moment) {
        self.doubt();
        let mut batch = RecordBatch::default();
        let wanted: Vec<RecordId> = self
            .pending
            .iter()
            .filter(|(_, pending)| pending.acknowledged.is_none())
            .map(|(id, _)| *id)
            .collect();
        for id in wanted {
            let mut pending = self.pending.remove(&id).expect("the key was just seen");
            let again = pending.first_sent.is_some();
            if again && is_worthless(&pending, now) {
                continue;
            }
            pending.first_sent.get_or_insert(now);
            let id =
                if again && self.off == SwitchedOff::SameRecordId { cell.new_id() } else { id };
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
            self.pending.get_mut(&id).expect("it was just put there").acknowledged = offset;
        }
    }
}

/// A claim or renewal that is older than its term is not appended again.
fn is_worthless(pending: &PendingRecord, now: Moment) -> bool {
    let expires =
        matches!(pending.body, RecordBody::ClaimLead { .. } | RecordBody::RenewLead { .. });
    expires && pending.first_sent.is_some_and(|sent| now.since(sent) >= LEAD_TIMING.term)
}

/// The times that a placer counts with. Workers are always told the real lease.
fn place_timing(off: SwitchedOff) -> PlacementTiming {
    match off {
        SwitchedOff::SilentWorkerRoom => PlacementTiming {
            lease: TimeSpan(200),
            max_delivery_delay: TimeSpan(0),
            ..PLACE_TIMING
        },
        _ => PLACE_TIMING,
    }
}
