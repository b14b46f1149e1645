//! Which endpoint a request goes to, and in which order requests wait.
//!
//! One [`DispatchQueue`] per service at each box. The slots of an endpoint are a budget shared by
//! all boxes: each box uses only its share, so that an endpoint never queues and the order of
//! waiting stays with the boxes. Requests wait in the order of arrival plus patience, so quick work
//! passes heavy work and heavy work does not starve.

use std::collections::{BTreeMap, BTreeSet};

use crate::ids::{EndpointId, HallName, OrgName};
use crate::units::{Moment, TimeSpan};

/// How many waiting requests are looked at for a freed endpoint that the first may not use.
const MAX_LOOKAHEAD: usize = 64;
/// How long what the controllers said holds. A box that was paused hands nothing out until its
/// controllers have looked again.
const MAX_VIEW_AGE: TimeSpan = TimeSpan(1_000);

/// How an endpoint is kept from work after failures.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct EjectionPolicy {
    /// Failures in a row that eject an endpoint.
    pub failure_threshold: u32,
    /// How long the first ejection lasts; it doubles with each further one.
    pub base_duration: TimeSpan,
    /// The longest ejection.
    pub max_duration: TimeSpan,
    /// The largest share of endpoints ejected at once, in percent.
    pub max_ejected_percent: usize,
}

/// What the controllers know of one endpoint.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EndpointView {
    /// The endpoint.
    pub id: EndpointId,
    /// Its data hall.
    pub hall: HallName,
    /// Where it listens.
    pub address: std::net::SocketAddr,
    /// Requests that this box may have at it at once.
    pub share: u32,
    /// Whether it takes no new work.
    pub leaving: bool,
}

#[derive(Debug)]
struct EndpointEntry {
    view: EndpointView,
    in_flight: u32,
    present: bool,
    failures: u32,
    ejections: u32,
    ejected_until: Option<Moment>,
}

impl EndpointEntry {
    fn new(view: EndpointView) -> EndpointEntry {
        EndpointEntry {
            view,
            in_flight: 0,
            present: true,
            failures: 0,
            ejections: 0,
            ejected_until: None,
        }
    }

    /// Takes a newer view. Requests under way still count when the endpoint moved to another
    /// address: it may be the same box.
    fn update(&mut self, view: EndpointView) {
        if self.view.address != view.address {
            self.failures = 0;
            self.ejections = 0;
            self.ejected_until = None;
        }
        self.view = view;
        self.present = true;
    }

    fn is_ejected(&self, now: Moment) -> bool {
        self.ejected_until.is_some_and(|until| now < until)
    }

    /// Room now: an endpoint back from ejection is probed with one request.
    fn has_room(&self, now: Moment) -> bool {
        let limit =
            if self.ejected_until.is_some() { self.view.share.min(1) } else { self.view.share };
        self.present && !self.view.leaving && !self.is_ejected(now) && self.in_flight < limit
    }
}

/// What a request asks for.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DispatchRequest {
    /// The organisation, whose share of the queue is bounded.
    pub organisation: OrgName,
    /// Halls that may serve it; empty for all.
    pub halls: BTreeSet<HallName>,
    /// When its turn is: arrival plus patience.
    pub due: Moment,
    /// When it is given up if it still waits.
    pub deadline: Moment,
    /// The most requests of the organisation that may wait.
    pub queue_limit: u32,
    /// The size of its body, in bytes.
    pub bytes: usize,
    /// Endpoints that refused it before; they are passed over while there are others.
    pub avoid: Vec<EndpointId>,
}

/// Why a request is not waiting in.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DispatchRefusal {
    /// The organisation has its limit of requests waiting.
    OrganisationQueueFull,
    /// The box has its limit of requests or bytes waiting.
    QueueFull,
    /// Others wait that will take longer than its deadline.
    WouldMissDeadline,
}

/// A decision: which endpoint and out of how many.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DispatchChoice {
    /// The endpoint.
    pub endpoint: EndpointId,
    /// Where it listens.
    pub address: std::net::SocketAddr,
    /// Endpoints with room when it was chosen.
    pub candidates: usize,
}

