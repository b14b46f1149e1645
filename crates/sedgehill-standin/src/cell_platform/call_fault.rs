//! Trouble with calls: some are lost, some are carried out without an answer, some are carried out late.

use std::ops::Range;
use std::time::Duration;

use parking_lot::Mutex;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use sedgehill_cell::ids::TOKENS_PER_LEAD;

/// How much later a late call is carried out, in milliseconds: past the term of a lead and past leases.
const LATE_MS: Range<u64> = 2_000..12_000;

/// How much later a late answer comes, in milliseconds: another lead may have claimed meanwhile.
const ANSWER_LATE_MS: Range<u64> = 100..2_400;

/// What goes wrong with a call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallFault {
    /// It does not arrive.
    Lost,
    /// It is carried out at once, and the answer is lost.
    Unanswered,
    /// It is carried out seconds later, and not answered.
    Late,
    /// It is carried out at once, and answered late.
    AnsweredLate,
}

/// What becomes of one call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallDelivery {
    /// It is carried out and answered.
    Answered,
    /// It is carried out at once and answered after a time.
    AnsweredAfter(Duration),
    /// It does not arrive.
    Lost,
    /// It is carried out after a time and not answered.
    Unanswered(Duration),
}

/// Which leads meet trouble. Tokens rise from one lead to the next, so a worker that the lead of a moment
/// reaches can be cut from all that follow it, and the other way about.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AffectedLeads {
    /// Each one.
    All,
    /// Those with this token or a lower one.
    UpTo(u64),
    /// Those with a higher token.
    After(u64),
}

impl AffectedLeads {
    fn contain(self, token: u64) -> bool {
        // Each lead has some tokens, for later lives of workers.
        let token = token - token % TOKENS_PER_LEAD;
        match self {
            AffectedLeads::All => true,
            AffectedLeads::UpTo(last) => token <= last,
            AffectedLeads::After(last) => token > last,
        }
    }

    /// The same leads as of a moment at which the newest has this token.
    pub fn as_of(self, newest: u64) -> AffectedLeads {
        match self {
            AffectedLeads::All => AffectedLeads::All,
            AffectedLeads::UpTo(_) => AffectedLeads::UpTo(newest),
            AffectedLeads::After(_) => AffectedLeads::After(newest),
        }
    }
}

/// Trouble on a path.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PathFault {
    /// What goes wrong.
    pub kind: CallFault,
    /// Of a hundred calls so many meet it.
    pub percent: u32,
    /// Whose calls.
    pub leads: AffectedLeads,
}

/// Draws what becomes of calls.
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
    /// Draws by another seed from now on.
    pub fn seed(&self, seed: u64) {
        *self.rng.lock() = StdRng::seed_from_u64(seed);
    }

    /// What becomes of a call under a token.
    pub fn draw(&self, trouble: Option<PathFault>, token: u64) -> CallDelivery {
        let Some(trouble) = trouble.filter(|trouble| trouble.leads.contain(token)) else {
            return CallDelivery::Answered;
        };
        let mut rng = self.rng.lock();
        if !rng.random_ratio(trouble.percent, 100) {
            return CallDelivery::Answered;
        }
        match trouble.kind {
            CallFault::Lost => CallDelivery::Lost,
            CallFault::Unanswered => CallDelivery::Unanswered(Duration::ZERO),
            CallFault::AnsweredLate => {
                CallDelivery::AnsweredAfter(Duration::from_millis(rng.random_range(ANSWER_LATE_MS)))
            }
            CallFault::Late => {
                CallDelivery::Unanswered(Duration::from_millis(rng.random_range(LATE_MS)))
            }
        }
    }
}
