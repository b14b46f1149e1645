//! Chooses the endpoint of each request and orders the requests that wait.
//!
//! Each box has one [`DispatchQueue`] per service. The slots of an endpoint are divided among all
//! boxes, and each box uses only its share. An endpoint therefore never queues requests itself, and
//! the boxes alone decide their order. Requests wait in the order of arrival time plus patience, so
//! short requests overtake long ones without starving them.

use std::collections::{BTreeMap, BTreeSet};

use crate::ids::{EndpointId, HallName, OrgName};
use crate::units::{Moment, TimeSpan};

/// Maximum number of waiting requests that one pass skips because no free endpoint may serve them.
const MAX_LOOKAHEAD: usize = 64;
/// Maximum age of the endpoint list. After a pause of the process, the queue dispatches nothing
/// until the controllers have updated the list.
const MAX_ENDPOINT_LIST_AGE: TimeSpan = TimeSpan(1_000);

/// When an endpoint is ejected after failures, and for how long.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct EjectionPolicy {
    /// Consecutive failures that eject an endpoint.
    pub failure_threshold: u32,
    /// Duration of the first ejection. It doubles with each further one.
    pub base_duration: TimeSpan,
    /// Upper bound of the doubled duration.
    pub max_duration: TimeSpan,
    /// Maximum share of the endpoints that may be ejected at the same time, in percent.
    pub max_ejected_percent: usize,
}

/// One endpoint as listed by the controllers.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EndpointView {
    /// Id of the endpoint.
    pub id: EndpointId,
    /// Data hall in which it runs.
    pub hall: HallName,
    /// Address on which it listens.
    pub address: std::net::SocketAddr,
    /// Maximum number of requests that this box may have in flight at it (see [`slot_share`]).
    pub share: u32,
    /// Whether it is draining and takes no new requests.
    pub leaving: bool,
}

#[derive(Debug)]
struct EndpointEntry {
    view: EndpointView,
    in_flight: u32,
    /// Whether the last [`DispatchQueue::sync`] listed the endpoint.
    listed: bool,
    /// Consecutive failures.
    failures: u32,
    /// Ejections since the last success.
    ejections: u32,
    ejected_until: Option<Moment>,
}

impl EndpointEntry {
    fn new(view: EndpointView) -> EndpointEntry {
        EndpointEntry {
            view,
            in_flight: 0,
            listed: true,
            failures: 0,
            ejections: 0,
            ejected_until: None,
        }
    }

    /// Replaces the view. A new address clears the failure record, but requests in flight still
    /// count, since the same machine may be behind both addresses.
    fn update(&mut self, view: EndpointView) {
        if self.view.address != view.address {
            self.failures = 0;
            self.ejections = 0;
            self.ejected_until = None;
        }
        self.view = view;
        self.listed = true;
    }

    fn is_ejected(&self, now: Moment) -> bool {
        self.ejected_until.is_some_and(|until| now < until)
    }

    /// Whether a request may be sent to the endpoint now. After an ejection, one request at a time
    /// probes the endpoint until one succeeds.
    fn has_free_slot(&self, now: Moment) -> bool {
        let limit =
            if self.ejected_until.is_some() { self.view.share.min(1) } else { self.view.share };
        self.listed && !self.view.leaving && !self.is_ejected(now) && self.in_flight < limit
    }
}

/// A request as the queue sees it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DispatchRequest {
    /// Organisation of the caller.
    pub organisation: OrgName,
    /// Data halls whose endpoints may serve it; empty for all.
    pub halls: BTreeSet<HallName>,
    /// Arrival time plus the patience of the request's kind. Requests wait in this order.
    pub due: Moment,
    /// Time at which the request is dropped from the queue if it still waits.
    pub deadline: Moment,
    /// Maximum number of waiting requests of the organisation.
    pub queue_limit: u32,
    /// Size of its body, in bytes.
    pub bytes: usize,
    /// Endpoints that refused it before. They are skipped while another endpoint may serve it.
    pub avoid: Vec<EndpointId>,
}

/// Why a request is not queued.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DispatchRefusal {
    /// The organisation's limit of waiting requests is reached.
    OrganisationQueueFull,
    /// The queue's limit of waiting requests or of their bytes is reached.
    QueueFull,
    /// The expected wait behind earlier requests exceeds the time to its deadline.
    WouldMissDeadline,
}

