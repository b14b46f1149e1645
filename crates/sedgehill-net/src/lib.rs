//! Socket operations that boxes need and the socket libraries do not provide.

pub mod listener;
