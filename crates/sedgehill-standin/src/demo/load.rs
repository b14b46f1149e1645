//! The load of the demonstration: requests of each kind at a steady mean rate.

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

/// One kind of request and how often it comes.
#[derive(Debug, Clone, Copy)]
pub struct KindLoad {
    /// The organisation, service and kind.
    pub path: &'static str,
    /// Requests a second.
    pub rate: f64,
    /// The mean time that an endpoint works on one, in milliseconds.
    pub work_ms: f64,
    /// Whether each must run at most once.
    pub once_only: bool,
}

/// The mix of the two deployments.
pub const BRIEF_LOAD: [KindLoad; 6] = [
    KindLoad { path: "haddad/cdr-lookup/trace", rate: 400.0, work_ms: 15.0, once_only: false },
    KindLoad { path: "haddad/cdr-lookup/history", rate: 60.0, work_ms: 300.0, once_only: false },
    KindLoad { path: "haddad/cdr-lookup/disclosure", rate: 20.0, work_ms: 50.0, once_only: true },
    KindLoad { path: "inkaso/windyk/check", rate: 400.0, work_ms: 10.0, once_only: false },
    KindLoad { path: "inkaso/windyk/ledger", rate: 80.0, work_ms: 200.0, once_only: false },
    KindLoad { path: "inkaso/windyk/offer", rate: 25.0, work_ms: 1_000.0, once_only: true },
];

/// How often a request that was told "not run" is sent again.
const MAX_TRIES: u32 = 3;
/// The longest waiting that is told apart, in microseconds.
const LONGEST_WAIT_US: u64 = 120_000_000;
const LOAD_SEED: u64 = 20261202;

/// Where requests are sent now: what the platform's balancer would keep.
#[derive(Debug, Clone, Default)]
pub struct BalancerView {
    /// Traffic addresses of boxes that say that they are ready.
    pub ready: Vec<SocketAddr>,
}

/// What callers saw of one kind.
#[derive(Debug, Clone)]
pub struct KindTally {
    /// Waiting: the time beyond the endpoint's work, in microseconds.
    pub waiting: Histogram<u64>,
    /// Calls by what they were told.
    pub outcomes: BTreeMap<CallerOutcome, u64>,
    /// Calls that were not answered, by reason.
    pub reasons: BTreeMap<String, u64>,
}

impl Default for KindTally {
    fn default() -> Self {
        // With its bounds set: one that grows by itself does not grow for a saturating record.
        let waiting =
            Histogram::new_with_bounds(1, LONGEST_WAIT_US, 3).expect("the bounds are valid");
        KindTally { waiting, outcomes: BTreeMap::new(), reasons: BTreeMap::new() }
    }
}

/// What callers saw, by kind.
pub type LoadTally = BTreeMap<&'static str, KindTally>;

/// A call that got nothing: when, and from which box.
#[derive(Debug, Clone)]
pub struct LostCall {
    /// When the call began.
    pub began: Instant,
    /// When it was lost.
    pub lost: Instant,
    /// The box.
    pub address: SocketAddr,
    /// Why.
    pub reason: String,
}

/// What all callers share.
#[derive(Clone)]
pub struct LoadShared {
    /// Makes the calls.
    pub caller: StandinCaller,
    /// Where calls go.
    pub balancer: watch::Receiver<BalancerView>,
    tally: Arc<Mutex<LoadTally>>,
    lost: Arc<Mutex<Vec<LostCall>>>,
}

impl LoadShared {
    /// Callers that go where the balancer says.
    pub fn new(caller: StandinCaller, balancer: watch::Receiver<BalancerView>) -> LoadShared {
        LoadShared { caller, balancer, tally: Arc::default(), lost: Arc::default() }
    }

    /// What callers saw so far.
    pub fn tally(&self) -> LoadTally {
        self.tally.lock().clone()
    }

    /// Calls that got nothing.
    pub fn lost(&self) -> Vec<LostCall> {
        self.lost.lock().clone()
    }

    fn note(&self, kind: &KindLoad, plan: &CallPlan, report: &CallReport) {
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

/// Sends every kind until the end and waits for the last answers.
pub async fn send(shared: LoadShared, kinds: &'static [KindLoad], length: Duration) {
    let mut sending = tokio::task::JoinSet::new();
    for (index, kind) in kinds.iter().enumerate() {
        sending.spawn(send_kind(shared.clone(), kind, length, LOAD_SEED + index as u64));
    }
    while sending.join_next().await.is_some() {}
}

async fn send_kind(shared: LoadShared, kind: &'static KindLoad, length: Duration, seed: u64) {
    let mut random = StdRng::seed_from_u64(seed);
    let started = Instant::now();
    let mut next = started;
    let mut calls = tokio::task::JoinSet::new();
    while started.elapsed() < length {
        next += exponential(&mut random, 1.0 / kind.rate);
        tokio::time::sleep_until(next.into()).await;
        let work = exponential(&mut random, kind.work_ms / 1000.0);
        let pick: usize = random.random_range(0..usize::MAX);
        calls.spawn(call(shared.clone(), kind, work, pick));
        while calls.try_join_next().is_some() {}
    }
    while calls.join_next().await.is_some() {}
}

fn exponential(random: &mut StdRng, mean_seconds: f64) -> Duration {
    let uniform: f64 = random.random_range(f64::EPSILON..1.0);
    Duration::from_secs_f64(-uniform.ln() * mean_seconds)
}

/// One request of a caller, sent again under the same name while it is told "not run".
async fn call(shared: LoadShared, kind: &'static KindLoad, work: Duration, pick: usize) {
    // The stand-in works in whole milliseconds.
    let work = Duration::from_millis(work.as_millis() as u64);
    let plan = match kind.once_only {
        true => CallPlan::once_only(kind.path, work),
        false => CallPlan::new(kind.path, work),
    };
    for attempt in 1..=MAX_TRIES {
        let Some(address) = choose(&shared.balancer, pick.wrapping_add(attempt as usize)) else {
            return;
        };
        let again = attempt < MAX_TRIES;
        let began = Instant::now();
        let report = shared.caller.call(address, &plan, again).await;
        if report.refused_connection && again {
            // The balancer has not noticed yet; nothing was sent.
            continue;
        }
        shared.note(kind, &plan, &report);
        if report.outcome == CallerOutcome::Nothing {
            let lost =
                LostCall { began, lost: Instant::now(), address, reason: report.reason.clone() };
            shared.lost.lock().push(lost);
        }
        if report.outcome != CallerOutcome::NotRun {
            return;
        }
        let pause = u64::from(report.retry_after.unwrap_or(1));
        tokio::time::sleep(Duration::from_secs(pause)).await;
    }
}

fn choose(balancer: &watch::Receiver<BalancerView>, pick: usize) -> Option<SocketAddr> {
    let view = balancer.borrow();
    let count = view.ready.len();
    (count > 0).then(|| view.ready[pick % count])
}
