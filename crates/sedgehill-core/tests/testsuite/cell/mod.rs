//! A whole cell in one thread: several cores, a log and workers that fail, and an oracle that knows
//! what really runs. Steps are chosen from outside, so a run is repeated by its steps.

mod checks;
mod fakes;
mod node;

use std::collections::BTreeMap;

use sedgehill_core::ids::{JobId, RecordId, WorkerId};
use sedgehill_core::job::JobRequest;
use sedgehill_core::lead::LeadTiming;
use sedgehill_core::manifest::WorkManifest;
use sedgehill_core::placement::{PlacementTiming, WorkerView};
use sedgehill_core::record::{LogRecord, RecordBatch, RecordBody};
use sedgehill_core::spec::{ConfigKey, ConfigSpec};
use sedgehill_core::units::{CoreCount, MemorySize, Moment, ResourceSet, TimeSpan};
use uuid::Uuid;

pub use fakes::{AppendFate, FakeLog, FakeWorker, WorkerMessage};
pub use node::CoreNode;

const BOXES: usize = 3;
const HALLS: [&str; 2] = ["hall-a", "hall-b"];
const WORKERS_PER_HALL: usize = 3;
/// Moments within which a healed cell must come to rest: longer than the longest time for which a
/// worker that failed everything is shut out and probed.
const SETTLE_MOMENTS: usize = 4_000;
/// How long an ordinary moment lasts.
const ORDINARY_MILLIS: u64 = 50;
/// The sender of messages that nobody waits for any more.
const NOBODY: usize = usize::MAX;

/// The lead's times. Messages to workers arrive within the margin or not at all.
pub const LEAD_TIMING: LeadTiming = LeadTiming {
    term: TimeSpan(2_000),
    margin: TimeSpan(600),
    renew_every: TimeSpan(500),
    stagger: TimeSpan(200),
};
/// The placement's times.
pub const PLACE_TIMING: PlacementTiming = PlacementTiming {
    lease: TimeSpan(3_000),
    max_delivery_delay: TimeSpan(500),
    sync_every: TimeSpan(300),
};

/// A safety rule that a run switches off, to show that the run would notice.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum SwitchedOff {
    /// Nothing: the product as it is.
    #[default]
    Nothing,
    /// A box sends what it decided under a lead that has lapsed meanwhile.
    EpochCheck,
    /// Room of a silent worker is given out before its leases have lapsed.
    SilentWorkerRoom,
    /// A lead counts its term from when it heard that the log has its renewal.
    TermFromSending,
    /// A claimant does not wait for the last term to end.
    ClaimWait,
    /// A state older than the one held is taken over.
    NewerStateOnly,
    /// A record is appended again under a new id.
    SameRecordId,
    /// A new lead starts tasks before it has heard of every worker.
    Recovery,
}

/// What can happen. Numbers pick among whatever there is.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CellStep {
    /// Time passes.
    Advance(u64),
    /// A box runs its controllers once.
    Turn(usize),
    /// Every box that runs does so, time passes a little and messages arrive: an ordinary moment.
    Ordinary(u8),
    /// A message to a worker arrives, or its answer does.
    Deliver(usize),
    /// A message is lost.
    Lose(usize),
    /// What becomes of the next append.
    Fate(AppendFate),
    /// A box dies.
    Kill(usize),
    /// A box starts again.
    Restart(usize),
    /// A box stands still.
    Pause(usize),
    /// A box goes on.
    Resume(usize),
    /// A box stands still for longer than its term, from the middle of whatever it was doing.
    Sleep(usize),
    /// The log answers nothing.
    LogDown,
    /// It answers again.
    LogUp,
    /// The log forgets all but its last entries.
    Forget(usize),
    /// A box appends a snapshot.
    Snapshot(usize),
    /// A box takes its state from another.
    TakeState(usize, usize),
    /// An operator submits a job.
    Submit(usize, u32, bool),
    /// An operator cancels a job.
    Cancel(usize),
    /// Two operators publish against the same version.
    Race(usize, usize),
    /// A worker dies and comes back empty.
    RestartWorker(usize),
    /// A worker stops answering, or answers again.
    SilenceWorker(usize, bool),
    /// Every task of a worker fails from now on, or no more.
    BreakWorker(usize, bool),
}

