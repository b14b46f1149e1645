//! The rule ledger of the stand-ins counts a deliberate violation of each rule.

use std::time::Duration;

use sedgehill_core::ids::{AttemptId, EndpointId, WorkerId};
use sedgehill_core::placement::TaskStart;
use sedgehill_core::units::{ResourceSet, TimeSpan};
use sedgehill_platform::client::JsonClient;
use sedgehill_platform::worker::WorkerClient;
use sedgehill_standin::caller::{CallPlan, StandinCaller};
use sedgehill_standin::cluster::standard_worker;
use sedgehill_standin::endpoint::{EndpointFault, StandinEndpoint};
use sedgehill_standin::http_server;
use sedgehill_standin::ledger::{CallerOutcome, RuleLedger, SafetyRule};
use sedgehill_standin::worker::StandinWorker;
use uuid::Uuid;

fn ledger() -> RuleLedger {
    RuleLedger::new(Duration::ZERO)
}

fn count(ledger: &RuleLedger, rule: SafetyRule) -> u64 {
    ledger
        .violations()
        .into_iter()
        .find(|(found, _)| *found == rule)
        .map_or(0, |(_, count)| count.count)
}

fn attempt() -> AttemptId {
    format!("{}.0@0", Uuid::new_v4()).parse().expect("a valid attempt")
}

fn start(attempt: AttemptId, resources: ResourceSet) -> TaskStart {
    let time = TimeSpan(5_000);
    TaskStart { attempt, epoch: Default::default(), resources, lease: time, run_time: time }
}

#[tokio::test]
async fn an_overfilled_worker_and_a_task_in_two_places_are_counted() {
    let ledger = ledger();
    let client = WorkerClient::new(JsonClient::new());
    let any = "127.0.0.1:0".parse().expect("a valid address");
    let task = attempt();
    let mut guards = Vec::new();
    for name in ["w1", "w2"] {
        let worker = StandinWorker::new(
            name.parse().expect("a valid name"),
            standard_worker(),
            ledger.clone(),
        );
        guards.push(worker.serve(any).await.expect("loopback can be listened on"));
    }
    client.start(guards[0].address, &start(task, standard_worker())).await;
    assert_eq!(ledger.total_violations(), 0);
    client.start(guards[0].address, &start(attempt(), standard_worker())).await;
    assert_eq!(count(&ledger, SafetyRule::WorkerRoom), 1);
    client.start(guards[1].address, &start(task, standard_worker())).await;
    assert_eq!(count(&ledger, SafetyRule::OnePlace), 1);
}

#[tokio::test]
async fn requests_that_break_a_rule_are_counted() {
    let ledger = ledger();
    let endpoint: EndpointId = "e1".parse().expect("a valid name");
    ledger.request_began("a", &endpoint);
    ledger.request_began("a", &endpoint);
    assert_eq!(count(&ledger, SafetyRule::OnePlace), 1);
    ledger.mark_once_only("b");
    ledger.request_began("b", &endpoint);
    ledger.request_ended("b");
    ledger.request_began("b", &endpoint);
    assert_eq!(count(&ledger, SafetyRule::OnceOnly), 1);
    ledger.record_outcome("b", CallerOutcome::NotRun, false);
    assert_eq!(count(&ledger, SafetyRule::NotRun), 1, "it had run before");
    ledger.record_outcome("c", CallerOutcome::NotRun, false);
    ledger.request_began("c", &endpoint);
    assert_eq!(count(&ledger, SafetyRule::NotRun), 2, "it ran afterwards");
    ledger.endpoint_leaving(&endpoint);
    tokio::time::sleep(Duration::from_millis(5)).await;
    ledger.request_began("d", &endpoint);
    assert_eq!(count(&ledger, SafetyRule::LeavingEndpoint), 1);
}

#[tokio::test]
async fn a_wrong_answer_is_counted() {
    let ledger = ledger();
    let any = "127.0.0.1:0".parse().expect("a valid address");
    // A box that gives every caller the same answer.
    let server = http_server::serve(any, |_| async {
        let mut response = http_server::json(&"the answer of somebody else");
        let answered = http::HeaderValue::from_static("answered");
        response.headers_mut().insert("sedgehill-outcome", answered);
        response
    })
    .await
    .expect("loopback can be listened on");
    let caller = StandinCaller::new(ledger.clone());
    let report = caller.call(server.address, &CallPlan::new("a/b/c", Duration::ZERO), false).await;
    assert_eq!(report.outcome, CallerOutcome::Answered);
    assert_eq!(count(&ledger, SafetyRule::WholeAnswer), 1);
}

#[tokio::test]
async fn an_endpoint_cuts_its_answers_when_told_to() {
    let ledger = ledger();
    let any = "127.0.0.1:0".parse().expect("a valid address");
    let endpoint = StandinEndpoint::new("e1".parse().expect("a valid name"), 8, ledger.clone());
    endpoint.set_fault(EndpointFault::CutsAnswers);
    let server = endpoint.serve(any).await.expect("loopback can be listened on");
    let caller = StandinCaller::new(ledger.clone());
    let report = caller.call(server.address, &CallPlan::new("a/b/c", Duration::ZERO), false).await;
    assert_eq!(report.outcome, CallerOutcome::Nothing);
}

#[test]
fn every_rule_is_listed_even_when_it_holds() {
    let ledger = ledger();
    assert_eq!(ledger.violations().len(), SafetyRule::ALL.len());
    ledger.record_violation(SafetyRule::PlannedStop, "an example");
    ledger.record_violation(SafetyRule::Configuration, "an example");
    assert_eq!(ledger.total_violations(), 2);
    let _: WorkerId = "w1".parse().expect("a valid name");
}
