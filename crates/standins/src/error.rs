//! Failures of starting and running a stand-in.

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
        /// The address that was asked for.
        address: SocketAddr,
        /// What the system answered.
        source: std::io::Error,
    },
    /// The settings are not those of the kind.
    Settings {
        /// The kind of stand-in.
        kind: StandinKind,
        /// What is wrong with them.
        source: serde_json::Error,
    },
    /// The proxy has no upstream address.
    NoUpstream,
    /// The group has no ranks.
    NoRanks,
    /// The group loads from a weight store but names no model.
    NoModel,
    /// A rank's port would lie beyond the largest one.
    NoPort {
        /// Address of the first rank.
        first: SocketAddr,
        /// The rank without a port.
        rank: RankId,
    },
    /// The addresses cannot be printed.
    Announce(std::io::Error),
    /// The process cannot wait for signals.
    Signal(std::io::Error),
}

impl std::fmt::Display for StandinError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::Listen { address, .. } => write!(f, "cannot listen on {address}"),
            Self::Settings { kind, .. } => write!(f, "invalid settings of the {kind} stand-in"),
            Self::NoUpstream => f.write_str("the proxy needs an upstream address"),
            Self::NoRanks => f.write_str("the group needs at least one rank"),
            Self::NoModel => f.write_str("the group needs a model to load from the weight store"),
            Self::NoPort { first, rank } => {
                write!(f, "rank {rank} of the group at {first} has no port")
            }
            Self::Announce(_) => f.write_str("cannot print the addresses"),
            Self::Signal(_) => f.write_str("cannot wait for signals"),
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
