//! The request path of admission control: what callers are told of a job that the lead refuses, and that a refusal is true.
//!
//! The tests replace the lead or a box by a script, see [`crate::link_script`]. Refusals between real boxes are tested in
//! [`crate::admission_limits`].

use std::cell::RefCell;
use std::time::{Duration, Instant};

use sedgehill_cell::ids::{OrganisationName, PoolName, QueueName};
use sedgehill_cell::job::{AdvicePolicy, JobRecord, JobSpec, QueuePolicy, StepSpec};
use sedgehill_cell::organisation::{JobOwner, ResourceLimit};
use sedgehill_cell::replica::CellRecord;
use sedgehill_core::units::{CoreCount, MemorySize, ResourceSet, TimeSpan};
use sedgehill_standin::cell_platform::{CellPlatform, StandinOrganisation};
use sedgehill_standin::cell_process::{call, call_with_key};
use serde_json::{Value, json};

use crate::cell_support::{assert_no_violation, start_box, wait_for, wait_for_lead, wait_ready};
use crate::link_script::{
    ScriptedLead, ScriptedLink, lead_box, outcome, put_text, tag, take_number, take_text,
};

/// The topic to which boxes append jobs without the lead.
pub const JOBS_TOPIC: &str = "keyed.sedgehill-jobs";
pub const OFFICE_KEY: &str = "office-key-3f9d";
pub const OTHER_KEY: &str = "other-key-81aa";
/// Time within which a lead has fenced earlier leads on a busy machine.
const JOIN_TIMEOUT: Duration = Duration::from_secs(20);
/// Estimate of the tasks of a short job.
pub const SHORT_RUN_MS: u64 = 150;
/// The last byte of a ping of a lead that understands reports of unsettled jobs.
const TAKES_UNSETTLED: &[u8] = &[1];

pub fn job_path(id: u64) -> String {
    format!("/checks/{id:016x}")
}

pub fn body(count: u16, estimate_ms: u64) -> String {
    let step = json!({"count": count, "cpu": 1000, "mem_mb": 16, "estimate_ms": estimate_ms});
    json!({"spec": "work", "steps": [step]}).to_string()
}

/// Returns the jobs in a frame that reports unsettled jobs.
fn reported_jobs(frame: &[u8]) -> Vec<u64> {
    let mut rest = &frame[1..];
    let count = take_number(&mut rest);
    let mut entry = |_| {
        let job = take_number(&mut rest);
        take_text(&mut rest);
        job
    };
    (0..count).map(&mut entry).collect()
}

/// Frames that a scripted lead has received.
#[derive(Default)]
struct SeenFrames(RefCell<Vec<Vec<u8>>>);

impl SeenFrames {
    fn record(&self, frame: &[u8]) {
        self.0.borrow_mut().push(frame.to_vec());
    }

    fn reports_of(&self, job: u64) -> usize {
        let frames = self.0.borrow();
        let reports = frames.iter().filter(|frame| frame[0] == tag::UNSETTLED);
        reports.filter(|frame| reported_jobs(frame).contains(&job)).count()
    }
}

/// A lead defers one job and rejects another. The box must pass on the times, and must not append the jobs by itself, as it
/// does when the lead says only that it has not recorded them.
#[tokio::test(flavor = "multi_thread")]
async fn a_refused_job_is_answered_with_its_time_and_appended_nowhere() {
    let directory = tempfile::tempdir().unwrap();
    let platform = CellPlatform::start(1).await.unwrap();
    platform.configure(1);
    let lead = ScriptedLead::claim(&platform).await;
    let process = start_box(directory.path(), "only", &platform);
    let (mut link, hello) = lead.accept().await;
    assert_eq!(hello.last(), Some(&1), "the box says that it understands refusals: {hello:?}");
    let script = |job| {
        let mut bytes = vec![if job == 1 { outcome::DEFERRED } else { outcome::REJECTED }];
        put_text(&mut bytes, "2500ms");
        Some(bytes)
    };
    let seen = SeenFrames::default();
    let submitting = async {
        wait_ready(&process).await;
        for (id, may_retry) in [(1, true), (2, false)] {
            let answer = call(process.callers, "POST", &job_path(id), &body(1, 150)).await;
            let (status, body) = answer.expect("the box answers");
            let body: Value = serde_json::from_str(&body).unwrap_or_default();
            assert_eq!((status, &body["retry_after_ms"]), (429, &json!(2_500)), "{body}");
            assert_eq!(body["may_retry"], may_retry);
        }
        // An append of the box would have been made by now.
        tokio::time::sleep(Duration::from_millis(500)).await;
    };
    tokio::select! {
        () = lead_box(&mut link, TAKES_UNSETTLED, &script, |frame| seen.record(frame)) => {
            panic!("the box gave up the link:\n{}", process.log_tail())
        }
        () = submitting => {}
    }
    assert_eq!(platform.store.end(JOBS_TOPIC), 0);
    assert_eq!((seen.reports_of(1), seen.reports_of(2)), (0, 0));
    let log = std::fs::read_to_string(directory.path().join("only.log")).unwrap();
    let refused =
        |line: &&str| line.contains("\"submission\"") && line.contains("\"retry_after_ms\":2500");
    assert_eq!(log.lines().filter(refused).count(), 2, "{log}");
}

