//! At-most-once execution by claims on idempotency keys in the key-value service.
//!
//! A request with an idempotency key runs only after its claim is stored. Claims are sharded over
//! [`SHARD_COUNT`] stored values by the hash of their key; a [`ClaimBatcher`] per shard writes
//! many claims in one compare-and-swap. [`tick_batchers`] limits the call rate of all batchers of
//! a process by a [`CallBudget`].

mod batcher;
mod budget;
mod cache;
mod codec;
mod compose;
mod entry;
mod error;
mod hash;
mod input;
mod rows;
mod settings;
mod shard;
mod store;

pub use batcher::{BatcherTable, ClaimBatcher};
pub use budget::{CallBudget, tick_batchers};
pub use entry::{ClaimEntry, ClaimId, ClaimState, StoredAnswer};
pub use error::{ClaimError, ClaimRefusal, Result};
pub use hash::{BodyFingerprint, ClaimSerial, HolderNumber, KeyHash, SHARD_COUNT, ShardNumber};
pub use input::{ClaimGrant, ClaimOutput, ClaimSubmission, ClaimVerdict, ClockReading};
pub use settings::ClaimSettings;
pub use shard::ClaimShard;
pub use store::{CallNumber, StoreCall, StoreOperation, StoreReply};
