//! End to end in separate processes: publish a configuration, route requests, place jobs, read their state.

use std::time::Duration;

use sedgehill_standin::caller::CallPlan;
use sedgehill_standin::ledger::CallerOutcome;

use crate::support::{CHECK, OFFER, parse, small_plan, start_published, submit, wait_phase};

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_request_and_two_jobs_complete_end_to_end() {
    let cluster = start_published(&small_plan()).await;
    let caller = cluster.caller();

    for process in &cluster.boxes {
        let plan = CallPlan::new(CHECK, Duration::from_millis(5));
        let report = caller.call(process.addresses.traffic, &plan, false).await;
        assert_eq!(report.outcome, CallerOutcome::Answered, "{report:?}");
    }
    let plan = CallPlan::once_only(OFFER, Duration::from_millis(20));
    let report = caller.call(cluster.boxes[0].addresses.traffic, &plan, false).await;
    assert_eq!((report.outcome, report.status), (CallerOutcome::Answered, Some(200)), "{report:?}");
    assert!(report.took >= plan.work, "an answer came before its work was done: {report:?}");
    assert_eq!(cluster.ledger.request_runs(&plan.token), 1);

    let batch = submit(&cluster, "arrears-rerun", 10).await;
    let gang = submit(&cluster, "utility-merge", 3).await;
    wait_phase(&cluster, &batch, "done").await;
    wait_phase(&cluster, &gang, "done").await;

    let explained = cluster.client_ok(&["explain", &batch]).await;
    assert!(explained.contains("placed on"), "{explained}");
    let request = report.request_id.expect("the answer has a request id");
    let explained = cluster.client_ok(&["explain", &request]).await;
    assert!(explained.contains("sent to windyk-"), "{explained}");
    let status = parse(&cluster.client_ok(&["--format", "json", "status"]).await);
    assert_eq!(status.as_array().map(Vec::len), Some(3));
    assert_eq!(cluster.ledger.task_starts(), 13);
    cluster.assert_no_violation();
}
