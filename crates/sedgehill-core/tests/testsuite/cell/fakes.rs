//! In-memory log and workers with injected faults.

use std::collections::{BTreeMap, VecDeque};

use sedgehill_core::ids::{AttemptId, Epoch, HallName, Incarnation, Offset, WorkerId};
use sedgehill_core::job::TaskOutcome;
use sedgehill_core::placement::{StartReply, TaskReport, TaskStart, WorkerInventory, WorkerSync};
use sedgehill_core::record::{LogEntry, RecordBatch};
use sedgehill_core::units::{Moment, ResourceSet};

/// Fault of appends to the log.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum AppendFault {
    /// Appends take effect and are acknowledged.
    #[default]
    None,
    /// Appends take effect, but the acknowledgement is lost.
    ReplyLost,
    /// Appends are lost: they have no effect and no acknowledgement.
    RequestLost,
}

/// In-memory log of the platform.
#[derive(Debug, Default)]
pub struct FakeLog {
    /// Offset of the oldest retained entry.
    pub first: u64,
    pub entries: VecDeque<LogEntry>,
    pub unavailable: bool,
    pub append_fault: AppendFault,
    pub clock_ms: u64,
}

impl FakeLog {
    pub fn next(&self) -> u64 {
        self.first + self.entries.len() as u64
    }

    /// Appends regardless of faults, for the setup of a run.
    pub fn append(&mut self, batch: RecordBatch, now: Moment) -> Offset {
        let offset = Offset(self.next());
        self.entries.push_back(LogEntry { offset, at_ms: now.0, batch });
        offset
    }

    /// Appends subject to the faults. Returns the offset if the append is acknowledged.
    pub fn try_append(&mut self, batch: RecordBatch, now: Moment) -> Option<Offset> {
        if self.unavailable || self.append_fault == AppendFault::RequestLost {
            return None;
        }
        let offset = self.append(batch, now);
        (self.append_fault == AppendFault::None).then_some(offset)
    }

    pub fn read(&self, from: Offset) -> Vec<LogEntry> {
        if self.unavailable {
            return Vec::new();
        }
        let skip = from.0.saturating_sub(self.first) as usize;
        self.entries.iter().skip(skip).cloned().collect()
    }

    /// Discards entries that the last snapshot covers, but keeps at least the last `keep` entries,
    /// since the platform retains entries for longer than the interval between snapshots.
    pub fn truncate(&mut self, keep: usize) {
        let snapshot = self.entries.iter().rev().find_map(|entry| {
            entry.batch.records.iter().find_map(|record| match &record.body {
                sedgehill_core::record::RecordBody::Snapshot { at, .. } => Some(at.0 + 1),
                _ => None,
            })
        });
        let Some(covered_until) = snapshot else { return };
        while self.entries.len() > keep && self.first < covered_until {
            self.entries.pop_front();
            self.first += 1;
        }
    }
}

#[derive(Debug)]
pub struct FakeTask {
    resources: ResourceSet,
    lease_until: Moment,
    ends_at: Moment,
    outcome: TaskOutcome,
}

/// A worker that starts every task that it is sent, without checking its resources.
#[derive(Debug)]
pub struct FakeWorker {
    pub total: ResourceSet,
    pub silent: bool,
    pub fails_all: bool,
    pub running: BTreeMap<AttemptId, FakeTask>,
    ended: BTreeMap<AttemptId, (ResourceSet, TaskOutcome)>,
    incarnation: u64,
}

/// A request of a lead to a worker.
#[derive(Debug, Clone)]
pub enum WorkerRequest {
    Start(TaskStart),
    Sync(WorkerSync),
}

/// A reply of a worker.
#[derive(Debug, Clone)]
pub enum WorkerReply {
    Start(StartReply),
    Inventory(WorkerInventory),
}

impl FakeWorker {
    pub fn new(total: ResourceSet) -> FakeWorker {
        FakeWorker {
            total,
            silent: false,
            fails_all: false,
            running: BTreeMap::new(),
            ended: BTreeMap::new(),
            incarnation: 1,
        }
    }

