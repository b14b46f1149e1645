//! Tests the queue of one service against a model that tracks which requests wait and which hold a
//! slot.

use std::collections::{BTreeMap, BTreeSet};

use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use sedgehill_core::dispatch::{
    DispatchChoice, DispatchOffer, DispatchQueue, DispatchRefusal, DispatchRequest, EjectionPolicy,
    EndpointOutcome, EndpointView, QueueLimits, slot_share,
};
use sedgehill_core::ids::EndpointId;
use sedgehill_core::units::{Moment, TimeSpan};

const EJECTION_POLICY: EjectionPolicy = EjectionPolicy {
    failure_threshold: 3,
    base_duration: TimeSpan(1_000),
    max_duration: TimeSpan(8_000),
    max_ejected_percent: 50,
};
const LIMITS: QueueLimits = QueueLimits { count: 20, bytes: 2_000 };
const ENDPOINTS: usize = 4;

fn id(index: usize) -> EndpointId {
    format!("e{index}").parse().expect("a valid name")
}

fn view(index: usize, share: u32, leaving: bool) -> EndpointView {
    let hall = if index.is_multiple_of(2) { "near" } else { "far" };
    EndpointView {
        id: id(index),
        hall: hall.parse().expect("a valid name"),
        address: "127.0.0.1:1".parse().expect("a valid address"),
        share,
        leaving,
    }
}

fn request(due: u64, deadline: u64, near_only: bool) -> DispatchRequest {
    let halls = if near_only {
        BTreeSet::from(["near".parse().expect("a valid name")])
    } else {
        BTreeSet::new()
    };
    DispatchRequest {
        organisation: "o".parse().expect("a valid name"),
        halls,
        due: Moment(due),
        deadline: Moment(deadline),
        queue_limit: 10,
        bytes: 100,
        avoid: Vec::new(),
    }
}

fn queue() -> DispatchQueue<u32> {
    DispatchQueue::new("near".parse().expect("a valid name"), LIMITS, EJECTION_POLICY)
}

#[derive(Debug, Clone)]
enum QueueStep {
    Offer { patience: u64, near_only: bool },
    Release { pick: usize, good: bool },
    Sync { shares: Vec<u32>, leaving: usize },
    Advance(u64),
}

fn any_step() -> impl Strategy<Value = QueueStep> {
    prop_oneof![
        5 => (0u64..500, any::<bool>()).prop_map(|(patience, near_only)| QueueStep::Offer { patience, near_only }),
        4 => (0usize..100, any::<bool>()).prop_map(|(pick, good)| QueueStep::Release { pick, good }),
        1 => (proptest::collection::vec(0u32..3, ENDPOINTS), 0usize..8)
            .prop_map(|(shares, leaving)| QueueStep::Sync { shares, leaving }),
        2 => (1u64..900).prop_map(QueueStep::Advance),
    ]
}

/// Model of the queue: the state of each request.
#[derive(Default)]
struct QueueModel {
    /// Endpoint at which each dispatched request holds a slot.
    held: BTreeMap<u32, EndpointId>,
    waiting: BTreeSet<u32>,
    ended: BTreeSet<u32>,
    near_only: BTreeSet<u32>,
    views: BTreeMap<EndpointId, EndpointView>,
}