/// A box appends a job by itself. It has to report the job to the lead, also on the next connection: the caller may repeat
/// the call at another box before the lead has read the record.
#[tokio::test(flavor = "multi_thread")]
async fn a_lead_is_told_of_the_jobs_that_a_box_appends_itself() {
    let directory = tempfile::tempdir().unwrap();
    let platform = CellPlatform::start(1).await.unwrap();
    platform.configure(1);
    let lead = ScriptedLead::claim(&platform).await;
    let process = start_box(directory.path(), "only", &platform);
    let (mut link, _) = lead.accept().await;
    let seen = SeenFrames::default();
    let submitting = async {
        wait_ready(&process).await;
        let answer = call(process.callers, "POST", &job_path(1), &body(1, 150)).await;
        assert_eq!(answer.expect("the box answers").0, 200);
        wait_for("the report", async || seen.reports_of(1) > 0).await;
    };
    let not_done = |_| Some(vec![outcome::NOT_DONE]);
    tokio::select! {
        () = lead_box(&mut link, TAKES_UNSETTLED, &not_done, |frame| seen.record(frame)) => {
            panic!("the box gave up the link:\n{}", process.log_tail())
        }
        () = submitting => {}
    }
    drop(link);
    let (mut link, _) = lead.accept().await;
    let reports = seen.reports_of(1);
    let waiting = wait_for("the report", async || seen.reports_of(1) > reports);
    tokio::select! {
        () = lead_box(&mut link, TAKES_UNSETTLED, &not_done, |frame| seen.record(frame)) => {
            panic!("the box gave up the link:\n{}", process.log_tail())
        }
        () = waiting => {}
    }
}

/// A lead ends after it has received a job and before it has answered. The box submits the job in another way, and the next
/// lead learns of it.
#[tokio::test(flavor = "multi_thread")]
async fn a_job_whose_lead_is_lost_is_accepted_and_reported_to_the_next() {
    let directory = tempfile::tempdir().unwrap();
    let platform = CellPlatform::start(1).await.unwrap();
    platform.configure(1);
    let lead = ScriptedLead::claim(&platform).await;
    let process = start_box(directory.path(), "only", &platform);
    let (mut link, _) = lead.accept().await;
    let seen = SeenFrames::default();
    let calling = async {
        wait_ready(&process).await;
        call(process.callers, "POST", &job_path(1), &body(1, 150)).await
    };
    let leading = async {
        lead_box(&mut link, TAKES_UNSETTLED, &|_| None, |frame| seen.record(frame)).await;
        drop(link);
        let (mut link, _) = lead.accept().await;
        let not_done = |_| Some(vec![outcome::NOT_DONE]);
        lead_box(&mut link, TAKES_UNSETTLED, &not_done, |frame| seen.record(frame)).await;
    };
    let submitting = async {
        let answer = calling.await;
        assert_eq!(answer.expect("the box answers").0, 200);
        wait_for("the report", async || seen.reports_of(1) > 0).await;
    };
    tokio::select! {
        () = leading => panic!("the box gave up the link:\n{}", process.log_tail()),
        () = submitting => {}
    }
    assert_eq!(platform.store.end(JOBS_TOPIC), 1);
}

/// A lead of the previous release ends a link on which it reads an unknown frame. A box must send it none, and use the
/// link as before.
#[tokio::test(flavor = "multi_thread")]
async fn a_lead_of_the_previous_release_is_sent_no_unknown_frame() {
    let directory = tempfile::tempdir().unwrap();
    let platform = CellPlatform::start(1).await.unwrap();
    platform.configure(1);
    let lead = ScriptedLead::claim(&platform).await;
    let process = start_box(directory.path(), "only", &platform);
    let (mut link, _) = lead.accept().await;
    let seen = SeenFrames::default();
    let submitting = async {
        wait_ready(&process).await;
        for id in 1..=2 {
            let answer = call(process.callers, "POST", &job_path(id), &body(1, 150)).await;
            assert_eq!(answer.expect("the box answers").0, 200);
        }
        tokio::time::sleep(Duration::from_millis(500)).await;
    };
    // The first job is appended by the box, the second one by the lead.
    let script = |job| Some(vec![if job == 1 { outcome::NOT_DONE } else { outcome::KEPT }]);
    tokio::select! {
        () = lead_box(&mut link, &[], &script, |frame| seen.record(frame)) => {
            panic!("the box gave up the link:\n{}", process.log_tail())
        }
        () = submitting => {}
    }
    let frames = seen.0.borrow();
    assert!(frames.iter().all(|frame| frame[0] < tag::UNSETTLED), "{frames:?}");
    assert!(frames.iter().any(|frame| frame[0] == tag::PROBE));
    assert_eq!(platform.store.end(JOBS_TOPIC), 1);
}

