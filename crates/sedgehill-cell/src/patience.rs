//! How long to wait for the store before a call is repeated.

use std::time::Duration;

/// The least time a call is given: a sound store answers within some 10 ms.
const LEAST: Duration = Duration::from_millis(150);
/// The most time: a slow store lets appends wait for up to two seconds.
const MOST: Duration = Duration::from_millis(2_500);
/// A call is given this many times the usual answer time ...
const USUAL_TIMES: u32 = 5;
/// ... which is averaged over about this many answers.
const AVERAGED: u32 = 4;

/// Learns how long answers usually take. A lost answer is noticed soon while the store is quick, and
/// a slow store is not flooded with repeated calls.
#[derive(Debug, Default)]
pub struct CallPatience {
    usual: Duration,
    failures: u32,
}

impl CallPatience {
    /// How long the next call may take. It doubles with each failure in a row.
    pub fn limit(&self) -> Duration {
        let limit = (self.usual * USUAL_TIMES).clamp(LEAST, MOST);
        limit.saturating_mul(1 << self.failures.min(5)).min(MOST)
    }

    /// Notes an answer.
    pub fn note_answer(&mut self, took: Duration) {
        self.usual = (self.usual * (AVERAGED - 1) + took) / AVERAGED;
        self.failures = 0;
    }

    /// Notes that there was none.
    pub fn note_failure(&mut self) {
        self.failures += 1;
    }
}
