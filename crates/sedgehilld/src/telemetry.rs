//! Records the metrics of the process. docs/OPERATIONS.md explains their names.

use std::time::Duration;

use metrics::{Counter, Histogram, counter, gauge, histogram};
use metrics_exporter_prometheus::{Matcher, PrometheusBuilder, PrometheusHandle};
use sedgehill_cell::ids::OrganisationName;
use sedgehill_cell::organisation::KeyOwner;
use sedgehill_cell::scheduler::OrganisationKey;

const REQUESTS_METRIC: &str = "sedgehill_requests_total";
const UPKEEP_INTERVAL: Duration = Duration::from_secs(2);
/// Upper bounds of the histogram buckets of durations, in seconds.
const SECONDS_BUCKETS: [f64; 10] = [0.0005, 0.001, 0.005, 0.01, 0.05, 0.1, 0.5, 1.0, 5.0, 30.0];

/// Installs the metrics recorder of the process. Returns the handle that renders the metrics as text.
pub fn install() -> PrometheusHandle {
    let recorder = PrometheusBuilder::new()
        .set_buckets_for_metric(Matcher::Suffix("_seconds".to_owned()), &SECONDS_BUCKETS)
        .expect("the list of buckets is not empty")
        .build_recorder();
    let handle = recorder.handle();
    metrics::set_global_recorder(recorder).expect("no other recorder is installed");
    handle
}

/// Handles of the metrics that every request updates, which are looked up only once.
pub struct RequestMetrics {
    answered: Counter,
    wait: Histogram,
}

impl RequestMetrics {
    /// Looks up the handles in the recorder of the process, which must be installed.
    pub fn new() -> RequestMetrics {
        RequestMetrics {
            answered: counter!(REQUESTS_METRIC, "outcome" => "answered", "reason" => ""),
            wait: histogram!("sedgehill_request_wait_seconds"),
        }
    }

    /// Counts a finished request by its outcome and reason.
    pub fn count(&self, outcome: &'static str, reason: &'static str) {
        match outcome {
            "answered" => self.answered.increment(1),
            _ => counter!(REQUESTS_METRIC, "outcome" => outcome, "reason" => reason).increment(1),
        }
    }

    /// Records how long a request waited for an endpoint.
    pub fn record_wait(&self, seconds: f64) {
        self.wait.record(seconds);
    }
}

/// Drains the samples of the histograms periodically. Without it they would accumulate in memory until the metrics
/// are next read.
pub async fn run_upkeep(handle: PrometheusHandle) {
    loop {
        tokio::time::sleep(UPKEEP_INTERVAL).await;
        handle.run_upkeep();
    }
}

/// Counts a retry of a request, after an attempt that surely did not start at an endpoint.
pub fn count_retry() {
    counter!("sedgehill_request_retries_total").increment(1);
}

/// Counts a caller's connection that the box closed by itself, by cause.
pub fn count_connection_end(cause: &'static str) {
    counter!("sedgehill_connections_ended_total", "cause" => cause).increment(1);
}

/// Counts a placement decision: `placed` or `waits`.
pub fn count_placement(result: &'static str) {
    counter!("sedgehill_placements_total", "result" => result).increment(1);
}

/// Counts an append to the log by its result: `acknowledged`, `refused` or `unknown`.
pub fn count_append(result: &'static str) {
    counter!("sedgehill_log_appends_total", "result" => result).increment(1);
}

/// Sets a gauge without labels.
pub fn set_gauge(name: &'static str, value: f64) {
    gauge!(name).set(value);
}

/// Counts an answer to a caller of a box in cell mode, by the kind of call and of answer.
pub fn count_caller_answer(call: &'static str, answer: &'static str) {
    counter!("sedgehill_cell_calls_total", "call" => call, "answer" => answer).increment(1);
}

/// Records how long the store took to answer an append to a topic, and counts the outcome.
pub fn note_store_append(topic: &'static str, outcome: &'static str, seconds: f64) {
    counter!("sedgehill_cell_appends_total", "topic" => topic, "outcome" => outcome).increment(1);
    histogram!("sedgehill_cell_append_seconds", "topic" => topic).record(seconds);
}

