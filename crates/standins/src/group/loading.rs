//! Expert loader of a rank; loads one expert at a time.

use std::sync::Arc;
use std::time::Duration;

use amaranthgw_core::RankId;
use tokio::time::Instant;

use super::calls::GroupShared;
use super::source::create_source;
use crate::lock::lock;

/// Delay before a failed load is retried.
const RETRY_DELAY: Duration = Duration::from_millis(100);

/// Loads the missing experts of `rank` until the future is dropped.
pub(super) async fn load_experts(shared: Arc<GroupShared>, rank: RankId) {
    let source = create_source(&lock(&shared.world).settings);
    loop {
        let next_order = shared.next_order(rank);
        let task = lock(&shared.world).next_load(rank, Instant::now());
        let Some(task) = task else {
            next_order.await;
            continue;
        };
        if source.load(task.key).await.is_ok() {
            lock(&shared.world).finish_load(task);
        } else {
            tokio::time::sleep(RETRY_DELAY).await;
        }
    }
}
