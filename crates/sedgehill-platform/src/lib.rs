//! Clients of the platform services that the daemon uses in log mode (the log, the workers and the
//! list of boxes, endpoints and workers), and the types of the daemon's admin interface.
//!
//! Each client offers a few typed operations over HTTP and JSON. A change of a service's wire
//! format affects only the module of that service.

pub mod admin;
pub mod client;
pub mod fence;
pub mod list;
pub mod log;
pub mod worker;
