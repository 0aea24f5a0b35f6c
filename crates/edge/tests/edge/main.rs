//! The interface over a socket, in front of a fake backend.

mod bad_input;
mod fake;
mod interface;
