//! What an entry asks of a sidecar and what comes back, free of message encoding.

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

/// Result of a step of an attempt.
pub type Result<T> = std::result::Result<T, LinkError>;

/// Steps of an attempt, in the order they arrive.
pub type AttemptStream = BoxStream<'static, Result<AttemptStep>>;

/// One attempt of a request.
#[derive(Clone, Debug)]
pub struct AttemptOrder {
    /// The target.
    pub target: TargetId,
    /// Service of the target.
    pub service: ServiceId,
    /// Workspace the request counts for.
    pub workspace: WorkspaceId,
    /// The request.
    pub request: RequestId,
    /// Number of the attempt.
    pub attempt: AttemptNumber,
    /// Longest time that the attempt may wait for a slot of the target.
    pub wait: MilliSpan,
    /// Time left until the answer is late.
    pub due: MilliSpan,
    /// Time left until the entry gives the request up.
    pub remaining: MilliSpan,
    /// Whether the call may run more than once.
    pub is_idempotent: bool,
    /// Cost of a late answer relative to other plans.
    pub refund_weight: u32,
    /// First chunk wanted.
    pub resume_from: ChunkSequence,
    /// Largest number of tokens to generate; 0 for plain calls.
    pub max_tokens: TokenCount,
    /// Prompt of a model call or body of a plain call.
    pub body: Bytes,
    /// Last configuration change in force at the entry.
    pub change: ChangeNumber,
    /// Whether the request may only run with nothing else at the target.
    pub alone: bool,
}

/// One step of an attempt.
#[derive(Clone, Debug, PartialEq)]
pub enum AttemptStep {
    /// The gate admitted the attempt.
    Admitted(Option<TargetStatus>),
    /// A chunk of the answer.
    Chunk {
        /// Its position.
        sequence: ChunkSequence,
        /// Its bytes.
        data: Bytes,
    },
    /// The answer ended.
    Finished {
        /// Chunks of the whole answer, counted from its first one.
        chunk_count: u64,
        /// State of the target afterwards.
        status: Option<TargetStatus>,
    },
    /// Nothing was handed to the target.
    Refused {
        /// Why.
        code: RefusalCode,
        /// The refused request.
        request: RequestId,
        /// The refused attempt.
        attempt: AttemptNumber,
        /// State of the target.
        status: Option<TargetStatus>,
    },
    /// The attempt ended without a whole answer after its hand-over to the target.
    Broken {
        /// How.
        code: BreakCode,
        /// What is known of the request's part in deaths of targets.
        verdict: Option<SuspectVerdict>,
        /// State of the target.
        status: Option<TargetStatus>,
    },
}

/// Why no further step of an attempt will arrive.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LinkError {
    /// No connection to the sidecar came about: not a byte was sent.
    NotConnected,
    /// The connection to the sidecar broke or timed out: the attempt may have run.
    ConnectionLost,
    /// The sidecar sent a message that no correct sidecar sends.
    Malformed,
}

impl std::fmt::Display for LinkError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::NotConnected => f.write_str("no connection to the sidecar came about"),
            Self::ConnectionLost => f.write_str("the connection to the sidecar was lost"),
            Self::Malformed => f.write_str("the sidecar sent a malformed message"),
        }
    }
}

impl std::error::Error for LinkError {}

/// Carries attempts to sidecars.
pub trait TargetLink: std::fmt::Debug + Send + Sync {
    /// Sends `order` to the sidecar at `address`; dropping the stream abandons the attempt.
    fn open(
        &self,
        address: SocketAddr,
        order: AttemptOrder,
    ) -> BoxFuture<'_, Result<AttemptStream>>;

    /// Asks the sidecar at `address` for the state of `target`.
    fn inspect(&self, address: SocketAddr, target: TargetId)
    -> BoxFuture<'_, Result<TargetStatus>>;
}
