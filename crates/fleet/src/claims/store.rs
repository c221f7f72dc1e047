//! Calls to the key-value service and their replies, independent of the transport.

use amaranthgw_core::{ParseError, StoreRevision};
use serde::{Deserialize, Serialize};

use super::hash::plain_number;
use super::{ClaimShard, ShardNumber};

plain_number!(
    /// Sequence number of a call of one batcher; matches a reply to its call.
    CallNumber, u64
);

/// Operation on one stored value.
#[derive(Clone, Debug, PartialEq)]
pub enum StoreOperation {
    /// Read the value.
    Read,
    /// Replace the value if it has the expected revision (0 for an absent value).
    Swap {
        /// Expected current revision.
        expect: StoreRevision,
        /// New content.
        content: ClaimShard,
    },
}

/// One call to the key-value service.
#[derive(Clone, Debug, PartialEq)]
pub struct StoreCall {
    /// Shard whose value is accessed.
    pub shard: ShardNumber,
    /// Sequence number of the call.
    pub number: CallNumber,
    /// Operation to perform.
    pub operation: StoreOperation,
}

/// Reply to a call; each call gets exactly one, which may report a timeout.
#[derive(Clone, Debug, PartialEq)]
pub enum StoreReply {
    /// The value was read.
    Value {
        /// Its revision.
        revision: StoreRevision,
        /// Its content.
        content: ClaimShard,
    },
    /// The value does not exist.
    Absent,
    /// The value was read but cannot be decoded.
    Unreadable,
    /// The swap took effect.
    Swapped {
        /// The new revision.
        revision: StoreRevision,
    },
    /// The swap had no effect: the value has another revision.
    Conflict,
    /// No reply arrived; a swap may have taken effect or may still take effect.
    Lost,
    /// The call had no effect: the service was unreachable or rejected it.
    Down,
}
