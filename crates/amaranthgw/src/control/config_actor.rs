//! Follows the configuration in the key-value service and through peers.

use std::sync::Arc;
use std::time::Duration;

use amaranthgw_core::{EntityTable, VmId};
use amaranthgw_fleet::config::{
    ConfigFollower, FollowerEffect, RelayPlan, RelayVm, ServingState, StoreCall, StoreReply,
};
use amaranthgw_fleet::membership::{NodeIdentity, VmRecord, VmState};
use compact_str::format_compact;
use ractor::{Actor, ActorProcessingErr, ActorRef};
use tokio::time::Instant;

use crate::peer::{PeerLink, PeerMessage};
use crate::platform::{StoreClient, perform_config_call};
use crate::telemetry::{EventLog, NodeEvent};

const TICK: Duration = Duration::from_millis(50);

/// Receives each newer configuration.
pub type ConfigSink = Box<dyn Fn(Arc<ServingState>) + Send + Sync>;

/// Keeps the accepted configuration in force and helps to spread it.
#[derive(Debug)]
pub struct ConfigActor;

/// What the actor works with.
pub struct ConfigArguments {
    /// Where the node runs.
    pub identity: NodeIdentity,
    /// The key-value service.
    pub store: Arc<dyn StoreClient>,
    /// The other nodes.
    pub peers: Arc<dyn PeerLink>,
    /// Where configurations go.
    pub sink: ConfigSink,
    /// Where events go.
    pub log: EventLog,
}

impl std::fmt::Debug for ConfigArguments {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("ConfigArguments")
            .field("store", &self.store)
            .finish_non_exhaustive()
    }
}

/// State of the actor.
#[derive(Debug)]
pub struct ConfigState {
    arguments: ConfigArguments,
    follower: ConfigFollower,
    vms: EntityTable<VmId, VmRecord>,
    is_available: bool,
}

/// Inputs of the actor.
#[derive(Debug)]
pub enum ConfigInput {
    /// Time has passed.
    Tick,
    /// The key-value service replied.
    Reply(StoreReply),
    /// A peer sent a message.
    Told(PeerMessage),
    /// The VM list changed.
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
        myself.send_interval(TICK, || ConfigInput::Tick);
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
                state.note_reply(&reply);
                state.follower.on_reply(reply, now)
            }
            ConfigInput::Told(tell) => state.follower.on_message(&tell.from, tell.message, now),
            ConfigInput::Vms(records) => {
                state.take_vms(records);
                Vec::new()
            }
        };
        for effect in effects {
            state.carry_out(&myself, effect);
        }
        Ok(())
    }
}

impl ConfigState {
    fn take_vms(&mut self, records: Vec<VmRecord>) {
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
            .set_relay(RelayPlan::new(&identity.vm, &identity.domain, &live));
    }

    fn carry_out(&self, myself: &ActorRef<ConfigInput>, effect: FollowerEffect) {
        let log = &self.arguments.log;
        let change = self.follower.number();
        match effect {
            FollowerEffect::Store(call) => self.call_store(myself.clone(), call),
            FollowerEffect::Send { peer, message } => self.tell(&peer, message),
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

    fn tell(&self, peer: &VmId, message: amaranthgw_fleet::config::ConfigMessage) {
        let Some(record) = self.vms.get(peer) else {
            return;
        };
        let (address, from) = (record.address, self.arguments.identity.vm.clone());
        let peers = Arc::clone(&self.arguments.peers);
        // A message that is lost is made up for by the next offer.
        tokio::spawn(async move { peers.tell(address, from, message).await });
    }

    fn note_reply(&mut self, reply: &StoreReply) {
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
