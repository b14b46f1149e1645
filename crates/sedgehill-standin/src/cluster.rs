//! A whole cell on loopback: the stand-ins in this process, the boxes in processes of their own.

use std::collections::BTreeMap;
use std::path::Path;
use std::process::{Command, Output};
use std::time::{Duration, Instant};

use sedgehill_core::ids::{BoxId, HallName, TemplateName};
use sedgehill_core::placement::WorkerView;
use sedgehill_core::units::{CoreCount, MemorySize, ResourceSet};
use sedgehill_platform::admin::{BoxHealth, BoxStatus, HealthReport};
use sedgehill_platform::caller::{CallError, JsonCaller};
use sedgehill_platform::list::{BoxListing, EndpointListing, PlatformList};
use serde_json::{Value, json};
use tempfile::TempDir;

use crate::binaries::{BuiltBinaries, build_binaries, workspace_root};
use crate::box_process::{BoxAddresses, BoxProcess};
use crate::caller::StandinCaller;
use crate::certificates::{IdentityFiles, TestAuthority};
use crate::endpoint::StandinEndpoint;
use crate::http_server::ServerGuard;
use crate::ledger::RuleLedger;
use crate::list_server::StandinList;
use crate::log_server::StandinLog;
use crate::network::LoopbackNetwork;
use crate::worker::StandinWorker;

/// How long an operation on a cluster may take before the run is given up.
const SETTLE_LIMIT: Duration = Duration::from_secs(30);
const POLL: Duration = Duration::from_millis(20);

/// One group of endpoints.
#[derive(Debug, Clone)]
pub struct EndpointGroup {
    /// The service that they answer for.
    pub service: &'static str,
    /// The halls over which they are spread.
    pub halls: Vec<&'static str>,
    /// How many.
    pub count: usize,
    /// Requests that each serves at once.
    pub slots: u32,
}

/// One group of workers.
#[derive(Debug, Clone)]
pub struct WorkerGroup {
    /// The halls over which they are spread.
    pub halls: Vec<&'static str>,
    /// How many.
    pub count: usize,
    /// Workers to a rack.
    pub per_rack: usize,
    /// What each has.
    pub total: ResourceSet,
}

/// What a cluster is made of.
#[derive(Debug, Clone)]
pub struct ClusterPlan {
    /// The hall of each box.
    pub boxes: Vec<&'static str>,
    /// The endpoints.
    pub endpoints: Vec<EndpointGroup>,
    /// The workers.
    pub workers: Vec<WorkerGroup>,
    /// How far the platform's list lags.
    pub list_lag: Duration,
    /// Settings of the boxes beside their addresses.
    pub settings: Value,
}

/// What most workers of the brief have.
pub fn usual_worker() -> ResourceSet {
    ResourceSet { cores: CoreCount(16_000), memory: MemorySize(64 << 30), accelerators: 0 }
}

/// Settings with short times, for tests.
pub fn quick_settings() -> Value {
    json!({
        "heartbeat_every": "200ms",
        "members": { "suspect_after": "800ms", "gone_after": "1600ms" },
        "lead": { "term": "2s", "margin": "500ms", "renew_every": "500ms", "stagger": "200ms" },
        "placement": { "lease": "3s", "settle": "1200ms", "sync_every": "300ms" },
        "log": { "append_every": "20ms" },
        "drain": { "balancer_lag": "1s", "limit": "20s" }
    })
}

/// A whole cell.
pub struct TestCluster {
    /// The programs.
    pub binaries: BuiltBinaries,
    /// What broke.
    pub ledger: RuleLedger,
    /// The log.
    pub log: StandinLog,
    /// The list.
    pub list: StandinList,
    /// The workers.
    pub workers: Vec<StandinWorker>,
    /// The endpoints.
    pub endpoints: Vec<StandinEndpoint>,
    /// The boxes, in order of name.
    pub boxes: Vec<BoxProcess>,
    admin: JsonCaller,
    endpoint_servers: BTreeMap<String, ServerGuard>,
    _servers: Vec<ServerGuard>,
    directory: TempDir,
}

