//! The numbered log events, documented for operators in `docs/EVENTS.md`.

use amaranthgw_core::{
    AttemptNumber, ChangeNumber, ConfigVersion, DomainId, FencingNumber, GroupGeneration, GroupId,
    MapVersion, PartId, RankId, RequestId, RouteId, ServiceId, SlotCount, StartMark, StepNumber,
    StoreRevision, TargetId, VmId, WorkspaceId,
};
use compact_str::CompactString;

use super::EventLevel;
use super::catalogue::node_events;
use super::group_event::with_group_events;

with_group_events! { node_events
    /// The process started and accepts work.
    1001 Info ProcessStarted "process started" {
        /// Role of the process.
        role: CompactString,
        /// VM that the process runs on.
        vm: VmId,
        /// Failure domain of the VM.
        domain: DomainId,
        /// Address that the process serves on.
        address: CompactString,
    }
    /// The process was asked to stop and no longer accepts work.
    1002 Info ProcessStopping "process stopping" {
        /// Requests still in flight.
        in_flight: u32,
    }
    /// The process has finished or cut off all its work.
    1003 Info ProcessStopped "process stopped" {
        /// Requests cut off by the grace period.
        cut_off: u32,
    }
    /// A newer configuration came into force.
    1101 Info ConfigAdopted "configuration adopted" {
        /// Change now in force.
        change: ChangeNumber,
        /// Change in force before.
        previous: ChangeNumber,
    }
    /// A configuration value was unusable; the previous one stays in force.
    1102 Error ConfigUnusable "configuration unusable" {
        /// Change in force.
        change: ChangeNumber,
        /// Why the value was unusable.
        reason: CompactString,
    }
    /// The key-value service stopped responding.
    1103 Warning StoreUnavailable "key-value service unavailable" {
        /// Error of the last call.
        reason: CompactString,
    }
    /// The key-value service responds again.
    1104 Info StoreRecovered "key-value service recovered" {}
    /// The VM list stopped responding; the last list received stays in use.
    1105 Warning VmListUnavailable "VM list unavailable" {
        /// Error of the last call.
        reason: CompactString,
    }
    /// The VM list responds again.
    1106 Info VmListRecovered "VM list recovered" {}
    /// A connection could not be accepted. Logged for the first of consecutive failures only.
    1107 Warning AcceptFailed "connections not accepted" {
        /// Address of the listener.
        address: CompactString,
        /// Error of the accept call.
        reason: CompactString,
    }
    /// The key-value service has come back from an older copy of itself and has lost recent writes.
    1108 Warning StoreReturned "key-value service returned from an older copy" {
        /// Revision of the first listing after that, with its era.
        as_of: StoreRevision,
    }
    /// The entry published a new set of routes.
    1201 Debug RoutesPublished "routes published" {
        /// Change in force.
        change: ChangeNumber,
        /// Number of targets that accept new work.
        open_targets: u32,
        /// Number of all targets.
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
        /// Failure domain of the target.
        domain: DomainId,
        /// Requests that this entry has in flight at the target.
        own_in_flight: u32,
        /// Requests in flight at the target according to its last report.
        reported_in_flight: SlotCount,
        /// Limit of the target's gate according to its last report.
        limit: SlotCount,
    }
    /// A request was refused.
    1302 Info RequestRefused "request refused" {
        /// The request, if the caller named it.
        request: Option<RequestId>,
        /// The workspace, if the caller named it.
        workspace: Option<WorkspaceId>,
        /// Error code in the response.
        code: &'static str,
        /// Whether the request ran.
        outcome: &'static str,
    }
    /// An attempt ended without a complete response.
    1303 Info AttemptEnded "attempt ended" {
        /// The request.
        request: RequestId,
        /// The attempt.
        attempt: AttemptNumber,
        /// The target.
        target: TargetId,
        /// How the attempt ended.
        end: CompactString,
        /// What the entry does next, such as a retry.
        next: &'static str,
    }
    /// A request got its complete response.
    1304 Debug RequestFinished "request finished" {
        /// The request.
        request: RequestId,
        /// Target of the last attempt.
        target: TargetId,
        /// Number of attempts.
        attempts: u32,
        /// Number of chunks in the response.
        chunks: u64,
        /// Time from the request's arrival to the last chunk, in milliseconds.
        millis: u64,
        /// Whether the response was complete before the deadline.
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
        /// Requests in flight, including this one.
        in_flight: SlotCount,
        /// Limit of the gate.
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
        /// Refusal code.
        code: &'static str,
        /// Requests in flight.
        in_flight: SlotCount,
        /// Limit of the gate.
        limit: SlotCount,
    }
    /// An attempt failed after it was dispatched to the target.
    2003 Warning AttemptBroken "attempt broken" {
        /// The request.
        request: RequestId,
        /// The attempt.
        attempt: AttemptNumber,
        /// The target.
        target: TargetId,
        /// Break code.
        code: &'static str,
    }
    /// The concurrency limit of the gate changed.
    2101 Info GateShifted "gate limit changed" {
        /// The target.
        target: TargetId,
        /// Previous limit.
        from: SlotCount,
        /// New limit.
        to: SlotCount,
        /// Reason, with the inputs of the decision.
        reason: CompactString,
    }
    /// The target process restarted.
    2102 Warning TargetRestarted "target restarted" {
        /// The target.
        target: TargetId,
        /// Start mark of the new process.
        mark: StartMark,
    }
    /// The sidecar's target started or stopped accepting new work.
    2103 Info DrainShifted "drain state changed" {
        /// The target.
        target: TargetId,
        /// New drain state.
        state: &'static str,
        /// Cause of the change.
        reason: &'static str,
    }
    /// A newer operator configuration came into force at a gateway.
    3001 Info RoutesAdopted "configuration in force" {
        /// Version now in force.
        version: ConfigVersion,
        /// Version in force before.
        previous: ConfigVersion,
        /// Number of routes in the configuration.
        routes: u64,
        /// Number of rows that could not be decoded and were skipped.
        unusable_rows: u32,
        /// Whether requests need a key, except on public routes.
        requires_keys: bool,
        /// Where the configuration came from.
        source: &'static str,
    }
    /// The set of failure domains that operators have taken out of service changed.
    3002 Info DomainsOut "failure domains out" {
        /// Failure domains out of service, separated by commas.
        domains: CompactString,
        /// Where the set came from.
        source: &'static str,
    }
    /// The state that a gateway assumes for a target changed.
    3003 Info TargetShifted "target changed" {
        /// The target.
        target: TargetId,
        /// New assumed state.
        state: &'static str,
        /// Address of the target, if it is new; empty otherwise.
        address: CompactString,
        /// What told it: `store`, `peer`, `group` or, for the end of a wait, `tick`.
        source: &'static str,
    }
    /// Registry entries could not be decoded and were ignored.
    3004 Warning EntriesUnusable "registry entries unusable" {
        /// Number of entries.
        entries: u32,
        /// Error of the last such entry.
        reason: CompactString,
    }
    /// The process became ready for new connections, or stopped being ready.
    3005 Info ReadinessShifted "readiness changed" {
        /// Whether it is ready.
        ready: bool,
    }
    /// The settings file was reloaded.
    3006 Info SettingsReloaded "settings read again" {
        /// Effect of the reload, or the error.
        outcome: CompactString,
    }
    /// A rank group was suspected of being stalled, or the suspicion ended.
    3007 Info GroupShifted "rank group suspected" {
        /// The group.
        group: GroupId,
        /// `suspected`, `cleared` by an agent, or `untold` if no agent answered within the timeout.
        state: &'static str,
        /// Duration of the suspicion, in milliseconds.
        age_ms: u64,
    }
    /// The number of gateways that share the common limits changed.
    3008 Info GatewaysCounted "gateways counted" {
        /// Gateways known now, with this one.
        gateways: u32,
        /// Number before.
        previous: u32,
    }
    /// The registration of a gateway that is gone was removed from the key-value service.
    3009 Info GatewayRemoved "gateway registration removed" {
        /// VM of the gateway.
        vm: VmId,
    }
    /// The registry of targets could not be read; the last listing stays in use.
    3010 Warning RegistryUnavailable "registry unavailable" {
        /// Why the call failed.
        reason: CompactString,
        /// Age of the last listing, in milliseconds; `None` if there is none.
        age_ms: Option<u64>,
    }
    /// The registry of targets was read again.
    3011 Info RegistryRecovered "registry recovered" {
        /// Age of the previous listing, in milliseconds; `None` if there is none.
        age_ms: Option<u64>,
        /// Failed calls in between.
        failures: u32,
    }
    /// Requests with certain parts in their prompts are refused, as they crash targets.
    3012 Warning PartsRefused "requests that crash targets refused" {
        /// Parts of prompts, separated by commas, all of which a refused request has; or `request:` and
        /// the mark of a whole request.
        parts: CompactString,
        /// Workspace whose requests are refused; `None` for all.
        workspace: Option<WorkspaceId>,
        /// Crashes that the parts or the request explain.
        crashes: u32,
        /// Time until one such request is tried again, in milliseconds.
        trial_ms: u64,
    }
    /// Requests that were refused for crashes of targets may run again.
    3013 Info PartsReleased "requests that crashed targets released" {
        /// The parts or the request, as in `3012`.
        parts: CompactString,
    }
    /// One refused request may run, to find out whether such requests still crash targets.
    3014 Info TrialOpened "trial of refused requests" {
        /// The parts or the request, as in `3012`.
        parts: CompactString,
        /// Crashes so far.
        crashes: u32,
    }
    /// The reply of an agent to a query for its group was not used.
    3015 Warning GroupReportRefused "group report refused" {
        /// Address of the agent.
        address: CompactString,
        /// Why it was refused.
        reason: CompactString,
    }
    /// A peer's demand report, or its answer to one, was refused; nothing of it was applied.
    3016 Warning DemandRefused "demand report refused" {
        /// VM of the peer, as it named itself.
        vm: VmId,
        /// Reason for the refusal.
        reason: &'static str,
    }
    /// This gateway's share of the room of a contested service grew or shrank by half.
    3017 Info RoomShifted "share of room changed" {
        /// The service.
        service: ServiceId,
        /// Fraction of its room that this gateway may use while requests wait.
        share: CompactString,
        /// Fraction at the last line.
        previous: CompactString,
        /// Gateways that share the room.
        gateways: u32,
    }
    /// A connection was closed as its caller did not take what was written to it.
    3018 Info CallerCut "slow caller cut off" {
        /// Address of the caller.
        caller: CompactString,
        /// `evicted`, as others needed the memory, or `timed_out`.
        reason: &'static str,
    }
    /// A watch of the operators' keys returned no change that another connection to the key-value service
    /// returned; it is begun anew.
    3019 Warning WatchSilent "watch silent" {
        /// Revision after which the watch began.
        after: StoreRevision,
        /// Revision up to which the changes are known now.
        as_of: StoreRevision,
    }
    /// A request was refused before it was sent to any target.
    3101 Info CallRefused "call refused" {
        /// The request.
        request: CompactString,
        /// Route of the request, if one matched.
        route: CompactString,
        /// Reason for the refusal.
        reason: &'static str,
        /// HTTP status of the response.
        status: u16,
        /// Configuration version that the decision was based on.
        version: ConfigVersion,
        /// Time since the request arrived, in milliseconds.
        age_ms: u64,
    }
    /// An attempt to send a request to a target ended.
    3102 Info CallAttempted "call attempted" {
        /// The request.
        request: CompactString,
        /// The target.
        target: TargetId,
        /// Number of the attempt, from 1.
        send: u32,
        /// Outcome of the attempt.
        outcome: &'static str,
        /// Status or error; for an interrupted stream, the last complete event.
        detail: CompactString,
        /// Age of the request when the target was chosen, in milliseconds.
        chosen_ms: u64,
        /// Time from the choice until a connection was open, in milliseconds; `None` if none was.
        connected_ms: Option<u64>,
        /// Whether the target was taken for `cold`, `maybe_cold` or `warm`.
        warmth: &'static str,
        /// Revision of the registry entry of the target.
        entry: StoreRevision,
        /// Time since that revision was first read, in milliseconds.
        entry_age_ms: u64,
        /// Time since the registry last listed the target, in milliseconds.
        listed_ms: u64,
        /// Gateways that the shares of common limits were divided by.
        gateways: u32,
        /// Time since the load of the target was read, in milliseconds; `None` if it is unknown.
        load_ms: Option<u64>,
        /// Expected time from the choice until the target begins the request, in milliseconds; `None` if it
        /// is unknown.
        begin_ms: Option<u64>,
        /// Expected time for which the request has a slot, in milliseconds; 0 if it is unknown.
        slot_ms: u64,
        /// Reading time that held parts of its prompt are expected to save at the target, in milliseconds.
        saved_ms: u64,
        /// Time since the request arrived, in milliseconds.
        age_ms: u64,
    }
    /// A request ended.
    3103 Info CallEnded "call ended" {
        /// The request.
        request: CompactString,
        /// Route of the request.
        route: RouteId,
        /// Workspace of the caller.
        workspace: Option<WorkspaceId>,
        /// Rank of the request: its priority and, after a point, that of its route.
        rank: CompactString,
        /// Outcome of the request.
        outcome: &'static str,
        /// HTTP status of the response.
        status: u16,
        /// Number of attempts sent.
        sends: u32,
        /// Time since the request arrived, in milliseconds.
        age_ms: u64,
        /// Version of the configuration in force.
        version: ConfigVersion,
    }
    /// A target broke off a request whose prompt has shared parts before it began to write.
    3104 Info CallBrokenOff "call broken off" {
        /// The request.
        request: CompactString,
        /// The target.
        target: TargetId,
        /// Workspace of the caller.
        workspace: Option<WorkspaceId>,
        /// Parts of its prompt that other requests may share, separated by commas.
        parts: CompactString,
        /// Mark of the whole request: its caller, method, path and body.
        mark: PartId,
        /// Whether the target had begun to write the answer.
        has_begun: bool,
        /// Whether the target can't be connected to any more, so that it probably crashed.
        is_down: bool,
    }
    /// The retry budget of a service granted or refused a repeat of a request.
    3105 Info RetryDecided "retry decided" {
        /// The request.
        request: CompactString,
        /// The service.
        service: ServiceId,
        /// Whether the repeat was granted.
        granted: bool,
        /// Requests of the service that the budget counted in its window.
        requests: u32,
        /// Repeats that it had granted in its window.
        retries: u32,
        /// Repeats that it allowed.
        allowed: f64,
        /// Gateways that the shares of common limits were divided by.
        gateways: u32,
    }
    /// A target that has a request is silent or its rank group has stalled, with what becomes of the attempt.
    3106 Info TargetDoubted "target doubted" {
        /// The request.
        request: CompactString,
        /// The target.
        target: TargetId,
        /// Whether another target is sought (`search`) or the request waits on (`stay`).
        decision: &'static str,
        /// Cause of the decision.
        cause: &'static str,
        /// Time since the request was sent to the target, or since its last event, in milliseconds.
        silent_ms: u64,
        /// Whether the target has sent events.
        has_begun: bool,
        /// Whether the target reported that it is full.
        is_full: bool,
        /// Sends that targets have run or may have run, with this one.
        runs: u32,
        /// Sends to targets.
        sends: u32,
        /// Time until the deadline of the request, in milliseconds.
        left_ms: u64,
    }
    /// A request waited for a place or a target, or was refused one.
    3110 Info CallWaited "call waited" {
        /// The request.
        request: CompactString,
        /// The service.
        service: ServiceId,
        /// Its urgency and, after a point, that of its route.
        rank: CompactString,
        /// Whether it waited for a `place` or a `target`.
        cause: &'static str,
        /// How the wait ended.
        outcome: &'static str,
        /// Waiters that were at least as urgent when it began.
        ahead: u64,
        /// Requests that were admitted during the wait.
        passed: u64,
        /// Requests in flight when it began.
        in_flight: u32,
        /// Limit on them then; none while the targets were not congested.
        limit: Option<u32>,
        /// Length of the wait, in milliseconds.
        waited_ms: u64,
        /// Time left until its deadline, in milliseconds.
        left_ms: u64,
        /// Time since the request arrived, in milliseconds.
        age_ms: u64,
    }
}
