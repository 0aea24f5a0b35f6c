//! The HTTP interface for callers.
//!
//! This crate parses requests, enforces size and time limits on them, and writes the replies.
//! Everything else is behind [`Backend`], so the crate can be tested with a fake backend and used
//! with another implementation of a program's home. A request passes through these modules in
//! order: `server` accepts the connection, `receive` reads the request within the limits of
//! [`EdgeOptions`], `head`, `route` and `body` parse and validate it, `handler` calls the backend,
//! `relay` forwards the answer, and `reply` writes it. Each failure becomes a `problem`.

mod backend;
mod body;
mod conn;
mod forward;
mod handler;
mod head;
mod implicit;
mod memory;
mod options;
mod path;
mod problem;
mod program_json;
mod receive;
mod relay;
mod reply;
mod route;
mod server;
mod stop;
#[cfg(test)]
mod tests;

pub use {
    backend::{Answer, Backend, Readiness},
    options::{EdgeOptions, MAX_HEAD_BYTES, MAX_HEADERS},
    server::Edge,
    stop::{StopReceiver, StopSender, stop_signal},
};
