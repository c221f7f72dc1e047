//! Shares of this entry in the limits of plans, agreed on through the key-value service.

use std::sync::Arc;
use std::time::Duration;

use amaranthgw_core::{StartMark, VmId};
use amaranthgw_fleet::limits::{
    HolderId, LimitTable, ReadReply, ShareCall, ShareManager, ShareSettings, ShareShard, WriteReply,
};
use amaranthgw_fleet::settings::SlotSettings;
use ractor::{Actor, ActorProcessingErr, ActorRef};
use tokio::time::Instant;

use crate::platform::{StoreClient, read_shares, write_shares};

/// Interval between checks of demand and leases.
const TICK_INTERVAL: Duration = Duration::from_millis(100);

/// Actor that owns the entry's shares of all limits and sets the meters of the traffic threads.
#[derive(Debug)]
pub struct ShareActor;

/// Dependencies of [`ShareActor`].
#[derive(Debug)]
pub struct ShareArguments {
    /// VM of the entry.
    pub vm: VmId,
    /// Client of the key-value service.
    pub store: Arc<dyn StoreClient>,
    /// Slot of the entry, which gives it a fixed part of each limit; `None` if entries have none.
    pub slot: Option<SlotSettings>,
}

/// State of [`ShareActor`].
#[derive(Debug)]
pub struct ShareState {
    store: Arc<dyn StoreClient>,
    manager: ShareManager,
}

/// Messages of [`ShareActor`].
#[derive(Debug)]
pub enum ShareInput {
    /// Periodic tick.
    Tick,
    /// The limits of a newer configuration.
    Limits(LimitTable),
    /// Result of reading a shard from the key-value service.
    Read(ShareShard, ReadReply),
    /// Result of writing a shard to the key-value service.
    Written(ShareShard, WriteReply),
}

impl Actor for ShareActor {
    type Msg = ShareInput;
    type State = ShareState;
    type Arguments = ShareArguments;

    async fn pre_start(
        &self,
        myself: ActorRef<Self::Msg>,
        args: Self::Arguments,
    ) -> Result<Self::State, ActorProcessingErr> {
        myself.send_interval(TICK_INTERVAL, || ShareInput::Tick);
        let holder = HolderId::new(args.vm, StartMark::new(fastrand::u64(..)));
        Ok(ShareState {
            store: args.store,
            manager: new_manager(holder, args.slot.as_ref()),
        })
    }

    async fn handle(
        &self,
        myself: ActorRef<Self::Msg>,
        message: Self::Msg,
        state: &mut Self::State,
    ) -> Result<(), ActorProcessingErr> {
        let now = Instant::now();
        let calls = match message {
            ShareInput::Tick => state.manager.tick(now),
            ShareInput::Limits(limits) => state.manager.set_limits(&limits, now),
            ShareInput::Read(shard, answer) => {
                let write = state.manager.on_read(shard, answer, now);
                write.into_iter().map(|write| (shard, write)).collect()
            }
            ShareInput::Written(shard, answer) => {
                state.manager.on_write(shard, answer, now);
                Vec::new()
            }
        };
        for (shard, call) in calls {
            state.call_store(myself.clone(), shard, call);
        }
        Ok(())
    }
}

impl ShareState {
    fn call_store(&self, myself: ActorRef<ShareInput>, shard: ShareShard, call: ShareCall) {
        let store = Arc::clone(&self.store);
        tokio::spawn(async move {
            let input = match call {
                ShareCall::Read => {
                    ShareInput::Read(shard, read_shares(store.as_ref(), shard).await)
                }
                ShareCall::Write { expect, value } => {
                    let answer = write_shares(store.as_ref(), shard, expect, &value).await;
                    ShareInput::Written(shard, answer)
                }
            };
            drop(myself.cast(input));
        });
    }
}

/// Creates the share manager of an entry; without slots, each limit is shared by demand alone.
fn new_manager(holder: HolderId, slot: Option<&SlotSettings>) -> ShareManager {
    let now = Instant::now();
    match slot {
        Some(slot) => {
            ShareManager::new(holder, ShareSettings::new(slot.slots.into()), now).with_slot()
        }
        None => ShareManager::new(holder, ShareSettings::new(1).with_floor_percent(0), now),
    }
}
