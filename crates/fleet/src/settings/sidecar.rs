//! Settings of a sidecar process.

use std::net::SocketAddr;

use amaranthgw_core::{
    DomainId, GroupId, MilliSpan, RankId, RegionId, ServiceId, SlotCount, TargetId, VmId,
};
use serde::{Deserialize, Serialize};

use super::entry::{
    GRACE_RANGE, THREAD_RANGE, TICK_RANGE, default_grace, default_tick, default_traffic_threads,
};
use super::{
    FieldPath, FieldProblem, FieldRange, FieldRule, JsonDocument, ProblemKind, Result,
    field_problem, parse_document,
};
use crate::routing::ServiceKind;

/// Settings of a sidecar, the process that runs next to a target.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SidecarSettings {
    /// VM that the process and its target run on.
    pub vm: VmId,
    /// Failure domain of the VM.
    pub domain: DomainId,
    /// Region of the failure domain.
    pub region: RegionId,
    /// Listen address for entries, peers and operators.
    pub node_listen: SocketAddr,
    /// Listen address of the metrics endpoint.
    pub metrics_listen: SocketAddr,
    /// Address of the key-value service.
    pub store: SocketAddr,
    /// Address of the VM list.
    pub vm_list: SocketAddr,
    /// Target of the sidecar.
    pub target: TargetSettings,
    /// Concurrency limits of the target.
    pub gate: GateSettings,
    /// Position in a rank group, if the target belongs to one.
    #[serde(default)]
    pub rank_group: Option<RankSettings>,
    /// Number of traffic threads, 1 to 256; 2 by default.
    #[serde(default = "default_traffic_threads")]
    pub traffic_threads: u16,
    /// Tick interval of the control thread, 5 ms to 1 s; 50 ms by default.
    #[serde(default = "default_tick")]
    pub tick: MilliSpan,
    /// Longest time that a shutdown waits for requests in flight, 0 to 1 h; 30 s by default.
    #[serde(default = "default_grace")]
    pub grace: MilliSpan,
}

/// Target of a sidecar.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TargetSettings {
    /// Identifier of the target.
    pub id: TargetId,
    /// Service that the target runs.
    pub service: ServiceId,
    /// Kind of the service, which determines how it is called.
    pub kind: ServiceKind,
    /// Address of the target's process.
    pub address: SocketAddr,
    /// Whether the target rejects a coordinator's orders that carry a lower fencing token than one
    /// that it has seen; `false` by default. The sidecar doesn't read this field.
    #[serde(default)]
    pub checks_fencing: bool,
}

/// Concurrency limits of a target and the growth between them during slow start.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct GateSettings {
    /// Requests in flight that the target can handle directly after its start, 1 to 65536.
    pub cold_limit: SlotCount,
    /// Requests in flight that the target can handle once warm, 1 to 65536; at least `cold_limit`.
    pub full_limit: SlotCount,
    /// Minimum number of answers on time before the limit is raised, 1 to 1000000; 4 by default.
    /// Should be at least the number that the target needs to warm up, if that is known.
    #[serde(default = "default_growth_answers")]
    pub growth_answers: u32,
}

/// Position of a target in a rank group.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RankSettings {
    /// Rank group that the target belongs to.
    pub group: GroupId,
    /// Zero-based rank of the target; less than `ranks`.
    pub rank: RankId,
    /// Number of ranks in the group, 1 to 1024.
    pub ranks: u16,
}

impl SidecarSettings {
    /// Fields with their allowed ranges and defaults.
    pub const RULES: &'static [FieldRule] = &[
        FieldRule::new("vm", FieldRange::Id),
        FieldRule::new("domain", FieldRange::Id),
        FieldRule::new("region", FieldRange::Id),
        FieldRule::new("node_listen", FieldRange::Listen),
        FieldRule::new("metrics_listen", FieldRange::Listen),
        FieldRule::new("store", FieldRange::Address),
        FieldRule::new("vm_list", FieldRange::Address),
        FieldRule::new("target", FieldRange::Group),
        FieldRule::new("target.id", FieldRange::Id),
        FieldRule::new("target.service", FieldRange::Id),
        FieldRule::new("target.kind", FieldRange::OneOf(&["model", "plain"])),
        FieldRule::new("target.address", FieldRange::Address),
        FieldRule::new("target.checks_fencing", FieldRange::Flag).with_default("false"),
        FieldRule::new("gate", FieldRange::Group),
        FieldRule::new("gate.cold_limit", FieldRange::Number(1, 65_536)),
        FieldRule::new("gate.full_limit", FieldRange::Number(1, 65_536)),
        FieldRule::new("gate.growth_answers", FieldRange::Number(1, 1_000_000)).with_default("4"),
        FieldRule::new("rank_group", FieldRange::Group).with_default("none"),
        FieldRule::new("rank_group.group", FieldRange::Id),
        FieldRule::new("rank_group.rank", FieldRange::Number(0, 1_023)),
        FieldRule::new("rank_group.ranks", FieldRange::Number(1, 1_024)),
        FieldRule::new("traffic_threads", THREAD_RANGE).with_default("2"),
        FieldRule::new("tick", TICK_RANGE).with_default("50ms"),
        FieldRule::new("grace", GRACE_RANGE).with_default("30s"),
    ];

    /// Parses the settings from `text`; `name` is the file name that errors show.
    ///
    /// # Errors
    ///
    /// Returns all problems, each with its line, field and allowed range.
    pub fn parse(text: &str, name: &str) -> Result<Self> {
        let document = JsonDocument::new(name, text);
        let settings: Self = parse_document(&document, Self::RULES)?;
        let problems = settings.cross_problems(&document);
        if problems.is_empty() {
            Ok(settings)
        } else {
            Err(document.error(problems))
        }
    }

    /// Violations of the rules between fields, each of which is in its range.
    fn cross_problems(&self, document: &JsonDocument) -> Vec<FieldProblem> {
        let mut problems = Vec::new();
        let mut report = |group: &str, field: &str, message: String| {
            let path = FieldPath::new().with_key(group).with_key(field);
            let kind = ProblemKind::Message(message.into());
            problems.push(field_problem(document, Self::RULES, path, kind));
        };
        let GateSettings {
            cold_limit,
            full_limit,
            ..
        } = self.gate;
        if cold_limit > full_limit {
            let message = format!("{cold_limit} exceeds gate.full_limit ({full_limit})");
            report("gate", "cold_limit", message);
        }
        if let Some(RankSettings { rank, ranks, .. }) = &self.rank_group
            && rank.get() >= *ranks
        {
            let message = format!("rank {rank} is not less than rank_group.ranks ({ranks})");
            report("rank_group", "rank", message);
        }
        problems
    }
}

const fn default_growth_answers() -> u32 {
    4
}
