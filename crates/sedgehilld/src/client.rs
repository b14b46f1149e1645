//! Charges what clients hold to the budget of the box, and tells connections that they have to make room.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use parking_lot::Mutex;
use sedgehill_core::client_budget::{
    BudgetLimits, ClientBudget, ClientId, ClientPhase, EvictedClient, Eviction, Shortage,
};
use sedgehill_core::units::{MemorySize, Moment, TimeSpan};
use slog::{Logger, info};
use tokio::sync::{Notify, watch};

use crate::{clock, telemetry};

/// Minimum time between two log lines on clients that have to make room. A crowd would fill the log otherwise.
const LOG_INTERVAL: TimeSpan = TimeSpan(1_000);

struct RegistryState {
    budget: ClientBudget,
    /// Tells each connection what it has to give up.
    signals: HashMap<ClientId, watch::Sender<Option<Eviction>>>,
    last_logged: Option<Moment>,
    evicted_unlogged: usize,
}

/// The clients of some ports of a box, which share a budget.
pub struct ClientRegistry {
    log: Logger,
    /// The name of the ports in logs and metrics.
    ports: &'static str,
    state: Mutex<RegistryState>,
    /// Notified when there may be room for another client or call.
    room: Notify,
}

impl ClientRegistry {
    /// Creates a registry without clients.
    pub fn new(log: Logger, ports: &'static str, limits: BudgetLimits) -> Arc<ClientRegistry> {
        let state = RegistryState {
            budget: ClientBudget::new(limits),
            signals: HashMap::new(),
            last_logged: None,
            evicted_unlogged: 0,
        };
        Arc::new(ClientRegistry { log, ports, state: Mutex::new(state), room: Notify::new() })
    }

    /// Waits until there is room for a client, and adds it.
    pub async fn admit(self: &Arc<Self>) -> ClientHandle {
        loop {
            let mut room = std::pin::pin!(self.room.notified());
            // From here on no notification is missed.
            room.as_mut().enable();
            let (admitted, has_evicted) = self.update(|budget, evicted| {
                let admitted = budget.admit(clock::now(), evicted);
                (admitted, !evicted.is_empty())
            });
            match admitted {
                Ok(id) => {
                    let handle = self.create_handle(id);
                    if has_evicted {
                        // Lets the connections that have to make room close.
                        tokio::task::yield_now().await;
                    }
                    return handle;
                }
                Err(Shortage::Pending | Shortage::Exhausted) => room.await,
            }
        }
    }

    /// Adds a client even if there is no room.
    pub fn add(self: &Arc<Self>) -> ClientHandle {
        let id = self.state.lock().budget.add(clock::now());
        self.create_handle(id)
    }

    fn create_handle(self: &Arc<Self>, id: ClientId) -> ClientHandle {
        let signal = watch::Sender::new(None);
        self.state.lock().signals.insert(id, signal.clone());
        ClientHandle { registry: self.clone(), id, is_receiving: AtomicBool::new(false), signal }
    }

    /// Changes the budget, and tells the clients that have to make room.
    fn update<R>(&self, change: impl FnOnce(&mut ClientBudget, &mut Vec<EvictedClient>) -> R) -> R {
        let mut state = self.state.lock();
        let mut evicted = Vec::new();
        let result = change(&mut state.budget, &mut evicted);
        for client in &evicted {
            self.evict(&mut state, client);
        }
        result
    }

    fn evict(&self, state: &mut RegistryState, client: &EvictedClient) {
        if let Some(signal) = state.signals.get(&client.id) {
            signal.send_replace(Some(client.eviction));
        }
        telemetry::count_evicted_client(self.ports, client.eviction.name(), client.phase.name());
        state.evicted_unlogged += 1;
        let now = clock::now();
        let is_due = state.last_logged.is_none_or(|last| now.since(last) >= LOG_INTERVAL);
        if is_due {
            info!(self.log, "clients make room"; "ports" => self.ports,
                "clients" => state.evicted_unlogged, "last_client" => %client.id,
                "gives_up" => client.eviction.name(), "phase" => client.phase.name(), "held_bytes" => client.held.0,
                "stalled_ms" => now.since(client.since).0, "open" => state.budget.open_count(),
                "all_held_bytes" => state.budget.held().0);
            state.last_logged = Some(now);
            state.evicted_unlogged = 0;
        }
    }
}

/// The connection of a client. The client is removed from the budget when this is dropped.
pub struct ClientHandle {
    registry: Arc<ClientRegistry>,
    id: ClientId,
    is_receiving: AtomicBool,
    signal: watch::Sender<Option<Eviction>>,
}

