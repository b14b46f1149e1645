//! The state that the control thread publishes and the traffic threads read.

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::sync::Arc;

use arc_swap::ArcSwap;
use metrics_exporter_prometheus::PrometheusHandle;
use parking_lot::Mutex;
use sedgehill_core::dispatch::{
    DispatchChoice, DispatchQueue, EjectionPolicy, EndpointOutcome, EndpointView, QueueLimits,
};
use sedgehill_core::ids::{EndpointId, Offset, OrgName, RequestId, TemplateName};
use sedgehill_core::limit::TokenBucket;
use sedgehill_core::spec::{OrgParameters, ServiceShape};
use sedgehill_core::state::ClusterState;
use sedgehill_core::units::{Moment, TimeSpan};
use sedgehill_platform::admin::{BoxHealth, HealthReport};
use tokio::sync::oneshot;

use crate::client::ClientRegistry;
use crate::clock;
use crate::connection::ConnectionManager;
use crate::logging::LogSink;
use crate::settings::BoxSettings;
use crate::traffic::{build_idle_response, caller_limits};

/// Maximum number of request traces that are kept for operators.
const MAX_TRACES: usize = 8_192;

/// Gap between two runs of the controllers that counts as a pause of the process, after which their state may be
/// stale.
pub const PAUSE_THRESHOLD: TimeSpan = TimeSpan(1_000);

const EJECTION_POLICY: EjectionPolicy = EjectionPolicy {
    failure_threshold: 3,
    base_duration: TimeSpan(1_000),
    max_duration: TimeSpan(30_000),
    max_ejected_percent: 50,
};

/// The configuration that traffic threads use. An update replaces the whole view.
#[derive(Debug, Default)]
pub struct TrafficView {
    /// The next log offset to apply; the view reflects every entry before it.
    pub applied: Offset,
    /// The services by name.
    pub services: HashMap<TemplateName, Arc<ServiceShape>>,
    /// The parameters of each organisation for each service.
    pub parameters: HashMap<(OrgName, TemplateName), Arc<OrgParameters>>,
}

impl TrafficView {
    /// Extracts the services and parameters from the cluster state.
    pub fn from_state(state: &ClusterState) -> TrafficView {
        use sedgehill_core::spec::{ConfigSpec, WorkShape};
        let mut view = TrafficView { applied: state.next, ..TrafficView::default() };
        for version in state.configs.values().filter_map(|versions| versions.last()) {
            match &version.spec {
                ConfigSpec::Template(template) => {
                    if let WorkShape::Service(shape) = &template.work {
                        view.services.insert(template.name.clone(), Arc::new(shape.clone()));
                    }
                }
                ConfigSpec::Parameters(parameters) => {
                    let key = (parameters.organisation.clone(), parameters.template.clone());
                    view.parameters.insert(key, Arc::new(parameters.clone()));
                }
            }
        }
        view
    }
}

/// The channel on which a waiting request receives its endpoint. Dropping it tells the request that its deadline has
/// passed.
pub type ChoiceSender = oneshot::Sender<DispatchChoice>;

/// The dispatch queue of one service, shared between threads.
pub struct ServiceQueue {
    queue: Mutex<DispatchQueue<ChoiceSender>>,
}

impl ServiceQueue {
    fn new(settings: &BoxSettings) -> ServiceQueue {
        let limits = QueueLimits {
            count: settings.limits.max_waiting,
            bytes: settings.limits.max_waiting_bytes.0 as usize,
        };
        let queue = DispatchQueue::new(settings.hall.clone(), limits, EJECTION_POLICY);
        ServiceQueue { queue: Mutex::new(queue) }
    }

    /// Calls `function` with the locked queue.
    pub fn with<R>(&self, function: impl FnOnce(&mut DispatchQueue<ChoiceSender>) -> R) -> R {
        function(&mut self.queue.lock())
    }

