//! A claim that is answered when another box has claimed already.
//!
//! A box claims, and the store keeps the claim but is slow to answer. It does not lead meanwhile, so another box
//! takes it for lost and claims the next token. When the answer comes, the first box must not take its own record
//! for the newest again: it would claim the token after its own, which the other box holds, and workers could not
//! tell the orders of the two apart.

use std::time::Duration;

use sedgehill_standin::cell_platform::{CellPlatform, LEAD_TOPIC};
use sedgehill_standin::cell_process::CellProcess;

use crate::cell_support::{
    assert_kept, start_box, submit, wait_completed, wait_for, wait_for_lead, wait_ready,
};

/// How late the claim is answered. A box that does not renew is taken for lost after a second, and its claim is
/// given up after 2.5 s.
const ANSWERED_AFTER: Duration = Duration::from_millis(1_900);
/// Plays of the course: the first box meets a renewal of the other now and then, and then gives way.
const PLAYS: usize = 4;

#[tokio::test(flavor = "multi_thread")]
async fn a_claim_that_is_answered_late_does_not_undo_a_later_one() {
    for _ in 0..PLAYS {
        claim_is_answered_late().await;
    }
}

async fn claim_is_answered_late() {
    let directory = tempfile::tempdir().unwrap();
    let platform = CellPlatform::start(3).await.unwrap();
    platform.configure(1);
    let lead = start_box(directory.path(), "lead", &platform);
    wait_ready(&lead).await;
    wait_for_lead(directory.path(), "lead").await;
    let others: Vec<CellProcess> =
        ["second", "third"].map(|name| start_box(directory.path(), name, &platform)).into();
    for process in &others {
        wait_ready(process).await;
    }
    // Until the boxes have found each other.
    tokio::time::sleep(Duration::from_millis(1_000)).await;
    drop(lead);
    platform.store.delay_next_append_answer(LEAD_TOPIC, ANSWERED_AFTER);
    wait_for("a second claim", async || platform.lead().is_some_and(|lead| lead.token.0 >= 3))
        .await;
    tokio::time::sleep(ANSWERED_AFTER).await;
    let logs: Vec<String> = ["second", "third"]
        .iter()
        .map(|name| directory.path().join(format!("{name}.log")))
        .map(|path| std::fs::read_to_string(path).unwrap())
        .collect();
    let shared = platform.shared_tokens();
    assert!(shared.is_empty(), "{shared:#?}\n{}", logs.join("\n"));
    submit(&[&others[0], &others[1]], 1).await;
    wait_completed(&others[0], 1).await;
    assert_kept(&platform);
}
