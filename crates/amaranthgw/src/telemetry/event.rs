//! The numbered events; `docs/EVENTS.md` is their catalogue.

use amaranthgw_core::{
    AttemptNumber, ChangeNumber, DomainId, RequestId, ServiceId, SlotCount, StartMark, TargetId,
    VmId, WorkspaceId,
};
use compact_str::CompactString;

use super::catalogue::node_events;

/// Level of an event.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EventLevel {
    /// Part of the explanation of one request; journal only unless debug logs are on.
    Debug,
    /// Normal operation.
    Info,
    /// Something an operator may have to look at.
    Warning,
    /// A promise is in danger or the process can't go on.
    Error,
}

node_events! {
    /// The process serves.
    1001 Info ProcessStarted "process started" {
        /// Role of the process.
        role: CompactString,
        /// Its VM.
        vm: VmId,
        /// Its failure domain.
        domain: DomainId,
        /// Address it serves on.
        address: CompactString,
    }
    /// The process was asked to stop and takes no new work.
    1002 Info ProcessStopping "process stopping" {
        /// Requests still in flight.
        in_flight: u32,
    }
    /// The process has ended all its work.
    1003 Info ProcessStopped "process stopped" {
        /// Requests cut off by the grace period.
        cut_off: u32,
    }
    /// A newer configuration is in force.
    1101 Info ConfigAdopted "configuration adopted" {
        /// Change now in force.
        change: ChangeNumber,
        /// Change in force before.
        previous: ChangeNumber,
    }
    /// A configuration value could not be used; the last one stays in force.
    1102 Error ConfigUnusable "configuration unusable" {
        /// Change in force.
        change: ChangeNumber,
        /// Why the value could not be used.
        reason: CompactString,
    }
    /// The key-value service stopped answering.
    1103 Warning StoreUnavailable "key-value service unavailable" {
        /// Failure of the last call.
        reason: CompactString,
    }
    /// The key-value service answers again.
    1104 Info StoreRecovered "key-value service recovered" {}
    /// The VM list stopped answering; its last answer stays in use.
    1105 Warning VmListUnavailable "VM list unavailable" {
        /// Failure of the last call.
        reason: CompactString,
    }
    /// The VM list answers again.
    1106 Info VmListRecovered "VM list recovered" {}
    /// The routes of the entry changed.
    1201 Debug RoutesPublished "routes published" {
        /// Change in force.
        change: ChangeNumber,
        /// Targets that accept new work.
        open_targets: u32,
        /// All targets.
        targets: u32,
    }
    /// A target was chosen for an attempt.
    1301 Debug RequestRouted "request routed" {
        /// The request.
        request: RequestId,
        /// The attempt.
        attempt: AttemptNumber,
        /// The service.
        service: ServiceId,
        /// The chosen target.
        target: TargetId,
        /// Its failure domain.
        domain: DomainId,
        /// This entry's requests in flight there.
        own_in_flight: u32,
        /// Requests in flight there by its last report.
        reported_in_flight: SlotCount,
        /// Its gate's limit by its last report.
        limit: SlotCount,
    }
    /// A request was refused.
    1302 Info RequestRefused "request refused" {
        /// The request, where it was named.
        request: Option<RequestId>,
        /// The workspace, where it was named.
        workspace: Option<WorkspaceId>,
        /// Error code in the answer.
        code: &'static str,
        /// Whether the request ran.
        outcome: &'static str,
    }
    /// An attempt ended without a whole answer.
    1303 Info AttemptEnded "attempt ended" {
        /// The request.
        request: RequestId,
        /// The attempt.
        attempt: AttemptNumber,
        /// The target.
        target: TargetId,
        /// How it ended.
        end: CompactString,
        /// What the entry does next.
        next: &'static str,
    }
    /// A request was answered in full.
    1304 Debug RequestFinished "request finished" {
        /// The request.
        request: RequestId,
        /// Target of the last attempt.
        target: TargetId,
        /// Number of attempts.
        attempts: u32,
        /// Chunks in the answer.
        chunks: u64,
        /// Time from arrival to the last chunk, in milliseconds.
        millis: u64,
        /// Whether the answer was whole within its deadline.
        on_time: bool,
    }
    /// The gate admitted an attempt.
    2001 Debug AttemptAdmitted "attempt admitted" {
        /// The request.
        request: RequestId,
        /// The attempt.
        attempt: AttemptNumber,
        /// The target.
        target: TargetId,
        /// Requests in flight with this one.
        in_flight: SlotCount,
        /// The gate's limit.
        limit: SlotCount,
    }
    /// The sidecar refused an attempt; nothing reached the target.
    2002 Debug AttemptRefused "attempt refused" {
        /// The request.
        request: RequestId,
        /// The attempt.
        attempt: AttemptNumber,
        /// The target.
        target: TargetId,
        /// Why.
        code: &'static str,
        /// Requests in flight.
        in_flight: SlotCount,
        /// The gate's limit.
        limit: SlotCount,
    }
    /// An attempt broke after its hand-over to the target.
    2003 Warning AttemptBroken "attempt broken" {
        /// The request.
        request: RequestId,
        /// The attempt.
        attempt: AttemptNumber,
        /// The target.
        target: TargetId,
        /// How.
        code: &'static str,
    }
    /// The limit of the gate changed.
    2101 Info GateShifted "gate limit changed" {
        /// The target.
        target: TargetId,
        /// Limit before.
        from: SlotCount,
        /// Limit now.
        to: SlotCount,
        /// Why, with the inputs of the decision.
        reason: CompactString,
    }
    /// The target process has started again.
    2102 Warning TargetRestarted "target restarted" {
        /// The target.
        target: TargetId,
        /// Mark of the start.
        mark: StartMark,
    }
    /// The sidecar's target takes new work or stops doing so.
    2103 Info DrainShifted "drain state changed" {
        /// The target.
        target: TargetId,
        /// The new state.
        state: &'static str,
        /// Why.
        reason: &'static str,
    }
}
