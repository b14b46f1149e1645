//! Limits the calls in flight to each worker, and with them the connections to it.
//!
//! A worker takes a limited number of connections, and those of a box that lost power stay open there.
//! With as many connections as calls, a few leads that lost power one after the other used up all
//! connections of a worker. Its reports still arrived on a connection that had been opened before,
//! while orders, which came on new ones, were refused for good.
//!
//! A call takes a slot before it is sent, and an idle connection if there is one, so there are never
//! more connections than slots. Overdue calls give way to new ones, but for the oldest call for a
//! report, whose late answer is of use. While a worker refuses new connections, calls share those that
//! are open: as long as reports arrive, orders do.

use std::collections::HashMap;
use std::net::SocketAddr;

use sedgehill_core::units::{Moment, TimeSpan};

/// The most calls in flight to one worker: a report that is waited for, and orders. Workers take some
/// sixty connections, so those of fifteen leads may be left over.
pub const MAX_CALLS_PER_PEER: usize = 4;
/// How long after a refused connection no further ones are opened beside those that are open.
const REFUSAL_MEMORY: TimeSpan = TimeSpan(2_000);

/// Identifies a call in flight.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct CallId(u64);

/// What becomes of a call that asks for a slot.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SlotAnswer {
    /// It may be sent.
    Granted(CallId),
    /// It has to wait for the end of this call, which is overdue and has to be given up.
    GiveUp(CallId),
    /// It has to wait until a call ends, or until this moment, when the next one becomes overdue; none
    /// if no call is about to.
    Wait(Option<Moment>),
}

/// The connections of this process to a peer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct PeerConnections {
    /// The number of open ones.
    pub open: usize,
    /// When the peer last refused a new one; none if it did not lately.
    pub refused_at: Option<Moment>,
}

impl PeerConnections {
    /// Whether the peer refused a new connection so lately that it would do so again.
    pub fn was_refused_lately(&self, now: Moment) -> bool {
        self.refused_at.is_some_and(|at| now < at.after(REFUSAL_MEMORY))
    }

    fn max_calls(&self, now: Moment) -> usize {
        match self.was_refused_lately(now) {
            true => self.open.clamp(1, MAX_CALLS_PER_PEER),
            false => MAX_CALLS_PER_PEER,
        }
    }
}

/// A call in flight.
#[derive(Debug)]
struct SlotCall {
    id: CallId,
    /// When it is overdue; none before it is sent, and after it was given up.
    overdue_at: Option<Moment>,
    /// Its answer is of use also when it comes late.
    awaits_late_answer: bool,
}

/// The calls in flight to all peers.
#[derive(Debug, Default)]
pub struct CallSlots {
    peers: HashMap<SocketAddr, Vec<SlotCall>>,
    next_id: u64,
}

impl CallSlots {
    /// Asks for a slot for a call to a peer.
    pub fn request(
        &mut self,
        peer: SocketAddr,
        connections: PeerConnections,
        now: Moment,
    ) -> SlotAnswer {
        let calls = self.peers.entry(peer).or_default();
        let max_calls = connections.max_calls(now);
        if calls.len() < max_calls {
            let id = CallId(self.next_id);
            self.next_id += 1;
            calls.push(SlotCall { id, overdue_at: None, awaits_late_answer: false });
            return SlotAnswer::Granted(id);
        }
        let is_overdue = |call: &SlotCall| call.overdue_at.is_some_and(|at| at <= now);
        // A peer may be slow rather than silent. Were each overdue call given up, none would ever be
        // answered, and the time that answers take could not be learned.
        let late_reports = calls.iter().filter(|call| is_overdue(call) && call.awaits_late_answer);
        let oldest_report = late_reports.min_by_key(|call| call.overdue_at).map(|call| call.id);
        let kept = oldest_report.filter(|_| max_calls > 1);
        let overdue = calls.iter_mut().filter(|call| is_overdue(call) && Some(call.id) != kept);
        match overdue.min_by_key(|call| (call.awaits_late_answer, call.overdue_at)) {
            Some(call) => {
                call.overdue_at = None;
                SlotAnswer::GiveUp(call.id)
            }
            None => {
                let due = calls.iter().filter_map(|call| call.overdue_at).filter(|at| *at > now);
                SlotAnswer::Wait(due.min())
            }
        }
    }

    /// Notes that a call is sent, when it is overdue, and whether its answer is of use also when it
    /// comes late, as a report is. Of several overdue calls, those without such use are given up
    /// first, and one with it is kept.
    pub fn note_sent(
        &mut self,
        peer: SocketAddr,
        id: CallId,
        overdue_at: Moment,
        awaits_late_answer: bool,
    ) {
        let calls = self.peers.get_mut(&peer).into_iter().flatten();
        for call in calls.filter(|call| call.id == id) {
            call.overdue_at = Some(overdue_at);
            call.awaits_late_answer = awaits_late_answer;
        }
    }

    /// Ends a call.
    pub fn end(&mut self, peer: SocketAddr, id: CallId) {
        let Some(calls) = self.peers.get_mut(&peer) else { return };
        calls.retain(|call| call.id != id);
        if calls.is_empty() {
            self.peers.remove(&peer);
        }
    }

    /// Returns the number of calls in flight to a peer.
    pub fn in_flight(&self, peer: SocketAddr) -> usize {
        self.peers.get(&peer).map_or(0, Vec::len)
    }
}
