//! Settings of a rank agent.

use std::net::SocketAddr;

use amaranthgw_core::{DomainId, MilliSpan, ServiceId, VmId};
use serde::{Deserialize, Serialize};

use super::entry::GRACE_RANGE;
use super::{FieldRange, FieldRule, JsonDocument, Result, parse_document};

/// Settings of an agent: the process beside one rank of a rank group.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct AgentSettings {
    /// The VM of the process.
    pub vm: VmId,
    /// Failure domain of the VM.
    pub domain: DomainId,
    /// Service of the rank.
    pub service: ServiceId,
    /// Address of the rank beside the agent.
    pub rank: SocketAddr,
    /// Where other agents reach this one; every agent listens on the same port.
    pub node_listen: SocketAddr,
    /// Where metrics are read.
    pub metrics_listen: SocketAddr,
    /// Address of the key-value service.
    pub store: SocketAddr,
    /// Time from the signal to stop to the end by force, 0 to 1 h.
    pub grace: MilliSpan,
    /// Whether ranks refuse orders with a lower fencing number than one they have seen; then a
    /// coordinator that can't reach the key-value service goes on leading.
    pub fenced_orders: bool,
    /// How long a coordinator's lease lasts, 1 s to 1 min; 1 s unless given.
    #[serde(default = "default_lease")]
    pub lease: MilliSpan,
}

/// Length of a coordinator's lease.
const LEASE_RANGE: FieldRange = FieldRange::Span(MilliSpan::new(1_000), MilliSpan::new(60_000));

impl AgentSettings {
    /// The fields with their allowed ranges and defaults.
    pub const RULES: &'static [FieldRule] = &[
        FieldRule::new("vm", FieldRange::Id),
        FieldRule::new("domain", FieldRange::Id),
        FieldRule::new("service", FieldRange::Id),
        FieldRule::new("rank", FieldRange::Address),
        FieldRule::new("node_listen", FieldRange::Listen),
        FieldRule::new("metrics_listen", FieldRange::Listen),
        FieldRule::new("store", FieldRange::Address),
        FieldRule::new("grace", GRACE_RANGE),
        FieldRule::new("fenced_orders", FieldRange::Flag),
        FieldRule::new("lease", LEASE_RANGE).with_default("1s"),
    ];

    /// Reads the settings from `text`; `name` is the file that errors name.
    ///
    /// # Errors
    ///
    /// Returns every problem that was found, each with its line, field and allowed range.
    pub fn parse(text: &str, name: &str) -> Result<Self> {
        parse_document(&JsonDocument::new(name, text), Self::RULES)
    }
}

const fn default_lease() -> MilliSpan {
    MilliSpan::new(1_000)
}
