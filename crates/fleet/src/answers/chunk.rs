//! Messages of an answer and the state they lead to.

use amaranthgw_core::{AttemptNumber, ChunkSequence};

use super::AnswerError;

/// One chunk of an answer, as sent by a target.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StreamChunk<Data> {
    /// Attempt that produced the chunk.
    pub attempt: AttemptNumber,
    /// Position of the chunk in the whole answer.
    pub sequence: ChunkSequence,
    /// Content of the chunk.
    pub data: Data,
}

/// End of an answer, as declared by a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AnswerEnd {
    /// Attempt that ended.
    pub attempt: AttemptNumber,
    /// Number of chunks in the whole answer, including those of earlier attempts.
    pub chunks: ChunkSequence,
}

/// How a received chunk or end was handled.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ChunkVerdict {
    /// Stored, to be released in order.
    Kept,
    /// Already received; dropped.
    Duplicate,
    /// Belongs to an attempt that is not current or was interrupted, or to an answer that was given
    /// up; dropped.
    Abandoned,
}

/// Progress of an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AnswerState {
    /// More chunks are expected.
    Open,
    /// The current attempt failed; another may resume the answer.
    Interrupted(AnswerError),
    /// Every chunk up to the declared end was released.
    Complete,
    /// The answer failed, and the error must be reported to the caller.
    Broken(AnswerError),
}
