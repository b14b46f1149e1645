//! Faults injected into calls to workers and appends to the store: lost calls, lost answers, and delays of both.

use std::ops::Range;
use std::time::Duration;

use parking_lot::Mutex;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use sedgehill_cell::ids::TOKENS_PER_LEAD;

/// Delay of a late call. The range extends beyond the term of a lead and beyond leases.
const CALL_DELAY_MS: Range<u64> = 2_000..12_000;

/// Delay of a late answer. In the longer delays another box may claim the lead.
const ANSWER_DELAY_MS: Range<u64> = 100..2_400;

/// A kind of fault of a call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallFault {
    /// The call does not arrive.
    Lost,
    /// The call is executed at once, and its answer is lost.
    Unanswered,
    /// The call is executed seconds later, and its answer is lost.
    Late,
    /// The call is executed at once, and its answer arrives late.
    AnsweredLate,
}

/// How one call is delivered.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallDelivery {
    /// It is executed and answered at once.
    Answered,
    /// It is executed at once and answered after a delay.
    AnsweredAfter(Duration),
    /// It does not arrive.
    Lost,
    /// It is executed after a delay and not answered.
    Unanswered(Duration),
}

/// The leads whose calls a fault affects, by their fencing tokens.
///
/// Tokens rise from one lead to the next. A worker can thus be cut off from the present lead and be reachable for its
/// successors, or the other way round.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AffectedLeads {
    /// All leads.
    All,
    /// Leads up to the one with this token.
    UpTo(u64),
    /// Leads after the one with this token.
    After(u64),
}

impl AffectedLeads {
    fn include(self, token: u64) -> bool {
        // A lead has a block of tokens, of which later ones are for later lives of workers. The first one identifies
        // the lead.
        let token = token - token % TOKENS_PER_LEAD;
        match self {
            AffectedLeads::All => true,
            AffectedLeads::UpTo(last) => token <= last,
            AffectedLeads::After(last) => token > last,
        }
    }

    /// Returns the same selection relative to the lead with the token `newest`.
    pub fn as_of(self, newest: u64) -> AffectedLeads {
        match self {
            AffectedLeads::All => AffectedLeads::All,
            AffectedLeads::UpTo(_) => AffectedLeads::UpTo(newest),
            AffectedLeads::After(_) => AffectedLeads::After(newest),
        }
    }
}

/// A fault that some calls on a path meet.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PathFault {
    /// The kind of fault.
    pub kind: CallFault,
    /// Share of calls that meet the fault.
    pub percent: u32,
    /// The leads whose calls may meet it.
    pub leads: AffectedLeads,
}

/// Decides by a seeded generator which calls meet a fault.
#[derive(Debug)]
pub struct FaultInjector {
    rng: Mutex<StdRng>,
}

impl Default for FaultInjector {
    fn default() -> FaultInjector {
        FaultInjector { rng: Mutex::new(StdRng::seed_from_u64(0)) }
    }
}

impl FaultInjector {
    /// Restarts the generator with a seed.
    pub fn seed(&self, seed: u64) {
        *self.rng.lock() = StdRng::seed_from_u64(seed);
    }

    /// Draws how a call with a fencing token is delivered.
    pub fn draw(&self, fault: Option<PathFault>, token: u64) -> CallDelivery {
        let Some(fault) = fault.filter(|fault| fault.leads.include(token)) else {
            return CallDelivery::Answered;
        };
        let mut rng = self.rng.lock();
        if !rng.random_ratio(fault.percent, 100) {
            return CallDelivery::Answered;
        }
        match fault.kind {
            CallFault::Lost => CallDelivery::Lost,
            CallFault::Unanswered => CallDelivery::Unanswered(Duration::ZERO),
            CallFault::AnsweredLate => CallDelivery::AnsweredAfter(Duration::from_millis(
                rng.random_range(ANSWER_DELAY_MS),
            )),
            CallFault::Late => {
                CallDelivery::Unanswered(Duration::from_millis(rng.random_range(CALL_DELAY_MS)))
            }
        }
    }
}
