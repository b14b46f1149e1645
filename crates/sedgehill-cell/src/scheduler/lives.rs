//! Handles workers that restart under the same id.
//!
//! A *life* of a worker is one incarnation, from its start to its end; the start time tells the
//! lives of one id apart. All state that a lead keeps of a worker, numbers and clock readings
//! included, belongs to one life. The next life gets a new state, so nothing has to be reset. Only
//! reports show which life exists: entries in the store may be old, or written by another process.
//!
//! Calls name a worker by its id, so the next life may carry out a call to the earlier one seconds
//! later. An acknowledgement would make it forget run ends that nobody has read, and a start would
//! run a task that has started elsewhere meanwhile. Calls to the next life therefore have a higher
//! token, and the earlier life counts as ended only with the first report under that token. From
//! then on the worker refuses earlier calls, and the report lists whatever it started before.

use sedgehill_core::units::{Moment, TimeSpan};

use super::*;
use crate::ids::{LifeStart, TOKENS_PER_LEAD};

/// How long after sending a call may still be carried out: several times the twelve seconds that
/// users report. A worker whose lives used up the tokens of a lead is not called for this long, and
/// then starts with the first token again.
const MAX_CALL_DELAY: TimeSpan = TimeSpan(60_000);

/// Which life sent a report.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum ReportOrigin {
    /// The life that was asked.
    Same,
    /// A life that began later.
    Next(Option<LifeStart>),
    /// A life that has ended, or one that cannot be identified.
    Unusable,
}

impl Scheduler {
    /// Whether a report that was asked for at `sent` comes from the life known as `key`. If it
    /// comes from a later life, that one is polled from now on.
    pub(super) fn is_of_life(
        &mut self,
        key: WorkerKey,
        report: &HoldReport,
        sent: Moment,
        now: Moment,
    ) -> bool {
        match self.classify_report(key, report.start, sent) {
            ReportOrigin::Same => {
                self.set_life_start(key, report.start);
                true
            }
            ReportOrigin::Next(start) => {
                self.replace_life(key, start, now);
                false
            }
            ReportOrigin::Unusable => {
                if report.start.is_none() {
                    // Nothing can be concluded, whichever life sent it.
                    self.note_silence(key, now);
                }
                let worker = self.workers[key.0].entry.life.clone();
                self.events.push(CellEvent::ReportIgnored { worker, start: report.start });
                false
            }
        }
    }

    fn classify_report(
        &self,
        key: WorkerKey,
        reported: Option<LifeStart>,
        sent: Moment,
    ) -> ReportOrigin {
        let worker = &self.workers[key.0];
        let known = worker.entry.life.start;
        if reported == known || (known.is_none() && !worker.fenced) {
            return ReportOrigin::Same;
        }
        if reported.is_none() {
            return ReportOrigin::Unusable;
        }
        // A report asked for after the known life had reported does not come from an earlier life,
        // whatever their clocks say. Among reports that overtook each other, the start times
        // decide.
        let asked_later = worker.last_report_at.is_none_or(|at| sent >= at);
        match asked_later || reported > known {
            true => ReportOrigin::Next(reported),
            false => ReportOrigin::Unusable,
        }
    }

    /// Sets the start of a life that was first known from a record without it.
    fn set_life_start(&mut self, key: WorkerKey, start: Option<LifeStart>) {
        let life = &mut self.workers[key.0].entry.life;
        if life.start == start {
            return;
        }
        self.lives.remove(life);
        life.start = start;
        self.lives.insert(life.clone(), key);
        self.roster_changed = true;
    }

    /// Notes that another life answers under the id of `key`.
    fn replace_life(&mut self, key: WorkerKey, start: Option<LifeStart>, now: Moment) {
        let worker = &mut self.workers[key.0];
        worker.replaced_at = Some(now);
        let life = WorkerLife { id: worker.entry.life.id.clone(), start };
        let next =
            self.known_life_here(key, &life).or_else(|| self.add_unlisted_life(key, &life, now));
        let token = next.map(|next| self.workers[next.0].token);
        let worker = &self.workers[key.0];
        self.events.push(CellEvent::WorkerRestarted {
            worker: worker.entry.life.clone(),
            next: life,
            token,
            runs: worker.runs.len(),
            acknowledged: worker.acknowledged_to,
            silent: worker.last_answer_at.map(|at| now.since(at)),
        });
    }

    /// Returns the key of a life that answers at the address of `key`, if it is already known
    /// there. If it is known at another address, it is not there and that key is given up.
    fn known_life_here(&mut self, key: WorkerKey, life: &WorkerLife) -> Option<WorkerKey> {
        let known = self.lives.get(life).copied()?;
        let is_here = self.workers[known.0].entry.address == self.workers[key.0].entry.address;
        let other = &mut self.workers[known.0];
        if is_here && !other.dead {
            other.replaces_earlier = true;
            return Some(known);
        }
        other.dead = true;
        None
    }

