//! How long to wait for an answer before a call is repeated or settled in another way.

use std::time::Duration;

/// A call is given this many times the usual answer time.
const USUAL_TIMES: u32 = 5;

/// Between what limits calls of one kind wait, and how they go on after a failure.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TimeoutBounds {
    /// The least time a call is given.
    pub min: Duration,
    /// The most time.
    pub max: Duration,
    /// Whether each failure in a row doubles the time.
    pub doubles_on_failure: bool,
    /// The usual answer time is averaged over about this many answers.
    pub averaged_answers: u32,
}

/// Calls to the store: a sound one answers within some 10 ms, and a slow one lets appends wait for up to
/// two seconds. A failure that is noted doubles the limit; hedged appends note none, and double the time
/// between their copies instead.
pub const STORE_TIMEOUT: TimeoutBounds = TimeoutBounds {
    min: Duration::from_millis(150),
    max: Duration::from_millis(2_500),
    doubles_on_failure: true,
    averaged_answers: 4,
};

/// Orders to workers, which answer within some 5 ms. An order may be sent again at no harm, and one
/// worker that leaves orders unanswered says nothing about the others, so failures do not double the
/// limit. Answers of hundreds of workers that are all late, on the other hand, tell of this box's own link:
/// the limit follows them, or each of them would be asked again and fill the link further.
pub const ORDER_TIMEOUT: TimeoutBounds = TimeoutBounds {
    min: Duration::from_millis(100),
    max: Duration::from_millis(2_000),
    doubles_on_failure: false,
    averaged_answers: 32,
};

/// Learns how long answers usually take. A lost answer is noticed soon while the other side is quick,
/// and one that is slow is not flooded with repeated calls.
#[derive(Debug)]
pub struct AdaptiveTimeout {
    bounds: TimeoutBounds,
    average: Duration,
    failures: u32,
}

impl AdaptiveTimeout {
    /// The patience before any answer.
    pub fn new(bounds: TimeoutBounds) -> AdaptiveTimeout {
        AdaptiveTimeout { bounds, average: Duration::ZERO, failures: 0 }
    }

    /// How long answers usually take; nothing before the first.
    pub fn average(&self) -> Duration {
        self.average
    }

    /// How long the next call may take.
    pub fn timeout(&self) -> Duration {
        let TimeoutBounds { min, max, doubles_on_failure, .. } = self.bounds;
        let limit = (self.average * USUAL_TIMES).clamp(min, max);
        match doubles_on_failure {
            true => limit.saturating_mul(1 << self.failures.min(5)).min(max),
            false => limit,
        }
    }

    /// Notes an answer.
    pub fn note_answer(&mut self, took: Duration) {
        self.average = match self.average {
            Duration::ZERO => took,
            usual => {
                (usual * (self.bounds.averaged_answers - 1) + took) / self.bounds.averaged_answers
            }
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
pub struct ResendBudget {
    /// In hundredths of a call.
    left: u32,
}

impl Default for ResendBudget {
    fn default() -> ResendBudget {
        ResendBudget { left: REPEATS_MOST * 100 }
    }
}

impl ResendBudget {
    /// Notes a first call.
    pub fn note_first_call(&mut self) {
        self.left = (self.left + REPEATS_PERCENT).min(REPEATS_MOST * 100);
    }

    /// Takes a repeat out of the budget; false if there is none left.
    pub fn try_take(&mut self) -> bool {
        let allowed = self.left >= 100;
        if allowed {
            self.left -= 100;
        }
        allowed
    }
}