/// What becomes of a request at once.
#[derive(Debug)]
pub enum DispatchOffer<T> {
    /// It goes to an endpoint.
    Chosen(DispatchChoice, T),
    /// It waits.
    Waiting,
    /// It is refused.
    Refused(DispatchRefusal, T),
}

/// How an attempt at an endpoint ended, as outcome for or against the endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EndpointOutcome {
    /// It answered.
    Success,
    /// It could not be reached, cut the answer or timed out.
    Failure,
    /// It refused for want of room, or the caller went.
    Neutral,
}

/// Bounds on what waits at one box for one service.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct QueueLimits {
    /// Requests.
    pub count: usize,
    /// Bytes of their bodies.
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
    eject: EjectionPolicy,
    endpoints: BTreeMap<EndpointId, EndpointEntry>,
    waiting: BTreeMap<(Moment, u64), WaitingRequest<T>>,
    waiting_bytes: usize,
    waiting_by_org: BTreeMap<OrgName, u32>,
    sequence: u64,
    /// When the controllers last said which endpoints there are.
    last_sync: Moment,
    /// The running mean time that a request holds a slot, in milliseconds.
    mean_hold_ms: f64,
}

impl<T> DispatchQueue<T> {
    /// A queue without endpoints, at a box in `hall`.
    pub fn new(hall: HallName, limits: QueueLimits, eject: EjectionPolicy) -> DispatchQueue<T> {
        DispatchQueue {
            hall,
            limits,
            eject,
            endpoints: BTreeMap::new(),
            waiting: BTreeMap::new(),
            waiting_bytes: 0,
            waiting_by_org: BTreeMap::new(),
            sequence: 0,
            last_sync: Moment(0),
            mean_hold_ms: 0.0,
        }
    }

