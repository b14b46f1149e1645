//! Metrics, by the names that docs/OPERATING.md explains.

use metrics::{counter, gauge, histogram};
use metrics_exporter_prometheus::{Matcher, PrometheusBuilder, PrometheusHandle};

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

/// Counts a request by how it ended.
pub fn count_request(outcome: &'static str, reason: &'static str) {
    counter!("sedgehill_requests_total", "outcome" => outcome, "reason" => reason).increment(1);
}

/// Notes how long a request waited for an endpoint.
pub fn note_wait(seconds: f64) {
    histogram!("sedgehill_request_wait_seconds").record(seconds);
}

/// Counts an attempt at an endpoint that never began and was made elsewhere.
pub fn count_retry() {
    counter!("sedgehill_request_retries_total").increment(1);
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
