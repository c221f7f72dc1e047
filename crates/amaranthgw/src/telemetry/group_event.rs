//! The numbered events of rank groups.

/// Calls the macro `$declare` with the given events and, after them, those of rank groups.
macro_rules! with_group_events {
    ($declare:ident $($others:tt)*) => {
        $declare! {
            $($others)*
            /// An agent acquired the lease of its group and became its coordinator.
            3201 Info LeaseWon "lease won" {
                /// The group.
                group: GroupId,
                /// Local rank of the agent.
                rank: RankId,
                /// Fencing token of the lease.
                fence: FencingNumber,
                /// VM of the silent coordinator whose lease was ended for it; empty if the lease was free.
                taken_from: CompactString,
            }
            /// An agent lost the lease and stopped being the coordinator of its group.
            3202 Warning LeaseLost "lease lost" {
                /// The group.
                group: GroupId,
                /// Fencing token of the lost lease.
                fence: FencingNumber,
                /// Cause of the loss.
                cause: &'static str,
            }
            /// An agent could not attempt to acquire the lease.
            3203 Warning LeaseFailed "lease not available" {
                /// The group.
                group: GroupId,
                /// Error of the attempt.
                reason: CompactString,
            }
            /// A better expert placement was found.
            3204 Info PlacementPlanned "placement planned" {
                /// The group.
                group: GroupId,
                /// Version of the expert map in use.
                version: MapVersion,
                /// Number of experts to copy.
                copies: u64,
                /// Largest number of experts to copy at one rank.
                most_copies: u64,
                /// Largest rank load now, in percent of the mean.
                before_percent: u64,
                /// Largest rank load after the change, in percent of the mean.
                after_percent: u64,
            }
            /// A map switch entered its next phase.
            3205 Info SwitchShifted "map switch" {
                /// The group.
                group: GroupId,
                /// Phase entered.
                phase: &'static str,
                /// Version of the expert map concerned; 0 if there is none.
                version: MapVersion,
                /// Step at which the map changes; 0 if there is none.
                step: StepNumber,
                /// Cause of the phase change.
                cause: &'static str,
            }
            /// An agent forwarded an order to its rank.
            3206 Info OrderPassed "order passed on" {
                /// The order.
                order: &'static str,
                /// Fencing token sent with the order.
                fence: FencingNumber,
                /// Group generation in which the order is valid.
                generation: GroupGeneration,
                /// Reply of the rank.
                reply: &'static str,
            }
            /// A rank stopped answering its coordinator, or answers again.
            3207 Warning RankShifted "rank reachability changed" {
                /// The group.
                group: GroupId,
                /// Address of the rank.
                address: CompactString,
                /// New reachability state.
                state: &'static str,
                /// Why the rank is considered unreachable.
                reason: CompactString,
            }
            /// A map switch ended, with the time that each part of it took.
            3208 Info SwitchEnded "map switch ended" {
                /// The group.
                group: GroupId,
                /// Version of the new expert map.
                version: MapVersion,
                /// Why it ended; `switched` if the new map is in use.
                cause: &'static str,
                /// Time from the plan to the end, in milliseconds.
                total_ms: u64,
                /// Time in which the ranks copied weights, in milliseconds.
                preparing_ms: u64,
                /// Time from the order to hold a rank to its release, in milliseconds.
                held_ms: u64,
                /// Time from the release until all ranks used the map, in milliseconds.
                settling_ms: u64,
            }
            /// An agent refused a message of another agent.
            3209 Warning RelayRefused "message between agents refused" {
                /// Why it could not be decoded.
                reason: CompactString,
            }
        }
    };
}

pub(super) use with_group_events;
