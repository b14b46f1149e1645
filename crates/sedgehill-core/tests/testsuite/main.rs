//! Tests of the scheduling core, which does no I/O.

mod cell;
mod client_budget;
mod dispatch;
mod lead;
mod manifest;
mod member;
mod mutations;
mod random_cell;
mod regressions;
mod state;
mod units;
