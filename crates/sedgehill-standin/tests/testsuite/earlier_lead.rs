//! A lead that stood still wakes when another box has claimed, and claimed again after a restart.
//!
//! The next lead is killed before it has done anything, and starts again. The newest record that it finds is its
//! own. The lead before it may still order for the rest of its term, and a worker that the next lead does not
//! reach keeps its runs for a lease after that. A box that counts on no earlier lead waits for the lease alone,
//! and begins a task elsewhere while it still runs on that worker.

use std::path::Path;
use std::time::{Duration, Instant};

use nix::sys::signal::Signal;
use sedgehill_standin::cell_platform::{
    AffectedLeads, CallFault, CellPlatform, LEAD_TOPIC, PathFault,
};
use sedgehill_standin::soak::{FaultyPath, PathState};
use serde_json::json;

use crate::cell_support::{
    assert_kept, start_box, start_box_at, submit_steps, wait_for, wait_for_lead, wait_ready,
};

/// How long the task runs, in milliseconds: longer than a term and a lease.
const RUN_MS: std::ops::Range<u64> = 14_000..14_001;
/// From the last renewal of the lead until it wakes: its term is 2.4 s.
const WAKES_AFTER: Duration = Duration::from_millis(2_200);
/// The next lead has to have fenced by then, or what the earlier one orders does not outlast the wait.
const FENCED_BY: Duration = Duration::from_millis(1_550);
/// Cells that are tried until one has.
const CELLS: usize = 8;
/// From the last renewal on, the term, the longest lease and what is added for clocks have passed.
const ALL_OVER: Duration = Duration::from_millis(9_500);
/// The token of the first lead.
const FIRST_TOKEN: u64 = 1;

#[tokio::test(flavor = "multi_thread")]
async fn a_lead_that_was_restarted_waits_for_the_term_of_the_one_before() {
    for _ in 0..CELLS {
        if next_lead_is_restarted().await {
            return;
        }
    }
    panic!("no box fenced in time");
}

/// Plays the course once. Returns whether the next lead fenced in time.
async fn next_lead_is_restarted() -> bool {
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
    wait_for("the run", async || platform.workers.worker_running(&task).is_some()).await;
    let place = platform.workers.worker_running(&task).unwrap();
    let leads = AffectedLeads::After(FIRST_TOKEN);
    let cut = PathFault { kind: CallFault::Lost, percent: 100, leads };
    platform.workers.set_path_fault(place, Some(cut));

    let renewed = next_renewal(&platform).await;
    lead.signal(Signal::SIGSTOP);
    path.set(PathState::Refusing);
    wait_for("the claim", async || holder_of(&platform) == "next").await;
    drop(next);
    let log = directory.path().join("next.log");
    let earlier = std::fs::read_to_string(&log).unwrap().len();
    let _next = start_box(directory.path(), "next", &platform);
    let fenced = loop {
        if is_fenced(&log, earlier) {
            break renewed.elapsed() < FENCED_BY;
        }
        if renewed.elapsed() > FENCED_BY {
            break false;
        }
        tokio::time::sleep(Duration::from_millis(5)).await;
    };
    if !fenced {
        return false;
    }
    tokio::time::sleep(WAKES_AFTER.saturating_sub(renewed.elapsed())).await;
    lead.signal(Signal::SIGCONT);
    tokio::time::sleep(ALL_OVER.saturating_sub(renewed.elapsed())).await;
    let log = std::fs::read_to_string(log).unwrap();
    let violations = platform.workers.violations();
    assert!(violations.is_empty(), "{violations:#?}\n{log}");
    assert_kept(&platform);
    true
}

/// Waits until the lead has renewed its claim, and a moment more for the answer.
async fn next_renewal(platform: &CellPlatform) -> Instant {
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

/// Whether a box has fenced since its log was so long.
fn is_fenced(log: &Path, earlier: usize) -> bool {
    let log = std::fs::read_to_string(log).unwrap();
    log[earlier..].lines().any(|line| line.contains("\"fenced\""))
}
