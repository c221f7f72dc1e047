//! Starts the actors of a node that use the platform's key-value service and VM list.

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

/// Delay between an answer of the VM list and the next read.
const VM_LIST_POLL_INTERVAL: Duration = Duration::from_millis(500);

/// Starts the platform actors of one node.
#[derive(Clone, Debug)]
pub struct PlatformAdapter {
    /// VM, failure domain and region of the node.
    pub identity: NodeIdentity,
    /// Address of the key-value service.
    pub store: SocketAddr,
    /// Address of the VM list.
    pub vm_list: SocketAddr,
    /// Event log of the control thread.
    pub log: EventLog,
}

impl PlatformAdapter {
    /// Starts the actor that follows the configuration and receives `peer_messages`.
    ///
    /// # Errors
    ///
    /// Returns [`RuntimeError::Actor`] if the actor cannot be started.
    pub async fn start_config(
        &self,
        sink: ConfigSink,
        peer_messages: UnboundedReceiver<PeerMessage>,
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
        let forward = move |messages: Vec<PeerMessage>| {
            for message in messages {
                drop(to_config.cast(ConfigInput::Peer(message)));
            }
        };
        tokio::spawn(forward_reports(peer_messages, forward));
        Ok(config)
    }

    /// Starts the actor that serves claim requests of traffic threads from `requests`.
    ///
    /// # Errors
    ///
    /// Returns [`RuntimeError::Actor`] if the actor cannot be started.
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

    /// Starts the actor that shares the limits of plans with the other entries.
    ///
    /// # Errors
    ///
    /// Returns [`RuntimeError::Actor`] if the actor cannot be started.
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

    /// Starts the actor that polls the VM list.
    ///
    /// # Errors
    ///
    /// Returns [`RuntimeError::Actor`] if the actor cannot be started.
    pub async fn start_vm_list(&self, sink: VmListSink) -> Result<()> {
        let arguments = VmListArguments {
            client: Box::new(HttpVmList::new(self.vm_list)),
            sink,
            poll_interval: VM_LIST_POLL_INTERVAL,
            log: self.log.clone(),
        };
        let spawned = Actor::spawn(None, VmListActor, arguments).await;
        spawned.map(drop).map_err(|_failed| RuntimeError::Actor)
    }
}
