//! The gRPC service that each node provides to its peers and to operators.

use std::sync::Arc;

use amaranthgw_core::VmId;
use amaranthgw_fleet::config::ConfigMessage;
use amaranthgw_fleet::suspects::SuspectVerdict;
use bytes::Bytes;
use futures_util::future::BoxFuture;
use tonic::{Request, Response, Status};

use crate::control::ReportSender;
use crate::wire::node::peer_server::Peer;
use crate::wire::node::{
    ExchangeReply, ExchangeRequest, ReportReply, ReportRequest, TellReply, TellRequest, WarnReply,
    WarnRequest,
};

pub use crate::wire::node::ReportKind;

/// A configuration message received from a peer.
#[derive(Clone, Debug)]
pub struct PeerMessage {
    /// VM that the sender runs on.
    pub from: VmId,
    /// The message.
    pub message: ConfigMessage,
}

/// Receives evidence of requests that may crash targets.
pub trait WarningSink: std::fmt::Debug + Send + Sync {
    /// Merges the evidence of a peer into this node's.
    fn warn(&self, verdict: &SuspectVerdict);
}

/// Creates the reports of a node.
pub trait NodeReporter: std::fmt::Debug + Send + Sync {
    /// Returns the report of `kind` on `subject` as JSON; empty if the node has none of that kind.
    fn report(&self, kind: ReportKind, subject: String) -> BoxFuture<'_, Bytes>;
}

/// The service that answers peers and operators.
#[derive(Clone, Debug)]
pub struct PeerService {
    messages: ReportSender<PeerMessage>,
    warnings: Arc<dyn WarningSink>,
    reporter: Arc<dyn NodeReporter>,
}

impl PeerService {
    /// Creates a service that forwards configuration messages to `messages` and warnings to
    /// `warnings`, and answers report requests through `reporter`.
    #[must_use]
    pub fn new(
        messages: ReportSender<PeerMessage>,
        warnings: Arc<dyn WarningSink>,
        reporter: Arc<dyn NodeReporter>,
    ) -> Self {
        Self {
            messages,
            warnings,
            reporter,
        }
    }
}

#[tonic::async_trait]
impl Peer for PeerService {
    async fn tell(&self, request: Request<TellRequest>) -> Result<Response<TellReply>, Status> {
        let request = request.into_inner();
        let malformed = || Status::invalid_argument("malformed message");
        let from = request.from.parse().map_err(|_invalid| malformed())?;
        let message = serde_json::from_slice(&request.message).map_err(|_invalid| malformed())?;
        self.messages.send(PeerMessage { from, message });
        Ok(Response::new(TellReply {}))
    }

    async fn warn(&self, request: Request<WarnRequest>) -> Result<Response<WarnReply>, Status> {
        let verdict = serde_json::from_slice(&request.into_inner().verdict);
        let malformed = |_invalid| Status::invalid_argument("malformed verdict");
        self.warnings.warn(&verdict.map_err(malformed)?);
        Ok(Response::new(WarnReply {}))
    }

    async fn report(
        &self,
        request: Request<ReportRequest>,
    ) -> Result<Response<ReportReply>, Status> {
        let request = request.into_inner();
        let json = self.reporter.report(request.kind(), request.subject).await;
        Ok(Response::new(ReportReply { json }))
    }

    async fn exchange(
        &self,
        _request: Request<ExchangeRequest>,
    ) -> Result<Response<ExchangeReply>, Status> {
        Err(Status::unimplemented(
            "this node does not belong to a rank group",
        ))
    }
}
