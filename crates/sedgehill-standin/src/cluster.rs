//! A cluster on loopback addresses: the stand-ins run in this process, the boxes as child processes.

use std::collections::BTreeMap;
use std::path::Path;
use std::process::{Command, Output};
use std::time::{Duration, Instant};

use sedgehill_core::ids::{BoxId, HallName, TemplateName};
use sedgehill_core::placement::WorkerView;
use sedgehill_core::units::{CoreCount, MemorySize, ResourceSet};
use sedgehill_platform::admin::{BoxHealth, BoxStatus, HealthReport};
use sedgehill_platform::client::{CallError, JsonClient};
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

/// Time after which a wait for a condition panics.
const WAIT_TIMEOUT: Duration = Duration::from_secs(30);
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Endpoints of one service.
#[derive(Debug, Clone)]
pub struct EndpointGroup {
    /// The service that the endpoints belong to.
    pub service: &'static str,
    /// The data halls over which the endpoints are spread evenly.
    pub halls: Vec<&'static str>,
    /// The number of endpoints.
    pub count: usize,
    /// Requests that each endpoint serves at once.
    pub slots: u32,
}

/// Workers of the same size.
#[derive(Debug, Clone)]
pub struct WorkerGroup {
    /// The data halls over which the workers are spread evenly.
    pub halls: Vec<&'static str>,
    /// The number of workers.
    pub count: usize,
    /// Workers in each rack.
    pub per_rack: usize,
    /// The resources of each worker.
    pub total: ResourceSet,
}

/// The boxes, endpoints and workers of a cluster, and settings.
#[derive(Debug, Clone)]
pub struct ClusterPlan {
    /// The data hall of each box.
    pub boxes: Vec<&'static str>,
    /// The endpoints.
    pub endpoints: Vec<EndpointGroup>,
    /// The workers.
    pub workers: Vec<WorkerGroup>,
    /// Time after which a change of the platform's list becomes visible.
    pub list_lag: Duration,
    /// Settings of all boxes, without addresses and names.
    pub settings: Value,
}

/// Returns the resources of the workers that tests, demonstrations and measurements use by default.
pub fn standard_worker() -> ResourceSet {
    ResourceSet { cores: CoreCount(16_000), memory: MemorySize(64 << 30), accelerators: 0 }
}

/// Returns settings with short intervals and timeouts, so that tests run quickly.
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

/// A running cluster.
pub struct TestCluster {
    /// Paths of the shipped programs.
    pub binaries: BuiltBinaries,
    /// Collects violations of the safety rules.
    pub ledger: RuleLedger,
    /// The platform's log.
    pub log: StandinLog,
    /// The platform's list.
    pub list: StandinList,
    /// All workers.
    pub workers: Vec<StandinWorker>,
    /// All endpoints.
    pub endpoints: Vec<StandinEndpoint>,
    /// The processes of the boxes, in the order of [`ClusterPlan::boxes`].
    pub boxes: Vec<BoxProcess>,
    admin: JsonClient,
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

