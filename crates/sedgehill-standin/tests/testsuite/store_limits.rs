//! A store that takes only small records and calls.
//!
//! Guards against a record that grows with the cell until the store refuses it, and against a refusal for good that is
//! taken for a lost answer: the lead sent the same batch again and again, and accepted nothing.

use std::path::Path;
use std::time::Duration;

use sedgehill_standin::cell_platform::{CellPlatform, PROGRESS_TOPIC};
use sedgehill_standin::cell_process::{CellBoxConfig, CellProcess, call};
use serde_json::json;

use crate::cell_support::{
    assert_no_violation, start_box, submit, submit_steps, wait_completed, wait_for, wait_ready,
};

const RECORD_BYTES: usize = 3_000;
const CALL_BYTES: usize = 5_000;
/// A job of this many tasks is accepted where records have at most [`WIDE_RECORD_BYTES`], which its progress exceeds once
/// each task has a crash.
const WIDE_TASKS: usize = 100;
const WIDE_RECORD_BYTES: usize = 3_800;

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

/// A lead whose own record is refused ended, and each next lead failed on the same record. It now records the roster in
/// smaller records.
#[tokio::test(flavor = "multi_thread")]
async fn a_lead_whose_roster_is_refused_splits_it_and_goes_on() {
    let directory = tempfile::tempdir().unwrap();
    let platform = CellPlatform::start(12).await.unwrap();
    platform.configure(1);
    // Room for claims, but not for a roster of twelve workers, which the box takes for a small one.
    platform.store.limit_appends(300, 1 << 20);
    let process = start_box(directory.path(), "first", &platform);
    wait_for("the refusal", async || {
        count_lines(directory.path(), "first", "record refused for good") > 0
    })
    .await;
    wait_ready(&process).await;
    submit(&[&process], 1).await;
    wait_completed(&process, 1).await;
    tokio::time::sleep(Duration::from_secs(4)).await;
    assert_leads_on(directory.path(), "first", &platform);
    assert!(count_lines(directory.path(), "first", "record refused for good") <= 4);
    assert_no_violation(&platform);
}

fn count_lines(directory: &Path, name: &str, message: &str) -> usize {
    let log = std::fs::read_to_string(directory.join(format!("{name}.log"))).unwrap();
    log.lines().filter(|line| line.contains(&format!("\"{message}\""))).count()
}

/// Asserts that a box has led since it first claimed the lead.
fn assert_leads_on(directory: &Path, name: &str, platform: &CellPlatform) {
    assert_eq!(count_lines(directory, name, "leading"), 1);
    assert_eq!(count_lines(directory, name, "not leading any more"), 0);
    assert!(!platform.lead().unwrap().resigned);
}

/// Submits a job with one step of small tasks.
async fn submit_wide(process: &CellProcess, id: u64, count: usize) {
    let steps = json!([{"count": count, "cpu": 1000, "mem_mb": 1, "estimate_ms": 3000}]);
    submit_steps(&[process], id, steps).await;
}

async fn job_state(process: &CellProcess, id: u64) -> String {
    let answer = call(process.callers, "GET", &format!("/checks/{id:016x}"), "").await;
    answer.map(|(_, body)| body).unwrap_or_default()
}

/// Crashes all workers under a wide job, which outgrows a record by the crash histories of its tasks.
async fn crash_workers_under_wide_job(process: &CellProcess, platform: &CellPlatform, id: u64) {
    platform.workers.set_run_ms(3_000..3_001);
    submit_wide(process, id, WIDE_TASKS).await;
    wait_for("the tasks to run", async || platform.workers.starts() >= WIDE_TASKS).await;
    let workers = 0..platform.worker_addresses.len();
    workers.clone().for_each(|number| platform.workers.crash(number));
    tokio::time::sleep(Duration::from_millis(500)).await;
    for number in workers {
        platform.workers.start_next_life(number).expect("the worker has crashed");
        platform.list_worker(number);
    }
}

/// Guards against a crash of one worker that stops the whole cell: the progress of a wide job outgrew a record by the
/// crash histories of its tasks, the store refused it, and each lead in turn ended on it.
#[tokio::test(flavor = "multi_thread")]
async fn crash_histories_that_exceed_a_record_stop_no_job() {
    let directory = tempfile::tempdir().unwrap();
    let platform = CellPlatform::start_with_cores(3, WIDE_TASKS).await.unwrap();
    platform.store.limit_appends(WIDE_RECORD_BYTES, CALL_BYTES);
    platform.configure(1);
    platform.reuse_worker_ids(1);
    let start = |name: &str| {
        let config = CellBoxConfig::new(name, &platform, platform.store_address, "0.25");
        config.with_store_limits(WIDE_RECORD_BYTES, CALL_BYTES).start(directory.path()).unwrap()
    };
    let first = start("first");
    wait_ready(&first).await;
    crash_workers_under_wide_job(&first, &platform, 1).await;
    wait_for("a divided record", async || {
        count_lines(directory.path(), "first", "progress divided") > 0
    })
    .await;
    submit(&[&first], 2).await;
    wait_completed(&first, 2).await;
    assert_leads_on(directory.path(), "first", &platform);
    // The next lead reads the parts, and goes on.
    let second = start("second");
    wait_ready(&second).await;
    drop(first);
    submit(&[&second], 3).await;
    wait_completed(&second, 3).await;
    wait_completed(&second, 1).await;
    assert_eq!(count_lines(directory.path(), "first", "record refused for good"), 0);
    assert_eq!(count_lines(directory.path(), "second", "record refused for good"), 0);
    assert!(platform.store.largest_record() <= WIDE_RECORD_BYTES);
    assert_no_violation(&platform);
}

/// The box does not know the limits of the store. Progress that can be divided is; a job whose progress cannot fails,
/// and no other.
#[tokio::test(flavor = "multi_thread")]
async fn progress_that_the_store_refuses_costs_its_own_job_at_most() {
    let directory = tempfile::tempdir().unwrap();
    let platform = CellPlatform::start_with_cores(3, WIDE_TASKS).await.unwrap();
    platform.store.limit_appends(WIDE_RECORD_BYTES, 1 << 20);
    platform.configure(1);
    platform.reuse_worker_ids(1);
    let process = start_box(directory.path(), "first", &platform);
    wait_ready(&process).await;
    crash_workers_under_wide_job(&process, &platform, 1).await;
    wait_for("the refusal", async || {
        count_lines(directory.path(), "first", "record refused for good") > 0
    })
    .await;
    wait_completed(&process, 1).await;
    submit_wide(&process, 2, 1_000).await;
    submit(&[&process], 3).await;
    wait_completed(&process, 3).await;
    wait_for("the end of the job", async || job_state(&process, 2).await.contains("failed")).await;
    submit(&[&process], 4).await;
    wait_completed(&process, 4).await;
    assert_leads_on(directory.path(), "first", &platform);
    assert_no_violation(&platform);
}
