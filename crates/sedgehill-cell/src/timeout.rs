//! Call timeouts that adapt to measured answer times, and a budget for calls that are sent again.

use std::time::Duration;

/// The timeout of a call is this many times the average answer time.
const TIMEOUT_FACTOR: u32 = 5;

/// Limits of the timeout for one kind of call, and its reaction to failures.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TimeoutBounds {
    /// The shortest timeout.
    pub min: Duration,
    /// The longest timeout.
    pub max: Duration,
    /// Whether each consecutive failure doubles the timeout.
    pub doubles_on_failure: bool,
    /// The number of answers over which the answer time is averaged.
    pub averaged_answers: u32,
}

/// Bounds for calls to the store. A healthy store answers within about 10 ms; a slow one lets appends wait
/// for up to two seconds. A noted failure doubles the timeout. Hedged appends note no failures, and double
/// the time between their copies instead.
pub const STORE_TIMEOUT: TimeoutBounds = TimeoutBounds {
    min: Duration::from_millis(150),
    max: Duration::from_millis(2_500),
    doubles_on_failure: true,
    averaged_answers: 4,
};

/// Bounds for orders to workers, which answer within about 5 ms. Sending an order twice is harmless, and one
/// worker that leaves orders unanswered says nothing about the others, so failures do not double the timeout.
/// When the answers of hundreds of workers are all late, the link of this box is overloaded: the average and
/// with it the timeout grow, since repeating each order would load the link further.
pub const ORDER_TIMEOUT: TimeoutBounds = TimeoutBounds {
    min: Duration::from_millis(100),
    max: Duration::from_millis(2_000),
    doubles_on_failure: false,
    averaged_answers: 32,
};

/// A call timeout derived from the average answer time. A lost answer of a fast peer is noticed soon, and a
/// slow peer is not flooded with repeated calls.
#[derive(Debug)]
pub struct AdaptiveTimeout {
    bounds: TimeoutBounds,
    average: Duration,
    failures: u32,
}

impl AdaptiveTimeout {
    /// Creates a timeout that has seen no answer yet.
    pub fn new(bounds: TimeoutBounds) -> AdaptiveTimeout {
        AdaptiveTimeout { bounds, average: Duration::ZERO, failures: 0 }
    }

    /// Returns the average answer time; zero before the first answer.
    pub fn average(&self) -> Duration {
        self.average
    }

    /// Returns the timeout of the next call.
    pub fn timeout(&self) -> Duration {
        let TimeoutBounds { min, max, doubles_on_failure, .. } = self.bounds;
        let timeout = (self.average * TIMEOUT_FACTOR).clamp(min, max);
        match doubles_on_failure {
            true => timeout.saturating_mul(1 << self.failures.min(5)).min(max),
            false => timeout,
        }
    }

    /// Notes the time that an answer took.
    pub fn note_answer(&mut self, took: Duration) {
        self.average = match self.average {
            Duration::ZERO => took,
            average => {
                (average * (self.bounds.averaged_answers - 1) + took) / self.bounds.averaged_answers
            }
        };
        self.failures = 0;
    }

    /// Notes a call that got no answer.
    pub fn note_failure(&mut self) {
        self.failures += 1;
    }
}

/// Calls that may be sent again per hundred first calls. On a lossy path up to a seventh of the calls is lost.
const RESEND_PERCENT: u32 = 20;
/// Calls that may be sent again in a burst after a time without any.
const MAX_RESEND_BURST: u32 = 50;

/// Limits the calls that are sent again to a share of the first calls. Where most calls go unanswered because
/// a link is full, sending all of them again would keep it full.
#[derive(Debug, Clone, Copy)]
pub struct ResendBudget {
    /// The calls that may be sent again now, in hundredths of a call.
    hundredths: u32,
}

impl Default for ResendBudget {
    fn default() -> ResendBudget {
        ResendBudget { hundredths: MAX_RESEND_BURST * 100 }
    }
}

impl ResendBudget {
    /// Notes a call that is sent for the first time.
    pub fn note_first_call(&mut self) {
        self.hundredths = (self.hundredths + RESEND_PERCENT).min(MAX_RESEND_BURST * 100);
    }

    /// Takes one call out of the budget. Returns false if the budget is used up.
    pub fn try_take(&mut self) -> bool {
        let allowed = self.hundredths >= 100;
        if allowed {
            self.hundredths -= 100;
        }
        allowed
    }
}
