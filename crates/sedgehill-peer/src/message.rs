//! Messages between boxes.

use sedgehill_core::ids::{IdempotencyKey, OrgName};
use sedgehill_core::member::BoxHeartbeat;
use serde::{Deserialize, Serialize};

/// A message from one box to another. A request is answered on the stream on which it arrived.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum PeerMessage {
    /// Tells that the sender is alive. It is not answered.
    Heartbeat(BoxHeartbeat),
    /// Asks for the state of the cluster.
    SnapshotRequest,
    /// The state of the cluster as JSON, in the format of a snapshot record; `None` if the box has no state.
    SnapshotReply(Option<Vec<u8>>),
    /// Asks whether an idempotency key is claimed.
    ClaimRequest {
        /// The organisation of the caller.
        organisation: OrgName,
        /// The key.
        key: IdempotencyKey,
    },
    /// Whether the key is claimed, as far as the answering box knows.
    ClaimReply(ClaimStatus),
}

/// Whether the idempotency key of a once-only request is claimed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum ClaimStatus {
    /// The key is claimed, or a claim is being recorded: its request may have run.
    Claimed,
    /// No request has run under the key.
    Free,
    /// The box does not know.
    Untold,
}

impl PeerMessage {
    /// Encodes the message as postcard.
    pub fn encode(&self) -> Vec<u8> {
        postcard::to_stdvec(self).expect("our types serialize")
    }

    /// Decodes a message. Returns `None` if `bytes` is not a valid one.
    pub fn decode(bytes: &[u8]) -> Option<PeerMessage> {
        postcard::from_bytes(bytes).ok()
    }
}
