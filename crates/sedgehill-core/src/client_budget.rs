//! Decides what the clients of a box may hold of its memory and its connections, and whose connection is closed when
//! they hold too much.
//!
//! A client that keeps the box waiting is *stalled*: it has sent nothing yet, it is sending a call, or it does not read
//! its answer. If there is no connection left, that of the client that has been stalled for longest is closed. If there
//! is no memory left for a call, the call that has been incomplete for longest is given up. Clients whose call is being
//! answered, and idle ones that have been answered, make no room.
//!
//! Calls leave the memory that all connections need, so that there is always a connection for a client that is refused.

use std::collections::{BTreeSet, HashMap};
use std::fmt;

use crate::units::{MemorySize, Moment};

/// Memory of a connection on which nothing happens: its state and the smallest read buffer.
pub const CONNECTION_MEMORY: MemorySize = MemorySize(16 << 10);

/// Part of the memory of clients that is not used for connections as such, but for what they send and receive, as a
/// divisor.
const CALL_DIVISOR: u64 = 2;
/// Part of the memory of calls that may be given up and still in use, as a divisor.
const GIVEN_UP_DIVISOR: u64 = 8;
/// Part of the descriptors of a box that its clients may use, as a divisor. Endpoints or workers, other boxes and the
/// platform need the rest.
const DESCRIPTOR_DIVISOR: usize = 2;
/// Maximum number of connections that are being closed to make room, beside those of the limit.
const MAX_CLOSING: usize = 32;

/// What the clients of a box may hold together.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct BudgetLimits {
    /// Maximum memory.
    pub memory: MemorySize,
    /// Maximum number of connections.
    pub connections: usize,
    /// Number of idle connections from which on answers announce the end of their connection, so that new clients find
    /// room without a cut.
    pub idle_connections: usize,
}

impl BudgetLimits {
    /// Returns the memory that calls may hold together.
    fn calls(&self) -> u64 {
        self.memory.0.saturating_sub(self.connections as u64 * CONNECTION_MEMORY.0)
    }

    /// Returns the limits for clients that may use `memory`, at a box with so many descriptors.
    pub fn new(memory: MemorySize, descriptors: usize) -> BudgetLimits {
        let by_memory = memory.0 / CALL_DIVISOR / CONNECTION_MEMORY.0;
        let connections = (descriptors / DESCRIPTOR_DIVISOR).min(by_memory as usize).max(1);
        BudgetLimits { memory, connections, idle_connections: connections - connections / 4 }
    }
}

/// Identifies the connection of a client.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ClientId(u64);

impl fmt::Display for ClientId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}

/// What happens on the connection of a client.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ClientPhase {
    /// The client has sent nothing yet.
    Silent,
    /// The client has sent a part of a call.
    Receiving,
    /// A call was read in full and is being answered.
    Answering,
    /// An answer waits for the client to read.
    Blocked,
    /// All calls were answered.
    Idle,
}

impl ClientPhase {
    /// Returns whether the box waits for the client to send the rest of a call or to read an answer.
    pub fn is_stalled(self) -> bool {
        matches!(self, ClientPhase::Silent | ClientPhase::Receiving | ClientPhase::Blocked)
    }

    /// Returns the name of the phase in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            ClientPhase::Silent => "silent",
            ClientPhase::Receiving => "receiving",
            ClientPhase::Answering => "answering",
            ClientPhase::Blocked => "blocked",
            ClientPhase::Idle => "idle",
        }
    }
}

/// What a client has to give up.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Eviction {
    /// The call that it is sending: its memory. The client gets an answer.
    Call,
    /// Its connection.
    Connection,
}

impl Eviction {
    /// Returns the name in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Eviction::Call => "call",
            Eviction::Connection => "connection",
        }
    }
}

/// A client that has to make room.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct EvictedClient {
    /// The client.
    pub id: ClientId,
    /// What it has to give up.
    pub eviction: Eviction,
    /// Its phase.
    pub phase: ClientPhase,
    /// The memory that it gives up.
    pub held: MemorySize,
    /// Since when nothing has happened on its connection.
    pub since: Moment,
}

/// The reason why there is no room for a client or its call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Shortage {
    /// Other clients are about to make room.
    Pending,
    /// No other client could make room.
    Exhausted,
}

#[derive(Debug)]
struct ClientUse {
    phase: ClientPhase,
    /// When the phase began or bytes were last read or written.
    since: Moment,
    /// Memory of the connection.
    connection: u64,
    /// Memory of the call in progress.
    call: u64,
    /// The part of `call` that the client has to give up and that is no longer counted.
    given_up: u64,
    /// Whether the connection is being closed. Nothing of it is counted any more.
    is_closing: bool,
}

