//! The store answers a claim after another box has claimed the lead.
//!
//! A box claims the lead, and the store keeps the claim but answers late. The box does not lead meanwhile, so another
//! box considers it lost and claims the next token. When the answer arrives, the first box must not treat its own
//! record as the newest: it would claim the token after its own, which the other box holds, and workers could not
//! distinguish the calls of the two leads.

use std::time::Duration;

use sedgehill_standin::cell_platform::{CellPlatform, LEAD_TOPIC};
use sedgehill_standin::cell_process::CellProcess;

use crate::cell_support::{
    assert_no_violation, start_box, submit, wait_completed, wait_for, wait_for_lead, wait_ready,
};

/// Delay of the answer to the claim. A box that does not renew is considered lost after a second, and its claim
/// times out after 2.5 s.
const ANSWER_DELAY: Duration = Duration::from_millis(1_900);
/// Repetitions of the scenario: in some of them the first box sees a renewal of the other and withdraws.
const REPETITIONS: usize = 4;

#[tokio::test(flavor = "multi_thread")]
async fn a_claim_that_is_answered_late_does_not_replace_a_later_one() {
    for _ in 0..REPETITIONS {
        run_with_late_claim_answer().await;
    }
}

async fn run_with_late_claim_answer() {
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
    platform.store.delay_next_append_answer(LEAD_TOPIC, ANSWER_DELAY);
    wait_for("a second claim", async || platform.lead().is_some_and(|lead| lead.token.0 >= 3))
        .await;
    tokio::time::sleep(ANSWER_DELAY).await;
    let logs: Vec<String> = ["second", "third"]
        .iter()
        .map(|name| directory.path().join(format!("{name}.log")))
        .map(|path| std::fs::read_to_string(path).unwrap())
        .collect();
    let shared = platform.shared_tokens();
    assert!(shared.is_empty(), "{shared:#?}\n{}", logs.join("\n"));
    submit(&[&others[0], &others[1]], 1).await;
    wait_completed(&others[0], 1).await;
    assert_no_violation(&platform);
}
