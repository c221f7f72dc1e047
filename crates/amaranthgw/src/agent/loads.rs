//! Loads of a group's ranks on their way from agent to agent.
//!
//! The coordinator gathers them with the state of the ranks and passes them on with its next query, so that
//! any agent of the group can tell a gateway all of them. At 20 bytes a rank, a query to a group of
//! 64 ranks grows by 1.3 kB, and what an agent sends at most, to its eight branches, by 51 kB/s.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use amaranthgw_core::MilliSpan;
use amaranthgw_fleet::gateway::{LoadError, RankLoad, RankLoadReport};
use tokio::time::Instant;

/// Least time between two queries that pass the loads on.
const SHARE_INTERVAL: Duration = Duration::from_millis(190);
/// Age from which a load is not told any more; gateways don't use older ones.
const MAX_AGE: Duration = Duration::from_secs(1);

/// Loads that a coordinator has gathered.
#[derive(Debug, Default)]
pub(super) struct GatheredLoads {
    loads: HashMap<SocketAddr, (RankLoad, Instant)>,
    shared_at: Option<Instant>,
}

impl GatheredLoads {
    /// Records the load of `rank` that its agent read at `read_at`.
    pub(super) fn record(&mut self, rank: SocketAddr, load: Option<RankLoad>, read_at: Instant) {
        if let Some(load) = load {
            self.loads.insert(rank, (load, read_at));
        }
    }

    /// Loads to pass on with a query at `now`; empty if they were passed on lately.
    pub(super) fn share(&mut self, now: Instant) -> Vec<RankLoadReport> {
        let is_early = |at: Instant| now.saturating_duration_since(at) < SHARE_INTERVAL;
        if self.shared_at.is_some_and(is_early) {
            return Vec::new();
        }
        self.shared_at = Some(now);
        self.loads
            .retain(|_, (_, read_at)| now.saturating_duration_since(*read_at) <= MAX_AGE);
        let report =
            |(rank, (load, read_at)): (&SocketAddr, &(RankLoad, Instant))| RankLoadReport {
                rank: *rank,
                load: *load,
                age: span(now.saturating_duration_since(*read_at)),
            };
        self.loads.iter().map(report).collect()
    }
}

/// Loads that the coordinator told an agent last.
#[derive(Debug, Default)]
pub(super) struct ToldLoads {
    loads: Vec<RankLoadReport>,
    is_refusing: bool,
    told_at: Option<Instant>,
}

impl ToldLoads {
    /// Adopts the loads of a query that arrived at `now`, if it has any. Returns why they are refused if
    /// those before were not.
    pub(super) fn adopt(&mut self, loads: &[RankLoadReport], now: Instant) -> Option<LoadError> {
        if loads.is_empty() {
            return None;
        }
        let refused = RankLoadReport::check_all(loads).err();
        let was_refusing = std::mem::replace(&mut self.is_refusing, refused.is_some());
        if refused.is_none() {
            self.loads = loads.to_vec();
            self.told_at = Some(now);
        }
        refused.filter(|_| !was_refusing)
    }

    /// The loads with their ages at `now`, without those that are too old.
    pub(super) fn reports(&self, now: Instant) -> Vec<RankLoadReport> {
        let Some(told_at) = self.told_at else {
            return Vec::new();
        };
        let since = now.saturating_duration_since(told_at);
        let aged = self.loads.iter().map(|report| RankLoadReport {
            age: span(report.age.duration().saturating_add(since)),
            ..*report
        });
        aged.filter(|it| it.age.duration() <= MAX_AGE).collect()
    }
}

fn span(time: Duration) -> MilliSpan {
    MilliSpan::new(u64::try_from(time.as_millis()).unwrap_or(u64::MAX))
}
