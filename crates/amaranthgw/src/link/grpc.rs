//! The gRPC client of sidecars.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Mutex, PoisonError};
use std::time::Duration;

use amaranthgw_core::{AttemptNumber, ChunkSequence, TargetId};
use amaranthgw_fleet::entry::TargetStatus;
use amaranthgw_fleet::suspects::SuspectVerdict;
use futures_util::StreamExt;
use futures_util::future::BoxFuture;
use tonic::transport::{Channel, Endpoint};
use tonic::{Code, Status};

use super::{AttemptEvent, AttemptRequest, AttemptStream, LinkError, Result, TargetLink};
use crate::wire::node::run_event::Event;
use crate::wire::node::sidecar_client::SidecarClient;
use crate::wire::node::{InspectRequest, RunEvent, RunRequest, TargetReport};
use crate::wire::status_from_report;

/// Timeout of connecting to a sidecar.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Timeout of a target inspection, after which the connection counts as lost.
const INSPECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Interval of the HTTP/2 pings that detect a frozen or unreachable sidecar while a call runs.
const KEEP_ALIVE_INTERVAL: Duration = Duration::from_secs(2);
/// Time without an answer to a ping after which the connection is closed.
const KEEP_ALIVE_TIMEOUT: Duration = Duration::from_secs(2);

/// A [`TargetLink`] over gRPC with one connection for each sidecar.
#[derive(Debug, Default)]
pub struct GrpcLink {
    channels: Mutex<HashMap<SocketAddr, Channel>>,
}

impl GrpcLink {
    /// Creates a link; connections are opened on first use.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Closes the connections to addresses for which `keep` returns false.
    pub fn retain(&self, keep: impl Fn(&SocketAddr) -> bool) {
        let mut channels = self.channels.lock().unwrap_or_else(PoisonError::into_inner);
        channels.retain(|address, _channel| keep(address));
    }

    fn client(&self, address: SocketAddr) -> Result<SidecarClient<Channel>> {
        let mut channels = self.channels.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(channel) = channels.get(&address) {
            return Ok(SidecarClient::new(channel.clone()));
        }
        let channel = new_channel(address)?;
        channels.insert(address, channel.clone());
        Ok(SidecarClient::new(channel))
    }
}

impl TargetLink for GrpcLink {
    fn open(
        &self,
        address: SocketAddr,
        request: AttemptRequest,
    ) -> BoxFuture<'_, Result<AttemptStream>> {
        Box::pin(async move {
            let mut client = self.client(address)?;
            let response = client.run(encode_request(request)).await;
            let messages = response.map_err(|status| link_error(&status))?.into_inner();
            let events = messages.map(|message| match message {
                Ok(message) => decode_event(message),
                Err(status) => Err(link_error(&status)),
            });
            Ok(events.boxed())
        })
    }

    fn inspect(
        &self,
        address: SocketAddr,
        target: TargetId,
    ) -> BoxFuture<'_, Result<TargetStatus>> {
        Box::pin(async move {
            let mut client = self.client(address)?;
            let request = InspectRequest {
                target: target.to_string(),
            };
            let response = tokio::time::timeout(INSPECT_TIMEOUT, client.inspect(request)).await;
            let report = response
                .map_err(|_elapsed| LinkError::ConnectionLost)?
                .map_err(|status| link_error(&status))?;
            let (reported, status) = decode_report(report.get_ref())?;
            if reported == target {
                Ok(status)
            } else {
                Err(LinkError::Malformed)
            }
        })
    }
}

fn new_channel(address: SocketAddr) -> Result<Channel> {
    let endpoint = Endpoint::from_shared(format!("http://{address}"));
    let endpoint = endpoint.map_err(|_invalid| LinkError::Malformed)?;
    Ok(endpoint
        .connect_timeout(CONNECT_TIMEOUT)
        .tcp_nodelay(true)
        .http2_keep_alive_interval(KEEP_ALIVE_INTERVAL)
        .keep_alive_timeout(KEEP_ALIVE_TIMEOUT)
        .connect_lazy())
}

fn encode_request(request: AttemptRequest) -> RunRequest {
    RunRequest {
        target: request.target.to_string(),
        service: request.service.to_string(),
        workspace: request.workspace.to_string(),
        request: request.request.to_string(),
        attempt: request.attempt.get(),
        wait_ms: request.wait.millis(),
        due_ms: request.due.millis(),
        remaining_ms: request.remaining.millis(),
        idempotent: request.is_idempotent,
        refund_weight: request.refund_weight,
        resume_from: request.resume_from.get(),
        max_tokens: u32::try_from(request.max_tokens.get()).unwrap_or(u32::MAX),
        body: request.body,
        change: request.change.get(),
        alone: request.alone,
    }
}

fn decode_event(message: RunEvent) -> Result<AttemptEvent> {
    match message.event.ok_or(LinkError::Malformed)? {
        Event::Admitted(admitted) => Ok(AttemptEvent::Admitted(decode_status(admitted.report)?)),
        Event::Chunk(chunk) => {
            let sequence = ChunkSequence::new(chunk.sequence);
            Ok(AttemptEvent::Chunk {
                sequence,
                data: chunk.data,
            })
        }
        Event::Finished(finished) => {
            let status = decode_status(finished.report)?;
            Ok(AttemptEvent::Finished {
                chunk_count: finished.chunk_count,
                status,
            })
        }
        Event::Refused(refused) => Ok(AttemptEvent::Refused {
            code: refused.code(),
            request: refused
                .request
                .parse()
                .map_err(|_invalid| LinkError::Malformed)?,
            attempt: AttemptNumber::new(refused.attempt),
            status: decode_status(refused.report)?,
        }),
        Event::Broken(broken) => Ok(AttemptEvent::Broken {
            code: broken.code(),
            verdict: decode_verdict(&broken.verdict)?,
            status: decode_status(broken.report)?,
        }),
    }
}

fn decode_verdict(json: &[u8]) -> Result<Option<SuspectVerdict>> {
    if json.is_empty() {
        return Ok(None);
    }
    serde_json::from_slice(json)
        .map(Some)
        .map_err(|_malformed| LinkError::Malformed)
}

fn decode_status(report: Option<TargetReport>) -> Result<Option<TargetStatus>> {
    report
        .map(|report| decode_report(&report).map(|(_target, status)| status))
        .transpose()
}

fn decode_report(report: &TargetReport) -> Result<(TargetId, TargetStatus)> {
    status_from_report(report).map_err(|_invalid| LinkError::Malformed)
}

/// Classifies a failed call. A connection that was never established counts separately, as
/// nothing was sent over it.
fn link_error(status: &Status) -> LinkError {
    if status.code() == Code::InvalidArgument {
        return LinkError::Malformed;
    }
    let mut source = std::error::Error::source(status);
    while let Some(error) = source {
        if error.is::<tonic::ConnectError>() {
            return LinkError::NotConnected;
        }
        source = error.source();
    }
    LinkError::ConnectionLost
}
