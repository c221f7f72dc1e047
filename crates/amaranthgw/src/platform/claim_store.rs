//! Performs the calls of the key-value service that claims need.

use amaranthgw_core::StoreRevision;
use amaranthgw_fleet::claims::{ClaimShard, ShardNumber, StoreCall, StoreOperation, StoreReply};
use bytes::Bytes;

use super::{PlatformError, Result, StoreClient, StoreValue, SwapAnswer};

/// Performs `call` and gives what came of it.
pub async fn perform_claim_call(store: &dyn StoreClient, call: &StoreCall) -> StoreReply {
    let key = claim_key(call.shard);
    match &call.operation {
        StoreOperation::Read => value_reply(store.read(&key).await),
        StoreOperation::Swap { expect, content } => swap(store, &key, *expect, content).await,
    }
}

fn claim_key(shard: ShardNumber) -> String {
    format!("claims/{shard}")
}

async fn swap(
    store: &dyn StoreClient,
    key: &str,
    expect: StoreRevision,
    content: &ClaimShard,
) -> StoreReply {
    // A value that can't be encoded is never sent, which is as if the service were down.
    let Ok(value) = serde_json::to_vec(content) else {
        return StoreReply::Down;
    };
    match store.swap(key, expect, Bytes::from(value)).await {
        Ok(SwapAnswer::Swapped(revision)) => StoreReply::Swapped { revision },
        Ok(SwapAnswer::Conflict(_)) => StoreReply::Conflict,
        Err(error) => failed(&error),
    }
}

fn value_reply(answer: Result<Option<StoreValue>>) -> StoreReply {
    match answer {
        Ok(None) => StoreReply::Absent,
        Ok(Some(value)) => match serde_json::from_slice(&value.bytes) {
            Ok(content) => StoreReply::Value {
                revision: value.revision,
                content,
            },
            Err(_) => StoreReply::Unreadable,
        },
        Err(error) => failed(&error),
    }
}

const fn failed(error: &PlatformError) -> StoreReply {
    match error {
        PlatformError::NotReached | PlatformError::Rejected { .. } => StoreReply::Down,
        PlatformError::AnswerLost | PlatformError::Malformed => StoreReply::Lost,
    }
}
