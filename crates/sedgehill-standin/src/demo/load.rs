//! The load of the demonstration: requests of each kind as a Poisson process of a constant rate.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use hdrhistogram::Histogram;
use parking_lot::Mutex;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use sedgehill_standin::caller::{CallPlan, CallReport, StandinCaller};
use sedgehill_standin::ledger::CallerOutcome;
use tokio::sync::watch;

/// The load of one kind of request.
#[derive(Debug, Clone, Copy)]
pub struct KindLoad {
    /// The organisation, service and kind of the requests.
    pub path: &'static str,
    /// Mean number of requests a second.
    pub rate: f64,
    /// Mean time that an endpoint works on a request, in milliseconds.
    pub work_ms: f64,
    /// Whether each request must run at most once.
    pub once_only: bool,
}

/// The load of the two example deployments, Haddad and Inkaso.
pub const EXAMPLE_LOAD: [KindLoad; 6] = [
    KindLoad { path: "haddad/cdr-lookup/trace", rate: 400.0, work_ms: 15.0, once_only: false },
    KindLoad { path: "haddad/cdr-lookup/history", rate: 60.0, work_ms: 300.0, once_only: false },
    KindLoad { path: "haddad/cdr-lookup/disclosure", rate: 20.0, work_ms: 50.0, once_only: true },
    KindLoad { path: "inkaso/windyk/check", rate: 400.0, work_ms: 10.0, once_only: false },
    KindLoad { path: "inkaso/windyk/ledger", rate: 80.0, work_ms: 200.0, once_only: false },
    KindLoad { path: "inkaso/windyk/offer", rate: 25.0, work_ms: 1_000.0, once_only: true },
];

/// Maximum number of times that a request is sent if it did not run.
const MAX_ATTEMPTS: u32 = 3;
/// Upper bound of recorded waiting times; longer ones count as this.
const MAX_RECORDED_WAIT_US: u64 = 120_000_000;
const LOAD_SEED: u64 = 20261202;

/// The boxes to which requests are sent, as a load balancer of the platform would choose them.
#[derive(Debug, Clone, Default)]
pub struct BalancerView {
    /// Traffic addresses of boxes that report to be ready.
    pub ready: Vec<SocketAddr>,
}

/// Results of the calls of one kind.
#[derive(Debug, Clone)]
pub struct KindTally {
    /// Durations of answered calls without the endpoint's work, in microseconds.
    pub waiting: Histogram<u64>,
    /// Number of calls by outcome.
    pub outcomes: BTreeMap<CallerOutcome, u64>,
    /// Number of calls that did not succeed, by reason.
    pub reasons: BTreeMap<String, u64>,
}

impl Default for KindTally {
    fn default() -> Self {
        // Has fixed bounds because `saturating_record` does not enlarge a histogram with automatic bounds.
        let waiting =
            Histogram::new_with_bounds(1, MAX_RECORDED_WAIT_US, 3).expect("the bounds are valid");
        KindTally { waiting, outcomes: BTreeMap::new(), reasons: BTreeMap::new() }
    }
}

/// Results of the calls by kind.
pub type LoadTally = BTreeMap<&'static str, KindTally>;

/// A call that got no response.
#[derive(Debug, Clone)]
pub struct LostCall {
    /// When the call began.
    pub began: Instant,
    /// When the caller noticed the loss.
    pub lost: Instant,
    /// The traffic address of the box.
    pub address: SocketAddr,
    /// The error of the call.
    pub reason: String,
}

/// State that all callers share.
#[derive(Clone)]
pub struct LoadContext {
    /// The client that makes the calls.
    pub caller: StandinCaller,
    /// The boxes to which calls go.
    pub balancer: watch::Receiver<BalancerView>,
    tally: Arc<Mutex<LoadTally>>,
    lost: Arc<Mutex<Vec<LostCall>>>,
}

impl LoadContext {
    /// Creates the state of callers that follow a balancer.
    pub fn new(caller: StandinCaller, balancer: watch::Receiver<BalancerView>) -> LoadContext {
        LoadContext { caller, balancer, tally: Arc::default(), lost: Arc::default() }
    }

