//! Log lines and metrics of boxes in cell mode at a change of the lead.

use std::path::Path;

use sedgehill_cell::ids::FencingToken;
use sedgehill_standin::cell_platform::CellPlatform;
use sedgehill_standin::cell_process::call;
use serde_json::{Value, json};

use crate::cell_support::{
    assert_no_violation, start_box, submit_steps, wait_completed, wait_for, wait_for_lead,
    wait_ready,
};

/// Returns the log lines of a box that have a given message.
fn lines(directory: &Path, name: &str, message: &str) -> Vec<Value> {
    let text = std::fs::read_to_string(directory.join(format!("{name}.log"))).unwrap();
    let parsed = text.lines().filter_map(|line| serde_json::from_str::<Value>(line).ok());
    parsed.filter(|line| line["msg"] == message).collect()
}

/// Returns the metrics page of a box.
async fn metrics(directory: &Path, name: &str) -> String {
    let settings = std::fs::read_to_string(directory.join(format!("{name}.json"))).unwrap();
    let settings: Value = serde_json::from_str(&settings).unwrap();
    let address = settings["listen"]["metrics"].as_str().unwrap().parse().unwrap();
    let (status, page) = call(address, "GET", "/metrics", "").await.expect("the box answers");
    assert_eq!(status, 200);
    page
}

#[tokio::test(flavor = "multi_thread")]
async fn the_successor_of_a_killed_lead_reports_its_take_over() {
    let directory = tempfile::tempdir().unwrap();
    let platform = CellPlatform::start(3).await.unwrap();
    platform.configure(1);
    platform.workers.set_run_ms(3_500..3_501);
    let first = start_box(directory.path(), "first", &platform);
    wait_ready(&first).await;
    wait_for_lead(directory.path(), "first").await;
    let second = start_box(directory.path(), "second", &platform);
    wait_ready(&second).await;
    let steps = json!([{"count": 2, "cpu": 1000, "mem_mb": 16, "estimate_ms": 3500}]);
    submit_steps(&[&first], 1, steps).await;
    wait_for("both starts", async || platform.workers.starts() == 2).await;
    let token = FencingToken::default().next_lead().to_string();
    let earlier = lines(directory.path(), "first", "placed");
    assert!(earlier.iter().all(|line| line["token"] == *token), "{earlier:?}");
    assert!(earlier.iter().all(|line| line["earlier_settled"].is_null()), "{earlier:?}");
    drop(first);
    wait_for("the take-over", async || {
        !lines(directory.path(), "second", "take-over settled").is_empty()
    })
    .await;
    let [taking_over] = &lines(directory.path(), "second", "taking over")[..] else {
        panic!("expected one `taking over` line");
    };
    assert_eq!(taking_over["follows_token"], *token, "{taking_over}");
    assert_eq!(taking_over["follows_holder"], "first", "{taking_over}");
    assert_eq!(taking_over["waits_for_term"], true, "{taking_over}");
    assert_eq!(taking_over["roster"], 3, "{taking_over}");
    let recorded = lines(directory.path(), "first", "roster recorded");
    assert_eq!(taking_over["roster_mark"], recorded.last().unwrap()["mark"], "{taking_over}");
    assert_eq!(taking_over["earlier_jobs"], 1, "{taking_over}");
    assert_eq!(taking_over["gaps"], 0, "{taking_over}");
    let read = |key: &str| taking_over[key].as_u64();
    assert!(read("progress_read") >= read("progress_fence"), "{taking_over}");
    let settled = &lines(directory.path(), "second", "take-over settled")[0];
    assert_eq!((&settled["by"], &settled["heard"]), (&json!("heard"), &json!(3)), "{settled}");
    wait_for("both runs", async || lines(directory.path(), "second", "run adopted").len() == 2)
        .await;
    wait_completed(&second, 1).await;
    let page = metrics(directory.path(), "second").await;
    for line in [
        "sedgehill_cell_take_overs_settled_total{by=\"heard\"} 1",
        "sedgehill_cell_runs_found_total{result=\"adopted\"} 2",
        "sedgehill_cell_lead_changes_total{change=\"begun\",reason=",
    ] {
        assert!(page.contains(line), "{line}:\n{page}");
    }
    assert_no_violation(&platform);
}

/// Guards against speeds that stay with the lead that learned them: its record has to pass through the store, and the
/// next lead has to read it when it fences.
#[tokio::test(flavor = "multi_thread")]
async fn the_successor_of_a_killed_lead_knows_the_speeds_of_workers() {
    let directory = tempfile::tempdir().unwrap();
    let platform = CellPlatform::start(6).await.unwrap();
    platform.configure(1);
    platform.workers.set_run_ms(150..151);
    platform.workers.set_slow_workers(3, 3);
    let first = start_box(directory.path(), "first", &platform);
    wait_ready(&first).await;
    wait_for_lead(directory.path(), "first").await;
    let second = start_box(directory.path(), "second", &platform);
    wait_ready(&second).await;
    let in_effect = |name: &str| {
        let found = lines(directory.path(), name, "worker speeds in effect");
        found.last().is_some_and(|line| line["in_effect"] == true)
    };
    let steps = json!([{"count": 36, "cpu": 1000, "mem_mb": 16, "estimate_ms": 150}]);
    let mut id = 0;
    wait_for("speeds in effect", async || {
        id += 1;
        submit_steps(&[&first], id, steps.clone()).await;
        wait_completed(&first, id).await;
        in_effect("first")
    })
    .await;
    // A change of the record each 2 s.
    for _ in 0..5 {
        id += 1;
        submit_steps(&[&first], id, steps.clone()).await;
        wait_completed(&first, id).await;
        tokio::time::sleep(std::time::Duration::from_millis(500)).await;
    }
    drop(first);
    wait_for("the take-over", async || in_effect("second")).await;
    let [inherited] = &lines(directory.path(), "second", "worker speeds taken over")[..] else {
        panic!("expected one `worker speeds taken over` line");
    };
    assert_eq!((&inherited["workers"], &inherited["known"]), (&json!(6), &json!(6)), "{inherited}");
    // The metrics are set each second.
    wait_for("the metrics", async || {
        let page = metrics(directory.path(), "second").await;
        let in_effect = |line: &str| {
            line.starts_with("sedgehill_cell_speeds_in_effect{pool=") && line.ends_with(" 1")
        };
        page.lines().any(in_effect)
    })
    .await;
    assert_no_violation(&platform);
}
