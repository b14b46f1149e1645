//! Stand-ins for the systems that a box in cell mode talks to: the users' store, workers and advice service.
//!
//! They implement the parts of the users' published interfaces that boxes use, and reject what these do not permit. The
//! workers record violations: a task that runs in two places, a task that begins after its acknowledged end, a
//! worker that runs more than its capacity, and a task that is started again and again though it crashes its workers.

mod advice;
mod call_fault;
mod foreign_entries;
mod life;
mod oracle;
mod snapshot;
mod spec;
mod store;
mod worker;
mod worker_calls;

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use sedgehill_cell::authority::LeadRecord;

pub use self::advice::{AdviceFault, StandinAdvice, StepAdvice};
pub use self::call_fault::{AffectedLeads, CallFault, PathFault};
pub use self::snapshot::WorkerSnapshot;
pub use self::spec::{
    CRASH_SPEC, GANG_SPEC, LONG_RUNNING_SPEC, SIZED_SPEC, WIDE_SPEC, is_long_running,
};
pub use self::store::StandinStore;
pub use self::worker::{CORES, HALL_COUNT, StandinWorkers, hall_name, run_duration_ms};
use crate::http_server::{ServerGuard, serve, serve_limited};

/// The running stand-ins. They stop when this is dropped.
pub struct CellPlatform {
    /// The store.
    pub store: Arc<StandinStore>,
    /// The workers.
    pub workers: Arc<StandinWorkers>,
    /// The advice service.
    pub advice: Arc<StandinAdvice>,
    /// Address of the store.
    pub store_address: SocketAddr,
    /// Address of the advice service for boxes without an address of their own.
    pub advice_address: SocketAddr,
    /// Addresses of the workers, by number.
    pub worker_addresses: Vec<SocketAddr>,
    _servers: Vec<ServerGuard>,
    _restarts: RestartGuard,
}

/// The background job that restarts workers that tasks have crashed. It ends when this is dropped.
struct RestartGuard(tokio::task::JoinHandle<()>);

impl Drop for RestartGuard {
    fn drop(&mut self) {
        self.0.abort();
    }
}

/// Interval at which crashed workers are looked for.
const RESTART_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// The most connections that a worker takes, as on the users' platform.
pub const MAX_WORKER_CONNECTIONS: usize = 64;

/// The topic in which workers are listed.
const WORKER_TOPIC: &str = "keyed.servers";
/// The topic of the operators.
pub const OPERATOR_TOPIC: &str = "keyed.op";
/// The topic of claims of the lead.
pub const LEAD_TOPIC: &str = "keyed.sedgehill-lead";
/// The topic in which leads record the progress of jobs.
pub const PROGRESS_TOPIC: &str = "keyed.sedgehill-progress";

impl CellPlatform {
    /// Starts a store, an advice service that allows every worker, and `workers` workers of [`CORES`] cores.
    pub async fn start(workers: usize) -> std::io::Result<CellPlatform> {
        CellPlatform::start_with_cores(workers, CORES).await
    }

    /// Like [`CellPlatform::start`], with workers of `cores` cores.
    pub async fn start_with_cores(workers: usize, cores: usize) -> std::io::Result<CellPlatform> {
        let any: SocketAddr = ([127, 0, 0, 1], 0).into();
        let store = Arc::new(StandinStore::default());
        let serving = store.clone();
        let mut guards = Vec::new();
        guards.push(serve(any, move |request| store::answer(serving.clone(), request)).await?);
        let pool = Arc::new(StandinWorkers::new(workers, cores));
        let advice = Arc::new(StandinAdvice::new(pool.clone(), workers));
        guards.push(serve_advice(&advice).await?);
        let (store_address, advice_address) = (guards[0].address, guards[1].address);
        let mut worker_addresses = Vec::new();
        for number in 0..workers {
            let serving = pool.clone();
            let answer = move |request| worker_calls::answer(serving.clone(), number, request);
            let guard = serve_limited(any, MAX_WORKER_CONNECTIONS, answer).await?;
            worker_addresses.push(guard.address);
            guards.push(guard);
        }
        let restarts =
            restart_crashed_workers(pool.clone(), store.clone(), worker_addresses.clone());
        let platform = CellPlatform {
            store,
            workers: pool,
            advice,
            store_address,
            advice_address,
            worker_addresses,
            _servers: guards,
            _restarts: RestartGuard(tokio::spawn(restarts)),
        };
        (0..workers).for_each(|number| platform.list_worker(number));
        Ok(platform)
    }

    /// Opens another address of the advice service, for one box alone, and returns it. Boxes with such addresses are
    /// numbered from 1 in the order of the calls; number 0 is all boxes that use [`CellPlatform::advice_address`].
    pub async fn add_advice_address(&mut self) -> std::io::Result<SocketAddr> {
        let guard = serve_advice(&self.advice).await?;
        let address = guard.address;
        self._servers.push(guard);
        Ok(address)
    }

    /// Lists the current life of a worker in the store.
    pub fn list_worker(&self, number: usize) {
        list_life(&self.workers, &self.store, self.worker_addresses[number], number);
    }

    /// Makes all workers report when their lives began, and some workers restart under the same id after they die.
    pub fn reuse_worker_ids(&self, seed: u64) {
        self.workers.reuse_ids(seed);
        (0..self.worker_addresses.len()).for_each(|number| self.list_worker(number));
    }

