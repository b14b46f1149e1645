//! Records violations of the product's safety rules as workers, endpoints and callers observe them.

use std::collections::{BTreeMap, HashMap, HashSet};
use std::fmt;
use std::sync::Arc;
use std::time::{Duration, Instant};

use parking_lot::Mutex;
use sedgehill_core::ids::{AttemptId, EndpointId, TaskId, WorkerId};
use serde::Serialize;

/// Examples kept of each violated rule.
const MAX_EXAMPLES: usize = 5;

/// The eight safety guarantees of the product.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum SafetyRule {
    /// No worker gets more tasks than its resources suffice for.
    WorkerRoom,
    /// No task runs on two workers, and no request on two endpoints, at once.
    OnePlace,
    /// Every caller gets the whole answer to its own request.
    WholeAnswer,
    /// A request that is reported as not run did not run.
    NotRun,
    /// A once-only request runs at most once.
    OnceOnly,
    /// An endpoint that is leaving gets no new requests.
    LeavingEndpoint,
    /// A planned stop of a box cuts off no call.
    PlannedStop,
    /// An accepted configuration takes effect on all boxes and is never reverted.
    Configuration,
}

impl SafetyRule {
    /// All rules, in the order of reports.
    pub const ALL: [SafetyRule; 8] = [
        SafetyRule::WorkerRoom,
        SafetyRule::OnePlace,
        SafetyRule::WholeAnswer,
        SafetyRule::NotRun,
        SafetyRule::OnceOnly,
        SafetyRule::LeavingEndpoint,
        SafetyRule::PlannedStop,
        SafetyRule::Configuration,
    ];
}

impl fmt::Display for SafetyRule {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            SafetyRule::WorkerRoom => "1 no worker is given more than it has",
            SafetyRule::OnePlace => "2 no task or request runs in two places",
            SafetyRule::WholeAnswer => "3 whole answers to their own callers",
            SafetyRule::NotRun => "4 \"not run\" did not run",
            SafetyRule::OnceOnly => "5 once-only runs at most once",
            SafetyRule::LeavingEndpoint => "6 a leaving endpoint gets no new work",
            SafetyRule::PlannedStop => "7 a planned stop cuts off nothing",
            SafetyRule::Configuration => "8 configuration in force, never reverts",
        })
    }
}

/// What a caller learned of its request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum CallerOutcome {
    /// The request was answered.
    Answered,
    /// The request did not run.
    NotRun,
    /// The request may have run.
    Unknown,
    /// Nothing was learned because the connection to the box failed.
    Nothing,
}

/// Violations of one rule.
#[derive(Debug, Clone, Default, Serialize)]
pub struct RuleCount {
    /// The number of violations.
    pub count: u64,
    /// Descriptions of the first few violations.
    pub examples: Vec<String>,
}

#[derive(Debug, Default)]
struct LedgerState {
    violations: BTreeMap<SafetyRule, RuleCount>,
    /// Workers that run each task.
    task_workers: HashMap<TaskId, HashSet<WorkerId>>,
    /// Starts of each attempt.
    started: HashMap<AttemptId, u32>,
    task_starts: u64,
    /// Number of endpoints that work on each request, by token.
    running_requests: HashMap<String, u32>,
    /// How often each request was begun, by token.
    request_runs: HashMap<String, u32>,
    once_only: HashSet<String>,
    /// Requests that callers learned did not run and will not send again.
    reported_not_run: HashSet<String>,
    /// When each endpoint began to leave.
    leaving: HashMap<EndpointId, Instant>,
    outcome_counts: BTreeMap<CallerOutcome, u64>,
}

impl LedgerState {
    fn record_violation(&mut self, rule: SafetyRule, example: String) {
        let count = self.violations.entry(rule).or_default();
        count.count += 1;
        if count.examples.len() < MAX_EXAMPLES {
            count.examples.push(example);
        }
    }
}

/// A record of violations, shared by all stand-ins of a run.
#[derive(Debug, Clone)]
pub struct RuleLedger {
    state: Arc<Mutex<LedgerState>>,
    leaving_grace: Duration,
}

impl RuleLedger {
    /// Creates a ledger that tolerates new requests at an endpoint for `leaving_grace` after it began to leave.
    pub fn new(leaving_grace: Duration) -> RuleLedger {
        RuleLedger { state: Arc::default(), leaving_grace }
    }

    /// Records a violation that a stand-in has detected itself.
    pub fn record_violation(&self, rule: SafetyRule, example: impl Into<String>) {
        self.state.lock().record_violation(rule, example.into());
    }

