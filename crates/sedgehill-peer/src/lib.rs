//! Messages between boxes, over QUIC with mutual certificates.
//!
//! Boxes tell each other what speeds things up: heartbeats, news of leaving endpoints, snapshots
//! for a box that starts while the log is down. Nothing is agreed here; that is the log's part.

mod identity;
mod link;
mod message;

pub use identity::{IdentityError, PeerIdentity};
pub use link::{PeerError, PeerLink, PeerRequest};
pub use message::{ClaimStatus, PeerMessage};