/// Counts an event of cell mode, such as a decision of the scheduler.
pub fn count_cell_event(event: &'static str, detail: &'static str) {
    counter!("sedgehill_cell_events_total", "event" => event, "detail" => detail).increment(1);
}

/// Counts a change of the lead of this box: `begun`, `withheld` or `ended`.
pub fn count_lead(change: &'static str, reason: &'static str) {
    counter!("sedgehill_cell_lead_changes_total", "change" => change, "reason" => reason)
        .increment(1);
}

/// Counts a take-over of the lead that is settled, by what settled it.
pub fn count_settled(by: &'static str) {
    counter!("sedgehill_cell_take_overs_settled_total", "by" => by).increment(1);
}

/// Counts a run that is taken as lost, by reason.
pub fn count_run_lost(reason: &'static str) {
    counter!("sedgehill_cell_runs_lost_total", "reason" => reason).increment(1);
}

/// Counts a result in the crash history of a task, such as `counted` or `cleared`, by what detected the crash.
pub fn count_crash(result: &'static str, told_by: &'static str) {
    counter!("sedgehill_cell_crashes_total", "result" => result, "told_by" => told_by).increment(1);
}

/// Counts a client that had to make room, by its ports, by what it gave up, and by what happened on its connection.
pub fn count_evicted_client(ports: &'static str, gave_up: &'static str, phase: &'static str) {
    let labels = [("ports", ports), ("gave_up", gave_up), ("phase", phase)];
    counter!("sedgehill_clients_evicted_total", &labels).increment(1);
}

/// Counts a call that got no memory because only clients hold it that are being answered, or idle.
pub fn count_exhausted_budget(ports: &'static str) {
    counter!("sedgehill_client_memory_exhausted_total", "ports" => ports).increment(1);
}

/// Counts a run that a worker reports and that this lead did not start: `adopted` or `unwanted`.
pub fn count_run_found(result: &'static str) {
    counter!("sedgehill_cell_runs_found_total", "result" => result).increment(1);
}

/// Counts a start in a job that an earlier lead may also have started, by what showed whether runs of it remain.
pub fn count_earlier_start(settled_by: &'static str) {
    counter!("sedgehill_cell_earlier_starts_total", "settled_by" => settled_by).increment(1);
}

/// Counts a call to a worker that brought no usable answer, by its kind and error.
pub fn count_failed_worker_call(call: &'static str, error: &'static str) {
    counter!("sedgehill_cell_worker_calls_failed_total", "call" => call, "error" => error)
        .increment(1);
}

/// Counts an entry of the worker list that became unreadable, by reason.
pub fn count_unreadable_entry(reason: &'static str) {
    counter!("sedgehill_cell_unreadable_entries_total", "reason" => reason).increment(1);
}

/// Records a duration in the named histogram. An example is `sedgehill_cell_wait_seconds`, the time from the acceptance
/// of a job to the start of one of its tasks.
pub fn note_cell_time(name: &'static str, seconds: f64) {
    histogram!(name).record(seconds);
}

/// Maximum number of organisations with a label of their own in metrics; the rest share one label. The users plan
/// with 91 organisations.
pub const MAX_LABELLED_ORGANISATIONS: usize = 128;
/// The shared label of organisations beyond [`MAX_LABELLED_ORGANISATIONS`].
const OTHERS_LABEL: &str = "others";

/// Counts an answer to a caller, by organisation.
pub fn count_organisation_answer(caller: &KeyOwner, answer: &'static str) {
    let name = match caller.index < MAX_LABELLED_ORGANISATIONS {
        true => &caller.organisation.0,
        false => OTHERS_LABEL,
    };
    let labels = [("organisation", name.to_owned()), ("answer", answer.to_owned())];
    counter!("sedgehill_cell_organisation_answers_total", &labels).increment(1);
}

/// Returns the label of an organisation, by its position among those that a lead has known.
fn label_of(organisation: &OrganisationName, key: OrganisationKey) -> String {
    match key.index() < MAX_LABELLED_ORGANISATIONS {
        true => organisation.0.to_string(),
        false => OTHERS_LABEL.to_owned(),
    }
}

