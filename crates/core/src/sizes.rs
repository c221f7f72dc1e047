//! Size types: bytes, tokens and slots.

use crate::macros::number_type;

number_type!(
    /// Number of bytes.
    ByteCount, u64
);
number_type!(
    /// Number of model tokens.
    TokenCount, u64
);
number_type!(
    /// Number of requests that are in flight or may be in flight at once.
    SlotCount, u32
);
number_type!(
    /// Amount of work, in thousandths of what an ordinary request takes.
    DemandWork, u32
);
number_type!(
    /// Work per second, in thousandths of what an ordinary request takes.
    DemandRate, u32
);
