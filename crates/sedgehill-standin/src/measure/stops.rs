//! Measures how many calls a planned stop of a box cuts off, for different pauses between the calls
//! of a connection.

use std::fmt::Write;
use std::net::SocketAddr;
use std::ops::RangeInclusive;
use std::time::{Duration, Instant};

use nix::sys::signal::Signal;
use sedgehill_standin::cell_platform::CellPlatform;
use sedgehill_standin::cell_process::{CellBoxConfig, CellProcess, call};
use sedgehill_standin::cluster::{ClusterPlan, EndpointGroup, TestCluster, quick_settings};
use sedgehill_standin::keep_alive_caller::{StopTally, call_until_refused};
use serde::Serialize;

/// Concurrent callers during each stop, with one connection each.
const CALLER_COUNT: usize = 64;
/// Time from the first calls to the signal that stops the box.
const WARM_UP: Duration = Duration::from_millis(1_500);
/// Time for which a box is frozen with SIGSTOP after the signal, in the rows with a frozen box.
const FREEZE_DURATION: Duration = Duration::from_millis(2_000);

/// Rows for a box in log mode: the range of the pauses between calls, in milliseconds, and whether
/// the box is frozen after the signal.
const LOG_MODE_ROWS: [(RangeInclusive<u64>, bool); 4] =
    [(10..=830, false), (1_470..=1_530, false), (1_000..=2_900, false), (10..=2_900, true)];
/// Rows for a box in cell mode, in the same form.
const CELL_MODE_ROWS: [(RangeInclusive<u64>, bool); 5] = [
    (0..=0, false),
    (1..=64, false),
    (200..=830, false),
    (1_000..=3_000, false),
    (1..=3_000, true),
];

/// Results for one range of pauses, over all its stops.
#[derive(Debug, Serialize)]
struct StopRow {
    mode: &'static str,
    pauses_ms: String,
    frozen: bool,
    stops: usize,
    calls: usize,
    refused: usize,
    cut: usize,
    longest_stop_ms: u128,
    example: String,
}

/// Result of the measurement.
#[derive(Debug, Serialize)]
pub struct StopReport {
    rows: Vec<StopRow>,
}

impl StopReport {
    /// Returns the results as a table.
    pub fn render(&self) -> String {
        let mut text = String::from(
            "mode  pauses, ms   frozen  stops    calls  503  cut off  longest stop, ms  example\n",
        );
        for row in &self.rows {
            writeln!(
                text,
                "{:4}  {:11}  {:6}  {:>5}  {:>7}  {:>3}  {:>7}  {:>16}  {}",
                row.mode,
                row.pauses_ms,
                row.frozen,
                row.stops,
                row.calls,
                row.refused,
                row.cut,
                row.longest_stop_ms,
                row.example
            )
            .expect("text can be written");
        }
        text
    }
}

/// Measures all rows, with the given number of stops in each.
pub async fn measure(stops: usize) -> StopReport {
    let mut rows = Vec::new();
    for (pauses, frozen) in LOG_MODE_ROWS {
        rows.push(measure_row("own", &pauses, frozen, stops).await);
    }
    for (pauses, frozen) in CELL_MODE_ROWS {
        rows.push(measure_row("cell", &pauses, frozen, stops).await);
    }
    StopReport { rows }
}

async fn measure_row(
    mode: &'static str,
    pauses: &RangeInclusive<u64>,
    frozen: bool,
    stops: usize,
) -> StopRow {
    let mut row = StopRow {
        mode,
        pauses_ms: format!("{}-{}", pauses.start(), pauses.end()),
        frozen,
        stops,
        calls: 0,
        refused: 0,
        cut: 0,
        longest_stop_ms: 0,
        example: String::new(),
    };
    for _ in 0..stops {
        let (tally, stop_duration) = match mode {
            "own" => stop_log_mode(pauses, frozen).await,
            _ => stop_cell_mode(pauses, frozen).await,
        };
        row.calls += tally.calls;
        row.refused += tally.refused;
        row.cut += tally.cut.len();
        row.longest_stop_ms = row.longest_stop_ms.max(stop_duration.as_millis());
        if let Some((at, error)) = tally.cut.first() {
            let at = at.saturating_sub(WARM_UP).as_millis();
            row.example = format!("{at} ms after the signal, {error}");
        }
    }
    row
}

