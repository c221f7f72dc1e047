//! Settings of an entry process.

use std::net::SocketAddr;

use amaranthgw_core::{ByteCount, DomainId, MilliSpan, RegionId, VmId};
use serde::{Deserialize, Serialize};

use super::{
    FieldPath, FieldProblem, FieldRange, FieldRule, JsonDocument, ProblemKind, Result,
    field_problem, parse_document,
};

/// Settings of an entry, a process that accepts callers' requests.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EntrySettings {
    /// VM that the process runs on.
    pub vm: VmId,
    /// Failure domain of the VM.
    pub domain: DomainId,
    /// Region of the failure domain.
    pub region: RegionId,
    /// Listen address for callers (HTTP).
    pub caller_listen: SocketAddr,
    /// Listen address for peers, sidecars and operators.
    pub node_listen: SocketAddr,
    /// Listen address of the metrics endpoint.
    pub metrics_listen: SocketAddr,
    /// Address of the key-value service.
    pub store: SocketAddr,
    /// Address of the VM list.
    pub vm_list: SocketAddr,
    /// Number of traffic threads, 1 to 256; 2 by default.
    #[serde(default = "default_traffic_threads")]
    pub traffic_threads: u16,
    /// Tick interval of the control thread, 5 ms to 1 s; 50 ms by default.
    #[serde(default = "default_tick")]
    pub tick: MilliSpan,
    /// Longest time that a shutdown waits for requests in flight, 0 to 1 h; 30 s by default.
    #[serde(default = "default_grace")]
    pub grace: MilliSpan,
    /// Largest request body in bytes, 1 KiB to 64 MiB; 1 MiB by default.
    #[serde(default = "default_max_body")]
    pub max_body: ByteCount,
    /// This entry's slot; none by default. The fixed part of each limit is divided among the slots,
    /// needs no lease and stays usable during an outage of the key-value service. Give a slot to
    /// all entries, each a different one, or to none.
    #[serde(default)]
    pub limit_slot: Option<SlotSettings>,
    /// Number of targets of each service that this entry connects to, 1 to 1024; 16 by default.
    #[serde(default = "default_subset_size")]
    pub subset_size: u16,
}

/// One of the slots among which the fixed part of each limit is divided.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SlotSettings {
    /// Zero-based slot; two running entries must not have the same one.
    pub slot: u16,
    /// Number of slots; the same at all entries.
    pub slots: u16,
}

impl EntrySettings {
    /// Fields with their allowed ranges and defaults.
    pub const RULES: &'static [FieldRule] = &[
        FieldRule::new("vm", FieldRange::Id),
        FieldRule::new("domain", FieldRange::Id),
        FieldRule::new("region", FieldRange::Id),
        FieldRule::new("caller_listen", FieldRange::Listen),
        FieldRule::new("node_listen", FieldRange::Listen),
        FieldRule::new("metrics_listen", FieldRange::Listen),
        FieldRule::new("store", FieldRange::Address),
        FieldRule::new("vm_list", FieldRange::Address),
        FieldRule::new("traffic_threads", THREAD_RANGE).with_default("2"),
        FieldRule::new("tick", TICK_RANGE).with_default("50ms"),
        FieldRule::new("grace", GRACE_RANGE).with_default("30s"),
        FieldRule::new("max_body", BODY_RANGE).with_default("1048576"),
        FieldRule::new("limit_slot", FieldRange::Group).with_default("none"),
        FieldRule::new("limit_slot.slot", FieldRange::Number(0, 4_095)),
        FieldRule::new("limit_slot.slots", FieldRange::Number(1, 4_096)),
        FieldRule::new("subset_size", FieldRange::Number(1, 1_024)).with_default("16"),
    ];

    /// Parses the settings from `text`; `name` is the file name that errors show.
    ///
    /// # Errors
    ///
    /// Returns all problems, each with its line, field and allowed range.
    pub fn parse(text: &str, name: &str) -> Result<Self> {
        let document = JsonDocument::new(name, text);
        let settings: Self = parse_document(&document, Self::RULES)?;
        match settings.slot_problem(&document) {
            Some(problem) => Err(document.error(vec![problem])),
            None => Ok(settings),
        }
    }

    fn slot_problem(&self, document: &JsonDocument) -> Option<FieldProblem> {
        let SlotSettings { slot, slots } = self.limit_slot.as_ref()?;
        if slot < slots {
            return None;
        }
        let path = FieldPath::new().with_key("limit_slot").with_key("slot");
        let message = format!("slot {slot} is not less than limit_slot.slots ({slots})");
        let kind = ProblemKind::Message(message.into());
        Some(field_problem(document, Self::RULES, path, kind))
    }
}

/// Allowed number of traffic threads.
pub(super) const THREAD_RANGE: FieldRange = FieldRange::Number(1, 256);
/// Allowed tick interval.
pub(super) const TICK_RANGE: FieldRange =
    FieldRange::Span(MilliSpan::new(5), MilliSpan::new(1_000));
/// Allowed grace period of a shutdown.
pub(super) const GRACE_RANGE: FieldRange =
    FieldRange::Span(MilliSpan::new(0), MilliSpan::new(3_600_000));
/// Allowed size limit of a request body.
pub(super) const BODY_RANGE: FieldRange =
    FieldRange::Bytes(ByteCount::new(1_024), ByteCount::new(64 * 1_024 * 1_024));

pub(super) const fn default_traffic_threads() -> u16 {
    2
}

pub(super) const fn default_tick() -> MilliSpan {
    MilliSpan::new(50)
}

pub(super) const fn default_grace() -> MilliSpan {
    MilliSpan::new(30_000)
}

const fn default_max_body() -> ByteCount {
    ByteCount::new(1_024 * 1_024)
}

const fn default_subset_size() -> u16 {
    16
}
