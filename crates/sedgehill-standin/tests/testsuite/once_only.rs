//! Once-only requests sent to several boxes, with lost answers of the log, outages of the log and killed boxes.

use std::time::Duration;

use nix::sys::signal::Signal;
use sedgehill_standin::caller::CallPlan;
use sedgehill_standin::cluster::TestCluster;
use sedgehill_standin::ledger::CallerOutcome;
use sedgehill_standin::log_server::LogFaults;
use uuid::{Timestamp, Uuid};

use crate::support::{CHECK, OFFER, small_plan, start_published};

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn one_key_sent_to_every_box_at_once_runs_once() {
    let cluster = start_published(&small_plan()).await;
    for _ in 0..20 {
        let plan = CallPlan::once_only(OFFER, Duration::from_millis(10));
        let mut calls = tokio::task::JoinSet::new();
        for process in &cluster.boxes {
            let (caller, plan, address) =
                (cluster.caller(), plan.clone(), process.addresses.traffic);
            calls.spawn(async move { caller.call(address, &plan, true).await });
        }
        let reports = calls.join_all().await;
        let answered =
            reports.iter().filter(|report| report.outcome == CallerOutcome::Answered).count();
        assert_eq!(answered, 1, "{reports:?}");
        assert_eq!(cluster.ledger.request_runs(&plan.token), 1);
    }
    cluster.assert_no_violation();
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn lost_answers_of_the_log_run_nothing_twice() {
    let cluster = start_published(&small_plan()).await;
    cluster.log.set_faults(LogFaults { lost_answers: 50, ..LogFaults::default() });
    let mut answered = 0;
    for round in 0..30 {
        let plan = CallPlan::once_only(OFFER, Duration::from_millis(5));
        for attempt in 0..3 {
            let process = &cluster.boxes[(round + attempt) % cluster.boxes.len()];
            let report = cluster.caller().call(process.addresses.traffic, &plan, true).await;
            answered += usize::from(report.outcome == CallerOutcome::Answered);
        }
        assert!(cluster.ledger.request_runs(&plan.token) <= 1);
    }
    assert!(answered >= 25, "{answered} of 30 were answered");
    cluster.assert_no_violation();
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn while_the_log_is_down_only_once_only_requests_are_refused() {
    let cluster = start_published(&small_plan()).await;
    cluster.log.set_faults(LogFaults { down: true, ..LogFaults::default() });
    let caller = cluster.caller();
    let address = cluster.boxes[0].addresses.traffic;
    let offer = CallPlan::once_only(OFFER, Duration::from_millis(5));
    let report = caller.call(address, &offer, true).await;
    assert_eq!(
        (report.outcome, report.reason.as_str()),
        (CallerOutcome::NotRun, "log-unavailable")
    );
    assert!(report.retry_after.is_some());
    let report = caller.call(address, &CallPlan::new(CHECK, Duration::from_millis(5)), false).await;
    assert_eq!(report.outcome, CallerOutcome::Answered, "{report:?}");

    cluster.log.set_faults(LogFaults::default());
    // The refused request may be sent again under its key once the log answers.
    let mut outcome = CallerOutcome::NotRun;
    for _ in 0..20 {
        outcome = caller.call(address, &offer, true).await.outcome;
        if outcome == CallerOutcome::Answered {
            break;
        }
        tokio::time::sleep(Duration::from_millis(300)).await;
    }
    assert_eq!(outcome, CallerOutcome::Answered);
    assert_eq!(cluster.ledger.request_runs(&offer.token), 1);
    cluster.assert_no_violation();
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_key_is_remembered_when_its_box_is_killed() {
    let mut cluster = start_published(&small_plan()).await;
    let plan = CallPlan::once_only(OFFER, Duration::from_millis(1_500));
    let (caller, first) = (cluster.caller(), plan.clone());
    let address = cluster.boxes[0].addresses.traffic;
    let call = tokio::spawn(async move { caller.call(address, &first, false).await });
    let token = plan.token.clone();
    sedgehill_standin::cluster::wait_for("the request to run", async || {
        cluster.ledger.request_runs(&token) == 1
    })
    .await;
    cluster.boxes[0].kill();
    assert_eq!(call.await.expect("the call ends").outcome, CallerOutcome::Nothing);
    for process in &cluster.boxes[1..] {
        let report = cluster.caller().call(process.addresses.traffic, &plan, false).await;
        assert_eq!(
            (report.outcome, report.reason.as_str()),
            (CallerOutcome::Unknown, "key-claimed")
        );
    }
    assert_eq!(cluster.ledger.request_runs(&plan.token), 1);
    cluster.assert_no_violation();
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_key_from_outside_the_window_is_refused_as_not_run() {
    const TWO_HOURS: u64 = 7_200;
    let cluster = start_published(&small_plan()).await;
    let now =
        std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH).expect("after 1970");
    for seconds in [now.as_secs() - TWO_HOURS, now.as_secs() + TWO_HOURS] {
        let mut plan = CallPlan::once_only(OFFER, Duration::ZERO);
        plan.key = Some(Uuid::new_v7(Timestamp::from_unix(uuid::NoContext, seconds, 0)));
        let report = cluster.caller().call(cluster.boxes[0].addresses.traffic, &plan, false).await;
        let answer = (report.outcome, report.reason.as_str());
        assert_eq!(answer, (CallerOutcome::NotRun, "key-outside-window"), "{report:?}");
    }
    cluster.assert_no_violation();
}

/// A box that has not read a new service yet must not answer "not run, no such service" to a request that ran at another
/// box under its key. Two tests of this file met this fault while not all boxes had read the published configuration:
/// "had run 1 times", and `left: (NotRun, "no-such-service")`.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_box_that_has_not_read_the_service_yet_reports_no_key_as_not_run() {
    let cluster = TestCluster::start(&small_plan()).await;
    cluster.boxes[1].signal(Signal::SIGSTOP);
    cluster.client_ok(&["publish", "examples/inkaso.json"]).await;
    let plan = CallPlan::once_only(OFFER, Duration::from_millis(5));
    let report = cluster.caller().call(cluster.boxes[0].addresses.traffic, &plan, false).await;
    assert_eq!(report.outcome, CallerOutcome::Answered);
    cluster.boxes[1].signal(Signal::SIGCONT);
    let report = cluster.caller().call(cluster.boxes[1].addresses.traffic, &plan, false).await;
    assert_ne!(report.outcome, CallerOutcome::NotRun, "{report:?}");
    cluster.assert_no_violation();
}

/// The log is down, and box 2 was paused when box 1 claimed the key, so that it cannot have read the claim. It must ask
/// the other boxes. When it did not, it answered `"reason":"log-unavailable","outcome":"not-run"` for a request that
/// had run.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn while_the_log_is_down_a_box_that_missed_a_claim_asks_the_others() {
    let cluster = start_published(&small_plan()).await;
    let plan = run_beside_a_paused_box(&cluster).await;
    let report = cluster.caller().call(cluster.boxes[1].addresses.traffic, &plan, false).await;
    assert_eq!((report.outcome, report.reason.as_str()), (CallerOutcome::Unknown, "key-claimed"));
    cluster.assert_no_violation();
}

/// The log is down and the other boxes are killed. One of them may have claimed the key, and no process can tell.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn while_the_log_is_down_a_key_that_a_lost_box_may_have_claimed_is_unknown() {
    let mut cluster = start_published(&small_plan()).await;
    let plan = CallPlan::once_only(OFFER, Duration::from_millis(5));
    cluster.log.set_faults(LogFaults { down: true, ..LogFaults::default() });
    cluster.boxes[0].kill();
    cluster.boxes[2].kill();
    let report = cluster.caller().call(cluster.boxes[1].addresses.traffic, &plan, false).await;
    assert_eq!((report.outcome, report.reason.as_str()), (CallerOutcome::Unknown, "key-unread"));
    cluster.assert_no_violation();
}

