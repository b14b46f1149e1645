//! Steps that tests of boxes in cell mode share.

use std::net::SocketAddr;
use std::path::Path;
use std::time::{Duration, Instant};

use sedgehill_standin::cell_platform::CellPlatform;
use sedgehill_standin::cell_process::{CellBoxConfig, CellProcess, call};
use serde_json::{Value, json};

/// How long a job of the tests may take, take-overs and outages included.
const PATIENCE: Duration = Duration::from_secs(40);

/// Starts a box.
pub fn start_box(directory: &Path, name: &str, platform: &CellPlatform) -> CellProcess {
    start_box_at(directory, name, platform, platform.store_address, "0.25")
}

/// Starts a box that reaches the store at `store`.
pub fn start_box_at(
    directory: &Path,
    name: &str,
    platform: &CellPlatform,
    store: SocketAddr,
    cores: &str,
) -> CellProcess {
    CellBoxConfig::new(name, platform, store, cores).start(directory).expect("a box can be started")
}

/// Waits until a check holds.
pub async fn wait_for(what: &str, mut check: impl AsyncFnMut() -> bool) {
    let deadline = Instant::now() + PATIENCE;
    while !check().await {
        assert!(Instant::now() < deadline, "{what} did not come");
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
}

/// Waits until a box takes callers.
pub async fn wait_ready(process: &CellProcess) {
    let deadline = Instant::now() + PATIENCE;
    loop {
        let answer = call(process.ready, "GET", "/sedgehill/readyz", "").await;
        if answer.is_some_and(|(status, _)| status == 200) {
            return;
        }
        assert!(Instant::now() < deadline, "readiness did not come:\n{}", process.log_tail());
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
}

/// Waits until a box says in its log that it leads.
pub async fn wait_for_lead(directory: &Path, name: &str) {
    wait_for("the lead", async || {
        let log = std::fs::read_to_string(directory.join(format!("{name}.log"))).unwrap();
        log.contains("\"leading\"")
    })
    .await;
}

/// Hands a job in at any of the boxes until one takes it.
pub async fn submit(boxes: &[&CellProcess], id: u64) {
    let steps = json!([
        {"count": 2, "cpu": 1000, "mem_mb": 16, "estimate_ms": 150},
        {"count": 2, "cpu": 1000, "mem_mb": 16, "estimate_ms": 150, "gang_scheduled": true, "after": [0]}
    ]);
    submit_steps(boxes, id, steps).await;
}

/// The same with steps of the test.
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

/// Waits until a box tells that a job is completed.
pub async fn wait_completed(process: &CellProcess, id: u64) {
    let path = format!("/checks/{id:016x}");
    let deadline = Instant::now() + PATIENCE;
    loop {
        let answer = call(process.callers, "GET", &path, "").await;
        let completed =
            |(status, body): &(u16, String)| *status == 200 && body.contains("completed");
        if answer.as_ref().is_some_and(completed) {
            return;
        }
        let log = process.log_tail();
        assert!(Instant::now() < deadline, "job {id} is told as {answer:?}; the box's log:\n{log}");
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
}

/// Asserts that the workers saw nothing that must never happen.
pub fn assert_kept(platform: &CellPlatform) {
    assert_eq!(platform.workers.violations(), Vec::<String>::new());
}
