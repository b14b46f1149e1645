//! How long to wait for an answer before a call is repeated or settled in another way.

use std::time::Duration;

/// A call is given this many times the usual answer time.
const USUAL_TIMES: u32 = 5;

/// Between what limits calls of one kind wait, and how they go on after a failure.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PatienceBounds {
    /// The least time a call is given.
    pub least: Duration,
    /// The most time.
    pub most: Duration,
    /// Whether each failure in a row doubles the time.
    pub doubles: bool,
    /// The usual answer time is averaged over about this many answers.
    pub averaged: u32,
}

/// Calls to the store: a sound one answers within some 10 ms, and a slow one lets appends wait for up to
/// two seconds. A failure that is noted doubles the limit; hedged appends note none, and double the time
/// between their copies instead.
pub const STORE_PATIENCE: PatienceBounds = PatienceBounds {
    least: Duration::from_millis(150),
    most: Duration::from_millis(2_500),
    doubles: true,
    averaged: 4,
};

/// Orders to workers, which answer within some 5 ms. An order may be sent again at no harm, and one
/// worker that leaves orders unanswered says nothing about the others, so failures do not double the
/// limit. Answers of hundreds of workers that are all late, on the other hand, tell of this box's own link:
/// the limit follows them, or each of them would be asked again and fill the link further.
pub const ORDER_PATIENCE: PatienceBounds = PatienceBounds {
    least: Duration::from_millis(100),
    most: Duration::from_millis(2_000),
    doubles: false,
    averaged: 32,
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
        let PatienceBounds { least, most, doubles, .. } = self.bounds;
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
            usual => (usual * (self.bounds.averaged - 1) + took) / self.bounds.averaged,
        };
        self.failures = 0;
    }

    /// Notes that there was none.
    pub fn note_failure(&mut self) {
        self.failures += 1;
    }
}

/// Repeats allowed for each hundred first calls. On a lossy path up to a seventh of the calls get lost.
const REPEATS_PERCENT: u32 = 20;
/// Repeats allowed at once when there were none for long.
const REPEATS_MOST: u32 = 50;

/// Bounds repeated calls to a share of first ones: where most calls go unanswered because a link is full,
/// repeating them all would keep it full.
#[derive(Debug, Clone, Copy)]
pub struct RepeatBudget {
    /// In hundredths of a call.
    left: u32,
}

impl Default for RepeatBudget {
    fn default() -> RepeatBudget {
        RepeatBudget { left: REPEATS_MOST * 100 }
    }
}

impl RepeatBudget {
    /// Notes a first call.
    pub fn note_first(&mut self) {
        self.left = (self.left + REPEATS_PERCENT).min(REPEATS_MOST * 100);
    }

    /// Takes a repeat out of the budget; false if there is none left.
    pub fn take(&mut self) -> bool {
        let allowed = self.left >= 100;
        if allowed {
            self.left -= 100;
        }
        allowed
    }
}
