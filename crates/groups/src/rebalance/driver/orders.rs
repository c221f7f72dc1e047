//! Orders of each phase, and which of them wait for others.

use std::sync::Arc;
use std::time::Duration;

use amaranthgw_core::{MapVersion, RankId};

use super::super::RankOrder;
use super::row::RankRow;
use super::{SwitchDriver, SwitchPhase};

/// Added to the highest known version to get a version that no rank can be armed with, for orders
/// that are sent only for their fencing token.
const UNUSED_VERSION_OFFSET: u64 = 1_000_000;

impl SwitchDriver {
    pub(super) fn order_for(&self, rank: RankId) -> Option<RankOrder> {
        match &self.phase {
            SwitchPhase::Idle | SwitchPhase::Settling { .. } => None,
            SwitchPhase::Preparing {
                version, placement, ..
            } => Some(RankOrder::Prepare {
                version: *version,
                map: Arc::clone(placement),
            }),
            SwitchPhase::Holding { armed, held_rank } => {
                (rank == *held_rank).then_some(RankOrder::Hold { step: armed.step })
            }
            SwitchPhase::Arming { armed, held_rank } => {
                // The agent of the held rank follows if this coordinator falls silent. While that rank is
                // unarmed, it knows that the local rank is, too.
                let may_arm = if rank == self.local_rank {
                    self.others_done()
                } else {
                    rank != *held_rank || self.others_done_except(*held_rank)
                };
                may_arm.then_some(RankOrder::Arm(*armed))
            }
            SwitchPhase::Releasing { armed, held_rank } => {
                (rank == *held_rank).then_some(RankOrder::Go { step: armed.step })
            }
            SwitchPhase::Fencing => Some(RankOrder::Disarm {
                version: self.unused_version(),
            }),
            SwitchPhase::Clearing { .. } => {
                let may_disarm = rank == self.local_rank || self.may_disarm_others();
                may_disarm.then(|| RankOrder::Disarm {
                    version: self.disarmed_version(rank),
                })
            }
            SwitchPhase::ReleasingUnarmed { held } => {
                held.get(&rank).map(|step| RankOrder::Go { step: *step })
            }
        }
    }

    /// Whether no other coordinator takes an unarmed rank as a sign that the local rank is unarmed, or it
    /// is.
    fn may_disarm_others(&self) -> bool {
        // Their agents hold the mark that they were told last.
        let is_told = |row: &RankRow| {
            row.is_viewed_after(self.phase_since) && row.max_age() == Duration::ZERO
        };
        self.fenced_generation.is_none()
            || self.is_done(self.local_rank)
            || self.others().all(is_told)
    }

    /// Version that the rank is armed with or, if it is not armed, that a late order could arm.
    fn disarmed_version(&self, rank: RankId) -> MapVersion {
        let view = self.ranks.get(&rank).map(|row| &row.view);
        let armed = view.and_then(|view| view.armed).map(|armed| armed.version);
        let prepared = view.and_then(|view| view.prepared);
        armed.or(prepared).unwrap_or(self.last_version.next())
    }

    /// A version that no rank has or is about to have.
    fn unused_version(&self) -> MapVersion {
        let known = self.known_version().get();
        MapVersion::new(known.saturating_add(UNUSED_VERSION_OFFSET))
    }
}
