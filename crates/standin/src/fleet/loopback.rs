//! Loopback addresses of sites that run side by side in one process.
//!
//! The kernel may give a port that one site has freed to another one, which then gets what the hosts of
//! the first site still send: a cut link appears to work, a worker answers somebody else's requests, and a
//! host learns of hosts that are not in its site. Sites with addresses of their own can't meet.

use std::{
    cell::Cell,
    net::Ipv4Addr,
    sync::atomic::{AtomicU32, Ordering},
};

/// Number of addresses, from 127.1.0.1 on.
const ADDRESSES: u32 = 0x00fe_0000;

static NEXT: AtomicU32 = AtomicU32::new(0);

thread_local! {
    static ADDRESS: Cell<Ipv4Addr> = const { Cell::new(Ipv4Addr::LOCALHOST) };
}

/// Returns the address at which the stand-ins listen that this thread starts.
pub fn address() -> Ipv4Addr {
    ADDRESS.get()
}

/// Begins a new site: the stand-ins that this thread starts from now on listen at an address that no
/// other site in this process has. Systems other than Linux have one loopback address.
pub fn begin_site() {
    if cfg!(target_os = "linux") {
        let number = NEXT.fetch_add(1, Ordering::Relaxed) % ADDRESSES;
        let first = Ipv4Addr::new(127, 1, 0, 1).to_bits();
        ADDRESS.set(Ipv4Addr::from_bits(first + number));
    }
}
