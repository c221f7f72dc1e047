//! Why a call to the platform gave no answer.

/// Why a call to the platform gave no usable answer.
#[derive(Debug)]
pub enum PlatformError {
    /// The connection was refused, so the call had no effect.
    NotReached,
    /// No answer came in time or the connection broke: the call may have taken effect.
    AnswerLost,
    /// The service answered with this HTTP status.
    Rejected {
        /// HTTP status code.
        status: u16,
    },
    /// The answer is not what the service's interface allows.
    Malformed,
}

impl std::fmt::Display for PlatformError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::NotReached => f.write_str("the service could not be reached"),
            Self::AnswerLost => f.write_str("the service gave no answer; the call may have run"),
            Self::Rejected { status } => write!(f, "the service answered with status {status}"),
            Self::Malformed => f.write_str("the service answered with something unexpected"),
        }
    }
}

impl std::error::Error for PlatformError {}
