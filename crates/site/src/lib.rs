//! A whole site in one process, on loopback ports from the kernel: stand-ins for the platform and
//! for upstreams, and hosts. The demo, end-to-end tests and measurements start it.

mod caller;
mod site;

pub use {
    caller::{CallerClient, CallerError, Reply, SseReply},
    site::{HostPlace, Site, SiteError, SiteOptions, UpstreamPlace, deploy},
};
