//! Measures the latency and the throughput that a box costs. The same load is sent directly to the
//! endpoints and through a box, in alternating rounds.

use std::fmt::Write;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use bytes::Bytes;
use hdrhistogram::Histogram;
use http::Request;
use http_body_util::{BodyExt, Full};
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use sedgehill_core::ids::TemplateName;
use sedgehill_platform::list::EndpointListing;
use sedgehill_standin::cluster::{ClusterPlan, TestCluster, quick_settings};
use sedgehill_standin::http_server::{self, ServerGuard};
use serde::Serialize;
use serde_json::json;

/// Number of endpoints. They answer immediately.
const ENDPOINT_COUNT: usize = 50;
/// Duration of one load on one path.
const LOAD_DURATION: Duration = Duration::from_millis(1_500);
/// Rounds for each path and number of connections. The load with the median throughput is reported.
const ROUNDS: usize = 3;
/// Numbers of connections, from a nearly idle box to a saturated one.
const CONNECTIONS: [usize; 3] = [1, 8, 64];
/// Traffic threads of a box: half of the cores of the measuring machine.
const TRAFFIC_THREADS: usize = 4;
/// Target: maximum median latency that a box adds, in milliseconds.
const MAX_ADDED_P50_MS: f64 = 0.3;
/// Target: minimum throughput through a box, as a share of the direct throughput.
const MIN_THROUGHPUT_RATIO: f64 = 0.4;

/// Throughput and latency of one load on one path.
#[derive(Debug, Clone, Copy, Serialize)]
struct LoadResult {
    per_second: f64,
    p50_ms: f64,
    p99_ms: f64,
}

/// Results of all paths at one number of connections.
#[derive(Debug, Clone, Serialize)]
struct PathRow {
    connections: usize,
    direct: LoadResult,
    through_box: LoadResult,
    through_box_without_log: LoadResult,
    added_p50_ms: f64,
    added_p99_ms: f64,
    throughput_ratio: f64,
}

/// Result of the measurement.
#[derive(Debug, Clone, Serialize)]
pub struct PathReport {
    rows: Vec<PathRow>,
    start_up_ms: f64,
    log_cost_us_per_request: f64,
}

/// Measures all paths at each number of connections.
pub async fn measure() -> PathReport {
    let servers = start_endpoints().await;
    let addresses: Vec<SocketAddr> = servers.iter().map(|server| server.address).collect();
    let (cluster_with_log, start_up) = start_box(&addresses, true).await;
    let (cluster_without_log, _) = start_box(&addresses, false).await;
    let with_log = [cluster_with_log.boxes[0].addresses.traffic];
    let without_log = [cluster_without_log.boxes[0].addresses.traffic];
    let mut rows = Vec::new();
    let mut log_costs_us = Vec::new();
    for connections in CONNECTIONS {
        eprintln!("{:>12} {connections} connections", "Measuring");
        let mut results: [Vec<LoadResult>; 3] = Default::default();
        for _ in 0..ROUNDS {
            results[0].push(run_load(&addresses, connections).await);
            results[1].push(run_load(&with_log, connections).await);
            results[2].push(run_load(&without_log, connections).await);
        }
        let [direct, through_box, through_box_without_log] = results.map(median);
        log_costs_us.push(1e6 / through_box.per_second - 1e6 / through_box_without_log.per_second);
        rows.push(PathRow {
            connections,
            direct,
            through_box,
            through_box_without_log,
            added_p50_ms: through_box.p50_ms - direct.p50_ms,
            added_p99_ms: through_box.p99_ms - direct.p99_ms,
            throughput_ratio: through_box.per_second / direct.per_second,
        });
    }
    let log_cost_us_per_request = log_costs_us.last().copied().unwrap_or_default();
    let start_up_ms = start_up.as_secs_f64() * 1000.0;
    PathReport { rows, start_up_ms, log_cost_us_per_request }
}

/// Returns the result with the median throughput.
fn median(mut results: Vec<LoadResult>) -> LoadResult {
    results.sort_by(|a, b| a.per_second.total_cmp(&b.per_second));
    results[results.len() / 2]
}

async fn start_endpoints() -> Vec<ServerGuard> {
    let any_port = "127.0.0.1:0".parse().expect("a valid address");
    let mut servers = Vec::new();
    for _ in 0..ENDPOINT_COUNT {
        let server = http_server::serve(any_port, |_| async {
            http_server::json(&"an answer of some length")
        });
        servers.push(server.await.expect("the server can listen on loopback"));
    }
    servers
}

