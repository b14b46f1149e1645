//! Claims of once-only requests in the fold.

use super::{ClusterState, KeyClaim, RecordVerdict, VoidReason};
use crate::ids::{IdempotencyKey, Offset, OrgName, RecordId};

/// How long a claim of a once-only request is kept, and how old its key may be, in milliseconds.
pub const CLAIM_WINDOW_MS: u64 = 3_600_000;
/// How far a key's time may lie ahead of the platform's, in milliseconds.
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

    /// Whether the key was made recently enough that no claim of it can have been forgotten.
    pub fn is_key_in_window(&self, key: IdempotencyKey) -> bool {
        let made = key.created_at_ms();
        made + CLAIM_WINDOW_MS > self.clock_ms && made < self.clock_ms + MAX_KEY_AHEAD_MS
    }

    pub(super) fn release_key(
        &mut self,
        organisation: &OrgName,
        key: IdempotencyKey,
        claim: RecordId,
        at: Offset,
    ) -> RecordVerdict {
        let found = self.claims.get_mut(organisation).and_then(|claims| claims.get_mut(&key));
        match found.filter(|found| found.claim == claim) {
            Some(found) => {
                found.released = true;
                RecordVerdict::Accepted { at }
            }
            None => RecordVerdict::Void { reason: VoidReason::NotClaimant },
        }
    }

    /// Forgets claims whose keys no longer pass [`ClusterState::is_key_in_window`].
    pub(super) fn expire_claims(&mut self) {
        let clock = self.clock_ms;
        for claims in self.claims.values_mut() {
            // Keys are ordered by the time in them, so the oldest come first.
            while let Some(entry) = claims.first_entry() {
                if entry.key().created_at_ms() + CLAIM_WINDOW_MS > clock {
                    break;
                }
                entry.remove();
            }
        }
    }
}
