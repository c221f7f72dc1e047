//! Messages by which nodes exchange configuration changes.

use amaranthgw_core::{ChangeNumber, MilliSpan};
use serde::{Deserialize, Serialize};

use super::{ConfigChange, ServingState};

/// Announces the last change that the sender has applied.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigOffer {
    /// Number of the last change applied at the sender.
    pub number: ChangeNumber,
    /// Time since the sender's last confirmation that no newer change is stored; the largest value
    /// if there was none.
    pub age: MilliSpan,
}

/// Requests the changes after a number.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigPull {
    /// Number of the last change applied at the sender.
    pub after: ChangeNumber,
}

/// Transfers changes to a peer.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ConfigPush {
    /// Full state to start from, if the sender no longer has the changes that the peer lacks.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub base: Option<Box<ServingState>>,
    /// Changes in order and without gaps.
    pub changes: Vec<ConfigChange>,
}

/// Any message about the configuration.
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
