//! Metrics, by the names that docs/OPERATIONS.md explains.

use std::time::Duration;

use metrics::{Counter, Histogram, counter, gauge, histogram};
use metrics_exporter_prometheus::{Matcher, PrometheusBuilder, PrometheusHandle};
use sedgehill_cell::organisation::KeyOwner;

const REQUESTS: &str = "sedgehill_requests_total";
const UPKEEP_EVERY: Duration = Duration::from_secs(2);
/// Bounds of the buckets of times, in seconds.
const TIME_BUCKETS: [f64; 10] = [0.0005, 0.001, 0.005, 0.01, 0.05, 0.1, 0.5, 1.0, 5.0, 30.0];

/// Installs the recorder of the process and returns what renders it.
pub fn install() -> PrometheusHandle {
    let recorder = PrometheusBuilder::new()
        .set_buckets_for_metric(Matcher::Suffix("_seconds".to_owned()), &TIME_BUCKETS)
        .expect("there is at least one bucket")
        .build_recorder();
    let handle = recorder.handle();
    metrics::set_global_recorder(recorder).expect("the recorder is installed once");
    handle
}

/// The metrics of requests. The handles of what every request touches are looked up once.
pub struct RequestMetrics {
    answered: Counter,
    wait: Histogram,
}

impl RequestMetrics {
    /// Looks up the handles in the recorder of the process.
    pub fn new() -> RequestMetrics {
        RequestMetrics {
            answered: counter!(REQUESTS, "outcome" => "answered", "reason" => ""),
            wait: histogram!("sedgehill_request_wait_seconds"),
        }
    }

    /// Counts a request by how it ended.
    pub fn count(&self, outcome: &'static str, reason: &'static str) {
        match outcome {
            "answered" => self.answered.increment(1),
            _ => counter!(REQUESTS, "outcome" => outcome, "reason" => reason).increment(1),
        }
    }

    /// Notes how long a request waited for an endpoint.
    pub fn note_wait(&self, seconds: f64) {
        self.wait.record(seconds);
    }
}

/// Drains what histograms have gathered, for as long as the box runs: without it they would grow
/// until somebody reads the metrics.
pub async fn run_upkeep(handle: PrometheusHandle) {
    loop {
        tokio::time::sleep(UPKEEP_EVERY).await;
        handle.run_upkeep();
    }
}

/// Counts an attempt at an endpoint that never began and was made elsewhere.
pub fn count_retry() {
    counter!("sedgehill_request_retries_total").increment(1);
}

/// Counts a connection of a caller that a stop ended, by why.
pub fn count_connection_end(cause: &'static str) {
    counter!("sedgehill_connections_ended_total", "cause" => cause).increment(1);
}

/// Counts a placement decision.
pub fn count_placement(result: &'static str) {
    counter!("sedgehill_placements_total", "result" => result).increment(1);
}

/// Counts an append to the log by how it went.
pub fn count_append(result: &'static str) {
    counter!("sedgehill_log_appends_total", "result" => result).increment(1);
}

/// Notes a value as it is now.
pub fn set_gauge(name: &'static str, value: f64) {
    gauge!(name).set(value);
}

/// Counts an answer to a caller of a box in cell mode.
pub fn count_caller_answer(call: &'static str, answer: &'static str) {
    counter!("sedgehill_cell_calls_total", "call" => call, "answer" => answer).increment(1);
}

/// Notes how long the store took to acknowledge an append, and what came of it.
pub fn note_store_append(topic: &'static str, outcome: &'static str, seconds: f64) {
    counter!("sedgehill_cell_appends_total", "topic" => topic, "outcome" => outcome).increment(1);
    histogram!("sedgehill_cell_append_seconds", "topic" => topic).record(seconds);
}

/// Counts a decision of the scheduler.
pub fn count_cell_event(event: &'static str, detail: &'static str) {
    counter!("sedgehill_cell_events_total", "event" => event, "detail" => detail).increment(1);
}

/// Counts a change of the lead of this box: `begun`, `withheld` or `ended`.
pub fn count_lead(change: &'static str, reason: &'static str) {
    counter!("sedgehill_cell_lead_changes_total", "change" => change, "reason" => reason)
        .increment(1);
}

/// Counts a take-over that is settled, by what settled it.
pub fn count_settled(by: &'static str) {
    counter!("sedgehill_cell_take_overs_settled_total", "by" => by).increment(1);
}

/// Counts a run that is taken as gone.
pub fn count_run_lost(reason: &'static str) {
    counter!("sedgehill_cell_runs_lost_total", "reason" => reason).increment(1);
}

/// Counts what the loss of a worker says of a task that ran there, and what told it.
pub fn count_crash(result: &'static str, told_by: &'static str) {
    counter!("sedgehill_cell_crashes_total", "result" => result, "told_by" => told_by).increment(1);
}

/// Counts a run of an earlier lead that a worker listed, by whether it was taken over.
pub fn count_run_found(result: &'static str) {
    counter!("sedgehill_cell_runs_found_total", "result" => result).increment(1);
}

/// Counts a start of a job that an earlier lead may have begun, by what settled that.
pub fn count_earlier_start(settled_by: &'static str) {
    counter!("sedgehill_cell_earlier_starts_total", "settled_by" => settled_by).increment(1);
}

/// Counts an entry of the list of workers that became unreadable, by why.
pub fn count_unreadable_entry(reason: &'static str) {
    counter!("sedgehill_cell_unreadable_entries_total", "reason" => reason).increment(1);
}

/// Notes a time of a job or a question: `sedgehill_cell_wait_seconds` until its first start and the like.
pub fn note_cell_time(name: &'static str, seconds: f64) {
    histogram!(name).record(seconds);
}

/// Organisations that have labels of their own in metrics; further ones share one. The users plan with 91.
pub const LABELLED_ORGANISATIONS: usize = 128;
/// The label of the others.
const OTHERS: &str = "others";

/// Counts an answer to a caller of an organisation.
pub fn count_organisation_answer(caller: &KeyOwner, answer: &'static str) {
    let name = match caller.index < LABELLED_ORGANISATIONS {
        true => &caller.organisation.0,
        false => OTHERS,
    };
    let labels = [("organisation", name.to_owned()), ("answer", answer.to_owned())];
    counter!("sedgehill_cell_organisation_answers_total", &labels).increment(1);
}

/// Notes what an organisation has running, and what it may.
pub fn set_organisation_gauge(metric: &'static str, name: &str, value: f64) {
    gauge!(metric, "organisation" => name.to_owned()).set(value);
}

/// Notes how many steps are stalled for a reason, and for how long the one that has been so the longest.
pub fn set_stalled(reason: &'static str, steps: usize, longest_seconds: f64) {
    gauge!("sedgehill_cell_stalled_steps", "reason" => reason).set(steps as f64);
    gauge!("sedgehill_cell_stalled_longest_seconds", "reason" => reason).set(longest_seconds);
}

/// Notes how many long-running tasks have no run, and for how long the one that has had none the longest.
pub fn set_restarts(tasks: usize, longest_seconds: f64) {
    gauge!("sedgehill_cell_restarts_due").set(tasks as f64);
    gauge!("sedgehill_cell_restart_longest_seconds").set(longest_seconds);
}
