//! Tasks that crash the workers that run them, with real boxes: the job is reported as failed after three workers, whichever
//! boxes lead meanwhile, and other jobs continue.

use std::time::{Duration, Instant};

use sedgehill_standin::cell_platform::CellPlatform;
use sedgehill_standin::cell_process::{CellProcess, call};
use serde_json::json;

use crate::cell_support::{
    assert_no_violation, start_box, submit_steps, wait_completed, wait_for, wait_ready,
};

/// Time from the start of a task until it crashes its worker, in milliseconds.
const CRASH_AFTER_MS: &str = "10";
/// Time limit for three crashes, each known once the next life of the worker starts after 1.5 s, and for changes of
/// the lead.
const FAILURE_TIMEOUT: Duration = Duration::from_secs(25);

async fn submit_crashing(boxes: &[&CellProcess], id: u64) {
    let steps = json!([{"count": 2, "cpu": 1000, "mem_mb": 16, "estimate_ms": 150}]);
    let body = json!({"spec": format!("crash {CRASH_AFTER_MS}"), "steps": steps}).to_string();
    let path = format!("/checks/{id:016x}");
    wait_for("acceptance", async || {
        let answer = call(boxes[0].callers, "POST", &path, &body).await;
        answer.is_some_and(|(status, _)| status == 200)
    })
    .await;
}

async fn wait_failed(process: &CellProcess, id: u64) {
    let path = format!("/checks/{id:016x}");
    let started = Instant::now();
    loop {
        let answer = call(process.callers, "GET", &path, "").await;
        if answer.as_ref().is_some_and(|(_, body)| body.contains("failed")) {
            return;
        }
        let log = process.log_tail();
        assert!(started.elapsed() < FAILURE_TIMEOUT, "job {id} is reported as {answer:?}:\n{log}");
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_job_whose_task_crashes_its_workers_is_reported_as_failed() {
    let directory = tempfile::tempdir().unwrap();
    let platform = CellPlatform::start(6).await.unwrap();
    platform.configure(1);
    platform.workers.set_run_ms(1_000..1_001);
    let boxes = ["a", "b"].map(|name| start_box(directory.path(), name, &platform));
    for process in &boxes {
        wait_ready(process).await;
    }
    let all: Vec<&CellProcess> = boxes.iter().collect();
    submit_crashing(&all, 1).await;
    for id in 2..8 {
        let steps = json!([{"count": 2, "cpu": 1000, "mem_mb": 16, "estimate_ms": 1000}]);
        submit_steps(&all, id, steps).await;
    }
    wait_failed(all[0], 1).await;
    wait_failed(all[1], 1).await;
    for id in 2..8 {
        wait_completed(all[0], id).await;
    }
    assert_no_violation(&platform);
}

#[tokio::test(flavor = "multi_thread")]
async fn crashes_are_counted_while_leads_are_killed() {
    let directory = tempfile::tempdir().unwrap();
    let platform = CellPlatform::start(8).await.unwrap();
    platform.configure(1);
    let mut boxes = ["a", "b", "c"].map(|name| Some(start_box(directory.path(), name, &platform)));
    for process in boxes.iter().flatten() {
        wait_ready(process).await;
    }
    let first: Vec<&CellProcess> = boxes.iter().flatten().collect();
    submit_crashing(&first, 1).await;
    let task = format!("{:016x}.0.0.0", 1);
    for _ in 0..2 {
        // The lead that started the task is killed before it can learn of the crash.
        wait_for("a crash", async || platform.workers.crashes_caused_by(&task) > 0).await;
        let seen = platform.workers.crashes_caused_by(&task);
        let lead = platform.lead().unwrap().holder.0;
        let index = ["a", "b", "c"].iter().position(|name| **name == *lead).unwrap();
        boxes[index] = None;
        boxes[index] = Some(start_box(directory.path(), &lead, &platform));
        wait_for("the next crash", async || {
            let other = boxes[(index + 1) % 3].as_ref().unwrap();
            let path = format!("/checks/{:016x}", 1);
            let answer = call(other.callers, "GET", &path, "").await;
            let failed = answer.is_some_and(|(_, body)| body.contains("failed"));
            failed || platform.workers.crashes_caused_by(&task) > seen
        })
        .await;
    }
    for process in boxes.iter().flatten() {
        wait_failed(process, 1).await;
    }
    assert!(platform.workers.crashes_caused_by(&task) <= 5);
    assert_no_violation(&platform);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_worker_that_shrinks_gets_no_start_beyond_its_size() {
    let directory = tempfile::tempdir().unwrap();
    let platform = CellPlatform::start(2).await.unwrap();
    platform.configure(1);
    platform.workers.set_run_ms(300..301);
    let process = start_box(directory.path(), "a", &platform);
    wait_ready(&process).await;
    platform.resize_worker(0, 1);
    platform.resize_worker(1, 2);
    // After this time no start may rely on the earlier sizes.
    tokio::time::sleep(Duration::from_millis(4_600)).await;
    let steps = json!([{"count": 12, "cpu": 1000, "mem_mb": 16, "estimate_ms": 300}]);
    submit_steps(&[&process], 1, steps).await;
    wait_completed(&process, 1).await;
    assert_no_violation(&platform);
}
