//! Waits for an endpoint with room.

use std::sync::Arc;
use std::time::Instant;

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

/// A slot of an endpoint, given back when dropped.
pub struct EndpointSlot {
    queue: Arc<ServiceQueue>,
    choice: DispatchChoice,
    taken: Instant,
    evidence: EndpointOutcome,
}

impl EndpointSlot {
    fn new(queue: Arc<ServiceQueue>, choice: DispatchChoice) -> EndpointSlot {
        // A caller that goes away says nothing about the endpoint.
        EndpointSlot { queue, choice, taken: Instant::now(), evidence: EndpointOutcome::Neutral }
    }

    /// The decision that gave the slot.
    pub fn choice(&self) -> &DispatchChoice {
        &self.choice
    }

    /// Notes what the attempt says about the endpoint.
    pub fn set_evidence(&mut self, evidence: EndpointOutcome) {
        self.evidence = evidence;
    }
}

impl Drop for EndpointSlot {
    fn drop(&mut self) {
        let held = TimeSpan(self.taken.elapsed().as_millis() as u64);
        self.queue.release(&self.choice.endpoint, self.evidence, held);
    }
}

/// A request that waits. If its caller goes after an endpoint was sent and before it was read, the
/// slot is given back.
struct WaitingSlot {
    queue: Arc<ServiceQueue>,
    receiver: oneshot::Receiver<DispatchChoice>,
}

impl Drop for WaitingSlot {
    fn drop(&mut self) {
        self.receiver.close();
        if let Ok(choice) = self.receiver.try_recv() {
            self.queue.release(&choice.endpoint, EndpointOutcome::Neutral, TimeSpan(0));
        }
    }
}

/// Gets a slot of an endpoint, at once or by waiting.
pub async fn dispatch(
    shared: &SharedState,
    context: &RequestContext,
    avoid: &[EndpointId],
) -> Result<EndpointSlot, RequestOutcome> {
    let queue = shared
        .queue(&context.service)
        .ok_or(RequestOutcome::NotRun(NotRunReason::NoSuchService))?;
    let patience = TimeSpan(context.kind.patience.0 + context.parameters.tolerable_delay.0);
    let request = DispatchRequest {
        organisation: context.parameters.organisation.clone(),
        halls: context.parameters.halls.clone(),
        due: context.arrived.after(patience),
        deadline: context.deadline,
        queue_limit: context.parameters.queue,
        bytes: context.body.len(),
        avoid: avoid.to_vec(),
    };
    let (sender, receiver) = oneshot::channel();
    match queue.with(|queue| queue.offer(request, sender, clock::now())) {
        DispatchOffer::Chosen(choice, _) => Ok(EndpointSlot::new(queue, choice)),
        DispatchOffer::Refused(refusal, _) => Err(refused(refusal)),
        DispatchOffer::Waiting => wait(queue, receiver).await,
    }
}

async fn wait(
    queue: Arc<ServiceQueue>,
    receiver: oneshot::Receiver<DispatchChoice>,
) -> Result<EndpointSlot, RequestOutcome> {
    let mut waiting = WaitingSlot { queue: queue.clone(), receiver };
    match (&mut waiting.receiver).await {
        Ok(choice) => Ok(EndpointSlot::new(queue, choice)),
        Err(_) => Err(RequestOutcome::NotRun(NotRunReason::Deadline)),
    }
}

fn refused(refusal: DispatchRefusal) -> RequestOutcome {
    RequestOutcome::NotRun(match refusal {
        DispatchRefusal::OrganisationQueueFull => NotRunReason::QueueLimit,
        DispatchRefusal::QueueFull => NotRunReason::QueueFull,
        DispatchRefusal::WouldMissDeadline => NotRunReason::Deadline,
    })
}
