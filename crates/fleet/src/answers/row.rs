//! Reassembly buffer of one request's answer.

use std::collections::BTreeMap;

use amaranthgw_core::{AttemptNumber, ByteCount, ChunkSequence};

use super::{AnswerEnd, AnswerError, AnswerState, ChunkVerdict, Result, StreamChunk};

/// Answer of one request in flight at an entry.
///
/// Chunks of the current attempt are released in order, each position exactly once. Chunks after a
/// gap are buffered up to a limit; duplicates and chunks of abandoned attempts are dropped. Only
/// [`AnswerState::Complete`] may be reported to the caller as a successful end.
#[derive(Debug)]
pub struct AnswerRow<Data> {
    attempt: AttemptNumber,
    next_release: ChunkSequence,
    buffered: BTreeMap<ChunkSequence, Data>,
    buffered_bytes: usize,
    buffer_limit: ByteCount,
    end: Option<ChunkSequence>,
    fault: Option<AnswerFault>,
}

#[derive(Clone, Copy, Debug)]
enum AnswerFault {
    Interrupted(AnswerError),
    Broken(AnswerError),
}

impl<Data: AsRef<[u8]>> AnswerRow<Data> {
    /// Default limit on buffered bytes, applied to chunks that arrive after a gap.
    pub const DEFAULT_BUFFER_LIMIT: ByteCount = ByteCount::new(256 * 1024);

    /// Creates the row of a request before its attempt 0 starts.
    #[must_use]
    pub fn new() -> Self {
        Self {
            attempt: AttemptNumber::new(0),
            next_release: ChunkSequence::new(0),
            buffered: BTreeMap::new(),
            buffered_bytes: 0,
            buffer_limit: Self::DEFAULT_BUFFER_LIMIT,
            end: None,
            fault: None,
        }
    }

    /// Sets the limit on buffered bytes, applied to chunks that arrive after a gap.
    #[must_use]
    pub fn with_buffer_limit(mut self, limit: ByteCount) -> Self {
        self.buffer_limit = limit;
        self
    }

    /// The current attempt, whose chunks are accepted.
    #[must_use]
    pub fn attempt(&self) -> AttemptNumber {
        self.attempt
    }

    /// Position of the next chunk to release, at which another attempt resumes.
    #[must_use]
    pub fn resume_from(&self) -> ChunkSequence {
        self.next_release
    }

    /// Bytes received and not yet released.
    #[must_use]
    pub fn buffered_bytes(&self) -> ByteCount {
        ByteCount::new(self.buffered_bytes as u64)
    }

    /// Progress of the answer.
    #[must_use]
    pub fn state(&self) -> AnswerState {
        match self.fault {
            Some(AnswerFault::Broken(cause)) => AnswerState::Broken(cause),
            _ if self.end == Some(self.next_release) => AnswerState::Complete,
            Some(AnswerFault::Interrupted(cause)) => AnswerState::Interrupted(cause),
            None => AnswerState::Open,
        }
    }

    /// Abandons the current attempt and returns the number of the next one, which resumes the
    /// answer at [`Self::resume_from`].
    ///
    /// Chunks buffered after a gap are discarded, since another attempt may produce different
    /// content.
    pub fn start_attempt(&mut self) -> AttemptNumber {
        self.attempt = self.attempt.next();
        self.clear_buffer();
        self.end = None;
        if let Some(AnswerFault::Interrupted(_)) = self.fault {
            self.fault = None;
        }
        self.attempt
    }

    /// Adds a received chunk.
    ///
    /// # Errors
    ///
    /// Returns the [`AnswerError`] that interrupts the attempt if the chunk contradicts the
    /// declared end or exceeds the buffer limit.
    pub fn accept(&mut self, chunk: StreamChunk<Data>) -> Result<ChunkVerdict> {
        if !self.accepts_from(chunk.attempt) {
            return Ok(ChunkVerdict::Abandoned);
        }
        if chunk.sequence < self.next_release || self.buffered.contains_key(&chunk.sequence) {
            return Ok(ChunkVerdict::Duplicate);
        }
        self.check_end(chunk.sequence)?;
        self.buffer(chunk.sequence, chunk.data)?;
        Ok(ChunkVerdict::Kept)
    }

