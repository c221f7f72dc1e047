//! Inputs and outputs of a claim batcher.

use amaranthgw_core::RequestId;
use tokio::time::Instant;

use super::{
    BodyFingerprint, ClaimError, ClaimId, ClaimRefusal, KeyHash, Result, StoreCall, StoredAnswer,
};

/// The same moment on two clocks: the monotonic clock, used for timeouts, and the wall clock, used
/// for stored timestamps.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClockReading {
    /// Monotonic time of the runtime.
    pub now: Instant,
    /// Wall-clock time in milliseconds since the Unix epoch.
    pub unix_ms: u64,
}

/// A request that wants to claim its idempotency key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ClaimSubmission {
    /// Unique identifier of the claim; never reused.
    pub id: ClaimId,
    /// Hash of workspace and key.
    pub key: KeyHash,
    /// Hash of service, method with path, and body; tells a resend from another request with the
    /// same key.
    pub fingerprint: BodyFingerprint,
    /// Request that the claim is for.
    pub request: RequestId,
    /// Deadline: at this time the claim is refused if still pending, and its grant expires.
    pub give_up_at: Instant,
}

/// Permission to run a request once, valid until it expires.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClaimGrant {
    id: ClaimId,
    key: KeyHash,
    expires_at: Instant,
}

impl ClaimGrant {
    pub(super) const fn new(submission: &ClaimSubmission) -> Self {
        Self {
            id: submission.id,
            key: submission.key,
            expires_at: submission.give_up_at,
        }
    }

    /// Identifier of the claim.
    #[must_use]
    pub const fn id(&self) -> ClaimId {
        self.id
    }

    /// Hash of the claimed key.
    #[must_use]
    pub const fn key(&self) -> KeyHash {
        self.key
    }

    /// Checks that the grant has not expired; to be called right before dispatch.
    ///
    /// # Errors
    ///
    /// Returns [`ClaimError::GrantExpired`] when the deadline has passed, such as after a long
    /// pause of the process.
    pub fn check(&self, now: Instant) -> Result<()> {
        if now >= self.expires_at {
            return Err(ClaimError::GrantExpired);
        }
        Ok(())
    }
}

/// Result of a claim attempt.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClaimVerdict {
    /// The claim is stored in the key-value service: run the request.
    Granted(ClaimGrant),
    /// An earlier request holds the key and its result is not recorded: the outcome is unknown.
    OutcomeUnknown {
        /// Time of the earlier claim, in milliseconds since the Unix epoch.
        made_at_unix_ms: u64,
    },
    /// The request was answered before; holds the recorded answer.
    Finished(StoredAnswer),
    /// No claim was granted, so this request did not run.
    Refused(ClaimRefusal),
}

/// Actions that a batcher requests from its caller.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ClaimOutput {
    /// Call to the key-value service, if one is due.
    pub call: Option<StoreCall>,
    /// Results that became known; each submitted claim gets exactly one.
    pub verdicts: Vec<(ClaimId, ClaimVerdict)>,
}
