//! Claims and renews the leads of data halls.

use std::collections::BTreeSet;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::time::Duration;

use sedgehill_core::ids::{BoxId, HallName};
use sedgehill_core::lead::{LeadAction, LeadTimer};
use sedgehill_core::record::RecordBody;
use sedgehill_core::units::Moment;

use super::{ControlContext, ControlState, members};
use crate::clock;

const TICK_INTERVAL: Duration = Duration::from_millis(100);

/// Claims and renews leads until the process ends.
pub async fn run(context: ControlContext) {
    loop {
        if tick(&mut context.state.borrow_mut()) {
            context.writer_notify.notify_one();
        }
        tokio::time::sleep(TICK_INTERVAL).await;
    }
}

/// Submits the claims and renewals that are due. Returns whether there are any.
fn tick(state: &mut ControlState) -> bool {
    let now = clock::now();
    let Some(cluster) = state.fold.state() else { return false };
    let halls: BTreeSet<HallName> =
        state.list.workers.iter().map(|worker| worker.hall.clone()).collect();
    let timing = state.shared.settings.lead;
    let own_id = state.own_id().clone();
    for hall in halls {
        if let std::collections::btree_map::Entry::Vacant(entry) = state.leads.entry(hall.clone()) {
            let mut timer = LeadTimer::new(hall.clone(), own_id.clone(), timing);
            timer.observe(cluster.halls.get(&hall).and_then(|hall| hall.lead.as_ref()), now);
            entry.insert(timer);
        }
    }
    let bodies = due_records(state, now);
    let has_records = !bodies.is_empty();
    for body in bodies {
        // The term counts from the first sending, so a claim or renewal is of no use a whole term later.
        state.writer.submit_until(body, now.after(timing.term));
    }
    has_records
}

/// Returns the claims and renewals that are due.
fn due_records(state: &mut ControlState, now: Moment) -> Vec<RecordBody> {
    let leaving = state.is_leaving();
    let boxes = members::active_boxes(state, now);
    let own_id = state.own_id().clone();
    let mut bodies = Vec::new();
    for (hall, timer) in &mut state.leads {
        match timer.next_action(rank(hall, &own_id, &boxes), now) {
            LeadAction::Wait => {}
            LeadAction::Claim { .. } if leaving => {}
            LeadAction::Renew { .. } if state.handed_over_halls.contains(hall) => {}
            LeadAction::Claim { after } => {
                timer.record_sent(now);
                bodies.push(RecordBody::ClaimLead { hall: hall.clone(), after });
            }
            LeadAction::Renew { epoch } => {
                timer.record_sent(now);
                bodies.push(RecordBody::RenewLead { hall: hall.clone(), epoch });
            }
        }
    }
    bodies
}

/// Returns how many boxes have precedence over this one for the lead of a hall. The order differs between halls (it is
/// rendezvous hashing), so that the leads spread over the boxes.
fn rank(hall: &HallName, own_id: &BoxId, boxes: &[BoxId]) -> usize {
    let priority = |id: &BoxId| {
        let mut hasher = DefaultHasher::new();
        (hall, id).hash(&mut hasher);
        (hasher.finish(), id.clone())
    };
    let own_priority = priority(own_id);
    boxes.iter().filter(|id| priority(id) > own_priority).count()
}
