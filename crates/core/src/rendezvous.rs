//! Rendezvous hashing: hosts agree on the ranking of candidates for a role without communication.
//!
//! A weight depends only on the key and one candidate. Two hosts that have each other in their
//! views therefore agree which of the two ranks higher, even if their views differ otherwise. The
//! proof that a role has a single holder relies on this
//! (`docs/decisions/0001-membership-and-leases.md`). Each key and candidate is hashed once with
//! BLAKE3. Weighing a key and a candidate then takes a few multiplications.

#[cfg(test)]
mod tests;

/// The 64-bit hash of a key or candidate.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct NameHash(u64);

impl NameHash {
    /// Hashes a key or candidate.
    pub fn new(name: &str) -> Self {
        let hash = blake3::hash(name.as_bytes());
        let mut prefix = [0; size_of::<u64>()];
        prefix.copy_from_slice(&hash.as_bytes()[..size_of::<u64>()]);
        Self(u64::from_le_bytes(prefix))
    }

    /// Hashes a sequence of numbers.
    pub fn of_numbers(numbers: impl IntoIterator<Item = u64>) -> Self {
        Self(numbers.into_iter().fold(0, |hash, number| mix(hash.rotate_left(1) ^ mix(number))))
    }

    /// Returns the weight of `candidate`, where `self` is the key. The arguments can't be swapped.
    /// Two candidates have equal weights with a probability of 2^-64; callers must break such ties
    /// by the candidates' names.
    pub fn weight(self, candidate: Self) -> u64 {
        mix(self.0 ^ mix(candidate.0))
    }
}

/// A bijective finalizer with full avalanche: flipping an input bit flips half of the output bits
/// on average.
fn mix(value: u64) -> u64 {
    let value = (value ^ (value >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let value = (value ^ (value >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    value ^ (value >> 31)
}

/// Returns the candidates for a key, highest weight first. Candidates of equal weight are ordered
/// by name, so the order is total.
pub fn rank<'a, T: AsRef<str> + ?Sized>(
    key: &str,
    candidates: impl IntoIterator<Item = &'a T>,
) -> Vec<&'a T> {
    let key = NameHash::new(key);
    let mut ranked: Vec<_> = candidates
        .into_iter()
        .map(|candidate| (key.weight(NameHash::new(candidate.as_ref())), candidate))
        .collect();
    ranked.sort_by(|(a_weight, a), (b_weight, b)| {
        b_weight.cmp(a_weight).then_with(|| a.as_ref().cmp(b.as_ref()))
    });
    ranked.into_iter().map(|(_, candidate)| candidate).collect()
}

/// Selects up to `count` of the ranked candidates, each in a different failure domain and none in
/// `excluded_domain`. Returns fewer if there are not enough domains.
pub fn select_distinct_domains<'a, T>(
    ranked: impl IntoIterator<Item = &'a T>,
    domain_of: impl Fn(&T) -> &str,
    excluded_domain: &str,
    count: usize,
) -> Vec<&'a T> {
    let mut selected: Vec<&T> = Vec::with_capacity(count);
    for candidate in ranked {
        let domain = domain_of(candidate);
        let is_unused_domain =
            domain != excluded_domain && selected.iter().all(|other| domain_of(other) != domain);
        if is_unused_domain && selected.len() < count {
            selected.push(candidate);
        }
    }
    selected
}
