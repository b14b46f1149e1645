//! What clients may hold, and who has to make room.

use proptest::prelude::*;
use sedgehill_core::client_budget::{
    BudgetLimits, CONNECTION_MEMORY, ClientBudget, ClientId, ClientPhase, EvictedClient, Eviction,
    Shortage,
};
use sedgehill_core::units::{MemorySize, Moment};

const LIMITS: BudgetLimits = BudgetLimits {
    memory: MemorySize(8 * CONNECTION_MEMORY.0),
    connections: 4,
    idle_connections: 3,
};

fn admit(budget: &mut ClientBudget, now: u64) -> (Result<ClientId, Shortage>, Vec<ClientId>) {
    let mut evicted = Vec::new();
    let admitted = budget.admit(Moment(now), &mut evicted);
    (admitted, evicted.iter().map(|client| client.id).collect())
}

/// Fills the connections of a budget with clients in a phase, which entered it one after the other.
fn filled(phase: ClientPhase) -> (ClientBudget, Vec<ClientId>) {
    let mut budget = ClientBudget::new(LIMITS);
    let mut ids = Vec::new();
    for now in 0..LIMITS.connections as u64 {
        let (id, evicted) = admit(&mut budget, now);
        assert_eq!(evicted, []);
        budget.set_phase(id.unwrap(), phase, Moment(now));
        ids.push(id.unwrap());
    }
    (budget, ids)
}

#[test]
fn the_client_that_was_stalled_for_longest_makes_room() {
    for phase in [ClientPhase::Silent, ClientPhase::Receiving, ClientPhase::Blocked] {
        let (mut budget, ids) = filled(phase);
        // Bytes of the first client arrive.
        budget.set_phase(ids[0], phase, Moment(10));
        let (admitted, evicted) = admit(&mut budget, 11);
        assert!(admitted.is_ok());
        assert_eq!(evicted, [ids[1]]);
    }
}

#[test]
fn idle_clients_and_those_that_are_answered_make_no_room() {
    for phase in [ClientPhase::Idle, ClientPhase::Answering] {
        let (mut budget, ids) = filled(phase);
        assert_eq!(admit(&mut budget, 10), (Err(Shortage::Exhausted), Vec::new()));
        budget.remove(ids[2]);
        assert!(admit(&mut budget, 11).0.is_ok());
    }
}

#[test]
fn answers_announce_the_end_of_connections_before_idle_ones_take_all_room() {
    let (mut budget, ids) = filled(ClientPhase::Answering);
    for id in &ids[..LIMITS.idle_connections] {
        assert!(budget.may_keep_idle());
        budget.set_phase(*id, ClientPhase::Idle, Moment(10));
    }
    assert!(!budget.may_keep_idle());
    budget.remove(ids[0]);
    assert!(budget.may_keep_idle());
}

#[test]
fn a_call_finds_memory_at_the_expense_of_stalled_clients_only() {
    let (mut budget, ids) = filled(ClientPhase::Receiving);
    budget.set_phase(ids[3], ClientPhase::Idle, Moment(4));
    let body = LIMITS.memory.0 / 2;
    let mut evicted = Vec::new();
    assert_eq!(budget.grow_call(ids[1], body, &mut evicted), Ok(()));
    assert_eq!(evicted, []);
    // The incomplete call is given up.
    assert_eq!(budget.grow_call(ids[2], body, &mut evicted), Ok(()));
    let evictions: Vec<_> = evicted.iter().map(|client| (client.id, client.eviction)).collect();
    assert_eq!(evictions, [(ids[1], Eviction::Call)]);
    // What is given up is still in use.
    assert_eq!(budget.grow_call(ids[2], 1, &mut evicted), Err(Shortage::Pending));
    budget.shrink_call(ids[1], body);
    assert_eq!(budget.held(), LIMITS.memory);
    // Calls leave the memory of connections.
    assert_eq!(budget.grow_call(ids[2], 1, &mut evicted), Err(Shortage::Exhausted));
    assert_eq!(budget.held(), LIMITS.memory);
}

#[test]
fn connections_close_for_memory_that_cannot_be_denied() {
    let (mut budget, ids) = filled(ClientPhase::Blocked);
    let answer = LIMITS.memory.0 / 2 + 1;
    let mut evicted = Vec::new();
    budget.charge_connection(ids[0], answer, &mut evicted);
    let evictions: Vec<_> = evicted.iter().map(|client| (client.id, client.eviction)).collect();
    assert_eq!(evictions, [(ids[1], Eviction::Connection)]);
    budget.shrink_connection(ids[0], answer);
    assert_eq!(budget.held(), MemorySize(3 * CONNECTION_MEMORY.0));
}

#[test]
fn a_call_that_is_complete_when_it_has_to_be_given_up_is_answered() {
    let (mut budget, ids) = filled(ClientPhase::Receiving);
    let body = LIMITS.memory.0 / 2;
    let mut evicted = Vec::new();
    budget.grow_call(ids[0], body, &mut evicted).unwrap();
    budget.grow_call(ids[1], body, &mut evicted).unwrap();
    assert_eq!(evicted.len(), 1);
    budget.set_phase(ids[0], ClientPhase::Answering, Moment(11));
    // It counts again.
    assert_eq!(budget.held(), MemorySize(4 * CONNECTION_MEMORY.0 + 2 * body));
}

