//! A lead that was replaced resumes before its term has ended.
//!
//! A lead is stopped for a second, and another box takes over and accepts a job. The first lead resumes and learns of
//! the job before it learns of its successor. It must not start the job. With the fault it treated the job as ready to
//! start, had no wait left, and started the tasks that its successor had started: one log has `placed` with token 2 and
//! run 1 from the successor and, 310 ms later, `placed` with token 1 from the first lead for the same four tasks.

use std::path::Path;
use std::time::{Duration, Instant};

use nix::sys::signal::Signal;
use sedgehill_standin::cell_platform::CellPlatform;
use sedgehill_standin::cell_platform::{AffectedLeads, CallFault, PathFault};
use sedgehill_standin::cell_process::{CellProcess, call};
use serde_json::json;

use crate::cell_support::{
    assert_no_violation, start_box, wait_completed, wait_for_lead, wait_ready,
};

/// Run time of the tasks in milliseconds, longer than the time in which both leads send calls to workers.
const RUN_MS: std::ops::Range<u64> = 2_500..2_501;
/// Number of cells to try until the first lead of one learns of the job first; milliseconds decide which comes first.
const MAX_CELLS: usize = 8;
/// Time limit for a box to take over from a stopped lead.
const TAKE_OVER_TIMEOUT: Duration = Duration::from_secs(5);
/// Topic of the claims of the lead.
const CLAIM_TOPIC: &str = "keyed.sedgehill-lead";
/// Id of the job under test.
const JOB: u64 = 7;

#[tokio::test(flavor = "multi_thread")]
async fn a_resumed_lead_starts_no_job_that_its_successor_accepted() {
    for _ in 0..MAX_CELLS {
        if resume_replaced_lead().await {
            return;
        }
    }
    panic!("each lead learned of its successor before it learned of the job");
}

/// Runs the scenario once. Returns whether the first lead learned of the job while it still led.
async fn resume_replaced_lead() -> bool {
    let directory = tempfile::tempdir().unwrap();
    let platform = CellPlatform::start(4).await.unwrap();
    platform.configure(1);
    platform.workers.set_run_ms(RUN_MS);
    let first = start_box(directory.path(), "first", &platform);
    wait_ready(&first).await;
    wait_for_lead(directory.path(), "first").await;
    let next = start_box(directory.path(), "next", &platform);
    wait_ready(&next).await;
    // Until the boxes have found each other.
    tokio::time::sleep(Duration::from_millis(1_000)).await;
    let token = platform.lead().expect("there is a lead").token.0;
    split_worker_paths(&platform, token);
    first.signal(Signal::SIGSTOP);
    wait_for_successor(directory.path()).await;
    // The first lead learns neither from claims nor from a refused record that it was replaced.
    platform.store.hold_reads(Some(CLAIM_TOPIC));
    let leads = AffectedLeads::UpTo(token);
    let fault = PathFault { kind: CallFault::Lost, percent: 100, leads };
    platform.store.set_append_fault(Some(fault));
    submit(&next).await;
    first.signal(Signal::SIGCONT);
    tokio::time::sleep(Duration::from_millis(1_500)).await;
    platform.store.hold_reads(None);
    platform.store.set_append_fault(None);
    (0..4).for_each(|number| platform.workers.set_path_fault(number, None));
    wait_completed(&next, JOB).await;
    assert_no_violation(&platform);
    learned_of_job(directory.path())
}

/// Lets the current lead reach all workers except the last, and its successors only the last.
fn split_worker_paths(platform: &CellPlatform, token: u64) {
    for number in 0..4 {
        let leads = match number {
            3 => AffectedLeads::UpTo(token),
            _ => AffectedLeads::After(token),
        };
        let fault = PathFault { kind: CallFault::Lost, percent: 100, leads };
        platform.workers.set_path_fault(number, Some(fault));
    }
}

/// Waits until the other box takes over.
async fn wait_for_successor(directory: &Path) {
    let stopped = Instant::now();
    let log = directory.join("next.log");
    while !std::fs::read_to_string(&log).unwrap().contains("\"taking over\"") {
        assert!(stopped.elapsed() < TAKE_OVER_TIMEOUT, "no box took over");
        tokio::time::sleep(Duration::from_millis(1)).await;
    }
}

async fn submit(process: &CellProcess) {
    let steps = json!([{"count": 4, "cpu": 1000, "mem_mb": 16, "estimate_ms": 2500}]);
    let body = json!({"spec": "work", "steps": steps}).to_string();
    let path = format!("/checks/{JOB:016x}");
    while call(process.callers, "POST", &path, &body).await.is_none_or(|(status, _)| status != 200)
    {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
}

fn learned_of_job(directory: &Path) -> bool {
    let log = std::fs::read_to_string(directory.join("first.log")).unwrap();
    log.lines().any(|line| line.contains("job marked by another lead"))
}
