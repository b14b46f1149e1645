//! Configuration: concurrent publishing, lost answers, paused boxes, log retention, and starts without the log.

use std::time::{Duration, Instant};

use nix::sys::signal::Signal;
use sedgehill_standin::cluster::{TestCluster, wait_for};
use sedgehill_standin::log_server::LogFaults;
use serde_json::json;

use crate::support::{parse, small_plan, start_published};

const KEY: &str = "parameters/inkaso/windyk";

fn write_parameters(cluster: &TestCluster, name: &str, queue: u32) -> String {
    let path = cluster.directory().join(name);
    let manifest = json!({ "parameters": [
        { "organisation": "inkaso", "template": "windyk", "priority": 8, "queue": queue }
    ] });
    std::fs::write(&path, manifest.to_string()).expect("a file can be written");
    path.to_str().expect("the path is text").to_owned()
}

async fn version_at(cluster: &TestCluster, index: usize) -> Option<u64> {
    let status = cluster.status(index).await?;
    let config = status.configs.iter().find(|config| config.key == KEY)?;
    Some(config.version.0)
}

/// Publishes until the outcome is known (exit code 5 means unknown), and returns the version.
async fn publish(cluster: &TestCluster, queue: u32) -> u64 {
    let file = write_parameters(cluster, &format!("queue-{queue}.json"), queue);
    loop {
        let output = cluster.client(&["--format", "json", "publish", &file]).await;
        if output.status.success() {
            let text = String::from_utf8(output.stdout).expect("the client prints text");
            return parse(&text)[0]["version"].as_u64().expect("a version is a number");
        }
        let code = output.status.code();
        assert_eq!(code, Some(5), "{}", String::from_utf8_lossy(&output.stderr));
    }
}

