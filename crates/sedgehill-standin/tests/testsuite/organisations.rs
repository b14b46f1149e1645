//! Organisations: keys at every box, access to the organisation's own jobs only, and resource limits.

use std::path::Path;
use std::time::{Duration, Instant};

use sedgehill_standin::cell_platform::{CellPlatform, StandinOrganisation};
use sedgehill_standin::cell_process::{CellProcess, call_with_key};
use sedgehill_standin::soak::{FaultyPath, PathState};
use serde_json::json;

use crate::cell_support::{
    assert_no_violation, start_box, start_box_at, wait_for, wait_for_lead, wait_ready,
};

const OFFICE_KEY: &str = "office-key-3f9d";
const OTHER_KEY: &str = "other-key-81aa";
const SPARE_KEY: &str = "spare-key-77c2";
/// Time within which the removal of a key in a new configuration takes effect at every box.
const REVOCATION_TIMEOUT: Duration = Duration::from_secs(2);

fn organisation(name: &'static str, keys: &[&str], cores: u64) -> StandinOrganisation {
    let keys = keys.iter().map(|key| (*key).to_owned()).collect();
    StandinOrganisation { name, keys, cores }
}

fn configure(platform: &CellPlatform, version: u64, office_keys: &[&str]) {
    let organisations =
        [organisation("office", office_keys, 3), organisation("other", &[OTHER_KEY], 0)];
    platform.configure_organisations(version, &organisations);
}

fn job_path(id: u64) -> String {
    format!("/checks/{id:016x}")
}

fn body(count: u16) -> String {
    let step = json!({"count": count, "cpu": 1000, "mem_mb": 16, "estimate_ms": 150});
    json!({"spec": "work", "steps": [step]}).to_string()
}

async fn status_of(process: &CellProcess, method: &str, path: &str, key: Option<&str>) -> u16 {
    let body = if method == "POST" { body(1) } else { String::new() };
    let answer = call_with_key(process.callers, method, path, &body, key).await;
    answer.map_or(0, |(status, _)| status)
}

async fn submit(process: &CellProcess, id: u64, count: u16, key: &str) {
    wait_for("acceptance", async || {
        let path = job_path(id);
        let answer = call_with_key(process.callers, "POST", &path, &body(count), Some(key)).await;
        answer.is_some_and(|(status, _)| status == 200)
    })
    .await;
}

async fn wait_completed(process: &CellProcess, id: u64, key: &str) {
    wait_for("completion", async || {
        let answer = call_with_key(process.callers, "GET", &job_path(id), "", Some(key)).await;
        answer.is_some_and(|(status, body)| status == 200 && body.contains("completed"))
    })
    .await;
}

fn read_log(directory: &Path, name: &str) -> String {
    std::fs::read_to_string(directory.join(format!("{name}.log"))).unwrap()
}

