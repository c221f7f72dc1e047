//! Deterministic answer text and prompt hashes.

const FNV_OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
const FNV_PRIME: u64 = 0x0000_0100_0000_01b3;

/// Length of the prompt prefix that is cached, in bytes.
const PREFIX_BYTES: usize = 64;

const SYLLABLES: [&str; 16] = [
    "ba", "de", "fi", "go", "hu", "ka", "le", "mi", "no", "pu", "ra", "se", "ti", "vo", "yu", "za",
];

/// Text of chunk `sequence` of the answer to `prompt`: a short word and a space.
///
/// The same prompt and sequence number always give the same text.
#[must_use]
pub fn chunk_text(prompt: &str, sequence: u64) -> String {
    chunk_for_hash(text_hash(prompt.as_bytes()), sequence)
}

/// Hash (64-bit FNV-1a) of the first 64 bytes of `prompt`, as in the `prefixes` of load reports.
#[must_use]
pub fn prefix_hash(prompt: &str) -> u64 {
    let bytes = prompt.as_bytes();
    text_hash(&bytes[..bytes.len().min(PREFIX_BYTES)])
}

/// Text of chunk `sequence` of the answer to a prompt with the hash `prompt_hash`.
pub(super) fn chunk_for_hash(prompt_hash: u64, sequence: u64) -> String {
    let mut bits = hash_bytes(prompt_hash, &sequence.to_le_bytes());
    let syllable_count = 2 + bits % 2;
    let mut word = String::new();
    for _ in 0..syllable_count {
        bits >>= 8;
        word.push_str(SYLLABLES[usize::from(bits.to_le_bytes()[0] % 16)]);
    }
    word.push(' ');
    word
}

/// 64-bit FNV-1a hash of `bytes`.
pub(super) fn text_hash(bytes: &[u8]) -> u64 {
    hash_bytes(FNV_OFFSET, bytes)
}

fn hash_bytes(hash: u64, bytes: &[u8]) -> u64 {
    bytes.iter().fold(hash, |hash, byte| {
        (hash ^ u64::from(*byte)).wrapping_mul(FNV_PRIME)
    })
}
