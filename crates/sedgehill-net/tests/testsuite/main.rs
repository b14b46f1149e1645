//! Sockets of this machine, under callers that connect without a pause.

mod listener;
