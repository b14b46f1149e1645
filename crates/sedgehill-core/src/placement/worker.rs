//! State of one worker as known to the lead of its data hall.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

use super::{FIRST_SUSPENSION, MAX_SUSPENSION, SUSPENSION_FAILURES, WorkerInventory};
use crate::ids::{AttemptId, HallName, Incarnation, RackName, WorkerId};
use crate::job::TaskOutcome;
use crate::units::{Moment, ResourceSet, TimeSpan};

/// A worker as listed by the platform.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkerView {
    /// Id of the worker.
    pub id: WorkerId,
    /// Data hall in which it runs.
    pub hall: HallName,
    /// Rack in which it runs.
    pub rack: RackName,
    /// Address on which it listens; `None` if it is no longer listed.
    pub address: Option<std::net::SocketAddr>,
    /// Resources that it has.
    pub total: ResourceSet,
    /// Whether it is draining and takes no new tasks.
    pub leaving: bool,
}

/// Progress of the start of a placed task.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum TaskPhase {
    /// The start order was issued and its result is not known yet.
    Starting,
    /// The start order was not answered, and the worker may still receive it.
    Uncertain {
        /// Time by which the order has arrived or was lost.
        until: Moment,
    },
    /// The worker reported that the task runs.
    Running {
        /// Time of the last report.
        confirmed: Moment,
    },
}

/// A task that holds resources of a worker.
#[derive(Debug, Clone)]
pub(super) struct PlacedTask {
    pub worker: WorkerId,
    pub attempt: u32,
    pub resources: ResourceSet,
    pub phase: TaskPhase,
    pub placed_at: Moment,
    /// Time at which its lease has expired on the worker even with the longest delivery delay,
    /// unless the worker reports it again. The task then counts as lost.
    pub lost_at: Moment,
}

impl PlacedTask {
    /// Whether the answer to a sync sent at `sync_sent` must list the task if it runs.
    pub fn must_be_in_inventory(&self, sync_sent: Moment) -> bool {
        match self.phase {
            TaskPhase::Starting => false,
            TaskPhase::Uncertain { until } => until <= sync_sent,
            TaskPhase::Running { confirmed } => confirmed < sync_sent,
        }
    }
}

