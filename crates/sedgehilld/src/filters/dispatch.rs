//! Reserves a slot of an endpoint for a request, and lets the request wait if there is none.

use std::sync::Arc;
use std::time::{Duration, Instant};

use sedgehill_core::dispatch::{
    DispatchChoice, DispatchOffer, DispatchRefusal, DispatchRequest, EndpointOutcome,
};
use sedgehill_core::ids::EndpointId;
use sedgehill_core::units::TimeSpan;
use tokio::sync::oneshot;

use super::identify::RequestContext;
use super::outcome::{NotRunReason, RequestOutcome};
use crate::clock;
use crate::shared::{ServiceQueue, SharedState};

/// A reserved slot of an endpoint, which is released when dropped.
pub struct EndpointSlot {
    queue: Arc<ServiceQueue>,
    choice: DispatchChoice,
    reserved_at: Instant,
    outcome: EndpointOutcome,
}

impl EndpointSlot {
    fn new(queue: Arc<ServiceQueue>, choice: DispatchChoice) -> EndpointSlot {
        // Stays neutral if the caller closes its connection, which says nothing about the endpoint.
        EndpointSlot {
            queue,
            choice,
            reserved_at: Instant::now(),
            outcome: EndpointOutcome::Neutral,
        }
    }

    /// Returns the dispatch decision that reserved the slot.
    pub fn choice(&self) -> &DispatchChoice {
        &self.choice
    }

    /// Returns a function that tells whether the endpoint may still receive the request.
    pub fn send_permit(&self) -> impl Fn() -> bool + Send + 'static {
        let (queue, endpoint) = (self.queue.clone(), self.choice.endpoint.clone());
        move || queue.with(|queue| queue.may_send(&endpoint, clock::now()))
    }

    /// Returns how long ago the slot was reserved.
    pub fn held(&self) -> Duration {
        self.reserved_at.elapsed()
    }

    /// Sets the outcome of the attempt, which counts for or against the endpoint when the slot is released.
    pub fn set_outcome(&mut self, outcome: EndpointOutcome) {
        self.outcome = outcome;
    }
}

impl Drop for EndpointSlot {
    fn drop(&mut self) {
        let held = TimeSpan(self.held().as_millis() as u64);
        self.queue.release(&self.choice.endpoint, self.outcome, held);
    }
}

/// A request that waits for a slot. If it is dropped after a slot was sent to it and before it received the slot, the
/// slot is released.
struct SlotReceiver {
    queue: Arc<ServiceQueue>,
    receiver: oneshot::Receiver<DispatchChoice>,
}

impl Drop for SlotReceiver {
    fn drop(&mut self) {
        self.receiver.close();
        if let Ok(choice) = self.receiver.try_recv() {
            self.queue.release(&choice.endpoint, EndpointOutcome::Neutral, TimeSpan(0));
        }
    }
}

/// Reserves a slot of an endpoint for the request, and waits for one if necessary.
pub async fn dispatch(
    shared: &SharedState,
    context: &RequestContext,
    avoid: &[EndpointId],
) -> Result<EndpointSlot, RequestOutcome> {
    let queue = shared
        .queue(&context.service)
        .ok_or(RequestOutcome::NotRun(NotRunReason::NoSuchService))?;
    let tolerable_wait = TimeSpan(context.kind.patience.0 + context.parameters.tolerable_delay.0);
    let request = DispatchRequest {
        organisation: context.parameters.organisation.clone(),
        halls: context.parameters.halls.clone(),
        due: context.arrived.after(tolerable_wait),
        deadline: context.deadline,
        queue_limit: context.parameters.queue,
        bytes: context.body.len(),
        avoid: avoid.to_vec(),
    };
    let (sender, receiver) = oneshot::channel();
    match queue.with(|queue| queue.offer(request, sender, clock::now())) {
        DispatchOffer::Chosen(choice, _) => Ok(EndpointSlot::new(queue, choice)),
        DispatchOffer::Refused(refusal, _) => Err(refusal_outcome(refusal)),
        DispatchOffer::Waiting => wait_for_slot(queue, receiver).await,
    }
}

async fn wait_for_slot(
    queue: Arc<ServiceQueue>,
    receiver: oneshot::Receiver<DispatchChoice>,
) -> Result<EndpointSlot, RequestOutcome> {
    let mut slot_receiver = SlotReceiver { queue: queue.clone(), receiver };
    match (&mut slot_receiver.receiver).await {
        Ok(choice) => Ok(EndpointSlot::new(queue, choice)),
        Err(_) => Err(RequestOutcome::NotRun(NotRunReason::Deadline)),
    }
}

fn refusal_outcome(refusal: DispatchRefusal) -> RequestOutcome {
    RequestOutcome::NotRun(match refusal {
        DispatchRefusal::OrganisationQueueFull => NotRunReason::QueueLimit,
        DispatchRefusal::QueueFull => NotRunReason::QueueFull,
        DispatchRefusal::WouldMissDeadline => NotRunReason::Deadline,
    })
}