/// The endpoint chosen for a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DispatchChoice {
    /// Id of the endpoint.
    pub endpoint: EndpointId,
    /// Address on which it listens.
    pub address: std::net::SocketAddr,
    /// Number of endpoints that could have served the request at the time of the choice.
    pub candidates: usize,
}

/// Result of offering a request to the queue.
#[derive(Debug)]
pub enum DispatchOffer<T> {
    /// The request is sent to this endpoint now.
    Chosen(DispatchChoice, T),
    /// The request was queued.
    Waiting,
    /// The request is neither sent nor queued.
    Refused(DispatchRefusal, T),
}

/// How an attempt at an endpoint ended, for the detection of failing endpoints.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EndpointOutcome {
    /// The endpoint answered.
    Success,
    /// The endpoint was unreachable, broke off its answer or timed out.
    Failure,
    /// The endpoint refused because it was full, or the caller disconnected. Not counted.
    Neutral,
}

/// Limits of the requests that wait at one box for one service.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct QueueLimits {
    /// Maximum number of waiting requests.
    pub count: usize,
    /// Maximum total size of their bodies, in bytes.
    pub bytes: usize,
}

#[derive(Debug)]
struct WaitingRequest<T> {
    request: DispatchRequest,
    token: T,
}

/// The endpoints and waiting requests of one service at one box.
#[derive(Debug)]
pub struct DispatchQueue<T> {
    hall: HallName,
    limits: QueueLimits,
    ejection_policy: EjectionPolicy,
    endpoints: BTreeMap<EndpointId, EndpointEntry>,
    waiting: BTreeMap<(Moment, u64), WaitingRequest<T>>,
    waiting_bytes: usize,
    waiting_by_org: BTreeMap<OrgName, u32>,
    sequence: u64,
    /// Time of the last [`DispatchQueue::sync`].
    last_sync: Moment,
    /// Exponential moving average of the time that a request holds a slot, in milliseconds.
    mean_hold_ms: f64,
}

impl<T> DispatchQueue<T> {
    /// Creates a queue without endpoints, for a box in `hall`.
    pub fn new(
        hall: HallName,
        limits: QueueLimits,
        ejection_policy: EjectionPolicy,
    ) -> DispatchQueue<T> {
        DispatchQueue {
            hall,
            limits,
            ejection_policy,
            endpoints: BTreeMap::new(),
            waiting: BTreeMap::new(),
            waiting_bytes: 0,
            waiting_by_org: BTreeMap::new(),
            sequence: 0,
            last_sync: Moment(0),
            mean_hold_ms: 0.0,
        }
    }

