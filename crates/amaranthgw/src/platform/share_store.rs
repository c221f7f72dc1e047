//! Reading and writing of the shares of limits in the key-value service.

use amaranthgw_core::StoreRevision;
use amaranthgw_fleet::limits::{ReadReply, ShareShard, ShareValue, WriteReply};
use bytes::Bytes;

use super::{StoreClient, SwapAnswer};

/// Reads the value of `shard`. A value that cannot be decoded is reported as a lost answer.
pub async fn read_shares(store: &dyn StoreClient, shard: ShareShard) -> ReadReply {
    match store.read(&shard.store_key()).await {
        Ok(None) => ReadReply::Found {
            revision: StoreRevision::default(),
            value: ShareValue::default(),
        },
        Ok(Some(stored)) => {
            serde_json::from_slice(&stored.bytes).map_or(ReadReply::Lost, |value| {
                ReadReply::Found {
                    revision: stored.revision,
                    value,
                }
            })
        }
        Err(_) => ReadReply::Lost,
    }
}

/// Replaces the value of `shard` if its revision is still `expect`.
pub async fn write_shares(
    store: &dyn StoreClient,
    shard: ShareShard,
    expect: StoreRevision,
    value: &ShareValue,
) -> WriteReply {
    // Nothing is sent if encoding fails, so this is reported like a lost answer.
    let Ok(encoded) = serde_json::to_vec(value) else {
        return WriteReply::Lost;
    };
    let key = shard.store_key();
    match store.swap(&key, expect, Bytes::from(encoded)).await {
        Ok(SwapAnswer::Swapped(revision)) => WriteReply::Written { revision },
        Ok(SwapAnswer::Conflict(_)) => WriteReply::Conflict,
        Err(_) => WriteReply::Lost,
    }
}
