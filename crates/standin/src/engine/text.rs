//! Generated text: the same prompt gives the same words, and another prompt gives others, so that a
//! history that was lost or mixed shows in the answer.

use trefoilring_core::message::{BYTES_PER_TOKEN, Message};

/// Tokens generated where the request sets no bound.
pub const DEFAULT_TOKENS: u64 = 32;
/// The most tokens generated for one request.
pub const MAX_TOKENS: u64 = 16_384;

const CONSONANTS: &[u8; 16] = b"bcdfghjklmnprstv";
const VOWELS: &[u8; 4] = b"aeio";
/// Letters and a space. Invariant: as long as a token is counted from text.
const WORD_BYTES: usize = BYTES_PER_TOKEN as usize;

/// Names a prefix of messages: hash of the prefix before and of the last message.
pub type PrefixHash = [u8; 32];

/// The hash of no message.
pub const EMPTY_PREFIX: PrefixHash = [0; 32];

/// Returns the hash of a prefix with one more message.
pub fn extend(prefix: &PrefixHash, message: &Message) -> PrefixHash {
    let mut hasher = blake3::Hasher::new();
    hasher.update(prefix);
    // A message is a map of JSON values, which always has a text form.
    hasher.update(&serde_json::to_vec(message).unwrap_or_default());
    hasher.finalize().into()
}

/// Returns the hash of whole messages.
pub fn prompt_hash(messages: &[Message]) -> PrefixHash {
    messages.iter().fold(EMPTY_PREFIX, |prefix, message| extend(&prefix, message))
}

/// Returns the `index`-th generated word with its space.
pub fn word(prompt: &PrefixHash, index: u64) -> String {
    let mut hasher = blake3::Hasher::new();
    hasher.update(prompt).update(&index.to_le_bytes());
    let bytes = hasher.finalize();
    let bytes = bytes.as_bytes();
    let letter = |letters: &[u8], byte: u8| char::from(letters[usize::from(byte) % letters.len()]);
    let mut word = String::with_capacity(WORD_BYTES);
    word.push(letter(CONSONANTS, bytes[0]));
    word.push(letter(VOWELS, bytes[1]));
    word.push(letter(CONSONANTS, bytes[2]));
    word.push(' ');
    word
}

/// Returns the whole answer to a prompt, for checks of histories.
pub fn answer(messages: &[Message], tokens: u64) -> String {
    let prompt = prompt_hash(messages);
    (0..tokens).map(|index| word(&prompt, index)).collect()
}
