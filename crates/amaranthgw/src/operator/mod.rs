//! Reading and committing the configuration on behalf of an operator.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use amaranthgw_fleet::config::{
    CommitOutcome, CommitRequest, CommitStep, ConfigCommit, ConfigRead, ConfigView, ReadError,
    ReadStep, StoreCall, StoreReply,
};
use tokio::time::{Instant, sleep};

use crate::platform::{StoreClient, perform_config_call};

/// Result of reading the configuration.
pub type Result<T> = std::result::Result<T, ReadError>;

/// Reads the configuration, retrying until `deadline`.
///
/// # Errors
///
/// Returns a [`ReadError`] if the key-value service returns no usable configuration in time.
pub async fn read_config(store: &dyn StoreClient, deadline: Instant) -> Result<ConfigView> {
    let mut read = ConfigRead::new(deadline);
    let mut step = read.start();
    loop {
        match step {
            ReadStep::Call { call, after } => {
                let reply = perform(store, &call, after.duration()).await;
                step = read.on_reply(reply, Instant::now());
            }
            ReadStep::Done(view) => return Ok(*view),
            ReadStep::Failed(error) => return Err(error),
        }
    }
}

/// Commits `request`, based on the configuration `seen`, retrying until `deadline`.
pub async fn commit(
    store: &dyn StoreClient,
    request: CommitRequest,
    seen: ConfigView,
    deadline: Instant,
) -> CommitOutcome {
    let mut commit = ConfigCommit::new(request, seen, deadline);
    let mut step = commit.start();
    loop {
        match step {
            CommitStep::Call { call, after } => {
                let reply = perform(store, &call, after.duration()).await;
                step = commit.on_reply(reply, Instant::now());
            }
            CommitStep::Done(outcome) => return outcome,
        }
    }
}

/// Returns the system time in milliseconds since the Unix epoch.
#[must_use]
pub fn unix_ms() -> u64 {
    let since_epoch = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    u64::try_from(since_epoch.as_millis()).unwrap_or(u64::MAX)
}

async fn perform(store: &dyn StoreClient, call: &StoreCall, after: Duration) -> StoreReply {
    sleep(after).await;
    perform_config_call(store, call).await
}