impl TestCluster {
    /// Starts the stand-ins and the boxes, and waits until each box is ready.
    pub async fn start(plan: &ClusterPlan) -> TestCluster {
        let mut cluster = TestCluster::prepare(plan).await;
        for index in 0..cluster.boxes.len() {
            cluster.start_box(index);
        }
        for index in 0..cluster.boxes.len() {
            cluster.wait_ready(index).await;
        }
        cluster
    }

    /// Starts the stand-ins and writes the settings of the boxes.
    pub async fn prepare(plan: &ClusterPlan) -> TestCluster {
        const LEAVING_GRACE: Duration = Duration::from_secs(2);
        let binaries = build_binaries();
        let net = LoopbackNetwork::new();
        let directory = tempfile::tempdir().expect("a directory can be made");
        let ledger = RuleLedger::new(LEAVING_GRACE + plan.list_lag);
        let mut servers = Vec::new();
        let (endpoints, endpoint_servers, endpoint_listings) =
            start_endpoints(plan, &net, &ledger).await;
        let (workers, worker_views) = start_workers(plan, &net, &ledger, &mut servers).await;
        let boxes = plan.boxes.iter().enumerate();
        let boxes: Vec<(BoxId, HallName, BoxAddresses)> = boxes
            .map(|(index, hall)| (box_name(index), name(hall), net.box_addresses(index)))
            .collect();
        let listings = boxes.iter().map(|(id, hall, addresses)| BoxListing {
            id: id.clone(),
            hall: hall.clone(),
            peer_address: addresses.peer,
            leaving: false,
        });
        let platform_list = PlatformList {
            boxes: listings.collect(),
            endpoints: endpoint_listings,
            workers: worker_views,
        };
        let log = StandinLog::default();
        let list = StandinList::new(platform_list, plan.list_lag);
        let log_server = log.serve(net.address(2)).await.expect("the log can listen");
        let list_server = list.serve(net.address(3)).await.expect("the list can listen");
        let platform = json!({
            "log": log_server.address.to_string(),
            "list": list_server.address.to_string(),
        });
        servers.extend([log_server, list_server]);
        let authority = TestAuthority::new().expect("an authority can be made");
        let processes = boxes.into_iter().map(|(id, hall, addresses)| {
            let identity =
                authority.issue(id.as_str(), directory.path()).expect("files can be written");
            let settings = box_settings(plan, &id, &hall, &addresses, &platform, &identity);
            BoxProcess::write(directory.path(), id, addresses, &settings)
        });
        TestCluster {
            binaries,
            boxes: processes.collect(),
            ledger,
            log,
            list,
            workers,
            endpoints,
            admin: JsonCaller::new(),
            endpoint_servers,
            _servers: servers,
            directory,
        }
    }

    /// Where files of the run may be kept.
    pub fn directory(&self) -> &Path {
        self.directory.path()
    }

    /// Starts a box, for the first time or again.
    pub fn start_box(&mut self, index: usize) {
        let binaries = self.binaries.clone();
        self.boxes[index].start(&binaries);
    }

    /// What a box says of its health.
    pub async fn health(&self, index: usize) -> Option<HealthReport> {
        let limit = Duration::from_millis(500);
        let reply = self.admin.get(self.boxes[index].addresses.admin, "/health", limit).await;
        match reply {
            Ok(report) => Some(report),
            Err(CallError::NoAnswer(text)) => {
                let start = text.find('{')?;
                serde_json::from_str(&text[start..]).ok()
            }
            Err(_) => None,
        }
    }

    /// What a box says at a glance.
    pub async fn status(&self, index: usize) -> Option<BoxStatus> {
        let limit = Duration::from_secs(2);
        self.admin.get(self.boxes[index].addresses.admin, "/v1/status", limit).await.ok()
    }

