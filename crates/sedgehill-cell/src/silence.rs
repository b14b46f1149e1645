//! Tells connections that fell silent from peers that do not answer.
//!
//! An open connection may lose all that is sent on it, without an error, while new connections to the same
//! peer work. One call that goes unanswered on an old connection says little: the peer may be slow, or the
//! answer lost. A *proof* is a later answer on a new connection to the same peer while the old one stays
//! quiet. Proofs for several peers at once, and few answers on other old connections, mean that all old
//! connections have to be replaced, and that calls which wait on them are better made again. Waiting for
//! each of them to run into its own limit cost 0.08 of a day's worth when nine tenths of all connections
//! fell silent once.

use std::collections::{HashMap, VecDeque};
use std::net::SocketAddr;

use sedgehill_core::units::{Moment, TimeSpan};

/// Proofs and answers count together within this time: a call is doubted after 0.1 s or more.
const TOGETHER: TimeSpan = TimeSpan(600);
/// Proofs for so many peers are needed before connections to others are doubted.
const PEERS_LEAST: usize = 3;
/// There may be so many answers on old connections for each proof: where a tenth of the answers gets lost,
/// there are nine.
const ANSWERS_PER_PROOF: usize = 2;
/// Connections to one peer are replaced at most this often.
const PEER_AGAIN: TimeSpan = TimeSpan(500);
/// All connections are replaced at most this often.
const ALL_AGAIN: TimeSpan = TimeSpan(2_000);

/// An answer, and on what connection it came.
#[derive(Debug, Clone, Copy)]
pub struct PeerAnswer {
    /// The peer.
    pub peer: SocketAddr,
    /// When the call was sent.
    pub sent: Moment,
    /// When the connection was made.
    pub connected: Moment,
    /// When the connection last brought an answer before this one; when it was made if none.
    pub last_answer: Moment,
}

/// Which connections have to be replaced.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SilentConnections {
    /// None.
    None,
    /// Those to one peer that have brought no answer since the given moment.
    Peer(Moment),
    /// Those to all peers that have brought no answer since the given moment.
    All(Moment),
}

#[derive(Debug, Clone, Copy)]
struct SilenceProof {
    peer: SocketAddr,
    /// When the call was sent that stayed without an answer.
    since: Moment,
    at: Moment,
}

/// What the calls of one box tell of its connections.
#[derive(Debug, Default)]
pub struct SilenceDetector {
    /// Peers of calls that go unanswered on old connections: when the call was sent, and doubted.
    doubted: HashMap<SocketAddr, (Moment, Moment)>,
    proofs: VecDeque<SilenceProof>,
    /// Answers on connections that had been proven last at the second moment, sent at the first.
    answers: VecDeque<(Moment, Moment)>,
    replaced: HashMap<SocketAddr, Moment>,
    all_replaced: Option<Moment>,
}

impl SilenceDetector {
    /// Notes that a call sent at `sent` on an old connection goes unanswered.
    pub fn note_unanswered(&mut self, peer: SocketAddr, sent: Moment, now: Moment) {
        self.doubted.entry(peer).or_insert((sent, now));
    }

    /// Notes an answer, and tells which connections have to be replaced.
    pub fn note_answer(&mut self, sign: PeerAnswer, now: Moment) -> SilentConnections {
        self.forget_old(now);
        self.answers.push_back((sign.sent, sign.last_answer));
        let Some((since, doubted_at)) = self.doubted.get(&sign.peer).copied() else {
            return SilentConnections::None;
        };
        if sign.connected < doubted_at {
            if sign.sent <= since {
                // The doubted call itself, or one before it: the peer is slow.
                self.doubted.remove(&sign.peer);
            }
            return SilentConnections::None;
        }
        self.doubted.remove(&sign.peer);
        self.proofs.push_back(SilenceProof { peer: sign.peer, since, at: now });
        if let Some(since) = self.all_silent(now) {
            self.all_replaced = Some(now);
            self.proofs.clear();
            return SilentConnections::All(since);
        }
        let again = self.replaced.get(&sign.peer).is_some_and(|at| now < at.after(PEER_AGAIN));
        if again {
            return SilentConnections::None;
        }
        self.replaced.insert(sign.peer, now);
        SilentConnections::Peer(since)
    }

    /// Since when all connections must be taken as silent, if they must.
    fn all_silent(&self, now: Moment) -> Option<Moment> {
        if self.all_replaced.is_some_and(|at| now < at.after(ALL_AGAIN)) {
            return None;
        }
        let mut peers: Vec<SocketAddr> = self.proofs.iter().map(|proof| proof.peer).collect();
        peers.sort_unstable();
        peers.dedup();
        let since = self.proofs.iter().map(|proof| proof.since).min()?;
        let old = |(sent, proven): &&(Moment, Moment)| *sent >= since && *proven < since;
        let answers = self.answers.iter().filter(old).count();
        let enough = peers.len() >= PEERS_LEAST && answers <= ANSWERS_PER_PROOF * peers.len();
        enough.then_some(since)
    }

    fn forget_old(&mut self, now: Moment) {
        let is_old = |at: Moment| now >= at.after(TOGETHER);
        while self.answers.front().is_some_and(|(sent, _)| is_old(*sent)) {
            self.answers.pop_front();
        }
        while self.proofs.front().is_some_and(|proof| is_old(proof.at)) {
            self.proofs.pop_front();
        }
        if self.replaced.len() > REPLACED_MOST {
            self.replaced.retain(|_, at| !is_old(*at));
        }
    }
}

/// Peers that are remembered as replaced lately before old ones are forgotten.
const REPLACED_MOST: usize = 1_024;