/// Starts a box that routes to the endpoints. Returns it with the time that it took to be ready.
async fn start_box(endpoints: &[SocketAddr], log_decisions: bool) -> (TestCluster, Duration) {
    let mut settings = quick_settings();
    settings["traffic_threads"] = json!(TRAFFIC_THREADS);
    settings["log_decisions"] = json!(log_decisions);
    let plan = ClusterPlan {
        boxes: vec!["gdansk-hala-a"],
        endpoints: Vec::new(),
        workers: Vec::new(),
        list_lag: Duration::ZERO,
        settings,
    };
    let mut cluster = TestCluster::prepare(&plan).await;
    let service: TemplateName = "windyk".parse().expect("a valid name");
    cluster.list.change(|list| {
        list.endpoints = endpoints
            .iter()
            .enumerate()
            .map(|(index, address)| EndpointListing {
                id: format!("windyk-{index}").parse().expect("a valid name"),
                service: service.clone(),
                hall: "gdansk-hala-a".parse().expect("a valid name"),
                address: *address,
                leaving: false,
            })
            .collect();
    });
    cluster.start_box(0);
    let start_up = cluster.wait_ready(0).await;
    cluster.client_ok(&["publish", "examples/inkaso.json"]).await;
    tokio::time::sleep(Duration::from_secs(1)).await;
    (cluster, start_up)
}

/// Sends load for [`LOAD_DURATION`]. Each of the persistent connections sends its next request as
/// soon as the last one is answered.
async fn run_load(addresses: &[SocketAddr], connections: usize) -> LoadResult {
    let end = Instant::now() + LOAD_DURATION;
    let mut callers = tokio::task::JoinSet::new();
    for index in 0..connections {
        callers.spawn(call_until(addresses[index % addresses.len()], end));
    }
    let mut merged = new_histogram();
    for histogram in callers.join_all().await {
        merged.add(histogram).expect("the bounds are the same");
    }
    let millis = |quantile| merged.value_at_quantile(quantile) as f64 / 1e6;
    LoadResult {
        per_second: merged.len() as f64 / LOAD_DURATION.as_secs_f64(),
        p50_ms: millis(0.5),
        p99_ms: millis(0.99),
    }
}

/// Returns a histogram of latencies in nanoseconds, up to one minute.
fn new_histogram() -> Histogram<u64> {
    Histogram::new_with_bounds(1, 60_000_000_000, 3).expect("the bounds are valid")
}

/// Sends requests over one connection until `end` and returns their latencies.
async fn call_until(address: SocketAddr, end: Instant) -> Histogram<u64> {
    let mut histogram = new_histogram();
    let mut connection = connect(address).await;
    while Instant::now() < end {
        let started = Instant::now();
        let request = Request::post("/inkaso/windyk/check")
            .header("host", "windyk")
            .body(Full::new(Bytes::from_static(b"ask")))
            .expect("the parts are valid");
        let response = connection.send_request(request).await.expect("the server answers");
        assert!(response.status().is_success(), "answered with {}", response.status());
        response.into_body().collect().await.expect("the response body is complete");
        let nanos = started.elapsed().as_nanos() as u64;
        histogram.record(nanos).expect("a call takes less than a minute");
        connection.ready().await.expect("the connection stays open");
    }
    histogram
}

async fn connect(address: SocketAddr) -> SendRequest<Full<Bytes>> {
    let stream = tokio::net::TcpStream::connect(address).await.expect("the server listens");
    stream.set_nodelay(true).expect("the option can be set");
    let (sender, connection) =
        http1::handshake(TokioIo::new(stream)).await.expect("the HTTP handshake succeeds");
    tokio::spawn(connection);
    sender
}

impl PathReport {
    /// Returns the results as a table.
    pub fn render(&self) -> String {
        let mut text = format!(
            "{:>11} {:>14} {:>14} {:>7} {:>12} {:>12} {:>12}\n",
            "connections", "direct /s", "box /s", "ratio", "direct p50", "added p50", "added p99"
        );
        for row in &self.rows {
            let _ = writeln!(
                text,
                "{:>11} {:>14.0} {:>14.0} {:>7.2} {:>9.3} ms {:>9.3} ms {:>9.3} ms",
                row.connections,
                row.direct.per_second,
                row.through_box.per_second,
                row.throughput_ratio,
                row.direct.p50_ms,
                row.added_p50_ms,
                row.added_p99_ms
            );
        }
        let _ = writeln!(
            text,
            "targets: added p50 under {MAX_ADDED_P50_MS} ms, ratio at least {MIN_THROUGHPUT_RATIO}\n\
             decision log: {:.2} us of a request's time at {} connections\n\
             box ready after {:.0} ms",
            self.log_cost_us_per_request,
            CONNECTIONS[CONNECTIONS.len() - 1],
            self.start_up_ms
        );
        text
    }
}