    /// The value of a metric without labels at a box.
    pub async fn metric(&self, index: usize, name: &str) -> Option<f64> {
        let page = self.metrics(index).await;
        let value = page.lines().find_map(|line| line.strip_prefix(name)?.strip_prefix(' '));
        value?.parse().ok()
    }

    /// The metrics page of a box.
    pub async fn metrics(&self, index: usize) -> String {
        let address = self.boxes[index].addresses.admin;
        let uri = format!("http://{address}/metrics").parse().expect("a valid address");
        let connector = hyper_util::client::legacy::connect::HttpConnector::new();
        let client =
            hyper_util::client::legacy::Client::builder(hyper_util::rt::TokioExecutor::new())
                .build::<_, http_body_util::Empty<bytes::Bytes>>(connector);
        let Ok(response) = client.get(uri).await else { return String::new() };
        let body = http_body_util::BodyExt::collect(response.into_body()).await;
        body.map(|body| String::from_utf8_lossy(&body.to_bytes()).into_owned()).unwrap_or_default()
    }

    /// Waits until a box is ready and returns how long that took.
    pub async fn wait_ready(&self, index: usize) -> Duration {
        let started = Instant::now();
        let mut last = None;
        while !last.as_ref().is_some_and(is_ready) {
            let process = &self.boxes[index];
            assert!(
                started.elapsed() < SETTLE_LIMIT,
                "waited too long for {} to be ready: {last:?}, log: {}",
                process.id,
                process.log_text()
            );
            tokio::time::sleep(POLL).await;
            last = self.health(index).await;
        }
        started.elapsed()
    }

    /// Waits until all boxes have the same configuration, and one.
    pub async fn wait_same_configs(&self) {
        wait_for("all boxes to have the configuration", async || {
            let mut seen: Option<serde_json::Value> = None;
            for process in &self.boxes {
                let limit = Duration::from_millis(500);
                let reply = self.admin.get(process.addresses.admin, "/v1/configs", limit).await;
                let Ok(configs) = reply else { return false };
                let first = seen.get_or_insert_with(|| serde_json::Value::clone(&configs));
                let is_none = configs.as_array().is_some_and(Vec::is_empty);
                if is_none || *first != configs {
                    return false;
                }
            }
            true
        })
        .await;
    }

    /// The admin addresses of all boxes, as the command line takes them.
    pub fn admin_list(&self) -> String {
        let addresses = self.boxes.iter().map(|process| process.addresses.admin.to_string());
        addresses.collect::<Vec<_>>().join(",")
    }

    /// Runs the command line against all boxes. Does not block the stand-ins.
    pub async fn client(&self, args: &[&str]) -> Output {
        let boxes = self.admin_list();
        self.client_at(&boxes, args).await
    }

    /// Runs the command line against some boxes.
    pub async fn client_at(&self, boxes: &str, args: &[&str]) -> Output {
        let mut command = Command::new(&self.binaries.client);
        command.args(["--boxes", boxes]).args(args).current_dir(workspace_root());
        let run = tokio::task::spawn_blocking(move || command.output());
        run.await.expect("the task ends").expect("the client can be started")
    }

    /// Runs the command line, which must succeed, and returns what it printed.
    pub async fn client_ok(&self, args: &[&str]) -> String {
        let output = self.client(args).await;
        assert!(
            output.status.success(),
            "sedgehill {args:?} failed: {}",
            String::from_utf8_lossy(&output.stderr)
        );
        String::from_utf8(output.stdout).expect("the client prints text")
    }

    /// A caller that checks what it is told.
    pub fn caller(&self) -> StandinCaller {
        StandinCaller::new(self.ledger.clone())
    }

    /// Takes an endpoint's server away, cutting every connection to it.
    pub async fn stop_endpoint(&mut self, index: usize) {
        let server = self.endpoint_servers.remove(self.endpoints[index].id().as_str());
        if let Some(server) = server {
            server.stop().await;
        }
    }

