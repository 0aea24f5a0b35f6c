//! Rendezvous hashing: which candidate plays a role, agreed on without talking.
//!
//! A score is a function of the key and one candidate alone. Two hosts that see each other
//! therefore agree which of the two comes first, whatever else their views differ in; the proof
//! that a role has one holder rests on this (`docs/decisions/0001-membership-and-leases.md`).
//! Keys and candidates are hashed once by BLAKE3; a pair costs a few multiplications.

#[cfg(test)]
mod tests;

/// A hashed key or candidate.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Point(u64);

impl Point {
    /// Hashes a name.
    pub fn new(name: &str) -> Self {
        let hash = blake3::hash(name.as_bytes());
        let mut first = [0; size_of::<u64>()];
        first.copy_from_slice(&hash.as_bytes()[..size_of::<u64>()]);
        Self(u64::from_le_bytes(first))
    }

    /// Returns the weight of a candidate for this key. Ties between candidates are possible (one
    /// in 2^64) and must be broken by the candidate's name.
    pub fn weight(self, candidate: Self) -> u64 {
        mix(self.0 ^ mix(candidate.0))
    }
}

/// A bijective finalizer with full avalanche: each bit of the input moves half of the output.
fn mix(value: u64) -> u64 {
    let value = (value ^ (value >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let value = (value ^ (value >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    value ^ (value >> 31)
}

/// Orders candidates for a key, the winner first. Equal weights are ordered by name, so that there
/// are no ties between different candidates.
pub fn rank<'a, T: AsRef<str> + ?Sized>(
    key: &str,
    candidates: impl IntoIterator<Item = &'a T>,
) -> Vec<&'a T> {
    let key = Point::new(key);
    let mut ranked: Vec<_> = candidates
        .into_iter()
        .map(|candidate| (key.weight(Point::new(candidate.as_ref())), candidate))
        .collect();
    ranked.sort_by(|(a_weight, a), (b_weight, b)| {
        b_weight.cmp(a_weight).then_with(|| a.as_ref().cmp(b.as_ref()))
    });
    ranked.into_iter().map(|(_, candidate)| candidate).collect()
}

/// Takes up to `count` of ranked candidates, each in a failure domain of its own that isn't
/// `avoided`. Returns fewer when there are not enough domains.
pub fn in_other_domains<'a, T>(
    ranked: impl IntoIterator<Item = &'a T>,
    domain_of: impl Fn(&T) -> &str,
    avoided: &str,
    count: usize,
) -> Vec<&'a T> {
    let mut taken: Vec<&T> = Vec::with_capacity(count);
    for candidate in ranked {
        let domain = domain_of(candidate);
        let is_new = domain != avoided && taken.iter().all(|other| domain_of(other) != domain);
        if is_new && taken.len() < count {
            taken.push(candidate);
        }
    }
    taken
}