impl ClientUse {
    /// Returns the memory that counts.
    fn counted(&self) -> u64 {
        match self.is_closing {
            true => 0,
            false => self.connection + self.call - self.given_up,
        }
    }

    /// Returns the memory of the call that counts.
    fn counted_call(&self) -> u64 {
        match self.is_closing {
            true => 0,
            false => self.call - self.given_up,
        }
    }

    /// Returns the memory that does not count any more and is still in use.
    fn given_up(&self) -> u64 {
        self.connection + self.call - self.counted()
    }

    fn has_stalled_call(&self) -> bool {
        self.phase == ClientPhase::Receiving && self.call > self.given_up
    }
}

/// Tracks what the clients of a box hold.
#[derive(Debug)]
pub struct ClientBudget {
    limits: BudgetLimits,
    next_id: u64,
    clients: HashMap<ClientId, ClientUse>,
    /// The stalled clients whose connections are not being closed, the one that has been stalled for longest first.
    stalled: BTreeSet<(Moment, ClientId)>,
    /// Those of the stalled clients that hold memory of a call.
    stalled_calls: BTreeSet<(Moment, ClientId)>,
    held: u64,
    /// The part of `held` that calls hold.
    held_by_calls: u64,
    /// The memory that clients give up and that is still in use.
    given_up: u64,
    /// The number of connections that are not being closed.
    kept_count: usize,
    idle_count: usize,
}

impl ClientBudget {
    /// Creates a budget without clients.
    pub fn new(limits: BudgetLimits) -> ClientBudget {
        ClientBudget {
            limits,
            next_id: 0,
            clients: HashMap::new(),
            stalled: BTreeSet::new(),
            stalled_calls: BTreeSet::new(),
            held: 0,
            held_by_calls: 0,
            given_up: 0,
            kept_count: 0,
            idle_count: 0,
        }
    }

    /// Returns the memory that clients hold, without what is being given up.
    pub fn held(&self) -> MemorySize {
        MemorySize(self.held)
    }

    /// Returns the number of open connections, with those that are being closed.
    pub fn open_count(&self) -> usize {
        self.clients.len()
    }

    /// Returns whether one more idle connection can be kept.
    pub fn may_keep_idle(&self) -> bool {
        self.idle_count < self.limits.idle_connections
    }

    /// Adds a client that has sent nothing yet. Adds the clients that have to make room to `evicted`, and returns an
    /// error if they do not suffice.
    pub fn admit(
        &mut self,
        now: Moment,
        evicted: &mut Vec<EvictedClient>,
    ) -> Result<ClientId, Shortage> {
        if self.clients.len() >= self.limits.connections + MAX_CLOSING {
            return Err(Shortage::Pending);
        }
        while self.kept_count >= self.limits.connections {
            evicted.push(self.evict_connection(None).ok_or(Shortage::Exhausted)?);
        }
        let id = self.add(now);
        self.make_room(id, evicted);
        Ok(id)
    }

    /// Adds a client even if there is no room, for connections that must not be refused.
    pub fn add(&mut self, now: Moment) -> ClientId {
        let id = ClientId(self.next_id);
        self.next_id += 1;
        let client = ClientUse {
            phase: ClientPhase::Silent,
            since: now,
            connection: CONNECTION_MEMORY.0,
            call: 0,
            given_up: 0,
            is_closing: false,
        };
        self.count(id, &client);
        self.clients.insert(id, client);
        id
    }

    /// Removes a client whose connection is closed.
    pub fn remove(&mut self, id: ClientId) {
        if let Some(client) = self.clients.remove(&id) {
            self.uncount(id, &client);
        }
    }

    /// Records that a client enters a phase, or that bytes were read or written in it. A client whose call was read in
    /// full gives up nothing: it is answered first.
    pub fn set_phase(&mut self, id: ClientId, phase: ClientPhase, now: Moment) {
        self.update(id, |client| {
            if phase == ClientPhase::Answering {
                client.is_closing = false;
                client.given_up = 0;
            }
            client.phase = phase;
            client.since = now;
        });
    }

