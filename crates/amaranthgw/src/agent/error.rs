//! Why a rank could not be asked.

use amaranthgw_net::NetError;
use amaranthgw_platform::PlatformError;

/// Why a rank could not be asked.
#[derive(Debug)]
pub enum AgentError {
    /// The rank or its agent gave no usable answer.
    Platform(PlatformError),
    /// Another agent could not be reached.
    Net(NetError),
    /// Another agent's answer can't be read.
    Malformed(serde_json::Error),
    /// The rank is in no group.
    NoGroup,
    /// Another agent could not ask its rank.
    RankUnavailable,
}

/// Result of asking a rank.
pub type Result<T> = std::result::Result<T, AgentError>;

impl std::fmt::Display for AgentError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::Platform(error) => error.fmt(f),
            Self::Net(error) => error.fmt(f),
            Self::Malformed(error) => write!(f, "malformed answer of an agent: {error}"),
            Self::NoGroup => f.write_str("the rank is in no group"),
            Self::RankUnavailable => f.write_str("the agent can't ask its rank"),
        }
    }
}

impl std::error::Error for AgentError {
    fn source(&self) -> Option<&(dyn std::error::Error + 'static)> {
        match self {
            Self::Platform(error) => Some(error),
            Self::Net(error) => Some(error),
            Self::Malformed(error) => Some(error),
            Self::NoGroup | Self::RankUnavailable => None,
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

impl From<serde_json::Error> for AgentError {
    fn from(error: serde_json::Error) -> Self {
        Self::Malformed(error)
    }
}
