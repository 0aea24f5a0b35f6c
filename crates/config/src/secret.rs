//! Secrets of keys. Only their hashes are declared, stored and compared.

use {
    rand::Rng,
    trefoilring_core::{catalog::KeyHash, ids::random_suffix},
};

/// Marks a secret as one of this system, so that scanners of source code find it.
const PREFIX: &str = "trk_";

/// Returns the hash under which a secret's key is declared.
pub fn hash_secret(secret: &str) -> KeyHash {
    blake3::hash(secret.as_bytes()).to_hex().to_string()
}

/// Makes a new secret with 160 random bits.
pub fn new_secret(rng: &mut impl Rng) -> String {
    format!("{PREFIX}{}{}", random_suffix(rng), random_suffix(rng))
}
