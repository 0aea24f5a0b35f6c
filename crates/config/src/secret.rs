//! Secrets of API keys. Declarations and the store hold only their hashes.

use {
    rand::Rng,
    trefoilring_core::{catalog::KeyHash, ids::random_suffix},
};

/// Prefix of every secret, by which secret scanners recognize one in source code.
const PREFIX: &str = "trk_";

/// Returns the BLAKE3 hash of a secret as lower-case hexadecimal digits, the form in which
/// declarations hold the hash of a key.
pub fn hash_secret(secret: &str) -> KeyHash {
    blake3::hash(secret.as_bytes()).to_hex().to_string()
}

/// Generates a secret with 160 random bits.
pub fn new_secret(rng: &mut impl Rng) -> String {
    format!("{PREFIX}{}{}", random_suffix(rng), random_suffix(rng))
}
