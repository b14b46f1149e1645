//! How often workers leave calls unanswered.

/// Weight of one call in the average: it follows some fifty calls, of which a busy cell makes that many
/// in a fifth of a second.
const CALL_WEIGHT: f64 = 0.02;
/// Calls to workers count as often lost above this share. A single call lost now and then stays below.
const HIGH_LOSS_SHARE: f64 = 0.02;

/// The share of calls to workers in touch that went unanswered.
#[derive(Debug, Clone, Copy, Default)]
pub struct CallLossRate {
    share: f64,
}

impl CallLossRate {
    /// Takes in whether a call was answered.
    pub fn note(&mut self, answered: bool) {
        let value = if answered { 0.0 } else { 1.0 };
        self.share += CALL_WEIGHT * (value - self.share);
    }

    /// Whether calls are lost often enough that waiting long for one costs more than calling again.
    pub fn is_high(&self) -> bool {
        self.share > HIGH_LOSS_SHARE
    }
}
