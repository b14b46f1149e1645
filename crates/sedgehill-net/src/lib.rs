//! What boxes need of sockets beyond what the libraries do.

pub mod listener;
