//! A lead takes over while the store forgets what it has not read yet.
//!
//! A lead puts a job into the store, starts its tasks and dies before it has passed the record on. The next lead
//! fences and reads on from where it stands. By then the store keeps only the newest record of each key, so that
//! offset is gone. A box that takes this as the end of the topic begins to lead without the job: it takes the runs
//! on the workers as foreign, and begins the tasks beside them as soon as it hears of the job.
//!
//! Its follower of the topic reads the newest records as well. When that answer comes late, the lead has recorded
//! more meanwhile, and goes back to an earlier offset. It then reads its own records, finds jobs in them that are over
//! and not worked on any more, and must not begin them again.

use std::time::{Duration, Instant};

use nix::sys::signal::Signal;
use sedgehill_standin::cell_platform::{CellPlatform, PROGRESS_TOPIC};
use sedgehill_standin::cell_process::{CellProcess, call};
use serde_json::json;

use crate::cell_support::{
    start_box, submit_steps, wait_completed, wait_for, wait_for_lead, wait_ready,
};

/// How long tasks run, in milliseconds: well past the second that a change of leads takes.
const RUN_MS: std::ops::Range<u64> = 2_000..2_001;
/// Cells that are tried until one loses its lead between a start and the passing on of the job's record, which is
/// some 10 ms of the 40 ms between two passings on.
const CELLS: usize = 8;
/// How soon a job has to begin.
const BEGIN_LIMIT: Duration = Duration::from_secs(10);
/// The job of the test.
const JOB: u64 = 7;

#[tokio::test(flavor = "multi_thread")]
async fn a_lead_whose_unread_records_are_forgotten_begins_no_task_beside_its_run() {
    for _ in 0..CELLS {
        if lead_dies_before_it_passes_a_job_on().await {
            return;
        }
    }
    panic!("each lead had passed the job on before it died");
}

/// How much later each reading of the newest records is answered than the one before.
const NEWEST_LATE: Duration = Duration::from_millis(700);

/// From the time of that answer until it has surely been taken in, and before the lead reads on again.
const AFTER_ANSWER: Duration = Duration::from_millis(80);
/// From the end of a job until that is surely recorded.
const AFTER_END: Duration = Duration::from_millis(400);

#[tokio::test(flavor = "multi_thread")]
async fn a_lead_that_reads_its_own_records_late_does_not_begin_again_what_is_over() {
    for _ in 0..CELLS {
        let course = Course::start(150..151).await;
        course.lead_dies().await;
        course.platform.store.delay_newest_answers(NEWEST_LATE);
        wait_for_lead(course.directory.path(), "next").await;
        // The second answer comes when the lead has recorded more.
        wait_for("the fence", async || course.next_says("\"fenced\"")).await;
        tokio::time::sleep(NEWEST_LATE + AFTER_ANSWER).await;
        course.platform.store.hold_reads(Some(PROGRESS_TOPIC));
        let steps = json!([{"count": 2, "cpu": 1000, "mem_mb": 16, "estimate_ms": 150}]);
        submit_steps(&[&course.next], JOB + 1, steps).await;
        let ended = format!("\"state\":\"Completed\",\"job\":\"{:016x}\"", JOB + 1);
        wait_for("the end", async || course.next_says(&ended)).await;
        // Until the end is recorded, and nobody works on the job any more.
        tokio::time::sleep(AFTER_END).await;
        course.platform.store.hold_reads(None);
        wait_completed(&course.next, JOB + 1).await;
        tokio::time::sleep(AFTER_END).await;
        if course.was_forgotten() {
            course.assert_kept();
            return;
        }
    }
    panic!("each lead had passed the job on before it died");
}

/// How much later than the lead's own one the sign of the gap reaches its follower of the topic.
const GONE_LATE: Duration = Duration::from_millis(500);
/// How much later readings of the newest records are answered: until then the lead's own records do not follow.
const READ_AGAIN_LATE: Duration = Duration::from_millis(300);
/// How long the second sign of the gap may take.
const SECOND_GAP_LIMIT: Duration = Duration::from_millis(2_500);

