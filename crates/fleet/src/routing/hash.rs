//! Hash functions that give the same result at every entry.

/// Finalizer of `SplitMix64`: every bit of the result depends on every bit of `value`.
pub(super) const fn mix(value: u64) -> u64 {
    let value = (value ^ (value >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let value = (value ^ (value >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    value ^ (value >> 31)
}

/// FNV-1a hash of `text`, finalized with [`mix`].
pub(super) fn hash_text(text: &str) -> u64 {
    const OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
    const PRIME: u64 = 0x0000_0100_0000_01b3;
    let fold = |hash: u64, byte: u8| (hash ^ u64::from(byte)).wrapping_mul(PRIME);
    mix(text.bytes().fold(OFFSET, fold))
}
