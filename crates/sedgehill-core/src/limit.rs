//! Rate limits.

use crate::units::{EventRate, Moment};

/// Events that may come at once after a pause, as seconds of the rate.
const BURST_SECONDS: f64 = 1.0;

/// Lets events pass at a rate, with a burst of one second's worth.
#[derive(Debug)]
pub struct TokenBucket {
    rate: EventRate,
    tokens: f64,
    filled: Moment,
}

impl TokenBucket {
    /// A full bucket.
    pub fn new(rate: EventRate, now: Moment) -> TokenBucket {
        TokenBucket { rate, tokens: Self::capacity(rate), filled: now }
    }

    /// The rate that the bucket enforces.
    pub fn rate(&self) -> EventRate {
        self.rate
    }

    fn capacity(rate: EventRate) -> f64 {
        (rate.0 as f64 * BURST_SECONDS).max(1.0)
    }

    /// Whether one more event may pass at `now`.
    pub fn try_take(&mut self, now: Moment) -> bool {
        let elapsed = now.since(self.filled).as_millis() as f64 / 1000.0;
        self.filled = self.filled.max(now);
        self.tokens = (self.tokens + elapsed * self.rate.0 as f64).min(Self::capacity(self.rate));
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }
}

/// Bounds retries to a share of requests, so that a brown-out is not multiplied.
#[derive(Debug)]
pub struct RetryBudget {
    tokens: f64,
}

impl RetryBudget {
    /// What each request adds: one retry for five requests.
    const PER_REQUEST: f64 = 0.2;
    /// The most retries that can be saved up.
    const CAPACITY: f64 = 100.0;

    /// A budget that has saved up a few retries.
    pub fn new() -> RetryBudget {
        RetryBudget { tokens: Self::CAPACITY / 10.0 }
    }

    /// Notes a request.
    pub fn record_request(&mut self) {
        self.tokens = (self.tokens + Self::PER_REQUEST).min(Self::CAPACITY);
    }

    /// Whether a retry may be made.
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
