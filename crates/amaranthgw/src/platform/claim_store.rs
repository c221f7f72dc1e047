//! Reading and writing of claim shards in the key-value service.

use amaranthgw_core::StoreRevision;
use amaranthgw_fleet::claims::{ClaimShard, ShardNumber, StoreCall, StoreOperation, StoreReply};
use bytes::Bytes;

use super::{Result, ServiceError, StoreClient, StoreValue, SwapAnswer};

/// Performs `call` on the key-value service.
pub async fn perform_claim_call(store: &dyn StoreClient, call: &StoreCall) -> StoreReply {
    let key = claim_key(call.shard);
    match &call.operation {
        StoreOperation::Read => read_reply(store.read(&key).await),
        StoreOperation::Swap { expect, content } => swap_shard(store, &key, *expect, content).await,
    }
}

fn claim_key(shard: ShardNumber) -> String {
    format!("claims/{shard}")
}

async fn swap_shard(
    store: &dyn StoreClient,
    key: &str,
    expect: StoreRevision,
    content: &ClaimShard,
) -> StoreReply {
    // Nothing is sent if encoding fails, so this is reported like an unreachable service.
    let Ok(value) = serde_json::to_vec(content) else {
        return StoreReply::Down;
    };
    match store.swap(key, expect, Bytes::from(value)).await {
        Ok(SwapAnswer::Swapped(revision)) => StoreReply::Swapped { revision },
        Ok(SwapAnswer::Conflict(_)) => StoreReply::Conflict,
        Err(error) => error_reply(&error),
    }
}

fn read_reply(answer: Result<Option<StoreValue>>) -> StoreReply {
    match answer {
        Ok(None) => StoreReply::Absent,
        Ok(Some(value)) => match serde_json::from_slice(&value.bytes) {
            Ok(content) => StoreReply::Value {
                revision: value.revision,
                content,
            },
            Err(_) => StoreReply::Unreadable,
        },
        Err(error) => error_reply(&error),
    }
}

const fn error_reply(error: &ServiceError) -> StoreReply {
    match error {
        ServiceError::NotReached | ServiceError::Rejected { .. } => StoreReply::Down,
        ServiceError::AnswerLost | ServiceError::Malformed => StoreReply::Lost,
    }
}
