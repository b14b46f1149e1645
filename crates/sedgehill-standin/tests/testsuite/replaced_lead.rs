//! A lead that was replaced wakes up before its term is over.
//!
//! A lead stands still for a second, another box follows it and accepts a job. The first lead goes on, and hears of
//! the job before it hears of its successor. It took the job as one that may be started, and as it had nothing left to
//! wait for, started the tasks beside its successor's own: the log of one play has `placed` with token 2 and run 1 from
//! the one box, and 310 ms later `placed` with token 1 from the other, for the same four tasks.

use std::path::Path;
use std::time::{Duration, Instant};

use nix::sys::signal::Signal;
use sedgehill_standin::cell_platform::CellPlatform;
use sedgehill_standin::cell_platform::{AffectedLeads, CallFault, PathFault};
use sedgehill_standin::cell_process::{CellProcess, call};
use serde_json::json;

use crate::cell_support::{assert_kept, start_box, wait_completed, wait_for_lead, wait_ready};

/// How long tasks run, in milliseconds: past the time in which both leads give orders.
const RUN_MS: std::ops::Range<u64> = 2_500..2_501;
/// Cells that are tried until one has its first lead hear of the job first, which is a matter of milliseconds.
const CELLS: usize = 8;
/// How soon a box follows a lead that stands still.
const FOLLOW_LIMIT: Duration = Duration::from_secs(5);
/// The topic of claims.
const CLAIMS: &str = "keyed.sedgehill-lead";
/// The job of the test.
const JOB: u64 = 7;

#[tokio::test(flavor = "multi_thread")]
async fn a_lead_that_wakes_up_starts_nothing_that_its_successor_accepted() {
    for _ in 0..CELLS {
        if lead_wakes_up_beside_its_successor().await {
            return;
        }
    }
    panic!("each lead heard of its successor before it heard of the job");
}

/// Plays the course once. Returns whether the first lead heard of the job while it gave orders.
async fn lead_wakes_up_beside_its_successor() -> bool {
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
    reach_apart(&platform, token);
    first.signal(Signal::SIGSTOP);
    wait_for_successor(directory.path()).await;
    // The first lead learns neither from claims nor from a refused record that it was followed.
    platform.store.hold_reads(Some(CLAIMS));
    let leads = AffectedLeads::UpTo(token);
    let trouble = PathFault { kind: CallFault::Lost, percent: 100, leads };
    platform.store.set_append_fault(Some(trouble));
    hand_in(&next).await;
    first.signal(Signal::SIGCONT);
    tokio::time::sleep(Duration::from_millis(1_500)).await;
    platform.store.hold_reads(None);
    platform.store.set_append_fault(None);
    (0..4).for_each(|number| platform.workers.set_path_fault(number, None));
    wait_completed(&next, JOB).await;
    assert_kept(&platform);
    heard_of_the_job(directory.path())
}

/// The lead of the moment reaches all workers but the last, and whoever follows it that one alone.
fn reach_apart(platform: &CellPlatform, token: u64) {
    for number in 0..4 {
        let leads = match number {
            3 => AffectedLeads::UpTo(token),
            _ => AffectedLeads::After(token),
        };
        let trouble = PathFault { kind: CallFault::Lost, percent: 100, leads };
        platform.workers.set_path_fault(number, Some(trouble));
    }
}

/// Waits until the other box leads and takes jobs.
async fn wait_for_successor(directory: &Path) {
    let stopped = Instant::now();
    let log = directory.join("next.log");
    while !std::fs::read_to_string(&log).unwrap().contains("\"taking over\"") {
        assert!(stopped.elapsed() < FOLLOW_LIMIT, "nobody followed");
        tokio::time::sleep(Duration::from_millis(1)).await;
    }
}

async fn hand_in(process: &CellProcess) {
    let steps = json!([{"count": 4, "cpu": 1000, "mem_mb": 16, "estimate_ms": 2500}]);
    let body = json!({"spec": "work", "steps": steps}).to_string();
    let path = format!("/checks/{JOB:016x}");
    while call(process.callers, "POST", &path, &body).await.is_none_or(|(status, _)| status != 200)
    {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
}

fn heard_of_the_job(directory: &Path) -> bool {
    let log = std::fs::read_to_string(directory.join("first.log")).unwrap();
    log.lines().any(|line| line.contains("job marked by another lead"))
}