/// Stops a box in log mode while it is called. Returns the tally of the callers and the time from
/// the signal to the end of the process.
async fn stop_log_mode(pauses: &RangeInclusive<u64>, frozen: bool) -> (StopTally, Duration) {
    let plan = ClusterPlan {
        boxes: vec!["gdansk-hala-a", "gdynia-hala-b"],
        endpoints: vec![EndpointGroup {
            service: "windyk",
            halls: vec!["gdansk-hala-a"],
            count: 6,
            slots: 64,
        }],
        workers: Vec::new(),
        list_lag: Duration::from_millis(300),
        settings: quick_settings(),
    };
    let mut cluster = TestCluster::start(&plan).await;
    cluster.client_ok(&["publish", "examples/inkaso.json"]).await;
    cluster.wait_same_configs().await;
    let address = cluster.boxes[1].addresses.traffic;
    let request = "POST /inkaso/windyk/check?work_ms=10&size=64 HTTP/1.1\r\nHost: cell.example\r\n\
                   X-Caller-Token: stops\r\nContent-Length: 3\r\n\r\nask";
    let callers = start_callers(address, request, pauses);
    tokio::time::sleep(WARM_UP).await;
    let signalled_at = Instant::now();
    cluster.boxes[1].signal(Signal::SIGTERM);
    if frozen {
        tokio::time::sleep(Duration::from_millis(100)).await;
        cluster.boxes[1].signal(Signal::SIGSTOP);
        tokio::time::sleep(FREEZE_DURATION).await;
        cluster.boxes[1].signal(Signal::SIGCONT);
    }
    let tally = callers.await.expect("the callers do not panic");
    while cluster.boxes[1].try_wait().is_none() {
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    (tally, signalled_at.elapsed())
}

/// Stops a box in cell mode while it is called, like [`stop_log_mode`].
async fn stop_cell_mode(pauses: &RangeInclusive<u64>, frozen: bool) -> (StopTally, Duration) {
    let directory = tempfile::tempdir().expect("a directory can be made");
    let platform = CellPlatform::start(2).await.expect("the stand-ins can be started");
    platform.configure(1);
    let start = |name: &str| {
        let site = CellBoxConfig::new(name, &platform, platform.store_address, "0.25");
        site.start(directory.path()).expect("a box can be started")
    };
    let (mut first, second) = (start("first"), start("second"));
    wait_ready(&first).await;
    wait_ready(&second).await;
    let request =
        "GET /checks/00000000000000ff HTTP/1.1\r\nHost: cell.example\r\nDeadline-Ms: 3000\r\n\r\n";
    let callers = start_callers(first.callers, request, pauses);
    tokio::time::sleep(WARM_UP).await;
    let signalled_at = Instant::now();
    first.signal(Signal::SIGTERM);
    if frozen {
        tokio::time::sleep(Duration::from_millis(100)).await;
        first.signal(Signal::SIGSTOP);
        tokio::time::sleep(FREEZE_DURATION).await;
        first.signal(Signal::SIGCONT);
    }
    let tally = callers.await.expect("the callers do not panic");
    while !first.has_ended() {
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    (tally, signalled_at.elapsed())
}

/// Waits until a box in cell mode reports that it is ready.
async fn wait_ready(process: &CellProcess) {
    while call(process.ready, "GET", "/sedgehill/readyz", "")
        .await
        .is_none_or(|answer| answer.0 != 200)
    {
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
}

/// Starts callers that send `request` until the box refuses connections.
fn start_callers(
    address: SocketAddr,
    request: &'static str,
    pauses: &RangeInclusive<u64>,
) -> tokio::task::JoinHandle<StopTally> {
    let pauses = pauses.clone();
    tokio::spawn(async move { call_until_refused(address, request, CALLER_COUNT, pauses).await })
}
