//! Calls to the key-value service and their replies.

use amaranthgw_core::{ParseError, StoreRevision};
use serde::{Deserialize, Serialize};

use super::hash::plain_number;
use super::{ClaimShard, ShardNumber};

plain_number!(
    /// Number of a call of one batcher; a reply carries the number of its call.
    CallNumber, u64
);

/// What is asked of the service.
#[derive(Clone, Debug, PartialEq)]
pub enum StoreOrder {
    /// Read the value.
    Read,
    /// Replace the value if it still has the expected revision (0 where it was absent).
    Swap {
        /// Expected revision.
        expect: StoreRevision,
        /// New content.
        content: ClaimShard,
    },
}

/// One call to the service.
#[derive(Clone, Debug, PartialEq)]
pub struct StoreCall {
    /// The value.
    pub shard: ShardNumber,
    /// Number of the call.
    pub number: CallNumber,
    /// What is asked.
    pub order: StoreOrder,
}

/// Reply to a call; each call gets exactly one.
#[derive(Clone, Debug, PartialEq)]
pub enum StoreReply {
    /// The value as read.
    Value {
        /// Its revision.
        revision: StoreRevision,
        /// Its content.
        content: ClaimShard,
    },
    /// The value read does not exist.
    Absent,
    /// The value read cannot be decoded.
    Unreadable,
    /// The swap took effect.
    Swapped {
        /// The new revision.
        revision: StoreRevision,
    },
    /// The swap took no effect: the value has another revision.
    Conflict,
    /// No reply arrived; a swap may have taken effect or may yet take effect.
    Lost,
    /// The service could not be reached.
    Down,
}