    /// Records the declared end of an attempt.
    ///
    /// # Errors
    ///
    /// Returns the [`AnswerError`] that interrupts the attempt if the end contradicts what was
    /// received before.
    pub fn accept_end(&mut self, end: AnswerEnd) -> Result<ChunkVerdict> {
        if !self.accepts_from(end.attempt) {
            return Ok(ChunkVerdict::Abandoned);
        }
        match self.end {
            Some(first) if first == end.chunks => return Ok(ChunkVerdict::Duplicate),
            Some(first) => {
                let second = end.chunks;
                return Err(self.interrupt(AnswerError::ConflictingEnds { first, second }));
            }
            None => {}
        }
        let known = self.received_end();
        if end.chunks < known {
            let declared = end.chunks;
            return Err(self.interrupt(AnswerError::EndTooEarly { declared, known }));
        }
        self.end = Some(end.chunks);
        Ok(ChunkVerdict::Kept)
    }

    /// Releases the next chunk in order, if it has been received.
    pub fn release(&mut self) -> Option<Data> {
        if let Some(AnswerFault::Broken(_)) = self.fault {
            return None;
        }
        let data = self.buffered.remove(&self.next_release)?;
        self.buffered_bytes -= data.as_ref().len();
        self.next_release = self.next_release.next();
        Some(data)
    }

    /// Records that `attempt` stopped; ignored unless it is the current one. Chunks received before
    /// can still be released and may complete the answer.
    pub fn stop_attempt(&mut self, attempt: AttemptNumber, cause: AnswerError) {
        if self.accepts_from(attempt) {
            self.fault = Some(AnswerFault::Interrupted(cause));
        }
    }

    /// Ends the answer with an error for the caller; a complete answer is left as it is.
    pub fn give_up(&mut self, cause: AnswerError) {
        if self.state() == AnswerState::Complete {
            return;
        }
        self.clear_buffer();
        self.fault = Some(AnswerFault::Broken(cause));
    }

    fn accepts_from(&self, attempt: AttemptNumber) -> bool {
        attempt == self.attempt && self.fault.is_none()
    }

    fn buffer(&mut self, sequence: ChunkSequence, data: Data) -> Result<()> {
        let is_not_next = sequence > self.next_release;
        let bytes = self.buffered_bytes + data.as_ref().len();
        if is_not_next && bytes as u64 > self.buffer_limit.get() {
            let limit = self.buffer_limit;
            return Err(self.interrupt(AnswerError::BufferFull { limit }));
        }
        self.buffered_bytes = bytes;
        self.buffered.insert(sequence, data);
        Ok(())
    }

    fn check_end(&mut self, sequence: ChunkSequence) -> Result<()> {
        let Some(declared) = self.end else {
            return Ok(());
        };
        if sequence < declared {
            return Ok(());
        }
        let known = sequence.next();
        Err(self.interrupt(AnswerError::EndTooEarly { declared, known }))
    }

    fn received_end(&self) -> ChunkSequence {
        let last_buffered = self.buffered.keys().next_back();
        last_buffered.map_or(self.next_release, |last| last.next())
    }

    /// Interrupts an attempt whose messages contradict each other or exceed the buffer limit, and
    /// discards its buffered chunks.
    fn interrupt(&mut self, cause: AnswerError) -> AnswerError {
        self.end = None;
        self.clear_buffer();
        self.fault = Some(AnswerFault::Interrupted(cause));
        cause
    }

    fn clear_buffer(&mut self) {
        self.buffered.clear();
        self.buffered_bytes = 0;
    }
}

impl<Data: AsRef<[u8]>> Default for AnswerRow<Data> {
    fn default() -> Self {
        Self::new()
    }
}
