//! Recovery of a cell after the loss of its lead.

use std::path::Path;
use std::time::{Duration, Instant};

use nix::sys::signal::Signal;
use sedgehill_standin::cell_platform::CellPlatform;
use sedgehill_standin::cell_process::{CellBoxConfig, CellProcess, call};

use crate::cell_support::{
    assert_no_violation, start_box, start_box_at, submit, wait_completed, wait_for, wait_for_lead,
    wait_ready,
};

/// Time limit from the claim of a new lead until the other boxes have connected to it. Connecting takes a few
/// milliseconds; the rest allows for a busy machine.
const LINK_TIMEOUT: Duration = Duration::from_millis(400);
/// Time limit for the other boxes to detect that the lead is lost.
const DETECTION_TIMEOUT: Duration = Duration::from_secs(10);

/// Returns the first of the named boxes whose log contains a text.
fn find_in_logs(directory: &Path, names: &[&str], text: &str) -> Option<String> {
    let log = |name: &str| std::fs::read_to_string(directory.join(format!("{name}.log")));
    let found = names.iter().find(|name| log(name).is_ok_and(|log| log.contains(text)));
    found.map(|name| (*name).to_owned())
}

async fn wait_until_logged(directory: &Path, names: &[&str], text: &str) -> (String, Instant) {
    let deadline = Instant::now() + DETECTION_TIMEOUT;
    loop {
        if let Some(name) = find_in_logs(directory, names, text) {
            return (name, Instant::now());
        }
        assert!(Instant::now() < deadline, "no box logged {text}");
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_link_to_a_stopped_lead_is_replaced_when_another_box_leads() {
    let directory = tempfile::tempdir().unwrap();
    let platform = CellPlatform::start(3).await.unwrap();
    platform.configure(1);
    let lead = start_box_at(directory.path(), "lead", &platform, platform.store_address, "0.5");
    wait_ready(&lead).await;
    wait_for_lead(directory.path(), "lead").await;
    let others = ["second", "third"].map(|name| start_box(directory.path(), name, &platform));
    for process in &others {
        wait_ready(process).await;
    }
    submit(&[&others[0]], 1).await;
    // The kernel still accepts connections for a stopped process, which answers none of them.
    lead.signal(Signal::SIGSTOP);
    let (next, claimed) =
        wait_until_logged(directory.path(), &["second", "third"], "\"leading\"").await;
    let (_, joined) = wait_until_logged(directory.path(), &[&next], "helper joined").await;
    let elapsed = joined.duration_since(claimed);
    assert!(elapsed < LINK_TIMEOUT, "the first link was open {elapsed:?} after the claim");
    submit(&[&others[1]], 2).await;
    wait_completed(&others[0], 2).await;
    lead.signal(Signal::SIGCONT);
    wait_completed(&others[1], 1).await;
    assert_no_violation(&platform);
}

/// Link rate in Mbit/s at which summaries of some twenty jobs a second for two boxes exceed the lead's allowance.
const SLOW_LINK_MBPS: &str = "0.05";

#[tokio::test(flavor = "multi_thread")]
async fn boxes_without_summaries_request_states_and_survive_the_loss_of_their_lead() {
    let directory = tempfile::tempdir().unwrap();
    let platform = CellPlatform::start(4).await.unwrap();
    platform.configure(1);
    // A lead, two standby boxes, and more boxes than always receive summaries.
    let names = ["a", "b", "c", "d", "e", "f", "g", "h", "i", "j", "k", "l"];
    let start = |name: &str| {
        let config = CellBoxConfig::new(name, &platform, platform.store_address, "0.25");
        config.with_link_mbps(SLOW_LINK_MBPS).start(directory.path()).expect("a box can be started")
    };
    let mut boxes: Vec<CellProcess> = names.iter().map(|name| start(name)).collect();
    for process in &boxes {
        wait_ready(process).await;
    }
    // Until the boxes have found each other.
    tokio::time::sleep(Duration::from_millis(1_000)).await;
    let mut jobs = 0;
    wait_for("a lead that sends no summaries", async || {
        jobs += 1;
        submit(&[&boxes[0], &boxes[1]], jobs).await;
        find_in_logs(directory.path(), &names, "\"told_states\":false").is_some()
    })
    .await;
    for process in &boxes {
        for id in 1..=jobs {
            wait_completed(process, id).await;
        }
        let waiting = call(process.callers, "GET", "/checks/", "").await;
        assert_eq!(waiting, Some((200, "{\"waiting\":0}".to_owned())));
        let unknown = call(process.callers, "GET", "/checks/00000000000fffff", "").await;
        assert_eq!(unknown.map(|(status, _)| status), Some(410));
    }
    let lead =
        find_in_logs(directory.path(), &names, "\"states told\"").expect("one of them leads");
    let index = names.iter().position(|name| *name == lead).expect("it is one of them");
    drop(boxes.remove(index));
    submit(&[&boxes[0], &boxes[1]], jobs + 1).await;
    for process in &boxes {
        wait_completed(process, jobs + 1).await;
        wait_completed(process, 1).await;
    }
    assert_no_violation(&platform);
}
