//! Clients of the platform and of upstreams.
//!
//! Each client speaks HTTP/1.1 to one address and says of every failure whether the call may have
//! run: see [`CallError`]. Nothing here retries a call that has an effect; that is the caller's
//! decision.

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
