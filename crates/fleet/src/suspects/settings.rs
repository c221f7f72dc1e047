//! Settings of poison request detection.

use amaranthgw_core::MilliSpan;
use serde::{Deserialize, Serialize};

/// Refusal threshold, expiry and table size.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct SuspectSettings {
    /// A request is refused after this many deaths of targets that ran nothing else; at most
    /// [`SuspectVerdict::MAX_DEATHS`](super::SuspectVerdict::MAX_DEATHS).
    pub refuse_after: u32,
    /// Time after which a death no longer counts.
    pub expiry: MilliSpan,
    /// Maximum number of fingerprints in the table.
    pub max_rows: usize,
}

impl Default for SuspectSettings {
    fn default() -> Self {
        Self {
            refuse_after: 2,
            expiry: MilliSpan::new(60 * 60 * 1_000),
            max_rows: 4_096,
        }
    }
}
