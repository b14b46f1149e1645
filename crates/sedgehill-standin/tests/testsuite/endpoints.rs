//! Endpoints that fail, leave or send malformed answers, and callers that misbehave.

use std::time::Duration;

use sedgehill_standin::caller::{CallPlan, CallReport};
use sedgehill_standin::cluster::TestCluster;
use sedgehill_standin::endpoint::EndpointFault;
use sedgehill_standin::ledger::CallerOutcome;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

use crate::support::{CHECK, call_many, small_plan, start_published};

async fn calls_with_fault(
    fault: EndpointFault,
    faulty_count: usize,
) -> (TestCluster, Vec<CallReport>) {
    let cluster = start_published(&small_plan()).await;
    for endpoint in cluster.endpoints.iter().take(faulty_count) {
        endpoint.set_fault(fault);
    }
    let reports = call_many(&cluster, CHECK, 150, Duration::from_millis(5)).await;
    (cluster, reports)
}

fn count(reports: &[CallReport], outcome: CallerOutcome) -> usize {
    reports.iter().filter(|report| report.outcome == outcome).count()
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_refusing_endpoint_costs_no_answer() {
    let (cluster, reports) = calls_with_fault(EndpointFault::Refuses, 2).await;
    assert_eq!(count(&reports, CallerOutcome::Answered), reports.len(), "{reports:?}");
    cluster.assert_no_violation();
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_truncated_answer_is_never_reported_as_complete() {
    let (cluster, reports) = calls_with_fault(EndpointFault::CutsAnswers, 2).await;
    let unknown: Vec<_> =
        reports.iter().filter(|report| report.outcome == CallerOutcome::Unknown).collect();
    assert!(!unknown.is_empty(), "no call met the fault");
    assert!(unknown.iter().all(|report| report.reason == "answer-cut"), "{unknown:?}");
    assert_eq!(count(&reports, CallerOutcome::Answered) + unknown.len(), reports.len());
    cluster.assert_no_violation();
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_closed_connection_is_unknown_and_never_sent_again() {
    let (cluster, reports) = calls_with_fault(EndpointFault::Closes, 2).await;
    assert!(count(&reports, CallerOutcome::Unknown) > 0, "no call met the fault");
    assert_eq!(count(&reports, CallerOutcome::NotRun), 0);
    cluster.assert_no_violation();
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn garbage_from_an_endpoint_reaches_no_caller() {
    let (cluster, reports) = calls_with_fault(EndpointFault::Garbage, 2).await;
    assert!(count(&reports, CallerOutcome::Unknown) > 0, "no call met the fault");
    cluster.assert_no_violation();
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_endpoint_that_fails_fast_does_not_attract_the_load() {
    let (cluster, reports) = calls_with_fault(EndpointFault::FailsFast, 1).await;
    let failed = reports.iter().filter(|report| report.status == Some(500)).count();
    // Three failures eject the endpoint; the first probe follows after a second.
    assert!(failed > 0 && failed <= 15, "{failed} of {} calls failed", reports.len());
    cluster.assert_no_violation();
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_stopped_endpoint_costs_no_answer() {
    let mut cluster = start_published(&small_plan()).await;
    cluster.stop_endpoint(0).await;
    let reports = call_many(&cluster, CHECK, 100, Duration::from_millis(5)).await;
    assert_eq!(count(&reports, CallerOutcome::Answered), reports.len(), "{reports:?}");
    cluster.assert_no_violation();
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_leaving_endpoint_gets_no_new_work() {
    let cluster = start_published(&small_plan()).await;
    for endpoint in cluster.endpoints.iter().take(3) {
        cluster.list.set_endpoint_leaving(endpoint.id(), true);
        cluster.ledger.endpoint_leaving(endpoint.id());
    }
    // The ledger counts requests to a leaving endpoint only after its grace period.
    tokio::time::sleep(Duration::from_millis(2_500)).await;
    let reports = call_many(&cluster, CHECK, 150, Duration::from_millis(20)).await;
    assert_eq!(count(&reports, CallerOutcome::Answered), reports.len());
    cluster.assert_no_violation();
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn work_waits_when_no_endpoint_is_free_and_is_refused_at_its_deadline() {
    let mut cluster = start_published(&small_plan()).await;
    let endpoints: Vec<_> =
        cluster.endpoints.iter().map(|endpoint| endpoint.id().clone()).collect();
    for id in &endpoints {
        cluster.list.set_endpoint_leaving(id, true);
    }
    tokio::time::sleep(Duration::from_millis(1_200)).await;
    let caller = cluster.caller();
    let plan = CallPlan::new(CHECK, Duration::from_millis(5));
    let address = cluster.boxes[0].addresses.traffic;
    let waiting = tokio::spawn(async move { caller.call(address, &plan, false).await });
    tokio::time::sleep(Duration::from_millis(800)).await;
    for id in &endpoints {
        cluster.list.set_endpoint_leaving(id, false);
    }
    let report = waiting.await.expect("the call ends");
    assert_eq!(report.outcome, CallerOutcome::Answered, "{report:?}");
    for index in 0..endpoints.len() {
        cluster.stop_endpoint(index).await;
    }
    let plan = CallPlan::new(CHECK, Duration::from_millis(5));
    let report = cluster.caller().call(address, &plan, false).await;
    assert_eq!(report.outcome, CallerOutcome::NotRun, "{report:?}");
    assert!(report.retry_after.is_some(), "{report:?}");
    cluster.assert_no_violation();
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn garbage_from_a_caller_is_refused_and_reaches_no_endpoint() {
    let cluster = start_published(&small_plan()).await;
    let address = cluster.boxes[0].addresses.traffic;
    let requests: [&[u8]; 5] = [
        b"\x00\x01\x02\xff\xfe garbage\r\n\r\n",
        b"GET /inkaso/windyk/none HTTP/1.1\r\nhost: x\r\n\r\n",
        b"GET / HTTP/1.1\r\nhost: x\r\n\r\n",
        b"POST /inkaso/windyk/offer HTTP/1.1\r\nhost: x\r\ncontent-length: 0\r\n\r\n",
        b"POST /inkaso/windyk/check HTTP/1.1\r\nhost: x\r\nidempotency-key: no\r\ncontent-length: 0\r\n\r\n",
    ];
    for request in requests {
        let mut stream = TcpStream::connect(address).await.expect("the box listens");
        stream.write_all(request).await.expect("the box reads");
        let mut buffer = vec![0; 1024];
        let read = stream.read(&mut buffer).await.expect("the box answers");
        let text = String::from_utf8_lossy(&buffer[..read]);
        assert!(text.starts_with("HTTP/1.1 4"), "{text}");
    }
    assert_eq!(cluster.ledger.request_runs(""), 0, "an endpoint was reached");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_body_that_is_too_long_is_refused() {
    let cluster = start_published(&small_plan()).await;
    let mut plan = CallPlan::new(CHECK, Duration::ZERO);
    plan.body = vec![b'x'; 2 << 20].into();
    let report = cluster.caller().call(cluster.boxes[0].addresses.traffic, &plan, false).await;
    assert_eq!((report.outcome, report.status), (CallerOutcome::NotRun, Some(413)), "{report:?}");
    assert_eq!(cluster.ledger.request_runs(&plan.token), 0);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_caller_that_disconnects_frees_its_slot() {
    let cluster = start_published(&small_plan()).await;
    let address = cluster.boxes[0].addresses.traffic;
    for _ in 0..60 {
        let plan = CallPlan::new(CHECK, Duration::from_millis(400));
        let caller = cluster.caller();
        let call = async move { caller.call(address, &plan, false).await };
        let _ = tokio::time::timeout(Duration::from_millis(10), call).await;
    }
    tokio::time::sleep(Duration::from_millis(500)).await;
    let status = cluster.status(0).await.expect("the box answers");
    assert_eq!(status.services[0].under_way, 0, "{:?}", status.services);
    assert_eq!(status.services[0].waiting, 0, "{:?}", status.services);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_slow_sender_times_out_and_holds_no_endpoint() {
    const READ_TIMEOUT: Duration = Duration::from_secs(10);
    let mut plan = small_plan();
    plan.settings["limits"] = serde_json::json!({ "receive": "500ms" });
    let cluster = start_published(&plan).await;
    let address = cluster.boxes[0].addresses.traffic;
    let half_a_head: &[u8] = b"POST /inkaso/windyk/check HTTP/1.1\r\nhost";
    let half_a_body: &[u8] =
        b"POST /inkaso/windyk/check HTTP/1.1\r\nhost: x\r\ncontent-length: 100\r\n\r\nten bytes.";
    for (sent, expected) in [(half_a_head, ""), (half_a_body, "HTTP/1.1 408")] {
        let mut stream = TcpStream::connect(address).await.expect("the box listens");
        stream.write_all(sent).await.expect("the box reads");
        let mut buffer = vec![0; 1024];
        let read = tokio::time::timeout(READ_TIMEOUT, stream.read(&mut buffer));
        let read = read.await.expect("the box ends the connection").unwrap_or(0);
        let text = String::from_utf8_lossy(&buffer[..read]);
        assert!(text.starts_with(expected), "{text}");
    }
    assert_eq!(cluster.ledger.request_runs(""), 0, "an endpoint was reached");
}