    /// Lets the call of a client hold `bytes` more. Adds the clients that have to make room to `evicted`, and returns an
    /// error if they do not suffice.
    pub fn grow_call(
        &mut self,
        id: ClientId,
        bytes: u64,
        evicted: &mut Vec<EvictedClient>,
    ) -> Result<(), Shortage> {
        if bytes > self.limits.calls() {
            return Err(Shortage::Exhausted);
        }
        let lacks = |budget: &ClientBudget| {
            budget.held_by_calls + bytes > budget.limits.calls()
                || budget.held + bytes > budget.limits.memory.0
        };
        while lacks(self) {
            if self.given_up > self.limits.calls() / GIVEN_UP_DIVISOR {
                return Err(Shortage::Pending);
            }
            evicted.push(self.evict_call(id).ok_or(Shortage::Exhausted)?);
        }
        self.update(id, |client| client.call += bytes);
        Ok(())
    }

    /// Like [`ClientBudget::grow_call`], for what cannot be denied because the call is being answered.
    pub fn charge_call(&mut self, id: ClientId, bytes: u64, evicted: &mut Vec<EvictedClient>) {
        self.update(id, |client| client.call += bytes);
        self.make_room(id, evicted);
    }

    /// Records that the call of a client holds `bytes` less.
    pub fn shrink_call(&mut self, id: ClientId, bytes: u64) {
        self.update(id, |client| {
            client.call -= bytes;
            client.given_up = client.given_up.saturating_sub(bytes);
        });
    }

    /// Records that the connection of a client holds `bytes` more, beside its calls.
    pub fn charge_connection(
        &mut self,
        id: ClientId,
        bytes: u64,
        evicted: &mut Vec<EvictedClient>,
    ) {
        self.update(id, |client| client.connection += bytes);
        self.make_room(id, evicted);
    }

    /// Records that the connection of a client holds `bytes` less.
    pub fn shrink_connection(&mut self, id: ClientId, bytes: u64) {
        self.update(id, |client| client.connection -= bytes);
    }

    /// Changes a client, and all sums and orders that depend on it.
    fn update(&mut self, id: ClientId, change: impl FnOnce(&mut ClientUse)) {
        let Some(mut client) = self.clients.remove(&id) else { return };
        self.uncount(id, &client);
        change(&mut client);
        self.count(id, &client);
        self.clients.insert(id, client);
    }

    fn count(&mut self, id: ClientId, client: &ClientUse) {
        self.held += client.counted();
        self.held_by_calls += client.counted_call();
        self.given_up += client.given_up();
        self.kept_count += usize::from(!client.is_closing);
        self.idle_count += usize::from(client.phase == ClientPhase::Idle);
        if client.phase.is_stalled() && !client.is_closing {
            self.stalled.insert((client.since, id));
            if client.has_stalled_call() {
                self.stalled_calls.insert((client.since, id));
            }
        }
    }

    fn uncount(&mut self, id: ClientId, client: &ClientUse) {
        self.held -= client.counted();
        self.held_by_calls -= client.counted_call();
        self.given_up -= client.given_up();
        self.kept_count -= usize::from(!client.is_closing);
        self.idle_count -= usize::from(client.phase == ClientPhase::Idle);
        self.stalled.remove(&(client.since, id));
        self.stalled_calls.remove(&(client.since, id));
    }

    /// Lets other clients than `id` make room until the budget holds, if they can. Otherwise the next calls are refused
    /// until there is room.
    fn make_room(&mut self, id: ClientId, evicted: &mut Vec<EvictedClient>) {
        while self.held > self.limits.memory.0 {
            let victim = self.evict_call(id).or_else(|| self.evict_connection(Some(id)));
            let Some(victim) = victim else { return };
            evicted.push(victim);
        }
    }

    /// Lets the client whose call has been incomplete for longest give up its memory, other than `except`.
    fn evict_call(&mut self, except: ClientId) -> Option<EvictedClient> {
        let id = longest_stalled(&self.stalled_calls, Some(except))?;
        let held = self.held;
        self.update(id, |client| client.given_up = client.call);
        Some(self.describe(id, Eviction::Call, held - self.held))
    }

    /// Closes the connection of the client that has been stalled for longest, other than `except`.
    fn evict_connection(&mut self, except: Option<ClientId>) -> Option<EvictedClient> {
        let id = longest_stalled(&self.stalled, except)?;
        let held = self.held;
        self.update(id, |client| client.is_closing = true);
        Some(self.describe(id, Eviction::Connection, held - self.held))
    }

    fn describe(&self, id: ClientId, eviction: Eviction, held: u64) -> EvictedClient {
        let client = &self.clients[&id];
        let ClientUse { phase, since, .. } = *client;
        EvictedClient { id, eviction, phase, held: MemorySize(held), since }
    }
}

fn longest_stalled(
    clients: &BTreeSet<(Moment, ClientId)>,
    except: Option<ClientId>,
) -> Option<ClientId> {
    clients.iter().map(|(_, id)| *id).find(|id| Some(*id) != except)
}