#[tokio::test(flavor = "multi_thread")]
async fn every_call_needs_a_valid_key_and_shows_only_the_callers_jobs() {
    let directory = tempfile::tempdir().unwrap();
    let platform = CellPlatform::start(2).await.unwrap();
    configure(&platform, 1, &[OFFICE_KEY]);
    let first = start_box(directory.path(), "first", &platform);
    let second = start_box(directory.path(), "second", &platform);
    wait_ready(&first).await;
    wait_ready(&second).await;
    submit(&first, 1, 1, OFFICE_KEY).await;
    for process in [&first, &second] {
        for (method, path) in [("POST", job_path(9)), ("GET", job_path(1)), ("DELETE", job_path(1))]
        {
            assert_eq!(status_of(process, method, &path, None).await, 401);
            assert_eq!(status_of(process, method, &path, Some("no-such-key")).await, 401);
        }
        assert_eq!(status_of(process, "GET", "/checks/", None).await, 401);
        assert_eq!(status_of(process, "GET", "/checks/", Some(OTHER_KEY)).await, 200);
        // An unknown route is answered without a key.
        assert_eq!(status_of(process, "GET", "/elsewhere/", None).await, 404);
    }
    wait_completed(&second, 1, OFFICE_KEY).await;
    for process in [&first, &second] {
        assert_eq!(status_of(process, "GET", &job_path(1), Some(OTHER_KEY)).await, 410);
        assert_eq!(status_of(process, "DELETE", &job_path(1), Some(OTHER_KEY)).await, 410);
        assert_eq!(status_of(process, "POST", &job_path(1), Some(OTHER_KEY)).await, 409);
        assert_eq!(status_of(process, "POST", &job_path(1), Some(OFFICE_KEY)).await, 200);
    }
    // A box that starts later knows the organisation of an ended job.
    let third = start_box(directory.path(), "third", &platform);
    wait_ready(&third).await;
    wait_completed(&third, 1, OFFICE_KEY).await;
    assert_eq!(status_of(&third, "GET", &job_path(1), Some(OTHER_KEY)).await, 410);
    for name in ["first", "second", "third"] {
        let log = read_log(directory.path(), name);
        assert!(!log.contains(OFFICE_KEY) && !log.contains(OTHER_KEY), "{name} logs a key");
        assert!(!log.contains("no-such-key"), "{name} logs a wrong key");
    }
    assert_eq!(platform.workers.starts(), 1);
    assert_no_violation(&platform);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_revoked_key_stops_working_at_a_box_that_is_cut_from_the_store() {
    let directory = tempfile::tempdir().unwrap();
    let platform = CellPlatform::start(2).await.unwrap();
    configure(&platform, 1, &[OFFICE_KEY, SPARE_KEY]);
    let lead = start_box_at(directory.path(), "lead", &platform, platform.store_address, "0.5");
    wait_ready(&lead).await;
    wait_for_lead(directory.path(), "lead").await;
    let path = FaultyPath::open(platform.store_address).await.unwrap();
    let cut = start_box_at(directory.path(), "cut", &platform, path.address, "0.25");
    wait_ready(&cut).await;
    submit(&cut, 1, 1, SPARE_KEY).await;
    path.set(PathState::Refusing);
    path.reset();
    tokio::time::sleep(Duration::from_millis(1_500)).await;
    configure(&platform, 2, &[OFFICE_KEY]);
    let revoked = Instant::now();
    tokio::time::sleep(REVOCATION_TIMEOUT.saturating_sub(revoked.elapsed())).await;
    for process in [&lead, &cut] {
        assert_eq!(status_of(process, "GET", &job_path(1), Some(SPARE_KEY)).await, 401);
        assert_eq!(status_of(process, "POST", &job_path(2), Some(SPARE_KEY)).await, 401);
        // The job that was accepted with the revoked key continues, and the organisation has another key.
        wait_completed(process, 1, OFFICE_KEY).await;
    }
    assert_no_violation(&platform);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_lead_that_is_cut_from_the_store_learns_of_a_revocation_through_another_box() {
    let directory = tempfile::tempdir().unwrap();
    let platform = CellPlatform::start(2).await.unwrap();
    configure(&platform, 1, &[OFFICE_KEY, SPARE_KEY]);
    let path = FaultyPath::open(platform.store_address).await.unwrap();
    let lead = start_box_at(directory.path(), "lead", &platform, path.address, "0.5");
    wait_ready(&lead).await;
    wait_for_lead(directory.path(), "lead").await;
    let other = start_box(directory.path(), "other", &platform);
    wait_ready(&other).await;
    // Until the boxes have found each other.
    tokio::time::sleep(Duration::from_millis(1_000)).await;
    submit(&other, 1, 1, SPARE_KEY).await;
    path.set(PathState::Refusing);
    path.reset();
    tokio::time::sleep(Duration::from_millis(1_500)).await;
    configure(&platform, 2, &[OFFICE_KEY]);
    tokio::time::sleep(REVOCATION_TIMEOUT).await;
    for process in [&lead, &other] {
        assert_eq!(status_of(process, "GET", &job_path(1), Some(SPARE_KEY)).await, 401);
        wait_completed(process, 1, OFFICE_KEY).await;
    }
    let log = read_log(directory.path(), "lead");
    assert!(!log.contains("not leading any more"), "{log}");
    assert_no_violation(&platform);
}

#[tokio::test(flavor = "multi_thread")]
async fn an_isolated_box_accepts_no_key_and_rejects_none_as_unknown() {
    let directory = tempfile::tempdir().unwrap();
    let platform = CellPlatform::start(2).await.unwrap();
    configure(&platform, 1, &[OFFICE_KEY]);
    let path = FaultyPath::open(platform.store_address).await.unwrap();
    let only = start_box_at(directory.path(), "only", &platform, path.address, "0.5");
    wait_ready(&only).await;
    submit(&only, 1, 1, OFFICE_KEY).await;
    path.set(PathState::Refusing);
    path.reset();
    tokio::time::sleep(REVOCATION_TIMEOUT).await;
    assert_eq!(status_of(&only, "GET", &job_path(1), Some(OFFICE_KEY)).await, 503);
    assert_eq!(status_of(&only, "GET", &job_path(1), Some("new-key")).await, 503);
    assert_eq!(status_of(&only, "GET", &job_path(1), None).await, 401);
    path.set(PathState::Open);
    wait_completed(&only, 1, OFFICE_KEY).await;
    assert_no_violation(&platform);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_limit_holds_while_leads_are_killed() {
    let directory = tempfile::tempdir().unwrap();
    let platform = CellPlatform::start(4).await.unwrap();
    configure(&platform, 1, &[OFFICE_KEY]);
    // `office` may use three cores; the ids of its jobs begin with zeros, those of `other` with an `f`.
    platform.workers.limit_running_tasks("0", 3);
    let mut processes = vec![
        start_box(directory.path(), "a", &platform),
        start_box(directory.path(), "b", &platform),
    ];
    for process in &processes {
        wait_ready(process).await;
    }
    let other = |id: u64| 0xf000_0000_0000_0000 | id;
    for round in 0..4u64 {
        for id in 1..=3 {
            submit(&processes[id as usize % 2], 10 * round + id, 4, OFFICE_KEY).await;
            submit(&processes[id as usize % 2], other(10 * round + id), 4, OTHER_KEY).await;
        }
        let victim = (round % 2) as usize;
        drop(processes.remove(victim));
        let name = format!("round-{round}");
        processes.insert(victim, start_box(directory.path(), &name, &platform));
        wait_ready(&processes[victim]).await;
    }
    for round in 0..4u64 {
        for id in 1..=3 {
            wait_completed(&processes[0], 10 * round + id, OFFICE_KEY).await;
            wait_completed(&processes[1], other(10 * round + id), OTHER_KEY).await;
        }
    }
    assert_no_violation(&platform);
}