/// One worker as known to the lead.
#[derive(Debug, Clone)]
pub(super) struct WorkerEntry {
    pub view: WorkerView,
    /// Whether the platform lists the worker.
    pub listed: bool,
    /// Whether the roster in the log contains the worker.
    pub in_roster: bool,
    /// Ended attempts that the worker reports until it is told to forget them.
    pub reported_ends: BTreeSet<AttemptId>,
    /// Attempts that run here although another attempt of the task, or one on another worker, is
    /// placed, with their resources. They are stopped.
    pub duplicates: BTreeMap<AttemptId, ResourceSet>,
    /// Resources in use by placed tasks and duplicates.
    used: ResourceSet,
    /// Whether `used` changed since it was last checked.
    usage_changed: bool,
    /// Whether a sync is in progress.
    syncing: bool,
    /// Whether the last sync was not answered.
    silent: bool,
    /// Run of the worker's process in the last inventory; `None` before the first inventory.
    incarnation: Option<Incarnation>,
    next_sync: Moment,
    /// Consecutive failed starts and tasks.
    failures: u32,
    /// Suspensions since the last success.
    suspensions: u32,
    suspended_until: Option<Moment>,
    /// Until this time, the worker gets only one task at a time as a probe. The limit must end,
    /// since otherwise a gang that needs several tasks on this worker would wait forever.
    probing_until: Moment,
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
            usage_changed: true,
            syncing: false,
            silent: false,
            incarnation: None,
            next_sync: Moment(0),
            failures: 0,
            suspensions: 0,
            suspended_until: None,
            probing_until: Moment(0),
        }
    }

    /// Creates the entry of a worker that is in the roster of an earlier lead and no longer listed
    /// by the platform.
    pub fn unlisted(id: WorkerId, hall: HallName) -> WorkerEntry {
        let rack = "unknown".parse().expect("a valid name");
        let total = ResourceSet::default();
        let view = WorkerView { id, hall, rack, address: None, total, leaving: true };
        WorkerEntry { listed: false, ..WorkerEntry::new(view) }
    }

    /// Replaces the view by a newer one of the platform.
    pub fn update_view(&mut self, view: WorkerView) {
        self.view = view;
        self.listed = true;
    }

    /// Returns the free resources: zero in a dimension in which more is in use than the worker has.
    pub fn free(&self) -> ResourceSet {
        self.view.total.saturating_minus(&self.used)
    }

    /// Whether the last sync was not answered.
    pub fn is_silent(&self) -> bool {
        self.silent
    }

    /// Whether the worker has sent an inventory.
    pub fn has_inventory(&self) -> bool {
        self.incarnation.is_some()
    }

    pub fn is_suspended(&self, now: Moment) -> bool {
        self.suspended_until.is_some_and(|until| now < until)
    }

    /// Whether a task may be started on the worker now. After a suspension, one task at a time
    /// probes the worker.
    pub fn is_usable(&self, now: Moment) -> bool {
        let probing = now < self.probing_until && !self.used.is_empty();
        self.listed
            && self.in_roster
            && self.has_inventory()
            && !self.view.leaving
            && !self.is_suspended(now)
            && !probing
            && !self.silent
    }

    /// Reserves resources for a task that is about to be started.
    ///
    /// # Panics
    ///
    /// Panics if more would be in use than the worker has.
    pub fn reserve(&mut self, need: &ResourceSet) {
        self.add_usage(need);
        assert!(self.view.total.fits(&self.used), "invariant: no worker is given more than it has");
    }

    /// Adds the resources of a task that already runs, even if they exceed what the worker has.
    pub fn add_usage(&mut self, need: &ResourceSet) {
        self.used = self.used.plus(need);
        self.usage_changed = true;
    }

    pub fn release(&mut self, need: &ResourceSet) {
        self.usage_changed = true;
        self.used = self.used.minus(need).expect("invariant: reserved resources are released once");
    }

    /// Adds an attempt that must not run here. Returns true if it is new.
    pub fn add_duplicate(&mut self, attempt: AttemptId, need: ResourceSet) -> bool {
        let is_new = self.duplicates.insert(attempt, need).is_none();
        if is_new {
            self.add_usage(&need);
        }
        is_new
    }

    /// Removes the duplicates for which `has_stopped` returns true.
    pub fn remove_duplicates(&mut self, has_stopped: impl Fn(&AttemptId) -> bool) {
        let stopped: Vec<AttemptId> =
            self.duplicates.keys().filter(|attempt| has_stopped(attempt)).copied().collect();
        for attempt in stopped {
            let need = self.duplicates.remove(&attempt).expect("the key was just seen");
            self.release(&need);
        }
    }

    /// Records the answer to a sync; `None` if there was none.
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

    /// Records the outcome of a task or a start order. Consecutive failures suspend the worker.
    pub fn record_outcome(&mut self, outcome: TaskOutcome, now: Moment) {
        if outcome == TaskOutcome::Done {
            self.failures = 0;
            self.suspensions = 0;
            self.suspended_until = None;
            self.probing_until = Moment(0);
            return;
        }
        self.failures += 1;
        let was_probe = self.suspended_until.is_some();
        if was_probe || self.failures >= SUSPENSION_FAILURES {
            let duration = FIRST_SUSPENSION.0.saturating_mul(1 << self.suspensions.min(16));
            let duration = TimeSpan(duration.min(MAX_SUSPENSION.0));
            self.suspensions += 1;
            self.suspended_until = Some(now.after(duration));
            self.probing_until = now.after(duration).after(duration);
        }
    }

    /// Whether a sync is due. If so, marks it as in progress and schedules the next one after
    /// `interval`.
    pub fn try_begin_sync(&mut self, interval: TimeSpan, now: Moment) -> bool {
        let due = !self.syncing && self.next_sync <= now && self.view.address.is_some();
        if due {
            self.syncing = true;
            self.next_sync = now.after(interval);
        }
        due
    }

    /// Whether the resources in use changed since the last call.
    pub fn take_usage_changed(&mut self) -> bool {
        std::mem::take(&mut self.usage_changed)
    }

    /// Checks that the resources in use are those of the placed tasks, `placed`, and of the
    /// duplicates.
    ///
    /// # Panics
    ///
    /// Panics if they differ.
    pub fn check_usage(&self, placed: ResourceSet) {
        let expected = self.duplicates.values().fold(placed, |sum, need| sum.plus(need));
        assert!(
            self.used == expected,
            "invariant: no worker is given more than it has: {} counts {} in use, its tasks need {expected}",
            self.view.id,
            self.used
        );
    }
}