pub fn configure(platform: &CellPlatform) {
    let organisation =
        |name, key: &str, cores| StandinOrganisation { name, keys: vec![key.to_owned()], cores };
    platform.configure_organisations(
        1,
        &[organisation("office", OFFICE_KEY, 3), organisation("other", OTHER_KEY, 3)],
    );
}

/// Returns the record of a short job of the organisation `office`, as a box sends it to the lead.
pub fn short_record() -> Vec<u8> {
    let step = StepSpec {
        count: 1,
        need: ResourceSet {
            cores: CoreCount(1_000),
            memory: MemorySize(16 << 20),
            accelerators: 0,
        },
        estimate: TimeSpan(SHORT_RUN_MS),
        ..StepSpec::default()
    };
    let policy = QueuePolicy {
        pool: PoolName("pool".into()),
        priority: 0,
        max_attempts: 3,
        stretch_milli: 2_000,
        target_latency: TimeSpan(1_000),
        advice: Some(AdvicePolicy {
            per_question_us: 1_000,
            per_worker_us: 100,
            valid: TimeSpan(2_000),
        }),
    };
    let maximum = ResourceLimit { cores: Some(CoreCount(3_000)), memory: None, accelerators: None };
    let owner = JobOwner { organisation: OrganisationName("office".into()), maximum };
    let now = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH).unwrap();
    let record = CellRecord::Job(JobRecord {
        queue: QueueName("checks".into()),
        policy,
        owner: Some(owner),
        spec: JobSpec { payload: "work".into(), steps: vec![step], repeat: None },
        accepted_unix_ms: now.as_millis() as u64,
    });
    record.encode()
}

/// Connects a scripted box to the lead, with the given bytes after the fields of the previous release. Returns the link and
/// the lead's first ping. Until a box has fenced earlier leads, it closes the links of other boxes.
pub async fn join_lead(
    platform: &CellPlatform,
    name: &str,
    added: &[u8],
) -> (ScriptedLink, Vec<u8>) {
    let lead = platform.lead().expect("a box leads");
    let address = lead.peer_address.parse().unwrap();
    let deadline = Instant::now() + JOIN_TIMEOUT;
    loop {
        let mut link = ScriptedLink::join(address, name, added).await;
        if let Some(ping) = link.read_tagged(tag::PING).await {
            return (link, ping);
        }
        assert!(Instant::now() < deadline, "the lead keeps no link");
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
}

/// A lead must understand the first frame of a box of the previous release, and take its jobs.
#[tokio::test(flavor = "multi_thread")]
async fn a_box_of_the_previous_release_submits_through_the_lead() {
    let directory = tempfile::tempdir().unwrap();
    let platform = CellPlatform::start(2).await.unwrap();
    configure(&platform);
    let lead = start_box(directory.path(), "lead", &platform);
    wait_ready(&lead).await;
    wait_for_lead(directory.path(), "lead").await;
    let (mut link, ping) = join_lead(&platform, "earlier", &[]).await;
    assert_eq!(ping.last(), Some(&1), "the lead says that it understands reports: {ping:?}");
    assert_eq!(link.submit(0, 7, &short_record()).await, [outcome::KEPT]);
    wait_for("completion", async || {
        let answer = call_with_key(lead.callers, "GET", &job_path(7), "", Some(OFFICE_KEY)).await;
        answer.is_some_and(|(_, body)| body.contains("completed"))
    })
    .await;
    assert_no_violation(&platform);
}

/// A box has replaced a silent connection and repeated its submissions. If the lead refuses the repeated one, a late copy
/// on the replaced connection must not be accepted: the caller was told that the job does not run.
#[tokio::test(flavor = "multi_thread")]
async fn a_late_submission_on_a_replaced_connection_is_not_accepted() {
    let directory = tempfile::tempdir().unwrap();
    let platform = CellPlatform::start(2).await.unwrap();
    configure(&platform);
    let lead = start_box(directory.path(), "lead", &platform);
    wait_ready(&lead).await;
    wait_for_lead(directory.path(), "lead").await;
    let (mut replaced, _) = join_lead(&platform, "present", &[1]).await;
    let (mut link, _) = join_lead(&platform, "present", &[1]).await;
    replaced.send_submission(0, 7, &short_record()).await;
    assert_eq!(link.submit(1, 8, &short_record()).await, [outcome::KEPT]);
    // The late copy would be in the store by now.
    tokio::time::sleep(Duration::from_millis(500)).await;
    for (id, status) in [(7, 410), (8, 200)] {
        let answer = call_with_key(lead.callers, "GET", &job_path(id), "", Some(OFFICE_KEY)).await;
        assert_eq!(answer.map(|(status, _)| status), Some(status), "job {id}");
    }
    assert_no_violation(&platform);
}
