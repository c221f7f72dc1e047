//! What arrives from a target and what became of it.

use amaranthgw_core::{AttemptNumber, ChunkSequence};

use super::AnswerBreak;

/// One chunk of an answer as a target sent it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StreamChunk<Data> {
    /// Attempt that produced the chunk.
    pub attempt: AttemptNumber,
    /// Position in the answer.
    pub sequence: ChunkSequence,
    /// The bytes.
    pub data: Data,
}

/// The end of an answer as a target declared it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AnswerEnd {
    /// Attempt that ended.
    pub attempt: AttemptNumber,
    /// Number of chunks of the whole answer, counted from its first chunk.
    pub chunks: ChunkSequence,
}

/// What became of a chunk or an end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ChunkVerdict {
    /// It was kept and can be released in its turn.
    Kept,
    /// It was there already and is dropped.
    Duplicate,
    /// It belongs to an abandoned attempt and is dropped.
    Abandoned,
}

/// How far an answer is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AnswerState {
    /// Chunks are still due.
    Open,
    /// The current attempt broke; another may resume the answer.
    Interrupted(AnswerBreak),
    /// Every chunk up to the declared end was released.
    Whole,
    /// The answer ends with an error that the caller must see.
    Broken(AnswerBreak),
}