    /// Requests that wait.
    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }

    /// Requests under way at endpoints.
    pub fn in_flight(&self) -> u32 {
        self.endpoints.values().map(|entry| entry.in_flight).sum()
    }

    /// Takes in the endpoints as the controllers see them now, and gives freed room to requests
    /// that wait.
    pub fn sync(&mut self, views: Vec<EndpointView>, now: Moment) -> Vec<(DispatchChoice, T)> {
        self.last_sync = now;
        for entry in self.endpoints.values_mut() {
            entry.present = false;
        }
        for view in views {
            match self.endpoints.get_mut(&view.id) {
                Some(entry) => entry.update(view),
                None => {
                    self.endpoints.insert(view.id.clone(), EndpointEntry::new(view));
                }
            }
        }
        self.endpoints.retain(|_, entry| entry.present || entry.in_flight > 0);
        self.dispatch_waiting(now)
    }

    /// Offers a request.
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
        let of_org = self.waiting_by_org.get(&request.organisation).copied().unwrap_or(0);
        if of_org >= request.queue_limit {
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

    /// The wait to expect from what is due earlier, the slots of this box and the time each is held.
    fn expected_wait(&self, request: &DispatchRequest) -> TimeSpan {
        let usable = |entry: &&EndpointEntry| entry.present && !entry.view.leaving;
        let slots: u32 = self.endpoints.values().filter(usable).map(|entry| entry.view.share).sum();
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

    /// Chooses the least in_flight endpoint with room, of the near hall where it is as free as any, and
    /// takes one of its slots.
    fn choose(&mut self, request: &DispatchRequest, now: Moment) -> Option<DispatchChoice> {
        if now.since(self.last_sync) > MAX_VIEW_AGE {
            return None;
        }
        let avoid = self.excluded_endpoints(request);
        let mut candidates = 0;
        let mut best: Option<(u64, &EndpointId)> = None;
        for (id, entry) in &self.endpoints {
            let allowed = request.halls.is_empty() || request.halls.contains(&entry.view.hall);
            if !allowed || !entry.has_room(now) || avoid.contains(id) {
                continue;
            }
            candidates += 1;
            let far = u64::from(entry.view.hall != self.hall);
            let load = u64::from(entry.in_flight) * 1000 / u64::from(entry.view.share);
            let score = load * 2 + far;
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

    /// The endpoints to pass over; none if there is no other that may serve the request.
    fn excluded_endpoints<'r>(&self, request: &'r DispatchRequest) -> &'r [EndpointId] {
        let serves = |entry: &EndpointEntry| {
            let allowed = request.halls.is_empty() || request.halls.contains(&entry.view.hall);
            allowed && entry.present && !entry.view.leaving && entry.view.share > 0
        };
        let others = |(id, entry): (&EndpointId, &EndpointEntry)| {
            serves(entry) && !request.avoid.contains(id)
        };
        match request.avoid.is_empty() || self.endpoints.iter().any(others) {
            true => &request.avoid,
            false => &[],
        }
    }

    /// Ends an attempt that held a slot for `held`, and gives the freed room to whoever waits.
    pub fn release(
        &mut self,
        endpoint: &EndpointId,
        outcome: EndpointOutcome,
        held: TimeSpan,
        now: Moment,
    ) -> Vec<(DispatchChoice, T)> {
        const MEAN_WEIGHT: f64 = 0.05;
        self.mean_hold_ms += MEAN_WEIGHT * (held.0 as f64 - self.mean_hold_ms);
        let can_eject = self.can_eject(now);
        let policy = self.eject;
        if let Some(entry) = self.endpoints.get_mut(endpoint) {
            entry.in_flight =
                entry.in_flight.checked_sub(1).expect("invariant: a slot is released once");
            record_outcome(entry, outcome, policy, can_eject, now);
            if !entry.present && entry.in_flight == 0 {
                self.endpoints.remove(endpoint);
            }
        }
        self.dispatch_waiting(now)
    }

    fn can_eject(&self, now: Moment) -> bool {
        let ejected = self.endpoints.values().filter(|entry| entry.is_ejected(now)).count();
        (ejected + 1) * 100 <= self.endpoints.len() * self.eject.max_ejected_percent
    }

    /// Gives room to requests that wait, the first due first.
    pub fn dispatch_waiting(&mut self, now: Moment) -> Vec<(DispatchChoice, T)> {
        let mut chosen = Vec::new();
        let mut passed = 0;
        let mut cursor = (Moment(0), 0);
        while passed < MAX_LOOKAHEAD && self.has_any_room(now) {
            let Some(key) = self.waiting.range(cursor..).next().map(|(key, _)| *key) else { break };
            cursor = (key.0, key.1 + 1);
            let request = self.waiting[&key].request.clone();
            match self.choose(&request, now) {
                Some(choice) => {
                    let waiting = self.pop(key).expect("the request was just seen");
                    chosen.push((choice, waiting.token));
                }
                None => passed += 1,
            }
        }
        chosen
    }

    fn has_any_room(&self, now: Moment) -> bool {
        !self.waiting.is_empty() && self.endpoints.values().any(|entry| entry.has_room(now))
    }

    /// Takes out the requests whose deadline has passed.
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
            let probed = entry.ejected_until.is_some();
            if (probed || entry.failures >= policy.failure_threshold) && can_eject {
                let doubled = policy.base_duration.0.saturating_mul(1 << entry.ejections.min(16));
                entry.ejections += 1;
                entry.ejected_until = Some(now.after(TimeSpan(doubled.min(policy.max_duration.0))));
            }
        }
    }
}

/// The slots of one endpoint that the box of this rank may use, out of `boxes` boxes in all. The
/// remainder of the division falls to other boxes at each endpoint.
pub fn slot_share(slots: u32, boxes: usize, rank: usize, endpoint: &EndpointId) -> u32 {
    let boxes = boxes.max(1);
    let turn = endpoint
        .as_str()
        .bytes()
        .fold(0usize, |sum, byte| sum.wrapping_mul(31).wrapping_add(usize::from(byte)));
    let base = slots as usize / boxes;
    let remainder = slots as usize % boxes;
    let extra = usize::from((rank + turn) % boxes < remainder);
    (base + extra) as u32
}
