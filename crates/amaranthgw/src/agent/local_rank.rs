//! Client of the rank on this VM, and the last query of its coordinator.

use std::net::SocketAddr;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use amaranthgw_core::MilliSpan;
use amaranthgw_fleet::gateway::{GroupStatus, RankLoad, RankLoadReport};
use amaranthgw_groups::rebalance::{
    BaseError, CoordinatorMark, MapHistory, OrderReply, RankView, SelectionCounter, SelectionSample,
};
use amaranthgw_platform::rank::{RankClient, RankReport};
use compact_str::ToCompactString;
use tokio::time::Instant;

use super::experts::ExpertCache;
use super::link::{LOCAL_RANK_TIMEOUT, ORDER_TIMEOUT, RankReading};
use super::loads::ToldLoads;
use super::message::{ForwardedOrder, GroupCall, MemberReply, ViewQuery};
use super::{AgentError, Result};
use crate::telemetry::{EventLog, NodeEvent};

/// The last query of a coordinator.
#[derive(Clone, Debug)]
struct CoordinatorQuery {
    queried_at: Instant,
    mark: CoordinatorMark,
    /// Whether it stands for the term of this agent.
    is_own: bool,
    slow: Vec<SocketAddr>,
}

/// Time after the last query for which those of earlier coordinators are refused.
const LATE_QUERY_TIME: Duration = Duration::from_secs(5);
/// Age at which the coordinator's list of slow ranks is dropped: a few of its poll intervals.
const SLOW_RANKS_MAX_AGE: Duration = Duration::from_millis(1_500);

/// The rank on this VM, with its cached experts and the last query of its coordinator.
#[derive(Debug)]
pub(super) struct LocalRank {
    address: SocketAddr,
    client: RankClient,
    experts: ExpertCache,
    maps: MapHistory,
    selections: Mutex<SelectionCounter>,
    last_query: Mutex<Option<CoordinatorQuery>>,
    told: Mutex<ToldLoads>,
    log: EventLog,
}

impl LocalRank {
    /// Creates the client for the rank at `address`; opens no connection yet.
    pub(super) fn new(address: SocketAddr, log: EventLog) -> Self {
        Self {
            address,
            client: RankClient::new(address),
            experts: ExpertCache::default(),
            maps: MapHistory::default(),
            selections: Mutex::default(),
            last_query: Mutex::default(),
            told: Mutex::default(),
            log,
        }
    }

    /// Address of the rank.
    pub(super) const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Answers a call for this rank alone.
    pub(super) async fn answer(&self, call: &GroupCall) -> (MemberReply, Option<SelectionSample>) {
        match call {
            GroupCall::View(query) => match self.read(query).await {
                Ok(reading) => {
                    if reading.view.group == query.group && !self.record_query(query) {
                        return (MemberReply::Superseded, None);
                    }
                    let load = reading.load.unwrap_or_default();
                    let view = MemberReply::View(Box::new(reading.view), load);
                    (view, reading.selections)
                }
                Err(_unavailable) => (MemberReply::Unavailable, None),
            },
            GroupCall::Order(order) => (self.forward_order(order.clone()).await, None),
        }
    }

    /// Reads the state of the rank, with what the query asks for.
    pub(super) async fn read(&self, query: &ViewQuery) -> Result<RankReading> {
        let requested_at = Instant::now();
        let RankReport { mut view, load } = self.report().await?;
        let selections = if query.with_selections {
            self.read_selections(&view).await
        } else {
            None
        };
        if query.with_experts {
            self.experts.fill(&self.client, &mut view).await?;
        }
        Ok(RankReading {
            view,
            requested_at,
            is_current: true,
            load: Some(load),
            selections,
        })
    }

    /// Reads the state and load of the rank alone.
    pub(super) async fn report(&self) -> Result<RankReport> {
        let report = self.client.report(LOCAL_RANK_TIMEOUT).await?;
        report.ok_or(AgentError::NoGroup)
    }

    /// Selections since the last reading. A failed reading is made up for by the next one.
    async fn read_selections(&self, view: &RankView) -> Option<SelectionSample> {
        let counts = self.client.counts(view.generation, LOCAL_RANK_TIMEOUT);
        let counts = counts.await.ok()??;
        let mut counter = self
            .selections
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        counter.advance(view.born, view.generation, counts)
    }

