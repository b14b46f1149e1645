//! The log and the workers.

use std::collections::{BTreeMap, VecDeque};

use sedgehill_core::ids::{AttemptId, Epoch, HallName, Incarnation, Offset, WorkerId};
use sedgehill_core::job::TaskOutcome;
use sedgehill_core::placement::{StartReply, TaskReport, TaskStart, WorkerInventory, WorkerSync};
use sedgehill_core::record::{LogEntry, RecordBatch};
use sedgehill_core::units::{Moment, ResourceSet};

/// What becomes of appends.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum AppendFate {
    /// They take effect and are answered.
    #[default]
    Works,
    /// They take effect and the answer is lost.
    AnswerLost,
    /// They have no effect and no answer.
    Lost,
}

/// The platform's log.
#[derive(Debug, Default)]
pub struct FakeLog {
    pub first: u64,
    pub entries: VecDeque<LogEntry>,
    pub down: bool,
    pub fate: AppendFate,
    pub clock_ms: u64,
}

impl FakeLog {
    pub fn next(&self) -> u64 {
        self.first + self.entries.len() as u64
    }

    /// Appends whatever the faults; for the set-up of a run.
    pub fn append(&mut self, batch: RecordBatch, now: Moment) -> Offset {
        let offset = Offset(self.next());
        self.entries.push_back(LogEntry { offset, at_ms: now.0, batch });
        offset
    }

    /// Appends as a box does. Returns the offset if there is an answer.
    pub fn try_append(&mut self, batch: RecordBatch, now: Moment) -> Option<Offset> {
        if self.down || self.fate == AppendFate::Lost {
            return None;
        }
        let offset = self.append(batch, now);
        (self.fate == AppendFate::Works).then_some(offset)
    }

    pub fn read(&self, from: Offset) -> Vec<LogEntry> {
        if self.down {
            return Vec::new();
        }
        let skip = from.0.saturating_sub(self.first) as usize;
        self.entries.iter().skip(skip).cloned().collect()
    }

    /// Forgets what is older than the last snapshot that was appended, but for the last `keep`
    /// entries: the platform's retention is longer than the interval of snapshots.
    pub fn forget(&mut self, keep: usize) {
        let snapshot = self.entries.iter().rev().find_map(|entry| {
            entry.batch.records.iter().find_map(|record| match &record.body {
                sedgehill_core::record::RecordBody::Snapshot { at, .. } => Some(at.0 + 1),
                _ => None,
            })
        });
        let Some(limit) = snapshot else { return };
        while self.entries.len() > keep && self.first < limit {
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

/// A worker without guards: it starts whatever it is sent.
#[derive(Debug)]
pub struct FakeWorker {
    pub total: ResourceSet,
    pub silent: bool,
    pub fails_all: bool,
    pub running: BTreeMap<AttemptId, FakeTask>,
    ended: BTreeMap<AttemptId, (ResourceSet, TaskOutcome)>,
    incarnation: u64,
}

/// What a lead asks of a worker.
#[derive(Debug, Clone)]
pub enum WorkerAsk {
    Start(TaskStart),
    Sync(WorkerSync),
}

/// What a worker answers.
#[derive(Debug, Clone)]
pub enum WorkerAnswer {
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

    /// Ends tasks that are done or whose leases have lapsed.
    pub fn turn(&mut self, now: Moment) {
        let over: Vec<AttemptId> = self
            .running
            .iter()
            .filter(|(_, task)| task.ends_at <= now || task.lease_until <= now)
            .map(|(attempt, _)| *attempt)
            .collect();
        for attempt in over {
            let task = self.running.remove(&attempt).expect("the key was just seen");
            let outcome = if task.ends_at <= now { task.outcome } else { TaskOutcome::Lost };
            self.ended.insert(attempt, (task.resources, outcome));
        }
    }

    pub fn answer(
        &mut self,
        ask: &WorkerAsk,
        now: Moment,
        starts: &mut u64,
    ) -> Option<WorkerAnswer> {
        match ask {
            WorkerAsk::Start(start) => {
                *starts += 1;
                self.start(start, now);
                Some(WorkerAnswer::Start(StartReply::Started))
            }
            WorkerAsk::Sync(sync) => {
                self.sync(sync, now);
                Some(WorkerAnswer::Inventory(self.inventory()))
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

/// A message between a box and a worker, under way.
#[derive(Debug)]
pub enum WorkerMessage {
    Ask {
        node: usize,
        epoch: Epoch,
        hall: HallName,
        worker: WorkerId,
        ask: WorkerAsk,
        sent: Moment,
    },
    Answer {
        node: usize,
        epoch: Epoch,
        hall: HallName,
        worker: WorkerId,
        ask: WorkerAsk,
        answer: Option<WorkerAnswer>,
        sent: Moment,
    },
}

impl WorkerMessage {
    pub fn sent(&self) -> Moment {
        match self {
            WorkerMessage::Ask { sent, .. } | WorkerMessage::Answer { sent, .. } => *sent,
        }
    }

    pub fn node(&self) -> usize {
        match self {
            WorkerMessage::Ask { node, .. } | WorkerMessage::Answer { node, .. } => *node,
        }
    }

    /// What the sender gets when the message or its answer is lost.
    pub fn without_answer(self) -> WorkerMessage {
        match self {
            WorkerMessage::Ask { node, epoch, hall, worker, ask, sent }
            | WorkerMessage::Answer { node, epoch, hall, worker, ask, sent, .. } => {
                WorkerMessage::Answer { node, epoch, hall, worker, ask, answer: None, sent }
            }
        }
    }
}
