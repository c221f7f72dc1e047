//! Why an answer stops before its end.

use amaranthgw_core::{ByteCount, ChunkSequence};

/// Why an attempt or a whole answer broke.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AnswerBreak {
    /// The target stopped sending before it declared the end.
    StreamCut,
    /// The target reported an error within the answer.
    TargetFailed,
    /// Chunks behind a gap need more memory than an answer may hold.
    BufferFull {
        /// Largest number of bytes held behind a gap.
        bound: ByteCount,
    },
    /// The declared end leaves out a chunk that exists.
    EndTooEarly {
        /// Declared number of chunks.
        declared: ChunkSequence,
        /// First position after the last chunk known.
        known: ChunkSequence,
    },
    /// An attempt declared two different ends.
    TwoEnds {
        /// The end declared first.
        first: ChunkSequence,
        /// The end declared later.
        second: ChunkSequence,
    },
    /// The answer was not whole at its deadline.
    DeadlinePassed,
    /// No further attempt is allowed.
    NotResumable,
}

impl std::fmt::Display for AnswerBreak {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::StreamCut => f.write_str("the stream stopped before its end"),
            Self::TargetFailed => f.write_str("the target failed within the answer"),
            Self::BufferFull { bound } => {
                write!(f, "more than {bound} bytes arrived behind a missing chunk")
            }
            Self::EndTooEarly { declared, known } => {
                write!(
                    f,
                    "the declared end {declared} lies before chunk end {known}"
                )
            }
            Self::TwoEnds { first, second } => {
                write!(f, "one attempt declared the ends {first} and {second}")
            }
            Self::DeadlinePassed => f.write_str("the answer was not whole at its deadline"),
            Self::NotResumable => f.write_str("no further attempt is allowed"),
        }
    }
}

impl std::error::Error for AnswerBreak {}