    /// Replaces the list of endpoints, and dispatches waiting requests to those that have free slots.
    pub fn sync(&self, views: Vec<EndpointView>) {
        let chosen = self.with(|queue| queue.sync(views, clock::now()));
        self.deliver(chosen);
    }

    /// Removes waiting requests whose deadline has passed, and dispatches others to free slots.
    pub fn process_waiting(&self) {
        let now = clock::now();
        let (expired, chosen) = self.with(|queue| (queue.expire(now), queue.dispatch_waiting(now)));
        // Dropping the sender tells a request that its deadline has passed.
        drop(expired);
        self.deliver(chosen);
    }

    /// Returns a slot that was held for the given time, and dispatches a waiting request to it.
    pub fn release(&self, endpoint: &EndpointId, outcome: EndpointOutcome, held: TimeSpan) {
        let chosen = self.with(|queue| queue.release(endpoint, outcome, held, clock::now()));
        self.deliver(chosen);
    }

    fn deliver(&self, chosen: Vec<(DispatchChoice, ChoiceSender)>) {
        for (choice, sender) in chosen {
            if let Err(choice) = sender.send(choice) {
                // The caller closed its connection while the request waited.
                self.release(&choice.endpoint, EndpointOutcome::Neutral, TimeSpan(0));
            }
        }
    }
}

/// The outcome of a finished request, kept for operators.
#[derive(Debug, Clone)]
pub struct RequestTrace {
    /// Id of the request.
    pub id: RequestId,
    /// When the request ended, in milliseconds since the Unix epoch.
    pub ended_at_ms: u64,
    /// Endpoint of the last attempt, if there was one.
    pub endpoint: Option<EndpointId>,
    /// Number of endpoints with a free slot when that endpoint was chosen.
    pub candidates: usize,
    /// Outcome of the request: `answered`, `not-run` or `unknown`.
    pub outcome: &'static str,
    /// Reason why the request was not answered; empty if it was.
    pub reason: &'static str,
    /// The next log offset to apply when the request ended.
    pub applied: Offset,
}

/// The state that all threads of a box share.
pub struct SharedState {
    /// Settings of the box.
    pub settings: BoxSettings,
    /// Logger of the box.
    pub log: LogSink,
    /// Renders the metrics as text.
    pub metrics: PrometheusHandle,
    /// The published configuration of the cluster.
    pub view: ArcSwap<TrafficView>,
    /// Whether the box accepts requests, and why not.
    pub health: ArcSwap<HealthReport>,
    queues: ArcSwap<BTreeMap<TemplateName, Arc<ServiceQueue>>>,
    buckets: Mutex<HashMap<(OrgName, TemplateName), TokenBucket>>,
    traces: Mutex<VecDeque<RequestTrace>>,
    in_flight: std::sync::atomic::AtomicUsize,
    /// When the controllers last published, in milliseconds of [`clock::now`].
    fresh_at: std::sync::atomic::AtomicU64,
    /// The moment up to which the view is known to include every entry of the log, in milliseconds of [`clock::now`].
    current_as_of: std::sync::atomic::AtomicU64,
    /// Manages the connections of callers.
    pub connections: Arc<ConnectionManager>,
}

impl SharedState {
    /// Creates the state of a box that has just started and is not ready.
    pub fn new(settings: BoxSettings, log: LogSink, metrics: PrometheusHandle) -> SharedState {
        let health = HealthReport {
            health: BoxHealth::NotReady,
            reason: "has not read the log yet".to_owned(),
        };
        let connections = ConnectionManager::new(
            log.logger.clone(),
            caller_limits(&settings),
            ClientRegistry::new(log.logger.clone(), "callers", settings.caller_limits()),
            build_idle_response,
        );
        SharedState {
            settings,
            log,
            metrics,
            view: ArcSwap::default(),
            health: ArcSwap::from_pointee(health),
            queues: ArcSwap::default(),
            buckets: Mutex::default(),
            traces: Mutex::default(),
            in_flight: std::sync::atomic::AtomicUsize::new(0),
            fresh_at: std::sync::atomic::AtomicU64::new(0),
            current_as_of: std::sync::atomic::AtomicU64::new(0),
            connections,
        }
    }

