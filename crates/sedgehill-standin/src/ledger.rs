//! Counts broken promises from what workers, endpoints and callers themselves see.

use std::collections::{BTreeMap, HashMap, HashSet};
use std::fmt;
use std::sync::Arc;
use std::time::{Duration, Instant};

use parking_lot::Mutex;
use sedgehill_core::ids::{AttemptId, EndpointId, TaskId, WorkerId};
use serde::Serialize;

/// Examples kept of each broken rule.
const KEPT_EXAMPLES: usize = 5;

/// The eight promises of the product, in the order of its brief.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum SafetyRule {
    /// No worker is given more than it has.
    WorkerRoom,
    /// No task or request runs in two places at once.
    OnePlace,
    /// Every caller gets the whole answer to its own request.
    WholeAnswer,
    /// What is reported as not run did not run.
    NotRun,
    /// A once-only request runs at most once.
    OnceOnly,
    /// A leaving endpoint gets no new work.
    LeavingEndpoint,
    /// A planned stop cuts off nothing.
    PlannedStop,
    /// Accepted configuration is in force everywhere and never reverts.
    Configuration,
}

impl SafetyRule {
    /// Every rule.
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

/// What a caller was told of its request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum CallerOutcome {
    /// It has an answer.
    Answered,
    /// It did not run.
    NotRun,
    /// It may have run.
    Unknown,
    /// Nothing: the connection to the box was lost.
    Nothing,
}

/// How often a rule was broken, with examples.
#[derive(Debug, Clone, Default, Serialize)]
pub struct RuleCount {
    /// How often.
    pub count: u64,
    /// The first few.
    pub examples: Vec<String>,
}

#[derive(Debug, Default)]
struct LedgerState {
    broken: BTreeMap<SafetyRule, RuleCount>,
    task_places: HashMap<TaskId, HashSet<WorkerId>>,
    started: HashMap<AttemptId, u32>,
    task_starts: u64,
    request_places: HashMap<String, u32>,
    request_runs: HashMap<String, u32>,
    once_only: HashSet<String>,
    told_not_run: HashSet<String>,
    leaving: HashMap<EndpointId, Instant>,
    told: BTreeMap<CallerOutcome, u64>,
}

impl LedgerState {
    fn break_rule(&mut self, rule: SafetyRule, example: String) {
        let count = self.broken.entry(rule).or_default();
        count.count += 1;
        if count.examples.len() < KEPT_EXAMPLES {
            count.examples.push(example);
        }
    }
}

/// The ledger, shared by all stand-ins of a run.
#[derive(Debug, Clone)]
pub struct RuleLedger {
    state: Arc<Mutex<LedgerState>>,
    leaving_grace: Duration,
}

impl RuleLedger {
    /// A ledger that allows a leaving endpoint new work for `leaving_grace`.
    pub fn new(leaving_grace: Duration) -> RuleLedger {
        RuleLedger { state: Arc::default(), leaving_grace }
    }

    /// Notes a broken rule that a stand-in found itself.
    pub fn break_rule(&self, rule: SafetyRule, example: impl Into<String>) {
        self.state.lock().break_rule(rule, example.into());
    }

    /// Notes that a worker started a task.
    pub fn task_started(&self, attempt: AttemptId, worker: &WorkerId) {
        let mut state = self.state.lock();
        state.task_starts += 1;
        *state.started.entry(attempt).or_default() += 1;
        let places = state.task_places.entry(attempt.task).or_default();
        places.insert(worker.clone());
        if places.len() > 1 {
            let example = format!("{attempt} at {places:?}");
            state.break_rule(SafetyRule::OnePlace, example);
        }
    }

    /// Notes that a task runs at a worker no more.
    pub fn task_ended(&self, attempt: AttemptId, worker: &WorkerId) {
        let mut state = self.state.lock();
        if let Some(places) = state.task_places.get_mut(&attempt.task) {
            places.remove(worker);
        }
    }

    /// Task starts so far.
    pub fn task_starts(&self) -> u64 {
        self.state.lock().task_starts
    }

    /// Notes a request that must run at most once.
    pub fn mark_once_only(&self, token: &str) {
        self.state.lock().once_only.insert(token.to_owned());
    }

    /// Notes that an endpoint began a request.
    pub fn request_began(&self, token: &str, endpoint: &EndpointId) {
        let mut state = self.state.lock();
        let running = state.request_places.entry(token.to_owned()).or_default();
        *running += 1;
        let running = *running;
        let runs = state.request_runs.entry(token.to_owned()).or_default();
        *runs += 1;
        let runs = *runs;
        if running > 1 {
            state.break_rule(SafetyRule::OnePlace, format!("request {token} at {endpoint}"));
        }
        if runs > 1 && state.once_only.contains(token) {
            state.break_rule(SafetyRule::OnceOnly, format!("request {token} ran {runs} times"));
        }
        if state.told_not_run.contains(token) {
            state.break_rule(
                SafetyRule::NotRun,
                format!("request {token} ran at {endpoint} after all"),
            );
        }
        let since = state.leaving.get(endpoint).map(Instant::elapsed);
        if let Some(since) = since.filter(|since| *since > self.leaving_grace) {
            let example =
                format!("{endpoint} got request {token} {} ms after leaving", since.as_millis());
            state.break_rule(SafetyRule::LeavingEndpoint, example);
        }
    }

    /// Notes that an endpoint is done with a request.
    pub fn request_ended(&self, token: &str) {
        let mut state = self.state.lock();
        if let Some(running) = state.request_places.get_mut(token) {
            *running = running.saturating_sub(1);
        }
    }

    /// How often a request was begun.
    pub fn request_runs(&self, token: &str) -> u32 {
        self.state.lock().request_runs.get(token).copied().unwrap_or(0)
    }

    /// Notes what a caller was told. A request told as not run may be sent again under the same
    /// token; `again` says that the caller will.
    pub fn record_outcome(&self, token: &str, outcome: CallerOutcome, again: bool) {
        let mut state = self.state.lock();
        *state.told.entry(outcome).or_default() += 1;
        if outcome != CallerOutcome::NotRun {
            return;
        }
        let ran = state.request_runs.get(token).copied().unwrap_or(0);
        if ran > 0 {
            state.break_rule(SafetyRule::NotRun, format!("request {token} had run {ran} times"));
        }
        if !again {
            state.told_not_run.insert(token.to_owned());
        }
    }

    /// Notes that an endpoint is leaving since now.
    pub fn endpoint_leaving(&self, endpoint: &EndpointId) {
        self.state.lock().leaving.insert(endpoint.clone(), Instant::now());
    }

    /// What callers were told, by outcome.
    pub fn outcome_counts(&self) -> BTreeMap<CallerOutcome, u64> {
        self.state.lock().told.clone()
    }

    /// How often each rule was broken; every rule is listed.
    pub fn violations(&self) -> Vec<(SafetyRule, RuleCount)> {
        let state = self.state.lock();
        let count = |rule: &SafetyRule| state.broken.get(rule).cloned().unwrap_or_default();
        SafetyRule::ALL.iter().map(|rule| (*rule, count(rule))).collect()
    }

    /// How often any rule was broken.
    pub fn total_violations(&self) -> u64 {
        self.violations().iter().map(|(_, count)| count.count).sum()
    }
}
