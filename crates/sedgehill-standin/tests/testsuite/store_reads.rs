//! How often boxes read from the store while nothing happens, and how soon they learn what does.
//!
//! Guards against reads that every box repeats: at rest they were most of the calls to the store, and grew with the
//! number of boxes.

use std::path::Path;
use std::time::{Duration, Instant};

use sedgehill_standin::cell_platform::{CellPlatform, OPERATOR_TOPIC};
use sedgehill_standin::cell_process::{CellBoxConfig, CellProcess, call};
use sedgehill_standin::soak::{FaultyPath, PathState};

use crate::cell_support::{
    assert_no_violation, start_box_at, submit, wait_completed, wait_for, wait_for_lead, wait_ready,
};

const NAMES: [&str; 14] = ["a", "b", "c", "d", "e", "f", "g", "h", "i", "j", "k", "l", "m", "n"];
/// Boxes that read often: the lead and those that stand by.
const FREQUENT_READERS: usize = 9;
/// Reads a second of a box that reads often, each of which waits half a second.
const READS_PER_SECOND: usize = 2;
const REST: Duration = Duration::from_secs(6);
/// Reads by the other boxes in that time, each of which waits 10 to 15 s.
const MAX_RARE_READS: usize = 10;
/// Time limit for a configuration to be in force at all boxes. The users allow seconds.
const IN_FORCE_TIMEOUT: Duration = Duration::from_millis(1_500);

fn start(directory: &Path, name: &str, cores: &str, platform: &CellPlatform) -> CellProcess {
    let config = CellBoxConfig::new(name, platform, platform.store_address, cores);
    config.start(directory).expect("a box can be started")
}

/// Waits until all boxes but those in `except` have a version of the configuration in force. Returns how long it took.
async fn wait_in_force(directory: &Path, version: u64, except: &[&str]) -> Duration {
    let begun = Instant::now();
    let text = format!("\"version\":{version}");
    wait_for("the configuration", async || {
        NAMES.iter().filter(|name| !except.contains(name)).all(|name| {
            let log = std::fs::read_to_string(directory.join(format!("{name}.log"))).unwrap();
            log.lines().any(|line| line.contains("configuration in force") && line.contains(&text))
        })
    })
    .await;
    begun.elapsed()
}

#[tokio::test(flavor = "multi_thread")]
async fn boxes_at_rest_seldom_read_and_learn_of_a_configuration_at_once() {
    let directory = tempfile::tempdir().unwrap();
    let platform = CellPlatform::start(3).await.unwrap();
    platform.configure(1);
    let lead = start(directory.path(), NAMES[0], "0.5", &platform);
    wait_ready(&lead).await;
    wait_for_lead(directory.path(), NAMES[0]).await;
    let others = NAMES[1..].iter().map(|name| start(directory.path(), name, "0.4", &platform));
    let others: Vec<CellProcess> = others.collect();
    for process in &others {
        wait_ready(process).await;
    }
    submit(&[&others[0]], 1).await;
    wait_completed(&others[6], 1).await;
    // All boxes have linked to the lead and finished the short reads from before.
    tokio::time::sleep(Duration::from_secs(2)).await;
    let before = platform.store.read_count(OPERATOR_TOPIC);
    tokio::time::sleep(REST).await;
    let reads = platform.store.read_count(OPERATOR_TOPIC) - before;
    let frequent = FREQUENT_READERS * READS_PER_SECOND * REST.as_secs() as usize;
    let limit = frequent + MAX_RARE_READS;
    assert!(reads <= limit, "{reads} reads by {} boxes at rest, more than {limit}", NAMES.len());
    platform.configure(2);
    let took = wait_in_force(directory.path(), 2, &[]).await;
    assert!(took < IN_FORCE_TIMEOUT, "in force after {took:?}");
    // Without its lead, each box relies on its own reads again.
    drop(lead);
    platform.configure(3);
    let took = wait_in_force(directory.path(), 3, &NAMES[..1]).await;
    assert!(took < IN_FORCE_TIMEOUT, "in force after {took:?} without a lead");
    submit(&[&others[0]], 2).await;
    wait_completed(&others[6], 2).await;
    assert_no_violation(&platform);
}

/// Guards against reads that reset the time since the last answer of the store when they fail: a box whose calls were
/// refused never counted as cut off.
#[tokio::test(flavor = "multi_thread")]
async fn a_box_whose_store_refuses_its_calls_counts_as_cut_off() {
    let directory = tempfile::tempdir().unwrap();
    let platform = CellPlatform::start(2).await.unwrap();
    platform.configure(1);
    let path = FaultyPath::open(platform.store_address).await.unwrap();
    let process = start_box_at(directory.path(), "cut", &platform, path.address, "0.25");
    wait_ready(&process).await;
    path.set(PathState::Refusing);
    path.reset();
    let log = || std::fs::read_to_string(directory.path().join("cut.log")).unwrap();
    wait_for("a submission by a box that is cut off", async || {
        let body =
            r#"{"spec":"work","steps":[{"count":1,"cpu":1000,"mem_mb":16,"estimate_ms":150}]}"#;
        let answer = call(process.callers, "POST", "/checks/0000000000000009", body).await;
        assert_ne!(answer.map(|(status, _)| status), Some(200));
        log().contains("\"store_silent\":true")
    })
    .await;
}
