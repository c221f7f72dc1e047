//! The client for calls to other nodes.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Mutex, PoisonError};
use std::time::Duration;

use amaranthgw_core::VmId;
use amaranthgw_fleet::config::ConfigMessage;
use amaranthgw_fleet::suspects::SuspectVerdict;
use bytes::Bytes;
use futures_util::future::BoxFuture;
use tonic::transport::{Channel, Endpoint};

use super::ReportKind;
use crate::wire::node::peer_client::PeerClient;
use crate::wire::node::{ReportRequest, TellRequest, WarnRequest};

const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
const CALL_TIMEOUT: Duration = Duration::from_secs(2);
/// Largest report accepted from a peer; tonic's default is 4 MiB.
const MAX_REPORT_BYTES: usize = 16 * 1024 * 1024;

/// Result of a call to a peer.
pub type Result<T> = std::result::Result<T, PeerError>;

/// A failed call to a peer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PeerError {
    /// The peer was unreachable, answered with an error or did not answer in time.
    Unreachable,
    /// The message could not be encoded or the address is invalid.
    Malformed,
}

impl std::fmt::Display for PeerError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::Unreachable => f.write_str("the node did not answer or answered with an error"),
            Self::Malformed => f.write_str("invalid message or address"),
        }
    }
}

impl std::error::Error for PeerError {}

/// A client for calls to other nodes.
pub trait PeerLink: std::fmt::Debug + Send + Sync {
    /// Sends a configuration message from the node on VM `from` to the node at `address`.
    fn tell(
        &self,
        address: SocketAddr,
        from: VmId,
        message: ConfigMessage,
    ) -> BoxFuture<'_, Result<()>>;

    /// Sends evidence of a request that may crash targets to the node at `address`.
    fn warn(&self, address: SocketAddr, verdict: SuspectVerdict) -> BoxFuture<'_, Result<()>>;

    /// Fetches a report as JSON from the node at `address`.
    fn report(
        &self,
        address: SocketAddr,
        kind: ReportKind,
        subject: String,
    ) -> BoxFuture<'_, Result<Bytes>>;
}

/// A [`PeerLink`] over gRPC with one connection for each peer.
#[derive(Debug, Default)]
pub struct GrpcPeerLink {
    channels: Mutex<HashMap<SocketAddr, Channel>>,
}

impl GrpcPeerLink {
    /// Creates a link; connections are opened on first use.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    fn client(&self, address: SocketAddr) -> Result<PeerClient<Channel>> {
        let mut channels = self.channels.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(channel) = channels.get(&address) {
            return Ok(new_client(channel.clone()));
        }
        let endpoint = Endpoint::from_shared(format!("http://{address}"));
        let endpoint = endpoint.map_err(|_invalid| PeerError::Malformed)?;
        let channel = endpoint
            .connect_timeout(CONNECT_TIMEOUT)
            .timeout(CALL_TIMEOUT)
            .tcp_nodelay(true)
            .connect_lazy();
        channels.insert(address, channel.clone());
        Ok(new_client(channel))
    }
}

fn new_client(channel: Channel) -> PeerClient<Channel> {
    PeerClient::new(channel).max_decoding_message_size(MAX_REPORT_BYTES)
}

impl PeerLink for GrpcPeerLink {
    fn tell(
        &self,
        address: SocketAddr,
        from: VmId,
        message: ConfigMessage,
    ) -> BoxFuture<'_, Result<()>> {
        Box::pin(async move {
            let message = serde_json::to_vec(&message).map_err(|_invalid| PeerError::Malformed)?;
            let request = TellRequest {
                from: from.to_string(),
                message: message.into(),
            };
            let response = self.client(address)?.tell(request).await;
            response.map(drop).map_err(|_status| PeerError::Unreachable)
        })
    }

    fn warn(&self, address: SocketAddr, verdict: SuspectVerdict) -> BoxFuture<'_, Result<()>> {
        Box::pin(async move {
            let verdict = serde_json::to_vec(&verdict).map_err(|_invalid| PeerError::Malformed)?;
            let request = WarnRequest {
                verdict: verdict.into(),
            };
            let response = self.client(address)?.warn(request).await;
            response.map(drop).map_err(|_status| PeerError::Unreachable)
        })
    }

    fn report(
        &self,
        address: SocketAddr,
        kind: ReportKind,
        subject: String,
    ) -> BoxFuture<'_, Result<Bytes>> {
        Box::pin(async move {
            let request = ReportRequest {
                kind: kind.into(),
                subject,
            };
            let response = self.client(address)?.report(request).await;
            let reply = response.map_err(|_status| PeerError::Unreachable)?;
            Ok(reply.into_inner().json)
        })
    }
}
