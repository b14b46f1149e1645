//! Lives of a worker that starts again under its id.
//!
//! The start of a life tells it from the one before. What a lead keeps of a worker, all numbers and clocks, is of one
//! life: the next one gets a state of its own, and nothing is left to be cleared. Accounts alone tell which life is there;
//! entries in the store may be old, or another's.
//!
//! Calls name a worker by its id, so what was sent to the earlier life may be carried out by the next one, seconds later:
//! an acknowledgement would make it forget ends that nobody read, a start would run a task there that was begun elsewhere
//! meanwhile. So calls to the next life have a higher token, and the earlier life counts as ended only with the first
//! account under that token: from then on the worker refuses what was sent before, and what it had begun by then is listed.

use sedgehill_core::units::{Moment, TimeSpan};

use super::*;
use crate::ids::{LifeStart, TOKENS_PER_LEAD};

/// How long after it was sent a call may be carried out: several times the twelve seconds that users speak of. A worker
/// whose lives used up the tokens of a lead is left alone for so long, and begins with the first one again.
const MAX_CALL_DELAY: TimeSpan = TimeSpan(60_000);

/// Which life gave an account.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum ReportOrigin {
    /// The one that was asked.
    Same,
    /// One that began later.
    Next(Option<LifeStart>),
    /// One that is over by now, or nobody can tell.
    Unused,
}

impl Scheduler {
    /// Whether an account, asked for at `sent`, is of the life that is known as `key`. If it is of a later one, that
    /// one is asked from now on.
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
            ReportOrigin::Unused => {
                if report.start.is_none() {
                    // Whatever gives it, nothing can be gone by.
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
            return ReportOrigin::Unused;
        }
        // What was asked after the known life had answered was not answered by one before it, whatever their clocks said.
        // Answers that overtake each other are told apart by the starts.
        let asked_later = worker.last_report_at.is_none_or(|at| sent >= at);
        match asked_later || reported > known {
            true => ReportOrigin::Next(reported),
            false => ReportOrigin::Unused,
        }
    }

    /// The start of a life becomes known that stood in a record without it.
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

    /// Another life answers under the id of `key`.
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

    /// The handle of a life that answers at the address of `key`, if it is looked for there already. One that is looked
    /// for elsewhere is not there.
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

    /// A handle for a life that answers at the address of `key`: as its entry says, if that was read, or else like the
    /// life before it, without work until it is read.
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

    /// Another life under the id of `earlier`. None while the tokens for it are used up: it is not called then, and is
    /// found in the list once one is free.
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

    /// Takes the lives that follow on others and that nobody asks for accounts yet.
    pub fn take_new_lives(&mut self) -> Vec<WorkerKey> {
        let mut keys = std::mem::take(&mut self.unpolled_lives);
        keys.retain(|key| !std::mem::replace(&mut self.workers[key.0].polled, true));
        keys
    }

    /// A token above those of all calls to earlier lives of an id that may be on their way.
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

    /// A life was heard under its own token: those before it under its id have ended, and what was sent to them is
    /// refused from now on. What it has of it already, its account lists.
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

    /// A life has ended: nothing runs there any more.
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

    /// A life that was followed by another one, which is not heard: what was sent to the one may run on the other for as
    /// long as a lease lasts.
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
