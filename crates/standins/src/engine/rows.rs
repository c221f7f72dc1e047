//! Rows of an engine's running requests.

use amaranthgw_core::{AttemptNumber, ChunkSequence, RequestId, TokenCount};
use tokio::sync::mpsc::UnboundedSender;
use tokio::time::Instant;

use super::stream::StreamPart;

/// Sequence number of a dispatched request, counted from the start of the stand-in.
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

/// A running request.
#[derive(Debug)]
pub(super) struct RunRow {
    pub(super) request: RequestId,
    pub(super) attempt: AttemptNumber,
    pub(super) priority: i32,
    pub(super) prompt_hash: u64,
    /// Sequence number of the next chunk to send.
    pub(super) next: ChunkSequence,
    /// Number of chunks of the complete answer.
    pub(super) chunks: TokenCount,
    /// End of the prefill, from which on chunks are sent.
    pub(super) first_chunk_at: Instant,
    /// Whether the first chunk was sent.
    pub(super) is_decoding: bool,
    pub(super) stream: UnboundedSender<StreamPart>,
}

impl RunRow {
    /// Whether all chunks were sent.
    pub(super) fn is_complete(&self) -> bool {
        self.next.get() >= self.chunks.get()
    }
}
