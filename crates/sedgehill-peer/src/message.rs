//! What boxes say to each other.

use sedgehill_core::ids::{IdempotencyKey, OrgName};
use sedgehill_core::member::BoxHeartbeat;
use serde::{Deserialize, Serialize};

/// One message. Requests are answered on the stream on which they came.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum PeerMessage {
    /// I am here; not answered.
    Heartbeat(BoxHeartbeat),
    /// Asks for the state of the cluster.
    SnapshotRequest,
    /// The state of the cluster as JSON, as in a snapshot record; none if the box has none.
    SnapshotReply(Option<Vec<u8>>),
    /// Asks whether a key is claimed.
    ClaimRequest {
        /// The organisation of the caller.
        organisation: OrgName,
        /// The key.
        key: IdempotencyKey,
    },
    /// What the box knows of a key.
    ClaimReply(ClaimStatus),
}

/// What is known of a key of a once-only request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum ClaimStatus {
    /// It is claimed, or a claim is on its way: its request may have run.
    Claimed,
    /// No request ran under it.
    Free,
    /// This cannot be told.
    Untold,
}

impl PeerMessage {
    /// Encodes the message.
    pub fn encode(&self) -> Vec<u8> {
        postcard::to_stdvec(self).expect("our types serialize")
    }

    /// Decodes a message; none if the bytes are not one.
    pub fn decode(bytes: &[u8]) -> Option<PeerMessage> {
        postcard::from_bytes(bytes).ok()
    }
}
