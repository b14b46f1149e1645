//! Distinguishes connections that fell silent from peers that do not answer.
//!
//! An open connection may lose everything that is sent on it, without an error, while new connections to the
//! same peer work. One unanswered call on an old connection proves little: the peer may be slow, or the
//! answer lost. The silence of a connection is *confirmed* when a later call to the same peer is answered on
//! a new connection while the old one stays quiet. Confirmations for several peers at once, with few answers
//! on other old connections, mean that all old connections have to be replaced, and that the calls waiting
//! on them are better made again. When nine tenths of all connections fell silent at once, waiting for each
//! call to time out cost 0.08 of the value of a day's jobs.

use std::collections::{HashMap, VecDeque};
use std::net::SocketAddr;

use sedgehill_core::units::{Moment, TimeSpan};

/// Confirmations and answers within this time are counted together. A call counts as unanswered after 0.1 s
/// or more.
const COUNT_WINDOW: TimeSpan = TimeSpan(600);
/// Number of peers with a confirmed silence before connections to other peers are replaced as well.
const MIN_SILENT_PEERS: usize = 3;
/// Number of answers on old connections per silent peer above which single answers are being lost, and the
/// other connections are kept. Where a tenth of the answers is lost, nine arrive for each lost one.
const MAX_ANSWERS_PER_SILENT_PEER: usize = 2;
/// Minimum time between two replacements of the connections to one peer.
const PEER_REPLACE_INTERVAL: TimeSpan = TimeSpan(500);
/// Minimum time between two replacements of all connections.
const ALL_REPLACE_INTERVAL: TimeSpan = TimeSpan(2_000);

/// An answer of a peer, and the connection on which it arrived.
#[derive(Debug, Clone, Copy)]
pub struct PeerAnswer {
    /// The peer.
    pub peer: SocketAddr,
    /// When the call was sent.
    pub sent: Moment,
    /// When the connection was opened.
    pub opened_at: Moment,
    /// When the connection brought its last answer before this one; when it was opened if there was none.
    pub last_answer_at: Moment,
}

/// The connections that fell silent and have to be replaced.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SilentConnections {
    /// No connection.
    None,
    /// The connections to this peer that have brought no answer since the given moment.
    Peer(Moment),
    /// The connections to all peers that have brought no answer since the given moment.
    All(Moment),
}

/// A confirmed silence of the connections to a peer.
#[derive(Debug, Clone, Copy)]
struct ConfirmedSilence {
    peer: SocketAddr,
    /// When the unanswered call was sent.
    since: Moment,
    /// When the silence was confirmed.
    at: Moment,
}

/// Detects silent connections from the calls of one box.
#[derive(Debug, Default)]
pub struct SilenceDetector {
    /// For each peer with an unanswered call on an old connection: when the call was sent, and when it was
    /// noted as unanswered.
    unanswered: HashMap<SocketAddr, (Moment, Moment)>,
    confirmed: VecDeque<ConfirmedSilence>,
    /// For each recent answer: when the call was sent, and when the connection had brought its last answer
    /// before.
    answers: VecDeque<(Moment, Moment)>,
    /// When the connections to each peer were last replaced.
    replaced: HashMap<SocketAddr, Moment>,
    /// When all connections were last replaced.
    all_replaced: Option<Moment>,
}

impl SilenceDetector {
    /// Notes that a call sent at `sent` on an old connection has not been answered yet.
    pub fn note_unanswered(&mut self, peer: SocketAddr, sent: Moment, now: Moment) {
        self.unanswered.entry(peer).or_insert((sent, now));
    }

    /// Notes an answer, and returns the connections that have to be replaced.
    pub fn note_answer(&mut self, answer: PeerAnswer, now: Moment) -> SilentConnections {
        self.forget_old(now);
        self.answers.push_back((answer.sent, answer.last_answer_at));
        let Some((since, noted_at)) = self.unanswered.get(&answer.peer).copied() else {
            return SilentConnections::None;
        };
        if answer.opened_at < noted_at {
            if answer.sent <= since {
                // The unanswered call itself, or one sent before it, was answered: the peer is slow.
                self.unanswered.remove(&answer.peer);
            }
            return SilentConnections::None;
        }
        self.unanswered.remove(&answer.peer);
        self.confirmed.push_back(ConfirmedSilence { peer: answer.peer, since, at: now });
        if let Some(since) = self.all_silent_since(now) {
            self.all_replaced = Some(now);
            self.confirmed.clear();
            return SilentConnections::All(since);
        }
        let replaced_lately =
            self.replaced.get(&answer.peer).is_some_and(|at| now < at.after(PEER_REPLACE_INTERVAL));
        if replaced_lately {
            return SilentConnections::None;
        }
        self.replaced.insert(answer.peer, now);
        SilentConnections::Peer(since)
    }

    /// Returns the moment from which on all connections must be taken as silent; none if they are not.
    fn all_silent_since(&self, now: Moment) -> Option<Moment> {
        if self.all_replaced.is_some_and(|at| now < at.after(ALL_REPLACE_INTERVAL)) {
            return None;
        }
        let mut peers: Vec<SocketAddr> =
            self.confirmed.iter().map(|silence| silence.peer).collect();
        peers.sort_unstable();
        peers.dedup();
        let since = self.confirmed.iter().map(|silence| silence.since).min()?;
        let on_old_connection =
            |(sent, last_answer_at): &&(Moment, Moment)| *sent >= since && *last_answer_at < since;
        let answers = self.answers.iter().filter(on_old_connection).count();
        let all_silent =
            peers.len() >= MIN_SILENT_PEERS && answers <= MAX_ANSWERS_PER_SILENT_PEER * peers.len();
        all_silent.then_some(since)
    }

    /// Drops answers and confirmations that are too old to count.
    fn forget_old(&mut self, now: Moment) {
        let is_old = |at: Moment| now >= at.after(COUNT_WINDOW);
        while self.answers.front().is_some_and(|(sent, _)| is_old(*sent)) {
            self.answers.pop_front();
        }
        while self.confirmed.front().is_some_and(|silence| is_old(silence.at)) {
            self.confirmed.pop_front();
        }
        if self.replaced.len() > MAX_REPLACED_PEERS {
            self.replaced.retain(|_, at| !is_old(*at));
        }
    }
}

/// Number of peers with a remembered replacement above which old ones are dropped.
const MAX_REPLACED_PEERS: usize = 1_024;
