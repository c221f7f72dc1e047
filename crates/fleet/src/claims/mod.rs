//! At most once: claims on idempotency keys in the key-value service.
//!
//! A request with an idempotency key runs only after its claim stands in the key-value service.
//! Claims are spread over [`SHARD_COUNT`] values by the hash of their key; a [`ClaimBatcher`]
//! per value writes many claims at once by compare-and-swap. [`tick_batchers`] keeps the calls of
//! all batchers of a process within its [`CallBudget`].

mod ask;
mod batcher;
mod budget;
mod codec;
mod compose;
mod entry;
mod error;
mod hash;
mod link;
mod rows;
mod settings;
mod shard;
mod store;

pub use ask::{ClaimAsk, ClaimGrant, ClaimOutput, ClaimVerdict, ClockReading};
pub use batcher::{BatcherTable, ClaimBatcher};
pub use budget::{CallBudget, tick_batchers};
pub use entry::{ClaimEntry, ClaimStamp, ClaimState, StoredAnswer};
pub use error::{ClaimError, ClaimRefusal, Result};
pub use hash::{BodyFingerprint, ClaimSerial, HolderNumber, KeyHash, SHARD_COUNT, ShardNumber};
pub use settings::ClaimSettings;
pub use shard::ClaimShard;
pub use store::{CallNumber, StoreCall, StoreOrder, StoreReply};
