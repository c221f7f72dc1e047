//! Settings of a gateway process.

use std::net::SocketAddr;

use amaranthgw_core::{ByteCount, DomainId, MilliSpan, VmId};
use serde::{Deserialize, Serialize};

use super::entry::{BODY_RANGE, GRACE_RANGE, THREAD_RANGE, TICK_RANGE};
use super::{FieldRange, FieldRule, JsonDocument, Result, parse_document};
use crate::gateway::FleetBounds;

/// Settings of a gateway, a process that forwards callers' requests directly to targets. An entry
/// also enforces the limits of plans and reaches its targets through sidecars.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct GatewaySettings {
    /// VM that the process runs on.
    pub vm: VmId,
    /// Failure domain of the VM.
    pub domain: DomainId,
    /// Listen address for callers (HTTP).
    pub caller_listen: SocketAddr,
    /// Listen address of the readiness endpoint for an external load balancer.
    pub ready_listen: SocketAddr,
    /// Listen address for peers.
    pub node_listen: SocketAddr,
    /// Listen address of the metrics endpoint.
    pub metrics_listen: SocketAddr,
    /// Address of the key-value service.
    pub store: SocketAddr,
    /// Node addresses of some gateways for peer discovery; they may be out of date.
    #[serde(default)]
    pub seeds: Vec<SocketAddr>,
    /// Number of traffic threads, 1 to 256; 1 by default.
    #[serde(default = "default_traffic_threads")]
    pub traffic_threads: u16,
    /// Tick interval of the control thread, 5 ms to 1 s; 100 ms by default.
    #[serde(default = "default_tick")]
    pub tick: MilliSpan,
    /// Time from the stop signal until the platform terminates the process, 0 to 1 h; the gateway
    /// ends shortly before.
    pub grace: MilliSpan,
    /// Retries that each request of a service adds to the retry budget, 0 to 10.
    pub retry_ratio: f64,
    /// Retries per window that the retry budget allows in addition, over all gateways, 0 to 1000000.
    pub retry_slack: f64,
    /// Length of the window of the retry budget, 100 ms to 1 h.
    pub retry_window: MilliSpan,
    /// Time for which expired registrations are kept after an outage of the key-value service, so
    /// that their processes can renew them, 100 ms to 1 h; 2 s by default.
    #[serde(default = "default_return_time")]
    pub return_time: MilliSpan,
    /// Largest body of a plain answer, 1 KiB to 64 MiB; 4 MiB by default. A longer one is no answer.
    #[serde(default = "default_max_answer")]
    pub max_answer: ByteCount,
    /// Memory for bodies of requests and answers, and for long parts of events, 8 MiB to 64 GiB; 48 MiB by
    /// default. Buffers of connections, some 70 KiB for each that is busy, come in addition.
    #[serde(default = "default_max_held")]
    pub max_held: ByteCount,
    /// Port of the agents next to the ranks; 0 if rank groups are not polled.
    #[serde(default)]
    pub agent_port: u16,
}

/// Allowed window of the retry budget and time for which expired registrations are kept.
const WINDOW_RANGE: FieldRange = FieldRange::Span(MilliSpan::new(100), MilliSpan::new(3_600_000));

/// Allowed memory for bodies.
const HELD_RANGE: FieldRange = FieldRange::Bytes(ByteCount::new(8 << 20), ByteCount::new(64 << 30));

/// Allowed ports; 0 means none.
const PORT_RANGE: FieldRange = FieldRange::Number(0, 65_535);

impl GatewaySettings {
    /// Fields with their allowed ranges and defaults.
    pub const RULES: &'static [FieldRule] = &[
        FieldRule::new("vm", FieldRange::Id),
        FieldRule::new("domain", FieldRange::Id),
        FieldRule::new("caller_listen", FieldRange::Listen),
        FieldRule::new("ready_listen", FieldRange::Listen),
        FieldRule::new("node_listen", FieldRange::Listen),
        FieldRule::new("metrics_listen", FieldRange::Listen),
        FieldRule::new("store", FieldRange::Address),
        FieldRule::new("seeds", FieldRange::Rows).with_default("[]"),
        FieldRule::new("seeds[]", FieldRange::Address),
        FieldRule::new("traffic_threads", THREAD_RANGE).with_default("1"),
        FieldRule::new("tick", TICK_RANGE).with_default("100ms"),
        FieldRule::new("grace", GRACE_RANGE),
        FieldRule::new("retry_ratio", FieldRange::Decimal(10)),
        FieldRule::new("retry_slack", FieldRange::Decimal(1_000_000)),
        FieldRule::new("retry_window", WINDOW_RANGE),
        FieldRule::new("return_time", WINDOW_RANGE).with_default("2s"),
        FieldRule::new("max_answer", BODY_RANGE).with_default("4194304"),
        FieldRule::new("max_held", HELD_RANGE).with_default("50331648"),
        FieldRule::new("agent_port", PORT_RANGE).with_default("0"),
    ];

    /// Parses the settings from `text`; `name` is the file name that errors show.
    ///
    /// # Errors
    ///
    /// Returns all problems, each with its line, field and allowed range.
    pub fn parse(text: &str, name: &str) -> Result<Self> {
        parse_document(&JsonDocument::new(name, text), Self::RULES)
    }

    /// Retry budget that all gateways enforce jointly, and the time for which expired registrations
    /// are kept.
    #[must_use]
    pub fn bounds(&self) -> FleetBounds {
        FleetBounds {
            retry_ratio: self.retry_ratio,
            retry_slack: self.retry_slack,
            retry_window: self.retry_window.duration(),
            return_time: self.return_time.duration(),
        }
    }
}

const fn default_traffic_threads() -> u16 {
    1
}

const fn default_tick() -> MilliSpan {
    MilliSpan::new(100)
}

const fn default_max_answer() -> ByteCount {
    ByteCount::new(4 * 1024 * 1024)
}

const fn default_max_held() -> ByteCount {
    ByteCount::new(48 << 20)
}

const fn default_return_time() -> MilliSpan {
    MilliSpan::new(2_000)
}
