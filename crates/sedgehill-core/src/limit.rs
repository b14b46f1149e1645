//! Rate limits and the retry budget.

use crate::units::{EventRate, Moment};

/// Size of a full bucket, in seconds of the rate.
const BURST_SECONDS: f64 = 1.0;

/// Limits events to a rate, with bursts of up to one second's events.
#[derive(Debug)]
pub struct TokenBucket {
    rate: EventRate,
    tokens: f64,
    refilled_at: Moment,
}

impl TokenBucket {
    /// Creates a full bucket.
    pub fn new(rate: EventRate, now: Moment) -> TokenBucket {
        TokenBucket { rate, tokens: Self::capacity(rate), refilled_at: now }
    }

    /// Returns the rate that the bucket enforces.
    pub fn rate(&self) -> EventRate {
        self.rate
    }

    fn capacity(rate: EventRate) -> f64 {
        (rate.0 as f64 * BURST_SECONDS).max(1.0)
    }

    /// Takes a token for one event at `now`. Returns false if none is left.
    pub fn try_take(&mut self, now: Moment) -> bool {
        let elapsed = now.since(self.refilled_at).as_millis() as f64 / 1000.0;
        self.refilled_at = self.refilled_at.max(now);
        self.tokens = (self.tokens + elapsed * self.rate.0 as f64).min(Self::capacity(self.rate));
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }
}

/// Limits retries to a share of the requests, so that retries do not multiply the load of an
/// overloaded service.
#[derive(Debug)]
pub struct RetryBudget {
    tokens: f64,
}

impl RetryBudget {
    /// Tokens that each request adds: one retry for five requests.
    const TOKENS_PER_REQUEST: f64 = 0.2;
    /// Maximum number of retries that accumulate.
    const CAPACITY: f64 = 100.0;

    /// Creates a budget that already allows a few retries.
    pub fn new() -> RetryBudget {
        RetryBudget { tokens: Self::CAPACITY / 10.0 }
    }

    /// Records a request, which adds a part of a retry to the budget.
    pub fn record_request(&mut self) {
        self.tokens = (self.tokens + Self::TOKENS_PER_REQUEST).min(Self::CAPACITY);
    }

    /// Takes a token for one retry. Returns false if none is left.
    pub fn try_take(&mut self) -> bool {
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }
}

impl Default for RetryBudget {
    fn default() -> Self {
        RetryBudget::new()
    }
}
