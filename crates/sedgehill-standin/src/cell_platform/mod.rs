//! Stand-ins of what a box in cell mode meets: the users' store, workers and advice service.
//!
//! They speak what the users publish, small and strict. The workers count what must never happen: a
//! task in two places, a task begun after its acknowledged end, a worker over its size, a task that crashes its
//! workers started without end.

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
pub use self::worker::{CORES, StandinWorkers, run_duration_ms};
use crate::http_server::{ServerGuard, serve};

/// The stand-ins, which stop when dropped.
pub struct CellPlatform {
    /// The store.
    pub store: Arc<StandinStore>,
    /// The workers.
    pub workers: Arc<StandinWorkers>,
    /// The advice service.
    pub advice: Arc<StandinAdvice>,
    /// Where the store listens.
    pub store_address: SocketAddr,
    /// Where the advice service listens.
    pub advice_address: SocketAddr,
    /// Where the workers listen.
    pub worker_addresses: Vec<SocketAddr>,
    _guards: Vec<ServerGuard>,
    _returns: ReturnsGuard,
}

/// Lets workers that tasks crashed come back, until it is dropped.
struct ReturnsGuard(tokio::task::JoinHandle<()>);

impl Drop for ReturnsGuard {
    fn drop(&mut self) {
        self.0.abort();
    }
}

/// Time between two looks for workers that tasks crashed.
const RETURNS_EVERY: Duration = Duration::from_millis(20);

/// The topic of workers' entries.
const WORKER_TOPIC: &str = "keyed.servers";
/// The topic of leads.
pub const LEAD_TOPIC: &str = "keyed.sedgehill-lead";
/// The topic that leads write.
pub const PROGRESS_TOPIC: &str = "keyed.sedgehill-progress";

impl CellPlatform {
    /// Starts a store, an advice service that likes every worker, and some workers of 4 cores.
    pub async fn start(workers: usize) -> std::io::Result<CellPlatform> {
        CellPlatform::start_with_cores(workers, CORES).await
    }

    /// The same with workers of so many cores.
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
            let guard = serve(any, answer).await?;
            worker_addresses.push(guard.address);
            guards.push(guard);
        }
        let returns =
            start_lives_after_crashes(pool.clone(), store.clone(), worker_addresses.clone());
        let platform = CellPlatform {
            store,
            workers: pool,
            advice,
            store_address,
            advice_address,
            worker_addresses,
            _guards: guards,
            _returns: ReturnsGuard(tokio::spawn(returns)),
        };
        (0..workers).for_each(|number| platform.list_worker(number));
        Ok(platform)
    }

    /// Opens a way to the advice service for one box more. Returns its address; boxes are numbered from 1, since all
    /// that were not given a way of their own are number 0.
    pub async fn add_advice_address(&mut self) -> std::io::Result<SocketAddr> {
        let guard = serve_advice(&self.advice).await?;
        let address = guard.address;
        self._guards.push(guard);
        Ok(address)
    }

    /// Has the store list the life that a worker has now.
    pub fn list_worker(&self, number: usize) {
        list_life(&self.workers, &self.store, self.worker_addresses[number], number);
    }

    /// Has all workers tell when their lives began, and some that die start again under the ids that they had.
    pub fn reuse_worker_ids(&self, seed: u64) {
        self.workers.reuse_ids(seed);
        (0..self.worker_addresses.len()).for_each(|number| self.list_worker(number));
    }

    /// A worker has so many cores from now on, and its entry says so.
    pub fn resize_worker(&self, number: usize, cores: usize) {
        self.workers.resize(number, cores);
        self.list_worker(number);
    }

    /// Has the store list a life no more.
    pub fn unlist_worker(&self, life: &str) {
        self.store.remove(WORKER_TOPIC, life);
    }

    /// Who claimed the lead last, or renewed it.
    pub fn lead(&self) -> Option<LeadRecord> {
        let value = self.store.newest_value(LEAD_TOPIC, "lead")?;
        LeadRecord::decode(&value).ok()
    }

    /// Tokens that more than one process claimed. Workers cannot tell the orders of the two apart.
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

    /// Puts a configuration with one queue into the store.
    pub fn configure(&self, version: u64) {
        self.store.put("keyed.op", "config", &one_queue(version));
    }

    /// The version after that of the configuration in the store.
    pub fn next_config_version(&self) -> u64 {
        let config = self.store.newest_value("keyed.op", "config").unwrap_or_default();
        let config: serde_json::Value = serde_json::from_slice(&config).unwrap_or_default();
        config["version"].as_u64().unwrap_or(0) + 1
    }

    /// Puts a configuration of any queues into the store.
    pub fn configure_queues(&self, version: u64, queues: &[serde_json::Value]) {
        let config = serde_json::json!({ "version": version, "routes": queues });
        self.store.put("keyed.op", "config", &config);
    }

    /// The same with organisations, whose callers need keys.
    pub fn configure_organisations(&self, version: u64, organisations: &[StandinOrganisation]) {
        let tenant = |organisation: &StandinOrganisation| {
            serde_json::json!({
                "name": organisation.name, "api_keys": organisation.keys, "weight": 10,
                "maximum": {"cpu": organisation.cores * 1000, "mem_mb": 0, "gpu": 0}
            })
        };
        let mut config = one_queue(version);
        config["tenants"] = organisations.iter().map(tenant).collect();
        self.store.put("keyed.op", "config", &config);
    }
}

/// An organisation as it is configured.
#[derive(Debug, Clone)]
pub struct StandinOrganisation {
    /// Its name.
    pub name: &'static str,
    /// Its keys.
    pub keys: Vec<String>,
    /// The most cores that it may have running; 0 for no limit.
    pub cores: u64,
}

fn list_life(workers: &StandinWorkers, store: &StandinStore, address: SocketAddr, number: usize) {
    let mut entry = worker::entry(address, workers.cores(number));
    if let Some(born) = workers.born(number) {
        entry["born"] = born.into();
    }
    store.put(WORKER_TOPIC, &workers.life_id(number), &entry);
}

async fn start_lives_after_crashes(
    workers: Arc<StandinWorkers>,
    store: Arc<StandinStore>,
    addresses: Vec<SocketAddr>,
) {
    loop {
        let (back, gone) = workers.start_lives_after_crashes();
        for number in back {
            list_life(&workers, &store, addresses[number], number);
        }
        for life in gone {
            store.remove(WORKER_TOPIC, &life);
        }
        tokio::time::sleep(RETURNS_EVERY).await;
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
