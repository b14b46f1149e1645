//! Clients of what the platform provides: its log, its workers and its list of what is there.
//!
//! Each is a small set of typed operations over HTTP and JSON. A change of a wire format of the
//! platform touches the module of that service alone.

pub mod admin;
pub mod client;
pub mod fence;
pub mod list;
pub mod log;
pub mod worker;
