//! How long to wait for an answer before a call is repeated or settled in another way.

use std::time::Duration;

/// A call is given this many times the usual answer time.
const USUAL_TIMES: u32 = 5;
/// The usual answer time is averaged over about this many answers.
const AVERAGED: u32 = 4;

/// Between what limits calls of one kind wait, and how they go on after a failure.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PatienceBounds {
    /// The least time a call is given.
    pub least: Duration,
    /// The most time.
    pub most: Duration,
    /// Whether each failure in a row doubles the time.
    pub doubles: bool,
}

/// Calls to the store: a sound one answers within some 10 ms, and a slow one lets appends wait for up to
/// two seconds. A failure that is noted doubles the limit; hedged appends note none, and double the time
/// between their copies instead.
pub const STORE_PATIENCE: PatienceBounds = PatienceBounds {
    least: Duration::from_millis(150),
    most: Duration::from_millis(2_500),
    doubles: true,
};

/// Orders to workers, which answer within some 5 ms. An order may be sent again at no harm, and one
/// worker that leaves orders unanswered says nothing about the others, so failures do not double the
/// limit.
pub const ORDER_PATIENCE: PatienceBounds = PatienceBounds {
    least: Duration::from_millis(100),
    most: Duration::from_millis(400),
    doubles: false,
};

/// Learns how long answers usually take. A lost answer is noticed soon while the other side is quick,
/// and one that is slow is not flooded with repeated calls.
#[derive(Debug)]
pub struct CallPatience {
    bounds: PatienceBounds,
    usual: Duration,
    failures: u32,
}

impl CallPatience {
    /// The patience before any answer.
    pub fn new(bounds: PatienceBounds) -> CallPatience {
        CallPatience { bounds, usual: Duration::ZERO, failures: 0 }
    }

    /// How long answers usually take; nothing before the first.
    pub fn usual(&self) -> Duration {
        self.usual
    }

    /// How long the next call may take.
    pub fn limit(&self) -> Duration {
        let PatienceBounds { least, most, doubles } = self.bounds;
        let limit = (self.usual * USUAL_TIMES).clamp(least, most);
        match doubles {
            true => limit.saturating_mul(1 << self.failures.min(5)).min(most),
            false => limit,
        }
    }

    /// Notes an answer.
    pub fn note_answer(&mut self, took: Duration) {
        self.usual = match self.usual {
            Duration::ZERO => took,
            usual => (usual * (AVERAGED - 1) + took) / AVERAGED,
        };
        self.failures = 0;
    }

    /// Notes that there was none.
    pub fn note_failure(&mut self) {
        self.failures += 1;
    }
}