/// The follower's read was under way when the lead fenced, and told of the gap half a second after the lead had read
/// everything. The view went back to nothing. Until it was read again the lead knew its new jobs in the scheduler
/// alone, and a caller that handed in one more copy of one that had ended began it again: run 2 of both tasks.
#[tokio::test(flavor = "multi_thread")]
async fn a_late_sign_of_a_gap_does_not_have_a_lead_begin_again_what_is_over() {
    for _ in 0..CELLS {
        let course = Course::start(60..61).await;
        course.platform.store.delay_gone_answers(GONE_LATE);
        course.lead_dies().await;
        course.platform.store.delay_newest_answers(READ_AGAIN_LATE);
        wait_for_lead(course.directory.path(), "next").await;
        if !course.second_gap_comes().await {
            continue;
        }
        let steps = json!([{"count": 2, "cpu": 1000, "mem_mb": 16, "estimate_ms": 60}]);
        submit_steps(&[&course.next], JOB + 1, steps.clone()).await;
        let ended = format!("\"state\":\"Completed\",\"job\":\"{:016x}\"", JOB + 1);
        wait_for("the end", async || course.next_says(&ended)).await;
        tokio::time::sleep(AFTER_ANSWER).await;
        submit_steps(&[&course.next], JOB + 1, steps).await;
        tokio::time::sleep(AFTER_END * 3).await;
        course.assert_kept();
        return;
    }
    panic!("no follower was told of the gap after the lead");
}

/// Plays the course once. Returns whether the next lead had to read what was forgotten.
async fn lead_dies_before_it_passes_a_job_on() -> bool {
    let course = Course::start(RUN_MS).await;
    course.lead_dies().await;
    wait_completed(&course.next, JOB).await;
    let forgotten = course.was_forgotten();
    if forgotten {
        course.assert_kept();
    }
    forgotten
}

/// Two boxes, one of which leads.
struct Course {
    directory: tempfile::TempDir,
    platform: CellPlatform,
    lead: CellProcess,
    next: CellProcess,
}

impl Course {
    /// Waits until the next lead's follower is told of the gap as well. Returns whether it was.
    async fn second_gap_comes(&self) -> bool {
        let begun = Instant::now();
        while begun.elapsed() < SECOND_GAP_LIMIT {
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

    async fn start(run_ms: std::ops::Range<u64>) -> Course {
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
        Course { directory, platform, lead, next }
    }

    /// The lead takes a job, starts its first tasks and dies. What it did not pass on cannot be read until the
    /// next lead fences, and is forgotten then.
    async fn lead_dies(&self) {
        self.platform.store.hold_reads(Some(PROGRESS_TOPIC));
        self.platform.store.discard_history_at_fence(PROGRESS_TOPIC);
        let steps = json!([{"count": 4, "cpu": 1000, "mem_mb": 16, "estimate_ms": 2000}]);
        let body = json!({"spec": "work", "steps": steps}).to_string();
        let callers = self.lead.callers;
        let path = format!("/checks/{JOB:016x}");
        let handing_in = tokio::spawn(async move { call(callers, "POST", &path, &body).await });
        let submitted = Instant::now();
        while self.platform.workers.starts() == 0 {
            assert!(submitted.elapsed() < BEGIN_LIMIT, "the job did not begin");
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
        self.lead.signal(Signal::SIGKILL);
        // The answer may have come or not; a caller without one hands the job in again.
        if handing_in.await.unwrap().is_none() {
            submit_steps(&[&self.next], JOB, steps).await;
        }
    }

    fn log(&self) -> String {
        std::fs::read_to_string(self.directory.path().join("next.log")).unwrap()
    }

    fn next_says(&self, what: &str) -> bool {
        self.log().contains(what)
    }

    fn was_forgotten(&self) -> bool {
        let log = self.log();
        log.lines().any(|line| line.contains("topic history gone") && line.contains("Progress"))
    }

    fn assert_kept(&self) {
        let violations = self.platform.workers.violations();
        assert!(violations.is_empty(), "{violations:#?}\n{}", self.log());
    }
}
