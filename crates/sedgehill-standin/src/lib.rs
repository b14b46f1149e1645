//! Stand-ins for the platform, endpoints and callers, with fault injection, for tests and demonstrations.
//!
//! Nothing here is linked into the shipped programs. The stand-ins record violations of the product's safety rules in a
//! [`ledger::RuleLedger`] of their own, so that these are found without relying on the boxes under test.

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
