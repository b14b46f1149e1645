//! How soon a cell is whole again after its lead is lost.

use std::path::Path;
use std::time::{Duration, Instant};

use nix::sys::signal::Signal;
use sedgehill_standin::cell_platform::CellPlatform;
use sedgehill_standin::cell_process::{CellBoxConfig, CellProcess, call};

use crate::cell_support::{
    assert_kept, start_box, start_box_at, submit, wait_completed, wait_for, wait_for_lead,
    wait_ready,
};

/// How soon after its claim a new lead has the links of the others. A dial takes a few milliseconds; the rest is
/// for a busy machine.
const LINKS_WITHIN: Duration = Duration::from_millis(400);
/// How long the others may take to find a lead lost.
const FOUND_LOST: Duration = Duration::from_secs(10);

/// The box whose log first says something, of those named.
fn says(directory: &Path, names: &[&str], what: &str) -> Option<String> {
    let log = |name: &str| std::fs::read_to_string(directory.join(format!("{name}.log")));
    let found = names.iter().find(|name| log(name).is_ok_and(|log| log.contains(what)));
    found.map(|name| (*name).to_owned())
}

async fn wait_until_said(directory: &Path, names: &[&str], what: &str) -> (String, Instant) {
    let deadline = Instant::now() + FOUND_LOST;
    loop {
        if let Some(name) = says(directory, names, what) {
            return (name, Instant::now());
        }
        assert!(Instant::now() < deadline, "no box says {what}");
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_link_to_a_lead_that_vanished_is_given_up_the_moment_another_leads() {
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
    // The machine goes on taking connections for a process that stands still, which answers none.
    lead.signal(Signal::SIGSTOP);
    let (next, claimed) =
        wait_until_said(directory.path(), &["second", "third"], "\"leading\"").await;
    let (_, joined) = wait_until_said(directory.path(), &[&next], "helper joined").await;
    let took = joined.duration_since(claimed);
    assert!(took < LINKS_WITHIN, "the links came {took:?} after the claim");
    submit(&[&others[1]], 2).await;
    wait_completed(&others[0], 2).await;
    lead.signal(Signal::SIGCONT);
    wait_completed(&others[1], 1).await;
    assert_kept(&platform);
}

/// A link on which telling two boxes of some twenty jobs a second takes more than the lead allows.
const THIN_LINK: &str = "0.05";

#[tokio::test(flavor = "multi_thread")]
async fn boxes_that_are_not_told_states_ask_for_them_and_outlive_their_lead() {
    let directory = tempfile::tempdir().unwrap();
    let platform = CellPlatform::start(4).await.unwrap();
    platform.configure(1);
    // A lead, two that stand by, and more than the few that are told in any case.
    let names = ["a", "b", "c", "d", "e", "f", "g", "h", "i", "j", "k", "l"];
    let start = |name: &str| {
        let site = CellBoxConfig::new(name, &platform, platform.store_address, "0.25");
        site.with_link_mbps(THIN_LINK).start(directory.path()).expect("a box can be started")
    };
    let mut boxes: Vec<CellProcess> = names.iter().map(|name| start(name)).collect();
    for process in &boxes {
        wait_ready(process).await;
    }
    // Until the boxes have found each other.
    tokio::time::sleep(Duration::from_millis(1_000)).await;
    let mut jobs = 0;
    wait_for("a lead that tells no states", async || {
        jobs += 1;
        submit(&[&boxes[0], &boxes[1]], jobs).await;
        says(directory.path(), &names, "\"told_states\":false").is_some()
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
    let lead = says(directory.path(), &names, "\"states told\"").expect("one of them leads");
    let place = names.iter().position(|name| *name == lead).expect("it is one of them");
    drop(boxes.remove(place));
    submit(&[&boxes[0], &boxes[1]], jobs + 1).await;
    for process in &boxes {
        wait_completed(process, jobs + 1).await;
        wait_completed(process, 1).await;
    }
    assert_kept(&platform);
}