/// The cell.
#[derive(Debug)]
pub struct Cell {
    pub now: Moment,
    pub off: SwitchedOff,
    pub log: FakeLog,
    pub workers: BTreeMap<WorkerId, FakeWorker>,
    pub nodes: Vec<CoreNode>,
    pub messages: Vec<WorkerMessage>,
    pub views: Vec<WorkerView>,
    next_id: u128,
    jobs: Vec<JobId>,
    versions: BTreeMap<(usize, u32, ConfigKey), u64>,
    publishes: Vec<RecordId>,
    pub starts: u64,
}

impl Cell {
    /// A cell with its templates published, at rest.
    pub fn new(off: SwitchedOff) -> Cell {
        let views = worker_views();
        let workers = views.iter().map(|view| (view.id.clone(), FakeWorker::new(view.total)));
        let mut cell = Cell {
            now: Moment(1_000),
            off,
            log: FakeLog::default(),
            workers: workers.collect(),
            nodes: (0..BOXES).map(|index| CoreNode::new(index, off)).collect(),
            messages: Vec::new(),
            views,
            next_id: 1,
            jobs: Vec::new(),
            versions: BTreeMap::new(),
            publishes: Vec::new(),
            starts: 0,
        };
        cell.publish_templates();
        cell
    }

    fn publish_templates(&mut self) {
        let manifest: WorkManifest = TEMPLATES.parse().expect("the templates are right");
        for spec in manifest.specs {
            let body = RecordBody::Publish { base: None, spec };
            let record = self.record(0, body);
            self.log.append(RecordBatch { records: vec![record] }, self.now);
        }
    }

    pub fn new_id(&mut self) -> RecordId {
        self.next_id += 1;
        RecordId(Uuid::from_u128(self.next_id))
    }

    fn record(&mut self, by: usize, body: RecordBody) -> LogRecord {
        LogRecord { id: self.new_id(), by: node::box_id(by), body }
    }

    /// Makes one step and checks every promise.
    pub fn step(&mut self, step: &CellStep) -> Result<(), String> {
        match *step {
            CellStep::Sleep(index) => self.sleep(index % BOXES),
            _ => {
                self.perform(step);
                self.check()
            }
        }
    }

    fn sleep(&mut self, index: usize) -> Result<(), String> {
        self.turn(index);
        self.nodes[index].paused = true;
        let moments = (LEAD_TIMING.term.0 + 2 * LEAD_TIMING.margin.0) / ORDINARY_MILLIS;
        for _ in 0..moments {
            self.ordinary(1);
            self.check()?;
        }
        self.nodes[index].paused = false;
        self.turn(index);
        self.check()
    }

    fn perform(&mut self, step: &CellStep) {
        match *step {
            CellStep::Advance(millis) => self.advance(millis),
            CellStep::Turn(index) => self.turn(index % BOXES),
            CellStep::Ordinary(count) => self.ordinary(count),
            CellStep::Deliver(pick) => self.deliver(pick),
            CellStep::Lose(pick) => self.lose(pick),
            CellStep::Fate(fate) => self.log.fate = fate,
            CellStep::Kill(index) => self.nodes[index % BOXES].running = false,
            CellStep::Restart(index) => self.restart(index % BOXES),
            CellStep::Pause(index) => self.nodes[index % BOXES].paused = true,
            CellStep::Resume(index) => self.nodes[index % BOXES].paused = false,
            CellStep::Sleep(_) => unreachable!("it is made of several moments"),
            CellStep::LogDown => self.log.down = true,
            CellStep::LogUp => self.log.down = false,
            CellStep::Forget(keep) => self.log.forget(keep),
            CellStep::Snapshot(index) => self.snapshot(index % BOXES),
            CellStep::TakeState(from, to) => self.take_state(from % BOXES, to % BOXES),
            CellStep::Submit(index, tasks, gang) => self.submit(index % BOXES, tasks, gang),
            CellStep::Cancel(pick) => self.cancel(pick),
            CellStep::Race(first, second) => self.race(first % BOXES, second % BOXES),
            CellStep::RestartWorker(pick) => self.worker(pick).restart(),
            CellStep::SilenceWorker(pick, silent) => self.worker(pick).silent = silent,
            CellStep::BreakWorker(pick, broken) => self.worker(pick).fails_all = broken,
        }
    }

