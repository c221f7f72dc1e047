//! What a sidecar asks of its target.

use amaranthgw_core::{
    AttemptNumber, ChunkSequence, MilliSpan, RequestId, SlotCount, StartMark, TokenCount,
};
use bytes::Bytes;
use futures_util::future::BoxFuture;
use futures_util::stream::BoxStream;

/// Result of a call to the target.
pub type Result<T> = std::result::Result<T, TargetError>;

/// Steps of an answer.
pub type TargetStream = BoxStream<'static, Result<TargetStep>>;

/// One call of the target.
#[derive(Clone, Debug)]
pub struct TargetCall {
    /// The request.
    pub request: RequestId,
    /// Number of the attempt.
    pub attempt: AttemptNumber,
    /// First chunk wanted.
    pub resume_from: ChunkSequence,
    /// Largest number of tokens to generate; 0 for plain calls.
    pub max_tokens: TokenCount,
    /// Priority; larger goes first.
    pub priority: u32,
    /// Prompt of a model call or body of a plain call.
    pub body: Bytes,
}

/// One step of an answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum TargetStep {
    /// A chunk.
    Chunk {
        /// Its position.
        sequence: ChunkSequence,
        /// Its bytes.
        data: Bytes,
    },
    /// The end, after this many chunks counted from the first of the whole answer.
    End {
        /// Chunks of the whole answer.
        chunk_count: u64,
    },
}

/// State that the target reports.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TargetLoad {
    /// Mark of the last start.
    pub mark: StartMark,
    /// Requests that run or wait.
    pub in_flight: SlotCount,
    /// Age of the report.
    pub age: MilliSpan,
}

/// Why a call of the target failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TargetError {
    /// No connection came about: not a byte was sent.
    NotReached,
    /// The connection broke: the target may have run the call.
    ConnectionLost,
    /// The target answered with this HTTP status.
    Answered {
        /// HTTP status code.
        status: u16,
    },
    /// The answer is not what the target's interface allows.
    Malformed,
}

impl std::fmt::Display for TargetError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::NotReached => f.write_str("the target could not be reached"),
            Self::ConnectionLost => f.write_str("the connection to the target was lost"),
            Self::Answered { status } => write!(f, "the target answered with status {status}"),
            Self::Malformed => f.write_str("the target answered with something unexpected"),
        }
    }
}

impl std::error::Error for TargetError {}

/// Calls of a target.
pub trait TargetClient: std::fmt::Debug + Send + Sync {
    /// Hands `call` to the target.
    fn run(&self, call: TargetCall) -> BoxFuture<'_, Result<TargetStream>>;

    /// Stops `request`; an `Ok` says that it no longer runs.
    fn cancel<'a>(&'a self, request: &'a RequestId) -> BoxFuture<'a, Result<()>>;

    /// Reads the target's load report.
    fn load(&self) -> BoxFuture<'_, Result<TargetLoad>>;

    /// Whether a call can be stopped before its end.
    fn can_cancel(&self) -> bool;
}
