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

/// Settings of a sidecar: the process beside a target.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SidecarSettings {
    /// The VM of the process and its target.
    pub vm: VmId,
    /// Failure domain of the VM.
    pub domain: DomainId,
    /// Region of the failure domain.
    pub region: RegionId,
    /// Where entries, peers and operators reach the process.
    pub node_listen: SocketAddr,
    /// Where metrics are read.
    pub metrics_listen: SocketAddr,
    /// Address of the key-value service.
    pub store: SocketAddr,
    /// Address of the VM list.
    pub vm_list: SocketAddr,
    /// The target beside the process.
    pub target: TargetSettings,
    /// What the target can bear.
    pub gate: GateSettings,
    /// Place in a rank group, for a target that belongs to one.
    #[serde(default)]
    pub rank_group: Option<RankSettings>,
    /// Threads that carry requests, 1 to 256; 2 unless given.
    #[serde(default = "default_traffic_threads")]
    pub traffic_threads: u16,
    /// Time between two ticks of the control thread, 5 ms to 1 s; 50 ms unless given.
    #[serde(default = "default_tick")]
    pub tick: MilliSpan,
    /// Longest time a shutdown waits for requests in flight, 0 to 1 h; 30 s unless given.
    #[serde(default = "default_grace")]
    pub grace: MilliSpan,
}

/// The target beside a sidecar.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TargetSettings {
    /// The target.
    pub id: TargetId,
    /// The service it runs.
    pub service: ServiceId,
    /// How the service is called.
    pub kind: ServiceKind,
    /// Address of the target's process.
    pub address: SocketAddr,
    /// Whether the target refuses orders with an old fencing number; `false` unless given.
    #[serde(default)]
    pub checks_fencing: bool,
}

/// What a target can bear.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct GateSettings {
    /// Requests in flight that the target bears right after its start, 1 to 65536.
    pub cold_limit: SlotCount,
    /// Requests in flight that it bears once warm, 1 to 65536, at least `cold_limit`.
    pub full_limit: SlotCount,
    /// Answers in time that a raise of the limit needs at least, 1 to 1000000; 4 unless given.
    /// At least as many as the target needs to warm up, where that is known.
    #[serde(default = "default_growth_answers")]
    pub growth_answers: u32,
}

/// Place of a target in a rank group.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RankSettings {
    /// The group.
    pub group: GroupId,
    /// Rank of the target, counted from 0; less than `ranks`.
    pub rank: RankId,
    /// Number of ranks of the group, 1 to 1024.
    pub ranks: u16,
}

impl SidecarSettings {
    /// The fields with their allowed ranges and defaults.
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

    /// Reads the settings from `text`; `name` is the file that errors name.
    ///
    /// # Errors
    ///
    /// Returns every problem that was found, each with its line, field and allowed range.
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

    /// Problems between fields that are each in their range.
    fn cross_problems(&self, document: &JsonDocument) -> Vec<FieldProblem> {
        let mut problems = Vec::new();
        let mut refuse = |group: &str, field: &str, message: String| {
            let path = FieldPath::new().with_key(group).with_key(field);
            let kind = ProblemKind::Shape(message.into());
            problems.push(field_problem(document, Self::RULES, path, kind));
        };
        let GateSettings {
            cold_limit,
            full_limit,
            ..
        } = self.gate;
        if cold_limit > full_limit {
            let message = format!("{cold_limit} is more than gate.full_limit, {full_limit}");
            refuse("gate", "cold_limit", message);
        }
        if let Some(RankSettings { rank, ranks, .. }) = &self.rank_group
            && rank.get() >= *ranks
        {
            let message = format!("rank {rank} is not below rank_group.ranks, {ranks}");
            refuse("rank_group", "rank", message);
        }
        problems
    }
}

const fn default_growth_answers() -> u32 {
    4
}
