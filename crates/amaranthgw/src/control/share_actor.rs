//! This entry's part in sharing the limits of plans.

use std::sync::Arc;
use std::time::Duration;

use amaranthgw_core::{StartMark, VmId};
use amaranthgw_fleet::limits::{
    HolderId, LimitTable, ReadAnswer, ShareCall, ShareManager, ShareSettings, ShareShard,
    WriteAnswer,
};
use amaranthgw_fleet::settings::SlotSettings;
use ractor::{Actor, ActorProcessingErr, ActorRef};
use tokio::time::Instant;

use crate::platform::{StoreClient, read_shares, write_shares};

/// Time between two checks of the demand and the leases.
const TICK: Duration = Duration::from_millis(100);

/// Owns the shares of all limits and sets the meters of the traffic threads.
#[derive(Debug)]
pub struct ShareActor;

/// What the actor works with.
#[derive(Debug)]
pub struct ShareArguments {
    /// The VM of the entry.
    pub vm: VmId,
    /// The key-value service.
    pub store: Arc<dyn StoreClient>,
    /// Slot of the entry, if entries have slots.
    pub slot: Option<SlotSettings>,
}

/// State of the actor.
#[derive(Debug)]
pub struct ShareState {
    store: Arc<dyn StoreClient>,
    desk: ShareManager,
}

/// Inputs of the actor.
#[derive(Debug)]
pub enum ShareInput {
    /// Time has passed.
    Tick,
    /// The limits of a newer configuration.
    Limits(LimitTable),
    /// The key-value service answered a read, or didn't.
    Read(ShareShard, ReadAnswer),
    /// The key-value service answered a write, or didn't.
    Written(ShareShard, WriteAnswer),
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
        myself.send_interval(TICK, || ShareInput::Tick);
        let holder = HolderId::new(args.vm, StartMark::new(fastrand::u64(..)));
        Ok(ShareState {
            store: args.store,
            desk: new_desk(holder, args.slot.as_ref()),
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
            ShareInput::Tick => state.desk.tick(now),
            ShareInput::Limits(limits) => state.desk.set_limits(&limits, now),
            ShareInput::Read(shard, answer) => {
                let write = state.desk.on_read(shard, answer, now);
                write.into_iter().map(|write| (shard, write)).collect()
            }
            ShareInput::Written(shard, answer) => {
                state.desk.on_write(shard, answer, now);
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

/// The desk of an entry; without slots, entries share all of each limit by demand.
fn new_desk(holder: HolderId, slot: Option<&SlotSettings>) -> ShareManager {
    let now = Instant::now();
    match slot {
        Some(slot) => {
            ShareManager::new(holder, ShareSettings::new(slot.slots.into()), now).with_slot()
        }
        None => ShareManager::new(holder, ShareSettings::new(1).with_floor_percent(0), now),
    }
}
