//! Which workers there are: what the store lists, and the roster for later leads.

use sedgehill_core::units::{Moment, TimeSpan};

use super::*;

/// A worker that has not answered for so long is out of touch: twice the longest wait for an account.
const OUT_OF_TOUCH: TimeSpan = TimeSpan(1_500);

impl Scheduler {
    /// Takes in what the store lists. Returns the workers that nobody asks for accounts yet.
    pub fn update_workers(&mut self, entries: Vec<WorkerEntry>, now: Moment) -> Vec<WorkerKey> {
        let mut listed = BTreeSet::new();
        for entry in entries {
            let draining = entry.draining;
            let key = self.know_worker(entry, "listed", now);
            self.workers[key.0].entry.draining |= draining;
            listed.insert(key);
        }
        for number in 0..self.workers.len() {
            self.set_listed(WorkerKey(number), listed.contains(&WorkerKey(number)), now);
        }
        self.surveyed = true;
        // A later lead should not have to wait for workers that have left.
        let changed = |worker: &WorkerState| worker.rostered != self.belongs_to_roster(worker, now);
        if self.workers.iter().any(changed) {
            self.roster_changed = true;
        }
        self.unwatched()
    }

    fn set_listed(&mut self, key: WorkerKey, is_listed: bool, now: Moment) {
        let worker = &mut self.workers[key.0];
        let was_listed = std::mem::replace(&mut worker.listed, is_listed);
        if was_listed && !is_listed {
            worker.unlisted_since = now;
        }
        match (was_listed, is_listed) {
            (true, false) => self.note_worker(key, "unlisted"),
            (false, true) => self.note_worker(key, "listed again"),
            _ => {}
        }
    }

    /// Takes in the workers on which an earlier lead may have started something. Returns the workers
    /// that nobody asks for accounts yet.
    pub fn add_roster(&mut self, roster: &WorkerRoster, now: Moment) -> Vec<WorkerKey> {
        for entry in &roster.0 {
            let key = self.know_worker(entry.clone(), "inherited", now);
            self.workers[key.0].rostered = true;
            self.workers[key.0].inherited = true;
        }
        self.unwatched()
    }

    /// Two lives may stand at one address, as the store lists a life for some seconds after its end. Which of
    /// them has ended is told by the address itself, which refuses what is meant for the other.
    fn know_worker(&mut self, entry: WorkerEntry, change: &'static str, now: Moment) -> WorkerKey {
        if let Some(key) = self.lives.get(&entry.life) {
            return *key;
        }
        let key = WorkerKey(self.workers.len());
        self.lives.insert(entry.life.clone(), key);
        self.workers.push(WorkerState::new(entry, now));
        self.note_worker(key, change);
        key
    }

    fn unwatched(&mut self) -> Vec<WorkerKey> {
        let keys = (0..self.workers.len()).map(WorkerKey);
        let keys: Vec<WorkerKey> =
            keys.filter(|key| !self.workers[key.0].watched && self.is_watched(*key)).collect();
        for key in &keys {
            self.workers[key.0].watched = true;
        }
        keys
    }

    /// Nobody asks a worker for accounts any more.
    pub fn unwatch(&mut self, key: WorkerKey) {
        self.workers[key.0].watched = false;
    }

    /// Whether a worker may be given work, or may run something. One that leaves or is out of touch, and
    /// runs nothing, would only hold up a later lead, which has to hear from the whole roster.
    fn belongs_to_roster(&self, worker: &WorkerState, now: Moment) -> bool {
        if worker.dead {
            return false;
        }
        let unsettled = worker.inherited && !worker.fenced && !self.take_over.settled;
        if unsettled || !worker.runs.is_empty() {
            return true;
        }
        let out_of_touch = worker.answered.is_some_and(|at| now >= at.after(OUT_OF_TOUCH));
        worker.is_listed(now, &self.timing) && !worker.entry.draining && !out_of_touch
    }

    /// The workers that are to stand in the roster. The others get no work from now on.
    pub(super) fn next_roster(&mut self, now: Moment) -> WorkerRoster {
        let mut entries = Vec::new();
        for number in 0..self.workers.len() {
            match self.belongs_to_roster(&self.workers[number], now) {
                true => entries.push(self.workers[number].entry.clone()),
                false => self.leave_roster(WorkerKey(number)),
            }
        }
        WorkerRoster(entries)
    }

    fn leave_roster(&mut self, key: WorkerKey) {
        if std::mem::replace(&mut self.workers[key.0].rostered, false) {
            self.note_worker(key, "left the roster");
        }
    }

    /// Whether a worker's daemon task should go on asking it for accounts.
    pub fn is_watched(&self, key: WorkerKey) -> bool {
        let worker = &self.workers[key.0];
        !worker.dead && (worker.listed || !worker.runs.is_empty() || !worker.fenced)
    }

    /// A life has surely ended, as another one answered a call to it: nothing runs there any more.
    pub(super) fn bury(&mut self, key: WorkerKey, call: WorkerCall, now: Moment) {
        if !self.workers[key.0].dead {
            self.note_ended(key, call, now);
        }
        self.workers[key.0].dead = true;
        let address = self.workers[key.0].entry.address;
        self.lose_runs(key, LossCause::WorkerEnded { address, call }, now);
    }
}
