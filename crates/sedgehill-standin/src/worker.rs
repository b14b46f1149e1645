//! A stand-in for a worker. Like the platform's workers, it starts every task that it is sent without checks.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use http::{Method, Request, StatusCode};
use hyper::body::Incoming;
use parking_lot::Mutex;
use sedgehill_core::ids::{AttemptId, Incarnation, WorkerId};
use sedgehill_core::job::TaskOutcome;
use sedgehill_core::placement::{TaskReport, TaskStart, WorkerInventory, WorkerSync};
use sedgehill_core::units::ResourceSet;
use sedgehill_platform::worker::StartAnswer;

use crate::http_server::{self, JsonResponse, ServerGuard, read_json, status};
use crate::ledger::{RuleLedger, SafetyRule};

/// Interval at which ended tasks are looked for.
const TICK_INTERVAL: Duration = Duration::from_millis(20);
/// Time after which a task ends on a worker with [`WorkerFaults::fails_all`].
const FAILURE_DELAY: Duration = Duration::from_millis(30);

/// Faults of a worker.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct WorkerFaults {
    /// It answers no calls and does not execute them. Its tasks go on.
    pub silent: bool,
    /// It executes calls, but their answers are lost.
    pub lost_answers: bool,
    /// Every task that it starts fails at once.
    pub fails_all: bool,
}

#[derive(Debug)]
struct RunningTask {
    resources: ResourceSet,
    lease_until: Instant,
    ends_at: Instant,
    outcome: TaskOutcome,
}

#[derive(Debug)]
struct WorkerState {
    incarnation: Incarnation,
    faults: WorkerFaults,
    running: HashMap<AttemptId, RunningTask>,
    /// Ended attempts, which are reported until a sync says to forget them.
    ended: HashMap<AttemptId, (ResourceSet, TaskOutcome)>,
}

/// A worker. Clones share its state, so that a test can set faults while it serves.
#[derive(Debug, Clone)]
pub struct StandinWorker {
    id: WorkerId,
    total: ResourceSet,
    ledger: RuleLedger,
    state: Arc<Mutex<WorkerState>>,
}

impl StandinWorker {
    /// Creates a worker without tasks.
    pub fn new(id: WorkerId, total: ResourceSet, ledger: RuleLedger) -> StandinWorker {
        let state = WorkerState {
            incarnation: new_incarnation(),
            faults: WorkerFaults::default(),
            running: HashMap::new(),
            ended: HashMap::new(),
        };
        StandinWorker { id, total, ledger, state: Arc::new(Mutex::new(state)) }
    }

    /// Returns the id of the worker.
    pub fn id(&self) -> &WorkerId {
        &self.id
    }

    /// Sets the faults of the worker.
    pub fn set_faults(&self, faults: WorkerFaults) {
        self.state.lock().faults = faults;
    }

    /// Restarts the worker: all its tasks are lost, and its incarnation changes.
    pub fn restart(&self) {
        let mut state = self.state.lock();
        for (attempt, _) in state.running.drain() {
            self.ledger.task_ended(attempt, &self.id);
        }
        state.ended.clear();
        state.incarnation = new_incarnation();
    }

    /// Returns the attempts that run now.
    pub fn running(&self) -> Vec<AttemptId> {
        self.state.lock().running.keys().copied().collect()
    }

    /// Returns the resources in use and the total resources.
    pub fn usage(&self) -> (ResourceSet, ResourceSet) {
        (used(&self.state.lock()), self.total)
    }

    /// Starts a server on `address`, and ends tasks in time while it runs.
    pub async fn serve(&self, address: SocketAddr) -> std::io::Result<ServerGuard> {
        let worker = self.clone();
        let ticking = self.clone();
        let server = http_server::serve(address, move |request| {
            let worker = worker.clone();
            async move { worker.answer(request).await }
        })
        .await?;
        let address = server.address;
        let task = tokio::spawn(async move {
            let ticks = async {
                loop {
                    ticking.end_finished_tasks(Instant::now());
                    tokio::time::sleep(TICK_INTERVAL).await;
                }
            };
            tokio::select! {
                () = ticks => {}
                () = server.wait() => {}
            }
        });
        Ok(ServerGuard::new(address, task))
    }

