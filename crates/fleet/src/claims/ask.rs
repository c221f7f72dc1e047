//! Asks for claims and their verdicts.

use amaranthgw_core::RequestId;
use tokio::time::Instant;

use super::{
    BodyFingerprint, ClaimError, ClaimRefusal, ClaimStamp, KeyHash, Result, StoreCall, StoredAnswer,
};

/// The time by both clocks: one for waiting, one for stored values.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClockReading {
    /// Clock of the runtime.
    pub now: Instant,
    /// Milliseconds since the Unix epoch.
    pub unix_ms: u64,
}

/// Asks to run a request under its key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ClaimAsk {
    /// Identifies this ask; never used for another one.
    pub stamp: ClaimStamp,
    /// Hash of workspace and key.
    pub key: KeyHash,
    /// What the request asks for.
    pub fingerprint: BodyFingerprint,
    /// The request.
    pub request: RequestId,
    /// Without a verdict by then the ask is refused; a grant must be used by then.
    pub give_up_at: Instant,
}

/// Permission to run a request once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClaimGrant {
    stamp: ClaimStamp,
    key: KeyHash,
    use_by: Instant,
}

impl ClaimGrant {
    pub(super) const fn new(ask: &ClaimAsk) -> Self {
        Self {
            stamp: ask.stamp,
            key: ask.key,
            use_by: ask.give_up_at,
        }
    }

    /// Identifies the claim.
    #[must_use]
    pub const fn stamp(&self) -> ClaimStamp {
        self.stamp
    }

    /// Key of the claim.
    #[must_use]
    pub const fn key(&self) -> KeyHash {
        self.key
    }

    /// Checks, right before the hand-over, that the grant still holds.
    ///
    /// # Errors
    ///
    /// Returns [`ClaimError::GrantExpired`] when the holder paused for too long.
    pub fn check(&self, now: Instant) -> Result<()> {
        if now >= self.use_by {
            return Err(ClaimError::GrantExpired);
        }
        Ok(())
    }
}

/// Answer to an ask.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClaimVerdict {
    /// The claim stands in the service: run the request.
    Granted(ClaimGrant),
    /// An earlier request holds the key and no end is recorded: the outcome is unknown.
    OutcomeUnknown {
        /// When the key was claimed, in milliseconds since the Unix epoch.
        made_at_unix_ms: u64,
    },
    /// The request was answered before.
    Finished(StoredAnswer),
    /// No claim was granted, and this ask did not run.
    Refused(ClaimRefusal),
}

/// What a batcher wants done.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ClaimOutput {
    /// Call to make, if any.
    pub call: Option<StoreCall>,
    /// Verdicts, one for each ask over time.
    pub verdicts: Vec<(ClaimStamp, ClaimVerdict)>,
}
