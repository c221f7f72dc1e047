//! Errors of merging and encoding reports.

use amaranthgw_core::VmId;

/// Error of merging or encoding reports.
#[derive(Debug)]
pub enum BurnError {
    /// Both reports contain the counts of this entry, which would be counted twice.
    DuplicateSource {
        /// Entry in both reports.
        source: VmId,
    },
    /// The windows of the reports differ in length.
    WindowMismatch,
    /// The report could not be encoded as JSON.
    Json(serde_json::Error),
}

impl std::fmt::Display for BurnError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::DuplicateSource { source } => {
                write!(
                    f,
                    "cannot merge reports that both contain the counts of {source}"
                )
            }
            Self::WindowMismatch => {
                f.write_str("cannot merge reports with windows of different lengths")
            }
            Self::Json(_) => f.write_str("cannot encode the report as JSON"),
        }
    }
}

impl std::error::Error for BurnError {
    fn source(&self) -> Option<&(dyn std::error::Error + 'static)> {
        match self {
            Self::Json(error) => Some(error),
            Self::DuplicateSource { .. } | Self::WindowMismatch => None,
        }
    }
}
