//! A hybrid logical clock, which orders the events of all processes consistently with causality.
//!
//! See Kulkarni et al., "Logical Physical Clocks", OPODIS 2014. A stamp is never behind the wall
//! clock of its process, and is greater than every stamp that the process has observed. Two
//! processes can produce equal stamps.

use derive_more::Display;

/// A timestamp of the hybrid logical clock. Orders events across processes.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    Display,
    Eq,
    Hash,
    Ord,
    PartialEq,
    PartialOrd,
    serde::Deserialize,
    serde::Serialize,
)]
#[display("{wall_us}.{count}")]
pub struct Stamp {
    /// Wall clock in microseconds since 1970.
    pub wall_us: u64,
    /// Orders events within the same microsecond.
    pub count: u32,
}

/// The hybrid logical clock of one process.
#[derive(Debug, Default)]
pub struct Clock {
    /// Last stamp that was issued or observed.
    last: Stamp,
}

impl Clock {
    /// Returns a stamp for a local event, given the wall clock in microseconds since 1970.
    pub fn tick(&mut self, wall_us: u64) -> Stamp {
        self.last = if wall_us > self.last.wall_us {
            Stamp { wall_us, count: 0 }
        } else {
            Stamp { wall_us: self.last.wall_us, count: self.last.count + 1 }
        };
        self.last
    }

    /// Records a stamp received with a message. Later local stamps are greater than it.
    pub fn observe(&mut self, remote: Stamp) {
        self.last = self.last.max(remote);
    }
}