async fn wait_in_force(cluster: &TestCluster, version: u64) -> Duration {
    let started = Instant::now();
    wait_for("the version to be in force everywhere", async || {
        for index in 0..cluster.boxes.len() {
            if version_at(cluster, index).await < Some(version) {
                return false;
            }
        }
        true
    })
    .await;
    started.elapsed()
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn of_concurrent_publishes_one_wins_and_the_others_report_its_version() {
    let cluster = start_published(&small_plan()).await;
    let base = version_at(&cluster, 0).await.expect("it was published").to_string();
    let files: Vec<String> = (0..6)
        .map(|number| write_parameters(&cluster, &format!("race-{number}.json"), 100 + number))
        .collect();
    let runs = files.iter().enumerate().map(|(number, file)| {
        let boxes = cluster.boxes[number % cluster.boxes.len()].addresses.admin.to_string();
        let base = base.clone();
        let cluster = &cluster;
        async move { cluster.client_at(&boxes, &["publish", "--base", &base, file]).await }
    });
    let outputs = join_all(runs).await;
    let codes: Vec<Option<i32>> = outputs.iter().map(|output| output.status.code()).collect();
    assert_eq!(codes.iter().filter(|code| **code == Some(0)).count(), 1, "{codes:?}");
    assert_eq!(codes.iter().filter(|code| **code == Some(4)).count(), 5, "{codes:?}");
    let winner = version_at(&cluster, 0).await.expect("one won");
    let named = format!("version {winner} is in force");
    let names_winner =
        |output: &&std::process::Output| String::from_utf8_lossy(&output.stderr).contains(&named);
    assert_eq!(outputs.iter().filter(names_winner).count(), 5);
    wait_in_force(&cluster, winner).await;
}

async fn join_all<F: Future>(futures: impl Iterator<Item = F>) -> Vec<F::Output> {
    let mut pending: Vec<std::pin::Pin<Box<F>>> = futures.map(Box::pin).collect();
    let mut outputs = Vec::new();
    // Each round polls all pending futures, so that they run concurrently.
    std::future::poll_fn(|context| {
        let mut index = 0;
        while index < pending.len() {
            match pending[index].as_mut().poll(context) {
                std::task::Poll::Ready(output) => {
                    outputs.push(output);
                    drop(pending.swap_remove(index));
                }
                std::task::Poll::Pending => index += 1,
            }
        }
        if pending.is_empty() { std::task::Poll::Ready(()) } else { std::task::Poll::Pending }
    })
    .await;
    outputs
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn lost_answers_create_no_duplicate_version() {
    let cluster = start_published(&small_plan()).await;
    cluster.log.set_faults(LogFaults { lost_answers: 60, ..LogFaults::default() });
    let mut last = 0;
    for queue in 200..210 {
        let version = publish(&cluster, queue).await;
        assert!(version > last);
        last = version;
    }
    let history = parse(&cluster.client_ok(&["--format", "json", "history", KEY]).await);
    let queues: Vec<u64> = history
        .as_array()
        .expect("the history is a list")
        .iter()
        .filter_map(|version| version["spec"]["parameters"]["queue"].as_u64())
        .filter(|queue| *queue >= 200 && *queue < 210)
        .collect();
    assert_eq!(queues, (200..210).collect::<Vec<u64>>());
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_paused_box_catches_up_and_never_reverts() {
    let cluster = start_published(&small_plan()).await;
    publish(&cluster, 300).await;
    cluster.boxes[2].signal(Signal::SIGSTOP);
    let running =
        format!("{},{}", cluster.boxes[0].addresses.admin, cluster.boxes[1].addresses.admin);
    let file = write_parameters(&cluster, "sleep.json", 301);
    let output = cluster.client_at(&running, &["--format", "json", "publish", &file]).await;
    assert!(output.status.success());
    let text = String::from_utf8(output.stdout).expect("the client prints text");
    let version = parse(&text)[0]["version"].as_u64().expect("a version is a number");
    tokio::time::sleep(Duration::from_secs(2)).await;
    cluster.boxes[2].signal(Signal::SIGCONT);
    let elapsed = wait_in_force(&cluster, version).await;
    assert!(elapsed < Duration::from_secs(2), "{elapsed:?}");
    for _ in 0..20 {
        for index in 0..cluster.boxes.len() {
            assert!(version_at(&cluster, index).await >= Some(version));
        }
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_restarted_box_uses_a_snapshot_when_the_log_has_discarded_its_start() {
    let mut plan = small_plan();
    plan.settings["log"]["snapshot_every"] = json!(20);
    let mut cluster = start_published(&plan).await;
    cluster.boxes[0].kill();
    cluster.log.set_faults(LogFaults { retention: Some(60), ..LogFaults::default() });
    let running =
        format!("{},{}", cluster.boxes[1].addresses.admin, cluster.boxes[2].addresses.admin);
    for queue in 400..430 {
        let file = write_parameters(&cluster, "retention.json", queue);
        let output = cluster.client_at(&running, &["publish", &file]).await;
        assert!(output.status.success(), "{}", String::from_utf8_lossy(&output.stderr));
    }
    wait_for("the log to discard its first entries", async || {
        cluster.log.entries().first().is_some_and(|entry| entry["offset"].as_u64() > Some(20))
    })
    .await;
    cluster.start_box(0);
    cluster.wait_ready(0).await;
    let version = version_at(&cluster, 1).await.expect("it was published");
    wait_in_force(&cluster, version).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_box_that_starts_while_the_log_is_down_takes_its_state_from_a_peer() {
    let mut cluster = start_published(&small_plan()).await;
    let version = publish(&cluster, 500).await;
    cluster.boxes[0].kill();
    cluster.log.set_faults(LogFaults { down: true, ..LogFaults::default() });
    cluster.start_box(0);
    cluster.wait_ready(0).await;
    assert_eq!(version_at(&cluster, 0).await, Some(version));
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_box_with_neither_log_nor_peers_is_not_ready_and_reports_why() {
    let mut cluster = TestCluster::prepare(&small_plan()).await;
    cluster.log.set_faults(LogFaults { down: true, ..LogFaults::default() });
    cluster.start_box(0);
    wait_for("the box to report why it is not ready", async || {
        cluster.health(0).await.is_some_and(|report| report.reason.contains("the log says"))
    })
    .await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_box_cut_off_from_log_and_peers_stops_taking_requests() {
    let mut cluster = start_published(&small_plan()).await;
    cluster.log.set_faults(LogFaults { down: true, ..LogFaults::default() });
    cluster.boxes[1].kill();
    cluster.boxes[2].kill();
    wait_for("the box to report that it is cut off", async || {
        cluster.health(0).await.is_some_and(|report| report.reason.contains("cut off"))
    })
    .await;
}