    fn worker(&mut self, pick: usize) -> &mut FakeWorker {
        let count = self.workers.len();
        self.workers.values_mut().nth(pick % count).expect("there are workers")
    }

    fn advance(&mut self, millis: u64) {
        self.now = self.now.after(TimeSpan(millis));
        self.log.clock_ms = self.now.0;
        for worker in self.workers.values_mut() {
            worker.turn(self.now);
        }
        self.expire_messages();
    }

    /// Messages that are under way for longer than they may be are lost: their connections are
    /// closed.
    fn expire_messages(&mut self) {
        let now = self.now;
        let late =
            |message: &WorkerMessage| now.since(message.sent()) > PLACE_TIMING.max_delivery_delay;
        let (lost, kept) = std::mem::take(&mut self.messages).into_iter().partition(late);
        self.messages = kept;
        for message in lost {
            self.answer_lost(message);
        }
    }

    fn turn(&mut self, index: usize) {
        let mut node = std::mem::replace(&mut self.nodes[index], CoreNode::new(index, self.off));
        node.turn(self);
        self.nodes[index] = node;
    }

    fn ordinary(&mut self, count: u8) {
        for _ in 0..count {
            for index in 0..BOXES {
                self.turn(index);
            }
            self.advance(ORDINARY_MILLIS);
            for _ in 0..self.messages.len() {
                self.deliver(0);
            }
        }
    }

    fn deliver(&mut self, pick: usize) {
        if self.messages.is_empty() {
            return;
        }
        let message = self.messages.remove(pick % self.messages.len());
        match message {
            WorkerMessage::Ask { node, epoch, hall, worker, ask, sent } => {
                let now = self.now;
                let fake = self.workers.get_mut(&worker).expect("workers are never removed");
                let answer =
                    if fake.silent { None } else { fake.answer(&ask, now, &mut self.starts) };
                let back = WorkerMessage::Answer { node, epoch, hall, worker, ask, answer, sent };
                self.messages.push(back);
            }
            WorkerMessage::Answer { node, .. } => self.take_answer(node, message),
        }
    }

    fn lose(&mut self, pick: usize) {
        if !self.messages.is_empty() {
            let message = self.messages.remove(pick % self.messages.len());
            if pick % 2 == 1
                && let WorkerMessage::Ask { epoch, hall, worker, ask, sent, .. } = &message
            {
                // The sender gives up, and the message arrives all the same.
                let (hall, worker, ask) = (hall.clone(), worker.clone(), ask.clone());
                let (node, epoch, sent) = (NOBODY, *epoch, *sent);
                self.messages.push(WorkerMessage::Ask { node, epoch, hall, worker, ask, sent });
            }
            self.answer_lost(message);
        }
    }

    /// The sender learns that it gets no answer.
    fn answer_lost(&mut self, message: WorkerMessage) {
        let node = message.node();
        self.take_answer(node, message.without_answer());
    }

    fn take_answer(&mut self, index: usize, message: WorkerMessage) {
        if let Some(node) = self.nodes.get_mut(index) {
            node.receive(message);
        }
    }

    fn restart(&mut self, index: usize) {
        if self.nodes[index].running {
            return;
        }
        let run = self.nodes[index].run + 1;
        self.nodes[index] = CoreNode::new(index, self.off);
        self.nodes[index].run = run;
    }

    fn snapshot(&mut self, index: usize) {
        let node = &self.nodes[index];
        let Some(state) = node.fold.state().filter(|_| node.is_awake()).cloned() else { return };
        let Some(at) = state.last_offset() else { return };
        let body = RecordBody::Snapshot { at, state: Box::new(state) };
        let id = self.new_id();
        self.nodes[index].submit(id, body);
    }

    fn take_state(&mut self, from: usize, to: usize) {
        let Some(state) = self.nodes[from].fold.state().cloned() else { return };
        if self.nodes[to].is_awake() {
            let now = self.now;
            self.nodes[to].adopt(state, now);
        }
    }