    /// Panics with what broke, if anything did.
    pub fn assert_no_violation(&self) {
        let broken: Vec<_> =
            self.ledger.violations().into_iter().filter(|(_, count)| count.count > 0).collect();
        assert!(broken.is_empty(), "broken rules: {broken:#?}");
    }
}

/// Polls until something holds; panics if it takes too long.
pub async fn wait_for(what: &str, mut holds: impl AsyncFnMut() -> bool) {
    let started = Instant::now();
    while !holds().await {
        assert!(started.elapsed() < SETTLE_LIMIT, "waited too long for {what}");
        tokio::time::sleep(POLL).await;
    }
}

fn is_ready(report: &HealthReport) -> bool {
    report.health == BoxHealth::Ready
}

fn box_name(index: usize) -> BoxId {
    name(&format!("box-{}", index + 1))
}

fn name<T: std::str::FromStr>(text: &str) -> T
where
    T::Err: std::fmt::Debug,
{
    text.parse().expect("a valid name")
}

async fn start_endpoints(
    plan: &ClusterPlan,
    net: &LoopbackNetwork,
    ledger: &RuleLedger,
) -> (Vec<StandinEndpoint>, BTreeMap<String, ServerGuard>, Vec<EndpointListing>) {
    let mut endpoints = Vec::new();
    let mut servers = BTreeMap::new();
    let mut listings = Vec::new();
    for group in &plan.endpoints {
        let service: TemplateName = name(group.service);
        for index in 0..group.count {
            let id = name(&format!("{service}-{index:03}"));
            let endpoint = StandinEndpoint::new(id, group.slots, ledger.clone());
            let server = endpoint.serve(net.address(4)).await.expect("an endpoint can listen");
            listings.push(EndpointListing {
                id: endpoint.id().clone(),
                service: service.clone(),
                hall: name(group.halls[index % group.halls.len()]),
                address: server.address,
                leaving: false,
            });
            servers.insert(endpoint.id().to_string(), server);
            endpoints.push(endpoint);
        }
    }
    (endpoints, servers, listings)
}

async fn start_workers(
    plan: &ClusterPlan,
    net: &LoopbackNetwork,
    ledger: &RuleLedger,
    servers: &mut Vec<ServerGuard>,
) -> (Vec<StandinWorker>, Vec<WorkerView>) {
    let mut workers = Vec::new();
    let mut views = Vec::new();
    for group in &plan.workers {
        for index in 0..group.count {
            let hall = group.halls[index % group.halls.len()];
            let place = index / group.halls.len();
            let worker = StandinWorker::new(
                name(&format!("{hall}-w{place:02}")),
                group.total,
                ledger.clone(),
            );
            let server = worker.serve(net.address(5)).await.expect("a worker can listen");
            views.push(WorkerView {
                id: worker.id().clone(),
                hall: name(hall),
                rack: name(&format!("{hall}-r{}", place / group.per_rack)),
                address: Some(server.address),
                total: group.total,
                leaving: false,
            });
            servers.push(server);
            workers.push(worker);
        }
    }
    (workers, views)
}

fn box_settings(
    plan: &ClusterPlan,
    id: &BoxId,
    hall: &HallName,
    addresses: &BoxAddresses,
    platform: &Value,
    identity: &IdentityFiles,
) -> Value {
    let mut settings = plan.settings.clone();
    settings["box"] = json!(id);
    settings["hall"] = json!(hall);
    settings["listen"] = json!({
        "traffic": addresses.traffic.to_string(),
        "admin": addresses.admin.to_string(),
        "peer": addresses.peer.to_string(),
    });
    settings["platform"] = platform.clone();
    settings["tls"] = json!({
        "certificate": identity.certificate,
        "key": identity.key,
        "authority": identity.authority,
    });
    settings
}
