//! Messages about the configuration between nodes.

use amaranthgw_core::{ChangeNumber, MilliSpan};
use serde::{Deserialize, Serialize};

use super::{ConfigChange, ServingState};

/// Tells a peer which change the sender has in force.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigOffer {
    /// Number of the last change in force at the sender.
    pub number: ChangeNumber,
    /// Time since the key-value service was last known to hold no newer change.
    pub age: MilliSpan,
}

/// Asks a peer for the changes after a number.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigPull {
    /// Number of the last change in force at the sender.
    pub after: ChangeNumber,
}

/// Brings changes to a peer.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ConfigPush {
    /// A whole configuration to start from, where the sender no longer has the changes after it.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub base: Option<Box<ServingState>>,
    /// Changes in order and without gaps.
    pub changes: Vec<ConfigChange>,
}

/// A message about the configuration.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ConfigMessage {
    /// See [`ConfigOffer`].
    Offer(ConfigOffer),
    /// See [`ConfigPull`].
    Pull(ConfigPull),
    /// See [`ConfigPush`].
    Push(ConfigPush),
}
