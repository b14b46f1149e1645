//! Data halls that operators empty, with real boxes.

use std::time::{Duration, Instant};

use sedgehill_standin::cell_platform::{CellPlatform, hall_name};
use sedgehill_standin::cell_process::call;

use crate::cell_support::{
    assert_no_violation, start_box, start_box_at, submit, wait_completed, wait_for_lead, wait_ready,
};

/// Time limit for a hall to be in use again.
const BACK_IN_USE_TIMEOUT: Duration = Duration::from_millis(5_000);

#[tokio::test(flavor = "multi_thread")]
async fn nothing_starts_in_an_emptied_hall_also_under_the_next_lead() {
    let directory = tempfile::tempdir().unwrap();
    // Two workers in each of three halls.
    let platform = CellPlatform::start(6).await.unwrap();
    platform.configure(1);
    let lead = start_box_at(directory.path(), "lead", &platform, platform.store_address, "0.5");
    wait_ready(&lead).await;
    wait_for_lead(directory.path(), "lead").await;
    let other = start_box(directory.path(), "other", &platform);
    wait_ready(&other).await;
    for id in 1..=6 {
        submit(&[&lead], id).await;
    }
    for id in 1..=6 {
        wait_completed(&other, id).await;
    }
    let emptied = hall_name(0);
    platform.set_hall_emptied(&emptied, true);
    tokio::time::sleep(Duration::from_millis(500)).await;
    let starts_there = || platform.workers.starts_on(0) + platform.workers.starts_on(3);
    let before = starts_there();
    for id in 11..=16 {
        submit(&[&lead, &other], id).await;
    }
    // The next lead reads the requests before it starts anything.
    drop(lead);
    for id in 17..=30 {
        submit(&[&other], id).await;
    }
    for id in 11..=30 {
        wait_completed(&other, id).await;
    }
    assert_eq!(starts_there(), before);
    platform.set_hall_emptied(&emptied, false);
    let taken_back = Instant::now();
    let mut id = 40;
    while starts_there() == before {
        assert!(taken_back.elapsed() < BACK_IN_USE_TIMEOUT, "the hall is not in use again");
        submit(&[&other], id).await;
        id += 1;
    }
    assert_no_violation(&platform);
}

#[tokio::test(flavor = "multi_thread")]
async fn with_all_halls_emptied_jobs_wait_and_the_reason_is_exported() {
    let directory = tempfile::tempdir().unwrap();
    let platform = CellPlatform::start(3).await.unwrap();
    platform.configure(1);
    (0..3).for_each(|number| platform.set_hall_emptied(&hall_name(number), true));
    let lead = start_box(directory.path(), "lead", &platform);
    wait_ready(&lead).await;
    submit(&[&lead], 1).await;
    tokio::time::sleep(Duration::from_millis(2_500)).await;
    assert_eq!(platform.workers.starts(), 0);
    let (_, metrics) =
        call(lead.metrics, "GET", "/metrics", "").await.expect("the box exports metrics");
    assert!(
        metrics.contains(r#"sedgehill_cell_stalled_steps{reason="hall_emptied"} 1"#),
        "{metrics}"
    );
    assert!(
        metrics.contains(r#"sedgehill_cell_emptied_hall_workers{hall="hall-0"} 1"#),
        "{metrics}"
    );
    (0..3).for_each(|number| platform.set_hall_emptied(&hall_name(number), false));
    wait_completed(&lead, 1).await;
    assert_no_violation(&platform);
}
