//! A whole cell on loopback: the stand-ins in this process, the boxes in processes of their own.

use std::collections::BTreeMap;
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener, UdpSocket};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Output, Stdio};
use std::sync::OnceLock;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::{Duration, Instant};

use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;
use sedgehill_core::ids::{BoxId, HallName, TemplateName};
use sedgehill_core::place::WorkerView;
use sedgehill_core::units::{CoreCount, MemorySize, ResourceSet};
use sedgehill_platform::admin::{BoxStatus, HealthReport};
use sedgehill_platform::caller::{CallError, JsonCaller};
use sedgehill_platform::list::{BoxListing, EndpointListing, PlatformList};
use serde_json::{Value, json};
use tempfile::TempDir;

use crate::caller::StandinCaller;
use crate::certificates::{IdentityFiles, TestAuthority};
use crate::endpoint::StandinEndpoint;
use crate::http_server::ServerGuard;
use crate::ledger::RuleLedger;
use crate::list_server::StandinList;
use crate::log_server::StandinLog;
use crate::worker::StandinWorker;

/// How long an operation on a cluster may take before the run is given up.
const SETTLE_LIMIT: Duration = Duration::from_secs(30);
const POLL: Duration = Duration::from_millis(20);

/// The built programs.
#[derive(Debug, Clone)]
pub struct BuiltBinaries {
    /// The daemon.
    pub daemon: PathBuf,
    /// The command line.
    pub client: PathBuf,
}

/// Builds the two shipped programs in the profile of this one, once in a process.
pub fn build_binaries() -> BuiltBinaries {
    static BINARIES: OnceLock<BuiltBinaries> = OnceLock::new();
    BINARIES.get_or_init(build_now).clone()
}

fn build_now() -> BuiltBinaries {
    let own = std::env::current_exe().expect("a process knows its program");
    let mut directory = own.parent().expect("a program is in a directory");
    if directory.ends_with("deps") {
        directory = directory.parent().expect("deps is in a directory");
    }
    let cargo = std::env::var("CARGO").unwrap_or_else(|_| "cargo".to_owned());
    let mut command = Command::new(cargo);
    // The whole workspace, as everything else builds it: with fewer packages, dependencies would be
    // built again with other features.
    command.args(["build", "--quiet", "--locked", "--workspace", "--bins"]);
    if directory.ends_with("release") {
        command.arg("--release");
    }
    let status = command.current_dir(workspace_root()).status().expect("cargo can be started");
    assert!(status.success(), "the programs could not be built");
    BuiltBinaries { daemon: directory.join("sedgehilld"), client: directory.join("sedgehill") }
}

/// The root of the workspace.
pub fn workspace_root() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../..")
}

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

/// Where one box listens.
#[derive(Debug, Clone, Copy)]
pub struct BoxAddresses {
    /// For callers.
    pub traffic: SocketAddr,
    /// For operators.
    pub admin: SocketAddr,
    /// For other boxes.
    pub peer: SocketAddr,
}

/// A box in a process of its own, killed when dropped.
#[derive(Debug)]
pub struct BoxProcess {
    /// Its name.
    pub id: BoxId,
    /// Where it listens.
    pub addresses: BoxAddresses,
    settings: PathBuf,
    log: PathBuf,
    child: Option<Child>,
}

impl BoxProcess {
    /// The process id, while it runs.
    pub fn pid(&self) -> Option<u32> {
        self.child.as_ref().map(Child::id)
    }

    /// Starts the process, its log going to a file.
    pub fn start(&mut self, binaries: &BuiltBinaries) {
        let log = std::fs::OpenOptions::new().create(true).append(true).open(&self.log);
        self.start_logging_to(binaries, log.expect("the log file can be opened").into());
    }

    /// Starts the process with a log that nobody reads, so that the pipe is soon full.
    pub fn start_with_unread_log(&mut self, binaries: &BuiltBinaries) {
        self.start_logging_to(binaries, Stdio::piped());
    }

    fn start_logging_to(&mut self, binaries: &BuiltBinaries, log: Stdio) {
        let child = Command::new(&binaries.daemon)
            .arg("--settings")
            .arg(&self.settings)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log)
            .spawn();
        self.child = Some(child.expect("the daemon can be started"));
    }

    /// Sends a signal to the process.
    pub fn signal(&self, signal: Signal) {
        if let Some(pid) = self.pid() {
            let _ = kill(Pid::from_raw(pid as i32), signal);
        }
    }

    /// Kills the process and waits for its end.
    pub fn kill(&mut self) {
        self.signal(Signal::SIGKILL);
        self.wait();
    }

    /// Waits for the end of the process and returns its exit code.
    pub fn wait(&mut self) -> Option<i32> {
        let mut child = self.child.take()?;
        child.wait().ok()?.code()
    }

    /// The exit code, if the process has ended.
    pub fn try_wait(&mut self) -> Option<Option<i32>> {
        let status = self.child.as_mut()?.try_wait().ok()??;
        self.child = None;
        Some(status.code())
    }

    /// What the process has logged.
    pub fn log_text(&self) -> String {
        std::fs::read_to_string(&self.log).unwrap_or_default()
    }
}

impl Drop for BoxProcess {
    fn drop(&mut self) {
        // A stopped process must run to be killed.
        self.signal(Signal::SIGCONT);
        self.kill();
    }
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
        let net = Network::new();
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
            write_box(directory.path(), id, addresses, &settings)
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
        wait_for("a box to be ready", async || {
            let report = self.health(index).await;
            report
                .is_some_and(|report| report.health == sedgehill_platform::admin::BoxHealth::Ready)
        })
        .await;
        started.elapsed()
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
    pub fn stop_endpoint(&mut self, index: usize) {
        self.endpoint_servers.remove(self.endpoints[index].id().as_str());
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

/// Loopback addresses that no other cluster of this machine uses.
struct Network {
    second: u8,
    third: u8,
}

impl Network {
    fn new() -> Network {
        static CLUSTERS: AtomicU32 = AtomicU32::new(0);
        let number = CLUSTERS.fetch_add(1, Ordering::SeqCst);
        Network { second: 1 + (std::process::id() % 250) as u8, third: (number % 250) as u8 }
    }

    fn ip(&self, host: u8) -> IpAddr {
        IpAddr::V4(Ipv4Addr::new(127, self.second, self.third, host))
    }

    fn address(&self, host: u8) -> SocketAddr {
        SocketAddr::new(self.ip(host), 0)
    }

    fn box_addresses(&self, index: usize) -> BoxAddresses {
        let ip = self.ip(10 + index as u8);
        BoxAddresses { traffic: free_address(ip), admin: free_address(ip), peer: free_address(ip) }
    }
}

/// An address whose port is free for TCP and UDP. Nothing else uses the IP, so it stays free.
fn free_address(ip: IpAddr) -> SocketAddr {
    loop {
        let listener = TcpListener::bind((ip, 0)).expect("loopback can be listened on");
        let address = listener.local_addr().expect("a listener has an address");
        if UdpSocket::bind(address).is_ok() {
            return address;
        }
    }
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
    net: &Network,
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
    net: &Network,
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

fn write_box(directory: &Path, id: BoxId, addresses: BoxAddresses, settings: &Value) -> BoxProcess {
    let path = directory.join(format!("{id}.json"));
    let text = serde_json::to_string_pretty(settings).expect("JSON serializes");
    std::fs::write(&path, text).expect("settings can be written");
    let log = directory.join(format!("{id}.log"));
    BoxProcess { id, addresses, settings: path, log, child: None }
}
