//! What the control thread publishes and the traffic threads read.

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

use crate::clock;
use crate::connection::ConnectionDesk;
use crate::logging::LogSink;
use crate::settings::BoxSettings;
use crate::traffic::{answer_in_advance, connection_limits};

/// Requests whose way is remembered for reading back.
const KEPT_TRACES: usize = 8_192;

/// Controllers that did not run for this long were paused, and what they knew may be stale.
pub const PAUSE_LIMIT: TimeSpan = TimeSpan(1_000);

const EJECT_POLICY: EjectionPolicy = EjectionPolicy {
    failure_threshold: 3,
    base_duration: TimeSpan(1_000),
    max_duration: TimeSpan(30_000),
    max_ejected_percent: 50,
};

/// What the traffic threads know of the cluster, replaced as a whole.
#[derive(Debug, Default)]
pub struct TrafficView {
    /// The offset up to which the log is in force.
    pub applied: Offset,
    /// The services.
    pub services: HashMap<TemplateName, Arc<ServiceShape>>,
    /// The parameters of each organisation for each service.
    pub parameters: HashMap<(OrgName, TemplateName), Arc<OrgParameters>>,
}

impl TrafficView {
    /// The view of a state.
    pub fn of(state: &ClusterState) -> TrafficView {
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

/// A request that waits: where its endpoint is sent.
pub type Waiter = oneshot::Sender<DispatchChoice>;

/// The endpoints and the waiting requests of one service.
pub struct ServiceQueue {
    queue: Mutex<DispatchQueue<Waiter>>,
}

impl ServiceQueue {
    fn new(settings: &BoxSettings) -> ServiceQueue {
        let limits = QueueLimits {
            count: settings.limits.waiting,
            bytes: settings.limits.waiting_bytes.0 as usize,
        };
        let queue = DispatchQueue::new(settings.hall.clone(), limits, EJECT_POLICY);
        ServiceQueue { queue: Mutex::new(queue) }
    }

    /// Works on the queue under its lock.
    pub fn with<R>(&self, work: impl FnOnce(&mut DispatchQueue<Waiter>) -> R) -> R {
        work(&mut self.queue.lock())
    }

    /// Takes in the endpoints as the controllers see them.
    pub fn sync(&self, views: Vec<EndpointView>) {
        let chosen = self.with(|queue| queue.sync(views, clock::now()));
        self.deliver(chosen);
    }

    /// Gives room to those that wait, and takes out those whose deadline has passed.
    pub fn turn(&self) {
        let now = clock::now();
        let (expired, chosen) = self.with(|queue| (queue.expire(now), queue.dispatch_waiting(now)));
        // A dropped waiter is how a request learns that its deadline has passed.
        drop(expired);
        self.deliver(chosen);
    }

    /// Gives back a slot.
    pub fn release(&self, endpoint: &EndpointId, evidence: EndpointOutcome, held: TimeSpan) {
        let chosen = self.with(|queue| queue.release(endpoint, evidence, held, clock::now()));
        self.deliver(chosen);
    }

    fn deliver(&self, chosen: Vec<(DispatchChoice, Waiter)>) {
        for (choice, waiter) in chosen {
            if let Err(choice) = waiter.send(choice) {
                // The caller went while its request waited.
                self.release(&choice.endpoint, EndpointOutcome::Neutral, TimeSpan(0));
            }
        }
    }
}

/// How a request went, for reading back.
#[derive(Debug, Clone)]
pub struct RequestTrace {
    /// The request.
    pub id: RequestId,
    /// When it ended, in milliseconds of Unix time.
    pub at_ms: u64,
    /// The endpoint that it went to last, if any.
    pub endpoint: Option<EndpointId>,
    /// Endpoints with room when that was chosen.
    pub candidates: usize,
    /// How it ended.
    pub outcome: &'static str,
    /// Why.
    pub reason: &'static str,
    /// The offset up to which the log was in force.
    pub applied: Offset,
}

/// Everything that threads share.
pub struct SharedState {
    /// The settings.
    pub settings: BoxSettings,
    /// Where to log.
    pub log: LogSink,
    /// What renders the metrics.
    pub metrics: PrometheusHandle,
    /// What traffic knows of the cluster.
    pub view: ArcSwap<TrafficView>,
    /// Whether the box takes requests.
    pub health: ArcSwap<HealthReport>,
    queues: ArcSwap<BTreeMap<TemplateName, Arc<ServiceQueue>>>,
    buckets: Mutex<HashMap<(OrgName, TemplateName), TokenBucket>>,
    traces: Mutex<VecDeque<RequestTrace>>,
    in_flight: std::sync::atomic::AtomicUsize,
    /// When the controllers last found the view to be fresh.
    fresh_at: std::sync::atomic::AtomicU64,
    /// When the read of the log was begun that the view is known to reach to the end of.
    proven_at: std::sync::atomic::AtomicU64,
    /// The connections of callers.
    pub connections: Arc<ConnectionDesk>,
}

impl SharedState {
    /// The state of a box that has just started.
    pub fn new(settings: BoxSettings, log: LogSink, metrics: PrometheusHandle) -> SharedState {
        let health = HealthReport {
            health: BoxHealth::NotReady,
            reason: "has not read the log yet".to_owned(),
        };
        let connections = ConnectionDesk::new(
            log.logger.clone(),
            connection_limits(&settings),
            answer_in_advance,
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
            proven_at: std::sync::atomic::AtomicU64::new(0),
            connections,
        }
    }

    /// The queue of a service, if the box knows the service.
    pub fn queue(&self, service: &TemplateName) -> Option<Arc<ServiceQueue>> {
        self.queues.load().get(service).cloned()
    }

    /// All queues.
    pub fn queues(&self) -> Arc<BTreeMap<TemplateName, Arc<ServiceQueue>>> {
        self.queues.load_full()
    }

    /// Makes sure that there is a queue for each service.
    pub fn ensure_queues<'a>(&self, services: impl Iterator<Item = &'a TemplateName>) {
        let mut queues = (*self.queues.load_full()).clone();
        let before = queues.len();
        for service in services {
            queues
                .entry(service.clone())
                .or_insert_with(|| Arc::new(ServiceQueue::new(&self.settings)));
        }
        if queues.len() != before {
            self.queues.store(Arc::new(queues));
        }
    }

    /// Whether the rate of an organisation allows one more request now.
    pub fn take_token(&self, parameters: &OrgParameters, now: Moment) -> bool {
        let Some(rate) = parameters.rate else { return true };
        let key = (parameters.organisation.clone(), parameters.template.clone());
        let mut buckets = self.buckets.lock();
        let bucket = buckets.entry(key).or_insert_with(|| TokenBucket::new(rate, now));
        if bucket.rate() != rate {
            *bucket = TokenBucket::new(rate, now);
        }
        bucket.try_take(now)
    }

    /// Remembers how a request went.
    pub fn remember(&self, trace: RequestTrace) {
        let mut traces = self.traces.lock();
        if traces.len() >= KEPT_TRACES {
            traces.pop_front();
        }
        traces.push_back(trace);
    }

    /// How a request went, if that is still remembered.
    pub fn trace(&self, id: &RequestId) -> Option<RequestTrace> {
        self.traces.lock().iter().rev().find(|trace| trace.id == *id).cloned()
    }

    /// Counts a request in flight until the guard is dropped.
    pub fn enter(self: &Arc<Self>) -> InFlightGuard {
        self.in_flight.fetch_add(1, std::sync::atomic::Ordering::SeqCst);
        InFlightGuard { shared: self.clone() }
    }

    /// Notes that the view is fresh as of `now`.
    pub fn set_fresh(&self, now: Moment) {
        self.fresh_at.store(now.0, std::sync::atomic::Ordering::Release);
    }

    /// Whether the view may be acted on. It may not after a pause until the controllers have looked.
    pub fn is_fresh(&self, now: Moment) -> bool {
        let fresh_at = Moment(self.fresh_at.load(std::sync::atomic::Ordering::Acquire));
        now.since(fresh_at) <= PAUSE_LIMIT
    }

    /// Notes that the view holds all that was in the log at `moment`.
    pub fn set_proven(&self, moment: Moment) {
        self.proven_at.fetch_max(moment.0, std::sync::atomic::Ordering::AcqRel);
    }

    /// The last moment of which the view is known to hold all that was in the log.
    pub fn proven_at(&self) -> Moment {
        Moment(self.proven_at.load(std::sync::atomic::Ordering::Acquire))
    }

    /// Requests in flight.
    pub fn in_flight(&self) -> usize {
        self.in_flight.load(std::sync::atomic::Ordering::SeqCst)
    }

    /// Whether the box is draining.
    pub fn is_draining(&self) -> bool {
        self.health.load().health == BoxHealth::Draining
    }
}

/// Counts one request in flight while it lives.
pub struct InFlightGuard {
    shared: Arc<SharedState>,
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        self.shared.in_flight.fetch_sub(1, std::sync::atomic::Ordering::SeqCst);
    }
}
