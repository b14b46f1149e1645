//! Applies claims of idempotency keys, which make requests run at most once.

use super::{ClusterState, KeyClaim, RecordVerdict, VoidReason};
use crate::ids::{IdempotencyKey, Offset, OrgName, RecordId};

/// Maximum age of an idempotency key, and the time for which its claim is kept, in milliseconds.
pub const CLAIM_WINDOW_MS: u64 = 3_600_000;
/// Maximum time by which a key's creation time may be ahead of the platform's clock, in
/// milliseconds.
pub const MAX_KEY_AHEAD_MS: u64 = 60_000;

impl ClusterState {
    pub(super) fn claim_key(
        &mut self,
        id: RecordId,
        organisation: &OrgName,
        key: IdempotencyKey,
        at: Offset,
    ) -> RecordVerdict {
        if let Some(claim) = self.claims.get(organisation).and_then(|claims| claims.get(&key)) {
            if claim.claim == id && !claim.released {
                return RecordVerdict::Accepted { at };
            }
            if !claim.released || claim.claim == id {
                return RecordVerdict::Void { reason: VoidReason::KeyClaimed };
            }
        }
        if !self.is_key_in_window(key) {
            return RecordVerdict::Void { reason: VoidReason::KeyOutsideWindow };
        }
        let claim = KeyClaim { claim: id, at_ms: self.clock_ms, released: false };
        self.claims.entry(organisation.clone()).or_default().insert(key, claim);
        RecordVerdict::Accepted { at }
    }

    /// Whether the creation time of the key is recent enough that a claim of it cannot have been
    /// discarded, and not too far ahead of the platform's clock.
    pub fn is_key_in_window(&self, key: IdempotencyKey) -> bool {
        let created = key.created_at_ms();
        created + CLAIM_WINDOW_MS > self.clock_ms && created < self.clock_ms + MAX_KEY_AHEAD_MS
    }

    pub(super) fn release_key(
        &mut self,
        organisation: &OrgName,
        key: IdempotencyKey,
        claim: RecordId,
        at: Offset,
    ) -> RecordVerdict {
        let last_claim = self.claims.get_mut(organisation).and_then(|claims| claims.get_mut(&key));
        match last_claim.filter(|last_claim| last_claim.claim == claim) {
            Some(last_claim) => {
                last_claim.released = true;
                RecordVerdict::Accepted { at }
            }
            None => RecordVerdict::Void { reason: VoidReason::NotClaimant },
        }
    }

    /// Discards claims whose keys no longer pass [`ClusterState::is_key_in_window`].
    pub(super) fn expire_claims(&mut self) {
        let clock_ms = self.clock_ms;
        for claims in self.claims.values_mut() {
            // Keys sort by their creation time, so the oldest come first.
            while let Some(entry) = claims.first_entry() {
                if entry.key().created_at_ms() + CLAIM_WINDOW_MS > clock_ms {
                    break;
                }
                entry.remove();
            }
        }
    }
}
