//! Tests of the decisions of one cell.

mod advice;
mod authority;
mod fake;
mod random;
mod replica;
mod scheduler;
