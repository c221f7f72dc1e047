//! Rows of the requests that an engine runs.

use amaranthgw_core::{AttemptNumber, ChunkSequence, RequestId, TokenCount};
use tokio::sync::mpsc::UnboundedSender;
use tokio::time::Instant;

use super::stream::StreamPart;

/// Number of a hand-over, counted from the start of the stand-in.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(super) struct RunNumber(u64);

impl RunNumber {
    pub(super) const fn next(self) -> Self {
        Self(self.0 + 1)
    }
}

impl std::fmt::Display for RunNumber {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        self.0.fmt(f)
    }
}

/// A request that was handed over and runs.
#[derive(Debug)]
pub(super) struct RunRow {
    pub(super) request: RequestId,
    pub(super) attempt: AttemptNumber,
    pub(super) priority: i32,
    pub(super) prompt_hash: u64,
    /// The chunk that comes next.
    pub(super) next: ChunkSequence,
    /// Chunks of the whole answer.
    pub(super) chunks: TokenCount,
    /// When the prompt has been read.
    pub(super) first_chunk_at: Instant,
    /// Whether a chunk was sent.
    pub(super) is_decoding: bool,
    pub(super) stream: UnboundedSender<StreamPart>,
}

impl RunRow {
    /// Whether every chunk was sent.
    pub(super) fn is_whole(&self) -> bool {
        self.next.get() >= self.chunks.get()
    }
}
