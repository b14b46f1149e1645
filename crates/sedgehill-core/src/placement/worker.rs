//! The account of one worker's room.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

use super::{FIRST_SUSPENSION, MAX_SUSPENSION, SUSPENSION_FAILURES, WorkerInventory};
use crate::ids::{AttemptId, HallName, Incarnation, RackName, WorkerId};
use crate::job::TaskOutcome;
use crate::units::{Moment, ResourceSet, TimeSpan};

/// What the platform's list says of a worker.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkerView {
    /// The worker.
    pub id: WorkerId,
    /// Its data hall.
    pub hall: HallName,
    /// Its rack.
    pub rack: RackName,
    /// Where it listens; none if it is no longer listed.
    pub address: Option<std::net::SocketAddr>,
    /// What it has.
    pub total: ResourceSet,
    /// Whether it takes no new work.
    pub leaving: bool,
}

/// How far the start of a task has come.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum TaskPhase {
    /// The order is under way.
    Starting,
    /// The order was not answered; it may still arrive until this moment.
    Uncertain {
        /// When it has surely arrived or been lost.
        until: Moment,
    },
    /// The worker has said that it runs.
    Running {
        /// When that was first heard.
        confirmed: Moment,
    },
}

/// A task that holds room.
#[derive(Debug, Clone)]
pub(super) struct PlacedTask {
    pub worker: WorkerId,
    pub attempt: u32,
    pub resources: ResourceSet,
    pub phase: TaskPhase,
    pub placed_at: Moment,
    /// When its lease has surely lapsed, if nothing is heard of it until then.
    pub lost_at: Moment,
}

impl PlacedTask {
    /// Whether an inventory asked for at `sent` must list the task if it runs.
    pub fn must_be_in_inventory(&self, sent: Moment) -> bool {
        match self.phase {
            TaskPhase::Starting => false,
            TaskPhase::Uncertain { until } => until <= sent,
            TaskPhase::Running { confirmed } => confirmed < sent,
        }
    }
}

/// One worker as its lead knows it.
#[derive(Debug, Clone)]
pub(super) struct WorkerEntry {
    pub view: WorkerView,
    pub listed: bool,
    pub in_roster: bool,
    /// Ended attempts that the worker reports until it is told to forget them.
    pub reported_ends: BTreeSet<AttemptId>,
    /// Attempts that run here although the task is known to run elsewhere; they are stopped.
    pub duplicates: BTreeMap<AttemptId, ResourceSet>,
    used: ResourceSet,
    /// Whether `used` changed since it was last checked.
    changed: bool,
    syncing: bool,
    silent: bool,
    incarnation: Option<Incarnation>,
    next_sync: Moment,
    failures: u32,
    suspensions: u32,
    suspended_until: Option<Moment>,
    /// Until then one task at a time probes the worker. Without an end a gang that needs several
    /// tasks on it would wait for ever.
    probed_until: Moment,
}

impl WorkerEntry {
    pub fn new(view: WorkerView) -> WorkerEntry {
        WorkerEntry {
            view,
            listed: true,
            in_roster: false,
            reported_ends: BTreeSet::new(),
            duplicates: BTreeMap::new(),
            used: ResourceSet::default(),
            changed: true,
            syncing: false,
            silent: false,
            incarnation: None,
            next_sync: Moment(0),
            failures: 0,
            suspensions: 0,
            suspended_until: None,
            probed_until: Moment(0),
        }
    }

    /// A worker that an earlier lead used and the platform no longer lists.
    pub fn unlisted(id: WorkerId, hall: HallName) -> WorkerEntry {
        let rack = "unknown".parse().expect("a valid name");
        let total = ResourceSet::default();
        let view = WorkerView { id, hall, rack, address: None, total, leaving: true };
        WorkerEntry { listed: false, ..WorkerEntry::new(view) }
    }

    /// Takes a newer view of the platform.
    pub fn renew(&mut self, view: WorkerView) {
        self.view = view;
        self.listed = true;
    }

    /// What is free; nothing in a dimension where more is in use than the worker has.
    pub fn free(&self) -> ResourceSet {
        self.view.total.saturating_minus(&self.used)
    }

