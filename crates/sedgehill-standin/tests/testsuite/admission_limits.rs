//! Real boxes refuse the jobs of an organisation whose limit is used up for longer than the jobs are useful.

use std::time::Duration;

use sedgehill_standin::cell_platform::CellPlatform;
use sedgehill_standin::cell_process::{CellProcess, call_with_key};
use serde_json::Value;

use crate::admission_path::{
    JOBS_TOPIC, OFFICE_KEY, OTHER_KEY, SHORT_RUN_MS, body, configure, job_path, join_lead,
    short_record,
};
use crate::cell_support::{assert_no_violation, start_box, wait_for, wait_for_lead, wait_ready};
use crate::link_script::{outcome, put_number, put_text, tag};

/// Duration of the tasks that use up the limit. Even if they end in two thirds of this time, a short job that waits for
/// them is past its useful time: three times its objective of 1.3 s.
const LONG_RUN_MS: u64 = 9_000;

/// Submits a job, and returns the status and the body.
async fn submit(process: &CellProcess, id: u64, body: &str, key: &str) -> (u16, Value) {
    let answer = call_with_key(process.callers, "POST", &job_path(id), body, Some(key)).await;
    let (status, body) = answer.expect("the box answers");
    (status, serde_json::from_str(&body).unwrap_or_default())
}

/// Uses up the limit of the organisation `office` with the tasks of job 1.
async fn use_up_limit(platform: &CellPlatform, process: &CellProcess) {
    platform.workers.set_run_ms(LONG_RUN_MS..LONG_RUN_MS + 1);
    let filling = body(3, LONG_RUN_MS);
    wait_for("acceptance", async || submit(process, 1, &filling, OFFICE_KEY).await.0 == 200).await;
    wait_for("the start", async || platform.workers.starts() == 3).await;
}

/// An organisation has used up its limit for longer than a short job is useful. The job is refused with a time at every
/// box, never runs, and is accepted under the same id once there is room. Another organisation is not refused.
#[tokio::test(flavor = "multi_thread")]
async fn an_organisation_at_its_limit_is_refused_with_a_time_and_another_is_not() {
    let directory = tempfile::tempdir().unwrap();
    let platform = CellPlatform::start(4).await.unwrap();
    configure(&platform);
    let lead = start_box(directory.path(), "lead", &platform);
    wait_ready(&lead).await;
    wait_for_lead(directory.path(), "lead").await;
    let other = start_box(directory.path(), "other", &platform);
    wait_ready(&other).await;
    // Until the boxes have found each other.
    tokio::time::sleep(Duration::from_millis(1_000)).await;
    use_up_limit(&platform, &lead).await;
    let short = body(1, SHORT_RUN_MS);
    for (process, id) in [(&lead, 2), (&other, 3)] {
        for refused in [id, 4] {
            let (status, refusal) = submit(process, refused, &short, OFFICE_KEY).await;
            assert_eq!(status, 429, "{}", process.log_tail());
            assert!(refusal["retry_after_ms"].as_u64() > Some(0), "{refusal}");
        }
        // A repeat of an accepted job is not a new one.
        assert_eq!(submit(process, 1, &body(3, LONG_RUN_MS), OFFICE_KEY).await.0, 200);
        // A refused id is not taken.
        assert_eq!(submit(process, id, &short, OTHER_KEY).await.0, 200);
    }
    assert_eq!(platform.store.end(JOBS_TOPIC), 0);
    wait_for("room", async || submit(&other, 5, &short, OFFICE_KEY).await.0 == 200).await;
    assert!(!platform.workers.started_jobs().contains(&format!("{:016x}", 4)));
    assert_no_violation(&platform);
}

/// The lead must not refuse a job that a box may have appended itself, nor send a refusal to a box that cannot read it.
#[tokio::test(flavor = "multi_thread")]
async fn an_unsettled_job_and_a_box_of_the_previous_release_are_not_refused() {
    let directory = tempfile::tempdir().unwrap();
    let platform = CellPlatform::start(4).await.unwrap();
    configure(&platform);
    let lead = start_box(directory.path(), "lead", &platform);
    wait_ready(&lead).await;
    wait_for_lead(directory.path(), "lead").await;
    use_up_limit(&platform, &lead).await;
    let record = short_record();
    let (mut link, _) = join_lead(&platform, "present", &[1]).await;
    let refusal = link.submit(0, 2, &record).await;
    assert!([outcome::DEFERRED, outcome::REJECTED].contains(&refusal[0]), "{refusal:?}");
    let mut report = vec![tag::UNSETTLED, 1];
    put_number(&mut report, 3);
    put_text(&mut report, "100ms");
    // The list at the box was not full.
    report.push(0);
    link.write(&report).await;
    assert_eq!(link.submit(1, 3, &record).await, [outcome::KEPT]);
    let (mut earlier, _) = join_lead(&platform, "earlier", &[]).await;
    assert_eq!(earlier.submit(0, 4, &record).await, [outcome::NOT_DONE]);
    // The earlier box appends the job by itself now, so it is not refused at another box.
    assert_eq!(link.submit(2, 4, &record).await, [outcome::KEPT]);
    assert!(!platform.workers.started_jobs().contains(&format!("{:016x}", 2)));
    assert_no_violation(&platform);
}
