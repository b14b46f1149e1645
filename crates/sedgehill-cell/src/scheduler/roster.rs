//! Tracks which workers exist, by the store's list and by the roster that is recorded for later
//! leads.

use std::collections::HashSet;
use std::net::SocketAddr;

use sedgehill_core::units::{Moment, ResourceSet, TimeSpan};

use super::*;

/// A life that has never answered and is listed at another address is moved there only after this
/// time. This bounds the cost of an entry that is changed again and again.
const MIN_TIME_AT_ADDRESS: TimeSpan = TimeSpan(2_000);
/// A worker that has not answered for this long is unreachable: twice the longest wait for a
/// report.
const UNREACHABLE_AFTER: TimeSpan = TimeSpan(1_500);

impl Scheduler {
    /// Updates the workers from the store's list. Workers in `unreadable`, whose entries cannot be
    /// read, get no work from now on, and their runs are tracked until they end. Returns the
    /// workers that are to be polled and are not yet.
    pub fn update_workers(
        &mut self,
        entries: Vec<WorkerEntry>,
        unreadable: &[WorkerId],
        now: Moment,
    ) -> Vec<WorkerKey> {
        let mut listed = BTreeSet::new();
        // What an earlier list said of another life may be out of date.
        self.workers.iter_mut().for_each(|worker| worker.other_listed_entry = None);
        let passed_over = std::mem::take(&mut self.passed_over);
        for entry in entries {
            if !self.may_use_entry(&entry) {
                let worker = entry.life;
                if !passed_over.contains(&worker) {
                    let pool = entry.pool;
                    self.events.push(CellEvent::EntryPassedOver { worker: worker.clone(), pool });
                }
                self.passed_over.insert(worker);
                continue;
            }
            let Some(key) = self.find_or_add_worker(entry.clone(), "listed", now) else { continue };
            self.read_entry(key, entry, now);
            listed.insert(key);
        }
        for number in 0..self.workers.len() {
            let is_listed = listed.contains(&WorkerKey(number));
            self.set_listed(WorkerKey(number), is_listed, now);
            self.workers[number].unreadable &= !is_listed;
        }
        for key in unreadable.iter().filter_map(|id| self.ids.get(id)) {
            self.workers[key.0].unreadable = true;
        }
        self.workers_listed_at = Some(now);
        // A later lead should not have to wait for workers that have left.
        let changed =
            |worker: &WorkerState| worker.in_roster != self.belongs_to_roster(worker, now);
        if self.workers.iter().any(changed) {
            self.roster_changed = true;
        }
        self.unpolled()
    }

    /// Sets the pools that the configuration names. Those of earlier versions stay, since workers may
    /// still run what was started there.
    pub fn add_named_pools(&mut self, pools: impl Iterator<Item = PoolName>) {
        self.named_pools.get_or_insert_default().extend(pools);
    }

    /// Whether an entry may be used: its life is known already, or its pool is named by the
    /// configuration or by an open job. Any other belongs to another system, whose workers must not
    /// be called.
    fn may_use_entry(&self, entry: &WorkerEntry) -> bool {
        let Some(named) = &self.named_pools else { return true };
        let serves_job = || self.jobs.values().any(|job| job.record.policy.pool == entry.pool);
        named.contains(&entry.pool) || self.lives.contains_key(&entry.life) || serves_job()
    }

    /// Updates a worker from its entry in the store.
    fn read_entry(&mut self, key: WorkerKey, entry: WorkerEntry, now: Moment) {
        let WorkerEntry { pool, draining, capacity, labels, hall, .. } = entry;
        let worker = &mut self.workers[key.0];
        if hall.is_some() {
            worker.entry.hall = hall;
        }
        worker.hall_emptied = self.emptied_halls.excludes(worker.entry.hall.as_ref());
        worker.entry.draining |= draining;
        if !std::mem::replace(&mut worker.capacity_read, true) {
            // A life that was first known from its report was assumed to be like the one before it.
            (worker.entry.pool, worker.entry.labels) = (pool, labels);
            worker.machine = self.speeds.machine_of(&worker.entry, now);
        }
        self.resize_worker(key, capacity);
    }

    /// Whether the list of workers is recent enough to start something by it. If the store answers
    /// everything but the list, workers that shrink meanwhile would be filled beyond their size.
    pub(super) fn has_fresh_worker_list(&self, now: Moment) -> bool {
        self.workers_listed_at.is_some_and(|read| now < read.after(self.timing.max_list_age))
    }

    /// Sets the size that a worker has now. Workers that do not check would carry out a start
    /// beyond it. Runs that exceed it go on: a stop would lose their work, and nothing requires
    /// one.
    fn resize_worker(&mut self, key: WorkerKey, capacity: ResourceSet) {
        let worker = &mut self.workers[key.0];
        if worker.entry.capacity == capacity {
            return;
        }
        if worker.resize(capacity) {
            // A later lead goes by the roster until it has read the list.
            self.roster_changed = true;
            self.report_worker_change(key, "shrank");
        } else {
            self.report_worker_change(key, "grew");
        }
    }