    /// Returns the queue of a service, if the box knows the service.
    pub fn queue(&self, service: &TemplateName) -> Option<Arc<ServiceQueue>> {
        self.queues.load().get(service).cloned()
    }

    /// Returns the queues of all services.
    pub fn queues(&self) -> Arc<BTreeMap<TemplateName, Arc<ServiceQueue>>> {
        self.queues.load_full()
    }

    /// Creates a queue for each of the given services that has none.
    pub fn ensure_queues<'a>(&self, services: impl Iterator<Item = &'a TemplateName>) {
        let mut queues = (*self.queues.load_full()).clone();
        let previous_count = queues.len();
        for service in services {
            queues
                .entry(service.clone())
                .or_insert_with(|| Arc::new(ServiceQueue::new(&self.settings)));
        }
        if queues.len() != previous_count {
            self.queues.store(Arc::new(queues));
        }
    }

    /// Takes a token from the rate limit of an organisation for a service. Returns whether the request is allowed.
    pub fn try_take_token(&self, parameters: &OrgParameters, now: Moment) -> bool {
        let Some(rate) = parameters.rate else { return true };
        let key = (parameters.organisation.clone(), parameters.template.clone());
        let mut buckets = self.buckets.lock();
        let bucket = buckets.entry(key).or_insert_with(|| TokenBucket::new(rate, now));
        if bucket.rate() != rate {
            *bucket = TokenBucket::new(rate, now);
        }
        bucket.try_take(now)
    }

    /// Stores the trace of a finished request, in place of the oldest if there are [`MAX_TRACES`].
    pub fn record_trace(&self, trace: RequestTrace) {
        let mut traces = self.traces.lock();
        if traces.len() >= MAX_TRACES {
            traces.pop_front();
        }
        traces.push_back(trace);
    }

    /// Returns the trace of a request, if it is still kept.
    pub fn trace(&self, id: &RequestId) -> Option<RequestTrace> {
        self.traces.lock().iter().rev().find(|trace| trace.id == *id).cloned()
    }

    /// Counts a request in flight until the guard is dropped.
    pub fn track_in_flight(self: &Arc<Self>) -> InFlightGuard {
        self.in_flight.fetch_add(1, std::sync::atomic::Ordering::SeqCst);
        InFlightGuard { shared: self.clone() }
    }

    /// Records that the controllers published at `now`.
    pub fn record_fresh(&self, now: Moment) {
        self.fresh_at.store(now.0, std::sync::atomic::Ordering::Release);
    }

    /// Returns whether the view may be used. After a pause of the process it may not, until the controllers have
    /// published again.
    pub fn is_fresh(&self, now: Moment) -> bool {
        let fresh_at = Moment(self.fresh_at.load(std::sync::atomic::Ordering::Acquire));
        now.since(fresh_at) <= PAUSE_THRESHOLD
    }

    /// Records that the view includes every entry that was in the log at `moment`.
    pub fn set_current_as_of(&self, moment: Moment) {
        self.current_as_of.fetch_max(moment.0, std::sync::atomic::Ordering::AcqRel);
    }

    /// Returns the latest moment for which the view is known to include every entry that was then in the log.
    pub fn current_as_of(&self) -> Moment {
        Moment(self.current_as_of.load(std::sync::atomic::Ordering::Acquire))
    }

    /// Returns the number of requests in flight.
    pub fn in_flight(&self) -> usize {
        self.in_flight.load(std::sync::atomic::Ordering::SeqCst)
    }

    /// Returns whether the box is draining.
    pub fn is_draining(&self) -> bool {
        self.health.load().health == BoxHealth::Draining
    }
}

/// Counts a request as in flight until it is dropped.
pub struct InFlightGuard {
    shared: Arc<SharedState>,
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        self.shared.in_flight.fetch_sub(1, std::sync::atomic::Ordering::SeqCst);
    }
}
