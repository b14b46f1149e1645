//! A store that takes only small records and calls.
//!
//! Guards against a record that grows with the cell until the store refuses it, and against a refusal for good that is
//! taken for a lost answer: the lead sent the same batch again and again, and accepted nothing.

use sedgehill_standin::cell_platform::{CellPlatform, PROGRESS_TOPIC};
use sedgehill_standin::cell_process::{CellBoxConfig, CellProcess, call};
use serde_json::json;

use crate::cell_support::{
    assert_no_violation, start_box, submit, submit_steps, wait_completed, wait_for, wait_ready,
};

const RECORD_BYTES: usize = 3_000;
const CALL_BYTES: usize = 5_000;

/// Submits a job whose payload does not fit into a record. Returns the status.
async fn submit_large(process: &CellProcess, id: u64) -> u16 {
    let steps = json!([{"count": 1, "cpu": 1000, "mem_mb": 16, "estimate_ms": 150}]);
    let body = json!({"spec": "x".repeat(RECORD_BYTES), "steps": steps}).to_string();
    let answer = call(process.callers, "POST", &format!("/checks/{id:016x}"), &body).await;
    answer.expect("the box answers").0
}

#[tokio::test(flavor = "multi_thread")]
async fn a_cell_whose_roster_exceeds_a_record_takes_and_runs_jobs() {
    let directory = tempfile::tempdir().unwrap();
    let platform = CellPlatform::start(60).await.unwrap();
    platform.store.limit_appends(RECORD_BYTES, CALL_BYTES);
    platform.configure(1);
    let start = |name: &str| {
        let config = CellBoxConfig::new(name, &platform, platform.store_address, "0.25");
        config.with_store_limits(RECORD_BYTES, CALL_BYTES).start(directory.path()).unwrap()
    };
    let first = start("first");
    wait_ready(&first).await;
    for id in 1..=20 {
        submit(&[&first], id).await;
    }
    for id in 1..=20 {
        wait_completed(&first, id).await;
    }
    // The next lead reads the roster whole, and goes on.
    let second = start("second");
    wait_ready(&second).await;
    drop(first);
    for id in 21..=30 {
        submit(&[&second], id).await;
        wait_completed(&second, id).await;
    }
    // A job that cannot be recorded is refused at once, and one whose progress cannot either.
    assert_eq!(submit_large(&second, 31).await, 413);
    let steps = json!([{"count": 2000, "cpu": 1000, "mem_mb": 16, "estimate_ms": 150}]);
    let body = json!({"spec": "work", "steps": steps}).to_string();
    let answer = call(second.callers, "POST", "/checks/0000000000000020", &body).await;
    assert_eq!(answer.map(|(status, _)| status), Some(413));
    assert!(platform.store.largest_record() <= RECORD_BYTES);
    let records = platform.store.all_values(PROGRESS_TOPIC).len();
    assert!(records >= 60, "{records} records: a worker has none");
    assert_no_violation(&platform);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_record_that_the_store_refuses_for_good_stops_no_other() {
    let directory = tempfile::tempdir().unwrap();
    let platform = CellPlatform::start(6).await.unwrap();
    platform.configure(1);
    // The box does not know the limits of this store.
    platform.store.limit_appends(RECORD_BYTES, 1 << 20);
    let process = start_box(directory.path(), "first", &platform);
    wait_ready(&process).await;
    submit(&[&process], 1).await;
    wait_completed(&process, 1).await;
    let steps = || json!([{"count": 1, "cpu": 1000, "mem_mb": 16, "estimate_ms": 150}]);
    let boxes = [&process];
    let (large, (), ()) = tokio::join!(
        submit_large(&process, 2),
        submit_steps(&boxes, 3, steps()),
        submit_steps(&boxes, 4, steps())
    );
    assert_eq!(large, 413);
    for id in 3..=4 {
        wait_completed(&process, id).await;
    }
    assert_no_violation(&platform);
}

/// A lead whose own record is refused ended and claimed again at once, over and over, and called every worker each time.
#[tokio::test(flavor = "multi_thread")]
async fn a_lead_whose_roster_is_refused_resigns_and_leaves_the_lead_to_others() {
    let directory = tempfile::tempdir().unwrap();
    let platform = CellPlatform::start(12).await.unwrap();
    platform.configure(1);
    // Room for claims, but not for a roster of twelve workers, which the box takes for a small one.
    platform.store.limit_appends(300, 1 << 20);
    let process = start_box(directory.path(), "first", &platform);
    let log = || std::fs::read_to_string(directory.path().join("first.log")).unwrap();
    wait_for("the refusal", async || log().contains("record refused for good")).await;
    tokio::time::sleep(std::time::Duration::from_secs(4)).await;
    let leads = log().lines().filter(|line| line.contains("\"leading\"")).count();
    assert_eq!(leads, 1, "the box led {leads} times:\n{}", process.log_tail());
    assert!(platform.lead().unwrap().resigned);
    assert_no_violation(&platform);
}
