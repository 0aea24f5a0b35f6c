//! Clients of the platform and of upstreams.
//!
//! Each client sends HTTP/1.1 requests to one address and reports with every failure whether the
//! call may have run, see [`CallError`]. The clients never retry a call that has an effect; that
//! decision is left to the caller.

pub mod engine;
pub mod error;
pub mod hosts;
mod http;
pub mod objects;
pub mod service;

pub use {
    engine::{
        CacheEvent, CacheEventKind, CacheEvents, CachedProgram, ChatAssembler, ChatEvent,
        ChatRequest, ChatStream, Engine, Load, ModelOrder, OrderKind,
    },
    error::{CallError, ErrorKind},
    hosts::{HostList, UpstreamRecord},
    http::is_forbidden_header,
    objects::{
        ApiError, CallCounts, ChangedKey, KeyVersion, Object, ObjectApi, PutError, Version,
        WatchReply,
    },
    service::{ServiceClient, ServiceReply, ServiceRequest},
};
