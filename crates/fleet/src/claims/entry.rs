//! One claim.

use amaranthgw_core::RequestId;
use compact_str::CompactString;

use super::{BodyFingerprint, ClaimSerial, HolderNumber};

/// Encoded length of an entry without its texts of variable length, rounded up.
const FIXED_LEN: usize = 192;
/// Encoded length of one control character.
const ESCAPED_CONTROL_LEN: usize = 6;

/// Identifies one claim among all processes and starts of processes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ClaimStamp {
    /// Process that made the claim.
    pub holder: HolderNumber,
    /// Number of the claim in that process.
    pub serial: ClaimSerial,
}

/// What is kept of the answer to a claimed request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StoredAnswer {
    /// The whole answer.
    Whole {
        /// Status code.
        status: u16,
        /// Body.
        body: CompactString,
    },
    /// Only that it was answered, because the body is too long or no text.
    Digest {
        /// Status code.
        status: u16,
    },
}

impl StoredAnswer {
    /// Keeps the whole answer where its body is a text of at most `max_len` bytes.
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
            None => Self::Digest { status },
        }
    }

    /// The same answer without its body.
    #[must_use]
    pub fn to_digest(&self) -> Self {
        match self {
            Self::Whole { status, .. } | Self::Digest { status } => {
                Self::Digest { status: *status }
            }
        }
    }
}

/// How far a claimed request got.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClaimState {
    /// It may run or have run; the outcome is unknown until it is recorded.
    Running,
    /// It was answered.
    Finished(StoredAnswer),
}

/// A claim on one key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ClaimEntry {
    /// Who made it.
    pub stamp: ClaimStamp,
    /// Request that the claim is for.
    pub request: RequestId,
    /// What the request asks for.
    pub fingerprint: BodyFingerprint,
    /// When it was made, in milliseconds since the Unix epoch by the holder's clock.
    pub made_at_unix_ms: u64,
    /// How far the request got.
    pub state: ClaimState,
}

impl ClaimEntry {
    /// Upper bound of the encoded length, in bytes.
    #[must_use]
    pub fn size_bound(&self) -> usize {
        let body = match &self.state {
            ClaimState::Finished(StoredAnswer::Whole { body, .. }) => escaped_len(body),
            ClaimState::Finished(StoredAnswer::Digest { .. }) | ClaimState::Running => 0,
        };
        FIXED_LEN + self.request.as_str().len() + body
    }
}

fn escaped_len(text: &str) -> usize {
    let byte_len = |byte: u8| match byte {
        b'"' | b'\\' => 2,
        0..=0x1f => ESCAPED_CONTROL_LEN,
        _ => 1,
    };
    text.bytes().map(byte_len).sum()
}
