//! Tests of the interface over a socket, with a fake backend.

mod bad_input;
mod crowd;
mod fake;
mod interface;
