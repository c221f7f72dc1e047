//! Interface between a sidecar and its target.

use amaranthgw_core::{
    AttemptNumber, ChunkSequence, MilliSpan, RequestId, SlotCount, StartMark, TokenCount,
};
use bytes::Bytes;
use futures_util::future::BoxFuture;
use futures_util::stream::BoxStream;

/// Result of a call to the target.
pub type Result<T> = std::result::Result<T, TargetError>;

/// Events of an answer.
pub type TargetStream = BoxStream<'static, Result<TargetEvent>>;

/// One call to the target.
#[derive(Clone, Debug)]
pub struct TargetCall {
    /// Identifier of the request.
    pub request: RequestId,
    /// Number of the attempt.
    pub attempt: AttemptNumber,
    /// First chunk to return; earlier ones reached the caller in previous attempts.
    pub resume_from: ChunkSequence,
    /// Maximum number of tokens to generate; 0 for plain calls.
    pub max_tokens: TokenCount,
    /// Scheduling priority; larger goes first.
    pub priority: u32,
    /// Prompt of a model call or body of a plain call.
    pub body: Bytes,
}

/// One event of an answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum TargetEvent {
    /// A chunk of the answer.
    Chunk {
        /// Position within the answer, from 0.
        sequence: ChunkSequence,
        /// Payload of the chunk.
        data: Bytes,
    },
    /// The end of the answer.
    End {
        /// Number of chunks in the complete answer, including those before `resume_from`.
        chunk_count: u64,
    },
}

/// Load report of the target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TargetLoad {
    /// Start mark of the target process, which changes with each restart.
    pub mark: StartMark,
    /// Number of requests that run or are queued.
    pub in_flight: SlotCount,
    /// Age of the report when it was sent.
    pub age: MilliSpan,
}

/// Error of a call to the target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TargetError {
    /// The connection could not be established, so nothing was sent.
    NotReached,
    /// The connection broke or a time limit passed; the target may have run the call.
    ConnectionLost,
    /// The target responded with an HTTP status other than 200.
    Answered {
        /// HTTP status code.
        status: u16,
    },
    /// The request or the response is not valid in the target's protocol, or the target does not
    /// support the call.
    Malformed,
}

impl std::fmt::Display for TargetError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::NotReached => f.write_str("cannot connect to the target"),
            Self::ConnectionLost => f.write_str("connection to the target lost"),
            Self::Answered { status } => {
                write!(f, "the target responded with status {status}, expected 200")
            }
            Self::Malformed => f.write_str("malformed request to the target or response from it"),
        }
    }
}

impl std::error::Error for TargetError {}

/// Client of a target.
pub trait TargetClient: std::fmt::Debug + Send + Sync {
    /// Sends `call` to the target and returns the events of its answer.
    fn run(&self, call: TargetCall) -> BoxFuture<'_, Result<TargetStream>>;

    /// Cancels `request`; `Ok` confirms that it no longer runs.
    fn cancel<'a>(&'a self, request: &'a RequestId) -> BoxFuture<'a, Result<()>>;

    /// Reads the load report of the target.
    fn load(&self) -> BoxFuture<'_, Result<TargetLoad>>;

    /// Returns whether the target supports the cancellation of calls.
    fn can_cancel(&self) -> bool;
}