    /// Returns the number of waiting requests.
    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }

    /// Returns the number of requests in flight at endpoints.
    pub fn in_flight(&self) -> u32 {
        self.endpoints.values().map(|entry| entry.in_flight).sum()
    }

    /// Replaces the list of endpoints and dispatches waiting requests to free slots.
    ///
    /// An endpoint that is no longer listed is kept until its requests in flight have ended.
    pub fn sync(&mut self, views: Vec<EndpointView>, now: Moment) -> Vec<(DispatchChoice, T)> {
        self.last_sync = now;
        for entry in self.endpoints.values_mut() {
            entry.listed = false;
        }
        for view in views {
            match self.endpoints.get_mut(&view.id) {
                Some(entry) => entry.update(view),
                None => {
                    self.endpoints.insert(view.id.clone(), EndpointEntry::new(view));
                }
            }
        }
        self.endpoints.retain(|_, entry| entry.listed || entry.in_flight > 0);
        self.dispatch_waiting(now)
    }

    /// Dispatches a request at once if no other is due before it and an endpoint is free, and
    /// queues it otherwise. `token` is the caller's handle of the request.
    pub fn offer(&mut self, request: DispatchRequest, token: T, now: Moment) -> DispatchOffer<T> {
        let is_first = self.first_due().is_none_or(|due| due > request.due);
        if is_first && let Some(choice) = self.choose(&request, now) {
            return DispatchOffer::Chosen(choice, token);
        }
        match self.check_queue(&request, now) {
            Err(refusal) => DispatchOffer::Refused(refusal, token),
            Ok(()) => {
                self.push(request, token);
                DispatchOffer::Waiting
            }
        }
    }

    fn first_due(&self) -> Option<Moment> {
        self.waiting.keys().next().map(|(due, _)| *due)
    }

    fn check_queue(&self, request: &DispatchRequest, now: Moment) -> Result<(), DispatchRefusal> {
        let org_waiting = self.waiting_by_org.get(&request.organisation).copied().unwrap_or(0);
        if org_waiting >= request.queue_limit {
            return Err(DispatchRefusal::OrganisationQueueFull);
        }
        let full = self.waiting.len() >= self.limits.count
            || self.waiting_bytes + request.bytes > self.limits.bytes;
        if full {
            return Err(DispatchRefusal::QueueFull);
        }
        if self.expected_wait(request) > request.deadline.since(now) {
            return Err(DispatchRefusal::WouldMissDeadline);
        }
        Ok(())
    }

    /// Estimates how long a request waits, from the number of requests due earlier, the slots of
    /// this box and the mean time that a request holds a slot.
    fn expected_wait(&self, request: &DispatchRequest) -> TimeSpan {
        let is_usable = |entry: &&EndpointEntry| entry.listed && !entry.view.leaving;
        let slots: u32 =
            self.endpoints.values().filter(is_usable).map(|entry| entry.view.share).sum();
        if slots == 0 {
            return TimeSpan(0);
        }
        let ahead = self.waiting.range(..(request.due, 0)).count() as f64;
        TimeSpan((ahead * self.mean_hold_ms / f64::from(slots)) as u64)
    }

    fn push(&mut self, request: DispatchRequest, token: T) {
        self.sequence += 1;
        self.waiting_bytes += request.bytes;
        *self.waiting_by_org.entry(request.organisation.clone()).or_default() += 1;
        self.waiting.insert((request.due, self.sequence), WaitingRequest { request, token });
    }

    fn pop(&mut self, key: (Moment, u64)) -> Option<WaitingRequest<T>> {
        let waiting = self.waiting.remove(&key)?;
        self.waiting_bytes -= waiting.request.bytes;
        if let Some(count) = self.waiting_by_org.get_mut(&waiting.request.organisation) {
            *count -= 1;
            if *count == 0 {
                self.waiting_by_org.remove(&waiting.request.organisation);
            }
        }
        Some(waiting)
    }

    /// Chooses the endpoint with the lowest load, preferring the box's own hall among equals, and
    /// takes one of its slots.
    fn choose(&mut self, request: &DispatchRequest, now: Moment) -> Option<DispatchChoice> {
        if now.since(self.last_sync) > MAX_ENDPOINT_LIST_AGE {
            return None;
        }
        let excluded = self.excluded_endpoints(request);
        let mut candidates = 0;
        let mut best: Option<(u64, &EndpointId)> = None;
        for (id, entry) in &self.endpoints {
            let allowed = request.halls.is_empty() || request.halls.contains(&entry.view.hall);
            if !allowed || !entry.has_free_slot(now) || excluded.contains(id) {
                continue;
            }
            candidates += 1;
            let is_remote = u64::from(entry.view.hall != self.hall);
            let load = u64::from(entry.in_flight) * 1000 / u64::from(entry.view.share);
            let score = load * 2 + is_remote;
            if best.is_none_or(|(lowest, _)| score < lowest) {
                best = Some((score, id));
            }
        }
        let id = best?.1.clone();
        let entry = self.endpoints.get_mut(&id)?;
        entry.in_flight += 1;
        assert!(
            entry.in_flight <= entry.view.share,
            "invariant: an endpoint's share is not exceeded"
        );
        Some(DispatchChoice { endpoint: id, address: entry.view.address, candidates })
    }

    /// Returns whether a request that holds a slot of the endpoint may still be sent there. After a pause of the
    /// process that is not known until the next [`DispatchQueue::sync`].
    pub fn may_send(&self, endpoint: &EndpointId, now: Moment) -> bool {
        let is_current = now.since(self.last_sync) <= MAX_ENDPOINT_LIST_AGE;
        let is_usable = |entry: &EndpointEntry| entry.listed && !entry.view.leaving;
        is_current && self.endpoints.get(endpoint).is_some_and(is_usable)
    }

    /// Returns the endpoints to skip: those that refused the request before, or none if no other
    /// endpoint may serve it.
    fn excluded_endpoints<'r>(&self, request: &'r DispatchRequest) -> &'r [EndpointId] {
        let serves = |entry: &EndpointEntry| {
            let allowed = request.halls.is_empty() || request.halls.contains(&entry.view.hall);
            allowed && entry.listed && !entry.view.leaving && entry.view.share > 0
        };
        let is_alternative = |(id, entry): (&EndpointId, &EndpointEntry)| {
            serves(entry) && !request.avoid.contains(id)
        };
        match request.avoid.is_empty() || self.endpoints.iter().any(is_alternative) {
            true => &request.avoid,
            false => &[],
        }
    }

    /// Records the end of an attempt that held a slot for `held`, and dispatches waiting requests
    /// to the freed slot.
    pub fn release(
        &mut self,
        endpoint: &EndpointId,
        outcome: EndpointOutcome,
        held: TimeSpan,
        now: Moment,
    ) -> Vec<(DispatchChoice, T)> {
        /// Weight of the newest sample in the moving average.
        const HOLD_TIME_WEIGHT: f64 = 0.05;
        self.mean_hold_ms += HOLD_TIME_WEIGHT * (held.0 as f64 - self.mean_hold_ms);
        let can_eject = self.can_eject(now);
        let policy = self.ejection_policy;
        if let Some(entry) = self.endpoints.get_mut(endpoint) {
            entry.in_flight =
                entry.in_flight.checked_sub(1).expect("invariant: a slot is released once");
            record_outcome(entry, outcome, policy, can_eject, now);
            if !entry.listed && entry.in_flight == 0 {
                self.endpoints.remove(endpoint);
            }
        }
        self.dispatch_waiting(now)
    }

    fn can_eject(&self, now: Moment) -> bool {
        let ejected = self.endpoints.values().filter(|entry| entry.is_ejected(now)).count();
        (ejected + 1) * 100 <= self.endpoints.len() * self.ejection_policy.max_ejected_percent
    }

    /// Dispatches waiting requests to free slots, in the order in which they are due.
    pub fn dispatch_waiting(&mut self, now: Moment) -> Vec<(DispatchChoice, T)> {
        let mut chosen = Vec::new();
        let mut skipped = 0;
        let mut cursor = (Moment(0), 0);
        while skipped < MAX_LOOKAHEAD && self.has_work_and_free_slot(now) {
            let Some(key) = self.waiting.range(cursor..).next().map(|(key, _)| *key) else { break };
            cursor = (key.0, key.1 + 1);
            let request = self.waiting[&key].request.clone();
            match self.choose(&request, now) {
                Some(choice) => {
                    let waiting = self.pop(key).expect("the key comes from the queue");
                    chosen.push((choice, waiting.token));
                }
                None => skipped += 1,
            }
        }
        chosen
    }

    fn has_work_and_free_slot(&self, now: Moment) -> bool {
        !self.waiting.is_empty() && self.endpoints.values().any(|entry| entry.has_free_slot(now))
    }

    /// Removes the requests whose deadline has passed and returns their tokens.
    pub fn expire(&mut self, now: Moment) -> Vec<T> {
        let expired: Vec<(Moment, u64)> = self
            .waiting
            .iter()
            .filter(|(_, waiting)| waiting.request.deadline <= now)
            .map(|(key, _)| *key)
            .collect();
        expired.into_iter().filter_map(|key| self.pop(key)).map(|waiting| waiting.token).collect()
    }
}

