//! Why reports cannot be joined or written.

use amaranthgw_core::VmId;

/// Why reports cannot be joined or written.
#[derive(Debug)]
pub enum BurnError {
    /// Both reports contain the counts of this entry, which would count twice.
    SameSource {
        /// The entry.
        source: VmId,
    },
    /// The reports use windows of different lengths.
    OtherWindows,
    /// The report cannot be written as JSON.
    Json(serde_json::Error),
}

impl std::fmt::Display for BurnError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::SameSource { source } => {
                write!(f, "both reports contain the counts of {source}")
            }
            Self::OtherWindows => f.write_str("the reports use windows of different lengths"),
            Self::Json(_) => f.write_str("the report cannot be written as JSON"),
        }
    }
}

impl std::error::Error for BurnError {
    fn source(&self) -> Option<&(dyn std::error::Error + 'static)> {
        match self {
            Self::Json(error) => Some(error),
            Self::SameSource { .. } | Self::OtherWindows => None,
        }
    }
}