    /// Adds a life that answers at the address of `key`, with its entry if that has been read.
    /// Otherwise it is assumed to be like the earlier life, and gets no work until its entry is
    /// read.
    fn add_unlisted_life(
        &mut self,
        key: WorkerKey,
        life: &WorkerLife,
        now: Moment,
    ) -> Option<WorkerKey> {
        let worker = &self.workers[key.0];
        let is_here =
            |entry: &WorkerEntry| entry.life == *life && entry.address == worker.entry.address;
        let read = worker.other_listed_entry.as_deref().filter(|entry| is_here(entry)).cloned();
        let capacity_read = read.is_some();
        let entry = read.unwrap_or_else(|| WorkerEntry {
            life: life.clone(),
            draining: false,
            ..worker.entry.clone()
        });
        let next = self.add_life(entry, key, "started again", now)?;
        self.workers[next.0].capacity_read = capacity_read;
        Some(next)
    }

    /// Adds another life under the id of `earlier`. Returns none while its tokens are used up: it
    /// is not called then, and is added from the list once a token is free.
    pub(super) fn add_life(
        &mut self,
        entry: WorkerEntry,
        earlier: WorkerKey,
        change: &'static str,
        now: Moment,
    ) -> Option<WorkerKey> {
        let token = self.next_token(&entry.life.id, earlier, now)?;
        let key = self.add_worker(entry, token, change, now);
        self.workers[key.0].replaces_earlier = true;
        self.unpolled_lives.push(key);
        Some(key)
    }

    /// Takes the lives that replaced others and are not polled yet.
    pub fn take_new_lives(&mut self) -> Vec<WorkerKey> {
        let mut keys = std::mem::take(&mut self.unpolled_lives);
        keys.retain(|key| !std::mem::replace(&mut self.workers[key.0].polled, true));
        keys
    }

    /// Returns a token above those of all calls to earlier lives of an id that may still be in
    /// flight.
    fn next_token(&self, id: &WorkerId, earlier: WorkerKey, now: Moment) -> Option<FencingToken> {
        let newest = &self.workers[self.ids.get(id).copied().unwrap_or(earlier).0];
        let earlier = &self.workers[earlier.0];
        let highest = newest.token.max(earlier.token);
        let number = highest.0 - self.token.0 + 1;
        let long_over = || {
            let over = newest.replaced_at.max(earlier.replaced_at);
            over.is_some_and(|over| now >= over.after(MAX_CALL_DELAY))
        };
        match number < TOKENS_PER_LEAD {
            true => Some(self.token.for_life(number)),
            false => long_over().then_some(self.token),
        }
    }

    /// Ends the earlier lives of an id, once a life has reported in full under its own token. Calls to
    /// them are refused from now on, and the report lists whatever they made it start.
    pub(super) fn end_earlier_lives(&mut self, key: WorkerKey, now: Moment) {
        if !std::mem::take(&mut self.workers[key.0].replaces_earlier) {
            return;
        }
        let id = self.workers[key.0].entry.life.id.clone();
        let keys = (0..self.workers.len()).map(WorkerKey);
        let earlier: Vec<WorkerKey> = keys
            .filter(|other| *other != key)
            .filter(|other| {
                let worker = &self.workers[other.0];
                worker.entry.life.id == id && !worker.dead
            })
            .collect();
        for earlier in earlier {
            self.end_life(earlier, WorkerCall::Account, now);
        }
    }

    /// Ends a life, on which nothing runs any more.
    pub(super) fn end_life(&mut self, key: WorkerKey, call: WorkerCall, now: Moment) {
        let worker = &self.workers[key.0];
        let (life, address) = (worker.entry.life.clone(), worker.entry.address);
        if worker.fenced && !worker.is_leaving() {
            self.background_crashes.note(life.clone(), now);
        }
        self.report_worker_ended(key, call, now);
        let worker = &mut self.workers[key.0];
        worker.dead = true;
        worker.replaced_at.get_or_insert(now);
        self.lose_runs(key, LossCause::WorkerEnded { address, call }, now);
        self.resolve_as_crash(&life, address, CrashDetection::OtherLife, now);
    }

    /// Ends a life that was replaced by one that does not report. A start sent to the replaced life
    /// may run on the new one for as long as a lease lasts.
    pub(super) fn expire_replaced_life(&mut self, key: WorkerKey, since: Moment, now: Moment) {
        let lease = self.timing.max_lease;
        let end =
            since.after(lease).after(self.drift_of(lease)).after(self.timing.lease_end_margin);
        if now > end && self.was_sole_lead_at(end) {
            let next = self.ids.get(&self.workers[key.0].entry.life.id).copied();
            if let Some(next) = next {
                self.workers[next.0].replaces_earlier = false;
            }
            self.end_life(key, WorkerCall::Account, now);
        }
    }
}
