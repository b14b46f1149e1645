//! Tests of the decisions of one cell.

mod accounts;
mod advice;
mod authority;
mod brief;
mod cancelled;
mod capacity;
mod crashing;
mod displacement;
mod entries;
mod fake;
mod led;
mod lives;
mod organisations;
mod overlap;
mod overlapping;
mod patience;
mod predecessor;
mod progress;
mod random;
mod replica;
mod roster;
mod scheduler;
mod sight;
mod silence;
mod stalled;
mod standby;
