//! Attempts at a target and their events, independent of the message encoding.

use std::net::SocketAddr;

use amaranthgw_core::{
    AttemptNumber, ChangeNumber, ChunkSequence, MilliSpan, RequestId, ServiceId, TargetId,
    TokenCount, WorkspaceId,
};
use amaranthgw_fleet::entry::TargetStatus;
use amaranthgw_fleet::suspects::SuspectVerdict;
use bytes::Bytes;
use futures_util::future::BoxFuture;
use futures_util::stream::BoxStream;

pub use crate::wire::node::{BreakCode, RefusalCode};

/// Result of a call to a sidecar.
pub type Result<T> = std::result::Result<T, LinkError>;

/// Events of an attempt, in order of arrival.
pub type AttemptStream = BoxStream<'static, Result<AttemptEvent>>;

/// An attempt to run a request at a target.
#[derive(Clone, Debug)]
pub struct AttemptRequest {
    /// The target.
    pub target: TargetId,
    /// Service of the target.
    pub service: ServiceId,
    /// Workspace that the request counts against.
    pub workspace: WorkspaceId,
    /// The request.
    pub request: RequestId,
    /// Number of the attempt.
    pub attempt: AttemptNumber,
    /// Longest time that the attempt may queue for a slot of the target.
    pub wait: MilliSpan,
    /// Time left until the answer counts as late.
    pub due: MilliSpan,
    /// Time left until the entry abandons the request.
    pub remaining: MilliSpan,
    /// Whether the call may run more than once.
    pub is_idempotent: bool,
    /// Cost of a late answer under the workspace's plan, relative to other plans.
    pub refund_weight: u32,
    /// First chunk to send; earlier ones arrived in a previous attempt.
    pub resume_from: ChunkSequence,
    /// Maximum number of tokens to generate; 0 for plain calls.
    pub max_tokens: TokenCount,
    /// Prompt of a model call or body of a plain call.
    pub body: Bytes,
    /// Last configuration change in force at the entry.
    pub change: ChangeNumber,
    /// Whether the request may run only while the target has no other request in flight.
    pub alone: bool,
}

/// An event of an attempt.
#[derive(Clone, Debug, PartialEq)]
pub enum AttemptEvent {
    /// The gate admitted the attempt.
    Admitted(Option<TargetStatus>),
    /// A chunk of the answer.
    Chunk {
        /// Position in the answer.
        sequence: ChunkSequence,
        /// Content.
        data: Bytes,
    },
    /// The answer is complete.
    Finished {
        /// Number of chunks in the whole answer, including those of previous attempts.
        chunk_count: u64,
        /// State of the target after the answer.
        status: Option<TargetStatus>,
    },
    /// The sidecar refused the attempt; nothing was sent to the target.
    Refused {
        /// Reason.
        code: RefusalCode,
        /// The refused request.
        request: RequestId,
        /// The refused attempt.
        attempt: AttemptNumber,
        /// State of the target.
        status: Option<TargetStatus>,
    },
    /// The attempt failed after it was dispatched to the target.
    Broken {
        /// Reason.
        code: BreakCode,
        /// Evidence that the request crashes targets, if there is any.
        verdict: Option<SuspectVerdict>,
        /// State of the target.
        status: Option<TargetStatus>,
    },
}

/// A failed call to a sidecar; no further event of the attempt follows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LinkError {
    /// The connection could not be established; the attempt was not sent.
    NotConnected,
    /// The connection was lost or timed out; the attempt may have run.
    ConnectionLost,
    /// The sidecar sent a malformed message or rejected one as malformed.
    Malformed,
}

impl std::fmt::Display for LinkError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::NotConnected => f.write_str("cannot connect to the sidecar"),
            Self::ConnectionLost => f.write_str("connection to the sidecar lost"),
            Self::Malformed => f.write_str("malformed message exchanged with the sidecar"),
        }
    }
}

impl std::error::Error for LinkError {}

/// A client of sidecars.
pub trait TargetLink: std::fmt::Debug + Send + Sync {
    /// Starts an attempt at the sidecar at `address`; dropping the stream cancels it.
    fn open(
        &self,
        address: SocketAddr,
        request: AttemptRequest,
    ) -> BoxFuture<'_, Result<AttemptStream>>;

    /// Queries the sidecar at `address` for the state of `target`.
    fn inspect(&self, address: SocketAddr, target: TargetId)
    -> BoxFuture<'_, Result<TargetStatus>>;
}