    pub fn restart(&mut self) {
        self.running.clear();
        self.ended.clear();
        self.incarnation += 1;
    }

    pub fn used(&self) -> ResourceSet {
        self.running.values().fold(ResourceSet::default(), |sum, task| sum.plus(&task.resources))
    }

    /// Ends the tasks that are due to finish or whose leases have expired.
    pub fn end_due_tasks(&mut self, now: Moment) {
        let due: Vec<AttemptId> = self
            .running
            .iter()
            .filter(|(_, task)| task.ends_at <= now || task.lease_until <= now)
            .map(|(attempt, _)| *attempt)
            .collect();
        for attempt in due {
            let task = self.running.remove(&attempt).expect("the key was just seen");
            let outcome = if task.ends_at <= now { task.outcome } else { TaskOutcome::Lost };
            self.ended.insert(attempt, (task.resources, outcome));
        }
    }

    pub fn handle(
        &mut self,
        request: &WorkerRequest,
        now: Moment,
        starts: &mut u64,
    ) -> Option<WorkerReply> {
        match request {
            WorkerRequest::Start(start) => {
                *starts += 1;
                self.start(start, now);
                Some(WorkerReply::Start(StartReply::Started))
            }
            WorkerRequest::Sync(sync) => {
                self.sync(sync, now);
                Some(WorkerReply::Inventory(self.inventory()))
            }
        }
    }

    fn start(&mut self, start: &TaskStart, now: Moment) {
        let outcome = if self.fails_all { TaskOutcome::Failed } else { TaskOutcome::Done };
        let ends_at = if self.fails_all { now } else { now.after(start.run_time) };
        let lease_until = now.after(start.lease);
        let task = FakeTask { resources: start.resources, lease_until, ends_at, outcome };
        self.running.insert(start.attempt, task);
    }

    fn sync(&mut self, sync: &WorkerSync, now: Moment) {
        for attempt in &sync.stop {
            self.running.remove(attempt);
        }
        for attempt in &sync.forget {
            self.ended.remove(attempt);
        }
        for attempt in &sync.renew {
            if let Some(task) = self.running.get_mut(attempt) {
                task.lease_until = now.after(sync.lease);
            }
        }
    }

    fn inventory(&self) -> WorkerInventory {
        let running = self.running.iter().map(|(attempt, task)| TaskReport {
            attempt: *attempt,
            resources: task.resources,
            outcome: None,
        });
        let ended = self.ended.iter().map(|(attempt, (resources, outcome))| TaskReport {
            attempt: *attempt,
            resources: *resources,
            outcome: Some(*outcome),
        });
        WorkerInventory {
            incarnation: Incarnation(self.incarnation),
            tasks: running.chain(ended).collect(),
        }
    }
}

/// A message in transit between a box and a worker.
#[derive(Debug)]
pub enum WorkerMessage {
    Request {
        /// Index of the box that sent the request.
        from: usize,
        epoch: Epoch,
        hall: HallName,
        worker: WorkerId,
        request: WorkerRequest,
        sent: Moment,
    },
    Reply {
        /// Index of the box that sent the request.
        from: usize,
        epoch: Epoch,
        hall: HallName,
        worker: WorkerId,
        request: WorkerRequest,
        reply: Option<WorkerReply>,
        sent: Moment,
    },
}

impl WorkerMessage {
    pub fn sent(&self) -> Moment {
        match self {
            WorkerMessage::Request { sent, .. } | WorkerMessage::Reply { sent, .. } => *sent,
        }
    }

    /// Returns the index of the box that sent the request.
    pub fn from(&self) -> usize {
        match self {
            WorkerMessage::Request { from, .. } | WorkerMessage::Reply { from, .. } => *from,
        }
    }

    /// Converts the message to the reply that its sender gets if the request or its reply is lost.
    pub fn into_lost(self) -> WorkerMessage {
        match self {
            WorkerMessage::Request { from, epoch, hall, worker, request, sent }
            | WorkerMessage::Reply { from, epoch, hall, worker, request, sent, .. } => {
                WorkerMessage::Reply { from, epoch, hall, worker, request, reply: None, sent }
            }
        }
    }
}
