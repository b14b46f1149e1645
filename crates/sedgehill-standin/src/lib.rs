//! Stand-ins for the platform, endpoints and callers, with faults, for tests and demonstrations.
//!
//! Nothing here is linked into the shipped programs. What the stand-ins see is counted by a
//! [`ledger::RuleLedger`] of their own, so that a broken promise is found without asking the system.

pub mod binaries;
pub mod box_process;
pub mod caller;
pub mod cell_platform;
pub mod cell_process;
pub mod certificates;
pub mod cluster;
pub mod endpoint;
pub mod http_server;
pub mod keep_alive_caller;
pub mod ledger;
pub mod list_server;
pub mod log_server;
pub mod network;
pub mod soak;
pub mod worker;
