//! Sizes: bytes, tokens and slots.

use crate::macros::number_type;

number_type!(
    /// A number of bytes.
    ByteCount, u64
);
number_type!(
    /// A number of model tokens.
    TokenCount, u64
);
number_type!(
    /// A number of requests that may be in flight at once.
    SlotCount, u32
);