    /// Returns the results so far.
    pub fn tally(&self) -> LoadTally {
        self.tally.lock().clone()
    }

    /// Returns the calls that got no response.
    pub fn lost(&self) -> Vec<LostCall> {
        self.lost.lock().clone()
    }

    /// Records the result of a call.
    fn record(&self, kind: &KindLoad, plan: &CallPlan, report: &CallReport) {
        let mut tally = self.tally.lock();
        let tally = tally.entry(kind.path).or_default();
        *tally.outcomes.entry(report.outcome).or_default() += 1;
        let success = report.status.is_some_and(|status| (200..300).contains(&status));
        if report.outcome == CallerOutcome::Answered && !success {
            let reason = format!("answered with status {:?}", report.status);
            *tally.reasons.entry(reason).or_default() += 1;
        } else if report.outcome == CallerOutcome::Answered {
            let waited = report.took.saturating_sub(plan.work).as_micros() as u64;
            tally.waiting.saturating_record(waited.max(1));
        } else {
            *tally.reasons.entry(report.reason.clone()).or_default() += 1;
        }
    }
}

/// Sends requests of all kinds for a time and waits for the last answers.
pub async fn send(context: LoadContext, kinds: &'static [KindLoad], length: Duration) {
    let mut sending = tokio::task::JoinSet::new();
    for (index, kind) in kinds.iter().enumerate() {
        sending.spawn(send_kind(context.clone(), kind, length, LOAD_SEED + index as u64));
    }
    while sending.join_next().await.is_some() {}
}

async fn send_kind(context: LoadContext, kind: &'static KindLoad, length: Duration, seed: u64) {
    let mut random = StdRng::seed_from_u64(seed);
    let started = Instant::now();
    let mut next = started;
    let mut calls = tokio::task::JoinSet::new();
    while started.elapsed() < length {
        next += exponential(&mut random, 1.0 / kind.rate);
        tokio::time::sleep_until(next.into()).await;
        let work = exponential(&mut random, kind.work_ms / 1000.0);
        let pick: usize = random.random_range(0..usize::MAX);
        calls.spawn(call(context.clone(), kind, work, pick));
        while calls.try_join_next().is_some() {}
    }
    while calls.join_next().await.is_some() {}
}

/// Draws from the exponential distribution.
fn exponential(random: &mut StdRng, mean_seconds: f64) -> Duration {
    let uniform: f64 = random.random_range(f64::EPSILON..1.0);
    Duration::from_secs_f64(-uniform.ln() * mean_seconds)
}

/// Makes a call and repeats it under the same token while the request does not run.
async fn call(context: LoadContext, kind: &'static KindLoad, work: Duration, pick: usize) {
    // The stand-in endpoint takes whole milliseconds.
    let work = Duration::from_millis(work.as_millis() as u64);
    let plan = match kind.once_only {
        true => CallPlan::once_only(kind.path, work),
        false => CallPlan::new(kind.path, work),
    };
    for attempt in 1..=MAX_ATTEMPTS {
        let Some(address) = choose_box(&context.balancer, pick.wrapping_add(attempt as usize))
        else {
            return;
        };
        let will_retry = attempt < MAX_ATTEMPTS;
        let began = Instant::now();
        let report = context.caller.call(address, &plan, will_retry).await;
        if report.refused_connection && will_retry {
            // The box has ended and the balancer does not know yet. Nothing was sent.
            continue;
        }
        context.record(kind, &plan, &report);
        if report.outcome == CallerOutcome::Nothing {
            let lost =
                LostCall { began, lost: Instant::now(), address, reason: report.reason.clone() };
            context.lost.lock().push(lost);
        }
        if report.outcome != CallerOutcome::NotRun {
            return;
        }
        let pause = u64::from(report.retry_after.unwrap_or(1));
        tokio::time::sleep(Duration::from_secs(pause)).await;
    }
}

/// Chooses one of the boxes that are ready.
fn choose_box(balancer: &watch::Receiver<BalancerView>, pick: usize) -> Option<SocketAddr> {
    let view = balancer.borrow();
    let count = view.ready.len();
    (count > 0).then(|| view.ready[pick % count])
}
