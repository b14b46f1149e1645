//! A lead takes over while the store discards records that it has not read yet.
//!
//! A lead stores a job, starts its tasks and dies before it has sent the record to other boxes. The next lead
//! fences and reads on from its offset. By then the store keeps only the newest record of each key, so that
//! offset is gone. A box that treats this as the end of the topic begins to lead without the job: it regards the runs
//! on the workers as foreign, and starts the tasks a second time as soon as it learns of the job.
//!
//! The lead's follower of the topic reads the newest records as well. If that answer is late, the lead has written
//! more records meanwhile and returns to an earlier offset. It then reads its own records and finds jobs that
//! have ended and are no longer active. It must not start them again.

use std::time::{Duration, Instant};

use nix::sys::signal::Signal;
use sedgehill_standin::cell_platform::{CellPlatform, PROGRESS_TOPIC};
use sedgehill_standin::cell_process::{CellProcess, call};
use serde_json::json;

use crate::cell_support::{
    start_box, submit_steps, wait_completed, wait_for, wait_for_lead, wait_ready,
};

/// Run time of the tasks in milliseconds, well above the second that a change of leads takes.
const RUN_MS: std::ops::Range<u64> = 2_000..2_001;
/// Number of cells to try until one loses its lead after a start and before the job's record is sent to other
/// boxes: some 10 ms of the 40 ms between two transmissions.
const MAX_CELLS: usize = 8;
/// Time limit for the first start of a job.
const FIRST_START_TIMEOUT: Duration = Duration::from_secs(10);
/// Id of the job under test.
const JOB: u64 = 7;

#[tokio::test(flavor = "multi_thread")]
async fn a_lead_that_missed_discarded_records_starts_no_task_twice() {
    for _ in 0..MAX_CELLS {
        if kill_lead_before_it_sends_the_job().await {
            return;
        }
    }
    panic!("each lead sent the job's record before it died");
}

/// Delay that each answer about the newest records has in addition to the previous one.
const NEWEST_DELAY_STEP: Duration = Duration::from_millis(700);

/// Time after that answer until it has been processed, and before the lead reads again.
const ANSWER_PROCESSING: Duration = Duration::from_millis(80);
/// Time from the end of a job until the end has been recorded.
const END_RECORDING: Duration = Duration::from_millis(400);

#[tokio::test(flavor = "multi_thread")]
async fn a_lead_that_reads_its_own_records_late_restarts_no_ended_job() {
    for _ in 0..MAX_CELLS {
        let scenario = Scenario::start(150..151).await;
        scenario.kill_lead().await;
        scenario.platform.store.delay_newest_answers(NEWEST_DELAY_STEP);
        wait_for_lead(scenario.directory.path(), "next").await;
        // The second answer arrives after the lead has written more records.
        wait_for("the fence", async || scenario.next_log_contains("\"fenced\"")).await;
        tokio::time::sleep(NEWEST_DELAY_STEP + ANSWER_PROCESSING).await;
        scenario.platform.store.hold_reads(Some(PROGRESS_TOPIC));
        let steps = json!([{"count": 2, "cpu": 1000, "mem_mb": 16, "estimate_ms": 150}]);
        submit_steps(&[&scenario.next], JOB + 1, steps).await;
        let ended = format!("\"state\":\"Completed\",\"job\":\"{:016x}\"", JOB + 1);
        wait_for("the end of the job", async || scenario.next_log_contains(&ended)).await;
        // Until the end is recorded and the job is no longer active.
        tokio::time::sleep(END_RECORDING).await;
        scenario.platform.store.hold_reads(None);
        wait_completed(&scenario.next, JOB + 1).await;
        tokio::time::sleep(END_RECORDING).await;
        if scenario.met_discarded_history() {
            scenario.assert_no_violation();
            return;
        }
    }
    panic!("each lead sent the job's record before it died");
}

/// Delay with which the follower of the topic learns of the gap, after the lead.
const GONE_DELAY: Duration = Duration::from_millis(500);
/// Delay of answers about the newest records, during which the follower lacks the lead's own records.
const REREAD_DELAY: Duration = Duration::from_millis(300);
/// Time limit for the follower to log the gap.
const SECOND_GAP_TIMEOUT: Duration = Duration::from_millis(2_500);