    /// Reads the state of the rank's group, and the loads of its ranks as last told by the coordinator.
    pub(super) async fn group_status(&self) -> Result<GroupStatus> {
        let RankReport { view, load } = self.report().await?;
        let loads = self.group_loads(load);
        Ok(GroupStatus {
            group: view.group,
            generation: view.generation,
            is_open: view.is_open,
            step: view.step,
            slow: self.slow_ranks(),
            loads,
        })
    }

    /// Forwards an order to the rank and logs the reply.
    pub(super) async fn forward_order(&self, forwarded: ForwardedOrder) -> MemberReply {
        let ForwardedOrder {
            order,
            fence,
            generation,
        } = forwarded;
        let name = order.name();
        let reply = match self.maps.resolve(order, generation) {
            Ok(order) => Ok(self
                .client
                .order(&order, fence, generation, ORDER_TIMEOUT)
                .await),
            Err(error) => Err(error),
        };
        self.log.record(NodeEvent::OrderPassed {
            order: name,
            fence,
            generation,
            reply: reply.map_or_else(BaseError::name, OrderReply::name),
        });
        reply.map_or(MemberReply::UnknownBase, MemberReply::Order)
    }

    /// Slow ranks of the group, from the coordinator's last query; none once that is too old.
    fn slow_ranks(&self) -> Vec<SocketAddr> {
        let last_query = self.last_query().clone();
        let is_recent = |query: &CoordinatorQuery| query.queried_at.elapsed() < SLOW_RANKS_MAX_AGE;
        last_query
            .filter(is_recent)
            .map_or_else(Vec::new, |query| query.slow)
    }

    /// Loads of the group's ranks as the coordinator told them, with the own one as it is now.
    fn group_loads(&self, own: RankLoad) -> Vec<RankLoadReport> {
        let mut loads = self.told().reports(Instant::now());
        loads.retain(|report| report.rank != self.address);
        loads.push(RankLoadReport {
            rank: self.address,
            load: own,
            age: MilliSpan::default(),
        });
        loads
    }

    fn told(&self) -> MutexGuard<'_, ToldLoads> {
        self.told.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Records a coordinator's query for the state of the rank; returns `false` if a later coordinator is known.
    fn record_query(&self, query: &ViewQuery) -> bool {
        let now = Instant::now();
        let mut last_query = self.last_query();
        let later = last_query.as_ref().filter(|last| {
            let is_known = last.is_own || now < last.queried_at + LATE_QUERY_TIME;
            is_known && query.mark.precedes(last.mark)
        });
        if let Some(later) = later {
            // One of the same coordinator was held up on its way.
            return later.mark.rank == query.mark.rank;
        }
        *last_query = Some(CoordinatorQuery {
            queried_at: now,
            mark: query.mark,
            is_own: false,
            slow: query.slow.clone(),
        });
        drop(last_query);
        let refused = self.told().adopt(&query.loads, now);
        if let Some(error) = refused {
            self.log.record(NodeEvent::RelayRefused {
                reason: error.to_compact_string(),
            });
        }
        true
    }

    /// Begins a term of this agent as the coordinator `mark` and returns the last coordinator that it knew; from
    /// now on, queries of earlier ones are refused.
    pub(super) fn begin_term(&self, mark: CoordinatorMark) -> Option<CoordinatorMark> {
        let own = CoordinatorQuery {
            queried_at: Instant::now(),
            mark,
            is_own: true,
            slow: Vec::new(),
        };
        let previous = self.last_query().replace(own);
        previous.map(|query| query.mark)
    }

    /// Ends the term of this agent.
    pub(super) fn end_term(&self) {
        if let Some(query) = self.last_query().as_mut() {
            query.is_own = false;
        }
    }

    /// Time of the last query from a coordinator.
    pub(super) fn queried_at(&self) -> Option<Instant> {
        self.last_query().as_ref().map(|query| query.queried_at)
    }

    /// The coordinator that sent the last query.
    pub(super) fn coordinator(&self) -> Option<CoordinatorMark> {
        self.last_query().as_ref().map(|query| query.mark)
    }

    fn last_query(&self) -> MutexGuard<'_, Option<CoordinatorQuery>> {
        self.last_query
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}