#[test]
fn a_call_that_is_complete_when_its_connection_has_to_close_is_answered() {
    let (mut budget, ids) = filled(ClientPhase::Receiving);
    let (_, evicted) = admit(&mut budget, 10);
    assert_eq!(evicted, [ids[0]]);
    budget.set_phase(ids[0], ClientPhase::Answering, Moment(11));
    // It counts again.
    assert_eq!(budget.held(), MemorySize(5 * CONNECTION_MEMORY.0));
    budget.set_phase(ids[0], ClientPhase::Idle, Moment(12));
    let (_, evicted) = admit(&mut budget, 13);
    assert_eq!(evicted, [ids[1], ids[2]]);
}

#[test]
fn few_connections_may_be_closing_at_once() {
    let mut budget = ClientBudget::new(LIMITS);
    let mut evicted = Vec::new();
    let mut ids = Vec::new();
    while let Ok(id) = budget.admit(Moment(ids.len() as u64), &mut evicted) {
        ids.push(id);
    }
    assert_eq!(budget.open_count(), LIMITS.connections + 32);
    budget.remove(ids[0]);
    assert!(budget.admit(Moment(1_000), &mut evicted).is_ok());
}

#[test]
fn the_smallest_box_takes_large_bodies_and_many_connections() {
    let limits = BudgetLimits::new(MemorySize(30 << 20), 3_075);
    assert!(limits.connections >= 900, "{limits:?}");
    assert!(limits.memory.0 >= limits.connections as u64 * CONNECTION_MEMORY.0 + (1 << 20));
    assert!(limits.idle_connections < limits.connections);
    // Few descriptors leave room for the endpoints, workers and other boxes.
    assert_eq!(BudgetLimits::new(MemorySize(30 << 20), 512).connections, 256);
}

/// What happens to a client in a drawn course.
#[derive(Debug, Clone)]
enum BudgetStep {
    Admit,
    Remove(usize),
    Phase(usize, ClientPhase),
    Grow(usize, u64),
    Shrink(usize),
}

fn any_step() -> impl Strategy<Value = BudgetStep> {
    let phase = prop::sample::select(vec![
        ClientPhase::Receiving,
        ClientPhase::Answering,
        ClientPhase::Blocked,
        ClientPhase::Idle,
    ]);
    prop_oneof![
        3 => Just(BudgetStep::Admit),
        1 => (0..8_usize).prop_map(BudgetStep::Remove),
        4 => (0..8_usize, phase).prop_map(|(client, phase)| BudgetStep::Phase(client, phase)),
        3 => (0..8_usize, 1..40_000_u64).prop_map(|(client, size)| BudgetStep::Grow(client, size)),
        1 => (0..8_usize).prop_map(BudgetStep::Shrink),
    ]
}

/// A client of the oracle.
struct OracleClient {
    id: ClientId,
    phase: ClientPhase,
    call: u64,
    given_up: u64,
    is_closing: bool,
}

impl OracleClient {
    fn counted(&self) -> u64 {
        match self.is_closing {
            true => 0,
            false => CONNECTION_MEMORY.0 + self.call - self.given_up,
        }
    }
}

fn evict(clients: &mut [OracleClient], evicted: &[EvictedClient]) {
    for victim in evicted {
        let client = clients.iter_mut().find(|client| client.id == victim.id).expect("known");
        assert!(client.phase.is_stalled() && !client.is_closing, "{victim:?}");
        let counted = client.counted();
        match victim.eviction {
            Eviction::Call => client.given_up = client.call,
            Eviction::Connection => client.is_closing = true,
        }
        assert_eq!(victim.held, MemorySize(counted - client.counted()));
        assert_ne!(victim.held, MemorySize(0));
    }
}

proptest! {
    /// The budget holds in each course, except for calls that are answered although they had to be given up.
    #[test]
    fn clients_never_hold_more_than_the_budget(steps in prop::collection::vec(any_step(), 1..200)) {
        let mut budget = ClientBudget::new(LIMITS);
        let mut clients: Vec<OracleClient> = Vec::new();
        let mut was_answered_late = false;
        for (now, step) in steps.into_iter().enumerate() {
            let now = Moment(now as u64);
            let mut evicted = Vec::new();
            match step {
                BudgetStep::Admit => {
                    if let Ok(id) = budget.admit(now, &mut evicted) {
                        let phase = ClientPhase::Silent;
                        clients.push(OracleClient { id, phase, call: 0, given_up: 0, is_closing: false });
                    }
                }
                BudgetStep::Remove(index) if index < clients.len() => {
                    budget.remove(clients.remove(index).id);
                }
                BudgetStep::Phase(index, phase) if index < clients.len() => {
                    let client = &mut clients[index];
                    budget.set_phase(client.id, phase, now);
                    client.phase = phase;
                    if phase == ClientPhase::Answering {
                        was_answered_late |= client.is_closing || client.given_up > 0;
                        client.is_closing = false;
                        client.given_up = 0;
                    }
                }
                BudgetStep::Grow(index, size) if index < clients.len() => {
                    let grown = budget.grow_call(clients[index].id, size, &mut evicted);
                    clients[index].call += if grown.is_ok() { size } else { 0 };
                }
                BudgetStep::Shrink(index) if index < clients.len() => {
                    let client = &mut clients[index];
                    budget.shrink_call(client.id, client.call);
                    client.call = 0;
                    client.given_up = 0;
                }
                _ => {}
            }
            evict(&mut clients, &evicted);
            let held = clients.iter().map(OracleClient::counted).sum();
            let kept = clients.iter().filter(|client| !client.is_closing).count();
            prop_assert_eq!(budget.held(), MemorySize(held));
            prop_assert!(held <= LIMITS.memory.0 || was_answered_late);
            prop_assert!(kept <= LIMITS.connections || was_answered_late);
            prop_assert_eq!(budget.open_count(), clients.len());
        }
    }
}