impl QueueModel {
    fn dispatch(&mut self, choice: &DispatchChoice, token: u32) -> Result<(), TestCaseError> {
        let view = &self.views[&choice.endpoint];
        prop_assert!(!view.leaving, "a request was sent to a draining endpoint");
        prop_assert!(!self.near_only.contains(&token) || view.hall.as_str() == "near");
        prop_assert!(
            self.held.insert(token, choice.endpoint.clone()).is_none(),
            "the request was sent twice"
        );
        prop_assert!(!self.ended.contains(&token), "the request was sent after its end");
        let busy = self.held.values().filter(|endpoint| **endpoint == choice.endpoint).count();
        prop_assert!(busy as u32 <= view.share, "more requests than the endpoint's share");
        Ok(())
    }
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: RngSeed::Fixed(17), failure_persistence: None,
        cases: 400, ..ProptestConfig::default() })]

    #[test]
    fn each_request_is_sent_once_within_shares_or_refused(steps in proptest::collection::vec(any_step(), 1..200)) {
        let mut queue = queue();
        let mut model = QueueModel::default();
        let mut now = Moment(1_000);
        let mut next_token = 0u32;
        for step in steps {
            let chosen = match step {
                QueueStep::Offer { patience, near_only } => {
                    let token = next_token;
                    next_token += 1;
                    if near_only {
                        model.near_only.insert(token);
                    }
                    let request = request(now.0 + patience, now.0 + 2_000, near_only);
                    match queue.offer(request, token, now) {
                        DispatchOffer::Chosen(choice, token) => vec![(choice, token)],
                        DispatchOffer::Waiting => {
                            model.waiting.insert(token);
                            Vec::new()
                        }
                        DispatchOffer::Refused(_, token) => {
                            model.ended.insert(token);
                            Vec::new()
                        }
                    }
                }
                QueueStep::Release { pick, good } => {
                    let Some(token) = model.held.keys().nth(pick % model.held.len().max(1)).copied() else { continue };
                    let endpoint = model.held.remove(&token).expect("the key was just seen");
                    model.ended.insert(token);
                    let outcome = if good { EndpointOutcome::Success } else { EndpointOutcome::Failure };
                    queue.release(&endpoint, outcome, TimeSpan(10), now)
                }
                QueueStep::Sync { shares, leaving } => {
                    let views: Vec<EndpointView> = shares
                        .iter()
                        .enumerate()
                        .map(|(index, share)| view(index, *share, index == leaving))
                        .collect();
                    model.views = views.iter().map(|view| (view.id.clone(), view.clone())).collect();
                    queue.sync(views, now)
                }
                QueueStep::Advance(millis) => {
                    now = now.after(TimeSpan(millis));
                    for token in queue.expire(now) {
                        prop_assert!(model.waiting.remove(&token), "a request expired that did not wait");
                        model.ended.insert(token);
                    }
                    queue.dispatch_waiting(now)
                }
            };
            for (choice, token) in chosen {
                model.waiting.remove(&token);
                model.dispatch(&choice, token)?;
            }
            prop_assert_eq!(queue.waiting(), model.waiting.len());
            prop_assert_eq!(queue.in_flight() as usize, model.held.len());
            prop_assert!(queue.waiting() <= LIMITS.count);
        }
    }

    /// The shares of all boxes at an endpoint add up to its slots.
    #[test]
    fn shares_add_up_to_the_slots(slots in 1u32..100, boxes in 1usize..12, endpoint in 0usize..1_000) {
        let endpoint = id(endpoint);
        let sum: u32 = (0..boxes).map(|rank| slot_share(slots, boxes, rank, &endpoint)).sum();
        prop_assert_eq!(sum, slots);
    }
}

fn chosen_endpoint(offer: DispatchOffer<u32>) -> EndpointId {
    match offer {
        DispatchOffer::Chosen(choice, _) => choice.endpoint,
        other => panic!("expected an endpoint, got {other:?}"),
    }
}

#[test]
fn requests_with_short_patience_go_first_without_starving_others() {
    let mut queue = queue();
    let now = Moment(1_000);
    queue.sync(vec![view(0, 1, false)], now);
    chosen_endpoint(queue.offer(request(1_000, 9_000, false), 0, now));
    assert!(matches!(queue.offer(request(6_000, 9_000, false), 1, now), DispatchOffer::Waiting));
    assert!(matches!(queue.offer(request(1_100, 9_000, false), 2, now), DispatchOffer::Waiting));
    let next = queue.release(&id(0), EndpointOutcome::Success, TimeSpan(5), now);
    assert_eq!(next[0].1, 2, "the request that is due first");
    let later = Moment(1_900);
    assert!(matches!(queue.offer(request(6_100, 9_000, false), 3, later), DispatchOffer::Waiting));
    let next = queue.release(&id(0), EndpointOutcome::Success, TimeSpan(5), later);
    assert_eq!(next[0].1, 1, "the earlier request before one that is due later");
}

