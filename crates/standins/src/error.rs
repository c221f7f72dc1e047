//! Errors of starting and running a stand-in.

use std::net::SocketAddr;

use amaranthgw_core::RankId;

use crate::kind::StandinKind;

/// Result of starting or running a stand-in.
pub type Result<T> = std::result::Result<T, StandinError>;

/// Why a stand-in could not be started or run.
#[derive(Debug)]
pub enum StandinError {
    /// The listening address cannot be used.
    Listen {
        /// The requested address.
        address: SocketAddr,
        /// Error of the operating system.
        source: std::io::Error,
    },
    /// The settings are not valid JSON for the kind.
    Settings {
        /// Kind of the stand-in.
        kind: StandinKind,
        /// Error of parsing the settings.
        source: serde_json::Error,
    },
    /// The proxy's setting `upstream` is missing.
    NoUpstream,
    /// The group's setting `ranks` is 0.
    NoRanks,
    /// The group's setting `weights` is set without `model`.
    NoModel,
    /// The port of a rank would exceed 65535.
    NoPort {
        /// Address of the first rank.
        first: SocketAddr,
        /// The rank that has no port.
        rank: RankId,
    },
    /// The addresses cannot be printed.
    Announce(std::io::Error),
    /// The signal handlers cannot be installed.
    Signal(std::io::Error),
}

impl std::fmt::Display for StandinError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::Listen { address, .. } => write!(f, "cannot listen on {address}"),
            Self::Settings { kind, .. } => write!(f, "invalid settings of the {kind} stand-in"),
            Self::NoUpstream => f.write_str("the proxy needs an upstream address"),
            Self::NoRanks => f.write_str("the group needs at least one rank"),
            Self::NoModel => f.write_str("a group that loads from a weight store needs a model"),
            Self::NoPort { first, rank } => {
                write!(f, "no port left for rank {rank} of the group at {first}")
            }
            Self::Announce(_) => f.write_str("cannot print the addresses"),
            Self::Signal(_) => f.write_str("cannot install signal handlers"),
        }
    }
}

impl std::error::Error for StandinError {
    fn source(&self) -> Option<&(dyn std::error::Error + 'static)> {
        match self {
            Self::Listen { source, .. } | Self::Announce(source) | Self::Signal(source) => {
                Some(source)
            }
            Self::Settings { source, .. } => Some(source),
            Self::NoUpstream | Self::NoRanks | Self::NoModel | Self::NoPort { .. } => None,
        }
    }
}
