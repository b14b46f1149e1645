//! A worker list with foreign or malformed entries: boxes use only the entries of live workers.

use std::path::Path;
use std::time::Duration;

use sedgehill_standin::cell_platform::CellPlatform;
use sedgehill_standin::cell_process::CellProcess;
use serde_json::{Value, json};

use crate::cell_support::{
    assert_no_violation, start_box, submit, submit_steps, wait_completed, wait_for, wait_for_lead,
    wait_ready,
};

/// Submits a job whose tasks fill all three workers, and waits until it is completed.
async fn fill(process: &CellProcess, id: u64) {
    let steps = json!([{"count": 12, "cpu": 1000, "mem_mb": 16, "estimate_ms": 150}]);
    submit_steps(&[process], id, steps).await;
    wait_completed(process, id).await;
}

/// Returns the log lines of a box that have a given message.
fn lines(directory: &Path, name: &str, message: &str) -> Vec<Value> {
    let log = std::fs::read_to_string(directory.join(format!("{name}.log"))).unwrap();
    let lines = log.lines().filter_map(|line| serde_json::from_str::<Value>(line).ok());
    lines.filter(|line| line["msg"] == message).collect()
}

#[tokio::test(flavor = "multi_thread")]
async fn foreign_entries_are_logged_once_and_used_by_no_job() {
    let directory = tempfile::tempdir().unwrap();
    let platform = CellPlatform::start(3).await.unwrap();
    platform.configure(1);
    let foreign_count = platform.put_foreign_entries();
    let first = start_box(directory.path(), "first", &platform);
    wait_ready(&first).await;
    for id in 1..=6 {
        submit(&[&first], id).await;
    }
    for id in 1..=6 {
        wait_completed(&first, id).await;
    }
    assert_eq!(platform.workers.starts(), 24);
    // After several reads of the list each entry has been logged once.
    tokio::time::sleep(Duration::from_millis(1_500)).await;
    let unreadable = lines(directory.path(), "first", "worker entry not readable");
    assert_eq!(unreadable.len(), foreign_count, "{unreadable:?}");
    let placed = lines(directory.path(), "first", "placed");
    let own =
        |line: &Value| line["worker"].as_str().is_some_and(|life| life.starts_with("worker-"));
    assert!(placed.iter().all(own), "{placed:?}");
    assert_no_violation(&platform);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_worker_whose_entry_is_overwritten_gets_work_again_once_it_is_restored() {
    let directory = tempfile::tempdir().unwrap();
    let platform = CellPlatform::start(3).await.unwrap();
    platform.configure(1);
    let first = start_box(directory.path(), "first", &platform);
    wait_ready(&first).await;
    fill(&first, 1).await;
    assert!(platform.workers.starts_on(2) > 0);
    platform.put_entry_with(2, "state", json!("stopping"));
    wait_for("the unreadable value to be logged", async || {
        !lines(directory.path(), "first", "worker entry not readable").is_empty()
    })
    .await;
    let before = platform.workers.starts_on(2);
    for id in 2..=4 {
        fill(&first, id).await;
    }
    assert_eq!(
        platform.workers.starts_on(2),
        before,
        "a task was started on the worker with the unreadable entry"
    );
    // A later lead first reads an entry with the address of another worker, then the correct one.
    platform.put_entry_with(2, "address", json!(platform.worker_addresses[0]));
    drop(first);
    let second = start_box(directory.path(), "second", &platform);
    wait_ready(&second).await;
    wait_for_lead(directory.path(), "second").await;
    for id in 8..=10 {
        fill(&second, id).await;
    }
    assert_eq!(platform.workers.starts_on(2), before);
    platform.put_entry_with(2, "state", json!("ready"));
    let mut id = 10;
    wait_for("work on the worker", async || {
        id += 1;
        fill(&second, id).await;
        platform.workers.starts_on(2) > before
    })
    .await;
    assert_no_violation(&platform);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_configuration_that_cannot_be_read_changes_nothing() {
    let directory = tempfile::tempdir().unwrap();
    let platform = CellPlatform::start(2).await.unwrap();
    platform.configure(3);
    let only = start_box(directory.path(), "only", &platform);
    wait_ready(&only).await;
    let malformed: [&[u8]; 4] =
        [b"\xff\xfe", b"{\"version\":9}x", b"[9,[],{},null]", b"{\"version\":\"9\"}"];
    for (number, value) in malformed.into_iter().enumerate() {
        platform.store.put_bytes("keyed.op", "config", value);
        wait_for("the unreadable value to be logged", async || {
            let unreadable = lines(directory.path(), "only", "configuration not readable");
            unreadable.len() > number
        })
        .await;
        let id = number as u64 + 1;
        submit(&[&only], id).await;
        wait_completed(&only, id).await;
    }
    // A configuration that is older than the current one changes nothing either.
    platform.configure(2);
    platform.store.put_bytes("keyed.op", "wave/1", b"\xff");
    submit(&[&only], 9).await;
    wait_completed(&only, 9).await;
    assert_eq!(lines(directory.path(), "only", "configuration in force").len(), 1);
    assert_no_violation(&platform);
}