    fn set_listed(&mut self, key: WorkerKey, is_listed: bool, now: Moment) {
        let worker = &mut self.workers[key.0];
        let was_listed = std::mem::replace(&mut worker.listed, is_listed);
        if was_listed && !is_listed {
            worker.unlisted_since = now;
        }
        match (was_listed, is_listed) {
            (true, false) => self.report_worker_change(key, "unlisted"),
            (false, true) => self.report_worker_change(key, "listed again"),
            _ => {}
        }
    }

    /// Adds the workers on which an earlier lead may have started something. Returns the workers
    /// that are to be polled and are not yet.
    pub fn add_roster(&mut self, parts: &RosterParts, now: Moment) -> Vec<WorkerKey> {
        for (entry, largest_capacity) in parts.workers() {
            let lives = self.inherited_lives.entry(entry.life.id.clone()).or_default();
            lives.push(entry.life.clone());
            let key = self.find_or_add_worker(entry.clone(), "inherited", now);
            let Some(key) = key else { continue };
            self.workers[key.0].in_roster = true;
            self.workers[key.0].inherited = true;
            self.workers[key.0].note_capacity(&entry.capacity);
            self.workers[key.0].note_capacity(&largest_capacity);
        }
        self.roster_records.inherit(parts);
        self.unpolled()
    }

    /// Returns the key of a listed life, which is added if it is not known. Two lives may be listed
    /// at one address, as the store lists a life for some seconds after its end; the worker at the
    /// address refuses calls to the other, which shows which one has ended. Returns none for an
    /// entry of another life than the known one under its id, as reports show which of the two
    /// exists.
    fn find_or_add_worker(
        &mut self,
        entry: WorkerEntry,
        change: &'static str,
        now: Moment,
    ) -> Option<WorkerKey> {
        if let Some(key) = self.lives.get(&entry.life).copied() {
            if !self.has_moved(key, &entry, now) {
                return Some(key);
            }
            // Answers from the old address are answers to the key that is given up here.
            self.workers[key.0].dead = true;
            let token = self.workers[key.0].token;
            return Some(self.add_worker(entry, token, "listed at another address", now));
        }
        let Some(key) = self.ids.get(&entry.life.id).copied() else {
            return Some(self.add_worker(entry, self.token, change, now));
        };
        let worker = &mut self.workers[key.0];
        if worker.entry.life.may_equal(&entry.life) {
            return Some(key);
        }
        let elsewhere = worker.entry.address != entry.address;
        worker.other_listed_entry = Some(Box::new(entry.clone()));
        if !worker.dead && !elsewhere {
            return None;
        }
        self.add_life(entry, key, "listed after another life", now)
    }

    /// Adds a life that takes calls with `token`.
    pub(super) fn add_worker(
        &mut self,
        entry: WorkerEntry,
        token: FencingToken,
        change: &'static str,
        now: Moment,
    ) -> WorkerKey {
        let key = WorkerKey(self.workers.len());
        self.lives.insert(entry.life.clone(), key);
        self.ids.insert(entry.life.id.clone(), key);
        let hall_emptied = self.emptied_halls.excludes(entry.hall.as_ref());
        let machine = self.speeds.machine_of(&entry, now);
        self.workers.push(WorkerState::new(entry, token, now));
        self.workers[key.0].machine = machine;
        self.workers[key.0].hall_emptied = hall_emptied;
        self.report_worker_change(key, change);
        key
    }

    /// Whether a life is to be called at another address than before. The first address that
    /// answered is the right one, whatever is listed later. An address in an earlier lead's roster
    /// is kept until no run of that lead can exist there, since its starts were sent nowhere else.
    fn has_moved(&self, key: WorkerKey, entry: &WorkerEntry, now: Moment) -> bool {
        let worker = &self.workers[key.0];
        let may_run = worker.inherited && !worker.dead && !self.take_over.settled;
        let is_proven = worker.fenced || may_run;
        entry.address != worker.entry.address
            && !is_proven
            && now >= worker.added_at.after(MIN_TIME_AT_ADDRESS)
    }

    fn unpolled(&mut self) -> Vec<WorkerKey> {
        let keys = (0..self.workers.len()).map(WorkerKey);
        let keys: Vec<WorkerKey> =
            keys.filter(|key| !self.workers[key.0].polled && self.should_poll(*key)).collect();
        for key in &keys {
            self.workers[key.0].polled = true;
        }
        keys
    }

    /// Notes that a worker is no longer polled.
    pub fn stop_polling(&mut self, key: WorkerKey) {
        self.workers[key.0].polled = false;
    }

