//! Boxes that are killed, paused or stopped by SIGTERM under load.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use nix::sys::signal::Signal;
use sedgehill_standin::caller::{CallPlan, CallReport, StandinCaller};
use sedgehill_standin::cluster::TestCluster;
use sedgehill_standin::ledger::CallerOutcome;
use tokio::task::JoinSet;

use crate::support::{CHECK, call_many, small_plan, start_published};

/// Sends requests to a box one after another over a keep-alive connection, until `stop` is set or the box refuses
/// connections.
async fn keep_calling(
    caller: StandinCaller,
    address: std::net::SocketAddr,
    stop: Arc<AtomicBool>,
) -> Vec<CallReport> {
    let mut reports = Vec::new();
    while !stop.load(Ordering::SeqCst) {
        let plan = CallPlan::new(CHECK, Duration::from_millis(40));
        let report = caller.call(address, &plan, false).await;
        if report.refused_connection {
            break;
        }
        reports.push(report);
    }
    reports
}

fn start_callers(
    cluster: &TestCluster,
    index: usize,
    count: usize,
) -> (JoinSet<Vec<CallReport>>, Arc<AtomicBool>) {
    let stop = Arc::new(AtomicBool::new(false));
    let mut callers = JoinSet::new();
    for _ in 0..count {
        let address = cluster.boxes[index].addresses.traffic;
        callers.spawn(keep_calling(cluster.caller(), address, stop.clone()));
    }
    (callers, stop)
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_planned_stop_cuts_off_nothing() {
    let mut cluster = start_published(&small_plan()).await;
    let (callers, _) = start_callers(&cluster, 1, 8);
    tokio::time::sleep(Duration::from_millis(500)).await;
    cluster.boxes[1].signal(Signal::SIGTERM);
    let reports: Vec<CallReport> = callers.join_all().await.into_iter().flatten().collect();
    let cut: Vec<_> =
        reports.iter().filter(|report| report.outcome != CallerOutcome::Answered).collect();
    assert!(reports.len() > 50, "too few calls: {}", reports.len());
    assert!(cut.is_empty(), "{cut:?}");
    assert_eq!(cluster.boxes[1].wait(), Some(0));
    cluster.assert_no_violation();
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_long_request_outlasts_a_planned_stop() {
    let mut cluster = start_published(&small_plan()).await;
    let caller = cluster.caller();
    let address = cluster.boxes[0].addresses.traffic;
    let plan = CallPlan::new(CHECK, Duration::from_secs(4));
    let call = tokio::spawn(async move { caller.call(address, &plan, false).await });
    tokio::time::sleep(Duration::from_millis(300)).await;
    cluster.boxes[0].signal(Signal::SIGTERM);
    let report = call.await.expect("the call ends");
    assert_eq!(report.outcome, CallerOutcome::Answered, "{report:?}");
    assert_eq!(cluster.boxes[0].wait(), Some(0));
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn the_other_boxes_keep_serving_while_a_box_is_killed_and_restarted() {
    let mut cluster = start_published(&small_plan()).await;
    let (callers, stop) = start_callers(&cluster, 0, 4);
    tokio::time::sleep(Duration::from_millis(300)).await;
    cluster.boxes[0].kill();
    callers.join_all().await;
    stop.store(true, Ordering::SeqCst);
    let address = cluster.boxes[1].addresses.traffic;
    let report = cluster.caller().call(address, &CallPlan::new(CHECK, Duration::ZERO), false).await;
    assert_eq!(report.outcome, CallerOutcome::Answered);
    cluster.start_box(0);
    cluster.wait_ready(0).await;
    let reports = call_many(&cluster, CHECK, 30, Duration::from_millis(5)).await;
    assert!(reports.iter().all(|report| report.outcome == CallerOutcome::Answered), "{reports:?}");
    cluster.assert_no_violation();
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_paused_box_resumes_without_violations() {
    let cluster = start_published(&small_plan()).await;
    let (callers, stop) = start_callers(&cluster, 2, 4);
    tokio::time::sleep(Duration::from_millis(300)).await;
    cluster.boxes[2].signal(Signal::SIGSTOP);
    for endpoint in cluster.endpoints.iter().take(3) {
        cluster.list.set_endpoint_leaving(endpoint.id(), true);
        cluster.ledger.endpoint_leaving(endpoint.id());
    }
    cluster.client_at(&cluster.boxes[0].addresses.admin.to_string(), &["list"]).await;
    tokio::time::sleep(Duration::from_secs(4)).await;
    cluster.boxes[2].signal(Signal::SIGCONT);
    tokio::time::sleep(Duration::from_secs(1)).await;
    stop.store(true, Ordering::SeqCst);
    let reports: Vec<CallReport> = callers.join_all().await.into_iter().flatten().collect();
    assert!(reports.iter().all(|report| report.outcome == CallerOutcome::Answered), "{reports:?}");
    cluster.assert_no_violation();
}
