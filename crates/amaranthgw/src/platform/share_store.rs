//! Reading and writing of the shares of limits in the key-value service.

use amaranthgw_core::StoreRevision;
use amaranthgw_fleet::limits::{ReadAnswer, ShareShard, ShareValue, WriteAnswer};
use bytes::Bytes;

use super::{StoreClient, SwapAnswer};

/// Reads the value of `shard`. A value that cannot be decoded is reported as a lost answer.
pub async fn read_shares(store: &dyn StoreClient, shard: ShareShard) -> ReadAnswer {
    match store.read(&shard.store_key()).await {
        Ok(None) => ReadAnswer::Found {
            revision: StoreRevision::default(),
            value: ShareValue::default(),
        },
        Ok(Some(stored)) => {
            serde_json::from_slice(&stored.bytes).map_or(ReadAnswer::Lost, |value| {
                ReadAnswer::Found {
                    revision: stored.revision,
                    value,
                }
            })
        }
        Err(_) => ReadAnswer::Lost,
    }
}

/// Replaces the value of `shard` if its revision is still `expect`.
pub async fn write_shares(
    store: &dyn StoreClient,
    shard: ShareShard,
    expect: StoreRevision,
    value: &ShareValue,
) -> WriteAnswer {
    // Nothing is sent if encoding fails, so this is reported like a lost answer.
    let Ok(encoded) = serde_json::to_vec(value) else {
        return WriteAnswer::Lost;
    };
    let key = shard.store_key();
    match store.swap(&key, expect, Bytes::from(encoded)).await {
        Ok(SwapAnswer::Swapped(revision)) => WriteAnswer::Written { revision },
        Ok(SwapAnswer::Conflict(_)) => WriteAnswer::Conflict,
        Err(_) => WriteAnswer::Lost,
    }
}
