//! Settings of the suspect requests.

use amaranthgw_core::MilliSpan;
use serde::{Deserialize, Serialize};

/// Threshold, memory and expiry of suspicion.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct SuspectSettings {
    /// Deaths of targets that ran nothing else at which the request is refused; at most
    /// [`SuspectVerdict::MAX_DEATHS`](super::SuspectVerdict::MAX_DEATHS).
    pub refuse_after: u32,
    /// Time for which a death counts.
    pub expiry: MilliSpan,
    /// Largest number of fingerprints remembered.
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
