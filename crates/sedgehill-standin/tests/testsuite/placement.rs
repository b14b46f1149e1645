//! Placement of jobs while leads, workers and the log fail.

use std::collections::BTreeSet;
use std::time::Duration;

use nix::sys::signal::Signal;
use sedgehill_standin::cluster::{TestCluster, wait_for};
use sedgehill_standin::log_server::LogFaults;
use sedgehill_standin::worker::WorkerFaults;

use crate::support::{small_plan, start_published, submit, wait_phase};

/// Returns the indices of the boxes that hold the lead of a data hall.
async fn leads(cluster: &TestCluster) -> BTreeSet<usize> {
    let mut leads = BTreeSet::new();
    for index in 0..cluster.boxes.len() {
        let Some(status) = cluster.status(index).await else { continue };
        if status.halls.iter().any(|hall| hall.held_here) {
            leads.insert(index);
        }
    }
    leads
}

async fn wait_running(cluster: &TestCluster) {
    wait_for("tasks to run", async || {
        cluster.workers.iter().any(|worker| !worker.running().is_empty())
    })
    .await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn killed_leads_are_replaced_and_no_task_runs_twice() {
    let mut cluster = start_published(&small_plan()).await;
    let batch = submit(&cluster, "arrears-rerun", 120).await;
    let gang = submit(&cluster, "utility-merge", 5).await;
    wait_running(&cluster).await;
    let leads = leads(&cluster).await;
    assert!(!leads.is_empty());
    for index in leads.into_iter().take(2) {
        cluster.boxes[index].kill();
    }
    wait_phase(&cluster, &batch, "done").await;
    wait_phase(&cluster, &gang, "done").await;
    assert_eq!(
        cluster.ledger.task_starts(),
        125,
        "a task was started more than once or not at all"
    );
    cluster.assert_no_violation();
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_lead_paused_beyond_its_term_acts_on_nothing_stale() {
    let cluster = start_published(&small_plan()).await;
    let batch = submit(&cluster, "arrears-rerun", 200).await;
    wait_running(&cluster).await;
    let leads = leads(&cluster).await;
    for index in leads.iter().take(2) {
        cluster.boxes[*index].signal(Signal::SIGSTOP);
    }
    tokio::time::sleep(Duration::from_secs(5)).await;
    for index in leads.iter().take(2) {
        cluster.boxes[*index].signal(Signal::SIGCONT);
    }
    wait_phase(&cluster, &batch, "done").await;
    cluster.assert_no_violation();
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_silent_worker_keeps_its_tasks_until_their_leases_lapse() {
    let cluster = start_published(&small_plan()).await;
    let batch = submit(&cluster, "arrears-rerun", 100).await;
    wait_running(&cluster).await;
    for worker in cluster.workers.iter().take(2) {
        worker.set_faults(WorkerFaults { silent: true, ..WorkerFaults::default() });
    }
    tokio::time::sleep(Duration::from_secs(6)).await;
    for worker in cluster.workers.iter().take(2) {
        worker.set_faults(WorkerFaults::default());
    }
    wait_phase(&cluster, &batch, "done").await;
    cluster.assert_no_violation();
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_worker_whose_answers_are_lost_is_not_overfilled() {
    let cluster = start_published(&small_plan()).await;
    for worker in cluster.workers.iter().take(3) {
        worker.set_faults(WorkerFaults { lost_answers: true, ..WorkerFaults::default() });
    }
    let batch = submit(&cluster, "arrears-rerun", 100).await;
    tokio::time::sleep(Duration::from_secs(3)).await;
    for worker in cluster.workers.iter().take(3) {
        worker.set_faults(WorkerFaults::default());
    }
    wait_phase(&cluster, &batch, "done").await;
    cluster.assert_no_violation();
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn tasks_of_a_restarted_worker_run_again() {
    let cluster = start_published(&small_plan()).await;
    let batch = submit(&cluster, "arrears-rerun", 60).await;
    wait_running(&cluster).await;
    for worker in cluster.workers.iter().take(3) {
        worker.restart();
    }
    wait_phase(&cluster, &batch, "done").await;
    cluster.assert_no_violation();
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_worker_that_fails_everything_stops_receiving_tasks() {
    let cluster = start_published(&small_plan()).await;
    cluster.workers[0].set_faults(WorkerFaults { fails_all: true, ..WorkerFaults::default() });
    cluster.workers[1].set_faults(WorkerFaults { fails_all: true, ..WorkerFaults::default() });
    let batch = submit(&cluster, "arrears-rerun", 60).await;
    wait_phase(&cluster, &batch, "done").await;
    let starts = cluster.ledger.task_starts();
    assert!(starts <= 60 + 48, "{starts} starts for 60 tasks");
    cluster.assert_no_violation();
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_cancelled_job_is_stopped_and_frees_its_resources() {
    let cluster = start_published(&small_plan()).await;
    let first = submit(&cluster, "arrears-rerun", 200).await;
    wait_running(&cluster).await;
    cluster.client_ok(&["cancel", &first]).await;
    wait_for("the workers to be empty", async || {
        cluster.workers.iter().all(|worker| worker.running().is_empty())
    })
    .await;
    let second = submit(&cluster, "arrears-rerun", 10).await;
    wait_phase(&cluster, &second, "done").await;
    wait_phase(&cluster, &first, "cancelled").await;
    cluster.assert_no_violation();
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn placement_continues_while_answers_of_the_log_are_lost() {
    let cluster = start_published(&small_plan()).await;
    cluster.log.set_faults(LogFaults { lost_answers: 50, ..LogFaults::default() });
    let output = cluster
        .client(&[
            "submit",
            "--organisation",
            "inkaso",
            "--template",
            "arrears-rerun",
            "--tasks",
            "40",
        ])
        .await;
    assert!(output.status.success(), "{}", String::from_utf8_lossy(&output.stderr));
    let batch = String::from_utf8_lossy(&output.stdout).trim().to_owned();
    wait_phase(&cluster, &batch, "done").await;
    assert_eq!(cluster.ledger.task_starts(), 40);
    cluster.assert_no_violation();
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_planned_stop_hands_the_leads_over() {
    let mut cluster = start_published(&small_plan()).await;
    let batch = submit(&cluster, "arrears-rerun", 150).await;
    wait_running(&cluster).await;
    let leads: Vec<usize> = leads(&cluster).await.into_iter().collect();
    cluster.boxes[leads[0]].signal(Signal::SIGTERM);
    assert_eq!(cluster.boxes[leads[0]].wait(), Some(0));
    wait_phase(&cluster, &batch, "done").await;
    assert_eq!(
        cluster.ledger.task_starts(),
        150,
        "a task was started more than once or not at all"
    );
    cluster.assert_no_violation();
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_job_that_never_fits_is_explained_and_blocks_no_other_job() {
    let cluster = start_published(&small_plan()).await;
    let path = cluster.directory().join("huge.json");
    let manifest = r#"{
        "templates": [{ "name": "huge", "type": "batch", "run_time": "1s",
            "resources": { "cores": "64", "memory": "1GiB" } }],
        "parameters": [{ "organisation": "inkaso", "template": "huge", "priority": 9 }]
    }"#;
    std::fs::write(&path, manifest).expect("a file can be written");
    cluster.client_ok(&["publish", path.to_str().expect("the path is text")]).await;
    let huge = submit(&cluster, "huge", 1).await;
    let small = submit(&cluster, "arrears-rerun", 5).await;
    wait_phase(&cluster, &small, "done").await;
    let explained = cluster.client_ok(&["explain", &huge]).await;
    assert!(explained.contains("no worker of the hall is large enough"), "{explained}");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_gang_that_lost_a_task_is_started_again_as_a_whole() {
    const TASKS: usize = 5;
    let cluster = start_published(&small_plan()).await;
    let gang = submit(&cluster, "utility-merge", TASKS as u32).await;
    let running = || cluster.workers.iter().map(|worker| worker.running().len()).sum::<usize>();
    wait_for("the whole gang to run", async || running() == TASKS).await;
    let worker = cluster.workers.iter().find(|worker| !worker.running().is_empty());
    let lost =
        worker.map(|worker| worker.running().len()).expect("a worker runs some of its tasks");
    assert!(lost < TASKS, "all tasks of the gang run on one worker");
    worker.expect("a worker runs some of its tasks").restart();
    wait_phase(&cluster, &gang, "done").await;
    let starts = cluster.ledger.task_starts() as usize;
    assert_eq!(
        starts,
        2 * TASKS,
        "the gang was not started again as a whole after losing {lost} tasks"
    );
    cluster.assert_no_violation();
}