/// The follower's read is under way when the lead fences, and returns the gap half a second after the lead has read
/// all records. The view becomes empty, and until it is read again only the scheduler knows the lead's new jobs. A
/// repeated submission of a job that had ended then started it again: run 2 of both tasks.
#[tokio::test(flavor = "multi_thread")]
async fn a_gap_that_is_reported_late_restarts_no_ended_job() {
    for _ in 0..MAX_CELLS {
        let scenario = Scenario::start(60..61).await;
        scenario.platform.store.delay_gone_answers(GONE_DELAY);
        scenario.kill_lead().await;
        scenario.platform.store.delay_newest_answers(REREAD_DELAY);
        wait_for_lead(scenario.directory.path(), "next").await;
        if !scenario.wait_for_second_gap().await {
            continue;
        }
        let steps = json!([{"count": 2, "cpu": 1000, "mem_mb": 16, "estimate_ms": 60}]);
        submit_steps(&[&scenario.next], JOB + 1, steps.clone()).await;
        let ended = format!("\"state\":\"Completed\",\"job\":\"{:016x}\"", JOB + 1);
        wait_for("the end of the job", async || scenario.next_log_contains(&ended)).await;
        tokio::time::sleep(ANSWER_PROCESSING).await;
        submit_steps(&[&scenario.next], JOB + 1, steps).await;
        tokio::time::sleep(END_RECORDING * 3).await;
        scenario.assert_no_violation();
        return;
    }
    panic!("no follower learned of the gap after the lead");
}

/// Runs the scenario once. Returns whether the next lead needed records that the store had discarded.
async fn kill_lead_before_it_sends_the_job() -> bool {
    let scenario = Scenario::start(RUN_MS).await;
    scenario.kill_lead().await;
    wait_completed(&scenario.next, JOB).await;
    let discarded = scenario.met_discarded_history();
    if discarded {
        scenario.assert_no_violation();
    }
    discarded
}

/// A cell of two boxes, one of which leads.
struct Scenario {
    directory: tempfile::TempDir,
    platform: CellPlatform,
    lead: CellProcess,
    next: CellProcess,
}

impl Scenario {
    /// Waits until the next lead's follower logs the gap as well. Returns whether it did in time.
    async fn wait_for_second_gap(&self) -> bool {
        let started = Instant::now();
        while started.elapsed() < SECOND_GAP_TIMEOUT {
            let log = self.log();
            let gaps = log
                .lines()
                .filter(|line| line.contains("topic history gone") && line.contains("Progress"));
            if gaps.count() >= 2 {
                return true;
            }
            tokio::time::sleep(Duration::from_millis(3)).await;
        }
        false
    }

    async fn start(run_ms: std::ops::Range<u64>) -> Scenario {
        let directory = tempfile::tempdir().unwrap();
        let platform = CellPlatform::start(4).await.unwrap();
        platform.configure(1);
        platform.workers.set_run_ms(run_ms);
        let lead = start_box(directory.path(), "lead", &platform);
        wait_ready(&lead).await;
        wait_for_lead(directory.path(), "lead").await;
        let next = start_box(directory.path(), "next", &platform);
        wait_ready(&next).await;
        // Until the boxes have found each other.
        tokio::time::sleep(Duration::from_millis(1_000)).await;
        Scenario { directory, platform, lead, next }
    }

    /// Submits a job to the lead and kills the lead after the first starts. The records that it did not send cannot
    /// be read until the next lead fences, and are discarded then.
    async fn kill_lead(&self) {
        self.platform.store.hold_reads(Some(PROGRESS_TOPIC));
        self.platform.store.discard_history_at_fence(PROGRESS_TOPIC);
        let steps = json!([{"count": 4, "cpu": 1000, "mem_mb": 16, "estimate_ms": 2000}]);
        let body = json!({"spec": "work", "steps": steps}).to_string();
        let callers = self.lead.callers;
        let path = format!("/checks/{JOB:016x}");
        let submission = tokio::spawn(async move { call(callers, "POST", &path, &body).await });
        let submitted = Instant::now();
        while self.platform.workers.starts() == 0 {
            assert!(submitted.elapsed() < FIRST_START_TIMEOUT, "the job did not begin");
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
        self.lead.signal(Signal::SIGKILL);
        // A caller that received no answer submits the job again.
        if submission.await.unwrap().is_none() {
            submit_steps(&[&self.next], JOB, steps).await;
        }
    }

    fn log(&self) -> String {
        std::fs::read_to_string(self.directory.path().join("next.log")).unwrap()
    }

    fn next_log_contains(&self, text: &str) -> bool {
        self.log().contains(text)
    }

    fn met_discarded_history(&self) -> bool {
        let log = self.log();
        log.lines().any(|line| line.contains("topic history gone") && line.contains("Progress"))
    }

    fn assert_no_violation(&self) {
        let violations = self.platform.workers.violations();
        assert!(violations.is_empty(), "{violations:#?}\n{}", self.log());
    }
}
