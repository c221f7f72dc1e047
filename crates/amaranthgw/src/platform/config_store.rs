//! Reading and writing of the configuration in the key-value service.

use amaranthgw_core::StoreRevision;
use amaranthgw_fleet::config::{ConfigLog, StoreCall, StoreReply, decode_value, encode_value};
use bytes::Bytes;

use super::{Result, ServiceError, StoreClient, StoreValue, SwapAnswer};

/// Performs `call` on the key-value service.
pub async fn perform_config_call(store: &dyn StoreClient, call: &StoreCall) -> StoreReply {
    let key = call.key().to_string();
    match call {
        StoreCall::ReadLog => log_reply(store.read(&key).await),
        StoreCall::WatchLog { after, wait } => {
            watch_reply(store.watch(&key, *after, wait.duration()).await)
        }
        StoreCall::ReadBase { .. } => base_reply(store.read(&key).await),
        StoreCall::WriteBase { base } => {
            write_value(
                store,
                &key,
                StoreRevision::default(),
                encode_value(base.as_ref()),
            )
            .await
        }
        StoreCall::WriteLog { log, expect } => {
            write_value(store, &key, *expect, encode_value(log)).await
        }
        StoreCall::RemoveBase { expect, .. } => swap_reply(&store.remove(&key, *expect).await),
    }
}

async fn write_value(
    store: &dyn StoreClient,
    key: &str,
    expected: StoreRevision,
    encoded: amaranthgw_fleet::config::Result<Vec<u8>>,
) -> StoreReply {
    let Ok(value) = encoded else {
        return StoreReply::Failed;
    };
    swap_reply(&store.swap(key, expected, Bytes::from(value)).await)
}

fn log_reply(answer: Result<Option<StoreValue>>) -> StoreReply {
    match answer {
        Ok(None) => {
            let revision = StoreRevision::default();
            StoreReply::Log {
                log: ConfigLog::default(),
                revision,
            }
        }
        Ok(Some(value)) => {
            decode_value(&value.bytes).map_or(StoreReply::Failed, |log| StoreReply::Log {
                log,
                revision: value.revision,
            })
        }
        Err(_) => StoreReply::Failed,
    }
}

fn watch_reply(answer: Result<Option<StoreValue>>) -> StoreReply {
    match answer {
        Ok(None) => StoreReply::Unchanged,
        answer => log_reply(answer),
    }
}

fn base_reply(answer: Result<Option<StoreValue>>) -> StoreReply {
    match answer {
        Ok(None) => StoreReply::Absent,
        Ok(Some(value)) => decode_value(&value.bytes).map_or(StoreReply::Failed, StoreReply::Base),
        Err(_) => StoreReply::Failed,
    }
}

fn swap_reply(answer: &Result<SwapAnswer>) -> StoreReply {
    match answer {
        Ok(SwapAnswer::Swapped(revision)) => StoreReply::Written(*revision),
        Ok(SwapAnswer::Conflict(revision)) => StoreReply::Conflict(*revision),
        Err(ServiceError::NotReached | ServiceError::Rejected { .. }) => StoreReply::Failed,
        Err(ServiceError::AnswerLost | ServiceError::Malformed) => StoreReply::Lost,
    }
}