#[test]
fn only_the_organisation_at_its_queue_limit_is_refused() {
    let mut queue = queue();
    let now = Moment(1_000);
    queue.sync(Vec::new(), now);
    for token in 0..10 {
        assert!(matches!(
            queue.offer(request(2_000, 9_000, false), token, now),
            DispatchOffer::Waiting
        ));
    }
    let refused = queue.offer(request(2_000, 9_000, false), 10, now);
    assert!(matches!(refused, DispatchOffer::Refused(DispatchRefusal::OrganisationQueueFull, 10)));
    let other = DispatchRequest {
        organisation: "p".parse().expect("a valid name"),
        ..request(2_000, 9_000, false)
    };
    assert!(matches!(queue.offer(other, 11, now), DispatchOffer::Waiting));
}

#[test]
fn a_failing_endpoint_is_ejected_probed_and_readmitted() {
    let mut queue = queue();
    let mut now = Moment(1_000);
    let views = || vec![view(0, 2, false), view(1, 2, false)];
    queue.sync(views(), now);
    for token in 0..3 {
        assert_eq!(
            chosen_endpoint(queue.offer(request(1_000, 9_000, false), token, now)),
            id(0),
            "the endpoint in the own hall first"
        );
        queue.release(&id(0), EndpointOutcome::Failure, TimeSpan(1), now);
    }
    assert_eq!(
        chosen_endpoint(queue.offer(request(1_000, 9_000, false), 3, now)),
        id(1),
        "the endpoint is ejected"
    );
    now = Moment(2_000);
    queue.sync(views(), now);
    assert_eq!(
        chosen_endpoint(queue.offer(request(1_000, 9_000, false), 4, now)),
        id(0),
        "the endpoint is probed"
    );
    assert_eq!(
        chosen_endpoint(queue.offer(request(1_000, 9_000, false), 5, now)),
        id(1),
        "the probe is a single request"
    );
    queue.release(&id(0), EndpointOutcome::Success, TimeSpan(1), now);
    assert_eq!(
        chosen_endpoint(queue.offer(request(1_000, 9_000, false), 6, now)),
        id(0),
        "the endpoint is readmitted"
    );
}

#[test]
fn a_queue_with_an_old_endpoint_list_dispatches_nothing() {
    let mut queue = queue();
    queue.sync(vec![view(0, 2, false)], Moment(1_000));
    let late = Moment(5_000);
    assert!(matches!(queue.offer(request(5_000, 9_000, false), 0, late), DispatchOffer::Waiting));
    let chosen = queue.sync(vec![view(0, 2, false)], late);
    assert_eq!(chosen.len(), 1);
}

/// Guards against a request that was held since its choice and goes to an endpoint that left, or may have left.
#[test]
fn a_choice_holds_while_the_list_is_current_and_the_endpoint_stays() {
    let mut queue = queue();
    queue.sync(vec![view(0, 1, false), view(1, 1, false)], Moment(10_000));
    let offer = queue.offer(request(10_100, 15_000, true), 1, Moment(10_000));
    let DispatchOffer::Chosen(choice, _) = offer else { panic!("{offer:?}") };
    assert!(queue.may_send(&choice.endpoint, Moment(11_000)));
    // No list for a second: the process was paused.
    assert!(!queue.may_send(&choice.endpoint, Moment(11_001)));
    queue.sync(vec![view(0, 1, false), view(1, 1, false)], Moment(14_000));
    assert!(queue.may_send(&choice.endpoint, Moment(14_000)));
    queue.sync(vec![view(0, 1, true), view(1, 1, false)], Moment(14_200));
    assert!(!queue.may_send(&choice.endpoint, Moment(14_200)), "it leaves");
    queue.sync(vec![view(1, 1, false)], Moment(14_400));
    assert!(!queue.may_send(&choice.endpoint, Moment(14_400)), "it is not listed any more");
}
