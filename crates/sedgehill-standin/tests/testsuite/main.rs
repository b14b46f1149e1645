//! The system as separate processes, against stand-ins that fail on purpose.

mod cell;
mod cell_support;
mod client;
mod configuration;
mod crashing;
mod demo;
mod earlier_lead;
mod endpoints;
mod entries;
mod forgotten_history;
mod ledger;
mod logging;
mod messages;
mod network;
mod once_only;
mod organisations;
mod peers;
mod placement;
mod replaced_lead;
mod shared_token;
mod sight;
mod soak;
mod stops;
mod support;
mod take_over;
mod whole_path;