    /// Starts the stand-ins and writes the settings files of the boxes, without starting these.
    pub async fn prepare(plan: &ClusterPlan) -> TestCluster {
        const LEAVING_GRACE: Duration = Duration::from_secs(2);
        let binaries = build_binaries();
        let net = LoopbackNetwork::new();
        let directory = tempfile::tempdir().expect("a temporary directory can be created");
        let ledger = RuleLedger::new(LEAVING_GRACE + plan.list_lag);
        let mut servers = Vec::new();
        let (endpoints, endpoint_servers, endpoint_listings) =
            start_endpoints(plan, &net, &ledger).await;
        let (workers, worker_views) = start_workers(plan, &net, &ledger, &mut servers).await;
        let boxes = plan.boxes.iter().enumerate();
        let boxes: Vec<(BoxId, HallName, BoxAddresses)> = boxes
            .map(|(index, hall)| (box_name(index), parse_name(hall), net.box_addresses(index)))
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
        let authority = TestAuthority::new().expect("a certificate authority can be created");
        let processes = boxes.into_iter().map(|(id, hall, addresses)| {
            let identity = authority
                .issue(id.as_str(), directory.path())
                .expect("a certificate can be issued");
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
            admin: JsonClient::new(),
            endpoint_servers,
            _servers: servers,
            directory,
        }
    }

    /// Returns the temporary directory of the cluster.
    pub fn directory(&self) -> &Path {
        self.directory.path()
    }

    /// Starts a box, for the first time or again.
    pub fn start_box(&mut self, index: usize) {
        let binaries = self.binaries.clone();
        self.boxes[index].start(&binaries);
    }

    /// Returns the health report of a box. Reads it also from the error answer of a box that is not ready.
    pub async fn health(&self, index: usize) -> Option<HealthReport> {
        let limit = Duration::from_millis(500);
        let reply = self.admin.get(self.boxes[index].addresses.admin, "/health", limit).await;
        match reply {
            Ok(report) => Some(report),
            Err(CallError::Unknown(text)) => {
                let start = text.find('{')?;
                serde_json::from_str(&text[start..]).ok()
            }
            Err(_) => None,
        }
    }

    /// Returns the status of a box.
    pub async fn status(&self, index: usize) -> Option<BoxStatus> {
        let limit = Duration::from_secs(2);
        self.admin.get(self.boxes[index].addresses.admin, "/v1/status", limit).await.ok()
    }

    /// Returns the value of a metric without labels of a box.
    pub async fn metric(&self, index: usize, name: &str) -> Option<f64> {
        let page = self.metrics(index).await;
        let value = page.lines().find_map(|line| line.strip_prefix(name)?.strip_prefix(' '));
        value?.parse().ok()
    }

    /// Returns the metrics page of a box, which is empty if it cannot be read.
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

    /// Waits until a box is ready. Returns how long that took.
    pub async fn wait_ready(&self, index: usize) -> Duration {
        let started = Instant::now();
        let mut last = None;
        while !last.as_ref().is_some_and(is_ready) {
            let process = &self.boxes[index];
            assert!(
                started.elapsed() < WAIT_TIMEOUT,
                "waited too long for {} to be ready: {last:?}, log: {}",
                process.id,
                process.log_text()
            );
            tokio::time::sleep(POLL_INTERVAL).await;
            last = self.health(index).await;
        }
        started.elapsed()
    }

    /// Waits until all boxes have the same configuration and it is not empty.
    pub async fn wait_same_configs(&self) {
        wait_for("all boxes to have the configuration", async || {
            let mut first_configs: Option<serde_json::Value> = None;
            for process in &self.boxes {
                let limit = Duration::from_millis(500);
                let reply = self.admin.get(process.addresses.admin, "/v1/configs", limit).await;
                let Ok(configs) = reply else { return false };
                let first = first_configs.get_or_insert_with(|| serde_json::Value::clone(&configs));
                let is_empty = configs.as_array().is_some_and(Vec::is_empty);
                if is_empty || *first != configs {
                    return false;
                }
            }
            true
        })
        .await;
    }

    /// Returns the admin addresses of all boxes in the form of the command line's `--boxes`.
    pub fn admin_list(&self) -> String {
        let addresses = self.boxes.iter().map(|process| process.addresses.admin.to_string());
        addresses.collect::<Vec<_>>().join(",")
    }

    /// Runs the command line against all boxes, on a blocking thread so that the stand-ins go on.
    pub async fn client(&self, args: &[&str]) -> Output {
        let boxes = self.admin_list();
        self.client_at(&boxes, args).await
    }

    /// Runs the command line against the boxes at the admin addresses in `boxes`, separated by commas.
    pub async fn client_at(&self, boxes: &str, args: &[&str]) -> Output {
        let mut command = Command::new(&self.binaries.client);
        command.args(["--boxes", boxes]).args(args).current_dir(workspace_root());
        let run = tokio::task::spawn_blocking(move || command.output());
        run.await.expect("the task ends").expect("the command line can be started")
    }

    /// Runs the command line and returns its output. Panics if it fails.
    pub async fn client_ok(&self, args: &[&str]) -> String {
        let output = self.client(args).await;
        assert!(
            output.status.success(),
            "sedgehill {args:?} failed: {}",
            String::from_utf8_lossy(&output.stderr)
        );
        String::from_utf8(output.stdout).expect("the client prints text")
    }

    /// Creates a caller that reports violations to the ledger of this cluster.
    pub fn caller(&self) -> StandinCaller {
        StandinCaller::new(self.ledger.clone())
    }

    /// Stops the server of an endpoint, which cuts every connection to it.
    pub async fn stop_endpoint(&mut self, index: usize) {
        let server = self.endpoint_servers.remove(self.endpoints[index].id().as_str());
        if let Some(server) = server {
            server.stop().await;
        }
    }

    /// Panics if a safety rule was violated.
    pub fn assert_no_violation(&self) {
        let broken: Vec<_> =
            self.ledger.violations().into_iter().filter(|(_, count)| count.count > 0).collect();
        assert!(broken.is_empty(), "broken rules: {broken:#?}");
    }
}

impl Drop for TestCluster {
    fn drop(&mut self) {
        if std::thread::panicking() {
            self.directory.disable_cleanup(true);
            eprintln!("the logs of the boxes are kept in {}", self.directory.path().display());
        }
    }
}

/// Polls until a condition holds. Panics if it takes too long, with `subject` in the message.
pub async fn wait_for(subject: &str, mut condition: impl AsyncFnMut() -> bool) {
    let started = Instant::now();
    while !condition().await {
        assert!(started.elapsed() < WAIT_TIMEOUT, "waited too long for {subject}");
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

fn is_ready(report: &HealthReport) -> bool {
    report.health == BoxHealth::Ready
}

fn box_name(index: usize) -> BoxId {
    parse_name(&format!("box-{}", index + 1))
}

fn parse_name<T: std::str::FromStr>(text: &str) -> T
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
        let service: TemplateName = parse_name(group.service);
        for index in 0..group.count {
            let id = parse_name(&format!("{service}-{index:03}"));
            let endpoint = StandinEndpoint::new(id, group.slots, ledger.clone());
            let server = endpoint.serve(net.address(4)).await.expect("an endpoint can listen");
            listings.push(EndpointListing {
                id: endpoint.id().clone(),
                service: service.clone(),
                hall: parse_name(group.halls[index % group.halls.len()]),
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
            let index_in_hall = index / group.halls.len();
            let worker = StandinWorker::new(
                parse_name(&format!("{hall}-w{index_in_hall:02}")),
                group.total,
                ledger.clone(),
            );
            let server = worker.serve(net.address(5)).await.expect("a worker can listen");
            views.push(WorkerView {
                id: worker.id().clone(),
                hall: parse_name(hall),
                rack: parse_name(&format!("{hall}-r{}", index_in_hall / group.per_rack)),
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
