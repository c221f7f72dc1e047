//! Client of the rank on this VM, and the last query of its coordinator.

use std::net::SocketAddr;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use amaranthgw_fleet::gateway::GroupStatus;
use amaranthgw_groups::rebalance::{CoordinatorMark, OrderReply, RankView};
use amaranthgw_platform::rank::RankClient;
use tokio::time::Instant;

use super::experts::ExpertCache;
use super::link::{ForwardedOrder, LOCAL_RANK_TIMEOUT, ORDER_TIMEOUT};
use super::{AgentError, Result};
use crate::telemetry::{EventLog, NodeEvent};

/// The last query of a coordinator.
#[derive(Clone, Debug)]
struct CoordinatorQuery {
    queried_at: Instant,
    mark: Option<CoordinatorMark>,
    slow: Vec<SocketAddr>,
}

/// Age at which the coordinator's list of slow ranks is dropped: a few of its poll intervals.
const SLOW_RANKS_MAX_AGE: Duration = Duration::from_millis(1_500);

/// The rank on this VM, with its cached experts and the last query of its coordinator.
#[derive(Debug)]
pub(super) struct LocalRank {
    client: RankClient,
    experts: ExpertCache,
    last_query: Mutex<Option<CoordinatorQuery>>,
    log: EventLog,
}

impl LocalRank {
    /// Creates the client for the rank at `address`; opens no connection yet.
    pub(super) fn new(address: SocketAddr, log: EventLog) -> Self {
        Self {
            client: RankClient::new(address),
            experts: ExpertCache::default(),
            last_query: Mutex::default(),
            log,
        }
    }

    /// Reads the state of the rank with its experts and, if `with_counts`, its expert counts.
    pub(super) async fn read(&self, with_counts: bool) -> Result<RankView> {
        let mut view = self.report().await?;
        if with_counts {
            let counts = self
                .client
                .counts(view.generation, LOCAL_RANK_TIMEOUT)
                .await?;
            view.counts = counts.unwrap_or_default();
        }
        self.experts.fill(&self.client, &mut view).await?;
        Ok(view)
    }

    async fn report(&self) -> Result<RankView> {
        let report = self.client.report(LOCAL_RANK_TIMEOUT).await?;
        report.ok_or(AgentError::NoGroup)
    }

    /// Reads the state of the rank's group.
    pub(super) async fn group_status(&self) -> Result<GroupStatus> {
        let view = self.report().await?;
        Ok(GroupStatus {
            group: view.group,
            generation: view.generation,
            is_open: view.is_open,
            step: view.step,
            slow: self.slow_ranks(),
        })
    }

    /// Forwards an order to the rank and logs the reply.
    pub(super) async fn forward_order(&self, forwarded: ForwardedOrder) -> OrderReply {
        let ForwardedOrder {
            order,
            fence,
            generation,
        } = forwarded;
        let reply = self
            .client
            .order(&order, fence, generation, ORDER_TIMEOUT)
            .await;
        self.log.record(NodeEvent::OrderPassed {
            order: order.name(),
            fence,
            generation,
            reply: reply.name(),
        });
        reply
    }

    /// Slow ranks of the group, from the coordinator's last query; none once that is too old.
    fn slow_ranks(&self) -> Vec<SocketAddr> {
        let last_query = self.last_query().clone();
        let is_recent = |query: &CoordinatorQuery| query.queried_at.elapsed() < SLOW_RANKS_MAX_AGE;
        last_query
            .filter(is_recent)
            .map_or_else(Vec::new, |query| query.slow)
    }

    /// Records a coordinator's query for the state of the rank.
    pub(super) fn record_query(&self, mark: Option<CoordinatorMark>, slow: Vec<SocketAddr>) {
        *self.last_query() = Some(CoordinatorQuery {
            queried_at: Instant::now(),
            mark,
            slow,
        });
    }

    /// Time of the last query from a coordinator.
    pub(super) fn queried_at(&self) -> Option<Instant> {
        self.last_query().as_ref().map(|query| query.queried_at)
    }

    /// The coordinator that sent the last query.
    pub(super) fn coordinator(&self) -> Option<CoordinatorMark> {
        self.last_query().as_ref().and_then(|query| query.mark)
    }

    fn last_query(&self) -> MutexGuard<'_, Option<CoordinatorQuery>> {
        self.last_query
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}
