//! Messages between boxes, over QUIC with mutual TLS authentication.
//!
//! The messages only speed things up: heartbeats, notices of leaving endpoints, lookups of claimed keys, and
//! snapshots for a box that starts while the log is unavailable. Boxes agree on state through the log alone.

mod identity;
mod link;
mod message;

pub use identity::{IdentityError, PeerIdentity};
pub use link::{PeerError, PeerLink, PeerRequest};
pub use message::{ClaimStatus, PeerMessage};
