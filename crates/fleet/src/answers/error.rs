//! Errors that end an attempt or a whole answer early.

use amaranthgw_core::{ByteCount, ChunkSequence};

/// Why an attempt or a whole answer ended before it was complete.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AnswerError {
    /// The target stopped sending before it declared the end.
    StreamCut,
    /// The target reported an error within the answer.
    TargetFailed,
    /// The chunks buffered while one is missing exceed the buffer limit.
    BufferFull {
        /// Buffer limit.
        limit: ByteCount,
    },
    /// The declared end lies before a chunk that was received.
    EndTooEarly {
        /// Declared number of chunks.
        declared: ChunkSequence,
        /// Position after the last received chunk.
        known: ChunkSequence,
    },
    /// An attempt declared two different ends.
    ConflictingEnds {
        /// Number of chunks declared first.
        first: ChunkSequence,
        /// Number of chunks declared later.
        second: ChunkSequence,
    },
    /// The answer was incomplete at its deadline.
    DeadlinePassed,
    /// No further attempt is allowed.
    NoFurtherAttempt,
}

impl std::fmt::Display for AnswerError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::StreamCut => f.write_str("the stream ended before the target declared the end"),
            Self::TargetFailed => f.write_str("the target reported an error within the answer"),
            Self::BufferFull { limit } => {
                write!(
                    f,
                    "the chunks buffered exceed {limit} bytes while one is missing"
                )
            }
            Self::EndTooEarly { declared, known } => {
                write!(
                    f,
                    "the attempt declared {declared} chunks, but at least {known} exist"
                )
            }
            Self::ConflictingEnds { first, second } => {
                write!(f, "the attempt declared {first} chunks and later {second}")
            }
            Self::DeadlinePassed => f.write_str("the answer was incomplete at its deadline"),
            Self::NoFurtherAttempt => f.write_str("no further attempt is allowed"),
        }
    }
}

impl std::error::Error for AnswerError {}