/// Counts a decision to stop runs of an organisation to make room under its limit, and the runs.
pub fn count_limit_preemption(
    organisation: &OrganisationName,
    key: OrganisationKey,
    binding: &'static str,
    stopped: usize,
) {
    let labels = [("organisation", label_of(organisation, key)), ("binding", binding.to_owned())];
    counter!("sedgehill_cell_limit_preemptions_total", &labels).increment(1);
    counter!("sedgehill_cell_limit_preempted_runs_total", &labels).increment(stopped as u64);
}

/// Counts tasks that were started by backfill under the limit of an organisation.
pub fn count_limit_backfill(organisation: &OrganisationName, key: OrganisationKey, tasks: usize) {
    let label = [("organisation", label_of(organisation, key))];
    counter!("sedgehill_cell_limit_backfills_total", &label).increment(tasks as u64);
}

/// Sets a gauge of an organisation, such as its running cores or its limit.
pub fn set_organisation_gauge(metric: &'static str, name: &str, value: f64) {
    gauge!(metric, "organisation" => name.to_owned()).set(value);
}

/// Sets the gauges of stalled steps for a reason: their number, and how long the oldest has been stalled.
pub fn set_stalled(reason: &'static str, steps: usize, longest_seconds: f64) {
    gauge!("sedgehill_cell_stalled_steps", "reason" => reason).set(steps as f64);
    gauge!("sedgehill_cell_stalled_longest_seconds", "reason" => reason).set(longest_seconds);
}

/// Sets the gauges of questions of a class that wait for a box: their number, and how long the oldest has waited.
pub fn set_waiting_questions(class: &'static str, waiting: usize, longest_seconds: f64) {
    gauge!("sedgehill_cell_questions_waiting", "class" => class).set(waiting as f64);
    gauge!("sedgehill_cell_question_wait_longest_seconds", "class" => class).set(longest_seconds);
}

/// Sets the gauge of boxes that ask the advice service and are in a state.
pub fn set_question_boxes(state: &'static str, boxes: usize) {
    gauge!("sedgehill_cell_question_boxes", "state" => state).set(boxes as f64);
}

/// Sets the gauges of a data hall that operators emptied: the workers and runs that are still there, and how long ago
/// this box learned of the request. All are zero once the hall is back in use.
pub fn set_emptied_hall(hall: &str, workers: usize, runs: usize, emptied_seconds: f64) {
    let label = [("hall", hall.to_owned())];
    gauge!("sedgehill_cell_emptied_hall_workers", &label).set(workers as f64);
    gauge!("sedgehill_cell_emptied_hall_runs", &label).set(runs as f64);
    gauge!("sedgehill_cell_emptied_hall_seconds", &label).set(emptied_seconds);
}

/// Sets the gauges of long-running tasks that have no run: their number, and how long the oldest has had none.
pub fn set_restarts(tasks: usize, longest_seconds: f64) {
    gauge!("sedgehill_cell_restarts_due").set(tasks as f64);
    gauge!("sedgehill_cell_restart_longest_seconds").set(longest_seconds);
}

/// Sets the gauges of the speeds of a pool's workers: how many times as long the slowest fifth takes as the fastest
/// one, the workers that are slow, those whose speed is known, and whether the differences are taken into account.
pub fn set_speeds(pool: &str, spread: f64, slow: usize, known: usize, in_effect: bool) {
    let label = [("pool", pool.to_owned())];
    gauge!("sedgehill_cell_speed_spread", &label).set(spread);
    gauge!("sedgehill_cell_slow_workers", &label).set(slow as f64);
    gauge!("sedgehill_cell_speed_known_workers", &label).set(known as f64);
    gauge!("sedgehill_cell_speeds_in_effect", &label).set(f64::from(u8::from(in_effect)));
}

/// Sets the gauge of jobs that the lead refused since it took the lead, by reason.
pub fn set_admission_refused(reason: &'static str, count: u64) {
    gauge!("sedgehill_cell_admission_refused", "reason" => reason).set(count as f64);
}

/// Sets the gauge of ended jobs that were worth nothing, since the lead was taken, by cause: `late` or `failed`.
pub fn set_admission_worthless(cause: &'static str, count: u64) {
    gauge!("sedgehill_cell_admission_worthless", "cause" => cause).set(count as f64);
}
