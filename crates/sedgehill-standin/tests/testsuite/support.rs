//! Shared setup of the tests: a small cluster and common operations on it.

use std::time::Duration;

use sedgehill_platform::admin::JobListing;
use sedgehill_standin::caller::{CallPlan, CallReport};
use sedgehill_standin::cluster::{
    ClusterPlan, EndpointGroup, TestCluster, WorkerGroup, quick_settings, standard_worker, wait_for,
};
use serde_json::Value;

/// Path of a short request that may run more than once.
pub const CHECK: &str = "inkaso/windyk/check";
/// Path of a request that must run at most once.
pub const OFFER: &str = "inkaso/windyk/offer";

/// Returns a plan of three boxes, with endpoints and workers in two data halls.
pub fn small_plan() -> ClusterPlan {
    ClusterPlan {
        boxes: vec!["gdansk-hala-a", "gdynia-hala-b", "sopot-hala-c"],
        endpoints: vec![EndpointGroup {
            service: "windyk",
            halls: vec!["gdansk-hala-a", "gdynia-hala-b"],
            count: 6,
            slots: 8,
        }],
        workers: vec![WorkerGroup {
            halls: vec!["gdansk-hala-a", "gdynia-hala-b"],
            count: 6,
            per_rack: 8,
            total: standard_worker(),
        }],
        list_lag: Duration::from_millis(300),
        settings: quick_settings(),
    }
}

/// Starts a cluster with the Inkaso example published.
pub async fn start_published(plan: &ClusterPlan) -> TestCluster {
    let cluster = TestCluster::start(plan).await;
    cluster.client_ok(&["publish", "examples/inkaso.json"]).await;
    // A box that has not read the configuration yet knows no service, and the delay has no bound.
    cluster.wait_same_configs().await;
    cluster
}

/// Submits a job and returns its id.
pub async fn submit(cluster: &TestCluster, template: &str, tasks: u32) -> String {
    let tasks = tasks.to_string();
    let args = ["submit", "--organisation", "inkaso", "--template", template, "--tasks", &tasks];
    cluster.client_ok(&args).await.trim().to_owned()
}

/// Returns the jobs that the command line lists.
pub async fn jobs(cluster: &TestCluster) -> Vec<JobListing> {
    let text = cluster.client_ok(&["--format", "json", "jobs"]).await;
    serde_json::from_str(&text).expect("the client prints jobs")
}

/// Waits until a job has the phase with the given name.
pub async fn wait_phase(cluster: &TestCluster, job: &str, phase: &str) {
    wait_for(&format!("job {job} to be {phase}"), async || {
        let jobs = jobs(cluster).await;
        jobs.iter()
            .any(|listing| listing.id.to_string() == job && listing.job.phase.to_string() == phase)
    })
    .await;
}

/// Parses the output of the command line with `--format json`.
pub fn parse(text: &str) -> Value {
    serde_json::from_str(text).expect("the client prints JSON")
}

/// Calls all boxes in turn, ten calls at a time, and returns the report of each call.
pub async fn call_many(
    cluster: &TestCluster,
    path: &str,
    count: usize,
    work: Duration,
) -> Vec<CallReport> {
    const MAX_CONCURRENT_CALLS: usize = 10;
    let mut reports = Vec::new();
    let mut calls = tokio::task::JoinSet::new();
    for index in 0..count {
        let address = cluster.boxes[index % cluster.boxes.len()].addresses.traffic;
        let (caller, plan) = (cluster.caller(), CallPlan::new(path, work));
        calls.spawn(async move { caller.call(address, &plan, false).await });
        if calls.len() >= MAX_CONCURRENT_CALLS {
            reports.extend(calls.join_next().await.map(|report| report.expect("a call ends")));
        }
    }
    reports.extend(calls.join_all().await);
    reports
}
