//! Answer reassembly: chunk ordering, deduplication and resumption across attempts.

mod chunk;
mod error;
mod row;

pub use chunk::{AnswerEnd, AnswerState, ChunkVerdict, StreamChunk};
pub use error::AnswerError;
pub use row::AnswerRow;

/// Result of adding a chunk or an end to an answer.
pub type Result<T> = std::result::Result<T, AnswerError>;
