//! Deterministic generated text. The same prompt always gives the same words, and different prompts
//! give different words, so that a lost or mixed-up history is visible in the answer.

use trefoilring_core::message::{BYTES_PER_TOKEN, Message};

/// Tokens generated if the request sets no limit.
pub const DEFAULT_TOKENS: u64 = 32;
/// Maximum tokens generated for one request.
pub const MAX_TOKENS: u64 = 16_384;

const CONSONANTS: &[u8; 16] = b"bcdfghjklmnprstv";
const VOWELS: &[u8; 4] = b"aeio";
/// Length of a word: three letters and a space. Equals [`BYTES_PER_TOKEN`], so that the token
/// estimate counts one word as one token.
const WORD_BYTES: usize = BYTES_PER_TOKEN as usize;

/// Identifies a prefix of messages: hash over the preceding prefix's hash and the last message.
pub type PrefixHash = [u8; 32];

/// The hash of the empty prefix.
pub const EMPTY_PREFIX: PrefixHash = [0; 32];

/// Returns the hash of a prefix extended by one message.
pub fn extend_prefix_hash(prefix: &PrefixHash, message: &Message) -> PrefixHash {
    let mut hasher = blake3::Hasher::new();
    hasher.update(prefix);
    // A message is a map of JSON values, so serialization can't fail.
    hasher.update(&serde_json::to_vec(message).unwrap_or_default());
    hasher.finalize().into()
}

/// Returns the hash of a list of messages.
pub fn prompt_hash(messages: &[Message]) -> PrefixHash {
    messages.iter().fold(EMPTY_PREFIX, |prefix, message| extend_prefix_hash(&prefix, message))
}

/// Returns the generated word at `index`, with a space after it.
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

/// Returns the complete answer to a prompt, so that tests can check histories.
pub fn answer(messages: &[Message], tokens: u64) -> String {
    let prompt = prompt_hash(messages);
    (0..tokens).map(|index| word(&prompt, index)).collect()
}
