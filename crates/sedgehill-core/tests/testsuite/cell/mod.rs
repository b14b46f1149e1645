//! Simulates a cell in one thread: boxes that run the core, a log and workers, all with faults.
//!
//! The simulation knows which tasks really run and checks the core's invariants against that. It
//! has no randomness of its own, so that a list of steps reproduces a run.

mod checks;
mod fakes;
mod test_box;

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

pub use fakes::{AppendFault, FakeLog, FakeWorker, WorkerMessage};
pub use test_box::TestBox;

const BOX_COUNT: usize = 3;
const HALLS: [&str; 2] = ["hall-a", "hall-b"];
const WORKERS_PER_HALL: usize = 3;
/// Number of ticks within which a cell without faults must finish all work. It covers the longest
/// suspension of a worker on which every task failed, and its probing afterwards.
const MAX_SETTLE_TICKS: usize = 4_000;
/// Duration of one tick, in milliseconds.
const TICK_MILLIS: u64 = 50;
/// Index of the sending box of requests for whose reply no box waits any more.
const NO_SENDER: usize = usize::MAX;

/// Durations of the lead protocol. The margin exceeds the longest delivery delay.
pub const LEAD_TIMING: LeadTiming = LeadTiming {
    term: TimeSpan(2_000),
    margin: TimeSpan(600),
    renew_every: TimeSpan(500),
    stagger: TimeSpan(200),
};
/// Durations of the placement.
pub const PLACEMENT_TIMING: PlacementTiming = PlacementTiming {
    lease: TimeSpan(3_000),
    max_delivery_delay: TimeSpan(500),
    sync_every: TimeSpan(300),
};

/// A safety rule that a run disables to show that the checks detect its absence.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum DisabledRule {
    /// All rules are enabled.
    #[default]
    NoRule,
    /// A box sends orders that it decided under a lead that has ended since.
    EpochCheck,
    /// Tasks of a silent worker are started elsewhere before their leases have expired.
    SilentWorkerLease,
    /// A lead counts its term from reading its renewal in the log instead of from sending it.
    TermFromSendTime,
    /// A claimant does not wait for the end of the last term.
    ClaimWait,
    /// A box accepts an older state from a peer.
    NewerStateCheck,
    /// A record is appended again under a new id.
    StableRecordId,
    /// A new lead starts tasks before it knows what the workers of earlier leads run.
    Recovery,
}

/// One step of a run. An index selects one of the existing items, modulo their number.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CellStep {
    /// Time passes.
    Advance(u64),
    /// A box runs its controllers once.
    RunBox(usize),
    /// A number of ticks without faults: in each, all boxes run, time passes and messages arrive.
    Tick(u8),
    /// A request to a worker or its reply arrives.
    DeliverMessage(usize),
    /// The sender of a message loses the connection. With an odd index, a request still arrives.
    LoseMessage(usize),
    /// Sets the fault of all appends from now on.
    SetAppendFault(AppendFault),
    /// A box crashes.
    KillBox(usize),
    /// A crashed box starts again with empty memory.
    RestartBox(usize),
    /// A box is paused and keeps its memory.
    PauseBox(usize),
    /// A paused box resumes.
    ResumeBox(usize),
    /// A box decides, is paused for longer than a term, and then carries out what it decided.
    SuspendBox(usize),
    /// The log becomes unavailable.
    LogDown,
    /// The log becomes available again.
    LogUp,
    /// The log discards entries that a snapshot covers, down to this number of entries.
    TruncateLog(usize),
    /// A box appends a snapshot.
    AppendSnapshot(usize),
    /// The second box adopts the state of the first.
    TransferState(usize, usize),
    /// An operator submits a job to a box: number of tasks (modulo) and whether it is a gang.
    SubmitJob(usize, u32, bool),
    /// An operator cancels a job.
    CancelJob(usize),
    /// Two boxes publish a change of the same parameters, each based on the version it knows.
    PublishConcurrently(usize, usize),
    /// A worker crashes and restarts without tasks.
    RestartWorker(usize),
    /// A worker stops or resumes answering.
    SilenceWorker(usize, bool),
    /// Sets whether every task started on a worker fails at once.
    FailWorkerTasks(usize, bool),
}

/// A simulated cell.
#[derive(Debug)]
pub struct Cell {
    pub now: Moment,
    pub disabled: DisabledRule,
    pub log: FakeLog,
    pub workers: BTreeMap<WorkerId, FakeWorker>,
    pub boxes: Vec<TestBox>,
    pub messages: Vec<WorkerMessage>,
    pub views: Vec<WorkerView>,
    next_id: u128,
    /// Jobs that were submitted.
    jobs: Vec<JobId>,
    /// Last version of each configuration seen at each run of a box.
    versions: BTreeMap<(usize, u32, ConfigKey), u64>,
    publishes: Vec<RecordId>,
    pub starts: u64,
}