    fn submit(&mut self, index: usize, tasks: u32, gang: bool) {
        if !self.nodes[index].is_awake() {
            return;
        }
        let template = if gang { "together" } else { "apart" };
        let request = JobRequest {
            organisation: "org".parse().expect("a valid name"),
            template: template.parse().expect("a valid name"),
            tasks: 1 + tasks % 6,
        };
        let id = self.new_id();
        let hall = HALLS[tasks as usize % HALLS.len()].parse().expect("a valid name");
        self.jobs.push(JobId(id.0));
        self.nodes[index].submit(id, RecordBody::Submit { request, hall });
    }

    fn cancel(&mut self, pick: usize) {
        if self.jobs.is_empty() {
            return;
        }
        let job = self.jobs[pick % self.jobs.len()];
        let id = self.new_id();
        let awake = self.nodes.iter().position(CoreNode::is_awake);
        if let Some(index) = awake {
            self.nodes[index].submit(id, RecordBody::Cancel { job });
        }
    }

    fn race(&mut self, first: usize, second: usize) {
        for index in [first, second] {
            if !self.nodes[index].is_awake() {
                continue;
            }
            let Some(state) = self.nodes[index].fold.state() else { continue };
            let key: ConfigKey = "parameters/org/apart".parse().expect("a valid key");
            let Some(current) = state.current(&key) else { continue };
            let ConfigSpec::Parameters(mut parameters) = current.spec.clone() else { continue };
            parameters.queue += 1 + index as u32;
            let (base, spec) = (Some(current.version), ConfigSpec::Parameters(parameters));
            let id = self.new_id();
            self.publishes.push(id);
            self.nodes[index].submit(id, RecordBody::Publish { base, spec });
        }
    }

    /// Heals everything and lets the cell come to rest; then every job must have ended.
    pub fn settle(&mut self) -> Result<(), String> {
        self.log.down = false;
        self.log.fate = AppendFate::Works;
        for worker in self.workers.values_mut() {
            worker.silent = false;
            worker.fails_all = false;
        }
        for index in 0..BOXES {
            self.nodes[index].paused = false;
            self.restart(index);
        }
        for _ in 0..SETTLE_MOMENTS {
            self.step(&CellStep::Ordinary(1))?;
            if self.is_at_rest() {
                return Ok(());
            }
        }
        Err(format!("the cell does not come to rest: {}", self.describe_open_jobs()))
    }

    fn is_at_rest(&self) -> bool {
        let ended = |node: &CoreNode| {
            node.fold
                .state()
                .is_some_and(|state| state.jobs.values().all(|job| job.phase.is_final()))
                && node.pending.is_empty()
        };
        self.nodes.iter().all(ended)
            && self.workers.values().all(|worker| worker.running.is_empty())
    }

    fn describe_open_jobs(&self) -> String {
        let state = self.nodes[0].fold.state();
        let open =
            state.map(|state| state.jobs.values().filter(|job| !job.phase.is_final()).count());
        let running: usize = self.workers.values().map(|worker| worker.running.len()).sum();
        let pending: Vec<usize> = self.nodes.iter().map(|node| node.pending.len()).collect();
        format!("open jobs {open:?}, running tasks {running}, pending records {pending:?}")
    }
}

fn worker_views() -> Vec<WorkerView> {
    let total =
        ResourceSet { cores: CoreCount(4_000), memory: MemorySize(16 << 30), accelerators: 0 };
    let mut views = Vec::new();
    for hall in HALLS {
        for index in 0..WORKERS_PER_HALL {
            views.push(WorkerView {
                id: format!("{hall}-w{index}").parse().expect("a valid name"),
                hall: hall.parse().expect("a valid name"),
                rack: format!("{hall}-r{index}").parse().expect("a valid name"),
                address: Some("127.0.0.1:1".parse().expect("a valid address")),
                total,
                leaving: false,
            });
        }
    }
    views
}

const TEMPLATES: &str = r#"{
    "templates": [
        { "name": "apart", "type": "batch", "run_time": "4s", "attempts": 50,
          "resources": { "cores": "2", "memory": "2GiB" } },
        { "name": "together", "type": "gang", "run_time": "2s", "attempts": 50,
          "resources": { "cores": "1", "memory": "1GiB" } }
    ],
    "parameters": [
        { "organisation": "org", "template": "apart", "priority": 3 },
        { "organisation": "org", "template": "together", "priority": 5 }
    ]
}"#;