impl ClientHandle {
    /// Records the phase of the connection, or that bytes were read or written in it.
    pub fn set_phase(&self, phase: ClientPhase) {
        self.is_receiving.store(phase == ClientPhase::Receiving, Ordering::SeqCst);
        let mut state = self.registry.state.lock();
        state.budget.set_phase(self.id, phase, clock::now());
        // A call that was read in full is answered first, and one that was given up has ended.
        let is_over = |eviction: &Option<Eviction>| match phase {
            ClientPhase::Answering => eviction.is_some(),
            ClientPhase::Idle => *eviction == Some(Eviction::Call),
            ClientPhase::Silent | ClientPhase::Receiving | ClientPhase::Blocked => false,
        };
        self.signal.send_if_modified(|eviction| {
            let is_over = is_over(eviction);
            if is_over {
                *eviction = None;
            }
            is_over
        });
        drop(state);
        if phase.is_stalled() {
            self.registry.room.notify_waiters();
        }
    }

    /// Returns whether the client is sending a call.
    pub fn is_receiving(&self) -> bool {
        self.is_receiving.load(Ordering::SeqCst)
    }

    /// Lets the call of the client hold `bytes` more if there is room, also once others have made it.
    async fn grow_call(&self, bytes: u64) -> Result<(), BudgetExhausted> {
        let registry = &self.registry;
        loop {
            let mut room = std::pin::pin!(registry.room.notified());
            // From here on no notification is missed.
            room.as_mut().enable();
            match registry.update(|budget, evicted| budget.grow_call(self.id, bytes, evicted)) {
                Ok(()) => return Ok(()),
                Err(Shortage::Pending) => room.await,
                Err(Shortage::Exhausted) => {
                    telemetry::count_exhausted_budget(registry.ports);
                    return Err(BudgetExhausted);
                }
            }
        }
    }

    fn charge_call(&self, bytes: u64) {
        self.registry.update(|budget, evicted| budget.charge_call(self.id, bytes, evicted));
    }

    fn shrink_call(&self, bytes: u64) {
        self.registry.update(|budget, _| budget.shrink_call(self.id, bytes));
        self.registry.room.notify_waiters();
    }

    /// Charges `bytes` that the connection holds beside its calls.
    pub fn charge_connection(&self, bytes: u64) {
        self.registry.update(|budget, evicted| budget.charge_connection(self.id, bytes, evicted));
    }

    /// Records that the connection holds `bytes` less beside its calls.
    pub fn shrink_connection(&self, bytes: u64) {
        self.registry.update(|budget, _| budget.shrink_connection(self.id, bytes));
    }

    /// Returns whether one more idle connection can be kept.
    pub fn may_keep_idle(&self) -> bool {
        self.registry.state.lock().budget.may_keep_idle()
    }

    /// Returns whether the client has to give up its connection.
    pub fn must_close(&self) -> bool {
        *self.signal.borrow() == Some(Eviction::Connection)
    }

    /// Waits until the client has to give up `eviction`, or more than that.
    pub async fn evicted(&self, eviction: Eviction) {
        let mut signal = self.signal.subscribe();
        // An error cannot occur, since this handle holds a sender.
        let _ = signal.wait_for(|current| *current >= Some(eviction)).await;
    }
}

impl Drop for ClientHandle {
    fn drop(&mut self) {
        let mut state = self.registry.state.lock();
        state.budget.remove(self.id);
        state.signals.remove(&self.id);
        drop(state);
        self.registry.room.notify_waiters();
    }
}

/// There is no memory for a call, and no stalled client could make room.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct BudgetExhausted;

/// The memory that a call holds, which is given back when this is dropped.
pub struct CallMemory {
    client: Arc<ClientHandle>,
    held: u64,
}

impl CallMemory {
    /// Creates the memory of a call that holds nothing yet.
    pub fn new(client: Arc<ClientHandle>) -> CallMemory {
        CallMemory { client, held: 0 }
    }

    /// Returns the client that makes the call.
    pub fn client(&self) -> &Arc<ClientHandle> {
        &self.client
    }

    /// Sets what the call holds. A call that would hold more keeps what it has if there is no room.
    pub async fn resize(&mut self, size: MemorySize) -> Result<(), BudgetExhausted> {
        match size.0.checked_sub(self.held) {
            Some(growth) => self.client.grow_call(growth).await?,
            None => self.client.shrink_call(self.held - size.0),
        }
        self.held = size.0;
        Ok(())
    }

    /// Records that the call holds nothing any more.
    pub fn clear(&mut self) {
        self.client.shrink_call(self.held);
        self.held = 0;
    }

    /// Adds memory that cannot be denied, since the call is being answered.
    pub fn charge(&mut self, size: MemorySize) {
        self.client.charge_call(size.0);
        self.held += size.0;
    }
}

impl std::fmt::Debug for CallMemory {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter.debug_struct("CallMemory").field("held", &self.held).finish_non_exhaustive()
    }
}

impl Drop for CallMemory {
    fn drop(&mut self) {
        self.clear();
    }
}
