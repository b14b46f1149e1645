//! The decisions of sedgehill, apart from all I/O.
//!
//! Nothing in this package opens a socket, reads a clock or starts a thread. Time, randomness and
//! messages come in as arguments and actions go out as values, so the daemon, the randomised tests
//! and the measurements all drive the same code.
//!
//! - [`manifest`] turns what operators write into checked [`spec`] types.
//! - [`record`] and [`state`] fold the platform's log into one [`state::ClusterState`].
//! - [`lead`] decides which box writes to the workers of a data hall.
//! - [`placement`] places tasks on the workers of one hall.
//! - [`dispatch`] chooses the endpoint of each request.
//! - [`member`] keeps what a box knows of its peers.

pub mod dispatch;
pub mod fields;
pub mod ids;
pub mod job;
pub mod lead;
pub mod limit;
pub mod manifest;
pub mod member;
pub mod placement;
pub mod record;
pub mod spec;
pub mod state;
pub mod units;
