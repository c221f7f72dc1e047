//! Starts the actors that every node runs towards the platform.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use amaranthgw_fleet::membership::NodeIdentity;
use amaranthgw_fleet::settings::SlotSettings;
use ractor::{Actor, ActorRef};
use tokio::sync::mpsc::UnboundedReceiver;

use super::{
    ClaimActor, ClaimInput, ClaimRequest, ConfigActor, ConfigArguments, ConfigInput, ConfigSink,
    ShareActor, ShareArguments, ShareInput, VmListActor, VmListArguments, VmListSink,
    forward_reports,
};
use crate::peer::{GrpcPeerLink, PeerMessage};
use crate::platform::{HttpStore, HttpVmList};
use crate::runtime::{Result, RuntimeError};
use crate::telemetry::EventLog;

const VM_LIST_PERIOD: Duration = Duration::from_millis(500);

/// The platform as one node reaches it.
#[derive(Clone, Debug)]
pub struct PlatformBorder {
    /// Where the node runs.
    pub identity: NodeIdentity,
    /// Address of the key-value service.
    pub store: SocketAddr,
    /// Address of the VM list.
    pub vm_list: SocketAddr,
    /// Where events go.
    pub log: EventLog,
}

impl PlatformBorder {
    /// Starts to follow the configuration; messages of peers come in through `told`.
    ///
    /// # Errors
    ///
    /// Returns [`RuntimeError::Actor`] where the actor can't be started.
    pub async fn start_config(
        &self,
        sink: ConfigSink,
        told: UnboundedReceiver<PeerMessage>,
    ) -> Result<ActorRef<ConfigInput>> {
        let arguments = ConfigArguments {
            identity: self.identity.clone(),
            store: Arc::new(HttpStore::new(self.store)),
            peers: Arc::new(GrpcPeerLink::new()),
            sink,
            log: self.log.clone(),
        };
        let spawned = Actor::spawn(None, ConfigActor, arguments).await;
        let (config, _ended) = spawned.map_err(|_failed| RuntimeError::Actor)?;
        let to_config = config.clone();
        let forward = move |tells: Vec<PeerMessage>| {
            for tell in tells {
                drop(to_config.cast(ConfigInput::Told(tell)));
            }
        };
        tokio::spawn(forward_reports(told, forward));
        Ok(config)
    }

    /// Starts to make the claims that traffic threads ask for through `requests`.
    ///
    /// # Errors
    ///
    /// Returns [`RuntimeError::Actor`] where the actor can't be started.
    pub async fn start_claims(&self, requests: UnboundedReceiver<ClaimRequest>) -> Result<()> {
        let store = Arc::new(HttpStore::new(self.store));
        let spawned = Actor::spawn(None, ClaimActor, store).await;
        let (claims, _ended) = spawned.map_err(|_failed| RuntimeError::Actor)?;
        let forward = move |batch: Vec<ClaimRequest>| {
            for request in batch {
                drop(claims.cast(ClaimInput::Request(request)));
            }
        };
        tokio::spawn(forward_reports(requests, forward));
        Ok(())
    }

    /// Starts to share the limits of plans with the other entries.
    ///
    /// # Errors
    ///
    /// Returns [`RuntimeError::Actor`] where the actor can't be started.
    pub async fn start_shares(&self, slot: Option<SlotSettings>) -> Result<ActorRef<ShareInput>> {
        let arguments = ShareArguments {
            vm: self.identity.vm.clone(),
            store: Arc::new(HttpStore::new(self.store)),
            slot,
        };
        let spawned = Actor::spawn(None, ShareActor, arguments).await;
        let (shares, _ended) = spawned.map_err(|_failed| RuntimeError::Actor)?;
        Ok(shares)
    }

    /// Starts to read the VM list.
    ///
    /// # Errors
    ///
    /// Returns [`RuntimeError::Actor`] where the actor can't be started.
    pub async fn start_vm_list(&self, sink: VmListSink) -> Result<()> {
        let arguments = VmListArguments {
            client: Box::new(HttpVmList::new(self.vm_list)),
            sink,
            period: VM_LIST_PERIOD,
            log: self.log.clone(),
        };
        let spawned = Actor::spawn(None, VmListActor, arguments).await;
        spawned.map(drop).map_err(|_failed| RuntimeError::Actor)
    }
}
