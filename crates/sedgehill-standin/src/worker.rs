//! A stand-in for a worker. Without guards it starts whatever it is sent, as the platform's do.

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

const TURN: Duration = Duration::from_millis(20);
/// How soon a task ends on a worker that fails everything.
const FAIL_AFTER: Duration = Duration::from_millis(30);

/// What is wrong with a worker.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct WorkerFaults {
    /// It answers nothing, while its tasks run on.
    pub silent: bool,
    /// It does what it is told and its answers are lost.
    pub lost_answers: bool,
    /// Every task fails at once.
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
struct WorkerStore {
    incarnation: Incarnation,
    faults: WorkerFaults,
    running: HashMap<AttemptId, RunningTask>,
    ended: HashMap<AttemptId, (ResourceSet, TaskOutcome)>,
}

/// A worker, shared by its server and by whoever makes it fail.
#[derive(Debug, Clone)]
pub struct StandinWorker {
    id: WorkerId,
    total: ResourceSet,
    ledger: RuleLedger,
    store: Arc<Mutex<WorkerStore>>,
}

impl StandinWorker {
    /// A worker with nothing to do.
    pub fn new(id: WorkerId, total: ResourceSet, ledger: RuleLedger) -> StandinWorker {
        let store = WorkerStore {
            incarnation: new_incarnation(),
            faults: WorkerFaults::default(),
            running: HashMap::new(),
            ended: HashMap::new(),
        };
        StandinWorker { id, total, ledger, store: Arc::new(Mutex::new(store)) }
    }

    /// Its name.
    pub fn id(&self) -> &WorkerId {
        &self.id
    }

    /// Makes it fail, or heal.
    pub fn set_faults(&self, faults: WorkerFaults) {
        self.store.lock().faults = faults;
    }

    /// Dies and comes back: every task is gone.
    pub fn restart(&self) {
        let mut store = self.store.lock();
        for (attempt, _) in store.running.drain() {
            self.ledger.task_ended(attempt, &self.id);
        }
        store.ended.clear();
        store.incarnation = new_incarnation();
    }

    /// Attempts that run now.
    pub fn running(&self) -> Vec<AttemptId> {
        self.store.lock().running.keys().copied().collect()
    }

    /// What is in use now, and what the worker has.
    pub fn room(&self) -> (ResourceSet, ResourceSet) {
        (used(&self.store.lock()), self.total)
    }

    /// Listens on `address`.
    pub async fn serve(&self, address: SocketAddr) -> std::io::Result<ServerGuard> {
        let worker = self.clone();
        let clock = self.clone();
        let server = http_server::serve(address, move |request| {
            let worker = worker.clone();
            async move { worker.answer(request).await }
        })
        .await?;
        let address = server.address;
        let task = tokio::spawn(async move {
            let turns = async {
                loop {
                    clock.turn(Instant::now());
                    tokio::time::sleep(TURN).await;
                }
            };
            tokio::select! {
                () = turns => {}
                () = server.wait() => {}
            }
        });
        Ok(ServerGuard::new(address, task))
    }

    /// Ends tasks that are done or whose leases have lapsed.
    fn turn(&self, now: Instant) {
        let mut store = self.store.lock();
        let over: Vec<AttemptId> = store
            .running
            .iter()
            .filter(|(_, task)| task.ends_at <= now || task.lease_until <= now)
            .map(|(attempt, _)| *attempt)
            .collect();
        for attempt in over {
            let Some(task) = store.running.remove(&attempt) else { continue };
            self.ledger.task_ended(attempt, &self.id);
            let outcome = if task.ends_at <= now { task.outcome } else { TaskOutcome::Lost };
            store.ended.insert(attempt, (task.resources, outcome));
        }
    }

    async fn answer(&self, request: Request<Incoming>) -> JsonResponse {
        let faults = self.store.lock().faults;
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
        let mut store = self.store.lock();
        let fails = store.faults.fails_all;
        let run_time = Duration::from_millis(start.run_time.as_millis());
        let task = RunningTask {
            resources: start.resources,
            lease_until: now + Duration::from_millis(start.lease.as_millis()),
            ends_at: now + if fails { FAIL_AFTER } else { run_time },
            outcome: if fails { TaskOutcome::Failed } else { TaskOutcome::Done },
        };
        store.running.insert(start.attempt, task);
        self.ledger.task_started(start.attempt, &self.id);
        let used = used(&store);
        if !self.total.fits(&used) {
            let example = format!("{} has {}, runs {used}", self.id, self.total);
            self.ledger.break_rule(SafetyRule::WorkerRoom, example);
        }
        StartAnswer { started: true }
    }

    fn sync(&self, sync: &WorkerSync) -> WorkerInventory {
        let now = Instant::now();
        let mut store = self.store.lock();
        for attempt in &sync.stop {
            if store.running.remove(attempt).is_some() {
                self.ledger.task_ended(*attempt, &self.id);
            }
        }
        for attempt in &sync.forget {
            store.ended.remove(attempt);
        }
        for attempt in &sync.renew {
            if let Some(task) = store.running.get_mut(attempt) {
                task.lease_until = now + Duration::from_millis(sync.lease.as_millis());
            }
        }
        inventory(&store)
    }
}

fn used(store: &WorkerStore) -> ResourceSet {
    store.running.values().fold(ResourceSet::default(), |sum, task| sum.plus(&task.resources))
}

fn inventory(store: &WorkerStore) -> WorkerInventory {
    let running = store.running.iter().map(|(attempt, task)| TaskReport {
        attempt: *attempt,
        resources: task.resources,
        outcome: None,
    });
    let ended = store.ended.iter().map(|(attempt, (resources, outcome))| TaskReport {
        attempt: *attempt,
        resources: *resources,
        outcome: Some(*outcome),
    });
    WorkerInventory { incarnation: store.incarnation, tasks: running.chain(ended).collect() }
}

fn new_incarnation() -> Incarnation {
    let now = SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |at| at.as_micros() as u64);
    Incarnation(now)
}
