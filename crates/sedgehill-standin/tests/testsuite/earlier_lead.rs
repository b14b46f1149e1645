//! A stopped lead resumes after another box has claimed the lead, restarted and claimed again.
//!
//! The next lead is killed before it has acted, and is restarted. The newest claim that it finds is its own. The
//! previous lead may still start runs for the rest of its term, and a worker that the next lead cannot reach
//! keeps its runs for a lease after that. A box that does not allow for the previous lead waits only for the
//! lease, and starts a task on another worker while it still runs on the first.

use std::path::Path;
use std::time::{Duration, Instant};

use nix::sys::signal::Signal;
use sedgehill_standin::cell_platform::{
    AffectedLeads, CallFault, CellPlatform, LEAD_TOPIC, PathFault,
};
use sedgehill_standin::soak::{FaultyPath, PathState};
use serde_json::json;

use crate::cell_support::{
    assert_no_violation, start_box, start_box_at, submit_steps, wait_for, wait_for_lead, wait_ready,
};

/// Run time of the task in milliseconds, longer than a term and a lease together.
const RUN_MS: std::ops::Range<u64> = 14_000..14_001;
/// Time from the last renewal of the lead until it resumes; its term is 2.4 s.
const RESUME_AFTER: Duration = Duration::from_millis(2_200);
/// Time from the last renewal within which the next lead has to fence. If it fences later, its wait outlasts the
/// runs that the earlier lead starts or renews, and the scenario proves nothing.
const FENCE_DEADLINE: Duration = Duration::from_millis(1_550);
/// Number of cells to try until the next lead of one fences in time.
const MAX_CELLS: usize = 8;
/// Time from the last renewal until the term, the longest lease and the margin for clocks have passed.
const ALL_EXPIRED_AFTER: Duration = Duration::from_millis(9_500);
/// Fencing token of the first lead.
const FIRST_TOKEN: u64 = 1;

#[tokio::test(flavor = "multi_thread")]
async fn a_restarted_lead_waits_for_the_term_of_its_predecessor() {
    for _ in 0..MAX_CELLS {
        if restart_next_lead().await {
            return;
        }
    }
    panic!("no box fenced in time");
}

/// Runs the scenario once. Returns whether the next lead fenced in time.
async fn restart_next_lead() -> bool {
    let directory = tempfile::tempdir().unwrap();
    let platform = CellPlatform::start(2).await.unwrap();
    platform.configure(1);
    platform.workers.set_run_ms(RUN_MS);
    let path = FaultyPath::open(platform.store_address).await.unwrap();
    let lead = start_box_at(directory.path(), "lead", &platform, path.address, "0.25");
    wait_ready(&lead).await;
    wait_for_lead(directory.path(), "lead").await;
    let next = start_box(directory.path(), "next", &platform);
    wait_ready(&next).await;
    // Until the boxes have found each other.
    tokio::time::sleep(Duration::from_millis(1_000)).await;
    let steps = json!([{"count": 1, "cpu": 1000, "mem_mb": 16, "estimate_ms": 14_000}]);
    submit_steps(&[&lead], 1, steps).await;
    let task = format!("{:016x}.0.0.0", 1);
    wait_for("the run to start", async || platform.workers.worker_running(&task).is_some()).await;
    let worker = platform.workers.worker_running(&task).unwrap();
    let leads = AffectedLeads::After(FIRST_TOKEN);
    let fault = PathFault { kind: CallFault::Lost, percent: 100, leads };
    platform.workers.set_path_fault(worker, Some(fault));

    let renewed = wait_for_renewal(&platform).await;
    lead.signal(Signal::SIGSTOP);
    path.set(PathState::Refusing);
    wait_for("the claim", async || holder_of(&platform) == "next").await;
    drop(next);
    let log = directory.path().join("next.log");
    let earlier_bytes = std::fs::read_to_string(&log).unwrap().len();
    let _next = start_box(directory.path(), "next", &platform);
    let fenced = loop {
        if is_fenced(&log, earlier_bytes) {
            break renewed.elapsed() < FENCE_DEADLINE;
        }
        if renewed.elapsed() > FENCE_DEADLINE {
            break false;
        }
        tokio::time::sleep(Duration::from_millis(5)).await;
    };
    if !fenced {
        return false;
    }
    tokio::time::sleep(RESUME_AFTER.saturating_sub(renewed.elapsed())).await;
    lead.signal(Signal::SIGCONT);
    tokio::time::sleep(ALL_EXPIRED_AFTER.saturating_sub(renewed.elapsed())).await;
    let log = std::fs::read_to_string(log).unwrap();
    let violations = platform.workers.violations();
    assert!(violations.is_empty(), "{violations:#?}\n{log}");
    assert_no_violation(&platform);
    true
}

/// Waits until the lead has renewed its claim and, 5 ms later, has the answer. Returns the time of the renewal.
async fn wait_for_renewal(platform: &CellPlatform) -> Instant {
    let end = platform.store.end(LEAD_TOPIC);
    while platform.store.end(LEAD_TOPIC) == end {
        tokio::time::sleep(Duration::from_millis(1)).await;
    }
    let renewed = Instant::now();
    tokio::time::sleep(Duration::from_millis(5)).await;
    renewed
}

fn holder_of(platform: &CellPlatform) -> String {
    platform.lead().map(|lead| lead.holder.0.to_string()).unwrap_or_default()
}

/// Returns whether a box has logged a fence after the first `earlier_bytes` bytes of its log.
fn is_fenced(log: &Path, earlier_bytes: usize) -> bool {
    let log = std::fs::read_to_string(log).unwrap();
    log[earlier_bytes..].lines().any(|line| line.contains("\"fenced\""))
}
