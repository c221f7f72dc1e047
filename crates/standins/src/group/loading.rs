//! The loading of experts, one at a time on each rank.

use std::sync::Arc;
use std::time::Duration;

use amaranthgw_core::RankId;
use tokio::time::Instant;

use super::calls::GroupShared;
use super::source::source_of;
use crate::lock::lock;

/// Pause after a failed load.
const RETRY_PAUSE: Duration = Duration::from_millis(100);

/// Loads what `rank` lacks, until the future is dropped.
pub(super) async fn load_experts(shared: Arc<GroupShared>, rank: RankId) {
    let source = source_of(&lock(&shared.world).settings);
    loop {
        let ordered = shared.ordered(rank);
        let task = lock(&shared.world).next_load(rank, Instant::now());
        let Some(task) = task else {
            ordered.await;
            continue;
        };
        if source.load(task.key).await.is_ok() {
            lock(&shared.world).end_load(task);
        } else {
            tokio::time::sleep(RETRY_PAUSE).await;
        }
    }
}
