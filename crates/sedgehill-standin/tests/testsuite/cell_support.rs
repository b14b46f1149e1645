//! Shared setup of the tests of boxes in cell mode.

use std::net::SocketAddr;
use std::path::Path;
use std::time::{Duration, Instant};

use sedgehill_standin::cell_platform::CellPlatform;
use sedgehill_standin::cell_process::{CellBoxConfig, CellProcess, call};
use serde_json::{Value, json};

/// Time limit of each wait, including take-overs and outages of the store.
const WAIT_TIMEOUT: Duration = Duration::from_secs(40);

/// Starts a box.
pub fn start_box(directory: &Path, name: &str, platform: &CellPlatform) -> CellProcess {
    start_box_at(directory, name, platform, platform.store_address, "0.25")
}

/// Starts a box that connects to the store at `store` and has the given share of a core.
pub fn start_box_at(
    directory: &Path,
    name: &str,
    platform: &CellPlatform,
    store: SocketAddr,
    cores: &str,
) -> CellProcess {
    CellBoxConfig::new(name, platform, store, cores).start(directory).expect("a box can be started")
}

/// Waits until a condition holds, and panics with `subject` on timeout.
pub async fn wait_for(subject: &str, mut condition: impl AsyncFnMut() -> bool) {
    let deadline = Instant::now() + WAIT_TIMEOUT;
    while !condition().await {
        assert!(Instant::now() < deadline, "timed out waiting for {subject}");
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
}

/// Waits until a box reports that it is ready.
pub async fn wait_ready(process: &CellProcess) {
    let deadline = Instant::now() + WAIT_TIMEOUT;
    loop {
        let answer = call(process.ready, "GET", "/sedgehill/readyz", "").await;
        if answer.is_some_and(|(status, _)| status == 200) {
            return;
        }
        assert!(Instant::now() < deadline, "the box did not become ready:\n{}", process.log_tail());
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
}

/// Waits until a box logs that it leads.
pub async fn wait_for_lead(directory: &Path, name: &str) {
    wait_for("the lead", async || {
        let log = std::fs::read_to_string(directory.join(format!("{name}.log"))).unwrap();
        log.contains("\"leading\"")
    })
    .await;
}

/// Submits a job with two steps, the second a gang, to the boxes in turn until one accepts it.
pub async fn submit(boxes: &[&CellProcess], id: u64) {
    let steps = json!([
        {"count": 2, "cpu": 1000, "mem_mb": 16, "estimate_ms": 150},
        {"count": 2, "cpu": 1000, "mem_mb": 16, "estimate_ms": 150, "gang_scheduled": true, "after": [0]}
    ]);
    submit_steps(boxes, id, steps).await;
}

/// Submits a job with the given steps to the boxes in turn until one accepts it.
pub async fn submit_steps(boxes: &[&CellProcess], id: u64, steps: Value) {
    let body = json!({"spec": "work", "steps": steps}).to_string();
    let path = format!("/checks/{id:016x}");
    let mut turn = id as usize;
    wait_for("acceptance", async || {
        turn += 1;
        let process = boxes[turn % boxes.len()];
        let answer = call(process.callers, "POST", &path, &body).await;
        answer.is_some_and(|(status, _)| status == 200)
    })
    .await;
}

/// Waits until a box reports a job as completed.
pub async fn wait_completed(process: &CellProcess, id: u64) {
    let path = format!("/checks/{id:016x}");
    let deadline = Instant::now() + WAIT_TIMEOUT;
    loop {
        let answer = call(process.callers, "GET", &path, "").await;
        let completed =
            |(status, body): &(u16, String)| *status == 200 && body.contains("completed");
        if answer.as_ref().is_some_and(completed) {
            return;
        }
        let log = process.log_tail();
        assert!(
            Instant::now() < deadline,
            "job {id} is reported as {answer:?}; log of the box:\n{log}"
        );
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
}

/// Asserts that the workers recorded no violation of a rule.
pub fn assert_no_violation(platform: &CellPlatform) {
    assert_eq!(platform.workers.violations(), Vec::<String>::new());
}
