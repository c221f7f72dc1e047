//! Waiters of one rank, in fair shares between workspaces.

use std::collections::{BTreeMap, BTreeSet};

use amaranthgw_core::{WaiterNumber, WorkspaceId};
use tokio::time::Instant;

use super::room::WaiterRow;

/// Grants after which one goes to a waiter that is late already, if there is one.
const LATE_GRANT_INTERVAL: u32 = 8;
/// Workspaces without waiters whose shares are remembered.
const MAX_IDLE_SHARES: usize = 64;

/// Waiters of one workspace.
#[derive(Debug, Default)]
struct WorkspaceShare {
    /// Grants that the workspace has had, counted from the lane's `served` when it was idle.
    served: u64,
    /// Waiters that were refused before and came back.
    returned: BTreeSet<WaiterNumber>,
    by_begin: BTreeSet<(Instant, WaiterNumber)>,
}

/// Which of the waiters of a workspace goes first.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum WaiterClass {
    InTime,
    Late,
}

impl WorkspaceShare {
    fn len(&self) -> usize {
        self.returned.len() + self.by_begin.len()
    }

    fn insert(&mut self, number: WaiterNumber, row: &WaiterRow) {
        if row.is_returned {
            self.returned.insert(number);
        } else {
            self.by_begin.insert((row.begin_by, number));
        }
    }

    fn remove(&mut self, number: WaiterNumber, row: &WaiterRow) {
        if row.is_returned {
            self.returned.remove(&number);
        } else {
            self.by_begin.remove(&(row.begin_by, number));
        }
    }

    fn first(&self, class: WaiterClass, now: Instant) -> Option<WaiterNumber> {
        let split = (now, WaiterNumber::default());
        match class {
            WaiterClass::InTime => {
                let returned = self.returned.first().copied();
                let first = || self.by_begin.range(split..).next();
                returned.or_else(|| first().map(|(_at, number)| *number))
            }
            WaiterClass::Late => {
                let first = self.by_begin.first().filter(|(at, _number)| *at < now)?;
                Some(first.1)
            }
        }
    }

    /// The waiter that loses least by being refused: the one with most time to come back.
    fn last(&self) -> Option<WaiterNumber> {
        let last = self.by_begin.last().map(|(_at, number)| *number);
        last.or_else(|| self.returned.last().copied())
    }
}

/// Waiters of one rank.
#[derive(Debug, Default)]
pub(super) struct RankLane {
    shares: BTreeMap<Option<WorkspaceId>, WorkspaceShare>,
    waiting: usize,
    /// Least number of grants of the workspaces that have waiters.
    served: u64,
    /// Grants to waiters in time since the last one to a late one.
    late_passed: u32,
    /// Grants to more urgent requests since the last one here.
    pub(super) passed: u32,
}

impl RankLane {
    pub(super) const fn len(&self) -> usize {
        self.waiting
    }

    /// Number of waiters that were refused before.
    pub(super) fn returned(&self) -> usize {
        let shares = self.shares.values();
        shares.map(|share| share.returned.len()).sum()
    }

    pub(super) fn insert(&mut self, number: WaiterNumber, row: &WaiterRow) {
        let served = self.served;
        let share = self.shares.entry(row.workspace.clone()).or_default();
        if share.len() == 0 {
            // Idle time earns nothing.
            share.served = share.served.max(served);
        }
        share.insert(number, row);
        self.waiting += 1;
    }

    pub(super) fn remove(&mut self, number: WaiterNumber, row: &WaiterRow) {
        if let Some(share) = self.shares.get_mut(&row.workspace) {
            let before = share.len();
            share.remove(number, row);
            self.waiting -= before - share.len();
        }
        self.forget_idle();
    }

    /// The waiter to admit next; counts a grant to its workspace.
    pub(super) fn next(&mut self, now: Instant) -> Option<WaiterNumber> {
        let late = self.least_served(WaiterClass::Late, now);
        let in_time = self.least_served(WaiterClass::InTime, now);
        let is_late_due = self.late_passed >= LATE_GRANT_INTERVAL;
        let chosen = match (in_time, late) {
            (Some(_), Some(late)) if is_late_due => {
                self.late_passed = 0;
                late
            }
            (Some(in_time), late) => {
                self.late_passed += u32::from(late.is_some());
                in_time
            }
            (None, late) => late?,
        };
        self.passed = 0;
        let (workspace, number) = chosen;
        if let Some(share) = self.shares.get_mut(&workspace) {
            self.served = self.served.max(share.served);
            share.served += 1;
        }
        Some(number)
    }

    /// The waiter that is displaced first, of the workspace with most waiters.
    pub(super) fn last(&self) -> Option<WaiterNumber> {
        let longest = self.shares.values().max_by_key(|share| share.len())?;
        longest.last()
    }

    fn least_served(
        &self,
        class: WaiterClass,
        now: Instant,
    ) -> Option<(Option<WorkspaceId>, WaiterNumber)> {
        let first = |(workspace, share): (_, &WorkspaceShare)| {
            share
                .first(class, now)
                .map(|number| (share.served, number, workspace))
        };
        let least = self
            .shares
            .iter()
            .filter_map(first)
            .min_by_key(|(served, number, _workspace)| (*served, *number))?;
        Some((least.2.clone(), least.1))
    }

    fn forget_idle(&mut self) {
        if self.waiting == 0 {
            self.passed = 0;
            self.late_passed = 0;
        }
        if self.shares.len() > self.waiting + MAX_IDLE_SHARES {
            let served = self.served;
            self.shares
                .retain(|_, share| share.len() > 0 || share.served > served);
        }
        if self.shares.len() > self.waiting + 2 * MAX_IDLE_SHARES {
            self.shares.retain(|_, share| share.len() > 0);
        }
    }
}
