//! Scheduling decisions of sedgehill, without I/O.
//!
//! Nothing in this package opens a socket, reads a clock or starts a thread. Time and messages are
//! arguments and actions are return values, so that the daemon, the randomised tests and the
//! benchmarks run the same code.
//!
//! - [`manifest`] parses the files that operators write into checked [`spec`] types.
//! - [`record`] defines the records of the platform's log, and [`state`] applies them to a
//!   [`state::ClusterState`].
//! - [`lead`] decides which box leads a data hall, that is, sends orders to its workers.
//! - [`placement`] places tasks on the workers of one data hall.
//! - [`dispatch`] chooses the endpoint of each request.
//! - [`member`] tracks the state of the other boxes.
//! - [`client_budget`] decides what clients may hold of a box's memory and connections.

pub mod client_budget;
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