    /// Whether a worker may be given work, or may run something. A worker without runs that is
    /// leaving, is unreachable or has never been heard would only delay a later lead, which has to
    /// hear from the whole roster.
    fn belongs_to_roster(&self, worker: &WorkerState, now: Moment) -> bool {
        // What an earlier lead started may have been lost with it. That is noted when the take-over
        // settles; until then, a later lead has to find the lost worker in the roster.
        let unsettled = worker.inherited && !self.take_over.settled;
        if unsettled && (worker.dead || !worker.reported_in_full) {
            return true;
        }
        if worker.dead {
            return false;
        }
        if !worker.runs.is_empty() {
            return true;
        }
        if worker.unrecordable {
            return false;
        }
        let in_touch = worker.last_answer_at.is_some_and(|at| now < at.after(UNREACHABLE_AFTER));
        worker.is_listed(now, &self.timing) && !worker.entry.draining && in_touch
    }

    /// Returns the changes of the roster to record. Workers that are not in it get no work from now
    /// on, and those whose record is in the store already get work again.
    pub(super) fn next_roster_changes(&mut self, now: Moment) -> Vec<RosterChange> {
        let keys = self.next_roster(now);
        let max_record_bytes = self.timing.max_roster_record;
        let changes = self.roster_records.changes_to(&self.roster_entries(&keys), max_record_bytes);
        let written = changes.iter().filter_map(|change| change.content.as_ref());
        let unrecorded: HashSet<&WorkerLife> =
            written.flat_map(|content| &content.workers).map(|entry| &entry.life).collect();
        for key in keys {
            let worker = &mut self.workers[key.0];
            worker.in_roster |= !unrecorded.contains(&worker.entry.life);
        }
        changes
    }

    /// Notes that the store refuses a record of the roster for good. A record of several workers is
    /// split from now on; a worker that has a record of its own is given no work.
    pub fn note_roster_refused(&mut self, change: &RosterChange) {
        if let Some(life) = change.worker() {
            if let Some(key) = self.lives.get(life) {
                self.workers[key.0].unrecordable = true;
            }
        } else if !change.is_split_marker() {
            let split_above = change.entry_bytes() / 2;
            self.timing.max_roster_record = self.timing.max_roster_record.min(split_above);
            self.roster_changed = true;
        }
    }

    /// Returns a record of the roster to write again, which changes nothing.
    pub(super) fn repeated_roster_record(&mut self, now: Moment) -> RosterChange {
        let keys = self.next_roster(now);
        self.roster_records.repetition(&self.roster_entries(&keys))
    }

    /// Returns the workers that belong to the roster. The others leave it.
    fn next_roster(&mut self, now: Moment) -> Vec<WorkerKey> {
        let mut keys = Vec::new();
        for key in (0..self.workers.len()).map(WorkerKey) {
            match self.belongs_to_roster(&self.workers[key.0], now) {
                true => keys.push(key),
                false => self.leave_roster(key),
            }
        }
        keys
    }

    fn roster_entries(&self, keys: &[WorkerKey]) -> Vec<(&WorkerEntry, ResourceSet)> {
        let workers = keys.iter().map(|key| &self.workers[key.0]);
        workers.map(|worker| (&worker.entry, worker.largest_capacity)).collect()
    }

    fn leave_roster(&mut self, key: WorkerKey) {
        if std::mem::replace(&mut self.workers[key.0].in_roster, false) {
            self.report_worker_change(key, "left the roster");
        }
    }

    /// Whether a worker has answered neither this lead nor, as far as is known, an earlier one.
    pub fn never_answered(&self, key: WorkerKey) -> bool {
        let worker = &self.workers[key.0];
        !worker.fenced && !worker.inherited
    }

    /// Whether a worker at this address is being polled for reports.
    pub fn polls_address(&self, address: SocketAddr) -> bool {
        self.workers.iter().any(|worker| worker.polled && worker.entry.address == address)
    }

    /// Whether the daemon should keep polling a worker for reports.
    pub fn should_poll(&self, key: WorkerKey) -> bool {
        let worker = &self.workers[key.0];
        let unlisted_runs = worker.may_have_unlisted_runs();
        let listed = worker.listed || worker.other_listed_entry.is_some();
        let wanted = listed || !worker.runs.is_empty() || unlisted_runs || worker.replaces_earlier;
        !worker.is_over() && !worker.refuses_token && wanted
    }

    /// Notes that another life answers at a worker's address. If this life answered there before,
    /// it has ended and nothing runs there any more. Otherwise the address may be wrong and the
    /// life may go on elsewhere. Even then no lead has a run there: a start is sent only to a life
    /// that has answered, and only to the address that the newest roster holds for it.
    pub(super) fn note_other_life(&mut self, key: WorkerKey, call: WorkerCall, now: Moment) {
        let worker = &self.workers[key.0];
        if worker.is_over() {
            return;
        }
        if worker.fenced {
            return self.end_life(key, call, now);
        }
        let (life, address) = (worker.entry.life.clone(), worker.entry.address);
        self.report_worker_change(key, "not at its address");
        self.workers[key.0].dead = true;
        self.lose_runs(key, LossCause::WorkerEnded { address, call }, now);
        self.resolve_as_crash(&life, address, CrashDetection::OtherLife, now);
    }
}
