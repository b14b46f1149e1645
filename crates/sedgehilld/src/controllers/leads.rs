//! Claims and renews the leads of halls.

use std::collections::BTreeSet;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::time::Duration;

use sedgehill_core::ids::{BoxId, HallName};
use sedgehill_core::lead::{LeadAction, LeadTimer};
use sedgehill_core::record::RecordBody;
use sedgehill_core::units::Moment;

use super::{ControlContext, ControlState, members};
use crate::clock;

const TURN: Duration = Duration::from_millis(100);

/// Looks after the leads for as long as the box runs.
pub async fn run(context: ControlContext) {
    loop {
        if take_turn(&mut context.state.borrow_mut()) {
            context.write_wanted.notify_one();
        }
        tokio::time::sleep(TURN).await;
    }
}

/// Appends what is due. Returns whether there was anything.
fn take_turn(state: &mut ControlState) -> bool {
    let now = clock::now();
    let Some(cluster) = state.fold.state() else { return false };
    let halls: BTreeSet<HallName> =
        state.list.workers.iter().map(|worker| worker.hall.clone()).collect();
    let timing = state.shared.settings.lead;
    let me = state.me().clone();
    for hall in halls {
        if let std::collections::btree_map::Entry::Vacant(entry) = state.leads.entry(hall.clone()) {
            let mut timer = LeadTimer::new(hall.clone(), me.clone(), timing);
            timer.observe(cluster.halls.get(&hall).and_then(|hall| hall.lead.as_ref()), now);
            entry.insert(timer);
        }
    }
    let bodies = due_records(state, now);
    let any = !bodies.is_empty();
    for body in bodies {
        // Late, a claim or renewal would hold for too short a time to be of use.
        state.writer.submit_until(body, now.after(timing.term));
    }
    any
}

fn due_records(state: &mut ControlState, now: Moment) -> Vec<RecordBody> {
    let leaving = state.is_leaving();
    let boxes = members::working_boxes(state, now);
    let me = state.me().clone();
    let mut bodies = Vec::new();
    for (hall, timer) in &mut state.leads {
        match timer.next_action(rank(hall, &me, &boxes), now) {
            LeadAction::Wait => {}
            LeadAction::Claim { .. } if leaving => {}
            LeadAction::Renew { .. } if state.handed_over.contains(hall) => {}
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

/// How many boxes are preferred to this one for a hall: an order that differs from hall to hall, so
/// that the leads spread over the boxes.
fn rank(hall: &HallName, me: &BoxId, boxes: &[BoxId]) -> usize {
    let weight = |id: &BoxId| {
        let mut hasher = DefaultHasher::new();
        (hall, id).hash(&mut hasher);
        (hasher.finish(), id.clone())
    };
    let mine = weight(me);
    boxes.iter().filter(|id| weight(id) > mine).count()
}