impl Cell {
    /// Creates a cell without jobs, with its templates published.
    pub fn new(disabled: DisabledRule) -> Cell {
        let views = worker_views();
        let workers = views.iter().map(|view| (view.id.clone(), FakeWorker::new(view.total)));
        let mut cell = Cell {
            now: Moment(1_000),
            disabled,
            log: FakeLog::default(),
            workers: workers.collect(),
            boxes: (0..BOX_COUNT).map(|index| TestBox::new(index, disabled)).collect(),
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
        let manifest: WorkManifest = TEMPLATES.parse().expect("the templates are valid");
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
        LogRecord { id: self.new_id(), by: test_box::box_id(by), body }
    }

    /// Performs one step and checks every invariant.
    pub fn step(&mut self, step: &CellStep) -> Result<(), String> {
        match *step {
            CellStep::SuspendBox(index) => self.suspend_box(index % BOX_COUNT),
            _ => {
                self.perform(step);
                self.check()
            }
        }
    }

    fn suspend_box(&mut self, index: usize) -> Result<(), String> {
        self.run_box(index);
        self.boxes[index].paused = true;
        let ticks = (LEAD_TIMING.term.0 + 2 * LEAD_TIMING.margin.0) / TICK_MILLIS;
        for _ in 0..ticks {
            self.tick(1);
            self.check()?;
        }
        self.boxes[index].paused = false;
        self.run_box(index);
        self.check()
    }

    fn perform(&mut self, step: &CellStep) {
        match *step {
            CellStep::Advance(millis) => self.advance(millis),
            CellStep::RunBox(index) => self.run_box(index % BOX_COUNT),
            CellStep::Tick(count) => self.tick(count),
            CellStep::DeliverMessage(index) => self.deliver_message(index),
            CellStep::LoseMessage(index) => self.lose_message(index),
            CellStep::SetAppendFault(fault) => self.log.append_fault = fault,
            CellStep::KillBox(index) => self.boxes[index % BOX_COUNT].running = false,
            CellStep::RestartBox(index) => self.restart_box(index % BOX_COUNT),
            CellStep::PauseBox(index) => self.boxes[index % BOX_COUNT].paused = true,
            CellStep::ResumeBox(index) => self.boxes[index % BOX_COUNT].paused = false,
            CellStep::SuspendBox(_) => unreachable!("a suspension consists of several ticks"),
            CellStep::LogDown => self.log.unavailable = true,
            CellStep::LogUp => self.log.unavailable = false,
            CellStep::TruncateLog(keep) => self.log.truncate(keep),
            CellStep::AppendSnapshot(index) => self.append_snapshot(index % BOX_COUNT),
            CellStep::TransferState(from, to) => {
                self.transfer_state(from % BOX_COUNT, to % BOX_COUNT)
            }
            CellStep::SubmitJob(index, tasks, gang) => {
                self.submit_job(index % BOX_COUNT, tasks, gang)
            }
            CellStep::CancelJob(index) => self.cancel_job(index),
            CellStep::PublishConcurrently(first, second) => {
                self.publish_concurrently(first % BOX_COUNT, second % BOX_COUNT)
            }
            CellStep::RestartWorker(index) => self.worker(index).restart(),
            CellStep::SilenceWorker(index, silent) => self.worker(index).silent = silent,
            CellStep::FailWorkerTasks(index, fails) => self.worker(index).fails_all = fails,
        }
    }

    fn worker(&mut self, index: usize) -> &mut FakeWorker {
        let count = self.workers.len();
        self.workers.values_mut().nth(index % count).expect("there are workers")
    }

    fn advance(&mut self, millis: u64) {
        self.now = self.now.after(TimeSpan(millis));
        self.log.clock_ms = self.now.0;
        for worker in self.workers.values_mut() {
            worker.end_due_tasks(self.now);
        }
        self.lose_late_messages();
    }

    /// Loses messages that exceed the maximum delivery delay, since their connections time out.
    fn lose_late_messages(&mut self) {
        let now = self.now;
        let is_late = |message: &WorkerMessage| {
            now.since(message.sent()) > PLACEMENT_TIMING.max_delivery_delay
        };
        let (lost, kept) = std::mem::take(&mut self.messages).into_iter().partition(is_late);
        self.messages = kept;
        for message in lost {
            self.deliver_no_reply(message);
        }
    }

    fn run_box(&mut self, index: usize) {
        let mut test_box =
            std::mem::replace(&mut self.boxes[index], TestBox::new(index, self.disabled));
        test_box.run(self);
        self.boxes[index] = test_box;
    }

    fn tick(&mut self, count: u8) {
        for _ in 0..count {
            for index in 0..BOX_COUNT {
                self.run_box(index);
            }
            self.advance(TICK_MILLIS);
            for _ in 0..self.messages.len() {
                self.deliver_message(0);
            }
        }
    }

    fn deliver_message(&mut self, index: usize) {
        if self.messages.is_empty() {
            return;
        }
        let message = self.messages.remove(index % self.messages.len());
        match message {
            WorkerMessage::Request { from, epoch, hall, worker, request, sent } => {
                let now = self.now;
                let target = self.workers.get_mut(&worker).expect("workers are never removed");
                let reply = if target.silent {
                    None
                } else {
                    target.handle(&request, now, &mut self.starts)
                };
                let message =
                    WorkerMessage::Reply { from, epoch, hall, worker, request, reply, sent };
                self.messages.push(message);
            }
            WorkerMessage::Reply { from, .. } => self.deliver_reply(from, message),
        }
    }

    fn lose_message(&mut self, index: usize) {
        if !self.messages.is_empty() {
            let message = self.messages.remove(index % self.messages.len());
            if index % 2 == 1
                && let WorkerMessage::Request { epoch, hall, worker, request, sent, .. } = &message
            {
                // The sender gives up, but the request still arrives.
                let (hall, worker, request) = (hall.clone(), worker.clone(), request.clone());
                let (from, epoch, sent) = (NO_SENDER, *epoch, *sent);
                self.messages.push(WorkerMessage::Request {
                    from,
                    epoch,
                    hall,
                    worker,
                    request,
                    sent,
                });
            }
            self.deliver_no_reply(message);
        }
    }

    /// Tells the sender that there is no reply.
    fn deliver_no_reply(&mut self, message: WorkerMessage) {
        let from = message.from();
        self.deliver_reply(from, message.into_lost());
    }

    fn deliver_reply(&mut self, index: usize, message: WorkerMessage) {
        if let Some(test_box) = self.boxes.get_mut(index) {
            test_box.receive(message);
        }
    }

    fn restart_box(&mut self, index: usize) {
        if self.boxes[index].running {
            return;
        }
        let run_number = self.boxes[index].run_number + 1;
        self.boxes[index] = TestBox::new(index, self.disabled);
        self.boxes[index].run_number = run_number;
    }

    fn append_snapshot(&mut self, index: usize) {
        let test_box = &self.boxes[index];
        let Some(state) = test_box.fold.state().filter(|_| test_box.is_awake()).cloned() else {
            return;
        };
        let Some(at) = state.last_offset() else { return };
        let body = RecordBody::Snapshot { at, state: Box::new(state) };
        let id = self.new_id();
        self.boxes[index].submit(id, body);
    }

    fn transfer_state(&mut self, from: usize, to: usize) {
        let Some(state) = self.boxes[from].fold.state().cloned() else { return };
        if self.boxes[to].is_awake() {
            let now = self.now;
            self.boxes[to].adopt(state, now);
        }
    }

    fn submit_job(&mut self, index: usize, tasks: u32, gang: bool) {
        if !self.boxes[index].is_awake() {
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
        self.boxes[index].submit(id, RecordBody::Submit { request, hall });
    }

    fn cancel_job(&mut self, index: usize) {
        if self.jobs.is_empty() {
            return;
        }
        let job = self.jobs[index % self.jobs.len()];
        let id = self.new_id();
        let awake = self.boxes.iter().position(TestBox::is_awake);
        if let Some(index) = awake {
            self.boxes[index].submit(id, RecordBody::Cancel { job });
        }
    }

    fn publish_concurrently(&mut self, first: usize, second: usize) {
        for index in [first, second] {
            if !self.boxes[index].is_awake() {
                continue;
            }
            let Some(state) = self.boxes[index].fold.state() else { continue };
            let key: ConfigKey = "parameters/org/apart".parse().expect("a valid key");
            let Some(current) = state.current(&key) else { continue };
            let ConfigSpec::Parameters(mut parameters) = current.spec.clone() else { continue };
            parameters.queue += 1 + index as u32;
            let (base, spec) = (Some(current.version), ConfigSpec::Parameters(parameters));
            let id = self.new_id();
            self.publishes.push(id);
            self.boxes[index].submit(id, RecordBody::Publish { base, spec });
        }
    }

    /// Removes all faults, resumes or restarts the boxes and runs the cell until every job has
    /// ended.
    pub fn run_until_idle(&mut self) -> Result<(), String> {
        self.log.unavailable = false;
        self.log.append_fault = AppendFault::None;
        for worker in self.workers.values_mut() {
            worker.silent = false;
            worker.fails_all = false;
        }
        for index in 0..BOX_COUNT {
            self.boxes[index].paused = false;
            self.restart_box(index);
        }
        for _ in 0..MAX_SETTLE_TICKS {
            self.step(&CellStep::Tick(1))?;
            if self.is_idle() {
                return Ok(());
            }
        }
        Err(format!("the cell does not become idle: {}", self.describe_open_work()))
    }

    fn is_idle(&self) -> bool {
        let has_finished = |test_box: &TestBox| {
            test_box
                .fold
                .state()
                .is_some_and(|state| state.jobs.values().all(|job| job.phase.is_final()))
                && test_box.pending.is_empty()
        };
        self.boxes.iter().all(has_finished)
            && self.workers.values().all(|worker| worker.running.is_empty())
    }

    fn describe_open_work(&self) -> String {
        let state = self.boxes[0].fold.state();
        let open =
            state.map(|state| state.jobs.values().filter(|job| !job.phase.is_final()).count());
        let running: usize = self.workers.values().map(|worker| worker.running.len()).sum();
        let pending: Vec<usize> =
            self.boxes.iter().map(|test_box| test_box.pending.len()).collect();
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
