//! Stored form of one claim.

use amaranthgw_core::RequestId;
use compact_str::CompactString;

use super::{BodyFingerprint, ClaimSerial, HolderNumber};

/// Upper bound of the encoded size of an entry without its texts of variable length.
const FIXED_BYTES: usize = 192;
/// Size of one control character in JSON, such as `\u0000`.
const ESCAPED_CONTROL_BYTES: usize = 6;

/// Identifier of one claim, unique across processes and their restarts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ClaimId {
    /// Process that made the claim.
    pub holder: HolderNumber,
    /// Serial number of the claim within that process.
    pub serial: ClaimSerial,
}

/// Stored part of the answer to a claimed request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StoredAnswer {
    /// Status and body.
    Whole {
        /// HTTP status code.
        status: u16,
        /// Body, which is valid UTF-8.
        body: CompactString,
    },
    /// Status alone, because the body is too long or not UTF-8.
    StatusOnly {
        /// HTTP status code.
        status: u16,
    },
}

impl StoredAnswer {
    /// Creates the answer with its body if that is UTF-8 of at most `max_len` bytes, else with the
    /// status alone.
    #[must_use]
    pub fn new(status: u16, body: &[u8], max_len: usize) -> Self {
        let text = std::str::from_utf8(body)
            .ok()
            .filter(|text| text.len() <= max_len);
        match text {
            Some(text) => Self::Whole {
                status,
                body: text.into(),
            },
            None => Self::StatusOnly { status },
        }
    }

    /// Returns the answer reduced to its status.
    #[must_use]
    pub fn without_body(&self) -> Self {
        match self {
            Self::Whole { status, .. } | Self::StatusOnly { status } => {
                Self::StatusOnly { status: *status }
            }
        }
    }
}

/// Recorded progress of a claimed request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClaimState {
    /// It may be running or may have run; its outcome is unknown until an answer is recorded.
    Running,
    /// It was answered; holds the stored answer.
    Finished(StoredAnswer),
}

/// Claim on one idempotency key, as stored.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ClaimEntry {
    /// Identifier of the claim.
    pub id: ClaimId,
    /// Request that the claim is for.
    pub request: RequestId,
    /// Hash of service, method with path, and body of the request.
    pub fingerprint: BodyFingerprint,
    /// Creation time by the holder's wall clock, in milliseconds since the Unix epoch.
    pub made_at_unix_ms: u64,
    /// Recorded progress of the request.
    pub state: ClaimState,
}

impl ClaimEntry {
    /// Upper bound of the encoded size, in bytes.
    #[must_use]
    pub fn size_bound(&self) -> usize {
        let body = match &self.state {
            ClaimState::Finished(StoredAnswer::Whole { body, .. }) => escaped_len(body),
            ClaimState::Finished(StoredAnswer::StatusOnly { .. }) | ClaimState::Running => 0,
        };
        FIXED_BYTES + self.request.as_str().len() + body
    }
}

fn escaped_len(text: &str) -> usize {
    let byte_len = |byte: u8| match byte {
        b'"' | b'\\' => 2,
        0..=0x1f => ESCAPED_CONTROL_BYTES,
        _ => 1,
    };
    text.bytes().map(byte_len).sum()
}