    /// Whether the last sync was not answered.
    pub fn is_silent(&self) -> bool {
        self.silent
    }

    /// Whether the worker has said what it runs.
    pub fn is_known(&self) -> bool {
        self.incarnation.is_some()
    }

    pub fn is_suspended(&self, now: Moment) -> bool {
        self.suspended_until.is_some_and(|until| now < until)
    }

    /// Whether a task may be started here now. After being shut out, one task probes the worker.
    pub fn is_usable(&self, now: Moment) -> bool {
        let probing = now < self.probed_until && !self.used.is_empty();
        self.listed
            && self.in_roster
            && self.is_known()
            && !self.view.leaving
            && !self.is_suspended(now)
            && !probing
            && !self.silent
    }

    /// Gives room to a task about to be started.
    pub fn reserve(&mut self, need: &ResourceSet) {
        self.add_usage(need);
        assert!(self.view.total.fits(&self.used), "invariant: no worker is given more than it has");
    }

    /// Counts what runs already, whether it fits or not.
    pub fn add_usage(&mut self, need: &ResourceSet) {
        self.used = self.used.plus(need);
        self.changed = true;
    }

    pub fn release(&mut self, need: &ResourceSet) {
        self.changed = true;
        self.used = self.used.minus(need).expect("invariant: room is given back once");
    }

    /// Notes an attempt that must not run here. Returns whether it was not known before.
    pub fn add_duplicate(&mut self, attempt: AttemptId, need: ResourceSet) -> bool {
        let new = self.duplicates.insert(attempt, need).is_none();
        if new {
            self.add_usage(&need);
        }
        new
    }

    /// Drops the duplicates that have stopped.
    pub fn remove_duplicates(&mut self, stopped: impl Fn(&AttemptId) -> bool) {
        let gone: Vec<AttemptId> =
            self.duplicates.keys().filter(|attempt| stopped(attempt)).copied().collect();
        for attempt in gone {
            let need = self.duplicates.remove(&attempt).expect("the key was just seen");
            self.release(&need);
        }
    }

    /// Notes the answer to a sync, or that there was none.
    pub fn record_sync_reply(&mut self, reply: Option<&WorkerInventory>) {
        self.syncing = false;
        self.silent = reply.is_none();
        let Some(inventory) = reply else { return };
        self.incarnation = Some(inventory.incarnation);
        let reported: BTreeSet<AttemptId> = inventory
            .tasks
            .iter()
            .filter(|report| report.outcome.is_some())
            .map(|report| report.attempt)
            .collect();
        self.reported_ends.retain(|attempt| reported.contains(attempt));
    }

    pub fn record_outcome(&mut self, outcome: TaskOutcome, now: Moment) {
        if outcome == TaskOutcome::Done {
            self.failures = 0;
            self.suspensions = 0;
            self.suspended_until = None;
            self.probed_until = Moment(0);
            return;
        }
        self.failures += 1;
        let probed = self.suspended_until.is_some();
        if probed || self.failures >= SUSPENSION_FAILURES {
            let wait = FIRST_SUSPENSION.0.saturating_mul(1 << self.suspensions.min(16));
            let wait = TimeSpan(wait.min(MAX_SUSPENSION.0));
            self.suspensions += 1;
            self.suspended_until = Some(now.after(wait));
            self.probed_until = now.after(wait).after(wait);
        }
    }

    /// Whether it is time to ask the worker; if so, the next time is set.
    pub fn try_begin_sync(&mut self, every: TimeSpan, now: Moment) -> bool {
        let due = !self.syncing && self.next_sync <= now && self.view.address.is_some();
        if due {
            self.syncing = true;
            self.next_sync = now.after(every);
        }
        due
    }

    /// Whether the account changed since the last call.
    pub fn take_usage_changed(&mut self) -> bool {
        std::mem::take(&mut self.changed)
    }

    /// Asserts that the account of the worker matches the tasks placed on it.
    pub fn check_usage(&self, placed: ResourceSet) {
        let runs = self.duplicates.values().fold(placed, |sum, need| sum.plus(need));
        assert!(
            self.used == runs,
            "invariant: no worker is given more than it has: {} accounts for {}, runs {runs}",
            self.view.id,
            self.used
        );
    }
}
