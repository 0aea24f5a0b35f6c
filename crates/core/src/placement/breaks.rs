//! Where a repeatable request goes after an upstream has broken its answer off.
//!
//! Load pattern: some upstreams go down and up by turns, faster than the platform lists it, and close each
//! connection at once while they are down; others lose a few answers in a hundred. A request may run at a
//! bounded number of upstreams, of which those that have ended don't count. So it is first sent again to the
//! same upstream, which is sound in most cases, and goes elsewhere once that has broken off so often in a
//! row that it must be down.

/// Sends to one upstream that must break off before it counts as down. With one answer in ten lost, one
/// request in 10,000 goes elsewhere from an upstream that is up.
const SENDS_MAX: u32 = 4;
/// Upstreams that may break one request off so: it may be the request that harms them.
const UPSTREAMS_MAX: u32 = 2;

/// What follows a break.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AfterBreak {
    /// The request goes to the same upstream again.
    Again,
    /// It goes to another one.
    Elsewhere,
    /// It is given up.
    GiveUp,
}

/// The breaks of one request.
#[derive(Clone, Copy, Debug, Default)]
pub struct Breaks {
    /// At the upstream that it is at.
    here: u32,
    /// Upstreams that it has left.
    left: u32,
}

impl Breaks {
    /// Decides what follows a further break.
    pub fn broke_off(&mut self) -> AfterBreak {
        self.here += 1;
        if self.here < SENDS_MAX {
            return AfterBreak::Again;
        }
        self.left += 1;
        self.here = 0;
        if self.left < UPSTREAMS_MAX { AfterBreak::Elsewhere } else { AfterBreak::GiveUp }
    }
}

#[cfg(test)]
mod tests;
