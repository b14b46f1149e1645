//! Log lines: the reason of each decision, and a log sink that blocks.

use std::time::Duration;

use sedgehill_standin::cluster::TestCluster;
use sedgehill_standin::ledger::CallerOutcome;
use serde_json::Value;

use crate::support::{CHECK, call_many, small_plan, start_published, submit, wait_phase};

fn lines(text: &str, message: &str) -> Vec<Value> {
    let parsed =
        text.lines().map(|line| serde_json::from_str::<Value>(line).expect("a line is JSON"));
    parsed.filter(|line| line["msg"] == message).collect()
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn each_decision_is_one_line_with_its_reason() {
    let cluster = start_published(&small_plan()).await;
    call_many(&cluster, CHECK, 12, Duration::ZERO).await;
    let job = submit(&cluster, "arrears-rerun", 4).await;
    wait_phase(&cluster, &job, "done").await;
    tokio::time::sleep(Duration::from_millis(300)).await;
    let text: String = cluster.boxes.iter().map(|process| process.log_text()).collect();
    let requests = lines(&text, "request");
    assert_eq!(requests.len(), 12);
    for line in &requests {
        assert!(line["endpoint"].as_str().is_some_and(|id| id.starts_with("windyk-")), "{line}");
        assert_eq!(line["outcome"], "answered", "{line}");
        assert!(
            line["candidates"].as_u64() > Some(0) && line["applied"].as_u64() > Some(0),
            "{line}"
        );
    }
    let placements = lines(&text, "placement");
    let placed: Vec<_> = placements
        .iter()
        .filter(|line| line["task"].as_str().is_some_and(|id| id.starts_with(&job)))
        .collect();
    assert!(placed.len() >= 4, "{placements:?}");
    assert!(
        placed.iter().all(|line| line["reason"].is_string() && line["epoch"].is_u64()),
        "{placed:?}"
    );
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_unread_log_delays_no_request() {
    /// More lines than the queue in front of the sink and the pipe together hold.
    const CALLS: usize = 10_000;
    let mut plan = small_plan();
    plan.boxes.truncate(1);
    let mut cluster = TestCluster::prepare(&plan).await;
    let binaries = cluster.binaries.clone();
    cluster.boxes[0].start_with_unread_log(&binaries);
    cluster.wait_ready(0).await;
    cluster.client_ok(&["publish", "examples/inkaso.json"]).await;
    let reports = call_many(&cluster, CHECK, CALLS, Duration::ZERO).await;
    let answered =
        reports.iter().filter(|report| report.outcome == CallerOutcome::Answered).count();
    assert_eq!(answered, CALLS);
    assert!(
        cluster.metric(0, "sedgehill_log_lines_dropped").await > Some(0.0),
        "no line was dropped: the sink was not full"
    );
}