    /// Records that a worker has started a task. Violates [`SafetyRule::OnePlace`] if another one runs it.
    pub fn task_started(&self, attempt: AttemptId, worker: &WorkerId) {
        let mut state = self.state.lock();
        state.task_starts += 1;
        *state.started.entry(attempt).or_default() += 1;
        let workers = state.task_workers.entry(attempt.task).or_default();
        workers.insert(worker.clone());
        if workers.len() > 1 {
            let example = format!("{attempt} at {workers:?}");
            state.record_violation(SafetyRule::OnePlace, example);
        }
    }

    /// Records that a task does not run on a worker any more.
    pub fn task_ended(&self, attempt: AttemptId, worker: &WorkerId) {
        let mut state = self.state.lock();
        if let Some(workers) = state.task_workers.get_mut(&attempt.task) {
            workers.remove(worker);
        }
    }

    /// Returns the number of task starts so far.
    pub fn task_starts(&self) -> u64 {
        self.state.lock().task_starts
    }

    /// Records that a request must run at most once.
    pub fn mark_once_only(&self, token: &str) {
        self.state.lock().once_only.insert(token.to_owned());
    }

    /// Records that an endpoint has begun to work on a request, and checks the rules for that.
    pub fn request_began(&self, token: &str, endpoint: &EndpointId) {
        let mut state = self.state.lock();
        let running = state.running_requests.entry(token.to_owned()).or_default();
        *running += 1;
        let running = *running;
        let runs = state.request_runs.entry(token.to_owned()).or_default();
        *runs += 1;
        let runs = *runs;
        if running > 1 {
            state.record_violation(SafetyRule::OnePlace, format!("request {token} at {endpoint}"));
        }
        if runs > 1 && state.once_only.contains(token) {
            state.record_violation(
                SafetyRule::OnceOnly,
                format!("request {token} ran {runs} times"),
            );
        }
        if state.reported_not_run.contains(token) {
            state.record_violation(
                SafetyRule::NotRun,
                format!("request {token} ran at {endpoint} after all"),
            );
        }
        let since = state.leaving.get(endpoint).map(Instant::elapsed);
        if let Some(since) = since.filter(|since| *since > self.leaving_grace) {
            let example =
                format!("{endpoint} got request {token} {} ms after leaving", since.as_millis());
            state.record_violation(SafetyRule::LeavingEndpoint, example);
        }
    }

    /// Records that an endpoint has finished a request.
    pub fn request_ended(&self, token: &str) {
        let mut state = self.state.lock();
        if let Some(running) = state.running_requests.get_mut(token) {
            *running = running.saturating_sub(1);
        }
    }

    /// Returns how often endpoints have begun a request.
    pub fn request_runs(&self, token: &str) -> u32 {
        self.state.lock().request_runs.get(token).copied().unwrap_or(0)
    }

    /// Records what a caller learned of a request. A request that did not run may be sent again under the same
    /// token; `will_retry` says that the caller may do so.
    pub fn record_outcome(&self, token: &str, outcome: CallerOutcome, will_retry: bool) {
        let mut state = self.state.lock();
        *state.outcome_counts.entry(outcome).or_default() += 1;
        if outcome != CallerOutcome::NotRun {
            return;
        }
        let runs = state.request_runs.get(token).copied().unwrap_or(0);
        if runs > 0 {
            state.record_violation(
                SafetyRule::NotRun,
                format!("request {token} had run {runs} times"),
            );
        }
        if !will_retry {
            state.reported_not_run.insert(token.to_owned());
        }
    }

    /// Records that an endpoint begins to leave now.
    pub fn endpoint_leaving(&self, endpoint: &EndpointId) {
        self.state.lock().leaving.insert(endpoint.clone(), Instant::now());
    }

    /// Returns the number of calls by outcome.
    pub fn outcome_counts(&self) -> BTreeMap<CallerOutcome, u64> {
        self.state.lock().outcome_counts.clone()
    }

    /// Returns the violations of every rule, including rules without violations.
    pub fn violations(&self) -> Vec<(SafetyRule, RuleCount)> {
        let state = self.state.lock();
        let count = |rule: &SafetyRule| state.violations.get(rule).cloned().unwrap_or_default();
        SafetyRule::ALL.iter().map(|rule| (*rule, count(rule))).collect()
    }

    /// Returns the number of violations of all rules.
    pub fn total_violations(&self) -> u64 {
        self.violations().iter().map(|(_, count)| count.count).sum()
    }
}
