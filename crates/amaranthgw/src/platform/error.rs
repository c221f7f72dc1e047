//! Errors of calls to the platform.

/// A failed call to a service of the platform.
#[derive(Debug)]
pub enum ServiceError {
    /// The connection could not be established, so the call had no effect.
    NotReached,
    /// The connection was lost or no response arrived in time; the call may have taken effect.
    AnswerLost,
    /// The service responded with an error status.
    Rejected {
        /// HTTP status code.
        status: u16,
    },
    /// The request or the response does not conform to the interface of the service.
    Malformed,
}

impl std::fmt::Display for ServiceError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::NotReached => f.write_str("cannot connect to the service"),
            Self::AnswerLost => {
                f.write_str("no response from the service; the call may have taken effect")
            }
            Self::Rejected { status } => write!(f, "the service responded with status {status}"),
            Self::Malformed => f.write_str("malformed request or response"),
        }
    }
}

impl std::error::Error for ServiceError {}
