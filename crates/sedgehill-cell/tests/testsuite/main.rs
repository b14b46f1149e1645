//! Tests of the decisions of one cell.

mod authority;
mod fake;
mod replica;
mod scheduler;
