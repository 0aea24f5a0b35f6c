//! The memory that a process is charged with: its resident pages, and the bytes that have arrived for
//! its sockets and that it has not read.

use std::{
    collections::HashSet,
    fs,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    thread::{self, JoinHandle},
    time::Duration,
};

/// Pause between two samples.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(20);
/// State of a listening socket in `/proc/net/tcp`, whose receive queue counts connections.
const STATE_LISTEN: &str = "0A";

/// The largest sum of resident and unread bytes that was sampled.
#[derive(Clone, Copy, Debug, Default)]
pub struct Peak {
    pub total_bytes: u64,
    /// Part of the total in the receive queues of the process's sockets.
    pub unread_bytes: u64,
}

/// Samples the memory of a process until it is stopped.
pub struct MemorySampler {
    is_stopped: Arc<AtomicBool>,
    thread: JoinHandle<Peak>,
}

impl MemorySampler {
    /// Samples a process that listens at `own_ports` and connects to `upstream_ports`, all on this machine.
    pub fn start(process_id: u32, own_ports: &[u16], upstream_ports: &[u16]) -> Self {
        let is_stopped = Arc::new(AtomicBool::new(false));
        let (stopped, own, upstreams) = (
            is_stopped.clone(),
            own_ports.iter().copied().collect(),
            upstream_ports.iter().copied().collect(),
        );
        let thread = thread::spawn(move || {
            let mut peak = Peak::default();
            while !stopped.load(Ordering::SeqCst) {
                let unread_bytes = unread_bytes(&own, &upstreams);
                let total_bytes = unread_bytes + resident_bytes(process_id);
                if total_bytes > peak.total_bytes {
                    peak = Peak { total_bytes, unread_bytes };
                }
                thread::sleep(SAMPLE_INTERVAL);
            }
            peak
        });
        Self { is_stopped, thread }
    }

    /// Returns the peak since the start.
    pub fn stop(self) -> Peak {
        self.is_stopped.store(true, Ordering::SeqCst);
        self.thread.join().expect("the sampler reads what the kernel writes")
    }
}

/// Returns the resident memory of a process, or 0 if it has ended.
fn resident_bytes(process_id: u32) -> u64 {
    let Ok(status) = fs::read_to_string(format!("/proc/{process_id}/status")) else { return 0 };
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let kb = line.and_then(|line| line.trim().trim_end_matches(" kB").parse::<u64>().ok());
    kb.unwrap_or(0) * 1024
}

/// Returns the bytes that wait in the receive queues of all connections that a process has, including
/// those that it has not accepted yet.
fn unread_bytes(own_ports: &HashSet<u16>, upstream_ports: &HashSet<u16>) -> u64 {
    let table = fs::read_to_string("/proc/net/tcp").expect("the kernel lists its sockets");
    let rows = table.lines().skip(1).filter_map(|line| {
        let mut fields = line.split_ascii_whitespace().skip(1);
        let (local, remote) = (port(fields.next()?)?, port(fields.next()?)?);
        let is_own = own_ports.contains(&local) || upstream_ports.contains(&remote);
        let is_connection = fields.next()? != STATE_LISTEN;
        let (_, unread) = fields.next()?.split_once(':')?;
        (is_own && is_connection).then(|| u64::from_str_radix(unread, 16).ok())?
    });
    rows.sum()
}

/// Returns the port of an address such as `0100007F:1F90`.
fn port(address: &str) -> Option<u16> {
    u16::from_str_radix(address.split_once(':')?.1, 16).ok()
}
