//! Tests with real sockets, under clients that connect continuously.

mod listener;
