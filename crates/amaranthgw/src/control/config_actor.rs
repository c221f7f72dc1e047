//! Follows the configuration in the key-value service and relays it between peers.

use std::sync::Arc;
use std::time::Duration;

use amaranthgw_core::{EntityTable, VmId};
use amaranthgw_fleet::config::{
    ConfigFollower, FollowerEffect, RelayTopology, RelayVm, ServingState, StoreCall, StoreReply,
};
use amaranthgw_fleet::membership::{NodeIdentity, VmRecord, VmState};
use compact_str::format_compact;
use ractor::{Actor, ActorProcessingErr, ActorRef};
use tokio::time::Instant;

use crate::peer::{PeerLink, PeerMessage};
use crate::platform::{StoreClient, perform_config_call};
use crate::telemetry::{EventLog, NodeEvent};

/// Interval between ticks of the follower.
const TICK_INTERVAL: Duration = Duration::from_millis(50);

/// Callback that receives each newer configuration.
pub type ConfigSink = Box<dyn Fn(Arc<ServingState>) + Send + Sync>;

/// Actor that keeps the accepted configuration in force and relays it to peers.
#[derive(Debug)]
pub struct ConfigActor;

/// Dependencies of [`ConfigActor`].
pub struct ConfigArguments {
    /// VM, failure domain and region of the node.
    pub identity: NodeIdentity,
    /// Client of the key-value service.
    pub store: Arc<dyn StoreClient>,
    /// Client of the other nodes.
    pub peers: Arc<dyn PeerLink>,
    /// Receiver of newer configurations.
    pub sink: ConfigSink,
    /// Event log of the control thread.
    pub log: EventLog,
}

impl std::fmt::Debug for ConfigArguments {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("ConfigArguments")
            .field("store", &self.store)
            .finish_non_exhaustive()
    }
}

/// State of [`ConfigActor`].
#[derive(Debug)]
pub struct ConfigState {
    arguments: ConfigArguments,
    follower: ConfigFollower,
    vms: EntityTable<VmId, VmRecord>,
    is_available: bool,
}

/// Messages of [`ConfigActor`].
#[derive(Debug)]
pub enum ConfigInput {
    /// Periodic tick.
    Tick,
    /// The key-value service replied, or a call to it failed.
    Reply(StoreReply),
    /// A peer sent a message.
    Peer(PeerMessage),
    /// The VM list was read.
    Vms(Vec<VmRecord>),
}

impl Actor for ConfigActor {
    type Msg = ConfigInput;
    type State = ConfigState;
    type Arguments = ConfigArguments;

    async fn pre_start(
        &self,
        myself: ActorRef<Self::Msg>,
        args: Self::Arguments,
    ) -> Result<Self::State, ActorProcessingErr> {
        myself.send_interval(TICK_INTERVAL, || ConfigInput::Tick);
        Ok(ConfigState {
            arguments: args,
            follower: ConfigFollower::new(fastrand::u64(..), Instant::now()),
            vms: EntityTable::new(),
            is_available: true,
        })
    }

    async fn handle(
        &self,
        myself: ActorRef<Self::Msg>,
        message: Self::Msg,
        state: &mut Self::State,
    ) -> Result<(), ActorProcessingErr> {
        let now = Instant::now();
        let effects = match message {
            ConfigInput::Tick => state.follower.tick(now),
            ConfigInput::Reply(reply) => {
                state.record_availability(&reply);
                state.follower.on_reply(reply, now)
            }
            ConfigInput::Peer(sent) => state.follower.on_message(&sent.from, sent.message, now),
            ConfigInput::Vms(records) => {
                state.update_vms(records);
                Vec::new()
            }
        };
        for effect in effects {
            state.handle_effect(&myself, effect);
        }
        Ok(())
    }
}

impl ConfigState {
    fn update_vms(&mut self, records: Vec<VmRecord>) {
        let vms = records
            .into_iter()
            .map(|record| (record.vm.clone(), record))
            .collect();
        if self.vms == vms {
            return;
        }
        self.vms = vms;
        let is_live = |record: &&VmRecord| record.state == VmState::Live;
        let relay_vm = |record: &VmRecord| RelayVm {
            vm: record.vm.clone(),
            domain: record.domain.clone(),
        };
        let live: Vec<_> = self.vms.rows().filter(is_live).map(relay_vm).collect();
        let identity = &self.arguments.identity;
        self.follower
            .set_relay(RelayTopology::new(&identity.vm, &identity.domain, &live));
    }

    fn handle_effect(&self, myself: &ActorRef<ConfigInput>, effect: FollowerEffect) {
        let log = &self.arguments.log;
        let change = self.follower.number();
        match effect {
            FollowerEffect::Store(call) => self.call_store(myself.clone(), call),
            FollowerEffect::Send { peer, message } => self.send_to_peer(&peer, message),
            FollowerEffect::Applied(_) => {
                (self.arguments.sink)(Arc::new(self.follower.state().clone()));
            }
            FollowerEffect::Refused(error) => {
                let reason = format_compact!("{error}");
                log.record(NodeEvent::ConfigUnusable { change, reason });
            }
            FollowerEffect::Diverged(number) => {
                let reason = format_compact!("change {number} differs from the one in force");
                log.record(NodeEvent::ConfigUnusable { change, reason });
            }
        }
    }

    fn call_store(&self, myself: ActorRef<ConfigInput>, call: StoreCall) {
        let store = Arc::clone(&self.arguments.store);
        tokio::spawn(async move {
            let reply = perform_config_call(store.as_ref(), &call).await;
            drop(myself.cast(ConfigInput::Reply(reply)));
        });
    }

    fn send_to_peer(&self, peer: &VmId, message: amaranthgw_fleet::config::ConfigMessage) {
        let Some(record) = self.vms.get(peer) else {
            return;
        };
        let (address, from) = (record.address, self.arguments.identity.vm.clone());
        let peers = Arc::clone(&self.arguments.peers);
        // Nodes regularly offer their configuration to each other, which makes up for a lost message.
        tokio::spawn(async move { peers.tell(address, from, message).await });
    }

    fn record_availability(&mut self, reply: &StoreReply) {
        let is_available = !matches!(reply, StoreReply::Failed | StoreReply::Lost);
        if self.is_available == is_available {
            return;
        }
        self.is_available = is_available;
        let reason = "no usable answer".into();
        self.arguments.log.record(if is_available {
            NodeEvent::StoreRecovered {}
        } else {
            NodeEvent::StoreUnavailable { reason }
        });
    }
}