    /// Ends tasks that are done or whose leases have expired.
    fn end_finished_tasks(&self, now: Instant) {
        let mut state = self.state.lock();
        let finished: Vec<AttemptId> = state
            .running
            .iter()
            .filter(|(_, task)| task.ends_at <= now || task.lease_until <= now)
            .map(|(attempt, _)| *attempt)
            .collect();
        for attempt in finished {
            let Some(task) = state.running.remove(&attempt) else { continue };
            self.ledger.task_ended(attempt, &self.id);
            let outcome = if task.ends_at <= now { task.outcome } else { TaskOutcome::Lost };
            state.ended.insert(attempt, (task.resources, outcome));
        }
    }

    async fn answer(&self, request: Request<Incoming>) -> JsonResponse {
        let faults = self.state.lock().faults;
        if faults.silent {
            std::future::pending::<()>().await;
        }
        let answer = match (request.method().clone(), request.uri().path()) {
            (Method::POST, "/v1/start") => match read_json::<TaskStart>(request).await {
                Some(start) => http_server::json(&self.start(&start)),
                None => status(StatusCode::BAD_REQUEST),
            },
            (Method::POST, "/v1/sync") => match read_json::<WorkerSync>(request).await {
                Some(sync) => http_server::json(&self.sync(&sync)),
                None => status(StatusCode::BAD_REQUEST),
            },
            _ => status(StatusCode::NOT_FOUND),
        };
        if faults.lost_answers {
            std::future::pending::<()>().await;
        }
        answer
    }

    fn start(&self, start: &TaskStart) -> StartAnswer {
        let now = Instant::now();
        let mut state = self.state.lock();
        let fails = state.faults.fails_all;
        let run_time = Duration::from_millis(start.run_time.as_millis());
        let task = RunningTask {
            resources: start.resources,
            lease_until: now + Duration::from_millis(start.lease.as_millis()),
            ends_at: now + if fails { FAILURE_DELAY } else { run_time },
            outcome: if fails { TaskOutcome::Failed } else { TaskOutcome::Done },
        };
        state.running.insert(start.attempt, task);
        self.ledger.task_started(start.attempt, &self.id);
        let used = used(&state);
        if !self.total.fits(&used) {
            let example = format!("{} has {}, runs {used}", self.id, self.total);
            self.ledger.record_violation(SafetyRule::WorkerRoom, example);
        }
        StartAnswer { started: true }
    }

    fn sync(&self, sync: &WorkerSync) -> WorkerInventory {
        let now = Instant::now();
        let mut state = self.state.lock();
        for attempt in &sync.stop {
            if state.running.remove(attempt).is_some() {
                self.ledger.task_ended(*attempt, &self.id);
            }
        }
        for attempt in &sync.forget {
            state.ended.remove(attempt);
        }
        for attempt in &sync.renew {
            if let Some(task) = state.running.get_mut(attempt) {
                task.lease_until = now + Duration::from_millis(sync.lease.as_millis());
            }
        }
        inventory(&state)
    }
}

/// Returns the resources of all running tasks.
fn used(state: &WorkerState) -> ResourceSet {
    state.running.values().fold(ResourceSet::default(), |sum, task| sum.plus(&task.resources))
}

fn inventory(state: &WorkerState) -> WorkerInventory {
    let running = state.running.iter().map(|(attempt, task)| TaskReport {
        attempt: *attempt,
        resources: task.resources,
        outcome: None,
    });
    let ended = state.ended.iter().map(|(attempt, (resources, outcome))| TaskReport {
        attempt: *attempt,
        resources: *resources,
        outcome: Some(*outcome),
    });
    WorkerInventory { incarnation: state.incarnation, tasks: running.chain(ended).collect() }
}

/// Returns the current time in microseconds as an incarnation, so that later ones are greater.
fn new_incarnation() -> Incarnation {
    let now = SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |at| at.as_micros() as u64);
    Incarnation(now)
}
