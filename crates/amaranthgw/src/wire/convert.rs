//! Conversions between protobuf messages and the types of the fleet crate.

use amaranthgw_core::{ChangeNumber, ServiceId, SlotCount, StartMark, TargetId};
use amaranthgw_fleet::entry::TargetStatus;
use amaranthgw_fleet::routing::{ServiceKind, TargetStage};

use super::node;

/// An error in a received message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WireError {
    /// An identifier is malformed.
    Identifier,
    /// An enumeration value is missing or unknown to this version.
    Enumeration,
}

impl std::fmt::Display for WireError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::Identifier => f.write_str("malformed identifier in message"),
            Self::Enumeration => f.write_str("missing or unknown enumeration value in message"),
        }
    }
}

impl std::error::Error for WireError {}

/// Converts the report of a sidecar to the target and its status.
///
/// # Errors
///
/// Returns a [`WireError`] if the report is malformed.
pub fn status_from_report(
    report: &node::TargetReport,
) -> Result<(TargetId, TargetStatus), WireError> {
    let target = report
        .target
        .parse()
        .map_err(|_invalid| WireError::Identifier)?;
    let status = TargetStatus {
        kind: kind_from_wire(report.kind())?,
        in_flight: SlotCount::new(report.in_flight),
        limit: SlotCount::new(report.limit),
        stage: stage_from_wire(report.stage())?,
        start_mark: StartMark::new(report.start_mark),
        first_chunk_ms: report.first_chunk_ms,
        change: ChangeNumber::new(report.change),
    };
    Ok((target, status))
}

/// Creates the report that the sidecar of `target` sends.
#[must_use]
pub fn report_from_status(
    target: &TargetId,
    service: &ServiceId,
    status: &TargetStatus,
) -> node::TargetReport {
    node::TargetReport {
        target: target.to_string(),
        service: service.to_string(),
        in_flight: status.in_flight.get(),
        limit: status.limit.get(),
        stage: stage_to_wire(status.stage).into(),
        start_mark: status.start_mark.get(),
        first_chunk_ms: status.first_chunk_ms,
        change: status.change.get(),
        kind: kind_to_wire(status.kind).into(),
    }
}

/// Returns the name of a refusal code in logs and errors.
#[must_use]
pub const fn refusal_code_name(code: node::RefusalCode) -> &'static str {
    match code {
        node::RefusalCode::Unspecified => "unspecified",
        node::RefusalCode::GateFull => "gate_full",
        node::RefusalCode::Leaving => "leaving",
        node::RefusalCode::WrongTarget => "wrong_target",
        node::RefusalCode::Expired => "expired",
        node::RefusalCode::Invalid => "invalid",
        node::RefusalCode::TargetUnreachable => "target_unreachable",
        node::RefusalCode::NotAlone => "not_alone",
    }
}

/// Returns the name of a target stage in reports.
#[must_use]
pub const fn stage_name(stage: TargetStage) -> &'static str {
    match stage {
        TargetStage::Warming => "warming",
        TargetStage::Warm => "warm",
        TargetStage::Leaving => "leaving",
        TargetStage::Unreachable => "unreachable",
    }
}

/// Returns the name of a break code in logs and errors.
#[must_use]
pub const fn break_code_name(code: node::BreakCode) -> &'static str {
    match code {
        node::BreakCode::Unspecified => "unspecified",
        node::BreakCode::ConnectionLost => "connection_lost",
        node::BreakCode::TargetError => "target_error",
        node::BreakCode::Malformed => "malformed",
        node::BreakCode::Expired => "expired",
    }
}

const fn kind_from_wire(kind: node::ServiceKind) -> Result<ServiceKind, WireError> {
    match kind {
        node::ServiceKind::Model => Ok(ServiceKind::Model),
        node::ServiceKind::Plain => Ok(ServiceKind::Plain),
        node::ServiceKind::Unspecified => Err(WireError::Enumeration),
    }
}

const fn kind_to_wire(kind: ServiceKind) -> node::ServiceKind {
    match kind {
        ServiceKind::Model => node::ServiceKind::Model,
        ServiceKind::Plain => node::ServiceKind::Plain,
    }
}

const fn stage_from_wire(stage: node::TargetStage) -> Result<TargetStage, WireError> {
    match stage {
        node::TargetStage::Warming => Ok(TargetStage::Warming),
        node::TargetStage::Warm => Ok(TargetStage::Warm),
        node::TargetStage::Leaving => Ok(TargetStage::Leaving),
        node::TargetStage::Unreachable => Ok(TargetStage::Unreachable),
        node::TargetStage::Unspecified => Err(WireError::Enumeration),
    }
}

const fn stage_to_wire(stage: TargetStage) -> node::TargetStage {
    match stage {
        TargetStage::Warming => node::TargetStage::Warming,
        TargetStage::Warm => node::TargetStage::Warm,
        TargetStage::Leaving => node::TargetStage::Leaving,
        TargetStage::Unreachable => node::TargetStage::Unreachable,
    }
}
