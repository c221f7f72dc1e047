//! Settings of a rank agent.

use std::net::SocketAddr;

use amaranthgw_core::{DomainId, MilliSpan, ServiceId, VmId};
use serde::{Deserialize, Serialize};

use super::entry::GRACE_RANGE;
use super::{FieldRange, FieldRule, JsonDocument, Result, parse_document};

/// Settings of an agent, the process that runs next to one rank of a rank group.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct AgentSettings {
    /// VM that the process runs on.
    pub vm: VmId,
    /// Failure domain of the VM.
    pub domain: DomainId,
    /// Service that the rank belongs to.
    pub service: ServiceId,
    /// Address of the agent's local rank.
    pub rank: SocketAddr,
    /// Listen address for other agents; all agents use the same port.
    pub node_listen: SocketAddr,
    /// Listen address of the metrics endpoint.
    pub metrics_listen: SocketAddr,
    /// Address of the key-value service.
    pub store: SocketAddr,
    /// Time from the stop signal until the platform terminates the process, 0 to 1 h. The agent
    /// doesn't read this field.
    pub grace: MilliSpan,
    /// Whether ranks reject a coordinator's orders that carry a lower fencing token than one that
    /// they have seen. If so, a coordinator continues to give orders while it can't reach the
    /// key-value service; otherwise it stops when its lease ends.
    pub fenced_orders: bool,
    /// Duration of a coordinator's lease, 1 s to 1 min; 1 s by default.
    #[serde(default = "default_lease")]
    pub lease: MilliSpan,
}

/// Allowed duration of a coordinator's lease.
const LEASE_RANGE: FieldRange = FieldRange::Span(MilliSpan::new(1_000), MilliSpan::new(60_000));

impl AgentSettings {
    /// Fields with their allowed ranges and defaults.
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

    /// Parses the settings from `text`; `name` is the file name that errors show.
    ///
    /// # Errors
    ///
    /// Returns all problems, each with its line, field and allowed range.
    pub fn parse(text: &str, name: &str) -> Result<Self> {
        parse_document(&JsonDocument::new(name, text), Self::RULES)
    }
}

const fn default_lease() -> MilliSpan {
    MilliSpan::new(1_000)
}
