//! Whole answers: chunk sequences, late chunks, resumption.

mod chunk;
mod error;
mod row;

pub use chunk::{AnswerEnd, AnswerState, ChunkVerdict, StreamChunk};
pub use error::AnswerBreak;
pub use row::AnswerRow;

/// Result of taking a chunk or an end into an answer.
pub type Result<T> = std::result::Result<T, AnswerBreak>;