fn record_outcome(
    entry: &mut EndpointEntry,
    outcome: EndpointOutcome,
    policy: EjectionPolicy,
    can_eject: bool,
    now: Moment,
) {
    match outcome {
        EndpointOutcome::Neutral => {}
        EndpointOutcome::Success => {
            entry.failures = 0;
            entry.ejections = 0;
            entry.ejected_until = None;
        }
        EndpointOutcome::Failure => {
            entry.failures += 1;
            let was_probe = entry.ejected_until.is_some();
            if (was_probe || entry.failures >= policy.failure_threshold) && can_eject {
                let doubled = policy.base_duration.0.saturating_mul(1 << entry.ejections.min(16));
                entry.ejections += 1;
                entry.ejected_until = Some(now.after(TimeSpan(doubled.min(policy.max_duration.0))));
            }
        }
    }
}

/// Returns how many of an endpoint's `slots` the box with this rank may use, among `boxes` boxes.
///
/// The shares of all boxes add up to `slots`. A hash of the endpoint's id decides which boxes get
/// the remainder of the division, so that it does not always go to the same boxes.
pub fn slot_share(slots: u32, boxes: usize, rank: usize, endpoint: &EndpointId) -> u32 {
    let boxes = boxes.max(1);
    let id_hash = endpoint
        .as_str()
        .bytes()
        .fold(0usize, |sum, byte| sum.wrapping_mul(31).wrapping_add(usize::from(byte)));
    let base = slots as usize / boxes;
    let remainder = slots as usize % boxes;
    let extra = usize::from((rank + id_hash) % boxes < remainder);
    (base + extra) as u32
}
