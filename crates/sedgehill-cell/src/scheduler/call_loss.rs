//! Measures how often workers leave calls unanswered.

/// Weight of one call in the average, which covers some fifty calls. A busy cell makes that many in
/// a fifth of a second.
const CALL_WEIGHT: f64 = 0.02;
/// Calls are often lost above this share. A single call lost now and then stays below it.
const HIGH_LOSS_SHARE: f64 = 0.02;

/// The share of unanswered calls among those to reachable workers.
#[derive(Debug, Clone, Copy, Default)]
pub struct CallLossRate {
    share: f64,
}

impl CallLossRate {
    /// Adds a call.
    pub fn note(&mut self, answered: bool) {
        let value = if answered { 0.0 } else { 1.0 };
        self.share += CALL_WEIGHT * (value - self.share);
    }

    /// Whether calls are lost so often that waiting long for an answer costs more than calling
    /// again.
    pub fn is_high(&self) -> bool {
        self.share > HIGH_LOSS_SHARE
    }
}
