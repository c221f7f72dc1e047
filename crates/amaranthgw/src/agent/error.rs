//! Errors of queries to a rank or its agent.

use amaranthgw_net::NetError;
use amaranthgw_platform::PlatformError;

/// Error of a query to a rank or its agent.
#[derive(Debug)]
pub enum AgentError {
    /// The rank gave no usable reply.
    Platform(PlatformError),
    /// A call to another agent failed.
    Net(NetError),
    /// A message could not be encoded, or the reply of another agent not be decoded.
    Malformed(postcard::Error),
    /// The rank reports no group.
    NoGroup,
    /// Another agent answered with a status other than 200, mostly since its rank is unavailable.
    RankUnavailable,
    /// Another agent knows a later coordinator.
    Superseded,
}

/// Result of a query to a rank or its agent.
pub type Result<T> = std::result::Result<T, AgentError>;

impl std::fmt::Display for AgentError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::Platform(error) => error.fmt(f),
            Self::Net(error) => error.fmt(f),
            Self::Malformed(error) => write!(f, "malformed message between agents: {error}"),
            Self::NoGroup => f.write_str("rank is in no group"),
            Self::RankUnavailable => f.write_str("rank is unavailable to its agent"),
            Self::Superseded => f.write_str("agent knows a later coordinator"),
        }
    }
}

impl std::error::Error for AgentError {
    fn source(&self) -> Option<&(dyn std::error::Error + 'static)> {
        match self {
            Self::Platform(error) => Some(error),
            Self::Net(error) => Some(error),
            Self::Malformed(error) => Some(error),
            Self::NoGroup | Self::RankUnavailable | Self::Superseded => None,
        }
    }
}

impl From<PlatformError> for AgentError {
    fn from(error: PlatformError) -> Self {
        Self::Platform(error)
    }
}

impl From<NetError> for AgentError {
    fn from(error: NetError) -> Self {
        Self::Net(error)
    }
}

impl From<postcard::Error> for AgentError {
    fn from(error: postcard::Error) -> Self {
        Self::Malformed(error)
    }
}