    /// Changes the cores of a worker, and its entry in the store.
    pub fn resize_worker(&self, number: usize, cores: usize) {
        self.workers.resize(number, cores);
        self.list_worker(number);
    }

    /// Removes the entry of a life from the store.
    pub fn unlist_worker(&self, life: &str) {
        self.store.remove(WORKER_TOPIC, life);
    }

    /// Returns the newest record of a claim or a renewal of the lead.
    pub fn lead(&self) -> Option<LeadRecord> {
        let value = self.store.newest_value(LEAD_TOPIC, "lead")?;
        LeadRecord::decode(&value).ok()
    }

    /// Describes each fencing token that more than one process has claimed. Workers cannot tell orders of such
    /// processes apart.
    pub fn shared_tokens(&self) -> Vec<String> {
        let values = self.store.all_values(LEAD_TOPIC);
        let records = values.iter().filter_map(|value| LeadRecord::decode(value).ok());
        let mut claims: BTreeMap<u64, BTreeSet<String>> = BTreeMap::new();
        for record in records {
            let process = format!("{} ({})", record.holder, record.life);
            claims.entry(record.token.0).or_default().insert(process);
        }
        let shared = claims.into_iter().filter(|(_, processes)| processes.len() > 1);
        shared.map(|(token, processes)| format!("token {token} is held by {processes:?}")).collect()
    }

    /// Writes a configuration with one queue to the store.
    pub fn configure(&self, version: u64) {
        self.store.put(OPERATOR_TOPIC, "config", &one_queue(version));
    }

    /// Empties a hall, as an operator does, or takes it back into use.
    pub fn set_hall_emptied(&self, hall: &str, emptied: bool) {
        let key = format!("evacuate/{hall}");
        match emptied {
            true => self.store.put(OPERATOR_TOPIC, &key, &serde_json::json!({})),
            false => self.store.remove(OPERATOR_TOPIC, &key),
        }
        self.workers.set_hall_emptied(hall, emptied);
    }

    /// Returns the version that follows that of the configuration in the store.
    pub fn next_config_version(&self) -> u64 {
        let config = self.store.newest_value(OPERATOR_TOPIC, "config").unwrap_or_default();
        let config: serde_json::Value = serde_json::from_slice(&config).unwrap_or_default();
        config["version"].as_u64().unwrap_or(0) + 1
    }

    /// Writes a configuration with the given queues to the store.
    pub fn configure_queues(&self, version: u64, queues: &[serde_json::Value]) {
        let config = serde_json::json!({ "version": version, "routes": queues });
        self.store.put(OPERATOR_TOPIC, "config", &config);
    }

    /// Writes a configuration with one queue and organisations, whose callers need keys.
    pub fn configure_organisations(&self, version: u64, organisations: &[StandinOrganisation]) {
        let tenant = |organisation: &StandinOrganisation| {
            serde_json::json!({
                "name": organisation.name, "api_keys": organisation.keys, "weight": 10,
                "maximum": {"cpu": organisation.cores * 1000, "mem_mb": 0, "gpu": 0}
            })
        };
        let mut config = one_queue(version);
        config["tenants"] = organisations.iter().map(tenant).collect();
        self.store.put(OPERATOR_TOPIC, "config", &config);
    }
}

/// An organisation in the configuration.
#[derive(Debug, Clone)]
pub struct StandinOrganisation {
    /// The name of the organisation.
    pub name: &'static str,
    /// Keys of its callers.
    pub keys: Vec<String>,
    /// Cores that its running tasks may use at once; 0 for no limit.
    pub cores: u64,
}

fn list_life(workers: &StandinWorkers, store: &StandinStore, address: SocketAddr, number: usize) {
    let mut entry = worker::entry(address, number, workers.cores(number));
    if let Some(born) = workers.born(number) {
        entry["born"] = born.into();
    }
    store.put(WORKER_TOPIC, &workers.life_id(number), &entry);
}

async fn restart_crashed_workers(
    workers: Arc<StandinWorkers>,
    store: Arc<StandinStore>,
    addresses: Vec<SocketAddr>,
) {
    loop {
        let (restarted, expired) = workers.start_lives_after_crashes();
        for number in restarted {
            list_life(&workers, &store, addresses[number], number);
        }
        for life in expired {
            store.remove(WORKER_TOPIC, &life);
        }
        tokio::time::sleep(RESTART_POLL_INTERVAL).await;
    }
}

fn one_queue(version: u64) -> serde_json::Value {
    serde_json::json!({
            "version": version,
            "routes": [{
                "name": "checks", "host": "cell.example", "path_prefix": "/checks/",
                "service": "pool", "priority": 0, "max_attempts": 3, "stretch": 2.0,
                "target_latency_ms": 1000,
                "advice": {"decide_ms": 1.0, "each_ms": 0.1, "valid_ms": 2000}
            }]
    })
}

async fn serve_advice(advice: &Arc<StandinAdvice>) -> std::io::Result<ServerGuard> {
    let any: SocketAddr = ([127, 0, 0, 1], 0).into();
    let (serving, number) = (advice.clone(), advice.add_box());
    serve(any, move |request| advice::answer(serving.clone(), number, request)).await
}