/// Sends a request to the first box while the second is paused, takes the log down, and resumes the second.
async fn run_beside_a_paused_box(cluster: &TestCluster) -> CallPlan {
    cluster.boxes[1].signal(Signal::SIGSTOP);
    let plan = CallPlan::once_only(OFFER, Duration::from_millis(5));
    let report = cluster.caller().call(cluster.boxes[0].addresses.traffic, &plan, false).await;
    assert_eq!(report.outcome, CallerOutcome::Answered, "{report:?}");
    cluster.log.set_faults(LogFaults { down: true, ..LogFaults::default() });
    cluster.boxes[1].signal(Signal::SIGCONT);
    plan
}

/// A refusal that does not depend on the key says nothing about earlier attempts: the request with this key has run.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_refusal_for_other_reasons_does_not_report_a_key_as_not_run() {
    let cluster = start_published(&small_plan()).await;
    let plan = CallPlan::once_only(OFFER, Duration::from_millis(5));
    let report = cluster.caller().call(cluster.boxes[0].addresses.traffic, &plan, true).await;
    assert_eq!(report.outcome, CallerOutcome::Answered, "{report:?}");
    let elsewhere = CallPlan { path: "inkaso/windyk/no-such-kind".to_owned(), ..plan.clone() };
    let report = cluster.caller().call(cluster.boxes[1].addresses.traffic, &elsewhere, false).await;
    assert_eq!((report.outcome, report.reason.as_str()), (CallerOutcome::Unknown, "key-claimed"));
    assert_eq!(cluster.ledger.request_runs(&plan.token), 1);
}
